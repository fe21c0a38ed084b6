//! Chooses the VMs of a data centre that own a workspace's rate.
//!
//! With many VMs an equal allocation for each would be less than a token, and fractions that
//! are lent expire before they add up to a whole token. So one to three VMs, chosen by
//! rendezvous hashing, own the data centre's allocation, and the others borrow whole
//! tokens from them. In the same way, one to three data centres own the rate of a small
//! workspace.

use std::time::Duration;

use bluebellferry_types::name;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// How long a VM must be unresponsive before it is known to have fallen back to an equal
/// allocation. The VM does so once nobody has answered it for `topology::HEARTBEAT_TIMEOUT`, which
/// it notices within a heartbeat interval; the rest of the delay covers answers in transit.
pub const EQUAL_FALLBACK_DELAY: Duration = Duration::from_millis(3_000);
/// The most VMs of a data centre, or data centres, that own a workspace's rate.
const MAX_OWNERS: usize = 3;
/// The rate, in operations per second, from which a workspace has a second owner; from
/// twice that rate it has a third. At lower rates, another owner would leave each of them less
/// than a few whole tokens of the burst. At higher rates, several owners are used because the
/// loss of one then costs the workspace only some of its rate.
const RATE_PER_ADDITIONAL_OWNER: f64 = 8.0;

/// The smallest rate of each data centre, in operations per second, for which a workspace's
/// rate is allocated to all data centres. Where an equal allocation would be less,
/// [`owner_count`] data centres own the rate.
pub const MIN_CENTRE_RATE: f64 = 8.0;

/// A VM, or a data centre, that may own a workspace's rate.
#[derive(Debug, Clone, Copy)]
pub struct OwnerCandidate<'a> {
    /// The candidate's name.
    pub name: &'a str,
    /// For how long the candidate has been unresponsive; `None` if it is live.
    pub unresponsive_for: Option<Duration>,
    /// The candidate's allocation in the current table.
    pub previous_allocation: f64,
    /// The most that the candidate uses while no other VM answers it.
    pub equal_allocation: f64,
}

impl OwnerCandidate<'_> {
    /// Returns the allocation that the candidate may still use if it is unresponsive; zero
    /// if it is live.
    pub fn retained(&self) -> f64 {
        match self.unresponsive_for {
            None => 0.0,
            Some(time) if time < EQUAL_FALLBACK_DELAY => self.previous_allocation,
            Some(_) => self.previous_allocation.min(self.equal_allocation),
        }
    }
}

/// Returns how many VMs of a data centre, or data centres, own a rate.
pub fn owner_count(rate_per_second: f64) -> usize {
    let additional = (rate_per_second / RATE_PER_ADDITIONAL_OWNER).max(0.0) as usize;
    (1 + additional).min(MAX_OWNERS)
}

/// Allocates a workspace's rate to `count` live owners; returns each candidate's fraction.
/// An unresponsive candidate keeps the allocation that it may still use.
pub fn allocate(
    workspace: &name::WorkspaceName,
    count: usize,
    candidates: &[OwnerCandidate<'_>],
) -> Vec<f32> {
    let retained: f64 = candidates.iter().map(OwnerCandidate::retained).sum();
    let free = (1.0 - retained).max(0.0);
    let owners = choose_owners(workspace, count, candidates);
    let allocation = |candidate: &OwnerCandidate<'_>| {
        if owners.contains(&candidate.name) {
            (free / owners.len() as f64) as f32
        } else {
            candidate.retained() as f32
        }
    };
    candidates.iter().map(allocation).collect()
}

fn choose_owners<'a>(
    workspace: &name::WorkspaceName,
    count: usize,
    candidates: &[OwnerCandidate<'a>],
) -> SmallVec<[&'a str; MAX_OWNERS]> {
    let live = candidates
        .iter()
        .filter(|candidate| candidate.unresponsive_for.is_none());
    let score = |name: &str| xxh3::xxh3_64(format!("{workspace}\0{name}").as_bytes());
    let mut ranked: Vec<(u64, &str)> = live
        .map(|candidate| (score(candidate.name), candidate.name))
        .collect();
    ranked.sort_unstable();
    let owners = ranked.iter().take(count);
    owners.map(|(_, name)| *name).collect()
}

//! Which VMs of a data centre own a workspace's rate.
//!
//! Among many VMs, an equal part each would be less than a token, and parts of tokens
//! that are lent around lapse before they make up a whole one. So one to a few VMs,
//! chosen by rendezvous hashing, own what the data centre has, and the others borrow
//! whole tokens of them. A small workspace is owned by one to three data centres.

use std::time::Duration;

use bluebellferry_types::name;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// After how long a silent VM is known to have fallen back to an equal part: it does
/// so once nobody has answered it for `circle::SILENT_AFTER`, which it notices within
/// a heartbeat; the rest is for answers on their way.
pub const EQUAL_FALLBACK_DELAY: Duration = Duration::from_millis(3_000);
/// The most VMs that own one workspace's rate.
const MOST_OWNERS: usize = 3;
/// From how many operations a second on there is a second owner, and a third one from
/// twice as many: with less, a part of the burst is less than a few whole tokens, with
/// more, the loss of an owner costs the workspace only a part of its rate.
const RATE_OF_SECOND_OWNER: f64 = 8.0;

/// A workspace whose rate would give each data centre less than this, in operations a
/// second, is owned by as many of them as [`owner_count`] says.
pub const MIN_CENTRE_RATE: f64 = 8.0;

/// What is known of a VM, or a data centre, that may own a part.
#[derive(Debug, Clone, Copy)]
pub struct OwnerCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// For how long it has been silent; `None` if it lives.
    pub unresponsive_for: Option<Duration>,
    /// The part that it was dealt before.
    pub previous: f64,
    /// The most that it uses without news from others.
    pub equal_allocation: f64,
}

impl OwnerCandidate<'_> {
    /// Returns the part that a silent candidate may still use.
    pub fn retained(&self) -> f64 {
        match self.unresponsive_for {
            None => 0.0,
            Some(silence) if silence < EQUAL_FALLBACK_DELAY => self.previous,
            Some(_) => self.previous.min(self.equal_allocation),
        }
    }
}

/// Returns how many VMs own a rate.
pub fn owner_count(rate_per_second: f64) -> usize {
    let more = (rate_per_second / RATE_OF_SECOND_OWNER).max(0.0) as usize;
    (1 + more).min(MOST_OWNERS)
}

/// Deals a workspace's rate out to `count` owners that live. A silent one keeps what it
/// may still use.
pub fn allocate(
    workspace: &name::WorkspaceName,
    count: usize,
    candidates: &[OwnerCandidate<'_>],
) -> Vec<f32> {
    let kept: f64 = candidates.iter().map(OwnerCandidate::retained).sum();
    let free = (1.0 - kept).max(0.0);
    let owners = choose(workspace, count, candidates);
    let part = |candidate: &OwnerCandidate<'_>| {
        if owners.contains(&candidate.name) {
            (free / owners.len() as f64) as f32
        } else {
            candidate.retained() as f32
        }
    };
    candidates.iter().map(part).collect()
}

fn choose<'a>(
    workspace: &name::WorkspaceName,
    count: usize,
    candidates: &[OwnerCandidate<'a>],
) -> SmallVec<[&'a str; MOST_OWNERS]> {
    let live = candidates
        .iter()
        .filter(|one| one.unresponsive_for.is_none());
    let score = |name: &str| xxh3::xxh3_64(format!("{workspace}\0{name}").as_bytes());
    let mut ranked: Vec<(u64, &str)> = live.map(|one| (score(one.name), one.name)).collect();
    ranked.sort_unstable();
    let owners = ranked.iter().take(count);
    owners.map(|(_, name)| *name).collect()
}

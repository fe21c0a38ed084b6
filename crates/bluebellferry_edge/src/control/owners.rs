//! Which VMs of a data centre own a workspace's rate.
//!
//! Among many VMs, an equal part each would be less than a token, and parts of tokens
//! that are lent around lapse before they make up a whole one. So one to a few VMs,
//! chosen by rendezvous hashing, own what the data centre has, and the others borrow
//! whole tokens of them.

use std::time::Duration;

use bluebellferry_types::name;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// After how long a silent VM is known to have fallen back to an equal part: it does
/// so once nobody has answered it for `circle::SILENT_AFTER`, which it notices within
/// a heartbeat; the rest is for answers on their way.
pub const FALLEN_BACK_AFTER: Duration = Duration::from_millis(3_000);
/// The most VMs that own one workspace's rate.
const MOST_OWNERS: usize = 3;
/// What an owner should have at least, in operations a second: less is spent in bursts
/// of single tokens, for which one owner is best.
const RATE_OF_OWNER: f64 = 4.0;

/// What is known of a VM that may own a part.
#[derive(Debug, Clone, Copy)]
pub struct OwnerCandidate<'a> {
    /// Its name.
    pub vm: &'a str,
    /// For how long it has been silent; `None` if it lives.
    pub silence: Option<Duration>,
    /// The part that it was dealt before.
    pub before: f64,
}

/// Deals a workspace's rate out to its owners. A silent VM keeps what it may still
/// use: all it had, or later at most `equal`.
pub fn deal(
    workspace: &name::WorkspaceName,
    rate_per_second: f64,
    equal: f64,
    candidates: &[OwnerCandidate<'_>],
) -> Vec<f32> {
    let kept = |candidate: &OwnerCandidate<'_>| match candidate.silence {
        None => 0.0,
        Some(silence) if silence < FALLEN_BACK_AFTER => candidate.before,
        Some(_) => candidate.before.min(equal),
    };
    let free = 1.0 - candidates.iter().map(kept).sum::<f64>();
    let owners = choose(workspace, rate_per_second, candidates);
    let part = |candidate: &OwnerCandidate<'_>| {
        if owners.contains(&candidate.vm) {
            (free.max(0.0) / owners.len() as f64) as f32
        } else {
            kept(candidate) as f32
        }
    };
    candidates.iter().map(part).collect()
}

fn choose<'a>(
    workspace: &name::WorkspaceName,
    rate_per_second: f64,
    candidates: &[OwnerCandidate<'a>],
) -> SmallVec<[&'a str; MOST_OWNERS]> {
    let live = candidates.iter().filter(|one| one.silence.is_none());
    let score = |vm: &str| xxh3::xxh3_64(format!("{workspace}\0{vm}").as_bytes());
    let mut ranked: Vec<(u64, &str)> = live.map(|one| (score(one.vm), one.vm)).collect();
    ranked.sort_unstable();
    let count = (rate_per_second / RATE_OF_OWNER).floor().max(1.0) as usize;
    let owners = ranked.iter().take(count.min(MOST_OWNERS));
    owners.map(|(_, vm)| *vm).collect()
}

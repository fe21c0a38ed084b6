//! Decides which members of a group own a rate. The members are the VMs of a
//! data centre, or the data centres of the fleet.
//!
//! With many VMs an equal share for each would be less than a token, and fractions that are
//! lent expire before they add up to a whole token. So one to three members own a rate, and
//! the others borrow whole tokens from them.
//!
//! An allocator announces only the [`MemberStanding`] of each member. Every member computes
//! the owners of all rates from that list by rendezvous hashing, so what is sent does not
//! grow with the number of workspaces.
//!
//! A member that is unresponsive may still spend what it owned by the last list that counted
//! it. [`RateOwners::choose`] computes a bound of that, which the owners leave unused.
//!
//! The numbers of lists order them; see [`numbering`].

pub mod numbering;

use std::time::Duration;

use bluebellferry_types::limit;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// How long a member must be unresponsive before it is known to have fallen back to an equal
/// fraction. It does so once nobody has answered it for 1.3 s, which it notices within a
/// heartbeat interval; the rest of the delay covers answers in transit.
pub const EQUAL_FALLBACK_DELAY: Duration = Duration::from_millis(3_000);
/// The most members that own a workspace's rate.
pub const MAX_OWNERS: usize = 3;
/// The rate, in operations per second, from which a workspace has a second owner; from
/// twice that rate it has a third. At lower rates, another owner would leave each of them less
/// than a few whole tokens of the burst. At higher rates, several owners are used because the
/// loss of one then costs the workspace only some of its rate.
const RATE_PER_ADDITIONAL_OWNER: f64 = 8.0;
/// The smallest rate of each data centre, in operations per second, for which a workspace's
/// rate is allocated to all data centres. Where an equal allocation would be less,
/// [`owner_count`] data centres own the rate.
pub const MIN_CENTRE_RATE: f64 = 8.0;

/// The most of a rate that is divided equally among all VMs rather than owned by a few.
const MAX_FLOOR_FRACTION: f64 = 0.5;
/// The tokens for each VM in a burst from which on VMs have floors. With fewer, a floor would
/// be less than a whole token and admit nothing.
const MIN_TOKENS_FOR_FLOOR: f64 = 3.0;
/// How fast floors grow with the tokens for each VM. They grow gradually because VMs may disagree
/// for seconds on how many they are.
const FLOOR_GROWTH: f64 = 2.0;

/// Whether a member may own rates. The numbers are indices of lists within a series. Before the
/// first list of a series, all members count as responsive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStanding {
    /// The member has never been responsive, so it owns nothing.
    Pending,
    /// The member is responsive and may own rates.
    Counted {
        /// The first list of those in a row that count the member.
        since: u64,
    },
    /// The member is unresponsive, and may still spend what it owned by the latest list that it
    /// has received: one from `acknowledged` to `until`.
    Excluded {
        /// The first list of those in a row that counted the member.
        since: u64,
        /// The latest list that the member is known to have received.
        acknowledged: u64,
        /// The last list that counted the member.
        until: u64,
        /// The number of members in that list.
        members: u32,
        /// Whether the member has been unresponsive for [`EQUAL_FALLBACK_DELAY`].
        has_fallen_back: bool,
    },
}

impl MemberStanding {
    /// Returns the standing in the list with index `next`.
    #[must_use]
    pub fn next(previous: Option<Self>, observed: &MemberObservation, next: u64) -> Self {
        // A member may have a list of an earlier series.
        let is_first_list = observed.previous == 0;
        let previous = match previous {
            None if is_first_list => Some(Self::Counted { since: 0 }),
            previous => previous,
        };
        let Some(unresponsive_for) = observed.unresponsive_for else {
            return match previous {
                Some(Self::Counted { since }) => Self::Counted { since },
                _ => Self::Counted { since: next },
            };
        };
        let is_past_delay = unresponsive_for >= EQUAL_FALLBACK_DELAY;
        match previous {
            None | Some(Self::Pending) => Self::Pending,
            Some(Self::Counted { since }) => Self::Excluded {
                since,
                acknowledged: observed.acknowledged,
                until: observed.previous,
                members: observed.members,
                has_fallen_back: is_past_delay,
            },
            Some(Self::Excluded {
                since,
                acknowledged,
                until,
                members,
                has_fallen_back,
            }) => Self::Excluded {
                since,
                acknowledged,
                until,
                members,
                has_fallen_back: has_fallen_back || is_past_delay,
            },
        }
    }

    /// Returns whether the member is responsive.
    pub const fn is_counted(self) -> bool {
        matches!(self, Self::Counted { .. })
    }

    /// Returns whether all lists from `first` to `last` counted the member.
    fn was_counted_throughout(self, first: u64, last: u64) -> bool {
        match self {
            Self::Pending => false,
            Self::Counted { since } => since <= first,
            Self::Excluded { since, until, .. } => since <= first && last <= until,
        }
    }
}

/// What an allocator knows of a member when it makes a list.
#[derive(Debug, Clone, Copy)]
pub struct MemberObservation {
    /// For how long the member has been unresponsive; `None` if it is responsive.
    pub unresponsive_for: Option<Duration>,
    /// The latest list that the member is known to have received.
    pub acknowledged: u64,
    /// The previous list.
    pub previous: u64,
    /// The number of members in the previous list, or in the first one of a series.
    pub members: u32,
}

/// A member of the group.
#[derive(Debug, Clone, Copy)]
pub struct GroupMember<'a> {
    /// The member's name.
    pub name: &'a str,
    /// The member's standing.
    pub standing: MemberStanding,
}

/// A fraction of a workspace's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnedFraction {
    /// The member's index in the group.
    pub member: usize,
    /// The fraction.
    pub fraction: f64,
}

/// Who owns a workspace's rate.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RateOwners {
    /// The responsive members that own the rate, the first by rank first.
    pub owners: SmallVec<[OwnedFraction; MAX_OWNERS]>,
    /// What unresponsive members may still spend.
    pub retained: SmallVec<[OwnedFraction; MAX_OWNERS]>,
}

/// Returns the fraction of a rate that a member uses at most while no majority answers it.
pub fn equal_fraction(members: usize) -> f64 {
    1.0 / members.max(1) as f64
}

/// Returns how many members own a rate, given in operations per second.
pub fn owner_count(rate_per_second: f64) -> usize {
    let additional = (rate_per_second / RATE_PER_ADDITIONAL_OWNER).max(0.0) as usize;
    (1 + additional).min(MAX_OWNERS)
}

/// Returns the fraction of a rate that each of `vms` VMs holds by itself, whether or not the
/// others answer it; 0 for small rates, and for the paces of databases.
///
/// A VM that is cut off from the owners of a rate has nothing else to admit its callers with, and
/// the others need not borrow each token of a large rate.
pub fn floor_fraction(key: &limit::LimitKey, burst: f64, vms: usize) -> f64 {
    if key.workspace().is_none() || vms == 0 || burst <= 0.0 {
        return 0.0;
    }
    let tokens_for_each = burst / vms as f64;
    let floor_tokens = (tokens_for_each - MIN_TOKENS_FOR_FLOOR) * FLOOR_GROWTH;
    let floor_tokens = floor_tokens.clamp(0.0, tokens_for_each * MAX_FLOOR_FRACTION);
    floor_tokens / burst
}

/// Returns how many members own the rate of a limit, given in operations per second.
///
/// The pace of a database has one owner: its burst is too small to be divided, and it is used
/// only for seconds, so that the loss of the owner costs little.
pub fn owner_count_of(key: &limit::LimitKey, rate_per_second: f64) -> usize {
    match key {
        limit::LimitKey::Workspace(_) => owner_count(rate_per_second),
        limit::LimitKey::Database(_) => 1,
    }
}

impl RateOwners {
    /// Chooses `count` owners of a rate. The fractions add up to at most 1.
    pub fn choose(key: &limit::LimitKey, count: usize, members: &[GroupMember<'_>]) -> Self {
        let seed = xxh3::xxh3_64(key.as_str().as_bytes());
        let score =
            |member: &GroupMember<'_>| xxh3::xxh3_64_with_seed(member.name.as_bytes(), seed);
        let mut ranked: Vec<(u64, &str, usize)> = members
            .iter()
            .enumerate()
            .filter(|(_, member)| member.standing != MemberStanding::Pending)
            .map(|(index, member)| (score(member), member.name, index))
            .collect();
        ranked.sort_unstable();
        let retained: SmallVec<[OwnedFraction; MAX_OWNERS]> = ranked
            .iter()
            .enumerate()
            .filter_map(|(rank, (_, _, member))| {
                let fraction = retained_fraction(rank, &ranked, count, members)?;
                Some(OwnedFraction {
                    member: *member,
                    fraction,
                })
            })
            .collect();
        let total_retained: f64 = retained.iter().map(|owned| owned.fraction).sum();
        let counted = ranked
            .iter()
            .map(|(_, _, member)| *member)
            .filter(|member| members[*member].standing.is_counted())
            .take(count);
        let counted: SmallVec<[usize; MAX_OWNERS]> = counted.collect();
        let fraction = (1.0 - total_retained).max(0.0) / counted.len().max(1) as f64;
        let owned = |member: usize| OwnedFraction { member, fraction };
        Self {
            owners: counted.into_iter().map(owned).collect(),
            retained,
        }
    }

    /// Returns a member's fraction of the rate.
    pub fn fraction_of(&self, member: usize) -> f64 {
        let mut all = self.owners.iter().chain(&self.retained);
        let found = all.find(|owned| owned.member == member);
        found.map_or(0.0, |owned| owned.fraction)
    }
}

/// Returns the fraction that the member at this rank may still spend although it is
/// unresponsive, or `None` if it owned nothing.
///
/// Only members that were counted by every list that it may have received rank before it. A
/// member that has been counted again since does not. That makes the others rank higher, so
/// the result is never too small.
fn retained_fraction(
    rank: usize,
    ranked: &[(u64, &str, usize)],
    count: usize,
    members: &[GroupMember<'_>],
) -> Option<f64> {
    let MemberStanding::Excluded {
        acknowledged,
        until,
        members: member_count,
        has_fallen_back,
        ..
    } = members[ranked[rank].2].standing
    else {
        return None;
    };
    let better = ranked[..rank].iter().filter(|(_, _, other)| {
        let standing = members[*other].standing;
        standing.was_counted_throughout(acknowledged, until)
    });
    if better.take(count).count() >= count {
        return None;
    }
    let owned = 1.0 / count as f64;
    Some(if has_fallen_back {
        owned.min(equal_fraction(member_count as usize))
    } else {
        owned
    })
}

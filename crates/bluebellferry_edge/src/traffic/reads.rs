//! Which databases may serve a read.

use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_routing::history;
use bluebellferry_types::position;

/// What a log must hold to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadDemand {
    /// Only the leader is known to hold everything.
    Leader,
    /// Any log that holds this position.
    Since(position::LogPosition),
}

/// Works out what a read must see. `arrived` is when its first byte, or its
/// transaction's, was received.
///
/// Everything that was acknowledged before a leader was asked for its position
/// is part of the log up to that position. So a sample that was asked for within
/// the bound covers all that the read must see.
pub fn demand_of(
    guarantee: configuration::ReadGuarantee,
    session_floor: Option<position::LogPosition>,
    history: Option<&history::PositionHistory>,
    arrived: Instant,
) -> ReadDemand {
    use configuration::ReadGuarantee as Guarantee;
    let (max_age, floor) = match guarantee {
        Guarantee::Primary => return ReadDemand::Leader,
        Guarantee::BoundedAge { max_age } => (max_age, None),
        Guarantee::ReadYourWrites { max_age } => (max_age, session_floor),
    };
    let bound = arrived
        .checked_sub(max_age)
        .and_then(|cutoff| history?.floor_since(cutoff));
    match bound {
        Some(bound) => ReadDemand::Since(floor.map_or(bound, |floor| floor.max(bound))),
        None => ReadDemand::Leader,
    }
}

//! Decides whether a database may run a statement according to the current snapshot.
//!
//! The snapshot may change while a statement waits for a connection. So the check is made when a
//! database is chosen and again when a connection to it is available.

use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_types::position;

use crate::shared;

/// What a statement requires of the database that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequirement {
    /// The position that a replica must have replayed; `None` if only the leader may run the
    /// statement.
    pub replica_min_position: Option<position::LogPosition>,
    /// Whether the leader must have a valid lease, which proves that it has not been replaced.
    pub requires_lease: bool,
}

/// The role in which a database runs a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacedRole<'a> {
    /// The database leads its service.
    Leader(&'a shared::LeaderView),
    /// The database is a replica and must have replayed this position.
    Replica(position::LogPosition),
}

/// Returns the role in which a database may run a statement; `None` if it may not run it.
pub fn role_of<'a>(
    snapshot: &'a shared::EdgeSnapshot,
    entry: &database::DatabaseEntry,
    requirement: PlacementRequirement,
    now: Instant,
) -> Option<PlacedRole<'a>> {
    let leader = snapshot.leaders.get(&entry.service);
    if let Some(leader) = leader.filter(|leader| leader.database == entry.id) {
        let may_use_leader = if requirement.requires_lease {
            snapshot.leased_leader(&entry.service, now).is_some()
        } else {
            !leader.is_being_replaced
        };
        return may_use_leader.then_some(PlacedRole::Leader(leader));
    }
    let min_position = requirement
        .replica_min_position
        .filter(|_| !entry.is_draining);
    min_position.map(PlacedRole::Replica)
}

impl PlacedRole<'_> {
    /// Returns the position that the database must have replayed before it runs the statement.
    /// `observed` is the latest position observed at any leader of the service.
    pub fn min_position(
        self,
        observed: Option<position::LogPosition>,
    ) -> Option<position::LogPosition> {
        match self {
            // A newly promoted leader may not have replayed its whole log yet, and a leader
            // that was restarted may have lost its log.
            Self::Leader(leader) => leader.min_log_position(observed),
            Self::Replica(min_position) => Some(min_position),
        }
    }
}

//! Whether a database may take a statement, as this VM believes at the moment.
//!
//! A statement may wait for a connection. What this VM believes can change meanwhile,
//! so the same question is asked when a database is chosen and when the statement is sent.

use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_types::position;

use crate::shared;

/// What a statement asks of the database that takes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementNeeds {
    /// The position that a replica's log must hold; `None` if only the leader will do.
    pub replica_since: Option<position::LogPosition>,
    /// Whether the leader must be known not to have been replaced.
    pub needs_lease: bool,
}

/// The role in which a database takes a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacedRole<'a> {
    /// It leads its service.
    Leader(&'a shared::LeaderView),
    /// It follows; its log must hold this position.
    Replica(position::LogPosition),
}

/// Returns the role in which a database may take a statement; `None` if it may not.
pub fn role_of<'a>(
    snapshot: &'a shared::EdgeSnapshot,
    entry: &database::DatabaseEntry,
    needs: PlacementNeeds,
    now: Instant,
) -> Option<PlacedRole<'a>> {
    let leader = snapshot.leaders.get(&entry.service);
    if let Some(leader) = leader.filter(|leader| leader.database == entry.id) {
        let is_trusted = if needs.needs_lease {
            snapshot.trusted_leader(&entry.service, now).is_some()
        } else {
            !leader.is_replacing
        };
        return is_trusted.then_some(PlacedRole::Leader(leader));
    }
    let since = needs.replica_since.filter(|_| !entry.is_draining);
    since.map(PlacedRole::Replica)
}

impl PlacedRole<'_> {
    /// Returns the position that the database is asked to hold. `seen` is the last one
    /// that any leader of the service was seen to hold.
    pub fn position_to_ask(
        self,
        seen: Option<position::LogPosition>,
    ) -> Option<position::LogPosition> {
        match self {
            // A leader that was just chosen may not have applied all of its log, and one
            // that was started anew holds nothing of before.
            Self::Leader(leader) => leader.known_end(seen),
            Self::Replica(since) => Some(since),
        }
    }
}

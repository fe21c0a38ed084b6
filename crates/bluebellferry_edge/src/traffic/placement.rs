//! Decides whether a database may run a statement according to the current snapshot.
//!
//! The snapshot may change while a statement waits for a connection. So the check is made when a
//! database is chosen and again when a connection to it is available.

use std::collections::BTreeMap;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_catalog::homes;
use bluebellferry_types::name;
use bluebellferry_types::position;

use crate::shared;

/// What a statement requires of the database that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRequirement {
    /// The position that a replica must have replayed; `None` if only the leader may run the
    /// statement.
    pub replica_min_position: Option<position::LogPosition>,
}

/// The role in which a database runs a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacedRole<'a> {
    /// The database leads its service.
    Leader(&'a shared::LeaderView),
    /// The database is a replica and must have replayed this position.
    Replica(position::LogPosition),
}

/// Why no database of a service may run a statement, as far as places decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceConflict {
    /// The route and the workspace have no home region in common.
    NoCommonHome,
    /// Every database that could run it is in a data centre that is being evacuated.
    AllEvacuated,
    /// The databases that could run it are outside the home regions.
    OutsideHomes,
}

/// The regions of the data centres, and where a statement must stay.
#[derive(Debug, Clone, Copy)]
pub struct PlaceRules<'a> {
    /// The region of each data centre.
    pub regions: &'a BTreeMap<name::DataCentreName, String>,
    /// The regions that the statement must not leave.
    pub homes: &'a homes::HomeRegions,
}

impl PlaceRules<'_> {
    /// Returns whether a database may receive the statement where it is.
    pub fn allow(&self, snapshot: &shared::EdgeSnapshot, entry: &database::DatabaseEntry) -> bool {
        !snapshot.is_evacuated(&entry.data_centre) && self.is_home(entry)
    }

    fn is_home(&self, entry: &database::DatabaseEntry) -> bool {
        let region = self.regions.get(&entry.data_centre);
        self.homes.allows(region.map(String::as_str))
    }

    /// Returns why no database of the service may run the statement, or will be able to after a
    /// replacement of the leader; `None` if one may.
    pub fn find_conflict(
        &self,
        snapshot: &shared::EdgeSnapshot,
        service: &name::ServiceName,
    ) -> Option<PlaceConflict> {
        if self.homes.is_empty() {
            return Some(PlaceConflict::NoCommonHome);
        }
        let databases = snapshot.databases.iter();
        let mut of_service = databases
            .filter(|entry| entry.service == *service)
            .peekable();
        // Without a registered database, places are not the reason.
        of_service.peek()?;
        let mut in_homes = of_service.filter(|entry| self.is_home(entry)).peekable();
        if in_homes.peek().is_none() {
            return Some(PlaceConflict::OutsideHomes);
        }
        in_homes
            .all(|entry| snapshot.is_evacuated(&entry.data_centre))
            .then_some(PlaceConflict::AllEvacuated)
    }
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
        // Only a valid lease proves that the leader has not been replaced.
        let is_leased = snapshot.leased_leader(&entry.service, now).is_some();
        let is_usable = is_leased && !snapshot.is_past_drain(&entry.id, now);
        return is_usable.then_some(PlacedRole::Leader(leader));
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

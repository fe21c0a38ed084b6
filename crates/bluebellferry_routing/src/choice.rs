//! The choice among the databases of a service.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;

use crate::history;

/// How long after its last answered probe was sent a database counts as reachable.
pub const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum time that a primary may be without contact to a majority of its group. Beyond
/// it, the primary is assumed to have been replaced.
pub const MAJORITY_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What this VM knows about one database.
#[derive(Debug, Clone)]
pub struct DatabaseView {
    /// The name of the database.
    pub name: name::DatabaseName,
    /// The data centre that the database is in.
    pub data_centre: name::DataCentreName,
    /// The term in which the database accepts writes, or `None` if it is a replica.
    pub primary_term: Option<u64>,
    /// The replay position of the database.
    pub replayed: position::LogPosition,
    /// When the last probe that the database answered was sent.
    pub last_answered: Option<Instant>,
    /// If the database is the primary, the time since its last contact with a majority of its
    /// group, as of its last answer.
    pub majority_contact_age: Duration,
    /// Whether the database is draining and must get no new requests.
    pub is_draining: bool,
}

impl DatabaseView {
    /// Returns whether the database answered a recent probe.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let is_recent =
            |sent_at: Instant| now.saturating_duration_since(sent_at) <= REACHABILITY_TIMEOUT;
        self.last_answered.is_some_and(is_recent)
    }
}

/// What this VM knows about the databases of a service.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    /// The databases of the service.
    pub databases: SmallVec<[DatabaseView; 4]>,
    /// The log positions that the primary reported over time.
    pub history: history::PositionHistory,
}

impl ServiceView {
    /// Returns the index of the primary: of the reachable databases that accept writes and are
    /// in contact with a majority, the one with the highest term.
    pub fn primary(&self, now: Instant) -> Option<usize> {
        let primary_rank = |(index, database): (usize, &DatabaseView)| {
            let is_live = database.is_reachable(now)
                && database.majority_contact_age <= MAJORITY_CONTACT_TIMEOUT;
            database
                .primary_term
                .filter(|_| is_live)
                .map(|term| (term, index))
        };
        let highest = self
            .databases
            .iter()
            .enumerate()
            .filter_map(primary_rank)
            .max();
        highest.map(|(_, index)| index)
    }

    /// Returns the index of the primary if it may get new requests: it is not draining, and its
    /// term is at least `min_term`. A primary of a lower term has been replaced, even if this
    /// VM has not observed its successor yet.
    pub fn primary_for_new_requests(&self, min_term: u64, now: Instant) -> Option<usize> {
        let index = self.primary(now)?;
        let database = &self.databases[index];
        let is_current = database.primary_term.is_some_and(|term| term >= min_term);
        (is_current && !database.is_draining).then_some(index)
    }
}

/// What a read requires of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaRequirement {
    /// The session's floor: the position that the replica must have replayed.
    pub floor: position::LogPosition,
    /// The maximum age of the replica's data.
    pub max_age: Duration,
    /// The maximum time that the read may wait for a replica to catch up.
    pub max_wait: Duration,
}

/// Where to send a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChoice {
    /// The replica at this index can serve the read now.
    Replica(usize),
    /// A replica is expected to meet the requirements after this wait.
    WaitFor(Duration),
    /// No replica is expected to meet the requirements in time; the primary must serve the read.
    Primary,
}

/// Chooses a database for a read.
///
/// Replicas in `local_data_centre` are preferred, then replicas with fewer requests in flight.
/// `in_flight` returns the number of requests in flight by index of the database.
pub fn choose_replica(
    service: &ServiceView,
    requirement: ReplicaRequirement,
    local_data_centre: &name::DataCentreName,
    in_flight: impl Fn(usize) -> usize,
    now: Instant,
) -> ReplicaChoice {
    let mut best: Option<(bool, usize, usize)> = None;
    let mut shortest_wait: Option<Duration> = None;
    for (index, replica) in service.databases.iter().enumerate() {
        let is_usable =
            replica.primary_term.is_none() && !replica.is_draining && replica.is_reachable(now);
        if !is_usable {
            continue;
        }
        if meets_requirement(service, replica, requirement, now) {
            let rank = (
                replica.data_centre != *local_data_centre,
                in_flight(index),
                index,
            );
            best = Some(best.map_or(rank, |best| best.min(rank)));
        } else if let Some(wait) = expected_wait(service, replica, requirement, now) {
            shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
        }
    }
    match (best, shortest_wait) {
        (Some((_, _, index)), _) => ReplicaChoice::Replica(index),
        (None, Some(wait)) if wait <= requirement.max_wait => ReplicaChoice::WaitFor(wait),
        _ => ReplicaChoice::Primary,
    }
}

fn meets_requirement(
    service: &ServiceView,
    replica: &DatabaseView,
    requirement: ReplicaRequirement,
    now: Instant,
) -> bool {
    let age = service.history.max_age_at(replica.replayed, now);
    replica.replayed >= requirement.floor && age.is_some_and(|age| age <= requirement.max_age)
}

/// Estimates how long a replica needs to replay the log up to the floor, from its replication
/// lag when it last reported its position. Returns `None` if the replica has already reached
/// the floor or too little is known.
fn expected_wait(
    service: &ServiceView,
    replica: &DatabaseView,
    requirement: ReplicaRequirement,
    now: Instant,
) -> Option<Duration> {
    if replica.replayed >= requirement.floor {
        return None;
    }
    let last_answered = replica.last_answered?;
    let lag = service
        .history
        .max_age_at(replica.replayed, last_answered)?;
    let written_at = service.history.reached_at(requirement.floor)?;
    Some((written_at + lag).saturating_duration_since(now))
}

//! The choice among a service's databases.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;

use crate::history;

/// How long a database counts as reachable after its last answer.
pub const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a primary may be without contact to a majority before it counts
/// as replaced.
pub const MAJORITY_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What is known of one database.
#[derive(Debug, Clone)]
pub struct DatabaseView {
    /// The name.
    pub name: name::DatabaseName,
    /// The data centre.
    pub data_centre: name::DataCentreName,
    /// The term in which the database takes writes, if it does.
    pub primary_term: Option<u64>,
    /// The position that the database has replayed.
    pub replayed: position::LogPosition,
    /// When the database was last asked with success.
    pub last_answered: Option<Instant>,
    /// How long the database had been without contact to a majority of its
    /// group, if it is the primary.
    pub majority_contact_age: Duration,
    /// Whether the database asks for no new work.
    pub is_draining: bool,
}

impl DatabaseView {
    /// Returns whether the database answered a probe lately.
    pub fn is_reachable(&self, now: Instant) -> bool {
        let fresh = |asked: Instant| now.saturating_duration_since(asked) <= REACHABILITY_TIMEOUT;
        self.last_answered.is_some_and(fresh)
    }
}

/// What is known of a service.
#[derive(Debug, Clone, Default)]
pub struct ServiceView {
    /// The databases.
    pub databases: SmallVec<[DatabaseView; 4]>,
    /// The primary's positions over time.
    pub history: history::PositionHistory,
}

impl ServiceView {
    /// Returns the index of the primary: the reachable database that takes
    /// writes in the highest term and is in contact with a majority.
    pub fn primary(&self, now: Instant) -> Option<usize> {
        let usable = |(index, database): (usize, &DatabaseView)| {
            let live = database.is_reachable(now)
                && database.majority_contact_age <= MAJORITY_CONTACT_TIMEOUT;
            database
                .primary_term
                .filter(|_| live)
                .map(|term| (term, index))
        };
        let highest = self.databases.iter().enumerate().filter_map(usable).max();
        highest.map(|(_, index)| index)
    }

    /// Returns the primary if it may be given new work: it is not leaving, and
    /// its term is at least `term`. An older one has been replaced, even if this
    /// VM has not seen its successor yet.
    pub fn primary_for_new_work(&self, term: u64, now: Instant) -> Option<usize> {
        let index = self.primary(now)?;
        let database = &self.databases[index];
        let current = database.primary_term.is_some_and(|own| own >= term);
        (current && !database.is_draining).then_some(index)
    }
}

/// What a read demands of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReadDemand {
    /// The position that must have been replayed.
    pub floor: position::LogPosition,
    /// The greatest age of the data.
    pub max_age: Duration,
    /// How long the read may wait for a replica to catch up.
    pub max_wait: Duration,
}

/// Where a read should go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaChoice {
    /// The replica at this index serves it now.
    Replica(usize),
    /// A replica is expected to qualify after this wait.
    WaitFor(Duration),
    /// No replica qualifies soon; the primary must serve it.
    Primary,
}

/// Chooses a database for a read.
///
/// Replicas in the caller's own data centre come first, then those with the
/// fewest requests in flight, which `in_flight` tells by index.
pub fn choose_replica(
    service: &ServiceView,
    demand: ReadDemand,
    local: &name::DataCentreName,
    in_flight: impl Fn(usize) -> usize,
    now: Instant,
) -> ReplicaChoice {
    let mut best: Option<(bool, usize, usize)> = None;
    let mut shortest: Option<Duration> = None;
    for (index, replica) in service.databases.iter().enumerate() {
        let usable =
            replica.primary_term.is_none() && !replica.is_draining && replica.is_reachable(now);
        if !usable {
            continue;
        }
        if qualifies(service, replica, demand, now) {
            let rank = (replica.data_centre != *local, in_flight(index), index);
            best = Some(best.map_or(rank, |found| found.min(rank)));
        } else if let Some(wait) = expected_wait(service, replica, demand, now) {
            shortest = Some(shortest.map_or(wait, |found| found.min(wait)));
        }
    }
    match (best, shortest) {
        (Some((_, _, index)), _) => ReplicaChoice::Replica(index),
        (None, Some(wait)) if wait <= demand.max_wait => ReplicaChoice::WaitFor(wait),
        _ => ReplicaChoice::Primary,
    }
}

fn qualifies(
    service: &ServiceView,
    replica: &DatabaseView,
    demand: ReadDemand,
    now: Instant,
) -> bool {
    let age = service.history.max_age_at(replica.replayed, now);
    replica.replayed >= demand.floor && age.is_some_and(|age| age <= demand.max_age)
}

/// Estimates how long a replica needs to reach the floor, from how far behind
/// the primary its last known position was when it was reported.
fn expected_wait(
    service: &ServiceView,
    replica: &DatabaseView,
    demand: ReadDemand,
    now: Instant,
) -> Option<Duration> {
    if replica.replayed >= demand.floor {
        return None;
    }
    let answered = replica.last_answered?;
    let lag = service.history.max_age_at(replica.replayed, answered)?;
    let written = service.history.reached_at(demand.floor)?;
    Some((written + lag).saturating_duration_since(now))
}

//! The databases of a service whose logs may contain acknowledged commits.
//!
//! A database counts from its registration on. A registration may expire although the database
//! runs and receives, so the database counts further, until another one has taken its place or a
//! position of the leader covers what its log had. A VM that starts later cannot see from the
//! registrations which databases count, so the leadership table has a record of them.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;

use crate::departure;

/// How long a database whose registration expired is waited for as one that may have commits.
pub const EXPIRED_DATABASE_RETENTION: Duration = departure::LOST_LOG_RETENTION;

/// The number of databases that are remembered as not counting any more: more than leave within
/// the seconds by which a write to the store may be delayed.
const MAX_REMEMBERED: usize = 64;

/// The identity of a database and its start, in milliseconds since the Unix epoch.
type DatabaseStart = (name::DatabaseName, u64);

/// The databases of a service that count, as one VM knows them.
#[derive(Debug, Clone, Default)]
pub struct DatabaseRoster {
    registered: Vec<leadership::RecordedDatabase>,
    /// The databases whose registrations expired, and when this VM noticed it.
    expired: SmallVec<[(leadership::RecordedDatabase, Instant); 2]>,
    ledger: departure::DepartureLedger,
    /// The starts of the present leader that ended with its log.
    lost_leaders: SmallVec<[DatabaseStart; 1]>,
    /// The databases that were replaced by newly registered ones. A delayed write to the store may
    /// list such a database again.
    replaced: VecDeque<DatabaseStart>,
    /// The databases whose retention has ended.
    forgotten: VecDeque<DatabaseStart>,
    /// The latest record that was observed.
    observed: Option<leadership::RosterRecord>,
}

impl DatabaseRoster {
    /// Takes note of the databases that are registered. The leader's own departure is not recorded,
    /// unless it has restarted without its log: its log is looked for by those who replace it.
    pub fn observe_registrations(
        &mut self,
        registered: &[leadership::RecordedDatabase],
        leader: Option<&name::DatabaseName>,
        now: Instant,
    ) {
        let previous = std::mem::replace(&mut self.registered, registered.to_vec());
        for database in &previous {
            self.observe_absence(database, leader, now);
        }
        let is_listed = |id: &name::DatabaseName| previous.iter().any(|other| other.id == *id);
        for database in registered.iter().filter(|entry| !is_listed(&entry.id)) {
            self.observe_return(database, leader, now);
        }
        self.forget_overdue(now);
        let is_new = |entry: &&leadership::RecordedDatabase| {
            !is_listed(&entry.id) && !self.replaced.contains(&start_of(entry))
        };
        let joined: SmallVec<[&leadership::RecordedDatabase; 4]> =
            registered.iter().filter(is_new).collect();
        for database in joined {
            self.replace_predecessor(database, now);
        }
    }

    /// Records a database that was registered, if it is no longer registered as it was.
    fn observe_absence(
        &mut self,
        database: &leadership::RecordedDatabase,
        leader: Option<&name::DatabaseName>,
        now: Instant,
    ) {
        let mut registered = self.registered.iter();
        let listed = registered.find(|other| other.id == database.id);
        let listed_start = listed.map(|listed| listed.started_unix_ms);
        if listed_start == Some(database.started_unix_ms) {
            return;
        }
        let is_superseded = self.is_superseded(database);
        let has_log = listed_start.is_none() && (is_superseded || !database.is_draining);
        if leader == Some(&database.id) {
            if listed_start.is_some() {
                self.record_lost_leader(start_of(database));
            }
        } else {
            let kind = if has_log {
                departure::DepartureKind::Expired
            } else {
                departure::DepartureKind::LogLost
            };
            self.ledger
                .record_departure(&database.id, database.started_unix_ms, kind, now);
        }
        let is_replaced = is_superseded || self.replaced.contains(&start_of(database));
        if listed_start.is_none() && !database.is_draining && !is_replaced {
            self.expired.push((database.clone(), now));
        }
    }

    /// Records a database that registers again, or for the first time.
    fn observe_return(
        &mut self,
        database: &leadership::RecordedDatabase,
        leader: Option<&name::DatabaseName>,
        now: Instant,
    ) {
        let (id, start) = (&database.id, database.started_unix_ms);
        self.ledger.record_return(id, start);
        let mut expired = self.expired.iter();
        let restarted =
            expired.find(|(other, _)| other.id == *id && other.started_unix_ms != start);
        let Some(lost) = restarted.map(|(other, _)| start_of(other)) else {
            return;
        };
        if leader == Some(id) {
            self.record_lost_leader(lost);
        } else {
            // It may have received commits until it ended.
            self.ledger.record_lost_log(id, lost.1, now);
        }
    }

    fn record_lost_leader(&mut self, start: DatabaseStart) {
        if !self.lost_leaders.contains(&start) {
            self.lost_leaders.push(start);
        }
    }

    fn forget_overdue(&mut self, now: Instant) {
        let registered = &self.registered;
        let forgotten = &mut self.forgotten;
        self.expired.retain(|(database, since)| {
            let is_listed = registered.iter().any(|other| other.id == database.id);
            let is_overdue = is_overdue(*since, now);
            if is_overdue {
                remember(forgotten, start_of(database));
            }
            !is_listed && !is_overdue
        });
    }

    /// Takes a database that has expired out, if a newly registered one takes its place.
    fn replace_predecessor(&mut self, joined: &leadership::RecordedDatabase, now: Instant) {
        let mut expired = self.expired.iter();
        let predecessor = expired.position(|(other, _)| other.data_centre == joined.data_centre);
        let Some(index) = predecessor else {
            return;
        };
        let (predecessor, _) = self.expired.remove(index);
        // It may have received commits until it ended, whether or not its departure was covered.
        if predecessor.address != joined.address {
            let (id, start) = start_of(&predecessor);
            self.ledger.record_lost_log(&id, start, now);
        }
        remember(&mut self.replaced, start_of(&predecessor));
    }

    /// Takes note of the record in the leadership table: databases that left before this VM learned
    /// which are registered, and those that another VM knows to count no longer.
    pub fn observe_record(
        &mut self,
        record: &leadership::RosterRecord,
        leader: Option<&name::DatabaseName>,
        now: Instant,
    ) {
        if self.observed.as_ref() == Some(record) {
            return;
        }
        let previous = self.observed.replace(record.clone()).unwrap_or_default();
        let is_registered = |departed: &&leadership::RecordedDeparture| {
            let mut registered = self.registered.iter();
            let start = (&departed.id, departed.started_unix_ms);
            registered.any(|other| (&other.id, other.started_unix_ms) == start)
        };
        let departed: SmallVec<[&leadership::RecordedDeparture; 2]> = record
            .departed
            .iter()
            .filter(|departed| !is_registered(departed))
            .collect();
        for departed in departed {
            let kind = if departed.is_log_lost {
                departure::DepartureKind::LogLost
            } else {
                departure::DepartureKind::Expired
            };
            let (id, start) = (&departed.id, departed.started_unix_ms);
            self.expired
                .retain(|(other, _)| (&other.id, other.started_unix_ms) != (id, start));
            if leader == Some(id) {
                self.record_lost_leader((id.clone(), start));
            } else {
                self.ledger.observe_departure(id, start, kind, now);
            }
        }
        for database in &record.databases {
            self.observe_recorded(database, record, leader, now);
        }
        self.drop_unrecorded(&previous, record);
        self.ledger.raise_covered_end(record.required_end);
    }

    /// Records a database on record that is not registered as it was and that this VM has not known.
    fn observe_recorded(
        &mut self,
        database: &leadership::RecordedDatabase,
        record: &leadership::RosterRecord,
        leader: Option<&name::DatabaseName>,
        now: Instant,
    ) {
        let start = start_of(database);
        let is_listed = |other: &leadership::RecordedDatabase| start_of(other) == start;
        let is_known = self.registered.iter().any(is_listed)
            || self.expired.iter().any(|(other, _)| is_listed(other))
            || self.ledger.knows(&start.0, start.1)
            || self.lost_leaders.contains(&start)
            || self.replaced.contains(&start)
            || self.forgotten.contains(&start);
        if is_known {
            return;
        }
        self.observe_absence(database, leader, now);
        let is_on_record = |other: &leadership::RecordedDatabase| {
            let mut recorded = record.databases.iter();
            recorded.any(|recorded| start_of(recorded) == start_of(other))
        };
        let is_successor = |other: &&leadership::RecordedDatabase| {
            other.data_centre == database.data_centre && !is_on_record(other)
        };
        let successor = self.registered.iter().find(is_successor).cloned();
        if let Some(successor) = successor {
            self.replace_predecessor(&successor, now);
        }
    }

    /// Drops the databases that have left the record: another VM has accounted for them.
    fn drop_unrecorded(
        &mut self,
        previous: &leadership::RosterRecord,
        record: &leadership::RosterRecord,
    ) {
        let recorded: BTreeSet<DatabaseStart> = starts_of(record).collect();
        let dropped: SmallVec<[DatabaseStart; 2]> = starts_of(previous)
            .filter(|start| !recorded.contains(start))
            .collect();
        for start in dropped {
            self.expired.retain(|(other, _)| start_of(other) != start);
            self.ledger.settle(&start.0, start.1);
            self.lost_leaders.retain(|lost| *lost != start);
        }
    }

    /// Forgets what concerned an earlier leader only.
    pub fn begin_reign(&mut self) {
        self.ledger.clear_covered_end();
        self.lost_leaders.clear();
    }

    /// Covers departures by later positions of the leader. `position_covering` returns the first
    /// position that the leader reported when it was asked at an instant or later.
    pub fn cover(&mut self, position_covering: impl Fn(Instant) -> Option<position::LogPosition>) {
        self.ledger.cover(position_covering);
    }

    /// Returns what the leadership table should record.
    pub fn record(&self) -> leadership::RosterRecord {
        let expired = self.expired.iter().map(|(database, _)| database);
        let mut databases: Vec<_> = self.registered.iter().chain(expired).cloned().collect();
        databases.sort();
        databases.dedup();
        let is_expired = |id: &name::DatabaseName, start: u64| {
            let mut expired = self.expired.iter();
            expired.any(|(other, _)| (&other.id, other.started_unix_ms) == (id, start))
        };
        let departed = self.ledger.uncovered();
        let departed = departed.filter(|(id, start, _)| !is_expired(id, *start));
        let departed = departed.map(|(id, start, kind)| leadership::RecordedDeparture {
            id: id.clone(),
            started_unix_ms: start,
            is_log_lost: kind == departure::DepartureKind::LogLost,
        });
        let lost_leaders = self.lost_leaders.iter();
        let lost_leaders = lost_leaders.map(|(id, start)| leadership::RecordedDeparture {
            id: id.clone(),
            started_unix_ms: *start,
            is_log_lost: true,
        });
        let mut departed: Vec<_> = departed.chain(lost_leaders).collect();
        departed.sort();
        departed.dedup();
        leadership::RosterRecord {
            databases,
            departed,
            required_end: self.covered_end(),
        }
    }

    /// Returns whether a record in the leadership table was observed, so that no database that
    /// counts is unknown.
    pub const fn has_observed_record(&self) -> bool {
        self.observed.is_some()
    }

    /// Returns the databases whose registrations expired and that count.
    pub fn expired(&self, now: Instant) -> impl Iterator<Item = &leadership::RecordedDatabase> {
        let recent = self
            .expired
            .iter()
            .filter(move |(_, since)| !is_overdue(*since, now));
        recent.map(|(database, _)| database)
    }

    /// Returns whether a database has restarted under another identity: a database with a later
    /// start is registered at its address. It is assumed to have kept its log.
    pub fn is_superseded(&self, database: &leadership::RecordedDatabase) -> bool {
        self.registered.iter().any(|other| {
            other.id != database.id
                && other.address == database.address
                && other.started_unix_ms > database.started_unix_ms
        })
    }

    /// Returns a position that covers all commits of the departed databases that are covered.
    pub const fn covered_end(&self) -> Option<position::LogPosition> {
        self.ledger.covered_end()
    }

    /// Returns whether the leader has restarted without its log since it was chosen.
    pub fn has_leader_lost_log(&self) -> bool {
        !self.lost_leaders.is_empty()
    }

    /// Returns whether a log is lost that may have had commits beyond all that is known.
    pub fn has_unknown_logs(&self, now: Instant) -> bool {
        self.ledger.has_unknown_logs(now)
    }
}

fn is_overdue(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) >= EXPIRED_DATABASE_RETENTION
}

fn start_of(database: &leadership::RecordedDatabase) -> DatabaseStart {
    (database.id.clone(), database.started_unix_ms)
}

fn starts_of(record: &leadership::RosterRecord) -> impl Iterator<Item = DatabaseStart> {
    let departed = record.departed.iter();
    let departed = departed.map(|departed| (departed.id.clone(), departed.started_unix_ms));
    record.databases.iter().map(start_of).chain(departed)
}

/// Returns whether a VM that knows only the present record would miss something that the next one
/// has: a database, that one drains, or that a log is lost.
pub fn is_urgent(
    present: Option<&leadership::RosterRecord>,
    next: &leadership::RosterRecord,
) -> bool {
    let Some(present) = present else {
        return true;
    };
    let is_inferred = |departed: &leadership::RecordedDeparture| {
        let is_draining = |database: &leadership::RecordedDatabase| {
            let start = (&database.id, database.started_unix_ms);
            database.is_draining && start == (&departed.id, departed.started_unix_ms)
        };
        present.departed.contains(departed) || present.databases.iter().any(is_draining)
    };
    let is_recorded = |database| present.databases.contains(database);
    !next.databases.iter().all(is_recorded) || !next.departed.iter().all(is_inferred)
}

/// Adds to a list that forgets its oldest entry when it is full.
pub(crate) fn remember<T>(list: &mut VecDeque<T>, item: T) {
    if list.len() == MAX_REMEMBERED {
        list.pop_front();
    }
    list.push_back(item);
}

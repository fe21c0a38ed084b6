//! The databases and leaders that this VM knows, and the databases that it has lost sight of.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use smallvec::SmallVec;

use crate::control::state;
use crate::shared;

/// How long a database that vanished, or came back empty, is taken to hold commits that no
/// other replica has: one that follows has received them by then.
pub const EXPIRED_DATABASE_RETENTION: Duration = Duration::from_secs(30);

/// How many databases are remembered whose place another one has taken: more than are
/// lost within the seconds by which an entry may be late.
const MAX_REMEMBERED_SUPERSEDED: usize = 64;

impl state::ControlState {
    /// Takes the registered databases as the store had them at revision `as_of`.
    pub fn apply_databases(&mut self, databases: Vec<database::DatabaseEntry>, as_of: u64) {
        if *self.databases != databases || self.versions.databases == 0 {
            self.log_databases(&databases);
            self.record_expired_entries(&databases, clock::now());
            self.databases = Arc::new(databases);
            self.versions.databases = as_of;
            self.publish();
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Remembers databases that vanished without having said that they leave, until one
    /// registers in their place.
    fn record_expired_entries(&mut self, next: &[database::DatabaseEntry], now: Instant) {
        let has = |entries: &[database::DatabaseEntry], id: &name::DatabaseName| {
            entries.iter().any(|entry| entry.id == *id)
        };
        let is_superseded = |entry: &database::DatabaseEntry| {
            let mut superseded = self.superseded.iter();
            superseded.any(|(id, born)| *id == entry.id && *born == entry.started_unix_ms)
        };
        let is_lost = |entry: &&database::DatabaseEntry| {
            let is_elsewhere = is_superseded(entry) || has_new_identity(entry, next);
            !has(next, &entry.id) && !entry.is_draining && !is_elsewhere
        };
        let lost = self.databases.iter().filter(is_lost);
        self.expired.extend(lost.map(|entry| (entry.clone(), now)));
        self.expired.retain(|(entry, since)| {
            let is_recent = now.saturating_duration_since(*since) < EXPIRED_DATABASE_RETENTION;
            is_recent && !has(next, &entry.id)
        });
        let is_new = |entry: &&database::DatabaseEntry| {
            !has(&self.databases, &entry.id) && !is_superseded(entry)
        };
        let arrived: SmallVec<[&database::DatabaseEntry; 4]> = next.iter().filter(is_new).collect();
        for entry in arrived {
            let takes_place = |(lost, _): &(database::DatabaseEntry, Instant)| {
                (&lost.service, &lost.data_centre) == (&entry.service, &entry.data_centre)
            };
            if let Some(index) = self.expired.iter().position(takes_place) {
                let (lost, _) = self.expired.remove(index);
                if self.superseded.len() == MAX_REMEMBERED_SUPERSEDED {
                    self.superseded.pop_front();
                }
                self.superseded.push_back((lost.id, lost.started_unix_ms));
            }
        }
    }

    /// Returns the databases of a service in whose logs an acknowledged commit may stand:
    /// the registered ones and those that vanished a short while ago. One that crashed
    /// may still be registered under the identity that it had before.
    pub fn possible_commit_holders(
        &self,
        service: &name::ServiceName,
        now: Instant,
    ) -> Vec<database::DatabaseEntry> {
        let mut holders = self.databases_of(service);
        holders.retain(|entry| !has_new_identity(entry, &self.databases));
        let vanished = self.expired_databases_of(service, now).into_iter();
        // Nobody could use one that vanished.
        holders.extend(vanished.map(|entry| database::DatabaseEntry {
            is_draining: true,
            ..entry
        }));
        holders
    }

    /// Returns the databases of a service that vanished a short while ago: a commit may
    /// stand in the log of one of them and of the leader only.
    pub fn expired_databases_of(
        &self,
        service: &name::ServiceName,
        now: Instant,
    ) -> Vec<database::DatabaseEntry> {
        let counts = |(entry, since): &&(database::DatabaseEntry, Instant)| {
            entry.service == *service
                && now.saturating_duration_since(*since) < EXPIRED_DATABASE_RETENTION
        };
        let vanished = self.expired.iter().filter(counts);
        vanished.map(|(entry, _)| entry.clone()).collect()
    }

    fn log_databases(&self, databases: &[database::DatabaseEntry]) {
        for entry in databases {
            if !self.databases.contains(entry) {
                let role = format!("{:?}", entry.role);
                log::info!(
                    database = entry.id.as_str(), service = entry.service.as_str(),
                    data_centre = entry.data_centre.as_str(), leaving = entry.is_draining,
                    role = role.as_str(), born = entry.started_unix_ms;
                    "a database is registered"
                );
            }
        }
        for entry in self.databases.iter() {
            if !databases.iter().any(|other| other.id == entry.id) {
                log::info!(database = entry.id.as_str(); "a database is no longer registered");
            }
        }
    }

    /// Returns the registered databases of a service.
    pub fn databases_of(&self, service: &name::ServiceName) -> Vec<database::DatabaseEntry> {
        let of_service = |entry: &&database::DatabaseEntry| entry.service == *service;
        self.databases.iter().filter(of_service).cloned().collect()
    }

    /// Returns the leader of a service as this VM knows it.
    pub fn leader_of(&self, service: &name::ServiceName) -> Option<shared::LeaderView> {
        if let Some(entry) = self.table.leaders.get(service) {
            return Some(shared::LeaderView {
                database: entry.database.clone(),
                floor: entry.floor,
                is_replacing: entry.phase == leadership::LeaderPhase::Replacing,
            });
        }
        // Before the first replacement, the database that registers as primary leads.
        let mut primaries = self.databases.iter().filter(|entry| {
            entry.service == *service && entry.role == database::DatabaseRole::Primary
        });
        let first = primaries.next()?;
        let view = shared::LeaderView {
            database: first.id.clone(),
            floor: None,
            is_replacing: false,
        };
        primaries.next().is_none().then_some(view)
    }

    /// Returns the leader of a service, or the last one known if its registration lapsed
    /// before it was ever replaced.
    pub fn known_leader(&self, service: &name::ServiceName) -> Option<shared::LeaderView> {
        let known = self.published.leaders.get(service);
        self.leader_of(service).or_else(|| known.cloned())
    }

    /// Returns the leader of a service if it is about to stop.
    pub fn draining_leader(&self, service: &name::ServiceName) -> Option<database::DatabaseEntry> {
        let leader = self.known_leader(service)?;
        let mut entries = self.databases_of(service).into_iter();
        entries.find(|entry| entry.id == leader.database && entry.is_draining)
    }

    /// Returns whether a database leads a service, as this VM knows it now.
    pub fn is_led_by(&self, service: &name::ServiceName, database: &name::DatabaseName) -> bool {
        let leader = self.known_leader(service);
        leader.is_some_and(|leader| leader.database == *database)
    }
}

/// Returns whether a database that crashed has registered anew under another identity,
/// with its log and at its address.
fn has_new_identity(
    entry: &database::DatabaseEntry,
    registered: &[database::DatabaseEntry],
) -> bool {
    registered.iter().any(|other| {
        let is_there = (&other.service, other.address) == (&entry.service, entry.address);
        other.id != entry.id && is_there && other.started_unix_ms > entry.started_unix_ms
    })
}

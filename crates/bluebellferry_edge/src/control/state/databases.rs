//! The registered databases and the leaders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

use crate::control::state;
use crate::shared;

/// The fraction of the time limit for which a draining database is used after this VM has learned
/// that it drains. The rest covers the time until then and requests under way.
const DRAIN_USE_FRACTION: f64 = 0.6;

impl state::ControlState {
    /// Puts a list of registered databases into use that the store had at `revision`.
    pub fn apply_databases(&mut self, databases: Vec<database::DatabaseEntry>, revision: u64) {
        if *self.databases != databases || self.versions.databases == 0 {
            self.log_databases(&databases);
            self.update_drain_ends(&databases, clock::now());
            self.databases_known_since.get_or_insert_with(clock::now);
            self.observe_registrations(&databases, clock::now());
            self.start_paces(&databases, clock::now());
            self.databases = Arc::new(databases);
            self.versions.databases = revision;
            if self.has_cold_paces() {
                self.apply_shares();
            }
            self.publish_snapshot();
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Updates by when draining databases must receive nothing more. A database that drained already
    /// when this process learned of it may have done so for any time.
    fn update_drain_ends(&mut self, next: &[database::DatabaseEntry], now: Instant) {
        let Some(limit) = self.shared.settings.drain_limit else {
            return;
        };
        let allowed = if self.databases_known_since.is_some() {
            limit.mul_f64(DRAIN_USE_FRACTION)
        } else {
            Duration::ZERO
        };
        let draining = next.iter().filter(|entry| entry.is_draining);
        let end_of = |entry: &database::DatabaseEntry| {
            let known_end = self.drain_ends.get(&entry.id).copied();
            (entry.id.clone(), known_end.unwrap_or(now + allowed))
        };
        self.drain_ends = Arc::new(draining.map(end_of).collect());
    }

    /// Returns by when a database must receive nothing more, if it drains.
    pub fn drain_end(&self, database: &name::DatabaseName) -> Option<Instant> {
        self.drain_ends.get(database).copied()
    }

    fn log_databases(&self, databases: &[database::DatabaseEntry]) {
        for entry in databases {
            if !self.databases.contains(entry) {
                let role = format!("{:?}", entry.role);
                log::info!(
                    database = entry.id.as_str(), service = entry.service.as_str(),
                    data_centre = entry.data_centre.as_str(), leaving = entry.is_draining,
                    role = role.as_str(), born = entry.started_unix_ms;
                    "a database has registered or changed its registration"
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

    /// Returns the leader of a service, from the leadership table or the registrations.
    pub fn leader_of(&self, service: &name::ServiceName) -> Option<shared::LeaderView> {
        let registered = || {
            let of_service =
                |entry: &&database::DatabaseEntry| entry.service == *service && is_primary(entry);
            let mut primaries = self.databases.iter().filter(of_service);
            let first = primaries.next()?;
            primaries.next().is_none().then(|| view_of(first))
        };
        self.leader_in_table(service).or_else(registered)
    }

    pub(super) fn leader_in_table(
        &self,
        service: &name::ServiceName,
    ) -> Option<shared::LeaderView> {
        let entry = self.leadership_table.leaders.get(service)?;
        Some(shared::LeaderView {
            database: entry.database.clone(),
            log_end_when_chosen: entry.log_end_when_chosen,
            is_being_replaced: entry.phase == leadership::LeaderPhase::Replacing,
        })
    }

    /// Returns the registered primary of each service that has one; `None` if it has several.
    /// Until a leader is replaced for the first time, the leader is the only database that is
    /// registered as primary.
    pub(super) fn sole_primaries(
        &self,
    ) -> BTreeMap<&name::ServiceName, Option<shared::LeaderView>> {
        let mut primaries = BTreeMap::new();
        for entry in self.databases.iter().filter(|entry| is_primary(entry)) {
            primaries
                .entry(&entry.service)
                .and_modify(|primary| *primary = None)
                .or_insert_with(|| Some(view_of(entry)));
        }
        primaries
    }

    /// Returns whether a database is the only one of a service that is registered as primary.
    pub fn is_sole_primary(
        &self,
        service: &name::ServiceName,
        database: &name::DatabaseName,
    ) -> bool {
        let primary = self.sole_primaries().remove(service).flatten();
        primary.is_some_and(|primary| primary.database == *database)
    }

    /// Returns the leader of a service. If the leader was never replaced and its registration
    /// has expired, returns the last known leader.
    pub fn known_leader(&self, service: &name::ServiceName) -> Option<shared::LeaderView> {
        let known = self.published_snapshot.leaders.get(service);
        self.leader_of(service).or_else(|| known.cloned())
    }

    /// Returns whether a service limits what its cold databases receive.
    fn has_cold_paces(&self) -> bool {
        let mut services = self.configuration.decoded.services.values();
        services.any(|policy| policy.cold_pace.is_some())
    }

    /// Returns the leader of a service if it is draining or is to move elsewhere.
    pub fn departing_leader(&self, service: &name::ServiceName) -> Option<database::DatabaseEntry> {
        let leader = self.known_leader(service)?;
        let mut entries = self.databases_of(service).into_iter();
        entries.find(|entry| {
            let is_leader = entry.id == leader.database;
            is_leader && (entry.is_draining || self.relocation_of(entry).is_some())
        })
    }

    /// Returns whether a database is the known leader of a service.
    pub fn is_led_by(&self, service: &name::ServiceName, database: &name::DatabaseName) -> bool {
        let leader = self.known_leader(service);
        leader.is_some_and(|leader| leader.database == *database)
    }
}

fn is_primary(entry: &database::DatabaseEntry) -> bool {
    entry.role == database::DatabaseRole::Primary
}

/// Returns the view of a leader that was never replaced.
fn view_of(entry: &database::DatabaseEntry) -> shared::LeaderView {
    shared::LeaderView {
        database: entry.id.clone(),
        log_end_when_chosen: None,
        is_being_replaced: false,
    }
}

//! The databases whose logs may contain acknowledged commits, from the registrations and from the
//! record in the leadership table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_promotion::roster;
use bluebellferry_types::name;
use smallvec::SmallVec;

use crate::control::state;

impl state::ControlState {
    /// Takes note of the registrations that replace those in use.
    pub(super) fn observe_registrations(&mut self, next: &[database::DatabaseEntry], now: Instant) {
        let mut registered: BTreeMap<&name::ServiceName, Vec<leadership::RecordedDatabase>> =
            BTreeMap::new();
        for entry in next {
            registered
                .entry(&entry.service)
                .or_default()
                .push(entry.into());
        }
        let services: BTreeSet<name::ServiceName> = registered
            .keys()
            .map(|service| Clone::clone(*service))
            .chain(self.rosters.keys().cloned())
            .collect();
        for service in services {
            let leader = self.known_leader(&service).map(|leader| leader.database);
            let databases = registered.remove(&service).unwrap_or_default();
            let roster = self.rosters.entry(service).or_default();
            roster.observe_registrations(&databases, leader.as_ref(), now);
        }
        self.cover_departures();
        self.observe_rosters(now);
    }

    /// Takes note of the records in the leadership table, once this VM knows the registrations.
    pub(super) fn observe_rosters(&mut self, now: Instant) {
        if !self.has_complete_table || self.databases_known_since.is_none() {
            return;
        }
        self.has_observed_rosters = true;
        for (service, record) in &self.leadership_table.rosters {
            let leader = self.known_leader(service).map(|leader| leader.database);
            let roster = self.rosters.entry(service.clone()).or_default();
            let known: SmallVec<[name::DatabaseName; 2]> = expired_ids(roster, now).collect();
            roster.observe_record(record, leader.as_ref(), now);
            for id in expired_ids(roster, now).filter(|id| !known.contains(id)) {
                log::warn!(
                    service = service.as_str(), database = id.as_str();
                    "a database on record is not registered, and may have commits"
                );
            }
        }
    }

    /// Covers departures by the positions that leaders have reported since.
    pub fn cover_departures(&mut self) {
        let positions = self.shared.lock_positions();
        for (service, roster) in &mut self.rosters {
            if let Some(history) = positions.get(service) {
                roster.cover(|noticed_at| history.position_covering(noticed_at));
            }
        }
    }

    /// Returns the records that the leadership table lacks; none while this VM does not know all
    /// that the table has.
    pub fn unwritten_rosters(&self) -> BTreeMap<name::ServiceName, leadership::RosterRecord> {
        if !self.has_complete_table || self.databases_known_since.is_none() {
            return BTreeMap::new();
        }
        let known = |service: &name::ServiceName| self.leadership_table.rosters.get(service);
        let records = self.rosters.iter();
        let records = records.map(|(service, roster)| (service.clone(), roster.record()));
        records
            .filter(|(service, record)| known(service) != Some(record))
            .collect()
    }

    /// Returns whether the leadership table has a record of the databases of a service, and this
    /// VM has taken note of it.
    pub(super) fn is_on_record(&self, service: &name::ServiceName) -> bool {
        let roster = self.rosters.get(service);
        roster.is_some_and(roster::DatabaseRoster::has_observed_record)
    }

    /// Returns whether this VM has taken note of the records in a leadership table that it has read
    /// from the store.
    pub const fn has_observed_rosters(&self) -> bool {
        self.has_observed_rosters
    }

    /// Returns whether the leader of a service has restarted without its log since it was chosen.
    pub fn has_leader_lost_log(&self, service: &name::ServiceName) -> bool {
        let roster = self.rosters.get(service);
        roster.is_some_and(roster::DatabaseRoster::has_leader_lost_log)
    }

    /// Returns the databases of a service whose logs may contain an acknowledged commit: the
    /// registered ones, and those whose registrations expired less than
    /// [`roster::EXPIRED_DATABASE_RETENTION`] ago. The old registration of a database that restarted
    /// under another identity does not count.
    pub fn possible_commit_holders(
        &self,
        service: &name::ServiceName,
        now: Instant,
    ) -> Vec<database::DatabaseEntry> {
        let mut holders = self.databases_of(service);
        if let Some(roster) = self.rosters.get(service) {
            holders.retain(|entry| !roster.is_superseded(&entry.into()));
        }
        holders.extend(self.expired_databases_of(service, now));
        holders
    }

    /// Returns the databases of a service whose registrations expired less than
    /// [`roster::EXPIRED_DATABASE_RETENTION`] ago. The leader's log and the log of one of them may be
    /// the only ones that contain a commit.
    pub fn expired_databases_of(
        &self,
        service: &name::ServiceName,
        now: Instant,
    ) -> Vec<database::DatabaseEntry> {
        let Some(roster) = self.rosters.get(service) else {
            return Vec::new();
        };
        let expired = roster.expired(now);
        expired
            .map(|database| database.unregistered_entry(service))
            .collect()
    }

    /// Returns the entry of a database of a service that is registered, or whose registration
    /// expired less than [`roster::EXPIRED_DATABASE_RETENTION`] ago.
    pub fn known_entry(
        &self,
        service: &name::ServiceName,
        id: &name::DatabaseName,
        now: Instant,
    ) -> Option<database::DatabaseEntry> {
        let registered = self.databases_of(service).into_iter();
        let mut entries = registered.chain(self.expired_databases_of(service, now));
        entries.find(|entry| entry.id == *id)
    }

    /// Returns whether a database is registered.
    pub fn is_registered(&self, id: &name::DatabaseName) -> bool {
        self.databases.iter().any(|entry| entry.id == *id)
    }
}

fn expired_ids(
    roster: &roster::DatabaseRoster,
    now: Instant,
) -> impl Iterator<Item = name::DatabaseName> {
    roster.expired(now).map(|database| database.id.clone())
}

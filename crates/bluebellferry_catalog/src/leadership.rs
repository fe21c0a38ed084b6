//! The leadership table in the store, which tells which database leads each service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::store_revision;
use serde::Deserialize;
use serde::Serialize;

use crate::database;

/// The number of low bits of a fencing token that count holders. The others hold the era of the
/// store in which the token was issued, so that tokens rise although a store that came back from an
/// older copy has lost the latest ones.
const HOLDER_COUNT_BITS: u32 = 20;

/// Whether a leader may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderPhase {
    /// The database leads, or is being promoted.
    Steady,
    /// The database is being replaced; no VM may rely on it.
    Replacing,
}

/// An order to the platform to promote a database, as it is recorded before it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionOrder {
    /// The database to promote.
    pub database: name::DatabaseName,
    /// Tells this order from earlier and later ones for the service.
    pub number: u64,
    /// How many orders for the database, this one included, may not have taken effect yet.
    pub unsettled: u32,
}

/// The leader of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderEntry {
    /// The database.
    pub database: name::DatabaseName,
    /// Whether the leader may be used.
    pub phase: LeaderPhase,
    /// The end of the database's log when it was chosen as leader. The database may not
    /// have replayed its log up to there yet.
    #[serde(rename = "floor")]
    pub log_end_when_chosen: Option<position::LogPosition>,
    /// A position that the log of the leader's successor must reach, if it is being replaced: a log
    /// that is gone reached it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub required_end: Option<position::LogPosition>,
    /// The end of the last commit that VMs are known to have acknowledged to callers, if the leader
    /// is being replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_end: Option<position::LogPosition>,
    /// The latest order to promote a database of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<PromotionOrder>,
}

/// A database whose log may contain acknowledged commits, as the leadership table records it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordedDatabase {
    /// The identity of the database.
    pub id: name::DatabaseName,
    /// When the database process started, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// The address on which the database listens.
    pub address: SocketAddr,
    /// The data centre of the database.
    pub data_centre: name::DataCentreName,
    /// Whether the database drains: when it is no longer registered, its log is gone.
    #[serde(rename = "leaving", default, skip_serializing_if = "is_false")]
    pub is_draining: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_false(value: &bool) -> bool {
    !*value
}

impl From<&database::DatabaseEntry> for RecordedDatabase {
    fn from(entry: &database::DatabaseEntry) -> Self {
        Self {
            id: entry.id.clone(),
            started_unix_ms: entry.started_unix_ms,
            address: entry.address,
            data_centre: entry.data_centre.clone(),
            is_draining: entry.is_draining,
        }
    }
}

impl RecordedDatabase {
    /// Returns the entry under which orders are sent to the database although it is not
    /// registered. Such a database receives no statements, like a draining one.
    pub fn unregistered_entry(&self, service: &name::ServiceName) -> database::DatabaseEntry {
        database::DatabaseEntry {
            id: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
            service: service.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            max_running_statements: 0,
            is_draining: true,
            role: database::DatabaseRole::Replica,
            is_cold: false,
        }
    }
}

/// A database that has left, as long as no later position of the leader covers its log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordedDeparture {
    /// The identity of the database.
    pub id: name::DatabaseName,
    /// When the database process had started, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// Whether its log is gone; otherwise another database has it.
    #[serde(rename = "lost")]
    pub is_log_lost: bool,
}

/// The databases of a service whose logs may contain acknowledged commits.
///
/// A VM that has just started learns from the record which databases must be fenced or accounted
/// for before another one is promoted, although they are no longer registered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// The databases that are registered, or whose registrations have expired, sorted.
    pub databases: Vec<RecordedDatabase>,
    /// The databases that have left and are not covered by [`Self::required_end`], sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<RecordedDeparture>,
    /// A position that the log of the leader's successor must reach: it covers the logs of
    /// databases that have left the record since the leader was chosen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub required_end: Option<position::LogPosition>,
}

/// The leaders of all services whose leader was ever replaced, and the VM that may choose
/// leaders.
///
/// The table is an object of the store that is changed by conditional updates only, so
/// that each version has exactly one successor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipTable {
    /// The store's revision of this version in packed form; 0 before the first version.
    pub revision: u64,
    /// The VM that may choose leaders, which is called the holder of the promotion duty: the one
    /// that last changed the table.
    pub holder: String,
    /// The fencing token, which increases whenever the holder changes or a new era of the store
    /// begins.
    pub token: u64,
    /// A random number by which the writer recognises its own write.
    pub nonce: u64,
    /// The leaders by service.
    pub leaders: BTreeMap<name::ServiceName, LeaderEntry>,
    /// The databases that may have acknowledged commits, by service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub rosters: BTreeMap<name::ServiceName, RosterRecord>,
}

impl LeadershipTable {
    /// Returns the table after `holder` has replaced the entry of a service. The fencing
    /// token increases if `holder` was not the holder before.
    #[must_use]
    pub fn with_entry(
        &self,
        holder: &str,
        nonce: u64,
        service: &name::ServiceName,
        entry: LeaderEntry,
    ) -> Self {
        let mut next = self.clone();
        if next.holder != holder {
            holder.clone_into(&mut next.holder);
            next.token += 1;
        }
        next.nonce = nonce;
        if entry.phase == LeaderPhase::Steady
            && let Some(record) = next.rosters.get_mut(service)
        {
            // The log of the new leader reaches it, or it has been given up.
            record.required_end = None;
        }
        next.leaders.insert(service.clone(), entry);
        next
    }

    /// Returns the table with other records of the databases of some services. The holder of the
    /// promotion duty stays the same.
    #[must_use]
    pub fn with_rosters(
        &self,
        nonce: u64,
        records: BTreeMap<name::ServiceName, RosterRecord>,
    ) -> Self {
        let mut next = self.clone();
        next.nonce = nonce;
        next.rosters.extend(records);
        next
    }

    /// Returns whether the table was written in an era of the store, or is the empty one of a store
    /// that reports no eras.
    pub fn is_of_era(&self, era: store_revision::StoreEra) -> bool {
        store_revision::StoreEra::new(self.token >> HOLDER_COUNT_BITS) == era
    }

    /// Returns the table as it is written again in a later era of the store. Its token is higher
    /// than all that were issued in earlier eras.
    #[must_use]
    pub fn restored(&self, era: store_revision::StoreEra, nonce: u64) -> Self {
        let mut restored = self.clone();
        restored.token = era.number() << HOLDER_COUNT_BITS;
        restored.nonce = nonce;
        restored
    }

    /// Returns the table with those entries of another one whose leaders were chosen later.
    #[must_use]
    pub fn merged(&self, other: &Self) -> Self {
        let mut merged = self.clone();
        for (service, entry) in &other.leaders {
            let is_later = merged
                .leaders
                .get(service)
                .is_none_or(|known| entry.log_end_when_chosen > known.log_end_when_chosen);
            if is_later {
                merged.leaders.insert(service.clone(), entry.clone());
            }
        }
        for (service, record) in &other.rosters {
            let known = merged.rosters.entry(service.clone());
            known.or_insert_with(|| record.clone());
        }
        merged
    }
}

/// A copy of the leadership table for other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipTableCopy {
    revision: u64,
    holder: String,
    token: u64,
    nonce: u64,
    leaders: BTreeMap<name::ServiceName, LeaderEntryCopy>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaderEntryCopy {
    database: name::DatabaseName,
    phase: LeaderPhase,
    log_end_when_chosen: Option<position::LogPosition>,
}

impl From<&LeadershipTable> for LeadershipTableCopy {
    fn from(table: &LeadershipTable) -> Self {
        let copy = |entry: &LeaderEntry| LeaderEntryCopy {
            database: entry.database.clone(),
            phase: entry.phase,
            log_end_when_chosen: entry.log_end_when_chosen,
        };
        let leaders = table.leaders.iter();
        Self {
            revision: table.revision,
            holder: table.holder.clone(),
            token: table.token,
            nonce: table.nonce,
            leaders: leaders
                .map(|(service, entry)| (service.clone(), copy(entry)))
                .collect(),
        }
    }
}

impl From<LeadershipTableCopy> for LeadershipTable {
    fn from(copy: LeadershipTableCopy) -> Self {
        let entry = |copy: LeaderEntryCopy| LeaderEntry {
            database: copy.database,
            phase: copy.phase,
            log_end_when_chosen: copy.log_end_when_chosen,
            required_end: None,
            acknowledged_end: None,
            order: None,
        };
        let leaders = copy.leaders.into_iter();
        Self {
            revision: copy.revision,
            holder: copy.holder,
            token: copy.token,
            nonce: copy.nonce,
            leaders: leaders
                .map(|(service, copy)| (service, entry(copy)))
                .collect(),
            rosters: BTreeMap::new(),
        }
    }
}

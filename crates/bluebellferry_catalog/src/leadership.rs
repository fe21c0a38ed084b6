//! The leadership table in the store, which tells which database leads each service.

use std::collections::BTreeMap;

use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::store_revision;
use serde::Deserialize;
use serde::Serialize;

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
    /// The latest order to promote a database of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<PromotionOrder>,
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
        next.leaders.insert(service.clone(), entry);
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
        }
    }
}

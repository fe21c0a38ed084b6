//! Which database leads each service, as the fleet has agreed in the store.

use std::collections::BTreeMap;

use bluebellferry_types::name;
use bluebellferry_types::position;
use serde::Deserialize;
use serde::Serialize;

/// Whether a leader may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderPhase {
    /// The database leads, or is about to.
    Steady,
    /// The database is being replaced; nobody may rely on it.
    Replacing,
}

/// The leader of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderEntry {
    /// The database.
    pub database: name::DatabaseName,
    /// Whether it may be used.
    pub phase: LeaderPhase,
    /// What its log held when it was chosen; it may not have applied all of it yet.
    pub floor: Option<position::LogPosition>,
}

/// All leaders that were ever chosen, and who may choose.
///
/// The object is changed by conditional updates only, so each version has one
/// successor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipTable {
    /// The store's revision of this version; 0 before the first.
    pub revision: u64,
    /// The VM that holds the duty to name leaders.
    pub holder: String,
    /// The fencing token; it rises when the holder changes.
    pub token: u64,
    /// A number that the writer drew, to recognise its own write.
    pub nonce: u64,
    /// The services whose leader was ever replaced.
    pub leaders: BTreeMap<name::ServiceName, LeaderEntry>,
}

impl LeadershipTable {
    /// Returns the table with a service's entry replaced by `holder`. The token
    /// rises if the duty changes hands.
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
}

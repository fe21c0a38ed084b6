//! The entries under which databases register in the store.

use std::net::SocketAddr;

use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

/// The role that a database reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DatabaseRole {
    /// The database accepts writes.
    Primary,
    /// The database replicates from a primary.
    Replica,
}

/// A registered database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseEntry {
    /// The identity of the database. Connections state it, so that the database that now
    /// listens on a reused address is not mistaken for this one.
    pub id: name::DatabaseName,
    /// When the database process started, in Unix milliseconds. A restart under the same
    /// identity has a later start.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// The service that the database belongs to.
    pub service: name::ServiceName,
    /// The address on which the database listens.
    pub address: SocketAddr,
    /// The data centre of the database.
    pub data_centre: name::DataCentreName,
    /// The maximum number of statements that the database runs at once.
    #[serde(rename = "slots")]
    pub max_running_statements: u32,
    /// Whether the database drains: it is about to stop and should receive no new work.
    #[serde(rename = "leaving")]
    pub is_draining: bool,
    /// The role that the database reports.
    pub role: DatabaseRole,
    /// Whether the database says that it is still slow after its start.
    #[serde(default)]
    pub is_cold: bool,
}

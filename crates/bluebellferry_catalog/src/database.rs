//! Databases as they register themselves.

use std::net::SocketAddr;

use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

/// The role that a database says it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DatabaseRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// A registered database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseEntry {
    /// The identity, which connections name so that a reused address is noticed.
    pub id: name::DatabaseName,
    /// When this process started, in Unix milliseconds; a restart under the
    /// same identity has a later one.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// The service.
    pub service: name::ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: name::DataCentreName,
    /// How many statements it runs at once.
    pub slots: u32,
    /// Whether it asks for no new work.
    #[serde(rename = "leaving")]
    pub is_draining: bool,
    /// The role it reports.
    pub role: DatabaseRole,
}

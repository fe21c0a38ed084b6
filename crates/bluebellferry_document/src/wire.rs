//! The JSON form of a configuration document, before validation.

use std::collections::BTreeMap;

use serde::Deserialize;

/// A configuration document before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentWire {
    /// The version of the document format; must equal
    /// [`SUPPORTED_FORMAT`](crate::check::SUPPORTED_FORMAT).
    pub format: u32,
    /// The data centres, by name.
    pub data_centres: BTreeMap<String, DataCentreWire>,
    /// The database services, by name.
    pub services: BTreeMap<String, ServiceWire>,
    /// The workspaces, by name.
    pub workspaces: BTreeMap<String, WorkspaceWire>,
}

/// The settings of a data centre.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreWire {
    /// The number of VMs that run the proxy in the data centre.
    pub vms: u32,
}

/// The settings of a database service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// The number of connections that each database accepts from all VMs
    /// together.
    pub connections: u32,
    /// The number of statements that each database runs at the same time.
    pub slots: u32,
    /// The kinds of read, by name.
    #[serde(default)]
    pub reads: BTreeMap<String, ReadKindWire>,
}

/// The settings of a kind of read.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadKindWire {
    /// The maximum staleness of the data that the read may return, in
    /// milliseconds.
    pub max_age_ms: u64,
    /// How long the read may wait for a replica before it goes to the primary,
    /// in milliseconds.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
}

/// The settings of a workspace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceWire {
    /// The names of the services that the workspace may use.
    pub services: Vec<String>,
    /// The request rate limit over all VMs together, in requests per second.
    pub rate_per_second: f64,
    /// The capacity of the token bucket over all VMs together, in requests.
    pub burst: f64,
    /// The weight of the workspace in the fair queue for a busy database.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether callers may use the workspace without a key.
    #[serde(default)]
    pub open: bool,
}

const fn default_wait_ms() -> u64 {
    30
}

const fn default_weight() -> u32 {
    1
}

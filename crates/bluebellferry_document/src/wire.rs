//! The document as it is written in JSON, before any check.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The whole document.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentWire {
    /// The version of this format; 1 at present.
    pub format: u32,
    /// The data centres by name.
    pub data_centres: BTreeMap<String, DataCentreWire>,
    /// The database services by name.
    pub services: BTreeMap<String, ServiceWire>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<String, WorkspaceWire>,
}

/// A data centre.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreWire {
    /// How many VMs of the proxy the data centre has.
    pub vms: u32,
}

/// A database service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// How many connections each database accepts from all VMs together.
    pub connections: u32,
    /// How many statements each database runs at a time.
    pub slots: u32,
    /// The kinds of read by name.
    #[serde(default)]
    pub reads: BTreeMap<String, ReadWire>,
}

/// A kind of read.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadWire {
    /// The greatest age of the data, in milliseconds.
    pub max_age_ms: u64,
    /// How long such a read may wait for a replica before it goes to the
    /// primary, in milliseconds.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
}

/// A workspace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceWire {
    /// The services that the workspace may reach.
    pub services: Vec<String>,
    /// The requests a second over all VMs together.
    pub rate_per_second: f64,
    /// The requests that may come at once over all VMs together.
    pub burst: f64,
    /// The share of a busy database relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
}

const fn default_wait_ms() -> u64 {
    30
}

const fn default_weight() -> u32 {
    1
}

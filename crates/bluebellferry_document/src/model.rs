//! The validated form of a configuration document.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellferry_types::name;
use smallvec::SmallVec;

/// A configuration document that passed validation.
#[derive(Debug, Clone, PartialEq)]
pub struct EnvironmentDocument {
    /// The data centres, by name.
    pub data_centres: BTreeMap<name::DataCentreName, DataCentreSpec>,
    /// The database services, by name.
    pub services: BTreeMap<name::ServiceName, ServiceSpec>,
    /// The workspaces, by name.
    pub workspaces: BTreeMap<name::WorkspaceName, WorkspaceSpec>,
}

impl EnvironmentDocument {
    /// Returns the number of VMs in all data centres together.
    pub fn vm_count(&self) -> u32 {
        self.data_centres.values().map(|spec| spec.vm_count).sum()
    }
}

/// The settings of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// The number of VMs that run the proxy in the data centre.
    pub vm_count: u32,
}

/// The settings of a database service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The number of connections that each database accepts from all VMs
    /// together.
    pub max_connections: u32,
    /// The number of statements that each database runs at the same time.
    pub max_running_statements: u32,
    /// The settings of each declared kind of read.
    pub read_kinds: BTreeMap<name::ReadKind, ReadKindSpec>,
}

/// The settings of a kind of read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadKindSpec {
    /// The maximum staleness of the data that the read may return.
    pub max_age: Duration,
    /// How long the read may wait for a replica before it goes to the primary.
    pub max_wait: Duration,
}

/// The settings of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    /// The services that the workspace may use.
    pub services: SmallVec<[name::ServiceName; 4]>,
    /// The request rate limit over all VMs together, in requests per second.
    pub rate_per_second: f64,
    /// The capacity of the token bucket over all VMs together, in requests.
    pub burst: f64,
    /// The weight of the workspace in the fair queue for a busy database, which
    /// gives each workspace a share proportional to its weight.
    pub weight: u32,
    /// Whether callers may use the workspace without a key.
    pub is_keyless: bool,
}

//! The checked document.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellferry_types::name;
use smallvec::SmallVec;

/// A document that passed every check.
#[derive(Debug, Clone, PartialEq)]
pub struct EnvironmentDocument {
    /// The data centres by name.
    pub data_centres: BTreeMap<name::DataCentreName, DataCentreSpec>,
    /// The services by name.
    pub services: BTreeMap<name::ServiceName, ServiceSpec>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<name::WorkspaceName, WorkspaceSpec>,
}

impl EnvironmentDocument {
    /// Returns the number of VMs over all data centres.
    pub fn vm_count(&self) -> u32 {
        self.data_centres.values().map(|plan| plan.vm_count).sum()
    }
}

/// What the document states for a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// The number of VMs.
    pub vm_count: u32,
}

/// What the document states for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The connections each database accepts from all VMs together.
    pub max_connections: u32,
    /// The statements each database runs at a time.
    pub max_running_statements: u32,
    /// What each kind of read allows.
    pub reads: BTreeMap<name::ReadKind, ReadKindSpec>,
}

/// What the document states for a kind of read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadKindSpec {
    /// The greatest age of the data.
    pub max_age: Duration,
    /// How long the read may wait for a replica.
    pub max_wait: Duration,
}

/// What the document states for a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    /// The services that the workspace may reach.
    pub services: SmallVec<[name::ServiceName; 4]>,
    /// The requests a second over all VMs together.
    pub rate_per_second: f64,
    /// The requests that may come at once over all VMs together.
    pub burst: f64,
    /// The share of a busy database relative to other workspaces.
    pub weight: u32,
    /// Whether callers need no key.
    pub is_keyless: bool,
}

//! The configuration of routes, services and workspaces.

use std::collections::HashMap;
use std::time::Duration;

use bluebellferry_keys::digest;
use bluebellferry_keys::table;
use bluebellferry_types::name;

use crate::homes;

/// The data that the reads of a route are guaranteed to see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadGuarantee {
    /// Reads see every acknowledged commit.
    Primary,
    /// Reads see the commits that are older than the bound.
    BoundedAge {
        /// The maximum staleness of the data.
        max_age: Duration,
    },
    /// Reads see the commits that are older than the bound and those of their own session.
    ReadYourWrites {
        /// The maximum staleness of the data.
        max_age: Duration,
    },
}

/// The route from the database name that a caller connects to, to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The service whose databases run the route's statements.
    pub service: name::ServiceName,
    /// The data that reads are guaranteed to see.
    pub guarantee: ReadGuarantee,
    /// The maximum duration of one statement.
    pub statement_timeout: Duration,
    /// The latency objective of a whole operation, which may have several statements.
    pub latency_objective: Duration,
    /// The priority of the route's statements; 0 is the highest.
    pub priority: u8,
    /// Whether callers may use the route without a key.
    pub is_public: bool,
    /// The regions that the route's requests must not leave.
    pub homes: homes::HomeRegions,
}

/// The settings of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// The maximum number of connections that all VMs together open to one database.
    pub max_connections: u32,
    /// Whether replication is synchronous: a commit is acknowledged only after a replica
    /// has received it.
    pub is_synchronous: bool,
    /// How many statements per second a cold database may receive from all VMs together; `None`
    /// if that is not limited.
    pub cold_pace: Option<f64>,
}

/// The rate limit and the homes of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspacePolicy {
    /// The maximum rate over all VMs, in operations per second.
    pub rate_per_second: f64,
    /// The maximum number of operations at once over all VMs.
    pub burst: f64,
    /// The regions that the workspace's requests must not leave.
    pub homes: homes::HomeRegions,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The version; a VM never returns to a lower one.
    pub version: u64,
    /// The routes by the database name that callers connect to.
    pub routes: HashMap<String, RoutePolicy>,
    /// The services by name.
    pub services: HashMap<name::ServiceName, ServicePolicy>,
    /// The workspaces by name.
    pub workspaces: HashMap<name::WorkspaceName, WorkspacePolicy>,
    /// The valid keys and the workspaces that own them.
    pub keys: table::KeyTable,
    /// The maximum idle time within a transaction; `None` if it is not limited.
    pub transaction_idle_timeout: Option<Duration>,
    /// The number of routes, services and workspaces that were skipped because they could not
    /// be decoded.
    pub skipped_entries: usize,
}

impl Configuration {
    /// Returns the route for a database name.
    pub fn find_route(&self, database: &str) -> Option<&RoutePolicy> {
        self.routes.get(database)
    }

    /// Returns the workspace that owns a key.
    pub fn find_workspace(&self, key: &digest::KeyDigest) -> Option<&name::WorkspaceName> {
        self.keys.find_owner(key)
    }
}

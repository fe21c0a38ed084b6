//! The configuration in force.

use std::collections::HashMap;
use std::time::Duration;

use bluebellferry_keys::digest;
use bluebellferry_keys::table;
use bluebellferry_types::name;

/// How old the data that a route's reads see may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadGuarantee {
    /// Every acknowledged commit.
    Primary,
    /// Commits older than the bound.
    BoundedAge {
        /// The greatest age of the data.
        max_age: Duration,
    },
    /// Commits older than the bound, and the session's own.
    ReadYourWrites {
        /// The greatest age of the data.
        max_age: Duration,
    },
}

/// A route from a caller's database name to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePolicy {
    /// The service that runs the route's statements.
    pub service: name::ServiceName,
    /// What reads must see.
    pub guarantee: ReadGuarantee,
    /// The limit for one statement.
    pub statement_timeout: Duration,
    /// The latency objective for a whole operation.
    pub latency_objective: Duration,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A service's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The connections that one database accepts from all VMs together.
    pub max_connections: u32,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub is_synchronous: bool,
}

/// A workspace's limits.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspacePolicy {
    /// Operations a second over all VMs.
    pub rate_per_second: f64,
    /// Operations that may come at once.
    pub burst: f64,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// The version; a VM never goes back to a lower one.
    pub version: u64,
    /// Routes by the database name that callers ask for.
    pub routes: HashMap<String, RoutePolicy>,
    /// Services by name.
    pub services: HashMap<name::ServiceName, ServicePolicy>,
    /// Workspaces by name.
    pub workspaces: HashMap<name::WorkspaceName, WorkspacePolicy>,
    /// Valid keys.
    pub keys: table::KeyTable,
    /// How long a transaction may stay idle; `None` for no limit.
    pub transaction_idle_timeout: Option<Duration>,
}

impl Configuration {
    /// Returns the route for a database name.
    pub fn find_route(&self, database: &str) -> Option<&RoutePolicy> {
        self.routes.get(database)
    }

    /// Returns the workspace that holds a key.
    pub fn find_workspace(&self, key: &digest::KeyDigest) -> Option<&name::WorkspaceName> {
        self.keys.find_owner(key)
    }
}

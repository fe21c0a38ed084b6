//! Descriptions of the environments to start.

use std::time::Duration;

/// A data centre and its number of VMs that run the proxy.
#[derive(Debug, Clone)]
pub struct DataCentrePlan {
    /// The name of the data centre.
    pub name: String,
    /// The number of VMs, each with one proxy.
    pub vm_count: u32,
}

/// A service and its group of databases.
///
/// The database with index `n` is in the data centre with index `n`.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The name of the service.
    pub name: String,
    /// The number of databases in the group.
    pub database_count: usize,
}

/// A workspace with one API key and access to every service.
#[derive(Debug, Clone)]
pub struct WorkspacePlan {
    /// The name of the workspace.
    pub name: String,
    /// The rate limit in requests per second, over all VMs together.
    pub rate_per_second: f64,
    /// The capacity of the token bucket in requests, over all VMs together.
    pub burst: f64,
    /// The weight of the workspace in the fair queue for a busy database.
    pub weight: u32,
}

/// The limits and the artificial delays of every database.
#[derive(Debug, Clone)]
pub struct DatabasePlan {
    /// The maximum number of connections that a database accepts.
    pub max_connections: u32,
    /// The maximum number of statements that a database runs at the same time.
    pub max_running_statements: u32,
    /// The time that a database takes to accept a connection.
    pub connect_time: Duration,
    /// The time for which a statement counts as running.
    pub statement_time: Duration,
    /// The one-way delay of messages between databases.
    pub replication_delay: Duration,
    /// The replay lag of each database, by its index in the group; zero where
    /// the list is too short.
    pub replay_lags: Vec<Duration>,
}

/// A kind of read that replicas may serve, with its staleness bound.
#[derive(Debug, Clone)]
pub struct ReadKindPlan {
    /// The name of the kind, as callers set it in `bluebellferry.read`.
    pub name: String,
    /// The maximum staleness of the data read.
    pub max_age: Duration,
    /// The maximum time to wait until a replica is recent enough.
    pub max_wait: Duration,
}

/// The description of a whole environment.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The environment's name.
    pub environment: String,
    /// The data centres.
    pub data_centres: Vec<DataCentrePlan>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// The workspaces.
    pub workspaces: Vec<WorkspacePlan>,
    /// The kinds of read that every service offers.
    pub read_kinds: Vec<ReadKindPlan>,
    /// The limits and the artificial delays of every database.
    pub databases: DatabasePlan,
    /// Whether replication between data centres and the connections from proxies
    /// to the store go through links that can be cut.
    pub has_cuttable_links: bool,
    /// The text of the configuration document; generated from this plan if `None`.
    pub document: Option<String>,
    /// The one-way delay of a cuttable link between data centres.
    pub link_delay: Duration,
}

impl FleetPlan {
    /// Returns a plan of two proxies in front of one group of three databases,
    /// with no network delay and 30 ms of replay lag.
    pub fn small() -> Self {
        Self {
            environment: "trial".to_owned(),
            data_centres: vec![
                DataCentrePlan {
                    name: "amman".to_owned(),
                    vm_count: 1,
                },
                DataCentrePlan {
                    name: "aqaba".to_owned(),
                    vm_count: 1,
                },
                DataCentrePlan {
                    name: "irbid".to_owned(),
                    vm_count: 0,
                },
            ],
            services: vec![ServicePlan {
                name: "rental-core".to_owned(),
                database_count: 3,
            }],
            workspaces: vec![
                WorkspacePlan::unlimited("families"),
                WorkspacePlan::unlimited("counter"),
            ],
            read_kinds: vec![ReadKindPlan {
                name: "catalogue".to_owned(),
                max_age: Duration::from_secs(5),
                max_wait: Duration::from_millis(30),
            }],
            databases: DatabasePlan {
                max_connections: 20,
                max_running_statements: 8,
                connect_time: Duration::from_millis(1),
                statement_time: Duration::ZERO,
                replication_delay: Duration::ZERO,
                replay_lags: vec![Duration::from_millis(30); 3],
            },
            has_cuttable_links: false,
            document: None,
            link_delay: Duration::ZERO,
        }
    }

    /// Returns the API key of a workspace.
    pub fn api_key_of(workspace: &str) -> String {
        format!("bbf_test_key_of_{workspace}")
    }

    /// Returns the text of the configuration document.
    pub fn document_text(&self) -> String {
        if let Some(text) = &self.document {
            return text.clone();
        }
        let data_centres = self
            .data_centres
            .iter()
            .filter(|data_centre| data_centre.vm_count > 0);
        let data_centres: serde_json::Map<String, serde_json::Value> = data_centres
            .map(|data_centre| {
                (
                    data_centre.name.clone(),
                    serde_json::json!({"vms": data_centre.vm_count}),
                )
            })
            .collect();
        let encode_read_kind = |read_kind: &ReadKindPlan| {
            let max_age_ms = read_kind.max_age.as_millis() as u64;
            let max_wait_ms = read_kind.max_wait.as_millis() as u64;
            (
                read_kind.name.clone(),
                serde_json::json!({"max_age_ms": max_age_ms, "wait_ms": max_wait_ms}),
            )
        };
        let read_kinds: serde_json::Map<String, serde_json::Value> =
            self.read_kinds.iter().map(encode_read_kind).collect();
        let encode_service = |service: &ServicePlan| {
            let body = serde_json::json!({
                "connections": self.databases.max_connections,
                "slots": self.databases.max_running_statements,
                "reads": read_kinds.clone(),
            });
            (service.name.clone(), body)
        };
        let services: serde_json::Map<String, serde_json::Value> =
            self.services.iter().map(encode_service).collect();
        let service_names: Vec<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let encode_workspace = |workspace: &WorkspacePlan| {
            let body = serde_json::json!({
                "services": service_names.clone(),
                "rate_per_second": workspace.rate_per_second,
                "burst": workspace.burst,
                "weight": workspace.weight,
            });
            (workspace.name.clone(), body)
        };
        let workspaces: serde_json::Map<String, serde_json::Value> =
            self.workspaces.iter().map(encode_workspace).collect();
        let document = serde_json::json!({
            "format": 1,
            "data_centres": data_centres,
            "services": services,
            "workspaces": workspaces,
        });
        format!("{document:#}\n")
    }
}

impl WorkspacePlan {
    /// Returns a workspace whose rate limit is too high for any test to reach.
    pub fn unlimited(name: &str) -> Self {
        let rate_per_second = 1_000_000.0;
        Self {
            name: name.to_owned(),
            rate_per_second,
            burst: rate_per_second,
            weight: 1,
        }
    }
}

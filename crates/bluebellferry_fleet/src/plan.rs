//! What an environment consists of.

use std::time::Duration;

/// A data centre and how many VMs run the proxy there.
#[derive(Debug, Clone)]
pub struct DataCentrePlan {
    /// The name.
    pub name: String,
    /// The number of proxies.
    pub vms: u32,
}

/// A group of databases, one in each of the first data centres.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The name.
    pub name: String,
    /// How many databases the group has.
    pub databases: usize,
}

/// A workspace with one key.
#[derive(Debug, Clone)]
pub struct WorkspacePlan {
    /// The name.
    pub name: String,
    /// Requests a second over all VMs.
    pub rate_per_second: f64,
    /// Requests at once over all VMs.
    pub burst: f64,
    /// The weight at a busy database.
    pub weight: u32,
}

/// How databases behave.
#[derive(Debug, Clone)]
pub struct DatabasePlan {
    /// How many connections each takes.
    pub connections: u32,
    /// How many statements each runs at a time.
    pub slots: u32,
    /// How long a new connection takes.
    pub connect_time: Duration,
    /// How long each statement holds its slot.
    pub statement_time: Duration,
    /// How long a message between databases takes each way.
    pub replication_delay: Duration,
    /// How far each database's replay stays behind, by its index.
    pub replay_lags: Vec<Duration>,
}

/// A kind of read and the age that it allows.
#[derive(Debug, Clone)]
pub struct ReadKindPlan {
    /// The name.
    pub name: String,
    /// The greatest age.
    pub max_age: Duration,
    /// How long it may wait for a replica.
    pub max_wait: Duration,
}

/// A whole environment.
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
    /// The kinds of read of every service.
    pub read_kinds: Vec<ReadKindPlan>,
    /// How databases behave.
    pub databases: DatabasePlan,
    /// Whether messages between databases, and from proxies to databases of
    /// other data centres, go through links that can be cut.
    pub has_cuttable_links: bool,
    /// The document's exact text; written from this plan when absent.
    pub document: Option<String>,
    /// How long a message takes through a cuttable link between data centres.
    pub link_delay: Duration,
}

impl FleetPlan {
    /// Two proxies before one group of three, without artificial delays.
    pub fn small() -> Self {
        Self {
            environment: "trial".to_owned(),
            data_centres: vec![
                DataCentrePlan {
                    name: "amman".to_owned(),
                    vms: 1,
                },
                DataCentrePlan {
                    name: "aqaba".to_owned(),
                    vms: 1,
                },
                DataCentrePlan {
                    name: "irbid".to_owned(),
                    vms: 0,
                },
            ],
            services: vec![ServicePlan {
                name: "rental-core".to_owned(),
                databases: 3,
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
                connections: 20,
                slots: 8,
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

    /// Returns the key of a workspace.
    pub fn api_key_of(workspace: &str) -> String {
        format!("bbf_test_key_of_{workspace}")
    }

    /// Returns the document's text.
    pub fn document_text(&self) -> String {
        if let Some(text) = &self.document {
            return text.clone();
        }
        let centres = self.data_centres.iter().filter(|centre| centre.vms > 0);
        let centres: serde_json::Map<String, serde_json::Value> = centres
            .map(|centre| (centre.name.clone(), serde_json::json!({"vms": centre.vms})))
            .collect();
        let read = |read: &ReadKindPlan| {
            let age = read.max_age.as_millis() as u64;
            let wait = read.max_wait.as_millis() as u64;
            (
                read.name.clone(),
                serde_json::json!({"max_age_ms": age, "wait_ms": wait}),
            )
        };
        let read_kinds: serde_json::Map<String, serde_json::Value> =
            self.read_kinds.iter().map(read).collect();
        let service = |service: &ServicePlan| {
            let body = serde_json::json!({
                "connections": self.databases.connections,
                "slots": self.databases.slots,
                "reads": read_kinds.clone(),
            });
            (service.name.clone(), body)
        };
        let services: serde_json::Map<String, serde_json::Value> =
            self.services.iter().map(service).collect();
        let names: Vec<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let workspace = |workspace: &WorkspacePlan| {
            let body = serde_json::json!({
                "services": names.clone(),
                "rate_per_second": workspace.rate_per_second,
                "burst": workspace.burst,
                "weight": workspace.weight,
            });
            (workspace.name.clone(), body)
        };
        let workspaces: serde_json::Map<String, serde_json::Value> =
            self.workspaces.iter().map(workspace).collect();
        let document = serde_json::json!({
            "format": 1,
            "data_centres": centres,
            "services": services,
            "workspaces": workspaces,
        });
        format!("{document:#}\n")
    }
}

impl WorkspacePlan {
    /// A workspace that no test reaches the rate of.
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

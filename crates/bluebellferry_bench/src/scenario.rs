//! Scenarios: the JSON format and its validated form.

use std::time::Duration;

use bluebellferry_fleet::plan;
use bluebellferry_runtime::settings;
use serde::Deserialize;
use serde::Serialize;

/// A scenario file before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioWire {
    name: String,
    deployment: DeploymentWire,
    seconds: f64,
    seed: u64,
    load: Vec<LoadWire>,
    #[serde(default)]
    faults: Vec<FaultWire>,
}

/// The deployment that a scenario runs against.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeploymentWire {
    data_centres: Vec<DataCentreWire>,
    services: Vec<String>,
    connections: u32,
    slots: u32,
    connect_ms: u64,
    statement_us: u64,
    between_centres_us: u64,
    lags_ms: Vec<u64>,
    reads: Vec<ReadKindWire>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DataCentreWire {
    name: String,
    vms: u32,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReadKindWire {
    name: String,
    max_age_ms: u64,
    #[serde(default = "default_wait_ms")]
    wait_ms: u64,
}

const fn default_wait_ms() -> u64 {
    30
}

/// The rate limit and the load of one workspace.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadWire {
    workspace: String,
    rate_per_second: f64,
    burst: f64,
    #[serde(default = "default_weight")]
    weight: u32,
    sessions: usize,
    requests_per_second: f64,
    write_share: f64,
    read_kind: String,
    #[serde(default)]
    prepared_share: f64,
    #[serde(default)]
    only_proxy: Option<usize>,
}

const fn default_weight() -> u32 {
    1
}

/// A fault and the time at which it occurs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultWire {
    at_seconds: f64,
    kind: FaultKind,
    #[serde(default)]
    index: usize,
}

/// The kind of a fault or of its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The current primary of the service with the given index is killed.
    KillPrimary,
    /// The current primary of the service with the given index is suspended.
    FreezePrimary,
    /// The proxy with the given index is killed.
    KillProxy,
    /// The store becomes unavailable.
    StoreOut,
    /// The store becomes available again, and all its faults end.
    StoreBack,
    /// The data centre with the given index loses its connections to the store and,
    /// for replication, to the other data centres.
    CutCentre,
    /// The connections of the data centre with the given index are restored.
    MendCentre,
}

/// The validated load of one workspace.
#[derive(Debug, Clone)]
pub struct WorkspaceLoad {
    /// The name of the workspace.
    pub workspace: String,
    /// Its rate limit in the configuration document, in requests per second.
    pub rate_per_second: f64,
    /// The number of its sessions.
    pub sessions: usize,
    /// The number of requests per second that all its sessions together send.
    pub requests_per_second: f64,
    /// The share of writes among its requests, from 0 to 1.
    pub write_share: f64,
    /// The kind of read that its sessions set in `bluebellferry.read`.
    pub read_kind: String,
    /// The share of its sessions that prepare their statements, from 0 to 1.
    pub prepared_share: f64,
    /// The index of the only proxy that it uses; `None` for all proxies.
    pub only_proxy: Option<usize>,
}

/// A validated fault.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// The time of the fault after the start of the load.
    pub at: Duration,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The index of the service, proxy or data centre that the fault affects.
    pub index: usize,
}

/// A validated scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// The plan of the environment to start.
    pub fleet: plan::FleetPlan,
    /// The duration of the load.
    pub duration: Duration,
    /// The seed of all random choices.
    pub seed: u64,
    /// The load of each workspace.
    pub load: Vec<WorkspaceLoad>,
    /// The faults in the order in which they are injected.
    pub faults: Vec<PlannedFault>,
}

impl TryFrom<ScenarioWire> for Scenario {
    type Error = settings::FieldError;

    fn try_from(wire: ScenarioWire) -> Result<Self, settings::FieldError> {
        if !(1.0..=600.0).contains(&wire.seconds) {
            return Err(settings::FieldError::new(
                "seconds",
                "must be from 1 to 600",
            ));
        }
        let mut load = Vec::new();
        let mut workspaces = Vec::new();
        for (index, entry) in wire.load.iter().enumerate() {
            let field_path = |field: &str| format!("load[{index}].{field}");
            if !(0.0..=1.0).contains(&entry.write_share) {
                return Err(settings::FieldError::new(
                    field_path("write_share"),
                    "must be from 0 to 1",
                ));
            }
            if !(0.0..=1.0).contains(&entry.prepared_share) {
                return Err(settings::FieldError::new(
                    field_path("prepared_share"),
                    "must be from 0 to 1",
                ));
            }
            if entry.sessions == 0 {
                return Err(settings::FieldError::new(
                    field_path("sessions"),
                    "must be at least 1",
                ));
            }
            workspaces.push(plan::WorkspacePlan {
                name: entry.workspace.clone(),
                rate_per_second: entry.rate_per_second,
                burst: entry.burst,
                weight: entry.weight,
            });
            load.push(WorkspaceLoad {
                workspace: entry.workspace.clone(),
                rate_per_second: entry.rate_per_second,
                sessions: entry.sessions,
                requests_per_second: entry.requests_per_second,
                write_share: entry.write_share,
                read_kind: entry.read_kind.clone(),
                prepared_share: entry.prepared_share,
                only_proxy: entry.only_proxy,
            });
        }
        let to_fault = |fault: &FaultWire| PlannedFault {
            at: Duration::from_secs_f64(fault.at_seconds.max(0.0)),
            kind: fault.kind,
            index: fault.index,
        };
        let is_cut_or_mend =
            |fault: &FaultWire| matches!(fault.kind, FaultKind::CutCentre | FaultKind::MendCentre);
        let has_cuttable_links = wire.faults.iter().any(is_cut_or_mend);
        Ok(Self {
            name: wire.name,
            fleet: build_fleet_plan(wire.deployment, workspaces, has_cuttable_links),
            duration: Duration::from_secs_f64(wire.seconds),
            seed: wire.seed,
            load,
            faults: wire.faults.iter().map(to_fault).collect(),
        })
    }
}

/// Builds the plan of the environment; each group has one database in each of the
/// first three data centres.
fn build_fleet_plan(
    wire: DeploymentWire,
    workspaces: Vec<plan::WorkspacePlan>,
    has_cuttable_links: bool,
) -> plan::FleetPlan {
    let to_data_centre = |data_centre: DataCentreWire| plan::DataCentrePlan {
        name: data_centre.name,
        vm_count: data_centre.vms,
    };
    let database_count = wire.data_centres.len().min(3);
    let to_service = |name: String| plan::ServicePlan {
        name,
        database_count,
    };
    let to_read_kind = |read: ReadKindWire| plan::ReadKindPlan {
        name: read.name,
        max_age: Duration::from_millis(read.max_age_ms),
        max_wait: Duration::from_millis(read.wait_ms),
    };
    plan::FleetPlan {
        environment: "bench".to_owned(),
        data_centres: wire.data_centres.into_iter().map(to_data_centre).collect(),
        services: wire.services.into_iter().map(to_service).collect(),
        workspaces,
        read_kinds: wire.reads.into_iter().map(to_read_kind).collect(),
        databases: plan::DatabasePlan {
            max_connections: wire.connections,
            max_running_statements: wire.slots,
            connect_time: Duration::from_millis(wire.connect_ms),
            statement_time: Duration::from_micros(wire.statement_us),
            replication_delay: Duration::from_micros(wire.between_centres_us),
            replay_lags: wire
                .lags_ms
                .into_iter()
                .map(Duration::from_millis)
                .collect(),
        },
        has_cuttable_links,
        document: None,
        link_delay: Duration::from_micros(wire.between_centres_us),
    }
}

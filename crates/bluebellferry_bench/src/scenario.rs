//! Scenarios as they are written in JSON.

use std::time::Duration;

use bluebellferry_fleet::plan;
use bluebellferry_runtime::settings;
use serde::Deserialize;
use serde::Serialize;

/// A scenario as it is written.
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

/// The deployment's shape.
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
    reads: Vec<ReadWire>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DataCentreWire {
    name: String,
    vms: u32,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReadWire {
    name: String,
    max_age_ms: u64,
    #[serde(default = "default_wait_ms")]
    wait_ms: u64,
}

const fn default_wait_ms() -> u64 {
    30
}

/// One workspace's load.
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
    only_proxy: Option<usize>,
}

const fn default_weight() -> u32 {
    1
}

/// A fault at a time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultWire {
    at_seconds: f64,
    kind: FaultKind,
    #[serde(default)]
    index: usize,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The primary of the service with the given index is killed.
    KillPrimary,
    /// That primary is frozen.
    FreezePrimary,
    /// The proxy with the given index is killed.
    KillProxy,
    /// The store goes out.
    StoreOut,
    /// The store comes back.
    StoreBack,
    /// The data centre with the given index is cut off.
    CutCentre,
    /// It is reachable again.
    MendCentre,
}

/// One workspace's load, checked.
#[derive(Debug, Clone)]
pub struct WorkspaceLoad {
    /// The workspace.
    pub workspace: String,
    /// Its rate in the document.
    pub rate_per_second: f64,
    /// How many sessions it has.
    pub sessions: usize,
    /// What it sends, over all sessions.
    pub requests_per_second: f64,
    /// The share of writes, from 0 to 1.
    pub write_share: f64,
    /// The kind of its reads.
    pub read_kind: String,
    /// The one proxy that it uses, or all.
    pub only_proxy: Option<usize>,
}

/// A fault, checked.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// When it happens, from the start of the load.
    pub at: Duration,
    /// What happens.
    pub kind: FaultKind,
    /// To which service, proxy or data centre.
    pub index: usize,
}

/// A checked scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name.
    pub name: String,
    /// The environment.
    pub fleet: plan::FleetPlan,
    /// How long the load lasts.
    pub duration: Duration,
    /// The seed of all random choices.
    pub seed: u64,
    /// The load.
    pub load: Vec<WorkspaceLoad>,
    /// The faults in order.
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
            let path = |field: &str| format!("load[{index}].{field}");
            if !(0.0..=1.0).contains(&entry.write_share) {
                return Err(settings::FieldError::new(
                    path("write_share"),
                    "must be from 0 to 1",
                ));
            }
            if entry.sessions == 0 {
                return Err(settings::FieldError::new(
                    path("sessions"),
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
                only_proxy: entry.only_proxy,
            });
        }
        let fault = |fault: &FaultWire| PlannedFault {
            at: Duration::from_secs_f64(fault.at_seconds.max(0.0)),
            kind: fault.kind,
            index: fault.index,
        };
        let cuts =
            |fault: &FaultWire| matches!(fault.kind, FaultKind::CutCentre | FaultKind::MendCentre);
        let cuttable = wire.faults.iter().any(cuts);
        Ok(Self {
            name: wire.name,
            fleet: fleet_plan(wire.deployment, workspaces, cuttable),
            duration: Duration::from_secs_f64(wire.seconds),
            seed: wire.seed,
            load,
            faults: wire.faults.iter().map(fault).collect(),
        })
    }
}

fn fleet_plan(
    wire: DeploymentWire,
    workspaces: Vec<plan::WorkspacePlan>,
    cuttable: bool,
) -> plan::FleetPlan {
    let centre = |centre: DataCentreWire| plan::DataCentrePlan {
        name: centre.name,
        vms: centre.vms,
    };
    let databases = wire.data_centres.len().min(3);
    let service = |name: String| plan::ServicePlan { name, databases };
    let read = |read: ReadWire| plan::ReadKindPlan {
        name: read.name,
        max_age: Duration::from_millis(read.max_age_ms),
        max_wait: Duration::from_millis(read.wait_ms),
    };
    plan::FleetPlan {
        environment: "bench".to_owned(),
        data_centres: wire.data_centres.into_iter().map(centre).collect(),
        services: wire.services.into_iter().map(service).collect(),
        workspaces,
        read_kinds: wire.reads.into_iter().map(read).collect(),
        databases: plan::DatabasePlan {
            connections: wire.connections,
            slots: wire.slots,
            connect_time: Duration::from_millis(wire.connect_ms),
            statement_time: Duration::from_micros(wire.statement_us),
            replication_delay: Duration::from_micros(wire.between_centres_us),
            replay_lags: wire
                .lags_ms
                .into_iter()
                .map(Duration::from_millis)
                .collect(),
        },
        has_cuttable_links: cuttable,
        document: None,
        link_delay: Duration::from_micros(wire.between_centres_us),
    }
}

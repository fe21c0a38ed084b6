//! The heartbeat of VMs whose members and leaders stand in the store.

use bluebellferry_catalog::leadership;
use bluebellferry_types::name;
use bluebellferry_types::position;
use serde::Deserialize;
use serde::Serialize;

/// The latest heartbeat that the sender has received from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatEcho {
    /// The other VM.
    pub vm: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The sequence number.
    pub sequence: u64,
}

/// A position that a leader was seen to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionSample {
    /// The service.
    pub service: name::ServiceName,
    /// The position.
    pub position: position::LogPosition,
    /// How long before the heartbeat the leader was asked, in milliseconds.
    pub age_ms: u32,
}

/// A leader that the sender cannot use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderSuspicion {
    /// The service.
    pub service: name::ServiceName,
    /// The leader.
    pub database: name::DatabaseName,
}

/// The part of a fleet-wide limit that a VM gets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmWeight {
    /// The VM.
    pub vm: String,
    /// The part, from 0 to 1.
    pub part: f64,
}

/// The parts of one workspace's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceParts {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// The parts, in the order of the table's VMs.
    pub parts: Vec<f32>,
}

/// What callers of a workspace ask of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// Operations a second.
    pub per_second: f32,
}

/// The parts of all VMs, as one of them has set them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightTable {
    /// The number of this table; higher ones replace lower ones.
    pub number: u64,
    /// The parts of connections.
    pub weights: Vec<VmWeight>,
    /// The parts of rates, for workspaces whose demand is known.
    pub workspaces: Vec<WorkspaceParts>,
}

/// What a VM tells every other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetBeat {
    /// The sender's name.
    pub vm: String,
    /// Whether the sender takes no new callers.
    pub is_leaving: bool,
    /// Whether the store answers the sender.
    pub has_store: bool,
    /// The version of the configuration in force at the sender.
    pub configuration_version: u64,
    /// The revision of the sender's leadership table.
    pub table_revision: u64,
    /// The table, if some other VM may not have it.
    pub table: Option<leadership::LeadershipTable>,
    /// Whether the sender is trying to enter a replacement into the table.
    pub is_claiming: bool,
    /// What the sender has received.
    pub echoes: Vec<BeatEcho>,
    /// Operations that the sender's callers started, a second.
    pub operations_per_second: f64,
    /// What the sender's callers ask for, by workspace; none where there are too
    /// many workspaces to tell.
    pub demands: Vec<WorkspaceDemand>,
    /// The number of the parts that the sender knows.
    pub parts_number: u64,
    /// The parts that the sender has set, if some other VM may not have them.
    pub weights: Option<WeightTable>,
    /// Leaders that the sender cannot use.
    pub suspicions: Vec<LeaderSuspicion>,
    /// What leaders were seen to hold.
    pub positions: Vec<PositionSample>,
}

//! The heartbeat of VMs whose members and leaders stand in the store.

use std::time::Duration;

use bluebellferry_catalog::leadership;
use bluebellferry_types::name;
use bluebellferry_types::position;
use serde::Deserialize;
use serde::Serialize;

/// The latest heartbeat that the sender has received from the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// The receiver's incarnation.
    pub incarnation: u64,
    /// The sequence number.
    pub sequence: u64,
    /// How long ago it came, in milliseconds, rounded down.
    #[serde(rename = "held_ms")]
    pub delay_ms: u32,
    /// The latest of the receiver's heartbeats that the sender had before the table
    /// of leaders was confirmed to it.
    pub confirmed: Option<u64>,
}

/// A leader that the sender asked and found leading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbedLeader {
    /// The service.
    pub service: name::ServiceName,
    /// The leader.
    pub database: name::DatabaseName,
    /// The latest of the receiver's heartbeats that the sender had before it asked.
    pub sequence: u64,
}

/// A position that a leader was seen to hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionSample {
    /// The service.
    pub service: name::ServiceName,
    /// The position.
    pub position: position::LogPosition,
    /// How long before the heartbeat the leader was asked, in milliseconds, rounded up.
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
pub struct VmAllocation {
    /// The VM, or the data centre.
    pub vm: String,
    /// The part, from 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
}

/// The parts of one workspace's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAllocations {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// The parts, in the order of the table's VMs.
    #[serde(rename = "parts")]
    pub fractions: Vec<f32>,
}

/// What callers of a workspace ask of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// Operations a second.
    pub per_second: f32,
}

/// The parts of a group of VMs, or of data centres, as one VM has set them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AllocationTable {
    /// The number of this table; higher ones replace lower ones.
    pub number: u64,
    /// The parts of connections; of data centres, of all operations.
    #[serde(rename = "weights")]
    pub allocations: Vec<VmAllocation>,
    /// The parts of rates, for workspaces whose demand is known.
    pub workspaces: Vec<WorkspaceAllocations>,
}

/// The versions of what the sender has read from the store. Other VMs fetch what is
/// newer than their own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreVersions {
    /// The version of the configuration in force.
    pub configuration: u64,
    /// Its size as text, in bytes.
    pub configuration_bytes: u32,
    /// The store's revision when the list of databases last changed.
    pub databases: u64,
    /// The store's revision when the list of VMs last changed.
    pub members: u64,
}

/// What a data centre's callers ask for, as its head has heard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CentreDemand {
    /// Operations that callers started, a second.
    pub operations_per_second: f64,
    /// The same for each workspace.
    pub workspaces: Vec<WorkspaceDemand>,
}

/// What all VMs of the sender's data centre have seen of the table of leaders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreAcknowledgement {
    /// A digest of their names, as the sender lists them.
    pub members: u64,
    /// The lowest revision that one of them has; 0 if one is silent, or is trying to
    /// enter a replacement.
    pub revision: u64,
}

/// What a VM tells another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetHeartbeat {
    /// The sender's name.
    pub vm: String,
    /// Whether the sender takes no new callers.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// Whether the store answers the sender.
    #[serde(rename = "has_store")]
    pub is_store_reachable: bool,
    /// Whether the sender is the head of its data centre, or all VMs send to each other.
    #[serde(rename = "is_head")]
    pub is_coordinator: bool,
    /// Whether most VMs among which the sender deals out parts answer it.
    #[serde(rename = "is_answered_by_most")]
    pub has_group_majority: bool,
    /// Whether the sender, as a head, has no answers from most other data centres.
    pub is_isolated: bool,
    /// Whether the sender asks for answers.
    #[serde(rename = "asks_answer")]
    pub expects_reply: bool,
    /// What the sender has read from the store.
    pub versions: StoreVersions,
    /// The revision of the sender's leadership table.
    pub table_revision: u64,
    /// The table, if some other VM may not have it.
    pub table: Option<leadership::LeadershipTable>,
    /// Whether the sender is trying to enter a replacement into the table.
    pub is_claiming: bool,
    /// What the VMs of the sender's data centre have seen, if the sender is their head.
    #[serde(rename = "centre_seen")]
    pub centre_acknowledgement: Option<CentreAcknowledgement>,
    /// What the sender has received from the receiver, which it counts as a member.
    pub echo: Option<HeartbeatEcho>,
    /// Leaders that the sender has asked a moment ago.
    pub probed: Vec<ProbedLeader>,
    /// Operations that the sender's callers started, a second.
    pub operations_per_second: f64,
    /// What the sender's callers ask for, by workspace; none in most heartbeats
    /// where there are many VMs.
    pub demands: Option<Vec<WorkspaceDemand>>,
    /// What the callers of the sender's data centre ask for, now and then.
    pub centre_demand: Option<CentreDemand>,
    /// The number of the parts that the sender knows.
    #[serde(rename = "parts_number")]
    pub allocation_number: u64,
    /// The parts that the sender has set, if the receiver may not have them.
    #[serde(rename = "weights")]
    pub allocation_table: Option<AllocationTable>,
    /// The number of the data centres' parts that the sender knows.
    #[serde(rename = "centre_parts_number")]
    pub centre_allocation_number: u64,
    /// The data centres' parts, if the receiver may not have them.
    #[serde(rename = "centre_weights")]
    pub centre_allocation_table: Option<AllocationTable>,
    /// Leaders that the sender cannot use.
    pub suspicions: Vec<LeaderSuspicion>,
    /// What leaders were seen to hold.
    pub positions: Vec<PositionSample>,
}

impl FleetHeartbeat {
    /// Returns how long the sender had held the heartbeat that it answers.
    pub fn echo_delay(&self) -> Duration {
        let delay_ms = self.echo.as_ref().map_or(0, |echo| echo.delay_ms);
        Duration::from_millis(u64::from(delay_ms))
    }
}

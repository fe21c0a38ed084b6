//! The heartbeat that VMs send each other when the store lists all VMs and holds the
//! leadership table.

use std::time::Duration;

use bluebellferry_catalog::leadership;
use bluebellferry_routing::assessment;
use bluebellferry_shares::ownership;
use bluebellferry_types::name;
use bluebellferry_types::position;
use serde::Deserialize;
use serde::Serialize;

/// The latest heartbeat that the sender has received from the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// The receiver's incarnation.
    pub incarnation: u64,
    /// The sequence number of the receiver's heartbeat.
    pub sequence: u64,
    /// The time between the arrival of that heartbeat and this answer, in milliseconds,
    /// rounded down.
    #[serde(rename = "held_ms")]
    pub delay_ms: u32,
    /// The sequence number of the receiver's latest heartbeat that had arrived before the
    /// store last confirmed the leadership table to the sender.
    pub confirmed: Option<u64>,
}

/// A leader that the sender probed and found leading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbedLeader {
    /// The service.
    pub service: name::ServiceName,
    /// The leader.
    pub database: name::DatabaseName,
    /// The sequence number of the receiver's latest heartbeat that had arrived before the
    /// probe was sent.
    pub sequence: u64,
}

/// A log position that a leader reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionSample {
    /// The service.
    pub service: name::ServiceName,
    /// The position.
    pub position: position::LogPosition,
    /// The time between the request to the leader and this heartbeat, in milliseconds,
    /// rounded up.
    pub age_ms: u32,
}

/// What the sender acknowledged of a service whose leader is being replaced. It acknowledges no
/// commits of that leader any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedServiceReport {
    /// The service.
    pub service: name::ServiceName,
    /// A position that covers every commit that the sender's process acknowledged to a caller.
    pub acknowledged_end: Option<position::LogPosition>,
    /// Whether databases may have left before the sender's process learned which are registered.
    pub may_have_missed_departures: bool,
    /// Whether the sender's process has seen the leader leading since it was chosen.
    pub has_seen_leader: bool,
}

/// What a VM acknowledged to callers before it learned of the replacements under way. Sent beside
/// heartbeats while the sender's leadership table has such replacements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacementReport {
    /// The sender's name.
    pub vm: String,
    /// The revision of the sender's leadership table.
    pub table_revision: u64,
    /// How long the sender's process has been running, in milliseconds, rounded down.
    pub running_ms: u64,
    /// The services whose leader is being replaced according to that table.
    pub services: Vec<ReplacedServiceReport>,
}

/// A leader that the sender cannot use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderSuspicion {
    /// The service.
    pub service: name::ServiceName,
    /// The leader.
    pub database: name::DatabaseName,
}

/// The fraction of a fleet-wide limit that is allocated to a VM or to a data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmAllocation {
    /// The name of the VM or of the data centre.
    pub vm: String,
    /// The fraction, from 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// Whether the VM or the data centre may own rates of workspaces.
    pub standing: ownership::MemberStanding,
}

/// How the rate of one workspace is allocated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAllocations {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// The fractions, in the order of [`AllocationTable::allocations`].
    #[serde(rename = "parts")]
    pub fractions: Vec<f32>,
}

/// The rate of operations that callers of a workspace ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceDemand {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// The rate, in operations per second.
    pub per_second: f32,
}

/// How fleet-wide limits are allocated to the VMs of a group or to the data centres, as
/// one VM has decided.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AllocationTable {
    /// The version of this table; higher ones replace lower ones.
    pub number: u64,
    /// The allocations of database connections, and of the rates of workspaces that are not
    /// listed in `workspaces`.
    #[serde(rename = "weights")]
    pub allocations: Vec<VmAllocation>,
    /// The allocations of rates in a full mesh, for workspaces that have allocations of their
    /// own. In larger fleets, the owners of a rate follow from the standings.
    pub workspaces: Vec<WorkspaceAllocations>,
}

/// The versions of the objects that the sender has read from the store. A VM with an
/// older version fetches the newer object from the sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreVersions {
    /// The version of the configuration that the sender uses.
    pub configuration: u64,
    /// The size of the configuration's text, in bytes.
    pub configuration_bytes: u32,
    /// The store's revision when the list of databases last changed.
    pub databases: u64,
    /// The store's revision when the list of VMs last changed.
    pub members: u64,
    /// The store's revision when the evacuations last changed.
    #[serde(default)]
    pub evacuations: u64,
}

/// What the sender saw of a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedDatabase {
    /// The service of the database.
    pub service: name::ServiceName,
    /// The database.
    pub database: name::DatabaseName,
    /// What the sender saw.
    pub observation: assessment::DatabaseObservation,
}

/// The data centres that are being evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// The store's revision when the list last changed.
    pub revision: u64,
    /// The data centres.
    pub data_centres: Vec<name::DataCentreName>,
}

/// The demand of all callers in a data centre, as its coordinator has measured it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CentreDemand {
    /// The rate of operations that callers started, in operations per second.
    pub operations_per_second: f64,
    /// The demand of each workspace.
    pub workspaces: Vec<WorkspaceDemand>,
}

/// The revision of the leadership table that all VMs of the sender's data centre have
/// acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreAcknowledgement {
    /// A digest of the VMs' names, as the sender lists them.
    pub members: u64,
    /// The lowest revision that any of these VMs has, or 0 if one of them is unresponsive,
    /// or is recording a replacement in the table or carrying it out.
    pub revision: u64,
}

/// The heartbeat that a VM sends to another one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetHeartbeat {
    /// The sender's name.
    pub vm: String,
    /// Whether the sender drains: it accepts no new callers.
    #[serde(rename = "is_leaving")]
    pub is_draining: bool,
    /// Whether the store answers the sender.
    #[serde(rename = "has_store")]
    pub is_store_reachable: bool,
    /// Whether the sender is the coordinator of its data centre; true for every VM of a
    /// full mesh.
    #[serde(rename = "is_head")]
    pub is_coordinator: bool,
    /// Whether a majority of the group in which the sender's limits are allocated
    /// answers the sender, and none of these VMs has later allocations.
    #[serde(rename = "is_answered_by_most")]
    pub has_group_majority: bool,
    /// Whether the sender is a coordinator that no majority of the data centres answers.
    pub is_isolated: bool,
    /// Whether the sender follows the receiver as the coordinator of its data centre.
    #[serde(rename = "follows")]
    pub is_follower: bool,
    /// Whether the receiver is asked to reply with heartbeats of its own.
    #[serde(rename = "asks_answer")]
    pub expects_reply: bool,
    /// The versions of the objects that the sender has read from the store.
    pub versions: StoreVersions,
    /// The revision of the sender's leadership table.
    pub table_revision: u64,
    /// The leadership table, if the receiver may not have this revision.
    #[serde(with = "table_copy")]
    pub table: Option<leadership::LeadershipTable>,
    /// Whether the sender is recording a replacement in the leadership table or carrying it
    /// out.
    pub is_claiming: bool,
    /// What the VMs of the sender's data centre have acknowledged, if the sender is their
    /// coordinator.
    #[serde(rename = "centre_seen")]
    pub centre_acknowledgement: Option<CentreAcknowledgement>,
    /// The latest heartbeat from the receiver, if the sender lists the receiver as a
    /// member of the fleet.
    pub echo: Option<HeartbeatEcho>,
    /// The leaders that the sender has probed within the lease that a probe grants.
    pub probed: Vec<ProbedLeader>,
    /// The rate of operations that the sender's callers started, in operations per second.
    pub operations_per_second: f64,
    /// The demand of the sender's callers by workspace; absent in fleets that are too
    /// large for a full mesh.
    pub demands: Option<Vec<WorkspaceDemand>>,
    /// The demand of all callers in the sender's data centre. VMs of this version do not
    /// send it, but use it if they receive it.
    pub centre_demand: Option<CentreDemand>,
    /// The version of the allocations in the sender's group that the sender knows.
    #[serde(rename = "parts_number")]
    pub allocation_number: u64,
    /// The allocations in the sender's group, if the receiver may not have them.
    #[serde(rename = "weights")]
    pub allocation_table: Option<AllocationTable>,
    /// The time since the allocations in the sender's group were announced, in milliseconds and
    /// as far as the sender knows; at most the true time.
    #[serde(rename = "parts_age_ms")]
    pub allocation_age_ms: u32,
    /// The version of the data centres' allocations that the sender knows.
    #[serde(rename = "centre_parts_number")]
    pub centre_allocation_number: u64,
    /// The allocations of the data centres, if the receiver may not have them.
    #[serde(rename = "centre_weights")]
    pub centre_allocation_table: Option<AllocationTable>,
    /// The time since the allocations of the data centres were announced, likewise.
    #[serde(rename = "centre_parts_age_ms")]
    pub centre_allocation_age_ms: u32,
    /// The leaders that the sender cannot use.
    pub suspicions: Vec<LeaderSuspicion>,
    /// The latest positions that leaders reported.
    pub positions: Vec<PositionSample>,
    /// The evacuated data centres, if the receiver may not know them.
    pub evacuations: Option<EvacuationList>,
    /// What the sender saw of databases since its last heartbeat to the coordinator of its data
    /// centre; empty for other receivers.
    pub observations: Vec<ObservedDatabase>,
    /// The verdicts on databases, if the sender is the coordinator of the receiver's data centre.
    pub verdicts: Vec<assessment::DatabaseVerdict>,
}

impl FleetHeartbeat {
    /// Returns the time between the arrival of the heartbeat that this one answers and
    /// the sending of this one.
    pub fn echo_delay(&self) -> Duration {
        let delay_ms = self.echo.as_ref().map_or(0, |echo| echo.delay_ms);
        Duration::from_millis(u64::from(delay_ms))
    }
}

/// The form of the leadership table in heartbeats, which VMs of earlier versions can decode. It
/// lacks what only a VM needs that replaces a leader, and reads from the store.
mod table_copy {
    use bluebellferry_catalog::leadership;
    use serde::Deserialize;
    use serde::Serialize;

    pub(super) fn serialize<S: serde::Serializer>(
        table: &Option<leadership::LeadershipTable>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let copy = table.as_ref().map(leadership::LeadershipTableCopy::from);
        copy.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<leadership::LeadershipTable>, D::Error> {
        let copy = Option::<leadership::LeadershipTableCopy>::deserialize(deserializer)?;
        Ok(copy.map(leadership::LeadershipTable::from))
    }
}

//! Allocates fleet-wide limits to the VMs. An allocation is a fraction of a limit. The size
//! of a VM's token bucket for a workspace, its share, is its allocation of the workspace's
//! rate and burst.
//!
//! Callers are spread unevenly over the VMs, and those of one workspace even more so.
//! So one VM, the allocator, allocates the limits by demand and announces the allocations
//! to the others. Where all VMs send heartbeats to each other (a full mesh), that is the
//! first live VM. Otherwise each data centre has a coordinator. The first coordinator
//! allocates the limits to the data centres. The other coordinators don't announce the
//! demand of their data centres, so it leaves the allocations of those as they are. Each
//! coordinator distributes its data centre's allocation to the VMs there. Rates then go to
//! a few owners among these VMs (see [`owners`]).
//!
//! A smaller allocation takes effect at once, a larger one after a delay. An unresponsive
//! VM keeps its allocation, since it can't be told of a new one.

pub mod table;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_types::name;

use crate::control::owners;
use crate::control::state;

/// The interval at which allocations are computed where rates have owners.
pub const OWNER_ALLOCATION_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which allocations are computed in a full mesh.
pub const ALLOCATION_INTERVAL: Duration = Duration::from_secs(2);
/// The delay before a larger allocation takes effect in a full mesh: several heartbeats,
/// so that all other VMs have reduced theirs.
pub const GROWTH_DELAY: Duration = Duration::from_secs(2);
/// The delay before a larger allocation takes effect where rates have owners. An
/// unresponsive owner has already reduced its allocation by itself (see
/// [`owners::EQUAL_FALLBACK_DELAY`]); the others receive theirs within two heartbeats, or
/// three if one is lost.
pub const OWNER_GROWTH_DELAY: Duration = Duration::from_secs(1);
/// The smallest change of a VM's allocation that is announced, as a fraction of the limit.
const MIN_CHANGE: f64 = 0.06;
/// The smallest change of a data centre's allocation that is announced. It is lower than
/// for VMs, because the demand of data centres is averaged for longer.
const MIN_CENTRE_CHANGE: f64 = 0.02;
/// The most allocations of rates in a table: the number of VMs, or of data centres, times
/// the number of workspaces. At four bytes each they fit into a datagram with the rest of a
/// heartbeat.
const MAX_RATE_ALLOCATIONS: usize = 2_048;
/// The most allocations of rates in a table of a full mesh, where every VM sends
/// heartbeats to all others, also to those in other regions.
const MAX_MESH_RATE_ALLOCATIONS: usize = 256;
/// The time constant in seconds over which a workspace's demand is averaged in a full
/// mesh: ten heartbeats.
const DEMAND_AVERAGING_S: f64 = 4.0;
/// The time constant in seconds where limits are allocated first to data centres and then
/// to VMs: long enough for a few operations of a small workspace in each data centre.
const CENTRE_DEMAND_AVERAGING_S: f64 = 12.0;

/// Tracks the operations per second that the callers of each workspace start on this VM.
#[derive(Debug, Default)]
pub struct DemandTracker {
    per_second: BTreeMap<name::WorkspaceName, f64>,
    measured_at: Option<Instant>,
}

impl DemandTracker {
    /// Measures the demand of each workspace. Returns an empty list if there are too many
    /// workspaces to announce allocations for each.
    pub fn measure(
        &mut self,
        control: &state::ControlState,
        now: Instant,
    ) -> Vec<heartbeat::WorkspaceDemand> {
        let shares = control.shared.rate_limiter.workspace_shares();
        let member_count = control
            .group_members()
            .count()
            .max(control.centre_sizes().len());
        let max_allocations = if control.topology.is_full_mesh() {
            MAX_MESH_RATE_ALLOCATIONS
        } else {
            MAX_RATE_ALLOCATIONS
        };
        if shares.len() * member_count > max_allocations {
            return Vec::new();
        }
        let names = shares.iter().map(|(name, _)| name);
        let names: std::collections::BTreeSet<_> = names.collect();
        self.per_second.retain(|name, _| names.contains(name));
        let elapsed = self.measured_at.map_or(0.0, |measured_at| {
            now.saturating_duration_since(measured_at).as_secs_f64()
        });
        self.measured_at = Some(now);
        let averaging_s = if control.has_owners() {
            CENTRE_DEMAND_AVERAGING_S
        } else {
            DEMAND_AVERAGING_S
        };
        let weight = 1.0 - (-elapsed / averaging_s).exp();
        for (workspace, share) in &shares {
            let measured = share.demand_per_second(now);
            let average = self.per_second.entry(workspace.clone()).or_insert(0.0);
            *average += weight * (measured - *average);
        }
        let demand =
            |(workspace, per_second): (&name::WorkspaceName, &f64)| heartbeat::WorkspaceDemand {
                workspace: workspace.clone(),
                per_second: *per_second as f32,
            };
        self.per_second.iter().map(demand).collect()
    }
}

/// The demand of this VM's own callers.
#[derive(Debug, Clone)]
pub struct LocalDemand {
    /// The operations that the callers start per second.
    pub operations_per_second: f64,
    /// The demand of each workspace; empty if there are too many workspaces.
    pub demands: Vec<heartbeat::WorkspaceDemand>,
}

/// Returns whether this VM is the allocator of its group: of its data centre, or of all
/// VMs in a full mesh.
pub fn is_group_allocator(control: &state::ControlState, now: Instant) -> bool {
    if !control.topology.is_full_mesh() {
        return control.topology.is_coordinator(now);
    }
    control.ranks_first_among(now, |_| true)
}

/// Returns whether this VM is the allocator for the data centres: the first coordinator.
fn is_centre_allocator(control: &state::ControlState, now: Instant) -> bool {
    let is_full = control.topology.is_full_mesh();
    let is_coordinator =
        |heartbeat: &heartbeat::FleetHeartbeat| heartbeat.is_coordinator && !heartbeat.is_draining;
    !is_full
        && control.topology.is_coordinator(now)
        && control.ranks_first_among(now, is_coordinator)
}

/// Returns the demand of the callers of this VM's data centre.
pub fn centre_demand(
    control: &state::ControlState,
    own: &LocalDemand,
    now: Instant,
) -> heartbeat::CentreDemand {
    let mut sums: BTreeMap<&name::WorkspaceName, f32> = BTreeMap::new();
    let mut operations_per_second = own.operations_per_second;
    let group_peers = control.live_peers(now);
    let group_peers: Vec<_> = group_peers
        .filter(|(name, _)| control.is_in_group(name))
        .collect();
    for (_, record) in &group_peers {
        operations_per_second += record.heartbeat.operations_per_second;
    }
    let announced = group_peers
        .iter()
        .flat_map(|(_, record)| record.demands.iter());
    for demand in announced.chain(&own.demands) {
        *sums.entry(&demand.workspace).or_default() += demand.per_second;
    }
    let demand =
        |(workspace, per_second): (&&name::WorkspaceName, &f32)| heartbeat::WorkspaceDemand {
            workspace: Clone::clone(*workspace),
            per_second: *per_second,
        };
    heartbeat::CentreDemand {
        operations_per_second,
        workspaces: sums.iter().map(demand).collect(),
    }
}

/// Computes the allocations for which this VM is the allocator, and announces them if they
/// have changed.
pub fn update_allocations(
    control: &mut state::ControlState,
    own_demand: &LocalDemand,
    now: Instant,
) {
    if !control.has_joined {
        return;
    }
    if is_centre_allocator(control, now) {
        allocate_to_centres(control, own_demand, now);
    }
    if is_group_allocator(control, now) {
        allocate_in_group(control, own_demand, now);
    }
}

/// Returns the allocations of rates to their owners among the VMs of this VM's data centre.
fn owner_allocations<'a>(
    control: &state::ControlState,
    names: &'a [String],
    now: Instant,
) -> Vec<heartbeat::WorkspaceAllocations> {
    let workspaces = &control.configuration.decoded.workspaces;
    if workspaces.len() * names.len() > MAX_RATE_ALLOCATIONS {
        return Vec::new();
    }
    let allocations = table::MemberAllocations::new(&control.allocation_table, names);
    let own_name = control.own_name();
    let unresponsive_time = |vm: &String| {
        let unresponsive_for = (vm != own_name).then(|| control.time_without_heartbeat(vm, now));
        counted_unresponsive_time(unresponsive_for, control.is_in_minority)
    };
    let unresponsive_times: Vec<_> = names.iter().map(unresponsive_time).collect();
    let mut all = Vec::new();
    let sorted: BTreeMap<_, _> = workspaces.iter().collect();
    for (workspace, policy) in sorted {
        let centre_allocation = control.centre_rate_allocation(workspace);
        // An equal fraction for each VM of the fleet, relative to the data centre's allocation.
        let equal_allocation = 1.0 / control.members.len().max(1) as f64;
        let equal_allocation = equal_allocation / centre_allocation.max(equal_allocation);
        let candidate = |(index, vm): (usize, &'a String)| owners::OwnerCandidate {
            name: vm,
            unresponsive_for: unresponsive_times[index],
            previous_allocation: allocations.rate_allocation(index, workspace),
            equal_allocation,
        };
        let candidates: Vec<_> = names.iter().enumerate().map(candidate).collect();
        let count = owners::owner_count(policy.rate_per_second * centre_allocation);
        all.push(heartbeat::WorkspaceAllocations {
            workspace: workspace.clone(),
            fractions: owners::allocate(workspace, count, &candidates),
        });
    }
    all
}

/// Returns for how long another VM or data centre has been unresponsive, or `None` if that
/// is too short to count.
///
/// For a VM in a minority the time counts as no longer than [`topology::HEARTBEAT_TIMEOUT`]: it
/// must not assume that the others have fallen back to equal allocations.
fn counted_unresponsive_time(
    unresponsive_for: Option<Duration>,
    is_in_minority: bool,
) -> Option<Duration> {
    let unresponsive_for = unresponsive_for.filter(|time| *time >= topology::HEARTBEAT_TIMEOUT)?;
    Some(if is_in_minority {
        topology::HEARTBEAT_TIMEOUT
    } else {
        unresponsive_for
    })
}

fn allocate_in_group(control: &mut state::ControlState, own_demand: &LocalDemand, now: Instant) {
    let names: Vec<String> = control.group_members().cloned().collect();
    // Rates that have owners are not allocated by demand.
    let has_owners = control.has_owners();
    let workspaces = |demands| if has_owners { &[][..] } else { demands };
    let mut live = BTreeMap::new();
    let mut number = control.allocation_table.number;
    for (name, record) in control.live_peers(now) {
        if control.is_in_group(name) {
            let demand = table::MemberDemand {
                operations_per_second: record.heartbeat.operations_per_second,
                workspaces: workspaces(&record.demands),
            };
            live.insert(name.as_str(), demand);
            // After a restart this VM doesn't know the number of the latest table.
            number = number.max(record.heartbeat.allocation_number);
        }
    }
    let demand = table::MemberDemand {
        operations_per_second: own_demand.operations_per_second,
        workspaces: workspaces(&own_demand.demands),
    };
    live.insert(control.own_name(), demand);
    let rate_of = |workspace: &name::WorkspaceName| {
        let policies = &control.configuration.decoded.workspaces;
        let rate = policies.get(workspace);
        let rate = rate.map_or(0.0, |policy| policy.rate_per_second);
        rate * control.centre_rate_allocation(workspace)
    };
    let rules = table::AllocationRules {
        number,
        min_change: MIN_CHANGE,
        max_retained: |_: &str| f64::INFINITY,
        rate_of,
    };
    let mut next = table::next_table(&control.allocation_table, &names, &live, &rules);
    if has_owners {
        next.workspaces = owner_allocations(control, &names, now);
    }
    if number > control.allocation_table.number
        || table::must_be_announced(&control.allocation_table, &next, MIN_CHANGE)
    {
        control.apply_allocations(&next);
        control.heartbeat_trigger.notify_one();
    }
}

fn allocate_to_centres(control: &mut state::ControlState, own_demand: &LocalDemand, now: Instant) {
    let names: Vec<String> = control
        .centre_sizes()
        .keys()
        .map(|&name| name.to_owned())
        .collect();
    let own_demand = centre_demand(control, own_demand, now);
    let mut live = BTreeMap::new();
    let mut number = control.centre_allocation_table.number;
    for (name, record) in control.live_peers(now) {
        number = number.max(record.heartbeat.centre_allocation_number);
        let member = control
            .members
            .get(name)
            .filter(|_| record.heartbeat.is_coordinator);
        if let (Some(member), Some(announced)) = (member, &record.centre_demand) {
            let demand = table::MemberDemand {
                operations_per_second: announced.operations_per_second,
                workspaces: &announced.workspaces,
            };
            live.insert(member.data_centre.as_str(), demand);
        }
    }
    let demand = table::MemberDemand {
        operations_per_second: own_demand.operations_per_second,
        workspaces: &own_demand.workspaces,
    };
    live.insert(control.shared.settings.data_centre.as_str(), demand);
    let rate_of = |workspace: &name::WorkspaceName| {
        let policies = &control.configuration.decoded.workspaces;
        policies
            .get(workspace)
            .map_or(0.0, |policy| policy.rate_per_second)
    };
    let centres = control.centre_sizes();
    let vm_count = control.members.len().max(1) as f64;
    let max_retained = |centre: &str| {
        let unresponsive_for = control.centre_time_without_heartbeat(centre, now);
        if control.is_isolated || unresponsive_for < owners::EQUAL_FALLBACK_DELAY {
            return f64::INFINITY;
        }
        centres.get(centre).copied().unwrap_or(1) as f64 / vm_count
    };
    let rules = table::AllocationRules {
        number,
        min_change: MIN_CENTRE_CHANGE,
        max_retained,
        rate_of,
    };
    let mut next = table::next_table(&control.centre_allocation_table, &names, &live, &rules);
    allocate_to_owning_centres(control, &names, &mut next, now);
    let current = &control.centre_allocation_table;
    if number > current.number || table::must_be_announced(current, &next, MIN_CENTRE_CHANGE) {
        control.apply_centre_allocations(&next);
        control.heartbeat_trigger.notify_one();
    }
}

/// Allocates the rate of each workspace that is too small for all data centres to a few
/// data centres that own it.
fn allocate_to_owning_centres(
    control: &state::ControlState,
    names: &[String],
    table: &mut heartbeat::AllocationTable,
    now: Instant,
) {
    let workspaces = &control.configuration.decoded.workspaces;
    if workspaces.len() * names.len() > MAX_RATE_ALLOCATIONS {
        return;
    }
    let own_centre = control.shared.settings.data_centre.as_str();
    let allocations = table::MemberAllocations::new(&control.centre_allocation_table, names);
    let centres = control.centre_sizes();
    let vm_count = control.members.len().max(1) as f64;
    let small = workspaces.iter().filter(|(_, policy)| {
        policy.rate_per_second < owners::MIN_CENTRE_RATE * names.len() as f64
    });
    let unresponsive_time = |name: &String| {
        let unresponsive_for =
            (name != own_centre).then(|| control.centre_time_without_heartbeat(name, now));
        counted_unresponsive_time(unresponsive_for, control.is_isolated)
    };
    for (workspace, policy) in small {
        let candidate = |(index, name): (usize, &String)| {
            let count = centres.get(name.as_str()).copied().unwrap_or(1);
            owners::OwnerCandidate {
                name: names[index].as_str(),
                unresponsive_for: unresponsive_time(name),
                previous_allocation: allocations.rate_allocation(index, workspace),
                equal_allocation: count as f64 / vm_count,
            }
        };
        let candidates: Vec<_> = names.iter().enumerate().map(candidate).collect();
        let allocation = heartbeat::WorkspaceAllocations {
            workspace: workspace.clone(),
            fractions: owners::allocate(
                workspace,
                owners::owner_count(policy.rate_per_second),
                &candidates,
            ),
        };
        match table
            .workspaces
            .iter_mut()
            .find(|entry| entry.workspace == *workspace)
        {
            Some(entry) => *entry = allocation,
            None => table.workspaces.push(allocation),
        }
    }
}

//! Allocates fleet-wide limits to the VMs. An allocation is a fraction of a limit. The size
//! of a VM's token bucket for a workspace, its share, is its allocation of the workspace's
//! rate and burst.
//!
//! Callers are spread unevenly over the VMs, and those of one workspace even more so.
//! So one VM, the allocator, allocates the limits by demand and announces the allocations
//! to the others. Where all VMs send heartbeats to each other (a full mesh), that is the
//! first live VM. Otherwise each data centre has a coordinator. The first coordinator
//! allocates the limits to the data centres by their numbers of VMs, since the other
//! coordinators don't announce the demand of their data centres. Each coordinator
//! distributes its data centre's allocation to the VMs there. Rates then go to a few owners
//! among these VMs, which every VM computes from the announced standings (see
//! [`ownership`]).
//!
//! A smaller allocation takes effect at once, a larger one after a delay. An unresponsive
//! VM keeps its allocation, since it can't be told of a new one.

pub mod table;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_shares::limiter;
use bluebellferry_shares::ownership;
use bluebellferry_types::limit;
use bluebellferry_types::name;

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
/// [`ownership::EQUAL_FALLBACK_DELAY`]); the others receive theirs within two heartbeats, or
/// three if one is lost.
pub const OWNER_GROWTH_DELAY: Duration = Duration::from_secs(1);
/// The smallest change of a VM's allocation that is announced, as a fraction of the limit.
const MIN_CHANGE: f64 = 0.06;
/// The smallest change of a data centre's allocation that is announced. It is lower than
/// for VMs, because the demand of data centres is averaged for longer.
const MIN_CENTRE_CHANGE: f64 = 0.02;
/// The most allocations of rates in a table of a full mesh, where every VM sends
/// heartbeats to all others, also to those in other regions.
const MAX_MESH_RATE_ALLOCATIONS: usize = 256;
/// The time constant in seconds over which a workspace's demand is averaged in a full
/// mesh: ten heartbeats.
const DEMAND_AVERAGING_S: f64 = 4.0;

/// Tracks the operations per second that the callers of each workspace start on this VM.
#[derive(Debug, Default)]
pub struct DemandTracker {
    per_second: BTreeMap<name::WorkspaceName, f64>,
    measured_at: Option<Instant>,
    /// Whether there are too many workspaces for allocations of their own.
    is_too_large: bool,
}

impl DemandTracker {
    /// Measures the demand of each workspace. Returns an empty list where rates have owners,
    /// and in a full mesh with too many workspaces to announce allocations for each.
    pub fn measure(
        &mut self,
        control: &state::ControlState,
        now: Instant,
    ) -> Vec<heartbeat::WorkspaceDemand> {
        if control.has_owners() {
            return Vec::new();
        }
        let shares = control.shared.rate_limiter.all_shares();
        let of_workspace = |(key, share): (limit::LimitKey, Arc<limiter::RateShare>)| {
            Some((key.workspace()?.clone(), share))
        };
        let shares: Vec<_> = shares.into_iter().filter_map(of_workspace).collect();
        let is_too_large = shares.len() * control.members.len() > MAX_MESH_RATE_ALLOCATIONS;
        if is_too_large != self.is_too_large {
            self.is_too_large = is_too_large;
            let status = &control.shared.fleet_status;
            status
                .exceeds_rate_table
                .store(is_too_large, Ordering::Relaxed);
            log::info!(
                workspaces = shares.len() as u64, vms = control.members.len() as u64,
                max = MAX_MESH_RATE_ALLOCATIONS as u64, exceeded = is_too_large;
                "rates follow the demand of all workspaces together while the maximum is exceeded"
            );
        }
        if is_too_large {
            return Vec::new();
        }
        let names = shares.iter().map(|(name, _)| name);
        let names: std::collections::BTreeSet<_> = names.collect();
        self.per_second.retain(|name, _| names.contains(name));
        let elapsed = self.measured_at.map_or(0.0, |measured_at| {
            now.saturating_duration_since(measured_at).as_secs_f64()
        });
        self.measured_at = Some(now);
        let weight = 1.0 - (-elapsed / DEMAND_AVERAGING_S).exp();
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
#[derive(Debug, Clone, Default)]
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

/// Returns for how long another VM or data centre has been unresponsive, or `None` if that
/// is too short to count.
fn counted_unresponsive_time(unresponsive_for: Option<Duration>) -> Option<Duration> {
    unresponsive_for.filter(|time| *time >= topology::HEARTBEAT_TIMEOUT)
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
    if has_owners
        && !(control.has_group_majority(now)
            && control.may_announce(&control.allocation_table, number, now))
    {
        return;
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
        rate * control.centre_rate_allocation(&workspace.into())
    };
    let rules = table::AllocationRules {
        number: control.shared.list_allocator().next_number(number),
        min_change: MIN_CHANGE,
        max_retained: |_: &str| f64::INFINITY,
        rate_of,
    };
    let mut next = table::next_table(&control.allocation_table, &names, &live, &rules);
    if has_owners {
        let own_name = control.own_name();
        let observe = |vm: &str| {
            let unresponsive_for =
                (vm != own_name).then(|| control.time_without_heartbeat(vm, now));
            let record = control.peers.get(vm);
            table::MemberActivity {
                unresponsive_for: counted_unresponsive_time(unresponsive_for),
                acknowledged_number: record.map_or(0, |record| record.heartbeat.allocation_number),
            }
        };
        table::update_standings(&control.allocation_table, &mut next, observe);
    }
    if number > control.allocation_table.number
        || table::must_be_announced(&control.allocation_table, &next, MIN_CHANGE)
    {
        control.apply_allocations(&next, Duration::ZERO);
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
    let own_centre = control.shared.settings.data_centre.as_str();
    let mut demands = BTreeMap::from([(own_centre, own_demand.operations_per_second)]);
    let mut number = control.centre_allocation_table.number;
    for (name, record) in control.live_peers(now) {
        number = number.max(record.heartbeat.centre_allocation_number);
        let member = control
            .members
            .get(name)
            .filter(|_| record.heartbeat.is_coordinator);
        if let (Some(member), Some(announced)) = (member, &record.centre_demand) {
            demands.insert(member.data_centre.as_str(), announced.operations_per_second);
        }
    }
    if control.is_isolated || !control.may_announce(&control.centre_allocation_table, number, now) {
        return;
    }
    let centres = control.centre_sizes();
    let unresponsive_time = |centre: &str| {
        let unresponsive_for =
            (centre != own_centre).then(|| control.centre_time_without_heartbeat(centre, now));
        counted_unresponsive_time(unresponsive_for)
    };
    let responsive: Vec<&String> = names
        .iter()
        .filter(|centre| unresponsive_time(centre).is_none())
        .collect();
    // Where a data centre announces no demand, the numbers of VMs stand in for it.
    let has_all_demands = responsive
        .iter()
        .all(|centre| demands.contains_key(centre.as_str()));
    let size_of = |centre: &str| centres.get(centre).copied().unwrap_or(1) as f64;
    let demand_of = |centre: &&String| table::MemberDemand {
        operations_per_second: if has_all_demands {
            demands[centre.as_str()]
        } else {
            size_of(centre)
        },
        workspaces: &[],
    };
    let live: BTreeMap<&str, table::MemberDemand<'_>> = responsive
        .iter()
        .map(|centre| (centre.as_str(), demand_of(centre)))
        .collect();
    let vm_count = control.members.len().max(1) as f64;
    let max_retained = |centre: &str| {
        let has_fallen_back = unresponsive_time(centre)
            .is_some_and(|unresponsive_for| unresponsive_for >= ownership::EQUAL_FALLBACK_DELAY);
        if has_fallen_back {
            size_of(centre) / vm_count
        } else {
            f64::INFINITY
        }
    };
    let rules = table::AllocationRules {
        number: control.shared.list_allocator().next_number(number),
        min_change: MIN_CENTRE_CHANGE,
        max_retained,
        rate_of: |_: &name::WorkspaceName| 0.0,
    };
    let mut next = table::next_table(&control.centre_allocation_table, &names, &live, &rules);
    let observe = |centre: &str| table::MemberActivity {
        unresponsive_for: unresponsive_time(centre),
        acknowledged_number: control.centre_acknowledged_number(centre),
    };
    table::update_standings(&control.centre_allocation_table, &mut next, observe);
    let current = &control.centre_allocation_table;
    if number > current.number || table::must_be_announced(current, &next, MIN_CENTRE_CHANGE) {
        control.apply_centre_allocations(&next, Duration::ZERO);
    }
}

//! Tables of allocations: reads the current table and computes the next one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bluebellferry_membership::heartbeat;
use bluebellferry_shares::growth;
use bluebellferry_shares::ownership;
use bluebellferry_shares::ownership::numbering;
use bluebellferry_types::name;

/// The demand that is added evenly over all members when connections are allocated, as a
/// fraction of the total demand: a low demand predicts little about the next seconds.
const EVEN_DEMAND_FRACTION: f64 = 0.6;
/// The demand that is added evenly over all members when a rate is allocated, as a fraction
/// of the rate.
const EVEN_RATE_FRACTION: f64 = 0.3;

/// The largest error of an allocation that is sent as an `f32`.
const MAX_ROUNDING_ERROR: f64 = 1e-6;

/// The allocations of the current members in a table.
///
/// Allocations of former members are unused, and a new member has none until the next
/// table. So the allocations in use never add up to more than was allocated.
#[derive(Debug)]
pub struct MemberAllocations<'a> {
    table: Option<&'a heartbeat::AllocationTable>,
    /// The indices of the current members in the table.
    indices: Vec<Option<usize>>,
}

impl<'a> MemberAllocations<'a> {
    /// Creates a view of a table for the members with the given names.
    pub fn new<S: AsRef<str>>(table: &'a heartbeat::AllocationTable, names: &[S]) -> Self {
        let names_in_table = table.allocations.iter().enumerate();
        let by_name: BTreeMap<&str, usize> = names_in_table
            .map(|(index, allocation)| (allocation.vm.as_str(), index))
            .collect();
        let table_index = |name: &S| by_name.get(name.as_ref()).copied();
        Self {
            table: (table.number > 0).then_some(table),
            indices: names.iter().map(table_index).collect(),
        }
    }

    /// Returns whether any allocations have been made.
    pub const fn is_known(&self) -> bool {
        self.table.is_some()
    }

    /// Returns a member's fraction of the limits, which is the same for all members before
    /// the first table.
    pub fn allocation(&self, index: usize) -> f64 {
        let Some(table) = self.table else {
            return 1.0 / self.indices.len().max(1) as f64;
        };
        let table_index = self.indices.get(index).copied().flatten();
        table_index.map_or(0.0, |index| table.allocations[index].fraction)
    }

    /// Returns a member's fraction of a workspace's rate. Where the table has no entry for
    /// the workspace, that is the same fraction as of the other limits.
    pub fn rate_allocation(&self, index: usize, workspace: &name::WorkspaceName) -> f64 {
        let workspaces = self.table.map(|table| &table.workspaces);
        let entry =
            workspaces.and_then(|all| all.iter().find(|entry| entry.workspace == *workspace));
        let Some(entry) = entry else {
            return self.allocation(index);
        };
        let table_index = self.indices.get(index).copied().flatten();
        let allocation = table_index.and_then(|index| entry.fractions.get(index));
        allocation.map_or(0.0, |allocation| f64::from(*allocation))
    }
}

/// The demand of a VM or a data centre to which limits are allocated.
pub(super) struct MemberDemand<'a> {
    pub(super) operations_per_second: f64,
    pub(super) workspaces: &'a [heartbeat::WorkspaceDemand],
}

/// What an allocator has heard of a member.
pub(super) struct MemberActivity {
    /// For how long the member has been unresponsive; `None` if it is responsive.
    pub(super) unresponsive_for: Option<Duration>,
    /// The number of the latest table that the member is known to have received.
    pub(super) acknowledged_number: u64,
}

/// The rules for computing the next table of allocations.
pub(super) struct AllocationRules<K, R> {
    /// The number of the next table.
    pub(super) number: u64,
    /// The smallest change of an allocation that is announced.
    pub(super) min_change: f64,
    /// Returns the largest fraction that an unresponsive member may still use.
    pub(super) max_retained: K,
    /// Returns the rate to allocate for a workspace, in operations per second.
    pub(super) rate_of: R,
}

/// Returns the next table of allocations to the members `names`, of which those in `live`
/// are responsive.
pub(super) fn next_table(
    table: &heartbeat::AllocationTable,
    names: &[String],
    live: &BTreeMap<&str, MemberDemand<'_>>,
    rules: &AllocationRules<impl Fn(&str) -> f64, impl Fn(&name::WorkspaceName) -> f64>,
) -> heartbeat::AllocationTable {
    let current = MemberAllocations::new(table, names);
    let index_of = |name: &str| names.iter().position(|member| member == name);
    let retained = |name: &str| {
        let fraction = index_of(name).map_or(0.0, |index| current.allocation(index));
        fraction.min((rules.max_retained)(name))
    };
    let demand = |name: &str| live.get(name).map(|demand| demand.operations_per_second);
    let total: f64 = live
        .values()
        .map(|demand| demand.operations_per_second)
        .sum();
    let fractions = allocate(names, total * EVEN_DEMAND_FRACTION, demand, retained);
    let allocation = |(vm, fraction): (&String, &f64)| heartbeat::VmAllocation {
        vm: vm.clone(),
        fraction: *fraction,
        standing: ownership::MemberStanding::Pending,
    };
    let allocations = names.iter().zip(&fractions).map(allocation).collect();
    let demanded = live.values().flat_map(|demand| demand.workspaces.iter());
    let demanded: BTreeSet<_> = demanded.map(|demand| &demand.workspace).collect();
    let next_entry = |workspace: &&name::WorkspaceName| {
        let workspace = *workspace;
        let demand = |name: &str| {
            let demands = live.get(name)?.workspaces;
            let found = demands.iter().find(|demand| demand.workspace == *workspace);
            Some(found.map_or(0.0, |demand| f64::from(demand.per_second)))
        };
        let retained = |name: &str| {
            let fraction =
                index_of(name).map_or(0.0, |index| current.rate_allocation(index, workspace));
            fraction.min((rules.max_retained)(name))
        };
        let fractions = allocate(
            names,
            (rules.rate_of)(workspace) * EVEN_RATE_FRACTION,
            demand,
            retained,
        );
        let next = heartbeat::WorkspaceAllocations {
            workspace: workspace.clone(),
            fractions: fractions.iter().map(|fraction| *fraction as f32).collect(),
        };
        // Small changes are not announced: after each change, some of the limit is unused until
        // larger allocations take effect.
        let entry = current_entry(table, names, workspace);
        match entry
            .filter(|entry| !have_changed(&entry.fractions, &next.fractions, rules.min_change))
        {
            Some(entry) => entry.clone(),
            None => next,
        }
    };
    heartbeat::AllocationTable {
        number: rules.number,
        allocations,
        workspaces: demanded.iter().map(next_entry).collect(),
    }
}

/// Returns what a new table takes away from the members of the current one.
pub fn reduction_between(
    current: &heartbeat::AllocationTable,
    next: &heartbeat::AllocationTable,
) -> growth::AllocationReduction {
    let names: Vec<&str> = current
        .allocations
        .iter()
        .map(|allocation| allocation.vm.as_str())
        .collect();
    let is_listed = |name: &&str| next.allocations.iter().any(|listed| listed.vm == **name);
    let current_view = MemberAllocations::new(current, &names);
    let next_view = MemberAllocations::new(next, &names);
    let workspaces = current.workspaces.iter().chain(&next.workspaces);
    let workspaces: BTreeSet<_> = workspaces.map(|entry| &entry.workspace).collect();
    let is_smaller = |current: f64, next: f64| next < current - MAX_ROUNDING_ERROR;
    let is_reduced = |index: usize| {
        let is_rate_reduced = |workspace: &&name::WorkspaceName| {
            is_smaller(
                current_view.rate_allocation(index, workspace),
                next_view.rate_allocation(index, workspace),
            )
        };
        is_smaller(current_view.allocation(index), next_view.allocation(index))
            || workspaces.iter().any(is_rate_reduced)
    };
    // A table that this VM has not received may have given a member more than both of these.
    let has_gap = !numbering::are_consecutive(current.number, next.number);
    let members = names.iter().enumerate();
    let reduced = members.filter(|(index, _)| has_gap || is_reduced(*index));
    growth::AllocationReduction {
        reduced: reduced.map(|(_, name)| (*name).to_owned()).collect(),
        has_departures: current.number == 0 || !names.iter().all(is_listed),
    }
}

/// Sets the standings in the next table from those in the current one and from what the
/// allocator has observed of each member.
pub(super) fn update_standings(
    current: &heartbeat::AllocationTable,
    next: &mut heartbeat::AllocationTable,
    observe: impl Fn(&str) -> MemberActivity,
) {
    let index = numbering::index_in_series(next.number);
    let listed = if current.number > 0 { current } else { &*next };
    let members = listed.allocations.len() as u32;
    let known: BTreeMap<&str, ownership::MemberStanding> = current
        .allocations
        .iter()
        .map(|allocation| (allocation.vm.as_str(), allocation.standing))
        .collect();
    for allocation in &mut next.allocations {
        let previous = known.get(allocation.vm.as_str()).copied();
        let activity = observe(&allocation.vm);
        let acknowledged = activity.acknowledged_number;
        let observed = ownership::MemberObservation {
            unresponsive_for: activity.unresponsive_for,
            acknowledged: numbering::index_in_series_of(next.number, acknowledged),
            previous: numbering::index_in_series(current.number),
            members,
        };
        allocation.standing = ownership::MemberStanding::next(previous, &observed, index);
    }
}

/// Allocates a limit by demand; returns each member's fraction of it.
///
/// `demand` returns `None` for an unresponsive member, which keeps its `retained` fraction.
/// `even_demand` is added to the total demand and divided evenly among the responsive
/// members.
pub fn allocate(
    names: &[String],
    even_demand: f64,
    demand: impl Fn(&str) -> Option<f64>,
    retained: impl Fn(&str) -> f64,
) -> Vec<f64> {
    let live = names.iter().filter_map(|name| demand(name));
    let (count, total) = live.fold((0.0, 0.0), |(count, total), demand| {
        (count + 1.0, total + demand)
    });
    let unresponsive = names.iter().filter(|name| demand(name).is_none());
    let total_retained: f64 = unresponsive.map(|name| retained(name)).sum();
    let free = (1.0 - total_retained).max(0.0);
    let allocation = |name: &String| match demand(name) {
        None => retained(name),
        Some(_) if total + even_demand <= 0.0 => free / count,
        Some(demand) => free * (demand + even_demand / count) / (total + even_demand),
    };
    names.iter().map(allocation).collect()
}

/// Returns a workspace's entry in a table if the table's members are exactly `names`.
fn current_entry<'a>(
    table: &'a heartbeat::AllocationTable,
    names: &[String],
    workspace: &name::WorkspaceName,
) -> Option<&'a heartbeat::WorkspaceAllocations> {
    let has_same_members = table
        .allocations
        .iter()
        .map(|allocation| &allocation.vm)
        .eq(names);
    let entry = table
        .workspaces
        .iter()
        .find(|entry| entry.workspace == *workspace);
    entry.filter(|_| has_same_members)
}

fn have_changed(current: &[f32], next: &[f32], min_change: f64) -> bool {
    let mut pairs = current.iter().zip(next);
    current.len() != next.len()
        || pairs.any(|(old, new)| f64::from((old - new).abs()) >= min_change)
}

/// Returns whether the next table differs enough from the current one to be announced.
pub(super) fn must_be_announced(
    current: &heartbeat::AllocationTable,
    next: &heartbeat::AllocationTable,
    min_change: f64,
) -> bool {
    let fractions = |table: &heartbeat::AllocationTable| -> Vec<f32> {
        table
            .allocations
            .iter()
            .map(|allocation| allocation.fraction as f32)
            .collect()
    };
    let has_same_members = current
        .allocations
        .iter()
        .map(|allocation| &allocation.vm)
        .eq(next.allocations.iter().map(|allocation| &allocation.vm));
    let standings = |table: &heartbeat::AllocationTable| -> Vec<ownership::MemberStanding> {
        let allocations = table.allocations.iter();
        allocations.map(|allocation| allocation.standing).collect()
    };
    !has_same_members
        || standings(current) != standings(next)
        || current.workspaces != next.workspaces
        || have_changed(&fractions(current), &fractions(next), min_change)
}

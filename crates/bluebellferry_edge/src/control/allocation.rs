//! The parts of fleet-wide limits that each VM gets.
//!
//! Callers are spread unevenly over the VMs, and those of one workspace more so.
//! One VM, the first among those that live, deals the limits out by demand and tells
//! the others. Where data centres have heads, the first head deals them out among the
//! data centres, and each head among the VMs of its own; rates go to their owners there
//! (`owners`). A part that shrinks does so at once, one that
//! grows waits; a VM that is silent keeps what it has, since it cannot be told.

pub mod table;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::beat;
use bluebellferry_membership::circle;
use bluebellferry_types::name;

use crate::control::owners;
use crate::control::state;

/// How often the parts are worked out anew where owners have them.
pub const OWNER_ALLOCATION_INTERVAL: Duration = Duration::from_millis(500);
/// How often the parts are worked out anew.
pub const ALLOCATION_INTERVAL: Duration = Duration::from_secs(2);
/// How long a larger part waits: several heartbeats, so that all have shrunk theirs.
pub const GROWTH_DELAY: Duration = Duration::from_secs(2);
/// The same where owners have parts: one that is silent has shrunk its own by itself
/// before, others hear of it within two heartbeats and a lost one.
pub const OWNER_GROWTH_DELAY: Duration = Duration::from_secs(1);
/// By how much a part must change for new parts to be worth telling.
const LEAST_CHANGE: f64 = 0.06;
/// The same for data centres, whose demand is averaged for longer.
const LEAST_CENTRE_CHANGE: f64 = 0.02;
/// The most parts of rates that are dealt out by workspace: VMs, or data centres,
/// times workspaces. At four bytes each they fit into a datagram with the rest of a
/// heartbeat.
const MAX_PARTS: usize = 2_048;
/// The same where heartbeats of all go to all, also to other regions.
const MAX_EXCHANGED_PARTS: usize = 256;
/// Over which time a workspace's demand is averaged, in seconds: ten heartbeats, or,
/// where parts are dealt out twice, long enough for a few operations of a small
/// workspace in each data centre.
const DEMAND_TIME: f64 = 4.0;
const CENTRE_DEMAND_TIME: f64 = 12.0;

/// What callers of each workspace ask of this VM.
#[derive(Debug, Default)]
pub struct DemandTracker {
    per_second: BTreeMap<name::WorkspaceName, f64>,
    measured: Option<Instant>,
}

impl DemandTracker {
    /// Measures the demand; returns nothing where there are too many workspaces.
    pub fn measure(
        &mut self,
        control: &state::ControlState,
        now: Instant,
    ) -> Vec<beat::WorkspaceDemand> {
        let shares = control.shared.shares.all();
        let others = control.group().count().max(control.centres().len());
        let most = if control.circle.is_full_exchange() {
            MAX_EXCHANGED_PARTS
        } else {
            MAX_PARTS
        };
        if shares.len() * others > most {
            return Vec::new();
        }
        let names = shares.iter().map(|(name, _)| name);
        let names: std::collections::BTreeSet<_> = names.collect();
        self.per_second.retain(|name, _| names.contains(name));
        let elapsed = self.measured.map_or(0.0, |measured| {
            now.saturating_duration_since(measured).as_secs_f64()
        });
        self.measured = Some(now);
        let time = if control.has_owners() {
            CENTRE_DEMAND_TIME
        } else {
            DEMAND_TIME
        };
        let weight = 1.0 - (-elapsed / time).exp();
        for (workspace, share) in &shares {
            let seen = share.demand_per_second(now);
            let known = self.per_second.entry(workspace.clone()).or_insert(0.0);
            *known += weight * (seen - *known);
        }
        let demand =
            |(workspace, per_second): (&name::WorkspaceName, &f64)| beat::WorkspaceDemand {
                workspace: workspace.clone(),
                per_second: *per_second as f32,
            };
        self.per_second.iter().map(demand).collect()
    }
}

/// What this VM's own callers ask for.
#[derive(Debug, Clone)]
pub struct LocalDemand {
    /// Operations that they start, a second.
    pub operations_per_second: f64,
    /// The same for each workspace; none where there are too many.
    pub demands: Vec<beat::WorkspaceDemand>,
}

/// Returns whether this VM deals out the parts of its group.
pub fn is_group_allocator(control: &state::ControlState, now: Instant) -> bool {
    if !control.circle.is_full_exchange() {
        return control.circle.is_head(now);
    }
    control.comes_first(now, |_| true)
}

/// Returns whether this VM deals out the parts of the data centres.
fn is_centre_setter(control: &state::ControlState, now: Instant) -> bool {
    let is_full = control.circle.is_full_exchange();
    let is_head = |beat: &beat::FleetBeat| beat.is_head && !beat.is_leaving;
    !is_full && control.circle.is_head(now) && control.comes_first(now, is_head)
}

/// Returns what the callers of this VM's data centre ask for.
pub fn centre_demand(
    control: &state::ControlState,
    own: &LocalDemand,
    now: Instant,
) -> beat::CentreDemand {
    let mut sums: BTreeMap<&name::WorkspaceName, f32> = BTreeMap::new();
    let mut operations_per_second = own.operations_per_second;
    let near = control.live_peers(now);
    let near: Vec<_> = near.filter(|(name, _)| control.is_in_group(name)).collect();
    for (_, record) in &near {
        operations_per_second += record.beat.operations_per_second;
    }
    let told = near.iter().flat_map(|(_, record)| record.demands.iter());
    for demand in told.chain(&own.demands) {
        *sums.entry(&demand.workspace).or_default() += demand.per_second;
    }
    let demand = |(workspace, per_second): (&&name::WorkspaceName, &f32)| beat::WorkspaceDemand {
        workspace: Clone::clone(*workspace),
        per_second: *per_second,
    };
    beat::CentreDemand {
        operations_per_second,
        workspaces: sums.iter().map(demand).collect(),
    }
}

/// Works the parts out, if this VM is to do so.
pub fn update_allocations(control: &mut state::ControlState, own: &LocalDemand, now: Instant) {
    if !control.has_joined {
        return;
    }
    if is_centre_setter(control, now) {
        set_centres(control, own, now);
    }
    if is_group_allocator(control, now) {
        set_group(control, own, now);
    }
}

/// Returns the parts of rates that the VMs of this VM's data centre own.
fn owned_parts<'a>(
    control: &state::ControlState,
    names: &'a [String],
    now: Instant,
) -> Vec<beat::WorkspaceParts> {
    let workspaces = &control.configuration.decoded.workspaces;
    if workspaces.len() * names.len() > MAX_PARTS {
        return Vec::new();
    }
    let known = table::MemberAllocations::new(&control.weights, names);
    let own = control.own_name();
    let silence_of = |vm: &String| {
        let silence = (vm != own).then(|| control.silence_of(vm, now));
        counted_silence(silence, control.is_orphaned)
    };
    let silences: Vec<_> = names.iter().map(silence_of).collect();
    let mut all = Vec::new();
    let sorted: BTreeMap<_, _> = workspaces.iter().collect();
    for (workspace, policy) in sorted {
        let centre_part = control.centre_rate_part(workspace);
        // An equal part of all, as a part of what the data centre has.
        let equal = 1.0 / control.members.len().max(1) as f64;
        let equal = equal / centre_part.max(equal);
        let candidate = |(index, vm): (usize, &'a String)| owners::OwnerCandidate {
            name: vm,
            unresponsive_for: silences[index],
            previous: known.rate_allocation(index, workspace),
            equal_allocation: equal,
        };
        let candidates: Vec<_> = names.iter().enumerate().map(candidate).collect();
        let count = owners::owner_count(policy.rate_per_second * centre_part);
        all.push(beat::WorkspaceParts {
            workspace: workspace.clone(),
            parts: owners::allocate(workspace, count, &candidates),
        });
    }
    all
}

/// Returns for how long another one has been silent, if that is long enough to count.
/// A VM in a minority must not assume that the others have fallen back.
fn counted_silence(silence: Option<Duration>, is_among_few: bool) -> Option<Duration> {
    let silence = silence.filter(|silence| *silence >= circle::SILENT_AFTER)?;
    Some(if is_among_few {
        circle::SILENT_AFTER
    } else {
        silence
    })
}

fn set_group(control: &mut state::ControlState, own: &LocalDemand, now: Instant) {
    let names: Vec<String> = control.group().cloned().collect();
    // Where rates have owners, they are not dealt out by demand.
    let has_owners = control.has_owners();
    let workspaces = |demands| if has_owners { &[][..] } else { demands };
    let mut live = BTreeMap::new();
    let mut number = control.weights.number;
    for (name, record) in control.live_peers(now) {
        if control.is_in_group(name) {
            let demand = table::KnownDemand {
                operations_per_second: record.beat.operations_per_second,
                workspaces: workspaces(&record.demands),
            };
            live.insert(name.as_str(), demand);
            // A VM that was started anew has forgotten the number that others know.
            number = number.max(record.beat.parts_number);
        }
    }
    let demand = table::KnownDemand {
        operations_per_second: own.operations_per_second,
        workspaces: workspaces(&own.demands),
    };
    live.insert(control.own_name(), demand);
    let rate_of = |workspace: &name::WorkspaceName| {
        let policies = &control.configuration.decoded.workspaces;
        let rate = policies.get(workspace);
        let rate = rate.map_or(0.0, |one| one.rate_per_second);
        rate * control.centre_rate_part(workspace)
    };
    let rules = table::DealRules {
        number,
        least_change: LEAST_CHANGE,
        most_kept: |_: &str| f64::INFINITY,
        rate_of,
    };
    let mut next = table::next_table(&control.weights, &names, &live, &rules);
    if has_owners {
        next.workspaces = owned_parts(control, &names, now);
    }
    if number > control.weights.number || table::differs(&control.weights, &next, LEAST_CHANGE) {
        control.apply_weights(&next);
        control.news.notify_one();
    }
}

fn set_centres(control: &mut state::ControlState, own: &LocalDemand, now: Instant) {
    let names: Vec<String> = control
        .centres()
        .keys()
        .map(|&name| name.to_owned())
        .collect();
    let own_demand = centre_demand(control, own, now);
    let mut live = BTreeMap::new();
    let mut number = control.centre_weights.number;
    for (name, record) in control.live_peers(now) {
        number = number.max(record.beat.centre_parts_number);
        let member = control.members.get(name).filter(|_| record.beat.is_head);
        if let (Some(member), Some(told)) = (member, &record.centre_demand) {
            let demand = table::KnownDemand {
                operations_per_second: told.operations_per_second,
                workspaces: &told.workspaces,
            };
            live.insert(member.data_centre.as_str(), demand);
        }
    }
    let demand = table::KnownDemand {
        operations_per_second: own_demand.operations_per_second,
        workspaces: &own_demand.workspaces,
    };
    live.insert(control.shared.settings.data_centre.as_str(), demand);
    let rate_of = |workspace: &name::WorkspaceName| {
        let policies = &control.configuration.decoded.workspaces;
        policies
            .get(workspace)
            .map_or(0.0, |one| one.rate_per_second)
    };
    let centres = control.centres();
    let all = control.members.len().max(1) as f64;
    let most_kept = |centre: &str| {
        let silence = control.silence_of_centre(centre, now);
        if control.is_isolated || silence < owners::EQUAL_FALLBACK_DELAY {
            return f64::INFINITY;
        }
        centres.get(centre).copied().unwrap_or(1) as f64 / all
    };
    let rules = table::DealRules {
        number,
        least_change: LEAST_CENTRE_CHANGE,
        most_kept,
        rate_of,
    };
    let mut next = table::next_table(&control.centre_weights, &names, &live, &rules);
    give_to_single_centres(control, &names, &mut next, now);
    let known = &control.centre_weights;
    if number > known.number || table::differs(known, &next, LEAST_CENTRE_CHANGE) {
        control.apply_centre_weights(&next);
        control.news.notify_one();
    }
}

/// Has a few data centres own each workspace that is too small for all of them.
fn give_to_single_centres(
    control: &state::ControlState,
    names: &[String],
    table: &mut beat::WeightTable,
    now: Instant,
) {
    let workspaces = &control.configuration.decoded.workspaces;
    if workspaces.len() * names.len() > MAX_PARTS {
        return;
    }
    let own = control.shared.settings.data_centre.as_str();
    let known = table::MemberAllocations::new(&control.centre_weights, names);
    let centres = control.centres();
    let all = control.members.len().max(1) as f64;
    let small = workspaces
        .iter()
        .filter(|(_, limit)| limit.rate_per_second < owners::MIN_CENTRE_RATE * names.len() as f64);
    let silence_of = |name: &String| {
        let silence = (name != own).then(|| control.silence_of_centre(name, now));
        counted_silence(silence, control.is_isolated)
    };
    for (workspace, policy) in small {
        let candidate = |(index, name): (usize, &String)| {
            let count = centres.get(name.as_str()).copied().unwrap_or(1);
            owners::OwnerCandidate {
                name: names[index].as_str(),
                unresponsive_for: silence_of(name),
                previous: known.rate_allocation(index, workspace),
                equal_allocation: count as f64 / all,
            }
        };
        let candidates: Vec<_> = names.iter().enumerate().map(candidate).collect();
        let parts = beat::WorkspaceParts {
            workspace: workspace.clone(),
            parts: owners::allocate(
                workspace,
                owners::owner_count(policy.rate_per_second),
                &candidates,
            ),
        };
        match table
            .workspaces
            .iter_mut()
            .find(|one| one.workspace == *workspace)
        {
            Some(entry) => *entry = parts,
            None => table.workspaces.push(parts),
        }
    }
}

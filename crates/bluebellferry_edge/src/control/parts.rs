//! The parts of fleet-wide limits that each VM gets.
//!
//! Callers are spread unevenly over the VMs, and those of one workspace more so.
//! One VM, the first by name among those that live, deals the limits out by
//! demand and tells the others. A part that shrinks does so at once, one that
//! grows waits; a VM that is silent keeps what it has, since it cannot be told.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::beat;
use bluebellferry_types::name;

use crate::control::state;

/// How often the parts are worked out anew.
pub const SETTING_INTERVAL: Duration = Duration::from_secs(2);
/// How long a larger part waits: several heartbeats, so that all have shrunk theirs.
pub const GROWTH_DELAY: Duration = Duration::from_secs(2);
/// The part of a limit that is dealt out evenly; the rest follows demand.
const EVEN_PART: f64 = 0.25;
/// By how much a part must change for new parts to be worth telling.
const LEAST_CHANGE: f64 = 0.03;
/// The most parts of rates that are dealt out by workspace: VMs times
/// workspaces. They must fit into a datagram with the rest of a heartbeat.
const MAX_PARTS: usize = 256;
/// How much of a new measurement enters a workspace's demand.
const DEMAND_SMOOTHING: f64 = 0.2;

/// What callers of each workspace ask of this VM.
#[derive(Debug, Default)]
pub struct DemandBook {
    per_second: BTreeMap<name::WorkspaceName, f64>,
}

impl DemandBook {
    /// Measures the demand; returns nothing where there are too many workspaces.
    pub fn measure(
        &mut self,
        control: &state::ControlState,
        now: Instant,
    ) -> Vec<beat::WorkspaceDemand> {
        let shares = control.shared.shares.all();
        if shares.len() * control.members.len() > MAX_PARTS {
            return Vec::new();
        }
        let names = shares.iter().map(|(name, _)| name);
        let names: std::collections::BTreeSet<_> = names.collect();
        self.per_second.retain(|name, _| names.contains(name));
        for (workspace, share) in &shares {
            let seen = share.demand_per_second(now);
            let known = self.per_second.entry(workspace.clone()).or_insert(0.0);
            *known += DEMAND_SMOOTHING * (seen - *known);
        }
        let demand = |(workspace, per_second): (&name::WorkspaceName, &f64)| {
            beat::WorkspaceDemand {
                workspace: workspace.clone(),
                per_second: *per_second as f32,
            }
        };
        self.per_second.iter().map(demand).collect()
    }
}

/// Returns the parts to tell others: those that this VM would set itself.
pub fn to_send(control: &state::ControlState) -> beat::WeightTable {
    if is_setter(control, bluebellferry_runtime::clock::now()) {
        return control.weights.clone();
    }
    beat::WeightTable::default()
}

fn is_setter(control: &state::ControlState, now: Instant) -> bool {
    let own = control.own_name();
    control.live_peers(now).all(|(name, _)| name.as_str() > own)
}

/// Works the parts out, if this VM is to do so.
pub fn set(
    control: &mut state::ControlState,
    own_rate: f64,
    own_demands: &[beat::WorkspaceDemand],
    now: Instant,
) {
    if !control.has_joined || !is_setter(control, now) {
        return;
    }
    let names: Vec<String> = control.members.keys().cloned().collect();
    let own = control.own_name();
    let live: BTreeMap<&str, (f64, &[beat::WorkspaceDemand])> = control
        .live_peers(now)
        .map(|(name, record)| {
            let beat = &record.beat;
            (name.as_str(), (beat.operations_per_second, &*beat.demands))
        })
        .chain(std::iter::once((own, (own_rate, own_demands))))
        .collect();
    let demand = |name: &str| live.get(name).map(|(rate, _)| *rate);
    let before = |name: &str| weight_before(control, name);
    let shares = deal(&names, demand, before);
    let weight = |(vm, part): (&String, &f64)| beat::VmWeight {
        vm: vm.clone(),
        part: *part,
    };
    let weights = names.iter().zip(&shares).map(weight).collect();
    let workspaces = own_demands
        .iter()
        .map(|own_demand| {
            let workspace = &own_demand.workspace;
            let demand = |name: &str| {
                let (_, demands) = live.get(name)?;
                let found = demands.iter().find(|one| one.workspace == *workspace);
                Some(found.map_or(0.0, |one| f64::from(one.per_second)))
            };
            let before = |name: &str| control.rate_part(name, workspace);
            let parts = deal(&names, demand, before);
            beat::WorkspaceParts {
                workspace: workspace.clone(),
                parts: parts.iter().map(|part| *part as f32).collect(),
            }
        })
        .collect();
    // A VM that was started anew has forgotten the number that others know.
    let known = control.live_peers(now).map(|(_, record)| record.beat.parts_number);
    let known = known.fold(control.weights.number, u64::max);
    let next = beat::WeightTable {
        number: known + 1,
        weights,
        workspaces,
    };
    if known > control.weights.number || differs(&control.weights, &next) {
        control.apply_weights(&next);
        control.news.notify_one();
    }
}

fn weight_before(control: &state::ControlState, name: &str) -> f64 {
    let set = control.weights.weights.iter().find(|one| one.vm == name);
    set.map_or(1.0 / control.members.len().max(1) as f64, |one| one.part)
}

/// Deals a limit out. `demand` is `None` for a VM that is silent; it keeps what
/// it had `before`.
pub fn deal(
    names: &[String],
    demand: impl Fn(&str) -> Option<f64>,
    before: impl Fn(&str) -> f64,
) -> Vec<f64> {
    let live = names.iter().filter_map(|name| demand(name));
    let (count, total) = live.fold((0.0, 0.0), |(count, total), one| (count + 1.0, total + one));
    let silent = names.iter().filter(|name| demand(name).is_none());
    let kept: f64 = silent.map(|name| before(name)).sum();
    let free = (1.0 - kept).max(0.0);
    let part = |name: &String| match demand(name) {
        None => before(name),
        Some(_) if total <= 0.0 => free / count,
        Some(one) => free * (EVEN_PART / count + (1.0 - EVEN_PART) * one / total),
    };
    names.iter().map(part).collect()
}

fn differs(before: &beat::WeightTable, next: &beat::WeightTable) -> bool {
    let is_far = |old: f64, new: f64| (old - new).abs() >= LEAST_CHANGE;
    let have_same_vms = before.weights.len() == next.weights.len()
        && before.weights.iter().zip(&next.weights).all(|(old, new)| old.vm == new.vm);
    if !have_same_vms || before.workspaces.len() != next.workspaces.len() {
        return true;
    }
    let mut weights = before.weights.iter().zip(&next.weights);
    if weights.any(|(old, new)| is_far(old.part, new.part)) {
        return true;
    }
    let mut workspaces = before.workspaces.iter().zip(&next.workspaces);
    workspaces.any(|(old, new)| {
        let mut parts = old.parts.iter().zip(&new.parts);
        old.workspace != new.workspace
            || parts.any(|(old, new)| is_far(f64::from(*old), f64::from(*new)))
    })
}

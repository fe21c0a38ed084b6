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
/// The demand that is added evenly, as a part of the whole demand for connections
/// and of the limit for rates: little demand says little about what comes next.
const EVEN_DEMAND: f64 = 0.6;
const EVEN_RATE: f64 = 0.3;
/// By how much a part must change for new parts to be worth telling.
const LEAST_CHANGE: f64 = 0.06;
/// The most parts of rates that are dealt out by workspace: VMs times
/// workspaces. They must fit into a datagram with the rest of a heartbeat.
const MAX_PARTS: usize = 256;
/// How much of a new measurement enters a workspace's demand.
const DEMAND_SMOOTHING: f64 = 0.1;

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
        let demand =
            |(workspace, per_second): (&name::WorkspaceName, &f64)| beat::WorkspaceDemand {
                workspace: workspace.clone(),
                per_second: *per_second as f32,
            };
        self.per_second.iter().map(demand).collect()
    }
}

/// Returns the parts to tell others, if this VM sets them and some VM lacks them.
pub fn to_send(control: &state::ControlState, now: Instant) -> Option<beat::WeightTable> {
    let own = control.weights.number;
    let lacks = control.is_lacked(now, |beat| beat.parts_number < own);
    (is_setter(control, now) && lacks).then(|| control.weights.clone())
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
    let total: f64 = live.values().map(|(rate, _)| rate).sum();
    let shares = deal(&names, total * EVEN_DEMAND, demand, before);
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
            let policies = &control.configuration.decoded.workspaces;
            let rate = policies
                .get(workspace)
                .map_or(0.0, |one| one.rate_per_second);
            let parts = deal(&names, rate * EVEN_RATE, demand, before);
            let parts = parts.iter().map(|part| *part as f32).collect();
            let next = beat::WorkspaceParts {
                workspace: workspace.clone(),
                parts,
            };
            // Each change costs a part of the limit until the larger parts hold.
            let known = known_parts(&control.weights, &names, workspace);
            match known.filter(|known| !are_far(&known.parts, &next.parts)) {
                Some(known) => known.clone(),
                None => next,
            }
        })
        .collect();
    // A VM that was started anew has forgotten the number that others know.
    let known = control
        .live_peers(now)
        .map(|(_, record)| record.beat.parts_number);
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
/// it had `before`. `even` is a demand that all others are taken to share.
pub fn deal(
    names: &[String],
    even: f64,
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
        Some(_) if total + even <= 0.0 => free / count,
        Some(one) => free * (one + even / count) / (total + even),
    };
    names.iter().map(part).collect()
}

/// Returns a workspace's parts if they were dealt out among the same VMs.
fn known_parts<'a>(
    table: &'a beat::WeightTable,
    names: &[String],
    workspace: &name::WorkspaceName,
) -> Option<&'a beat::WorkspaceParts> {
    let have_same_vms = table.weights.iter().map(|one| &one.vm).eq(names);
    let known = table
        .workspaces
        .iter()
        .find(|one| one.workspace == *workspace);
    known.filter(|_| have_same_vms)
}

fn are_far(before: &[f32], next: &[f32]) -> bool {
    let mut parts = before.iter().zip(next);
    before.len() != next.len()
        || parts.any(|(old, new)| f64::from((old - new).abs()) >= LEAST_CHANGE)
}

fn differs(before: &beat::WeightTable, next: &beat::WeightTable) -> bool {
    let parts = |table: &beat::WeightTable| -> Vec<f32> {
        table.weights.iter().map(|one| one.part as f32).collect()
    };
    let have_same_vms = before
        .weights
        .iter()
        .map(|one| &one.vm)
        .eq(next.weights.iter().map(|one| &one.vm));
    !have_same_vms || before.workspaces != next.workspaces || are_far(&parts(before), &parts(next))
}

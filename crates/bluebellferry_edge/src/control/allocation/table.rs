//! Tables of parts: reading them, and working out the next one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bluebellferry_membership::beat;
use bluebellferry_types::name;

/// The demand that is added evenly, as a part of the whole demand for connections
/// and of the limit for rates: little demand says little about what comes next.
const EVEN_DEMAND: f64 = 0.6;
const EVEN_RATE: f64 = 0.3;

/// Parts that were dealt out, as the present members have them. Those of members that
/// are gone are nobody's, and a new one has none until the next table; so what is used
/// never adds up to more than was dealt out.
#[derive(Debug)]
pub struct MemberAllocations<'a> {
    table: Option<&'a beat::WeightTable>,
    /// The places of the present members in the table.
    places: Vec<Option<usize>>,
}

impl<'a> MemberAllocations<'a> {
    /// Creates a view of a table for the members that are named.
    pub fn new<S: AsRef<str>>(table: &'a beat::WeightTable, names: &[S]) -> Self {
        let place = |name: &S| {
            let mut weights = table.weights.iter();
            weights.position(|one| one.vm == name.as_ref())
        };
        Self {
            table: (table.number > 0).then_some(table),
            places: names.iter().map(place).collect(),
        }
    }

    /// Returns whether any parts were dealt out.
    pub const fn is_known(&self) -> bool {
        self.table.is_some()
    }

    /// Returns a member's part: an equal one before any was dealt out.
    pub fn allocation(&self, index: usize) -> f64 {
        let Some(table) = self.table else {
            return 1.0 / self.places.len().max(1) as f64;
        };
        let place = self.places.get(index).copied().flatten();
        place.map_or(0.0, |place| table.weights[place].part)
    }

    /// Returns a member's part of a workspace's rate.
    pub fn rate_allocation(&self, index: usize, workspace: &name::WorkspaceName) -> f64 {
        let workspaces = self.table.map(|table| &table.workspaces);
        let dealt = workspaces.and_then(|all| all.iter().find(|one| one.workspace == *workspace));
        let Some(dealt) = dealt else {
            return self.allocation(index);
        };
        let place = self.places.get(index).copied().flatten();
        let part = place.and_then(|place| dealt.parts.get(place));
        part.map_or(0.0, |part| f64::from(*part))
    }
}

/// The demand of one of those among which a limit is dealt out.
pub(super) struct KnownDemand<'a> {
    pub(super) operations_per_second: f64,
    pub(super) workspaces: &'a [beat::WorkspaceDemand],
}

/// How parts are dealt out.
pub(super) struct DealRules<K, R> {
    /// The highest number of a table that is known.
    pub(super) number: u64,
    /// By how much a part must change to be worth telling.
    pub(super) least_change: f64,
    /// The most that a silent one may still use.
    pub(super) most_kept: K,
    /// What is dealt out of a workspace's rate, in operations a second.
    pub(super) rate_of: R,
}

/// Returns the next table of parts.
pub(super) fn next_table(
    table: &beat::WeightTable,
    names: &[String],
    live: &BTreeMap<&str, KnownDemand<'_>>,
    rules: &DealRules<impl Fn(&str) -> f64, impl Fn(&name::WorkspaceName) -> f64>,
) -> beat::WeightTable {
    let known = MemberAllocations::new(table, names);
    let index_of = |name: &str| names.iter().position(|one| one == name);
    let before = |name: &str| {
        let part = index_of(name).map_or(0.0, |index| known.allocation(index));
        part.min((rules.most_kept)(name))
    };
    let demand = |name: &str| live.get(name).map(|one| one.operations_per_second);
    let total: f64 = live.values().map(|one| one.operations_per_second).sum();
    let shares = allocate(names, total * EVEN_DEMAND, demand, before);
    let weight = |(vm, part): (&String, &f64)| beat::VmWeight {
        vm: vm.clone(),
        part: *part,
    };
    let weights = names.iter().zip(&shares).map(weight).collect();
    let wanted = live.values().flat_map(|one| one.workspaces.iter());
    let wanted: BTreeSet<_> = wanted.map(|one| &one.workspace).collect();
    let parts_of = |workspace: &&name::WorkspaceName| {
        let workspace = *workspace;
        let demand = |name: &str| {
            let demands = live.get(name)?.workspaces;
            let found = demands.iter().find(|one| one.workspace == *workspace);
            Some(found.map_or(0.0, |one| f64::from(one.per_second)))
        };
        let before = |name: &str| {
            let part = index_of(name).map_or(0.0, |index| known.rate_allocation(index, workspace));
            part.min((rules.most_kept)(name))
        };
        let parts = allocate(
            names,
            (rules.rate_of)(workspace) * EVEN_RATE,
            demand,
            before,
        );
        let next = beat::WorkspaceParts {
            workspace: workspace.clone(),
            parts: parts.iter().map(|part| *part as f32).collect(),
        };
        // Each change costs a part of the limit until the larger parts hold.
        let known = known_parts(table, names, workspace);
        match known.filter(|known| !are_far(&known.parts, &next.parts, rules.least_change)) {
            Some(known) => known.clone(),
            None => next,
        }
    };
    beat::WeightTable {
        number: rules.number + 1,
        weights,
        workspaces: wanted.iter().map(parts_of).collect(),
    }
}

/// Deals a limit out. `demand` is `None` for a VM that is silent; it keeps what
/// it had `before`. `even` is a demand that all others are taken to share.
pub fn allocate(
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

fn are_far(before: &[f32], next: &[f32], least_change: f64) -> bool {
    let mut parts = before.iter().zip(next);
    before.len() != next.len()
        || parts.any(|(old, new)| f64::from((old - new).abs()) >= least_change)
}

/// Returns whether a table is worth telling after another.
pub(super) fn differs(
    before: &beat::WeightTable,
    next: &beat::WeightTable,
    least_change: f64,
) -> bool {
    let parts = |table: &beat::WeightTable| -> Vec<f32> {
        table.weights.iter().map(|one| one.part as f32).collect()
    };
    let have_same_vms = before
        .weights
        .iter()
        .map(|one| &one.vm)
        .eq(next.weights.iter().map(|one| &one.vm));
    !have_same_vms
        || before.workspaces != next.workspaces
        || are_far(&parts(before), &parts(next), least_change)
}

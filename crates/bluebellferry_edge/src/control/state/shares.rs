//! Parts of fleet-wide limits, as this VM uses them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_limits::bucket;
use bluebellferry_membership::beat;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

use crate::control::allocation;
use crate::control::allocation::table;
use crate::control::state;
use crate::shared;

/// The number of the first table of parts that a fleet deals out when none of its VMs
/// knows an earlier one.
const FIRST_NUMBER: u64 = 1;
/// After how long a VM that still lacks the parts of its group is told by others than
/// the one that set them: two heartbeats and a lost one.
const WEIGHTS_SPREAD: Duration = Duration::from_millis(1_000);
/// The part of an equal one that a data centre must have of a workspace's rate to be
/// asked for tokens: less is what a lost one left behind.
const LEAST_OWNED: f64 = 0.5;

impl state::ControlState {
    /// Takes the parts of this VM's group unless newer ones are known.
    pub fn apply_weights(&mut self, weights: &beat::WeightTable) {
        if weights.number > self.weights.number {
            let is_first = self.weights.number == 0;
            self.weights = weights.clone();
            self.weights_since = clock::now();
            self.apply_dealt(is_first, weights.number);
            self.log_part("the VMs' parts have changed", weights.number);
            self.publish();
        }
    }

    pub(super) fn log_part(&self, message: &str, number: u64) {
        let part = self.own_part().size();
        log::info!(number = number, own_part = part; "{message}");
    }

    /// Takes the parts of the data centres unless newer ones are known.
    pub fn apply_centre_weights(&mut self, weights: &beat::WeightTable) {
        if weights.number > self.centre_weights.number {
            let is_first = self.centre_weights.number == 0;
            self.centre_weights = weights.clone();
            self.apply_dealt(is_first, weights.number);
            self.log_part("the data centres' parts have changed", weights.number);
            self.publish();
        }
    }

    /// Returns whether the others of the group have had time to hear of its parts, so
    /// that one that has not must be told by whoever it hears.
    pub fn are_weights_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.weights_since) >= WEIGHTS_SPREAD
    }

    /// Returns whether rates are owned by a few VMs, rather than by all.
    pub fn has_owners(&self) -> bool {
        !self.circle.is_full_exchange()
    }

    /// Returns the VMs among which this VM's group deals limits out, in order.
    pub fn group(&self) -> impl Iterator<Item = &String> {
        let is_in_group =
            |record: &state::MemberRecord| self.circle.is_in_group(&record.data_centre);
        self.members
            .iter()
            .filter(move |(_, record)| is_in_group(record))
            .map(|(name, _)| name)
    }

    /// Returns the VMs of the group with the parts that they have of it.
    pub(super) fn group_parts(&self) -> (Vec<&String>, table::MemberAllocations<'_>) {
        let names: Vec<&String> = self.group().collect();
        let parts = table::MemberAllocations::new(&self.weights, &names);
        (names, parts)
    }

    /// Returns whether a VM belongs to this VM's group.
    pub fn is_in_group(&self, vm: &str) -> bool {
        let member = self.members.get(vm);
        member.is_some_and(|member| self.circle.is_in_group(&member.data_centre))
    }

    /// Returns the data centres with how many VMs each has.
    pub fn centres(&self) -> BTreeMap<&str, usize> {
        let mut centres = BTreeMap::new();
        for member in self.members.values() {
            *centres.entry(member.data_centre.as_str()).or_default() += 1;
        }
        centres
    }

    /// Returns this VM's part of fleet-wide limits: as it was dealt out, or an equal one
    /// before that.
    pub fn own_part(&self) -> shared::FleetPart {
        if !self.has_joined {
            return shared::FleetPart::default();
        }
        let centre = self.own_centre_part();
        let (names, parts) = self.group_parts();
        let own = self.own_name();
        let mut from = 0.0;
        for (index, name) in names.iter().enumerate() {
            let part = parts.allocation(index);
            if *name == own {
                return shared::FleetPart {
                    from: centre.from + centre.size() * from,
                    to: centre.from + centre.size() * (from + part),
                };
            }
            from += part;
        }
        shared::FleetPart::default()
    }

    /// Returns the part of fleet-wide limits that this VM's group deals out.
    pub(super) fn own_centre_part(&self) -> shared::FleetPart {
        let mut from = 0.0;
        if !self.circle.is_full_exchange() {
            let own = self.shared.settings.data_centre.as_str();
            for (name, part) in self.centre_parts(None) {
                if name == own {
                    return shared::FleetPart {
                        from,
                        to: from + part,
                    };
                }
                from += part;
            }
        }
        shared::FleetPart { from: 0.0, to: 1.0 }
    }

    /// Returns the parts of the data centres: of operations, or of a workspace's rate.
    pub fn centre_parts(&self, workspace: Option<&name::WorkspaceName>) -> Vec<(&str, f64)> {
        let centres = self.centres();
        let names: Vec<&str> = centres.keys().copied().collect();
        let parts = table::MemberAllocations::new(&self.centre_weights, &names);
        let all = self.members.len().max(1) as f64;
        let mut dealt = Vec::new();
        for (index, (name, count)) in centres.iter().enumerate() {
            let part = match workspace {
                _ if !parts.is_known() => *count as f64 / all,
                Some(workspace) => parts.rate_allocation(index, workspace),
                None => parts.allocation(index),
            };
            dealt.push((*name, part));
        }
        dealt
    }

    /// Returns the part of a workspace's rate that this VM's group deals out.
    pub fn centre_rate_part(&self, workspace: &name::WorkspaceName) -> f64 {
        if self.circle.is_full_exchange() {
            return 1.0;
        }
        let own = self.shared.settings.data_centre.as_str();
        let parts = self.centre_parts(Some(workspace));
        let found = parts.iter().find(|(name, _)| *name == own);
        let dealt = found.map_or(0.0, |(_, part)| *part);
        let count = self.centres().get(own).copied().unwrap_or(1);
        let equal = count as f64 / self.members.len().max(1) as f64;
        if self.is_isolated {
            dealt.min(equal)
        } else {
            dealt
        }
    }

    /// Returns a VM's part of what its group has of a workspace's rate.
    pub fn rate_part(&self, vm: &str, workspace: &name::WorkspaceName) -> f64 {
        let (names, parts) = self.group_parts();
        let index = names.iter().position(|name| *name == vm);
        index.map_or(0.0, |index| parts.rate_allocation(index, workspace))
    }

    /// Returns whether this VM's group owns enough of a workspace's rate to lend it.
    pub fn is_owned_here(&self, workspace: &name::WorkspaceName) -> bool {
        let equal = 1.0 / self.centres().len().max(1) as f64;
        self.centre_rate_part(workspace) >= equal * LEAST_OWNED
    }

    /// Returns the data centres that own enough of a workspace's rate to lend it.
    pub fn owning_centres(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let equal = 1.0 / self.centres().len().max(1) as f64;
        let parts = self.centre_parts(Some(workspace)).into_iter();
        let owning = parts.filter(|(_, part)| *part >= equal * LEAST_OWNED);
        owning.map(|(centre, _)| centre.to_owned()).collect()
    }

    /// Returns the other VMs of the group that own parts of a workspace's rate which
    /// suffice for whole tokens.
    pub fn owners_of(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let owners = self.all_owners_of(workspace).into_iter();
        owners.filter(|name| name != self.own_name()).collect()
    }

    pub(super) fn all_owners_of(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let (names, parts) = self.group_parts();
        let equal = 1.0 / names.len().max(1) as f64;
        let owns =
            |(index, _): &(usize, &String)| parts.rate_allocation(*index, workspace) >= equal;
        let owners = names.iter().copied().enumerate().filter(owns);
        owners.map(|(_, name)| name.clone()).collect()
    }

    /// Returns whether this VM owns a part of a workspace's rate that it can lend.
    pub fn owns(&self, workspace: &name::WorkspaceName) -> bool {
        let owners = self.all_owners_of(workspace);
        self.is_owned_here(workspace) && owners.iter().any(|name| name == self.own_name())
    }

    /// Returns this VM's part of a workspace's rate in the whole fleet.
    pub(super) fn own_rate_part(&self, workspace: &name::WorkspaceName) -> f64 {
        let dealt = self.centre_rate_part(workspace) * self.rate_part(self.own_name(), workspace);
        let equal = 1.0 / self.members.len().max(1) as f64;
        if self.is_orphaned {
            dealt.min(equal)
        } else {
            dealt
        }
    }

    /// Applies parts that were dealt out. The first ones that a process hears of may be
    /// used at once: they were its own before, or whoever had them was started anew too
    /// or is among the few that have fallen back to equal parts.
    pub(super) fn apply_dealt(&self, is_first: bool, number: u64) {
        if !is_first || !self.has_owners() {
            return self.apply_shares();
        }
        if number == FIRST_NUMBER && self.has_joined {
            self.shared.shares.restart(&self.own_sizes());
        }
        self.apply_shares_after(Duration::ZERO);
    }

    pub(super) fn apply_shares(&self) {
        let delay = if self.has_owners() {
            allocation::OWNER_GROWTH_DELAY
        } else {
            allocation::GROWTH_DELAY
        };
        self.apply_shares_after(delay);
    }

    pub(super) fn apply_shares_after(&self, delay: Duration) {
        // Until all VMs are known, nothing may be spent; a bucket of no size
        // would also be slow to grow.
        if !self.has_joined {
            return;
        }
        let sizes = self.own_sizes();
        let shares = &self.shared.shares;
        shares.apply_sizes(&sizes, delay);
        shares.set_owners(self.has_owners());
    }

    pub(super) fn own_sizes(&self) -> BTreeMap<name::WorkspaceName, bucket::ShareSize> {
        let size =
            |(workspace, policy): (&name::WorkspaceName, &configuration::WorkspacePolicy)| {
                let part = self.own_rate_part(workspace);
                let size = bucket::ShareSize {
                    rate_per_second: policy.rate_per_second * part,
                    burst: policy.burst * part,
                };
                (workspace.clone(), size)
            };
        let workspaces = &self.configuration.decoded.workspaces;
        workspaces.iter().map(size).collect()
    }

    /// Lets this VM use its part of fleet-wide limits. The others must have
    /// made room for it first.
    pub fn join(&mut self, reason: &'static str) {
        if !self.has_joined {
            log::info!(reason = reason; "this VM uses its part of fleet-wide limits");
            self.has_joined = true;
            self.apply_shares();
            self.publish();
        }
    }
}

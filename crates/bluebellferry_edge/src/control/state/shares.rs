//! The allocations of fleet-wide limits that this VM uses, and the shares of workspaces'
//! rates that follow from them; see [`allocation`].

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_limits::bucket;
use bluebellferry_membership::heartbeat;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

use crate::control::allocation;
use crate::control::allocation::table;
use crate::control::state;
use crate::shared;

/// The version of the first allocation table, which an allocator publishes if no VM of the
/// fleet has an earlier one.
const INITIAL_TABLE_NUMBER: u64 = 1;
/// The time after which VMs other than the allocator send the allocation table to a VM of
/// the group that lacks it: enough for two heartbeats and a lost one.
const ALLOCATION_RELAY_DELAY: Duration = Duration::from_millis(1_000);
/// The minimum allocation of a workspace's rate for a data centre to count as an owner of
/// the rate, as a fraction of an equal allocation. Smaller allocations are only remainders
/// that a lost data centre has left.
const MIN_OWNED_FRACTION: f64 = 0.5;

impl state::ControlState {
    /// Puts the allocations in this VM's group into use unless newer ones are in use.
    pub fn apply_allocations(&mut self, table: &heartbeat::AllocationTable) {
        if table.number > self.allocation_table.number {
            let is_first = self.allocation_table.number == 0;
            self.allocation_table = table.clone();
            self.allocations_since = clock::now();
            self.apply_new_allocation(is_first, table.number);
            self.log_allocation(
                "the VMs' allocations of fleet-wide limits have changed",
                table.number,
            );
            self.publish_snapshot();
        }
    }

    pub(super) fn log_allocation(&self, message: &str, number: u64) {
        let size = self.own_allocation().fraction();
        log::info!(number = number, own_part = size; "{message}");
    }

    /// Puts the allocations of the data centres into use unless newer ones are in use.
    pub fn apply_centre_allocations(&mut self, table: &heartbeat::AllocationTable) {
        if table.number > self.centre_allocation_table.number {
            let is_first = self.centre_allocation_table.number == 0;
            self.centre_allocation_table = table.clone();
            self.apply_new_allocation(is_first, table.number);
            self.log_allocation(
                "the data centres' allocations of fleet-wide limits have changed",
                table.number,
            );
            self.publish_snapshot();
        }
    }

    /// Returns whether every VM of the group may send the allocation table to VMs that lack it,
    /// since the allocator has had time to send it to all of them.
    pub fn may_relay_allocations(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.allocations_since) >= ALLOCATION_RELAY_DELAY
    }

    /// Returns whether the rate of each workspace is allocated to a few VMs, its owners, rather
    /// than to all VMs.
    pub fn has_owners(&self) -> bool {
        !self.topology.is_full_mesh()
    }

    /// Returns the VMs of this VM's group, to which limits are allocated, in the order of their
    /// names.
    pub fn group_members(&self) -> impl Iterator<Item = &String> {
        let is_in_group =
            |record: &state::MemberRecord| self.topology.is_in_group(&record.data_centre);
        self.members
            .iter()
            .filter(move |(_, record)| is_in_group(record))
            .map(|(name, _)| name)
    }

    /// Returns the VMs of the group and their allocations within the group.
    pub(super) fn group_allocations(&self) -> (Vec<&String>, table::MemberAllocations<'_>) {
        let names: Vec<&String> = self.group_members().collect();
        let allocations = table::MemberAllocations::new(&self.allocation_table, &names);
        (names, allocations)
    }

    /// Returns whether a VM belongs to this VM's group.
    pub fn is_in_group(&self, vm: &str) -> bool {
        let member = self.members.get(vm);
        member.is_some_and(|member| self.topology.is_in_group(&member.data_centre))
    }

    /// Returns the number of VMs in each data centre.
    pub fn centre_sizes(&self) -> BTreeMap<&str, usize> {
        let mut centres = BTreeMap::new();
        for member in self.members.values() {
            *centres.entry(member.data_centre.as_str()).or_default() += 1;
        }
        centres
    }

    /// Returns this VM's allocation of fleet-wide limits; before the first allocation, all VMs
    /// have equal ones.
    pub fn own_allocation(&self) -> shared::FleetAllocation {
        if !self.has_joined {
            return shared::FleetAllocation::default();
        }
        let centre = self.own_centre_allocation();
        let (names, allocations) = self.group_allocations();
        let own_name = self.own_name();
        let mut from = 0.0;
        for (index, name) in names.iter().enumerate() {
            let allocation = allocations.allocation(index);
            if *name == own_name {
                return shared::FleetAllocation {
                    from: centre.from + centre.fraction() * from,
                    to: centre.from + centre.fraction() * (from + allocation),
                };
            }
            from += allocation;
        }
        shared::FleetAllocation::default()
    }

    /// Returns the allocation of fleet-wide limits to this VM's data centre; in a full mesh,
    /// where limits are not allocated to data centres, the whole limits.
    pub(super) fn own_centre_allocation(&self) -> shared::FleetAllocation {
        let mut from = 0.0;
        if !self.topology.is_full_mesh() {
            let own_centre = self.shared.settings.data_centre.as_str();
            for (name, allocation) in self.centre_allocations(None) {
                if name == own_centre {
                    return shared::FleetAllocation {
                        from,
                        to: from + allocation,
                    };
                }
                from += allocation;
            }
        }
        shared::FleetAllocation { from: 0.0, to: 1.0 }
    }

    /// Returns the allocations of a workspace's rate to the data centres, or those of the other
    /// limits if no workspace is given.
    pub fn centre_allocations(&self, workspace: Option<&name::WorkspaceName>) -> Vec<(&str, f64)> {
        let centres = self.centre_sizes();
        let names: Vec<&str> = centres.keys().copied().collect();
        let current = table::MemberAllocations::new(&self.centre_allocation_table, &names);
        let vm_count = self.members.len().max(1) as f64;
        let mut allocations = Vec::new();
        for (index, (name, count)) in centres.iter().enumerate() {
            let allocation = match workspace {
                _ if !current.is_known() => *count as f64 / vm_count,
                Some(workspace) => current.rate_allocation(index, workspace),
                None => current.allocation(index),
            };
            allocations.push((*name, allocation));
        }
        allocations
    }

    /// Returns the allocation of a workspace's rate to this VM's data centre; in a full mesh, the
    /// whole rate.
    pub fn centre_rate_allocation(&self, workspace: &name::WorkspaceName) -> f64 {
        if self.topology.is_full_mesh() {
            return 1.0;
        }
        let own_centre = self.shared.settings.data_centre.as_str();
        let allocations = self.centre_allocations(Some(workspace));
        let own_entry = allocations.iter().find(|(name, _)| *name == own_centre);
        let allocated = own_entry.map_or(0.0, |(_, allocation)| *allocation);
        let count = self.centre_sizes().get(own_centre).copied().unwrap_or(1);
        let equal = count as f64 / self.members.len().max(1) as f64;
        if self.is_isolated {
            allocated.min(equal)
        } else {
            allocated
        }
    }

    /// Returns a VM's fraction of its group's allocation of a workspace's rate.
    pub fn rate_allocation(&self, vm: &str, workspace: &name::WorkspaceName) -> f64 {
        let (names, allocations) = self.group_allocations();
        let index = names.iter().position(|name| *name == vm);
        index.map_or(0.0, |index| allocations.rate_allocation(index, workspace))
    }

    /// Returns whether this VM's data centre owns enough of a workspace's rate to lend tokens.
    pub fn is_owned_in_own_centre(&self, workspace: &name::WorkspaceName) -> bool {
        let equal = 1.0 / self.centre_sizes().len().max(1) as f64;
        self.centre_rate_allocation(workspace) >= equal * MIN_OWNED_FRACTION
    }

    /// Returns the data centres that own enough of a workspace's rate to lend tokens.
    pub fn owning_centres(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let equal = 1.0 / self.centre_sizes().len().max(1) as f64;
        let allocations = self.centre_allocations(Some(workspace)).into_iter();
        let owning =
            allocations.filter(|(_, allocation)| *allocation >= equal * MIN_OWNED_FRACTION);
        owning.map(|(centre, _)| centre.to_owned()).collect()
    }

    /// Returns the other VMs of the group that own a workspace's rate: those with at least an
    /// equal allocation of it, which suffices to lend whole tokens.
    pub fn owners_of(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let owners = self.all_owners_of(workspace).into_iter();
        owners.filter(|name| name != self.own_name()).collect()
    }

    pub(super) fn all_owners_of(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let (names, allocations) = self.group_allocations();
        let equal = 1.0 / names.len().max(1) as f64;
        let owns =
            |(index, _): &(usize, &String)| allocations.rate_allocation(*index, workspace) >= equal;
        let owners = names.iter().copied().enumerate().filter(owns);
        owners.map(|(_, name)| name.clone()).collect()
    }

    /// Returns whether this VM owns enough of a workspace's rate to lend tokens.
    pub fn owns(&self, workspace: &name::WorkspaceName) -> bool {
        let owners = self.all_owners_of(workspace);
        self.is_owned_in_own_centre(workspace) && owners.iter().any(|name| name == self.own_name())
    }

    /// Returns this VM's allocation of a workspace's rate, as a fraction of the whole rate.
    pub(super) fn own_rate_allocation(&self, workspace: &name::WorkspaceName) -> f64 {
        let allocated = self.centre_rate_allocation(workspace)
            * self.rate_allocation(self.own_name(), workspace);
        let equal = 1.0 / self.members.len().max(1) as f64;
        if self.is_in_minority {
            allocated.min(equal)
        } else {
            allocated
        }
    }

    /// Applies a new allocation table. Where rates have owners, a process may use the first
    /// allocation that it receives at once: either this VM had it before the process restarted,
    /// or its previous owner restarted as well or is in the minority, which has fallen back to
    /// equal allocations.
    pub(super) fn apply_new_allocation(&self, is_first: bool, number: u64) {
        if !is_first || !self.has_owners() {
            return self.apply_shares();
        }
        if number == INITIAL_TABLE_NUMBER && self.has_joined {
            self.shared.rate_limiter.restart(&self.own_share_sizes());
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
        // Before this VM has joined, it may spend no tokens. No buckets are created until then,
        // since a bucket that is created with a size of zero grows only after a delay.
        if !self.has_joined {
            return;
        }
        let sizes = self.own_share_sizes();
        let shares = &self.shared.rate_limiter;
        shares.apply_sizes(&sizes, delay);
        shares.set_owners(self.has_owners());
    }

    pub(super) fn own_share_sizes(&self) -> BTreeMap<name::WorkspaceName, bucket::ShareSize> {
        let size =
            |(workspace, policy): (&name::WorkspaceName, &configuration::WorkspacePolicy)| {
                let allocation = self.own_rate_allocation(workspace);
                let size = bucket::ShareSize {
                    rate_per_second: policy.rate_per_second * allocation,
                    burst: policy.burst * allocation,
                };
                (workspace.clone(), size)
            };
        let workspaces = &self.configuration.decoded.workspaces;
        workspaces.iter().map(size).collect()
    }

    /// Lets this VM use its allocation of fleet-wide limits. The other VMs must have reduced
    /// theirs before.
    pub fn join_group(&mut self, reason: &'static str) {
        if !self.has_joined {
            log::info!(
                reason = reason;
                "this VM starts to use its allocation of fleet-wide limits"
            );
            self.has_joined = true;
            self.apply_shares();
            self.publish_snapshot();
        }
    }
}

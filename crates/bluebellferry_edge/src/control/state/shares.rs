//! The allocations of fleet-wide limits that this VM uses, and the shares of rates that follow
//! from them; see [`allocation`].

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_limits::bucket;
use bluebellferry_membership::heartbeat;
use bluebellferry_runtime::clock;
use bluebellferry_shares::ownership;
use bluebellferry_shares::ownership::numbering;
use bluebellferry_types::limit;

use crate::control::allocation;
use crate::control::allocation::table;
use crate::control::state;
use crate::shared;

/// The time after which VMs other than the allocator send the allocation table to a VM of
/// the group that lacks it: enough for two heartbeats and a lost one.
const ALLOCATION_RELAY_DELAY: Duration = Duration::from_millis(1_000);

impl state::ControlState {
    /// Puts the allocations in this VM's group, which were announced `age` ago, into use unless
    /// newer ones are in use.
    pub fn apply_allocations(&mut self, table: &heartbeat::AllocationTable, age: Duration) {
        if table.number > self.allocation_table.number {
            let now = clock::now();
            let reduction = table::reduction_between(&self.allocation_table, table);
            self.growth_gate
                .record_table(table.number, reduction, allocation::GROWTH_DELAY, now);
            self.allocation_table = table.clone();
            self.allocations_since = now;
            self.allocations_announced = now.checked_sub(age).unwrap_or(now);
            self.apply_allocated_shares(now);
            self.log_allocation(
                "the VMs' allocations of fleet-wide limits have changed",
                table.number,
            );
            self.publish_snapshot();
        }
    }

    /// Lets the larger shares of a full mesh take effect once all VMs have reduced theirs.
    pub(super) fn grow_shares(&mut self, now: Instant) {
        if self.has_owners() || !self.has_joined {
            return;
        }
        let own_name = &self.shared.settings.vm;
        let peers = &self.peers;
        let acknowledged = |vm: &str| {
            if vm == own_name {
                return u64::MAX;
            }
            let record = peers.get(vm);
            record.map_or(0, |record| record.heartbeat.allocation_number)
        };
        let numbers = peers
            .values()
            .map(|record| record.heartbeat.allocation_number);
        let latest = numbers.max().unwrap_or_default();
        if self.growth_gate.may_grow(acknowledged, latest, now) {
            let sizes = self.own_share_sizes();
            self.shared.rate_limiter.apply_sizes_now(&sizes);
            log::info!(
                number = self.allocation_table.number;
                "all VMs have reduced their shares, so this VM's larger ones take effect"
            );
        }
    }

    pub(super) fn log_allocation(&self, message: &str, number: u64) {
        let size = self.own_allocation().fraction();
        log::info!(number = number, own_part = size; "{message}");
    }

    /// Puts the allocations of the data centres, which were announced `age` ago, into use unless
    /// newer ones are in use.
    pub fn apply_centre_allocations(&mut self, table: &heartbeat::AllocationTable, age: Duration) {
        if table.number > self.centre_allocation_table.number {
            let now = clock::now();
            self.centre_allocation_table = table.clone();
            self.centre_allocations_announced = now.checked_sub(age).unwrap_or(now);
            self.has_centre_news = true;
            self.heartbeat_trigger.notify_one();
            self.apply_allocated_shares(now);
            self.log_allocation(
                "the data centres' allocations of fleet-wide limits have changed",
                table.number,
            );
            self.publish_snapshot();
        }
    }

    /// Returns whether limits have not been allocated since this process started, as far as it
    /// knows.
    pub fn awaits_first_allocation(&self) -> bool {
        self.allocation_table.number == 0
            || (self.has_owners() && self.centre_allocation_table.number == 0)
    }

    /// Returns whether other data centres' coordinators may lack the allocations of the data
    /// centres that this VM has received since the last call.
    pub fn take_centre_news(&mut self) -> bool {
        std::mem::take(&mut self.has_centre_news)
    }

    /// Returns when the allocations of this VM's group were announced, at the latest.
    pub const fn allocations_announced(&self) -> Instant {
        self.allocations_announced
    }

    /// Returns when the allocations of the data centres were announced, at the latest.
    pub const fn centre_allocations_announced(&self) -> Instant {
        self.centre_allocations_announced
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
        self.group_names.iter()
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
        if self.has_joined {
            self.own_allocation
        } else {
            shared::FleetAllocation::default()
        }
    }

    pub(super) fn compute_own_allocation(&self) -> shared::FleetAllocation {
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

    /// Applies the shares that follow from the allocation tables and from the connection to the
    /// other VMs.
    ///
    /// Where rates have owners, larger shares take effect [`allocation::OWNER_GROWTH_DELAY`] after
    /// their tables were announced, whenever this VM learned of them: by then all other VMs have
    /// reduced theirs or have been counted as unresponsive. So a process that restarts, or regains
    /// the majority, uses at once what an older table gives it.
    pub(super) fn apply_allocated_shares(&mut self, now: Instant) {
        if !self.has_owners() {
            return self.apply_shares();
        }
        if self.has_joined {
            self.start_shares(now);
        }
        let remaining_delay = self.shares_in_force(now).err();
        self.apply_shares_after(remaining_delay.unwrap_or_default());
    }

    /// Returns whether the allocation tables count this VM and its data centre as responsive, as
    /// far as they have owners.
    fn is_counted(&self) -> bool {
        let is_excluded = |table: &heartbeat::AllocationTable, member: &str| {
            let mut allocations = table.allocations.iter();
            let own = allocations.find(|allocation| allocation.vm == member);
            own.is_some_and(|own| {
                matches!(own.standing, ownership::MemberStanding::Excluded { .. })
            })
        };
        let own_centre = self.shared.settings.data_centre.as_str();
        !is_excluded(&self.allocation_table, self.own_name())
            && !is_excluded(&self.centre_allocation_table, own_centre)
    }

    /// Returns for how long the larger shares of both tables have been in force.
    ///
    /// # Errors
    /// Returns the time until they are.
    fn shares_in_force(&self, now: Instant) -> Result<Duration, Duration> {
        let delay_of = |table: &heartbeat::AllocationTable| {
            // Before the first table, nobody had more than an equal allocation.
            if table.number == 0 || numbering::is_first(table.number) {
                Duration::ZERO
            } else {
                allocation::OWNER_GROWTH_DELAY
            }
        };
        let in_force_from = |table, announced: Instant| announced + delay_of(table);
        let from =
            in_force_from(&self.allocation_table, self.allocations_announced).max(in_force_from(
                &self.centre_allocation_table,
                self.centre_allocations_announced,
            ));
        match from.checked_duration_since(now) {
            Some(wait) if !wait.is_zero() => Err(wait),
            _ => Ok(now.saturating_duration_since(from)),
        }
    }

    /// Fills the buckets of a process that has restarted with what was added to its shares while
    /// it was down: once, as soon as it may use them. Shares that others used until lately add
    /// nothing.
    fn start_shares(&mut self, now: Instant) {
        let is_connected = !self.is_in_minority && !self.is_isolated;
        let is_initial = numbering::is_first(self.allocation_table.number);
        let has_tables = is_initial
            || (self.allocation_table.number > 0 && self.centre_allocation_table.number > 0);
        if self.has_started_shares || !is_connected || !has_tables || !self.is_counted() {
            return;
        }
        self.has_started_shares = true;
        let is_unspent = self
            .shares_in_force(now)
            .is_ok_and(|in_force| in_force >= bucket::MIN_RESTART_DOWNTIME);
        if is_initial || is_unspent {
            self.update_own_allocations();
            self.shared.rate_limiter.restart(&self.own_share_sizes());
        }
    }

    pub(super) fn apply_shares(&mut self) {
        let delay = if self.has_owners() {
            allocation::OWNER_GROWTH_DELAY
        } else {
            allocation::GROWTH_DELAY
        };
        self.apply_shares_after(delay);
    }

    pub(super) fn apply_shares_after(&mut self, delay: Duration) {
        self.update_own_allocations();
        // Before this VM has joined, it may spend no tokens. No buckets are created until then,
        // since a bucket that is created with a size of zero grows only after a delay.
        if !self.has_joined {
            return;
        }
        let sizes = self.own_share_sizes();
        let shares = &self.shared.rate_limiter;
        if self.is_in_minority || !self.is_counted() {
            // The allocation may have changed meanwhile without this VM's knowledge. What a table
            // leaves to an unresponsive VM is an upper bound for the others.
            shares.shrink_to(&sizes);
        } else {
            shares.apply_sizes(&sizes, delay);
        }
        shares.set_owners(self.has_owners());
    }

    pub(super) fn own_share_sizes(&self) -> BTreeMap<limit::LimitKey, bucket::ShareSize> {
        let own_size = |(key, size): (limit::LimitKey, bucket::ShareSize)| {
            let allocation = self.own_rate_allocation(&key);
            let own_size = bucket::ShareSize {
                rate_per_second: size.rate_per_second * allocation,
                burst: size.burst * allocation,
            };
            (key, own_size)
        };
        self.fleet_limits().into_iter().map(own_size).collect()
    }

    /// Returns the rates that hold over all VMs together: those of workspaces, and the paces of
    /// databases that may be cold.
    pub(super) fn fleet_limits(&self) -> Vec<(limit::LimitKey, bucket::ShareSize)> {
        let workspaces = self.configuration.decoded.workspaces.iter();
        let rates = workspaces.map(|(name, policy)| (name.into(), size_of(policy)));
        let databases = self.databases.iter();
        let paces = databases.filter_map(|entry| Some(((&entry.id).into(), self.pace_of(entry)?)));
        rates.chain(paces).collect()
    }

    /// Returns the rate and burst over all VMs together; `None` if there is no such limit.
    pub(super) fn fleet_limit(&self, key: &limit::LimitKey) -> Option<bucket::ShareSize> {
        match key {
            limit::LimitKey::Workspace(workspace) => {
                let policy = self.configuration.decoded.workspaces.get(workspace)?;
                Some(size_of(policy))
            }
            limit::LimitKey::Database(database) => {
                let has_id = |entry: &&database::DatabaseEntry| entry.id == *database;
                self.pace_of(self.databases.iter().find(has_id)?)
            }
        }
    }

    /// Returns the pace of a database while it is cold; `None` if its service does not limit that.
    fn pace_of(&self, entry: &database::DatabaseEntry) -> Option<bucket::ShareSize> {
        let policy = self.configuration.decoded.services.get(&entry.service)?;
        let tolerance = self.shared.settings.pace_tolerance;
        Some(tolerance.pace_of(policy.cold_pace?))
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
            let now = clock::now();
            self.update_group_status(now);
            self.apply_allocated_shares(now);
            self.publish_snapshot();
        }
    }
}

/// Returns the rate and burst of a workspace over all VMs.
const fn size_of(policy: &configuration::WorkspacePolicy) -> bucket::ShareSize {
    bucket::ShareSize {
        rate_per_second: policy.rate_per_second,
        burst: policy.burst,
    }
}

//! The role of this VM in the fleet: whether it is a coordinator, relies on a coordinator,
//! and belongs to the majority of its group.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_types::name;

use crate::control::allocation;
use crate::control::state;

/// The maximum size of a configuration that VMs with access to the store copy from each
/// other: a coordinator sends one of this size to a dozen VMs within a second over a link of
/// 10 Mbit/s.
const MAX_COPIED_CONFIGURATION_BYTES: u32 = 64 << 10;

/// The time within which all VMs of a data centre whose coordinator cannot read the store begin to
/// read it themselves, unless one of the first by rank does so for them.
const READER_TAKEOVER_TIME: Duration = Duration::from_millis(2_500);

/// The time after a VM's latest heartbeat during which older incarnations and sequence
/// numbers of that VM are rejected: longer than a datagram is in transit. The limit is
/// needed because a VM that restarts after its system clock was set back has a lower
/// incarnation than before.
const HEARTBEAT_ORDER_TIMEOUT: Duration = Duration::from_secs(5);

impl state::ControlState {
    /// Updates whether this VM is the allocator of its group and whether it belongs to the
    /// majority. A VM outside the majority uses at most an equal allocation of each limit,
    /// so that the majority can allocate the rest. Also accepts any incarnation again from VMs
    /// that sent no heartbeat for several seconds.
    pub fn update_group_status(&mut self, now: Instant) {
        for record in self.peers.values_mut() {
            if now.saturating_duration_since(record.received_at) >= HEARTBEAT_ORDER_TIMEOUT {
                (record.incarnation, record.sequence) = (0, 0);
            }
        }
        self.update_unread_time(now);
        if allocation::is_group_allocator(self, now) {
            self.allocator_since.get_or_insert(now);
        } else {
            self.allocator_since = None;
        }
        let is_in_minority = self.has_owners() && !self.is_in_majority(now);
        let is_isolated = !self.topology.is_full_mesh() && self.is_centre_isolated(now);
        let is_connected = !is_in_minority && !is_isolated;
        if (is_in_minority, is_isolated) != (self.is_in_minority, self.is_isolated) {
            log::info!(
                orphaned = is_in_minority, isolated = is_isolated;
                "connection to the majority of VMs or data centres was lost or restored"
            );
            let status = &self.shared.fleet_status;
            let changes = [
                (
                    is_in_minority != self.is_in_minority,
                    &status.majority_changes,
                ),
                (is_isolated != self.is_isolated, &status.isolation_changes),
            ];
            for (_, count) in changes.into_iter().filter(|(has_changed, _)| *has_changed) {
                count.fetch_add(1, Ordering::Relaxed);
            }
            self.is_in_minority = is_in_minority;
            self.is_isolated = is_isolated;
            self.apply_allocated_shares(now);
            if self.topology.is_coordinator(now) {
                // The other VMs of the data centre rely on this one's connections.
                self.heartbeat_trigger.notify_one();
            }
        }
        // Before the list of VMs is known, this VM seems to be alone.
        self.has_been_connected |= is_connected && !self.members.is_empty();
        // A data centre that is cut off as a whole still serves its callers.
        if is_in_minority && self.has_been_connected {
            self.cut_off_since.get_or_insert(now);
        } else {
            self.cut_off_since = None;
        }
    }

    /// Returns whether this VM may announce new allocations where rates have owners, given its
    /// current table and the highest number of a table that another VM has announced.
    ///
    /// It first needs the latest table, which other VMs relay, since it says which unresponsive
    /// members still use an allocation. A VM that takes over from another allocator also waits
    /// until it knows which members are unresponsive.
    pub fn may_announce(
        &self,
        current: &heartbeat::AllocationTable,
        known_number: u64,
        now: Instant,
    ) -> bool {
        let allocator_for = self
            .allocator_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let is_first = current.number == 0;
        known_number <= current.number && (is_first || allocator_for >= topology::HEARTBEAT_TIMEOUT)
    }

    /// Returns whether this VM and the VMs that answer it are a majority of the group. Where
    /// rates have owners, only VMs that follow this one as their coordinator count, so that no two
    /// VMs have a majority at once, and none that answers may have later allocations.
    pub fn has_group_majority(&self, now: Instant) -> bool {
        let own_number = self.allocation_table.number;
        let mut followers = 0;
        for (name, record) in &self.peers {
            if !record.is_answering(now) || !self.is_in_group(name) {
                continue;
            }
            if self.has_owners() && record.heartbeat.allocation_number > own_number {
                return false;
            }
            if !self.has_owners() || record.heartbeat.is_follower {
                followers += 1;
            }
        }
        (followers + 1) * 2 > self.group_members().count()
    }

    /// Returns whether this VM follows another one as the coordinator of its data centre, which
    /// then may count on it for [`topology::HEARTBEAT_TIMEOUT`]. It follows no other one meanwhile,
    /// unless the former has stepped down.
    pub fn follows(&self, vm: &str, now: Instant) -> bool {
        let is_bound = self.followed.as_ref().is_some_and(|(other, told_at)| {
            let has_stepped_down = self
                .peers
                .get(other)
                .is_some_and(|record| record.is_live(now) && !record.heartbeat.is_coordinator);
            other != vm && state::is_recent(Some(*told_at), now) && !has_stepped_down
        });
        self.topology.own_coordinator(now) == Some(vm) && !is_bound
    }

    /// Records that this VM tells another one that it follows it.
    pub fn record_following(&mut self, vm: &str, now: Instant) {
        self.followed = Some((vm.to_owned(), now));
    }

    /// Records what a heartbeat that answers one of this VM's tells about the coordinator of the
    /// own data centre. A coordinator whose allocations this VM lacks counts only once it has
    /// received them.
    pub(super) fn record_majority_answer(
        &mut self,
        heartbeat: &heartbeat::FleetHeartbeat,
        answered_sent: Option<Instant>,
    ) {
        if !heartbeat.is_coordinator || !self.is_in_group(&heartbeat.vm) {
            return;
        }
        let has_group_table = heartbeat.allocation_number <= self.allocation_table.number;
        if heartbeat.has_group_majority && has_group_table {
            self.majority_answered = self.majority_answered.max(answered_sent);
        }
        let own_number = self.centre_allocation_table.number;
        if !heartbeat.is_isolated && heartbeat.centre_allocation_number <= own_number {
            self.connection_answered = self.connection_answered.max(answered_sent);
        }
    }

    /// Returns whether this VM belongs to the majority of its group: it is a coordinator with
    /// a majority, or one has answered it within [`topology::HEARTBEAT_TIMEOUT`]. A coordinator
    /// that has just started has no majority for a moment, which loses nothing.
    fn is_in_majority(&mut self, now: Instant) -> bool {
        if self.topology.is_coordinator(now) {
            let has_majority = self.has_group_majority(now);
            if has_majority {
                self.majority_answered = Some(now);
            }
            return has_majority;
        }
        state::is_recent(self.majority_answered, now)
    }

    /// Returns whether this data centre is cut off from most others, so that its allocation
    /// may have been reduced without its knowledge. Only its coordinator receives heartbeats
    /// from other data centres, so that other VMs rely on what the coordinator reports.
    fn is_centre_isolated(&mut self, now: Instant) -> bool {
        if !self.topology.is_coordinator(now) {
            return !state::is_recent(self.connection_answered, now);
        }
        let is_isolated = self.is_cut_off_from_centres(now);
        if !is_isolated {
            self.connection_answered = Some(now);
        }
        is_isolated
    }

    /// Returns whether most other data centres do not answer this coordinator, or one of those
    /// that do has later allocations.
    fn is_cut_off_from_centres(&self, now: Instant) -> bool {
        let answering = self
            .peers
            .iter()
            .filter(|(_, record)| record.heartbeat.is_coordinator && record.is_answering(now));
        let own_number = self.centre_allocation_table.number;
        let mut numbers = answering
            .clone()
            .map(|(_, record)| record.heartbeat.centre_allocation_number);
        if numbers.any(|number| number > own_number) {
            return true;
        }
        let centre = |(name, _): (&String, &state::PeerRecord)| {
            let member = self.members.get(name)?;
            Some(member.data_centre.clone())
        };
        let mut reachable: BTreeSet<name::DataCentreName> = answering.filter_map(centre).collect();
        reachable.insert(self.shared.settings.data_centre.clone());
        reachable.len() * 2 <= self.centre_sizes().len()
    }

    /// Returns the time since a heartbeat of another VM, for use by the allocator of a group.
    pub fn time_without_heartbeat(&self, vm: &str, now: Instant) -> Duration {
        let received = self.peers.get(vm).map(|record| record.received_at);
        self.time_since_received(received, now)
    }

    /// Returns the coordinator of another data centre, if it is live.
    pub fn coordinator_of(&self, centre: &str, now: Instant) -> Option<String> {
        let coordinators = self.live_peers(now).filter(|(name, record)| {
            record.heartbeat.is_coordinator && self.is_in_centre(name, centre)
        });
        let first = coordinators.min_by(|(one, _), (other, _)| {
            let (one, other) = (topology::rank(one), topology::rank(other));
            one.cmp(&other)
        });
        first.map(|(name, _)| name.clone())
    }

    /// Returns the time since a heartbeat of a data centre's coordinator, for use by the
    /// allocator of the data centres.
    pub fn centre_time_without_heartbeat(&self, centre: &str, now: Instant) -> Duration {
        let coordinators = self.peers.iter().filter(|(name, record)| {
            record.heartbeat.is_coordinator && self.is_in_centre(name, centre)
        });
        let received = coordinators.map(|(_, record)| record.received_at).max();
        self.time_since_received(received, now)
    }

    /// Returns the latest allocations of the data centres that a data centre's coordinators are
    /// known to have received.
    pub fn centre_acknowledged_number(&self, centre: &str) -> u64 {
        let coordinators = self.peers.iter().filter(|(name, record)| {
            record.heartbeat.is_coordinator && self.is_in_centre(name, centre)
        });
        let latest = coordinators.max_by_key(|(_, record)| record.received_at);
        latest.map_or(0, |(_, record)| record.heartbeat.centre_allocation_number)
    }

    fn is_in_centre(&self, vm: &str, centre: &str) -> bool {
        let member = self.members.get(vm);
        member.is_some_and(|member| member.data_centre.as_str() == centre)
    }

    /// Returns the time since a heartbeat was received, or since this VM became the allocator
    /// if that was later: before, the heartbeat need not have been sent to this VM.
    fn time_since_received(&self, received: Option<Instant>, now: Instant) -> Duration {
        let counted_from = received.max(self.allocator_since);
        counted_from.map_or(Duration::ZERO, |counted_from| {
            now.saturating_duration_since(counted_from)
        })
    }

    /// Returns whether every other live VM lists this VM as a member.
    pub fn is_listed_by_live_vms(&self, now: Instant) -> bool {
        self.live_peers(now)
            .all(|(_, record)| record.heartbeat.echo.is_some())
    }

    /// Returns whether another VM has newer store objects that this VM will not read from the
    /// store itself.
    pub fn needs_store_copies(&self, heartbeat: &heartbeat::FleetHeartbeat, now: Instant) -> bool {
        let (own, other) = (self.versions, heartbeat.versions);
        let reads_itself = self.is_store_reachable && self.reads_store_lists(now);
        let lacks_configuration = other.configuration > own.configuration;
        (lacks_configuration && !self.reads_configuration_from_store(other))
            || (!reads_itself && (other.databases > own.databases || other.members > own.members))
    }

    /// Returns whether this VM reads a newer configuration from the store rather than from
    /// another VM, whose link a large configuration would saturate.
    pub fn reads_configuration_from_store(&self, other: heartbeat::StoreVersions) -> bool {
        self.is_store_reachable
            && self.is_configuration_readable
            && other.configuration_bytes > MAX_COPIED_CONFIGURATION_BYTES
    }

    /// Returns whether this VM reads the lists of databases and VMs from the store: as the
    /// leadership table's holder, as the coordinator, or in its place because it cannot. The VMs of
    /// a data centre replace their coordinator one after the other by rank, since the store may
    /// be unavailable to all of them.
    pub fn reads_store_lists(&self, now: Instant) -> bool {
        self.reads_for_others(now)
            || (!self.is_store_read_in_centre(now) && self.has_waited_for_reader(now))
    }

    /// Returns whether other VMs rely on this one's calls to the store.
    pub fn reads_for_others(&self, now: Instant) -> bool {
        self.leadership_table.holder == self.own_name() || self.topology.is_first_in_centre(now)
    }

    /// Records since when no VM is known to read the store for this data centre.
    pub(super) fn update_unread_time(&mut self, now: Instant) {
        if self.is_store_read_in_centre(now) {
            self.has_had_reader = true;
            self.unread_since = None;
        } else if self.has_had_reader {
            self.unread_since.get_or_insert(now);
        }
    }

    fn has_waited_for_reader(&self, now: Instant) -> bool {
        let ranked = self
            .topology
            .vms_of(self.shared.settings.data_centre.as_str());
        let position = ranked.iter().position(|vm| vm == self.own_name());
        // The first two receive heartbeats from all others, which then rely on them.
        let position = position.unwrap_or_default().saturating_sub(1);
        let wait = READER_TAKEOVER_TIME.mul_f64(position as f64 / ranked.len().max(1) as f64);
        self.unread_since
            .is_none_or(|since| now.saturating_duration_since(since) >= wait)
    }

    /// Returns whether a live VM of this data centre that ranks before this one, or is a target
    /// of its heartbeats, can read the store. The first of these does so for the others: where
    /// the store rejects the coordinator, the next VM by rank replaces it rather than all VMs.
    fn is_store_read_in_centre(&self, now: Instant) -> bool {
        let own_rank = topology::rank(self.own_name());
        self.live_peers(now).any(|(name, record)| {
            self.is_in_group(name)
                && record.heartbeat.is_store_reachable
                && !record.heartbeat.is_draining
                && topology::rank(name) < own_rank
        })
    }

    /// Returns whether the other VMs of this data centre rely on this VM to confirm the
    /// leadership table and to probe leaders.
    pub fn confirms_leaders_for_centre(&self, now: Instant) -> bool {
        !self.topology.is_full_mesh() && self.topology.is_coordinator(now)
    }

    /// Returns whether the coordinator of this data centre reads from the store for this VM.
    /// This requires that this VM has received every kind of object once.
    pub fn is_store_read_by_coordinator(&self, now: Instant) -> bool {
        !self.topology.is_full_mesh()
            && !self.reads_store_lists(now)
            && self.versions.configuration > 0
            && self.versions.databases > 0
    }

    /// Returns whether a live coordinator confirms leaders for this VM.
    pub fn relies_on_coordinator(&self, now: Instant) -> bool {
        let coordinator = self.topology.own_coordinator(now);
        let is_live =
            coordinator.is_some_and(|coordinator| self.topology.is_live(coordinator, now));
        !self.topology.is_coordinator(now) && is_live
    }

    /// Returns whether every other VM lists this one: live VMs report that they do, and in a
    /// fleet without a full mesh, lists without this VM are no longer in use.
    pub fn is_listed_by_all_vms(&self, now: Instant) -> bool {
        let is_listed = self.listed_everywhere_from.is_some_and(|from| from <= now);
        self.is_listed_by_live_vms(now) && (self.topology.is_full_mesh() || is_listed)
    }

    /// Returns the leaders that this VM cannot use and, if it is the coordinator, those that
    /// the other VMs of its data centre cannot use.
    pub fn known_suspicions(&self, now: Instant) -> Vec<heartbeat::LeaderSuspicion> {
        let mut suspicions = self.suspicions.own_suspicions(now);
        if !self.topology.is_full_mesh() && self.topology.is_coordinator(now) {
            let in_centre = self
                .live_peers(now)
                .filter(|(name, _)| self.is_in_group(name));
            let reported = in_centre.flat_map(|(_, record)| record.heartbeat.suspicions.iter());
            for suspicion in reported {
                if !suspicions.contains(suspicion) {
                    suspicions.push(suspicion.clone());
                }
            }
        }
        suspicions
    }

    /// Returns whether this VM ranks before all live VMs that match a condition.
    pub fn ranks_first_among(
        &self,
        now: Instant,
        matches: impl Fn(&heartbeat::FleetHeartbeat) -> bool,
    ) -> bool {
        let own_rank = topology::rank(self.own_name());
        let mut others = self
            .live_peers(now)
            .filter(|(_, record)| matches(&record.heartbeat));
        others.all(|(name, _)| topology::rank(name) > own_rank)
    }
}

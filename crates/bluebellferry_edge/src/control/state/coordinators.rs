//! What this VM is to others: a head, one that relies on a head, one of the majority.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_types::name;

use crate::control::parts;
use crate::control::state;

/// The largest configuration that VMs copy from each other while they have the store: a
/// head sends it to a dozen VMs within a second over a link of 10 Mbit/s.
const MAX_COPIED_CONFIGURATION_BYTES: u32 = 64 << 10;

/// How long after a VM fell silent its heartbeats are compared with the last one: longer
/// than a datagram is on its way. A VM that is started anew after its time of day was set
/// back has a lower incarnation than before.
const HEARTBEAT_ORDER_TIMEOUT: Duration = Duration::from_secs(5);

impl state::ControlState {
    /// Notes who deals out the parts. A VM that does not hear most others, or nobody who
    /// does, takes at most an equal part, so that those who do may deal out the rest.
    pub fn update_group_status(&mut self, now: Instant) {
        for record in self.peers.values_mut() {
            if now.saturating_duration_since(record.heard) >= HEARTBEAT_ORDER_TIMEOUT {
                (record.incarnation, record.sequence) = (0, 0);
            }
        }
        if parts::is_group_setter(self, now) {
            self.allocator_since.get_or_insert(now);
        } else {
            self.allocator_since = None;
        }
        let is_in_minority = self.has_owners() && !self.is_in_majority(now);
        let is_isolated = !self.topology.is_full_mesh() && self.is_centre_isolated(now);
        if (is_in_minority, is_isolated) != (self.is_in_minority, self.is_isolated) {
            log::info!(
                orphaned = is_in_minority, isolated = is_isolated;
                "answers of most VMs or data centres were lost or regained"
            );
            self.is_in_minority = is_in_minority;
            self.is_isolated = is_isolated;
            self.apply_shares();
        }
    }

    /// Returns whether most VMs of the group answer this one.
    pub fn has_group_majority(&self, now: Instant) -> bool {
        let answering = self
            .peers
            .iter()
            .filter(|(name, record)| record.is_answering(now) && self.is_in_group(name));
        (answering.count() + 1) * 2 > self.group().count()
    }

    /// Returns whether this VM belongs to those that hear most of the group.
    pub(super) fn is_in_majority(&self, now: Instant) -> bool {
        if self.topology.is_coordinator(now) {
            return self.has_group_majority(now);
        }
        let leads = |record: &state::PeerRecord| {
            record.heartbeat.is_coordinator && record.heartbeat.has_group_majority
        };
        let mut peers = self.peers.iter();
        peers.any(|(name, record)| {
            leads(record) && record.is_answering(now) && self.is_in_group(name)
        })
    }

    /// Returns whether this data centre's part may have shrunk without it: only its head
    /// hears others.
    pub(super) fn is_centre_isolated(&self, now: Instant) -> bool {
        if !self.topology.is_coordinator(now) {
            let head = self.topology.own_coordinator(now);
            let record = head.and_then(|head| self.peers.get(head));
            return record.is_some_and(|record| record.heartbeat.is_isolated);
        }
        let answering = self
            .peers
            .iter()
            .filter(|(_, record)| record.heartbeat.is_coordinator && record.is_answering(now));
        let centre = |(name, _): (&String, &state::PeerRecord)| {
            let member = self.members.get(name)?;
            Some(member.data_centre.clone())
        };
        let mut heard: BTreeSet<name::DataCentreName> = answering.filter_map(centre).collect();
        heard.insert(self.shared.settings.data_centre.clone());
        heard.len() * 2 <= self.centres().len()
    }

    /// Returns for how long this VM, as the one that deals parts out, has not heard another.
    pub fn time_without_heartbeat(&self, vm: &str, now: Instant) -> Duration {
        let heard = self.peers.get(vm).map(|record| record.heard);
        self.time_since(heard, now)
    }

    /// Returns the head of another data centre that was heard a moment ago.
    pub fn coordinator_of(&self, centre: &str, now: Instant) -> Option<String> {
        let heads = self.live_peers(now).filter(|(name, record)| {
            record.heartbeat.is_coordinator && self.is_in_centre(name, centre)
        });
        let first = heads.min_by(|(one, _), (other, _)| {
            let (one, other) = (topology::rank(one), topology::rank(other));
            one.cmp(&other)
        });
        first.map(|(name, _)| name.clone())
    }

    /// Returns for how long this VM, as a head, has not heard one of a data centre.
    pub fn centre_time_without_heartbeat(&self, centre: &str, now: Instant) -> Duration {
        let heads = self.peers.iter().filter(|(name, record)| {
            record.heartbeat.is_coordinator && self.is_in_centre(name, centre)
        });
        let heard = heads.map(|(_, record)| record.heard).max();
        self.time_since(heard, now)
    }

    fn is_in_centre(&self, vm: &str, centre: &str) -> bool {
        let member = self.members.get(vm);
        member.is_some_and(|member| member.data_centre.as_str() == centre)
    }

    /// Returns the time since something was heard, but not from before this VM dealt out
    /// parts, when it need not have been sent it.
    fn time_since(&self, heard: Option<Instant>, now: Instant) -> Duration {
        let since = heard.max(self.allocator_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether every other live VM counts this one as a member.
    pub fn is_known_to_all(&self, now: Instant) -> bool {
        self.live_peers(now)
            .all(|(_, record)| record.heartbeat.echo.is_some())
    }

    /// Returns whether another VM has newer copies from the store that this VM is
    /// not about to read itself.
    pub fn needs_store_copies(&self, beat: &heartbeat::FleetHeartbeat, now: Instant) -> bool {
        let (own, other) = (self.versions, beat.versions);
        let reads_itself = self.is_store_reachable && self.reads_store_lists(now);
        let lacks_configuration = other.configuration > own.configuration;
        (lacks_configuration && !self.reads_configuration_from_store(other))
            || (!reads_itself && (other.databases > own.databases || other.members > own.members))
    }

    /// Returns whether this VM reads a newer configuration from the store rather than
    /// from another VM, whose link a large one would fill.
    pub fn reads_configuration_from_store(&self, other: heartbeat::StoreVersions) -> bool {
        self.is_store_reachable && other.configuration_bytes > MAX_COPIED_CONFIGURATION_BYTES
    }

    /// Returns whether this VM reads the lists in the store: for its data centre, or
    /// since the head cannot.
    pub fn reads_store_lists(&self, now: Instant) -> bool {
        self.table.holder == self.own_name()
            || self.topology.is_first_in_centre(now)
            || !self.has_coordinator_with_store(now)
    }

    /// Returns whether the head of this data centre is heard and has the store.
    pub(super) fn has_coordinator_with_store(&self, now: Instant) -> bool {
        let head = self.topology.own_coordinator(now);
        let record = head.and_then(|head| self.peers.get(head));
        record.is_some_and(|record| record.is_live(now) && record.heartbeat.is_store_reachable)
    }

    /// Returns whether VMs of this data centre rely on this one to confirm the table.
    pub fn confirms_leaders_for_centre(&self, now: Instant) -> bool {
        !self.topology.is_full_mesh() && self.topology.is_coordinator(now)
    }

    /// Returns whether the head of this data centre reads from the store for this VM,
    /// which has had everything once.
    pub fn is_store_read_by_coordinator(&self, now: Instant) -> bool {
        !self.topology.is_full_mesh()
            && !self.reads_store_lists(now)
            && self.versions.configuration > 0
            && self.versions.databases > 0
    }

    /// Returns whether another VM, which is heard, confirms leaders for this one.
    pub fn relies_on_coordinator(&self, now: Instant) -> bool {
        let head = self.topology.own_coordinator(now);
        let is_heard = head.is_some_and(|head| self.topology.is_live(head, now));
        !self.topology.is_coordinator(now) && is_heard
    }

    /// Returns whether every other VM knows of this one: those that are heard say so,
    /// or lists in which it is missing are no longer in use.
    pub fn is_known_everywhere(&self, now: Instant) -> bool {
        let is_listed = self.listed_everywhere_from.is_some_and(|from| from <= now);
        self.is_known_to_all(now) && (self.topology.is_full_mesh() || is_listed)
    }

    /// Returns the leaders that this VM cannot use, with those that VMs of its data
    /// centre told it of where it is their head.
    pub fn known_suspicions(&self, now: Instant) -> Vec<heartbeat::LeaderSuspicion> {
        let mut known = self.suspicions.own_suspicions(now);
        if !self.topology.is_full_mesh() && self.topology.is_coordinator(now) {
            let near = self
                .live_peers(now)
                .filter(|(name, _)| self.is_in_group(name));
            let told = near.flat_map(|(_, record)| record.heartbeat.suspicions.iter());
            for suspicion in told {
                if !known.contains(suspicion) {
                    known.push(suspicion.clone());
                }
            }
        }
        known
    }

    /// Returns whether this VM comes before all live ones of a kind.
    pub fn ranks_first_among(
        &self,
        now: Instant,
        is_of_kind: impl Fn(&heartbeat::FleetHeartbeat) -> bool,
    ) -> bool {
        let own = topology::rank(self.own_name());
        let mut rivals = self
            .live_peers(now)
            .filter(|(_, record)| is_of_kind(&record.heartbeat));
        rivals.all(|(name, _)| topology::rank(name) > own)
    }
}

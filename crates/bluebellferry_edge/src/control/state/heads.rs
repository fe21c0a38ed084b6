//! What this VM is to others: a head, one that relies on a head, one of the majority.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::beat;
use bluebellferry_membership::circle;
use bluebellferry_types::name;

use crate::control::allocation;
use crate::control::state;

/// The largest configuration that VMs copy from each other while they have the store: a
/// head sends it to a dozen VMs within a second over a link of 10 Mbit/s.
const LARGEST_COPY_BYTES: u32 = 64 << 10;

/// How long after a VM fell silent its heartbeats are compared with the last one: longer
/// than a datagram is on its way. A VM that is started anew after its time of day was set
/// back has a lower incarnation than before.
const ORDER_KEPT: Duration = Duration::from_secs(5);

impl state::ControlState {
    /// Notes who deals out the parts. A VM that does not hear most others, or nobody who
    /// does, takes at most an equal part, so that those who do may deal out the rest.
    pub fn note_circle(&mut self, now: Instant) {
        for record in self.peers.values_mut() {
            if now.saturating_duration_since(record.heard) >= ORDER_KEPT {
                (record.incarnation, record.sequence) = (0, 0);
            }
        }
        if allocation::is_group_allocator(self, now) {
            self.setter_since.get_or_insert(now);
        } else {
            self.setter_since = None;
        }
        let is_orphaned = self.has_owners() && !self.is_among_most(now);
        let is_isolated = !self.circle.is_full_exchange() && self.is_centre_isolated(now);
        if (is_orphaned, is_isolated) != (self.is_orphaned, self.is_isolated) {
            log::info!(
                orphaned = is_orphaned, isolated = is_isolated;
                "answers of most VMs or data centres were lost or regained"
            );
            self.is_orphaned = is_orphaned;
            self.is_isolated = is_isolated;
            self.apply_shares();
        }
    }

    /// Returns whether most VMs of the group answer this one.
    pub fn is_answered_by_most(&self, now: Instant) -> bool {
        let answering = self
            .peers
            .iter()
            .filter(|(name, record)| record.is_answering(now) && self.is_in_group(name));
        (answering.count() + 1) * 2 > self.group().count()
    }

    /// Returns whether this VM belongs to those that hear most of the group.
    pub(super) fn is_among_most(&self, now: Instant) -> bool {
        if self.circle.is_head(now) {
            return self.is_answered_by_most(now);
        }
        let leads =
            |record: &state::PeerRecord| record.beat.is_head && record.beat.is_answered_by_most;
        let mut peers = self.peers.iter();
        peers.any(|(name, record)| {
            leads(record) && record.is_answering(now) && self.is_in_group(name)
        })
    }

    /// Returns whether this data centre's part may have shrunk without it: only its head
    /// hears others.
    pub(super) fn is_centre_isolated(&self, now: Instant) -> bool {
        if !self.circle.is_head(now) {
            let head = self.circle.own_head(now);
            let record = head.and_then(|head| self.peers.get(head));
            return record.is_some_and(|record| record.beat.is_isolated);
        }
        let answering = self
            .peers
            .iter()
            .filter(|(_, record)| record.beat.is_head && record.is_answering(now));
        let centre = |(name, _): (&String, &state::PeerRecord)| {
            let member = self.members.get(name)?;
            Some(member.data_centre.clone())
        };
        let mut heard: BTreeSet<name::DataCentreName> = answering.filter_map(centre).collect();
        heard.insert(self.shared.settings.data_centre.clone());
        heard.len() * 2 <= self.centres().len()
    }

    /// Returns for how long this VM, as the one that deals parts out, has not heard another.
    pub fn silence_of(&self, vm: &str, now: Instant) -> Duration {
        let heard = self.peers.get(vm).map(|record| record.heard);
        self.silence_since(heard, now)
    }

    /// Returns the head of another data centre that was heard a moment ago.
    pub fn head_of(&self, centre: &str, now: Instant) -> Option<String> {
        let heads = self
            .live_peers(now)
            .filter(|(name, record)| record.beat.is_head && self.is_in_centre(name, centre));
        let first = heads.min_by(|(one, _), (other, _)| {
            let (one, other) = (circle::rank(one), circle::rank(other));
            one.cmp(&other)
        });
        first.map(|(name, _)| name.clone())
    }

    /// Returns for how long this VM, as a head, has not heard one of a data centre.
    pub fn silence_of_centre(&self, centre: &str, now: Instant) -> Duration {
        let heads = self
            .peers
            .iter()
            .filter(|(name, record)| record.beat.is_head && self.is_in_centre(name, centre));
        let heard = heads.map(|(_, record)| record.heard).max();
        self.silence_since(heard, now)
    }

    fn is_in_centre(&self, vm: &str, centre: &str) -> bool {
        let member = self.members.get(vm);
        member.is_some_and(|member| member.data_centre.as_str() == centre)
    }

    /// Returns the time since something was heard, but not from before this VM dealt out
    /// parts, when it need not have been sent it.
    fn silence_since(&self, heard: Option<Instant>, now: Instant) -> Duration {
        let since = heard.max(self.setter_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether every other live VM counts this one as a member.
    pub fn is_known_to_all(&self, now: Instant) -> bool {
        self.live_peers(now)
            .all(|(_, record)| record.beat.echo.is_some())
    }

    /// Returns whether another VM has newer copies from the store that this VM is
    /// not about to read itself.
    pub fn lacks_copies(&self, beat: &beat::FleetBeat, now: Instant) -> bool {
        let (own, other) = (self.versions, beat.versions);
        let reads_itself = self.has_store && self.reads_for_centre(now);
        let lacks_configuration = other.configuration > own.configuration;
        (lacks_configuration && !self.reads_configuration(other))
            || (!reads_itself && (other.databases > own.databases || other.members > own.members))
    }

    /// Returns whether this VM reads a newer configuration from the store rather than
    /// from another VM, whose link a large one would fill.
    pub fn reads_configuration(&self, other: beat::CopyVersions) -> bool {
        self.has_store && other.configuration_bytes > LARGEST_COPY_BYTES
    }

    /// Returns whether this VM reads the lists in the store: for its data centre, or
    /// since the head cannot.
    pub fn reads_for_centre(&self, now: Instant) -> bool {
        self.table.holder == self.own_name()
            || self.circle.is_first_of_centre(now)
            || !self.has_reading_head(now)
    }

    /// Returns whether the head of this data centre is heard and has the store.
    pub(super) fn has_reading_head(&self, now: Instant) -> bool {
        let head = self.circle.own_head(now);
        let record = head.and_then(|head| self.peers.get(head));
        record.is_some_and(|record| record.is_live(now) && record.beat.has_store)
    }

    /// Returns whether VMs of this data centre rely on this one to confirm the table.
    pub fn confirms_for_others(&self, now: Instant) -> bool {
        !self.circle.is_full_exchange() && self.circle.is_head(now)
    }

    /// Returns whether the head of this data centre reads from the store for this VM,
    /// which has had everything once.
    pub fn is_read_for(&self, now: Instant) -> bool {
        !self.circle.is_full_exchange()
            && !self.reads_for_centre(now)
            && self.versions.configuration > 0
            && self.versions.databases > 0
    }

    /// Returns whether another VM, which is heard, confirms leaders for this one.
    pub fn relies_on_head(&self, now: Instant) -> bool {
        let head = self.circle.own_head(now);
        let is_heard = head.is_some_and(|head| self.circle.is_heard(head, now));
        !self.circle.is_head(now) && is_heard
    }

    /// Returns whether every other VM knows of this one: those that are heard say so,
    /// or lists in which it is missing are no longer in use.
    pub fn is_known_everywhere(&self, now: Instant) -> bool {
        let is_listed = self.acts_from.is_some_and(|from| from <= now);
        self.is_known_to_all(now) && (self.circle.is_full_exchange() || is_listed)
    }

    /// Returns the leaders that this VM cannot use, with those that VMs of its data
    /// centre told it of where it is their head.
    pub fn known_suspicions(&self, now: Instant) -> Vec<beat::LeaderSuspicion> {
        let mut known = self.suspicions.own_suspicions(now);
        if !self.circle.is_full_exchange() && self.circle.is_head(now) {
            let near = self
                .live_peers(now)
                .filter(|(name, _)| self.is_in_group(name));
            let told = near.flat_map(|(_, record)| record.beat.suspicions.iter());
            for suspicion in told {
                if !known.contains(suspicion) {
                    known.push(suspicion.clone());
                }
            }
        }
        known
    }

    /// Returns whether this VM comes before all live ones of a kind.
    pub fn comes_first(&self, now: Instant, is_of_kind: impl Fn(&beat::FleetBeat) -> bool) -> bool {
        let own = circle::rank(self.own_name());
        let mut rivals = self
            .live_peers(now)
            .filter(|(_, record)| is_of_kind(&record.beat));
        rivals.all(|(name, _)| circle::rank(name) > own)
    }
}

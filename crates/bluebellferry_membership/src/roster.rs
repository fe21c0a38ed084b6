//! The VMs that are live according to their heartbeats. The platform's list of VMs is not
//! evidence that a VM is live; it only tells which VMs to contact.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::share;

use crate::message;

/// The interval between the heartbeats of a VM.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// The time without a heartbeat after which a VM no longer counts as live.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(900);
/// The time without a heartbeat after which a VM is removed from the roster.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// The state of another VM according to its latest heartbeat.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// The VM's incarnation; a later start has a higher one.
    pub incarnation: u64,
    /// When the heartbeat arrived.
    pub received_at: Instant,
    /// The contents of the heartbeat.
    pub payload: message::HeartbeatPayload,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
}

/// The change that a heartbeat made to the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The VM was already known in this incarnation.
    Refreshed,
    /// The VM is new or has restarted.
    Joined,
    /// The heartbeat is not newer than the latest one of the VM and was ignored.
    Outdated,
    /// The heartbeat comes from a process that started later under this VM's data centre
    /// and ordinal: that process has replaced this one.
    ReplacesSelf,
}

/// The VMs that have sent heartbeats, by data centre and ordinal.
#[derive(Debug)]
pub struct VmRoster {
    own_place: share::VmPlace,
    own_incarnation: u64,
    peers: BTreeMap<share::VmPlace, PeerRecord>,
}

impl VmRoster {
    /// Creates a roster that contains no other VM.
    pub fn new(own_place: share::VmPlace, own_incarnation: u64) -> Self {
        Self {
            own_place,
            own_incarnation,
            peers: BTreeMap::new(),
        }
    }

    /// Records a heartbeat. Outdated, duplicated and reordered heartbeats change nothing.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        incarnation: u64,
        sequence: u64,
        payload: message::HeartbeatPayload,
    ) -> HeartbeatEffect {
        if payload.place == self.own_place {
            let is_newer = incarnation > self.own_incarnation;
            let effect = if is_newer {
                HeartbeatEffect::ReplacesSelf
            } else {
                HeartbeatEffect::Outdated
            };
            return effect;
        }
        let known = self.peers.get(&payload.place);
        let order = known.map(|record| (record.incarnation, record.sequence));
        if order.is_some_and(|order| order >= (incarnation, sequence)) {
            return HeartbeatEffect::Outdated;
        }
        let is_known = known.is_some_and(|record| record.incarnation == incarnation);
        let place = payload.place.clone();
        self.peers.insert(
            place,
            PeerRecord {
                incarnation,
                received_at: now,
                payload,
                sequence,
            },
        );
        if is_known {
            HeartbeatEffect::Refreshed
        } else {
            HeartbeatEffect::Joined
        }
    }

    /// Marks the VM with an incarnation as draining after its goodbye.
    pub fn record_goodbye(&mut self, incarnation: u64) {
        let record = self
            .peers
            .values_mut()
            .find(|record| record.incarnation == incarnation);
        if let Some(record) = record {
            record.payload.is_draining = true;
        }
    }

    /// Removes the VMs that sent no heartbeat for [`FORGET_TIMEOUT`].
    pub fn forget_unresponsive(&mut self, now: Instant) {
        let is_recent = |record: &PeerRecord| {
            now.saturating_duration_since(record.received_at) < FORGET_TIMEOUT
        };
        self.peers.retain(|_, record| is_recent(record));
    }

    /// Returns the other VMs that are live and not draining.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&share::VmPlace, &PeerRecord)> {
        self.peers.iter().filter(move |(_, record)| {
            let is_live = now.saturating_duration_since(record.received_at) < SUSPECT_TIMEOUT;
            is_live && !record.payload.is_draining
        })
    }

    /// Returns all other VMs in the roster.
    pub fn known_peers(&self) -> impl Iterator<Item = (&share::VmPlace, &PeerRecord)> {
        self.peers.iter()
    }

    /// Returns how many live VMs of this VM's data centre have a lower ordinal.
    pub fn own_rank_in_centre(&self, now: Instant) -> usize {
        let has_lower_ordinal = |place: &share::VmPlace| {
            place.data_centre == self.own_place.data_centre
                && place.ordinal < self.own_place.ordinal
        };
        self.live_peers(now)
            .filter(|(place, _)| has_lower_ordinal(place))
            .count()
    }

    /// Returns this VM's rank among the live VMs for a subject, such as a service: the VM
    /// with rank 0 acts first. `score` returns the score of a VM for the subject; the
    /// highest score ranks first.
    pub fn own_rank(&self, now: Instant, score: impl Fn(&share::VmPlace) -> u64) -> usize {
        let own = (score(&self.own_place), &self.own_place);
        self.live_peers(now)
            .filter(|(place, _)| (score(place), *place) > own)
            .count()
    }
}

//! Who is live, from heartbeats; the platform's list is only a hint.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::share;

use crate::message;

/// How often each VM sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// After how long without a heartbeat a VM counts as suspect.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(900);
/// After how long without a heartbeat a VM is forgotten.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// What is known of another VM.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// Its incarnation; a later start has a higher one.
    pub incarnation: u64,
    /// When it was last heard.
    pub heard: Instant,
    /// What its last heartbeat said.
    pub payload: message::HeartbeatPayload,
    /// The sequence number of that heartbeat.
    pub sequence: u64,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatEffect {
    /// The VM was known in this incarnation.
    Refreshed,
    /// The VM is new, or has started anew.
    Joined,
    /// The heartbeat is older than what is known and was ignored.
    Outdated,
    /// The heartbeat comes from a later start in this VM's own place: this
    /// process has been replaced.
    ReplacesSelf,
}

/// All VMs that have been heard.
#[derive(Debug)]
pub struct VmRoster {
    own_place: share::VmPlace,
    own_incarnation: u64,
    peers: BTreeMap<share::VmPlace, PeerRecord>,
}

impl VmRoster {
    /// Creates a roster that knows only this VM.
    pub fn new(own_place: share::VmPlace, own_incarnation: u64) -> Self {
        Self {
            own_place,
            own_incarnation,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat. Old, doubled and reordered ones change nothing.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        incarnation: u64,
        sequence: u64,
        payload: message::HeartbeatPayload,
    ) -> HeartbeatEffect {
        if payload.place == self.own_place {
            let newer = incarnation > self.own_incarnation;
            let own = if newer {
                HeartbeatEffect::ReplacesSelf
            } else {
                HeartbeatEffect::Outdated
            };
            return own;
        }
        let known = self.peers.get(&payload.place);
        let order = known.map(|record| (record.incarnation, record.sequence));
        if order.is_some_and(|order| order >= (incarnation, sequence)) {
            return HeartbeatEffect::Outdated;
        }
        let same = known.is_some_and(|record| record.incarnation == incarnation);
        let place = payload.place.clone();
        self.peers.insert(
            place,
            PeerRecord {
                incarnation,
                heard: now,
                payload,
                sequence,
            },
        );
        if same {
            HeartbeatEffect::Refreshed
        } else {
            HeartbeatEffect::Joined
        }
    }

    /// Marks a VM as leaving after its goodbye.
    pub fn record_goodbye(&mut self, incarnation: u64) {
        let record = self
            .peers
            .values_mut()
            .find(|record| record.incarnation == incarnation);
        if let Some(record) = record {
            record.payload.leaving = true;
        }
    }

    /// Forgets VMs that have been silent for long.
    pub fn forget_unresponsive(&mut self, now: Instant) {
        let keep =
            |record: &PeerRecord| now.saturating_duration_since(record.heard) < FORGET_TIMEOUT;
        self.peers.retain(|_, record| keep(record));
    }

    /// Returns the other VMs that are live and not leaving.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&share::VmPlace, &PeerRecord)> {
        self.peers.iter().filter(move |(_, record)| {
            let fresh = now.saturating_duration_since(record.heard) < SUSPECT_TIMEOUT;
            fresh && !record.payload.leaving
        })
    }

    /// Returns all VMs that are still known.
    pub fn known_peers(&self) -> impl Iterator<Item = (&share::VmPlace, &PeerRecord)> {
        self.peers.iter()
    }

    /// Returns how many live VMs of this VM's own data centre come before it.
    pub fn own_rank_in_centre(&self, now: Instant) -> usize {
        let before = |place: &share::VmPlace| {
            place.data_centre == self.own_place.data_centre
                && place.ordinal < self.own_place.ordinal
        };
        self.live_peers(now)
            .filter(|(place, _)| before(place))
            .count()
    }

    /// Returns this VM's place in the order of live VMs for a subject, such as
    /// a service: 0 acts first. `score` ranks a VM, the highest first.
    pub fn own_rank(&self, now: Instant, score: impl Fn(&share::VmPlace) -> u64) -> usize {
        let own = (score(&self.own_place), &self.own_place);
        self.live_peers(now)
            .filter(|(place, _)| (score(place), *place) > own)
            .count()
    }
}

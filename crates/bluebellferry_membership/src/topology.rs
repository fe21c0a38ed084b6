//! The heartbeat topology: which VMs a VM sends heartbeats to.
//!
//! Up to [`MAX_FULL_MESH_VMS`] VMs form a full mesh. In larger fleets, the VMs of each
//! data centre are ranked by a hash of their names. Each VM sends heartbeats to the
//! first [`OWN_CENTRE_TARGETS`] responsive VMs of its own data centre. The first one is
//! the coordinator of the data centre and also sends heartbeats to the coordinators of
//! the other data centres. A VM replies to those that ask it for replies. A target that
//! does not reply is skipped in favour of the next VM by rank, and retried every
//! [`UNRESPONSIVE_RETRY_INTERVAL`].

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use xxhash_rust::xxh3;

/// The maximum number of VMs in a full mesh: at 780 bytes per second for each pair
/// (docs/CAPACITY.md), 16 VMs stay within the 12 KB per second that a VM may use.
pub const MAX_FULL_MESH_VMS: usize = 16;
/// The number of VMs in its own data centre that a VM sends heartbeats to: the
/// coordinator and the VM that takes over if the coordinator fails.
pub const OWN_CENTRE_TARGETS: usize = 2;
/// The time without a heartbeat after which a VM counts as unresponsive.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The maximum number of additional targets in a data centre while chosen targets have not
/// sent a heartbeat yet.
const MAX_PENDING_TARGETS: usize = 2;
/// The interval between heartbeats to a target that is unresponsive.
pub const UNRESPONSIVE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The state of the heartbeat exchange with another VM.
#[derive(Debug, Clone, Copy, Default)]
struct LinkRecord {
    /// When this VM first chose the other one as a target.
    targeted: Option<Instant>,
    /// When the latest heartbeat of the other VM arrived.
    received: Option<Instant>,
    /// When the other VM last asked for replies.
    reply_requested: Option<Instant>,
    /// When the other VM was last sent a heartbeat although it was unresponsive.
    retried: Option<Instant>,
    is_draining: bool,
}

impl LinkRecord {
    fn is_unresponsive(&self, now: Instant) -> bool {
        let unresponsive_since = self.received.max(self.targeted);
        unresponsive_since.is_some_and(|unresponsive_since| {
            now.saturating_duration_since(unresponsive_since) >= HEARTBEAT_TIMEOUT
        })
    }

    fn wants_reply(&self, now: Instant) -> bool {
        let is_recent =
            |requested: Instant| now.saturating_duration_since(requested) < HEARTBEAT_TIMEOUT;
        self.reply_requested.is_some_and(is_recent)
    }
}

/// A VM to send a heartbeat to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The VM.
    pub vm: String,
    /// Whether the VM is asked to reply with heartbeats of its own.
    pub expects_reply: bool,
    /// Whether the VM is in the sender's own data centre.
    pub is_in_own_centre: bool,
}

/// A VM's view of the heartbeat topology.
#[derive(Debug, Default)]
pub struct HeartbeatTopology {
    own_name: String,
    own_centre: Option<name::DataCentreName>,
    /// The VMs of each data centre in the order of their ranks, this VM included.
    centres: BTreeMap<name::DataCentreName, Vec<String>>,
    links: BTreeMap<String, LinkRecord>,
}

/// Returns a VM's rank; lower ranks come first. The rank is a hash of the name, so that
/// the VMs that rank first are spread over the machines whatever their names are.
pub fn rank(vm: &str) -> (u64, &str) {
    (xxh3::xxh3_64(vm.as_bytes()), vm)
}

impl HeartbeatTopology {
    /// Creates the view of a VM that knows no other VM.
    pub fn new(own_name: &str, own_centre: name::DataCentreName) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own_centre: Some(own_centre),
            ..Self::default()
        }
    }

    /// Replaces the list of all VMs and their data centres.
    pub fn apply_members<'a>(
        &mut self,
        members: impl Iterator<Item = (&'a str, &'a name::DataCentreName)>,
    ) {
        self.centres.clear();
        for (vm, centre) in members {
            let ranked = self.centres.entry(centre.clone()).or_default();
            ranked.push(vm.to_owned());
        }
        for ranked in self.centres.values_mut() {
            ranked.sort_by(|one, other| rank(one).cmp(&rank(other)));
        }
        let centres = &self.centres;
        let is_member = |vm: &String| centres.values().any(|ranked| ranked.contains(vm));
        self.links.retain(|vm, _| is_member(vm));
    }

    /// Records a heartbeat from another VM; `wants_reply` tells whether that VM asks for
    /// replies.
    pub fn record_heartbeat_from(
        &mut self,
        vm: &str,
        wants_reply: bool,
        is_draining: bool,
        now: Instant,
    ) {
        let link = self.links.entry(vm.to_owned()).or_default();
        link.received = Some(now);
        link.is_draining = is_draining;
        if wants_reply {
            link.reply_requested = Some(now);
        }
    }

    /// Returns whether all VMs send heartbeats to each other.
    pub fn is_full_mesh(&self) -> bool {
        let count: usize = self.centres.values().map(Vec::len).sum();
        count <= MAX_FULL_MESH_VMS
    }

    /// Returns whether the VMs of a data centre belong to this VM's group, in which
    /// fleet-wide limits are allocated: the whole fleet if it is a full mesh, or this VM's
    /// own data centre.
    pub fn is_in_group(&self, centre: &name::DataCentreName) -> bool {
        self.is_full_mesh() || self.own_centre.as_ref() == Some(centre)
    }

    /// Returns the VMs of a data centre in the order of their ranks.
    pub fn vms_of(&self, centre: &str) -> &[String] {
        let mut centres = self.centres.iter();
        let found = centres.find(|(name, _)| name.as_str() == centre);
        found.map_or(&[], |(_, ranked)| ranked)
    }

    /// Returns whether this VM is the coordinator of its data centre as far as it knows.
    /// In a full mesh, every VM is a coordinator.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.is_full_mesh() || self.is_first_in_centre(now)
    }

    /// Returns whether this VM ranks first among the usable VMs of its data centre and
    /// therefore reads from the store for them.
    pub fn is_first_in_centre(&self, now: Instant) -> bool {
        self.own_coordinator(now)
            .is_none_or(|coordinator| coordinator == self.own_name)
    }

    /// Returns the VM that ranks first in this VM's data centre among those that are not
    /// known to be unresponsive or draining.
    pub fn own_coordinator(&self, now: Instant) -> Option<&str> {
        let ranked = self.centres.get(self.own_centre.as_ref()?)?;
        ranked
            .iter()
            .find(|vm| **vm == self.own_name || self.is_usable(vm, now))
            .map(String::as_str)
    }

    /// Returns whether a heartbeat of a VM arrived within [`HEARTBEAT_TIMEOUT`].
    pub fn is_live(&self, vm: &str, now: Instant) -> bool {
        let received = self.links.get(vm).and_then(|link| link.received);
        received.is_some_and(|received| now.saturating_duration_since(received) < HEARTBEAT_TIMEOUT)
    }

    fn is_usable(&self, vm: &str, now: Instant) -> bool {
        let link = self.links.get(vm);
        link.is_none_or(|link| !link.is_unresponsive(now) && !link.is_draining)
    }

    /// Returns the VMs to send a heartbeat to now. Outside a full mesh, also records which
    /// targets are asked for replies.
    pub fn next_targets(&mut self, now: Instant) -> Vec<HeartbeatTarget> {
        if self.is_full_mesh() {
            return self.all_others();
        }
        let chosen = self.choose_targets(now);
        for target in &chosen {
            let link = self.links.entry(target.vm.clone()).or_default();
            link.targeted.get_or_insert(now);
            if link.is_unresponsive(now) {
                link.retried = Some(now);
            }
        }
        let mut targets = chosen;
        for (centre, ranked) in &self.centres {
            for vm in ranked {
                let link = self.links.get(vm);
                let wants_reply = link.is_some_and(|link| link.wants_reply(now));
                if wants_reply && targets.iter().all(|target| target.vm != *vm) {
                    targets.push(HeartbeatTarget {
                        vm: vm.clone(),
                        expects_reply: false,
                        is_in_own_centre: self.own_centre.as_ref() == Some(centre),
                    });
                }
            }
        }
        targets
    }

    fn all_others(&self) -> Vec<HeartbeatTarget> {
        let mut targets = Vec::new();
        for (centre, ranked) in &self.centres {
            let is_in_own_centre = self.own_centre.as_ref() == Some(centre);
            let others = ranked.iter().filter(|vm| **vm != self.own_name);
            targets.extend(others.map(|vm| HeartbeatTarget {
                vm: vm.clone(),
                expects_reply: true,
                is_in_own_centre,
            }));
        }
        targets
    }

    /// Returns the targets that this VM asks for replies.
    fn choose_targets(&self, now: Instant) -> Vec<HeartbeatTarget> {
        let mut chosen = Vec::new();
        let is_coordinator = self.is_coordinator(now);
        for (centre, ranked) in &self.centres {
            let is_in_own_centre = self.own_centre.as_ref() == Some(centre);
            let wanted_count = match (is_in_own_centre, is_coordinator) {
                (true, _) => OWN_CENTRE_TARGETS,
                (false, true) => 1,
                (false, false) => continue,
            };
            let mut live_count = 0;
            let mut pending_count = 0;
            for vm in ranked.iter().filter(|vm| **vm != self.own_name) {
                if live_count >= wanted_count
                    || live_count + pending_count >= wanted_count + MAX_PENDING_TARGETS
                {
                    break;
                }
                let is_usable = self.is_usable(vm, now);
                if is_usable || self.is_retry_due(vm, now) {
                    chosen.push(HeartbeatTarget {
                        vm: vm.clone(),
                        expects_reply: true,
                        is_in_own_centre,
                    });
                }
                if is_usable && self.is_live(vm, now) {
                    live_count += 1;
                } else if is_usable {
                    pending_count += 1;
                }
            }
        }
        chosen
    }

    fn is_retry_due(&self, vm: &str, now: Instant) -> bool {
        let retried = self.links.get(vm).and_then(|link| link.retried);
        retried.is_none_or(|retried| {
            now.saturating_duration_since(retried) >= UNRESPONSIVE_RETRY_INTERVAL
        })
    }
}

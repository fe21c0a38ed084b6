//! Which VMs a VM sends heartbeats to.
//!
//! Up to [`MAX_FULL_MESH_VMS`] VMs send to each other. Beyond that, each VM
//! sends to the first VMs of its own data centre, ranked by a hash of the name, and
//! the first of each data centre, its head, sends to the heads of the others.
//! Whoever is chosen answers. A VM that is chosen and stays silent is passed over and
//! tried again now and then.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use xxhash_rust::xxh3;

/// The most VMs that all send to each other: at 780 bytes a second for each pair
/// (docs/CAPACITY.md), 16 stay within the 12 KB a second that a VM may use.
pub const MAX_FULL_MESH_VMS: usize = 16;
/// How many VMs of its own data centre a VM sends to: the head and one that takes
/// over from it.
pub const OWN_CENTRE_TARGETS: usize = 2;
/// After how long without a heartbeat a VM counts as silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// How many VMs that were not heard yet are tried at once in place of silent ones.
const MAX_UNHEARD_TARGETS: usize = 2;
/// How often a silent VM is tried again.
pub const UNRESPONSIVE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// What is known of the exchange with another VM.
#[derive(Debug, Clone, Copy, Default)]
struct LinkRecord {
    /// Since when it has been sent heartbeats.
    chosen: Option<Instant>,
    heard: Option<Instant>,
    /// When it last asked for answers.
    asked: Option<Instant>,
    tried: Option<Instant>,
    is_draining: bool,
}

impl LinkRecord {
    fn is_silent(&self, now: Instant) -> bool {
        let since = self.heard.max(self.chosen);
        since.is_some_and(|since| now.saturating_duration_since(since) >= HEARTBEAT_TIMEOUT)
    }

    fn wants_answer(&self, now: Instant) -> bool {
        let is_recent = |asked: Instant| now.saturating_duration_since(asked) < HEARTBEAT_TIMEOUT;
        self.asked.is_some_and(is_recent)
    }
}

/// A VM to send a heartbeat to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The VM.
    pub vm: String,
    /// Whether it is asked to answer.
    pub is_chosen: bool,
    /// Whether it is in the sender's own data centre.
    pub is_near: bool,
}

/// A VM's view of the exchange.
#[derive(Debug, Default)]
pub struct HeartbeatTopology {
    own: String,
    own_centre: Option<name::DataCentreName>,
    /// The VMs of each data centre by rank, this one included.
    centres: BTreeMap<name::DataCentreName, Vec<String>>,
    links: BTreeMap<String, LinkRecord>,
}

/// Returns a VM's rank; lower ones come first. Hashing spreads the first VMs over
/// the machines whatever their names are.
pub fn rank(vm: &str) -> (u64, &str) {
    (xxh3::xxh3_64(vm.as_bytes()), vm)
}

impl HeartbeatTopology {
    /// Creates the view of a VM that knows no other.
    pub fn new(own: &str, own_centre: name::DataCentreName) -> Self {
        Self {
            own: own.to_owned(),
            own_centre: Some(own_centre),
            ..Self::default()
        }
    }

    /// Takes all VMs with their data centres.
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

    /// Notes a heartbeat from another VM. `asks` tells whether it wants answers.
    pub fn record_heartbeat_from(&mut self, vm: &str, asks: bool, is_draining: bool, now: Instant) {
        let link = self.links.entry(vm.to_owned()).or_default();
        link.heard = Some(now);
        link.is_draining = is_draining;
        if asks {
            link.asked = Some(now);
        }
    }

    /// Returns whether all VMs send to each other.
    pub fn is_full_mesh(&self) -> bool {
        let count: usize = self.centres.values().map(Vec::len).sum();
        count <= MAX_FULL_MESH_VMS
    }

    /// Returns the VMs among which fleet-wide limits are dealt out by this VM's
    /// head: all of them, or those of its own data centre.
    pub fn is_in_group(&self, centre: &name::DataCentreName) -> bool {
        self.is_full_mesh() || self.own_centre.as_ref() == Some(centre)
    }

    /// Returns whether this VM is the head of its data centre as far as it knows.
    /// Where all send to each other, every VM is one.
    pub fn is_coordinator(&self, now: Instant) -> bool {
        self.is_full_mesh() || self.is_first_of_centre(now)
    }

    /// Returns whether this VM is the first that lives in its data centre, which
    /// reads from the store for the others.
    pub fn is_first_of_centre(&self, now: Instant) -> bool {
        self.own_coordinator(now)
            .is_none_or(|head| head == self.own)
    }

    /// Returns the first VM of this VM's data centre that is not known to be silent
    /// or leaving.
    pub fn own_coordinator(&self, now: Instant) -> Option<&str> {
        let ranked = self.centres.get(self.own_centre.as_ref()?)?;
        ranked
            .iter()
            .find(|vm| **vm == self.own || self.is_usable(vm, now))
            .map(String::as_str)
    }

    /// Returns whether a VM was heard a moment ago.
    pub fn is_heard(&self, vm: &str, now: Instant) -> bool {
        let heard = self.links.get(vm).and_then(|link| link.heard);
        heard.is_some_and(|heard| now.saturating_duration_since(heard) < HEARTBEAT_TIMEOUT)
    }

    fn is_usable(&self, vm: &str, now: Instant) -> bool {
        let link = self.links.get(vm);
        link.is_none_or(|link| !link.is_silent(now) && !link.is_draining)
    }

    /// Returns whom to send a heartbeat to now.
    pub fn targets(&mut self, now: Instant) -> Vec<HeartbeatTarget> {
        if self.is_full_mesh() {
            return self.all_others();
        }
        let chosen = self.choose(now);
        for target in &chosen {
            let link = self.links.entry(target.vm.clone()).or_default();
            link.chosen.get_or_insert(now);
            if link.is_silent(now) {
                link.tried = Some(now);
            }
        }
        let mut targets = chosen;
        for (centre, ranked) in &self.centres {
            for vm in ranked {
                let link = self.links.get(vm);
                let wants_answer = link.is_some_and(|link| link.wants_answer(now));
                if wants_answer && targets.iter().all(|target| target.vm != *vm) {
                    targets.push(HeartbeatTarget {
                        vm: vm.clone(),
                        is_chosen: false,
                        is_near: self.own_centre.as_ref() == Some(centre),
                    });
                }
            }
        }
        targets
    }

    fn all_others(&self) -> Vec<HeartbeatTarget> {
        let mut targets = Vec::new();
        for (centre, ranked) in &self.centres {
            let is_near = self.own_centre.as_ref() == Some(centre);
            let others = ranked.iter().filter(|vm| **vm != self.own);
            targets.extend(others.map(|vm| HeartbeatTarget {
                vm: vm.clone(),
                is_chosen: true,
                is_near,
            }));
        }
        targets
    }

    /// Returns the VMs that this one asks for answers.
    fn choose(&self, now: Instant) -> Vec<HeartbeatTarget> {
        let mut chosen = Vec::new();
        let is_coordinator = self.is_coordinator(now);
        for (centre, ranked) in &self.centres {
            let is_near = self.own_centre.as_ref() == Some(centre);
            let wanted = match (is_near, is_coordinator) {
                (true, _) => OWN_CENTRE_TARGETS,
                (false, true) => 1,
                (false, false) => continue,
            };
            let mut heard = 0;
            let mut tried = 0;
            for vm in ranked.iter().filter(|vm| **vm != self.own) {
                if heard >= wanted || heard + tried >= wanted + MAX_UNHEARD_TARGETS {
                    break;
                }
                let is_usable = self.is_usable(vm, now);
                if is_usable || self.is_trial_due(vm, now) {
                    chosen.push(HeartbeatTarget {
                        vm: vm.clone(),
                        is_chosen: true,
                        is_near,
                    });
                }
                if is_usable && self.is_heard(vm, now) {
                    heard += 1;
                } else if is_usable {
                    tried += 1;
                }
            }
        }
        chosen
    }

    fn is_trial_due(&self, vm: &str, now: Instant) -> bool {
        let tried = self.links.get(vm).and_then(|link| link.tried);
        tried
            .is_none_or(|tried| now.saturating_duration_since(tried) >= UNRESPONSIVE_RETRY_INTERVAL)
    }
}

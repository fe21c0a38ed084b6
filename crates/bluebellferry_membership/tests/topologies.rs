//! Who sends heartbeats to whom.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::topology;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const BEAT: Duration = Duration::from_millis(200);

fn centre(number: usize) -> name::DataCentreName {
    name::DataCentreName::try_from(format!("centre-{number}").as_str()).expect("a valid name")
}

/// A fleet whose VMs hear each other at once, unless one of them is down.
struct Fleet {
    members: BTreeMap<String, name::DataCentreName>,
    circles: BTreeMap<String, topology::HeartbeatTopology>,
    down: Vec<String>,
    now: Instant,
    sent: usize,
    sent_far: usize,
}

impl Fleet {
    fn new(centres: usize, vms: usize) -> Self {
        let mut members = BTreeMap::new();
        for number in 0..centres * vms {
            members.insert(format!("vm-{number}"), centre(number % centres));
        }
        let circles = members.iter().map(|(vm, own)| {
            let mut circle = topology::HeartbeatTopology::new(vm, own.clone());
            circle.apply_members(members.iter().map(|(vm, own)| (vm.as_str(), own)));
            (vm.clone(), circle)
        });
        Self {
            circles: circles.collect(),
            members: members.clone(),
            down: Vec::new(),
            now: Instant::now(),
            sent: 0,
            sent_far: 0,
        }
    }

    fn is_up(&self, vm: &str) -> bool {
        !self.down.iter().any(|down| down == vm)
    }

    fn round(&mut self) {
        self.now += BEAT;
        let names: Vec<String> = self.members.keys().cloned().collect();
        for vm in names
            .iter()
            .filter(|vm| self.is_up(vm))
            .cloned()
            .collect::<Vec<_>>()
        {
            let circle = self.circles.get_mut(&vm).expect("a known VM");
            for target in circle.targets(self.now) {
                self.sent += 1;
                self.sent_far += usize::from(!target.is_near);
                if self.is_up(&target.vm) {
                    let other = self.circles.get_mut(&target.vm).expect("a known VM");
                    other.record_heartbeat_from(&vm, target.is_chosen, false, self.now);
                }
            }
        }
    }

    fn rounds(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / BEAT.as_millis() {
            self.round();
        }
    }

    fn heads(&self) -> Vec<(&str, &name::DataCentreName)> {
        let up = self.members.iter().filter(|(vm, _)| self.is_up(vm));
        let heads = up.filter(|(vm, _)| self.circles[*vm].is_coordinator(self.now));
        heads.map(|(vm, centre)| (vm.as_str(), centre)).collect()
    }

    /// Checks that each data centre that lives has one head, which all of its VMs
    /// and all other heads hear.
    fn check(&self, context: &str) {
        let heads = self.heads();
        let mut centres: Vec<_> = heads.iter().map(|(_, centre)| *centre).collect();
        centres.dedup();
        let up = self.members.iter().filter(|(vm, _)| self.is_up(vm));
        let living: std::collections::BTreeSet<_> = up.clone().map(|(_, centre)| centre).collect();
        let found: std::collections::BTreeSet<_> = centres.iter().copied().collect();
        assert_eq!(heads.len(), living.len(), "{context}: {heads:?}");
        assert_eq!(found, living, "{context}");
        for (vm, own) in up {
            let circle = &self.circles[vm];
            for (head, centre) in &heads {
                let is_concerned = *centre == own || circle.is_coordinator(self.now);
                let hears = *head == vm || circle.is_heard(head, self.now);
                assert!(
                    !is_concerned || hears,
                    "{context}: {vm} does not hear {head}"
                );
            }
        }
    }
}

#[test]
fn few_vms_send_to_each_other() {
    let mut fleet = Fleet::new(3, 5);
    fleet.round();
    assert_eq!(fleet.sent, 15 * 14);
    assert_eq!(fleet.heads().len(), 15);
}

#[test]
fn many_vms_send_to_heads_and_the_load_of_each_stays_small() {
    let mut fleet = Fleet::new(6, 12);
    fleet.rounds(Duration::from_secs(3));
    fleet.check("at rest");
    (fleet.sent, fleet.sent_far) = (0, 0);
    fleet.round();
    // Two near choices a VM, their answers, and a pair of heads each way.
    assert!(fleet.sent <= 72 * 4 + 6 * 5, "{}", fleet.sent);
    assert_eq!(fleet.sent_far, 6 * 5);
}

#[test]
fn heads_are_replaced_whoever_is_lost_and_come_back() {
    let mut random = rand::rngs::StdRng::seed_from_u64(3);
    for seed in 0..30 {
        let mut fleet = Fleet::new(6, 11);
        fleet.rounds(Duration::from_secs(3));
        let share = random.random_range(0.1..0.8);
        let names: Vec<String> = fleet.members.keys().cloned().collect();
        fleet.down = names
            .into_iter()
            .filter(|_| random.random_bool(share))
            .collect();
        // Each silent one at the front costs a moment until it is passed over.
        fleet.rounds(Duration::from_secs(14));
        fleet.check(&format!("seed {seed}, {} lost", fleet.down.len()));
        fleet.down.clear();
        fleet.rounds(Duration::from_secs(8));
        fleet.check(&format!("seed {seed}, all back"));
    }
}

#[test]
fn a_leaving_head_is_passed_over_at_once() {
    let mut fleet = Fleet::new(2, 12);
    fleet.rounds(Duration::from_secs(3));
    let own = centre(0);
    let head = fleet
        .heads()
        .iter()
        .find(|(_, centre)| **centre == own)
        .map(|(vm, _)| (*vm).to_owned());
    let head = head.expect("a head");
    let vm = fleet
        .members
        .iter()
        .find(|(vm, centre)| **centre == own && **vm != head);
    let vm = vm.expect("another VM").0.clone();
    let circle = fleet.circles.get_mut(&vm).expect("a known VM");
    assert_eq!(circle.own_coordinator(fleet.now), Some(head.as_str()));
    circle.record_heartbeat_from(&head, true, true, fleet.now);
    assert_ne!(circle.own_coordinator(fleet.now), Some(head.as_str()));
}

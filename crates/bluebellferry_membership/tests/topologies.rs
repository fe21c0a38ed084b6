//! Which VMs send heartbeats to each other.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::topology;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn centre(number: usize) -> name::DataCentreName {
    name::DataCentreName::try_from(format!("centre-{number}").as_str()).expect("a valid name")
}

/// A simulated fleet in which heartbeats between running VMs arrive at once.
struct Fleet {
    members: BTreeMap<String, name::DataCentreName>,
    topologies: BTreeMap<String, topology::HeartbeatTopology>,
    down: Vec<String>,
    now: Instant,
    sent: usize,
    sent_between_centres: usize,
}

impl Fleet {
    fn new(centres: usize, vms: usize) -> Self {
        let mut members = BTreeMap::new();
        for number in 0..centres * vms {
            members.insert(format!("vm-{number}"), centre(number % centres));
        }
        let topologies = members.iter().map(|(vm, own)| {
            let mut topology = topology::HeartbeatTopology::new(vm, own.clone());
            topology.apply_members(members.iter().map(|(vm, own)| (vm.as_str(), own)));
            (vm.clone(), topology)
        });
        Self {
            topologies: topologies.collect(),
            members: members.clone(),
            down: Vec::new(),
            now: Instant::now(),
            sent: 0,
            sent_between_centres: 0,
        }
    }

    fn is_up(&self, vm: &str) -> bool {
        !self.down.iter().any(|down| down == vm)
    }

    fn run_round(&mut self) {
        self.now += HEARTBEAT_INTERVAL;
        let names: Vec<String> = self.members.keys().cloned().collect();
        for vm in names
            .iter()
            .filter(|vm| self.is_up(vm))
            .cloned()
            .collect::<Vec<_>>()
        {
            let topology = self.topologies.get_mut(&vm).expect("a known VM");
            for target in topology.next_targets(self.now) {
                self.sent += 1;
                self.sent_between_centres += usize::from(!target.is_in_own_centre);
                if self.is_up(&target.vm) {
                    let other = self.topologies.get_mut(&target.vm).expect("a known VM");
                    other.record_heartbeat_from(&vm, target.expects_reply, false, self.now);
                }
            }
        }
    }

    fn run_rounds(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / HEARTBEAT_INTERVAL.as_millis() {
            self.run_round();
        }
    }

    fn coordinators(&self) -> Vec<(&str, &name::DataCentreName)> {
        let up = self.members.iter().filter(|(vm, _)| self.is_up(vm));
        let coordinators = up.filter(|(vm, _)| self.topologies[*vm].is_coordinator(self.now));
        coordinators
            .map(|(vm, centre)| (vm.as_str(), centre))
            .collect()
    }

    /// Checks that each data centre with a running VM has one coordinator, and that all VMs
    /// of the data centre and all other coordinators receive its heartbeats.
    fn check(&self, context: &str) {
        let coordinators = self.coordinators();
        let mut centres: Vec<_> = coordinators.iter().map(|(_, centre)| *centre).collect();
        centres.dedup();
        let up = self.members.iter().filter(|(vm, _)| self.is_up(vm));
        let running: std::collections::BTreeSet<_> = up.clone().map(|(_, centre)| centre).collect();
        let found: std::collections::BTreeSet<_> = centres.iter().copied().collect();
        assert_eq!(
            coordinators.len(),
            running.len(),
            "{context}: {coordinators:?}"
        );
        assert_eq!(found, running, "{context}");
        for (vm, own) in up {
            let topology = &self.topologies[vm];
            for (coordinator, centre) in &coordinators {
                let is_recipient = *centre == own || topology.is_coordinator(self.now);
                let is_live = *coordinator == vm || topology.is_live(coordinator, self.now);
                assert!(
                    !is_recipient || is_live,
                    "{context}: {vm} receives no heartbeats from {coordinator}"
                );
            }
        }
    }
}

#[test]
fn few_vms_form_a_full_mesh() {
    let mut fleet = Fleet::new(3, 5);
    fleet.run_round();
    assert_eq!(fleet.sent, 15 * 14);
    assert_eq!(fleet.coordinators().len(), 15);
}

#[test]
fn many_vms_send_few_heartbeats_and_only_coordinators_cross_data_centres() {
    let mut fleet = Fleet::new(6, 12);
    fleet.run_rounds(Duration::from_secs(3));
    fleet.check("no VM lost");
    (fleet.sent, fleet.sent_between_centres) = (0, 0);
    fleet.run_round();
    // Each VM has two targets in its own data centre, which reply, and each coordinator
    // sends to all others.
    assert!(fleet.sent <= 72 * 4 + 6 * 5, "{}", fleet.sent);
    assert_eq!(fleet.sent_between_centres, 6 * 5);
}

#[test]
fn each_data_centre_keeps_one_coordinator_when_vms_are_lost_and_return() {
    let mut random = rand::rngs::StdRng::seed_from_u64(3);
    for seed in 0..30 {
        let mut fleet = Fleet::new(6, 11);
        fleet.run_rounds(Duration::from_secs(3));
        let loss_probability = random.random_range(0.1..0.8);
        let names: Vec<String> = fleet.members.keys().cloned().collect();
        fleet.down = names
            .into_iter()
            .filter(|_| random.random_bool(loss_probability))
            .collect();
        // Every unresponsive VM that ranks first delays the new coordinator by a timeout.
        fleet.run_rounds(Duration::from_secs(14));
        fleet.check(&format!("seed {seed}, {} lost", fleet.down.len()));
        fleet.down.clear();
        fleet.run_rounds(Duration::from_secs(8));
        fleet.check(&format!("seed {seed}, all VMs returned"));
    }
}

#[test]
fn a_draining_coordinator_is_replaced_at_once() {
    let mut fleet = Fleet::new(2, 12);
    fleet.run_rounds(Duration::from_secs(3));
    let own = centre(0);
    let coordinator = fleet
        .coordinators()
        .iter()
        .find(|(_, centre)| **centre == own)
        .map(|(vm, _)| (*vm).to_owned());
    let coordinator = coordinator.expect("a coordinator");
    let vm = fleet
        .members
        .iter()
        .find(|(vm, centre)| **centre == own && **vm != coordinator);
    let vm = vm.expect("another VM").0.clone();
    let topology = fleet.topologies.get_mut(&vm).expect("a known VM");
    assert_eq!(
        topology.own_coordinator(fleet.now),
        Some(coordinator.as_str())
    );
    topology.record_heartbeat_from(&coordinator, true, true, fleet.now);
    assert_ne!(
        topology.own_coordinator(fleet.now),
        Some(coordinator.as_str())
    );
}

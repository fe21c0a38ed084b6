//! The ages that VMs assume for positions in received heartbeats, tested without sockets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_edge::control;
use bluebellferry_edge::control::heartbeats;
use bluebellferry_edge::control::peers;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic::reads;
use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

#[path = "fixtures/settings.rs"]
mod fixtures;

const VMS: usize = 5;
/// The rate of commits that the leader acknowledges.
const COMMITS_PER_SECOND: u64 = 20;

fn service() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

fn vm(index: usize) -> String {
    format!("vm-{index}")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index as u8 + 1)), 7_000)
}

fn control(index: usize, incarnation: u64, now: Instant) -> control::ControlCell {
    let data_centre = name::DataCentreName::try_from("here").expect("a valid name");
    let settings = fixtures::settings(&vm(index), data_centre.clone(), address(index));
    let (shared, _) = shared::EdgeShared::new(settings, incarnation);
    let mut control = state::ControlState::new(shared);
    let member = |index: usize| state::MemberRecord {
        address: address(index).ip(),
        data_centre: data_centre.clone(),
    };
    let members = (0..VMS).map(|index| (vm(index), member(index))).collect();
    control.apply_members(members, 5, now);
    Rc::new(RefCell::new(control))
}

/// Returns the requirement of a read that arrives at `now` and accepts data of `max_age`.
fn requirement(
    control: &control::ControlCell,
    max_age: Duration,
    now: Instant,
) -> reads::ReadRequirement {
    let control = control.borrow();
    let positions = control.shared.lock_positions();
    let guarantee = configuration::ReadGuarantee::ReadYourWrites { max_age };
    reads::read_requirement(
        guarantee,
        reads::SessionFloor::Known(None),
        positions.get(&service()),
        now,
    )
}

// Guards against stale reads after a process was suspended: positions in heartbeats that had
// waited in its socket were dated by when the heartbeats were read, so that reads were served
// from a replica that lagged too far.
#[test]
fn a_position_is_not_dated_by_when_its_heartbeat_is_read() {
    let start = clock::now();
    let resumed = start + Duration::from_secs(4);
    let control = control(0, 1, start);
    // Sent while the receiver was suspended, by a VM that had not received a heartbeat from it
    // yet.
    let heartbeat = heartbeat::FleetHeartbeat {
        vm: vm(1),
        positions: vec![heartbeat::PositionSample {
            service: service(),
            position: position::LogPosition::new(1, 28),
            age_ms: 1,
        }],
        ..heartbeat::FleetHeartbeat::default()
    };
    peers::handle_heartbeat(&control, address(1), (7, 1), heartbeat, resumed);
    let requirement = requirement(
        &control,
        Duration::from_millis(2_500),
        resumed + Duration::from_secs(1),
    );
    assert_eq!(requirement, reads::ReadRequirement::Leader);
}

#[test]
fn a_position_in_an_answer_is_dated_by_the_answered_heartbeat() {
    let start = clock::now();
    let control = control(0, 1, start);
    control.borrow_mut().lease.record_sent_heartbeat(3, start);
    let heartbeat = heartbeat::FleetHeartbeat {
        vm: vm(1),
        echo: Some(heartbeat::HeartbeatEcho {
            incarnation: 1,
            sequence: 3,
            delay_ms: 400,
            confirmed: None,
        }),
        positions: vec![heartbeat::PositionSample {
            service: service(),
            position: position::LogPosition::new(1, 28),
            age_ms: 100,
        }],
        ..heartbeat::FleetHeartbeat::default()
    };
    // The position was requested 300 ms after the answered heartbeat was sent.
    let received_at = start + Duration::from_secs(2);
    peers::handle_heartbeat(&control, address(1), (7, 1), heartbeat, received_at);
    let min_position = reads::ReadRequirement::MinPosition(position::LogPosition::new(1, 28));
    let requested = start + Duration::from_millis(300);
    let max_age = Duration::from_millis(2_500);
    assert_eq!(
        requirement(&control, max_age, requested + max_age),
        min_position
    );
    let later = requested + max_age + Duration::from_millis(1);
    assert_eq!(
        requirement(&control, max_age, later),
        reads::ReadRequirement::Leader
    );
}

fn compose(
    control: &state::ControlState,
    target: &topology::HeartbeatTarget,
    now: Instant,
) -> heartbeat::FleetHeartbeat {
    let common = heartbeats::common_heartbeat(control, now);
    heartbeats::heartbeat_for(control, &common, target, now)
}

/// A heartbeat in transit, or in the receiver's socket.
struct SentHeartbeat {
    arrives: Instant,
    from: usize,
    order: (u64, u64),
    heartbeat: heartbeat::FleetHeartbeat,
}

struct SimulatedVm {
    control: control::ControlCell,
    incarnation: u64,
    sequence: u64,
    next_heartbeat: Instant,
    suspended_until: Instant,
    socket: Vec<SentHeartbeat>,
}

/// VMs that exchange heartbeats over links that are slow or interrupted, and that are suspended
/// and restarted.
struct SimulatedFleet {
    rng: rngs::StdRng,
    start: Instant,
    vms: Vec<SimulatedVm>,
    /// Until when heartbeats from one VM to another are lost.
    interruptions: BTreeMap<(usize, usize), Instant>,
}

impl SimulatedFleet {
    fn new(seed: u64) -> Self {
        let start = clock::now();
        let simulated = |index: usize| SimulatedVm {
            control: control(index, 1, start),
            incarnation: 1,
            sequence: 0,
            next_heartbeat: start + Duration::from_millis(37 * index as u64),
            suspended_until: start,
            socket: Vec::new(),
        };
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            start,
            vms: (0..VMS).map(simulated).collect(),
            interruptions: BTreeMap::new(),
        }
    }

    fn milliseconds(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Returns the end of the leader's log at an instant.
    fn log_end_at(&self, instant: Instant) -> position::LogPosition {
        let elapsed = instant.saturating_duration_since(self.start).as_millis() as u64;
        position::LogPosition::new(1, elapsed * COMMITS_PER_SECOND / 1_000)
    }

    fn inject_fault(&mut self, now: Instant) {
        let index = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..400) {
            0 | 1 => self.vms[index].suspended_until = now + self.milliseconds(200..6_000),
            2 => {
                let vm = &mut self.vms[index];
                vm.incarnation += 1;
                vm.sequence = 0;
                vm.socket.clear();
                vm.suspended_until = now;
                vm.control = control(index, vm.incarnation, now);
            }
            3 => {
                let other = self.rng.random_range(0..VMS);
                let until = now + self.milliseconds(200..5_000);
                self.interruptions.insert((index, other), until);
            }
            _ => {}
        }
    }

    /// Simulates a statement of a VM that the leader answers.
    fn query_leader(&mut self, index: usize, now: Instant) {
        let requested = now - self.milliseconds(1..40);
        let position = self.log_end_at(requested);
        let control = self.vms[index].control.borrow();
        control
            .shared
            .record_position(&service(), requested, position);
    }

    fn send_heartbeats(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        vm.sequence += 1;
        vm.next_heartbeat = now + Duration::from_millis(400);
        let order = (vm.incarnation, vm.sequence);
        let control = Rc::clone(&vm.control);
        control
            .borrow_mut()
            .lease
            .record_sent_heartbeat(order.1, now);
        for to in (0..VMS).filter(|to| *to != index) {
            let target = topology::HeartbeatTarget {
                vm: format!("vm-{to}"),
                is_in_own_centre: true,
                expects_reply: false,
            };
            let heartbeat = compose(&control.borrow(), &target, now);
            let is_interrupted = self
                .interruptions
                .get(&(index, to))
                .is_some_and(|until| *until > now);
            // Some datagrams are delayed, and a few are lost.
            let delay = match self.rng.random_range(0..20) {
                0 => self.milliseconds(100..1_500),
                _ => self.milliseconds(1..40),
            };
            if !is_interrupted && self.rng.random_range(0..50) > 0 {
                let arrives = now + delay;
                self.vms[to].socket.push(SentHeartbeat {
                    arrives,
                    from: index,
                    order,
                    heartbeat,
                });
            }
        }
    }

    fn read_socket(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        let (mut arrived, waiting): (Vec<_>, Vec<_>) =
            vm.socket.drain(..).partition(|sent| sent.arrives <= now);
        vm.socket = waiting;
        arrived.sort_by_key(|sent| sent.arrives);
        for sent in arrived {
            peers::handle_heartbeat(
                &vm.control,
                address(sent.from),
                sent.order,
                sent.heartbeat,
                now,
            );
        }
    }

    /// Checks that the position which a read requires covers every commit that it must see.
    fn check(&self, seed: u64, index: usize, now: Instant) {
        for max_age in [500, 1_000, 1_500, 2_500, 4_000].map(Duration::from_millis) {
            let Some(cutoff) = now.checked_sub(max_age) else {
                continue;
            };
            if let reads::ReadRequirement::MinPosition(position) =
                requirement(&self.vms[index].control, max_age, now)
            {
                let acknowledged = self.log_end_at(cutoff);
                assert!(
                    position >= acknowledged,
                    "seed {seed}, {:?}: vm-{index} requires {position}, {acknowledged} was \
                     acknowledged {max_age:?} before",
                    now.saturating_duration_since(self.start),
                );
            }
        }
    }

    fn run(&mut self, seed: u64) {
        for step in 0..3_000 {
            let now = self.start + Duration::from_millis(10 * step);
            self.inject_fault(now);
            for index in 0..VMS {
                if self.vms[index].suspended_until > now {
                    continue;
                }
                self.read_socket(index, now);
                if step > 10 && self.rng.random_range(0..10) == 0 {
                    self.query_leader(index, now);
                }
                if self.vms[index].next_heartbeat <= now {
                    self.send_heartbeats(index, now);
                }
                self.check(seed, index, now);
            }
        }
    }
}

// Guards against stale reads after any combination of suspended, restarted and disconnected VMs
// and delayed heartbeats: the age of a position must never be underestimated.
#[test]
fn reads_see_acknowledged_commits_however_heartbeats_are_delayed() {
    for seed in 0..40 {
        SimulatedFleet::new(seed).run(seed);
    }
}

//! Positions that VMs tell each other, without a socket: how old they are taken to be.

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
use bluebellferry_edge::control::allocation;
use bluebellferry_edge::control::beats;
use bluebellferry_edge::control::peers;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic::reads;
use bluebellferry_membership::beat;
use bluebellferry_membership::circle;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

#[path = "fixtures/settings.rs"]
mod fixtures;

const VMS: usize = 5;
/// Commits that the leader acknowledges in a second.
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

/// Returns the demand of a read that arrives at `now` and may see data of that age.
fn demand(control: &control::ControlCell, max_age: Duration, now: Instant) -> reads::ReadDemand {
    let control = control.borrow();
    let positions = control.shared.positions();
    let guarantee = configuration::ReadGuarantee::ReadYourWrites { max_age };
    reads::demand_of(
        guarantee,
        reads::SessionFloor::Known(None),
        positions.get(&service()),
        now,
    )
}

// A VM that had stood still took positions out of heartbeats that waited in its socket for
// as young as the heartbeats' arrival, and served reads from a replica that was too old.
#[test]
fn a_position_is_not_dated_by_when_its_heartbeat_is_read() {
    let start = clock::now();
    let woken = start + Duration::from_secs(4);
    let control = control(0, 1, start);
    // Sent while the receiver stood still, by a VM that had not heard it yet.
    let beat = beat::FleetBeat {
        vm: vm(1),
        positions: vec![beat::PositionSample {
            service: service(),
            position: position::LogPosition::new(1, 28),
            age_ms: 1,
        }],
        ..beat::FleetBeat::default()
    };
    peers::take_beat(&control, address(1), (7, 1), beat, woken);
    let read = demand(
        &control,
        Duration::from_millis(2_500),
        woken + Duration::from_secs(1),
    );
    assert_eq!(read, reads::ReadDemand::Leader);
}

#[test]
fn a_position_that_answers_a_heartbeat_is_dated_by_that() {
    let start = clock::now();
    let control = control(0, 1, start);
    control.borrow_mut().lease.record_sent(3, start);
    let beat = beat::FleetBeat {
        vm: vm(1),
        echo: Some(beat::BeatEcho {
            incarnation: 1,
            sequence: 3,
            held_ms: 400,
            confirmed: None,
        }),
        positions: vec![beat::PositionSample {
            service: service(),
            position: position::LogPosition::new(1, 28),
            age_ms: 100,
        }],
        ..beat::FleetBeat::default()
    };
    // Asked for 300 ms after the heartbeat that is answered was sent.
    let read_at = start + Duration::from_secs(2);
    peers::take_beat(&control, address(1), (7, 1), beat, read_at);
    let since = reads::ReadDemand::Since(position::LogPosition::new(1, 28));
    let asked = start + Duration::from_millis(300);
    let max_age = Duration::from_millis(2_500);
    assert_eq!(demand(&control, max_age, asked + max_age), since);
    let later = asked + max_age + Duration::from_millis(1);
    assert_eq!(demand(&control, max_age, later), reads::ReadDemand::Leader);
}

fn compose(
    control: &state::ControlState,
    target: &circle::BeatTarget,
    now: Instant,
) -> beat::FleetBeat {
    let load = allocation::LocalDemand {
        operations_per_second: 0.0,
        demands: Vec::new(),
    };
    let common = beats::common_part(control, load, now);
    beats::beat_for(control, &common, target, now)
}

/// A heartbeat on its way.
struct SentBeat {
    arrives: Instant,
    from: usize,
    order: (u64, u64),
    beat: beat::FleetBeat,
}

struct SimulatedVm {
    control: control::ControlCell,
    incarnation: u64,
    sequence: u64,
    next_beat: Instant,
    still_until: Instant,
    socket: Vec<SentBeat>,
}

/// VMs that exchange heartbeats over links that delay and cut, stand still, and start anew.
struct SimulatedFleet {
    rng: rngs::StdRng,
    start: Instant,
    vms: Vec<SimulatedVm>,
    /// Until when nothing passes from one VM to another.
    cuts: BTreeMap<(usize, usize), Instant>,
}

impl SimulatedFleet {
    fn new(seed: u64) -> Self {
        let start = clock::now();
        let simulated = |index: usize| SimulatedVm {
            control: control(index, 1, start),
            incarnation: 1,
            sequence: 0,
            next_beat: start + Duration::from_millis(37 * index as u64),
            still_until: start,
            socket: Vec::new(),
        };
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            start,
            vms: (0..VMS).map(simulated).collect(),
            cuts: BTreeMap::new(),
        }
    }

    fn milliseconds(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Returns what the leader's log holds at an instant.
    fn log_at(&self, instant: Instant) -> position::LogPosition {
        let elapsed = instant.saturating_duration_since(self.start).as_millis() as u64;
        position::LogPosition::new(1, elapsed * COMMITS_PER_SECOND / 1_000)
    }

    fn disturb(&mut self, now: Instant) {
        let index = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..400) {
            0 | 1 => self.vms[index].still_until = now + self.milliseconds(200..6_000),
            2 => {
                let vm = &mut self.vms[index];
                vm.incarnation += 1;
                vm.sequence = 0;
                vm.socket.clear();
                vm.still_until = now;
                vm.control = control(index, vm.incarnation, now);
            }
            3 => {
                let other = self.rng.random_range(0..VMS);
                let until = now + self.milliseconds(200..5_000);
                self.cuts.insert((index, other), until);
            }
            _ => {}
        }
    }

    /// Has the leader answer a statement of a VM.
    fn ask_leader(&mut self, index: usize, now: Instant) {
        let asked = now - self.milliseconds(1..40);
        let position = self.log_at(asked);
        let control = self.vms[index].control.borrow();
        control.shared.record_position(&service(), asked, position);
    }

    fn send_beats(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        vm.sequence += 1;
        vm.next_beat = now + Duration::from_millis(400);
        let order = (vm.incarnation, vm.sequence);
        let control = Rc::clone(&vm.control);
        control.borrow_mut().lease.record_sent(order.1, now);
        for to in (0..VMS).filter(|to| *to != index) {
            let target = circle::BeatTarget {
                vm: format!("vm-{to}"),
                is_near: true,
                is_chosen: false,
            };
            let beat = compose(&control.borrow(), &target, now);
            let is_cut = self
                .cuts
                .get(&(index, to))
                .is_some_and(|until| *until > now);
            // Some datagrams are slow, and a few are lost.
            let delay = match self.rng.random_range(0..20) {
                0 => self.milliseconds(100..1_500),
                _ => self.milliseconds(1..40),
            };
            if !is_cut && self.rng.random_range(0..50) > 0 {
                let arrives = now + delay;
                self.vms[to].socket.push(SentBeat {
                    arrives,
                    from: index,
                    order,
                    beat,
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
            peers::take_beat(&vm.control, address(sent.from), sent.order, sent.beat, now);
        }
    }

    /// Checks that what a read asks for covers all that it must see.
    fn check(&self, seed: u64, index: usize, now: Instant) {
        for max_age in [500, 1_000, 1_500, 2_500, 4_000].map(Duration::from_millis) {
            let Some(cutoff) = now.checked_sub(max_age) else {
                continue;
            };
            if let reads::ReadDemand::Since(position) =
                demand(&self.vms[index].control, max_age, now)
            {
                let acknowledged = self.log_at(cutoff);
                assert!(
                    position >= acknowledged,
                    "seed {seed}, {:?}: vm-{index} asks for {position}, {acknowledged} was \
                     acknowledged {max_age:?} before",
                    now.saturating_duration_since(self.start),
                );
            }
        }
    }

    fn run(&mut self, seed: u64) {
        for step in 0..3_000 {
            let now = self.start + Duration::from_millis(10 * step);
            self.disturb(now);
            for index in 0..VMS {
                if self.vms[index].still_until > now {
                    continue;
                }
                self.read_socket(index, now);
                if step > 10 && self.rng.random_range(0..10) == 0 {
                    self.ask_leader(index, now);
                }
                if self.vms[index].next_beat <= now {
                    self.send_beats(index, now);
                }
                self.check(seed, index, now);
            }
        }
    }
}

// The same failure, whoever stands still, starts anew or is cut off while heartbeats wait.
#[test]
fn reads_cover_what_was_acknowledged_whatever_delays_heartbeats() {
    for seed in 0..40 {
        SimulatedFleet::new(seed).run(seed);
    }
}

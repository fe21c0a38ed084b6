//! Tests of leases and of the choice of a successor.
//!
//! The seeded simulations lose, delay and reorder heartbeats, cut VMs off from the store or
//! from each other, and have one VM replace the leader at a random time. No VM may rely on
//! the old leader once another database may be promoted.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::lease;
use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;

const VMS: usize = 5;
/// The simulated time that passes in one step.
const STEP: Duration = Duration::from_millis(10);
/// The heartbeat interval in steps.
const STEPS_PER_HEARTBEAT: u32 = 40;

#[derive(Clone)]
struct Heartbeat {
    sequence: u64,
    /// For each receiver: its latest heartbeat that the sender has received.
    echoed_sequences: Vec<u64>,
    /// For each receiver: its latest heartbeat that the sender had received before the store
    /// last confirmed the table to the sender.
    confirmed_sequences: Vec<Option<u64>>,
    revision: u64,
    is_claiming: bool,
}

struct SimulatedVm {
    tracker: lease::LeaseTracker,
    revision: u64,
    /// The latest heartbeat from each sender, with its sequence number.
    latest_received: Vec<(u64, Option<Heartbeat>)>,
    /// For each sender: the sequence numbers of its heartbeats and when they arrived.
    arrivals: Vec<Vec<(u64, Instant)>>,
    is_claiming: bool,
    is_store_reachable: bool,
    sequence: u64,
}

struct Simulation {
    rng: rand::rngs::StdRng,
    vms: Vec<SimulatedVm>,
    /// Heartbeats in flight: arrival time, sender, receiver.
    messages: Vec<(Instant, usize, usize, Heartbeat)>,
    store_revision: u64,
    /// The probability that a heartbeat is lost.
    loss_probability: f64,
    /// A VM that exchanges no heartbeats with the others.
    isolated: Option<usize>,
    path: ConfirmationPath,
}

/// How VMs have their leases confirmed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConfirmationPath {
    /// By the heartbeats of all other VMs; some VMs also read the store.
    AllMembers,
    /// By store confirmations only, which VMs pass on, also when they did not read the store
    /// themselves.
    Relay,
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

impl Simulation {
    fn new(seed: u64, path: ConfirmationPath, now: Instant) -> Self {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let loss_probability = rng.random_range(0.0..0.5);
        let isolated = rng.random_bool(0.5).then(|| rng.random_range(0..VMS));
        let vm = |own: usize| {
            let mut tracker = lease::LeaseTracker::default();
            let others = (0..VMS).filter(|other| *other != own).map(vm_name);
            if path == ConfirmationPath::AllMembers {
                tracker.record_members(now, others.collect());
            }
            SimulatedVm {
                tracker,
                revision: 0,
                latest_received: vec![(0, None); VMS],
                arrivals: vec![Vec::new(); VMS],
                is_claiming: false,
                is_store_reachable: match path {
                    ConfirmationPath::AllMembers => rng.random_bool(0.7),
                    ConfirmationPath::Relay => own == 0,
                },
                sequence: 0,
            }
        };
        Self {
            vms: (0..VMS).map(vm).collect(),
            messages: Vec::new(),
            store_revision: 0,
            loss_probability,
            isolated,
            path,
            rng,
        }
    }

    fn send_heartbeats(&mut self, from: usize, now: Instant) {
        let vm = &mut self.vms[from];
        vm.sequence += 1;
        vm.tracker.record_sent_heartbeat(vm.sequence, now);
        let heartbeat = Heartbeat {
            sequence: vm.sequence,
            echoed_sequences: vm
                .latest_received
                .iter()
                .map(|(sequence, _)| *sequence)
                .collect(),
            confirmed_sequences: vm
                .arrivals
                .iter()
                .map(|arrivals| latest_confirmed_sequence(vm, arrivals))
                .collect(),
            revision: vm.revision,
            is_claiming: vm.is_claiming,
        };
        for to in (0..VMS).filter(|to| *to != from) {
            let is_isolated = self.isolated == Some(from) || self.isolated == Some(to);
            if is_isolated || self.rng.random_bool(self.loss_probability) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..600));
            self.messages
                .push((now + delay, from, to, heartbeat.clone()));
        }
    }

    fn deliver(&mut self, now: Instant) {
        let due = |(at, ..): &mut (Instant, usize, usize, Heartbeat)| *at <= now;
        let messages: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, from, to, heartbeat) in messages {
            let vm = &mut self.vms[to];
            if heartbeat.sequence <= vm.latest_received[from].0 {
                continue;
            }
            vm.revision = vm.revision.max(heartbeat.revision);
            vm.tracker.record_revision(vm.revision);
            let confirmation = lease::LeaseConfirmation {
                incarnation: 1,
                echoed_sequence: heartbeat.echoed_sequences[to],
                revision: heartbeat.revision,
                is_claiming: heartbeat.is_claiming,
            };
            vm.tracker.record_confirmation(&vm_name(from), confirmation);
            if self.path == ConfirmationPath::Relay
                && let Some(sequence) = heartbeat.confirmed_sequences[to]
            {
                vm.tracker
                    .record_relayed_confirmation(sequence, heartbeat.revision);
            }
            vm.arrivals[from].push((heartbeat.sequence, now));
            vm.latest_received[from] = (heartbeat.sequence, Some(heartbeat));
        }
    }

    /// Reads the table from the store if the VM's lease is about to end. The answer arrives
    /// at once.
    fn read_store(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        let is_needed = vm
            .tracker
            .valid_until()
            .is_none_or(|until| until < now + Duration::from_millis(600));
        if vm.is_store_reachable && is_needed {
            vm.revision = vm.revision.max(self.store_revision);
            vm.tracker
                .record_store_confirmation(now, self.store_revision);
        }
    }

    fn have_all_acknowledged(&self, claimant: usize) -> bool {
        (0..VMS).filter(|index| *index != claimant).all(|index| {
            let (_, heartbeat) = &self.vms[claimant].latest_received[index];
            heartbeat
                .as_ref()
                .is_some_and(|last| last.revision >= self.store_revision && !last.is_claiming)
        })
    }

    /// Returns how many VMs rely on the table from before the replacement.
    fn count_relying(&self, now: Instant) -> usize {
        let is_relying = |vm: &&SimulatedVm| {
            vm.revision == 0 && vm.tracker.valid_until().is_some_and(|until| until > now)
        };
        self.vms.iter().filter(is_relying).count()
    }
}

fn latest_confirmed_sequence(vm: &SimulatedVm, arrivals: &[(u64, Instant)]) -> Option<u64> {
    let confirmed_at = vm.tracker.store_confirmed_at()?;
    let mut arrivals = arrivals.iter().rev();
    let found = arrivals.find(|(_, arrived)| *arrived <= confirmed_at);
    found.map(|(sequence, _)| *sequence)
}

/// Runs one simulation until the leader may be replaced. Returns how often, over all VMs and
/// steps before the claim, a VM could rely on the leader.
fn run_simulation(seed: u64, path: ConfirmationPath) -> usize {
    let start = Instant::now();
    let mut simulation = Simulation::new(seed, path, start);
    let claimant = simulation.rng.random_range(0..VMS);
    simulation.vms[claimant].is_store_reachable = true;
    let claim_at_step = simulation.rng.random_range(100..400);
    let mut claimed_at = None;
    let mut relied_count = 0;
    for step in 0..900_u32 {
        let now = start + STEP * step;
        simulation.deliver(now);
        if step == claim_at_step {
            simulation.vms[claimant].is_claiming = true;
            simulation.store_revision = 1;
            let vm = &mut simulation.vms[claimant];
            vm.revision = 1;
            vm.tracker.record_revision(1);
            claimed_at = Some(now);
        }
        for index in 0..VMS {
            if (step + index as u32 * 7).is_multiple_of(STEPS_PER_HEARTBEAT) {
                simulation.send_heartbeats(index, now);
            }
            if step.is_multiple_of(25) {
                simulation.read_store(index, now);
            }
        }
        let Some(claimed_at) = claimed_at else {
            relied_count += simulation.count_relying(now);
            continue;
        };
        if now >= lease::leases_expire_at(claimed_at, claimed_at)
            || simulation.have_all_acknowledged(claimant)
        {
            assert_eq!(simulation.count_relying(now), 0, "seed {seed}");
            return relied_count;
        }
    }
    panic!("seed {seed}: the leader was never replaced");
}

#[test]
fn no_vm_relies_on_the_old_leader_after_a_promotion() {
    let relied_count: usize = (0..2_000)
        .map(|seed| run_simulation(seed, ConfirmationPath::AllMembers))
        .sum();
    // The simulations prove nothing if no VM ever has a lease.
    assert!(relied_count > 100_000, "{relied_count}");
}

#[test]
fn no_vm_relies_on_the_old_leader_by_relayed_confirmations_after_a_promotion() {
    let relied_count: usize = (0..2_000)
        .map(|seed| run_simulation(seed, ConfirmationPath::Relay))
        .sum();
    assert!(relied_count > 100_000, "{relied_count}");
}

#[test]
fn relayed_confirmation_starts_the_lease_when_the_answered_heartbeat_was_sent() {
    let start = Instant::now();
    let mut tracker = lease::LeaseTracker::default();
    tracker.record_sent_heartbeat(1, start);
    tracker.record_sent_heartbeat(2, start + Duration::from_millis(400));
    tracker.record_relayed_confirmation(1, 0);
    assert_eq!(tracker.valid_until(), Some(start + lease::LEASE_DURATION));
    // A heartbeat that is no longer remembered, or was never sent, confirms nothing.
    tracker.record_relayed_confirmation(99, 0);
    assert_eq!(tracker.valid_until(), Some(start + lease::LEASE_DURATION));
    // The confirmation of a later table than this VM's does not count.
    tracker.record_relayed_confirmation(2, 1);
    assert_eq!(tracker.valid_until(), Some(start + lease::LEASE_DURATION));
}

#[test]
fn lease_requires_a_confirmation_from_every_member() {
    let start = Instant::now();
    let mut tracker = lease::LeaseTracker::default();
    tracker.record_revision(0);
    tracker.record_members(start, vec![vm_name(1), vm_name(2)]);
    tracker.record_sent_heartbeat(1, start);
    let confirmation = lease::LeaseConfirmation {
        incarnation: 1,
        echoed_sequence: 1,
        revision: 0,
        is_claiming: false,
    };
    tracker.record_confirmation(&vm_name(1), confirmation);
    assert_eq!(tracker.valid_until(), None);
    tracker.record_confirmation(&vm_name(2), confirmation);
    assert_eq!(tracker.valid_until(), Some(start + lease::LEASE_DURATION));
    // A member that begins a replacement withdraws its confirmation.
    let claiming = lease::LeaseConfirmation {
        is_claiming: true,
        ..confirmation
    };
    tracker.record_confirmation(&vm_name(2), claiming);
    assert_eq!(tracker.valid_until(), None);
}

/// Guards against stale reads: members that have all restarted confirm to each other that they know
/// of no table, although there is one.
#[test]
fn members_confirm_no_lease_to_a_vm_that_has_learned_no_table() {
    let start = Instant::now();
    let mut tracker = lease::LeaseTracker::default();
    tracker.record_members(start, vec![vm_name(1)]);
    tracker.record_sent_heartbeat(1, start);
    let confirmation = lease::LeaseConfirmation {
        incarnation: 1,
        echoed_sequence: 1,
        revision: 0,
        is_claiming: false,
    };
    tracker.record_confirmation(&vm_name(1), confirmation);
    assert_eq!(tracker.valid_until(), None);
    tracker.record_revision(0);
    assert_eq!(tracker.valid_until(), Some(start + lease::LEASE_DURATION));
}

#[test]
fn member_restarted_with_an_earlier_clock_still_confirms() {
    let start = Instant::now();
    let mut tracker = lease::LeaseTracker::default();
    tracker.record_revision(0);
    tracker.record_members(start, vec!["b".to_owned()]);
    let confirmation = |incarnation, echoed_sequence| lease::LeaseConfirmation {
        incarnation,
        echoed_sequence,
        revision: 0,
        is_claiming: false,
    };
    tracker.record_sent_heartbeat(1, start);
    tracker.record_confirmation("b", confirmation(900, 1));
    let later = start + Duration::from_secs(1);
    tracker.record_sent_heartbeat(2, later);
    // The member was killed and restarted; its new incarnation was drawn from a wall clock
    // that had been set back.
    tracker.record_confirmation("b", confirmation(300, 2));
    assert_eq!(tracker.valid_until(), Some(later + lease::LEASE_DURATION));
    // A late heartbeat of the earlier incarnation does not shorten the lease.
    tracker.record_confirmation("b", confirmation(900, 1));
    assert_eq!(tracker.valid_until(), Some(later + lease::LEASE_DURATION));
}

#[test]
fn lease_ends_when_the_member_list_is_too_old() {
    let start = Instant::now();
    let mut tracker = lease::LeaseTracker::default();
    tracker.record_revision(0);
    tracker.record_members(start, vec![vm_name(1)]);
    let late = start + lease::JOIN_DELAY - Duration::from_millis(100);
    tracker.record_sent_heartbeat(9, late);
    let confirmation = lease::LeaseConfirmation {
        incarnation: 1,
        echoed_sequence: 9,
        revision: 0,
        is_claiming: false,
    };
    tracker.record_confirmation(&vm_name(1), confirmation);
    assert_eq!(tracker.valid_until(), Some(start + lease::JOIN_DELAY));
}

#[test]
fn lone_vm_gets_its_lease_from_the_store_only() {
    let start = Instant::now();
    let mut tracker = lease::LeaseTracker::default();
    tracker.record_members(start, Vec::new());
    assert_eq!(tracker.valid_until(), None);
    tracker.record_store_confirmation(start, 0);
    assert_eq!(tracker.valid_until(), Some(start + lease::LEASE_DURATION));
}

fn database(id: &str, fenced_position: Option<u64>) -> successor::DatabaseEvidence {
    successor::DatabaseEvidence {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        is_leader: id == "x",
        is_draining: false,
        fenced_position: fenced_position.map(|offset| position::LogPosition::new(1, offset)),
        reported_leadership: None,
        earlier_position: None,
    }
}

fn chosen_successor(databases: &[successor::DatabaseEvidence]) -> Option<String> {
    match successor::choose_successor(databases, &successor::ReplacedReign::of_term(1)) {
        successor::SuccessorChoice::Promote { id, .. } => Some(id.to_string()),
        successor::SuccessorChoice::Adopt { id, .. } => Some(format!("adopt {id}")),
        successor::SuccessorChoice::Wait => None,
    }
}

#[test]
fn without_the_leader_every_replica_must_be_fenced() {
    let databases = [
        database("x", None),
        database("r1", Some(40)),
        database("r2", None),
    ];
    assert_eq!(chosen_successor(&databases), None);
    let databases = [
        database("x", None),
        database("r1", Some(40)),
        database("r2", Some(41)),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("r2"));
}

#[test]
fn one_replica_with_the_whole_log_of_a_stopped_leader_suffices() {
    let databases = [
        database("x", Some(41)),
        database("r1", Some(41)),
        database("r2", None),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("r1"));
    // The only replica that reported lacks some of the leader's log.
    let databases = [
        database("x", Some(42)),
        database("r1", Some(41)),
        database("r2", None),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("x"));
}

#[test]
fn leader_restarted_under_another_identity_is_ordered_to_step_down() {
    let mut restarted = database("x2", None);
    restarted.reported_leadership = Some((1, position::LogPosition::new(1, 41)));
    let databases = [
        database("x", None),
        database("r1", Some(41)),
        database("r2", Some(41)),
        restarted.clone(),
    ];
    assert_eq!(chosen_successor(&databases), None);
    let orders = databases
        .each_ref()
        .map(|database| successor::fence_order(database, 1));
    let (step_down, stop_receiving) = (
        successor::FenceOrder::StepDown,
        successor::FenceOrder::StopReceiving,
    );
    assert_eq!(
        orders,
        [step_down, stop_receiving, stop_receiving, step_down]
    );
    // Once it has stepped down, the end of the old leader's log is known.
    restarted.fenced_position = Some(position::LogPosition::new(1, 41));
    let databases = [
        databases[0].clone(),
        databases[1].clone(),
        databases[2].clone(),
        restarted,
    ];
    assert!(chosen_successor(&databases).is_some());
    // From then on, a replica that does not answer is not waited for.
    let unresponsive = database("r2", None);
    let databases = [
        databases[0].clone(),
        databases[1].clone(),
        unresponsive,
        databases[3].clone(),
    ];
    assert!(chosen_successor(&databases).is_some());
    // A database that leads in a later term, since another VM had it promoted, is not ordered
    // to step down.
    let mut promoted_elsewhere = database("r3", None);
    promoted_elsewhere.reported_leadership = Some((2, position::LogPosition::new(1, 41)));
    assert_eq!(
        successor::fence_order(&promoted_elsewhere, 1),
        stop_receiving
    );
}

#[test]
fn draining_replica_is_chosen_only_if_its_log_is_longest() {
    let mut draining = database("r2", Some(41));
    draining.is_draining = true;
    let databases = [
        database("x", None),
        database("r1", Some(41)),
        draining.clone(),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("r1"));
    let databases = [database("x", None), database("r1", Some(40)), draining];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("r2"));
}

#[test]
fn draining_replica_is_deferred_while_another_replica_may_answer() {
    let mut leader = database("x", Some(41));
    leader.is_draining = true;
    let mut draining = database("r1", Some(41));
    draining.is_draining = true;
    let unresponsive = database("r2", None);
    let databases = [leader.clone(), draining.clone(), unresponsive];
    let choice = successor::choose_successor(&databases, &successor::ReplacedReign::of_term(1));
    assert!(
        matches!(&choice, successor::SuccessorChoice::Promote { id, .. } if id.as_str() == "r1")
    );
    assert!(successor::should_defer(&choice, &databases));
    // The other replica has answered, and has the whole log.
    let databases = [leader.clone(), draining.clone(), database("r2", Some(41))];
    let choice = successor::choose_successor(&databases, &successor::ReplacedReign::of_term(1));
    assert!(!successor::should_defer(&choice, &databases));
    // There is no other replica.
    let databases = [leader, draining];
    let choice = successor::choose_successor(&databases, &successor::ReplacedReign::of_term(1));
    assert!(!successor::should_defer(&choice, &databases));
}

// Guards against lost commits: a draining replica that alone had the last ones left while its
// promotion was deferred in favour of a replica that was fenced with a shorter log.
#[test]
fn draining_replica_is_not_deferred_for_one_that_is_fenced_with_a_shorter_log() {
    let mut draining = database("r1", Some(728));
    draining.is_draining = true;
    let databases = [
        database("x", None),
        draining.clone(),
        database("r2", Some(708)),
    ];
    let choice = successor::choose_successor(&databases, &successor::ReplacedReign::of_term(1));
    assert!(
        matches!(&choice, successor::SuccessorChoice::Promote { id, .. } if id.as_str() == "r1")
    );
    assert!(!successor::should_defer(&choice, &databases));
    // A third replica may still turn out to have the longest log.
    let acknowledged = successor::ReplacedReign {
        acknowledged_end: Some(position::LogPosition::new(1, 728)),
        ..successor::ReplacedReign::of_term(1)
    };
    let databases = [
        database("x", None),
        draining,
        database("r2", Some(708)),
        database("r3", None),
    ];
    let choice = successor::choose_successor(&databases, &acknowledged);
    assert!(
        matches!(&choice, successor::SuccessorChoice::Promote { id, .. } if id.as_str() == "r1")
    );
    assert!(successor::should_defer(&choice, &databases));
}

#[test]
fn no_acknowledged_commit_is_lost_with_partial_evidence() {
    // A commit is acknowledged once the leader and one replica have it in their logs.
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let mut chosen = 0;
    for _ in 0..20_000 {
        let ends: Vec<u64> = (0..3).map(|_| rng.random_range(0..6)).collect();
        let leader_end = ends[0].max(ends[1]).max(ends[2]);
        let acknowledged = ends[1].max(ends[2]);
        let ends = [leader_end, ends[1], ends[2]];
        let mut reported = |end: u64| rng.random_bool(0.6).then_some(end);
        let databases = [
            database("x", reported(ends[0])),
            database("r1", reported(ends[1])),
            database("r2", reported(ends[2])),
        ];
        if let successor::SuccessorChoice::Promote { position, .. } =
            successor::choose_successor(&databases, &successor::ReplacedReign::of_term(1))
        {
            chosen += 1;
            assert!(position.offset >= acknowledged, "{databases:?}");
        }
    }
    assert!(chosen > 1_000);
}

#[test]
fn database_promoted_by_another_vm_is_adopted() {
    let mut promoted_elsewhere = database("r2", None);
    promoted_elsewhere.reported_leadership = Some((2, position::LogPosition::new(1, 59)));
    let databases = [
        database("x", None),
        database("r1", Some(59)),
        promoted_elsewhere.clone(),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("adopt r2"));
    // A database that led in the replaced term or an earlier one is not adopted.
    promoted_elsewhere.reported_leadership = Some((1, position::LogPosition::new(1, 59)));
    let databases = [
        database("x", None),
        database("r1", Some(59)),
        promoted_elsewhere,
    ];
    assert_eq!(chosen_successor(&databases), None);
}

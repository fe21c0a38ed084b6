//! Leases on leadership and the choice of a successor.
//!
//! The seeded schedules lose, delay and reorder heartbeats, cut VMs off from the
//! store and have one of them replace the leader at any moment. No VM may rely
//! on the old leader once another database has been named.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::lease;
use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;

const VMS: usize = 5;
const STEP: Duration = Duration::from_millis(10);
const BEAT_STEPS: u32 = 40;

#[derive(Clone)]
struct Beat {
    sequence: u64,
    echoes: Vec<u64>,
    /// For each receiver: its latest heartbeat that the sender had before its own
    /// confirmation.
    confirmed: Vec<Option<u64>>,
    revision: u64,
    is_claiming: bool,
}

struct SimulatedVm {
    keeper: lease::LeaseTracker,
    revision: u64,
    received: Vec<(u64, Option<Beat>)>,
    /// When heartbeats came, by sender.
    arrivals: Vec<Vec<(u64, Instant)>>,
    is_claiming: bool,
    has_store: bool,
    sequence: u64,
}

struct Schedule {
    random: rand::rngs::StdRng,
    vms: Vec<SimulatedVm>,
    messages: Vec<(Instant, usize, usize, Beat)>,
    store_revision: u64,
    loss: f64,
    cut: Option<usize>,
    exchange: Exchange,
}

/// How leases are confirmed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Exchange {
    /// All VMs vouch.
    Full,
    /// Some read the store and pass the confirmation on, also at second hand.
    Relayed,
}

fn vm_name(index: usize) -> String {
    format!("vm-{index}")
}

impl Schedule {
    fn new(seed: u64, exchange: Exchange, now: Instant) -> Self {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let loss = random.random_range(0.0..0.5);
        let cut = random.random_bool(0.5).then(|| random.random_range(0..VMS));
        let vm = |own: usize| {
            let mut keeper = lease::LeaseTracker::default();
            let others = (0..VMS).filter(|other| *other != own).map(vm_name);
            if exchange == Exchange::Full {
                keeper.record_members(now, others.collect());
            }
            SimulatedVm {
                keeper,
                revision: 0,
                received: vec![(0, None); VMS],
                arrivals: vec![Vec::new(); VMS],
                is_claiming: false,
                has_store: match exchange {
                    Exchange::Full => random.random_bool(0.7),
                    Exchange::Relayed => own == 0,
                },
                sequence: 0,
            }
        };
        Self {
            vms: (0..VMS).map(vm).collect(),
            messages: Vec::new(),
            store_revision: 0,
            loss,
            cut,
            exchange,
            random,
        }
    }

    fn send_beats(&mut self, from: usize, now: Instant) {
        let vm = &mut self.vms[from];
        vm.sequence += 1;
        vm.keeper.record_sent_heartbeat(vm.sequence, now);
        let beat = Beat {
            sequence: vm.sequence,
            echoes: vm.received.iter().map(|(sequence, _)| *sequence).collect(),
            confirmed: vm
                .arrivals
                .iter()
                .map(|of_one| latest_confirmed(vm, of_one))
                .collect(),
            revision: vm.revision,
            is_claiming: vm.is_claiming,
        };
        for to in (0..VMS).filter(|to| *to != from) {
            let is_cut = self.cut == Some(from) || self.cut == Some(to);
            if is_cut || self.random.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(1..600));
            self.messages.push((now + delay, from, to, beat.clone()));
        }
    }

    fn deliver(&mut self, now: Instant) {
        let due = |(at, ..): &mut (Instant, usize, usize, Beat)| *at <= now;
        let messages: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, from, to, beat) in messages {
            let vm = &mut self.vms[to];
            if beat.sequence <= vm.received[from].0 {
                continue;
            }
            vm.revision = vm.revision.max(beat.revision);
            vm.keeper.record_revision(vm.revision);
            let vouch = lease::LeaseConfirmation {
                incarnation: 1,
                echoed_sequence: beat.echoes[to],
                revision: beat.revision,
                is_claiming: beat.is_claiming,
            };
            vm.keeper.record_confirmation(&vm_name(from), vouch);
            if self.exchange == Exchange::Relayed
                && let Some(sequence) = beat.confirmed[to]
            {
                vm.keeper
                    .record_relayed_confirmation(sequence, beat.revision);
            }
            vm.arrivals[from].push((beat.sequence, now));
            vm.received[from] = (beat.sequence, Some(beat));
        }
    }

    /// Reads the store as a VM does whose lease is about to end. The answer may
    /// take a while; it shows the table as it was when it was asked for.
    fn read_store(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        let is_needed = vm
            .keeper
            .valid_until()
            .is_none_or(|until| until < now + Duration::from_millis(600));
        if vm.has_store && is_needed {
            vm.revision = vm.revision.max(self.store_revision);
            vm.keeper
                .record_store_confirmation(now, self.store_revision);
        }
    }

    fn have_all_seen(&self, claimer: usize) -> bool {
        (0..VMS).filter(|index| *index != claimer).all(|index| {
            let (_, beat) = &self.vms[claimer].received[index];
            beat.as_ref()
                .is_some_and(|beat| beat.revision >= self.store_revision && !beat.is_claiming)
        })
    }

    /// Returns the VMs that rely on the table from before the replacement.
    fn relying(&self, now: Instant) -> usize {
        let relies = |vm: &&SimulatedVm| {
            vm.revision == 0 && vm.keeper.valid_until().is_some_and(|until| until > now)
        };
        self.vms.iter().filter(relies).count()
    }
}

fn latest_confirmed(vm: &SimulatedVm, arrivals: &[(u64, Instant)]) -> Option<u64> {
    let confirmed = vm.keeper.store_confirmed_at()?;
    let mut arrivals = arrivals.iter().rev();
    let found = arrivals.find(|(_, arrived)| *arrived <= confirmed);
    found.map(|(sequence, _)| *sequence)
}

/// Plays one schedule; returns how often the old leader could be relied on
/// before it was replaced.
fn play(seed: u64, exchange: Exchange) -> usize {
    let start = Instant::now();
    let mut schedule = Schedule::new(seed, exchange, start);
    let claimer = schedule.random.random_range(0..VMS);
    schedule.vms[claimer].has_store = true;
    let claim_step = schedule.random.random_range(100..400);
    let mut claimed = None;
    let mut relied = 0;
    for step in 0..900_u32 {
        let now = start + STEP * step;
        schedule.deliver(now);
        if step == claim_step {
            schedule.vms[claimer].is_claiming = true;
            schedule.store_revision = 1;
            let vm = &mut schedule.vms[claimer];
            vm.revision = 1;
            vm.keeper.record_revision(1);
            claimed = Some(now);
        }
        for index in 0..VMS {
            if (step + index as u32 * 7).is_multiple_of(BEAT_STEPS) {
                schedule.send_beats(index, now);
            }
            if step.is_multiple_of(25) {
                schedule.read_store(index, now);
            }
        }
        let Some(claimed) = claimed else {
            relied += schedule.relying(now);
            continue;
        };
        if now >= lease::leases_expire_at(claimed, claimed) || schedule.have_all_seen(claimer) {
            assert_eq!(schedule.relying(now), 0, "seed {seed}");
            return relied;
        }
    }
    panic!("seed {seed}: the leader was never replaced");
}

#[test]
fn nobody_relies_on_a_leader_once_another_is_named() {
    let relied: usize = (0..2_000).map(|seed| play(seed, Exchange::Full)).sum();
    // The schedules prove nothing if nobody ever holds a lease.
    assert!(relied > 100_000, "{relied}");
}

#[test]
fn nobody_relies_on_a_leader_by_hearsay_once_another_is_named() {
    let relied: usize = (0..2_000).map(|seed| play(seed, Exchange::Relayed)).sum();
    assert!(relied > 100_000, "{relied}");
}

#[test]
fn a_confirmation_at_second_hand_is_dated_by_the_heartbeat_it_answers() {
    let start = Instant::now();
    let mut keeper = lease::LeaseTracker::default();
    keeper.record_sent_heartbeat(1, start);
    keeper.record_sent_heartbeat(2, start + Duration::from_millis(400));
    keeper.record_relayed_confirmation(1, 0);
    assert_eq!(keeper.valid_until(), Some(start + lease::LEASE_DURATION));
    // Heartbeats that are forgotten or were never sent confirm nothing.
    keeper.record_relayed_confirmation(99, 0);
    assert_eq!(keeper.valid_until(), Some(start + lease::LEASE_DURATION));
    // A later table than this VM's has not been confirmed for it.
    keeper.record_relayed_confirmation(2, 1);
    assert_eq!(keeper.valid_until(), Some(start + lease::LEASE_DURATION));
}

#[test]
fn a_member_that_is_silent_ends_the_lease_of_all() {
    let start = Instant::now();
    let mut keeper = lease::LeaseTracker::default();
    keeper.record_members(start, vec![vm_name(1), vm_name(2)]);
    keeper.record_sent_heartbeat(1, start);
    let vouch = lease::LeaseConfirmation {
        incarnation: 1,
        echoed_sequence: 1,
        revision: 0,
        is_claiming: false,
    };
    keeper.record_confirmation(&vm_name(1), vouch);
    assert_eq!(keeper.valid_until(), None);
    keeper.record_confirmation(&vm_name(2), vouch);
    assert_eq!(keeper.valid_until(), Some(start + lease::LEASE_DURATION));
    // A member that begins a replacement takes its word back.
    let claiming = lease::LeaseConfirmation {
        is_claiming: true,
        ..vouch
    };
    keeper.record_confirmation(&vm_name(2), claiming);
    assert_eq!(keeper.valid_until(), None);
}

#[test]
fn a_member_that_started_anew_with_its_clock_set_back_vouches() {
    let start = Instant::now();
    let mut keeper = lease::LeaseTracker::default();
    keeper.record_members(start, vec!["b".to_owned()]);
    let vouch = |incarnation, echoed_sequence| lease::LeaseConfirmation {
        incarnation,
        echoed_sequence,
        revision: 0,
        is_claiming: false,
    };
    keeper.record_sent_heartbeat(1, start);
    keeper.record_confirmation("b", vouch(900, 1));
    let later = start + Duration::from_secs(1);
    keeper.record_sent_heartbeat(2, later);
    // It has been killed; its new incarnation was drawn from an earlier time of day.
    keeper.record_confirmation("b", vouch(300, 2));
    assert_eq!(keeper.valid_until(), Some(later + lease::LEASE_DURATION));
    // What comes late of the former one takes nothing back.
    keeper.record_confirmation("b", vouch(900, 1));
    assert_eq!(keeper.valid_until(), Some(later + lease::LEASE_DURATION));
}

#[test]
fn a_list_of_members_that_is_not_renewed_ends_the_lease() {
    let start = Instant::now();
    let mut keeper = lease::LeaseTracker::default();
    keeper.record_members(start, vec![vm_name(1)]);
    let late = start + lease::JOIN_DELAY - Duration::from_millis(100);
    keeper.record_sent_heartbeat(9, late);
    let vouch = lease::LeaseConfirmation {
        incarnation: 1,
        echoed_sequence: 9,
        revision: 0,
        is_claiming: false,
    };
    keeper.record_confirmation(&vm_name(1), vouch);
    assert_eq!(keeper.valid_until(), Some(start + lease::JOIN_DELAY));
}

#[test]
fn a_lone_vm_relies_on_the_store_only() {
    let start = Instant::now();
    let mut keeper = lease::LeaseTracker::default();
    keeper.record_members(start, Vec::new());
    assert_eq!(keeper.valid_until(), None);
    keeper.record_store_confirmation(start, 0);
    assert_eq!(keeper.valid_until(), Some(start + lease::LEASE_DURATION));
}

fn member(id: &str, fenced_position: Option<u64>) -> successor::MemberEvidence {
    successor::MemberEvidence {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        is_leader: id == "x",
        is_draining: false,
        fenced_position: fenced_position.map(|offset| position::LogPosition::new(1, offset)),
        reported_leadership: None,
        earlier_position: None,
    }
}

fn promoted(members: &[successor::MemberEvidence]) -> Option<String> {
    match successor::choose_successor(members, 1) {
        successor::SuccessorChoice::Promote { id, .. } => Some(id.to_string()),
        successor::SuccessorChoice::Adopt { id, .. } => Some(format!("adopt {id}")),
        successor::SuccessorChoice::Wait => None,
    }
}

#[test]
fn without_the_leader_every_replica_must_have_been_held_back() {
    let members = [
        member("x", None),
        member("r1", Some(40)),
        member("r2", None),
    ];
    assert_eq!(promoted(&members), None);
    let members = [
        member("x", None),
        member("r1", Some(40)),
        member("r2", Some(41)),
    ];
    assert_eq!(promoted(&members).as_deref(), Some("r2"));
}

#[test]
fn a_replica_that_has_all_of_a_stopped_leader_s_log_suffices() {
    let members = [
        member("x", Some(41)),
        member("r1", Some(41)),
        member("r2", None),
    ];
    assert_eq!(promoted(&members).as_deref(), Some("r1"));
    // The leader has more than the one replica that was heard.
    let members = [
        member("x", Some(42)),
        member("r1", Some(41)),
        member("r2", None),
    ];
    assert_eq!(promoted(&members).as_deref(), Some("x"));
}

#[test]
fn a_leader_that_comes_back_under_another_identity_is_told_to_step_down() {
    let mut reborn = member("x2", None);
    reborn.reported_leadership = Some((1, position::LogPosition::new(1, 41)));
    let members = [
        member("x", None),
        member("r1", Some(41)),
        member("r2", Some(41)),
        reborn.clone(),
    ];
    assert_eq!(promoted(&members), None);
    let orders = members.each_ref().map(|one| successor::fence_order(one, 1));
    let (step_down, pause) = (
        successor::FenceOrder::StepDown,
        successor::FenceOrder::Pause,
    );
    assert_eq!(orders, [step_down, pause, pause, step_down]);
    // Once it has stopped, nothing can be missing.
    reborn.fenced_position = Some(position::LogPosition::new(1, 41));
    let members = [
        members[0].clone(),
        members[1].clone(),
        members[2].clone(),
        reborn,
    ];
    assert!(promoted(&members).is_some());
    // It is the old leader itself, so a replica that is down is not waited for.
    let silent = member("r2", None);
    let members = [
        members[0].clone(),
        members[1].clone(),
        silent,
        members[3].clone(),
    ];
    assert!(promoted(&members).is_some());
    // One that was named since, in a later term, is left alone.
    let mut named = member("r3", None);
    named.reported_leadership = Some((2, position::LogPosition::new(1, 41)));
    assert_eq!(successor::fence_order(&named, 1), pause);
}

#[test]
fn a_leaving_replica_counts_and_is_chosen_last() {
    let mut leaving = member("r2", Some(41));
    leaving.is_draining = true;
    let members = [member("x", None), member("r1", Some(41)), leaving.clone()];
    assert_eq!(promoted(&members).as_deref(), Some("r1"));
    let members = [member("x", None), member("r1", Some(40)), leaving];
    assert_eq!(promoted(&members).as_deref(), Some("r2"));
}

#[test]
fn a_leaving_replica_that_answers_first_is_chosen_only_if_none_stays() {
    let mut leader = member("x", Some(41));
    leader.is_draining = true;
    let mut leaving = member("r1", Some(41));
    leaving.is_draining = true;
    let silent = member("r2", None);
    let members = [leader.clone(), leaving.clone(), silent];
    let choice = successor::choose_successor(&members, 1);
    assert!(
        matches!(&choice, successor::SuccessorChoice::Promote { id, .. } if id.as_str() == "r1")
    );
    assert!(successor::should_defer(&choice, &members));
    // It has answered and lacks nothing.
    let members = [leader.clone(), leaving.clone(), member("r2", Some(41))];
    let choice = successor::choose_successor(&members, 1);
    assert!(!successor::should_defer(&choice, &members));
    // There is no other.
    let members = [leader, leaving];
    let choice = successor::choose_successor(&members, 1);
    assert!(!successor::should_defer(&choice, &members));
}

#[test]
fn no_acknowledged_commit_is_lost_whatever_is_known() {
    // A commit is acknowledged once the leader and one replica hold it.
    let mut random = rand::rngs::StdRng::seed_from_u64(7);
    let mut chosen = 0;
    for _ in 0..20_000 {
        let ends: Vec<u64> = (0..3).map(|_| random.random_range(0..6)).collect();
        let leader_end = ends[0].max(ends[1]).max(ends[2]);
        let acknowledged = ends[1].max(ends[2]);
        let ends = [leader_end, ends[1], ends[2]];
        let mut known = |end: u64| random.random_bool(0.6).then_some(end);
        let members = [
            member("x", known(ends[0])),
            member("r1", known(ends[1])),
            member("r2", known(ends[2])),
        ];
        if let successor::SuccessorChoice::Promote { position, .. } =
            successor::choose_successor(&members, 1)
        {
            chosen += 1;
            assert!(position.offset >= acknowledged, "{members:?}");
        }
    }
    assert!(chosen > 1_000);
}

#[test]
fn a_database_that_another_vm_has_named_is_adopted() {
    let mut named = member("r2", None);
    named.reported_leadership = Some((2, position::LogPosition::new(1, 59)));
    let members = [member("x", None), member("r1", Some(59)), named.clone()];
    assert_eq!(promoted(&members).as_deref(), Some("adopt r2"));
    // One that led before the leader was named is no successor of it.
    named.reported_leadership = Some((1, position::LogPosition::new(1, 59)));
    let members = [member("x", None), member("r1", Some(59)), named];
    assert_eq!(promoted(&members), None);
}

//! Tests of promoters against a simulated replication group with seeded random faults.
//!
//! The environment variable `BLUEBELLFERRY_SEEDS` sets the number of seeds; the default is
//! 200.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::event;
use bluebellferry_promotion::observation;
use bluebellferry_promotion::promoter;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DATABASES: usize = 3;
const VMS: usize = 3;
/// The simulated time that passes in one step.
const STEP: Duration = Duration::from_millis(5);
/// How long faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(12);
/// How long the simulation runs on without new faults.
const RECOVERY_PHASE: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogEntry {
    term: u64,
    write: u64,
}

#[derive(Debug, Clone)]
struct SimulatedDatabase {
    promised_term: u64,
    /// The VM that claimed `promised_term`; `None` if another member announced the term.
    promised_to: Option<usize>,
    is_primary: bool,
    /// The term in which this database is, or last was, primary.
    leader_term: u64,
    log: Vec<LogEntry>,
    /// For each database: how many entries of this database's log it is known to have since this
    /// database became primary.
    replicated_lengths: [usize; DATABASES],
    committed_length: usize,
    /// When this database last received a message from a primary.
    primary_heard_at: Option<Instant>,
    /// For each peer: when it last answered this database since this database became primary.
    peer_answered_at: [Option<Instant>; DATABASES],
    stopped_until: Option<Instant>,
    /// The end of the time in which the database runs, but nothing can reach it.
    isolated_until: Option<Instant>,
}

impl SimulatedDatabase {
    fn position(&self) -> position::LogPosition {
        let term = self.log.last().map_or(0, |entry| entry.term);
        position::LogPosition::new(term, self.log.len() as u64)
    }

    fn accepts_writes(&self) -> bool {
        self.is_primary && self.leader_term == self.promised_term
    }

    fn status(&self, now: Instant) -> observation::GroupDatabaseStatus {
        observation::GroupDatabaseStatus {
            accepts_writes: self.accepts_writes(),
            majority_contact_age: self
                .peer_answered_at
                .iter()
                .flatten()
                .max()
                .map(|at| now - *at),
            promised_term: self.promised_term,
            log_position: self.position(),
            is_draining: false,
            open_transactions: 0,
            primary_contact_age: self
                .primary_heard_at
                .filter(|_| !self.is_primary)
                .map(|heard_at| now - heard_at),
        }
    }

    fn promise(&mut self, term: u64, to: Option<usize>) {
        if term > self.promised_term {
            self.promised_term = term;
            self.promised_to = to;
            self.is_primary = false;
        }
    }

    fn append(&mut self, own_index: usize, write: u64) {
        self.log.push(LogEntry {
            term: self.leader_term,
            write,
        });
        self.replicated_lengths[own_index] = self.log.len();
    }

    fn is_stopped(&self, now: Instant) -> bool {
        self.stopped_until.is_some_and(|until| until > now)
    }

    fn is_unreachable(&self, now: Instant) -> bool {
        self.is_stopped(now) || self.isolated_until.is_some_and(|until| until > now)
    }
}

#[derive(Debug)]
enum Delivery {
    /// A request from a VM to a database or the store.
    Call {
        vm: usize,
        action: event::PromotionAction,
    },
    /// The answer to a request of a VM.
    Answer {
        vm: usize,
        event: event::PromotionEvent,
    },
}

struct Simulation {
    now: Instant,
    rng: SmallRng,
    databases: Vec<SimulatedDatabase>,
    vms: Vec<promoter::ServicePromoter>,
    vm_suspended_until: Vec<Option<Instant>>,
    /// The highest term claimed in the store.
    store_term: u64,
    store_unavailable_until: Option<Instant>,
    /// Messages in flight, by arrival time and sequence number.
    deliveries: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    next_write: u64,
    acknowledged: Vec<u64>,
    /// The primary of each term.
    primaries: BTreeMap<u64, usize>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let new_database = |index: usize| SimulatedDatabase {
            promised_term: 1,
            promised_to: None,
            is_primary: index == 0,
            leader_term: u64::from(index == 0),
            log: Vec::new(),
            replicated_lengths: [0; DATABASES],
            committed_length: 0,
            primary_heard_at: None,
            peer_answered_at: [None; DATABASES],
            stopped_until: None,
            isolated_until: None,
        };
        let vm = |index: usize| {
            let settings = promoter::PromoterSettings::new(&format!("vm-{index}"), DATABASES);
            promoter::ServicePromoter::new(settings, now)
        };
        Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            databases: (0..DATABASES).map(new_database).collect(),
            vms: (0..VMS).map(vm).collect(),
            vm_suspended_until: vec![None; VMS],
            store_term: 1,
            store_unavailable_until: None,
            deliveries: BTreeMap::new(),
            sequence: 0,
            next_write: 1,
            acknowledged: Vec::new(),
            primaries: BTreeMap::from([(1, 0)]),
        }
    }

    fn run(&mut self) {
        let recovery_start = self.now + FAULT_PHASE;
        let end = recovery_start + RECOVERY_PHASE;
        let mut step = 0_u64;
        while self.now < end {
            if self.now < recovery_start && step.is_multiple_of(60) {
                self.inject_fault();
            }
            self.deliver();
            self.replicate();
            self.write();
            if step.is_multiple_of(20) {
                self.probe();
            }
            self.tick();
            self.check_single_primary();
            self.now += STEP;
            step += 1;
        }
    }

    fn inject_fault(&mut self) {
        let until = self.now + Duration::from_millis(self.rng.random_range(100..4_000));
        let database_index = self.rng.random_range(0..DATABASES);
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..8) {
            0 | 1 => self.databases[database_index].stopped_until = Some(until),
            2 | 3 => self.databases[database_index].isolated_until = Some(until),
            4 => self.vm_suspended_until[vm] = Some(until),
            5 => self.store_unavailable_until = Some(until),
            _ => {}
        }
    }

    fn send(&mut self, delivery: Delivery) {
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        self.sequence += 1;
        self.deliveries
            .insert((self.now + delay, self.sequence), delivery);
    }

    fn deliver(&mut self) {
        while let Some(((due, _), _)) = self.deliveries.first_key_value() {
            if *due > self.now {
                return;
            }
            let Some((_, delivery)) = self.deliveries.pop_first() else {
                return;
            };
            match delivery {
                Delivery::Call { vm, action } => self.execute(vm, action),
                // Answers to a suspended VM are delivered once it resumes.
                Delivery::Answer { vm, event } if self.is_suspended(vm) => {
                    self.send(Delivery::Answer { vm, event });
                }
                Delivery::Answer { vm, event } => self.handle(vm, event),
            }
        }
    }

    fn is_suspended(&self, vm: usize) -> bool {
        self.vm_suspended_until[vm].is_some_and(|until| until > self.now)
    }

    fn handle(&mut self, vm: usize, event: event::PromotionEvent) {
        for action in self.vms[vm].handle_event(self.now, event) {
            self.send(Delivery::Call { vm, action });
        }
    }

    fn execute(&mut self, vm: usize, action: event::PromotionAction) {
        let now = self.now;
        let event = match action {
            event::PromotionAction::Claim { term } => {
                let is_unavailable = self
                    .store_unavailable_until
                    .is_some_and(|until| until > now);
                let outcome = if is_unavailable {
                    event::ClaimOutcome::StoreUnavailable
                } else if self.store_term >= term {
                    event::ClaimOutcome::Lost {
                        term: self.store_term,
                    }
                } else {
                    self.store_term = term;
                    event::ClaimOutcome::Won
                };
                event::PromotionEvent::ClaimAnswered { term, outcome }
            }
            event::PromotionAction::Fence {
                database_index,
                term,
            } => {
                let state = &mut self.databases[database_index];
                let mut status = None;
                if !state.is_unreachable(now) {
                    state.promise(term, Some(vm));
                    let is_granted = state.promised_term == term && state.promised_to == Some(vm);
                    status = is_granted.then(|| state.status(now));
                }
                event::PromotionEvent::FenceAnswered {
                    database_index,
                    term,
                    status,
                }
            }
            event::PromotionAction::Promote {
                database_index,
                term,
            } => {
                let state = &mut self.databases[database_index];
                let is_granted = state.promised_term == term && state.promised_to == Some(vm);
                let is_primary = is_granted && !state.is_unreachable(now);
                if is_primary && !state.is_primary {
                    state.is_primary = true;
                    state.leader_term = term;
                    state.replicated_lengths = [0; DATABASES];
                    state.peer_answered_at = [None; DATABASES];
                    state.append(database_index, 0);
                }
                event::PromotionEvent::PromoteAnswered { term, is_primary }
            }
            event::PromotionAction::Publish { term, .. } => {
                event::PromotionEvent::PublishAnswered { term }
            }
        };
        self.send(Delivery::Answer { vm, event });
    }

    /// Has every primary send its whole log to every peer that it reaches.
    fn replicate(&mut self) {
        let now = self.now;
        for primary in 0..DATABASES {
            if !self.databases[primary].is_primary || self.databases[primary].is_unreachable(now) {
                continue;
            }
            for peer in (0..DATABASES).filter(|peer| *peer != primary) {
                let is_lost = self.rng.random_bool(0.2);
                if is_lost || self.databases[peer].is_unreachable(now) {
                    continue;
                }
                let (term, log) = (
                    self.databases[primary].leader_term,
                    self.databases[primary].log.clone(),
                );
                let state = &mut self.databases[peer];
                if term < state.promised_term {
                    let newer = state.promised_term;
                    self.databases[primary].promise(newer, None);
                    break;
                }
                state.promise(term, None);
                state.is_primary = false;
                state.primary_heard_at = Some(now);
                state.log = log;
                let length = state.log.len();
                self.databases[primary].replicated_lengths[peer] = length;
                self.databases[primary].peer_answered_at[peer] = Some(now);
            }
            self.commit(primary);
        }
    }

    fn commit(&mut self, primary: usize) {
        let state = &mut self.databases[primary];
        let mut replicated_lengths = state.replicated_lengths;
        replicated_lengths.sort_unstable();
        let majority_length = replicated_lengths[DATABASES / 2];
        let is_own_term =
            majority_length > 0 && state.log[majority_length - 1].term == state.leader_term;
        if state.accepts_writes() && is_own_term && majority_length > state.committed_length {
            for entry in &state.log[state.committed_length..majority_length] {
                if entry.write > 0 && entry.term == state.leader_term {
                    self.acknowledged.push(entry.write);
                }
            }
            state.committed_length = majority_length;
        }
    }

    /// Writes to every database that accepts writes, including a replaced primary.
    fn write(&mut self) {
        for database_index in 0..DATABASES {
            if self.databases[database_index].accepts_writes()
                && !self.databases[database_index].is_stopped(self.now)
            {
                let write = self.next_write;
                self.next_write += 1;
                self.databases[database_index].append(database_index, write);
            }
        }
    }

    fn probe(&mut self) {
        for vm in 0..VMS {
            for database_index in 0..DATABASES {
                let state = &self.databases[database_index];
                let event = if state.is_unreachable(self.now) {
                    event::PromotionEvent::ProbeFailed { database_index }
                } else {
                    let status = state.status(self.now);
                    event::PromotionEvent::ProbeAnswered {
                        database_index,
                        sent_at: self.now,
                        status,
                    }
                };
                self.send(Delivery::Answer { vm, event });
            }
        }
    }

    fn tick(&mut self) {
        for vm in 0..VMS {
            if !self.is_suspended(vm) {
                self.handle(vm, event::PromotionEvent::Tick { rank: vm });
            }
        }
    }

    /// Checks that no term has two primaries.
    fn check_single_primary(&mut self) {
        for (index, database) in self.databases.iter().enumerate() {
            if database.is_primary {
                let first_primary = *self.primaries.entry(database.leader_term).or_insert(index);
                assert_eq!(
                    first_primary, index,
                    "two primaries in term {}",
                    database.leader_term
                );
            }
        }
    }
}

fn seeds() -> u64 {
    let configured = std::env::var("BLUEBELLFERRY_SEEDS").ok();
    configured
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(200)
}

#[test]
fn acknowledged_writes_survive_random_faults() {
    let (mut promotions, mut writes) = (0, 0);
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        let primary = simulation
            .databases
            .iter()
            .find(|database| database.accepts_writes());
        let primary =
            primary.unwrap_or_else(|| panic!("seed {seed}: no primary after the faults ended"));
        let kept: std::collections::BTreeSet<u64> =
            primary.log.iter().map(|entry| entry.write).collect();
        for write in &simulation.acknowledged {
            assert!(
                kept.contains(write),
                "seed {seed}: acknowledged write {write} is lost"
            );
        }
        let count = primary.log.iter().filter(|entry| entry.write > 0).count();
        assert_eq!(
            kept.len(),
            count + usize::from(kept.contains(&0)),
            "seed {seed}: the log has a write twice"
        );
        promotions += simulation.primaries.len() - 1;
        writes += simulation.acknowledged.len();
    }
    assert!(promotions > 0, "no simulation led to a promotion");
    println!(
        "{} schedules, {promotions} promotions, {writes} acknowledged writes",
        seeds()
    );
}

#[test]
fn primary_in_contact_with_its_replicas_is_not_replaced() {
    let now = Instant::now();
    let settings = promoter::PromoterSettings::new("vm", DATABASES);
    let mut vm = promoter::ServicePromoter::new(settings, now);
    let status = observation::GroupDatabaseStatus {
        accepts_writes: false,
        majority_contact_age: None,
        promised_term: 1,
        log_position: position::LogPosition::new(1, 5),
        is_draining: false,
        open_transactions: 0,
        primary_contact_age: Some(Duration::from_millis(20)),
    };
    for step in 0..100 {
        let now = now + Duration::from_millis(100 * step);
        vm.handle_event(
            now,
            event::PromotionEvent::ProbeFailed { database_index: 0 },
        );
        for database_index in 1..DATABASES {
            let event = event::PromotionEvent::ProbeAnswered {
                database_index,
                sent_at: now,
                status,
            };
            vm.handle_event(now, event);
        }
        let actions = vm.handle_event(now, event::PromotionEvent::Tick { rank: 0 });
        assert!(
            actions.is_empty(),
            "a VM that merely cannot reach the primary acted"
        );
    }
}

#[test]
fn promoter_resumed_after_losing_its_claim_does_nothing() {
    let start = Instant::now();
    let settings = promoter::PromoterSettings::new("vm", DATABASES);
    let mut vm = promoter::ServicePromoter::new(settings, start);
    let status = |term| observation::GroupDatabaseStatus {
        accepts_writes: false,
        majority_contact_age: None,
        promised_term: term,
        log_position: position::LogPosition::new(1, 5),
        is_draining: false,
        open_transactions: 0,
        primary_contact_age: Some(Duration::from_secs(5)),
    };
    for database_index in 1..DATABASES {
        let event = event::PromotionEvent::ProbeAnswered {
            database_index,
            sent_at: start,
            status: status(1),
        };
        vm.handle_event(start, event);
    }
    let due = start + Duration::from_secs(1);
    let claim = vm.handle_event(due, event::PromotionEvent::Tick { rank: 0 });
    assert_eq!(
        claim.as_slice(),
        [event::PromotionAction::Claim { term: 2 }]
    );
    // The VM was suspended for ten seconds, while another VM claimed term 2.
    let resumed = due + Duration::from_secs(10);
    let lost = event::ClaimOutcome::Lost { term: 2 };
    let event = event::PromotionEvent::ClaimAnswered {
        term: 2,
        outcome: lost,
    };
    assert!(vm.handle_event(resumed, event).is_empty());
    let event = event::PromotionEvent::FenceAnswered {
        database_index: 1,
        term: 2,
        status: Some(status(2)),
    };
    assert!(vm.handle_event(resumed, event).is_empty());
    assert_eq!(vm.step(), promoter::PromotionStep::Watching);
}

#[test]
fn draining_primary_is_replaced_after_its_transactions_have_ended() {
    let start = Instant::now();
    let settings = promoter::PromoterSettings::new("vm", DATABASES);
    let mut vm = promoter::ServicePromoter::new(settings, start);
    let status = |database_index: usize, open_transactions| observation::GroupDatabaseStatus {
        accepts_writes: database_index == 0,
        majority_contact_age: (database_index == 0).then_some(Duration::ZERO),
        promised_term: 1,
        log_position: position::LogPosition::new(1, 5),
        is_draining: database_index == 0,
        open_transactions,
        primary_contact_age: (database_index > 0).then_some(Duration::ZERO),
    };
    let mut claim_step = None;
    for step in 0..40 {
        let now = start + Duration::from_millis(50 * step);
        let open_transactions = u64::from(step < 20);
        for database_index in 0..DATABASES {
            let status = status(database_index, open_transactions);
            vm.handle_event(
                now,
                event::PromotionEvent::ProbeAnswered {
                    database_index,
                    sent_at: now,
                    status,
                },
            );
        }
        let actions = vm.handle_event(now, event::PromotionEvent::Tick { rank: 0 });
        if !actions.is_empty() && claim_step.is_none() {
            claim_step = Some(step);
            assert_eq!(
                actions.as_slice(),
                [event::PromotionAction::Claim { term: 2 }]
            );
            let won = event::ClaimOutcome::Won;
            let event = event::PromotionEvent::ClaimAnswered {
                term: 2,
                outcome: won,
            };
            assert_eq!(vm.handle_event(now, event).len(), DATABASES);
            let mut actions = promoter::PromotionActions::new();
            for database_index in 0..DATABASES {
                let status = Some(status(database_index, 0));
                let event = event::PromotionEvent::FenceAnswered {
                    database_index,
                    term: 2,
                    status,
                };
                actions.extend(vm.handle_event(now, event));
            }
            let promoted = matches!(
                actions.as_slice(),
                [event::PromotionAction::Promote {
                    database_index: 1 | 2,
                    term: 2
                }]
            );
            assert!(promoted, "{actions:?}");
        }
    }
    assert_eq!(
        claim_step,
        Some(20),
        "the promoter did not wait for the open transaction to end"
    );
}

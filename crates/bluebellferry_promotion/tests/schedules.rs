//! Promoters against a small model of a group, under seeded faults.
//!
//! The number of seeds is 200, or what `BLUEBELLFERRY_SEEDS` says.

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

const MEMBERS: usize = 3;
const VMS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const FAULTY: Duration = Duration::from_secs(12);
const HEALED: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    term: u64,
    write: u64,
}

#[derive(Debug, Clone)]
struct Member {
    promised: u64,
    promised_to: Option<usize>,
    primary: bool,
    own_term: u64,
    log: Vec<Entry>,
    held: [usize; MEMBERS],
    committed: usize,
    heard: Option<Instant>,
    contacts: [Option<Instant>; MEMBERS],
    stopped_until: Option<Instant>,
    alone_until: Option<Instant>,
}

impl Member {
    fn position(&self) -> position::LogPosition {
        let term = self.log.last().map_or(0, |entry| entry.term);
        position::LogPosition::new(term, self.log.len() as u64)
    }

    fn accepts_writes(&self) -> bool {
        self.primary && self.own_term == self.promised
    }

    fn status(&self, now: Instant) -> observation::MemberStatus {
        observation::MemberStatus {
            accepts_writes: self.accepts_writes(),
            majority_contact_age: self.contacts.iter().flatten().max().map(|at| now - *at),
            promised_term: self.promised,
            log_position: self.position(),
            is_draining: false,
            open_transactions: 0,
            primary_contact_age: self
                .heard
                .filter(|_| !self.primary)
                .map(|heard| now - heard),
        }
    }

    fn promise(&mut self, term: u64, to: Option<usize>) {
        if term > self.promised {
            self.promised = term;
            self.promised_to = to;
            self.primary = false;
        }
    }

    fn append(&mut self, own: usize, write: u64) {
        self.log.push(Entry {
            term: self.own_term,
            write,
        });
        self.held[own] = self.log.len();
    }

    fn is_stopped(&self, now: Instant) -> bool {
        self.stopped_until.is_some_and(|until| until > now)
    }

    fn is_alone(&self, now: Instant) -> bool {
        self.is_stopped(now) || self.alone_until.is_some_and(|until| until > now)
    }
}

#[derive(Debug)]
enum Delivery {
    Call {
        vm: usize,
        action: event::PromotionAction,
    },
    Answer {
        vm: usize,
        event: event::PromotionEvent,
    },
}

struct Model {
    now: Instant,
    random: SmallRng,
    members: Vec<Member>,
    vms: Vec<promoter::ServicePromoter>,
    vm_frozen_until: Vec<Option<Instant>>,
    store_term: u64,
    store_out_until: Option<Instant>,
    deliveries: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    next_write: u64,
    acknowledged: Vec<u64>,
    primaries: BTreeMap<u64, usize>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let member = |index: usize| Member {
            promised: 1,
            promised_to: None,
            primary: index == 0,
            own_term: u64::from(index == 0),
            log: Vec::new(),
            held: [0; MEMBERS],
            committed: 0,
            heard: None,
            contacts: [None; MEMBERS],
            stopped_until: None,
            alone_until: None,
        };
        let vm = |index: usize| {
            let settings = promoter::PromoterSettings::new(&format!("vm-{index}"), MEMBERS);
            promoter::ServicePromoter::new(settings, now)
        };
        Self {
            now,
            random: SmallRng::seed_from_u64(seed),
            members: (0..MEMBERS).map(member).collect(),
            vms: (0..VMS).map(vm).collect(),
            vm_frozen_until: vec![None; VMS],
            store_term: 1,
            store_out_until: None,
            deliveries: BTreeMap::new(),
            sequence: 0,
            next_write: 1,
            acknowledged: Vec::new(),
            primaries: BTreeMap::from([(1, 0)]),
        }
    }

    fn run(&mut self) {
        let healed_from = self.now + FAULTY;
        let end = healed_from + HEALED;
        let mut step = 0_u64;
        while self.now < end {
            if self.now < healed_from && step.is_multiple_of(60) {
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
        let until = self.now + Duration::from_millis(self.random.random_range(100..4_000));
        let member = self.random.random_range(0..MEMBERS);
        let vm = self.random.random_range(0..VMS);
        match self.random.random_range(0..8) {
            0 | 1 => self.members[member].stopped_until = Some(until),
            2 | 3 => self.members[member].alone_until = Some(until),
            4 => self.vm_frozen_until[vm] = Some(until),
            5 => self.store_out_until = Some(until),
            _ => {}
        }
    }

    fn send(&mut self, delivery: Delivery) {
        let delay = Duration::from_millis(self.random.random_range(1..40));
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
                Delivery::Call { vm, action } => self.take_call(vm, action),
                // A frozen VM finds what came meanwhile when it wakes.
                Delivery::Answer { vm, event } if self.is_frozen(vm) => {
                    self.send(Delivery::Answer { vm, event });
                }
                Delivery::Answer { vm, event } => self.handle(vm, event),
            }
        }
    }

    fn is_frozen(&self, vm: usize) -> bool {
        self.vm_frozen_until[vm].is_some_and(|until| until > self.now)
    }

    fn handle(&mut self, vm: usize, event: event::PromotionEvent) {
        for action in self.vms[vm].handle(self.now, event) {
            self.send(Delivery::Call { vm, action });
        }
    }

    fn take_call(&mut self, vm: usize, action: event::PromotionAction) {
        let now = self.now;
        let event = match action {
            event::PromotionAction::Claim { term } => {
                let out = self.store_out_until.is_some_and(|until| until > now);
                let outcome = if out {
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
            event::PromotionAction::Fence { member, term } => {
                let state = &mut self.members[member];
                let mut status = None;
                if !state.is_alone(now) {
                    state.promise(term, Some(vm));
                    let granted = state.promised == term && state.promised_to == Some(vm);
                    status = granted.then(|| state.status(now));
                }
                event::PromotionEvent::FenceAnswered {
                    member,
                    term,
                    status,
                }
            }
            event::PromotionAction::Promote { member, term } => {
                let state = &mut self.members[member];
                let granted = state.promised == term && state.promised_to == Some(vm);
                let promoted = granted && !state.is_alone(now);
                if promoted && !state.primary {
                    state.primary = true;
                    state.own_term = term;
                    state.held = [0; MEMBERS];
                    state.contacts = [None; MEMBERS];
                    state.append(member, 0);
                }
                event::PromotionEvent::PromoteAnswered { term, promoted }
            }
            event::PromotionAction::Publish { term, .. } => {
                event::PromotionEvent::PublishAnswered { term }
            }
        };
        self.send(Delivery::Answer { vm, event });
    }

    /// Every primary offers its log to every peer that it reaches.
    fn replicate(&mut self) {
        let now = self.now;
        for primary in 0..MEMBERS {
            if !self.members[primary].primary || self.members[primary].is_alone(now) {
                continue;
            }
            for peer in (0..MEMBERS).filter(|peer| *peer != primary) {
                let lost = self.random.random_bool(0.2);
                if lost || self.members[peer].is_alone(now) {
                    continue;
                }
                let (term, log) = (
                    self.members[primary].own_term,
                    self.members[primary].log.clone(),
                );
                let state = &mut self.members[peer];
                if term < state.promised {
                    let newer = state.promised;
                    self.members[primary].promise(newer, None);
                    break;
                }
                state.promise(term, None);
                state.primary = false;
                state.heard = Some(now);
                state.log = log;
                let length = state.log.len();
                self.members[primary].held[peer] = length;
                self.members[primary].contacts[peer] = Some(now);
            }
            self.commit(primary);
        }
    }

    fn commit(&mut self, primary: usize) {
        let state = &mut self.members[primary];
        let mut held = state.held;
        held.sort_unstable();
        let majority = held[MEMBERS / 2];
        let own = majority > 0 && state.log[majority - 1].term == state.own_term;
        if state.accepts_writes() && own && majority > state.committed {
            for entry in &state.log[state.committed..majority] {
                if entry.write > 0 && entry.term == state.own_term {
                    self.acknowledged.push(entry.write);
                }
            }
            state.committed = majority;
        }
    }

    /// Callers write to every database that takes writes, also to a replaced one.
    fn write(&mut self) {
        for member in 0..MEMBERS {
            if self.members[member].accepts_writes() && !self.members[member].is_stopped(self.now) {
                let write = self.next_write;
                self.next_write += 1;
                self.members[member].append(member, write);
            }
        }
    }

    fn probe(&mut self) {
        for vm in 0..VMS {
            for member in 0..MEMBERS {
                let state = &self.members[member];
                let event = if state.is_alone(self.now) {
                    event::PromotionEvent::ProbeFailed { member }
                } else {
                    let status = state.status(self.now);
                    event::PromotionEvent::ProbeAnswered {
                        member,
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
            if !self.is_frozen(vm) {
                self.handle(vm, event::PromotionEvent::Tick { rank: vm });
            }
        }
    }

    fn check_single_primary(&mut self) {
        for (index, member) in self.members.iter().enumerate() {
            if member.primary {
                let known = *self.primaries.entry(member.own_term).or_insert(index);
                assert_eq!(known, index, "two primaries in term {}", member.own_term);
            }
        }
    }
}

fn seeds() -> u64 {
    let wanted = std::env::var("BLUEBELLFERRY_SEEDS").ok();
    wanted.and_then(|seeds| seeds.parse().ok()).unwrap_or(200)
}

#[test]
fn acknowledged_writes_survive_every_schedule() {
    let (mut promotions, mut writes) = (0, 0);
    for seed in 0..seeds() {
        let mut model = Model::new(seed);
        model.run();
        let primary = model.members.iter().find(|member| member.accepts_writes());
        let primary = primary.unwrap_or_else(|| panic!("seed {seed}: no primary after healing"));
        let kept: std::collections::BTreeSet<u64> =
            primary.log.iter().map(|entry| entry.write).collect();
        for write in &model.acknowledged {
            assert!(
                kept.contains(write),
                "seed {seed}: acknowledged write {write} is lost"
            );
        }
        let count = primary.log.iter().filter(|entry| entry.write > 0).count();
        assert_eq!(
            kept.len(),
            count + usize::from(kept.contains(&0)),
            "seed {seed}: doubled"
        );
        promotions += model.primaries.len() - 1;
        writes += model.acknowledged.len();
    }
    assert!(promotions > 0, "no schedule led to a promotion");
    println!(
        "{} schedules, {promotions} promotions, {writes} acknowledged writes",
        seeds()
    );
}

#[test]
fn a_primary_that_replicas_still_hear_is_left_alone() {
    let now = Instant::now();
    let settings = promoter::PromoterSettings::new("vm", MEMBERS);
    let mut vm = promoter::ServicePromoter::new(settings, now);
    let status = observation::MemberStatus {
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
        vm.handle(now, event::PromotionEvent::ProbeFailed { member: 0 });
        for member in 1..MEMBERS {
            let event = event::PromotionEvent::ProbeAnswered {
                member,
                sent_at: now,
                status,
            };
            vm.handle(now, event);
        }
        let actions = vm.handle(now, event::PromotionEvent::Tick { rank: 0 });
        assert!(
            actions.is_empty(),
            "a VM that merely cannot reach the primary acted"
        );
    }
}

#[test]
fn a_promoter_that_wakes_after_losing_its_claim_does_nothing() {
    let start = Instant::now();
    let settings = promoter::PromoterSettings::new("vm", MEMBERS);
    let mut vm = promoter::ServicePromoter::new(settings, start);
    let status = |term| observation::MemberStatus {
        accepts_writes: false,
        majority_contact_age: None,
        promised_term: term,
        log_position: position::LogPosition::new(1, 5),
        is_draining: false,
        open_transactions: 0,
        primary_contact_age: Some(Duration::from_secs(5)),
    };
    for member in 1..MEMBERS {
        let event = event::PromotionEvent::ProbeAnswered {
            member,
            sent_at: start,
            status: status(1),
        };
        vm.handle(start, event);
    }
    let due = start + Duration::from_secs(1);
    let claim = vm.handle(due, event::PromotionEvent::Tick { rank: 0 });
    assert_eq!(
        claim.as_slice(),
        [event::PromotionAction::Claim { term: 2 }]
    );
    // Frozen for ten seconds; meanwhile another VM took term 2.
    let woken = due + Duration::from_secs(10);
    let lost = event::ClaimOutcome::Lost { term: 2 };
    let event = event::PromotionEvent::ClaimAnswered {
        term: 2,
        outcome: lost,
    };
    assert!(vm.handle(woken, event).is_empty());
    let event = event::PromotionEvent::FenceAnswered {
        member: 1,
        term: 2,
        status: Some(status(2)),
    };
    assert!(vm.handle(woken, event).is_empty());
    assert_eq!(vm.step(), promoter::PromotionStep::Watching);
}

#[test]
fn a_leaving_primary_is_replaced_once_its_transactions_have_ended() {
    let start = Instant::now();
    let settings = promoter::PromoterSettings::new("vm", MEMBERS);
    let mut vm = promoter::ServicePromoter::new(settings, start);
    let status = |member: usize, open_transactions| observation::MemberStatus {
        accepts_writes: member == 0,
        majority_contact_age: (member == 0).then_some(Duration::ZERO),
        promised_term: 1,
        log_position: position::LogPosition::new(1, 5),
        is_draining: member == 0,
        open_transactions,
        primary_contact_age: (member > 0).then_some(Duration::ZERO),
    };
    let mut claimed = None;
    for step in 0..40 {
        let now = start + Duration::from_millis(50 * step);
        let open = u64::from(step < 20);
        for member in 0..MEMBERS {
            let status = status(member, open);
            vm.handle(
                now,
                event::PromotionEvent::ProbeAnswered {
                    member,
                    sent_at: now,
                    status,
                },
            );
        }
        let actions = vm.handle(now, event::PromotionEvent::Tick { rank: 0 });
        if !actions.is_empty() && claimed.is_none() {
            claimed = Some(step);
            assert_eq!(
                actions.as_slice(),
                [event::PromotionAction::Claim { term: 2 }]
            );
            let won = event::ClaimOutcome::Won;
            let event = event::PromotionEvent::ClaimAnswered {
                term: 2,
                outcome: won,
            };
            assert_eq!(vm.handle(now, event).len(), MEMBERS);
            let mut actions = promoter::PromotionActions::new();
            for member in 0..MEMBERS {
                let status = Some(status(member, 0));
                let event = event::PromotionEvent::FenceAnswered {
                    member,
                    term: 2,
                    status,
                };
                actions.extend(vm.handle(now, event));
            }
            let promoted = matches!(
                actions.as_slice(),
                [event::PromotionAction::Promote {
                    member: 1 | 2,
                    term: 2
                }]
            );
            assert!(promoted, "{actions:?}");
        }
    }
    assert_eq!(claimed, Some(20), "the open transaction was waited for");
}

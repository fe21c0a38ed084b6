//! A small limit whose callers are spread over many VMs of several data centres.
//!
//! Pattern: a workspace sends well below its rate, but so little through each VM that an
//! equal part would be a fraction of a token. One VM owns the rate and the others ask it
//! for whole tokens.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const VMS: usize = 60;
const CENTRES: usize = 6;
const STEP: Duration = Duration::from_millis(5);
/// How often a VM asks for tokens while callers wait, and otherwise.
const ASK_STEPS: u32 = 4;
const FORESIGHT_STEPS: u32 = 16;
/// From a VM to the owner in another region by way of two heads, and back.
const FAR_TRAVEL: Duration = Duration::from_millis(23);
const NEAR_TRAVEL: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ownership {
    /// Every VM has an equal part and asks all others of its data centre.
    Equal,
    /// Some VMs have equal parts, and one of them is asked each time.
    Owners(usize),
    /// All callers come in through the VM that has all.
    Single,
}

enum Message {
    Ask { amount: f64, number: u64 },
    Transfer { amount: f64, number: u64 },
}

struct Vm {
    limiter: limiter::RateLimiter,
    lending: lending::TokenRequestTracker<usize>,
    waiting: Vec<Instant>,
}

struct Fleet {
    ownership: Ownership,
    random: rand::rngs::StdRng,
    workspace: name::WorkspaceName,
    vms: Vec<Vm>,
    messages: Vec<(Instant, usize, usize, Message)>,
    arrived: u32,
    admitted: u32,
}

fn travel(from: usize, to: usize) -> Duration {
    if from % CENTRES == to % CENTRES {
        NEAR_TRAVEL
    } else {
        FAR_TRAVEL
    }
}

impl Fleet {
    fn new(ownership: Ownership, rate: f64, now: Instant) -> Self {
        let workspace = name::WorkspaceName::try_from("small").expect("a valid name");
        let vm = |index: usize| {
            let limiter = limiter::RateLimiter::default();
            let part = match ownership {
                Ownership::Equal => 1.0 / VMS as f64,
                Ownership::Owners(count) if index < count => 1.0 / count as f64,
                Ownership::Single if index == 0 => 1.0,
                Ownership::Owners(_) | Ownership::Single => 0.0,
            };
            let size = bucket::ShareSize {
                rate_per_second: rate * part,
                burst: rate * part,
            };
            let sizes = BTreeMap::from([(workspace.clone(), size)]);
            limiter.apply_sizes(&sizes, Duration::ZERO);
            limiter.set_owners(ownership != Ownership::Equal);
            limiter.record_running(now);
            Vm {
                limiter,
                lending: lending::TokenRequestTracker::default(),
                waiting: Vec::new(),
            }
        };
        Self {
            vms: (0..VMS).map(vm).collect(),
            ownership,
            random: rand::rngs::StdRng::seed_from_u64(5),
            workspace,
            messages: Vec::new(),
            arrived: 0,
            admitted: 0,
        }
    }

    fn step(&mut self, number: u32, arrivals: f64, patience: Duration, now: Instant) {
        self.deliver(now);
        for index in 0..VMS {
            let chance = arrivals * STEP.as_secs_f64() / VMS as f64;
            if self.random.random_bool(chance) {
                let entry = match self.ownership {
                    Ownership::Single => 0,
                    _ => index,
                };
                self.arrived += 1;
                self.vms[entry].waiting.push(now);
                let share = self.vms[entry].limiter.find(&self.workspace);
                share.expect("it is known").count(now);
            }
            self.serve(index, patience, now);
            // VMs do not ask in step with each other.
            let turn = number + index as u32;
            let is_waiting = !self.vms[index].waiting.is_empty();
            let steps = if is_waiting {
                ASK_STEPS
            } else {
                FORESIGHT_STEPS
            };
            if turn.is_multiple_of(steps) {
                self.ask(index, now);
            }
        }
    }

    fn serve(&mut self, index: usize, patience: Duration, now: Instant) {
        let vm = &mut self.vms[index];
        vm.limiter.record_running(now);
        let share = vm.limiter.find(&self.workspace).expect("it is known");
        while !vm.waiting.is_empty() && share.try_take(now) {
            vm.waiting.remove(0);
            self.admitted += 1;
        }
        vm.waiting.retain(|arrived| now - *arrived < patience);
        // An answer would come too late for the others.
        let asks = |arrived: &&Instant| now - **arrived + limiter::MAX_ROUND_TRIP < patience;
        share.set_waiting(vm.waiting.iter().filter(asks).count());
    }

    fn ask(&mut self, from: usize, now: Instant) {
        let near = (0..VMS).filter(|to| *to != from && to % CENTRES == from % CENTRES);
        let lenders: Vec<usize> = match self.ownership {
            Ownership::Equal => near.collect(),
            Ownership::Owners(count) => (0..count).filter(|to| *to != from).collect(),
            Ownership::Single => Vec::new(),
        };
        let vm = &mut self.vms[from];
        let asks = match self.ownership {
            Ownership::Equal => vm
                .lending
                .open_token_requests(&vm.limiter, lenders.len(), now),
            Ownership::Single => Vec::new(),
            Ownership::Owners(_) if lenders.is_empty() => Vec::new(),
            Ownership::Owners(_) => vm.lending.open_owner_token_requests(&vm.limiter, now),
        };
        for ask in asks {
            let turn = ask.number as usize % lenders.len().max(1);
            let asked = match self.ownership {
                Ownership::Owners(_) => &lenders[turn..=turn],
                _ => &lenders[..],
            };
            for to in asked {
                let message = Message::Ask {
                    amount: ask.amount,
                    number: ask.number,
                };
                let at = now + travel(from, *to);
                self.messages.push((at, from, *to, message));
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        let due = |(at, ..): &mut (Instant, usize, usize, Message)| *at <= now;
        let messages: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, from, to, message) in messages {
            let vm = &mut self.vms[to];
            match message {
                Message::Ask { amount, number } => {
                    let amount = lending::lend(&vm.limiter, "small", amount, now);
                    if amount > 0.0 {
                        let transfer = Message::Transfer { amount, number };
                        let at = now + travel(to, from);
                        self.messages.push((at, to, from, transfer));
                    }
                }
                Message::Transfer { amount, number } => {
                    vm.lending.accept(&vm.limiter, from, amount, number, now);
                }
            }
        }
    }
}

/// Returns the part of what was asked for that was admitted.
fn admitted(ownership: Ownership, rate: f64, arrivals: f64, patience: Duration) -> f64 {
    let start = Instant::now();
    let mut fleet = Fleet::new(ownership, rate, start);
    let mut now = start;
    for number in 0..8_000 {
        now += STEP;
        fleet.step(number, arrivals, patience, now);
        if number == 399 {
            (fleet.arrived, fleet.admitted) = (0, 0);
        }
    }
    let measured = STEP.as_secs_f64() * 7_600.0;
    assert!(f64::from(fleet.admitted) <= rate * measured + rate + 1.0);
    f64::from(fleet.admitted) / f64::from(fleet.arrived)
}

const EQUAL_WAIT: Duration = limiter::MAX_LOAN_WAIT;
const OWNER_WAIT: Duration = limiter::MAX_OWNER_LOAN_WAIT;

/// The most that spreading callers over VMs may cost, beside one VM for all.
const MOST_LOST: f64 = 0.03;

/// How many owners a rate has (`owners::count` of the edge).
fn owners_of(rate: f64) -> usize {
    (1 + (rate / 8.0) as usize).min(3)
}

#[test]
fn a_limit_of_few_operations_is_used_through_its_owners() {
    for rate in [4.0, 8.0, 16.0, 40.0] {
        let demand = rate / 1.6;
        let owners = Ownership::Owners(owners_of(rate));
        let equal = admitted(Ownership::Equal, rate, demand, EQUAL_WAIT);
        let owned = admitted(owners, rate, demand, OWNER_WAIT);
        let single = admitted(Ownership::Single, rate, demand, OWNER_WAIT);
        println!("{rate}: equal {equal:.3}, owned {owned:.3}, single {single:.3}");
        assert!(owned >= single - MOST_LOST, "{rate}: {owned} {single}");
        assert!(owned > equal, "{rate}: {owned} {equal}");
    }
}

#[test]
fn a_limit_that_is_pressed_is_used_through_its_owners() {
    for rate in [4.0, 16.0, 40.0] {
        let demand = rate * 3.0;
        let owned = admitted(Ownership::Owners(owners_of(rate)), rate, demand, OWNER_WAIT);
        let single = admitted(Ownership::Single, rate, demand, OWNER_WAIT);
        println!("{rate} pressed: owned {owned:.3}, single {single:.3}");
        assert!(
            owned >= single * (1.0 - MOST_LOST),
            "{rate}: {owned} {single}"
        );
    }
}

#[test]
fn a_refused_caller_is_told_when_tokens_of_the_fleet_come_back() {
    let long = Duration::from_secs(5);
    // This VM owns nothing, but the workspace has eight tokens a second.
    assert_eq!(
        limiter::caller_retry_delay(long, 8.0),
        Duration::from_millis(500)
    );
    // Its own part is sooner.
    let soon = Duration::from_millis(40);
    assert_eq!(limiter::caller_retry_delay(soon, 8.0), soon);
    // No rate at all.
    assert_eq!(limiter::caller_retry_delay(long, 0.0), long);
}

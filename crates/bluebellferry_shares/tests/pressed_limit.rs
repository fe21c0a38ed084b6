//! A small limit that callers of several VMs press at once.
//!
//! Pattern: one workspace sends more than its rate, most of it through a few
//! VMs. What it may run must be run, wherever its callers come in.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::name;

const STEP: Duration = Duration::from_millis(5);
const TRAVEL: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_millis(40);
const ASK_EVERY_STEPS: u32 = 16;
const ASK_WAITING_STEPS: u32 = 4;

enum Message {
    Ask { amount: f64, number: u64 },
    Transfer { amount: f64, number: u64 },
}

struct SimulatedVm {
    limiter: limiter::RateLimiter,
    lending: lending::TokenRequestTracker<usize>,
    arrivals_per_second: f64,
    due: f64,
    waiting: Vec<Instant>,
}

struct SimulatedFleet {
    workspace: name::WorkspaceName,
    vms: Vec<SimulatedVm>,
    messages: Vec<(Instant, usize, usize, Message)>,
    admitted: u32,
}

fn fleet(rate: f64, parts: &[f64], arrivals: &[f64], now: Instant) -> SimulatedFleet {
    let workspace = name::WorkspaceName::try_from("pressed").expect("a valid name");
    let vm = |(part, arrivals): (&f64, &f64)| {
        let limiter = limiter::RateLimiter::default();
        let size = bucket::ShareSize {
            rate_per_second: rate * part,
            burst: rate * part,
        };
        let sizes = BTreeMap::from([(workspace.clone(), size)]);
        limiter.apply_sizes(&sizes, Duration::ZERO);
        limiter.record_running(now);
        SimulatedVm {
            limiter,
            lending: lending::TokenRequestTracker::default(),
            arrivals_per_second: *arrivals,
            due: 0.0,
            waiting: Vec::new(),
        }
    };
    SimulatedFleet {
        vms: parts.iter().zip(arrivals).map(vm).collect(),
        workspace,
        messages: Vec::new(),
        admitted: 0,
    }
}

impl SimulatedFleet {
    fn step(&mut self, number: u32, now: Instant) {
        self.deliver(now);
        for index in 0..self.vms.len() {
            self.serve(index, now);
            let is_waiting = !self.vms[index].waiting.is_empty();
            let asks_for_waiting = is_waiting && number.is_multiple_of(ASK_WAITING_STEPS);
            if number.is_multiple_of(ASK_EVERY_STEPS) || asks_for_waiting {
                self.ask(index, now);
            }
        }
    }

    fn serve(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        vm.limiter.record_running(now);
        let share = vm.limiter.find(&self.workspace).expect("it is known");
        vm.due += vm.arrivals_per_second * STEP.as_secs_f64();
        while vm.due >= 1.0 {
            vm.due -= 1.0;
            share.count(now);
            vm.waiting.push(now);
        }
        vm.waiting.retain(|arrived| now - *arrived < PATIENCE);
        while !vm.waiting.is_empty() && share.try_take(now) {
            vm.waiting.remove(0);
            self.admitted += 1;
        }
        share.set_waiting(vm.waiting.len());
    }

    fn ask(&mut self, from: usize, now: Instant) {
        let others = self.vms.len() - 1;
        let vm = &mut self.vms[from];
        for ask in vm.lending.open_token_requests(&vm.limiter, others, now) {
            for to in (0..=others).filter(|to| *to != from) {
                let message = Message::Ask {
                    amount: ask.amount,
                    number: ask.number,
                };
                self.messages.push((now + TRAVEL, from, to, message));
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        let due = |(at, ..): &mut (Instant, usize, usize, Message)| *at <= now;
        let messages: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, from, to, message) in messages {
            match message {
                Message::Ask { amount, number } => {
                    let vm = &self.vms[to];
                    let amount = lending::lend(&vm.limiter, "pressed", amount, now);
                    if amount > 0.0 {
                        let transfer = Message::Transfer { amount, number };
                        self.messages.push((now + TRAVEL, to, from, transfer));
                    }
                }
                Message::Transfer { amount, number } => {
                    let vm = &mut self.vms[to];
                    vm.lending.accept(&vm.limiter, from, amount, number, now);
                }
            }
        }
    }
}

/// Returns the part of what the limit allows that was admitted.
fn use_of_limit(rate: f64, parts: &[f64], arrivals: &[f64]) -> f64 {
    let start = Instant::now();
    let mut fleet = fleet(rate, parts, arrivals, start);
    let mut now = start;
    for number in 0..2_000 {
        now += STEP;
        fleet.step(number, now);
        if number == 399 {
            fleet.admitted = 0;
        }
    }
    let measured = STEP.as_secs_f64() * 1_600.0;
    let allowed = rate * measured;
    // A burst may have been saved up before the measurement began.
    assert!(f64::from(fleet.admitted) <= allowed + rate + 1.0);
    f64::from(fleet.admitted) / allowed
}

#[test]
fn a_small_limit_is_used_where_all_parts_follow_demand() {
    let parts = [0.30, 0.25, 0.15, 0.10, 0.08, 0.07, 0.05];
    let arrivals = parts.map(|part| part * 60.0);
    let used = use_of_limit(25.0, &parts, &arrivals);
    assert!(used >= 0.97, "{used}");
}

#[test]
fn a_small_limit_is_used_where_parts_are_equal_and_demand_is_not() {
    let parts = [1.0 / 7.0; 7];
    let arrivals = [30.0, 15.0, 8.0, 4.0, 2.0, 0.0, 0.0];
    let used = use_of_limit(25.0, &parts, &arrivals);
    assert!(used >= 0.95, "{used}");
}

#[test]
fn parts_below_one_token_are_not_lost() {
    let parts = [0.40, 0.20, 0.20, 0.10, 0.04, 0.03, 0.03];
    let arrivals = parts.map(|part| part * 120.0);
    let used = use_of_limit(25.0, &parts, &arrivals);
    assert!(used >= 0.95, "{used}");
}

#[test]
fn a_large_limit_is_used_where_one_vm_has_most_callers() {
    let parts = [1.0 / 6.0; 6];
    let arrivals = [200.0, 20.0, 20.0, 20.0, 20.0, 20.0];
    let used = use_of_limit(134.0, &parts, &arrivals);
    assert!(used >= 0.97, "{used}");
}

#[test]
fn demand_below_the_limit_is_served() {
    let parts = [1.0 / 6.0; 6];
    let arrivals = [40.0, 12.0, 12.0, 8.0, 4.0, 4.0];
    let used = use_of_limit(128.0, &parts, &arrivals);
    assert!(used >= 0.99 * 80.0 / 128.0, "{used}");
}

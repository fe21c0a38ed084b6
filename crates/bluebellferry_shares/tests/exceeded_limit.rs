//! A rate limit that the callers of several VMs exceed or nearly use up together.
//!
//! Guards against refusals below the limit: most operations come in through a few VMs,
//! whose shares are too small for them, while other VMs have tokens to spare.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::name;

#[path = "fixtures/limiters.rs"]
mod fixtures;

const STEP: Duration = Duration::from_millis(5);
const LATENCY: Duration = Duration::from_millis(20);
/// How long a caller waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(40);
/// The steps between two token requests of a VM where no caller waits.
const ADVANCE_REQUEST_STEPS: u32 = 16;
/// The steps between two token requests of a VM while callers wait there.
const WAITING_REQUEST_STEPS: u32 = 4;

enum Message {
    Request { amount: f64, number: u64 },
    Transfer { amount: f64, number: u64 },
}

struct SimulatedVm {
    limiter: limiter::RateLimiter,
    tracker: lending::TokenRequestTracker<usize>,
    arrivals_per_second: f64,
    due_arrivals: f64,
    waiting: Vec<Instant>,
}

struct SimulatedFleet {
    workspace: name::WorkspaceName,
    vms: Vec<SimulatedVm>,
    messages: Vec<(Instant, usize, usize, Message)>,
    admitted: u32,
}

fn fleet(rate: f64, fractions: &[f64], arrivals: &[f64], now: Instant) -> SimulatedFleet {
    let workspace = name::WorkspaceName::try_from("exceeded").expect("a valid name");
    let vm = |(fraction, arrivals): (&f64, &f64)| {
        let size = bucket::ShareSize {
            rate_per_second: rate * fraction,
            burst: rate * fraction,
        };
        SimulatedVm {
            limiter: fixtures::limiter_of(&workspace, size, false, now),
            tracker: lending::TokenRequestTracker::default(),
            arrivals_per_second: *arrivals,
            due_arrivals: 0.0,
            waiting: Vec::new(),
        }
    };
    SimulatedFleet {
        vms: fractions.iter().zip(arrivals).map(vm).collect(),
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
            let requests_for_waiting = is_waiting && number.is_multiple_of(WAITING_REQUEST_STEPS);
            if number.is_multiple_of(ADVANCE_REQUEST_STEPS) || requests_for_waiting {
                self.send_requests(index, now);
            }
        }
    }

    fn serve(&mut self, index: usize, now: Instant) {
        let vm = &mut self.vms[index];
        vm.limiter.record_running(now);
        let share = vm
            .limiter
            .find(&self.workspace)
            .expect("the workspace is known");
        vm.due_arrivals += vm.arrivals_per_second * STEP.as_secs_f64();
        while vm.due_arrivals >= 1.0 {
            vm.due_arrivals -= 1.0;
            share.count_operation(now);
            vm.waiting.push(now);
        }
        vm.waiting.retain(|arrived| now - *arrived < MAX_WAIT);
        while !vm.waiting.is_empty() && share.try_take(now) {
            vm.waiting.remove(0);
            self.admitted += 1;
        }
        share.set_waiting(vm.waiting.len());
    }

    fn send_requests(&mut self, from: usize, now: Instant) {
        let others = self.vms.len() - 1;
        let vm = &mut self.vms[from];
        for request in vm.tracker.open_token_requests(&vm.limiter, others, now) {
            for to in (0..=others).filter(|to| *to != from) {
                let message = Message::Request {
                    amount: request.amount,
                    number: request.number,
                };
                self.messages.push((now + LATENCY, from, to, message));
            }
        }
    }

    fn deliver(&mut self, now: Instant) {
        let due = |(at, ..): &mut (Instant, usize, usize, Message)| *at <= now;
        let messages: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, from, to, message) in messages {
            match message {
                Message::Request { amount, number } => {
                    let vm = &self.vms[to];
                    let amount = lending::lend(&vm.limiter, &(&self.workspace).into(), amount, now);
                    if amount > 0.0 {
                        let transfer = Message::Transfer { amount, number };
                        self.messages.push((now + LATENCY, to, from, transfer));
                    }
                }
                Message::Transfer { amount, number } => {
                    let vm = &mut self.vms[to];
                    vm.tracker.accept(&vm.limiter, from, amount, number, now);
                }
            }
        }
    }
}

/// Runs VMs with these fractions of the rate and these arrivals per second. Returns the
/// admitted operations as a fraction of what the limit allows.
fn used_fraction(rate: f64, fractions: &[f64], arrivals: &[f64]) -> f64 {
    let start = Instant::now();
    let mut fleet = fleet(rate, fractions, arrivals, start);
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
    // The buckets may have been full when the measurement began.
    assert!(f64::from(fleet.admitted) <= allowed + rate + 1.0);
    f64::from(fleet.admitted) / allowed
}

#[test]
fn a_small_limit_is_used_fully_where_shares_follow_demand() {
    let fractions = [0.30, 0.25, 0.15, 0.10, 0.08, 0.07, 0.05];
    let arrivals = fractions.map(|fraction| fraction * 60.0);
    let used = used_fraction(25.0, &fractions, &arrivals);
    assert!(used >= 0.97, "{used}");
}

#[test]
fn a_small_limit_is_used_fully_where_equal_shares_meet_uneven_demand() {
    let fractions = [1.0 / 7.0; 7];
    let arrivals = [30.0, 15.0, 8.0, 4.0, 2.0, 0.0, 0.0];
    let used = used_fraction(25.0, &fractions, &arrivals);
    assert!(used >= 0.95, "{used}");
}

#[test]
fn shares_below_one_token_are_used() {
    let fractions = [0.40, 0.20, 0.20, 0.10, 0.04, 0.03, 0.03];
    let arrivals = fractions.map(|fraction| fraction * 120.0);
    let used = used_fraction(25.0, &fractions, &arrivals);
    assert!(used >= 0.95, "{used}");
}

#[test]
fn a_large_limit_is_used_fully_where_one_vm_has_most_callers() {
    let fractions = [1.0 / 6.0; 6];
    let arrivals = [200.0, 20.0, 20.0, 20.0, 20.0, 20.0];
    let used = used_fraction(134.0, &fractions, &arrivals);
    assert!(used >= 0.97, "{used}");
}

#[test]
fn demand_below_the_limit_is_admitted() {
    let fractions = [1.0 / 6.0; 6];
    let arrivals = [40.0, 12.0, 12.0, 8.0, 4.0, 4.0];
    let used = used_fraction(128.0, &fractions, &arrivals);
    assert!(used >= 0.99 * 80.0 / 128.0, "{used}");
}

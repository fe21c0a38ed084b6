//! A workspace whose less urgent operations come in a burst that exceeds its rate.
//!
//! Guards against urgent operations being refused in the same proportion as the burst, and against
//! refusals that come only after the longest wait although the owner of the rate knew better.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::urgency;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

#[path = "fixtures/limiters.rs"]
mod fixtures;

const VMS: usize = 20;
const STEP: Duration = Duration::from_millis(5);
/// How long a message takes between two VMs.
const LATENCY: Duration = Duration::from_millis(9);
const RATE: f64 = 40.0;
/// The operations per second of each level, the most urgent first.
type Arrivals = [f64; 2];

enum Message {
    Request(limiter::WantedTokens, u64),
    Transfer(f64, u64),
    Denial(urgency::UrgencyLevel, Duration, u64),
}

struct Waiting {
    since: Instant,
    level: urgency::UrgencyLevel,
}

#[derive(Default, Clone, Copy)]
struct Outcome {
    arrived: u32,
    admitted: u32,
    /// How long the refused operations waited in total.
    refused_after: Duration,
}

struct Vm {
    limiter: limiter::RateLimiter,
    tracker: lending::TokenRequestTracker<usize>,
    waiting: Vec<Waiting>,
}

struct Fleet {
    vms: Vec<Vm>,
    workspace: name::WorkspaceName,
    messages: Vec<(Instant, usize, usize, Message)>,
    random: rand::rngs::StdRng,
    outcomes: [Outcome; 2],
}

impl Fleet {
    /// Creates a fleet in which the first VM owns the whole rate.
    fn new(now: Instant) -> Self {
        let workspace = name::WorkspaceName::try_from("yards").expect("a valid name");
        let vm = |index: usize| {
            let rate = if index == 0 { RATE } else { 0.0 };
            let size = bucket::ShareSize {
                rate_per_second: rate,
                burst: rate,
            };
            Vm {
                limiter: fixtures::limiter_of(&workspace, size, true, now),
                tracker: lending::TokenRequestTracker::default(),
                waiting: Vec::new(),
            }
        };
        Self {
            vms: (0..VMS).map(vm).collect(),
            workspace: workspace.clone(),
            messages: Vec::new(),
            random: rand::rngs::StdRng::seed_from_u64(8),
            outcomes: Default::default(),
        }
    }

    fn share(&self, vm: usize) -> std::sync::Arc<limiter::RateShare> {
        let share = self.vms[vm].limiter.find(&self.workspace);
        share.expect("the workspace is known")
    }

    fn step(&mut self, number: u32, arrivals: Arrivals, now: Instant) {
        self.deliver(now);
        for vm in 0..VMS {
            self.vms[vm].limiter.record_running(now);
            for (index, per_second) in arrivals.iter().enumerate() {
                let chance = per_second * STEP.as_secs_f64() / VMS as f64;
                if self.random.random_bool(chance) {
                    self.arrive(vm, index, now);
                }
            }
            self.serve(vm, now);
            if (number + vm as u32).is_multiple_of(4) {
                self.request(vm, now);
            }
        }
    }

    fn arrive(&mut self, vm: usize, index: usize, now: Instant) {
        let level = urgency::UrgencyLevel::from(index as u8);
        self.outcomes[index].arrived += 1;
        if self.share(vm).try_take_urgent(level, now) {
            self.outcomes[index].admitted += 1;
        } else {
            let waiting = Waiting { since: now, level };
            self.vms[vm].waiting.push(waiting);
        }
    }

    /// Admits the operations that wait, and refuses those whose wait is over or in vain.
    fn serve(&mut self, vm: usize, now: Instant) {
        let share = self.share(vm);
        let outcomes = &mut self.outcomes;
        self.vms[vm].waiting.retain(|operation| {
            let outcome = &mut outcomes[operation.level.index()];
            if share.take_in_order(operation.level, now) == bucket::TakeOutcome::Granted {
                outcome.admitted += 1;
                return false;
            }
            let waited = now - operation.since;
            let left = limiter::MAX_OWNER_LOAN_WAIT.saturating_sub(waited);
            let denied = share.denial_of(operation.level, now);
            let longest = limiter::MAX_OWNER_LOAN_WAIT;
            let is_hopeless = denied.is_some_and(|at| at > operation.since + longest);
            let is_over = left.is_zero() || is_hopeless;
            if is_over {
                outcome.refused_after += waited;
            }
            !is_over
        });
        for level in urgency::UrgencyLevel::all() {
            let waiting = self.vms[vm].waiting.iter();
            let count = waiting.filter(|operation| operation.level == level).count();
            share.set_waiting_at(level, count);
        }
    }

    fn request(&mut self, vm: usize, now: Instant) {
        if vm == 0 {
            return;
        }
        let Vm {
            limiter, tracker, ..
        } = &mut self.vms[vm];
        for request in tracker.open_owner_token_requests(limiter, now) {
            let message = Message::Request(request.wanted, request.number);
            self.messages.push((now + LATENCY, vm, 0, message));
        }
    }

    fn deliver(&mut self, now: Instant) {
        let due = |(at, ..): &mut (Instant, usize, usize, Message)| *at <= now;
        let messages: Vec<_> = self.messages.extract_if(.., due).collect();
        for (_, from, to, message) in messages {
            match message {
                Message::Request(wanted, number) => {
                    let limiter = &self.vms[to].limiter;
                    let key = (&self.workspace).into();
                    let answer = lending::lend_ordered(limiter, &key, &wanted, now);
                    let mut answers = Vec::new();
                    if answer.lent > 0.0 {
                        answers.push(Message::Transfer(answer.lent, number));
                    }
                    if let Some((level, wait)) = answer.denied {
                        answers.push(Message::Denial(level, wait, number));
                    }
                    for answer in answers {
                        self.messages.push((now + LATENCY, to, from, answer));
                    }
                }
                Message::Transfer(amount, number) => {
                    let vm = &mut self.vms[to];
                    vm.tracker.accept(&vm.limiter, from, amount, number, now);
                }
                Message::Denial(level, wait, number) => {
                    let vm = &mut self.vms[to];
                    vm.tracker
                        .record_denial(&vm.limiter, from, number, (level, wait), now);
                }
            }
        }
    }
}

/// Runs arrivals for a time and returns the outcome of each level.
fn run(fleet: &mut Fleet, arrivals: Arrivals, start: Instant, seconds: u32) -> [Outcome; 2] {
    fleet.outcomes = Default::default();
    let mut now = start;
    for number in 0..seconds * 200 {
        now += STEP;
        fleet.step(number, arrivals, now);
    }
    fleet.outcomes
}

fn admitted_fraction(outcome: Outcome) -> f64 {
    f64::from(outcome.admitted) / f64::from(outcome.arrived)
}

#[test]
fn urgent_operations_are_admitted_while_a_burst_exceeds_the_rate() {
    let start = Instant::now();
    let mut fleet = Fleet::new(start);
    // Buckets start empty.
    let calm_start = start + Duration::from_secs(3);
    run(&mut fleet, [8.0, 16.0], start, 3);
    let calm = run(&mut fleet, [8.0, 16.0], calm_start, 10);
    let calm = calm.map(admitted_fraction);
    assert!(calm.iter().all(|fraction| *fraction > 0.98), "{calm:?}");
    let burst_start = calm_start + Duration::from_secs(10);
    let [urgent, other] = run(&mut fleet, [8.0, 120.0], burst_start, 10);
    let total = urgent.admitted + other.admitted;
    println!(
        "urgent {:.3} of {}, other {:.3} of {}",
        admitted_fraction(urgent),
        urgent.arrived,
        admitted_fraction(other),
        other.arrived
    );
    assert!(admitted_fraction(urgent) >= 0.95);
    // Nearly the whole rate is used, and never more than the rate and one burst.
    assert!(f64::from(total) >= RATE * 10.0 * 0.9, "{total}");
    assert!(f64::from(total) <= RATE * 10.0 + RATE, "{total}");
    let refused = other.arrived - other.admitted;
    let mean_wait = other.refused_after / refused;
    println!("a refusal comes after {mean_wait:?} in the mean");
    assert!(mean_wait < Duration::from_millis(60), "{mean_wait:?}");
}

#[test]
fn less_urgent_operations_are_not_starved_by_urgent_ones() {
    let start = Instant::now();
    let mut fleet = Fleet::new(start);
    let [urgent, other] = run(&mut fleet, [80.0, 20.0], start, 20);
    println!(
        "urgent {:.3}, other {:.3}",
        admitted_fraction(urgent),
        admitted_fraction(other)
    );
    assert!(admitted_fraction(other) >= 0.1);
    assert!(admitted_fraction(urgent) >= 0.4);
}

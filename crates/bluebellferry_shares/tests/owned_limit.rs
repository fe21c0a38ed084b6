//! A small rate limit whose callers are spread over many VMs of several data centres.
//!
//! Guards against refusals of a workspace that stays well below its rate: if each VM had
//! an equal share, the share would be a fraction of a token. So a few VMs own the rate and
//! the others request whole tokens from them.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::pace;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_shares::ownership;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

#[path = "fixtures/limiters.rs"]
mod fixtures;

const VMS: usize = 60;
const CENTRES: usize = 6;
const STEP: Duration = Duration::from_millis(5);
/// The steps between two token requests of a VM while callers wait there.
const WAITING_REQUEST_STEPS: u32 = 4;
/// The steps between two token requests of a VM where no caller waits.
const ADVANCE_REQUEST_STEPS: u32 = 16;
/// How long a message takes to or from a VM in another region, forwarded by the coordinators of
/// both data centres.
const FAR_LATENCY: Duration = Duration::from_millis(23);
const NEAR_LATENCY: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ownership {
    /// Every VM has an equal share and requests tokens from all others of its data centre.
    Equal,
    /// This many VMs have equal shares, and each token request goes to one of them.
    Owners(usize),
    /// One VM has the whole rate, and all callers connect to it.
    Single,
}

enum Message {
    Request { amount: f64, number: u64 },
    Transfer { amount: f64, number: u64 },
}

struct Vm {
    limiter: limiter::RateLimiter,
    tracker: lending::TokenRequestTracker<usize>,
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
    /// When each operation was admitted.
    admitted_at: Vec<Instant>,
}

fn latency(from: usize, to: usize) -> Duration {
    if from % CENTRES == to % CENTRES {
        NEAR_LATENCY
    } else {
        FAR_LATENCY
    }
}

impl Fleet {
    fn new(ownership: Ownership, rate: f64, now: Instant) -> Self {
        let size = bucket::ShareSize {
            rate_per_second: rate,
            burst: rate,
        };
        Self::with_burst(ownership, size, now)
    }

    fn with_burst(ownership: Ownership, total: bucket::ShareSize, now: Instant) -> Self {
        let workspace = name::WorkspaceName::try_from("small").expect("a valid name");
        let vm = |index: usize| {
            let fraction = match ownership {
                Ownership::Equal => 1.0 / VMS as f64,
                Ownership::Owners(count) if index < count => 1.0 / count as f64,
                Ownership::Single if index == 0 => 1.0,
                Ownership::Owners(_) | Ownership::Single => 0.0,
            };
            let size = bucket::ShareSize {
                rate_per_second: total.rate_per_second * fraction,
                burst: total.burst * fraction,
            };
            let has_owners = ownership != Ownership::Equal;
            Vm {
                limiter: fixtures::limiter_of(&workspace, size, has_owners, now),
                tracker: lending::TokenRequestTracker::default(),
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
            admitted_at: Vec::new(),
        }
    }

    fn step(&mut self, number: u32, arrivals: f64, max_wait: Duration, now: Instant) {
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
                share.expect("the workspace is known").count_operation(now);
            }
            self.serve(index, max_wait, now);
            // VMs send their token requests at different steps.
            let request_step = number + index as u32;
            let is_waiting = !self.vms[index].waiting.is_empty();
            let steps = if is_waiting {
                WAITING_REQUEST_STEPS
            } else {
                ADVANCE_REQUEST_STEPS
            };
            if request_step.is_multiple_of(steps) {
                self.send_requests(index, now);
            }
        }
    }

    fn serve(&mut self, index: usize, max_wait: Duration, now: Instant) {
        let vm = &mut self.vms[index];
        vm.limiter.record_running(now);
        let share = vm
            .limiter
            .find(&self.workspace)
            .expect("the workspace is known");
        while !vm.waiting.is_empty() && share.try_take(now) {
            vm.waiting.remove(0);
            self.admitted += 1;
            self.admitted_at.push(now);
        }
        vm.waiting.retain(|arrived| now - *arrived < max_wait);
        // For the other callers an answer would come too late.
        let is_in_time = |arrived: &&Instant| now - **arrived + limiter::MAX_ROUND_TRIP < max_wait;
        share.set_waiting(vm.waiting.iter().filter(is_in_time).count());
    }

    fn send_requests(&mut self, from: usize, now: Instant) {
        let near = (0..VMS).filter(|to| *to != from && to % CENTRES == from % CENTRES);
        let lenders: Vec<usize> = match self.ownership {
            Ownership::Equal => near.collect(),
            Ownership::Owners(count) => (0..count).filter(|to| *to != from).collect(),
            Ownership::Single => Vec::new(),
        };
        let vm = &mut self.vms[from];
        let requests = match self.ownership {
            Ownership::Equal => vm
                .tracker
                .open_token_requests(&vm.limiter, lenders.len(), now),
            Ownership::Single => Vec::new(),
            Ownership::Owners(_) if lenders.is_empty() => Vec::new(),
            Ownership::Owners(_) => vm.tracker.open_owner_token_requests(&vm.limiter, now),
        };
        for request in requests {
            let index = request.number as usize % lenders.len().max(1);
            let receivers = match self.ownership {
                Ownership::Owners(_) => &lenders[index..=index],
                _ => &lenders[..],
            };
            for to in receivers {
                let message = Message::Request {
                    amount: request.amount,
                    number: request.number,
                };
                let at = now + latency(from, *to);
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
                Message::Request { amount, number } => {
                    let amount = lending::lend(&vm.limiter, &(&self.workspace).into(), amount, now);
                    if amount > 0.0 {
                        let transfer = Message::Transfer { amount, number };
                        let at = now + latency(to, from);
                        self.messages.push((at, to, from, transfer));
                    }
                }
                Message::Transfer { amount, number } => {
                    vm.tracker.accept(&vm.limiter, from, amount, number, now);
                }
            }
        }
    }
}

/// Returns the fraction of the operations that was admitted.
fn admitted_fraction(ownership: Ownership, rate: f64, arrivals: f64, max_wait: Duration) -> f64 {
    let start = Instant::now();
    let mut fleet = Fleet::new(ownership, rate, start);
    let mut now = start;
    for number in 0..8_000 {
        now += STEP;
        fleet.step(number, arrivals, max_wait, now);
        if number == 399 {
            (fleet.arrived, fleet.admitted) = (0, 0);
        }
    }
    let measured = STEP.as_secs_f64() * 7_600.0;
    assert!(f64::from(fleet.admitted) <= rate * measured + rate + 1.0);
    f64::from(fleet.admitted) / f64::from(fleet.arrived)
}

const MAX_EQUAL_WAIT: Duration = limiter::MAX_LOAN_WAIT;
const MAX_OWNER_WAIT: Duration = limiter::MAX_OWNER_LOAN_WAIT;

/// The largest fraction of operations that may be lost by spreading callers over VMs,
/// compared with one VM for all of them.
const MAX_LOST_FRACTION: f64 = 0.03;

#[test]
fn owners_admit_nearly_all_operations_of_a_small_limit_below_its_rate() {
    for rate in [4.0, 8.0, 16.0, 40.0] {
        let demand = rate / 1.6;
        let owners = Ownership::Owners(ownership::owner_count(rate));
        let equal = admitted_fraction(Ownership::Equal, rate, demand, MAX_EQUAL_WAIT);
        let owned = admitted_fraction(owners, rate, demand, MAX_OWNER_WAIT);
        let single = admitted_fraction(Ownership::Single, rate, demand, MAX_OWNER_WAIT);
        println!("{rate}: equal {equal:.3}, owned {owned:.3}, single {single:.3}");
        assert!(
            owned >= single - MAX_LOST_FRACTION,
            "{rate}: {owned} {single}"
        );
        assert!(owned > equal, "{rate}: {owned} {equal}");
    }
}

#[test]
fn owners_admit_nearly_the_whole_rate_of_an_exceeded_limit() {
    for rate in [4.0, 16.0, 40.0] {
        let demand = rate * 3.0;
        let owned = admitted_fraction(
            Ownership::Owners(ownership::owner_count(rate)),
            rate,
            demand,
            MAX_OWNER_WAIT,
        );
        let single = admitted_fraction(Ownership::Single, rate, demand, MAX_OWNER_WAIT);
        println!("{rate} exceeded: owned {owned:.3}, single {single:.3}");
        assert!(
            owned >= single * (1.0 - MAX_LOST_FRACTION),
            "{rate}: {owned} {single}"
        );
    }
}

#[test]
fn the_retry_delay_of_a_refused_caller_counts_tokens_of_all_vms() {
    let long_refill = Duration::from_secs(5);
    // This VM owns no share, but the workspace has eight tokens per second.
    assert_eq!(
        limiter::caller_retry_delay(long_refill, 8.0),
        Duration::from_millis(500)
    );
    // This VM's own share refills sooner.
    let short_refill = Duration::from_millis(40);
    assert_eq!(limiter::caller_retry_delay(short_refill, 8.0), short_refill);
    // The workspace's rate is zero.
    assert_eq!(limiter::caller_retry_delay(long_refill, 0.0), long_refill);
}

/// The load is a cold database to which the callers of all VMs turn at the same moment: it must
/// receive its pace, and no more in any second.
#[test]
fn a_cold_database_receives_its_pace_and_no_more() {
    let tolerance = pace::PaceTolerance {
        factor: 1.5,
        statements: 5.0,
    };
    for per_second in [4.0, 20.0, 60.0] {
        let size = tolerance.pace_of(per_second);
        let start = Instant::now();
        let database = name::DatabaseName::try_from("i-a").expect("a valid name");
        let count = ownership::owner_count_of(&(&database).into(), size.rate_per_second);
        let mut fleet = Fleet::with_burst(Ownership::Owners(count), size, start);
        let mut now = start;
        for number in 0..2_000 {
            now += STEP;
            fleet.step(number, per_second * 10.0, MAX_OWNER_WAIT, now);
        }
        let tolerated = per_second * tolerance.factor + tolerance.statements;
        let most = fleet.admitted_at.iter().map(|from| {
            let end = *from + Duration::from_secs(1);
            let window = fleet.admitted_at.iter();
            window.filter(|at| (*from..end).contains(*at)).count()
        });
        let most = most.max().unwrap_or_default() as f64;
        let received = f64::from(fleet.admitted) / 10.0;
        println!("{per_second} a second: {received:.1} received, at most {most} in a second");
        assert!(most <= tolerated, "{per_second}: {most} of {tolerated}");
        let paced = size.rate_per_second;
        assert!(received >= paced * 0.9, "{paced}: {received}");
    }
}

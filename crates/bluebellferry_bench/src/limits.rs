//! A simulation, without processes, that compares ways to enforce one rate limit
//! over several VMs: shares with token loans as the product has them, a static
//! split, one central counter, and the full limit on every VM.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::demand;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// The step by which the simulated time advances.
const TIME_STEP: Duration = Duration::from_millis(1);
/// The simulated duration of one run.
const SIMULATED_DURATION: Duration = Duration::from_secs(30);
/// The one-way delay of messages between VMs.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// The minimum interval between a VM's rounds of token requests.
const TOKEN_REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// The factor by which a VM requests more tokens than it lacks.
const TOKEN_REQUEST_SURPLUS: f64 = 1.05;
/// The maximum time that a caller's request waits for a token loan.
const MAX_LOAN_WAIT: Duration = Duration::from_millis(40);

/// A way to enforce the rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// Equal shares; a VM that lacks tokens borrows from the others.
    LendingShares,
    /// Equal shares without loans.
    StaticSplit,
    /// One token bucket on the first VM, which the others ask about every request.
    CentralCounter,
    /// A token bucket of the full rate on every VM.
    LimitPerVm,
}

/// How requests are distributed over VMs, and which fault occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitCase {
    /// Each request arrives at a random VM.
    Even,
    /// 80 % of the requests arrive at one VM, the others at random VMs.
    Skewed,
    /// All requests arrive at one VM, which changes every second.
    Roaming,
    /// As `Skewed`, and the second VM fails after 10 s.
    VmLost,
    /// As `Skewed`, and the first VM fails after 10 s.
    FirstVmLost,
    /// As `Skewed`, and messages between VMs that are due from 10 s to 20 s are lost.
    Cut,
    /// As `Even`, with a load of three times the rate.
    Overload,
}

/// The result of one policy in one case.
#[derive(Debug, Clone, Serialize)]
pub struct LimitOutcome {
    /// The policy.
    pub policy: LimitPolicy,
    /// The case.
    pub case: LimitCase,
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests admitted.
    pub admitted: u64,
    /// The number of requests admitted beyond the burst plus the rate times the
    /// duration.
    pub overshoot: u64,
    /// The share of requests that were refused, in percent.
    pub refused_percent: f64,
}

/// The parameters of the simulated workspace.
#[derive(Debug, Clone, Copy)]
pub struct LimitParameters {
    /// The number of VMs.
    pub vms: usize,
    /// The rate limit in requests per second.
    pub rate_per_second: f64,
    /// The capacity of the token bucket in requests.
    pub burst: f64,
    /// The load as a share of the rate; [`LimitCase::Overload`] ignores it.
    pub load: f64,
    /// The seed of all random choices.
    pub seed: u64,
}

struct SimulatedVm {
    bucket: bucket::ShareBucket,
    demand: demand::DemandMeter,
    /// The arrival times of the callers' requests that wait for a loan.
    waiting_since: Vec<Instant>,
    /// The earliest time of the next round of token requests.
    next_request_at: Instant,
    is_lost: bool,
}

/// A message between VMs.
#[derive(Debug, Clone, Copy)]
enum Message {
    /// Requests tokens that the receiver does not need itself.
    TokenRequest {
        from: usize,
        to: usize,
        amount: f64,
        requested_at: Instant,
    },
    /// Lends tokens in answer to a request.
    Loan {
        to: usize,
        amount: f64,
        requested_at: Instant,
    },
    /// Asks the first VM to decide about one caller's request.
    CounterRequest,
}

struct Simulation {
    policy: LimitPolicy,
    case: LimitCase,
    vms: Vec<SimulatedVm>,
    /// The messages in transit by delivery time; the second part of the key makes it
    /// unique.
    messages: BTreeMap<(Instant, u64), Message>,
    last_message_number: u64,
    start: Instant,
    sent: u64,
    admitted: u64,
    refused: u64,
}

/// Simulates one policy in one case.
pub fn simulate(policy: LimitPolicy, case: LimitCase, parameters: LimitParameters) -> LimitOutcome {
    let start = Instant::now();
    let share = match policy {
        LimitPolicy::LendingShares | LimitPolicy::StaticSplit => 1.0 / parameters.vms as f64,
        LimitPolicy::CentralCounter | LimitPolicy::LimitPerVm => 1.0,
    };
    let size = bucket::ShareSize {
        rate_per_second: parameters.rate_per_second * share,
        burst: parameters.burst * share,
    };
    let new_vm = |_| SimulatedVm {
        bucket: bucket::ShareBucket::new_full(size, start),
        demand: demand::DemandMeter::new(start),
        waiting_since: Vec::new(),
        next_request_at: start,
        is_lost: false,
    };
    let mut simulation = Simulation {
        policy,
        case,
        vms: (0..parameters.vms).map(new_vm).collect(),
        messages: BTreeMap::new(),
        last_message_number: 0,
        start,
        sent: 0,
        admitted: 0,
        refused: 0,
    };
    let mut random = SmallRng::seed_from_u64(parameters.seed);
    let mut now = start;
    while now < start + SIMULATED_DURATION {
        simulation.run_step(now, parameters, &mut random);
        now += TIME_STEP;
    }
    let allowed = parameters.burst + parameters.rate_per_second * SIMULATED_DURATION.as_secs_f64();
    LimitOutcome {
        policy,
        case,
        sent: simulation.sent,
        admitted: simulation.admitted,
        overshoot: (simulation.admitted as f64 - allowed).max(0.0).ceil() as u64,
        refused_percent: simulation.refused as f64 * 100.0 / simulation.sent.max(1) as f64,
    }
}

impl Simulation {
    /// Simulates one step: delivers messages, admits or refuses the requests that
    /// arrive, and requests tokens.
    fn run_step(&mut self, now: Instant, parameters: LimitParameters, random: &mut SmallRng) {
        let elapsed = now - self.start;
        let is_after_failure = elapsed >= Duration::from_secs(10);
        self.vms[1].is_lost |= is_after_failure && self.case == LimitCase::VmLost;
        self.vms[0].is_lost |= is_after_failure && self.case == LimitCase::FirstVmLost;
        let load = if self.case == LimitCase::Overload {
            3.0
        } else {
            parameters.load
        };
        let expected = parameters.rate_per_second * load * TIME_STEP.as_secs_f64();
        let mut arrivals = expected as u32;
        arrivals += u32::from(random.random_bool(expected - f64::from(arrivals)));
        for vm in &mut self.vms {
            vm.bucket.record_running(now);
        }
        self.deliver_messages(now, elapsed);
        for _ in 0..arrivals {
            let vm = self.choose_vm(elapsed, random);
            self.handle_arrival(vm, now);
        }
        for vm in 0..self.vms.len() {
            self.serve_waiting(vm, now);
            self.request_tokens(vm, now);
        }
    }

    /// Chooses the VM at which a request arrives; the load balancer skips failed VMs.
    fn choose_vm(&self, elapsed: Duration, random: &mut SmallRng) -> usize {
        let count = self.vms.len();
        let preferred_vm = match self.case {
            LimitCase::Even | LimitCase::Overload => None,
            LimitCase::Roaming => Some(elapsed.as_secs() as usize % count),
            LimitCase::FirstVmLost => Some(2),
            _ => Some(2 % count),
        };
        let is_always_preferred = self.case == LimitCase::Roaming;
        let mut vm = match preferred_vm {
            Some(vm) if is_always_preferred || random.random_bool(0.8) => vm,
            _ => random.random_range(0..count),
        };
        while self.vms[vm].is_lost {
            vm = (vm + 1) % count;
        }
        vm
    }

    /// Handles the arrival of a caller's request at a VM.
    fn handle_arrival(&mut self, vm: usize, now: Instant) {
        self.sent += 1;
        if self.policy == LimitPolicy::CentralCounter && vm != 0 {
            self.send(now, Message::CounterRequest);
            return;
        }
        let state = &mut self.vms[vm];
        state.demand.count_operation(now);
        match state.bucket.try_take(now) {
            bucket::TakeOutcome::Granted => self.admitted += 1,
            bucket::TakeOutcome::Empty { .. } if self.policy == LimitPolicy::LendingShares => {
                state.waiting_since.push(now);
            }
            bucket::TakeOutcome::Empty { .. } => self.refused += 1,
        }
    }

    /// Admits waiting requests while tokens last, and refuses those that have
    /// waited too long.
    fn serve_waiting(&mut self, vm: usize, now: Instant) {
        let state = &mut self.vms[vm];
        while let Some(arrived_at) = state.waiting_since.first().copied() {
            if state.bucket.try_take(now) == bucket::TakeOutcome::Granted {
                self.admitted += 1;
            } else if now - arrived_at >= MAX_LOAN_WAIT {
                self.refused += 1;
            } else {
                return;
            }
            state.waiting_since.remove(0);
        }
    }

    /// Requests the tokens that a VM lacks from all other VMs, in equal amounts.
    fn request_tokens(&mut self, vm: usize, now: Instant) {
        if self.policy != LimitPolicy::LendingShares || now < self.vms[vm].next_request_at {
            return;
        }
        let state = &mut self.vms[vm];
        state.next_request_at = now + TOKEN_REQUEST_INTERVAL;
        let available = state.bucket.available_tokens(now);
        let shortfall = state
            .demand
            .shortfall(available, state.waiting_since.len(), now);
        if shortfall <= 0.0 {
            return;
        }
        let others = self.vms.len() - 1;
        let amount = shortfall * TOKEN_REQUEST_SURPLUS / others as f64;
        for to in (0..self.vms.len()).filter(|to| *to != vm) {
            self.send(
                now,
                Message::TokenRequest {
                    from: vm,
                    to,
                    amount,
                    requested_at: now,
                },
            );
        }
    }

    fn send(&mut self, now: Instant, message: Message) {
        self.last_message_number += 1;
        self.messages
            .insert((now + MESSAGE_DELAY, self.last_message_number), message);
    }

    /// Handles all messages that are due.
    fn deliver_messages(&mut self, now: Instant, elapsed: Duration) {
        let cut_period = Duration::from_secs(10)..Duration::from_secs(20);
        let is_cut = self.case == LimitCase::Cut && cut_period.contains(&elapsed);
        while let Some(((deliver_at, _), _)) = self.messages.first_key_value() {
            if *deliver_at > now {
                return;
            }
            let Some((_, message)) = self.messages.pop_first() else {
                return;
            };
            self.handle_message(now, message, is_cut);
        }
    }

    fn handle_message(&mut self, now: Instant, message: Message, is_cut: bool) {
        match message {
            Message::CounterRequest if is_cut || self.vms[0].is_lost => self.refused += 1,
            Message::CounterRequest => match self.vms[0].bucket.try_take(now) {
                bucket::TakeOutcome::Granted => self.admitted += 1,
                bucket::TakeOutcome::Empty { .. } => self.refused += 1,
            },
            _ if is_cut => {}
            Message::TokenRequest {
                from,
                to,
                amount,
                requested_at,
            } => {
                let state = &mut self.vms[to];
                if state.is_lost {
                    return;
                }
                let own_reserve = state.demand.predicted_need(now);
                let lent = state.bucket.lend(amount, own_reserve, now);
                if lent > 0.0 {
                    self.send(
                        now,
                        Message::Loan {
                            to: from,
                            amount: lent,
                            requested_at,
                        },
                    );
                }
            }
            Message::Loan {
                to,
                amount,
                requested_at,
            } => {
                self.vms[to].bucket.accept_loan(amount, requested_at, now);
            }
        }
    }
}

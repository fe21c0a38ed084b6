//! Ways to keep a rate over several VMs, side by side, without processes: the
//! present shares that lend to each other, a static split, one central
//! counter, and a full limit on every VM.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::demand;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// The step of the simulated time.
const STEP: Duration = Duration::from_millis(1);
/// The simulated time of one run.
const DURATION: Duration = Duration::from_secs(30);
/// The time that a message between VMs takes.
const MESSAGE_TIME: Duration = Duration::from_millis(2);
/// How often a VM asks for tokens at the most.
const ASK_INTERVAL: Duration = Duration::from_millis(5);
/// By how much more than the need is asked for.
const ASK_SURPLUS: f64 = 1.05;
/// How long a request waits for tokens that were asked for.
const LOAN_WAIT: Duration = Duration::from_millis(40);

/// A way to keep the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// Fixed parts that lend to each other.
    LendingShares,
    /// Fixed parts.
    StaticSplit,
    /// One counter on the first VM, asked for each request.
    CentralCounter,
    /// The full rate on every VM.
    LimitPerVm,
}

/// What callers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitCase {
    /// All VMs get the same.
    Even,
    /// One VM gets eight of ten requests.
    Skewed,
    /// All callers move to another VM every second.
    Roaming,
    /// Skewed, and the second VM is lost after ten seconds.
    VmLost,
    /// Skewed, and the first VM is lost after ten seconds.
    FirstVmLost,
    /// Skewed, and no VM reaches another from the tenth to the twentieth second.
    Cut,
    /// Even, with three times the rate.
    Overload,
}

/// What one policy did in one case.
#[derive(Debug, Clone, Serialize)]
pub struct LimitOutcome {
    /// The policy.
    pub policy: LimitPolicy,
    /// The case.
    pub case: LimitCase,
    /// Requests sent.
    pub sent: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Admitted beyond rate and time and burst.
    pub overshoot: u64,
    /// The share of requests refused while the workspace was under its rate.
    pub refused_percent: f64,
}

/// The parameters of the simulated workspace.
#[derive(Debug, Clone, Copy)]
pub struct LimitSetting {
    /// The number of VMs.
    pub vms: usize,
    /// The rate.
    pub rate_per_second: f64,
    /// The burst.
    pub burst: f64,
    /// The share of the rate that callers send, except under overload.
    pub load: f64,
    /// The seed.
    pub seed: u64,
}

struct SimulatedVm {
    bucket: bucket::ShareBucket,
    demand: demand::DemandMeter,
    waiting: Vec<Instant>,
    ask_due: Instant,
    lost: bool,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask {
        from: usize,
        to: usize,
        amount: f64,
        asked_at: Instant,
    },
    Loan {
        to: usize,
        amount: f64,
        asked_at: Instant,
    },
    CentralAsk,
}

struct Simulation {
    policy: LimitPolicy,
    case: LimitCase,
    vms: Vec<SimulatedVm>,
    messages: BTreeMap<(Instant, u64), Message>,
    next_message: u64,
    start: Instant,
    sent: u64,
    admitted: u64,
    refused: u64,
}

/// Runs one policy in one case.
pub fn simulate(policy: LimitPolicy, case: LimitCase, setting: LimitSetting) -> LimitOutcome {
    let start = Instant::now();
    let part = match policy {
        LimitPolicy::LendingShares | LimitPolicy::StaticSplit => 1.0 / setting.vms as f64,
        LimitPolicy::CentralCounter | LimitPolicy::LimitPerVm => 1.0,
    };
    let size = bucket::ShareSize {
        rate_per_second: setting.rate_per_second * part,
        burst: setting.burst * part,
    };
    let vm = |_| SimulatedVm {
        bucket: bucket::ShareBucket::full(size, start),
        demand: demand::DemandMeter::new(start),
        waiting: Vec::new(),
        ask_due: start,
        lost: false,
    };
    let mut simulation = Simulation {
        policy,
        case,
        vms: (0..setting.vms).map(vm).collect(),
        messages: BTreeMap::new(),
        next_message: 0,
        start,
        sent: 0,
        admitted: 0,
        refused: 0,
    };
    let mut random = SmallRng::seed_from_u64(setting.seed);
    let mut now = start;
    while now < start + DURATION {
        simulation.step(now, setting, &mut random);
        now += STEP;
    }
    let allowed = setting.burst + setting.rate_per_second * DURATION.as_secs_f64();
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
    fn step(&mut self, now: Instant, setting: LimitSetting, random: &mut SmallRng) {
        let elapsed = now - self.start;
        let late = elapsed >= Duration::from_secs(10);
        self.vms[1].lost |= late && self.case == LimitCase::VmLost;
        self.vms[0].lost |= late && self.case == LimitCase::FirstVmLost;
        let load = if self.case == LimitCase::Overload {
            3.0
        } else {
            setting.load
        };
        let expected = setting.rate_per_second * load * STEP.as_secs_f64();
        let mut arrivals = expected as u32;
        arrivals += u32::from(random.random_bool(expected - f64::from(arrivals)));
        for vm in &mut self.vms {
            vm.bucket.record_running(now);
        }
        self.deliver(now, elapsed);
        for _ in 0..arrivals {
            let vm = self.choose_vm(elapsed, random);
            self.arrive(vm, now);
        }
        for vm in 0..self.vms.len() {
            self.serve_waiting(vm, now);
            self.ask(vm, now);
        }
    }

    /// Chooses the VM that a request arrives at; the balancer avoids lost ones.
    fn choose_vm(&self, elapsed: Duration, random: &mut SmallRng) -> usize {
        let count = self.vms.len();
        let favourite = match self.case {
            LimitCase::Even | LimitCase::Overload => None,
            LimitCase::Roaming => Some(elapsed.as_secs() as usize % count),
            LimitCase::FirstVmLost => Some(2),
            _ => Some(2 % count),
        };
        let certain = self.case == LimitCase::Roaming;
        let mut vm = match favourite {
            Some(vm) if certain || random.random_bool(0.8) => vm,
            _ => random.random_range(0..count),
        };
        while self.vms[vm].lost {
            vm = (vm + 1) % count;
        }
        vm
    }

    fn arrive(&mut self, vm: usize, now: Instant) {
        self.sent += 1;
        if self.policy == LimitPolicy::CentralCounter && vm != 0 {
            self.send(now, Message::CentralAsk);
            return;
        }
        let state = &mut self.vms[vm];
        state.demand.count(now);
        match state.bucket.try_take(now) {
            bucket::TakeOutcome::Granted => self.admitted += 1,
            bucket::TakeOutcome::Empty { .. } if self.policy == LimitPolicy::LendingShares => {
                state.waiting.push(now);
            }
            bucket::TakeOutcome::Empty { .. } => self.refused += 1,
        }
    }

    fn serve_waiting(&mut self, vm: usize, now: Instant) {
        let state = &mut self.vms[vm];
        while let Some(arrived) = state.waiting.first().copied() {
            if state.bucket.try_take(now) == bucket::TakeOutcome::Granted {
                self.admitted += 1;
            } else if now - arrived >= LOAN_WAIT {
                self.refused += 1;
            } else {
                return;
            }
            state.waiting.remove(0);
        }
    }

    fn ask(&mut self, vm: usize, now: Instant) {
        if self.policy != LimitPolicy::LendingShares || now < self.vms[vm].ask_due {
            return;
        }
        let state = &mut self.vms[vm];
        state.ask_due = now + ASK_INTERVAL;
        let available = state.bucket.available(now);
        let missing = state.demand.shortfall(available, state.waiting.len(), now);
        if missing <= 0.0 {
            return;
        }
        let others = self.vms.len() - 1;
        let amount = missing * ASK_SURPLUS / others as f64;
        for to in (0..self.vms.len()).filter(|to| *to != vm) {
            self.send(
                now,
                Message::Ask {
                    from: vm,
                    to,
                    amount,
                    asked_at: now,
                },
            );
        }
    }

    fn send(&mut self, now: Instant, message: Message) {
        self.next_message += 1;
        self.messages
            .insert((now + MESSAGE_TIME, self.next_message), message);
    }

    fn deliver(&mut self, now: Instant, elapsed: Duration) {
        let cut_off = Duration::from_secs(10)..Duration::from_secs(20);
        let cut = self.case == LimitCase::Cut && cut_off.contains(&elapsed);
        while let Some(((due, _), _)) = self.messages.first_key_value() {
            if *due > now {
                return;
            }
            let Some((_, message)) = self.messages.pop_first() else {
                return;
            };
            self.take(now, message, cut);
        }
    }

    fn take(&mut self, now: Instant, message: Message, cut: bool) {
        match message {
            Message::CentralAsk if cut || self.vms[0].lost => self.refused += 1,
            Message::CentralAsk => match self.vms[0].bucket.try_take(now) {
                bucket::TakeOutcome::Granted => self.admitted += 1,
                bucket::TakeOutcome::Empty { .. } => self.refused += 1,
            },
            _ if cut => {}
            Message::Ask {
                from,
                to,
                amount,
                asked_at,
            } => {
                let state = &mut self.vms[to];
                if state.lost {
                    return;
                }
                let keep = state.demand.predicted_need(now);
                let amount = state.bucket.lend(amount, keep, now);
                if amount > 0.0 {
                    self.send(
                        now,
                        Message::Loan {
                            to: from,
                            amount,
                            asked_at,
                        },
                    );
                }
            }
            Message::Loan {
                to,
                amount,
                asked_at,
            } => {
                self.vms[to].bucket.accept_loan(amount, asked_at, now);
            }
        }
    }
}

//! Simulations of one overloaded database, comparing the queue orders on the same arrivals.
//!
//! Load patterns: one hot workspace beside seven quiet ones; bursts from one workspace; a
//! database that is slow for ten seconds; an outage of the leader for two seconds, after which the
//! delayed statements and the retries of all callers arrive at once; an overload of ten seconds
//! beyond what the database can serve.

use std::collections::BTreeMap;
use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::pool;
use bluebellferry_pool::wait_queue;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const TIME_STEP: Duration = Duration::from_millis(1);
const HANDSHAKE_DURATION: Duration = Duration::from_millis(12);
/// The default latency objective of a statement.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// How long an attempt waits for a connection before it is refused.
const WAIT_LIMIT: Duration = Duration::from_millis(800);
/// The minimum delay before the caller of a refused attempt retries.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum number of attempts per statement.
const MAX_ATTEMPTS: u32 = 3;
/// How long after its first attempt a statement may still be retried.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECTIONS: usize = 3;
const WORKSPACES: usize = 8;
/// The index of the workspace with the high load or the bursts.
const HOT_WORKSPACE: usize = 0;

/// The load on the database and the faults during a simulation.
struct LoadPattern {
    /// The statements per second of each workspace.
    rates: [f64; WORKSPACES],
    /// The number of statements of the hot workspace that arrive at once, and the interval
    /// between two such bursts.
    burst: Option<(usize, Duration)>,
    /// The period in which the database is slow, and the factor by which it is slower.
    slow_period: Option<(std::ops::Range<Duration>, u32)>,
    /// The period in which no statement reaches the database.
    outage: Option<std::ops::Range<Duration>>,
    /// The period in which more statements arrive, and the factor by which their rate is higher.
    overload: Option<(std::ops::Range<Duration>, f64)>,
    /// The latency objective of a statement.
    objective: Duration,
    duration: Duration,
}

impl Default for LoadPattern {
    fn default() -> Self {
        Self {
            rates: [9.0; WORKSPACES],
            burst: None,
            slow_period: None,
            outage: None,
            overload: None,
            objective: OBJECTIVE,
            duration: Duration::from_secs(30),
        }
    }
}

/// The outcomes of a workspace's statements.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeCounts {
    /// The number of statements, without retries.
    sent: u32,
    /// The number of statements answered within their latency objective.
    in_time: u32,
    /// The number of statements answered later.
    late: u32,
    /// The number of attempts that were refused without waiting.
    refused_early: u32,
    /// The total time that attempts waited until they were refused, in milliseconds.
    wasted_wait_ms: u64,
}

impl OutcomeCounts {
    fn fraction_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }

    fn fraction_served(self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }

    fn add(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused_early: self.refused_early + other.refused_early,
            wasted_wait_ms: self.wasted_wait_ms + other.wasted_wait_ms,
        }
    }
}

/// One attempt at a statement.
#[derive(Debug, Clone, Copy)]
struct Statement {
    workspace: usize,
    /// When the caller first sent the statement; the latency objective counts from there.
    first_sent_at: Instant,
    /// When this attempt arrived.
    arrived_at: Instant,
    /// The number of attempts so far, including this one.
    attempts: u32,
    /// How long the database takes to answer it, unless the database is slow.
    latency: Duration,
}

/// How the pool treats statements that have to wait.
#[derive(Debug, Clone, Copy)]
struct QueuePolicy {
    order: wait_queue::QueueOrder,
    /// Whether a statement that is not expected to be answered in time is refused without
    /// waiting.
    refuses_early: bool,
}

const fn without_early_refusal(order: wait_queue::QueueOrder) -> QueuePolicy {
    QueuePolicy {
        order,
        refuses_early: false,
    }
}

const EARLIEST_DEADLINE_FIRST: QueuePolicy =
    without_early_refusal(wait_queue::QueueOrder::EarliestDeadlineFirst);
const FAIR_QUEUEING: QueuePolicy = without_early_refusal(wait_queue::QueueOrder::FairQueueing);
const FEASIBLE_FIRST: QueuePolicy = without_early_refusal(wait_queue::QueueOrder::FeasibleFirst);
const EARLY_REFUSAL: QueuePolicy = QueuePolicy {
    order: wait_queue::QueueOrder::FeasibleFirst,
    refuses_early: true,
};

struct Simulation {
    names: Vec<name::WorkspaceName>,
    pool: pool::ConnectionPool<usize>,
    /// When each handshake in progress ends, and the index of its workspace.
    opening: Vec<(Instant, usize)>,
    /// When each running statement ends.
    running: Vec<(Instant, Statement)>,
    waiting: BTreeMap<wait_queue::WaiterId, Statement>,
    /// When each refused statement is retried.
    retries: Vec<(Instant, Statement)>,
    outcomes: [OutcomeCounts; WORKSPACES],
    /// The factor by which the database is slower than usual.
    slowdown: u32,
    refuses_early: bool,
    objective: Duration,
}

impl Simulation {
    fn new(policy: QueuePolicy, objective: Duration) -> Self {
        let name = |index| name::WorkspaceName::try_from(format!("w{index}").as_str());
        let mut pool = pool::ConnectionPool::with_order(policy.order);
        pool.set_connection_limit(0, CONNECTIONS, 0);
        pool.set_expected_latency(0, Duration::from_millis(20));
        Self {
            names: (0..WORKSPACES)
                .map(|index| name(index).expect("a valid name"))
                .collect(),
            pool,
            opening: Vec::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            retries: Vec::new(),
            outcomes: [OutcomeCounts::default(); WORKSPACES],
            slowdown: 1,
            refuses_early: policy.refuses_early,
            objective,
        }
    }

    fn index_of(&self, workspace: &name::WorkspaceName) -> usize {
        let found = self.names.iter().position(|name| name == workspace);
        found.expect("a known workspace")
    }

    fn run(&mut self, statement: Statement, now: Instant) {
        let end = now + statement.latency * self.slowdown;
        self.running.push((end, statement));
    }

    fn open(&mut self, opening: &pool::ConnectionOpening<usize>, now: Instant) {
        let workspace = self.index_of(&opening.workspace);
        self.opening
            .push((now + HANDSHAKE_DURATION * self.slowdown, workspace));
    }

    /// Carries out what the pool has decided, until there is nothing left to do.
    fn apply(&mut self, action: Option<pool::PoolAction<usize>>, now: Instant) {
        let mut next = action;
        while let Some(action) = next.take() {
            match action {
                pool::PoolAction::Open(opening) => self.open(&opening, now),
                pool::PoolAction::Grant { waiter, .. } => {
                    let statement = self.waiting.remove(&waiter).expect("the statement waits");
                    self.run(statement, now);
                }
            }
            next = self.pool.serve_waiting(0, now);
        }
    }

    /// Sends an attempt to the pool.
    fn submit(&mut self, statement: Statement, now: Instant) {
        let workspace = self.names[statement.workspace].clone();
        if self.pool.reuse_idle(&workspace, 0).is_some() {
            self.run(statement, now);
            return;
        }
        let request = wait_queue::ConnectionRequest {
            workspace: workspace.clone(),
            priority: 1,
            slo_deadline: statement.arrived_at + self.objective,
        };
        if self.refuses_early {
            let overrun = self.pool.expected_overrun(&request, &[0], WAIT_LIMIT, now);
            if let Some(overrun) = overrun {
                self.outcomes[statement.workspace].refused_early += 1;
                self.refuse(statement, now + RETRY_DELAY.max(overrun));
                return;
            }
        }
        let waiter = self.pool.enqueue(request, vec![0]).expect("there is room");
        self.waiting.insert(waiter, statement);
        if let Some(opening) = self.pool.begin_open(&workspace, 0, now) {
            self.open(&opening, now);
        }
    }

    /// Finishes the handshakes and statements that have ended.
    fn finish_due(&mut self, now: Instant) {
        while let Some(index) = self.opening.iter().position(|(end, _)| *end <= now) {
            let (_, workspace) = self.opening.swap_remove(index);
            let workspace = self.names[workspace].clone();
            let action = self.pool.finish_open(0, workspace, 0, now);
            self.apply(action, now);
        }
        while let Some(index) = self.running.iter().position(|(end, _)| *end <= now) {
            let (_, statement) = self.running.swap_remove(index);
            let counts = &mut self.outcomes[statement.workspace];
            if now - statement.first_sent_at <= self.objective {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
            let workspace = self.names[statement.workspace].clone();
            let action = self.pool.release(0, workspace, 0, now);
            self.apply(action, now);
        }
    }

    /// Refuses the attempts that have waited for [`WAIT_LIMIT`].
    fn refuse_timed_out(&mut self, now: Instant) {
        let has_timed_out = |(_, statement): &(&wait_queue::WaiterId, &Statement)| {
            now - statement.arrived_at >= WAIT_LIMIT
        };
        let timed_out: Vec<_> = self.waiting.iter().filter(has_timed_out).collect();
        let timed_out: Vec<_> = timed_out.into_iter().map(|(waiter, _)| *waiter).collect();
        for waiter in timed_out {
            self.pool.cancel(waiter);
            let statement = self.waiting.remove(&waiter).expect("the statement waits");
            let counts = &mut self.outcomes[statement.workspace];
            counts.wasted_wait_ms += WAIT_LIMIT.as_millis() as u64;
            self.refuse(statement, now + RETRY_DELAY);
        }
    }

    /// Schedules the retry of a refused statement, unless its caller gives up.
    fn refuse(&mut self, statement: Statement, retry_at: Instant) {
        if statement.attempts < MAX_ATTEMPTS && retry_at - statement.first_sent_at < CALLER_TIMEOUT
        {
            let retry = Statement {
                attempts: statement.attempts + 1,
                ..statement
            };
            self.retries.push((retry_at, retry));
        }
    }

    /// Removes and returns the retries that are due.
    fn take_due_retries(&mut self, now: Instant) -> Vec<Statement> {
        let is_due = |retry: &mut (Instant, Statement)| retry.0 <= now;
        let due = self.retries.extract_if(.., is_due);
        due.map(|(_, statement)| Statement {
            arrived_at: now,
            ..statement
        })
        .collect()
    }
}

/// Simulates a load pattern and returns the outcomes of each workspace's statements.
fn simulate(pattern: &LoadPattern, policy: QueuePolicy, seed: u64) -> [OutcomeCounts; WORKSPACES] {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(policy, pattern.objective);
    let start = Instant::now();
    let mut pending: Vec<Statement> = Vec::new();
    let steps = pattern.duration.as_millis() as u32;
    for step in 0..steps {
        let elapsed = TIME_STEP * step;
        let now = start + elapsed;
        let slow_period = pattern.slow_period.as_ref();
        let slow_period = slow_period.filter(|(period, _)| period.contains(&elapsed));
        simulation.slowdown = slow_period.map_or(1, |(_, factor)| *factor);
        simulation.finish_due(now);
        simulation.refuse_timed_out(now);
        let is_outage = pattern
            .outage
            .as_ref()
            .is_some_and(|period| period.contains(&elapsed));
        let mut arriving = Vec::new();
        let mut add = |workspace: usize, random: &mut rand::rngs::StdRng| {
            arriving.push(Statement {
                workspace,
                first_sent_at: now,
                arrived_at: now,
                attempts: 1,
                latency: Duration::from_millis(random.random_range(8..=32)),
            });
        };
        let overload = pattern.overload.as_ref();
        let overload = overload.filter(|(period, _)| period.contains(&elapsed));
        let rate_factor = overload.map_or(1.0, |(_, factor)| *factor);
        for (workspace, rate) in pattern.rates.iter().enumerate() {
            if random.random_bool(rate * rate_factor * TIME_STEP.as_secs_f64()) {
                add(workspace, &mut random);
            }
        }
        if let Some((count, interval)) = pattern.burst
            && step > 0
            && u128::from(step) % interval.as_millis() == 0
        {
            for _ in 0..count {
                add(HOT_WORKSPACE, &mut random);
            }
        }
        for statement in &arriving {
            simulation.outcomes[statement.workspace].sent += 1;
        }
        pending.extend(arriving);
        pending.extend(simulation.take_due_retries(now));
        if is_outage {
            let has_timed_out =
                |statement: &mut Statement| now - statement.arrived_at >= WAIT_LIMIT;
            let timed_out: Vec<Statement> = pending.extract_if(.., has_timed_out).collect();
            for statement in timed_out {
                simulation.refuse(statement, now + RETRY_DELAY);
            }
            continue;
        }
        for statement in pending.drain(..) {
            simulation.submit(statement, now);
        }
    }
    simulation.outcomes
}

const ORDER_POLICIES: [QueuePolicy; 3] = [EARLIEST_DEADLINE_FIRST, FAIR_QUEUEING, FEASIBLE_FIRST];
const SEEDS: std::ops::Range<u64> = 1..5;

/// Returns the outcomes of a policy over all seeds: those of the hot workspace, and those of
/// all other workspaces.
fn sum_outcomes(pattern: &LoadPattern, policy: QueuePolicy) -> (OutcomeCounts, OutcomeCounts) {
    let mut sums = (OutcomeCounts::default(), OutcomeCounts::default());
    for seed in SEEDS {
        let outcomes = simulate(pattern, policy, seed);
        sums.0 = sums.0.add(outcomes[HOT_WORKSPACE]);
        sums.1 = outcomes[HOT_WORKSPACE + 1..]
            .iter()
            .fold(sums.1, |sum, counts| sum.add(*counts));
    }
    sums
}

/// Prints and returns the outcomes of each policy: those of the hot workspace, and those of
/// all other workspaces.
fn compare<const N: usize>(
    label: &str,
    pattern: &LoadPattern,
    policies: [QueuePolicy; N],
) -> [(OutcomeCounts, OutcomeCounts); N] {
    policies.map(|policy| {
        let (hot, others) = sum_outcomes(pattern, policy);
        println!(
            "{label}, {policy:?}: hot in time {:.3} served {:.3}, others in time {:.3} served {:.3}, all in time {:.3} served {:.3}",
            hot.fraction_in_time(),
            hot.fraction_served(),
            others.fraction_in_time(),
            others.fraction_served(),
            hot.add(others).fraction_in_time(),
            hot.add(others).fraction_served(),
        );
        (hot, others)
    })
}

fn hot_workspace() -> LoadPattern {
    let mut rates = [5.0; WORKSPACES];
    rates[HOT_WORKSPACE] = 130.0;
    LoadPattern {
        rates,
        ..LoadPattern::default()
    }
}

fn burst() -> LoadPattern {
    LoadPattern {
        burst: Some((80, Duration::from_secs(2))),
        ..LoadPattern::default()
    }
}

fn slow_database() -> LoadPattern {
    LoadPattern {
        slow_period: Some((Duration::from_secs(5)..Duration::from_secs(15), 4)),
        ..LoadPattern::default()
    }
}

fn leader_outage() -> LoadPattern {
    LoadPattern {
        outage: Some(Duration::from_secs(5)..Duration::from_secs(7)),
        ..LoadPattern::default()
    }
}

/// The outcomes of [`ORDER_POLICIES`] for one load pattern, simulated once for all tests.
type OrderOutcomes = LazyLock<[(OutcomeCounts, OutcomeCounts); 3]>;

static HOT_OUTCOMES: OrderOutcomes =
    LazyLock::new(|| compare("hot", &hot_workspace(), ORDER_POLICIES));
static BURST_OUTCOMES: OrderOutcomes = LazyLock::new(|| compare("burst", &burst(), ORDER_POLICIES));
static SLOW_OUTCOMES: OrderOutcomes =
    LazyLock::new(|| compare("slow", &slow_database(), ORDER_POLICIES));
static OUTAGE_OUTCOMES: OrderOutcomes =
    LazyLock::new(|| compare("leader outage", &leader_outage(), ORDER_POLICIES));

fn sum_all((hot, others): (OutcomeCounts, OutcomeCounts)) -> OutcomeCounts {
    hot.add(others)
}

#[test]
fn a_hot_workspace_does_not_crowd_out_quiet_ones() {
    let [baseline, fair, feasible_first] = *HOT_OUTCOMES;
    for outcome in [fair, feasible_first] {
        assert!(outcome.1.fraction_in_time() >= 0.95, "{outcome:?}");
        assert!(outcome.1.fraction_in_time() > baseline.1.fraction_in_time() + 0.1);
        assert!(sum_all(outcome).fraction_in_time() > sum_all(baseline).fraction_in_time());
    }
}

#[test]
fn a_burst_delays_only_the_workspace_that_sends_it() {
    let [baseline, fair, feasible_first] = *BURST_OUTCOMES;
    for outcome in [fair, feasible_first] {
        assert!(outcome.1.fraction_in_time() >= 0.95, "{outcome:?}");
        assert!(outcome.1.fraction_in_time() > baseline.1.fraction_in_time());
        assert!(sum_all(outcome).fraction_in_time() > sum_all(baseline).fraction_in_time());
    }
}

#[test]
fn fair_queueing_costs_a_slow_database_no_throughput() {
    let [baseline, fair, feasible_first] = SLOW_OUTCOMES.map(sum_all);
    for outcome in [fair, feasible_first] {
        assert!(outcome.fraction_in_time() >= baseline.fraction_in_time() - 0.01);
        assert!(outcome.fraction_served() >= baseline.fraction_served() - 0.01);
    }
}

#[test]
fn fair_queueing_serves_retries_after_an_outage_no_worse() {
    let [baseline, fair, feasible_first] = OUTAGE_OUTCOMES.map(sum_all);
    for outcome in [fair, feasible_first] {
        assert!(outcome.fraction_in_time() >= baseline.fraction_in_time() - 0.01);
        assert!(outcome.fraction_served() >= baseline.fraction_served() - 0.01);
    }
}

#[test]
fn a_backlog_of_late_statements_does_not_make_new_ones_late() {
    for (label, outcomes) in [
        ("hot", *HOT_OUTCOMES),
        ("burst", *BURST_OUTCOMES),
        ("slow", *SLOW_OUTCOMES),
        ("leader outage", *OUTAGE_OUTCOMES),
    ] {
        let [_, fair, feasible_first] = outcomes.map(sum_all);
        let (baseline, outcome) = (fair, feasible_first);
        assert!(
            outcome.fraction_in_time() > baseline.fraction_in_time(),
            "{label}: {outcome:?}"
        );
        assert!(
            outcome.fraction_served() >= baseline.fraction_served() - 0.01,
            "{label}: {outcome:?}"
        );
    }
}

#[test]
fn early_refusal_of_an_overload_saves_waiting_without_serving_less() {
    let overload = LoadPattern {
        overload: Some((Duration::from_secs(5)..Duration::from_secs(15), 4.0)),
        objective: Duration::from_secs(1),
        ..LoadPattern::default()
    };
    let [baseline, outcome] =
        compare("overload", &overload, [FEASIBLE_FIRST, EARLY_REFUSAL]).map(sum_all);
    println!("{baseline:?} {outcome:?}");
    assert!(outcome.fraction_in_time() >= baseline.fraction_in_time() - 0.01);
    assert!(outcome.fraction_served() >= baseline.fraction_served() - 0.01);
    assert!(outcome.wasted_wait_ms < baseline.wasted_wait_ms);
}

#[test]
fn no_statement_is_refused_early_while_the_database_keeps_up() {
    for (label, pattern) in [("usual", LoadPattern::default()), ("burst", burst())] {
        let [outcome] = compare(label, &pattern, [EARLY_REFUSAL]).map(sum_all);
        assert_eq!(outcome.refused_early, 0, "{label}");
    }
}

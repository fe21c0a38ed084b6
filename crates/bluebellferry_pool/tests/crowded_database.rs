//! Many statements, one database, each order of waiting statements on the same arrivals.
//!
//! Patterns: one hot workspace beside seven quiet ones; a burst of one workspace; a database
//! that is slow for some seconds; a lost leader after which all callers return at once; a
//! rush of several seconds beyond what the database can serve.

use std::collections::BTreeMap;
use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::pool;
use bluebellferry_pool::wait_queue;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const STEP: Duration = Duration::from_millis(1);
const HANDSHAKE: Duration = Duration::from_millis(12);
const OBJECTIVE: Duration = Duration::from_millis(300);
/// How long a statement waits before it is refused.
const PATIENCE: Duration = Duration::from_millis(800);
/// How long the caller of a refused statement waits before it asks again, how often it
/// asks, and when it gives up.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MOST_ATTEMPTS: u32 = 3;
const CALLER_DEADLINE: Duration = Duration::from_secs(3);
const CONNECTIONS: usize = 3;
const WORKSPACES: usize = 8;
/// The workspace that is hot or sends the burst.
const HOT: usize = 0;

/// What happens to the database and its callers.
struct LoadPattern {
    /// Statements a second of each workspace.
    rates: [f64; WORKSPACES],
    /// Statements of the hot workspace that arrive at once, and how often.
    burst: Option<(usize, Duration)>,
    /// When the database is slow, and how many times slower.
    slow: Option<(std::ops::Range<Duration>, u32)>,
    /// When the database is gone.
    lost: Option<std::ops::Range<Duration>>,
    /// How many times more statements come than usual, and when.
    rush: Option<(std::ops::Range<Duration>, f64)>,
    objective: Duration,
    length: Duration,
}

impl Default for LoadPattern {
    fn default() -> Self {
        Self {
            rates: [9.0; WORKSPACES],
            burst: None,
            slow: None,
            lost: None,
            rush: None,
            objective: OBJECTIVE,
            length: Duration::from_secs(30),
        }
    }
}

/// What became of the statements of a workspace.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    late: u32,
    /// Attempts that were refused as soon as they came.
    refused_at_once: u32,
    /// Milliseconds that attempts waited until they were refused.
    waited_in_vain: u64,
}

impl Outcome {
    fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    fn share_served(self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.asked.max(1))
    }

    fn add(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused_at_once: self.refused_at_once + other.refused_at_once,
            waited_in_vain: self.waited_in_vain + other.waited_in_vain,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    workspace: usize,
    /// When the caller first asked; its objective counts from there.
    asked: Instant,
    /// When this attempt arrived.
    arrived: Instant,
    attempts: u32,
    service: Duration,
}

/// How statements that wait are served.
#[derive(Debug, Clone, Copy)]
struct LoadPolicy {
    order: wait_queue::QueueOrder,
    /// Whether a statement that is not expected to be answered in time is refused at once.
    refuses_early: bool,
}

const fn waits_out(order: wait_queue::QueueOrder) -> LoadPolicy {
    LoadPolicy {
        order,
        refuses_early: false,
    }
}

const DUE_FIRST: LoadPolicy = waits_out(wait_queue::QueueOrder::EarliestDeadlineFirst);
const FAIR_TURNS: LoadPolicy = waits_out(wait_queue::QueueOrder::FairQueueing);
const IN_TIME_FIRST: LoadPolicy = waits_out(wait_queue::QueueOrder::FeasibleFirst);
const EARLY_REFUSAL: LoadPolicy = LoadPolicy {
    order: wait_queue::QueueOrder::FeasibleFirst,
    refuses_early: true,
};

struct World {
    names: Vec<name::WorkspaceName>,
    budget: pool::ConnectionPool<usize>,
    opening: Vec<(Instant, usize)>,
    running: Vec<(Instant, Statement)>,
    waiting: BTreeMap<wait_queue::WaiterId, Statement>,
    /// Refused statements whose callers come back, and when.
    returning: Vec<(Instant, Statement)>,
    outcomes: [Outcome; WORKSPACES],
    slowness: u32,
    refuses_early: bool,
    objective: Duration,
}

impl World {
    fn new(policy: LoadPolicy, objective: Duration) -> Self {
        let name = |index| name::WorkspaceName::try_from(format!("w{index}").as_str());
        let mut budget = pool::ConnectionPool::with_order(policy.order);
        budget.set_connection_limit(0, CONNECTIONS, 0);
        budget.set_expected_latency(0, Duration::from_millis(20));
        Self {
            names: (0..WORKSPACES)
                .map(|index| name(index).expect("a valid name"))
                .collect(),
            budget,
            opening: Vec::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            returning: Vec::new(),
            outcomes: [Outcome::default(); WORKSPACES],
            slowness: 1,
            refuses_early: policy.refuses_early,
            objective,
        }
    }

    fn index_of(&self, workspace: &name::WorkspaceName) -> usize {
        let found = self.names.iter().position(|name| name == workspace);
        found.expect("a known workspace")
    }

    fn run(&mut self, statement: Statement, now: Instant) {
        let end = now + statement.service * self.slowness;
        self.running.push((end, statement));
    }

    fn open(&mut self, opening: &pool::ConnectionOpening<usize>, now: Instant) {
        let workspace = self.index_of(&opening.workspace);
        self.opening
            .push((now + HANDSHAKE * self.slowness, workspace));
    }

    fn act(&mut self, action: Option<pool::PoolAction<usize>>, now: Instant) {
        let mut next = action;
        while let Some(action) = next.take() {
            match action {
                pool::PoolAction::Open(opening) => self.open(&opening, now),
                pool::PoolAction::Deliver { waiter, .. } => {
                    let statement = self.waiting.remove(&waiter).expect("it waits");
                    self.run(statement, now);
                }
            }
            next = self.budget.serve_waiting(0, now);
        }
    }

    fn ask(&mut self, statement: Statement, now: Instant) {
        let workspace = self.names[statement.workspace].clone();
        if self.budget.reuse_idle(&workspace, 0).is_some() {
            self.run(statement, now);
            return;
        }
        let request = wait_queue::ConnectionRequest {
            workspace: workspace.clone(),
            priority: 1,
            slo_deadline: statement.arrived + self.objective,
        };
        if self.refuses_early {
            let excess = self.budget.expected_overrun(&request, &[0], PATIENCE, now);
            if let Some(excess) = excess {
                self.outcomes[statement.workspace].refused_at_once += 1;
                self.refuse(statement, now + RETRY_PAUSE.max(excess));
                return;
            }
        }
        let waiter = self.budget.wait(request, vec![0]).expect("there is room");
        self.waiting.insert(waiter, statement);
        if let Some(opening) = self.budget.begin_open(&workspace, 0, now) {
            self.open(&opening, now);
        }
    }

    fn finish_due(&mut self, now: Instant) {
        while let Some(at) = self.opening.iter().position(|(end, _)| *end <= now) {
            let (_, workspace) = self.opening.swap_remove(at);
            let workspace = self.names[workspace].clone();
            let action = self.budget.finish_open(0, workspace, 0, now);
            self.act(action, now);
        }
        while let Some(at) = self.running.iter().position(|(end, _)| *end <= now) {
            let (_, statement) = self.running.swap_remove(at);
            let outcome = &mut self.outcomes[statement.workspace];
            if now - statement.asked <= self.objective {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
            let workspace = self.names[statement.workspace].clone();
            let action = self.budget.release(0, workspace, 0, now);
            self.act(action, now);
        }
    }

    fn give_up_late(&mut self, now: Instant) {
        let is_late =
            |(_, one): &(&wait_queue::WaiterId, &Statement)| now - one.arrived >= PATIENCE;
        let late: Vec<_> = self.waiting.iter().filter(is_late).collect();
        let late: Vec<_> = late.into_iter().map(|(id, _)| *id).collect();
        for waiter in late {
            self.budget.cancel(waiter);
            let statement = self.waiting.remove(&waiter).expect("it waits");
            let outcome = &mut self.outcomes[statement.workspace];
            outcome.waited_in_vain += PATIENCE.as_millis() as u64;
            self.refuse(statement, now + RETRY_PAUSE);
        }
    }

    /// Lets the caller of a refused statement come back, if it tries again.
    fn refuse(&mut self, statement: Statement, returns: Instant) {
        if statement.attempts < MOST_ATTEMPTS && returns - statement.asked < CALLER_DEADLINE {
            let next = Statement {
                attempts: statement.attempts + 1,
                ..statement
            };
            self.returning.push((returns, next));
        }
    }

    fn take_returning(&mut self, now: Instant) -> Vec<Statement> {
        let is_due = |one: &mut (Instant, Statement)| one.0 <= now;
        let returned = self.returning.extract_if(.., is_due);
        returned
            .map(|(_, statement)| Statement {
                arrived: now,
                ..statement
            })
            .collect()
    }
}

/// Plays a pattern and returns what became of each workspace's statements.
fn play(pattern: &LoadPattern, policy: LoadPolicy, seed: u64) -> [Outcome; WORKSPACES] {
    let mut random = rand::rngs::StdRng::seed_from_u64(seed);
    let mut world = World::new(policy, pattern.objective);
    let start = Instant::now();
    let mut held_back: Vec<Statement> = Vec::new();
    let steps = pattern.length.as_millis() as u32;
    for step in 0..steps {
        let since = STEP * step;
        let now = start + since;
        let slow = pattern.slow.as_ref();
        let slow = slow.filter(|(span, _)| span.contains(&since));
        world.slowness = slow.map_or(1, |(_, times)| *times);
        world.finish_due(now);
        world.give_up_late(now);
        let is_lost = pattern
            .lost
            .as_ref()
            .is_some_and(|span| span.contains(&since));
        let mut arriving = Vec::new();
        let mut add = |workspace: usize, random: &mut rand::rngs::StdRng| {
            arriving.push(Statement {
                workspace,
                asked: now,
                arrived: now,
                attempts: 1,
                service: Duration::from_millis(random.random_range(8..=32)),
            });
        };
        let rush = pattern.rush.as_ref();
        let rush = rush.filter(|(span, _)| span.contains(&since));
        let times = rush.map_or(1.0, |(_, times)| *times);
        for (workspace, rate) in pattern.rates.iter().enumerate() {
            if random.random_bool(rate * times * STEP.as_secs_f64()) {
                add(workspace, &mut random);
            }
        }
        if let Some((count, period)) = pattern.burst
            && step > 0
            && u128::from(step) % period.as_millis() == 0
        {
            for _ in 0..count {
                add(HOT, &mut random);
            }
        }
        for statement in &arriving {
            world.outcomes[statement.workspace].asked += 1;
        }
        held_back.extend(arriving);
        held_back.extend(world.take_returning(now));
        if is_lost {
            let is_given_up = |one: &mut Statement| now - one.arrived >= PATIENCE;
            let given_up: Vec<Statement> = held_back.extract_if(.., is_given_up).collect();
            for statement in given_up {
                world.refuse(statement, now + RETRY_PAUSE);
            }
            continue;
        }
        for statement in held_back.drain(..) {
            world.ask(statement, now);
        }
    }
    world.outcomes
}

const ORDERS: [LoadPolicy; 3] = [DUE_FIRST, FAIR_TURNS, IN_TIME_FIRST];
const SEEDS: std::ops::Range<u64> = 1..5;

/// The outcomes of an order over all seeds: of the hot workspace and of all others.
fn summed(pattern: &LoadPattern, policy: LoadPolicy) -> (Outcome, Outcome) {
    let mut sums = (Outcome::default(), Outcome::default());
    for seed in SEEDS {
        let outcomes = play(pattern, policy, seed);
        sums.0 = sums.0.add(outcomes[HOT]);
        sums.1 = outcomes[HOT + 1..]
            .iter()
            .fold(sums.1, |sum, one| sum.add(*one));
    }
    sums
}

/// Prints and returns the outcomes by due time alone and with turns.
fn compare<const N: usize>(
    label: &str,
    pattern: &LoadPattern,
    policies: [LoadPolicy; N],
) -> [(Outcome, Outcome); N] {
    policies.map(|policy| {
        let (hot, others) = summed(pattern, policy);
        println!(
            "{label}, {policy:?}: hot in time {:.3} served {:.3}, others in time {:.3} served {:.3}, all in time {:.3} served {:.3}",
            hot.share_in_time(),
            hot.share_served(),
            others.share_in_time(),
            others.share_served(),
            hot.add(others).share_in_time(),
            hot.add(others).share_served(),
        );
        (hot, others)
    })
}

fn hot_workspace() -> LoadPattern {
    let mut rates = [5.0; WORKSPACES];
    rates[HOT] = 130.0;
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
        slow: Some((Duration::from_secs(5)..Duration::from_secs(15), 4)),
        ..LoadPattern::default()
    }
}

fn lost_leader() -> LoadPattern {
    LoadPattern {
        lost: Some(Duration::from_secs(5)..Duration::from_secs(7)),
        ..LoadPattern::default()
    }
}

/// The outcomes of [`ORDERS`], played once for all tests.
type OrderOutcomes = LazyLock<[(Outcome, Outcome); 3]>;

static OF_HOT: OrderOutcomes = LazyLock::new(|| compare("hot", &hot_workspace(), ORDERS));
static OF_BURST: OrderOutcomes = LazyLock::new(|| compare("burst", &burst(), ORDERS));
static OF_SLOW: OrderOutcomes = LazyLock::new(|| compare("slow", &slow_database(), ORDERS));
static OF_LOST: OrderOutcomes = LazyLock::new(|| compare("lost leader", &lost_leader(), ORDERS));

fn total_of((hot, others): (Outcome, Outcome)) -> Outcome {
    hot.add(others)
}

#[test]
fn a_hot_workspace_does_not_crowd_out_quiet_ones() {
    let [before, turns, in_time_first] = *OF_HOT;
    for after in [turns, in_time_first] {
        assert!(after.1.share_in_time() >= 0.95, "{after:?}");
        assert!(after.1.share_in_time() > before.1.share_in_time() + 0.1);
        assert!(total_of(after).share_in_time() > total_of(before).share_in_time());
    }
}

#[test]
fn a_burst_of_one_workspace_delays_itself() {
    let [before, turns, in_time_first] = *OF_BURST;
    for after in [turns, in_time_first] {
        assert!(after.1.share_in_time() >= 0.95, "{after:?}");
        assert!(after.1.share_in_time() > before.1.share_in_time());
        assert!(total_of(after).share_in_time() > total_of(before).share_in_time());
    }
}

#[test]
fn a_slow_database_serves_no_fewer_statements_by_turns() {
    let [before, turns, in_time_first] = OF_SLOW.map(total_of);
    for after in [turns, in_time_first] {
        assert!(after.share_in_time() >= before.share_in_time() - 0.01);
        assert!(after.share_served() >= before.share_served() - 0.01);
    }
}

#[test]
fn callers_that_return_to_a_new_leader_are_served_no_worse_by_turns() {
    let [before, turns, in_time_first] = OF_LOST.map(total_of);
    for after in [turns, in_time_first] {
        assert!(after.share_in_time() >= before.share_in_time() - 0.01);
        assert!(after.share_served() >= before.share_served() - 0.01);
    }
}

#[test]
fn a_backlog_of_late_statements_does_not_make_new_ones_late() {
    for (label, outcomes) in [
        ("hot", *OF_HOT),
        ("burst", *OF_BURST),
        ("slow", *OF_SLOW),
        ("lost leader", *OF_LOST),
    ] {
        let [_, turns, in_time_first] = outcomes.map(total_of);
        let (before, after) = (turns, in_time_first);
        assert!(
            after.share_in_time() > before.share_in_time(),
            "{label}: {after:?}"
        );
        assert!(
            after.share_served() >= before.share_served() - 0.01,
            "{label}: {after:?}"
        );
    }
}

#[test]
fn a_rush_beyond_what_the_database_serves_is_refused_at_once() {
    let rush = LoadPattern {
        rush: Some((Duration::from_secs(5)..Duration::from_secs(15), 4.0)),
        objective: Duration::from_secs(1),
        ..LoadPattern::default()
    };
    let [before, after] = compare("rush", &rush, [IN_TIME_FIRST, EARLY_REFUSAL]).map(total_of);
    println!("{before:?} {after:?}");
    assert!(after.share_in_time() >= before.share_in_time() - 0.01);
    assert!(after.share_served() >= before.share_served() - 0.01);
    assert!(after.waited_in_vain < before.waited_in_vain);
}

#[test]
fn nobody_is_refused_at_once_while_the_database_keeps_up() {
    for (label, pattern) in [("usual", LoadPattern::default()), ("burst", burst())] {
        let [after] = compare(label, &pattern, [EARLY_REFUSAL]).map(total_of);
        assert_eq!(after.refused_at_once, 0, "{label}");
    }
}

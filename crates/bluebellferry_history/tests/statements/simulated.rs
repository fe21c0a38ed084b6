//! Checks histories of a simulated group of databases and a VM: a correct group
//! yields no violation, and stale reads of an incorrect one are found.

use bluebellferry_history::statement;
use bluebellferry_types::position;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use statement::RouteKind;
use statement::StatementAction as Action;
use statement::StatementOutcome as Outcome;

use crate::fixtures;
use crate::fixtures::MS;

const NAMES: [&str; 3] = ["a", "b", "c"];
const MAX_STALENESS: u64 = 1_500 * MS;

#[derive(Debug, Clone)]
enum GroupStep {
    /// A single write that is replicated to `replicas` replicas; with none, its
    /// outcome is in doubt.
    Write {
        session: u64,
        replicas: usize,
    },
    /// A read that runs on a member, or on the leader if the member's log is not
    /// recent enough.
    Read {
        session: u64,
        member: usize,
        kind: RouteKind,
    },
    /// A transaction with a read and a write, which is committed or rolled back.
    Transaction {
        session: u64,
        commits: bool,
    },
    /// A member receives the leader's whole log.
    CatchUp {
        member: usize,
    },
    /// The leader is replaced by the other member with the longest log.
    Promote,
    /// The API key is replaced; the VM applies the new version after a delay.
    ReplaceKey {
        delay_ms: u64,
    },
    /// The VM is killed and started again later.
    Kill {
        down_ms: u64,
    },
    Wait {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<GroupStep>> {
    let kind = prop_oneof![
        Just(RouteKind::Primary),
        Just(RouteKind::BoundedAge {
            bound_us: MAX_STALENESS
        }),
        Just(RouteKind::ReadYourWrites {
            bound_us: MAX_STALENESS
        }),
    ];
    let step = prop_oneof![
        4 => (0..4_u64, 0..3_usize).prop_map(|(session, replicas)| GroupStep::Write { session, replicas }),
        6 => (0..4_u64, 0..3_usize, kind).prop_map(|(session, member, kind)| GroupStep::Read { session, member, kind }),
        2 => (0..4_u64, any::<bool>()).prop_map(|(session, commits)| GroupStep::Transaction { session, commits }),
        3 => (0..3_usize).prop_map(|member| GroupStep::CatchUp { member }),
        1 => Just(GroupStep::Promote),
        1 => (0..2_900_u64).prop_map(|delay_ms| GroupStep::ReplaceKey { delay_ms }),
        1 => (0..3_000_u64).prop_map(|down_ms| GroupStep::Kill { down_ms }),
        3 => (0..3_000_u64).prop_map(|ms| GroupStep::Wait { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// A simulated group of three databases behind one VM. No log is longer than the
/// leader's, which contains all acknowledged commits.
#[derive(Debug)]
struct SimulatedGroup {
    history: statement::StatementHistory,
    now_us: u64,
    leader: usize,
    term: u64,
    /// Each member's log: the term of each commit.
    logs: [Vec<u64>; 3],
    /// Acknowledged commits: time, session, and the length of the log up to the
    /// commit.
    acknowledged: Vec<(u64, u64, usize)>,
    key: String,
    /// The key of the version that the VM has applied.
    vm_key: String,
    /// When the VM applies the newest version, in microseconds.
    vm_applies_us: u64,
    request_count: u64,
    transaction_count: u64,
    /// Whether reads run on any member, even if its log is not recent enough.
    allows_stale_reads: bool,
}

impl SimulatedGroup {
    fn new() -> Self {
        Self {
            history: fixtures::new_history(),
            now_us: fixtures::BASE,
            leader: 0,
            term: 1,
            logs: Default::default(),
            acknowledged: Vec::new(),
            key: fixtures::KEY.to_owned(),
            vm_key: fixtures::KEY.to_owned(),
            vm_applies_us: 0,
            request_count: 0,
            transaction_count: 0,
            allows_stale_reads: false,
        }
    }

    /// Returns the end of a member's log.
    fn log_end(&self, member: usize) -> position::LogPosition {
        let log = &self.logs[member];
        position::LogPosition::new(log.last().copied().unwrap_or(1), log.len() as u64)
    }

    /// Returns a statement that is sent 110 ms after the last one and that the VM
    /// admits; records a refusal instead if the VM hasn't applied the key yet.
    fn statement(&mut self, session: u64, action: Action) -> Option<statement::CallerStatement> {
        self.now_us += 110 * MS;
        self.request_count += 1;
        if self.now_us >= self.vm_applies_us {
            self.vm_key.clone_from(&self.key);
        }
        let mut statement = fixtures::successful_statement(
            &format!("q{}", self.request_count),
            action,
            self.now_us,
        );
        statement.session = session;
        statement.attempt = 1_000 + self.request_count;
        statement.key.clone_from(&self.key);
        if self.key == self.vm_key {
            return Some(statement);
        }
        statement.outcome = Outcome::KeyRefused;
        self.history.statements.push(statement);
        None
    }

    /// Records a statement and its execution on a member.
    fn push(&mut self, statement: statement::CallerStatement, member: usize) {
        let mut run = fixtures::run_of(&statement, 0);
        run.database = NAMES[member].to_owned();
        run.position = self.log_end(member);
        if !statement.outcome.is_success() {
            (run.receipt, run.ended_us) = (None, None);
        }
        self.history.runs.push(run);
        self.history.statements.push(statement);
    }

    /// Commits writes on the leader, replicates its log to `replicas` members and
    /// records the commit.
    fn commit(
        &mut self,
        mut statement: statement::CallerStatement,
        writes: Vec<String>,
        replicas: usize,
    ) {
        let mut commit = fixtures::commit_of(&statement, 0, 0);
        self.logs[self.leader].push(self.term);
        commit.database = NAMES[self.leader].to_owned();
        commit.writes = writes;
        commit.position = self.log_end(self.leader);
        for distance in 1..=replicas {
            self.catch_up((self.leader + distance) % 3);
        }
        if replicas == 0 {
            commit.acknowledged_us = None;
            statement.outcome = Outcome::InDoubt;
        } else {
            let acknowledged_us = statement.sent_us + MS;
            let end = commit.position.offset as usize;
            self.acknowledged
                .push((acknowledged_us, statement.session, end));
        }
        self.history.commits.push(commit);
        self.push(statement, self.leader);
    }

    fn catch_up(&mut self, member: usize) {
        self.logs[member] = self.logs[self.leader].clone();
    }

    /// Returns whether a member's log contains the commits that a read must include.
    fn is_recent_enough(&self, member: usize, session: u64, kind: RouteKind) -> bool {
        let (max_staleness_us, must_include_own) = match kind {
            RouteKind::Primary => (0, true),
            RouteKind::BoundedAge { bound_us } => (bound_us, false),
            RouteKind::ReadYourWrites { bound_us } => (bound_us, true),
        };
        let is_required = |(time, writer, _): &&(u64, u64, usize)| {
            time + max_staleness_us <= self.now_us || must_include_own && *writer == session
        };
        let required = self.acknowledged.iter().filter(is_required);
        let required_length = required.map(|(_, _, end)| *end).max().unwrap_or(0);
        let log = &self.logs[member];
        log.len() >= required_length
            && log[..required_length] == self.logs[self.leader][..required_length]
    }

    /// Performs a step and records its events.
    fn perform(&mut self, step: &GroupStep) {
        match *step {
            GroupStep::Write { session, replicas } => {
                if let Some(statement) = self.statement(session, Action::Write) {
                    let writes = vec![statement.request.clone()];
                    self.commit(statement, writes, replicas);
                }
            }
            GroupStep::Read {
                session,
                member,
                kind,
            } => {
                let Some(mut statement) = self.statement(session, Action::Read) else {
                    return;
                };
                statement.kind = kind;
                let is_allowed =
                    self.allows_stale_reads || self.is_recent_enough(member, session, kind);
                let member = if is_allowed { member } else { self.leader };
                self.push(statement, member);
            }
            GroupStep::Transaction { session, commits } => {
                let Some(first) = self.statement(session, Action::Read) else {
                    return;
                };
                self.transaction_count += 1;
                let attempt = self.transaction_count;
                let in_transaction = |mut statement: statement::CallerStatement, action: Action| {
                    statement.attempt = attempt;
                    statement.is_in_transaction = true;
                    statement.action = action;
                    statement.text = format!("{action:?} item");
                    statement
                };
                let later = |number: u64, action: Action| {
                    let mut statement = in_transaction(first.clone(), action);
                    statement.request = format!("{}-{number}", first.request);
                    statement.sent_us += number * 3 * MS;
                    statement.ended_us += number * 3 * MS;
                    statement.outcome = fixtures::success_of(&statement.request);
                    statement
                };
                let (write, end) = (later(1, Action::Write), Action::Commit);
                let writes = vec![write.request.clone()];
                self.push(in_transaction(first.clone(), Action::Read), self.leader);
                self.push(write, self.leader);
                if commits {
                    self.commit(later(2, end), writes, 1);
                } else {
                    self.push(later(2, Action::Rollback), self.leader);
                }
            }
            GroupStep::CatchUp { member } => self.catch_up(member),
            GroupStep::Promote => {
                let others = (1..3).map(|distance| (self.leader + distance) % 3);
                let successor = others.max_by_key(|member| self.logs[*member].len());
                self.leader = successor.unwrap_or(self.leader);
                self.term += 1;
                self.now_us += 200 * MS;
                self.history.promotions.push(statement::DatabasePromotion {
                    database: NAMES[self.leader].to_owned(),
                    service: "rental".to_owned(),
                    term: self.term,
                    kept: self.log_end(self.leader),
                    promoted_us: self.now_us,
                });
                (0..3).for_each(|member| self.catch_up(member));
            }
            GroupStep::ReplaceKey { delay_ms } => {
                let version = self.history.configurations.len() as u64 + 1;
                self.key = format!("key-{version}-of-families");
                let change = fixtures::configuration(version, self.now_us, &[&self.key], 10.0);
                self.history.configurations.push(change);
                self.vm_applies_us = self.vm_applies_us.max(self.now_us + delay_ms * MS);
            }
            GroupStep::Kill { down_ms } => {
                let unanswered = self.statement(9, Action::Read);
                self.history
                    .statements
                    .extend(unanswered.map(|mut statement| {
                        statement.outcome = Outcome::Broken;
                        statement
                    }));
                let killed_us = self.now_us;
                self.now_us += down_ms * MS;
                self.history
                    .faults
                    .push(fixtures::vm_fault(killed_us, self.now_us));
                self.history.starts.push(fixtures::start(self.now_us));
            }
            GroupStep::Wait { ms } => self.now_us += ms * MS,
        }
    }
}

#[test]
fn stale_reads_are_found_in_most_histories() {
    let mut runner = TestRunner::deterministic();
    let mut is_found = || {
        let steps = steps()
            .new_tree(&mut runner)
            .expect("the strategy generates steps")
            .current();
        let mut group = SimulatedGroup::new();
        group.allows_stale_reads = true;
        steps.iter().for_each(|step| group.perform(step));
        let violations = fixtures::check(&group.history);
        let is_stale = |violation: &statement::StatementViolation| {
            matches!(violation, statement::StatementViolation::StaleRead { .. })
        };
        violations.iter().any(is_stale)
    };
    assert!((0..50).filter(|_| is_found()).count() > 25);
}

proptest! {
    #[test]
    fn correct_group_violates_no_guarantee(steps in steps()) {
        let mut group = SimulatedGroup::new();
        for step in &steps {
            group.perform(step);
        }
        prop_assert_eq!(fixtures::check(&group.history), []);
    }
}

//! A group and a VM that keep their promises never yield a violation.

use bluebellferry_history::statement;
use bluebellferry_types::position;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use statement::RouteKind;
use statement::StatementAction as Action;
use statement::StatementOutcome as Outcome;

use crate::draft;
use crate::draft::MS;

const NAMES: [&str; 3] = ["a", "b", "c"];
const BOUND: u64 = 1_500 * MS;

#[derive(Debug, Clone)]
enum GroupStep {
    /// A write that this many replicas receive; none leaves it in doubt.
    Write {
        session: u64,
        copies: usize,
    },
    /// A read that asks a member first.
    Read {
        session: u64,
        member: usize,
        kind: RouteKind,
    },
    /// A transaction with a read and a write, committed or rolled back.
    Transaction {
        session: u64,
        commits: bool,
    },
    /// Replicas receive what the leader has.
    CatchUp {
        member: usize,
    },
    /// The leader is lost; the longest log of the others is promoted.
    Promote,
    /// Keys change; the VM has the version after a while.
    Rekey {
        delay_ms: u64,
    },
    /// The VM is killed and started again.
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
        Just(RouteKind::BoundedAge { bound_us: BOUND }),
        Just(RouteKind::ReadYourWrites { bound_us: BOUND }),
    ];
    let step = prop_oneof![
        4 => (0..4_u64, 0..3_usize).prop_map(|(session, copies)| GroupStep::Write { session, copies }),
        6 => (0..4_u64, 0..3_usize, kind).prop_map(|(session, member, kind)| GroupStep::Read { session, member, kind }),
        2 => (0..4_u64, any::<bool>()).prop_map(|(session, commits)| GroupStep::Transaction { session, commits }),
        3 => (0..3_usize).prop_map(|member| GroupStep::CatchUp { member }),
        1 => Just(GroupStep::Promote),
        1 => (0..2_900_u64).prop_map(|delay_ms| GroupStep::Rekey { delay_ms }),
        1 => (0..3_000_u64).prop_map(|down_ms| GroupStep::Kill { down_ms }),
        3 => (0..3_000_u64).prop_map(|ms| GroupStep::Wait { ms }),
    ];
    prop::collection::vec(step, 1..200)
}

/// Each member's log holds terms and offsets; the highest log lies with the
/// leader.
#[derive(Debug)]
struct SimulatedGroup {
    history: statement::StatementHistory,
    now_us: u64,
    leader: usize,
    term: u64,
    logs: [Vec<u64>; 3],
    /// What had been acknowledged, by time: the end that covers it.
    acknowledged: Vec<(u64, u64, usize)>,
    key: String,
    /// The key that the VM knows, and the one that it will know.
    vm_key: String,
    vm_changes_us: u64,
    requests: u64,
    transactions: u64,
    /// Whether reads run where they may not.
    is_careless: bool,
}

impl SimulatedGroup {
    fn new() -> Self {
        Self {
            history: draft::history(),
            now_us: draft::NOON,
            leader: 0,
            term: 1,
            logs: Default::default(),
            acknowledged: Vec::new(),
            key: draft::KEY.to_owned(),
            vm_key: draft::KEY.to_owned(),
            vm_changes_us: 0,
            requests: 0,
            transactions: 0,
            is_careless: false,
        }
    }

    fn end(&self, member: usize) -> position::LogPosition {
        let log = &self.logs[member];
        position::LogPosition::new(log.last().copied().unwrap_or(1), log.len() as u64)
    }

    /// Returns a statement that the VM admits, 110 ms later than the last; a key
    /// that it does not know is refused and recorded so.
    fn statement(&mut self, session: u64, action: Action) -> Option<statement::CallerStatement> {
        self.now_us += 110 * MS;
        self.requests += 1;
        if self.now_us >= self.vm_changes_us {
            self.vm_key.clone_from(&self.key);
        }
        let mut sent = draft::sent(&format!("q{}", self.requests), action, self.now_us);
        sent.session = session;
        sent.attempt = 1_000 + self.requests;
        sent.key.clone_from(&self.key);
        if self.key == self.vm_key {
            return Some(sent);
        }
        sent.outcome = Outcome::KeyRefused;
        self.history.statements.push(sent);
        None
    }

    fn push(&mut self, statement: statement::CallerStatement, member: usize) {
        let mut run = draft::run(&statement, 0);
        run.database = NAMES[member].to_owned();
        run.position = self.end(member);
        if !statement.outcome.is_success() {
            (run.receipt, run.ended_us) = (None, None);
        }
        self.history.runs.push(run);
        self.history.statements.push(statement);
    }

    fn commit(&mut self, mut sent: statement::CallerStatement, writes: Vec<String>, copies: usize) {
        let mut commit = draft::commit(&sent, 0, 0);
        self.logs[self.leader].push(self.term);
        commit.database = NAMES[self.leader].to_owned();
        commit.writes = writes;
        commit.position = self.end(self.leader);
        for copy in 1..=copies {
            self.catch_up((self.leader + copy) % 3);
        }
        if copies == 0 {
            commit.acknowledged_us = None;
            sent.outcome = Outcome::InDoubt;
        } else {
            let acknowledged_us = sent.sent_us + MS;
            let end = commit.position.offset as usize;
            self.acknowledged.push((acknowledged_us, sent.session, end));
        }
        self.history.commits.push(commit);
        self.push(sent, self.leader);
    }

    fn catch_up(&mut self, member: usize) {
        self.logs[member] = self.logs[self.leader].clone();
    }

    /// Returns whether a member's log covers what a read must see.
    fn covers(&self, member: usize, session: u64, kind: RouteKind) -> bool {
        let (bound_us, sees_own) = match kind {
            RouteKind::Primary => (0, true),
            RouteKind::BoundedAge { bound_us } => (bound_us, false),
            RouteKind::ReadYourWrites { bound_us } => (bound_us, true),
        };
        let is_due = |(time, writer, _): &&(u64, u64, usize)| {
            time + bound_us <= self.now_us || sees_own && *writer == session
        };
        let due = self.acknowledged.iter().filter(is_due);
        let due = due.map(|(_, _, end)| *end).max().unwrap_or(0);
        let log = &self.logs[member];
        log.len() >= due && log[..due] == self.logs[self.leader][..due]
    }

    fn take(&mut self, step: &GroupStep) {
        match *step {
            GroupStep::Write { session, copies } => {
                if let Some(sent) = self.statement(session, Action::Write) {
                    let writes = vec![sent.request.clone()];
                    self.commit(sent, writes, copies);
                }
            }
            GroupStep::Read {
                session,
                member,
                kind,
            } => {
                let Some(mut sent) = self.statement(session, Action::Read) else {
                    return;
                };
                sent.kind = kind;
                let is_fit = self.is_careless || self.covers(member, session, kind);
                let member = if is_fit { member } else { self.leader };
                self.push(sent, member);
            }
            GroupStep::Transaction { session, commits } => {
                let Some(first) = self.statement(session, Action::Read) else {
                    return;
                };
                self.transactions += 1;
                let attempt = self.transactions;
                let step = |mut sent: statement::CallerStatement, action: Action| {
                    sent.attempt = attempt;
                    sent.is_in_transaction = true;
                    sent.action = action;
                    sent.text = format!("{action:?} item");
                    sent
                };
                let later = |number: u64, action: Action| {
                    let mut sent = step(first.clone(), action);
                    sent.request = format!("{}-{number}", first.request);
                    sent.sent_us += number * 3 * MS;
                    sent.ended_us += number * 3 * MS;
                    sent.outcome = draft::answered(&sent.request);
                    sent
                };
                let (write, end) = (later(1, Action::Write), Action::Commit);
                let writes = vec![write.request.clone()];
                self.push(step(first.clone(), Action::Read), self.leader);
                self.push(write, self.leader);
                if commits {
                    self.commit(later(2, end), writes, 1);
                } else {
                    self.push(later(2, Action::Rollback), self.leader);
                }
            }
            GroupStep::CatchUp { member } => self.catch_up(member),
            GroupStep::Promote => {
                let others = (1..3).map(|step| (self.leader + step) % 3);
                let chosen = others.max_by_key(|member| self.logs[*member].len());
                self.leader = chosen.unwrap_or(self.leader);
                self.term += 1;
                self.now_us += 200 * MS;
                self.history.promotions.push(statement::DatabasePromotion {
                    database: NAMES[self.leader].to_owned(),
                    service: "rental".to_owned(),
                    term: self.term,
                    kept: self.end(self.leader),
                    promoted_us: self.now_us,
                });
                (0..3).for_each(|member| self.catch_up(member));
            }
            GroupStep::Rekey { delay_ms } => {
                let version = self.history.configurations.len() as u64 + 1;
                self.key = format!("key-{version}-of-families");
                let change = draft::configuration(version, self.now_us, &[&self.key], 10.0);
                self.history.configurations.push(change);
                self.vm_changes_us = self.vm_changes_us.max(self.now_us + delay_ms * MS);
            }
            GroupStep::Kill { down_ms } => {
                let broken = self.statement(9, Action::Read);
                self.history.statements.extend(broken.map(|mut sent| {
                    sent.outcome = Outcome::Broken;
                    sent
                }));
                let killed_us = self.now_us;
                self.now_us += down_ms * MS;
                self.history
                    .faults
                    .push(draft::vm_fault(killed_us, self.now_us));
                self.history.starts.push(draft::start(self.now_us));
            }
            GroupStep::Wait { ms } => self.now_us += ms * MS,
        }
    }
}

#[test]
fn a_group_that_reads_anywhere_is_found_out_by_most_histories() {
    let mut runner = TestRunner::deterministic();
    let mut is_found = || {
        let steps = steps()
            .new_tree(&mut runner)
            .expect("steps are drawn")
            .current();
        let mut group = SimulatedGroup::new();
        group.is_careless = true;
        steps.iter().for_each(|step| group.take(step));
        let violations = draft::check(&group.history);
        let is_stale = |violation: &statement::StatementViolation| {
            matches!(violation, statement::StatementViolation::StaleRead { .. })
        };
        violations.iter().any(is_stale)
    };
    assert!((0..50).filter(|_| is_found()).count() > 25);
}

proptest! {
    #[test]
    fn a_correct_group_never_breaks_a_promise(steps in steps()) {
        let mut group = SimulatedGroup::new();
        for step in &steps {
            group.take(step);
        }
        prop_assert_eq!(draft::check(&group.history), []);
    }
}

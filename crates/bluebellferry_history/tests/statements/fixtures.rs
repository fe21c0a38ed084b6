//! Builders of histories without violations, and of their parts.

use std::collections::BTreeMap;

use bluebellferry_history::statement;
use bluebellferry_types::position;

use statement::StatementAction as Action;

/// One millisecond, in microseconds.
pub(crate) const MS: u64 = 1_000;
/// The time around which statements and faults are placed, in microseconds: well
/// after the start.
pub(crate) const BASE: u64 = 100_000 * MS;
pub(crate) const KEY: &str = "key-of-families";
pub(crate) const VM: &str = "vm-0";

/// Returns a history with one start of a VM, one version of the configuration and no
/// statements.
pub(crate) fn new_history() -> statement::StatementHistory {
    statement::StatementHistory {
        starts: vec![start(0)],
        configurations: vec![configuration(1, MS, &[KEY], 10.0)],
        ..Default::default()
    }
}

pub(crate) fn start(started_us: u64) -> statement::VmStart {
    statement::VmStart {
        vm: VM.to_owned(),
        started_us,
    }
}

pub(crate) fn configuration(
    version: u64,
    sent_us: u64,
    keys: &[&str],
    rate_per_s: f64,
) -> statement::ConfigurationChange {
    statement::ConfigurationChange {
        version,
        sent_us,
        confirmed_us: sent_us,
        routes: vec![statement::ConfiguredRoute {
            name: "counter".to_owned(),
            service: "rental".to_owned(),
            is_public: false,
        }],
        workspaces: vec![statement::ConfiguredWorkspace {
            name: "families".to_owned(),
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            rate_per_s,
            burst: 0.0,
        }],
    }
}

pub(crate) fn fault_span(
    target: statement::FaultTarget,
    started_us: u64,
    ended_us: u64,
) -> statement::FaultSpan {
    statement::FaultSpan {
        target,
        started_us,
        ended_us,
    }
}

pub(crate) fn vm_fault(started_us: u64, ended_us: u64) -> statement::FaultSpan {
    fault_span(
        statement::FaultTarget::Vm(VM.to_owned()),
        started_us,
        ended_us,
    )
}

pub(crate) fn signal(is_stop: bool, sent_us: u64) -> statement::VmSignal {
    statement::VmSignal {
        vm: VM.to_owned(),
        is_stop,
        sent_us,
    }
}

/// Returns a successful statement of session 1, in its own attempt and answered after
/// 2 ms.
pub(crate) fn successful_statement(
    request: &str,
    action: Action,
    sent_us: u64,
) -> statement::CallerStatement {
    statement::CallerStatement {
        session: 1,
        attempt: request
            .bytes()
            .fold(0, |sum, byte| sum * 256 + u64::from(byte)),
        is_in_transaction: false,
        request: request.to_owned(),
        vm: VM.to_owned(),
        route: "counter".to_owned(),
        kind: statement::RouteKind::Primary,
        timeout_us: 1_500 * MS,
        key: KEY.to_owned(),
        action,
        text: format!("{action:?} item"),
        shape: None,
        values: BTreeMap::new(),
        sent_us,
        ended_us: sent_us + 2 * MS,
        outcome: success_of(request),
    }
}

/// Returns a successful statement that is part of a transaction, in session 1.
pub(crate) fn transaction_statement(
    attempt: u64,
    request: &str,
    action: Action,
    sent_us: u64,
) -> statement::CallerStatement {
    statement::CallerStatement {
        attempt,
        is_in_transaction: true,
        ..successful_statement(request, action, sent_us)
    }
}

pub(crate) fn success_of(request: &str) -> statement::StatementOutcome {
    statement::StatementOutcome::Answered {
        receipt: format!("receipt-{request}"),
        rows: Vec::new(),
    }
}

/// Returns a statement's execution on database `a`, 1 ms after the statement was
/// sent; the database's log ends at `offset` in term 1.
pub(crate) fn run_of(
    statement: &statement::CallerStatement,
    offset: u64,
) -> statement::DatabaseRun {
    statement::DatabaseRun {
        request: statement.request.clone(),
        database: "a".to_owned(),
        service: "rental".to_owned(),
        workspace: "families".to_owned(),
        connection: 1,
        transaction: statement.is_in_transaction.then_some(statement.attempt),
        action: statement.action,
        text: statement.text.clone(),
        shape: statement.shape.clone(),
        values: statement.values.clone(),
        position: position::LogPosition::new(1, offset),
        started_us: statement.sent_us + MS,
        ended_us: Some(statement.sent_us + MS),
        receipt: Some(format!("receipt-{}", statement.request)),
        rows: Vec::new(),
    }
}

/// Returns a statement's commit on database `a`, acknowledged 1 ms after the
/// statement was sent.
pub(crate) fn commit_of(
    statement: &statement::CallerStatement,
    term: u64,
    offset: u64,
) -> statement::DatabaseCommit {
    statement::DatabaseCommit {
        request: statement.request.clone(),
        writes: vec![statement.request.clone()],
        database: "a".to_owned(),
        service: "rental".to_owned(),
        is_synchronous: true,
        position: position::LogPosition::new(term, offset),
        committed_us: statement.sent_us + MS,
        acknowledged_us: Some(statement.sent_us + MS),
    }
}

/// Returns the promotion of database `b` in term 2; its log ends at offset `kept`.
pub(crate) fn promotion_of_b(kept: u64, promoted_us: u64) -> statement::DatabasePromotion {
    statement::DatabasePromotion {
        database: "b".to_owned(),
        service: "rental".to_owned(),
        term: 2,
        kept: position::LogPosition::new(1, kept),
        promoted_us,
    }
}

/// Adds a statement and its execution.
pub(crate) fn push_with_run(
    history: &mut statement::StatementHistory,
    statement: statement::CallerStatement,
    offset: u64,
) {
    history.runs.push(run_of(&statement, offset));
    history.statements.push(statement);
}

/// Adds a single write `w`, acknowledged at `acknowledged_us` and committed at
/// offset 1 in term 1.
pub(crate) fn push_committed_write(
    history: &mut statement::StatementHistory,
    acknowledged_us: u64,
) {
    let write = successful_statement("w", Action::Write, acknowledged_us - MS);
    history.commits.push(commit_of(&write, 1, 1));
    push_with_run(history, write, 1);
}

pub(crate) fn check(history: &statement::StatementHistory) -> Vec<statement::StatementViolation> {
    statement::check_statements(history, &statement::HistoryBounds::default())
}

/// Returns a copy of a history with a change applied.
pub(crate) fn modified(
    history: &statement::StatementHistory,
    change: impl FnOnce(&mut statement::StatementHistory),
) -> statement::StatementHistory {
    let mut changed = history.clone();
    change(&mut changed);
    changed
}

//! Checks that callers are served during orderly stops and reloads, and again after
//! faults.

use std::collections::BTreeSet;

use super::CallerStatement;
use super::StatementAction;
use super::StatementOutcome;
use super::StatementViolation;
use super::VmSignal;
use super::index;

/// Time after the shutdown grace in which an unanswered request still counts as
/// interrupted by the stop, in microseconds.
const STOP_OVERRUN_US: u64 = 1_000_000;
/// How long after the signal to stop, in microseconds, a request may be sent and its
/// interruption still be excused by a database that is executing it.
const MAX_EXCUSED_SEND_DELAY_US: u64 = 3_000_000;
/// Minimum number of consecutive failed requests that show that a VM serves no requests.
const MIN_FAILED_REQUESTS: usize = 4;
/// Minimum number of requests from which the share of successful ones is computed.
const MIN_REQUESTS_FOR_SHARE: usize = 20;

/// Finds requests that an orderly stop or a reload interrupted.
pub(super) fn find_interrupted_requests(
    index: &index::HistoryIndex<'_>,
) -> Vec<StatementViolation> {
    let is_unanswered = |statement: &&CallerStatement| {
        statement.outcome == StatementOutcome::Broken && statement.action != StatementAction::Start
    };
    let unanswered = index.history.statements.iter().filter(is_unanswered);
    let interrupted = unanswered.filter(|statement| {
        let mut signals = index.history.signals.iter();
        signals
            .any(|signal| signal.vm == statement.vm && is_interrupted_by(index, statement, signal))
    });
    interrupted
        .map(|statement| StatementViolation::CutRequest {
            request: statement.request.clone(),
            vm: statement.vm.clone(),
        })
        .collect()
}

/// Returns whether a VM accepted a request and a signal to the VM interrupted it.
/// Does not count an interruption that a timeout, a fault or a database that was still
/// executing the request excuses.
fn is_interrupted_by(
    index: &index::HistoryIndex<'_>,
    statement: &CallerStatement,
    signal: &VmSignal,
) -> bool {
    let bounds = index.bounds;
    let (sent_us, ended_us) = (statement.sent_us, statement.ended_us);
    let runs = index.runs_of(&statement.request);
    let duration_us = ended_us - sent_us;
    let starts_attempt = index.starts_attempt(statement);
    // The VM must accept the next statement of a transaction that was open at the
    // signal.
    let was_open = !starts_attempt && index.attempt_start_us(statement) < signal.sent_us;
    let was_accepted = was_open || !runs.is_empty() || duration_us > bounds.unread_request_us;
    let undisturbed_from_us = sent_us.saturating_sub(bounds.fault_grace_us);
    let is_excused = duration_us >= statement.timeout_us
        || index.has_vm_fault(&statement.vm, undisturbed_from_us, ended_us)
        || runs
            .iter()
            .any(|run| index.has_database_fault(&run.database, sent_us, ended_us));
    if !was_accepted || is_excused || ended_us < signal.sent_us {
        return false;
    }
    if !signal.is_stop {
        return sent_us <= signal.sent_us + bounds.configuration_apply_us;
    }
    // After half of the shutdown grace, a VM may close open transactions.
    let counted_until_us = if starts_attempt {
        signal.sent_us + bounds.shutdown_grace_us + STOP_OVERRUN_US
    } else {
        signal.sent_us + bounds.shutdown_grace_us / 2
    };
    let last_sixth_start_us = signal.sent_us + bounds.shutdown_grace_us * 5 / 6;
    let is_still_executing = sent_us <= signal.sent_us + MAX_EXCUSED_SEND_DELAY_US
        && runs.iter().any(|run| {
            run.ended_us
                .is_none_or(|run_ended_us| run_ended_us > last_sixth_start_us)
        });
    ended_us <= counted_until_us && !is_still_executing
}

/// Finds failures to recover in spans of time without faults.
///
/// A VM must not fail all requests for longer than [`super::HistoryBounds::recovery_us`].
/// After that time, all VMs together must serve at least a quarter of the requests,
/// if they did so before.
pub(super) fn find_missing_recoveries(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    // A VM refuses routes and API keys and answers some statements without a
    // database, so these outcomes don't show whether it can serve requests.
    let shows_service = |statement: &&CallerStatement| match statement.outcome {
        StatementOutcome::UnknownRoute | StatementOutcome::KeyRefused => false,
        StatementOutcome::Answered { .. } => statement.action.needs_database(),
        _ => true,
    };
    let statements = index.history.statements.iter();
    let mut statements: Vec<&CallerStatement> = statements.filter(shows_service).collect();
    statements.sort_by_key(|statement| statement.sent_us);
    let end_us = statements.iter().map(|statement| statement.ended_us).max();
    let vms: BTreeSet<&str> = statements
        .iter()
        .map(|statement| statement.vm.as_str())
        .collect();
    let recovery_us = index.bounds.recovery_us;
    let mut violations = Vec::new();
    let mut was_served_before = false;
    for (from_us, to_us) in index.undisturbed_spans(end_us.unwrap_or(0)) {
        let within: Vec<&CallerStatement> = statements
            .iter()
            .copied()
            .filter(|statement| statement.sent_us >= from_us && statement.ended_us <= to_us)
            .collect();
        for vm in &vms {
            let own = within.iter().filter(|statement| statement.vm == *vm);
            violations.extend(find_failing_period(own, recovery_us, vm));
        }
        let after_recovery = within
            .iter()
            .filter(|statement| statement.sent_us > from_us + recovery_us);
        let (mut request_count, mut success_count) = (0, 0);
        for statement in after_recovery {
            request_count += 1;
            success_count += usize::from(statement.outcome.is_success());
        }
        if request_count >= MIN_REQUESTS_FOR_SHARE
            && success_count * 4 < request_count
            && was_served_before
        {
            violations.push(StatementViolation::MissingRecovery {
                vm: None,
                since_us: from_us,
                asked: request_count,
            });
        }
        was_served_before |=
            request_count >= MIN_REQUESTS_FOR_SHARE && success_count * 4 >= request_count;
    }
    violations
}

/// Returns a violation if a VM failed all requests for longer than `recovery_us`;
/// `statements` are the VM's, ordered by the time of sending.
fn find_failing_period<'a>(
    statements: impl Iterator<Item = &'a &'a CallerStatement>,
    recovery_us: u64,
    vm: &str,
) -> Option<StatementViolation> {
    let mut failing: Option<(u64, usize)> = None;
    for statement in statements {
        if statement.outcome.is_success() {
            failing = None;
            continue;
        }
        let (since_us, failed_count) = failing.get_or_insert((statement.sent_us, 0));
        *failed_count += 1;
        if statement.sent_us > *since_us + recovery_us && *failed_count >= MIN_FAILED_REQUESTS {
            return Some(StatementViolation::MissingRecovery {
                vm: Some(vm.to_owned()),
                since_us: *since_us,
                asked: *failed_count,
            });
        }
    }
    None
}

/// Finds single statements and transactions that VMs started on a draining database
/// after they had to have stopped using it.
pub(super) fn find_draining_database_uses(
    index: &index::HistoryIndex<'_>,
) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for draining in &index.history.draining_databases {
        let until_us = draining.confirmed_us + index.bounds.drain_us;
        for run in &index.history.runs {
            if run.database != draining.database || run.started_us <= until_us {
                continue;
            }
            let Some(statement) = index.find_statement(&run.request) else {
                continue;
            };
            let must_meet_deadlines =
                index.must_meet_deadlines(&statement.vm, statement.sent_us, run.started_us);
            if must_meet_deadlines && index.starts_attempt(statement) {
                violations.push(StatementViolation::LeavingDatabaseUsed {
                    request: run.request.clone(),
                    database: run.database.clone(),
                });
            }
        }
    }
    violations
}

/// Finds statements that VMs sent to a database after they had to have stopped using its evacuated
/// data centre, also in open transactions.
pub(super) fn find_evacuated_database_uses(
    index: &index::HistoryIndex<'_>,
) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for evacuated in &index.history.evacuated_databases {
        let until_us = evacuated.confirmed_us + index.bounds.evacuation_us;
        let is_forbidden = |at_us: u64| until_us < at_us && at_us < evacuated.ended_us;
        for run in &index.history.runs {
            if run.database != evacuated.database || !is_forbidden(run.started_us) {
                continue;
            }
            let Some(statement) = index.find_statement(&run.request) else {
                continue;
            };
            if index.must_meet_deadlines(&statement.vm, statement.sent_us, run.started_us) {
                violations.push(StatementViolation::EvacuatedDatabaseUsed {
                    request: run.request.clone(),
                    database: run.database.clone(),
                });
            }
        }
    }
    violations
}

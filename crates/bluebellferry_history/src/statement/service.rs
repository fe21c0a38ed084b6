//! Whether callers are served through stops and after faults.

use std::collections::BTreeSet;

use super::CallerStatement;
use super::StatementAction;
use super::StatementOutcome;
use super::StatementViolation;
use super::VmSignal;
use super::index;

/// How long after the grace a stopped VM's cuts still count, in microseconds.
const STOP_TAIL_US: u64 = 1_000_000;
/// Requests sent later than this after a signal to stop are not excused by the
/// work of a database, in microseconds.
const LATE_SEND_US: u64 = 3_000_000;
/// Fewer requests do not show that a VM serves nothing.
const MIN_ASKED: usize = 4;
/// Fewer requests do not show which part is served.
const MIN_COUNTED: usize = 20;

/// Finds requests that an orderly stop or a reload cut.
pub(super) fn cut_requests(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let is_broken = |statement: &&CallerStatement| {
        statement.outcome == StatementOutcome::Broken && statement.action != StatementAction::Start
    };
    let broken = index.history.statements.iter().filter(is_broken);
    let cut = broken.filter(|statement| {
        let mut signals = index.history.signals.iter();
        signals.any(|signal| signal.vm == statement.vm && is_cut(index, statement, signal))
    });
    cut.map(|statement| StatementViolation::CutRequest {
        request: statement.request.clone(),
        vm: statement.vm.clone(),
    })
    .collect()
}

fn is_cut(index: &index::HistoryIndex<'_>, statement: &CallerStatement, signal: &VmSignal) -> bool {
    let bounds = index.bounds;
    let (sent_us, ended_us) = (statement.sent_us, statement.ended_us);
    let runs = index.runs(&statement.request);
    let took_us = ended_us - sent_us;
    let is_first = index.is_first(statement);
    // A transaction that was open may go on, so its next statement is owed.
    let was_open = !is_first && index.attempt_sent_us(statement) < signal.sent_us;
    let was_taken = was_open || !runs.is_empty() || took_us > bounds.unread_request_us;
    let calm_us = sent_us.saturating_sub(bounds.fault_grace_us);
    let is_excused = took_us >= statement.timeout_us
        || index.is_vm_harmed(&statement.vm, calm_us, ended_us)
        || runs
            .iter()
            .any(|run| index.is_database_harmed(&run.database, sent_us, ended_us));
    if !was_taken || is_excused || ended_us < signal.sent_us {
        return false;
    }
    if !signal.is_stop {
        return sent_us <= signal.sent_us + bounds.configuration_apply_us;
    }
    // An open transaction has the first half of the grace to end.
    let ends_us = if is_first {
        signal.sent_us + bounds.shutdown_grace_us + STOP_TAIL_US
    } else {
        signal.sent_us + bounds.shutdown_grace_us / 2
    };
    let last_sixth_us = signal.sent_us + bounds.shutdown_grace_us * 5 / 6;
    let is_at_work = sent_us <= signal.sent_us + LATE_SEND_US
        && runs
            .iter()
            .any(|run| run.ended_us.is_none_or(|time| time > last_sixth_us));
    ended_us <= ends_us && !is_at_work
}

/// Finds spans without faults in which a VM served nothing for longer than the
/// bound, or all together less than a quarter although it was more before.
pub(super) fn missing_recoveries(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    // Refusals of routes and keys, and answers that a VM gives itself, say
    // nothing of its service.
    let is_telling = |statement: &&CallerStatement| match statement.outcome {
        StatementOutcome::UnknownRoute | StatementOutcome::KeyRefused => false,
        StatementOutcome::Answered { .. } => statement.action.needs_database(),
        _ => true,
    };
    let statements = index.history.statements.iter();
    let mut statements: Vec<&CallerStatement> = statements.filter(is_telling).collect();
    statements.sort_by_key(|statement| statement.sent_us);
    let end_us = statements.iter().map(|statement| statement.ended_us).max();
    let vms: BTreeSet<&str> = statements
        .iter()
        .map(|statement| statement.vm.as_str())
        .collect();
    let recovery_us = index.bounds.recovery_us;
    let mut violations = Vec::new();
    let mut has_served = false;
    for (from_us, to_us) in index.quiet_spans(end_us.unwrap_or(0)) {
        let within: Vec<&CallerStatement> = statements
            .iter()
            .copied()
            .filter(|statement| statement.sent_us >= from_us && statement.ended_us <= to_us)
            .collect();
        for vm in &vms {
            let own = within.iter().filter(|statement| statement.vm == *vm);
            violations.extend(longest_silence(own, recovery_us, vm));
        }
        let late = within
            .iter()
            .filter(|statement| statement.sent_us > from_us + recovery_us);
        let (mut asked, mut served) = (0, 0);
        for statement in late {
            asked += 1;
            served += usize::from(statement.outcome.is_success());
        }
        if asked >= MIN_COUNTED && served * 4 < asked && has_served {
            violations.push(StatementViolation::MissingRecovery {
                vm: None,
                since_us: from_us,
                asked,
            });
        }
        has_served |= asked >= MIN_COUNTED && served * 4 >= asked;
    }
    violations
}

fn longest_silence<'a>(
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
        let (since_us, asked) = failing.get_or_insert((statement.sent_us, 0));
        *asked += 1;
        if statement.sent_us > *since_us + recovery_us && *asked >= MIN_ASKED {
            return Some(StatementViolation::MissingRecovery {
                vm: Some(vm.to_owned()),
                since_us: *since_us,
                asked: *asked,
            });
        }
    }
    None
}

/// Finds single statements and first ones of transactions that reached a
/// database when it had long been known to leave.
pub(super) fn used_leaving_databases(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for leaving in &index.history.leaving {
        let until_us = leaving.confirmed_us + index.bounds.drain_us;
        for run in &index.history.runs {
            if run.database != leaving.database || run.started_us <= until_us {
                continue;
            }
            let Some(statement) = index.statement(&run.request) else {
                continue;
            };
            let is_in_touch = index.is_in_touch(&statement.vm, statement.sent_us, run.started_us);
            if is_in_touch && index.is_first(statement) {
                violations.push(StatementViolation::LeavingDatabaseUsed {
                    request: run.request.clone(),
                    database: run.database.clone(),
                });
            }
        }
    }
    violations
}

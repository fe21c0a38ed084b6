//! Checks that statements, transactions, session settings, API keys and answers of
//! different callers aren't mixed up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::DatabaseRun;
use super::StatementAction;
use super::StatementOutcome;
use super::StatementViolation;
use super::index;
use crate::checker;

/// The id of statements that a VM sends on its own.
const INTERNAL_REQUEST: &str = "-";

/// Finds executions and commits that no caller requested.
pub(super) fn find_unrequested_runs(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let unrequested = |request: &str, database: &str| StatementViolation::UnaskedRun {
        request: request.to_owned(),
        database: database.to_owned(),
    };
    let is_unrequested = |run: &&DatabaseRun| {
        let sent = index.find_statement(&run.request);
        let is_sent = sent.is_some_and(|sent| sent.text == run.text && sent.action == run.action);
        let is_internal = run.request == INTERNAL_REQUEST && !run.action.needs_database();
        !is_sent && !is_internal
    };
    let runs = index.history.runs.iter().filter(is_unrequested);
    let mut violations: Vec<_> = runs
        .map(|run| unrequested(&run.request, &run.database))
        .collect();
    for commit in &index.history.commits {
        let statement = index.find_statement(&commit.request);
        let is_requested = statement.is_some_and(|statement| {
            let is_commit = statement.action == StatementAction::Commit;
            let is_single =
                statement.action == StatementAction::Write && !statement.is_in_transaction;
            let writes = commit
                .writes
                .iter()
                .map(|write| index.find_statement(write));
            let is_own = |write: Option<&super::CallerStatement>| {
                write.is_some_and(|write| write.attempt == statement.attempt)
            };
            (is_commit || is_single) && writes.into_iter().all(is_own)
        });
        if !is_requested {
            violations.push(unrequested(&commit.request, &commit.database));
        }
    }
    violations
}

/// Finds successful answers whose rows or receipt differ from those that a database
/// returned for the same statement.
pub(super) fn find_mismatched_answers(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for statement in &index.history.statements {
        let StatementOutcome::Answered { receipt, rows } = &statement.outcome else {
            continue;
        };
        let mut runs = index.runs_of(&statement.request).iter();
        let is_from_database =
            runs.any(|run| run.receipt.as_ref() == Some(receipt) && run.rows == *rows);
        if statement.action.needs_database() && !is_from_database {
            violations.push(StatementViolation::ForeignAnswer {
                request: statement.request.clone(),
            });
        }
    }
    violations
}

/// Finds statements that ran outside their own transaction or inside another's.
pub(super) fn find_mixed_transactions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mixed = |run: &DatabaseRun| StatementViolation::MixedTransaction {
        request: run.request.clone(),
    };
    let mut violations = Vec::new();
    // A database's transaction belongs to the first attempt that ran in it, and an
    // attempt to the first connection and transaction that it ran in.
    let mut owners: BTreeMap<u64, u64> = BTreeMap::new();
    let mut attempt_transactions: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut runs: Vec<&DatabaseRun> = index.history.runs.iter().collect();
    runs.sort_by_key(|run| run.started_us);
    for run in runs {
        let statement = index.find_statement(&run.request);
        let Some(statement) = statement.filter(|_| run.action.needs_database()) else {
            continue;
        };
        let is_own = match (run.transaction, statement.is_in_transaction) {
            (Some(transaction), true) => {
                let run_transaction = (run.connection, transaction);
                *owners.entry(transaction).or_insert(statement.attempt) == statement.attempt
                    && *attempt_transactions
                        .entry(statement.attempt)
                        .or_insert(run_transaction)
                        == run_transaction
            }
            (None, false) => true,
            _ => false,
        };
        if !is_own {
            violations.push(mixed(run));
        }
    }
    violations
}

/// Finds statements whose connection had other session settings than their caller
/// had set.
pub(super) fn find_mismatched_settings(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let has_other_settings = |run: &&DatabaseRun| {
        let statement = index.find_statement(&run.request);
        run.action.needs_database()
            && statement.is_some_and(|statement| statement.values != run.values)
    };
    let mismatched = index.history.runs.iter().filter(has_other_settings);
    mismatched
        .map(|run| StatementViolation::ForeignValues {
            request: run.request.clone(),
        })
        .collect()
}

/// Finds prepared statements that ran in another shape than their caller had prepared,
/// and those whose names a database did not know.
///
/// Executions with another text than their caller sent are not repeated here.
pub(super) fn find_mismatched_shapes(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for run in &index.history.runs {
        let statement = index.find_statement(&run.request);
        if let Some(statement) = statement.filter(|statement| statement.text == run.text)
            && statement.shape != run.shape
        {
            violations.push(StatementViolation::ForeignShape {
                request: run.request.clone(),
                prepared: statement.shape.clone(),
                ran: run.shape.clone(),
            });
        }
    }
    let unknown = index.history.unknown_executions.iter();
    violations.extend(unknown.map(|unknown| StatementViolation::UnknownShape {
        request: unknown.request.clone(),
        database: unknown.database.clone(),
    }));
    violations
}

/// Finds databases that received a caller's API key.
pub(super) fn find_leaked_keys(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let statements = index.history.statements.iter();
    let keys: BTreeSet<&str> = statements.map(|statement| statement.key.as_str()).collect();
    let mut received: BTreeMap<&str, Vec<Vec<u8>>> = BTreeMap::new();
    for run in &index.history.runs {
        let text = format!("{} {} {}", run.workspace, run.request, run.text);
        received
            .entry(&run.database)
            .or_default()
            .push(text.into_bytes());
    }
    let leaks = |lines: &[Vec<u8>]| {
        let mut keys = keys.iter().filter(|key| !key.is_empty());
        keys.any(|key| !checker::check_key_leaks(lines, key.as_bytes()).is_empty())
    };
    let leaking = received.iter().filter(|(_, lines)| leaks(lines));
    leaking
        .map(|(database, _)| StatementViolation::LeakedKey {
            database: (*database).to_owned(),
        })
        .collect()
}

/// Finds successful answers of databases that reached the caller late or never,
/// although neither the VM nor the database had a fault.
pub(super) fn find_delayed_answers(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let delivery_us = index.bounds.delivery_us;
    let mut violations = Vec::new();
    for statement in &index.history.statements {
        let runs = index.runs_of(&statement.request).iter();
        let succeeded = runs.filter(|run| run.receipt.is_some());
        let first_answer = succeeded
            .filter_map(|run| Some((run.ended_us?, *run)))
            .min_by_key(|run| run.0);
        let Some((decided_us, run)) = first_answer else {
            continue;
        };
        let is_prompt = statement.ended_us <= decided_us + delivery_us;
        // An answer shortly before the timeout may arrive too late.
        let is_before_timeout =
            decided_us + delivery_us <= statement.sent_us + statement.timeout_us;
        let is_outcome_valid = statement.outcome.is_success() || !is_before_timeout;
        let from_us = decided_us.saturating_sub(index.bounds.fault_grace_us);
        let until_us = statement.ended_us;
        let has_fault = index.has_vm_fault(&statement.vm, from_us, until_us)
            || index.has_database_fault(&run.database, from_us, until_us);
        if !(is_prompt && is_outcome_valid || has_fault) {
            violations.push(StatementViolation::HeldAnswer {
                request: statement.request.clone(),
                decided_us,
            });
        }
    }
    violations
}

//! Whose statements databases run, and whose answers callers get.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::DatabaseRun;
use super::StatementAction;
use super::StatementOutcome;
use super::StatementViolation;
use super::index;
use crate::checker;

/// The id of statements that the system sends of its own.
const SYSTEM_REQUEST: &str = "-";

/// Finds runs and commits that no caller asked for.
pub(super) fn unasked_runs(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let unasked = |request: &str, database: &str| StatementViolation::UnaskedRun {
        request: request.to_owned(),
        database: database.to_owned(),
    };
    let is_unasked = |run: &&DatabaseRun| {
        let sent = index.statement(&run.request);
        let is_sent = sent.is_some_and(|sent| sent.text == run.text && sent.action == run.action);
        let is_system = run.request == SYSTEM_REQUEST && !run.action.needs_database();
        !is_sent && !is_system
    };
    let runs = index.history.runs.iter().filter(is_unasked);
    let mut violations: Vec<_> = runs
        .map(|run| unasked(&run.request, &run.database))
        .collect();
    for commit in &index.history.commits {
        let asked = index.statement(&commit.request);
        let is_asked = asked.is_some_and(|asked| {
            let is_commit = asked.action == StatementAction::Commit;
            let is_single = asked.action == StatementAction::Write && !asked.is_in_transaction;
            let writes = commit.writes.iter().map(|write| index.statement(write));
            let are_own = |write: Option<&super::CallerStatement>| {
                write.is_some_and(|write| write.attempt == asked.attempt)
            };
            (is_commit || is_single) && writes.into_iter().all(are_own)
        });
        if !is_asked {
            violations.push(unasked(&commit.request, &commit.database));
        }
    }
    violations
}

/// Finds successes that callers were told of with other rows or another receipt
/// than a database gave to that very request.
pub(super) fn foreign_answers(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for statement in &index.history.statements {
        let StatementOutcome::Answered { receipt, rows } = &statement.outcome else {
            continue;
        };
        let mut runs = index.runs(&statement.request).iter();
        let is_given = runs.any(|run| run.receipt.as_ref() == Some(receipt) && run.rows == *rows);
        if statement.action.needs_database() && !is_given {
            violations.push(StatementViolation::ForeignAnswer {
                request: statement.request.clone(),
            });
        }
    }
    violations
}

/// Finds statements outside the transaction that they belong to.
pub(super) fn mixed_transactions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mixed = |run: &DatabaseRun| StatementViolation::MixedTransaction {
        request: run.request.clone(),
    };
    let mut violations = Vec::new();
    // The first attempt of a database's transaction owns it, and the first
    // transaction of an attempt is the attempt's.
    let mut owners: BTreeMap<u64, u64> = BTreeMap::new();
    let mut places: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    let mut runs: Vec<&DatabaseRun> = index.history.runs.iter().collect();
    runs.sort_by_key(|run| run.started_us);
    for run in runs {
        let statement = index.statement(&run.request);
        let Some(statement) = statement.filter(|_| run.action.needs_database()) else {
            continue;
        };
        let is_own = match (run.transaction, statement.is_in_transaction) {
            (Some(transaction), true) => {
                let place = (run.connection, transaction);
                *owners.entry(transaction).or_insert(statement.attempt) == statement.attempt
                    && *places.entry(statement.attempt).or_insert(place) == place
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

/// Finds statements that ran with session values that their caller had not set.
pub(super) fn foreign_values(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let is_foreign = |run: &&DatabaseRun| {
        let statement = index.statement(&run.request);
        run.action.needs_database()
            && statement.is_some_and(|statement| statement.values != run.values)
    };
    let foreign = index.history.runs.iter().filter(is_foreign);
    foreign
        .map(|run| StatementViolation::ForeignValues {
            request: run.request.clone(),
        })
        .collect()
}

/// Finds databases that were shown a caller's key.
pub(super) fn leaked_keys(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let statements = index.history.statements.iter();
    let keys: BTreeSet<&str> = statements.map(|statement| statement.key.as_str()).collect();
    let mut seen: BTreeMap<&str, Vec<Vec<u8>>> = BTreeMap::new();
    for run in &index.history.runs {
        let text = format!("{} {} {}", run.workspace, run.request, run.text);
        seen.entry(&run.database)
            .or_default()
            .push(text.into_bytes());
    }
    let leaks = |lines: &[Vec<u8>]| {
        let mut keys = keys.iter().filter(|key| !key.is_empty());
        keys.any(|key| !checker::check_key_leaks(lines, key.as_bytes()).is_empty())
    };
    let leaking = seen.iter().filter(|(_, lines)| leaks(lines));
    leaking
        .map(|(database, _)| StatementViolation::LeakedKey {
            database: (*database).to_owned(),
        })
        .collect()
}

/// Finds successes that a database gave and that reached the caller late or
/// never, although nothing on the way was harmed.
pub(super) fn held_answers(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let delivery_us = index.bounds.delivery_us;
    let mut violations = Vec::new();
    for statement in &index.history.statements {
        let runs = index.runs(&statement.request).iter();
        let decided = runs.filter(|run| run.receipt.is_some());
        let first = decided
            .filter_map(|run| Some((run.ended_us?, *run)))
            .min_by_key(|run| run.0);
        let Some((decided_us, run)) = first else {
            continue;
        };
        let is_prompt = statement.ended_us <= decided_us + delivery_us;
        // What a database says when the time is up may come too late.
        let is_in_time = decided_us + delivery_us <= statement.sent_us + statement.timeout_us;
        let is_told = statement.outcome.is_success() || !is_in_time;
        let from_us = decided_us.saturating_sub(index.bounds.fault_grace_us);
        let until_us = statement.ended_us;
        let is_harmed = index.is_vm_harmed(&statement.vm, from_us, until_us)
            || index.is_database_harmed(&run.database, from_us, until_us);
        if !(is_prompt && is_told || is_harmed) {
            violations.push(StatementViolation::HeldAnswer {
                request: statement.request.clone(),
                decided_us,
            });
        }
    }
    violations
}

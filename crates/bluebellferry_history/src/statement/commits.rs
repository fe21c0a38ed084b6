//! Checks that commits are durable, unique and made by the current leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use super::DatabaseCommit;
use super::StatementAction;
use super::StatementOutcome;
use super::StatementViolation;
use super::index;

/// Finds commits that were acknowledged before a promotion and that the promoted
/// database's log lacks.
pub(super) fn find_lost_commits(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for promotion in &index.history.promotions {
        let is_lost = |commit: &&DatabaseCommit| {
            commit.service == promotion.service
                && commit.is_synchronous
                && commit.position.term < promotion.term
                && commit
                    .acknowledged_us
                    .is_some_and(|acknowledged_us| acknowledged_us <= promotion.promoted_us)
                && !index.log_contains(&promotion.service, promotion.kept, commit.position)
        };
        let lost = index.history.commits.iter().filter(is_lost);
        violations.extend(lost.map(|commit| StatementViolation::LostCommit {
            commit: commit.position,
            database: promotion.database.clone(),
        }));
    }
    violations
}

/// Finds terms in which more than one database acknowledged commits.
pub(super) fn find_shared_terms(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut leaders: BTreeMap<(&str, u64), BTreeSet<&str>> = BTreeMap::new();
    for commit in &index.history.commits {
        if commit.acknowledged_us.is_some() {
            let term = (commit.service.as_str(), commit.position.term);
            leaders.entry(term).or_default().insert(&commit.database);
        }
    }
    let shared = leaders.iter().filter(|(_, databases)| databases.len() > 1);
    shared
        .map(|((service, term), _)| StatementViolation::SharedTerm {
            service: (*service).to_owned(),
            term: *term,
        })
        .collect()
}

/// Finds commits that a leader made after its replacement and that were reported to
/// the caller as successful.
///
/// Writes whose VM had a fault shortly before or meanwhile don't count: the fault
/// may have delayed them until after the replacement.
pub(super) fn find_replaced_leader_writes(
    index: &index::HistoryIndex<'_>,
) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for commit in &index.history.commits {
        let mut promotions = index.history.promotions.iter();
        let is_leader_replaced = promotions.any(|promotion| {
            promotion.service == commit.service
                && promotion.term > commit.position.term
                && promotion.promoted_us < commit.committed_us
        });
        let Some(statement) = index
            .find_statement(&commit.request)
            .filter(|_| is_leader_replaced)
        else {
            continue;
        };
        let from_us = statement.sent_us.saturating_sub(index.bounds.late_write_us);
        let is_delayed_by_fault = index.has_vm_fault(&statement.vm, from_us, commit.committed_us);
        if statement.outcome.is_success() && !is_delayed_by_fault {
            violations.push(StatementViolation::DeposedWrite {
                request: commit.request.clone(),
                database: commit.database.clone(),
            });
        }
    }
    violations
}

/// Finds calls to the promotion API whose fencing token another VM had used, or is
/// lower than that of an earlier call.
pub(super) fn find_fencing_token_conflicts(
    index: &index::HistoryIndex<'_>,
) -> Vec<StatementViolation> {
    let mut calls: Vec<_> = index.history.promotion_api_calls.iter().collect();
    calls.sort_by_key(|call| call.arrived_us);
    let mut highest: Option<(u64, &str)> = None;
    let mut violations = Vec::new();
    for call in calls {
        let is_conflict = highest.is_some_and(|(token, holder)| {
            call.token < token || call.token == token && call.holder != holder
        });
        if is_conflict {
            violations.push(StatementViolation::DutyConflict {
                holder: call.holder.clone(),
                token: call.token,
            });
        } else {
            highest = Some((call.token, &call.holder));
        }
    }
    violations
}

/// Finds writes that more than one commit contains.
pub(super) fn find_duplicate_writes(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for write in index
        .history
        .commits
        .iter()
        .flat_map(|commit| &commit.writes)
    {
        *counts.entry(write).or_default() += 1;
    }
    let duplicates = counts.iter().filter(|(_, count)| **count > 1);
    duplicates
        .map(|(request, _)| StatementViolation::DoubledWrite {
            request: (*request).to_owned(),
        })
        .collect()
}

/// Finds attempts with a committed write although one of the attempt's statements
/// was a rollback, or was refused with the promise that nothing was committed.
pub(super) fn find_false_refusals(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let commits = index.history.commits.iter();
    let commits_by_write: HashMap<&str, &DatabaseCommit> = commits
        .flat_map(|commit| {
            commit
                .writes
                .iter()
                .map(move |write| (write.as_str(), commit))
        })
        .collect();
    let mut violations = Vec::new();
    for statements in index.attempts() {
        let refusal = statements.iter().find(|statement| {
            statement.outcome == StatementOutcome::NothingKept
                || statement.action == StatementAction::Rollback
        });
        let mut committed = statements
            .iter()
            .filter_map(|write| commits_by_write.get(write.request.as_str()));
        if let Some((refusal, commit)) = refusal.zip(committed.next()) {
            violations.push(StatementViolation::UntrueRefusal {
                request: refusal.request.clone(),
                commit: commit.position,
            });
        }
    }
    violations
}

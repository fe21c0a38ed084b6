//! What commits promise.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use super::DatabaseCommit;
use super::StatementAction;
use super::StatementOutcome;
use super::StatementViolation;
use super::index;

/// Finds commits that were acknowledged before a promotion whose log lacks them.
pub(super) fn lost_commits(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for promotion in &index.history.promotions {
        let is_lost = |commit: &&DatabaseCommit| {
            commit.service == promotion.service
                && commit.is_synchronous
                && commit.position.term < promotion.term
                && commit
                    .acknowledged_us
                    .is_some_and(|time| time <= promotion.promoted_us)
                && !index.holds(&promotion.service, promotion.kept, commit.position)
        };
        let lost = index.history.commits.iter().filter(is_lost);
        violations.extend(lost.map(|commit| StatementViolation::LostCommit {
            commit: commit.position,
            database: promotion.database.clone(),
        }));
    }
    violations
}

/// Finds terms in which two databases acknowledged commits.
pub(super) fn shared_terms(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
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

/// Finds commits that a database made after another had taken the lead, and of
/// which the caller was told. A write that was under way while its VM was
/// harmed may still arrive.
pub(super) fn deposed_writes(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut violations = Vec::new();
    for commit in &index.history.commits {
        let mut promotions = index.history.promotions.iter();
        let is_deposed = promotions.any(|promotion| {
            promotion.service == commit.service
                && promotion.term > commit.position.term
                && promotion.promoted_us < commit.committed_us
        });
        let Some(statement) = index.statement(&commit.request).filter(|_| is_deposed) else {
            continue;
        };
        let from_us = statement.sent_us.saturating_sub(index.bounds.late_write_us);
        let is_held_up = index.is_vm_harmed(&statement.vm, from_us, commit.committed_us);
        if statement.outcome.is_success() && !is_held_up {
            violations.push(StatementViolation::DeposedWrite {
                request: commit.request.clone(),
                database: commit.database.clone(),
            });
        }
    }
    violations
}

/// Finds calls of the duty whose token another VM had used, or that is lower
/// than one that was used before.
pub(super) fn duty_conflicts(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut calls: Vec<_> = index.history.duty_calls.iter().collect();
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

/// Finds writes that several commits keep.
pub(super) fn doubled_writes(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for write in index
        .history
        .commits
        .iter()
        .flat_map(|commit| &commit.writes)
    {
        *counts.entry(write).or_default() += 1;
    }
    let doubled = counts.iter().filter(|(_, count)| **count > 1);
    doubled
        .map(|(request, _)| StatementViolation::DoubledWrite {
            request: (*request).to_owned(),
        })
        .collect()
}

/// Finds attempts that left a commit although a statement of theirs was refused
/// with the promise that nothing is kept, or that asked for a rollback.
pub(super) fn untrue_refusals(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let commits = index.history.commits.iter();
    let kept: HashMap<&str, &DatabaseCommit> = commits
        .flat_map(|commit| {
            commit
                .writes
                .iter()
                .map(move |write| (write.as_str(), commit))
        })
        .collect();
    let mut violations = Vec::new();
    for statements in index.attempts() {
        let refused = statements.iter().find(|statement| {
            statement.outcome == StatementOutcome::NothingKept
                || statement.action == StatementAction::Rollback
        });
        let mut writes = statements
            .iter()
            .filter_map(|write| kept.get(write.request.as_str()));
        if let Some((refused, commit)) = refused.zip(writes.next()) {
            violations.push(StatementViolation::UntrueRefusal {
                request: refused.request.clone(),
                commit: commit.position,
            });
        }
    }
    violations
}

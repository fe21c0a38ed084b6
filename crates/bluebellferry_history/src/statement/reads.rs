//! What reads must see.

use std::collections::HashMap;

use bluebellferry_types::position;

use super::DatabaseCommit;
use super::RouteKind;
use super::StatementAction;
use super::StatementViolation;
use super::index;

/// Commits in the order in which they were acknowledged, each with the highest
/// position up to there. Commits that no promotion rolled back lie on one
/// branch, so a log that holds the highest of them holds all.
#[derive(Debug, Default)]
struct AcknowledgedCommits(Vec<(u64, position::LogPosition)>);

impl AcknowledgedCommits {
    fn push(&mut self, acknowledged_us: u64, position: position::LogPosition) {
        let highest = self
            .0
            .last()
            .map_or(position, |(_, last)| position.max(*last));
        self.0.push((acknowledged_us, highest));
    }

    fn highest_before(&self, time_us: u64) -> Option<position::LogPosition> {
        let before = self
            .0
            .partition_point(|(acknowledged_us, _)| *acknowledged_us < time_us);
        Some(self.0.get(before.checked_sub(1)?)?.1)
    }
}

/// Finds reads that ran on logs that lack a commit which they had to see. A
/// transaction's reads must see what was acknowledged before its first byte.
pub(super) fn stale_reads(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let commits = index.history.commits.iter();
    let mut acknowledged: Vec<(u64, &DatabaseCommit)> = commits
        .filter(|commit| !index.is_rolled_back(commit))
        .filter_map(|commit| Some((commit.acknowledged_us?, commit)))
        .collect();
    acknowledged.sort_by_key(|(acknowledged_us, _)| *acknowledged_us);
    let mut of_service: HashMap<&str, AcknowledgedCommits> = HashMap::new();
    let mut of_session: HashMap<(&str, u64), AcknowledgedCommits> = HashMap::new();
    for (acknowledged_us, commit) in acknowledged {
        let service = commit.service.as_str();
        let commits = of_service.entry(service).or_default();
        commits.push(acknowledged_us, commit.position);
        if let Some(writer) = index.statement(&commit.request) {
            let commits = of_session.entry((service, writer.session)).or_default();
            commits.push(acknowledged_us, commit.position);
        }
    }
    let mut violations = Vec::new();
    for run in &index.history.runs {
        if run.action != StatementAction::Read || run.receipt.is_none() {
            continue;
        }
        let Some(read) = index.statement(&run.request) else {
            continue;
        };
        let sent_us = index.attempt_sent_us(read);
        let (bound_us, sees_own) = match read.kind {
            RouteKind::Primary => (0, false),
            RouteKind::BoundedAge { bound_us } => (bound_us, false),
            RouteKind::ReadYourWrites { bound_us } => (bound_us, true),
        };
        let service = run.service.as_str();
        let commits = of_service.get(service);
        let due_us = sent_us.saturating_sub(bound_us);
        let due = commits.and_then(|commits| commits.highest_before(due_us));
        let own = of_session
            .get(&(service, read.session))
            .filter(|_| sees_own);
        let own = own.and_then(|commits| commits.highest_before(sent_us));
        let missing = due.max(own);
        let missing = missing.filter(|missing| !index.holds(service, run.position, *missing));
        violations.extend(missing.map(|missing| StatementViolation::StaleRead {
            request: run.request.clone(),
            database: run.database.clone(),
            position: run.position,
            missing,
        }));
    }
    violations
}

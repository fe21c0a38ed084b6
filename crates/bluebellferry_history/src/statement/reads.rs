//! Checks that reads include the commits that their route guarantees.

use std::collections::HashMap;

use bluebellferry_types::position;

use super::DatabaseCommit;
use super::RouteKind;
use super::StatementAction;
use super::StatementViolation;
use super::index;

/// Times of acknowledgement in ascending order, each with the highest position that
/// was acknowledged until then.
///
/// Commits that no promotion discarded lie on one branch of the log, so a log that
/// contains the highest of them contains all.
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

    fn highest_acknowledged_before(&self, time_us: u64) -> Option<position::LogPosition> {
        let earlier_count = self
            .0
            .partition_point(|(acknowledged_us, _)| *acknowledged_us < time_us);
        Some(self.0.get(earlier_count.checked_sub(1)?)?.1)
    }
}

/// Finds reads that ran on a database whose log lacked a commit that the read had
/// to include. A transaction's reads must include what was acknowledged before the
/// transaction's first byte was sent.
pub(super) fn find_stale_reads(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let commits = index.history.commits.iter();
    let mut acknowledged: Vec<(u64, &DatabaseCommit)> = commits
        .filter(|commit| !index.is_discarded_by_promotion(commit))
        .filter_map(|commit| Some((commit.acknowledged_us?, commit)))
        .collect();
    acknowledged.sort_by_key(|(acknowledged_us, _)| *acknowledged_us);
    let mut commits_by_service: HashMap<&str, AcknowledgedCommits> = HashMap::new();
    let mut commits_by_session: HashMap<(&str, u64), AcknowledgedCommits> = HashMap::new();
    for (acknowledged_us, commit) in acknowledged {
        let service = commit.service.as_str();
        let commits = commits_by_service.entry(service).or_default();
        commits.push(acknowledged_us, commit.position);
        if let Some(writer) = index.find_statement(&commit.request) {
            let commits = commits_by_session
                .entry((service, writer.session))
                .or_default();
            commits.push(acknowledged_us, commit.position);
        }
    }
    let mut violations = Vec::new();
    for run in &index.history.runs {
        if run.action != StatementAction::Read || run.receipt.is_none() {
            continue;
        }
        let Some(read) = index.find_statement(&run.request) else {
            continue;
        };
        let sent_us = index.attempt_start_us(read);
        let (max_staleness_us, must_include_own) = match read.kind {
            RouteKind::Primary => (0, false),
            RouteKind::BoundedAge { bound_us } => (bound_us, false),
            RouteKind::ReadYourWrites { bound_us } => (bound_us, true),
        };
        let service = run.service.as_str();
        let commits = commits_by_service.get(service);
        let required_until_us = sent_us.saturating_sub(max_staleness_us);
        let required =
            commits.and_then(|commits| commits.highest_acknowledged_before(required_until_us));
        let own = commits_by_session
            .get(&(service, read.session))
            .filter(|_| must_include_own);
        let own = own.and_then(|commits| commits.highest_acknowledged_before(sent_us));
        let missing = required.max(own);
        let missing =
            missing.filter(|missing| !index.log_contains(service, run.position, *missing));
        violations.extend(missing.map(|missing| StatementViolation::StaleRead {
            request: run.request.clone(),
            database: run.database.clone(),
            position: run.position,
            missing,
        }));
    }
    violations
}

//! Checks that a workspace's operations on databases stay within its rate limit.

use std::collections::BTreeMap;

use super::StatementViolation;
use super::index;

/// The times at which an operation's first byte was sent and its first execution
/// started, in microseconds.
type OperationSpan = (u64, u64);

/// Finds time windows in which more of a workspace's operations were sent and
/// started to run than its rate limit allows; returns, for each workspace, the window
/// that exceeds the limit most.
pub(super) fn find_rate_overshoots(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut spans: BTreeMap<&str, Vec<OperationSpan>> = BTreeMap::new();
    for statements in index.attempts() {
        let runs = statements
            .iter()
            .flat_map(|statement| index.runs_of(&statement.request));
        let Some(first_run) = runs.min_by_key(|run| run.started_us) else {
            continue;
        };
        let span = (statements[0].sent_us, first_run.started_us);
        spans.entry(&first_run.workspace).or_default().push(span);
    }
    let changes = index.history.configurations.iter();
    let applied_us: Vec<Option<u64>> = changes
        .map(|change| index.applied_everywhere_us(change.confirmed_us))
        .collect();
    let window_us = index.bounds.rate_window_us;
    let mut violations = Vec::new();
    for (workspace, mut operations) in spans {
        operations.sort_unstable();
        let mut worst: Option<(usize, StatementViolation)> = None;
        for (first, (from_us, _)) in operations.iter().enumerate() {
            let until_us = from_us + window_us;
            let within = operations[first..]
                .iter()
                .take_while(|(sent_us, _)| *sent_us <= until_us);
            let count = within.filter(|(_, run_us)| *run_us <= until_us).count();
            let Some(allowed) = max_operations(index, &applied_us, workspace, *from_us) else {
                continue;
            };
            let excess = count.saturating_sub(allowed);
            if excess > worst.as_ref().map_or(0, |(excess, _)| *excess) {
                let overshoot = StatementViolation::RateOvershoot {
                    workspace: workspace.to_owned(),
                    from_us: *from_us,
                    count,
                    allowed,
                };
                worst = Some((excess, overshoot));
            }
        }
        violations.extend(worst.map(|(_, overshoot)| overshoot));
    }
    violations
}

/// Returns the maximum number of operations in the window that starts at `from_us`,
/// by the highest rate limit of all versions that may be in force in it; `None` if
/// none of these versions contains the workspace.
///
/// `applied_us` holds the time at which every VM must have applied each version. A
/// lower limit counts only one window after that time.
fn max_operations(
    index: &index::HistoryIndex<'_>,
    applied_us: &[Option<u64>],
    workspace: &str,
    from_us: u64,
) -> Option<usize> {
    let bounds = index.bounds;
    let until_us = from_us + bounds.rate_window_us;
    let is_binding = |applied_us: &Option<u64>| {
        applied_us.is_some_and(|applied_us| applied_us + bounds.rate_window_us <= from_us)
    };
    let newest = applied_us.iter().rposition(is_binding).unwrap_or(0);
    let in_force = index.history.configurations[newest..].iter();
    let in_force = in_force.filter(|change| change.sent_us <= until_us);
    let window_s = bounds.rate_window_us as f64 / 1e6;
    let operations = in_force
        .flat_map(|change| &change.workspaces)
        .filter(|configured| configured.name == workspace)
        .map(|configured| configured.rate_per_s * window_s + configured.burst)
        .reduce(f64::max)?;
    Some((operations * (1.0 + bounds.rate_tolerance) + bounds.rate_extra_operations) as usize)
}

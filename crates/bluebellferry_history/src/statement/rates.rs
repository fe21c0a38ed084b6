//! How many operations of a workspace reach databases.

use std::collections::BTreeMap;

use super::StatementViolation;
use super::index;

/// An operation from its first byte to its first run.
type OperationSpan = (u64, u64);

/// Finds windows that hold more of a workspace's operations, sent and run
/// within them, than its rate allows.
pub(super) fn overshoots(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let mut spans: BTreeMap<&str, Vec<OperationSpan>> = BTreeMap::new();
    for statements in index.attempts() {
        let runs = statements
            .iter()
            .flat_map(|statement| index.runs(&statement.request));
        let Some(first) = runs.min_by_key(|run| run.started_us) else {
            continue;
        };
        let span = (statements[0].sent_us, first.started_us);
        spans.entry(&first.workspace).or_default().push(span);
    }
    let changes = index.history.configurations.iter();
    let binds_us: Vec<Option<u64>> = changes
        .map(|change| index.binds_all_us(change.confirmed_us))
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
            let Some(allowed) = allowed(index, &binds_us, workspace, *from_us) else {
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

/// Returns how many operations a window may hold: by the highest rate that may
/// be in force within it. `binds_us` holds from when on each version binds all
/// VMs; a lower rate counts one window later. None while no version names the
/// workspace.
fn allowed(
    index: &index::HistoryIndex<'_>,
    binds_us: &[Option<u64>],
    workspace: &str,
    from_us: u64,
) -> Option<usize> {
    let bounds = index.bounds;
    let until_us = from_us + bounds.rate_window_us;
    let binds =
        |time: &Option<u64>| time.is_some_and(|time| time + bounds.rate_window_us <= from_us);
    let newest = binds_us.iter().rposition(binds).unwrap_or(0);
    let in_force = index.history.configurations[newest..].iter();
    let in_force = in_force.filter(|change| change.sent_us <= until_us);
    let window_s = bounds.rate_window_us as f64 / 1e6;
    let operations = in_force
        .flat_map(|change| &change.workspaces)
        .filter(|found| found.name == workspace)
        .map(|found| found.rate_per_s * window_s + found.burst)
        .reduce(f64::max)?;
    Some((operations * (1.0 + bounds.rate_tolerance) + bounds.rate_extra_operations) as usize)
}

//! Which version of the configuration a request was handled by.

use std::collections::HashMap;

use super::CallerStatement;
use super::ConfigurationChange;
use super::DatabaseRun;
use super::StatementOutcome;
use super::StatementViolation;
use super::index;

/// What a request shows of the configuration that its VM used.
struct HandledRequest<'a> {
    statement: &'a CallerStatement,
    /// The run; none for a refusal of the route or the key.
    run: Option<&'a DatabaseRun>,
    /// When it showed, in microseconds.
    shown_us: u64,
}

impl HandledRequest<'_> {
    fn is_allowed_by(&self, change: &ConfigurationChange) -> bool {
        if change.sent_us > self.shown_us {
            return false;
        }
        let mut routes = change.routes.iter();
        let route = routes.find(|route| route.name == self.statement.route);
        let has_key = |key: &String| *key == self.statement.key;
        let mut workspaces = change.workspaces.iter();
        let workspace = workspaces.find(|workspace| workspace.keys.iter().any(has_key));
        match self.run {
            Some(run) => {
                route.is_some_and(|route| route.service == run.service)
                    && workspace.is_some_and(|workspace| workspace.name == run.workspace)
            }
            None if self.statement.outcome == StatementOutcome::UnknownRoute => route.is_none(),
            None => workspace.is_none(),
        }
    }

    /// Returns the newest version that allows it, as an index.
    fn newest(&self, changes: &[ConfigurationChange]) -> Option<usize> {
        changes
            .iter()
            .rposition(|change| self.is_allowed_by(change))
    }
}

/// Returns the versions, headed by an empty one for the time before the first.
fn versions(index: &index::HistoryIndex<'_>) -> Vec<ConfigurationChange> {
    let empty = ConfigurationChange {
        version: 0,
        sent_us: 0,
        confirmed_us: 0,
        routes: Vec::new(),
        workspaces: Vec::new(),
    };
    let changes = index.history.configurations.iter().cloned();
    std::iter::once(empty).chain(changes).collect()
}

/// Returns all requests that show a version, in the order of sending.
fn handled<'a>(index: &index::HistoryIndex<'a>) -> Vec<HandledRequest<'a>> {
    let mut handled = Vec::new();
    for statement in &index.history.statements {
        let runs = index.runs(&statement.request).iter();
        handled.extend(runs.map(|run| HandledRequest {
            statement,
            run: Some(run),
            shown_us: run.started_us,
        }));
        let refusals = [StatementOutcome::UnknownRoute, StatementOutcome::KeyRefused];
        if refusals.contains(&statement.outcome) {
            handled.push(HandledRequest {
                statement,
                run: None,
                shown_us: statement.ended_us,
            });
        }
    }
    handled.sort_by_key(|request| request.statement.sent_us);
    handled
}

/// Finds runs that no version had ever allowed.
pub(super) fn forbidden_runs(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = versions(index);
    let runs = handled(index).into_iter();
    let forbidden = runs.filter(|request| request.newest(&changes).is_none());
    forbidden
        .filter_map(|request| request.run)
        .map(|run| StatementViolation::ForbiddenRun {
            request: run.request.clone(),
            database: run.database.clone(),
        })
        .collect()
}

/// Finds requests that were handled as only superseded versions allow. A
/// transaction is handled by the version of its beginning.
pub(super) fn stale_versions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = versions(index);
    let mut violations = Vec::new();
    for request in handled(index) {
        let Some(newest) = request.newest(&changes) else {
            continue;
        };
        let statement = request.statement;
        let sent_us = index.attempt_sent_us(statement);
        let must_apply = |change: &&ConfigurationChange| {
            index.must_apply(&statement.vm, change.confirmed_us, sent_us)
        };
        let superseding = changes[newest + 1..].iter().find(must_apply);
        violations.extend(superseding.map(|change| StatementViolation::StaleVersion {
            request: statement.request.clone(),
            version: change.version,
        }));
    }
    violations
}

/// Finds requests that were handled as only versions allow that are older than
/// one that the VM's process had shown.
pub(super) fn reverted_versions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = versions(index);
    let mut shown: HashMap<(&str, usize), Vec<(u64, usize)>> = HashMap::new();
    let mut violations = Vec::new();
    for request in handled(index) {
        let statement = request.statement;
        let Some(newest) = request.newest(&changes) else {
            continue;
        };
        let sent_us = index.attempt_sent_us(statement);
        let bounds = index.bounds;
        let calm_us = sent_us.saturating_sub(bounds.fault_grace_us);
        let factor = if index.is_vm_harmed(&statement.vm, calm_us, sent_us) {
            SLOWED_FACTOR
        } else {
            1
        };
        let before_us = sent_us.saturating_sub(bounds.version_overlap_us * factor);
        let starts = index.history.starts.iter();
        let own_starts =
            starts.filter(|start| start.vm == statement.vm && start.started_us <= sent_us);
        let lifetime = (statement.vm.as_str(), own_starts.count());
        let shown = shown.entry(lifetime).or_default();
        let earlier = shown.iter().filter(|(shown_us, _)| *shown_us < before_us);
        let floor = earlier.map(|(_, version)| *version).max().unwrap_or(0);
        if newest < floor {
            violations.push(StatementViolation::RevertedVersion {
                request: statement.request.clone(),
                version: changes[floor].version,
            });
            continue;
        }
        let mut candidates = floor..=newest;
        let oldest = candidates.find(|version| request.is_allowed_by(&changes[*version]));
        if let Some(oldest) = oldest.filter(|oldest| *oldest > floor) {
            shown.push((request.shown_us, oldest));
        }
    }
    violations
}

/// How much longer an older version may show on a VM that was harmed.
const SLOWED_FACTOR: u64 = 8;

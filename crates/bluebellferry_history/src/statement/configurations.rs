//! Checks that VMs handle requests by the configuration versions then in force.

use std::collections::HashMap;

use super::CallerStatement;
use super::ConfigurationChange;
use super::DatabaseRun;
use super::StatementOutcome;
use super::StatementViolation;
use super::index;

/// A request whose handling shows which configuration versions its VM may have
/// used.
struct HandledRequest<'a> {
    statement: &'a CallerStatement,
    /// The execution; `None` if the route or the API key was refused.
    run: Option<&'a DatabaseRun>,
    /// When the statement ran or the refusal arrived, in microseconds.
    handled_us: u64,
}

impl HandledRequest<'_> {
    /// Returns whether the request's handling agrees with a version that the operator
    /// had sent by then.
    fn is_allowed_by(&self, change: &ConfigurationChange) -> bool {
        if change.sent_us > self.handled_us {
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

    /// Returns the index of the newest version that allows the request's handling.
    fn newest_allowing(&self, changes: &[ConfigurationChange]) -> Option<usize> {
        changes
            .iter()
            .rposition(|change| self.is_allowed_by(change))
    }
}

/// Returns all versions, oldest first, after an empty one that stands for the time
/// before the first.
fn configuration_versions(index: &index::HistoryIndex<'_>) -> Vec<ConfigurationChange> {
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

/// Returns all requests that ran or were refused because of their route or key,
/// ordered by the time of sending.
fn handled_requests<'a>(index: &index::HistoryIndex<'a>) -> Vec<HandledRequest<'a>> {
    let mut requests = Vec::new();
    for statement in &index.history.statements {
        let runs = index.runs_of(&statement.request).iter();
        requests.extend(runs.map(|run| HandledRequest {
            statement,
            run: Some(run),
            handled_us: run.started_us,
        }));
        let refusals = [StatementOutcome::UnknownRoute, StatementOutcome::KeyRefused];
        if refusals.contains(&statement.outcome) {
            requests.push(HandledRequest {
                statement,
                run: None,
                handled_us: statement.ended_us,
            });
        }
    }
    requests.sort_by_key(|request| request.statement.sent_us);
    requests
}

/// Finds executions that no version had allowed until then.
pub(super) fn find_forbidden_runs(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = configuration_versions(index);
    let requests = handled_requests(index).into_iter();
    let forbidden = requests.filter(|request| request.newest_allowing(&changes).is_none());
    forbidden
        .filter_map(|request| request.run)
        .map(|run| StatementViolation::ForbiddenRun {
            request: run.request.clone(),
            database: run.database.clone(),
        })
        .collect()
}

/// Finds requests whose handling only superseded versions allow. A transaction may
/// go on with the version that was in force at its first statement.
pub(super) fn find_stale_versions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = configuration_versions(index);
    let mut violations = Vec::new();
    for request in handled_requests(index) {
        let Some(newest) = request.newest_allowing(&changes) else {
            continue;
        };
        let statement = request.statement;
        let sent_us = index.attempt_start_us(statement);
        let must_have_applied = |change: &&ConfigurationChange| {
            index.must_have_applied(&statement.vm, change.confirmed_us, sent_us)
        };
        let superseding = changes[newest + 1..].iter().find(must_have_applied);
        violations.extend(superseding.map(|change| StatementViolation::StaleVersion {
            request: statement.request.clone(),
            version: change.version,
        }));
    }
    violations
}

/// Finds requests that a VM handled by an older version than the same process of the
/// VM had used before.
pub(super) fn find_reverted_versions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = configuration_versions(index);
    // For each process, identified by its VM and the VM's number of starts: when
    // requests were handled, each with the oldest version that the VM can have used.
    let mut versions_used: HashMap<(&str, usize), Vec<(u64, usize)>> = HashMap::new();
    let mut violations = Vec::new();
    for request in handled_requests(index) {
        let statement = request.statement;
        let Some(newest) = request.newest_allowing(&changes) else {
            continue;
        };
        let sent_us = index.attempt_start_us(statement);
        let bounds = index.bounds;
        let undisturbed_from_us = sent_us.saturating_sub(bounds.fault_grace_us);
        let factor = if index.has_vm_fault(&statement.vm, undisturbed_from_us, sent_us) {
            FAULT_OVERLAP_FACTOR
        } else {
            1
        };
        let before_us = sent_us.saturating_sub(bounds.version_overlap_us * factor);
        let starts = index.history.starts.iter();
        let own_starts =
            starts.filter(|start| start.vm == statement.vm && start.started_us <= sent_us);
        let process = (statement.vm.as_str(), own_starts.count());
        let versions_used = versions_used.entry(process).or_default();
        let earlier = versions_used
            .iter()
            .filter(|(handled_us, _)| *handled_us < before_us);
        let min_version = earlier.map(|(_, version)| *version).max().unwrap_or(0);
        if newest < min_version {
            violations.push(StatementViolation::RevertedVersion {
                request: statement.request.clone(),
                version: changes[min_version].version,
            });
            continue;
        }
        let mut candidates = min_version..=newest;
        let oldest = candidates.find(|version| request.is_allowed_by(&changes[*version]));
        if let Some(oldest) = oldest.filter(|oldest| *oldest > min_version) {
            versions_used.push((request.handled_us, oldest));
        }
    }
    violations
}

/// Factor by which [`super::HistoryBounds::version_overlap_us`] is longer on a VM
/// with a recent fault.
const FAULT_OVERLAP_FACTOR: u64 = 8;

//! Checks that VMs handle requests by the configuration versions then in force.

use std::collections::HashMap;
use std::collections::HashSet;

use super::CallerStatement;
use super::ConfigurationChange;
use super::ConfiguredRoute;
use super::DatabaseRun;
use super::StatementAction;
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
    /// Returns whether the statement goes on in a transaction that began with an earlier one.
    fn is_within_transaction(&self) -> bool {
        self.statement.is_in_transaction && self.statement.action != StatementAction::Begin
    }

    /// Returns whether the request's handling agrees with a version that the operator
    /// had sent by then.
    fn is_allowed_by(&self, change: &ConfigurationChange) -> bool {
        if change.sent_us > self.handled_us {
            return false;
        }
        let route = self.route_in(change);
        let is_public = route.is_some_and(|route| route.is_public);
        match self.run {
            Some(run) => {
                let public = is_public.then_some(PUBLIC_WORKSPACE);
                route.is_some_and(|route| route.service == run.service)
                    && self.owner_in(change).or(public) == Some(run.workspace.as_str())
            }
            None if self.statement.outcome == StatementOutcome::UnknownRoute => route.is_none(),
            None => self.owner_in(change).is_none() && !is_public,
        }
    }

    fn route_in<'a>(&self, change: &'a ConfigurationChange) -> Option<&'a ConfiguredRoute> {
        let mut routes = change.routes.iter();
        routes.find(|route| route.name == self.statement.route)
    }

    /// Returns the workspace that has the caller's key in a version.
    fn owner_in<'a>(&self, change: &'a ConfigurationChange) -> Option<&'a str> {
        let has_key = |key: &String| *key == self.statement.key;
        let mut workspaces = change.workspaces.iter();
        let owner = workspaces.find(|workspace| workspace.keys.iter().any(has_key));
        owner.map(|owner| owner.name.as_str())
    }

    /// Returns the index of the newest version that allows the request's handling.
    fn newest_allowing(&self, changes: &[ConfigurationChange]) -> Option<usize> {
        changes
            .iter()
            .rposition(|change| self.is_allowed_by(change))
    }

    /// Returns the index of the newest version in which the caller's key names the workspace
    /// for which a statement ran within a transaction; `None` for all other requests, and
    /// for transactions that need no key.
    fn newest_with_key(&self, changes: &[ConfigurationChange]) -> Option<usize> {
        let run = self.run.filter(|_| self.is_within_transaction())?;
        let names_workspace = |change: &ConfigurationChange| {
            change.sent_us <= self.handled_us
                && self.owner_in(change) == Some(run.workspace.as_str())
        };
        changes.iter().rposition(names_workspace)
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

/// Finds requests whose handling only superseded versions allow. A transaction may go on
/// with the route that was in force at its first statement, but not with a key that no
/// longer names its workspace.
pub(super) fn find_stale_versions(index: &index::HistoryIndex<'_>) -> Vec<StatementViolation> {
    let changes = configuration_versions(index);
    let mut violations = Vec::new();
    for request in handled_requests(index) {
        let Some(newest) = request.newest_allowing(&changes) else {
            continue;
        };
        let statement = request.statement;
        let superseding = |newest: usize, at_us: u64| {
            let mut later = changes[newest + 1..].iter();
            later.find(|change| index.must_have_applied(&statement.vm, change.confirmed_us, at_us))
        };
        // A refusal ends a transaction, so it must be right when it is given.
        let decided_us = match request.run {
            Some(_) => index.attempt_start_us(statement),
            None => statement.sent_us,
        };
        let by_key = request.newest_with_key(&changes);
        let violated = superseding(newest, decided_us)
            .or_else(|| by_key.and_then(|newest| superseding(newest, statement.sent_us)));
        violations.extend(violated.map(|change| StatementViolation::StaleVersion {
            request: statement.request.clone(),
            version: change.version,
        }));
    }
    violations
}

/// Finds transactions that were ended although nothing but their route had changed: their
/// route was refused, or their key although they began without one.
pub(super) fn find_interrupted_transactions(
    index: &index::HistoryIndex<'_>,
) -> Vec<StatementViolation> {
    let requests = handled_requests(index);
    let runs_for_public = |request: &HandledRequest<'_>| {
        let workspace = request.run.map(|run| run.workspace.as_str());
        request.is_within_transaction() && workspace == Some(PUBLIC_WORKSPACE)
    };
    let keyless = requests.iter().filter(|request| runs_for_public(request));
    let keyless: HashSet<u64> = keyless.map(|request| request.statement.attempt).collect();
    let is_interrupted = |request: &&HandledRequest<'_>| {
        let outcome = &request.statement.outcome;
        request.run.is_none()
            && request.is_within_transaction()
            && (*outcome == StatementOutcome::UnknownRoute
                || keyless.contains(&request.statement.attempt))
    };
    let interrupted = requests.iter().filter(is_interrupted);
    interrupted
        .map(|request| StatementViolation::InterruptedTransaction {
            request: request.statement.request.clone(),
        })
        .collect()
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
        let starts = index.history.starts.iter();
        let own_starts =
            starts.filter(|start| start.vm == statement.vm && start.started_us <= sent_us);
        let process = (statement.vm.as_str(), own_starts.count());
        let versions_used = versions_used.entry(process).or_default();
        let used_before = |at_us: u64| {
            let before_us = at_us.saturating_sub(version_overlap_us(index, &statement.vm, at_us));
            let earlier = versions_used.iter();
            let earlier = earlier.filter(|(handled_us, _)| *handled_us < before_us);
            earlier.map(|(_, version)| *version).max().unwrap_or(0)
        };
        // What a transaction may keep of its first statement is its route, not its key.
        if let Some(by_key) = request.newest_with_key(&changes)
            && let min_version = used_before(statement.sent_us)
            && by_key < min_version
        {
            violations.push(StatementViolation::RevertedVersion {
                request: statement.request.clone(),
                version: changes[min_version].version,
            });
            continue;
        }
        let min_version = used_before(sent_us);
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

/// Returns for how long a VM may still use an older version after a newer one.
fn version_overlap_us(index: &index::HistoryIndex<'_>, vm: &str, at_us: u64) -> u64 {
    let undisturbed_from_us = at_us.saturating_sub(index.bounds.fault_grace_us);
    if index.has_vm_fault(vm, undisturbed_from_us, at_us) {
        index.bounds.version_overlap_us * FAULT_OVERLAP_FACTOR
    } else {
        index.bounds.version_overlap_us
    }
}

/// The workspace name that databases are told for callers of public routes without a known
/// key.
const PUBLIC_WORKSPACE: &str = "public";
/// Factor by which [`super::HistoryBounds::version_overlap_us`] is longer on a VM
/// with a recent fault.
const FAULT_OVERLAP_FACTOR: u64 = 8;

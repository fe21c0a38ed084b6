//! The review of a configuration before operators send it: entries that can never match, limits
//! that contradict each other, and what differs from the version in force.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;

use bluebellferry_keys::digest;
use serde::Serialize;

use crate::configuration;

/// How grave a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The entry is skipped, or the whole configuration has no effect.
    Error,
    /// The entry is accepted, but cannot do what it seems to say.
    Warning,
    /// A difference from the version in force.
    Change,
}

/// Something that operators should know before they send a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ReviewFinding {
    /// How grave it is.
    pub kind: FindingKind,
    /// The entry, such as `route booking`.
    pub entry: String,
    /// What was found.
    pub message: String,
}

impl ReviewFinding {
    /// Creates a finding.
    pub fn new(kind: FindingKind, entry: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            kind,
            entry: entry.into(),
            message: message.into(),
        }
    }
}

impl std::fmt::Display for ReviewFinding {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.kind {
            FindingKind::Error => "error",
            FindingKind::Warning => "warning",
            FindingKind::Change => "change",
        };
        write!(formatter, "{kind}: {}: {}", self.entry, self.message)
    }
}

/// Returns what is wrong with a configuration by itself, the gravest first.
pub fn review(configuration: &configuration::Configuration) -> Vec<ReviewFinding> {
    let mut findings = Vec::new();
    review_routes(configuration, &mut findings);
    review_services(configuration, &mut findings);
    review_workspaces(configuration, &mut findings);
    findings.sort();
    findings
}

/// Returns what sending `next` changes while `in_force` is in force, the gravest first.
pub fn compare(
    in_force: &configuration::Configuration,
    next: &configuration::Configuration,
) -> Vec<ReviewFinding> {
    let mut findings = Vec::new();
    if next.version <= in_force.version {
        let message = format!(
            "{} is not above {}, so no VM will use it",
            next.version, in_force.version
        );
        findings.push(ReviewFinding::new(FindingKind::Error, "version", message));
    }
    const REMOVAL_OF_CALLERS: &str = "is removed: its callers are refused";
    compare_entries(
        "route",
        (&in_force.routes, &next.routes),
        REMOVAL_OF_CALLERS,
        |_, before, route| route_differences(before, route),
        &mut findings,
    );
    compare_entries(
        "service",
        (&in_force.services, &next.services),
        "is removed",
        |_, before, service| service_differences(before, service),
        &mut findings,
    );
    compare_entries(
        "workspace",
        (&in_force.workspaces, &next.workspaces),
        REMOVAL_OF_CALLERS,
        |name, before, workspace| {
            workspace_differences(
                (before, in_force.keys.digests_of(name)),
                (workspace, next.keys.digests_of(name)),
            )
        },
        &mut findings,
    );
    findings.sort();
    findings
}

fn review_routes(configuration: &configuration::Configuration, findings: &mut Vec<ReviewFinding>) {
    for (host, route) in &configuration.routes {
        let mut add = |kind, message: String| {
            findings.push(ReviewFinding::new(kind, format!("route {host}"), message));
        };
        if !configuration.services.contains_key(&route.service) {
            let message = format!("the service '{}' is not configured", route.service);
            add(FindingKind::Error, message);
        }
        if route.statement_timeout.is_zero() {
            let message = "a timeout of 0 refuses every statement".to_owned();
            add(FindingKind::Error, message);
        }
        let max_age = match route.guarantee {
            configuration::ReadGuarantee::Primary => None,
            configuration::ReadGuarantee::BoundedAge { max_age }
            | configuration::ReadGuarantee::ReadYourWrites { max_age } => Some(max_age),
        };
        if max_age.is_some_and(|max_age| max_age.is_zero()) {
            let message = "a staleness of 0 sends every read to the primary".to_owned();
            add(FindingKind::Warning, message);
        }
        if !route.is_public && configuration.keys.is_empty() {
            add(
                FindingKind::Warning,
                "no workspace has a key for it".to_owned(),
            );
        }
        let apart: BTreeSet<&str> = configuration
            .workspaces
            .iter()
            .filter(|(_, workspace)| route.homes.intersect(&workspace.homes).is_empty())
            .map(|(name, _)| name.as_str())
            .collect();
        if let Some(first) = apart.first() {
            let message = format!(
                "has no home region in common with {} workspaces, such as {first}",
                apart.len()
            );
            add(FindingKind::Warning, message);
        }
    }
}

fn review_services(
    configuration: &configuration::Configuration,
    findings: &mut Vec<ReviewFinding>,
) {
    for (name, service) in &configuration.services {
        let entry = format!("service {name}");
        if service.max_connections == 0 {
            let message = "no VM may open a connection";
            findings.push(ReviewFinding::new(FindingKind::Error, &entry, message));
        }
        let is_used = |route: &configuration::RoutePolicy| route.service == *name;
        if !configuration.routes.values().any(is_used) {
            let message = "no route leads to it";
            findings.push(ReviewFinding::new(FindingKind::Warning, &entry, message));
        }
    }
}

fn review_workspaces(
    configuration: &configuration::Configuration,
    findings: &mut Vec<ReviewFinding>,
) {
    for (name, workspace) in &configuration.workspaces {
        let entry = format!("workspace {name}");
        let mut add = |kind, message: &str| {
            findings.push(ReviewFinding::new(kind, &entry, message));
        };
        if configuration.keys.digests_of(name).is_empty() {
            add(FindingKind::Warning, "has no key, so nobody can use it");
        }
        if workspace.burst < 1.0 {
            add(FindingKind::Error, "a burst below 1 admits nothing");
        } else if workspace.rate_per_second <= 0.0 {
            let message = "a rate of 0 admits nothing after the first burst";
            add(FindingKind::Error, message);
        }
    }
}

/// Adds what changes in the entries of one kind.
fn compare_entries<K: Eq + Hash + Display, V>(
    kind: &str,
    (in_force, next): (&HashMap<K, V>, &HashMap<K, V>),
    removal: &str,
    differences: impl Fn(&K, &V, &V) -> Vec<String>,
    findings: &mut Vec<ReviewFinding>,
) {
    let mut add = |name: &K, message: String| {
        let entry = format!("{kind} {name}");
        findings.push(ReviewFinding::new(FindingKind::Change, entry, message));
    };
    for (name, value) in next {
        match in_force.get(name) {
            None => add(name, "is new".to_owned()),
            Some(before) => differences(name, before, value)
                .into_iter()
                .for_each(|message| add(name, message)),
        }
    }
    for name in in_force.keys().filter(|name| !next.contains_key(*name)) {
        add(name, removal.to_owned());
    }
}

fn route_differences(
    before: &configuration::RoutePolicy,
    route: &configuration::RoutePolicy,
) -> Vec<String> {
    let mut differences = Vec::new();
    if before.service != route.service {
        differences.push(format!(
            "leads to {} instead of {}",
            route.service, before.service
        ));
    }
    if before.guarantee != route.guarantee {
        differences.push(format!(
            "promises {:?} instead of {:?}",
            route.guarantee, before.guarantee
        ));
    }
    let times = [
        ("timeout", before.statement_timeout, route.statement_timeout),
        (
            "objective",
            before.latency_objective,
            route.latency_objective,
        ),
    ];
    for (what, old, new) in times.into_iter().filter(|(_, old, new)| old != new) {
        let (new, old) = (new.as_millis(), old.as_millis());
        differences.push(format!("{what} {new} ms instead of {old} ms"));
    }
    if before.priority != route.priority {
        differences.push(format!(
            "priority {} instead of {}",
            route.priority, before.priority
        ));
    }
    if before.homes != route.homes {
        differences.push("other home regions".to_owned());
    }
    if before.is_public != route.is_public {
        let difference = if route.is_public {
            "no longer asks for a key"
        } else {
            "asks for a key from now on"
        };
        differences.push(difference.to_owned());
    }
    differences
}

fn service_differences(
    before: &configuration::ServicePolicy,
    service: &configuration::ServicePolicy,
) -> Vec<String> {
    if before.max_connections != service.max_connections {
        let (new, old) = (service.max_connections, before.max_connections);
        vec![format!("{new} connections instead of {old}")]
    } else if before != service {
        vec!["has changed".to_owned()]
    } else {
        Vec::new()
    }
}

fn workspace_differences(
    (before, old_keys): (&configuration::WorkspacePolicy, &[digest::KeyDigest]),
    (workspace, new_keys): (&configuration::WorkspacePolicy, &[digest::KeyDigest]),
) -> Vec<String> {
    let mut differences = Vec::new();
    if before.rate_per_second != workspace.rate_per_second || before.burst != workspace.burst {
        differences.push(format!(
            "{} operations a second and a burst of {} instead of {} and {}",
            workspace.rate_per_second, workspace.burst, before.rate_per_second, before.burst
        ));
    }
    if before.homes != workspace.homes {
        differences.push("other home regions".to_owned());
    }
    let added = new_keys
        .iter()
        .filter(|key| !old_keys.contains(key))
        .count();
    let withdrawn = old_keys
        .iter()
        .filter(|key| !new_keys.contains(key))
        .count();
    if added + withdrawn > 0 {
        differences.push(format!("{added} keys more, {withdrawn} keys withdrawn"));
    }
    differences
}

//! What a configuration document allows.

use bluebellferry_document::model;
use bluebellferry_types::name;

use crate::phrase;

/// Explains a document, one paragraph for each workspace and service.
pub fn explain_document(document: &model::EnvironmentDocument) -> String {
    let mut lines = vec![format!(
        "The system runs on {} servers in {}.",
        document.vm_count(),
        phrase::join_names(
            &document
                .data_centres
                .keys()
                .map(name::DataCentreName::as_str)
                .collect::<Vec<_>>()
        ),
    )];
    lines.push(String::new());
    for (workspace, plan) in &document.workspaces {
        lines.push(explain_workspace(workspace, plan));
    }
    lines.push(String::new());
    for (service, plan) in &document.services {
        lines.extend(explain_service(service, plan));
    }
    lines.join("\n")
}

fn explain_workspace(workspace: &name::WorkspaceName, plan: &model::WorkspaceSpec) -> String {
    let services: Vec<&str> = plan
        .services
        .iter()
        .map(name::ServiceName::as_str)
        .collect();
    let entry = if plan.is_keyless {
        "needs no key"
    } else {
        "needs its own key"
    };
    format!(
        "{workspace} may use {}. It {entry}. It may send {} requests a second, and up to {} at once after a quiet moment.",
        phrase::join_names(&services),
        phrase::format_number(plan.rate_per_second),
        phrase::format_number(plan.burst),
    )
}

fn explain_service(service: &name::ServiceName, plan: &model::ServiceSpec) -> Vec<String> {
    let mut lines = vec![format!(
        "Each database of {service} is given at most {} connections. Whoever changes something sees that change in everything read afterwards.",
        plan.max_connections
    )];
    for (kind, read) in &plan.reads {
        lines.push(format!(
            "  Reads of the kind \"{kind}\" may show data that is up to {} old, and may wait {} for a copy that is catching up.",
            phrase::format_duration(read.max_age),
            phrase::format_duration(read.max_wait),
        ));
    }
    if plan.reads.is_empty() {
        lines.push("  All reads show the newest data.".to_owned());
    }
    lines
}

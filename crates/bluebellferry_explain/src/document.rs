//! Explanation of a configuration document.

use bluebellferry_document::model;
use bluebellferry_types::name;

use crate::phrase;

/// Explains a document: the number of VMs and the data centres, then one line
/// for each workspace, then one line for each service and each of its kinds of
/// read.
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
    for (workspace, spec) in &document.workspaces {
        lines.push(explain_workspace(workspace, spec));
    }
    lines.push(String::new());
    for (service, spec) in &document.services {
        lines.extend(explain_service(service, spec));
    }
    lines.join("\n")
}

fn explain_workspace(workspace: &name::WorkspaceName, spec: &model::WorkspaceSpec) -> String {
    let services: Vec<&str> = spec
        .services
        .iter()
        .map(name::ServiceName::as_str)
        .collect();
    let key_rule = if spec.is_keyless {
        "needs no key"
    } else {
        "needs its own key"
    };
    format!(
        "{workspace} may use {}. It {key_rule}. It may send {} requests a second, and up to {} at once after a quiet moment.",
        phrase::join_names(&services),
        phrase::format_number(spec.rate_per_second),
        phrase::format_number(spec.burst),
    )
}

fn explain_service(service: &name::ServiceName, spec: &model::ServiceSpec) -> Vec<String> {
    let mut lines = vec![format!(
        "Each database of {service} is given at most {} connections. Whoever changes something sees that change in everything read afterwards.",
        spec.max_connections
    )];
    for (kind, read) in &spec.read_kinds {
        lines.push(format!(
            "  Reads of the kind \"{kind}\" may show data that is up to {} old, and may wait {} for a copy that is catching up.",
            phrase::format_duration(read.max_age),
            phrase::format_duration(read.max_wait),
        ));
    }
    if spec.read_kinds.is_empty() {
        lines.push("  All reads show the newest data.".to_owned());
    }
    lines
}

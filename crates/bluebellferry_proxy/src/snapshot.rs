//! The immutable snapshot of the control state that traffic threads read.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use bluebellferry_document::hash;
use bluebellferry_document::model;
use bluebellferry_keys::table;
use bluebellferry_routing::choice;
use bluebellferry_types::name;
use tokio::sync::Notify;

use crate::pool;

/// The configuration document that this VM applies.
#[derive(Debug, Clone)]
pub struct ActiveDocument {
    /// The parsed and checked document.
    pub document: model::EnvironmentDocument,
    /// The version of the store object that contains the document.
    pub version: u64,
    /// The hash of the document's text.
    pub hash: hash::DocumentHash,
}

/// The databases of one service and their state.
#[derive(Debug, Clone)]
pub struct ServiceSnapshot {
    /// The state of the databases according to the latest probes.
    pub view: choice::ServiceView,
    /// The connection pools of the databases, in the order of `view.databases`.
    pub pools: Vec<Arc<pool::DatabasePool>>,
    /// Whether the primary is being replaced, so that requests wait for its
    /// successor instead of failing.
    pub is_replacement_expected: bool,
    /// Notified when a request waits for a replica to catch up, so that the
    /// databases are probed before their next regular probe is due.
    pub probe_trigger: Arc<Notify>,
    /// The parameters (`ParameterStatus`) that a database of the service reported
    /// during login.
    pub parameters: Arc<Vec<ServerParameter>>,
}

/// A parameter (`ParameterStatus`) that a database reports during login.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerParameter {
    /// The parameter's name, such as `server_version`.
    pub name: String,
    /// The parameter's value.
    pub value: String,
}

/// The control state that traffic threads need to serve requests.
#[derive(Debug, Clone, Default)]
pub struct ControlSnapshot {
    /// The configuration document, or `None` before the first one was applied.
    pub active_document: Option<Arc<ActiveDocument>>,
    /// The valid API keys.
    pub keys: Arc<table::KeyTable>,
    /// The services whose list of databases has been received.
    pub services: BTreeMap<name::ServiceName, Arc<ServiceSnapshot>>,
    /// When tokens may first be spent. A previous process of this VM may have lent
    /// tokens that can be spent until then.
    pub tokens_usable_from: Option<Instant>,
    /// Whether the VM is draining and accepts no new work.
    pub is_draining: bool,
}

impl ControlSnapshot {
    /// Returns the reason why no caller can be served, or `None` if the VM is ready.
    pub fn not_ready_reason(&self) -> Option<String> {
        if self.is_draining {
            return Some("the VM is shutting down".to_owned());
        }
        if self.active_document.is_none() {
            return Some("no configuration document has been received".to_owned());
        }
        if self
            .tokens_usable_from
            .is_none_or(|from| from > Instant::now())
        {
            return Some("the rates cannot be used yet".to_owned());
        }
        None
    }

    /// Returns the settings of a workspace in the active document.
    pub fn workspace_spec(&self, workspace: &name::WorkspaceName) -> Option<&model::WorkspaceSpec> {
        self.active_document
            .as_ref()?
            .document
            .workspaces
            .get(workspace)
    }

    /// Returns the settings of a service in the active document.
    pub fn service_spec(&self, service: &name::ServiceName) -> Option<&model::ServiceSpec> {
        self.active_document
            .as_ref()?
            .document
            .services
            .get(service)
    }
}

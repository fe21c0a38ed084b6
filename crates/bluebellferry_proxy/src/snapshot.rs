//! What traffic knows of control: an immutable snapshot, replaced as a whole.

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

/// The configuration document in force.
#[derive(Debug, Clone)]
pub struct ActiveDocument {
    /// The checked document.
    pub document: model::EnvironmentDocument,
    /// The version of the object that holds it.
    pub version: u64,
    /// The hash of its bytes.
    pub hash: hash::DocumentHash,
}

/// A service as traffic sees it.
#[derive(Debug, Clone)]
pub struct ServiceSnapshot {
    /// What probes have found.
    pub view: choice::ServiceView,
    /// The pools of the databases, in the order of the view.
    pub pools: Vec<Arc<pool::DatabasePool>>,
    /// Whether a primary is being replaced, so that its successor is worth
    /// waiting for.
    pub is_replacement_expected: bool,
    /// Notified when a request waits for a replica, so that probes come sooner.
    pub probe_trigger: Arc<Notify>,
    /// The start-up parameters that the databases report.
    pub parameters: Arc<Vec<ServerParameter>>,
}

/// A parameter that a database reports when a session starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerParameter {
    /// The name, such as `server_version`.
    pub name: String,
    /// The value.
    pub value: String,
}

/// Everything that traffic reads.
#[derive(Debug, Clone, Default)]
pub struct ControlSnapshot {
    /// The document in force, once there is one.
    pub active_document: Option<Arc<ActiveDocument>>,
    /// The valid keys.
    pub keys: Arc<table::KeyTable>,
    /// The services whose databases are known.
    pub services: BTreeMap<name::ServiceName, Arc<ServiceSnapshot>>,
    /// When tokens can first be spent; whatever ran in this VM's place before
    /// may have lent some until then.
    pub tokens_usable_from: Option<Instant>,
    /// Whether this VM takes no new work.
    pub is_draining: bool,
}

impl ControlSnapshot {
    /// Says why no caller can be served yet, or `None` when they can.
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

    /// Returns a workspace's plan.
    pub fn workspace(&self, workspace: &name::WorkspaceName) -> Option<&model::WorkspacePlan> {
        self.active_document
            .as_ref()?
            .document
            .workspaces
            .get(workspace)
    }

    /// Returns a service's plan.
    pub fn service_plan(&self, service: &name::ServiceName) -> Option<&model::ServicePlan> {
        self.active_document
            .as_ref()?
            .document
            .services
            .get(service)
    }
}

//! The keys and values of the environment's store objects, and how the control state
//! applies them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bluebellferry_document::check;
use bluebellferry_document::hash;
use bluebellferry_document::model;
use bluebellferry_keys::digest;
use bluebellferry_limits::bucket;
use bluebellferry_limits::share;
use bluebellferry_store::wire;
use bluebellferry_types::limit;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

use super::ControlState;
use super::ReplicatedObject;
use crate::snapshot;

/// Builds the keys of an environment's objects in the platform's store.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    environment: name::EnvironmentName,
}

impl StoreKeys {
    /// Creates the builder for the keys of an environment.
    pub fn new(environment: &name::EnvironmentName) -> Self {
        Self {
            environment: environment.clone(),
        }
    }

    /// Returns the prefix of the keys that this VM watches. The audit trail's keys do
    /// not have it.
    pub fn watched_prefix(&self) -> String {
        format!("environments/{}/", self.environment)
    }

    /// Returns the store key of the configuration document.
    pub fn document_key(&self) -> String {
        format!("{}document", self.watched_prefix())
    }

    /// Returns the store key of the platform's list of VMs.
    pub fn vm_list_key(&self) -> String {
        format!("{}vms", self.watched_prefix())
    }

    /// Returns the store key of a service's list of databases.
    pub fn database_list_key(&self, service: &str) -> String {
        format!("{}groups/{service}", self.watched_prefix())
    }

    /// Returns the store key of a workspace's API keys; with an empty workspace, the
    /// prefix of all of these.
    pub fn api_keys_key(&self, workspace: &str) -> String {
        format!("{}keys/{workspace}", self.watched_prefix())
    }

    /// Returns the store key of a service's claimed term.
    pub fn term_key(&self, service: &str) -> String {
        format!("{}terms/{service}", self.watched_prefix())
    }

    /// Returns the store key of an entry of the audit trail; with an empty entry name,
    /// the prefix of all entries.
    pub fn audit_key(&self, entry: &str) -> String {
        format!("audit/{}/{entry}", self.environment)
    }
}

/// The store object of the configuration document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DocumentObjectWire {
    /// The hash of the document's text, in hexadecimal.
    pub hash: String,
    /// The document's exact text.
    pub text: String,
    /// The name of the operator who wrote it.
    #[serde(default)]
    pub operator: String,
}

/// The store object of a service's list of databases.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct GroupObjectWire {
    /// The databases of the service.
    pub databases: Vec<GroupDatabaseWire>,
}

/// A database of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct GroupDatabaseWire {
    /// The database's name.
    pub name: String,
    /// The database's address, as `IP:port`.
    pub address: String,
    /// The database's data centre.
    pub data_centre: String,
}

/// The store object of a workspace's API keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkspaceKeysWire {
    /// The workspace's valid API keys.
    pub keys: Vec<KeyRecordWire>,
}

/// A valid API key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyRecordWire {
    /// The SHA-256 digest of the API key, in hexadecimal.
    pub digest: digest::KeyDigest,
    /// The label that an operator gave the API key.
    pub label: String,
}

/// The store object of the platform's list of VMs.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct VmListWire {
    /// The VMs of the environment.
    pub vms: Vec<VmEntryWire>,
}

/// A VM of the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct VmEntryWire {
    /// The VM's name.
    pub name: String,
    /// The address that other VMs send messages to.
    pub peer_address: String,
}

/// A database of a service, after its fields were checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GroupDatabase {
    pub(super) name: name::DatabaseName,
    pub(super) address: SocketAddr,
    pub(super) data_centre: name::DataCentreName,
}

impl TryFrom<GroupDatabaseWire> for GroupDatabase {
    type Error = String;

    fn try_from(wire: GroupDatabaseWire) -> Result<Self, String> {
        let address = wire
            .address
            .parse()
            .map_err(|error| format!("{}: {error}", wire.address))?;
        let name = name::DatabaseName::try_from(wire.name).map_err(|error| error.to_string())?;
        let data_centre =
            name::DataCentreName::try_from(wire.data_centre).map_err(|error| error.to_string())?;
        Ok(Self {
            name,
            address,
            data_centre,
        })
    }
}

impl ControlState {
    /// Applies the objects whose version is higher than the known one. The version of
    /// an object never decreases, so an older copy cannot replace a newer one.
    pub(super) fn apply_objects(&mut self, objects: Vec<wire::StoreObject>) {
        for object in objects {
            let known_version = self
                .objects
                .get(&object.key)
                .map_or(0, |known| known.version);
            if object.version <= known_version {
                continue;
            }
            let value = object.value;
            let entry = ReplicatedObject {
                version: object.version,
                value: value.clone(),
            };
            self.objects.insert(object.key.clone(), entry);
            self.apply_object(&object.key, object.version, value);
            self.announce_changed_object(&object.key, known_version, object.version);
        }
    }

    fn apply_object(&mut self, key: &str, version: u64, value: serde_json::Value) {
        let Some(relative_key) = key
            .strip_prefix(&self.store_keys.watched_prefix())
            .map(str::to_owned)
        else {
            return;
        };
        self.is_snapshot_outdated = true;
        let result = match relative_key.split_once('/') {
            None if relative_key == "document" => self.apply_document(version, value),
            None if relative_key == "vms" => self.apply_vms(value),
            Some(("keys", workspace)) => self.apply_keys(workspace, version, value),
            Some(("groups", service)) => self.apply_group(service, value),
            _ => Ok(()),
        };
        if let Err(reason) = result {
            log::error!(key = key, version = version; "rejected a store object: {reason}");
        }
    }

    fn apply_document(&mut self, version: u64, value: serde_json::Value) -> Result<(), String> {
        let parsed = parse_document_object(version, value);
        self.document_error = parsed.as_ref().err().cloned();
        let active_document = parsed?;
        log::info!(version = version, hash = active_document.hash.short_hex(); "applied a configuration document");
        let place = &self.shared.settings.place;
        let now = Instant::now();
        let sizes = share_sizes(&active_document.document, place);
        self.shared
            .rate_limiter
            .apply_sizes(&sizes, bucket::GROWTH_DELAY);
        self.tokens_usable_from
            .get_or_insert(now + bucket::LOAN_RESERVATION);
        self.active_document = Some(Arc::new(active_document));
        self.is_wakeup_pending = true;
        self.update_connection_quotas();
        Ok(())
    }

    fn apply_keys(
        &mut self,
        workspace: &str,
        version: u64,
        value: serde_json::Value,
    ) -> Result<(), String> {
        let workspace =
            name::WorkspaceName::try_from(workspace).map_err(|error| error.to_string())?;
        let wire: WorkspaceKeysWire =
            serde_json::from_value(value).map_err(|error| error.to_string())?;
        let withdrawn = &self.withdrawn_keys;
        let digests = wire.keys.into_iter().map(|record| record.digest);
        let valid_digests = digests
            .filter(|digest| !withdrawn.contains(digest))
            .collect();
        self.key_table
            .replace_workspace(&workspace, version, valid_digests);
        log::info!(workspace = workspace.as_str(), version = version; "applied API keys");
        self.is_wakeup_pending = true;
        Ok(())
    }

    /// Makes an API key invalid for the rest of this process, even if the store lists
    /// it as valid later.
    pub(super) fn record_withdrawal(&mut self, digest: digest::KeyDigest) {
        if !self.withdrawn_keys.insert(digest) {
            return;
        }
        log::info!(key = digest.short_hex().as_str(); "API key withdrawn");
        self.key_table.remove(&digest);
        self.is_snapshot_outdated = true;
        self.is_wakeup_pending = true;
    }

    fn apply_group(&mut self, service: &str, value: serde_json::Value) -> Result<(), String> {
        let service = name::ServiceName::try_from(service).map_err(|error| error.to_string())?;
        let wire: GroupObjectWire =
            serde_json::from_value(value).map_err(|error| error.to_string())?;
        let databases: Result<Vec<_>, _> = wire
            .databases
            .into_iter()
            .map(GroupDatabase::try_from)
            .collect();
        self.replace_group(&service, databases?);
        self.update_connection_quotas();
        Ok(())
    }

    fn apply_vms(&mut self, value: serde_json::Value) -> Result<(), String> {
        let wire: VmListWire = serde_json::from_value(value).map_err(|error| error.to_string())?;
        let mut addresses = Vec::new();
        for vm in wire.vms {
            let parsed = vm.peer_address.parse();
            addresses.push(parsed.map_err(|error| format!("{}: {error}", vm.name))?);
        }
        self.peers
            .replace_addresses(addresses, self.shared.settings.peer_listen);
        Ok(())
    }

    /// Returns this VM's copies of the objects with the given keys, or of all objects
    /// if no keys are given.
    pub(super) fn read_store_copies(&self, keys: &[String]) -> Vec<wire::StoreObject> {
        let is_requested =
            |key: &str| keys.is_empty() || keys.iter().any(|requested| requested == key);
        let to_wire = |(key, known): (&String, &ReplicatedObject)| wire::StoreObject {
            key: key.clone(),
            version: known.version,
            writer: String::new(),
            value: known.value.clone(),
        };
        self.objects
            .iter()
            .filter(|(key, _)| is_requested(key))
            .map(to_wire)
            .collect()
    }
}

fn parse_document_object(
    version: u64,
    value: serde_json::Value,
) -> Result<snapshot::ActiveDocument, String> {
    let wire: DocumentObjectWire =
        serde_json::from_value(value).map_err(|error| error.to_string())?;
    let hash = hash::DocumentHash::compute(wire.text.as_bytes());
    if hash.as_str() != wire.hash {
        return Err("the document's bytes do not fit its hash".to_owned());
    }
    let document =
        check::parse_document(wire.text.as_bytes()).map_err(|error| error.to_string())?;
    Ok(snapshot::ActiveDocument {
        document,
        version,
        hash,
    })
}

/// Returns this VM's share of each workspace's rate and burst.
fn share_sizes(
    document: &model::EnvironmentDocument,
    place: &share::VmPlace,
) -> BTreeMap<limit::LimitKey, bucket::ShareSize> {
    let data_centres: Vec<(name::DataCentreName, u32)> = document
        .data_centres
        .iter()
        .map(|(name, spec)| (name.clone(), spec.vm_count))
        .collect();
    let size_of_workspace = |(workspace, spec): (&name::WorkspaceName, &model::WorkspaceSpec)| {
        let total = bucket::ShareSize {
            rate_per_second: spec.rate_per_second,
            burst: spec.burst,
        };
        let own_share = share::owned_share(workspace, total, place, &data_centres);
        (workspace.into(), own_share)
    };
    document.workspaces.iter().map(size_of_workspace).collect()
}

//! The environment's objects: which keys they have and what they mean.

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
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

use super::ControlState;
use super::ReplicatedObject;
use crate::snapshot;

/// The keys of an environment's objects in the platform's store.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    environment: name::EnvironmentName,
}

impl StoreKeys {
    /// Creates the keys of an environment.
    pub fn new(environment: &name::EnvironmentName) -> Self {
        Self {
            environment: environment.clone(),
        }
    }

    /// Returns what all keys of the environment start with.
    pub fn prefix(&self) -> String {
        format!("environments/{}/", self.environment)
    }

    /// Returns the key of the configuration document.
    pub fn document(&self) -> String {
        format!("{}document", self.prefix())
    }

    /// Returns the key of the platform's list of VMs.
    pub fn vms(&self) -> String {
        format!("{}vms", self.prefix())
    }

    /// Returns the key of a service's group of databases.
    pub fn group(&self, service: &str) -> String {
        format!("{}groups/{service}", self.prefix())
    }

    /// Returns the key of a workspace's keys.
    pub fn workspace_keys(&self, workspace: &str) -> String {
        format!("{}keys/{workspace}", self.prefix())
    }

    /// Returns the key of a service's claimed term.
    pub fn term(&self, service: &str) -> String {
        format!("{}terms/{service}", self.prefix())
    }

    /// Returns the key of the audit trail's entry with the given number.
    pub fn audit(&self, entry: &str) -> String {
        format!("audit/{}/{entry}", self.environment)
    }
}

/// The configuration document as an object's value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct DocumentObjectWire {
    /// The hash of the bytes, in hexadecimal.
    pub hash: String,
    /// The document's exact text.
    pub text: String,
    /// Who put it in force.
    #[serde(default)]
    pub operator: String,
}

/// A service's databases as an object's value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct GroupObjectWire {
    /// The databases.
    pub databases: Vec<GroupDatabaseWire>,
}

/// One database of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct GroupDatabaseWire {
    /// The database's name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
}

/// A workspace's keys as an object's value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkspaceKeysWire {
    /// The valid keys.
    pub keys: Vec<KeyRecordWire>,
}

/// One valid key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyRecordWire {
    /// The SHA-256 of the key, in hexadecimal.
    pub digest: digest::KeyDigest,
    /// What the operator calls it.
    pub label: String,
}

/// The platform's list of VMs as an object's value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct VmListWire {
    /// The VMs.
    pub vms: Vec<VmEntryWire>,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct VmEntryWire {
    /// The VM's name.
    pub name: String,
    /// Where other VMs reach it.
    pub peer_address: String,
}

/// A checked database of a group.
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
    /// Takes objects over whose version is higher than the known one. Versions
    /// never fall, so whatever is accepted stays in force.
    pub(super) fn apply_objects(&mut self, objects: Vec<wire::ObjectWire>) {
        for object in objects {
            let known = self
                .objects
                .get(&object.key)
                .map_or(0, |known| known.version);
            if object.version <= known {
                continue;
            }
            let value = object.value;
            let entry = ReplicatedObject {
                version: object.version,
                value: value.clone(),
            };
            self.objects.insert(object.key.clone(), entry);
            self.apply_object(&object.key, object.version, value);
            self.announce_changed_object(&object.key, known, object.version);
        }
    }

    fn apply_object(&mut self, key: &str, version: u64, value: serde_json::Value) {
        let Some(rest) = key
            .strip_prefix(&self.store_keys.prefix())
            .map(str::to_owned)
        else {
            return;
        };
        self.is_snapshot_outdated = true;
        let applied = match rest.split_once('/') {
            None if rest == "document" => self.apply_document(version, value),
            None if rest == "vms" => self.apply_vms(value),
            Some(("keys", workspace)) => self.apply_keys(workspace, version, value),
            Some(("groups", service)) => self.apply_group(service, value),
            _ => Ok(()),
        };
        if let Err(reason) = applied {
            log::error!(key = key, version = version; "an object cannot be used: {reason}");
        }
    }

    fn apply_document(&mut self, version: u64, value: serde_json::Value) -> Result<(), String> {
        let parsed = parse_document_object(version, value);
        self.document_fault = parsed.as_ref().err().cloned();
        let active_document = parsed?;
        log::info!(version = version, hash = active_document.hash.short(); "a document is in force");
        let place = &self.shared.settings.place;
        let now = Instant::now();
        let sizes = share_sizes(&active_document.document, place);
        self.shared.shares.apply_sizes(&sizes, bucket::GROWTH_DELAY);
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
        let valid = digests
            .filter(|digest| !withdrawn.contains(digest))
            .collect();
        self.key_table.replace_workspace(&workspace, version, valid);
        log::info!(workspace = workspace.as_str(), version = version; "keys are in force");
        self.is_wakeup_pending = true;
        Ok(())
    }

    /// Makes a key invalid for good, whatever the store says later.
    pub(super) fn record_withdrawal(&mut self, digest: digest::KeyDigest) {
        if !self.withdrawn_keys.insert(digest) {
            return;
        }
        log::info!(key = digest.short().as_str(); "a key has been withdrawn");
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

    /// Returns copies of the named objects, or of all.
    pub(super) fn read_store_copies(&self, keys: &[String]) -> Vec<wire::ObjectWire> {
        let wanted = |key: &str| keys.is_empty() || keys.iter().any(|wanted| wanted == key);
        let copy = |(key, known): (&String, &ReplicatedObject)| wire::ObjectWire {
            key: key.clone(),
            version: known.version,
            writer: String::new(),
            value: known.value.clone(),
        };
        self.objects
            .iter()
            .filter(|(key, _)| wanted(key))
            .map(copy)
            .collect()
    }
}

fn parse_document_object(
    version: u64,
    value: serde_json::Value,
) -> Result<snapshot::ActiveDocument, String> {
    let wire: DocumentObjectWire =
        serde_json::from_value(value).map_err(|error| error.to_string())?;
    let hash = hash::DocumentHash::of(wire.text.as_bytes());
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

/// Returns this VM's part of each workspace's rate.
fn share_sizes(
    document: &model::EnvironmentDocument,
    place: &share::VmPlace,
) -> BTreeMap<name::WorkspaceName, bucket::ShareSize> {
    let centres: Vec<(name::DataCentreName, u32)> = document
        .data_centres
        .iter()
        .map(|(name, plan)| (name.clone(), plan.vms))
        .collect();
    let size = |(workspace, plan): (&name::WorkspaceName, &model::WorkspacePlan)| {
        let total = bucket::ShareSize {
            rate_per_second: plan.rate_per_second,
            burst: plan.burst,
        };
        let part = share::owned_share(workspace, total, place, &centres);
        (workspace.clone(), part)
    };
    document.workspaces.iter().map(size).collect()
}

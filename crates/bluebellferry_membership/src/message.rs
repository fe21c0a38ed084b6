//! What VMs tell each other.

use bluebellferry_limits::share;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat;

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat(HeartbeatPayload),
    /// The sender is about to stop and takes no new work.
    Goodbye,
    /// The sender is alive; among VMs whose members stand in the store.
    Beat(Box<heartbeat::FleetHeartbeat>),
    /// The sender needs tokens of a workspace.
    TokenRequest {
        /// The workspace.
        workspace: String,
        /// How many tokens.
        amount: f64,
        /// The sender's number for this request.
        number: u64,
    },
    /// A VM needs tokens of a workspace, of which the receiver owns some or knows who
    /// does. The owner answers the VM itself.
    OwnerRequest {
        /// The VM.
        borrower: String,
        /// The workspace.
        workspace: String,
        /// How many tokens.
        amount: f64,
        /// The VM's number for this request.
        number: u64,
        /// How often the request may still be passed on.
        hops: u8,
    },
    /// The sender has moved tokens to the receiver.
    TokenTransfer {
        /// The workspace.
        workspace: String,
        /// How many tokens.
        amount: f64,
        /// The number of the request that is answered.
        number: u64,
    },
    /// The sender asks for objects in newer versions than it has; over TCP.
    ObjectRequest {
        /// The keys of the objects; none means all.
        keys: Vec<String>,
    },
    /// The answer to an [`PeerMessage::ObjectRequest`]; over TCP.
    ObjectCopies(Vec<ObjectCopy>),
    /// Keys that were withdrawn while the platform's store could not be
    /// written, as hexadecimal digests. They never become valid again.
    KeysWithdrawn(Vec<String>),
}

/// An object of the platform's store, as the sender last read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectCopy {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: u64,
    /// The value as JSON text.
    pub value: String,
}

/// What a heartbeat carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatPayload {
    /// The sender's name.
    pub vm: String,
    /// The sender's place.
    pub place: share::VmPlace,
    /// Whether the sender takes no new callers.
    pub leaving: bool,
    /// The version of the configuration document in force.
    pub document_version: u64,
    /// A digest of the versions of all objects that the sender knows.
    pub objects_digest: u64,
    /// The versions of the objects that changed a moment ago.
    pub recent_objects: Vec<ObjectVersion>,
}

/// The version in which a VM knows an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: u64,
}

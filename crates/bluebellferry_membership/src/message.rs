//! The messages between VMs.

use bluebellferry_limits::share;
use bluebellferry_shares::limiter;
use bluebellferry_types::limit;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat;

/// A message between two VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat of a VM that finds the other VMs in the platform's list.
    Heartbeat(HeartbeatPayload),
    /// The sender is about to stop and accepts no new work.
    Goodbye,
    /// A heartbeat of a VM that finds the other VMs in the store.
    Beat(Box<heartbeat::FleetHeartbeat>),
    /// The sender requests rate tokens from the receiver.
    TokenRequest {
        /// The limit that the tokens belong to.
        key: limit::LimitKey,
        /// The number of tokens.
        amount: f64,
        /// The number that the sender gave this request.
        number: u64,
    },
    /// A VM requests rate tokens. The receiver owns such tokens or forwards
    /// the request to an owner, which answers the requesting VM directly.
    OwnerRequest {
        /// The VM that requests the tokens.
        borrower: String,
        /// The limit that the tokens belong to.
        key: limit::LimitKey,
        /// The tokens that operations of each urgency level want.
        wanted: limiter::WantedTokens,
        /// The number that the requesting VM gave this request.
        number: u64,
        /// How many more times the request may be forwarded.
        hops: u8,
    },
    /// The sender has transferred rate tokens to the receiver.
    TokenTransfer {
        /// The limit that the tokens belong to.
        key: limit::LimitKey,
        /// The number of tokens.
        amount: f64,
        /// The number of the request that this transfer answers.
        number: u64,
    },
    /// The sender owns the rate and expects no token in time for operations of this urgency level
    /// and less urgent ones.
    TokenDenial {
        /// The number of the request that this denial answers.
        number: u64,
        /// The urgency level; 0 is the most urgent.
        level: u8,
        /// The time until tokens are expected, in milliseconds.
        wait_ms: u32,
    },
    /// The sender requests store objects of which the receiver has newer versions. Sent
    /// over TCP.
    ObjectRequest {
        /// The keys of the objects; an empty list requests all objects.
        keys: Vec<String>,
    },
    /// The answer to a [`PeerMessage::ObjectRequest`]. Sent over TCP.
    ObjectCopies(Vec<ObjectCopy>),
    /// Keys of workspaces that were withdrawn while the platform's store was not writable,
    /// as hexadecimal digests. A withdrawn key never becomes valid again.
    KeysWithdrawn(Vec<String>),
    /// What the sender acknowledged of services whose leader is being replaced.
    ReplacementReport(Box<heartbeat::ReplacementReport>),
}

/// An object of the platform's store in the version that the sender last read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectCopy {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: u64,
    /// The object's value as JSON text.
    pub value: String,
}

/// The contents of a [`PeerMessage::Heartbeat`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatPayload {
    /// The sender's name.
    pub vm: String,
    /// The sender's data centre and its ordinal there.
    pub place: share::VmPlace,
    /// Whether the sender drains: it accepts no new callers.
    #[serde(rename = "leaving")]
    pub is_draining: bool,
    /// The version of the configuration document that the sender uses.
    pub document_version: u64,
    /// A digest of the versions of all objects that the sender knows.
    pub objects_digest: u64,
    /// The versions of the objects that changed recently.
    pub recent_objects: Vec<ObjectVersion>,
}

/// The version of an object that a VM has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectVersion {
    /// The object's key.
    pub key: String,
    /// The object's version.
    pub version: u64,
}

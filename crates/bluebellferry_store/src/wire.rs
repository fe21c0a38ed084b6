//! The JSON bodies of the store's HTTP interface.

use serde::Deserialize;
use serde::Serialize;

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreObject {
    /// The object's key.
    pub key: String,
    /// The object's version; 0 means that the object does not exist.
    pub version: u64,
    /// The id of the write that created this version.
    pub writer: String,
    /// The object's value.
    pub value: serde_json::Value,
}

/// The body of a conditional write.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutRequest {
    /// The version that the object must have for the write to take effect; 0
    /// means that the object must not exist.
    pub expected_version: u64,
    /// The unique id of this write.
    pub writer: String,
    /// The new value.
    pub value: serde_json::Value,
}

/// A list of objects and the store's revision at the time of the listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObjectList {
    /// The store's revision, which increases by one with each write.
    pub revision: u64,
    /// The listed objects.
    pub objects: Vec<StoreObject>,
}

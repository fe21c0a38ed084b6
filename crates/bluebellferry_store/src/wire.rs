//! The JSON bodies that the store's HTTP interface exchanges.

use serde::Deserialize;
use serde::Serialize;

/// An object as the store returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreObject {
    /// The object's key.
    pub key: String,
    /// The object's version; 0 means that it does not exist.
    pub version: u64,
    /// The mark of the write that made this version.
    pub writer: String,
    /// The value.
    pub value: serde_json::Value,
}

/// A conditional write.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutRequest {
    /// The version that must be current; 0 means that the object must not exist.
    pub expected_version: u64,
    /// The mark of this write, unique to it.
    pub writer: String,
    /// The new value.
    pub value: serde_json::Value,
}

/// A list of objects and the store's revision when it was taken.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ObjectList {
    /// The store's revision; each write raises it by one.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<StoreObject>,
}

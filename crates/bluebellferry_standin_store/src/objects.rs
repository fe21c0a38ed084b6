//! The store's objects, each with a version, and the store's revision.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a value that a write may store, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object and the store's revision of the write that last changed it.
#[derive(Debug, Clone, Serialize)]
pub struct StoredObject {
    /// The key, unique in the store.
    pub key: String,
    /// The number of writes to the object so far; 0 means that the object does not exist.
    pub version: u64,
    /// The identifier that the writer gave to the write of this version.
    pub writer: String,
    /// The stored JSON value; null if the object does not exist.
    pub value: serde_json::Value,
    /// The store's revision after the write of this version.
    #[serde(skip)]
    pub revision: u64,
}

/// A write that takes effect only if the object still has the expected version.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// The version that the object must have; 0 means that the object must not exist.
    pub expected_version: u64,
    /// An identifier of this write, stored with the value.
    pub writer: String,
    /// The JSON value to store.
    pub value: serde_json::Value,
}

/// All objects of the store by key, and the store's revision.
#[derive(Debug, Default)]
pub struct ObjectTable {
    objects: BTreeMap<String, StoredObject>,
    revision: u64,
}

impl ObjectTable {
    /// Returns the store's revision: the number of successful writes to all objects.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the object, or a placeholder of version 0 if it does not exist.
    pub fn get(&self, key: &str) -> StoredObject {
        self.objects
            .get(key)
            .cloned()
            .unwrap_or_else(|| StoredObject {
                key: key.to_owned(),
                version: 0,
                writer: String::new(),
                value: serde_json::Value::Null,
                revision: 0,
            })
    }

    /// Writes an object if it has the expected version, and returns the new version.
    ///
    /// # Errors
    /// Returns the current object if it has another version than the expected one.
    pub fn put(&mut self, key: &str, write: WriteRequest) -> Result<StoredObject, StoredObject> {
        let current = self.get(key);
        if current.version != write.expected_version {
            return Err(current);
        }
        self.revision += 1;
        let object = StoredObject {
            key: key.to_owned(),
            version: current.version + 1,
            writer: write.writer,
            value: write.value,
            revision: self.revision,
        };
        self.objects.insert(key.to_owned(), object.clone());
        Ok(object)
    }

    /// Returns the objects whose keys start with `prefix` and that changed after `revision`.
    pub fn changed_since(&self, prefix: &str, revision: u64) -> Vec<StoredObject> {
        let is_changed =
            |object: &&StoredObject| object.key.starts_with(prefix) && object.revision > revision;
        self.objects.values().filter(is_changed).cloned().collect()
    }
}

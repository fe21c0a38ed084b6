//! The objects that the store holds.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// The largest value, in bytes of JSON.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// An object and the revision that last changed it.
#[derive(Debug, Clone, Serialize)]
pub struct StoredObject {
    /// The object's key.
    pub key: String,
    /// The object's version; 0 means that it does not exist.
    pub version: u64,
    /// The mark of the write that made this version.
    pub writer: String,
    /// The value.
    pub value: serde_json::Value,
    /// The store's revision at that write.
    #[serde(skip)]
    pub revision: u64,
}

/// A conditional write.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// The version that must be current; 0 means that the object must not exist.
    pub expected_version: u64,
    /// The mark of this write.
    pub writer: String,
    /// The new value.
    pub value: serde_json::Value,
}

/// All objects and the store's revision.
#[derive(Debug, Default)]
pub struct ObjectTable {
    objects: BTreeMap<String, StoredObject>,
    revision: u64,
}

impl ObjectTable {
    /// Returns the number of writes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object, or an empty one of version 0.
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

    /// Writes an object.
    ///
    /// # Errors
    /// Returns the current object when its version is not the expected one.
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

    /// Returns the objects under `prefix` that changed after `revision`.
    pub fn changed_since(&self, prefix: &str, revision: u64) -> Vec<StoredObject> {
        let matches =
            |object: &&StoredObject| object.key.starts_with(prefix) && object.revision > revision;
        self.objects.values().filter(matches).cloned().collect()
    }
}

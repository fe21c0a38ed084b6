//! Callers' keys: their making, their digests, and the table that maps a
//! presented key to the workspace that it belongs to.
//!
//! Only digests are kept. A workspace's digests carry a generation, so that a
//! session notices a withdrawal by comparing its own digest with the table.
//!
//! ```
//! use bluebellferry_keys::{digest, table};
//! use bluebellferry_types::name;
//!
//! let key = digest::generate_key();
//! let workspace = name::WorkspaceName::try_from("families")?;
//! let mut table = table::KeyTable::default();
//! table.replace_workspace(&workspace, 1, vec![digest::KeyDigest::of(&key)]);
//! let owner = table.find_owner(&digest::KeyDigest::of(&key));
//! assert_eq!(owner, Some(&workspace));
//! # Ok::<(), name::NameError>(())
//! ```

pub mod digest;
pub mod table;

//! The keys with which callers authenticate: their creation, their digests, and the table that
//! maps a presented key to the workspace that it belongs to.
//!
//! Only digests of keys are stored. All digests of a workspace are replaced together by those
//! of a newer generation. A session detects that its key was withdrawn by looking up the key's
//! digest in the table.
//!
//! ```
//! use bluebellferry_keys::{digest, table};
//! use bluebellferry_types::name;
//!
//! let key = digest::generate_key();
//! let workspace = name::WorkspaceName::try_from("families")?;
//! let mut table = table::KeyTable::default();
//! table.replace_workspace(&workspace, 1, vec![digest::KeyDigest::compute(&key)]);
//! let owner = table.find_owner(&digest::KeyDigest::compute(&key));
//! assert_eq!(owner, Some(&workspace));
//! # Ok::<(), name::NameError>(())
//! ```

pub mod digest;
pub mod table;

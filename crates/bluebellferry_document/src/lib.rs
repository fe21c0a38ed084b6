//! The configuration document that operators write for an environment.
//!
//! The document states which services each workspace may use, at what request
//! rate, and how stale the data of each kind of read may be. It names services
//! but contains no addresses, so that the same bytes can be used in a trial
//! environment and in production. [`hash::DocumentHash`] shows whether two
//! environments use the same bytes.
//!
//! ```
//! use bluebellferry_document::check;
//!
//! let text = r#"{
//!   "format": 1,
//!   "data_centres": {"amman": {"vms": 2}},
//!   "services": {"rental-core": {"connections": 20, "slots": 3,
//!       "reads": {"catalogue": {"max_age_ms": 5000}}}},
//!   "workspaces": {"families": {"services": ["rental-core"],
//!       "rate_per_second": 100, "burst": 200}}
//! }"#;
//! let document = check::parse_document(text.as_bytes())?;
//! assert_eq!(document.workspaces.len(), 1);
//! # Ok::<(), check::DocumentError>(())
//! ```

pub mod check;
pub mod hash;
pub mod model;
pub mod wire;

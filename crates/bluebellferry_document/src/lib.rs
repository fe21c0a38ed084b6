//! The one document an operator writes for an environment.
//!
//! It states which workspaces may reach which services, at what rate, and how
//! stale each kind of read may be. It names services but not addresses, so the
//! same bytes serve trial and production; [`hash::DocumentHash`] proves that
//! they are the same.
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

//! Explanations in plain sentences that operators can pass on to managers.
//!
//! [`document`] explains what a configuration document allows, [`refusal`] why a
//! request was refused, [`failover`] what happened when a primary was replaced,
//! and [`traffic`] how many requests were served and refused. The sentences avoid
//! technical terms: they call a replica a copy, the primary the main database,
//! and a VM a server.
//!
//! ```
//! use bluebellferry_explain::refusal;
//!
//! let text = refusal::explain_detail("reason=rate_exceeded execution=not_run retry_after_ms=120");
//! assert!(text.is_some_and(|text| text.contains("Nothing was changed")));
//! ```

pub mod document;
pub mod failover;
pub mod phrase;
pub mod refusal;
pub mod traffic;

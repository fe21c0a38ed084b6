//! Sentences that an operator can repeat to a manager.
//!
//! [`document`] says what a configuration allows, [`refusal`] why a request was
//! refused, [`failover`] what happened when a primary was replaced, and [`traffic`]
//! how the figures stand.
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


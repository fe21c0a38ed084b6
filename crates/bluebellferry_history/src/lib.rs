//! Checks what callers and databases saw against what must always hold.
//!
//! A run records [`event::CallerEvent`]s; [`checker::check_history`] compares
//! them with the rows that the surviving primary holds and returns every
//! violation it finds. Where databases record what they run as well,
//! [`statement::check_statements`] compares both sides statement by statement.
//!
//! ```
//! use bluebellferry_history::{checker, event};
//!
//! let events = [event::CallerEvent::Write {
//!     session: 1, row: 7, started_us: 0, ended_us: 10, outcome: event::WriteOutcome::Acknowledged,
//! }];
//! let violations = checker::check_history(&events, &[]);
//! assert_eq!(violations, [checker::HistoryViolation::LostWrite { row: 7 }]);
//! ```

pub mod checker;
pub mod event;
pub mod recorder;
pub mod statement;

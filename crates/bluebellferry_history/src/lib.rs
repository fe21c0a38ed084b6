//! Checks histories that were recorded in tests for consistency violations.
//!
//! A test records [`event::CallerEvent`]s; [`checker::check_history`] compares
//! them with the rows on the primary at the end of the test and returns every
//! violation. If databases record the statements that they execute as well,
//! [`statement::check_statements`] compares callers and databases statement by
//! statement.
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

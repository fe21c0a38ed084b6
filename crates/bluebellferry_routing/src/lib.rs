//! The choice of a database for a request, without any I/O.
//!
//! A read may go to a replica that has replayed the session's floor, so that
//! the caller reads its own writes, and whose data is no older than its kind
//! allows. Ages need no synchronised clocks: a replica that has replayed what
//! the primary reported at local instant `t` is at most `now - t` old.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use bluebellferry_routing::history;
//! use bluebellferry_types::position::LogPosition;
//!
//! let start = Instant::now();
//! let mut history = history::PositionHistory::default();
//! history.record(start, LogPosition::new(1, 10));
//! history.record(start + Duration::from_secs(1), LogPosition::new(1, 20));
//! let now = start + Duration::from_secs(2);
//! assert_eq!(history.max_age_at(LogPosition::new(1, 15), now), Some(Duration::from_secs(2)));
//! assert_eq!(history.max_age_at(LogPosition::new(1, 20), now), Some(Duration::from_secs(1)));
//! ```

pub mod choice;
pub mod history;

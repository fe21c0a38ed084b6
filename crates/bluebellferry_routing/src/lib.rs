//! The choice of a database for a request, without I/O.
//!
//! A read may go to a replica that has replayed the log up to the session's floor, so
//! that the caller reads its own writes, and whose data is not older than the kind of
//! read allows. Bounding the age of the data needs no synchronised clocks: if the
//! primary reported a position in answer to a request sent after the local instant `t`,
//! the data of a replica that has replayed this position is at most `now - t` old.
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

pub mod assessment;
pub mod choice;
pub mod history;

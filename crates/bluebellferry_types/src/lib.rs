//! Types that all bluebellferry crates share: validated names, log positions and refusals of
//! requests.
//!
//! This crate performs no I/O and reads no clock. A [`position::LogPosition`] orders writes across
//! failovers of the primary. A [`refusal::RequestRefusal`] tells a caller whether its request took
//! effect and when to retry it.
//!
//! ```
//! use bluebellferry_types::position;
//!
//! let written: position::LogPosition = "2/90".parse()?;
//! let replayed: position::LogPosition = "3/88".parse()?;
//! // The log of a newer term contains every acknowledged write of the older terms.
//! assert!(replayed >= written);
//! # Ok::<(), position::PositionError>(())
//! ```

pub mod limit;
pub mod name;
pub mod position;
pub mod refusal;
pub mod store_revision;

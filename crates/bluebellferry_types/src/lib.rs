//! The vocabulary that every bluebellferry crate shares: checked names, log
//! positions and the outcome of a refused request.
//!
//! Nothing here performs I/O or reads a clock. A [`position::LogPosition`]
//! orders writes across primary changes; a [`refusal::RequestRefusal`] tells a
//! caller whether its request ran and when to come back.
//!
//! ```
//! use bluebellferry_types::position;
//!
//! let written: position::LogPosition = "2/90".parse()?;
//! let replayed: position::LogPosition = "3/88".parse()?;
//! // A newer term holds every acknowledged write of an older one.
//! assert!(replayed >= written);
//! # Ok::<(), position::PositionError>(())
//! ```

pub mod name;
pub mod position;
pub mod refusal;

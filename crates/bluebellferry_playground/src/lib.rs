//! A demonstration of bluebellferry for newcomers, in an environment on one machine.
//!
//! [`tour`] writes a row through one proxy and reads it back through the other,
//! kills the primary during a series of writes, and prints what happened to them.

pub mod tour;

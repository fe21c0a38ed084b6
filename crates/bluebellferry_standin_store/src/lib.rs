//! A small stand-in for the platform's object store, for tests and trials.
//!
//! It keeps versioned objects in memory and serves them over HTTP with
//! conditional updates and watches. `PUT /faults` turns outages, slowness,
//! lost answers and stalled watches on and off.

pub mod objects;
pub mod server;

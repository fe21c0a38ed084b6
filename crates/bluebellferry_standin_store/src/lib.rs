//! A small stand-in for the platform's object store, for tests, the bench and the
//! playground.
//!
//! It keeps versioned objects in memory and serves them over HTTP, with
//! conditional updates and watches (long polling). `PUT /faults` injects
//! faults: an outage, delays, lost responses to writes and stalled watches.

pub mod objects;
pub mod server;

//! The PostgreSQL proxy of one VM. Traffic threads serve callers and their
//! database connections; a single control thread handles configuration, probes,
//! promotions and other VMs.
//!
//! Callers' requests never wait for an answer of the control thread: traffic threads
//! read the [`snapshot::ControlSnapshot`] that the control thread replaces after each
//! change. A caller's [`session`] holds a database connection of a [`pool`] for
//! the duration of one request or transaction.

pub mod admin;
pub mod backend;
pub mod cancel;
pub mod control;
pub mod floor;
pub mod metrics;
pub mod pool;
pub mod prepared;
pub mod server;
pub mod session;
pub mod settings;
pub mod shared;
pub mod snapshot;
pub mod tls;

//! The proxy for the users' platform. Callers and databases speak the platform's line
//! protocol, and all durable state is kept in the platform's store.
//!
//! The process has two threads: one serves [`traffic`], the other runs [`control`]. They share
//! [`shared::EdgeShared`]. Routing, pooling and failover decisions come from the crates that
//! the PostgreSQL proxy also uses; the platform's protocols are in `bluebellferry_platform`.

pub mod control;
pub mod server;
pub mod settings;
pub mod shared;
pub mod traffic;

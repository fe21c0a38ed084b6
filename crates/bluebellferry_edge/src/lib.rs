//! The proxy on the users' platform: callers and databases speak the
//! platform's line protocol, and everything that lasts stands in its store.
//!
//! One thread serves [`traffic`], one runs [`control`]; they share
//! [`shared::EdgeShared`]. Decisions come from the crates that the PostgreSQL
//! proxy uses too; the platform's words stay in `bluebellferry_platform`.

pub mod control;
pub mod server;
pub mod settings;
pub mod shared;
pub mod traffic;

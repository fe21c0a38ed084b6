//! A small stand-in for one PostgreSQL database of a replicated group, for tests,
//! the bench and the playground.
//!
//! It speaks version 3 of the PostgreSQL protocol and executes SQL with an
//! embedded SQLite. Writes are appended to a replicated log and acknowledged
//! once a majority of the group has stored them in the current term. Replicas
//! replay the log with a configurable lag. Each promotion starts a new term; the
//! SQL functions in [`control`] fence the primaries of lower terms and promote
//! databases.
//!
//! Replicas execute the SQL text of each write again, so writes must not use
//! `random()` or the current time.

pub mod control;
pub mod engine;
pub mod group;
pub mod replication;
pub mod server;
pub mod session;
pub mod settings;
pub mod value;

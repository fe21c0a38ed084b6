//! A small stand-in for one database of a replicated group, for tests and
//! trials.
//!
//! It speaks PostgreSQL protocol v3 and runs real SQL on an embedded SQLite.
//! Writes enter a replicated log and are acknowledged once a majority of the
//! group holds them in the current term; replicas replay the log with a lag
//! that can be set. Terms are fenced and databases promoted through the SQL
//! functions in [`control`].
//!
//! SQL is replayed on replicas statement by statement, so writes must not use
//! `random()` or the current time.

pub mod control;
pub mod engine;
pub mod group;
pub mod replication;
pub mod server;
pub mod session;
pub mod settings;
pub mod value;

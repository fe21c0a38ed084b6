//! A randomised soak test with real processes.
//!
//! The runner starts the VM program and stand-ins for the platform's databases and
//! store as processes on this machine, injects faults from outside, and checks what
//! callers and databases recorded. [`schedule::FaultSchedule::draw`] draws the faults
//! from a seed; [`runner::run_schedule`] injects them into a [`site::RunningSite`], a
//! complete deployment whose network links are [`relay`]s.
//!
//! ```
//! use bluebellferry_soak::schedule;
//!
//! let size = schedule::SiteSize { vms: 3, spares: 2, databases: 3 };
//! let first = schedule::FaultSchedule::draw(7, size, 20_000);
//! assert_eq!(first, schedule::FaultSchedule::draw(7, size, 20_000));
//! ```

pub mod callers;
pub mod commands;
pub mod fault;
pub mod layout;
pub mod mesh;
pub mod relay;
pub mod report;
pub mod runner;
pub mod schedule;
pub mod site;

/// The reason why a schedule could not be run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A socket, file or process operation failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// A command, answer or schedule could not be encoded or decoded.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The VM with this name did not become ready in time.
    #[error("{0} did not become ready in time")]
    NotReady(String),
    /// A stand-in's process closed the command connection.
    #[error("a stand-in process exited")]
    StandinEnded,
}

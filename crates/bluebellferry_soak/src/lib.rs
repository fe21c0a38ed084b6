//! A randomised soak: the real programs as processes on this machine, faults from
//! outside them by seed, and checks of what callers and databases saw.
//!
//! [`schedule::FaultSchedule::draw`] draws what happens, [`runner::run_schedule`] plays it
//! against a [`site::RunningSite`], whose links are [`relay`]s.
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

/// The reason a soak cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A socket, file or process.
    #[error("the machine refuses: {0}")]
    Machine(#[from] std::io::Error),
    /// Text that is not what it should be.
    #[error("not decodable: {0}")]
    Undecodable(#[from] serde_json::Error),
    /// A VM did not get ready.
    #[error("{0} does not get ready")]
    NotReady(String),
    /// A stand-in's process is gone.
    #[error("a stand-in has ended")]
    StandinEnded,
}

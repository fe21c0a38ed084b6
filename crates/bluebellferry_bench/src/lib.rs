//! Load, experiments and reports.
//!
//! [`scenario`] describes a deployment, its load and its faults; [`load`]
//! sends the load open-loop, so that latency counts from the instant at which a
//! request was due; [`outcome`] reduces what was seen to the three measures
//! that users weigh; [`report`] writes it as JSON and SVG. [`overhead`],
//! [`limits`] and [`slopes`] are experiments of their own.

pub mod limits;
pub mod load;
pub mod outcome;
pub mod overhead;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;

/// The reason an experiment stopped.
pub type BenchError = Box<dyn std::error::Error + Send + Sync>;

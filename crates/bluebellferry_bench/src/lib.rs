//! Load tests and experiments with environments on one machine, and their reports.
//!
//! [`scenario`] describes a deployment, its load and its faults, and [`run`] runs
//! it. [`load`] generates the load open-loop: latency counts from the instant at
//! which a request was scheduled. [`outcome`] aggregates the results into the
//! measures by which users judge the proxy, such as the share of reads that replicas
//! serve, the longest time without an acknowledged write and the wrongful refusals;
//! [`report`] writes them as JSON and SVG.
//!
//! [`overhead`], [`limits`] and [`scaling`] are separate experiments that use no
//! scenario.

pub mod limits;
pub mod load;
pub mod outcome;
pub mod overhead;
pub mod report;
pub mod run;
pub mod scaling;
pub mod scenario;

/// An error that ends an experiment.
pub type BenchError = Box<dyn std::error::Error + Send + Sync>;

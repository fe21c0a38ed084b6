//! The token buckets of all workspaces on one VM, and the tokens on their way
//! between VMs.
//!
//! [`limiter`] admits operations, [`lending`] decides what to ask of other VMs
//! and what to give. Rates and their safety are explained in
//! `bluebellferry_limits`.

pub mod lending;
pub mod limiter;

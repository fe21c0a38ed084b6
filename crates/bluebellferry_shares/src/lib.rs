//! Rate limits of all workspaces on one VM, and token requests between VMs.
//!
//! [`limiter`] admits operations; [`lending`] decides how many tokens to request from
//! other VMs and to lend to them; [`ownership`] which VMs own a rate; [`growth`] when larger
//! shares take effect. `bluebellferry_limits` explains why the VMs together never exceed a
//! workspace's rate and burst.

pub mod growth;
pub mod lending;
pub mod limiter;
pub mod ownership;

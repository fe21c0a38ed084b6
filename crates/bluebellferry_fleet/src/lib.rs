//! Starts whole environments on the loopback interface for tests, the bench and
//! the playground.
//!
//! An environment consists of the stand-in store, groups of stand-in databases
//! and proxies. Each runs as a separate process that can be killed, suspended
//! or cut off from the network.
//!
//! The crate is a development tool: no process of the product depends on it, and the
//! product's own processes start no other processes.
//!
//! ```no_run
//! use bluebellferry_fleet::{fleet, plan, process};
//!
//! # async fn example() -> Result<(), fleet::FleetError> {
//! let plan = plan::FleetPlan::small();
//! let fleet = fleet::Fleet::start(plan, &process::Launcher::SiblingBinaries).await?;
//! let client = fleet.connect(0, "families", "rental-core").await?;
//! client.simple_query("SELECT 1").await?;
//! # Ok(())
//! # }
//! ```

pub mod fleet;
pub mod link;
pub mod plan;
pub mod process;
pub mod roles;

//! Starts whole environments on loopback for tests, the bench and the
//! playground: the platform's store, groups of databases and proxies, each as
//! a process of its own that can be killed, frozen and cut off.
//!
//! This is a tool beside the product; the product's own processes start none.
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

//! What is in force: routes, services, workspaces and registered databases.
//!
//! The catalogue is built from checked values only. Whatever speaks to the
//! outside decodes its own format into these types; the traffic path and the
//! control loop read nothing else.
//!
//! ```
//! use bluebellferry_catalog::configuration::Configuration;
//!
//! let configuration = Configuration::default();
//! assert!(configuration.find_route("bookings").is_none());
//! ```

pub mod configuration;
pub mod database;
pub mod leadership;

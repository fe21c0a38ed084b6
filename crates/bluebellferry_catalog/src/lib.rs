//! The catalogue: the configuration in use, the registered databases and the leadership
//! table.
//!
//! The catalogue contains validated values only. The code that communicates with other
//! systems converts its own formats into these types. The traffic path and the control loop
//! read no other types.
//!
//! ```
//! use bluebellferry_catalog::configuration::Configuration;
//!
//! let configuration = Configuration::default();
//! assert!(configuration.find_route("bookings").is_none());
//! ```

pub mod configuration;
pub mod database;
pub mod homes;
pub mod leadership;
pub mod review;

//! What every bluebellferry process needs around its own work: JSON settings
//! with errors that name file and path, JSON-lines logs, a small HTTP server
//! for `/metrics` and `/ready`, and the signal that asks it to stop.
//!
//! ```
//! use bluebellferry_runtime::settings;
//!
//! #[derive(serde::Deserialize)]
//! #[serde(deny_unknown_fields)]
//! struct Wire { port: u16 }
//!
//! let error = settings::parse_settings::<Wire>("proxy.json", br#"{"port": "x"}"#).err();
//! assert!(error.is_some_and(|error| error.to_string().starts_with("proxy.json: port:")));
//! ```

pub mod clock;
pub mod health;
pub mod logging;
pub mod settings;
pub mod shutdown;

//! Infrastructure that all bluebellferry processes share: JSON settings whose errors name the file
//! and the field, JSON-lines logs, a clock that includes machine suspension, waits that
//! end early, HTTP routes for `/metrics` and `/ready`, and shutdown signals.
//!
//! ```
//! use bluebellferry_runtime::settings;
//!
//! #[derive(serde::Deserialize)]
//! #[serde(deny_unknown_fields)]
//! struct ProxySettings { port: u16 }
//!
//! let error = settings::parse_settings::<ProxySettings>("proxy.json", br#"{"port": "x"}"#).err();
//! assert!(error.is_some_and(|error| error.to_string().starts_with("proxy.json: port:")));
//! ```

pub mod clock;
pub mod guard;
pub mod health;
pub mod logging;
pub mod settings;
pub mod shutdown;

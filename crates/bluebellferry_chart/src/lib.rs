//! State charts that are written in JSON files and interpreted.
//!
//! A chart names its states, its events, and for each state either the next
//! state or the refusal of every event. [`chart::StateChart`] checks all that
//! when it is loaded; [`machine::ChartMachine`] runs it inside a `statig`
//! machine, which keeps a finished chart from ever moving again.
//!
//! ```
//! use bluebellferry_chart::{chart, machine};
//!
//! #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Deserialize)]
//! #[serde(rename_all = "snake_case")]
//! enum Lamp { Off, On }
//! #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Deserialize)]
//! #[serde(rename_all = "snake_case")]
//! enum Press { Switch }
//!
//! let text = r#"{"name": "lamp", "initial": "off", "events": ["switch"],
//!     "states": {"off": {"on": {"switch": "on"}}, "on": {"on": {"switch": "off"}}}}"#;
//! let chart = chart::StateChart::<Lamp, Press>::parse(text)?;
//! let mut machine = machine::ChartMachine::new(chart);
//! assert!(machine.fire(Press::Switch));
//! assert_eq!(machine.current(), Lamp::On);
//! # Ok::<(), chart::ChartError>(())
//! ```

pub mod chart;
pub mod machine;

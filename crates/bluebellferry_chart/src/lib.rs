//! Finite state machines that are defined in JSON files (state charts) and
//! interpreted at run time.
//!
//! A chart lists its states and events. For every event, each state that is not
//! final must either name the next state or refuse the event.
//! [`chart::StateChart`] checks this when the chart is loaded.
//! [`machine::ChartMachine`] runs the chart inside a `statig` state machine,
//! which ignores every event after the chart has reached a final state.
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

//! Charts as they are read from JSON, and their checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// What a state or event type must offer.
pub trait ChartName: Debug + Copy + Ord + DeserializeOwned {}

impl<T: Debug + Copy + Ord + DeserializeOwned> ChartName for T {}

/// The reason a chart cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The text is not a chart in JSON.
    #[error("the chart cannot be read: {0}")]
    Unreadable(String),
    /// A transition leads to a state that is not declared.
    #[error("chart {chart}: state {target} is entered but not declared")]
    UnknownState {
        /// The chart's name.
        chart: String,
        /// The missing state.
        target: String,
    },
    /// No chain of transitions leads to a state.
    #[error("chart {chart}: state {state} can never be reached")]
    Unreachable {
        /// The chart's name.
        chart: String,
        /// The state.
        state: String,
    },
    /// A state neither answers nor refuses an event.
    #[error("chart {chart}: state {state} says nothing about event {event}")]
    Unanswered {
        /// The chart's name.
        chart: String,
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
struct ChartWire<S: ChartName, E: ChartName> {
    name: String,
    initial: S,
    events: BTreeSet<E>,
    states: BTreeMap<S, StateWire<S, E>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
struct StateWire<S: ChartName, E: ChartName> {
    #[serde(default = "BTreeMap::new")]
    on: BTreeMap<E, S>,
    #[serde(default = "BTreeSet::new")]
    refuse: BTreeSet<E>,
    #[serde(default, rename = "final")]
    is_final: bool,
}

/// A checked chart with states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct StateChart<S, E> {
    name: String,
    initial: S,
    transitions: BTreeMap<(S, E), S>,
    finals: BTreeSet<S>,
}

impl<S: ChartName, E: ChartName> StateChart<S, E> {
    /// Parses and checks a chart.
    ///
    /// # Errors
    /// Fails when a state is missing or unreachable, or when a state that is
    /// not final neither answers nor refuses an event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let wire: ChartWire<S, E> = serde_json::from_str(text)
            .map_err(|error| ChartError::Unreadable(error.to_string()))?;
        check_targets(&wire)?;
        check_reachable(&wire)?;
        check_answers(&wire)?;
        let mut transitions = BTreeMap::new();
        let mut finals = BTreeSet::new();
        for (state, body) in wire.states {
            for (event, target) in body.on {
                transitions.insert((state, event), target);
            }
            if body.is_final {
                finals.insert(state);
            }
        }
        Ok(Self {
            name: wire.name,
            initial: wire.initial,
            transitions,
            finals,
        })
    }

    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the state in which a machine starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that follows, or `None` where the event is refused.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Returns whether nothing can follow a state.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }
}

fn check_targets<S: ChartName, E: ChartName>(wire: &ChartWire<S, E>) -> Result<(), ChartError> {
    let targets = wire.states.values().flat_map(|state| state.on.values());
    for target in targets.chain(std::iter::once(&wire.initial)) {
        if !wire.states.contains_key(target) {
            let target = format!("{target:?}");
            return Err(ChartError::UnknownState {
                chart: wire.name.clone(),
                target,
            });
        }
    }
    Ok(())
}

fn check_reachable<S: ChartName, E: ChartName>(wire: &ChartWire<S, E>) -> Result<(), ChartError> {
    let mut reached = BTreeSet::from([wire.initial]);
    let mut open = vec![wire.initial];
    while let Some(state) = open.pop() {
        for target in wire.states[&state].on.values() {
            if reached.insert(*target) {
                open.push(*target);
            }
        }
    }
    match wire.states.keys().find(|state| !reached.contains(state)) {
        None => Ok(()),
        Some(state) => {
            let state = format!("{state:?}");
            Err(ChartError::Unreachable {
                chart: wire.name.clone(),
                state,
            })
        }
    }
}

fn check_answers<S: ChartName, E: ChartName>(wire: &ChartWire<S, E>) -> Result<(), ChartError> {
    for (state, body) in &wire.states {
        let answered = |event: &&E| body.on.contains_key(event) || body.refuse.contains(event);
        let missing = wire.events.iter().find(|event| !answered(event));
        if let (Some(event), false) = (missing, body.is_final) {
            return Err(ChartError::Unanswered {
                chart: wire.name.clone(),
                state: format!("{state:?}"),
                event: format!("{event:?}"),
            });
        }
    }
    Ok(())
}

//! Parsing and validation of state charts in JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;

use serde::Deserialize;
use serde::de::DeserializeOwned;

/// A type whose values are the states or the events of a chart.
///
/// Implemented for every type that meets the bounds.
pub trait ChartSymbol: Debug + Copy + Ord + DeserializeOwned {}

impl<T: Debug + Copy + Ord + DeserializeOwned> ChartSymbol for T {}

/// The reason a chart is rejected when it is loaded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChartError {
    /// The text is not valid JSON, lacks a field or has an unknown one, or
    /// names a state or event that the state or event type does not have.
    #[error("the chart is not valid JSON or has an unknown field, state or event: {0}")]
    InvalidJson(String),
    /// The initial state or the target of a transition is missing from `states`.
    #[error(
        "chart {chart}: state {target} is the initial state or a transition's target but is missing from `states`"
    )]
    UndeclaredState {
        /// The chart's name.
        chart: String,
        /// The undeclared state.
        target: String,
    },
    /// No sequence of transitions leads from the initial state to a state.
    #[error("chart {chart}: state {state} cannot be reached from the initial state")]
    UnreachableState {
        /// The chart's name.
        chart: String,
        /// The unreachable state.
        state: String,
    },
    /// A state that is not final neither handles nor refuses an event.
    #[error("chart {chart}: state {state} neither handles nor refuses event {event}")]
    UnhandledEvent {
        /// The chart's name.
        chart: String,
        /// The state that lacks the event.
        state: String,
        /// The event that is neither under `on` nor under `refuse`.
        event: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
struct ChartJson<S: ChartSymbol, E: ChartSymbol> {
    name: String,
    initial: S,
    events: BTreeSet<E>,
    states: BTreeMap<S, StateJson<S, E>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "")]
struct StateJson<S: ChartSymbol, E: ChartSymbol> {
    #[serde(default = "BTreeMap::new")]
    on: BTreeMap<E, S>,
    #[serde(default = "BTreeSet::new")]
    refuse: BTreeSet<E>,
    #[serde(default, rename = "final")]
    is_final: bool,
}

/// A validated chart with states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct StateChart<S, E> {
    name: String,
    initial: S,
    transitions: BTreeMap<(S, E), S>,
    final_states: BTreeSet<S>,
}

impl<S: ChartSymbol, E: ChartSymbol> StateChart<S, E> {
    /// Parses and validates a chart.
    ///
    /// # Errors
    /// Fails when the JSON is invalid, when a state is undeclared or
    /// unreachable, or when a state that is not final neither handles nor
    /// refuses an event.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let json: ChartJson<S, E> = serde_json::from_str(text)
            .map_err(|error| ChartError::InvalidJson(error.to_string()))?;
        check_targets(&json)?;
        check_reachable(&json)?;
        check_events_handled(&json)?;
        let mut transitions = BTreeMap::new();
        let mut final_states = BTreeSet::new();
        for (state, definition) in json.states {
            for (event, target) in definition.on {
                transitions.insert((state, event), target);
            }
            if definition.is_final {
                final_states.insert(state);
            }
        }
        Ok(Self {
            name: json.name,
            initial: json.initial,
            transitions,
            final_states,
        })
    }

    /// Returns the chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the state in which a machine that runs the chart starts.
    pub fn initial_state(&self) -> S {
        self.initial
    }

    /// Returns the state that follows `state` after `event`, or `None` if
    /// `state` refuses `event`.
    pub fn next_state(&self, state: S, event: E) -> Option<S> {
        self.transitions.get(&(state, event)).copied()
    }

    /// Returns whether a state is final, so that the machine ends in it.
    pub fn is_final(&self, state: S) -> bool {
        self.final_states.contains(&state)
    }
}

fn check_targets<S: ChartSymbol, E: ChartSymbol>(
    chart: &ChartJson<S, E>,
) -> Result<(), ChartError> {
    let targets = chart.states.values().flat_map(|state| state.on.values());
    for target in targets.chain(std::iter::once(&chart.initial)) {
        if !chart.states.contains_key(target) {
            let target = format!("{target:?}");
            return Err(ChartError::UndeclaredState {
                chart: chart.name.clone(),
                target,
            });
        }
    }
    Ok(())
}

fn check_reachable<S: ChartSymbol, E: ChartSymbol>(
    chart: &ChartJson<S, E>,
) -> Result<(), ChartError> {
    let mut reached = BTreeSet::from([chart.initial]);
    let mut unvisited = vec![chart.initial];
    while let Some(state) = unvisited.pop() {
        for target in chart.states[&state].on.values() {
            if reached.insert(*target) {
                unvisited.push(*target);
            }
        }
    }
    match chart.states.keys().find(|state| !reached.contains(state)) {
        None => Ok(()),
        Some(state) => {
            let state = format!("{state:?}");
            Err(ChartError::UnreachableState {
                chart: chart.name.clone(),
                state,
            })
        }
    }
}

fn check_events_handled<S: ChartSymbol, E: ChartSymbol>(
    chart: &ChartJson<S, E>,
) -> Result<(), ChartError> {
    for (state, definition) in &chart.states {
        let is_covered =
            |event: &&E| definition.on.contains_key(event) || definition.refuse.contains(event);
        let missing = chart.events.iter().find(|event| !is_covered(event));
        if let (Some(event), false) = (missing, definition.is_final) {
            return Err(ChartError::UnhandledEvent {
                chart: chart.name.clone(),
                state: format!("{state:?}"),
                event: format!("{event:?}"),
            });
        }
    }
    Ok(())
}

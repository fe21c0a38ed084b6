//! Execution of a chart inside a `statig` state machine.

use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;
use statig::prelude::*;

use crate::chart;

/// The shared storage of the `statig` state machine: a chart and its current
/// state.
#[derive(Debug)]
pub struct ChartStorage<S, E> {
    chart: chart::StateChart<S, E>,
    current: S,
}

/// The state of the `statig` state machine around the chart.
#[derive(Debug)]
pub enum RunState {
    /// The chart is in a state that is not final and handles events.
    Running,
    /// The chart has reached a final state and ignores all events.
    Finished,
}

/// An event that is passed to the chart.
#[derive(Debug)]
pub struct PendingEvent<E> {
    event: E,
    /// Whether a transition for the event has already been performed.
    is_consumed: bool,
}

impl<S: chart::ChartSymbol + 'static, E: chart::ChartSymbol + 'static> IntoStateMachine
    for ChartStorage<S, E>
{
    type Event<'evt> = PendingEvent<E>;
    type Context<'ctx> = bool;
    type State = RunState;
    type Superstate<'sub> = ();

    fn initial() -> RunState {
        RunState::Running
    }
}

impl<S: chart::ChartSymbol + 'static, E: chart::ChartSymbol + 'static>
    statig::blocking::State<ChartStorage<S, E>> for RunState
{
    fn call_handler(
        &mut self,
        storage: &mut ChartStorage<S, E>,
        event: &PendingEvent<E>,
        has_transitioned: &mut bool,
    ) -> Outcome<Self> {
        if matches!(self, Self::Finished) {
            return Outcome::Handled;
        }
        let Some(next) = storage.chart.next_state(storage.current, event.event) else {
            return Outcome::Handled;
        };
        storage.current = next;
        *has_transitioned = !event.is_consumed;
        if storage.chart.is_final(next) {
            return Outcome::Transition(Self::Finished);
        }
        Outcome::Handled
    }
}

/// A state machine that runs a chart.
pub struct ChartMachine<S: chart::ChartSymbol + 'static, E: chart::ChartSymbol + 'static> {
    machine: StateMachine<ChartStorage<S, E>>,
}

impl<S: chart::ChartSymbol + 'static, E: chart::ChartSymbol + 'static> ChartMachine<S, E> {
    /// Creates a machine in the chart's initial state.
    pub fn new(chart: chart::StateChart<S, E>) -> Self {
        let current = chart.initial_state();
        Self {
            machine: ChartStorage { chart, current }.state_machine(),
        }
    }

    /// Returns the chart's current state.
    pub fn current(&self) -> S {
        self.machine.inner().current
    }

    /// Performs the transition for an event and returns whether there is one;
    /// there is none if the current state refuses the event or is final.
    pub fn fire(&mut self, event: E) -> bool {
        let mut has_transitioned = false;
        let event = PendingEvent {
            event,
            is_consumed: false,
        };
        self.machine
            .handle_with_context(&event, &mut has_transitioned);
        has_transitioned
    }
}

impl<S: chart::ChartSymbol + 'static, E: chart::ChartSymbol + 'static> std::fmt::Debug
    for ChartMachine<S, E>
{
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = self.machine.inner().chart.name();
        write!(formatter, "ChartMachine({name}: {:?})", self.current())
    }
}

//! Running of a chart inside a `statig` machine.

use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;
use statig::prelude::*;

use crate::chart;

/// The data of the `statig` machine that hosts a chart.
#[derive(Debug)]
pub struct ChartHost<S, E> {
    chart: chart::StateChart<S, E>,
    current: S,
}

/// The two states of the host: the chart moves, or it has ended.
#[derive(Debug)]
pub enum HostState {
    /// The chart takes events.
    Running,
    /// The chart has reached a final state.
    Finished,
}

/// An event and whether the chart answered it.
#[derive(Debug)]
pub struct HostEvent<E> {
    event: E,
    answered: bool,
}

impl<S: chart::ChartName + 'static, E: chart::ChartName + 'static> IntoStateMachine
    for ChartHost<S, E>
{
    type Event<'evt> = HostEvent<E>;
    type Context<'ctx> = bool;
    type State = HostState;
    type Superstate<'sub> = ();

    fn initial() -> HostState {
        HostState::Running
    }
}

impl<S: chart::ChartName + 'static, E: chart::ChartName + 'static>
    statig::blocking::State<ChartHost<S, E>> for HostState
{
    fn call_handler(
        &mut self,
        host: &mut ChartHost<S, E>,
        event: &HostEvent<E>,
        answered: &mut bool,
    ) -> Outcome<Self> {
        if matches!(self, Self::Finished) {
            return Outcome::Handled;
        }
        let Some(next) = host.chart.next(host.current, event.event) else {
            return Outcome::Handled;
        };
        host.current = next;
        *answered = !event.answered;
        if host.chart.is_final(next) {
            return Outcome::Transition(Self::Finished);
        }
        Outcome::Handled
    }
}

/// A running chart.
pub struct ChartMachine<S: chart::ChartName + 'static, E: chart::ChartName + 'static> {
    host: StateMachine<ChartHost<S, E>>,
}

impl<S: chart::ChartName + 'static, E: chart::ChartName + 'static> ChartMachine<S, E> {
    /// Starts a chart in its initial state.
    pub fn new(chart: chart::StateChart<S, E>) -> Self {
        let current = chart.initial();
        Self {
            host: ChartHost { chart, current }.state_machine(),
        }
    }

    /// Returns the present state.
    pub fn current(&self) -> S {
        self.host.inner().current
    }

    /// Takes an event; returns `false` where the chart refuses it.
    pub fn fire(&mut self, event: E) -> bool {
        let mut answered = false;
        let event = HostEvent {
            event,
            answered: false,
        };
        self.host.handle_with_context(&event, &mut answered);
        answered
    }
}

impl<S: chart::ChartName + 'static, E: chart::ChartName + 'static> std::fmt::Debug
    for ChartMachine<S, E>
{
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = self.host.inner().chart.name();
        write!(formatter, "ChartMachine({name}: {:?})", self.current())
    }
}

//! Loading of charts, rejection of invalid ones, and the end in a final state.

use bluebellferry_chart::chart;
use bluebellferry_chart::machine;
use serde::Deserialize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Step {
    Open,
    Closing,
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Close,
    Done,
}

const DOOR_CHART: &str = r#"{"name": "door", "initial": "open", "events": ["close", "done"], "states": {
    "open": {"on": {"close": "closing"}, "refuse": ["done"]},
    "closing": {"on": {"done": "closed"}, "refuse": ["close"]},
    "closed": {"final": true}}}"#;

fn parse(text: &str) -> Result<chart::StateChart<Step, Event>, chart::ChartError> {
    chart::StateChart::parse(text)
}

#[test]
fn a_machine_in_a_final_state_ignores_events() {
    let mut machine = machine::ChartMachine::new(parse(DOOR_CHART).expect("the chart is valid"));
    assert!(!machine.fire(Event::Done));
    assert!(machine.fire(Event::Close));
    assert!(machine.fire(Event::Done));
    assert_eq!(machine.current(), Step::Closed);
    assert!(!machine.fire(Event::Close));
    assert_eq!(machine.current(), Step::Closed);
}

#[test]
fn invalid_charts_are_rejected_on_loading() {
    let unreachable = DOOR_CHART.replace(r#""done": "closed""#, r#""done": "open""#);
    assert!(matches!(
        parse(&unreachable),
        Err(chart::ChartError::UnreachableState { .. })
    ));
    let unhandled = DOOR_CHART.replace(r#", "refuse": ["close"]"#, "");
    assert!(matches!(
        parse(&unhandled),
        Err(chart::ChartError::UnhandledEvent { .. })
    ));
    let unknown_state = DOOR_CHART.replace("\"closing\"}", "\"ajar\"}");
    assert!(matches!(
        parse(&unknown_state),
        Err(chart::ChartError::InvalidJson(_))
    ));
}

//! Charts with faults are refused when they are loaded.

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

const GOOD: &str = r#"{"name": "door", "initial": "open", "events": ["close", "done"], "states": {
    "open": {"on": {"close": "closing"}, "refuse": ["done"]},
    "closing": {"on": {"done": "closed"}, "refuse": ["close"]},
    "closed": {"final": true}}}"#;

fn parse(text: &str) -> Result<chart::StateChart<Step, Event>, chart::ChartError> {
    chart::StateChart::parse(text)
}

#[test]
fn a_finished_chart_never_moves_again() {
    let mut machine = machine::ChartMachine::new(parse(GOOD).expect("a good chart"));
    assert!(!machine.fire(Event::Done));
    assert!(machine.fire(Event::Close));
    assert!(machine.fire(Event::Done));
    assert_eq!(machine.current(), Step::Closed);
    assert!(!machine.fire(Event::Close));
    assert_eq!(machine.current(), Step::Closed);
}

#[test]
fn faults_are_found_on_loading() {
    let unreachable = GOOD.replace(r#""done": "closed""#, r#""done": "open""#);
    assert!(matches!(
        parse(&unreachable),
        Err(chart::ChartError::Unreachable { .. })
    ));
    let unanswered = GOOD.replace(r#", "refuse": ["close"]"#, "");
    assert!(matches!(
        parse(&unanswered),
        Err(chart::ChartError::Unanswered { .. })
    ));
    let unknown = GOOD.replace("\"closing\"}", "\"ajar\"}");
    assert!(matches!(
        parse(&unknown),
        Err(chart::ChartError::Unreadable(_))
    ));
}

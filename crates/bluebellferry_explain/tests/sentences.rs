//! Snapshot tests of the explanations.

use std::time::Duration;

use bluebellferry_document::check;
use bluebellferry_explain::document;
use bluebellferry_explain::failover;
use bluebellferry_explain::refusal;
use bluebellferry_explain::traffic;
use bluebellferry_types::refusal as reasons;

fn explain_example(name: &str) -> String {
    let path = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let bytes = std::fs::read(path).expect("the example exists");
    let checked = check::parse_document(&bytes).expect("the example is valid");
    document::explain_document(&checked)
}

#[test]
fn wadi_slopes_document_is_explained() {
    insta::assert_snapshot!(explain_example("wadi-slopes"));
}

#[test]
fn vegaleyfi_document_is_explained() {
    insta::assert_snapshot!(explain_example("vegaleyfi"));
}

#[test]
fn every_reason_is_explained_in_one_sentence() {
    let lines: Vec<String> = reasons::RefusalReason::ALL
        .iter()
        .map(|reason| format!("{}: {}", reason.code(), reason.sentence()))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_refusal_says_whether_it_ran_and_when_to_retry() {
    let details = [
        "reason=rate_exceeded execution=not_run retry_after_ms=1500",
        "reason=outcome_unknown execution=unknown retry_after_ms=500",
        "reason=key_in_request execution=not_run",
    ];
    let texts: Vec<String> = details
        .iter()
        .filter_map(|detail| refusal::explain_detail(detail))
        .collect();
    assert_eq!(texts.len(), details.len());
    insta::assert_snapshot!(texts.join("\n"));
    assert_eq!(
        refusal::explain_detail("reason=nonsense execution=not_run"),
        None
    );
}

#[test]
fn a_failover_is_explained() {
    let summary = failover::FailoverSummary {
        service: "rental-core-1",
        primary: "rental-core-1-aqaba",
        outage: Duration::from_millis(700),
    };
    insta::assert_snapshot!(failover::explain_failover(summary));
}

#[test]
fn traffic_counters_are_explained() {
    let mut counters = traffic::TrafficCounters::default();
    counters.add_metrics(
        "# HELP x\n\
         bluebellferry_requests_total{route=\"replica\",workspace=\"guides\"} 970\n\
         bluebellferry_requests_total{route=\"primary\",workspace=\"guides\"} 100\n\
         bluebellferry_replica_fallbacks_total{service=\"rental-core-1\"} 30\n\
         bluebellferry_refusals_total{execution=\"not_run\",reason=\"rate_exceeded\",workspace=\"guides\"} 10\n",
    );
    insta::assert_snapshot!(traffic::explain_traffic(&counters));
}

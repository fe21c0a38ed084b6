//! The review of configurations for the users' platform.

use std::path::PathBuf;
use std::process::Output;

use serde_json::Value;
use serde_json::json;

fn configuration(version: u64) -> Value {
    json!({"Version": version,
        "Routes": [{"Name": "r", "Host": "booking", "Kind": "read_your_writes", "TimeoutMs": 1000,
            "SloMs": 400, "Priority": 1, "Service": "rental", "MaxStalenessMs": 2500,
            "HomeRegions": []}],
        "Services": [{"Name": "rental", "MaxConns": 20, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": [{"Name": "families", "ApiKeys": ["k1"], "RatePerS": 10, "Burst": 10}]})
}

fn write(name: &str, value: &Value) -> PathBuf {
    let file = std::env::temp_dir().join(format!("review-{}-{name}.json", std::process::id()));
    std::fs::write(&file, value.to_string()).expect("the file can be written");
    file
}

fn review(arguments: &[&str]) -> Output {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_bluebellferry-ctl"));
    let output = command.arg("review").args(arguments).output();
    output.expect("the command runs")
}

fn review_text(name: &str, value: &Value) -> (bool, String) {
    let file = write(name, value);
    let output = review(&[&file.to_string_lossy()]);
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.success(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn a_sound_configuration_passes() {
    let (is_accepted, text) = review_text("sound", &configuration(4));
    assert!(is_accepted && text.contains("nothing found"), "{text}");
}

#[test]
fn invalid_and_contradicting_entries_are_named() {
    let mut faulty = configuration(4);
    faulty["Routes"][0]["Service"] = json!("rentall");
    faulty["Tenants"][0]["Burst"] = json!(0.5);
    faulty["Routes"].as_array_mut().expect("a list").push(
        json!({"Host": "x", "Kind": "newest", "TimeoutMs": 1, "SloMs": 1, "Service": "rental"}),
    );
    let (is_accepted, text) = review_text("faulty", &faulty);
    assert!(!is_accepted);
    for part in [
        "error: route booking: the service 'rentall' is not configured",
        "error: route 1: Kind 'newest' is not known",
        "error: workspace families: a burst below 1 admits nothing",
        "warning: service rental: no route leads to it",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

#[test]
fn homes_without_a_common_region_and_repeated_entries_are_found() {
    let mut apart = configuration(4);
    apart["Routes"][0]["HomeRegions"] = json!(["amman"]);
    apart["Tenants"][0]["HomeRegions"] = json!(["irbid"]);
    let repeated = apart["Services"][0].clone();
    apart["Services"]
        .as_array_mut()
        .expect("a list")
        .push(repeated);
    let (_, text) = review_text("apart", &apart);
    assert!(text.contains("no home region in common"), "{text}");
    assert!(
        text.contains("service 1: replaces an earlier entry"),
        "{text}"
    );
}

#[test]
fn changes_from_the_version_in_force_are_listed_as_json() {
    let in_force = write("in-force", &configuration(4));
    let mut next = configuration(5);
    next["Tenants"][0]["RatePerS"] = json!(4);
    next["Tenants"][0]["ApiKeys"] = json!(["k2"]);
    next["Routes"][0]["TimeoutMs"] = json!(500);
    let next = write("next", &next);
    let (next, in_force) = (next.to_string_lossy(), in_force.to_string_lossy());
    let output = review(&[&next, "--against", &in_force, "--json"]);
    assert!(output.status.success());
    let findings: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let messages: Vec<&str> = findings
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|finding| finding["message"].as_str())
        .collect();
    assert_eq!(messages.len(), 3, "{messages:?}");
    assert!(messages.contains(&"timeout 500 ms instead of 1000 ms"));
    assert!(messages.contains(&"1 keys more, 1 keys withdrawn"));
    // Sent again, it would change nothing.
    let output = review(&[&in_force, "--against", &next]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("no VM will use it"), "{text}");
}

#[test]
fn an_unreadable_file_is_named_with_its_line() {
    let file = std::env::temp_dir().join(format!("review-{}-broken.json", std::process::id()));
    std::fs::write(&file, "{\n\"Version\": ,").expect("the file can be written");
    let output = review(&[&file.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("line 2") && text.contains("broken.json"),
        "{text}"
    );
}

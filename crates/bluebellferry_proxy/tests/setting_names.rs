//! Names under which a session's settings are recorded.

use std::collections::HashMap;

use bluebellferry_proxy::session::plan;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Returns the names of the settings that a statement sets or resets.
fn list_names(sql: &str) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let mut query = message::encode_query(sql);
    let limit = query.len();
    let frame = frame::take_frame(&mut query, limit)?.ok_or("an incomplete frame")?;
    let plan = plan::plan_request(&[frame], &HashMap::new(), None)
        .map_err(|refusal| format!("{refusal:?}"))?;
    let names = plan.setting_changes.into_iter().map(|change| match change {
        plan::SettingChange::Set { name, .. } | plan::SettingChange::Reset(name) => name,
        plan::SettingChange::ResetAll => "ALL".to_owned(),
    });
    Ok(names.collect())
}

fn assert_same_name(statements: &[&str]) -> TestResult {
    let names: Result<Vec<_>, _> = statements.iter().map(|sql| list_names(sql)).collect();
    let names = names?;
    let is_same = names
        .iter()
        .all(|name| name.len() == 1 && *name == names[0]);
    assert!(is_same, "{names:?}");
    Ok(())
}

// Guards against a role that RESET leaves among the settings, because SET has recorded it
// under another name.
#[test]
fn session_authorization_has_one_name() -> TestResult {
    assert_same_name(&[
        "SET SESSION AUTHORIZATION owner",
        "SET session_authorization = 'owner'",
        "RESET SESSION AUTHORIZATION",
        "RESET session_authorization",
    ])
}

// Guards against a time zone that is applied after a later one, because the two spellings are
// recorded as two settings, and against one that RESET leaves.
#[test]
fn the_time_zone_has_one_name() -> TestResult {
    assert_same_name(&[
        "SET TIME ZONE 'Asia/Amman'",
        "SET timezone = 'Asia/Amman'",
        "RESET TIME ZONE",
        "RESET timezone",
    ])
}

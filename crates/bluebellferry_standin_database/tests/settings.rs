//! Tests of the database's settings, whose errors name the JSON path of the invalid field, and of
//! the creation of the database's directory.

use bluebellferry_runtime::settings as settings_file;
use bluebellferry_standin_database::settings;

fn load(change: impl FnOnce(&mut serde_json::Value)) -> Result<(), String> {
    let mut json = serde_json::json!({
        "name": "db", "listen": "127.0.0.1:1", "replication_listen": "127.0.0.1:2",
        "peers": [], "account": "proxy", "password": "secret"
    });
    change(&mut json);
    let text = json.to_string();
    let wire = settings_file::parse_settings::<settings::DatabaseSettingsWire>(
        "database.json",
        text.as_bytes(),
    );
    let wire = wire.map_err(|error| error.to_string())?;
    settings::DatabaseSettings::try_from(wire)
        .map(drop)
        .map_err(|error| error.to_string())
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(load(|_| {}), Ok(()));
}

#[test]
fn an_error_names_the_index_of_an_invalid_peer() {
    let loaded =
        load(|json| json["peers"] = serde_json::json!([{"name": "b", "replication": "x"}]));
    assert!(loaded.is_err_and(|error| error.starts_with("peers[0].replication:")));
}

#[test]
fn settings_without_statement_slots_are_rejected() {
    let loaded = load(|json| json["slots"] = 0.into());
    assert_eq!(loaded, Err("slots: must be at least 1".to_owned()));
}

#[test]
fn a_database_starts_empty_if_a_killed_process_with_its_id_left_a_directory()
-> Result<(), Box<dyn std::error::Error>> {
    let name = "starts-empty";
    let killed_engine = bluebellferry_standin_database::engine::SqlEngine::create(name)?;
    killed_engine
        .open_connection()?
        .execute_batch("CREATE TABLE booking (id INTEGER)")?;
    // A killed process leaves its directory behind, and a new process may get the same ID.
    std::mem::forget(killed_engine);
    let engine = bluebellferry_standin_database::engine::SqlEngine::create(name)?;
    engine
        .open_connection()?
        .execute_batch("CREATE TABLE booking (id INTEGER)")?;
    Ok(())
}

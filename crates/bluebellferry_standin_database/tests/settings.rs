//! The database's settings name the path of every fault.

use bluebellferry_runtime::settings as settings_file;
use bluebellferry_standin_database::settings;

fn load(change: impl FnOnce(&mut serde_json::Value)) -> Result<(), String> {
    let mut value = serde_json::json!({
        "name": "db", "listen": "127.0.0.1:1", "replication_listen": "127.0.0.1:2",
        "peers": [], "account": "proxy", "password": "secret"
    });
    change(&mut value);
    let text = value.to_string();
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
fn good_settings_are_accepted() {
    assert_eq!(load(|_| {}), Ok(()));
}

#[test]
fn a_bad_peer_is_named_by_its_index() {
    let loaded =
        load(|value| value["peers"] = serde_json::json!([{"name": "b", "replication": "x"}]));
    assert!(loaded.is_err_and(|error| error.starts_with("peers[0].replication:")));
}

#[test]
fn a_database_without_slots_is_refused() {
    let loaded = load(|value| value["slots"] = 0.into());
    assert_eq!(loaded, Err("slots: must be at least 1".to_owned()));
}

#[test]
fn a_database_starts_empty_where_an_earlier_process_was_killed()
-> Result<(), Box<dyn std::error::Error>> {
    let name = "starts-empty";
    let killed = bluebellferry_standin_database::engine::SqlEngine::create(name)?;
    killed
        .open_connection()?
        .execute_batch("CREATE TABLE booking (id INTEGER)")?;
    // A killed process removes nothing, and its number is given out again.
    std::mem::forget(killed);
    let engine = bluebellferry_standin_database::engine::SqlEngine::create(name)?;
    engine
        .open_connection()?
        .execute_batch("CREATE TABLE booking (id INTEGER)")?;
    Ok(())
}

//! Errors in the proxy's settings name the path of the invalid field.

use bluebellferry_proxy::settings;
use bluebellferry_runtime::settings as settings_file;

fn load(change: impl FnOnce(&mut serde_json::Value)) -> Result<(), String> {
    let mut value = serde_json::json!({
        "vm": "amman-0", "environment": "trial", "data_centre": "amman", "ordinal": 0,
        "listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
        "store": "127.0.0.1:4", "database_account": {"user": "proxy", "password": "secret"},
        "peer_secret": "a secret of sixteen bytes"
    });
    change(&mut value);
    let text = value.to_string();
    let wire =
        settings_file::parse_settings::<settings::ProxySettingsWire>("proxy.json", text.as_bytes());
    let wire = wire.map_err(|error| error.to_string())?;
    settings::ProxySettings::try_from(wire)
        .map(drop)
        .map_err(|error| error.to_string())
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(load(|_| {}), Ok(()));
}

#[test]
fn a_short_peer_secret_is_rejected() {
    let loaded = load(|value| value["peer_secret"] = "short".into());
    assert_eq!(
        loaded,
        Err("peer_secret: must have at least 16 bytes".to_owned())
    );
}

#[test]
fn the_error_names_a_missing_field() {
    let loaded = load(|value| drop(value.as_object_mut().and_then(|map| map.remove("store"))));
    assert!(loaded.is_err_and(|error| error.contains("missing field `store`")));
}

#[test]
fn the_error_names_the_path_of_a_field_of_the_wrong_type() {
    let loaded = load(|value| value["database_account"]["user"] = 7.into());
    assert!(loaded.is_err_and(|error| error.contains("proxy.json: database_account.user:")));
}

//! The store's settings name file and path of every fault.

use bluebellferry_runtime::settings;
use bluebellferry_standin_store::server;

fn load(text: &str) -> String {
    let wire = settings::parse_settings::<server::StoreSettingsWire>("store.json", text.as_bytes());
    match wire.map(server::StoreSettings::try_from) {
        Err(error) => error.to_string(),
        Ok(Err(error)) => error.to_string(),
        Ok(Ok(settings)) => settings.listen.to_string(),
    }
}

#[test]
fn unknown_fields_are_refused() {
    let error = load(r#"{"listen": "127.0.0.1:1", "colour": 3}"#);
    assert!(error.starts_with("store.json: "), "{error}");
    assert!(error.contains("unknown field `colour`"), "{error}");
}

#[test]
fn bad_addresses_are_refused_by_path() {
    let error = load(r#"{"listen": "nowhere"}"#);
    assert!(error.starts_with("listen: "), "{error}");
}

#[test]
fn good_settings_are_accepted() {
    assert_eq!(load(r#"{"listen": "127.0.0.1:7"}"#), "127.0.0.1:7");
}

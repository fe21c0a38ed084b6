//! Tests of the store's settings: errors name the file or the JSON path of the invalid field.

use bluebellferry_runtime::settings;
use bluebellferry_standin_store::server;

fn load_settings(text: &str) -> String {
    let wire = settings::parse_settings::<server::StoreSettingsWire>("store.json", text.as_bytes());
    match wire.map(server::StoreSettings::try_from) {
        Err(error) => error.to_string(),
        Ok(Err(error)) => error.to_string(),
        Ok(Ok(settings)) => settings.listen.to_string(),
    }
}

#[test]
fn unknown_fields_are_rejected() {
    let error = load_settings(r#"{"listen": "127.0.0.1:1", "colour": 3}"#);
    assert!(error.starts_with("store.json: "), "{error}");
    assert!(error.contains("unknown field `colour`"), "{error}");
}

#[test]
fn an_error_names_the_path_of_an_invalid_address() {
    let error = load_settings(r#"{"listen": "nowhere"}"#);
    assert!(error.starts_with("listen: "), "{error}");
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(load_settings(r#"{"listen": "127.0.0.1:7"}"#), "127.0.0.1:7");
}

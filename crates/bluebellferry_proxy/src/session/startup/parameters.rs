//! The settings in a caller's StartupMessage.

use std::collections::BTreeMap;

use bluebellferry_types::refusal;
use pgwire::messages::startup;

use super::super::SessionEnd;
use super::super::hint;
use super::login_refusal;

/// Splits the settings of a StartupMessage into hints for the proxy and `SET`
/// statements to run on each borrowed connection, by setting name.
///
/// # Errors
/// Refuses settings that contain the API key `key`, invalid names and invalid hints.
pub(super) fn parse_startup_settings(
    startup: &startup::Startup,
    key: &[u8],
) -> Result<(Vec<hint::RequestHint>, BTreeMap<String, String>), SessionEnd> {
    let mut settings: Vec<(String, String)> = Vec::new();
    for (name, value) in &startup.parameters {
        match name.as_str() {
            "user" | "database" => {}
            "options" => settings.extend(parse_options(value)?),
            name if name.starts_with("_pq_.") => {}
            name => settings.push((name.to_owned(), value.clone())),
        }
    }
    let mut hints = Vec::new();
    let mut database_settings = BTreeMap::new();
    for (name, value) in settings {
        let contains_key =
            |text: &str| !key.is_empty() && memchr::memmem::find(text.as_bytes(), key).is_some();
        if contains_key(&name) || contains_key(&value) {
            let text = "a start-up setting contains the key";
            return Err(login_refusal(refusal::RefusalReason::KeyInRequest, text).into());
        }
        if let Some(proxy_setting) = name.strip_prefix(hint::SETTING_PREFIX) {
            hints.push(hint::parse_hint(proxy_setting, &value)?);
            continue;
        }
        let lower = name.to_ascii_lowercase();
        let is_valid_name = lower
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        if !is_valid_name || lower.is_empty() {
            let text = format!("'{name}' is not the name of a setting");
            return Err(login_refusal(refusal::RefusalReason::InvalidSetting, text).into());
        }
        let is_utf8_encoding = lower == "client_encoding"
            && ["utf8", "utf-8", "'utf-8'", "unicode"]
                .contains(&value.to_ascii_lowercase().as_str());
        if !is_utf8_encoding {
            let quoted = value.replace('\'', "''");
            database_settings.insert(lower.clone(), format!("SET {lower} = '{quoted}'"));
        }
    }
    Ok((hints, database_settings))
}

/// Parses the `options` parameter: `-c name=value` and `--name=value`, separated
/// by white space that is not escaped with a backslash.
fn parse_options(options: &str) -> Result<Vec<(String, String)>, SessionEnd> {
    let mut settings = Vec::new();
    let mut words = split_unescaped_words(options).into_iter();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("--").or_else(|| word.strip_prefix("-c")) {
            Some("") => words.next().unwrap_or_default(),
            Some(setting) => setting.to_owned(),
            None => word.clone(),
        };
        let Some((name, value)) = setting.split_once('=') else {
            let text = format!("the option '{word}' is not of the form -c name=value");
            return Err(login_refusal(refusal::RefusalReason::InvalidSetting, text).into());
        };
        settings.push((name.replace('-', "_"), value.to_owned()));
    }
    Ok(settings)
}

fn split_unescaped_words(options: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        let last = words.len() - 1;
        match character {
            '\\' => words[last].extend(characters.next()),
            space if space.is_whitespace() => words.push(String::new()),
            other => words[last].push(other),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

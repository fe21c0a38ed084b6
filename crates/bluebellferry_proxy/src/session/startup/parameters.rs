//! The settings that a caller's start-up packet carries.

use std::collections::BTreeMap;

use bluebellferry_types::refusal;
use pgwire::messages::startup;

use super::super::SessionEnd;
use super::super::hint;
use super::login_refusal;

/// Splits the start-up settings into the proxy's own and those to be carried
/// to every connection.
pub(super) fn startup_settings(
    hello: &startup::Startup,
    key: &[u8],
) -> Result<(Vec<hint::RequestHint>, BTreeMap<String, String>), SessionEnd> {
    let mut settings: Vec<(String, String)> = Vec::new();
    for (name, value) in &hello.parameters {
        match name.as_str() {
            "user" | "database" => {}
            "options" => settings.extend(option_settings(value)?),
            name if name.starts_with("_pq_.") => {}
            name => settings.push((name.to_owned(), value.clone())),
        }
    }
    let mut hints = Vec::new();
    let mut carried = BTreeMap::new();
    for (name, value) in settings {
        let found =
            |text: &str| !key.is_empty() && memchr::memmem::find(text.as_bytes(), key).is_some();
        if found(&name) || found(&value) {
            let text = "a start-up setting contains the key";
            return Err(login_refusal(refusal::RefusalReason::KeyInRequest, text).into());
        }
        if let Some(own) = name.strip_prefix(hint::PREFIX) {
            hints.push(hint::parse_hint(own, &value)?);
            continue;
        }
        let lower = name.to_ascii_lowercase();
        let valid = lower
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '.');
        if !valid || lower.is_empty() {
            let text = format!("'{name}' is not the name of a setting");
            return Err(login_refusal(refusal::RefusalReason::InvalidSetting, text).into());
        }
        let is_default = lower == "client_encoding"
            && ["utf8", "utf-8", "'utf-8'", "unicode"]
                .contains(&value.to_ascii_lowercase().as_str());
        if !is_default {
            let quoted = value.replace('\'', "''");
            carried.insert(lower.clone(), format!("SET {lower} = '{quoted}'"));
        }
    }
    Ok((hints, carried))
}

/// Reads `-c name=value` and `--name=value`; a backslash keeps a blank.
fn option_settings(options: &str) -> Result<Vec<(String, String)>, SessionEnd> {
    let mut settings = Vec::new();
    let mut words = split_options(options).into_iter();
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

fn split_options(options: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        let last = words.len() - 1;
        match character {
            '\\' => words[last].extend(characters.next()),
            blank if blank.is_whitespace() => words.push(String::new()),
            other => words[last].push(other),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

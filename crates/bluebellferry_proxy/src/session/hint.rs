//! Hints from callers: `bluebellferry.*` settings, given by `SET`, at start-up or
//! in a statement's leading comment.

use std::time::Duration;

use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use bluebellferry_wire::statement;

/// The prefix of the settings that the proxy itself interprets.
pub const SETTING_PREFIX: &str = "bluebellferry.";

/// A hint with its parsed value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestHint {
    /// `read`: the kind of read; `None` removes an earlier hint.
    Read(Option<name::ReadKind>),
    /// `position`: the log position that the database must have reached.
    Position(position::LogPosition),
    /// `request_id`: the ID of an idempotent request, which runs at most once.
    RequestId(String),
    /// `deadline`: how long a request may wait; `None` removes an earlier hint.
    Deadline(Option<Duration>),
}

/// The longest `request_id`, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

fn invalid_setting_refusal(name: &str, value: &str, expected: &str) -> refusal::RequestRefusal {
    let shown_value: String = value.chars().take(64).collect();
    let text = format!("{SETTING_PREFIX}{name} cannot be '{shown_value}': {expected}");
    refusal::RequestRefusal::not_run(refusal::RefusalReason::InvalidSetting, text)
}

/// Parses the value of a proxy setting; `name` is given without the prefix.
///
/// # Errors
/// Refuses unknown names and invalid values.
pub fn parse_hint(name: &str, value: &str) -> Result<RequestHint, refusal::RequestRefusal> {
    match name {
        "read" if value.is_empty() => Ok(RequestHint::Read(None)),
        "read" => name::ReadKind::try_from(value)
            .map(|kind| RequestHint::Read(Some(kind)))
            .map_err(|error| invalid_setting_refusal(name, value, &error.to_string())),
        "position" => value.parse().map(RequestHint::Position).map_err(|_| {
            invalid_setting_refusal(name, value, "a position has the form term/offset")
        }),
        "request_id" if (1..=MAX_REQUEST_ID_BYTES).contains(&value.len()) => {
            Ok(RequestHint::RequestId(value.to_owned()))
        }
        "request_id" => Err(invalid_setting_refusal(
            name,
            value,
            "1 to 128 bytes are accepted",
        )),
        "deadline" if value.is_empty() => Ok(RequestHint::Deadline(None)),
        "deadline" => value
            .parse()
            .map(|millis| RequestHint::Deadline(Some(Duration::from_millis(millis))))
            .map_err(|_| {
                invalid_setting_refusal(name, value, "a number of milliseconds is expected")
            }),
        _ => {
            let known = "the settings are read, position, request_id and deadline";
            Err(invalid_setting_refusal(name, value, known))
        }
    }
}

/// Parses the hints in a statement's leading comment, such as
/// `/* bluebellferry.read=catalogue, bluebellferry.deadline=200 */`.
///
/// # Errors
/// Refuses invalid hints. Parts of the comment without the prefix are ignored.
pub fn parse_comment_hints(sql: &str) -> Result<Vec<RequestHint>, refusal::RequestRefusal> {
    let Some(comment) = statement::leading_comment(sql) else {
        return Ok(Vec::new());
    };
    let mut hints = Vec::new();
    for part in comment.split(',') {
        let setting = part.trim().strip_prefix(SETTING_PREFIX);
        if let Some((name, value)) = setting.and_then(|setting| setting.split_once('=')) {
            hints.push(parse_hint(name.trim(), value.trim().trim_matches('\''))?);
        }
    }
    Ok(hints)
}

/// A statement about a proxy setting, which the proxy answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProxySettingStatement {
    /// `SET bluebellferry.name = value`.
    Set(RequestHint),
    /// `RESET bluebellferry.name`.
    Reset(String),
    /// `SHOW bluebellferry.name`.
    Show(String),
}

/// Parses a statement about a proxy setting; returns `None` for other statements.
///
/// # Errors
/// Refuses a `SET` of a proxy setting that is malformed or has an invalid value.
pub fn parse_setting_statement(
    sql: &str,
) -> Result<Option<ProxySettingStatement>, refusal::RequestRefusal> {
    let text = statement::skip_whitespace_and_comments(sql)
        .trim()
        .trim_end_matches(';')
        .trim_end();
    let mut words = text.splitn(2, char::is_whitespace);
    let verb = words.next().unwrap_or("").to_ascii_uppercase();
    let arguments = words.next().unwrap_or("").trim();
    let arguments = match arguments.get(..8) {
        Some(scope) if verb == "SET" && scope.eq_ignore_ascii_case("session ") => {
            arguments[8..].trim()
        }
        _ => arguments,
    };
    let Some(setting) = arguments.strip_prefix(SETTING_PREFIX) else {
        return Ok(None);
    };
    match verb.as_str() {
        "RESET" => Ok(Some(ProxySettingStatement::Reset(setting.to_owned()))),
        "SHOW" => Ok(Some(ProxySettingStatement::Show(setting.to_owned()))),
        "SET" => {
            let end = setting.find(|c: char| c == '=' || c.is_whitespace());
            let (name, value) = setting.split_at(end.unwrap_or(setting.len()));
            let value = value.trim();
            let value = match (value.strip_prefix('='), value.get(..3)) {
                (Some(value), _) => value,
                (None, Some(word)) if word.eq_ignore_ascii_case("to ") => &value[3..],
                _ => {
                    return Err(invalid_setting_refusal(
                        name,
                        value,
                        "SET name = 'value' is expected",
                    ));
                }
            };
            let value = value.trim().trim_matches('\'');
            Ok(Some(ProxySettingStatement::Set(parse_hint(name, value)?)))
        }
        _ => Ok(None),
    }
}

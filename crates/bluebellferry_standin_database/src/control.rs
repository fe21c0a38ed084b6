//! The SQL functions through which a group is observed and steered:
//!
//! - `SELECT * FROM bluebellferry_status()`
//! - `SELECT * FROM bluebellferry_fence(term, claimant)`
//! - `SELECT * FROM bluebellferry_promote(term, claimant)`
//! - `SELECT * FROM bluebellferry_confirmed_position()`
//! - `SELECT * FROM bluebellferry_set(name, value)` with `lag_ms` or `leaving`

use std::time::Duration;
use std::time::Instant;

use crate::group;
use crate::value;

/// How long a promoted database may take to replay its log.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a majority may take to confirm a position.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A parsed call of a control function.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// Reports the database's state.
    Status,
    /// Respects a term of a claimant from now on.
    Fence(u64, String),
    /// Becomes primary of a claimant's term.
    Promote(u64, String),
    /// Reports the committed position once a majority has confirmed the primary.
    ConfirmedPosition,
    /// Changes a setting.
    Set(String, u64),
}

/// The answer to a control call: column names and one row.
pub type ControlResult = Result<Vec<(&'static str, value::SqlValue)>, String>;

/// Recognises a control call; `None` for any other statement.
pub fn parse_control_call(sql: &str) -> Option<ControlCall> {
    let rest = strip_prefix_ignoring_case(
        strip_prefix_ignoring_case(sql.trim(), "select")?.trim_start(),
        "*",
    )?;
    let rest = strip_prefix_ignoring_case(rest.trim_start(), "from")?.trim_start();
    let rest = rest.trim_end_matches(';').trim_end().strip_suffix(')')?;
    let (function, arguments) = rest.split_once('(')?;
    let mut arguments = arguments
        .split(',')
        .map(|text| text.trim().trim_matches('\''));
    match function.trim() {
        "bluebellferry_status" => Some(ControlCall::Status),
        "bluebellferry_fence" => {
            let term = arguments.next()?.parse().ok()?;
            Some(ControlCall::Fence(term, arguments.next()?.to_owned()))
        }
        "bluebellferry_promote" => {
            let term = arguments.next()?.parse().ok()?;
            Some(ControlCall::Promote(term, arguments.next()?.to_owned()))
        }
        "bluebellferry_confirmed_position" => Some(ControlCall::ConfirmedPosition),
        "bluebellferry_set" => {
            let name = arguments.next()?.to_owned();
            Some(ControlCall::Set(name, arguments.next()?.parse().ok()?))
        }
        _ => None,
    }
}

fn strip_prefix_ignoring_case<'a>(text: &'a str, word: &str) -> Option<&'a str> {
    let head = text.get(..word.len())?;
    head.eq_ignore_ascii_case(word).then(|| &text[word.len()..])
}

/// Runs a control call.
pub fn run_control_call(member: &group::GroupMember, call: &ControlCall) -> ControlResult {
    match call {
        ControlCall::Status => Ok(status_row(&member.lock())),
        ControlCall::Fence(term, claimant) => fence(member, *term, claimant),
        ControlCall::Promote(term, claimant) => promote(member, *term, claimant),
        ControlCall::ConfirmedPosition => confirmed_position(member),
        ControlCall::Set(name, value) => change_setting(member, name, *value),
    }
}

fn status_row(state: &group::MemberState) -> Vec<(&'static str, value::SqlValue)> {
    let integer = |number: u64| value::SqlValue::Integer(number as i64);
    let primary = state.role == group::MemberRole::Primary;
    let role = if primary { "primary" } else { "replica" };
    let text = |text: String| value::SqlValue::Text(text);
    let age = state.majority_contact_age(Instant::now());
    let contact = state
        .last_primary_contact
        .filter(|_| !primary)
        .map(|heard| heard.elapsed());
    let millis = |time: Duration| integer(time.as_millis() as u64);
    vec![
        ("role", text(role.to_owned())),
        ("promised_term", integer(state.promised_term)),
        ("own_term", integer(state.own_term)),
        (
            "log_position",
            text(state.position_at(state.last_offset()).to_string()),
        ),
        (
            "committed_position",
            text(state.position_at(state.committed_offset).to_string()),
        ),
        (
            "replayed_position",
            text(state.position_at(state.replayed_offset).to_string()),
        ),
        ("accepts_writes", integer(u64::from(state.accepts_writes()))),
        ("majority_age_ms", age.map_or(value::SqlValue::Null, millis)),
        (
            "primary_contact_ms",
            contact.map_or(value::SqlValue::Null, millis),
        ),
        ("open_transactions", integer(state.open_transactions)),
        ("leaving", integer(u64::from(state.leaving))),
    ]
}

fn fence(member: &group::GroupMember, term: u64, claimant: &str) -> ControlResult {
    let mut state = member.lock();
    state.promise(term, claimant);
    if !state.is_promised_to(term, claimant) {
        return Err(format!(
            "term {} has been promised to another",
            state.promised_term
        ));
    }
    let row = status_row(&state);
    drop(state);
    member.notify();
    Ok(row)
}

fn promote(member: &group::GroupMember, term: u64, claimant: &str) -> ControlResult {
    let mut state = member.lock();
    if !state.is_promised_to(term, claimant) {
        return Err(format!(
            "term {term} has not been promised to this claimant"
        ));
    }
    let already = state.role == group::MemberRole::Primary && state.own_term == term;
    if !already {
        state.become_primary(Instant::now());
        member.notify();
    }
    let deadline = Instant::now() + PROMOTION_TIMEOUT;
    while !state.accepts_writes() {
        if state.promised_term != term || Instant::now() >= deadline {
            return Err(format!("the database did not become ready in term {term}"));
        }
        state = member.wait(state, Duration::from_millis(20));
    }
    Ok(status_row(&state))
}

fn confirmed_position(member: &group::GroupMember) -> ControlResult {
    let asked = Instant::now();
    let mut state = member.lock();
    let position = state.position_at(state.committed_offset);
    loop {
        if !state.accepts_writes() {
            return Err("the database is not the primary".to_owned());
        }
        let since = asked.elapsed();
        if state
            .majority_contact_age(Instant::now())
            .is_some_and(|age| age <= since)
        {
            let text = value::SqlValue::Text(position.to_string());
            return Ok(vec![("confirmed_position", text)]);
        }
        if since >= CONFIRMATION_TIMEOUT {
            return Err("no majority confirmed the primary in time".to_owned());
        }
        state = member.wait(state, Duration::from_millis(20));
    }
}

fn change_setting(member: &group::GroupMember, name: &str, number: u64) -> ControlResult {
    let mut state = member.lock();
    match name {
        "lag_ms" => state.lag = Duration::from_millis(number),
        "leaving" => state.leaving = number != 0,
        _ => return Err(format!("'{name}' is not a setting; use lag_ms or leaving")),
    }
    drop(state);
    member.notify();
    Ok(vec![("set", value::SqlValue::Integer(number as i64))])
}

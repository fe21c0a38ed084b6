//! The SQL functions that report a database's replication state, fence terms and promote the
//! database. A claimant is the proxy that runs a promotion.
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

/// How long a promoted database may take to replay its log before the promotion fails.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a majority may take to confirm that the database is still the primary.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A call of one of the control functions, with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// Reports the database's replication state.
    Status,
    /// Grants a term to a claimant, which fences all lower terms.
    Fence(u64, String),
    /// Makes the database primary of a term that was granted to the claimant.
    Promote(u64, String),
    /// Reports the committed position after a majority has confirmed that the database is still
    /// the primary.
    ConfirmedPosition,
    /// Changes a setting of the running database: its name and new value.
    Set(String, u64),
}

/// The result of a control call: the names and values of one row, or an error message for the
/// client.
pub type ControlResult = Result<Vec<(&'static str, value::SqlValue)>, String>;

/// Parses a control call; returns `None` for any other statement.
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

fn strip_prefix_ignoring_case<'a>(text: &'a str, prefix: &str) -> Option<&'a str> {
    let start = text.get(..prefix.len())?;
    start
        .eq_ignore_ascii_case(prefix)
        .then(|| &text[prefix.len()..])
}

/// Executes a control call on a group member.
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
    let is_primary = state.role == group::MemberRole::Primary;
    let role = if is_primary { "primary" } else { "replica" };
    let text = |text: String| value::SqlValue::Text(text);
    let majority_contact_age = state.majority_contact_age(Instant::now());
    let primary_contact_age = state
        .last_primary_contact
        .filter(|_| !is_primary)
        .map(|last_contact| last_contact.elapsed());
    let milliseconds = |time: Duration| integer(time.as_millis() as u64);
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
        (
            "majority_age_ms",
            majority_contact_age.map_or(value::SqlValue::Null, milliseconds),
        ),
        (
            "primary_contact_ms",
            primary_contact_age.map_or(value::SqlValue::Null, milliseconds),
        ),
        ("open_transactions", integer(state.open_transactions)),
        ("leaving", integer(u64::from(state.is_draining))),
    ]
}

fn fence(member: &group::GroupMember, term: u64, claimant: &str) -> ControlResult {
    let mut state = member.lock();
    state.raise_promised_term(term, claimant);
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
    let is_already_primary = state.role == group::MemberRole::Primary && state.own_term == term;
    if !is_already_primary {
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
    let call_start = Instant::now();
    let mut state = member.lock();
    let position = state.position_at(state.committed_offset);
    loop {
        if !state.accepts_writes() {
            return Err("the database is not the primary".to_owned());
        }
        let since_call = call_start.elapsed();
        if state
            .majority_contact_age(Instant::now())
            .is_some_and(|age| age <= since_call)
        {
            let text = value::SqlValue::Text(position.to_string());
            return Ok(vec![("confirmed_position", text)]);
        }
        if since_call >= CONFIRMATION_TIMEOUT {
            return Err("no majority confirmed the primary in time".to_owned());
        }
        state = member.wait(state, Duration::from_millis(20));
    }
}

fn change_setting(member: &group::GroupMember, name: &str, number: u64) -> ControlResult {
    let mut state = member.lock();
    match name {
        "lag_ms" => state.replay_lag = Duration::from_millis(number),
        "leaving" => state.is_draining = number != 0,
        _ => return Err(format!("'{name}' is not a setting; use lag_ms or leaving")),
    }
    drop(state);
    member.notify();
    Ok(vec![("set", value::SqlValue::Integer(number as i64))])
}

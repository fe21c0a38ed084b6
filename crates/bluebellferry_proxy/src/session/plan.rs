//! What a request needs, found from its messages without parsing SQL.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::statement;
use pgwire::messages::extendedquery;

use super::CallerStatement;
use super::hint;

/// A setting of the database session that must survive pooling.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingChange {
    /// `SET name ...`, kept as the whole statement.
    Set {
        /// The setting's name in lower case.
        name: String,
        /// The statement.
        statement: String,
    },
    /// `RESET name`.
    Reset(String),
    /// `RESET ALL` or `DISCARD ALL`.
    ResetAll,
}

/// What a request needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestPlan {
    /// The kinds of read that its statements name; `None` among them means
    /// that a statement needs the primary.
    pub read_kinds: Vec<Option<name::ReadKind>>,
    /// A position that it must see.
    pub min_position: Option<position::LogPosition>,
    /// How long it may wait.
    pub timeout: Option<Duration>,
    /// The identity under which it runs at most once.
    pub request_id: Option<String>,
    /// Whether it opens a read-only transaction.
    pub begins_read_only: bool,
    /// Whether it may commit something.
    pub may_commit: bool,
    /// Whether it leaves state on the connection that cannot be carried.
    pub needs_pin: bool,
    /// Settings to be carried to other connections once it succeeds.
    pub setting_changes: Vec<SettingChange>,
    /// The number of statements found.
    pub statement_count: usize,
    /// Whether a statement is run, rather than only prepared or described.
    pub executes_statement: bool,
}

/// Finds what a request needs; `default_read` is the session's kind of read.
///
/// # Errors
/// Refuses messages that cannot be decoded and invalid hints.
pub fn plan_request(
    frames: &[frame::WireFrame],
    prepared: &HashMap<String, Arc<CallerStatement>>,
    default_read: Option<&name::ReadKind>,
) -> Result<RequestPlan, refusal::RequestRefusal> {
    let mut plan = RequestPlan::default();
    for frame in frames {
        plan.executes_statement |= matches!(frame.tag, frame::QUERY | frame::EXECUTE | frame::FLUSH);
        match frame.tag {
            frame::QUERY => {
                let text = message::query_text(frame).map_err(undecodable_message_refusal)?;
                plan.add_sql(text, default_read)?;
            }
            frame::PARSE => {
                let parse: extendedquery::Parse =
                    message::decode_message(frame).map_err(undecodable_message_refusal)?;
                plan.add_sql(&parse.query, default_read)?;
            }
            frame::BIND => {
                let name = message::bind_statement_name(frame).map_err(undecodable_message_refusal)?;
                if let Some(text) = prepared.get(name) {
                    plan.add_sql(&text.sql, default_read)?;
                }
            }
            _ => {}
        }
    }
    Ok(plan)
}

fn undecodable_message_refusal(error: frame::FrameError) -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::ProtocolViolation;
    refusal::RequestRefusal::not_run(reason, error.to_string())
}

impl RequestPlan {
    fn add_sql(
        &mut self,
        text: &str,
        default_read: Option<&name::ReadKind>,
    ) -> Result<(), refusal::RequestRefusal> {
        let mut read = default_read.cloned();
        for hint in hint::comment_hints(text)? {
            match hint {
                hint::RequestHint::Read(kind) => read = kind,
                hint::RequestHint::Position(position) => {
                    self.min_position = self.min_position.max(Some(position));
                }
                hint::RequestHint::RequestId(id) => self.request_id = Some(id),
                hint::RequestHint::Deadline(deadline) => self.timeout = deadline,
            }
        }
        for statement in statement::split_statements(text) {
            self.statement_count += 1;
            self.read_kinds.push(read.clone());
            self.add_statement(statement);
        }
        Ok(())
    }

    fn add_statement(&mut self, statement: statement::StatementText<'_>) {
        let words = statement.leading_words(4);
        let first = words.split(' ').next().unwrap_or("");
        match first {
            "BEGIN" | "START" => {
                let upper = statement.text.to_ascii_uppercase();
                self.begins_read_only |= upper.contains("READ ONLY");
            }
            "COMMIT" | "END" => self.may_commit = true,
            "PREPARE" if words.starts_with("PREPARE TRANSACTION") => self.may_commit = true,
            "LISTEN" | "PREPARE" | "LOAD" => self.needs_pin = true,
            "SET" => self.add_set(statement, &words),
            "RESET" | "DISCARD" => self.add_reset(&words),
            "CREATE" | "DECLARE" | "SELECT" | "WITH" => {
                self.needs_pin |= leaves_connection_state(statement.text, &words);
            }
            _ => {}
        }
    }

    fn add_set(&mut self, statement: statement::StatementText<'_>, words: &str) {
        let name = words.strip_prefix("SET ").unwrap_or("");
        let name = name.strip_prefix("SESSION ").unwrap_or(name);
        let transaction_only = ["LOCAL", "TRANSACTION", "CONSTRAINTS"];
        let name = name.split(' ').next().unwrap_or("");
        if name.is_empty() || transaction_only.contains(&name) {
            return;
        }
        self.setting_changes.push(SettingChange::Set {
            name: name.to_ascii_lowercase(),
            statement: statement.text.to_owned(),
        });
    }

    fn add_reset(&mut self, words: &str) {
        match words {
            "RESET ALL" | "DISCARD ALL" => self.setting_changes.push(SettingChange::ResetAll),
            _ => {
                if let Some(name) = words.strip_prefix("RESET ") {
                    self.setting_changes
                        .push(SettingChange::Reset(name.to_ascii_lowercase()));
                }
            }
        }
    }
}

/// Returns whether a statement leaves state behind that only its own
/// connection has: temporary tables, cursors over transactions, session locks.
fn leaves_connection_state(text: &str, words: &str) -> bool {
    let temporary = ["CREATE TEMP", "CREATE LOCAL TEMP", "CREATE GLOBAL TEMP"];
    if temporary.iter().any(|start| words.starts_with(start)) {
        return true;
    }
    let lower = text.to_ascii_lowercase();
    if words.starts_with("DECLARE") {
        return lower.contains("with hold");
    }
    lower.contains("pg_advisory_lock") || lower.contains("pg_try_advisory_lock")
}

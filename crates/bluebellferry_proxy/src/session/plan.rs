//! Classification of a request by its messages and the leading words of its
//! statements, without parsing SQL.

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

use super::CallerPreparedStatement;
use super::hint;

/// A change of a database setting that must apply on every connection which the
/// session borrows later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingChange {
    /// `SET name ...`.
    Set {
        /// The setting's name in lower case.
        name: String,
        /// The whole statement, to run on other connections.
        statement: String,
    },
    /// `RESET name`.
    Reset(String),
    /// `RESET ALL` or `DISCARD ALL`.
    ResetAll,
}

/// The requirements and effects of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestPlan {
    /// The kind of read of each statement; `None` stands for a statement without a
    /// kind of read, which needs the primary unless the request begins a read-only
    /// transaction.
    pub read_kinds: Vec<Option<name::ReadKind>>,
    /// The log position that the database must have reached, from a hint.
    pub min_position: Option<position::LogPosition>,
    /// How long the request may wait, from a hint.
    pub timeout: Option<Duration>,
    /// The ID of an idempotent request, which runs at most once.
    pub request_id: Option<String>,
    /// Whether the request opens a read-only transaction.
    pub begins_read_only: bool,
    /// Whether the request contains a statement that commits a transaction or prepares
    /// its two-phase commit.
    pub may_commit: bool,
    /// Whether the request leaves state on its connection that cannot be restored
    /// on another, so that the connection must be pinned.
    pub needs_pin: bool,
    /// Whether the request drops prepared statements of its connection, or may do so.
    pub drops_statements: bool,
    /// The changes to database settings, which take effect for other connections
    /// once the request has succeeded.
    pub setting_changes: Vec<SettingChange>,
    /// The number of statements in the request.
    pub statement_count: usize,
    /// Whether the request executes a statement, rather than only preparing or
    /// describing one.
    pub executes_statement: bool,
}

/// Derives the plan of a request from its messages. `default_read_kind` is the
/// session's kind of read, which applies to statements without a hint.
///
/// # Errors
/// Refuses messages that cannot be decoded and invalid hints.
pub fn plan_request(
    frames: &[frame::WireFrame],
    statements: &HashMap<String, Arc<CallerPreparedStatement>>,
    default_read_kind: Option<&name::ReadKind>,
) -> Result<RequestPlan, refusal::RequestRefusal> {
    let mut plan = RequestPlan::default();
    for frame in frames {
        plan.executes_statement |=
            matches!(frame.tag, frame::QUERY | frame::EXECUTE | frame::FLUSH);
        match frame.tag {
            frame::QUERY => {
                let sql = message::query_text(frame).map_err(undecodable_message_refusal)?;
                plan.add_sql(sql, default_read_kind)?;
            }
            frame::PARSE => {
                let parse: extendedquery::Parse =
                    message::decode_message(frame).map_err(undecodable_message_refusal)?;
                plan.add_sql(&parse.query, default_read_kind)?;
            }
            frame::BIND => {
                let name =
                    message::bind_statement_name(frame).map_err(undecodable_message_refusal)?;
                if let Some(statement) = statements.get(name) {
                    plan.add_sql(&statement.sql, default_read_kind)?;
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
        sql: &str,
        default_read_kind: Option<&name::ReadKind>,
    ) -> Result<(), refusal::RequestRefusal> {
        let mut read_kind = default_read_kind.cloned();
        for hint in hint::parse_comment_hints(sql)? {
            match hint {
                hint::RequestHint::Read(kind) => read_kind = kind,
                hint::RequestHint::Position(position) => {
                    self.min_position = self.min_position.max(Some(position));
                }
                hint::RequestHint::RequestId(id) => self.request_id = Some(id),
                hint::RequestHint::Deadline(timeout) => self.timeout = timeout,
            }
        }
        for statement in statement::split_statements(sql) {
            self.statement_count += 1;
            self.read_kinds.push(read_kind.clone());
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
            "DEALLOCATE" => self.drops_statements = true,
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
        let transaction_scopes = ["LOCAL", "TRANSACTION", "CONSTRAINTS"];
        let name = name.split(' ').next().unwrap_or("");
        if name.is_empty() || transaction_scopes.contains(&name) {
            return;
        }
        self.setting_changes.push(SettingChange::Set {
            name: name.to_ascii_lowercase(),
            statement: statement.text.to_owned(),
        });
    }

    fn add_reset(&mut self, words: &str) {
        match words {
            "DISCARD ALL" => {
                self.setting_changes.push(SettingChange::ResetAll);
                self.drops_statements = true;
            }
            "RESET ALL" => self.setting_changes.push(SettingChange::ResetAll),
            _ => {
                if let Some(name) = words.strip_prefix("RESET ") {
                    self.setting_changes
                        .push(SettingChange::Reset(name.to_ascii_lowercase()));
                }
            }
        }
    }
}

/// Returns whether a statement leaves state that exists only on its own
/// connection: temporary tables, cursors `WITH HOLD` or session-level advisory locks.
fn leaves_connection_state(text: &str, words: &str) -> bool {
    let temporary_table_starts = ["CREATE TEMP", "CREATE LOCAL TEMP", "CREATE GLOBAL TEMP"];
    if temporary_table_starts
        .iter()
        .any(|start| words.starts_with(start))
    {
        return true;
    }
    let lower = text.to_ascii_lowercase();
    if words.starts_with("DECLARE") {
        return lower.contains("with hold");
    }
    lower.contains("pg_advisory_lock") || lower.contains("pg_try_advisory_lock")
}

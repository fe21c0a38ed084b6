//! Simple queries, and the statements that the session executes itself because SQLite doesn't
//! support them.

use std::io;

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::statement;
use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::data;

use super::ClientSession;
use super::SqlFailure;
use super::transaction;
use crate::value;

/// The settings that `RESET ALL` leaves unchanged in PostgreSQL.
const KEPT_BY_RESET_ALL: [&str; 2] = ["role", "session_authorization"];

/// The class of a statement, which determines how it is executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatementClass {
    Begin {
        is_read_only: bool,
    },
    Commit,
    RollBack,
    Set,
    Show,
    /// Accepted without effect, except that `RESET` and `DISCARD ALL` reset session variables, and
    /// `DISCARD ALL` and `DEALLOCATE ALL` drop the prepared statements.
    Ignored,
    CopyIn,
    CopyOut,
    Sql,
}

/// Determines the class of a statement from its first words.
pub(super) fn classify(statement: statement::StatementText<'_>) -> StatementClass {
    let words = statement.leading_words(3);
    let first_word = words.split(' ').next().unwrap_or("");
    let upper_text = statement.text.to_ascii_uppercase();
    match first_word {
        "BEGIN" | "START" => StatementClass::Begin {
            is_read_only: upper_text.contains("READ ONLY"),
        },
        "COMMIT" | "END" => StatementClass::Commit,
        "ROLLBACK" if !words.contains(" TO") => StatementClass::RollBack,
        "ABORT" => StatementClass::RollBack,
        "SET" => StatementClass::Set,
        "SHOW" => StatementClass::Show,
        "RESET" | "DISCARD" | "DEALLOCATE" | "LISTEN" | "UNLISTEN" => StatementClass::Ignored,
        "COPY" if upper_text.contains(" FROM STDIN") => StatementClass::CopyIn,
        "COPY" => StatementClass::CopyOut,
        _ => StatementClass::Sql,
    }
}

/// Sends rows to the client while the statement is executed.
pub(super) struct ClientRowSink<'s, 'a> {
    pub(super) stream: &'s mut std::net::TcpStream,
    pub(super) out: &'s mut BytesMut,
    /// Whether RowDescription precedes the rows.
    pub(super) has_row_description: bool,
    pub(super) result_formats: &'a [i16],
}

impl transaction::RowSink for ClientRowSink<'_, '_> {
    fn start_rows(&mut self, columns: &[transaction::ColumnDescription]) -> io::Result<()> {
        if self.has_row_description {
            put_row_description(self.out, columns, self.result_formats);
        }
        Ok(())
    }

    fn push_row(
        &mut self,
        columns: &[transaction::ColumnDescription],
        row: Vec<value::SqlValue>,
    ) -> io::Result<()> {
        put_row(self.out, columns, &row, self.result_formats);
        if self.out.len() >= super::SEND_BUFFER_BYTES {
            io::Write::write_all(self.stream, self.out)?;
            self.out.clear();
        }
        Ok(())
    }
}

/// Returns whether a column is sent in binary format, which has format code 1. As in a Bind
/// message, `result_formats` contains no code (all columns are text), one code for all columns or
/// one per column.
fn is_binary(result_formats: &[i16], index: usize) -> bool {
    match result_formats {
        [] => false,
        [all] => *all == 1,
        each => each.get(index) == Some(&1),
    }
}

pub(super) fn put_row_description(
    out: &mut BytesMut,
    columns: &[transaction::ColumnDescription],
    result_formats: &[i16],
) {
    let describe = |(index, column): (usize, &transaction::ColumnDescription)| {
        let format = i16::from(is_binary(result_formats, index));
        data::FieldDescription::new(column.name.clone(), 0, 0, column.type_oid, -1, -1, format)
    };
    let fields = columns.iter().enumerate().map(describe).collect();
    message::put_message(out, &data::RowDescription::new(fields));
}

pub(super) fn put_row(
    out: &mut BytesMut,
    columns: &[transaction::ColumnDescription],
    row: &[value::SqlValue],
    result_formats: &[i16],
) {
    let mut body = BytesMut::new();
    for (index, value) in row.iter().enumerate() {
        let type_oid = columns
            .get(index)
            .map_or(value::TEXT, |column| column.type_oid);
        let bytes = if is_binary(result_formats, index) {
            value::render_binary(value, type_oid)
        } else {
            value::render_text(value, type_oid).map(String::into_bytes)
        };
        match bytes {
            None => body.put_i32(-1),
            Some(bytes) => {
                body.put_i32(bytes.len() as i32);
                body.put_slice(&bytes);
            }
        }
    }
    message::put_message(out, &data::DataRow::new(body, row.len() as i16));
}

/// Returns the command tag that CommandComplete contains for a finished statement.
pub(super) fn command_tag(
    statement: statement::StatementText<'_>,
    counts: transaction::RowCounts,
) -> String {
    let words = statement.leading_words(2);
    let first_word = words.split(' ').next().unwrap_or("");
    match first_word {
        "INSERT" | "REPLACE" => format!("INSERT 0 {}", counts.changed_rows),
        "UPDATE" | "DELETE" => format!("{first_word} {}", counts.changed_rows),
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", counts.returned_rows),
        "CREATE" | "DROP" | "ALTER" => words,
        _ => first_word.to_owned(),
    }
}

impl ClientSession<'_> {
    pub(super) fn handle_simple_query(&mut self, query: &frame::WireFrame) -> io::Result<()> {
        let text = message::query_text(query)
            .map_err(io::Error::other)?
            .to_owned();
        let statements = statement::split_statements(&text);
        if statements.is_empty() {
            message::put_empty_frame(&mut self.out, frame::EMPTY_QUERY);
        }
        self.remaining_statements = statements.len();
        for statement in &statements {
            self.remaining_statements -= 1;
            if let Err(failure) = self.run_simple_statement(*statement) {
                self.put_error(&failure);
                self.fail_transaction();
                self.put_ready_for_query();
                return self.flush_output();
            }
        }
        self.commit_implicit_transaction();
        self.put_ready_for_query();
        self.flush_output()
    }

    /// Commits the open transaction if the session opened it without a `BEGIN` of the client.
    pub(super) fn commit_implicit_transaction(&mut self) {
        if !self.is_transaction_implicit() {
            return;
        }
        if let Err(failure) = self.commit() {
            self.put_error(&failure);
        }
    }

    fn run_simple_statement(
        &mut self,
        statement: statement::StatementText<'_>,
    ) -> Result<(), SqlFailure> {
        let class = classify(statement);
        if self.run_session_statement(statement, class)? {
            return Ok(());
        }
        if !self.is_in_transaction() {
            self.open_transaction(false, true);
        }
        match class {
            StatementClass::CopyIn => return self.copy_in(statement.text),
            StatementClass::CopyOut => return self.copy_out(statement.text),
            _ => {}
        }
        let mut stream = self
            .stream
            .try_clone()
            .map_err(transaction::connection_error)?;
        let mut out = std::mem::take(&mut self.out);
        let mut row_sink = ClientRowSink {
            stream: &mut stream,
            out: &mut out,
            has_row_description: true,
            result_formats: &[],
        };
        let result = self.run_statement(statement.text, &[], &mut row_sink);
        // Commit before CommandComplete is sent, so that the client receives the log position of
        // the commit before it learns that the statement succeeded.
        self.out = out;
        let tag = command_tag(statement, result?);
        if self.is_transaction_implicit() && self.is_last_statement() {
            self.commit()?;
        }
        message::put_command_complete(&mut self.out, &tag);
        Ok(())
    }

    /// Returns whether the last statement of a simple query is being executed. An implicit
    /// transaction of several statements commits with the last one.
    fn is_last_statement(&self) -> bool {
        self.remaining_statements == 0
    }

    /// Executes a statement that SQLite doesn't support, such as `SET`. Returns false, without
    /// executing the statement, if it is not one of these.
    pub(super) fn run_session_statement(
        &mut self,
        statement: statement::StatementText<'_>,
        class: StatementClass,
    ) -> Result<bool, SqlFailure> {
        let is_failed = self.is_transaction_failed();
        let ends_transaction = matches!(class, StatementClass::Commit | StatementClass::RollBack);
        if is_failed && !ends_transaction {
            let text = "current transaction is aborted, commands ignored until its end";
            return Err(SqlFailure::new("25P02", text));
        }
        let tag = match class {
            StatementClass::Begin { is_read_only } => {
                if self.is_transaction_implicit() {
                    self.make_transaction_explicit();
                } else if !self.is_in_transaction() {
                    self.open_transaction(is_read_only, false);
                }
                "BEGIN"
            }
            StatementClass::Commit => {
                if self.commit()? {
                    "COMMIT"
                } else {
                    "ROLLBACK"
                }
            }
            StatementClass::RollBack => {
                self.roll_back();
                "ROLLBACK"
            }
            StatementClass::Set => {
                self.set_variable(statement.text);
                "SET"
            }
            StatementClass::Show => {
                self.show_variable(statement.text);
                "SHOW"
            }
            StatementClass::Ignored => {
                self.reset_variables(statement);
                self.drop_statements(statement);
                message::put_command_complete(&mut self.out, &statement.leading_words(1));
                return Ok(true);
            }
            StatementClass::CopyIn | StatementClass::CopyOut | StatementClass::Sql => {
                return Ok(false);
            }
        };
        message::put_command_complete(&mut self.out, tag);
        Ok(true)
    }

    fn reset_variables(&mut self, statement: statement::StatementText<'_>) {
        match statement.leading_words(2).as_str() {
            "DISCARD ALL" => self.variables.clear(),
            "RESET ALL" => self
                .variables
                .retain(|name, _| KEPT_BY_RESET_ALL.contains(&name.as_str())),
            words => {
                if let Some(name) = words.strip_prefix("RESET ") {
                    self.variables.remove(&name.to_ascii_lowercase());
                }
            }
        }
    }

    fn drop_statements(&mut self, statement: statement::StatementText<'_>) {
        let words = statement.leading_words(3);
        let drops_all = ["DISCARD ALL", "DEALLOCATE ALL", "DEALLOCATE PREPARE ALL"];
        if drops_all.contains(&words.as_str()) {
            self.extended.drop_statements();
        }
    }

    fn set_variable(&mut self, text: &str) {
        let assignment = text.get(3..).unwrap_or("").trim_start();
        let lower_assignment = assignment.to_ascii_lowercase();
        let assignment = if lower_assignment.starts_with("session ") {
            &assignment[8..]
        } else {
            assignment
        };
        let name_end = assignment.find(|c: char| c == '=' || c.is_whitespace());
        let Some(name_end) = name_end else { return };
        let name = assignment[..name_end].trim().to_ascii_lowercase();
        let value = assignment[name_end..].trim_start_matches([' ', '=']).trim();
        let value = value
            .strip_prefix("TO ")
            .or(value.strip_prefix("to "))
            .unwrap_or(value);
        self.variables
            .insert(name, value.trim().trim_matches('\'').to_owned());
    }

    fn show_variable(&mut self, text: &str) {
        let name = text
            .get(4..)
            .unwrap_or("")
            .trim()
            .trim_end_matches(';')
            .to_ascii_lowercase();
        let value = self.variables.get(&name).cloned().unwrap_or_default();
        let column = transaction::ColumnDescription {
            name,
            type_oid: value::TEXT,
        };
        put_row_description(&mut self.out, std::slice::from_ref(&column), &[]);
        put_row(
            &mut self.out,
            &[column],
            &[value::SqlValue::Text(value)],
            &[],
        );
    }
}

//! Matching of a database's answers to a caller's messages.
//!
//! A statement that a caller prepares may exist on any number of database
//! connections, on each under the same name chosen by the proxy. A
//! [`RequestExchange`] replaces the caller's names, prepares statements that the
//! borrowed connection lacks and suppresses the answers to those Parse messages. If a
//! caller's message need not be sent to the database, the exchange generates a
//! synthetic answer.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bytes::BytesMut;
use pgwire::messages::extendedquery;
use smallvec::SmallVec;

use super::CallerPreparedStatement;
use crate::backend;
use crate::prepared;

/// An answer that is still outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExpectedAnswer {
    /// All answers to a simple query, up to ReadyForQuery.
    Simple,
    /// ParseComplete for the caller's own Parse message.
    Parse(backend::StatementId),
    /// ParseComplete for a Parse message added by the proxy; it is not forwarded.
    SuppressedParse(backend::StatementId),
    /// Synthetic ParseComplete, because the connection already has the statement.
    SyntheticParse,
    /// Synthetic CloseComplete, because the statement stays prepared on the
    /// connection.
    SyntheticClose,
    /// BindComplete.
    Bind,
    /// RowDescription or NoData, perhaps after ParameterDescription.
    Describe,
    /// CommandComplete, EmptyQueryResponse or PortalSuspended, after any rows.
    Execute,
    /// CloseComplete.
    Close,
    /// ReadyForQuery.
    Sync,
}

/// What to do with a chunk of a database's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// Forward the chunk to the caller.
    Forward,
    /// Drop the chunk.
    Suppress,
    /// Forward the chunk; the database now waits for COPY data.
    CopyIn,
    /// The chunk is an error; forward it unless the request is retried.
    Error,
    /// Forward the chunk; it is ReadyForQuery with this transaction state.
    Ready(message::TransactionStatus),
}

/// The outstanding answers of one request that is being relayed to a database.
#[derive(Debug, Default)]
pub struct RequestExchange {
    expected: VecDeque<ExpectedAnswer>,
    is_batch_open: bool,
    has_failed: bool,
    newly_prepared: SmallVec<[backend::StatementId; 2]>,
    /// The changes of the caller's names, in the order of the messages.
    name_changes: SmallVec<[NameChange; 2]>,
    /// The number of changes that have been answered; the first ones.
    acknowledged_changes: usize,
}

/// A change of a caller's name, which does not count if the database ignores the message.
#[derive(Debug)]
struct NameChange {
    name: String,
    previous: Option<Arc<CallerPreparedStatement>>,
}

/// Returns the caller's name for the statement of a Parse message, and the statement
/// under its name on database connections.
pub fn rename_statement(
    parse: extendedquery::Parse,
    table: &prepared::StatementTable,
) -> (String, Arc<CallerPreparedStatement>) {
    let definition = prepared::StatementDefinition {
        sql: parse.query,
        type_oids: parse.type_oids,
    };
    let id = table.number_statement(&definition);
    let renamed = extendedquery::Parse::new(
        Some(id.database_name()),
        definition.sql.clone(),
        definition.type_oids,
    );
    let mut bytes = BytesMut::new();
    message::put_message(&mut bytes, &renamed);
    let statement = CallerPreparedStatement {
        id,
        parse_message: bytes.freeze(),
        sql: definition.sql,
    };
    (parse.name.unwrap_or_default(), Arc::new(statement))
}

impl RequestExchange {
    /// Returns whether no answer is outstanding and no batch is open.
    pub fn is_finished(&self) -> bool {
        self.expected.is_empty() && !self.is_batch_open
    }

    /// Returns whether the caller has sent extended-protocol messages without the
    /// Sync that ends them.
    pub fn is_batch_open(&self) -> bool {
        self.is_batch_open
    }

    /// Returns whether the database has reported an error.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Returns the statements that the database has prepared in this exchange.
    pub fn newly_prepared(&self) -> &[backend::StatementId] {
        &self.newly_prepared
    }

    /// Undoes the changes of the caller's names that have not been answered.
    pub fn undo_unanswered_changes(
        &mut self,
        statements: &mut HashMap<String, Arc<CallerPreparedStatement>>,
    ) {
        while self.name_changes.len() > self.acknowledged_changes {
            let Some(change) = self.name_changes.pop() else {
                return;
            };
            match change.previous {
                Some(statement) => statements.insert(change.name, statement),
                None => statements.remove(&change.name),
            };
        }
    }

    /// Undoes all changes of the caller's names, because no answer has reached the
    /// caller.
    pub fn undo_all_changes(
        &mut self,
        statements: &mut HashMap<String, Arc<CallerPreparedStatement>>,
    ) {
        self.acknowledged_changes = 0;
        self.undo_unanswered_changes(statements);
    }

    /// Appends the translation of a caller's message to `to_database`, and to
    /// `to_caller` the synthetic answers that no outstanding answer precedes.
    ///
    /// # Errors
    /// Fails when the message cannot be decoded.
    pub fn translate_message(
        &mut self,
        frame: &frame::WireFrame,
        table: &prepared::StatementTable,
        statements: &mut HashMap<String, Arc<CallerPreparedStatement>>,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
        to_caller: &mut BytesMut,
    ) -> Result<(), frame::FrameError> {
        if self.has_failed && frame.tag != frame::SYNC {
            // After an error the database ignores all messages up to Sync.
            return Ok(());
        }
        match frame.tag {
            frame::QUERY => self.push_message(ExpectedAnswer::Simple, &frame.bytes, to_database),
            frame::SYNC => {
                self.is_batch_open = false;
                self.push_message(ExpectedAnswer::Sync, &frame.bytes, to_database);
            }
            frame::COPY_DATA | frame::COPY_DONE | frame::COPY_FAIL => {
                to_database.extend_from_slice(&frame.bytes);
            }
            _ => {
                self.is_batch_open = true;
                self.translate_extended(
                    frame,
                    table,
                    statements,
                    connection_statements,
                    to_database,
                )?;
            }
        }
        self.append_synthetic_answers(to_caller);
        Ok(())
    }

    /// Appends a message to `to_database` and records the answer to expect.
    fn push_message(&mut self, expected: ExpectedAnswer, bytes: &[u8], to_database: &mut BytesMut) {
        to_database.extend_from_slice(bytes);
        self.expected.push_back(expected);
    }

    fn translate_extended(
        &mut self,
        frame: &frame::WireFrame,
        table: &prepared::StatementTable,
        statements: &mut HashMap<String, Arc<CallerPreparedStatement>>,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
    ) -> Result<(), frame::FrameError> {
        match frame.tag {
            frame::PARSE => {
                let parse = message::decode_message(frame)?;
                let (name, statement) = rename_statement(parse, table);
                if self.is_prepared(statement.id, connection_statements) {
                    self.expected.push_back(ExpectedAnswer::SyntheticParse);
                } else {
                    self.push_message(
                        ExpectedAnswer::Parse(statement.id),
                        &statement.parse_message,
                        to_database,
                    );
                }
                let previous = statements.insert(name.clone(), statement);
                self.name_changes.push(NameChange { name, previous });
            }
            frame::BIND => {
                let name = message::bind_statement_name(frame)?;
                let bytes = match statements.get(name) {
                    Some(statement) => {
                        self.ensure_prepared(statement, connection_statements, to_database);
                        message::rewrite_bind(frame, &statement.id.database_name())?
                    }
                    None => frame.bytes.clone(),
                };
                self.push_message(ExpectedAnswer::Bind, &bytes, to_database);
            }
            frame::DESCRIBE => {
                self.translate_describe(frame, statements, connection_statements, to_database)?;
            }
            frame::EXECUTE => self.push_message(ExpectedAnswer::Execute, &frame.bytes, to_database),
            frame::CLOSE => {
                let close: extendedquery::Close = message::decode_message(frame)?;
                if close.target_type == b'S' {
                    let name = close.name.unwrap_or_default();
                    let previous = statements.remove(&name);
                    self.name_changes.push(NameChange { name, previous });
                    self.expected.push_back(ExpectedAnswer::SyntheticClose);
                } else {
                    self.push_message(ExpectedAnswer::Close, &frame.bytes, to_database);
                }
            }
            frame::FLUSH => to_database.extend_from_slice(&frame.bytes),
            tag => {
                let reason = "not expected within a batch".to_owned();
                let tag = frame::printable_tag(tag);
                return Err(frame::FrameError::InvalidBody { tag, reason });
            }
        }
        Ok(())
    }

    fn translate_describe(
        &mut self,
        frame: &frame::WireFrame,
        statements: &HashMap<String, Arc<CallerPreparedStatement>>,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
    ) -> Result<(), frame::FrameError> {
        let describe: extendedquery::Describe = message::decode_message(frame)?;
        let name = describe.name.as_deref().unwrap_or("");
        let statement = statements
            .get(name)
            .filter(|_| describe.target_type == b'S');
        let Some(statement) = statement else {
            self.push_message(ExpectedAnswer::Describe, &frame.bytes, to_database);
            return Ok(());
        };
        self.ensure_prepared(statement, connection_statements, to_database);
        let renamed = extendedquery::Describe::new(b'S', Some(statement.id.database_name()));
        message::put_message(to_database, &renamed);
        self.expected.push_back(ExpectedAnswer::Describe);
        Ok(())
    }

    /// Returns whether the connection has the statement or an earlier message of
    /// this request prepares it there.
    fn is_prepared(
        &self,
        id: backend::StatementId,
        connection_statements: &HashSet<backend::StatementId>,
    ) -> bool {
        let prepares = |expected: &ExpectedAnswer| {
            matches!(expected, ExpectedAnswer::Parse(other) | ExpectedAnswer::SuppressedParse(other)
                if *other == id)
        };
        connection_statements.contains(&id) || self.expected.iter().any(prepares)
    }

    /// Adds a Parse message if the connection lacks the statement.
    fn ensure_prepared(
        &mut self,
        statement: &CallerPreparedStatement,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
    ) {
        if !self.is_prepared(statement.id, connection_statements) {
            self.push_message(
                ExpectedAnswer::SuppressedParse(statement.id),
                &statement.parse_message,
                to_database,
            );
        }
    }

    /// Returns what to do with a chunk of an answer, and adds newly prepared statements
    /// to `connection_statements`. A chunk to be forwarded must be appended to the
    /// output before [`RequestExchange::append_synthetic_answers`] is called, so that
    /// the answers stay in order.
    ///
    /// # Errors
    /// Fails when the answer is not the one that is expected next.
    pub fn handle_answer(
        &mut self,
        chunk: &reader::FrameChunk,
        statements: &mut HashMap<String, Arc<CallerPreparedStatement>>,
        connection_statements: &mut HashSet<backend::StatementId>,
    ) -> Result<AnswerEvent, frame::FrameError> {
        if !chunk.is_first {
            return Ok(AnswerEvent::Forward);
        }
        match chunk.tag {
            frame::PARSE_COMPLETE => Ok(self.handle_parse_complete(connection_statements)),
            frame::BIND_COMPLETE
            | frame::CLOSE_COMPLETE
            | frame::ROW_DESCRIPTION
            | frame::NO_DATA
            | frame::COMMAND_COMPLETE
            | frame::EMPTY_QUERY
            | frame::PORTAL_SUSPENDED => {
                self.pop_expected_answer();
                Ok(AnswerEvent::Forward)
            }
            frame::COPY_IN => {
                self.drop_ignored_sync();
                Ok(AnswerEvent::CopyIn)
            }
            frame::ERROR_RESPONSE => {
                self.has_failed = true;
                self.undo_failed_changes(statements);
                self.drop_until_sync();
                Ok(AnswerEvent::Error)
            }
            frame::READY_FOR_QUERY => {
                let ready = chunk.whole_frame();
                let ready = ready.ok_or_else(|| {
                    malformed_answer(chunk.tag, "ReadyForQuery was split into chunks")
                })?;
                match self.expected.pop_front() {
                    Some(ExpectedAnswer::Simple | ExpectedAnswer::Sync) => {}
                    other => {
                        let text = format!("ReadyForQuery arrived while {other:?} was expected");
                        return Err(malformed_answer(chunk.tag, &text));
                    }
                }
                Ok(AnswerEvent::Ready(message::TransactionStatus::from_frame(
                    &ready,
                )?))
            }
            _ => Ok(AnswerEvent::Forward),
        }
    }

    /// Undoes the changes of names that the database has ignored after an error. A
    /// Parse of the unnamed statement that fails itself leaves no unnamed statement.
    fn undo_failed_changes(
        &mut self,
        statements: &mut HashMap<String, Arc<CallerPreparedStatement>>,
    ) {
        let is_parse = matches!(self.expected.front(), Some(ExpectedAnswer::Parse(_)));
        let failed = self.name_changes.get(self.acknowledged_changes);
        let is_unnamed_parse = is_parse && failed.is_some_and(|change| change.name.is_empty());
        self.undo_unanswered_changes(statements);
        if is_unnamed_parse {
            statements.remove("");
        }
    }

    /// Drops the expected answer to a Sync sent before the COPY data. A database
    /// that waits for COPY data ignores that Sync; the Sync after the data counts.
    fn drop_ignored_sync(&mut self) {
        if self.expected.back() == Some(&ExpectedAnswer::Sync) {
            self.expected.pop_back();
            self.is_batch_open = true;
        }
    }

    fn handle_parse_complete(
        &mut self,
        connection_statements: &mut HashSet<backend::StatementId>,
    ) -> AnswerEvent {
        match self.expected.pop_front() {
            Some(ExpectedAnswer::SuppressedParse(id)) => {
                connection_statements.insert(id);
                self.newly_prepared.push(id);
                AnswerEvent::Suppress
            }
            Some(ExpectedAnswer::Parse(id)) => {
                connection_statements.insert(id);
                self.newly_prepared.push(id);
                self.acknowledged_changes += 1;
                AnswerEvent::Forward
            }
            _ => AnswerEvent::Forward,
        }
    }

    /// Removes the expected answer that has arrived. A simple query remains expected
    /// until its ReadyForQuery. An arriving RowDescription always completes a
    /// Describe, because Execute sends none.
    fn pop_expected_answer(&mut self) {
        if self.expected.front() != Some(&ExpectedAnswer::Simple) {
            self.expected.pop_front();
        }
    }

    /// Removes the expected answers up to Sync: after an error the database ignores
    /// all messages before Sync.
    fn drop_until_sync(&mut self) {
        while let Some(front) = self.expected.front() {
            if matches!(front, ExpectedAnswer::Simple | ExpectedAnswer::Sync) {
                return;
            }
            self.expected.pop_front();
        }
    }

    /// Appends the synthetic answers that are expected next. After an error they are
    /// dropped, as a database would send none.
    pub fn append_synthetic_answers(&mut self, to_caller: &mut BytesMut) {
        while let Some(front) = self.expected.front() {
            let tag = match front {
                ExpectedAnswer::SyntheticParse => frame::PARSE_COMPLETE,
                ExpectedAnswer::SyntheticClose => frame::CLOSE_COMPLETE,
                _ => return,
            };
            if !self.has_failed {
                message::put_empty_frame(to_caller, tag);
                self.acknowledged_changes += 1;
            }
            self.expected.pop_front();
        }
    }
}

fn malformed_answer(tag: u8, reason: &str) -> frame::FrameError {
    frame::FrameError::InvalidBody {
        tag: frame::printable_tag(tag),
        reason: reason.to_owned(),
    }
}

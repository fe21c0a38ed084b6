//! The bookkeeping between a caller's messages and a database's answers.
//!
//! Prepared statements live on whichever connection a request borrows, under a
//! name of the proxy's own. An [`RequestExchange`] renames them, prepares them where
//! they are missing, hides the answers to that, and supplies the answers that
//! the caller expects but the database was not asked for.

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
use xxhash_rust::xxh3;

use super::CallerStatement;
use crate::backend;

/// An answer that is still to come, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExpectedAnswer {
    /// A simple query's, up to ReadyForQuery.
    Simple,
    /// ParseComplete of a statement that the caller prepares here.
    Parse(backend::StatementId),
    /// ParseComplete that the caller must not see.
    SuppressedParse(backend::StatementId),
    /// ParseComplete that the database was not asked for.
    SyntheticParse,
    /// CloseComplete that the database was not asked for.
    SyntheticClose,
    /// BindComplete.
    Bind,
    /// RowDescription or NoData, perhaps after ParameterDescription.
    Describe,
    /// The end of an Execute.
    Execute,
    /// CloseComplete.
    Close,
    /// ReadyForQuery.
    Sync,
}

/// What a piece of an answer means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// It goes to the caller.
    Forward,
    /// It is not for the caller.
    Suppress,
    /// The database waits for COPY data; it goes to the caller.
    CopyIn,
    /// An error; it goes to the caller unless the request is run elsewhere.
    Error,
    /// The request has ended in this transaction state; it goes to the caller.
    Ready(message::TransactionState),
}

/// One request's exchange with a database.
#[derive(Debug, Default)]
pub struct RequestExchange {
    expected: VecDeque<ExpectedAnswer>,
    is_batch_open: bool,
    has_failed: bool,
    newly_prepared: SmallVec<[backend::StatementId; 2]>,
}

/// Builds the prepared form of a Parse message.
///
/// # Errors
/// Fails when the message cannot be decoded.
pub fn prepare_statement(
    parse: extendedquery::Parse,
) -> Result<(String, Arc<CallerStatement>), frame::FrameError> {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(parse.query.as_bytes());
    for type_id in &parse.type_oids {
        hasher.update(&type_id.to_be_bytes());
    }
    let id = backend::StatementId(hasher.digest128());
    let renamed = extendedquery::Parse::new(
        Some(id.database_name()),
        parse.query.clone(),
        parse.type_oids,
    );
    let mut bytes = BytesMut::new();
    message::put_message(&mut bytes, &renamed);
    let text = CallerStatement {
        id,
        parse_message: bytes.freeze(),
        sql: parse.query,
    };
    Ok((parse.name.unwrap_or_default(), Arc::new(text)))
}

impl RequestExchange {
    /// Returns whether the request has no message under way and none to come.
    pub fn is_finished(&self) -> bool {
        self.expected.is_empty() && !self.is_batch_open
    }

    /// Returns whether the caller has begun a batch and not yet ended it.
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

    /// Translates a caller's message into `to_database`; answers that the
    /// database need not give go to `to_caller` when their turn comes.
    ///
    /// # Errors
    /// Fails when the message cannot be decoded.
    pub fn translate_request(
        &mut self,
        request: &frame::WireFrame,
        statements: &mut HashMap<String, Arc<CallerStatement>>,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
        to_caller: &mut BytesMut,
    ) -> Result<(), frame::FrameError> {
        if self.has_failed && request.tag != frame::SYNC {
            // The database ignores whatever follows an error up to Sync.
            return Ok(());
        }
        match request.tag {
            frame::QUERY => self.push(ExpectedAnswer::Simple, &request.bytes, to_database),
            frame::SYNC => {
                self.is_batch_open = false;
                self.push(ExpectedAnswer::Sync, &request.bytes, to_database);
            }
            frame::COPY_DATA | frame::COPY_DONE | frame::COPY_FAIL => {
                to_database.extend_from_slice(&request.bytes);
            }
            _ => {
                self.is_batch_open = true;
                self.translate_extended(request, statements, connection_statements, to_database)?;
            }
        }
        self.append_synthetic_answers(to_caller);
        Ok(())
    }

    fn push(&mut self, expected: ExpectedAnswer, bytes: &[u8], to_database: &mut BytesMut) {
        to_database.extend_from_slice(bytes);
        self.expected.push_back(expected);
    }

    fn translate_extended(
        &mut self,
        request: &frame::WireFrame,
        statements: &mut HashMap<String, Arc<CallerStatement>>,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
    ) -> Result<(), frame::FrameError> {
        match request.tag {
            frame::PARSE => {
                let parse = message::decode_message(request)?;
                let (name, text) = prepare_statement(parse)?;
                if self.is_prepared(text.id, connection_statements) {
                    self.expected.push_back(ExpectedAnswer::SyntheticParse);
                } else {
                    self.push(ExpectedAnswer::Parse(text.id), &text.parse_message, to_database);
                }
                statements.insert(name, text);
            }
            frame::BIND => {
                let name = message::bind_statement_name(request)?;
                let bytes = match statements.get(name) {
                    Some(text) => {
                        self.ensure_prepared(text, connection_statements, to_database);
                        message::rename_bind(request, &text.id.database_name())?
                    }
                    None => request.bytes.clone(),
                };
                self.push(ExpectedAnswer::Bind, &bytes, to_database);
            }
            frame::DESCRIBE => self.translate_describe(request, statements, connection_statements, to_database)?,
            frame::EXECUTE => self.push(ExpectedAnswer::Execute, &request.bytes, to_database),
            frame::CLOSE => {
                let close: extendedquery::Close = message::decode_message(request)?;
                if close.target_type == b'S' {
                    statements.remove(close.name.as_deref().unwrap_or(""));
                    self.expected.push_back(ExpectedAnswer::SyntheticClose);
                } else {
                    self.push(ExpectedAnswer::Close, &request.bytes, to_database);
                }
            }
            frame::FLUSH => to_database.extend_from_slice(&request.bytes),
            tag => {
                let reason = "not expected within a batch".to_owned();
                let tag = frame::printable_tag(tag);
                return Err(frame::FrameError::BadContents { tag, reason });
            }
        }
        Ok(())
    }

    fn translate_describe(
        &mut self,
        request: &frame::WireFrame,
        statements: &HashMap<String, Arc<CallerStatement>>,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
    ) -> Result<(), frame::FrameError> {
        let describe: extendedquery::Describe = message::decode_message(request)?;
        let name = describe.name.as_deref().unwrap_or("");
        let text = statements
            .get(name)
            .filter(|_| describe.target_type == b'S');
        let Some(text) = text else {
            self.push(ExpectedAnswer::Describe, &request.bytes, to_database);
            return Ok(());
        };
        self.ensure_prepared(text, connection_statements, to_database);
        let renamed = extendedquery::Describe::new(b'S', Some(text.id.database_name()));
        message::put_message(to_database, &renamed);
        self.expected.push_back(ExpectedAnswer::Describe);
        Ok(())
    }

    /// Returns whether the connection has the statement or is being asked to
    /// prepare it by an earlier message of this request.
    fn is_prepared(&self, id: backend::StatementId, connection_statements: &HashSet<backend::StatementId>) -> bool {
        let pending = |expected: &ExpectedAnswer| {
            matches!(expected, ExpectedAnswer::Parse(other) | ExpectedAnswer::SuppressedParse(other)
                if *other == id)
        };
        connection_statements.contains(&id) || self.expected.iter().any(pending)
    }

    fn ensure_prepared(
        &mut self,
        text: &CallerStatement,
        connection_statements: &HashSet<backend::StatementId>,
        to_database: &mut BytesMut,
    ) {
        if !self.is_prepared(text.id, connection_statements) {
            self.push(
                ExpectedAnswer::SuppressedParse(text.id),
                &text.parse_message,
                to_database,
            );
        }
    }

    /// Takes a piece of an answer; new prepared statements go into `connection_statements`.
    /// Whatever the event says goes to the caller must be appended before
    /// [`RequestExchange::append_synthetic_answers`] is called.
    ///
    /// # Errors
    /// Fails when the database's answer does not fit the requests.
    pub fn handle_answer(
        &mut self,
        piece: &reader::FramePiece,
        connection_statements: &mut HashSet<backend::StatementId>,
    ) -> Result<AnswerEvent, frame::FrameError> {
        if !piece.first {
            return Ok(AnswerEvent::Forward);
        }
        match piece.tag {
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
                self.drop_until_sync();
                Ok(AnswerEvent::Error)
            }
            frame::READY_FOR_QUERY => {
                let ready = piece.whole_frame();
                let ready = ready.ok_or_else(|| malformed_answer(piece.tag, "in pieces"))?;
                match self.expected.pop_front() {
                    Some(ExpectedAnswer::Simple | ExpectedAnswer::Sync) => {}
                    other => {
                        let text = format!("came while {other:?} was expected");
                        return Err(malformed_answer(piece.tag, &text));
                    }
                }
                Ok(AnswerEvent::Ready(message::TransactionState::from_frame(
                    &ready,
                )?))
            }
            _ => Ok(AnswerEvent::Forward),
        }
    }

    /// A database that waits for COPY data ignores the Sync that was sent
    /// before the data; the one after the data counts.
    fn drop_ignored_sync(&mut self) {
        if self.expected.back() == Some(&ExpectedAnswer::Sync) {
            self.expected.pop_back();
            self.is_batch_open = true;
        }
    }

    fn handle_parse_complete(&mut self, connection_statements: &mut HashSet<backend::StatementId>) -> AnswerEvent {
        match self.expected.pop_front() {
            Some(ExpectedAnswer::SuppressedParse(id)) => {
                connection_statements.insert(id);
                self.newly_prepared.push(id);
                AnswerEvent::Suppress
            }
            Some(ExpectedAnswer::Parse(id)) => {
                connection_statements.insert(id);
                self.newly_prepared.push(id);
                AnswerEvent::Forward
            }
            _ => AnswerEvent::Forward,
        }
    }

    /// Drops the expectation that an answer fulfils, except for a simple
    /// query's, which lasts until ReadyForQuery. RowDescription within an
    /// Execute does not occur in the protocol.
    fn pop_expected_answer(&mut self) {
        if self.expected.front() != Some(&ExpectedAnswer::Simple) {
            self.expected.pop_front();
        }
    }

    /// After an error the database ignores everything up to Sync.
    fn drop_until_sync(&mut self) {
        while let Some(front) = self.expected.front() {
            if matches!(front, ExpectedAnswer::Simple | ExpectedAnswer::Sync) {
                return;
            }
            self.expected.pop_front();
        }
    }

    /// Appends the answers that the caller expects now and that the database
    /// was not asked for.
    pub fn append_synthetic_answers(&mut self, to_caller: &mut BytesMut) {
        while let Some(front) = self.expected.front() {
            let tag = match front {
                ExpectedAnswer::SyntheticParse => frame::PARSE_COMPLETE,
                ExpectedAnswer::SyntheticClose => frame::CLOSE_COMPLETE,
                _ => return,
            };
            if !self.has_failed {
                message::put_empty(to_caller, tag);
            }
            self.expected.pop_front();
        }
    }
}

fn malformed_answer(tag: u8, reason: &str) -> frame::FrameError {
    frame::FrameError::BadContents {
        tag: frame::printable_tag(tag),
        reason: reason.to_owned(),
    }
}

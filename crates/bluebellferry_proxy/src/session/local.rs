//! Requests that the proxy answers without a database: statements about its own
//! settings, Parse messages for statements already known to be valid, and requests
//! in a transaction that a refusal has aborted.

use std::collections::HashMap;

use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::statement;
use bytes::BufMut;
use bytes::BytesMut;
use pgwire::messages::data;
use pgwire::messages::extendedquery;

use super::CallerSession;
use super::SessionEnd;
use super::exchange;
use super::hint;
use super::request;

/// The OID of PostgreSQL's type `text`.
const TEXT_TYPE_OID: u32 = 25;

/// The reply to a statement that the proxy answers itself.
#[derive(Debug)]
struct LocalReply {
    /// The command tag.
    command: &'static str,
    column: Option<LocalColumn>,
}

/// A result of one row and one column.
#[derive(Debug)]
struct LocalColumn {
    name: String,
    value: String,
}

impl LocalColumn {
    fn put_row_description(&self, out: &mut BytesMut) {
        let field = data::FieldDescription::new(self.name.clone(), 0, 0, TEXT_TYPE_OID, -1, -1, 0);
        message::put_message(out, &data::RowDescription::new(vec![field]));
    }

    fn put_row(&self, out: &mut BytesMut) {
        let mut body = BytesMut::new();
        body.put_i32(self.value.len() as i32);
        body.put_slice(self.value.as_bytes());
        message::put_message(out, &data::DataRow::new(body, 1));
    }
}

impl CallerSession {
    /// Answers a request if no database is needed for it; returns whether it was
    /// answered.
    pub(super) async fn answer_locally(
        &mut self,
        request: &request::BufferedRequest,
    ) -> Result<bool, SessionEnd> {
        let Some(first) = request.frames.first() else {
            return Ok(false);
        };
        if first.tag == frame::QUERY {
            return self.answer_simple_query(request, first).await;
        }
        let is_aborted_by_refusal = self.is_aborted_by_refusal();
        let is_transaction_failed = self.transaction == message::TransactionStatus::Failed;
        if !is_transaction_failed && self.answer_prepare(request).await? {
            return Ok(true);
        }
        let has_setting_statement = request.frames.iter().any(is_setting_parse);
        if !is_aborted_by_refusal && !has_setting_statement {
            return Ok(false);
        }
        self.answer_batch(request).await?;
        Ok(true)
    }

    /// Answers a batch that only prepares a statement which a database of the service
    /// has prepared before; returns whether the batch was answered.
    async fn answer_prepare(
        &mut self,
        request: &request::BufferedRequest,
    ) -> Result<bool, SessionEnd> {
        let [parse, sync] = request.frames.as_slice() else {
            return Ok(false);
        };
        if parse.tag != frame::PARSE || sync.tag != frame::SYNC {
            return Ok(false);
        }
        let parse = message::decode_message(parse)?;
        let (name, statement) = exchange::rename_statement(parse, &self.shared.statement_table);
        if !self
            .shared
            .prepared_registry
            .contains(&self.identity.service, statement.id)
        {
            return Ok(false);
        }
        self.statements.insert(name, statement);
        message::put_empty_frame(&mut self.send_buffer, frame::PARSE_COMPLETE);
        message::put_ready_for_query(&mut self.send_buffer, self.transaction);
        self.flush().await?;
        Ok(true)
    }

    /// Returns whether a refusal has aborted the open transaction, so that no database
    /// connection belongs to it any more.
    fn is_aborted_by_refusal(&self) -> bool {
        self.transaction == message::TransactionStatus::Failed && self.held_connection.is_none()
    }

    async fn answer_simple_query(
        &mut self,
        request: &request::BufferedRequest,
        query: &frame::WireFrame,
    ) -> Result<bool, SessionEnd> {
        let sql = message::query_text(query)?.to_owned();
        let reply = match self.reply_to(&sql) {
            None => return Ok(false),
            Some(Ok(reply)) => reply,
            Some(Err(refusal)) => {
                self.refuse_request(request, refusal).await?;
                return Ok(true);
            }
        };
        if let Some(column) = &reply.column {
            column.put_row_description(&mut self.send_buffer);
            column.put_row(&mut self.send_buffer);
        }
        message::put_command_complete(&mut self.send_buffer, reply.command);
        message::put_ready_for_query(&mut self.send_buffer, self.transaction);
        self.flush().await?;
        Ok(true)
    }

    /// Returns the reply to a statement that the proxy answers itself, `None` for
    /// other statements.
    fn reply_to(&mut self, sql: &str) -> Option<Result<LocalReply, refusal::RequestRefusal>> {
        if self.is_aborted_by_refusal() {
            return Some(self.reply_in_aborted_transaction(sql));
        }
        match hint::parse_setting_statement(sql) {
            Ok(None) => None,
            Ok(Some(statement)) => Some(self.apply_setting_statement(statement)),
            Err(refusal) => Some(Err(refusal)),
        }
    }

    /// Accepts only statements that end the transaction, like a database after an
    /// error.
    fn reply_in_aborted_transaction(
        &mut self,
        sql: &str,
    ) -> Result<LocalReply, refusal::RequestRefusal> {
        let statements = statement::split_statements(sql);
        let words = statements
            .first()
            .map(|first| first.leading_words(2))
            .unwrap_or_default();
        let is_to_savepoint = words == "ROLLBACK TO";
        let end_words = ["ROLLBACK", "COMMIT", "END", "ABORT"];
        let first = words.split(' ').next().unwrap_or("");
        if end_words.contains(&first) && !is_to_savepoint {
            self.transaction = message::TransactionStatus::Idle;
            self.restore_settings();
            return Ok(LocalReply {
                command: "ROLLBACK",
                column: None,
            });
        }
        let text = "the transaction was rolled back; end it before sending more";
        let reason = refusal::RefusalReason::TransactionAborted;
        Err(refusal::RequestRefusal::not_run(reason, text))
    }

    /// Applies a statement about a proxy setting and returns the reply.
    fn apply_setting_statement(
        &mut self,
        statement: hint::ProxySettingStatement,
    ) -> Result<LocalReply, refusal::RequestRefusal> {
        match statement {
            hint::ProxySettingStatement::Set(hint) => {
                self.apply_hint(hint)?;
                Ok(LocalReply {
                    command: "SET",
                    column: None,
                })
            }
            hint::ProxySettingStatement::Reset(name) => {
                self.apply_hint(hint::parse_hint(&name, "")?)?;
                Ok(LocalReply {
                    command: "RESET",
                    column: None,
                })
            }
            hint::ProxySettingStatement::Show(name) => {
                let value = self.show_hint(&name)?;
                let column = LocalColumn {
                    name: format!("{}{name}", hint::SETTING_PREFIX),
                    value,
                };
                Ok(LocalReply {
                    command: "SHOW",
                    column: Some(column),
                })
            }
        }
    }

    /// Sets a session option, or raises the session's floor.
    ///
    /// # Errors
    /// Refuses a `request_id`, which belongs to a single request.
    pub(super) fn apply_hint(
        &mut self,
        hint: hint::RequestHint,
    ) -> Result<(), refusal::RequestRefusal> {
        match hint {
            hint::RequestHint::Read(kind) => self.options.read_kind = kind,
            hint::RequestHint::Deadline(timeout) => self.options.request_timeout = timeout,
            hint::RequestHint::Position(position) => self.floor = self.floor.max(Some(position)),
            hint::RequestHint::RequestId(_) => {
                let text = "a request_id belongs to one request; give it in a leading comment";
                let reason = refusal::RefusalReason::InvalidSetting;
                return Err(refusal::RequestRefusal::not_run(reason, text));
            }
        }
        Ok(())
    }

    fn show_hint(&self, name: &str) -> Result<String, refusal::RequestRefusal> {
        match name {
            "read" => Ok(self
                .options
                .read_kind
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default()),
            "position" => Ok(self
                .floor
                .map(|floor| floor.to_string())
                .unwrap_or_default()),
            "deadline" => {
                let timeout = self
                    .options
                    .request_timeout
                    .unwrap_or(super::DEFAULT_REQUEST_TIMEOUT);
                Ok(timeout.as_millis().to_string())
            }
            _ => hint::parse_hint(name, "").map(|_| String::new()),
        }
    }

    /// Answers an extended-protocol batch with the messages that a database would
    /// send.
    async fn answer_batch(&mut self, request: &request::BufferedRequest) -> Result<(), SessionEnd> {
        let mut batch_sql = HashMap::new();
        let mut has_failed = false;
        let mut frames: std::collections::VecDeque<_> = request.frames.iter().cloned().collect();
        loop {
            let next = match frames.pop_front() {
                Some(next) => next,
                None => {
                    self.flush().await?;
                    self.read_frame().await?
                }
            };
            match next.tag {
                frame::SYNC => break,
                frame::TERMINATE => return Err(SessionEnd::CallerDisconnected),
                _ if has_failed => {}
                _ => {
                    if let Err(refusal) = self.answer_batch_frame(&next, &mut batch_sql)? {
                        self.record_refusal(&refusal);
                        let fields = message::ErrorFields::from_refusal(&refusal);
                        message::put_error_response(&mut self.send_buffer, &fields);
                        has_failed = true;
                    }
                }
            }
        }
        message::put_ready_for_query(&mut self.send_buffer, self.transaction);
        self.flush().await
    }

    /// Answers one message of a batch. The only entry of `batch_sql`, under the empty
    /// name, is the SQL text of the statement that the batch has parsed or bound.
    fn answer_batch_frame(
        &mut self,
        next: &frame::WireFrame,
        batch_sql: &mut HashMap<String, String>,
    ) -> Result<Result<(), refusal::RequestRefusal>, SessionEnd> {
        match next.tag {
            frame::PARSE => {
                let parse: extendedquery::Parse = message::decode_message(next)?;
                batch_sql.insert(String::new(), parse.query);
                message::put_empty_frame(&mut self.send_buffer, frame::PARSE_COMPLETE);
            }
            frame::BIND => {
                let name = message::bind_statement_name(next)?;
                if let Some(statement) = self.statements.get(name) {
                    batch_sql
                        .entry(String::new())
                        .or_insert_with(|| statement.sql.clone());
                }
                message::put_empty_frame(&mut self.send_buffer, frame::BIND_COMPLETE);
            }
            frame::DESCRIBE => {
                let describe: extendedquery::Describe = message::decode_message(next)?;
                if describe.target_type == b'S' {
                    let no_parameters = data::ParameterDescription::new(Vec::new());
                    message::put_message(&mut self.send_buffer, &no_parameters);
                }
                match self.shown_column(batch_sql) {
                    Some(column) => column.put_row_description(&mut self.send_buffer),
                    None => message::put_empty_frame(&mut self.send_buffer, frame::NO_DATA),
                }
            }
            frame::EXECUTE => {
                let sql = batch_sql.get("").cloned().unwrap_or_default();
                match self.reply_to(&sql) {
                    Some(Ok(reply)) => {
                        if let Some(column) = &reply.column {
                            column.put_row(&mut self.send_buffer);
                        }
                        message::put_command_complete(&mut self.send_buffer, reply.command);
                    }
                    Some(Err(refusal)) => return Ok(Err(refusal)),
                    None => return Ok(Err(mixed_batch_refusal())),
                }
            }
            frame::CLOSE => message::put_empty_frame(&mut self.send_buffer, frame::CLOSE_COMPLETE),
            _ => {}
        }
        Ok(Ok(()))
    }

    /// Returns the column of the `SHOW` statement in the batch, if there is one.
    fn shown_column(&self, batch_sql: &HashMap<String, String>) -> Option<LocalColumn> {
        let sql = batch_sql.get("")?;
        match hint::parse_setting_statement(sql) {
            Ok(Some(hint::ProxySettingStatement::Show(name))) => {
                let value = self.show_hint(&name).ok()?;
                Some(LocalColumn {
                    name: format!("{}{name}", hint::SETTING_PREFIX),
                    value,
                })
            }
            _ => None,
        }
    }
}

/// Returns whether a message is a Parse of a statement about a proxy setting.
fn is_setting_parse(frame: &frame::WireFrame) -> bool {
    if frame.tag != frame::PARSE {
        return false;
    }
    let parse: Result<extendedquery::Parse, _> = message::decode_message(frame);
    parse.is_ok_and(|parse| !matches!(hint::parse_setting_statement(&parse.query), Ok(None)))
}

fn mixed_batch_refusal() -> refusal::RequestRefusal {
    let text = "settings of the proxy must be sent in a batch of their own";
    refusal::RequestRefusal::not_run(refusal::RefusalReason::InvalidSetting, text)
}

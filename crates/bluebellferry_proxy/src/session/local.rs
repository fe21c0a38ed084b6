//! Requests that the proxy answers itself: its own settings, and the rest of a
//! transaction that was rolled back by a refusal.

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

/// PostgreSQL's type number of `text`.
const TEXT_TYPE: u32 = 25;

/// The proxy's own answer to a statement.
#[derive(Debug)]
struct LocalReply {
    command: &'static str,
    column: Option<LocalColumn>,
}

/// One column with one value.
#[derive(Debug)]
struct LocalColumn {
    name: String,
    value: String,
}

impl LocalColumn {
    fn put_shape(&self, out: &mut BytesMut) {
        let field = data::FieldDescription::new(self.name.clone(), 0, 0, TEXT_TYPE, -1, -1, 0);
        message::put_message(out, &data::RowDescription::new(vec![field]));
    }

    fn put_value(&self, out: &mut BytesMut) {
        let mut body = BytesMut::new();
        body.put_i32(self.value.len() as i32);
        body.put_slice(self.value.as_bytes());
        message::put_message(out, &data::DataRow::new(body, 1));
    }
}

impl CallerSession {
    /// Answers a request that no database needs to see. Returns whether it did.
    pub(super) async fn answer_locally(
        &mut self,
        request: &request::BufferedRequest,
    ) -> Result<bool, SessionEnd> {
        let Some(first) = request.frames.first() else {
            return Ok(false);
        };
        if first.tag == frame::QUERY {
            return self.answer_simple(request, first).await;
        }
        let aborted = self.is_aborted();
        let failed = self.transaction == message::TransactionState::Failed;
        if !failed && self.answer_prepare(request).await? {
            return Ok(true);
        }
        let local = request.frames.iter().any(is_local_parse);
        if !aborted && !local {
            return Ok(false);
        }
        self.answer_batch(request).await?;
        Ok(true)
    }

    /// Answers a batch that only prepares a statement already known to be valid.
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
        let (name, text) = exchange::prepare_statement(message::decode_message(parse)?)?;
        if !self
            .shared
            .prepared
            .contains(&self.identity.service, text.id)
        {
            return Ok(false);
        }
        self.statements.insert(name, text);
        message::put_empty(&mut self.send_buffer, frame::PARSE_COMPLETE);
        message::put_ready(&mut self.send_buffer, self.transaction);
        self.flush().await?;
        Ok(true)
    }

    fn is_aborted(&self) -> bool {
        self.transaction == message::TransactionState::Failed && self.held_connection.is_none()
    }

    async fn answer_simple(
        &mut self,
        request: &request::BufferedRequest,
        query: &frame::WireFrame,
    ) -> Result<bool, SessionEnd> {
        let text = message::query_text(query)?.to_owned();
        let reply = match self.reply_to(&text) {
            None => return Ok(false),
            Some(Ok(reply)) => reply,
            Some(Err(refusal)) => {
                self.refuse_request(request, refusal).await?;
                return Ok(true);
            }
        };
        if let Some(column) = &reply.column {
            column.put_shape(&mut self.send_buffer);
            column.put_value(&mut self.send_buffer);
        }
        message::put_command_complete(&mut self.send_buffer, reply.command);
        message::put_ready(&mut self.send_buffer, self.transaction);
        self.flush().await?;
        Ok(true)
    }

    /// Answers a statement that concerns only the proxy; `None` for others.
    fn reply_to(&mut self, text: &str) -> Option<Result<LocalReply, refusal::RequestRefusal>> {
        if self.is_aborted() {
            return Some(self.reply_in_aborted(text));
        }
        match hint::parse_setting_statement(text) {
            Ok(None) => None,
            Ok(Some(statement)) => Some(self.apply_local(statement)),
            Err(refusal) => Some(Err(refusal)),
        }
    }

    fn reply_in_aborted(&mut self, text: &str) -> Result<LocalReply, refusal::RequestRefusal> {
        let statements = statement::split_statements(text);
        let words = statements
            .first()
            .map(|first| first.leading_words(2))
            .unwrap_or_default();
        let to_savepoint = words == "ROLLBACK TO";
        let ends = ["ROLLBACK", "COMMIT", "END", "ABORT"];
        let first = words.split(' ').next().unwrap_or("");
        if ends.contains(&first) && !to_savepoint {
            self.transaction = message::TransactionState::Idle;
            return Ok(LocalReply {
                command: "ROLLBACK",
                column: None,
            });
        }
        let text = "the transaction was rolled back; end it before sending more";
        let reason = refusal::RefusalReason::TransactionAborted;
        Err(refusal::RequestRefusal::not_run(reason, text))
    }

    fn apply_local(
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

    /// Takes over a setting of the session.
    pub(super) fn apply_hint(
        &mut self,
        hint: hint::RequestHint,
    ) -> Result<(), refusal::RequestRefusal> {
        match hint {
            hint::RequestHint::Read(kind) => self.options.read_kind = kind,
            hint::RequestHint::Deadline(deadline) => self.options.request_timeout = deadline,
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
                let deadline = self.options.request_timeout.unwrap_or(super::DEFAULT_REQUEST_TIMEOUT);
                Ok(deadline.as_millis().to_string())
            }
            _ => hint::parse_hint(name, "").map(|_| String::new()),
        }
    }

    /// Answers an extended-protocol batch as a database would.
    async fn answer_batch(
        &mut self,
        request: &request::BufferedRequest,
    ) -> Result<(), SessionEnd> {
        let mut texts = HashMap::new();
        let mut failed = false;
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
                _ if failed => {}
                _ => {
                    if let Err(refusal) = self.answer_batch_frame(&next, &mut texts)? {
                        self.record_refusal(&refusal);
                        let fields = message::ErrorFields::from_refusal(&refusal);
                        message::put_error(&mut self.send_buffer, &fields);
                        failed = true;
                    }
                }
            }
        }
        message::put_ready(&mut self.send_buffer, self.transaction);
        self.flush().await
    }

    fn answer_batch_frame(
        &mut self,
        next: &frame::WireFrame,
        texts: &mut HashMap<String, String>,
    ) -> Result<Result<(), refusal::RequestRefusal>, SessionEnd> {
        match next.tag {
            frame::PARSE => {
                let parse: extendedquery::Parse = message::decode_message(next)?;
                texts.insert(String::new(), parse.query);
                message::put_empty(&mut self.send_buffer, frame::PARSE_COMPLETE);
            }
            frame::BIND => {
                let name = message::bind_statement_name(next)?;
                if let Some(prepared) = self.statements.get(name) {
                    texts
                        .entry(String::new())
                        .or_insert_with(|| prepared.sql.clone());
                }
                message::put_empty(&mut self.send_buffer, frame::BIND_COMPLETE);
            }
            frame::DESCRIBE => {
                let describe: extendedquery::Describe = message::decode_message(next)?;
                if describe.target_type == b'S' {
                    let none = data::ParameterDescription::new(Vec::new());
                    message::put_message(&mut self.send_buffer, &none);
                }
                match self.shown_column(texts) {
                    Some(column) => column.put_shape(&mut self.send_buffer),
                    None => message::put_empty(&mut self.send_buffer, frame::NO_DATA),
                }
            }
            frame::EXECUTE => {
                let text = texts.get("").cloned().unwrap_or_default();
                match self.reply_to(&text) {
                    Some(Ok(reply)) => {
                        if let Some(column) = &reply.column {
                            column.put_value(&mut self.send_buffer);
                        }
                        message::put_command_complete(&mut self.send_buffer, reply.command);
                    }
                    Some(Err(refusal)) => return Ok(Err(refusal)),
                    None => return Ok(Err(mixed_batch_refusal())),
                }
            }
            frame::CLOSE => message::put_empty(&mut self.send_buffer, frame::CLOSE_COMPLETE),
            _ => {}
        }
        Ok(Ok(()))
    }

    fn shown_column(&self, texts: &HashMap<String, String>) -> Option<LocalColumn> {
        let text = texts.get("")?;
        match hint::parse_setting_statement(text) {
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

fn is_local_parse(frame: &frame::WireFrame) -> bool {
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

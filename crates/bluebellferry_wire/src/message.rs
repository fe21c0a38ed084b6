//! The frames whose contents the proxy and the stand-ins read or write.

use bluebellferry_types::refusal;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::response;
use pgwire::messages::simplequery;

use crate::frame;

/// The state of a session's transaction, as ReadyForQuery states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction has failed and waits for its end.
    Failed,
}

impl TransactionState {
    /// Returns the byte that stands for the state on the wire.
    pub const fn wire_byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Open => b'T',
            Self::Failed => b'E',
        }
    }

    /// Reads the state from a ReadyForQuery frame.
    ///
    /// # Errors
    /// Fails on any other body.
    pub fn from_frame(ready: &frame::WireFrame) -> Result<Self, frame::FrameError> {
        match ready.body() {
            [b'I'] => Ok(Self::Idle),
            [b'T'] => Ok(Self::Open),
            [b'E'] => Ok(Self::Failed),
            _ => Err(bad_contents(ready.tag, "unknown transaction state")),
        }
    }
}

fn bad_contents(tag: u8, reason: impl std::fmt::Display) -> frame::FrameError {
    let tag = frame::printable_tag(tag);
    frame::FrameError::InvalidBody {
        tag,
        reason: reason.to_string(),
    }
}

/// Appends a message to `out`.
///
/// # Panics
/// Panics when the message is longer than the protocol allows, which the
/// messages built in this workspace never are.
pub fn put_message<M: Message>(out: &mut BytesMut, message: &M) {
    message
        .encode(out)
        .expect("messages built here fit the protocol's limits");
}

/// Decodes the contents of a frame.
///
/// # Errors
/// Fails when the body does not hold the message.
pub fn decode_message<M: Message>(frame: &frame::WireFrame) -> Result<M, frame::FrameError> {
    let mut body = BytesMut::from(frame.body());
    let length = body.len() + 4;
    M::decode_body(&mut body, length, &DecodeContext::default())
        .map_err(|error| bad_contents(frame.tag, error))
}

/// Encodes a simple query.
pub fn encode_query(text: &str) -> BytesMut {
    let mut out = BytesMut::new();
    put_message(&mut out, &simplequery::Query::new(text.to_owned()));
    out
}

/// Returns the text of a simple query without copying it.
///
/// # Errors
/// Fails when the text is not UTF-8 or not terminated.
pub fn query_text(query: &frame::WireFrame) -> Result<&str, frame::FrameError> {
    let text = query
        .body()
        .strip_suffix(&[0])
        .ok_or_else(|| bad_contents(query.tag, "no end"))?;
    std::str::from_utf8(text).map_err(|error| bad_contents(query.tag, error))
}

/// Appends ReadyForQuery.
pub fn put_ready_for_query(out: &mut BytesMut, state: TransactionState) {
    out.put_slice(&[frame::READY_FOR_QUERY, 0, 0, 0, 5, state.wire_byte()]);
}

/// Appends an empty frame with the given tag, such as ParseComplete.
pub fn put_empty_frame(out: &mut BytesMut, tag: u8) {
    out.put_slice(&[tag, 0, 0, 0, 4]);
}

/// Appends CommandComplete.
pub fn put_command_complete(out: &mut BytesMut, command: &str) {
    put_message(out, &response::CommandComplete::new(command.to_owned()));
}

/// Appends ParameterStatus.
pub fn put_parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    let status = pgwire::messages::startup::ParameterStatus::new(name.to_owned(), value.to_owned());
    put_message(out, &status);
}

/// The fields of an error that the proxy and the stand-ins look at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorFields {
    /// `ERROR` or `FATAL`.
    pub severity: String,
    /// The five-character SQLSTATE.
    pub sqlstate: String,
    /// The message.
    pub message: String,
    /// The detail, possibly empty.
    pub detail: String,
    /// The hint, possibly empty.
    pub hint: String,
}

impl ErrorFields {
    /// Creates the fields of an `ERROR`.
    pub fn error(sqlstate: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "ERROR".to_owned(),
            sqlstate: sqlstate.to_owned(),
            message: message.into(),
            detail: String::new(),
            hint: String::new(),
        }
    }

    /// Creates the fields that tell a caller of a refusal.
    pub fn from_refusal(refusal: &refusal::RequestRefusal) -> Self {
        let hint = match (refusal.retry_after, refusal.execution) {
            (_, refusal::RequestExecution::Unknown) => {
                "The request may have taken effect; check before sending it again.".to_owned()
            }
            (Some(wait), _) => format!("Try again in {} ms.", wait.as_millis().max(1)),
            (None, _) => "Sending the same request again will not help.".to_owned(),
        };
        Self {
            severity: "ERROR".to_owned(),
            sqlstate: refusal.reason.sqlstate().to_owned(),
            message: refusal.message.clone(),
            detail: refusal.detail(),
            hint,
        }
    }

    /// Turns the error into one that ends the session.
    #[must_use]
    pub fn into_fatal(mut self) -> Self {
        self.severity = "FATAL".to_owned();
        self
    }

    /// Reads the fields of an ErrorResponse.
    ///
    /// # Errors
    /// Fails when the body does not hold error fields.
    pub fn from_frame(error: &frame::WireFrame) -> Result<Self, frame::FrameError> {
        let response: response::ErrorResponse = decode_message(error)?;
        let field = |code: u8| {
            let found = response.fields.iter().find(|(tag, _)| *tag == code);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        Ok(Self {
            severity: field(b'S'),
            sqlstate: field(b'C'),
            message: field(b'M'),
            detail: field(b'D'),
            hint: field(b'H'),
        })
    }
}

/// Appends ErrorResponse.
pub fn put_error_response(out: &mut BytesMut, error: &ErrorFields) {
    let mut fields = vec![
        (b'S', error.severity.clone()),
        (b'V', error.severity.clone()),
        (b'C', error.sqlstate.clone()),
        (b'M', error.message.clone()),
    ];
    if !error.detail.is_empty() {
        fields.push((b'D', error.detail.clone()));
    }
    if !error.hint.is_empty() {
        fields.push((b'H', error.hint.clone()));
    }
    put_message(out, &response::ErrorResponse::new(fields));
}

/// Splits the NUL-terminated text at the start of `bytes` from the rest.
fn split_text(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// Returns the name of the statement that a Bind refers to.
///
/// # Errors
/// Fails when the names are not terminated or not UTF-8.
pub fn bind_statement_name(bind: &frame::WireFrame) -> Result<&str, frame::FrameError> {
    let names = split_text(bind.body()).and_then(|(_, rest)| split_text(rest));
    let (name, _) = names.ok_or_else(|| bad_contents(bind.tag, "names are not terminated"))?;
    std::str::from_utf8(name).map_err(|error| bad_contents(bind.tag, error))
}

/// Returns a Bind that refers to `name` instead of its own statement.
///
/// # Errors
/// Fails when the names are not terminated.
pub fn rewrite_bind(bind: &frame::WireFrame, name: &str) -> Result<Bytes, frame::FrameError> {
    let parts = split_text(bind.body())
        .and_then(|(portal, rest)| split_text(rest).map(|(_, values)| (portal, values)));
    let (portal, values) =
        parts.ok_or_else(|| bad_contents(bind.tag, "names are not terminated"))?;
    let length = 4 + portal.len() + 1 + name.len() + 1 + values.len();
    let mut out = BytesMut::with_capacity(length + 1);
    out.put_u8(frame::BIND);
    out.put_u32(length as u32);
    out.put_slice(portal);
    out.put_u8(0);
    out.put_slice(name.as_bytes());
    out.put_u8(0);
    out.put_slice(values);
    Ok(out.freeze())
}

//! Decoding and encoding of the messages whose contents the proxy or the
//! stand-in database server (`bluebellferry_standin_database`) needs.

use bluebellferry_types::refusal;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::response;
use pgwire::messages::simplequery;

use crate::frame;

/// The transaction status of a session, as ReadyForQuery reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction block is open.
    Idle,
    /// A transaction block is open.
    Open,
    /// The open transaction block has failed; all statements are rejected until
    /// it ends.
    Failed,
}

impl TransactionStatus {
    /// Returns the byte that encodes the status in ReadyForQuery.
    pub const fn wire_byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Open => b'T',
            Self::Failed => b'E',
        }
    }

    /// Decodes the status of a ReadyForQuery frame.
    ///
    /// # Errors
    /// Fails if the body is not one of the three status bytes.
    pub fn from_frame(ready: &frame::WireFrame) -> Result<Self, frame::FrameError> {
        match ready.body() {
            [b'I'] => Ok(Self::Idle),
            [b'T'] => Ok(Self::Open),
            [b'E'] => Ok(Self::Failed),
            _ => Err(invalid_body(ready.tag, "unknown transaction state")),
        }
    }
}

fn invalid_body(tag: u8, reason: impl std::fmt::Display) -> frame::FrameError {
    let tag = frame::printable_tag(tag);
    frame::FrameError::InvalidBody {
        tag,
        reason: reason.to_string(),
    }
}

/// Appends an encoded message to `out`.
///
/// # Panics
/// Panics if the message is longer than the protocol allows. The messages that the
/// proxy and the stand-in database server build never are.
pub fn put_message<M: Message>(out: &mut BytesMut, message: &M) {
    message
        .encode(out)
        .expect("built messages are within the protocol's length limit");
}

/// Decodes a frame as a message of type `M`.
///
/// # Errors
/// Fails if the body is not a valid message of this type.
pub fn decode_message<M: Message>(frame: &frame::WireFrame) -> Result<M, frame::FrameError> {
    let mut body = BytesMut::from(frame.body());
    let length = body.len() + 4;
    M::decode_body(&mut body, length, &DecodeContext::default())
        .map_err(|error| invalid_body(frame.tag, error))
}

/// Encodes a simple query as a Query frame.
pub fn encode_query(text: &str) -> BytesMut {
    let mut out = BytesMut::new();
    put_message(&mut out, &simplequery::Query::new(text.to_owned()));
    out
}

/// Returns the SQL text of a Query frame without copying it.
///
/// # Errors
/// Fails if the text is not UTF-8 or lacks its NUL terminator.
pub fn query_text(query: &frame::WireFrame) -> Result<&str, frame::FrameError> {
    let text = query
        .body()
        .strip_suffix(&[0])
        .ok_or_else(|| invalid_body(query.tag, "no end"))?;
    std::str::from_utf8(text).map_err(|error| invalid_body(query.tag, error))
}

/// Appends a ReadyForQuery frame.
pub fn put_ready_for_query(out: &mut BytesMut, status: TransactionStatus) {
    out.put_slice(&[frame::READY_FOR_QUERY, 0, 0, 0, 5, status.wire_byte()]);
}

/// Appends a frame without a body, such as ParseComplete.
pub fn put_empty_frame(out: &mut BytesMut, tag: u8) {
    out.put_slice(&[tag, 0, 0, 0, 4]);
}

/// Appends a CommandComplete frame with the given command tag.
pub fn put_command_complete(out: &mut BytesMut, command_tag: &str) {
    put_message(out, &response::CommandComplete::new(command_tag.to_owned()));
}

/// Appends a ParameterStatus frame.
pub fn put_parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    let status = pgwire::messages::startup::ParameterStatus::new(name.to_owned(), value.to_owned());
    put_message(out, &status);
}

/// The fields of an ErrorResponse that the proxy and the stand-in database
/// server use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorFields {
    /// `ERROR` or `FATAL`.
    pub severity: String,
    /// The five-character SQLSTATE.
    pub sqlstate: String,
    /// The primary error message.
    pub message: String,
    /// The detail; empty if there is none.
    pub detail: String,
    /// The hint; empty if there is none.
    pub hint: String,
}

impl ErrorFields {
    /// Creates the fields of an `ERROR` without detail and hint.
    pub fn error(sqlstate: &str, message: impl Into<String>) -> Self {
        Self {
            severity: "ERROR".to_owned(),
            sqlstate: sqlstate.to_owned(),
            message: message.into(),
            detail: String::new(),
            hint: String::new(),
        }
    }

    /// Creates the fields of the `ERROR` that reports a refusal to the caller.
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

    /// Raises the severity to `FATAL`, which announces that the session ends.
    #[must_use]
    pub fn into_fatal(mut self) -> Self {
        self.severity = "FATAL".to_owned();
        self
    }

    /// Decodes the fields of an ErrorResponse frame.
    ///
    /// # Errors
    /// Fails if the body is not a valid ErrorResponse.
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

/// Appends an ErrorResponse frame.
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

/// Splits the NUL-terminated string at the start of `bytes` from the rest.
fn split_c_string(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// Returns the name of the prepared statement in a Bind frame.
///
/// # Errors
/// Fails if the portal or statement name lacks its NUL terminator, or if the
/// statement name is not UTF-8.
pub fn bind_statement_name(bind: &frame::WireFrame) -> Result<&str, frame::FrameError> {
    let names = split_c_string(bind.body()).and_then(|(_, rest)| split_c_string(rest));
    let (name, _) = names.ok_or_else(|| invalid_body(bind.tag, "names are not terminated"))?;
    std::str::from_utf8(name).map_err(|error| invalid_body(bind.tag, error))
}

/// Returns a copy of a Bind frame with its prepared statement's name replaced by
/// `name`.
///
/// # Errors
/// Fails if the portal or statement name lacks its NUL terminator.
pub fn rewrite_bind(bind: &frame::WireFrame, name: &str) -> Result<Bytes, frame::FrameError> {
    let parts = split_c_string(bind.body())
        .and_then(|(portal, rest)| split_c_string(rest).map(|(_, values)| (portal, values)));
    let (portal, values) =
        parts.ok_or_else(|| invalid_body(bind.tag, "names are not terminated"))?;
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

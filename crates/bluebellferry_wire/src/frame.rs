//! Splitting of bytes into protocol frames: a tag byte, a four-byte length and a
//! body.

use bytes::Bytes;
use bytes::BytesMut;

/// The length of the header before a frame's body, in bytes: tag and length
/// field.
pub const HEADER_BYTES: usize = 5;
/// The largest value of the length field that PostgreSQL accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 0x3fff_ffff;

/// From the caller: Query, a simple query.
pub const QUERY: u8 = b'Q';
/// From the caller: Parse, prepares a statement.
pub const PARSE: u8 = b'P';
/// From the caller: Bind, binds a prepared statement to a portal.
pub const BIND: u8 = b'B';
/// From the caller: Describe, requests the parameter and column types of a
/// statement, or the column types of a portal.
pub const DESCRIBE: u8 = b'D';
/// From the caller: Execute, runs a portal.
pub const EXECUTE: u8 = b'E';
/// From the caller: Close, closes a statement or portal.
pub const CLOSE: u8 = b'C';
/// From the caller: Sync, ends a sequence of extended-query messages.
pub const SYNC: u8 = b'S';
/// From the caller: Flush, requests all pending responses.
pub const FLUSH: u8 = b'H';
/// From the caller: Terminate, ends the session.
pub const TERMINATE: u8 = b'X';
/// From the caller: PasswordMessage or a SASL response.
pub const PASSWORD: u8 = b'p';
/// From either side: CopyData, a chunk of COPY data.
pub const COPY_DATA: u8 = b'd';
/// From either side: CopyDone, the end of COPY data.
pub const COPY_DONE: u8 = b'c';
/// From the caller: CopyFail, aborts COPY FROM STDIN.
pub const COPY_FAIL: u8 = b'f';
/// From the database: an authentication request, or AuthenticationOk.
pub const AUTHENTICATION: u8 = b'R';
/// From the database: ParameterStatus, the value of a run-time parameter.
pub const PARAMETER_STATUS: u8 = b'S';
/// From the database: BackendKeyData, the process id and secret key for cancel
/// requests.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// From the database: ReadyForQuery, with the transaction status.
pub const READY_FOR_QUERY: u8 = b'Z';
/// From the database: ErrorResponse.
pub const ERROR_RESPONSE: u8 = b'E';
/// From the database: NoticeResponse, a warning or other notice.
pub const NOTICE_RESPONSE: u8 = b'N';
/// From the database: NotificationResponse, sent for LISTEN and NOTIFY.
pub const NOTIFICATION: u8 = b'A';
/// From the database: CommandComplete, a statement has finished.
pub const COMMAND_COMPLETE: u8 = b'C';
/// From the database: EmptyQueryResponse, the query string was empty.
pub const EMPTY_QUERY: u8 = b'I';
/// From the database: PortalSuspended, the row limit of Execute was reached and
/// the portal may have more rows.
pub const PORTAL_SUSPENDED: u8 = b's';
/// From the database: ParseComplete, a statement has been prepared.
pub const PARSE_COMPLETE: u8 = b'1';
/// From the database: BindComplete, a portal has been bound.
pub const BIND_COMPLETE: u8 = b'2';
/// From the database: CloseComplete, a statement or portal has been closed.
pub const CLOSE_COMPLETE: u8 = b'3';
/// From the database: RowDescription, the columns of the rows that follow.
pub const ROW_DESCRIPTION: u8 = b'T';
/// From the database: NoData, the statement returns no rows.
pub const NO_DATA: u8 = b'n';
/// From the database: ParameterDescription, the types of a statement's
/// parameters.
pub const PARAMETER_DESCRIPTION: u8 = b't';
/// From the database: DataRow, a row.
pub const DATA_ROW: u8 = b'D';
/// From the database: CopyInResponse, ready to receive COPY data.
pub const COPY_IN: u8 = b'G';
/// From the database: CopyOutResponse, COPY data follows.
pub const COPY_OUT: u8 = b'H';

/// The reason bytes are not a valid frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length field is below its minimum, 4 (8 for a start-up packet), or
    /// above its maximum.
    #[error("the frame '{tag}' states the impossible length {length}")]
    InvalidLength {
        /// The tag as a printable character.
        tag: char,
        /// The value of the length field, in bytes.
        length: u32,
    },
    /// The frame is longer than the limit.
    #[error("the frame '{tag}' has {length} bytes; at most {limit} are accepted")]
    TooLong {
        /// The tag as a printable character.
        tag: char,
        /// The frame's length including its header, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body cannot be decoded.
    #[error("the frame '{tag}' cannot be decoded: {reason}")]
    InvalidBody {
        /// The tag as a printable character.
        tag: char,
        /// What is wrong with the body.
        reason: String,
    },
}

/// A complete frame, including its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireFrame {
    /// The tag byte, which gives the message type.
    pub tag: u8,
    /// The frame's bytes, including the header.
    pub bytes: Bytes,
}

impl WireFrame {
    /// Returns the bytes after the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Returns a tag as a character for error texts, or `?` if it is not printable.
pub fn printable_tag(tag: u8) -> char {
    if tag.is_ascii_graphic() {
        tag as char
    } else {
        '?'
    }
}

/// Returns the length in bytes, including the header, of the frame at the start
/// of `buffer`, or `None` if the header is incomplete.
///
/// # Errors
/// Fails if the length field is invalid or the frame is longer than `limit`
/// bytes.
pub fn frame_length(buffer: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length_field = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]);
    let tag = printable_tag(buffer[0]);
    if length_field < 4 || length_field as usize > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength {
            tag,
            length: length_field,
        });
    }
    let length = length_field as usize + 1;
    if length > limit {
        return Err(FrameError::TooLong { tag, length, limit });
    }
    Ok(Some(length))
}

/// Removes one frame from the front of `buffer`, or returns `None` if the frame
/// is incomplete.
///
/// # Errors
/// Fails as [`frame_length`] does.
pub fn take_frame(buffer: &mut BytesMut, limit: usize) -> Result<Option<WireFrame>, FrameError> {
    match frame_length(buffer, limit)? {
        Some(length) if buffer.len() >= length => {
            let bytes = buffer.split_to(length).freeze();
            Ok(Some(WireFrame {
                tag: bytes[0],
                bytes,
            }))
        }
        _ => Ok(None),
    }
}

/// The largest accepted start-up packet, in bytes.
pub const MAX_STARTUP_BYTES: usize = 10_000;

/// Removes one start-up packet, which has no tag, from the front of `buffer`, or
/// returns `None` if the packet is incomplete.
///
/// # Errors
/// Fails if the length field is not between 8 and [`MAX_STARTUP_BYTES`].
pub fn take_startup(buffer: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
    if buffer.len() < 4 {
        return Ok(None);
    }
    let length_field = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]);
    let length = length_field as usize;
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength {
            tag: ' ',
            length: length_field,
        });
    }
    if buffer.len() < length {
        return Ok(None);
    }
    Ok(Some(buffer.split_to(length)))
}

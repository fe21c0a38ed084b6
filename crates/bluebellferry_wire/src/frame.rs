//! Frames: one tag byte, a length of four bytes, and a body.

use bytes::Bytes;
use bytes::BytesMut;

/// The bytes before a frame's body.
pub const HEADER_BYTES: usize = 5;
/// The largest length that PostgreSQL itself accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 0x3fff_ffff;

/// Caller: a simple query.
pub const QUERY: u8 = b'Q';
/// Caller: prepares a statement.
pub const PARSE: u8 = b'P';
/// Caller: binds a prepared statement to a portal.
pub const BIND: u8 = b'B';
/// Caller: asks for the shape of a statement or portal.
pub const DESCRIBE: u8 = b'D';
/// Caller: runs a portal.
pub const EXECUTE: u8 = b'E';
/// Caller: closes a statement or portal.
pub const CLOSE: u8 = b'C';
/// Caller: ends an extended-protocol batch.
pub const SYNC: u8 = b'S';
/// Caller: asks for all answers so far.
pub const FLUSH: u8 = b'H';
/// Caller: ends the session.
pub const TERMINATE: u8 = b'X';
/// Caller: a password or SASL answer.
pub const PASSWORD: u8 = b'p';
/// Both: a piece of COPY data.
pub const COPY_DATA: u8 = b'd';
/// Both: the end of COPY data.
pub const COPY_DONE: u8 = b'c';
/// Caller: COPY data cannot be supplied.
pub const COPY_FAIL: u8 = b'f';
/// Database: authentication request or success.
pub const AUTHENTICATION: u8 = b'R';
/// Database: a parameter's value.
pub const PARAMETER_STATUS: u8 = b'S';
/// Database: the data that a cancel request needs.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// Database: ready for the next request.
pub const READY_FOR_QUERY: u8 = b'Z';
/// Database: an error.
pub const ERROR_RESPONSE: u8 = b'E';
/// Database: a notice.
pub const NOTICE_RESPONSE: u8 = b'N';
/// Database: a notification.
pub const NOTIFICATION: u8 = b'A';
/// Database: a statement has finished.
pub const COMMAND_COMPLETE: u8 = b'C';
/// Database: the query string was empty.
pub const EMPTY_QUERY: u8 = b'I';
/// Database: the portal has more rows.
pub const PORTAL_SUSPENDED: u8 = b's';
/// Database: a statement has been prepared.
pub const PARSE_COMPLETE: u8 = b'1';
/// Database: a portal has been bound.
pub const BIND_COMPLETE: u8 = b'2';
/// Database: a statement or portal has been closed.
pub const CLOSE_COMPLETE: u8 = b'3';
/// Database: the shape of rows.
pub const ROW_DESCRIPTION: u8 = b'T';
/// Database: a statement returns no rows.
pub const NO_DATA: u8 = b'n';
/// Database: the types of parameters.
pub const PARAMETER_DESCRIPTION: u8 = b't';
/// Database: a row.
pub const DATA_ROW: u8 = b'D';
/// Database: ready to take COPY data.
pub const COPY_IN: u8 = b'G';
/// Database: COPY data follows.
pub const COPY_OUT: u8 = b'H';

/// The reason bytes do not form a frame.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length field is below its minimum of 4.
    #[error("the frame '{tag}' states the impossible length {length}")]
    InvalidLength {
        /// The tag as a printable character.
        tag: char,
        /// The stated length in bytes.
        length: u32,
    },
    /// The frame is longer than the limit.
    #[error("the frame '{tag}' has {length} bytes; at most {limit} are accepted")]
    TooLong {
        /// The tag as a printable character.
        tag: char,
        /// The stated length in bytes.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The contents cannot be decoded.
    #[error("the frame '{tag}' cannot be decoded: {reason}")]
    InvalidBody {
        /// The tag as a printable character.
        tag: char,
        /// What is wrong.
        reason: String,
    },
}

/// A whole frame, header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireFrame {
    /// The tag byte.
    pub tag: u8,
    /// The frame's bytes, header included.
    pub bytes: Bytes,
}

impl WireFrame {
    /// Returns the bytes after the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// Returns a tag as a character that can be shown.
pub fn printable_tag(tag: u8) -> char {
    if tag.is_ascii_graphic() {
        tag as char
    } else {
        '?'
    }
}

/// Returns the full length of the frame that `buffer` starts with, header
/// included, or `None` while the header is incomplete.
///
/// # Errors
/// Fails on an impossible length or one over `limit` bytes.
pub fn frame_length(buffer: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let stated = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]);
    let tag = printable_tag(buffer[0]);
    if stated < 4 || stated as usize > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength {
            tag,
            length: stated,
        });
    }
    let length = stated as usize + 1;
    if length > limit {
        return Err(FrameError::TooLong { tag, length, limit });
    }
    Ok(Some(length))
}

/// Cuts one whole frame off the front of `buffer`; `None` while incomplete.
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

/// The largest start-up packet, in bytes.
pub const MAX_STARTUP_BYTES: usize = 10_000;

/// Cuts one start-up packet, which has no tag, off the front of `buffer`.
///
/// # Errors
/// Fails on a length outside 8 to [`MAX_STARTUP_BYTES`].
pub fn take_startup(buffer: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
    if buffer.len() < 4 {
        return Ok(None);
    }
    let stated = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]);
    let length = stated as usize;
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength {
            tag: ' ',
            length: stated,
        });
    }
    if buffer.len() < length {
        return Ok(None);
    }
    Ok(Some(buffer.split_to(length)))
}

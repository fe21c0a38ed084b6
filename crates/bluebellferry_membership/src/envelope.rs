//! Coding and authentication of messages between VMs.

use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;

use crate::message;

/// The version of the protocol; others are refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// The largest datagram that is read or sent, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// The bytes of the authentication code at a datagram's start.
const CODE_BYTES: usize = 16;

type MessageCode = hmac::Hmac<sha2::Sha256>;

/// The reason a datagram is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The datagram is too short to hold anything.
    #[error("the datagram is too short")]
    TooShort,
    /// The code does not fit: another environment, another secret, or damage.
    #[error("the datagram's authentication code does not fit")]
    NotAuthentic,
    /// The sender speaks another version of the protocol.
    #[error("the sender speaks protocol version {0}")]
    OtherVersion(u8),
    /// The contents cannot be decoded.
    #[error("the message cannot be decoded: {0}")]
    Malformed(String),
}

#[derive(Debug, Serialize, Deserialize)]
struct EnvelopeWire {
    version: u8,
    incarnation: u64,
    sequence: u64,
    message: message::PeerMessage,
}

/// A message with its sender's incarnation.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenedEnvelope {
    /// Drawn anew at each start of the sender; later starts have higher ones.
    pub incarnation: u64,
    /// The sender's number for this message.
    pub sequence: u64,
    /// The message.
    pub message: message::PeerMessage,
}

/// Seals and opens messages of one environment.
#[derive(Clone)]
pub struct EnvelopeCodec {
    code: MessageCode,
}

impl std::fmt::Debug for EnvelopeCodec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("EnvelopeCodec")
    }
}

impl EnvelopeCodec {
    /// Creates a codec; the environment's name is part of every code.
    ///
    /// # Panics
    /// Never: the code takes secrets of any length.
    pub fn new(environment: &str, secret: &[u8]) -> Self {
        let mut code = MessageCode::new_from_slice(secret).expect("any length is accepted");
        code.update(environment.as_bytes());
        code.update(&[0]);
        Self { code }
    }

    /// Codes a message.
    ///
    /// # Panics
    /// Never: every message can be coded.
    pub fn seal(&self, incarnation: u64, sequence: u64, message: &message::PeerMessage) -> Vec<u8> {
        let message = message.clone();
        let wire = EnvelopeWire {
            version: PROTOCOL_VERSION,
            incarnation,
            sequence,
            message,
        };
        let body = postcard::to_stdvec(&wire).expect("messages can be coded");
        let mut bytes = self.code_of(&body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    /// Fails on foreign, damaged and undecodable datagrams.
    pub fn open(&self, datagram: &[u8]) -> Result<OpenedEnvelope, EnvelopeError> {
        if datagram.len() <= CODE_BYTES {
            return Err(EnvelopeError::TooShort);
        }
        let (code, body) = datagram.split_at(CODE_BYTES);
        let expected = self.code.clone().chain_update(body);
        if expected.verify_truncated_left(code).is_err() {
            return Err(EnvelopeError::NotAuthentic);
        }
        decode_body(body)
    }

    fn code_of(&self, body: &[u8]) -> [u8; CODE_BYTES] {
        let full = self.code.clone().chain_update(body).finalize().into_bytes();
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&full[..CODE_BYTES]);
        code
    }
}

/// Decodes the part of a datagram after its authentication code.
///
/// # Errors
/// Fails on other versions of the protocol and on undecodable bytes.
pub fn decode_body(body: &[u8]) -> Result<OpenedEnvelope, EnvelopeError> {
    match body.first() {
        Some(&PROTOCOL_VERSION) => {}
        Some(&other) => return Err(EnvelopeError::OtherVersion(other)),
        None => return Err(EnvelopeError::TooShort),
    }
    let wire: EnvelopeWire =
        postcard::from_bytes(body).map_err(|error| EnvelopeError::Malformed(error.to_string()))?;
    Ok(OpenedEnvelope {
        incarnation: wire.incarnation,
        sequence: wire.sequence,
        message: wire.message,
    })
}

//! Encoding and authentication of the messages between VMs.

use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;

use crate::message;

/// The version of the protocol; datagrams of other versions are rejected.
pub const PROTOCOL_VERSION: u8 = 4;
/// The maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
/// The length of the message authentication code (MAC) at the start of a datagram, in
/// bytes.
const MAC_BYTES: usize = 16;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// The reason why a datagram is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EnvelopeError {
    /// The datagram is too short to contain a message.
    #[error("the datagram is too short")]
    TooShort,
    /// The authentication code does not match: the sender uses another environment or
    /// another secret, or the datagram is corrupted.
    #[error("the datagram's authentication code does not match")]
    NotAuthentic,
    /// The sender uses another version of the protocol.
    #[error("the sender uses protocol version {0}")]
    OtherVersion(u8),
    /// The contents of the datagram cannot be decoded.
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

/// An authenticated message with the sender's incarnation and sequence number.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenedEnvelope {
    /// The number that identifies one start of the sender; later starts have higher
    /// numbers.
    pub incarnation: u64,
    /// The sender's sequence number of this message.
    pub sequence: u64,
    /// The message.
    pub message: message::PeerMessage,
}

/// Encodes, authenticates and decodes the messages of one environment.
#[derive(Clone)]
pub struct EnvelopeCodec {
    mac: HmacSha256,
}

impl std::fmt::Debug for EnvelopeCodec {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("EnvelopeCodec")
    }
}

impl EnvelopeCodec {
    /// Creates a codec. The environment's name is part of every authentication code, so
    /// that datagrams of another environment are rejected.
    ///
    /// # Panics
    /// Never: HMAC accepts secrets of any length.
    pub fn new(environment: &str, secret: &[u8]) -> Self {
        let mut mac = HmacSha256::new_from_slice(secret).expect("any length is accepted");
        mac.update(environment.as_bytes());
        mac.update(&[0]);
        Self { mac }
    }

    /// Encodes a message and prepends its authentication code.
    ///
    /// # Panics
    /// Never: every message can be encoded.
    pub fn seal(&self, incarnation: u64, sequence: u64, message: &message::PeerMessage) -> Vec<u8> {
        let message = message.clone();
        let wire = EnvelopeWire {
            version: PROTOCOL_VERSION,
            incarnation,
            sequence,
            message,
        };
        let body = postcard::to_stdvec(&wire).expect("messages can be encoded");
        let mut bytes = self.mac_of(&body).to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Checks the authentication code of a datagram and decodes the message.
    ///
    /// # Errors
    /// Fails if the authentication code does not match or the message cannot be decoded.
    pub fn open(&self, datagram: &[u8]) -> Result<OpenedEnvelope, EnvelopeError> {
        if datagram.len() <= MAC_BYTES {
            return Err(EnvelopeError::TooShort);
        }
        let (mac, body) = datagram.split_at(MAC_BYTES);
        let expected = self.mac.clone().chain_update(body);
        if expected.verify_truncated_left(mac).is_err() {
            return Err(EnvelopeError::NotAuthentic);
        }
        decode_body(body)
    }

    fn mac_of(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let full = self.mac.clone().chain_update(body).finalize().into_bytes();
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&full[..MAC_BYTES]);
        mac
    }
}

/// Decodes the part of a datagram that follows the authentication code.
///
/// # Errors
/// Fails if the sender uses another version of the protocol or the bytes cannot be decoded.
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

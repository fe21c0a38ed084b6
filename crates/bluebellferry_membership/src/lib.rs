//! How VMs know of each other: heartbeats, incarnations and the messages that
//! carry news and rate tokens between them.
//!
//! [`roster`] decides who is live, [`circle`] who sends heartbeats to whom; [`envelope`] authenticates and codes the
//! messages of [`message`]. Nothing here opens a socket.
//!
//! ```
//! use bluebellferry_membership::envelope::EnvelopeCodec;
//! use bluebellferry_membership::message::PeerMessage;
//!
//! let codec = EnvelopeCodec::new("trial", b"shared secret");
//! let bytes = codec.seal(7, 1, &PeerMessage::Goodbye);
//! let opened = codec.open(&bytes)?;
//! assert_eq!(opened.message, PeerMessage::Goodbye);
//! # Ok::<(), bluebellferry_membership::envelope::EnvelopeError>(())
//! ```

pub mod envelope;
pub mod heartbeat;
pub mod message;
pub mod roster;
pub mod topology;

//! Membership of the fleet and the messages between its VMs: heartbeats, requests for
//! rate tokens and copies of store objects.
//!
//! [`roster`] determines which VMs are live, and [`topology`] which VMs send heartbeats to
//! each other. [`heartbeat`] defines the contents of a heartbeat. [`envelope`] encodes and
//! authenticates the messages of [`message`]. This crate opens no sockets.
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

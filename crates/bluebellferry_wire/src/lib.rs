//! The parts of the PostgreSQL protocol, version 3, that a proxy reads and writes.
//!
//! [`frame`] splits a byte buffer into frames without copying the bytes.
//! [`reader`] does the same for an asynchronous stream and returns long frames
//! in chunks. [`message`] decodes and encodes the few messages whose contents
//! the proxy needs, most of them through the `pgwire` crate. [`statement`] finds
//! comments, statement ends and leading keywords in SQL text.
//!
//! ```
//! use bluebellferry_wire::{frame, message};
//!
//! let mut bytes = message::encode_query("SELECT 1");
//! let query = frame::take_frame(&mut bytes, 1024)?.ok_or("incomplete")?;
//! assert_eq!(query.tag, frame::QUERY);
//! assert_eq!(message::query_text(&query)?, "SELECT 1");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod frame;
pub mod message;
pub mod reader;
pub mod statement;

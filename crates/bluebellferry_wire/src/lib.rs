//! PostgreSQL protocol v3 frames, as far as a proxy needs to look into them.
//!
//! [`frame`] cuts a byte stream into frames without copying them, [`reader`]
//! does so over an asynchronous stream and hands long frames on in pieces, and
//! [`message`] reads and writes the few frames whose contents matter. The
//! contents themselves are coded by the `pgwire` crate.
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

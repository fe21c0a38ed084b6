//! A client of the platform's object store, which offers versioned objects,
//! conditional writes and watches over HTTP.
//!
//! Every write carries a unique id. When the response to a write is lost, the
//! client reads the object back and recognises its own write by the id.
//!
//! ```no_run
//! use bluebellferry_store::client;
//!
//! # async fn example() -> Result<(), client::StoreError> {
//! let store = client::StoreClient::new("127.0.0.1:7000", "writer-1");
//! let written = store.put("terms/rental-core", 0, serde_json::json!({"term": 1})).await?;
//! assert_eq!(written, client::PutOutcome::Written { version: 1 });
//! # Ok(())
//! # }
//! ```

pub mod client;
pub mod wire;

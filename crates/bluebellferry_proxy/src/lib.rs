//! The proxy itself: callers on one side, databases on the other, and one
//! thread of control beside the threads of traffic.
//!
//! Traffic never waits for control: it reads [`snapshot::ControlSnapshot`],
//! which the control thread replaces whenever something changes. A caller's
//! [`session`] borrows a database connection from a [`pool`] for as long as one
//! request or transaction lasts.

pub mod admin;
pub mod backend;
pub mod cancel;
pub mod control;
pub mod floor;
pub mod metrics;
pub mod pool;
pub mod prepared;
pub mod server;
pub mod session;
pub mod settings;
pub mod shared;
pub mod snapshot;
pub mod tls;

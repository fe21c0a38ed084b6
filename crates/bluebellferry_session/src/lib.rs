//! A caller's session, without I/O.
//!
//! [`state::SessionState`] follows one caller: its open transaction, the values
//! and prepared statements it set, and the position of its last commit. It says
//! what each statement needs; whoever owns the sockets carries that out and
//! reports back. [`connection_state::ConnectionState`] follows what one database
//! connection holds, so that any connection can be brought into the caller's
//! state before a statement runs on it.
//!
//! ```
//! use bluebellferry_session::{state, statement};
//!
//! let mut session = state::SessionState::default();
//! let begin = statement::Statement::new("7", statement::StatementAction::Begin { read_only: true });
//! assert!(matches!(session.plan(&begin), state::StatementPlan::Answer(_)));
//! ```

pub mod connection_state;
pub mod state;
pub mod statement;

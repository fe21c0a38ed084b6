//! The session of one caller, without I/O.
//!
//! [`state::SessionState`] tracks the caller's open transaction, the settings and
//! prepared statements that it set, and the position of its last commit. It decides
//! what each statement needs; the owner of the sockets carries out that plan and
//! reports the outcome. [`connection_state::ConnectionState`] tracks the settings and
//! prepared statements of one database connection, so that any connection can be
//! brought into the state of a session before a statement runs on it.
//!
//! ```
//! use bluebellferry_session::{state, statement};
//!
//! let mut session = state::SessionState::default();
//! let begin = statement::Statement::new("7", statement::StatementAction::Begin { read_only: true });
//! assert!(matches!(session.plan_statement(&begin), state::StatementPlan::Answer(_)));
//! ```

pub mod connection_state;
pub mod state;
pub mod statement;

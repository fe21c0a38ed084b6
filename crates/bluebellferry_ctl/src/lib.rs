//! The operators' command: checks, trials, promotions, keys and explanations.
//!
//! [`api`] talks to the administration API of one VM, [`command`] carries out
//! each verb. Exit codes are stable; see [`command::CtlError::exit_code`].

pub mod api;
pub mod command;

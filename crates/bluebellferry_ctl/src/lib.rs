//! The command-line tool for operators, `bluebellferry-ctl`.
//!
//! It validates, applies, promotes and compares configuration documents, manages
//! keys, drains VMs and explains their behaviour. [`api`] is the client of a VM's
//! administration API; [`command`] implements the subcommands;
//! [`review`] the one that reviews configurations for the users' platform. Exit codes are
//! stable; see [`command::CtlError::exit_code`].

pub mod api;
pub mod command;
pub mod review;

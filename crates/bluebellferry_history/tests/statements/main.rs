//! Each check finds a history that breaks its promise, and passes one beside it
//! that differs by a hair and keeps it.

mod answers;
mod commits;
mod configurations;
mod draft;
mod rates;
mod reads;
mod service;
mod simulated;

//! Tests of each statement check: with a history that violates its guarantee, and
//! with a minimally different one that does not.

mod answers;
mod commits;
mod configurations;
mod fixtures;
mod rates;
mod reads;
mod service;
mod simulated;

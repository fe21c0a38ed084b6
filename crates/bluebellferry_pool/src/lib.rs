//! Which connection a statement gets, without I/O.
//!
//! A connection is opened for one workspace at one database and is worth
//! keeping: a new one occupies a slot of the database for several
//! milliseconds. [`budget::ConnectionBudget`] keeps this VM below its part of
//! each database's limit, prefers a kept connection of the same workspace,
//! replaces the longest idle one of another workspace before it lets a
//! statement wait, and hands a released connection to the waiting statement
//! that goes first by [`waiting::WaitingOrder`]: workspaces take turns, and within
//! one the objective that falls due first. [`estimate::LatencyEstimate`] learns
//! how long each database takes to answer.
//!
//! ```
//! use std::time::Instant;
//! use bluebellferry_pool::budget::ConnectionBudget;
//! use bluebellferry_types::name::WorkspaceName;
//!
//! let now = Instant::now();
//! let mut budget: ConnectionBudget<&str> = ConnectionBudget::default();
//! budget.set_allowance(0, 1, 0);
//! let workspace = WorkspaceName::try_from("families")?;
//! assert!(budget.take_kept(&workspace, 0).is_none());
//! let opening = budget.begin_open(&workspace, 0, now);
//! assert!(opening.is_some_and(|opening| opening.closing.is_none()));
//! # Ok::<(), bluebellferry_types::name::NameError>(())
//! ```

pub mod budget;
pub mod estimate;
pub mod pace;
pub mod waiting;

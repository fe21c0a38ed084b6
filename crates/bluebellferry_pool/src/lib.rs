//! Which connection a statement gets, without I/O.
//!
//! A connection is opened for one workspace at one database and is worth
//! keeping: a new one occupies a slot of the database for several
//! milliseconds. [`pool::ConnectionPool`] keeps this VM below its part of
//! each database's limit, prefers a kept connection of the same workspace,
//! replaces the longest idle one of another workspace before it lets a
//! statement wait, and hands a released connection to the waiting statement
//! that goes first by [`wait_queue::QueueOrder`]: workspaces take turns, and within
//! one the objective that falls due first. [`estimate::LatencyEstimate`] learns
//! how long each database takes to answer.
//!
//! ```
//! use std::time::Instant;
//! use bluebellferry_pool::pool::ConnectionPool;
//! use bluebellferry_types::name::WorkspaceName;
//!
//! let now = Instant::now();
//! let mut budget: ConnectionPool<&str> = ConnectionPool::default();
//! budget.set_connection_limit(0, 1, 0);
//! let workspace = WorkspaceName::try_from("families")?;
//! assert!(budget.reuse_idle(&workspace, 0).is_none());
//! let opening = budget.begin_open(&workspace, 0, now);
//! assert!(opening.is_some_and(|opening| opening.evicted.is_none()));
//! # Ok::<(), bluebellferry_types::name::NameError>(())
//! ```

pub mod estimate;
pub mod grant_rate;
pub mod pool;
pub mod wait_queue;

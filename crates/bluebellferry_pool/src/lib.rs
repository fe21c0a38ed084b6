//! The connection pool of one VM, without I/O: which connection a statement gets.
//!
//! A connection is opened for one workspace at one database and is worth keeping,
//! because the handshake for a new one occupies a slot of the database for several
//! milliseconds. [`pool::ConnectionPool`] keeps this VM within its allocation of
//! each database's connection limit. It prefers an idle connection of the same
//! workspace, and evicts the longest idle one of another workspace before it lets a
//! statement wait. A released connection goes to the waiting statement that is
//! first by [`wait_queue::QueueOrder`]. By default, the order is: statements that can
//! still meet their SLO deadline before late ones, then by priority. Within one
//! priority, workspaces take turns, and the statements of one workspace are served by
//! SLO deadline. [`grant_rate::GrantRate`] estimates how long a statement will wait,
//! and [`estimate::LatencyEstimate`] how long each database takes to answer.
//!
//! ```
//! use std::time::Instant;
//! use bluebellferry_pool::pool::ConnectionPool;
//! use bluebellferry_types::name::WorkspaceName;
//!
//! let now = Instant::now();
//! let mut pool: ConnectionPool<&str> = ConnectionPool::default();
//! pool.set_connection_limit(0, 1, 0);
//! let workspace = WorkspaceName::try_from("families")?;
//! assert!(pool.reuse_idle(&workspace, 0).is_none());
//! let opening = pool.begin_open(&workspace, 0, now);
//! assert!(opening.is_some_and(|opening| opening.evicted.is_none()));
//! # Ok::<(), bluebellferry_types::name::NameError>(())
//! ```

pub mod estimate;
pub mod grant_rate;
pub mod pool;
pub mod wait_queue;

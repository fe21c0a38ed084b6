//! Fair queueing of requests that wait for a database.
//!
//! [`queue::FairQueue`] serves waiting requests so that each workspace gets its
//! weighted share, regardless of how many requests the others send.
//! [`virtual_time::VirtualClock`] tracks whose turn it is, for queues that choose among
//! the requests of a workspace themselves. [`concurrency::ConcurrencyLimit`] adapts the
//! number of requests in flight to what a database can serve without queueing inside it.
//!
//! ```
//! use bluebellferry_fairness::queue;
//! use bluebellferry_types::name::WorkspaceName;
//!
//! let busy = WorkspaceName::try_from("busy")?;
//! let quiet = WorkspaceName::try_from("quiet")?;
//! let mut queue = queue::FairQueue::new(100);
//! for number in 0..10 {
//!     queue.push(&busy, 1, number).ok();
//! }
//! queue.push(&quiet, 1, 99).ok();
//! let first_two = [queue.pop(), queue.pop()];
//! assert!(first_two.contains(&Some(99)));
//! # Ok::<(), bluebellferry_types::name::NameError>(())
//! ```

pub mod concurrency;
pub mod queue;
pub mod virtual_time;

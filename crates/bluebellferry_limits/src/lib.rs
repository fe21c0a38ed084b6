//! Rate limits that hold for all VMs together, without a central counter.
//!
//! Each VM owns a share of a workspace's rate and burst, as a token bucket. A VM that
//! needs more tokens requests them from other VMs, and those with tokens to spare lend
//! some. Tokens are moved, never copied: the lender takes them out of its own bucket and
//! leaves room for them until they have expired at the borrower. So the sum over all VMs
//! never exceeds rate and burst, even if messages are lost or late or VMs are cut off from
//! each other.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use bluebellferry_limits::bucket::{ShareBucket, ShareSize, TakeOutcome};
//!
//! let start = Instant::now();
//! let size = ShareSize { rate_per_second: 10.0, burst: 2.0 };
//! let mut bucket = ShareBucket::new_full(size, start);
//! assert_eq!(bucket.try_take(start), TakeOutcome::Granted);
//! assert_eq!(bucket.try_take(start), TakeOutcome::Granted);
//! let wait = Duration::from_millis(100);
//! assert_eq!(bucket.try_take(start), TakeOutcome::Empty { refill_delay: wait });
//! ```

pub mod bucket;
pub mod demand;
pub mod pace;
pub mod share;
pub mod urgency;

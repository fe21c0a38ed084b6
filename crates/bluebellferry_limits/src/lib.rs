//! Rates and bursts that hold over all VMs together, without a central counter.
//!
//! Each VM owns a fixed part of a workspace's rate and burst. A VM that needs
//! more asks others, and whoever has tokens to spare moves some over. Tokens
//! are moved, never copied: the giver takes them out of its own bucket, and
//! keeps room for them until they have lapsed at the receiver. So the sum over
//! all VMs never exceeds rate and burst, whatever is lost, late or cut off.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use bluebellferry_limits::bucket::{ShareBucket, ShareSize, TakeOutcome};
//!
//! let start = Instant::now();
//! let size = ShareSize { rate_per_second: 10.0, burst: 2.0 };
//! let mut bucket = ShareBucket::full(size, start);
//! assert_eq!(bucket.try_take(start), TakeOutcome::Granted);
//! assert_eq!(bucket.try_take(start), TakeOutcome::Granted);
//! let wait = Duration::from_millis(100);
//! assert_eq!(bucket.try_take(start), TakeOutcome::Empty { refill_delay: wait });
//! ```

pub mod bucket;
pub mod demand;
pub mod share;

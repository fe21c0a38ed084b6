//! A bound on log lines about single statements.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// Lines a second about refused statements and retries. At some 400 bytes a line
/// that is 16 KB a second, and well under a hundredth of a quarter core.
const LINES_PER_SECOND: u32 = 40;
/// Lines a second about reads that a replica has served: a sample, since reads of
/// one service ask for the same positions.
const READ_LINES_PER_SECOND: u32 = 4;
/// The span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts lines and says whether another one may be written.
#[derive(Debug)]
pub struct LogRateLimiter {
    limit: u32,
    window_start: Cell<Instant>,
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimiter {
    /// Creates a budget for refused statements and retries.
    pub fn new(now: Instant) -> Self {
        Self::with_limit(LINES_PER_SECOND, now)
    }

    /// Creates a budget for a sample of served reads.
    pub fn for_reads(now: Instant) -> Self {
        Self::with_limit(READ_LINES_PER_SECOND, now)
    }

    fn with_limit(limit: u32, now: Instant) -> Self {
        Self {
            limit,
            window_start: Cell::new(now),
            written: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Returns whether a line may be written now; counts it if not.
    pub fn may_log(&self, now: Instant) -> bool {
        if now.saturating_duration_since(self.window_start.get()) >= WINDOW {
            self.window_start.set(now);
            self.written.set(0);
        }
        if self.written.get() < self.limit {
            self.written.set(self.written.get() + 1);
            return true;
        }
        self.suppressed.set(self.suppressed.get() + 1);
        false
    }

    /// Returns how many lines were not written since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.replace(0)
    }
}

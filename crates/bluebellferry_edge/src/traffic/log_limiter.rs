//! Limits for the rate of log lines about single statements, and for the length of what they quote.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of log lines per second about refused and retried statements. At about
/// 400 bytes a line this is 16 KB per second, and well under 1 % of a quarter of a core.
const LINES_PER_SECOND: u32 = 40;
/// The maximum number of log lines per second about one kind of routine event, such as served
/// reads, of which a sample is enough.
const SAMPLES_PER_SECOND: u32 = 4;
/// The length of the window in which lines are counted.
const COUNTING_WINDOW: Duration = Duration::from_secs(1);

/// The maximum number of characters of a caller's text in a log line.
const MAX_EXCERPT_CHARACTERS: usize = 64;

/// Returns the beginning of a caller's text, which may be as long as a message, for a log line.
pub fn excerpt(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_EXCERPT_CHARACTERS);
    end.map_or(text, |(end, _)| &text[..end])
}

/// Limits the log lines written in each window and counts those suppressed.
#[derive(Debug)]
pub struct LogRateLimiter {
    limit: u32,
    window_start: Cell<Instant>,
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogRateLimiter {
    /// Creates a limiter for lines about refused and retried statements.
    pub fn new(now: Instant) -> Self {
        Self::with_limit(LINES_PER_SECOND, now)
    }

    /// Creates a limiter for a sample of the lines about a routine event.
    pub fn for_samples(now: Instant) -> Self {
        Self::with_limit(SAMPLES_PER_SECOND, now)
    }

    fn with_limit(limit: u32, now: Instant) -> Self {
        Self {
            limit,
            window_start: Cell::new(now),
            written: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Returns whether a line may be written now, and counts it as written or suppressed.
    pub fn may_log(&self, now: Instant) -> bool {
        if now.saturating_duration_since(self.window_start.get()) >= COUNTING_WINDOW {
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

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.replace(0)
    }
}

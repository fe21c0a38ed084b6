//! The rate at which waiting statements are granted connections to a database.

use std::time::Duration;
use std::time::Instant;

/// The weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// The minimum number of samples for an estimate.
const MIN_SAMPLES: u32 = 10;
/// The maximum age of the last grant for an estimate. A database that has granted no
/// connection for longer may be about to serve all waiting statements at once.
const MAX_GRANT_AGE: Duration = Duration::from_millis(500);
/// A statement is refused early only if its expected duration exceeds its remaining time by
/// more than this factor: one that would be served in time if connections were granted twice
/// as fast is not refused.
const OVERRUN_FACTOR: u32 = 2;

/// Returns by how much the `expected` duration of a statement exceeds the time `left` for it, or
/// `None` if the duration is at most `OVERRUN_FACTOR` times the time left.
pub fn likely_overrun(expected: Duration, left: Duration) -> Option<Duration> {
    (expected > OVERRUN_FACTOR * left).then(|| expected - left)
}

/// A moving average of the interval between two grants of a connection to waiting statements.
#[derive(Debug, Clone, Default)]
pub struct GrantRate {
    interval_seconds: f64,
    samples: u32,
    last_grant: Option<Instant>,
}

impl GrantRate {
    /// Records that a waiting statement was granted a connection, and whether others still wait.
    /// If none do, the average is reset.
    pub fn record(&mut self, others_wait: bool, now: Instant) {
        let Some(last_grant) = self.last_grant else {
            self.last_grant = others_wait.then_some(now);
            return;
        };
        let interval = now.saturating_duration_since(last_grant).as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        // The plain mean of the first samples, so that the very first one does not dominate.
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        self.interval_seconds += weight * (interval - self.interval_seconds);
        self.last_grant = Some(now);
        if !others_wait {
            *self = Self::default();
        }
    }

    /// Returns how long a statement with `ahead` others before it is expected to wait, or
    /// `None` if there were too few recent grants for an estimate.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let last_grant = self.last_grant?;
        let is_reliable = self.samples >= MIN_SAMPLES
            && now.saturating_duration_since(last_grant) <= MAX_GRANT_AGE;
        let seconds = self.interval_seconds * (ahead as f64 + 1.0);
        is_reliable.then(|| Duration::from_secs_f64(seconds))
    }
}

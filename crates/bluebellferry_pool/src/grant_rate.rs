//! How fast a database's connections come free for statements that wait.

use std::time::Duration;
use std::time::Instant;

/// How much of a new sample enters the moving average.
const SMOOTHING: f64 = 0.1;
/// How many connections must have come free before the average says anything.
const LEAST_SAMPLES: u32 = 10;
/// How long the average holds. A database that has served nobody for longer may serve
/// everyone the next moment.
const VALID_FOR: Duration = Duration::from_millis(500);
/// How many times the time that is left a statement must be expected to take before it is
/// refused: when connections come free at half of their usual interval, it would be served.
const CERTAINTY: u32 = 2;

/// Returns by how much a statement misses the time that is left for it, when it is
/// expected to miss it by far.
pub fn likely_overrun(expected: Duration, left: Duration) -> Option<Duration> {
    (expected > CERTAINTY * left).then(|| expected - left)
}

/// The time between two connections that went to statements that waited.
#[derive(Debug, Clone, Default)]
pub struct GrantRate {
    interval_seconds: f64,
    samples: u32,
    last: Option<Instant>,
}

impl GrantRate {
    /// Notes that a statement got its connection, and whether others went on waiting.
    pub fn record(&mut self, others_wait: bool, now: Instant) {
        let Some(last) = self.last else {
            self.last = others_wait.then_some(now);
            return;
        };
        let interval = now.saturating_duration_since(last).as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        // A plain mean at first, so that the first sample does not weigh on.
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.interval_seconds += weight * (interval - self.interval_seconds);
        self.last = Some(now);
        if !others_wait {
            *self = Self::default();
        }
    }

    /// Returns how long a statement with so many `ahead` is expected to wait, or `None`
    /// when too little was seen lately.
    pub fn expected_wait(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let last = self.last?;
        let is_known =
            self.samples >= LEAST_SAMPLES && now.saturating_duration_since(last) <= VALID_FOR;
        let seconds = self.interval_seconds * (ahead as f64 + 1.0);
        is_known.then(|| Duration::from_secs_f64(seconds))
    }
}

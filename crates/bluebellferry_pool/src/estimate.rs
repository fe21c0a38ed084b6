//! How long a database takes to answer, learned from its answers.

use std::time::Duration;
use std::time::Instant;

/// How much of a new sample enters the moving average.
const SMOOTHING: f64 = 0.1;
/// How much of a new sample enters the moving deviation.
const DEVIATION_SMOOTHING: f64 = 0.1;
/// After how long without samples half of what was learned is forgotten, so
/// that a database that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// How many deviations above the average count as a missing answer.
const PATIENCE_DEVIATIONS: f64 = 8.0;

/// A moving average of answer times with its deviation.
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    initial_seconds: f64,
    average_seconds: f64,
    deviation_seconds: f64,
    sampled_at: Option<Instant>,
}

impl LatencyEstimate {
    /// Creates an estimate that starts at `initial`.
    pub fn new(initial: Duration) -> Self {
        let initial_seconds = initial.as_secs_f64();
        Self {
            initial_seconds,
            average_seconds: initial_seconds,
            deviation_seconds: initial_seconds,
            sampled_at: None,
        }
    }

    /// Takes the time that an answer took.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let sample = latency.as_secs_f64();
        let error = sample - self.average_seconds;
        self.average_seconds += SMOOTHING * error;
        self.deviation_seconds += DEVIATION_SMOOTHING * (error.abs() - self.deviation_seconds);
        self.sampled_at = Some(now);
    }

    /// Returns the expected answer time.
    pub fn expected(&self, now: Instant) -> Duration {
        let age = self
            .sampled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let seconds = self.initial_seconds + kept * (self.average_seconds - self.initial_seconds);
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Returns the time after which an answer counts as missing, within bounds.
    pub fn response_timeout(&self, least: Duration, most: Duration) -> Duration {
        let seconds = self.average_seconds + PATIENCE_DEVIATIONS * self.deviation_seconds;
        Duration::from_secs_f64(seconds.max(0.0)).clamp(least, most.max(least))
    }
}

//! An estimate of a database's latency from its recent answers.

use std::time::Duration;
use std::time::Instant;

/// The weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// The weight of a new sample in the moving mean deviation.
const DEVIATION_SMOOTHING: f64 = 0.1;
/// The time without samples after which the estimate has returned halfway to its initial
/// value, so that a database that was slow is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The number of mean deviations above the average after which a response has timed out.
const TIMEOUT_DEVIATIONS: f64 = 8.0;

/// A moving average of a database's latency, with its mean deviation.
#[derive(Debug, Clone)]
pub struct LatencyEstimate {
    initial_seconds: f64,
    average_seconds: f64,
    deviation_seconds: f64,
    last_sample_at: Option<Instant>,
}

impl LatencyEstimate {
    /// Creates an estimate with the given initial latency, used until there are samples.
    pub fn new(initial: Duration) -> Self {
        let initial_seconds = initial.as_secs_f64();
        Self {
            initial_seconds,
            average_seconds: initial_seconds,
            deviation_seconds: initial_seconds,
            last_sample_at: None,
        }
    }

    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        let sample = latency.as_secs_f64();
        let error = sample - self.average_seconds;
        self.average_seconds += SMOOTHING_FACTOR * error;
        self.deviation_seconds += DEVIATION_SMOOTHING * (error.abs() - self.deviation_seconds);
        self.last_sample_at = Some(now);
    }

    /// Returns the expected latency of a statement that is sent now.
    pub fn expected(&self, now: Instant) -> Duration {
        let age = self
            .last_sample_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let seconds = self.initial_seconds + weight * (self.average_seconds - self.initial_seconds);
        Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Returns the time after which a missing response counts as timed out, at least `min` and
    /// at most `max`.
    pub fn response_timeout(&self, min: Duration, max: Duration) -> Duration {
        let seconds = self.average_seconds + TIMEOUT_DEVIATIONS * self.deviation_seconds;
        Duration::from_secs_f64(seconds.max(0.0)).clamp(min, max.max(min))
    }
}

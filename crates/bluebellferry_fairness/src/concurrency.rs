//! An adaptive limit on the requests in flight to one database.

use std::time::Duration;

/// The weight of a new latency sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;
/// The maximum ratio of the average latency to the baseline latency. Above it, the database is
/// assumed to queue requests, and the limit is lowered.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// The factor by which the baseline latency rises with each sample, so that it adapts to a
/// database that has become permanently slower.
const BASELINE_DRIFT: f64 = 1.001;
/// The factor that the limit is multiplied by when the database queues requests.
const DECREASE_FACTOR: f64 = 0.95;

/// A limit on the requests in flight, adapted to the observed latency.
///
/// The limit decreases multiplicatively while the average latency is far above the lowest
/// observed latency, and otherwise increases additively while it is reached.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    minimum: f64,
    maximum: f64,
    baseline_seconds: f64,
    average_seconds: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
    pub fn new(minimum: usize, maximum: usize) -> Self {
        let minimum = minimum.max(1) as f64;
        let maximum = (maximum as f64).max(minimum);
        Self {
            limit: maximum,
            minimum,
            maximum,
            baseline_seconds: 0.0,
            average_seconds: 0.0,
        }
    }

    /// Returns the maximum number of requests in flight.
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// Records the latency of a finished request, and whether the limit was reached.
    pub fn record(&mut self, latency: Duration, is_saturated: bool) {
        let seconds = latency.as_secs_f64();
        if self.baseline_seconds == 0.0 {
            self.baseline_seconds = seconds;
            self.average_seconds = seconds;
        }
        self.baseline_seconds = (self.baseline_seconds * BASELINE_DRIFT).min(seconds);
        self.average_seconds += SMOOTHING_FACTOR * (seconds - self.average_seconds);
        if self.average_seconds > self.baseline_seconds * MAX_LATENCY_RATIO {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.minimum);
        } else if is_saturated {
            self.limit = (self.limit + 1.0 / self.limit).min(self.maximum);
        }
    }
}

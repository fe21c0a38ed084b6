//! An adaptive limit on the requests in flight to one database.

use std::time::Duration;

/// How much of a new latency sample enters the moving average.
const SMOOTHING: f64 = 0.1;
/// By how much latency may exceed its floor before the limit falls.
const TOLERANCE: f64 = 2.0;
/// How much the floor rises with each sample, so that it follows a database
/// that has become slower for good.
const FLOOR_DRIFT: f64 = 1.001;
/// By which factor the limit falls when the database queues.
const BACK_OFF: f64 = 0.95;

/// A limit between a minimum and a maximum, led by the latency that is seen.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    minimum: f64,
    maximum: f64,
    floor_seconds: f64,
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
            floor_seconds: 0.0,
            average_seconds: 0.0,
        }
    }

    /// Returns how many requests may be in flight.
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// Takes the latency of a finished request and whether the limit was reached.
    pub fn record(&mut self, latency: Duration, saturated: bool) {
        let seconds = latency.as_secs_f64();
        if self.floor_seconds == 0.0 {
            self.floor_seconds = seconds;
            self.average_seconds = seconds;
        }
        self.floor_seconds = (self.floor_seconds * FLOOR_DRIFT).min(seconds);
        self.average_seconds += SMOOTHING * (seconds - self.average_seconds);
        if self.average_seconds > self.floor_seconds * TOLERANCE {
            self.limit = (self.limit * BACK_OFF).max(self.minimum);
        } else if saturated {
            self.limit = (self.limit + 1.0 / self.limit).min(self.maximum);
        }
    }
}

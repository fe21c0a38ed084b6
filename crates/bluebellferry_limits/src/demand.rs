//! Measures a workspace's demand on this VM, to decide how many tokens to request from
//! other VMs.

use std::time::Duration;
use std::time::Instant;

/// The shortest time over which operations are counted before the averages are updated.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// The weight of one window in the fast moving average.
const FAST_SMOOTHING: f64 = 0.4;
/// The weight of one window in the slow moving average, which covers a few seconds.
const SLOW_SMOOTHING: f64 = 0.025;
/// How far ahead the demand is predicted, to reserve or request tokens in advance.
const PREDICTION_HORIZON: Duration = Duration::from_millis(100);

/// The operations per second from which on a VM reserves a whole token for its own callers:
/// one operation in 2 s, the validity of eight loans in a row.
const MIN_RESERVING_RATE: f64 = 0.5;
/// The smallest need, in tokens, for which tokens are requested.
const MIN_NEED: f64 = 0.5;

/// Moving averages of the operations per second that a workspace's callers start on this VM.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    /// The fast moving average.
    per_second: f64,
    /// The slow moving average.
    slow_per_second: f64,
    window_operations: u32,
    window_start: Instant,
}

impl DemandMeter {
    /// Creates a meter that has counted no operation.
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            slow_per_second: 0.0,
            window_operations: 0,
            window_start: now,
        }
    }

    /// Counts an operation, admitted or not.
    pub fn count_operation(&mut self, now: Instant) {
        self.update_averages(now);
        self.window_operations += 1;
    }

    /// Returns the operations per second in the last few windows.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.update_averages(now);
        self.per_second
    }

    /// Returns the number of tokens that the operations of the next 100 ms will need.
    pub fn predicted_need(&mut self, now: Instant) -> f64 {
        self.per_second(now) * PREDICTION_HORIZON.as_secs_f64()
    }

    /// Returns the number of tokens to reserve for own callers rather than lend. Where
    /// operations start regularly, that is at least a whole token, because fractions that
    /// are lent back and forth expire unused.
    pub fn own_reserve(&mut self, now: Instant) -> f64 {
        let need = self.predicted_need(now);
        if self.slow_per_second >= MIN_RESERVING_RATE {
            need.max(1.0)
        } else {
            need
        }
    }

    /// Returns how many tokens to request from other VMs, where `available` tokens can be
    /// spent now and `waiting` operations wait for one.
    pub fn shortfall(&mut self, available: f64, waiting: usize, now: Instant) -> f64 {
        let need = self.predicted_need(now).max(waiting as f64);
        if need < MIN_NEED {
            return 0.0;
        }
        (need - available).max(0.0)
    }

    /// Returns how many whole tokens to request from an owner beside the `available` ones:
    /// one for each of the `waiting` operations, or what the slow average predicts for the
    /// next 100 ms if that is more. The fast average is not used, because a single operation
    /// would look like the first of many and an unused token expires.
    pub fn whole_token_shortfall(&mut self, available: f64, waiting: usize, now: Instant) -> f64 {
        self.update_averages(now);
        let need = self.slow_per_second * PREDICTION_HORIZON.as_secs_f64();
        let steady_need = if need < MIN_NEED { 0.0 } else { need };
        (steady_need.max(waiting as f64) - available)
            .max(0.0)
            .ceil()
    }

    fn update_averages(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < MIN_WINDOW {
            return;
        }
        let windows = (elapsed.as_secs_f64() / MIN_WINDOW.as_secs_f64()).floor();
        let measured = f64::from(self.window_operations) / elapsed.as_secs_f64();
        // Several windows at once have the weight that they would have one by one.
        let weight = 1.0 - (1.0 - FAST_SMOOTHING).powf(windows);
        self.per_second += weight * (measured - self.per_second);
        let weight = 1.0 - (1.0 - SLOW_SMOOTHING).powf(windows);
        self.slow_per_second += weight * (measured - self.slow_per_second);
        self.window_operations = 0;
        self.window_start = now;
    }
}

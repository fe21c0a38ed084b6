//! How much a workspace needs on this VM, and how much to ask of others.

use std::time::Duration;
use std::time::Instant;

/// Over which time requests are counted.
const WINDOW: Duration = Duration::from_millis(50);
/// How much of a new window enters the moving average.
const SMOOTHING: f64 = 0.4;
/// The same for the average over some seconds.
const SLOW_SMOOTHING: f64 = 0.025;
/// For how long ahead tokens are kept or asked for.
const HORIZON: Duration = Duration::from_millis(100);

/// The operations a second from which on a VM keeps a token for its callers: one
/// within about the validity of a few loans.
const LIVELY_RATE: f64 = 0.5;
/// The need below which nothing is asked for ahead of time.
const SMALLEST_NEED: f64 = 0.5;

/// A moving average of a workspace's requests on this VM.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    per_second: f64,
    /// The same over some seconds.
    lately: f64,
    counted: u32,
    window_start: Instant,
}

impl DemandMeter {
    /// Creates a meter that has seen no request.
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            lately: 0.0,
            counted: 0,
            window_start: now,
        }
    }

    /// Counts a request, admitted or not.
    pub fn count(&mut self, now: Instant) {
        self.roll(now);
        self.counted += 1;
    }

    /// Returns the requests a second.
    pub fn per_second(&mut self, now: Instant) -> f64 {
        self.roll(now);
        self.per_second
    }

    /// Returns the tokens that the next moments will need.
    pub fn predicted_need(&mut self, now: Instant) -> f64 {
        self.per_second(now) * HORIZON.as_secs_f64()
    }

    /// Returns the tokens to keep from others. Where callers come in, a whole
    /// one is kept: parts of tokens that are lent around lapse unused.
    pub fn own_reserve(&mut self, now: Instant) -> f64 {
        let soon = self.predicted_need(now);
        if self.lately >= LIVELY_RATE {
            soon.max(1.0)
        } else {
            soon
        }
    }

    /// Returns how many tokens to ask of others, given what is available and
    /// how many requests are waiting.
    pub fn shortfall(&mut self, available: f64, waiting: usize, now: Instant) -> f64 {
        let needed = self.predicted_need(now).max(waiting as f64);
        if needed < SMALLEST_NEED {
            return 0.0;
        }
        (needed - available).max(0.0)
    }

    /// Returns how many whole tokens to ask an owner for: those of requests that wait,
    /// and of the next moments where they come steadily. A single request is not taken
    /// for the first of many, since a token that is not used lapses.
    pub fn whole_token_shortfall(&mut self, available: f64, waiting: usize, now: Instant) -> f64 {
        self.roll(now);
        let soon = self.lately * HORIZON.as_secs_f64();
        let steady = if soon < SMALLEST_NEED { 0.0 } else { soon };
        (steady.max(waiting as f64) - available).max(0.0).ceil()
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let windows = (elapsed.as_secs_f64() / WINDOW.as_secs_f64()).floor();
        let seen = f64::from(self.counted) / elapsed.as_secs_f64();
        // Several quiet windows at once weigh as much as they would one by one.
        let weight = 1.0 - (1.0 - SMOOTHING).powf(windows);
        self.per_second += weight * (seen - self.per_second);
        let weight = 1.0 - (1.0 - SLOW_SMOOTHING).powf(windows);
        self.lately += weight * (seen - self.lately);
        self.counted = 0;
        self.window_start = now;
    }
}

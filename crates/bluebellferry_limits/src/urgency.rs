//! Which operations get the tokens of a rate first when there are too few.
//!
//! The load this answers is a burst of less urgent operations of a workspace: without an order
//! they use up its tokens, and its urgent operations are refused in the same proportion. So part
//! of the tokens is reserved for more urgent operations, as many as they have lately needed. The
//! VMs that own a rate decide this for all VMs, so no level has to be agreed on, and a VM that is
//! cut off applies the same rule to its own share.

use std::time::Duration;
use std::time::Instant;

/// The number of urgency levels that are told apart.
pub const LEVELS: usize = 4;
/// The time constant of the moving averages of demand.
const DEMAND_AVERAGING: Duration = Duration::from_millis(1_000);
/// For how long the demand of more urgent operations is reserved. A burst of them is then
/// admitted until the averages have followed it.
const RESERVED_DEMAND: Duration = Duration::from_millis(500);
/// The most of the spare tokens that is reserved.
const MAX_RESERVED_FRACTION: f64 = 0.5;
/// The tokens that less urgent operations may take out of the reserve for each token that was
/// granted, so that a constant demand of urgent operations never starves them.
const CREDIT_PER_TOKEN: f64 = 0.2;
/// The most tokens that less urgent operations may take out of the reserve at once.
const MAX_CREDIT: f64 = 2.0;
/// The time constant with which denied demand is forgotten: how long callers wait for tokens.
const DENIED_AVERAGING: Duration = Duration::from_millis(160);

/// How urgent an operation is; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct UrgencyLevel(u8);

impl UrgencyLevel {
    /// Returns all levels, the most urgent first.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..LEVELS as u8).map(Self)
    }

    /// Returns the level as an index below [`LEVELS`].
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

impl From<u8> for UrgencyLevel {
    /// Converts a route's priority. Priorities beyond the last level count as the last one.
    fn from(priority: u8) -> Self {
        Self(priority.min(LEVELS as u8 - 1))
    }
}

/// The denied demand, in tokens, from which operations count as waiting.
const MIN_WAITING_DEMAND: f64 = 0.1;

/// Moving averages of the tokens that operations of each level have wanted and were denied.
#[derive(Debug, Clone)]
pub struct UrgencyMeter {
    /// Tokens per second.
    wanted: [f64; LEVELS],
    /// Tokens that callers still wait for.
    denied: [f64; LEVELS],
    /// Tokens that less urgent operations may take out of the reserve.
    credit: f64,
    updated_at: Instant,
}

impl UrgencyMeter {
    /// Creates a meter that has recorded nothing.
    pub const fn new(now: Instant) -> Self {
        Self {
            wanted: [0.0; LEVELS],
            denied: [0.0; LEVELS],
            credit: 0.0,
            updated_at: now,
        }
    }

    /// Records that operations of a level want tokens.
    pub fn record_wanted(&mut self, level: UrgencyLevel, tokens: f64, now: Instant) {
        self.decay(now);
        self.wanted[level.index()] += tokens / DEMAND_AVERAGING.as_secs_f64();
    }

    /// Records that operations of a level were denied tokens.
    pub fn record_denied(&mut self, level: UrgencyLevel, tokens: f64, now: Instant) {
        self.decay(now);
        self.denied[level.index()] += tokens;
    }

    /// Records tokens that were granted.
    pub fn record_granted(&mut self, tokens: f64) {
        self.credit = (self.credit + tokens * CREDIT_PER_TOKEN).min(MAX_CREDIT);
    }

    /// Returns whether an operation of a level may take a token that is reserved for more urgent
    /// ones, and counts it.
    pub fn take_credit(&mut self, level: UrgencyLevel) -> bool {
        let has_credit = level > UrgencyLevel::default() && self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }

    /// Returns how many of the `spare` tokens that a bucket can hold beyond its other reserves
    /// operations of a level must leave for others: for more urgent ones, and for less urgent ones
    /// that have been denied tokens for long enough.
    pub fn reserve_for(&mut self, level: UrgencyLevel, spare: f64, now: Instant) -> f64 {
        self.decay(now);
        let more_urgent: f64 = self.wanted[..level.index()].iter().sum();
        let reserve = more_urgent * RESERVED_DEMAND.as_secs_f64();
        let reserve = reserve.min((spare - 1.0).max(0.0) * MAX_RESERVED_FRACTION);
        reserve + self.owed_to_less_urgent(level)
    }

    /// Returns the tokens that operations of a level must leave for less urgent ones, which wait
    /// and have credit.
    fn owed_to_less_urgent(&self, level: UrgencyLevel) -> f64 {
        let denied: f64 = self.denied[level.index() + 1..].iter().sum();
        if self.credit >= 1.0 && denied >= MIN_WAITING_DEMAND {
            1.0
        } else {
            0.0
        }
    }

    /// Returns how long an operation of a level waits for a token of a rate until the demand
    /// that comes before it was met.
    pub fn expected_wait(
        &mut self,
        level: UrgencyLevel,
        missing_tokens: f64,
        rate_per_second: f64,
        now: Instant,
    ) -> Duration {
        self.decay(now);
        let ahead: f64 = self.denied[..=level.index()].iter().sum();
        let seconds = (missing_tokens + ahead) / rate_per_second;
        Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.updated_at = now;
        let wanted_weight = (-elapsed / DEMAND_AVERAGING.as_secs_f64()).exp();
        let denied_weight = (-elapsed / DENIED_AVERAGING.as_secs_f64()).exp();
        for (wanted, denied) in self.wanted.iter_mut().zip(&mut self.denied) {
            *wanted *= wanted_weight;
            *denied *= denied_weight;
        }
    }
}

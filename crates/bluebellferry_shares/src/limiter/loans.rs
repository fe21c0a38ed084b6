//! What a VM requests of an owner, and what the owner answers.

use std::time::Duration;

use bluebellferry_limits::urgency;
use serde::Deserialize;
use serde::Serialize;

/// The tokens that operations of each urgency level want.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WantedTokens(pub [f64; urgency::LEVELS]);

impl WantedTokens {
    /// Divides a shortfall among the levels whose operations wait. What exceeds them is wanted in
    /// advance, with the lowest urgency.
    pub(super) fn from_shortfall(shortfall: f64, waiting: impl Iterator<Item = f64>) -> Self {
        let mut wanted = Self::default();
        let mut left = shortfall;
        for (level, waiting) in wanted.0.iter_mut().zip(waiting) {
            *level = waiting.min(left);
            left -= *level;
        }
        wanted.0[urgency::LEVELS - 1] += left;
        wanted
    }

    /// Returns the most urgent level that wants tokens; the least urgent one if none does.
    pub fn most_urgent(&self) -> urgency::UrgencyLevel {
        let mut levels = urgency::UrgencyLevel::all();
        let found = levels.find(|level| self.0[level.index()] > 0.0);
        found.unwrap_or(urgency::UrgencyLevel::from(u8::MAX))
    }

    /// Returns what more urgent levels than `level` want.
    #[must_use]
    pub fn more_urgent_than(mut self, level: urgency::UrgencyLevel) -> Self {
        self.0[level.index()..].fill(0.0);
        self
    }

    /// Returns the tokens of all levels.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }
}

/// An owner's answer to a request for tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoanAnswer {
    /// The number of tokens that were lent.
    pub lent: f64,
    /// The most urgent level that gets no token in time, and when one is expected.
    pub denied: Option<(urgency::UrgencyLevel, Duration)>,
}

//! Why and for how long operations get no tokens.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::urgency;

/// How long a denial holds for operations that have not asked yet. Later ones ask again, so that
/// tokens that were added meanwhile are used.
const DENIAL_VALIDITY: Duration = Duration::from_millis(90);
/// How many owners in a row must deny tokens before operations are refused: another one may have
/// some.
const MIN_DENIALS: u32 = 2;
/// How many tokens must be added over all VMs before a refused caller retries; other
/// callers are waiting for the first ones.
const RETRY_AFTER_TOKENS: f64 = 4.0;

/// Returns after what time a refused caller should retry.
///
/// `refill_delay` is the time until this VM's own share, which may be small or zero, has
/// refilled to one token; `fleet_rate` is the workspace's rate over all VMs, in tokens per
/// second, since other VMs lend tokens too.
pub fn caller_retry_delay(refill_delay: Duration, fleet_rate: f64) -> Duration {
    refill_delay.min(bucket::refill_delay(RETRY_AFTER_TOKENS, fleet_rate))
}

/// Why an operation got no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenShortage {
    /// The time until a token is expected to be available.
    pub wait: Duration,
    /// Whether an owner of the rate denied the token. Otherwise, `wait` only counts this VM's own
    /// share.
    pub is_denied: bool,
}

impl TokenShortage {
    /// Returns after what time the refused caller should retry, for a rate of `fleet_rate` tokens
    /// per second over all VMs.
    pub fn caller_retry_delay(&self, fleet_rate: f64) -> Duration {
        if self.is_denied {
            self.wait
        } else {
            caller_retry_delay(self.wait, fleet_rate)
        }
    }
}

/// An owner's answer that tokens will not be available in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenDenial {
    /// The most urgent level that is denied.
    level: urgency::UrgencyLevel,
    /// When the denied operations are expected to get tokens.
    pub(super) available_at: Instant,
    /// Until when the denial holds for operations that have not asked.
    valid_until: Instant,
    /// How many owners in a row have denied tokens.
    count: u32,
}

impl TokenDenial {
    /// Returns the denial after another one; `previous` is the latest one before it.
    pub(super) fn new(
        previous: Option<Self>,
        level: urgency::UrgencyLevel,
        wait: Duration,
        now: Instant,
    ) -> Self {
        let previous = previous.filter(|denial| now < denial.valid_until);
        Self {
            level,
            available_at: now + wait.min(bucket::MAX_REFILL_DELAY),
            valid_until: now + wait.min(DENIAL_VALIDITY),
            count: previous.map_or(1, |denial| denial.count + 1),
        }
    }

    /// Returns whether operations of a level are denied.
    pub(super) fn applies_to(&self, level: urgency::UrgencyLevel, now: Instant) -> bool {
        level >= self.level && now < self.valid_until && self.count >= MIN_DENIALS
    }
}

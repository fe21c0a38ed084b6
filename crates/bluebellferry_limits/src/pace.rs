//! The pace of a cold backend server: how many statements all VMs together may send it.
//!
//! The load this answers is a server that has just started, or comes back from an outage or an
//! evacuation: its caches are empty, and all VMs turn to it at the same moment. The pace is a
//! rate like that of a workspace, so each VM owns or borrows its part of it, and the parts of
//! all VMs never add up to more, whether or not they reach each other.

use std::time::Duration;
use std::time::Instant;

use crate::bucket;

/// How long it takes at most until every VM knows of a registration that has changed: the
/// interval at which servers register, that at which registrations are listed, and the time to
/// copy them to the other VMs.
pub const REGISTRATION_DELAY: Duration = Duration::from_secs(4);
/// The part of what is tolerated that is used. The rest covers a VM that was cut off as its share
/// was reduced.
const USED_FRACTION: f64 = 0.9;
/// The burst in seconds of the rate that owners need to lend tokens without interruption; see
/// [`bucket::ShareBucket::set_owner`].
const MIN_BURST: Duration = Duration::from_millis(550);

/// How far the statements that a cold server receives within one second may exceed its pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceTolerance {
    /// The factor by which the pace may be exceeded; at least 1.
    pub factor: f64,
    /// The number of statements by which it may be exceeded besides.
    pub statements: f64,
}

impl Default for PaceTolerance {
    fn default() -> Self {
        Self {
            factor: 1.0,
            statements: 0.0,
        }
    }
}

impl PaceTolerance {
    /// Returns the rate and burst of a pace in statements per second. The rate and the burst
    /// together never exceed what is tolerated within one second.
    pub fn pace_of(self, per_second: f64) -> bucket::ShareSize {
        let tolerated = per_second * self.factor + self.statements;
        let used = tolerated * USED_FRACTION;
        let rate_per_second = per_second.min(used / (1.0 + MIN_BURST.as_secs_f64()));
        // A bucket that cannot hold a whole token never admits a statement.
        let burst = (used - rate_per_second).max(1.0).min(tolerated);
        bucket::ShareSize {
            rate_per_second: rate_per_second.min(tolerated - burst),
            burst,
        }
    }
}

/// What a VM knows of a server by its own connections to it: since when at least one of them has
/// been open without interruption.
///
/// A server can start again, cold, without any VM noticing except by connections that break.
#[derive(Debug, Clone, Copy, Default)]
pub struct ContactRecord {
    connected_since: Option<Instant>,
}

impl ContactRecord {
    /// Records that a connection was opened.
    pub fn record_opened(&mut self, now: Instant) {
        self.connected_since.get_or_insert(now);
    }

    /// Records that no connection is open any more, or that the server ended one: it may have
    /// started again.
    pub const fn record_interrupted(&mut self) {
        self.connected_since = None;
    }

    /// Returns whether statements to the server are paced: its registration says that it is
    /// cold, or may be too old to say so.
    pub fn is_paced(&self, is_registered_cold: bool, now: Instant) -> bool {
        let is_known_warm = self
            .connected_since
            .is_some_and(|since| now.saturating_duration_since(since) >= REGISTRATION_DELAY);
        is_registered_cold || !is_known_warm
    }
}

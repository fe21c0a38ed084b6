//! One VM's bucket of a workspace's tokens.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

/// How long moved tokens can be spent, counted from before they were asked for.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(250);
/// How long the giver keeps room for moved tokens, counted from after it sent
/// them. Twice the validity covers clocks that run at different speeds.
pub const LOAN_RESERVATION: Duration = Duration::from_millis(500);
/// How long an owner's loans are taken to be out: the validity and a tenth for clocks
/// that run at different speeds. In that time it lends no more than its rate adds.
const OWNER_LOAN_TIME: Duration = Duration::from_millis(275);
/// How long the process may go unobserved before it counts as having been
/// paused, which may have lasted long enough for another VM to take its place.
pub const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1_000);
/// How long a bucket stays shut after a pause, so that news of a replacement
/// can arrive first.
pub const SUSPENSION_RECOVERY_DELAY: Duration = Duration::from_millis(1_000);
/// How long a grown share waits before it is used, so that every VM has
/// shrunk its own first.
pub const GROWTH_DELAY: Duration = Duration::from_secs(5);

/// The shortest time between a process's end and its successor's first request:
/// it must be started and must have read the configuration.
pub const MIN_RESTART_DOWNTIME: Duration = Duration::from_millis(500);
/// The most sizes that wait to come into force.
const MAX_GROWTH_STEPS: usize = 8;

/// The longest time that is given for the next own token, also where none comes.
pub const MAX_REFILL_DELAY: Duration = Duration::from_secs(5);
/// The smallest part of a token that is worth a message.
pub const MIN_LOAN_TOKENS: f64 = 0.02;

/// The part of a workspace's rate and burst that a VM owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSize {
    /// Tokens that come back each second.
    pub rate_per_second: f64,
    /// The most tokens that can be saved up.
    pub burst: f64,
}

impl ShareSize {
    /// Returns the size that is within both.
    fn smaller_of(self, other: Self) -> Self {
        Self {
            rate_per_second: self.rate_per_second.min(other.rate_per_second),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The answer to a request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The token has been taken.
    Granted,
    /// No token is left; the next own one is there after this time.
    Empty {
        /// The time until the next own token.
        refill_delay: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct LentTokens {
    amount: f64,
    reserved_until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct BorrowedTokens {
    amount: f64,
    valid_until: Instant,
}

/// A bucket that refills at the owned rate, lends and borrows.
#[derive(Debug, Clone)]
pub struct ShareBucket {
    size: ShareSize,
    /// Larger sizes that come into force later, the earliest first.
    growth: SmallVec<[(Instant, ShareSize); 2]>,
    tokens: f64,
    refilled_at: Instant,
    shut_until: Instant,
    observed_at: Instant,
    /// Whether room for loans is always kept, rather than after each.
    is_owner: bool,
    lent: SmallVec<[LentTokens; 4]>,
    borrowed: SmallVec<[BorrowedTokens; 4]>,
}

impl ShareBucket {
    /// Creates a full bucket, for the first start of an environment.
    pub fn full(size: ShareSize, now: Instant) -> Self {
        Self {
            tokens: size.burst,
            refilled_at: now,
            ..Self::empty(size, now)
        }
    }

    /// Creates an empty bucket, for a VM that may replace another one whose
    /// tokens were spent a moment ago. It begins to refill once whatever that
    /// one may have lent has lapsed.
    pub fn empty(size: ShareSize, now: Instant) -> Self {
        Self {
            size,
            growth: SmallVec::new(),
            tokens: 0.0,
            refilled_at: now + LOAN_RESERVATION,
            shut_until: now,
            observed_at: now,
            is_owner: false,
            lent: SmallVec::new(),
            borrowed: SmallVec::new(),
        }
    }

    /// Creates the bucket of a process that was started anew under a name that
    /// it alone can have, and that spent nothing for at least [`MIN_RESTART_DOWNTIME`].
    ///
    /// It holds what would have come back meanwhile, so it never has more than
    /// if the process had gone on.
    pub fn restarted(size: ShareSize, now: Instant) -> Self {
        let refilled = size.rate_per_second * MIN_RESTART_DOWNTIME.as_secs_f64();
        Self {
            tokens: refilled.min(size.burst / 2.0),
            refilled_at: now,
            ..Self::empty(size, now)
        }
    }

    /// Changes the owned part. A smaller one holds at once, a larger one after
    /// [`GROWTH_DELAY`].
    pub fn resize(&mut self, size: ShareSize, now: Instant) {
        self.resize_after(size, GROWTH_DELAY, now);
    }

    /// Changes the owned part. A smaller one holds at once, a larger one after
    /// `delay`, by when every other VM must have shrunk its own.
    pub fn resize_after(&mut self, size: ShareSize, delay: Duration, now: Instant) {
        self.refill(now);
        self.size = self.size.smaller_of(size);
        self.tokens = self.tokens.min(self.capacity());
        // What was to grow before still does, up to the new size; a stream of
        // changes must not put growth off for ever.
        for (_, planned) in &mut self.growth {
            *planned = planned.smaller_of(size);
        }
        if self.growth.len() >= MAX_GROWTH_STEPS {
            self.growth.pop();
        }
        self.growth.push((now + delay, size));
    }

    /// Notes that the process is running. Without such notes for
    /// [`SUSPENSION_THRESHOLD`] the bucket is emptied and shut for [`SUSPENSION_RECOVERY_DELAY`].
    pub fn record_running(&mut self, now: Instant) {
        self.refill(now);
        self.observed_at = self.observed_at.max(now);
    }

    /// Takes one token.
    pub fn try_take(&mut self, now: Instant) -> TakeOutcome {
        let available = self.available(now);
        if available >= 1.0 {
            let owned = 1.0 - self.take_borrowed(1.0);
            self.tokens = (self.tokens - owned).max(0.0);
            return TakeOutcome::Granted;
        }
        let missing = 1.0 - available;
        let refill = Duration::try_from_secs_f64(missing / self.size.rate_per_second);
        let refill = refill.unwrap_or(MAX_REFILL_DELAY);
        let shut = self.refilled_at.saturating_duration_since(now);
        TakeOutcome::Empty {
            refill_delay: (refill + shut).min(MAX_REFILL_DELAY),
        }
    }

    /// Returns the tokens that can be spent now.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens + self.borrowed_total()
    }

    /// Returns whether the owned part is large enough to save up a whole token.
    pub fn can_hold_whole_token(&self) -> bool {
        self.size.burst >= 1.0
    }

    /// Returns the borrowed tokens that can be spent now.
    pub fn borrowed(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.borrowed_total()
    }

    fn borrowed_total(&self) -> f64 {
        self.borrowed.iter().map(|loan| loan.amount).sum()
    }

    /// Moves up to `asked` tokens out, leaving `keep` for own callers. Parts of
    /// tokens move too: of a small rate, no VM may have a whole token to spare.
    /// Returns how many were moved.
    pub fn lend(&mut self, asked: f64, keep: f64, now: Instant) -> f64 {
        self.refill(now);
        let mut amount = (self.tokens - keep).min(asked);
        // A part of a token is of no use to somebody who has asked one owner for a whole one.
        if self.is_owner && amount < asked {
            amount = amount.floor();
        }
        if !amount.is_finite() || amount < MIN_LOAN_TOKENS {
            return 0.0;
        }
        self.tokens -= amount;
        if self.room_for_loans().is_some() {
            return amount;
        }
        self.lent.push(LentTokens {
            amount,
            reserved_until: now + LOAN_RESERVATION,
        });
        amount
    }

    /// Takes tokens that another VM moved here; `asked_at` is an instant from
    /// before they were asked for.
    pub fn accept_loan(&mut self, amount: f64, asked_at: Instant, now: Instant) {
        self.refill(now);
        let valid_until = asked_at + LOAN_VALIDITY;
        let usable = amount.is_finite() && amount > 0.0 && valid_until > now;
        if usable && self.shut_until <= now {
            self.borrowed.push(BorrowedTokens {
                amount,
                valid_until,
            });
        }
    }

    /// Spends borrowed tokens, the oldest first; returns how many.
    fn take_borrowed(&mut self, wanted: f64) -> f64 {
        let mut taken = 0.0;
        for loan in &mut self.borrowed {
            let part = loan.amount.min(wanted - taken);
            loan.amount -= part;
            taken += part;
        }
        taken
    }

    /// Has the bucket always keep room for what it lends. Whatever is spent within a
    /// time left the bucket at most [`OWNER_LOAN_TIME`] before that, so with room for
    /// what the rate adds meanwhile no more is spent than if nothing were lent.
    pub fn set_owner(&mut self, is_owner: bool) {
        self.is_owner = is_owner;
    }

    /// Returns the room that is always kept, if that leaves most of the burst.
    fn room_for_loans(&self) -> Option<f64> {
        let added = self.size.rate_per_second * OWNER_LOAN_TIME.as_secs_f64();
        (self.is_owner && added <= self.size.burst / 2.0).then_some(added)
    }

    fn capacity(&self) -> f64 {
        if let Some(room) = self.room_for_loans() {
            return self.size.burst - room;
        }
        let lent: f64 = self.lent.iter().map(|loan| loan.amount).sum();
        (self.size.burst - lent).max(0.0)
    }

    fn refill(&mut self, now: Instant) {
        if now.saturating_duration_since(self.observed_at) > SUSPENSION_THRESHOLD {
            self.shut_after_pause(now);
        }
        self.lent.retain(|loan| loan.reserved_until > now);
        self.borrowed
            .retain(|loan| loan.valid_until > now && loan.amount > 0.0);
        while let Some((due, size)) = self.growth.first().copied().filter(|(due, _)| *due <= now) {
            self.add_refill(due);
            self.size = size;
            self.growth.remove(0);
        }
        self.add_refill(now);
    }

    fn add_refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.size.rate_per_second;
        self.tokens = refilled.min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn shut_after_pause(&mut self, now: Instant) {
        self.tokens = 0.0;
        self.borrowed.clear();
        self.refilled_at = now + SUSPENSION_RECOVERY_DELAY;
        self.shut_until = self.refilled_at;
        self.observed_at = now;
    }
}

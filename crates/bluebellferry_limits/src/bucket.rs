//! The token bucket that holds one VM's share of a workspace's rate.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

/// How long borrowed tokens can be spent, counted from an instant before the borrower
/// sent its token request.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(250);
/// How long the lender leaves room in its bucket for the tokens that it lent, counted
/// from after it sent them. Twice [`LOAN_VALIDITY`], which covers clocks that run at
/// different speeds.
pub const LOAN_RESERVATION: Duration = Duration::from_millis(500);
/// How long tokens lent by an owner count as outstanding: [`LOAN_VALIDITY`] plus a tenth
/// for clocks that run at different speeds. The owner leaves room for what its rate adds
/// in that time.
const OWNER_LOAN_LIFETIME: Duration = Duration::from_millis(275);
/// The longest time between two calls of [`ShareBucket::record_running`]. After a longer
/// one the process counts as having been suspended, possibly for so long that another
/// process has replaced it.
pub const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1_000);
/// How long a bucket stays closed after a suspension, so that the process can first
/// learn from other VMs whether it was replaced.
pub const SUSPENSION_RECOVERY_DELAY: Duration = Duration::from_millis(1_000);
/// The delay before a larger share takes effect, so that every other VM has reduced its
/// share first.
pub const GROWTH_DELAY: Duration = Duration::from_secs(5);

/// The shortest time between the end of a process and the first operation that its
/// replacement admits, which has to start and to read the configuration before that.
pub const MIN_RESTART_DOWNTIME: Duration = Duration::from_millis(500);
/// The most changes of a share's size that wait to take effect.
const MAX_PENDING_SIZES: usize = 8;

/// The upper bound of [`TakeOutcome::Empty`]'s delay, also used where the bucket never
/// refills.
pub const MAX_REFILL_DELAY: Duration = Duration::from_secs(5);
/// The smallest loan, in tokens; less is not worth a message.
pub const MIN_LOAN_TOKENS: f64 = 0.02;

/// Returns the time in which a number of tokens is added at a rate in tokens per second; at most
/// [`MAX_REFILL_DELAY`].
pub fn refill_delay(tokens: f64, rate_per_second: f64) -> Duration {
    let delay = Duration::try_from_secs_f64(tokens / rate_per_second);
    delay.map_or(MAX_REFILL_DELAY, |delay| delay.min(MAX_REFILL_DELAY))
}

/// The share of a workspace's rate and burst that a VM owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSize {
    /// The tokens that are added each second.
    pub rate_per_second: f64,
    /// The most tokens that the bucket can hold.
    pub burst: f64,
}

impl ShareSize {
    /// Returns the smaller rate and the smaller burst of the two sizes.
    fn smaller_of(self, other: Self) -> Self {
        Self {
            rate_per_second: self.rate_per_second.min(other.rate_per_second),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The outcome of taking a token from a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    /// A token was taken.
    Granted,
    /// The bucket holds less than one token.
    Empty {
        /// The time until the bucket has refilled to one token by itself, without loans.
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

/// A token bucket that refills at the owned rate, lends tokens to other VMs and spends
/// tokens borrowed from them.
#[derive(Debug, Clone)]
pub struct ShareBucket {
    size: ShareSize,
    /// Changes of size with the instant at which they take effect, the earliest first.
    pending_sizes: SmallVec<[(Instant, ShareSize); 2]>,
    tokens: f64,
    refilled_at: Instant,
    closed_until: Instant,
    last_running: Instant,
    /// Whether the bucket always leaves a fixed room for loans instead of reserving room
    /// for each loan.
    is_owner: bool,
    lent: SmallVec<[LentTokens; 4]>,
    borrowed: SmallVec<[BorrowedTokens; 4]>,
}

impl ShareBucket {
    /// Creates a full bucket, for the first start of a deployment.
    pub fn new_full(size: ShareSize, now: Instant) -> Self {
        Self {
            tokens: size.burst,
            refilled_at: now,
            ..Self::new_empty(size, now)
        }
    }

    /// Creates an empty bucket, for a VM that may replace another one which has only just
    /// spent its tokens. The bucket starts to refill once all loans of the replaced VM
    /// have expired.
    pub fn new_empty(size: ShareSize, now: Instant) -> Self {
        Self {
            size,
            pending_sizes: SmallVec::new(),
            tokens: 0.0,
            refilled_at: now + LOAN_RESERVATION,
            closed_until: now,
            last_running: now,
            is_owner: false,
            lent: SmallVec::new(),
            borrowed: SmallVec::new(),
        }
    }

    /// Creates the bucket of a process that was restarted under a name which no other
    /// process can have, and that spent nothing for at least [`MIN_RESTART_DOWNTIME`].
    ///
    /// The bucket holds what was added during that downtime, at most half of the burst,
    /// so never more than if the process had not stopped.
    pub fn new_restarted(size: ShareSize, now: Instant) -> Self {
        let refilled = size.rate_per_second * MIN_RESTART_DOWNTIME.as_secs_f64();
        Self {
            tokens: refilled.min(size.burst / 2.0),
            refilled_at: now,
            ..Self::new_empty(size, now)
        }
    }

    /// Changes the size of the owned share. A smaller share takes effect at once, a larger
    /// one after [`GROWTH_DELAY`].
    pub fn resize(&mut self, size: ShareSize, now: Instant) {
        self.resize_after(size, GROWTH_DELAY, now);
    }

    /// Changes the size of the owned share. A smaller share takes effect at once, a larger
    /// one after `delay`, by when every other VM must have reduced its share.
    pub fn resize_after(&mut self, size: ShareSize, delay: Duration, now: Instant) {
        self.reduce(size, now);
        // Pending growth still takes effect on time, limited to the new size: frequent
        // changes must not postpone growth for ever.
        for (_, pending_size) in &mut self.pending_sizes {
            *pending_size = pending_size.smaller_of(size);
        }
        // Sizes that would take effect later than this one are obsolete.
        let effective_at = now + delay;
        self.pending_sizes.retain(|(at, _)| *at < effective_at);
        if self.pending_sizes.len() >= MAX_PENDING_SIZES {
            self.pending_sizes.pop();
        }
        self.pending_sizes.push((effective_at, size));
    }

    /// Reduces the owned share to at most `size`, and drops growth that has not taken effect.
    pub fn shrink(&mut self, size: ShareSize, now: Instant) {
        self.reduce(size, now);
        self.pending_sizes.clear();
    }

    /// Puts a size into use at once, in place of all changes that have not taken effect. Every
    /// other VM must have reduced its share before.
    pub fn resize_now(&mut self, size: ShareSize, now: Instant) {
        self.refill(now);
        self.pending_sizes.clear();
        self.size = size;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn reduce(&mut self, size: ShareSize, now: Instant) {
        self.refill(now);
        self.size = self.size.smaller_of(size);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Records that the process is running. If that has not been recorded for
    /// [`SUSPENSION_THRESHOLD`], the bucket is emptied and stays closed for
    /// [`SUSPENSION_RECOVERY_DELAY`].
    pub fn record_running(&mut self, now: Instant) {
        self.refill(now);
        self.last_running = self.last_running.max(now);
    }

    /// Takes one token, borrowed ones first.
    pub fn try_take(&mut self, now: Instant) -> TakeOutcome {
        let available = self.available_tokens(now);
        if available >= 1.0 {
            let owned = 1.0 - self.spend_borrowed(1.0);
            self.tokens = (self.tokens - owned).max(0.0);
            return TakeOutcome::Granted;
        }
        let shortfall = 1.0 - available;
        let refill = refill_delay(shortfall, self.size.rate_per_second);
        let closed_for = self.refilled_at.saturating_duration_since(now);
        TakeOutcome::Empty {
            refill_delay: (refill + closed_for).min(MAX_REFILL_DELAY),
        }
    }

    /// Returns the number of tokens that can be spent now, owned and borrowed.
    pub fn available_tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens + self.borrowed_total()
    }

    /// Returns the most tokens that the bucket can hold now.
    pub fn max_tokens(&self) -> f64 {
        self.capacity()
    }

    /// Returns the rate at which the bucket refills, in tokens per second.
    pub const fn rate_per_second(&self) -> f64 {
        self.size.rate_per_second
    }

    /// Returns whether the owned burst is at least one whole token.
    pub fn can_hold_whole_token(&self) -> bool {
        self.size.burst >= 1.0
    }

    /// Returns the number of borrowed tokens that can be spent now.
    pub fn borrowed_tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.borrowed_total()
    }

    fn borrowed_total(&self) -> f64 {
        self.borrowed.iter().map(|loan| loan.amount).sum()
    }

    /// Takes up to `requested` tokens out of the bucket to lend them, leaving `reserve`
    /// for this VM's own callers, and returns how many were taken. Fractions of tokens are
    /// lent too: with a small rate, no VM may have a whole token to spare.
    pub fn lend(&mut self, requested: f64, reserve: f64, now: Instant) -> f64 {
        self.refill(now);
        let mut amount = (self.tokens - reserve).min(requested);
        // A borrower asks a single owner for whole tokens and can't use a fraction of one.
        if self.is_owner && amount < requested {
            amount = amount.floor();
        }
        if !amount.is_finite() || amount < MIN_LOAN_TOKENS {
            return 0.0;
        }
        self.tokens -= amount;
        if self.fixed_loan_room().is_some() {
            return amount;
        }
        self.lent.push(LentTokens {
            amount,
            reserved_until: now + LOAN_RESERVATION,
        });
        amount
    }

    /// Adds tokens that another VM lent to this one. `requested_at` is an instant before
    /// the token request was sent. Loans that have expired are dropped, and so are all
    /// loans while the bucket is closed after a suspension.
    pub fn accept_loan(&mut self, amount: f64, requested_at: Instant, now: Instant) {
        self.refill(now);
        let valid_until = requested_at + LOAN_VALIDITY;
        let is_usable = amount.is_finite() && amount > 0.0 && valid_until > now;
        if is_usable && self.closed_until <= now {
            self.borrowed.push(BorrowedTokens {
                amount,
                valid_until,
            });
        }
    }

    /// Spends up to `wanted` borrowed tokens, the oldest first, and returns how many.
    fn spend_borrowed(&mut self, wanted: f64) -> f64 {
        let mut spent = 0.0;
        for loan in &mut self.borrowed {
            let amount = loan.amount.min(wanted - spent);
            loan.amount -= amount;
            spent += amount;
        }
        spent
    }

    /// Sets whether this VM is an owner, whose bucket always leaves a fixed room for loans.
    ///
    /// The room is what the rate adds within `OWNER_LOAN_LIFETIME`. A lent token is spent
    /// at most that long after it left the bucket, so within any period no more tokens are
    /// spent than if none were lent.
    pub fn set_owner(&mut self, is_owner: bool) {
        self.is_owner = is_owner;
    }

    /// Returns an owner's fixed room for loans in tokens, or `None` if it would take up more
    /// than half of the burst.
    fn fixed_loan_room(&self) -> Option<f64> {
        let added = self.size.rate_per_second * OWNER_LOAN_LIFETIME.as_secs_f64();
        (self.is_owner && added <= self.size.burst / 2.0).then_some(added)
    }

    fn capacity(&self) -> f64 {
        if let Some(room) = self.fixed_loan_room() {
            return self.size.burst - room;
        }
        let lent: f64 = self.lent.iter().map(|loan| loan.amount).sum();
        (self.size.burst - lent).max(0.0)
    }

    fn refill(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_running) > SUSPENSION_THRESHOLD {
            self.close_after_suspension(now);
        }
        self.lent.retain(|loan| loan.reserved_until > now);
        self.borrowed
            .retain(|loan| loan.valid_until > now && loan.amount > 0.0);
        while let Some((effective_at, size)) = self
            .pending_sizes
            .first()
            .copied()
            .filter(|(effective_at, _)| *effective_at <= now)
        {
            self.add_refill(effective_at);
            self.size = size;
            self.pending_sizes.remove(0);
        }
        self.add_refill(now);
    }

    fn add_refill(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.size.rate_per_second;
        self.tokens = refilled.min(self.capacity());
        self.refilled_at = self.refilled_at.max(until);
    }

    fn close_after_suspension(&mut self, now: Instant) {
        self.tokens = 0.0;
        self.borrowed.clear();
        self.refilled_at = now + SUSPENSION_RECOVERY_DELAY;
        self.closed_until = self.refilled_at;
        self.last_running = now;
    }
}

//! Keeps this VM within its shares of the rates that hold over all VMs, each by a token bucket.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::demand;
use bluebellferry_limits::urgency;
use bluebellferry_types::limit;
use tokio::sync::Notify;

mod loans;
mod shortage;

pub use loans::LoanAnswer;
pub use loans::WantedTokens;
pub use shortage::TokenShortage;
pub use shortage::caller_retry_delay;

/// How long an operation waits for tokens that were requested from other VMs: a round trip
/// between regions.
pub const MAX_LOAN_WAIT: Duration = Duration::from_millis(40);
/// How long an operation waits for a token of an owner, which may be in another region.
/// That leaves time for a second token request after one that came too early.
pub const MAX_OWNER_LOAN_WAIT: Duration = Duration::from_millis(160);
/// The longest round trip to a lender: between regions, forwarded by a VM on the way. An
/// operation that stops waiting sooner than that does not count when tokens are requested.
pub const MAX_ROUND_TRIP: Duration = Duration::from_millis(60);
/// The shortest time between two token requests for one limit.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// How often a waiting operation triggers another token request.
const RETRY_INTERVAL: Duration = Duration::from_millis(6);
/// The fewest tokens that a share must be able to hold to reserve some for more urgent callers of
/// this VM. In a smaller one, the reserve would take up a large part of the burst.
const MIN_RESERVING_TOKENS: f64 = 4.0;
/// How long an operation within a transaction waits for a token, since refusing it would
/// roll back the whole transaction.
pub const MAX_TRANSACTION_WAIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct LimitBucket {
    bucket: bucket::ShareBucket,
    demand: demand::DemandMeter,
    urgency: urgency::UrgencyMeter,
    requested_at: Instant,
    denial: Option<shortage::TokenDenial>,
}

impl LimitBucket {
    /// Takes a token for an operation if enough are left for the more urgent ones, of which
    /// `urgent_waiting` wait on this VM.
    fn take_ordered(
        &mut self,
        level: urgency::UrgencyLevel,
        urgent_waiting: usize,
        now: Instant,
    ) -> bucket::TakeOutcome {
        let borrowed = self.bucket.borrowed_tokens(now);
        let available = self.bucket.available_tokens(now);
        let owned = available - borrowed;
        let spare = self.bucket.max_tokens();
        let reserve = if spare >= MIN_RESERVING_TOKENS {
            self.urgency.reserve_for(level, spare, now)
        } else {
            0.0
        };
        let unreserved = available - urgent_waiting as f64;
        // Borrowed tokens were lent for the operations that wait here, and expire soon.
        let usable = unreserved - reserve.min(owned);
        let may_take = usable >= 1.0 || (unreserved >= 1.0 && self.urgency.take_credit(level));
        if !may_take {
            let rate_per_second = self.bucket.rate_per_second();
            return bucket::TakeOutcome::Empty {
                refill_delay: bucket::refill_delay(1.0 - usable, rate_per_second),
            };
        }
        let outcome = self.bucket.try_take(now);
        if outcome == bucket::TakeOutcome::Granted {
            self.urgency.record_granted(1.0);
        }
        outcome
    }

    /// Returns the tokens to keep for this VM's own callers.
    fn own_reserve(&mut self, now: Instant) -> f64 {
        if self.bucket.can_hold_whole_token() {
            self.demand.own_reserve(now)
        } else {
            // Less than a whole token never admits an operation by itself.
            0.0
        }
    }

    /// Takes up to `requested` tokens for operations of a level on another VM. Returns how many
    /// were taken, and when the next one is expected if some are missing.
    fn lend_at(
        &mut self,
        level: urgency::UrgencyLevel,
        requested: f64,
        own_reserve: f64,
        now: Instant,
    ) -> (f64, Option<Duration>) {
        self.urgency.record_wanted(level, requested, now);
        let spare = self.bucket.max_tokens() - own_reserve;
        let reserve = self.urgency.reserve_for(level, spare, now) + own_reserve;
        let mut lent = self.bucket.lend(requested, reserve, now);
        let has_token = self.bucket.available_tokens(now) >= 1.0;
        if lent < 1.0 && has_token && self.urgency.take_credit(level) {
            lent += self.bucket.lend(1.0, 0.0, now);
        }
        self.urgency.record_granted(lent);
        let missing = requested - lent;
        if missing < 1.0 {
            return (lent, None);
        }
        let needed = (1.0 + reserve - self.bucket.available_tokens(now)).max(0.0);
        let rate = self.bucket.rate_per_second();
        let wait = self.urgency.expected_wait(level, needed, rate, now);
        self.urgency.record_denied(level, missing, now);
        (lent, Some(wait))
    }
}

/// Counts a waiting operation, for which tokens are requested from other VMs, until it is
/// dropped.
struct WaitingOperation<'a> {
    waiting: &'a AtomicUsize,
    level: urgency::UrgencyLevel,
    is_counted: bool,
}

impl<'a> WaitingOperation<'a> {
    fn new(waiting: &'a [AtomicUsize; urgency::LEVELS], level: urgency::UrgencyLevel) -> Self {
        let waiting = &waiting[level.index()];
        waiting.fetch_add(1, Ordering::Relaxed);
        Self {
            waiting,
            level,
            is_counted: true,
        }
    }

    fn stop_counting(&mut self) {
        if std::mem::take(&mut self.is_counted) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for WaitingOperation<'_> {
    fn drop(&mut self) {
        self.stop_counting();
    }
}

/// This VM's share of one rate.
#[derive(Debug)]
pub struct RateShare {
    state: Mutex<LimitBucket>,
    /// The operations of each urgency level that wait for a token.
    waiting: [AtomicUsize; urgency::LEVELS],
    tokens_arrived: Notify,
    clock: LimiterClock,
}

impl RateShare {
    fn lock(&self) -> std::sync::MutexGuard<'_, LimitBucket> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an operation towards the demand for this rate.
    pub fn count_operation(&self, now: Instant) {
        self.lock().demand.count_operation(now);
    }

    /// Takes a token if one is available, and returns whether it did.
    pub fn try_take(&self, now: Instant) -> bool {
        self.lock().bucket.try_take(now) == bucket::TakeOutcome::Granted
    }

    /// Sets the number of most urgent operations that wait for a token.
    pub fn set_waiting(&self, waiting: usize) {
        self.set_waiting_at(urgency::UrgencyLevel::default(), waiting);
    }

    /// Sets the number of operations of an urgency level that wait for a token.
    pub fn set_waiting_at(&self, level: urgency::UrgencyLevel, waiting: usize) {
        self.waiting[level.index()].store(waiting, Ordering::Relaxed);
    }

    /// Counts an operation of an urgency level, and takes a token for it if one may be taken.
    pub fn try_take_urgent(&self, level: urgency::UrgencyLevel, now: Instant) -> bool {
        {
            let mut state = self.lock();
            state.demand.count_operation(now);
            state.urgency.record_wanted(level, 1.0, now);
        }
        self.take_in_order(level, now) == bucket::TakeOutcome::Granted
    }

    /// Takes a token, waiting at most `max_wait` for one. `tokens_wanted` is notified when
    /// tokens should be requested from other VMs.
    ///
    /// # Errors
    /// Returns the time until this VM's own share has refilled to one token, if none became
    /// available in time.
    pub async fn admit(&self, max_wait: Duration, tokens_wanted: &Notify) -> Result<(), Duration> {
        let level = urgency::UrgencyLevel::default();
        let admitted = self.admit_urgent(level, max_wait, tokens_wanted).await;
        admitted.map_err(|shortage| shortage.wait)
    }

    /// Takes a token for an operation of an urgency level, waiting at most `max_wait` for one.
    /// `tokens_wanted` is notified when tokens should be requested from other VMs.
    ///
    /// # Errors
    /// Returns when a token is expected to be available. The error comes at once if it is known
    /// that none will be in time.
    pub async fn admit_urgent(
        &self,
        level: urgency::UrgencyLevel,
        max_wait: Duration,
        tokens_wanted: &Notify,
    ) -> Result<(), TokenShortage> {
        let started = self.clock.now();
        if self.try_take_urgent(level, started) {
            return Ok(());
        }
        let mut operation = WaitingOperation::new(&self.waiting, level);
        self.wait_for_token(started, max_wait, tokens_wanted, &mut operation)
            .await
    }

    /// Takes a token for an operation that was counted before.
    pub fn take_in_order(&self, level: urgency::UrgencyLevel, now: Instant) -> bucket::TakeOutcome {
        let more_urgent = self.waiting[..level.index()].iter();
        let urgent_waiting = more_urgent.map(|waiting| waiting.load(Ordering::Relaxed));
        let urgent_waiting = urgent_waiting.sum();
        self.lock().take_ordered(level, urgent_waiting, now)
    }

    /// Returns whether an operation that is more urgent than `level` waits for a token.
    pub fn waits_for_more_urgent(&self, level: urgency::UrgencyLevel) -> bool {
        let mut more_urgent = self.waiting[..level.index()].iter();
        more_urgent.any(|waiting| waiting.load(Ordering::Relaxed) > 0)
    }

    /// Returns when tokens are expected, if an owner has denied them to operations of this level.
    pub fn denial_of(&self, level: urgency::UrgencyLevel, now: Instant) -> Option<Instant> {
        let denial = self.lock().denial?;
        denial.applies_to(level, now).then_some(denial.available_at)
    }

    /// Returns whether an operation of a level is likely to get a token: no owner has just denied
    /// one.
    pub fn is_promising(&self, level: urgency::UrgencyLevel, now: Instant) -> bool {
        self.denial_of(level, now).is_none()
    }

    /// Records an owner's answer that operations of a level, and less urgent ones, get no token
    /// before `wait` has passed. Wakes the operations that wait.
    pub fn record_denial(&self, level: urgency::UrgencyLevel, wait: Duration, now: Instant) {
        let mut state = self.lock();
        state.denial = Some(shortage::TokenDenial::new(state.denial, level, wait, now));
        drop(state);
        self.tokens_arrived.notify_waiters();
    }

    async fn wait_for_token(
        &self,
        started: Instant,
        max_wait: Duration,
        tokens_wanted: &Notify,
        operation: &mut WaitingOperation<'_>,
    ) -> Result<(), TokenShortage> {
        loop {
            let arrival = self.tokens_arrived.notified();
            let now = self.clock.now();
            let outcome = self.take_in_order(operation.level, now);
            let bucket::TakeOutcome::Empty { refill_delay } = outcome else {
                return Ok(());
            };
            let remaining = max_wait.saturating_sub(now - started);
            if let Some(available_at) = self.denial_of(operation.level, now)
                && available_at > started + max_wait
            {
                return Err(TokenShortage {
                    wait: available_at - now,
                    is_denied: true,
                });
            }
            if remaining.is_zero() {
                return Err(TokenShortage {
                    wait: refill_delay,
                    is_denied: false,
                });
            }
            if max_wait > MAX_ROUND_TRIP && remaining < MAX_ROUND_TRIP {
                operation.stop_counting();
            }
            tokens_wanted.notify_one();
            let pause = refill_delay.min(remaining).min(RETRY_INTERVAL);
            tokio::time::timeout(pause, arrival).await.ok();
        }
    }

    /// Takes tokens out of the bucket to lend them to another VM: at most as many as operations
    /// of each level want, and for less urgent ones only those that are not reserved. Returns how
    /// many were taken, and the most urgent level that gets none in time, with its wait.
    pub fn lend_ordered(&self, wanted: &WantedTokens, now: Instant) -> LoanAnswer {
        let mut state = self.lock();
        let own_reserve = state.own_reserve(now);
        let mut answer = LoanAnswer::default();
        for level in urgency::UrgencyLevel::all() {
            let requested = wanted.0[level.index()];
            if requested <= 0.0 {
                continue;
            }
            let (lent, wait) = state.lend_at(level, requested, own_reserve, now);
            answer.lent += lent;
            let is_denied = wait.is_some_and(|wait| wait > MAX_OWNER_LOAN_WAIT);
            if lent < 1.0 && is_denied && answer.denied.is_none() {
                answer.denied = wait.map(|wait| (level, wait));
            }
        }
        answer
    }

    /// Takes up to `requested` tokens out of the bucket to lend them to another VM, and
    /// returns how many were taken.
    pub fn lend(&self, requested: f64, now: Instant) -> f64 {
        let mut state = self.lock();
        let reserve = state.own_reserve(now);
        state.bucket.lend(requested, reserve, now)
    }

    /// Adds tokens that another VM lent and wakes the operations that wait for one.
    /// `requested_at` is an instant before the token request was sent.
    pub fn accept_loan(&self, amount: f64, requested_at: Instant, now: Instant) {
        let mut state = self.lock();
        state.bucket.accept_loan(amount, requested_at, now);
        state.denial = None;
        drop(state);
        self.tokens_arrived.notify_waiters();
    }

    /// Returns how many tokens to request from other VMs now, if any, and records the time
    /// of the request.
    pub fn start_token_request(&self, now: Instant) -> Option<f64> {
        self.start_request(demand::DemandMeter::shortfall, now)
    }

    /// Returns how many whole tokens of which levels to request from an owner now, if any, and
    /// records the time of the request.
    pub fn start_owner_token_request(&self, now: Instant) -> Option<WantedTokens> {
        let shortfall = self.start_request(demand::DemandMeter::whole_token_shortfall, now)?;
        let waiting = self.waiting.iter();
        let waiting = waiting.map(|waiting| waiting.load(Ordering::Relaxed) as f64);
        Some(WantedTokens::from_shortfall(shortfall, waiting))
    }

    fn start_request(
        &self,
        shortfall_of: fn(&mut demand::DemandMeter, f64, usize, Instant) -> f64,
        now: Instant,
    ) -> Option<f64> {
        let mut state = self.lock();
        if now.saturating_duration_since(state.requested_at) < MIN_REQUEST_INTERVAL {
            return None;
        }
        let available = state.bucket.available_tokens(now);
        let waiting = self.waiting.iter();
        let waiting = waiting.map(|waiting| waiting.load(Ordering::Relaxed)).sum();
        let shortfall = shortfall_of(&mut state.demand, available, waiting, now);
        if shortfall <= 0.0 {
            return None;
        }
        state.requested_at = now;
        Some(shortfall)
    }

    /// Returns the operations per second that callers have started lately, admitted or not.
    pub fn demand_per_second(&self, now: Instant) -> f64 {
        self.lock().demand.per_second(now)
    }

    /// Returns the number of tokens that can be spent now, owned and borrowed.
    pub fn available_tokens(&self, now: Instant) -> f64 {
        self.lock().bucket.available_tokens(now)
    }
}

type ShareMap = BTreeMap<limit::LimitKey, Arc<RateShare>>;

/// The clock that the buckets read.
#[derive(Debug, Clone, Copy)]
pub struct LimiterClock(pub fn() -> Instant);

impl LimiterClock {
    fn now(self) -> Instant {
        (self.0)()
    }
}

/// This VM's shares of all rates.
#[derive(Debug)]
pub struct RateLimiter {
    shares: RwLock<ShareMap>,
    clock: LimiterClock,
    /// Creates the bucket of a limit that is new to this process. By default it is
    /// empty: a process that this one replaces may just have spent its tokens.
    new_bucket: fn(bucket::ShareSize, Instant) -> bucket::ShareBucket,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self::with_clock(LimiterClock(Instant::now))
    }
}

impl RateLimiter {
    /// Creates a limiter without limits, which reads the time from `clock`.
    pub fn with_clock(clock: LimiterClock) -> Self {
        Self {
            new_bucket: bucket::ShareBucket::new_empty,
            shares: RwLock::default(),
            clock,
        }
    }

    /// Returns the limiter with buckets that may start with tokens, for a process which no
    /// other process can have replaced while it was down; see
    /// [`bucket::ShareBucket::new_restarted`].
    #[must_use]
    pub fn with_restarted_buckets(mut self) -> Self {
        self.new_bucket = bucket::ShareBucket::new_restarted;
        self
    }

    /// Returns this VM's share of a rate.
    pub fn find(&self, key: impl Into<limit::LimitKey>) -> Option<Arc<RateShare>> {
        self.read().get(&key.into()).cloned()
    }

    /// Returns this VM's shares of all rates.
    pub fn all_shares(&self) -> Vec<(limit::LimitKey, Arc<RateShare>)> {
        self.read()
            .iter()
            .map(|(key, share)| (key.clone(), Arc::clone(share)))
            .collect()
    }

    /// Sets whether rates are owned by a few VMs that lend to the others; see
    /// [`bucket::ShareBucket::set_owner`].
    pub fn set_owners(&self, has_owners: bool) {
        for share in self.read().values() {
            let mut state = share.lock();
            state.bucket.set_owner(has_owners);
        }
    }

    /// Records that the process is running; see [`bucket::ShareBucket::record_running`].
    pub fn record_running(&self, now: Instant) {
        for share in self.read().values() {
            share.lock().bucket.record_running(now);
        }
    }

    /// Applies the sizes of this VM's shares, one for each limit. Smaller
    /// shares take effect at once, larger ones after `delay`.
    pub fn apply_sizes(
        &self,
        sizes: &BTreeMap<limit::LimitKey, bucket::ShareSize>,
        delay: Duration,
    ) {
        self.update_sizes(sizes, |bucket, size, now| {
            bucket.resize_after(size, delay, now);
        });
    }

    /// Puts the sizes of this VM's shares into use at once, one for each limit. Every other VM
    /// must have reduced its shares before.
    pub fn apply_sizes_now(&self, sizes: &BTreeMap<limit::LimitKey, bucket::ShareSize>) {
        self.update_sizes(sizes, bucket::ShareBucket::resize_now);
    }

    /// Reduces this VM's shares to at most the given sizes, one for each limit.
    pub fn shrink_to(&self, sizes: &BTreeMap<limit::LimitKey, bucket::ShareSize>) {
        self.update_sizes(sizes, bucket::ShareBucket::shrink);
    }

    fn update_sizes(
        &self,
        sizes: &BTreeMap<limit::LimitKey, bucket::ShareSize>,
        update: impl Fn(&mut bucket::ShareBucket, bucket::ShareSize, Instant),
    ) {
        let now = self.clock.now();
        let mut shares = self.shares.write().unwrap_or_else(PoisonError::into_inner);
        shares.retain(|key, _| sizes.contains_key(key));
        for (key, size) in sizes {
            match shares.get(key) {
                Some(share) => update(&mut share.lock().bucket, *size, now),
                None => {
                    let bucket = (self.new_bucket)(*size, now);
                    let share = new_share(bucket, self.clock, now);
                    shares.insert(key.clone(), Arc::new(share));
                }
            }
        }
    }

    /// Replaces each bucket by a new one of the given size, for the first allocation after
    /// all VMs of a fleet were restarted.
    pub fn restart(&self, sizes: &BTreeMap<limit::LimitKey, bucket::ShareSize>) {
        let now = self.clock.now();
        for (key, share) in self.read().iter() {
            if let Some(size) = sizes.get(key) {
                share.lock().bucket = (self.new_bucket)(*size, now);
            }
        }
    }

    /// Reduces every share to zero permanently, after another process has replaced this one.
    pub fn close_all(&self, now: Instant) {
        let no_share = bucket::ShareSize {
            rate_per_second: 0.0,
            burst: 0.0,
        };
        for share in self.read().values() {
            share.lock().bucket.resize(no_share, now);
        }
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, ShareMap> {
        self.shares.read().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_share(bucket: bucket::ShareBucket, clock: LimiterClock, now: Instant) -> RateShare {
    RateShare {
        state: Mutex::new(LimitBucket {
            bucket,
            demand: demand::DemandMeter::new(now),
            urgency: urgency::UrgencyMeter::new(now),
            requested_at: now,
            denial: None,
        }),
        waiting: std::array::from_fn(|_| AtomicUsize::new(0)),
        tokens_arrived: Notify::new(),
        clock,
    }
}

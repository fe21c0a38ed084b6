//! The token buckets of all workspaces on this VM.

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
use bluebellferry_types::name;
use tokio::sync::Notify;

/// How long a request waits for tokens that have been asked for: a round trip between
/// regions.
pub const MAX_LOAN_WAIT: Duration = Duration::from_millis(40);
/// How long a request waits for a token of an owner, which may be in another region:
/// time for a second try after one that came too early.
pub const MAX_OWNER_LOAN_WAIT: Duration = Duration::from_millis(160);
/// The longest round trip to a lender: between regions, with a stop on the way. For a
/// request that is given up sooner than that, no more tokens are asked.
pub const MAX_ROUND_TRIP: Duration = Duration::from_millis(60);
/// How often tokens of one workspace are asked for at the most.
const ASK_INTERVAL: Duration = Duration::from_millis(5);
/// How often a waiting request has tokens asked for again.
const ASK_AGAIN: Duration = Duration::from_millis(6);
/// How long a request within a transaction waits, since refusing it undoes all
/// of the transaction.
pub const MAX_TRANSACTION_WAIT: Duration = Duration::from_secs(2);

/// How many tokens of the fleet come back before a refused caller does: others wait for
/// the first ones.
const COME_BACK_TOKENS: f64 = 4.0;

/// Returns when a refused caller should come back. `refill_delay` is the time until the
/// next token of this VM's part, which may be small or nothing, `fleet_rate` what comes
/// back for the workspace a second, wherever it is lent from.
pub fn caller_retry_delay(refill_delay: Duration, fleet_rate: f64) -> Duration {
    let of_fleet = Duration::try_from_secs_f64(COME_BACK_TOKENS / fleet_rate);
    refill_delay.min(of_fleet.unwrap_or(bucket::MAX_REFILL_DELAY))
}

#[derive(Debug)]
struct WorkspaceBucket {
    bucket: bucket::ShareBucket,
    demand: demand::DemandMeter,
    asked_at: Instant,
}

/// A waiting request for which tokens are asked of others.
struct WaitingAsk<'a> {
    waiting: &'a AtomicUsize,
    is_counted: bool,
}

impl<'a> WaitingAsk<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self {
            waiting,
            is_counted: true,
        }
    }

    fn withdraw(&mut self) {
        if std::mem::take(&mut self.is_counted) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for WaitingAsk<'_> {
    fn drop(&mut self) {
        self.withdraw();
    }
}

/// One workspace's tokens on this VM.
#[derive(Debug)]
pub struct WorkspaceShare {
    state: Mutex<WorkspaceBucket>,
    waiting: AtomicUsize,
    arrived: Notify,
    clock: LimiterClock,
}

impl WorkspaceShare {
    fn lock(&self) -> std::sync::MutexGuard<'_, WorkspaceBucket> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an operation that a caller asks for.
    pub fn count(&self, now: Instant) {
        self.lock().demand.count(now);
    }

    /// Takes a token if there is one.
    pub fn try_take(&self, now: Instant) -> bool {
        self.lock().bucket.try_take(now) == bucket::TakeOutcome::Granted
    }

    /// Sets how many callers wait for a token.
    pub fn set_waiting(&self, waiting: usize) {
        self.waiting.store(waiting, Ordering::Relaxed);
    }

    /// Takes a token, waiting at most `limit` for one that is about to come; `wanted`
    /// is notified when others should be asked for some.
    ///
    /// # Errors
    /// Returns when the next own token is due, if none came in time.
    pub async fn admit(&self, limit: Duration, wanted: &Notify) -> Result<(), Duration> {
        let started = self.clock.now();
        self.count(started);
        if self.try_take(started) {
            return Ok(());
        }
        let mut ask = WaitingAsk::new(&self.waiting);
        self.wait_for_token(started, limit, wanted, &mut ask).await
    }

    async fn wait_for_token(
        &self,
        started: Instant,
        limit: Duration,
        wanted: &Notify,
        ask: &mut WaitingAsk<'_>,
    ) -> Result<(), Duration> {
        loop {
            let arrival = self.arrived.notified();
            let now = self.clock.now();
            let answer = self.lock().bucket.try_take(now);
            let bucket::TakeOutcome::Empty { refill_delay } = answer else {
                return Ok(());
            };
            let left = limit.saturating_sub(now - started);
            if left.is_zero() {
                return Err(refill_delay);
            }
            if limit > MAX_ROUND_TRIP && left < MAX_ROUND_TRIP {
                ask.withdraw();
            }
            wanted.notify_one();
            let wait = refill_delay.min(left).min(ASK_AGAIN);
            tokio::time::timeout(wait, arrival).await.ok();
        }
    }

    /// Moves tokens out for another VM; returns how many.
    pub fn lend(&self, asked: f64, now: Instant) -> f64 {
        let mut state = self.lock();
        let keep = if state.bucket.can_hold_whole_token() {
            state.demand.own_reserve(now)
        } else {
            // On its own it never suffices for an operation.
            0.0
        };
        state.bucket.lend(asked, keep, now)
    }

    /// Takes tokens that another VM moved here.
    pub fn accept_loan(&self, amount: f64, asked_at: Instant, now: Instant) {
        self.lock().bucket.accept_loan(amount, asked_at, now);
        self.arrived.notify_waiters();
    }

    /// Returns how many tokens to ask of other VMs now, if any.
    pub fn start_token_request(&self, now: Instant) -> Option<f64> {
        self.begin_ask_for(demand::DemandMeter::shortfall, now)
    }

    /// Returns how many whole tokens to ask an owner for now, if any.
    pub fn start_owner_token_request(&self, now: Instant) -> Option<f64> {
        self.begin_ask_for(demand::DemandMeter::whole_token_shortfall, now)
    }

    fn begin_ask_for(
        &self,
        missing: fn(&mut demand::DemandMeter, f64, usize, Instant) -> f64,
        now: Instant,
    ) -> Option<f64> {
        let mut state = self.lock();
        if now.saturating_duration_since(state.asked_at) < ASK_INTERVAL {
            return None;
        }
        let available = state.bucket.available(now);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let missing = missing(&mut state.demand, available, waiting, now);
        if missing <= 0.0 {
            return None;
        }
        state.asked_at = now;
        Some(missing)
    }

    /// Returns the operations a second that callers have asked for.
    pub fn demand_per_second(&self, now: Instant) -> f64 {
        self.lock().demand.per_second(now)
    }

    /// Returns the tokens that can be spent now.
    pub fn available(&self, now: Instant) -> f64 {
        self.lock().bucket.available(now)
    }
}

type ShareMap = BTreeMap<name::WorkspaceName, Arc<WorkspaceShare>>;

/// Where buckets read the time from.
#[derive(Debug, Clone, Copy)]
pub struct LimiterClock(pub fn() -> Instant);

impl LimiterClock {
    fn now(self) -> Instant {
        (self.0)()
    }
}

/// All workspaces' tokens.
#[derive(Debug)]
pub struct RateLimiter {
    shares: RwLock<ShareMap>,
    clock: LimiterClock,
    /// What a workspace that is new to this process starts with. By default that
    /// is nothing: whatever ran in this place before may just have spent its tokens.
    new_bucket: fn(bucket::ShareSize, Instant) -> bucket::ShareBucket,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self::with_clock(LimiterClock(Instant::now))
    }
}

impl RateLimiter {
    /// Creates a limiter without workspaces that reads the time from `clock`.
    pub fn with_clock(clock: LimiterClock) -> Self {
        Self {
            new_bucket: bucket::ShareBucket::empty,
            shares: RwLock::default(),
            clock,
        }
    }

    /// Returns the limiter of a process that nothing can have replaced while it
    /// was down; see [`bucket::ShareBucket::restarted`].
    #[must_use]
    pub fn with_restarted_buckets(mut self) -> Self {
        self.new_bucket = bucket::ShareBucket::restarted;
        self
    }

    /// Returns a workspace's tokens.
    pub fn find(&self, workspace: &name::WorkspaceName) -> Option<Arc<WorkspaceShare>> {
        self.read().get(workspace).cloned()
    }

    /// Returns all workspaces with their tokens.
    pub fn all(&self) -> Vec<(name::WorkspaceName, Arc<WorkspaceShare>)> {
        self.read()
            .iter()
            .map(|(name, share)| (name.clone(), Arc::clone(share)))
            .collect()
    }

    /// Tells whether tokens are lent by their owners only.
    pub fn set_owners(&self, are_owners: bool) {
        for share in self.read().values() {
            share.lock().bucket.set_owner(are_owners);
        }
    }

    /// Notes that the process is running.
    pub fn record_running(&self, now: Instant) {
        for share in self.read().values() {
            share.lock().bucket.record_running(now);
        }
    }

    /// Applies the sizes of this VM's parts, one for each workspace in force.
    /// Larger ones hold after `delay`.
    pub fn apply_sizes(
        &self,
        sizes: &BTreeMap<name::WorkspaceName, bucket::ShareSize>,
        delay: Duration,
    ) {
        let now = self.clock.now();
        let mut shares = self.shares.write().unwrap_or_else(PoisonError::into_inner);
        shares.retain(|workspace, _| sizes.contains_key(workspace));
        for (workspace, size) in sizes {
            match shares.get(workspace) {
                Some(share) => share.lock().bucket.resize_after(*size, delay, now),
                None => {
                    let bucket = (self.new_bucket)(*size, now);
                    let share = new_share(bucket, self.clock, now);
                    shares.insert(workspace.clone(), Arc::new(share));
                }
            }
        }
    }

    /// Applies the sizes of the first parts that a fleet deals out after all of it was
    /// started anew: each bucket begins again, at its new size.
    pub fn restart(&self, sizes: &BTreeMap<name::WorkspaceName, bucket::ShareSize>) {
        let now = self.clock.now();
        for (workspace, share) in self.read().iter() {
            if let Some(size) = sizes.get(workspace) {
                share.lock().bucket = (self.new_bucket)(*size, now);
            }
        }
    }

    /// Empties every bucket for good, after another process took this place.
    pub fn close_all(&self, now: Instant) {
        let nothing = bucket::ShareSize {
            rate_per_second: 0.0,
            burst: 0.0,
        };
        for share in self.read().values() {
            share.lock().bucket.resize(nothing, now);
        }
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, ShareMap> {
        self.shares.read().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_share(bucket: bucket::ShareBucket, clock: LimiterClock, now: Instant) -> WorkspaceShare {
    WorkspaceShare {
        state: Mutex::new(WorkspaceBucket {
            bucket,
            demand: demand::DemandMeter::new(now),
            asked_at: now,
        }),
        waiting: AtomicUsize::new(0),
        arrived: Notify::new(),
        clock,
    }
}

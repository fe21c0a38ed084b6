//! What control and traffic share.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use bluebellferry_shares::limiter;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::cancel;
use crate::floor;
use crate::metrics;
use crate::prepared;
use crate::settings;
use crate::snapshot;

/// The shared state of one proxy process.
#[derive(Debug)]
pub struct ProxyShared {
    /// The settings.
    pub settings: settings::ProxySettings,
    /// Drawn anew at each start; later starts have higher ones.
    pub incarnation: u64,
    /// The counters.
    pub metrics: metrics::ProxyMetrics,
    /// The token buckets.
    pub shares: limiter::RateLimiter,
    /// Notified when callers wait for tokens.
    pub tokens_wanted: Notify,
    /// The sessions that cancel requests can reach.
    pub cancels: cancel::CancelRegistry,
    /// The statements that databases are known to accept.
    pub prepared: prepared::PreparedRegistry,
    /// The probes for session floors.
    pub floors: floor::FloorProbes,
    callers: AtomicUsize,
    snapshot: ArcSwap<snapshot::ControlSnapshot>,
    changed: watch::Sender<u64>,
}

impl ProxyShared {
    /// Creates the state with an empty snapshot.
    ///
    /// # Errors
    /// Fails when a counter cannot be registered.
    pub fn new(
        settings: settings::ProxySettings,
        incarnation: u64,
    ) -> Result<Arc<Self>, prometheus::Error> {
        Ok(Arc::new(Self {
            incarnation,
            metrics: metrics::ProxyMetrics::new()?,
            shares: limiter::RateLimiter::default(),
            tokens_wanted: Notify::new(),
            cancels: cancel::CancelRegistry::default(),
            prepared: prepared::PreparedRegistry::default(),
            floors: floor::FloorProbes::default(),
            callers: AtomicUsize::new(0),
            snapshot: ArcSwap::default(),
            changed: watch::channel(0).0,
            settings,
        }))
    }

    /// Returns what marks this start of this VM, in the store and in terms that
    /// databases promise.
    pub fn incarnation_id(&self) -> String {
        format!("{}-{:x}", self.settings.vm, self.incarnation)
    }

    /// Returns the present snapshot.
    pub fn snapshot(&self) -> Arc<snapshot::ControlSnapshot> {
        self.snapshot.load_full()
    }

    /// Replaces the snapshot without waking sessions.
    pub fn publish(&self, snapshot: snapshot::ControlSnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Wakes all sessions, so that they check keys and draining.
    pub fn wake_sessions(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken by [`ProxyShared::wake_sessions`].
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Counts a caller for as long as the guard lives.
    pub fn count_caller(self: &Arc<Self>) -> CallerGuard {
        self.callers.fetch_add(1, Ordering::Relaxed);
        CallerGuard {
            shared: Arc::clone(self),
        }
    }

    /// Returns the number of connected callers.
    pub fn caller_count(&self) -> usize {
        self.callers.load(Ordering::Relaxed)
    }
}

/// Counts one connected caller until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    shared: Arc<ProxyShared>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shared.callers.fetch_sub(1, Ordering::Relaxed);
    }
}

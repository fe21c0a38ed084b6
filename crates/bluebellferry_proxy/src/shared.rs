//! The state that the control thread and the traffic threads share.

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
    /// The checked settings of the process.
    pub settings: settings::ProxySettings,
    /// The incarnation of this process; a later start of the VM has a higher one.
    pub incarnation: u64,
    /// The Prometheus metrics.
    pub metrics: metrics::ProxyMetrics,
    /// Limits the rate of each workspace by a token bucket.
    pub rate_limiter: limiter::RateLimiter,
    /// Notified when callers need more tokens than are available, so that the
    /// control thread requests tokens of other VMs.
    pub tokens_wanted: Notify,
    /// The sessions whose running statement can be cancelled by a `CancelRequest`.
    pub cancel_registry: cancel::CancelRegistry,
    /// The numbers that name prepared statements on database connections.
    pub statement_table: prepared::StatementTable,
    /// The statements that the databases of each service have prepared successfully.
    pub prepared_registry: prepared::PreparedRegistry,
    /// The probes that read the primary's committed position as a floor for sessions.
    pub floor_probes: floor::FloorProbes,
    caller_count: AtomicUsize,
    snapshot: ArcSwap<snapshot::ControlSnapshot>,
    session_wakeups: watch::Sender<u64>,
}

impl ProxyShared {
    /// Creates the shared state with an empty snapshot.
    ///
    /// # Errors
    /// Fails if a metric cannot be registered.
    pub fn new(
        settings: settings::ProxySettings,
        incarnation: u64,
    ) -> Result<Arc<Self>, prometheus::Error> {
        Ok(Arc::new(Self {
            incarnation,
            metrics: metrics::ProxyMetrics::new()?,
            rate_limiter: limiter::RateLimiter::default(),
            tokens_wanted: Notify::new(),
            cancel_registry: cancel::CancelRegistry::default(),
            statement_table: prepared::StatementTable::default(),
            prepared_registry: prepared::PreparedRegistry::default(),
            floor_probes: floor::FloorProbes::default(),
            caller_count: AtomicUsize::new(0),
            snapshot: ArcSwap::default(),
            session_wakeups: watch::channel(0).0,
            settings,
        }))
    }

    /// Returns `name-incarnation`: the VM's name and the incarnation in hexadecimal.
    /// Store objects name it as their writer, and databases record it with a promised
    /// term.
    pub fn incarnation_id(&self) -> String {
        format!("{}-{:x}", self.settings.vm, self.incarnation)
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<snapshot::ControlSnapshot> {
        self.snapshot.load_full()
    }

    /// Replaces the snapshot without waking sessions.
    pub fn replace_snapshot(&self, snapshot: snapshot::ControlSnapshot) {
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Wakes all sessions, so that they check again whether they may continue: whether
    /// they may still use their service and whether the VM is draining.
    pub fn wake_sessions(&self) {
        self.session_wakeups.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each [`ProxyShared::wake_sessions`] call.
    pub fn subscribe_to_wakeups(&self) -> watch::Receiver<u64> {
        self.session_wakeups.subscribe()
    }

    /// Counts a connected caller until the returned guard is dropped.
    pub fn count_caller(self: &Arc<Self>) -> CallerGuard {
        self.caller_count.fetch_add(1, Ordering::Relaxed);
        CallerGuard {
            shared: Arc::clone(self),
        }
    }

    /// Returns the number of connected callers.
    pub fn caller_count(&self) -> usize {
        self.caller_count.load(Ordering::Relaxed)
    }
}

/// Counts one connected caller until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    shared: Arc<ProxyShared>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.shared.caller_count.fetch_sub(1, Ordering::Relaxed);
    }
}

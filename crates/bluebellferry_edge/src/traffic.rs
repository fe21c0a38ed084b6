//! The traffic thread, which runs callers' sessions and the connections to databases.

pub mod access;
pub mod acknowledgement;
pub mod connection;
pub mod dispatch;
pub mod log_limiter;
pub mod metrics;
pub mod placement;
pub mod reads;
pub mod session;
pub mod statement;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_runtime::clock;
use tokio::net::TcpListener;

use crate::shared;

/// The delay after a failed `accept`, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum time between two runs of connection maintenance without a snapshot change.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What all sessions of the traffic thread share.
#[derive(Debug)]
pub struct TrafficContext {
    /// The state shared with the control thread.
    pub shared: Arc<shared::EdgeShared>,
    /// The dispatcher that places statements on connections to databases.
    pub dispatcher: Rc<dispatch::Dispatcher>,
    /// The metrics of the traffic thread.
    pub metrics: metrics::TrafficMetrics,
    /// The number of connected callers.
    pub connected_callers: Cell<usize>,
    /// Limits the log lines about refused and retried statements.
    pub statement_log_limiter: log_limiter::LogRateLimiter,
    /// Limits the log lines about served reads.
    pub read_log_limiter: log_limiter::LogRateLimiter,
    /// Limits the log lines about prepared statements.
    pub prepare_log_limiter: log_limiter::LogRateLimiter,
}

impl TrafficContext {
    /// Creates the context of the traffic thread.
    pub fn new(shared: Arc<shared::EdgeShared>, metrics: metrics::TrafficMetrics) -> Self {
        let dispatcher = dispatch::Dispatcher::new(Arc::clone(&shared), metrics.clone());
        Self {
            shared,
            dispatcher: Rc::new(dispatcher),
            metrics,
            connected_callers: Cell::new(0),
            statement_log_limiter: log_limiter::LogRateLimiter::new(clock::now()),
            read_log_limiter: log_limiter::LogRateLimiter::for_samples(clock::now()),
            prepare_log_limiter: log_limiter::LogRateLimiter::for_samples(clock::now()),
        }
    }
}

/// Serves callers until the process ends.
pub async fn serve(listener: TcpListener, context: Rc<TrafficContext>) {
    tokio::task::spawn_local(maintain_connections(Rc::clone(&context)));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if context.connected_callers.get() >= context.shared.settings.max_callers {
                    log::warn!(callers = context.connected_callers.get(); "caller rejected: too many callers are connected");
                    continue;
                }
                tokio::task::spawn_local(session::serve(stream, Rc::clone(&context)));
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a caller");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies each snapshot to the connections and closes those that are no longer needed.
async fn maintain_connections(context: Rc<TrafficContext>) {
    let mut changes = context.shared.subscribe_to_snapshots();
    loop {
        context.dispatcher.apply_snapshot(clock::now());
        let suppressed = context.statement_log_limiter.take_suppressed();
        if suppressed > 0 {
            log::warn!(lines = suppressed; "log lines about statements were suppressed by the rate limit");
        }
        let change = tokio::time::timeout(MAINTENANCE_INTERVAL, changes.changed()).await;
        if matches!(change, Ok(Err(_))) {
            return;
        }
    }
}

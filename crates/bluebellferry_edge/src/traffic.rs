//! The traffic thread: callers' sessions and connections to databases.

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

/// How long the listener rests after an error such as too few descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often connections that are no longer needed are looked for.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What all sessions of the thread use.
#[derive(Debug)]
pub struct TrafficContext {
    /// The state that control shares.
    pub shared: Arc<shared::EdgeShared>,
    /// The connections to databases.
    pub dispatch: Rc<dispatch::Dispatcher>,
    /// The counters.
    pub metrics: metrics::TrafficMetrics,
    /// The callers that are connected.
    pub connected_callers: Cell<usize>,
    /// The bound on lines about single statements.
    pub statement_log_limiter: log_limiter::LogRateLimiter,
    /// The bound on lines about reads that were served.
    pub read_log_limiter: log_limiter::LogRateLimiter,
}

impl TrafficContext {
    /// Creates the context of a traffic thread.
    pub fn new(shared: Arc<shared::EdgeShared>, metrics: metrics::TrafficMetrics) -> Self {
        let dispatch = dispatch::Dispatcher::new(Arc::clone(&shared), metrics.clone());
        Self {
            shared,
            dispatch: Rc::new(dispatch),
            metrics,
            connected_callers: Cell::new(0),
            statement_log_limiter: log_limiter::LogRateLimiter::new(clock::now()),
            read_log_limiter: log_limiter::LogRateLimiter::for_reads(clock::now()),
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
                    log::warn!(callers = context.connected_callers.get(); "a caller is turned away: too many");
                    continue;
                }
                tokio::task::spawn_local(session::serve(stream, Rc::clone(&context)));
            }
            Err(error) => {
                log::warn!(error:% = error; "no caller can be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies changes of the snapshot to the connections.
async fn maintain_connections(context: Rc<TrafficContext>) {
    let mut changes = context.shared.changes();
    loop {
        context.dispatch.apply_snapshot(clock::now());
        let suppressed = context.statement_log_limiter.take_suppressed();
        if suppressed > 0 {
            log::warn!(lines = suppressed; "lines about statements were left out");
        }
        let change = tokio::time::timeout(MAINTENANCE_INTERVAL, changes.changed()).await;
        if matches!(change, Ok(Err(_))) {
            return;
        }
    }
}

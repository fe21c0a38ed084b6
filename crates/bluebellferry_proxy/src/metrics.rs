//! The Prometheus metrics of the proxy.

use bluebellferry_types::refusal;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Registry;

/// The role of the database that ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRoute {
    /// The primary of the service.
    Primary,
    /// A replica of the service.
    Replica,
}

impl RequestRoute {
    const fn label(self) -> &'static str {
        match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
        }
    }
}

/// Why the proxy retried a request without the caller sending it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// A replica refused a write, so the request had not run.
    ReplicaRefusedWrite,
    /// The connection to a replica was lost before the replica answered a read.
    ReplicaLost,
    /// A primary refused a write because it had been replaced, so the request had
    /// not run.
    PrimaryReplaced,
    /// A connection to the database could not be opened.
    ConnectFailed,
}

impl RetryReason {
    const fn label(self) -> &'static str {
        match self {
            Self::ReplicaRefusedWrite => "replica_refused_write",
            Self::ReplicaLost => "replica_lost",
            Self::PrimaryReplaced => "primary_replaced",
            Self::ConnectFailed => "connect_failed",
        }
    }
}

/// All metrics of a proxy process.
#[derive(Debug)]
pub struct ProxyMetrics {
    /// The registry that `/metrics` renders.
    pub registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    replica_fallbacks: IntCounterVec,
    promotion_steps: IntCounterVec,
    peer_messages: IntCounterVec,
    peer_sent_bytes: IntCounterVec,
    request_seconds: HistogramVec,
}

fn register_counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counter = IntCounterVec::new(prometheus::Opts::new(name, help), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

impl ProxyMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails if a metric name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = register_counter(
            &registry,
            "bluebellferry_requests_total",
            "Requests that were run, by workspace and route.",
            &["workspace", "route"],
        )?;
        let refusals = register_counter(
            &registry,
            "bluebellferry_refusals_total",
            "Requests that were refused, by workspace, reason and whether they ran.",
            &["workspace", "reason", "execution"],
        )?;
        let retries = register_counter(
            &registry,
            "bluebellferry_retries_total",
            "Requests that were sent again, by reason.",
            &["reason"],
        )?;
        let replica_fallbacks = register_counter(
            &registry,
            "bluebellferry_replica_fallbacks_total",
            "Reads that allow age but went to the primary, by service.",
            &["service"],
        )?;
        let promotion_steps = register_counter(
            &registry,
            "bluebellferry_promotion_steps_total",
            "Steps of promotions that this VM began, by service and step.",
            &["service", "step"],
        )?;
        let peer_messages = register_counter(
            &registry,
            "bluebellferry_peer_messages_total",
            "Messages from other VMs, by kind or reason of refusal.",
            &["kind"],
        )?;
        let peer_sent_bytes = register_counter(
            &registry,
            "bluebellferry_peer_sent_bytes_total",
            "Bytes sent to other VMs, by transport.",
            &["transport"],
        )?;
        let options = prometheus::HistogramOpts::new(
            "bluebellferry_request_seconds",
            "Time from a request's arrival to its last answer, by route.",
        );
        let buckets = prometheus::exponential_buckets(0.0001, 2.0, 18)?;
        let request_seconds = HistogramVec::new(options.buckets(buckets), &["route"])?;
        registry.register(Box::new(request_seconds.clone()))?;
        Ok(Self {
            registry,
            requests,
            refusals,
            retries,
            replica_fallbacks,
            promotion_steps,
            peer_messages,
            peer_sent_bytes,
            request_seconds,
        })
    }

    /// Counts a request that was run, and records its duration in seconds.
    pub fn count_request(&self, workspace: &str, route: RequestRoute, seconds: f64) {
        self.requests
            .with_label_values(&[workspace, route.label()])
            .inc();
        self.request_seconds
            .with_label_values(&[route.label()])
            .observe(seconds);
    }

    /// Counts a request or a login that was refused.
    pub fn count_refusal(&self, workspace: &str, refusal: &refusal::RequestRefusal) {
        let labels = [workspace, refusal.reason.code(), refusal.execution.as_str()];
        self.refusals.with_label_values(&labels).inc();
    }

    /// Counts a request that the proxy retried.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a read that went to the primary because no replica could serve it in
    /// time.
    pub fn count_fallback(&self, service: &str) {
        self.replica_fallbacks.with_label_values(&[service]).inc();
    }

    /// Counts a promotion step that this VM started.
    pub fn count_promotion_step(&self, service: &str, step: &str) {
        self.promotion_steps
            .with_label_values(&[service, step])
            .inc();
    }

    /// Counts bytes sent to another VM over UDP.
    pub fn count_peer_bytes(&self, bytes: usize) {
        self.peer_sent_bytes
            .with_label_values(&["udp"])
            .inc_by(bytes as u64);
    }

    /// Counts a message received from another VM.
    pub fn count_peer_message(&self, kind: &str) {
        self.peer_messages.with_label_values(&[kind]).inc();
    }
}

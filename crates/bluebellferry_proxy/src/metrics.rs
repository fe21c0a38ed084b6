//! The counters that operators see.

use bluebellferry_types::refusal;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::Registry;

/// Where a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRoute {
    /// On the primary.
    Primary,
    /// On a replica.
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

/// Why a request was sent again without the caller's doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryReason {
    /// A replica refused a write; nothing had run.
    ReplicaRefusedWrite,
    /// A replica went away before it had answered a read.
    ReplicaLost,
    /// A primary refused a write because it had been replaced; nothing had run.
    PrimaryReplaced,
    /// A connection could not be opened.
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

/// All counters of a proxy.
#[derive(Debug)]
pub struct ProxyMetrics {
    /// The registry that `/metrics` renders.
    pub registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    fallbacks: IntCounterVec,
    promotions: IntCounterVec,
    peer_messages: IntCounterVec,
    peer_sent_bytes: IntCounterVec,
    latency: HistogramVec,
}

fn counter(
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
    /// Creates and registers all counters.
    ///
    /// # Errors
    /// Fails when a name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = counter(
            &registry,
            "bluebellferry_requests_total",
            "Requests that were run, by workspace and route.",
            &["workspace", "route"],
        )?;
        let refusals = counter(
            &registry,
            "bluebellferry_refusals_total",
            "Requests that were refused, by workspace, reason and whether they ran.",
            &["workspace", "reason", "execution"],
        )?;
        let retries = counter(
            &registry,
            "bluebellferry_retries_total",
            "Requests that were sent again, by reason.",
            &["reason"],
        )?;
        let fallbacks = counter(
            &registry,
            "bluebellferry_replica_fallbacks_total",
            "Reads that allow age but went to the primary, by service.",
            &["service"],
        )?;
        let promotions = counter(
            &registry,
            "bluebellferry_promotion_steps_total",
            "Steps of promotions that this VM began, by service and step.",
            &["service", "step"],
        )?;
        let peer_messages = counter(
            &registry,
            "bluebellferry_peer_messages_total",
            "Messages from other VMs, by kind or reason of refusal.",
            &["kind"],
        )?;
        let peer_sent_bytes = counter(
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
        let latency = HistogramVec::new(options.buckets(buckets), &["route"])?;
        registry.register(Box::new(latency.clone()))?;
        Ok(Self {
            registry,
            requests,
            refusals,
            retries,
            fallbacks,
            promotions,
            peer_messages,
            peer_sent_bytes,
            latency,
        })
    }

    /// Counts a request that was run.
    pub fn count_request(&self, workspace: &str, route: RequestRoute, seconds: f64) {
        self.requests
            .with_label_values(&[workspace, route.label()])
            .inc();
        self.latency
            .with_label_values(&[route.label()])
            .observe(seconds);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, workspace: &str, refusal: &refusal::RequestRefusal) {
        let labels = [workspace, refusal.reason.code(), refusal.execution.as_str()];
        self.refusals.with_label_values(&labels).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a read that no replica could serve in time.
    pub fn count_fallback(&self, service: &str) {
        self.fallbacks.with_label_values(&[service]).inc();
    }

    /// Counts a step of a promotion.
    pub fn count_promotion_step(&self, service: &str, step: &str) {
        self.promotions.with_label_values(&[service, step]).inc();
    }

    /// Counts bytes sent to another VM by UDP.
    pub fn count_peer_bytes(&self, bytes: usize) {
        self.peer_sent_bytes
            .with_label_values(&["udp"])
            .inc_by(bytes as u64);
    }

    /// Counts a message from another VM.
    pub fn count_peer_message(&self, kind: &str) {
        self.peer_messages.with_label_values(&[kind]).inc();
    }
}

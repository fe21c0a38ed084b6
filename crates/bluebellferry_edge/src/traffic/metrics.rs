//! Counters and latency histograms of the traffic thread.

use std::time::Duration;

use bluebellferry_types::refusal;

/// The bounds of the latency histogram in seconds: around the objectives, from
/// 5 ms to the longest statement time-out.
const LATENCY_BUCKETS_S: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The traffic thread's counters.
#[derive(Debug, Clone)]
pub struct TrafficMetrics {
    statements: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    retries: prometheus::IntCounterVec,
    connections: prometheus::IntCounterVec,
    latency: prometheus::HistogramVec,
}

impl TrafficMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    /// Fails when a name is registered already.
    pub fn new(registry: &prometheus::Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, label: &str| {
            let options = prometheus::Opts::new(name, help);
            prometheus::IntCounterVec::new(options, &[label])
        };
        let latency = prometheus::HistogramOpts::new(
            "bluebellferry_statement_seconds",
            "Time from a statement's arrival to its answer.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS_S.to_vec());
        let metrics = Self {
            statements: counter(
                "bluebellferry_statements_total",
                "Statements by kind.",
                "kind",
            )?,
            refusals: counter(
                "bluebellferry_refusals_total",
                "Refusals by reason.",
                "reason",
            )?,
            retries: counter(
                "bluebellferry_retries_total",
                "Retries by reason.",
                "reason",
            )?,
            connections: counter(
                "bluebellferry_database_connections_total",
                "Attempts to open a connection to a database, by result.",
                "result",
            )?,
            latency: prometheus::HistogramVec::new(latency, &["kind"])?,
        };
        registry.register(Box::new(metrics.statements.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        Ok(metrics)
    }

    /// Counts an answered statement.
    pub fn count_statement(&self, kind: &'static str, latency: Duration) {
        self.statements.with_label_values(&[kind]).inc();
        self.latency
            .with_label_values(&[kind])
            .observe(latency.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: refusal::RefusalReason) {
        self.refusals.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a statement that is tried elsewhere.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt to open a connection.
    pub fn count_connection(&self, result: &'static str) {
        self.connections.with_label_values(&[result]).inc();
    }
}

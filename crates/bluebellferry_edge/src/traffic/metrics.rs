//! Metrics of the traffic thread.

use std::time::Duration;

use bluebellferry_platform::database;
use bluebellferry_session::connection_state;
use bluebellferry_types::refusal;

/// The upper bounds of the latency histogram's buckets in seconds. They are spaced around the
/// latency objectives, from 5 ms to the longest statement timeout.
const LATENCY_BUCKETS_S: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The counters and the latency histogram of the traffic thread.
#[derive(Debug, Clone)]
pub struct TrafficMetrics {
    statements: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    retries: prometheus::IntCounterVec,
    connections: prometheus::IntCounterVec,
    paced: prometheus::IntCounterVec,
    prepared: prometheus::IntCounterVec,
    setup_steps: prometheus::IntCounterVec,
    handed_over: prometheus::IntCounter,
    latency: prometheus::HistogramVec,
}

impl TrafficMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Returns an error if a metric name is already registered.
    pub fn new(registry: &prometheus::Registry) -> Result<Self, prometheus::Error> {
        let labelled_counter = |name: &str, help: &str, labels: &[&str]| {
            let options = prometheus::Opts::new(name, help);
            prometheus::IntCounterVec::new(options, labels)
        };
        let counter = |name: &str, help: &str, label: &str| labelled_counter(name, help, &[label]);
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
            paced: counter(
                "bluebellferry_paced_statements_total",
                "Statements for databases that may be cold, by result.",
                "result",
            )?,
            prepared: counter(
                "bluebellferry_prepared_statements_total",
                "Statements that callers prepared, by the form of their templates.",
                "template",
            )?,
            setup_steps: labelled_counter(
                "bluebellferry_setup_steps_total",
                "Statements that bring a connection into the state of a session, by result.",
                &["step", "result"],
            )?,
            handed_over: prometheus::IntCounter::new(
                "bluebellferry_sessions_handed_over_total",
                "Idle sessions closed while this VM was cut off from the other VMs.",
            )?,
            latency: prometheus::HistogramVec::new(latency, &["kind"])?,
        };
        registry.register(Box::new(metrics.statements.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.connections.clone()))?;
        registry.register(Box::new(metrics.paced.clone()))?;
        registry.register(Box::new(metrics.prepared.clone()))?;
        registry.register(Box::new(metrics.setup_steps.clone()))?;
        registry.register(Box::new(metrics.handed_over.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        Ok(metrics)
    }

    /// Counts a finished statement, answered or refused, and records its latency.
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

    /// Counts a retried or failed attempt to run a statement.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts a statement that had to keep the pace of a cold database, by its result.
    pub fn count_paced(&self, result: &'static str) {
        self.paced.with_label_values(&[result]).inc();
    }

    /// Counts a statement that a caller prepared.
    pub fn count_prepared(&self, template: &str) {
        let form = if template.contains(' ') {
            "several_words"
        } else {
            "one_word"
        };
        self.prepared.with_label_values(&[form]).inc();
    }

    /// Counts a setup step of a connection, by its result.
    pub fn count_setup_step(
        &self,
        step: &connection_state::SetupStep,
        error: Option<database::DatabaseError>,
    ) {
        let result = if error.is_none() {
            "acknowledged"
        } else {
            "refused"
        };
        self.setup_steps
            .with_label_values(&[step.kind_label(), result])
            .inc();
    }

    /// Counts a session that was closed so that its caller connects to another VM.
    pub fn count_handed_over(&self) {
        self.handed_over.inc();
    }

    /// Counts an attempt to obtain a connection, by its result.
    pub fn count_connection(&self, result: &'static str) {
        self.connections.with_label_values(&[result]).inc();
    }
}

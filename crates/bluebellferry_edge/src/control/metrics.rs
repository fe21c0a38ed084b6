//! Metrics of the control thread.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use prometheus::core;
use prometheus::proto;

use crate::shared;

/// The metrics of the configuration: counters of the calls that read it, and gauges that are
/// computed when the metrics are fetched.
#[derive(Debug, Clone)]
pub struct ConfigurationMetrics {
    reads: prometheus::IntCounterVec,
}

impl ConfigurationMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Returns an error if a metric name is already registered.
    pub fn new(
        registry: &prometheus::Registry,
        shared: &Arc<shared::EdgeShared>,
    ) -> Result<Self, prometheus::Error> {
        let options = prometheus::Opts::new(
            "bluebellferry_configuration_reads_total",
            "Calls that read the configuration from the store, by call and result.",
        );
        let reads = prometheus::IntCounterVec::new(options, &["call", "result"])?;
        registry.register(Box::new(reads.clone()))?;
        registry.register(Box::new(ConfigurationGauges::new(Arc::clone(shared))?))?;
        Ok(Self { reads })
    }

    /// Counts a finished call.
    pub fn count_read<T>(&self, call: &'static str, result: &Result<T, objects::StoreError>) {
        let result = match result {
            Ok(_) => "answered",
            Err(objects::StoreError::HistoryExpired) => "history_expired",
            Err(objects::StoreError::Refused(_)) => "refused",
            Err(objects::StoreError::Unreachable(_)) => "unreachable",
            Err(objects::StoreError::Unanswered(_)) => "unanswered",
            Err(_) => "failed",
        };
        self.reads.with_label_values(&[call, result]).inc();
    }
}

/// Gauges that describe the configuration in use at the time when they are collected.
struct ConfigurationGauges {
    shared: Arc<shared::EdgeShared>,
    version: prometheus::IntGauge,
    skipped_entries: prometheus::IntGauge,
    read_age: prometheus::Gauge,
}

impl ConfigurationGauges {
    fn new(shared: Arc<shared::EdgeShared>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            shared,
            version: prometheus::IntGauge::new(
                "bluebellferry_configuration_version",
                "The version of the configuration in use; 0 if there is none.",
            )?,
            skipped_entries: prometheus::IntGauge::new(
                "bluebellferry_configuration_skipped_entries",
                "Entries of the configuration in use that could not be decoded.",
            )?,
            read_age: prometheus::Gauge::new(
                "bluebellferry_configuration_read_age_seconds",
                "Time since the store answered a read of the configuration; -1 if it never did.",
            )?,
        })
    }
}

impl core::Collector for ConfigurationGauges {
    fn desc(&self) -> Vec<&core::Desc> {
        let mut descriptions = self.version.desc();
        descriptions.extend(self.skipped_entries.desc());
        descriptions.extend(self.read_age.desc());
        descriptions
    }

    fn collect(&self) -> Vec<proto::MetricFamily> {
        let snapshot = self.shared.snapshot();
        let configuration = &snapshot.configuration;
        self.version.set(configuration.version as i64);
        self.skipped_entries
            .set(configuration.skipped_entries as i64);
        let age = self.shared.configuration_read_at().map_or(-1.0, |read_at| {
            clock::now()
                .saturating_duration_since(read_at)
                .as_secs_f64()
        });
        self.read_age.set(age);
        let mut families = self.version.collect();
        families.extend(self.skipped_entries.collect());
        families.extend(self.read_age.collect());
        families
    }
}

/// Counters and gauges that describe this VM's part in the fleet.
pub struct FleetMetrics {
    shared: Arc<shared::EdgeShared>,
    status_changes: prometheus::IntGaugeVec,
    owned_rates: prometheus::IntGauge,
    evacuated_centres: prometheus::IntGauge,
    assessed_databases: prometheus::IntGauge,
    published_snapshots: prometheus::IntGauge,
    exceeds_rate_table: prometheus::IntGauge,
}

impl FleetMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Returns an error if a metric name is already registered.
    pub fn register(
        registry: &prometheus::Registry,
        shared: &Arc<shared::EdgeShared>,
    ) -> Result<(), prometheus::Error> {
        let changes = prometheus::Opts::new(
            "bluebellferry_fleet_status_changes",
            "Times that this VM lost or regained its group's majority, or its data centre most \
             others, since the process started.",
        );
        registry.register(Box::new(Self {
            shared: Arc::clone(shared),
            status_changes: prometheus::IntGaugeVec::new(changes, &["status"])?,
            owned_rates: prometheus::IntGauge::new(
                "bluebellferry_owned_rates",
                "Fleet-wide rates that this VM owns; 0 in a full mesh.",
            )?,
            evacuated_centres: prometheus::IntGauge::new(
                "bluebellferry_evacuated_data_centres",
                "Data centres that this VM knows to be in evacuation.",
            )?,
            assessed_databases: prometheus::IntGauge::new(
                "bluebellferry_assessed_databases",
                "Databases with a penalty, or a reduced share of reads after a start.",
            )?,
            published_snapshots: prometheus::IntGauge::new(
                "bluebellferry_published_snapshots",
                "Snapshots of the control state published to the traffic thread since the start.",
            )?,
            exceeds_rate_table: prometheus::IntGauge::new(
                "bluebellferry_rate_table_exceeded",
                "1 if a full mesh has too many workspaces for rates to follow the demand of each.",
            )?,
        }))
    }
}

impl core::Collector for FleetMetrics {
    fn desc(&self) -> Vec<&core::Desc> {
        let mut descriptions = self.status_changes.desc();
        descriptions.extend(self.owned_rates.desc());
        descriptions.extend(self.evacuated_centres.desc());
        descriptions.extend(self.assessed_databases.desc());
        descriptions.extend(self.published_snapshots.desc());
        descriptions.extend(self.exceeds_rate_table.desc());
        descriptions
    }

    fn collect(&self) -> Vec<proto::MetricFamily> {
        let status = &self.shared.fleet_status;
        let changes = [
            ("majority", &status.majority_changes),
            ("isolation", &status.isolation_changes),
        ];
        for (label, count) in changes {
            let gauge = self.status_changes.with_label_values(&[label]);
            gauge.set(count.load(Ordering::Relaxed) as i64);
        }
        self.owned_rates
            .set(status.owned_rates.load(Ordering::Relaxed) as i64);
        self.evacuated_centres
            .set(status.evacuated_centres.load(Ordering::Relaxed) as i64);
        self.assessed_databases
            .set(status.assessed_databases.load(Ordering::Relaxed) as i64);
        self.published_snapshots
            .set(status.published_snapshots.load(Ordering::Relaxed) as i64);
        let exceeds = status.exceeds_rate_table.load(Ordering::Relaxed);
        self.exceeds_rate_table.set(i64::from(exceeds));
        let mut families = self.status_changes.collect();
        families.extend(self.owned_rates.collect());
        families.extend(self.evacuated_centres.collect());
        families.extend(self.assessed_databases.collect());
        families.extend(self.published_snapshots.collect());
        families.extend(self.exceeds_rate_table.collect());
        families
    }
}

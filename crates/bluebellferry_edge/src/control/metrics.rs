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

/// A gauge of this VM's part in the fleet, and how its value is read.
struct FleetGauge {
    gauge: prometheus::IntGauge,
    read: fn(&shared::FleetStatus) -> u64,
}

/// Counters and gauges that describe this VM's part in the fleet.
pub struct FleetMetrics {
    shared: Arc<shared::EdgeShared>,
    status_changes: prometheus::IntGaugeVec,
    gauges: Vec<FleetGauge>,
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
        let gauge = |name: &str, help: &str, read| {
            let gauge = prometheus::IntGauge::new(name, help)?;
            Ok::<_, prometheus::Error>(FleetGauge { gauge, read })
        };
        let gauges = vec![
            gauge(
                "bluebellferry_owned_rates",
                "Fleet-wide rates that this VM owns; 0 in a full mesh.",
                |status| status.owned_rates.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_evacuated_data_centres",
                "Data centres that this VM knows to be in evacuation.",
                |status| status.evacuated_centres.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_assessed_databases",
                "Databases with a penalty, or a reduced share of reads after a start.",
                |status| status.assessed_databases.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_waiting_promotions",
                "Services without a leader whose promotion waits, so that no commit is lost.",
                |status| status.waiting_promotions.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_leaderless_milliseconds",
                "Time that services were without a leader while this VM replaced it, since the start.",
                |status| status.leaderless_ms.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_store_returns",
                "Times that the store came back from an older copy since the process started.",
                |status| status.store_returns.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_published_snapshots",
                "Snapshots of the control state published to the traffic thread since the start.",
                |status| status.published_snapshots.load(Ordering::Relaxed),
            )?,
            gauge(
                "bluebellferry_rate_table_exceeded",
                "1 if a full mesh has too many workspaces for rates to follow the demand of each.",
                |status| u64::from(status.exceeds_rate_table.load(Ordering::Relaxed)),
            )?,
        ];
        registry.register(Box::new(Self {
            shared: Arc::clone(shared),
            status_changes: prometheus::IntGaugeVec::new(changes, &["status"])?,
            gauges,
        }))
    }
}

impl core::Collector for FleetMetrics {
    fn desc(&self) -> Vec<&core::Desc> {
        let gauges = self.gauges.iter().flat_map(|gauge| gauge.gauge.desc());
        self.status_changes
            .desc()
            .into_iter()
            .chain(gauges)
            .collect()
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
        let mut families = self.status_changes.collect();
        for FleetGauge { gauge, read } in &self.gauges {
            gauge.set(read(status) as i64);
            families.extend(gauge.collect());
        }
        families
    }
}

//! Keeps the configuration up to date with the store.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_platform::configuration;
use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use bluebellferry_types::store_revision;
use rand::Rng;

use crate::control;
use crate::control::metrics;
use crate::control::state;
use crate::control::store_gate;

/// How often a VM checks whether the coordinator of its data centre still reads the store
/// for it.
pub const READER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long one watch waits in the store. An answer may be lost on a connection that stays open,
/// so this and [`objects::WATCH_RESPONSE_TIMEOUT`] together are shorter than the 3 s in which a
/// configuration has to be in use.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// The delay between the first listing of the configuration and the first watch: two heartbeats.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(400);
/// The backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// An exponential backoff with jitter, so that VMs don't retry all at the same time.
#[derive(Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

impl RetryBackoff {
    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits after a failure. The wait doubles with each failure in a row, up to
    /// `MAX_BACKOFF`, and is then shortened by up to a half at random.
    pub async fn wait(&mut self) {
        let doubled = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let backoff = doubled.min(MAX_BACKOFF);
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
    }
}

/// Logs when a dependency becomes unavailable and when it is available again, once each.
#[derive(Debug)]
pub struct DependencyLog {
    name: &'static str,
    is_unavailable: bool,
}

impl DependencyLog {
    /// Creates the log of a dependency that is assumed to be available.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            is_unavailable: false,
        }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, error: &objects::StoreError) {
        if !self.is_unavailable {
            self.is_unavailable = true;
            log::warn!(dependency = self.name, error:% = error; "a dependency is unavailable");
        }
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        if self.is_unavailable {
            self.is_unavailable = false;
            log::info!(dependency = self.name; "a dependency is available again");
        }
    }
}

/// Keeps the configuration up to date until the process ends.
pub async fn keep_up_to_date(
    control: control::ControlCell,
    metrics: metrics::ConfigurationMetrics,
) {
    let address = control.borrow().shared.settings.store_address;
    let mut reader = ConfigurationReader {
        client: objects::ObjectClient::new(address),
        control,
        metrics,
        dependency: DependencyLog::new("configuration in the store"),
        failure_backoff: RetryBackoff::default(),
        expiry_backoff: RetryBackoff::default(),
        has_listed: false,
        awaits_version: false,
    };
    loop {
        let Err(error) = reader.list_and_watch().await;
        if error == objects::StoreError::HistoryExpired {
            reader.expiry_backoff.wait().await;
        } else {
            reader.dependency.record_failure(&error);
            reader.failure_backoff.wait().await;
        }
    }
}

/// Reads the configuration from the store and applies it.
struct ConfigurationReader {
    client: objects::ObjectClient,
    control: control::ControlCell,
    metrics: metrics::ConfigurationMetrics,
    dependency: DependencyLog,
    /// The backoff after calls that failed since the last listing.
    failure_backoff: RetryBackoff,
    /// The backoff after watches whose history had expired since the last answered watch. The
    /// store may discard its history faster than a watch begins.
    expiry_backoff: RetryBackoff,
    /// Whether the configuration has been listed since the process started.
    has_listed: bool,
    /// Whether another VM has announced a version, to be read here, since the last answer.
    awaits_version: bool,
}

impl ConfigurationReader {
    /// Lists the configuration and then watches it for changes until a call fails.
    async fn list_and_watch(&mut self) -> Result<Infallible, objects::StoreError> {
        let mut after = self.list().await?;
        self.dependency.record_success();
        self.failure_backoff.reset();
        if !std::mem::replace(&mut self.has_listed, true) {
            // The coordinator's first heartbeat usually arrives meanwhile, so that only it watches.
            tokio::time::sleep(FIRST_WATCH_DELAY).await;
        }
        loop {
            self.enter_store().await;
            let wait = if self.awaits_version {
                Duration::ZERO
            } else {
                WATCH_WAIT
            };
            after = self.watch(after, wait).await?;
            self.expiry_backoff.reset();
        }
    }

    /// Waits until this VM has to read the configuration itself and the store may be called.
    async fn enter_store(&mut self) {
        loop {
            if !self.awaits_version {
                let reason = wait_while_coordinator_reads(&self.control).await;
                self.awaits_version = reason == ReadReason::NewVersion;
            }
            let awaits_version = self.awaits_version;
            let is_needed = |control: &state::ControlState, now| {
                awaits_version || !control.is_store_read_by_coordinator(now)
            };
            if store_gate::enter(&self.control, is_needed).await {
                return;
            }
        }
    }

    /// Lists the configuration and returns the store's revision.
    async fn list(&mut self) -> Result<store_revision::StoreRevision, objects::StoreError> {
        if self.has_listed {
            self.enter_store().await;
        } else {
            store_gate::enter(&self.control, |_, _| true).await;
        }
        let result = self.client.list(configuration::CONFIGURATION_KIND).await;
        store_gate::record(&self.control, &result);
        self.record_read("list", &result);
        let listing = result?;
        for object in &listing.objects {
            apply_if_configuration(&self.control, object);
        }
        log::info!(
            revision = listing.revision.number(), era = listing.revision.era().number(),
            version = self.control.borrow().versions.configuration;
            "the configuration was listed and is now watched"
        );
        Ok(listing.revision)
    }

    /// Waits up to `wait` for a change after a revision, and returns the revision from which the
    /// next watch continues.
    async fn watch(
        &mut self,
        after: store_revision::StoreRevision,
        wait: Duration,
    ) -> Result<store_revision::StoreRevision, objects::StoreError> {
        let started_at = clock::now();
        let result = self
            .client
            .watch(configuration::CONFIGURATION_KIND, after, wait)
            .await;
        store_gate::record(&self.control, &result);
        self.record_read("watch", &result);
        let elapsed_ms = clock::now()
            .saturating_duration_since(started_at)
            .as_millis() as u64;
        let (changes, next) = result.inspect_err(|error| {
            log::warn!(
                after = after.number(), elapsed_ms = elapsed_ms, error:% = error;
                "a watch of the configuration failed"
            );
        })?;
        log::debug!(
            after = after.number(), next = next.number(), elapsed_ms = elapsed_ms, changes = changes.len() as u64;
            "a watch of the configuration was answered"
        );
        for change in changes.iter().filter(|change| !change.is_deleted) {
            apply_if_configuration(&self.control, &change.object);
        }
        Ok(next.max(after))
    }

    fn record_read<T>(&mut self, call: &'static str, result: &Result<T, objects::StoreError>) {
        self.metrics.count_read(call, result);
        let is_answered = matches!(result, Ok(_) | Err(objects::StoreError::HistoryExpired));
        let mut control = self.control.borrow_mut();
        control.observe_store_era(self.client.era(), clock::now());
        control.is_configuration_readable = is_answered;
        if result.is_ok() {
            self.awaits_version = false;
            control.shared.record_configuration_read(clock::now());
        }
    }
}

/// Why a VM reads the configuration from the store.
#[derive(PartialEq, Eq)]
enum ReadReason {
    /// No coordinator reads it for this VM.
    OwnWatch,
    /// Another VM has announced a new version that is too large to be copied.
    NewVersion,
}

/// Waits while the coordinator reads the configuration for this VM, or until the
/// coordinator announces one that is too large to be copied from it.
async fn wait_while_coordinator_reads(control: &control::ControlCell) -> ReadReason {
    let trigger = Arc::clone(&control.borrow().configuration_read_trigger);
    while control.borrow().is_store_read_by_coordinator(clock::now()) {
        let notified = tokio::time::timeout(READER_CHECK_INTERVAL, trigger.notified()).await;
        if notified.is_ok() {
            return ReadReason::NewVersion;
        }
    }
    ReadReason::OwnWatch
}

fn apply_if_configuration(control: &control::ControlCell, object: &objects::StoredObject) {
    if object.name == configuration::CONFIGURATION_NAME {
        let text = object.value.to_string();
        apply_text(control, &object.value, text, "store");
    }
}

/// Decodes a configuration and applies it. An invalid one is logged and ignored;
/// `source` is where it came from, for the log.
pub fn apply_text(
    control: &control::ControlCell,
    value: &serde_json::Value,
    text: String,
    source: &'static str,
) {
    match configuration::decode(value) {
        Ok(decoded) => control
            .borrow_mut()
            .apply_configuration(decoded, text, source),
        Err(error) => log::error!(error:% = error, source = source; "configuration rejected"),
    }
}

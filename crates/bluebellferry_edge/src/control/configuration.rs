//! Following the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use bluebellferry_platform::configuration;
use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use rand::Rng;

use crate::control;

/// How often a VM looks whether its head still reads for it.
pub const READER_STEP: Duration = Duration::from_millis(300);
/// How long one watch waits; the store holds a call for 30 s at most.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The rest after a failed call, at first and at most.
const FIRST_REST: Duration = Duration::from_millis(100);
const LONGEST_REST: Duration = Duration::from_millis(1_000);

/// A growing pause with jitter, so that many VMs do not call at once.
#[derive(Debug, Default)]
pub struct RetryPause {
    failures: u32,
}

impl RetryPause {
    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits, longer after each failure.
    pub async fn wait(&mut self) {
        let doubled = FIRST_REST * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        let rest = doubled.min(LONGEST_REST);
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(rest.mul_f64(jitter)).await;
    }
}

/// Notes that a dependency was lost or regained, once each time.
#[derive(Debug)]
pub struct DependencyLog {
    name: &'static str,
    is_lost: bool,
}

impl DependencyLog {
    /// Creates a log for a dependency that is taken to be there.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: false,
        }
    }

    /// Notes a failed call.
    pub fn record_failure(&mut self, error: &objects::StoreError) {
        if !self.is_lost {
            self.is_lost = true;
            log::warn!(dependency = self.name, error:% = error; "a dependency is lost");
        }
    }

    /// Notes a success.
    pub fn record_success(&mut self) {
        if self.is_lost {
            self.is_lost = false;
            log::info!(dependency = self.name; "a dependency is regained");
        }
    }
}

/// Follows the configuration until the process ends.
pub async fn follow(control: control::ControlCell) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    let mut pause = RetryPause::default();
    let mut dependency = DependencyLog::new("configuration in the store");
    loop {
        let watched = follow_once(&control, &mut client, &mut pause, &mut dependency).await;
        if let Err(error) = watched
            && error != objects::StoreError::HistoryExpired
        {
            dependency.record_failure(&error);
            pause.wait().await;
        }
    }
}

async fn follow_once(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    pause: &mut RetryPause,
    dependency: &mut DependencyLog,
) -> Result<(), objects::StoreError> {
    let listing = client.list(configuration::CONFIGURATION_KIND).await?;
    for object in &listing.objects {
        apply(control, object);
    }
    let mut after = listing.revision;
    loop {
        wait_while_read_for(control).await;
        dependency.record_success();
        pause.reset();
        let (changes, next) = client
            .watch(configuration::CONFIGURATION_KIND, after, WATCH_WAIT)
            .await?;
        for change in changes.iter().filter(|change| !change.is_deleted) {
            apply(control, &change.object);
        }
        after = next.max(after);
    }
}

/// Waits while the head follows the configuration for this VM, until it names one that
/// is too large to be copied from it.
async fn wait_while_read_for(control: &control::ControlCell) {
    let wanted = Arc::clone(&control.borrow().read_configuration);
    while control.borrow().is_read_for(clock::now()) {
        let notified = tokio::time::timeout(READER_STEP, wanted.notified()).await;
        if notified.is_ok() {
            return;
        }
    }
}

fn apply(control: &control::ControlCell, object: &objects::StoredObject) {
    if object.name == configuration::CONFIGURATION_NAME {
        let text = object.value.to_string();
        apply_text(control, &object.value, text, "store");
    }
}

/// Decodes a configuration and puts it into force.
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
        Err(error) => log::error!(error:% = error, source = source; "a configuration is ignored"),
    }
}

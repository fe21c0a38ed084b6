//! Keeps the evacuations of data centres up to date with the store.
//!
//! The coordinator of each data centre watches them and announces them in its heartbeats. So a
//! data centre that is cut off from the others still learns of them from the store. Nothing is
//! read where the settings state no time limit for evacuations.

use std::convert::Infallible;
use std::time::Duration;

use bluebellferry_platform::evacuations;
use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use bluebellferry_types::store_revision;

use crate::control;
use crate::control::configuration;
use crate::control::store_gate;

/// How long one watch waits in the store. With [`objects::WATCH_RESPONSE_TIMEOUT`], limits the
/// time for which a lost answer hides an evacuation.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Keeps the evacuations up to date until the process ends.
pub async fn keep_up_to_date(control: control::ControlCell) {
    let (address, limit) = {
        let control = control.borrow();
        let settings = &control.shared.settings;
        (settings.store_address, settings.evacuation_limit)
    };
    if limit.is_none() {
        return;
    }
    let mut reader = EvacuationReader {
        client: objects::ObjectClient::new(address),
        control,
        dependency: configuration::DependencyLog::new("evacuations in the store"),
        backoff: configuration::RetryBackoff::default(),
    };
    loop {
        let Err(error) = reader.list_and_watch().await;
        if error != objects::StoreError::HistoryExpired {
            reader.dependency.record_failure(&error);
        }
        reader.backoff.wait().await;
    }
}

/// Reads the evacuations from the store and applies them.
struct EvacuationReader {
    client: objects::ObjectClient,
    control: control::ControlCell,
    dependency: configuration::DependencyLog,
    backoff: configuration::RetryBackoff,
}

impl EvacuationReader {
    /// Lists the evacuations whenever a watch reports a change, until a call fails.
    async fn list_and_watch(&mut self) -> Result<Infallible, objects::StoreError> {
        loop {
            self.wait_while_coordinator_reads().await;
            let mut after = self.list().await?;
            self.dependency.record_success();
            loop {
                store_gate::enter(&self.control, |_, _| true).await;
                let watched = self
                    .client
                    .watch(evacuations::EVACUATION_KIND, after, WATCH_WAIT)
                    .await;
                store_gate::record(&self.control, &watched);
                let (changes, next) = watched?;
                self.backoff.reset();
                if !changes.is_empty() {
                    break;
                }
                after = next.max(after);
                if self.is_read_by_coordinator() {
                    break;
                }
            }
        }
    }

    async fn list(&mut self) -> Result<store_revision::StoreRevision, objects::StoreError> {
        store_gate::enter(&self.control, |_, _| true).await;
        let listed = self.client.list(evacuations::EVACUATION_KIND).await;
        store_gate::record(&self.control, &listed);
        let listing = listed?;
        let centres = evacuations::decode_evacuations(&listing);
        let mut control = self.control.borrow_mut();
        control.observe_store_era(self.client.era(), clock::now());
        control.apply_evacuations(centres, listing.revision.packed(), clock::now());
        Ok(listing.revision)
    }

    fn is_read_by_coordinator(&self) -> bool {
        let control = self.control.borrow();
        control.has_evacuations() && control.is_store_read_by_coordinator(clock::now())
    }

    async fn wait_while_coordinator_reads(&self) {
        while self.is_read_by_coordinator() {
            tokio::time::sleep(configuration::READER_CHECK_INTERVAL).await;
        }
    }
}

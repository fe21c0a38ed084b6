//! Keeps the list of registered databases up to date with the store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_platform::objects;
use bluebellferry_platform::registry;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

use crate::control;
use crate::control::configuration;
use crate::control::state;
use crate::control::store_gate;

/// The interval at which the registrations are listed. Every database renews its
/// registration more often than that, so a watch would cost a store call for each renewal.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long registrations that expired during an outage of the store are retained after its
/// end. Live databases have registered again within about two seconds.
const OUTAGE_RETENTION: Duration = Duration::from_millis(2_500);

/// The registrations in use. During an outage of the store, and for a short time after it,
/// retains those that expired because databases couldn't renew them.
#[derive(Debug, Default)]
pub struct RetainedRegistrations {
    databases: BTreeMap<name::DatabaseName, database::DatabaseEntry>,
    had_outage: bool,
    recovered_at: Option<Instant>,
}

impl RetainedRegistrations {
    /// Adds the databases in use, which another VM may have listed.
    pub fn add_databases_in_use(&mut self, in_use: &[database::DatabaseEntry]) {
        let in_use = in_use.iter().map(|entry| (entry.id.clone(), entry.clone()));
        self.databases.extend(in_use);
    }

    /// Records that the store did not answer.
    pub fn record_outage(&mut self) {
        self.had_outage = true;
    }

    /// Returns whether the store may have had an outage since the last listing.
    pub const fn had_outage(&self) -> bool {
        self.had_outage
    }

    /// Records a listing of the store and returns the databases to use: those listed, and
    /// for `OUTAGE_RETENTION` after an outage also those known before it.
    pub fn record_listing(
        &mut self,
        listed: Vec<database::DatabaseEntry>,
        now: Instant,
    ) -> Vec<database::DatabaseEntry> {
        if std::mem::take(&mut self.had_outage) {
            self.recovered_at = Some(now);
        }
        let is_recovering = self
            .recovered_at
            .is_some_and(|time| now.saturating_duration_since(time) < OUTAGE_RETENTION);
        if !is_recovering {
            self.databases.clear();
        }
        for mut entry in listed {
            // The store may have come back from a copy that is older than the report that the
            // database is draining. It never stops draining.
            let known = self.databases.get(&entry.id);
            entry.is_draining |= known.is_some_and(|known| {
                known.is_draining && known.started_unix_ms == entry.started_unix_ms
            });
            self.databases.insert(entry.id.clone(), entry);
        }
        self.databases.values().cloned().collect()
    }
}

/// Returns whether this VM lists the registrations itself: for its data centre, or because
/// it has not received any from another VM yet.
fn lists_registrations(control: &state::ControlState, now: Instant) -> bool {
    control.reads_store_lists(now) || control.versions.databases == 0
}

/// Keeps the list of databases up to date until the process ends.
pub async fn keep_up_to_date(control: control::ControlCell) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    let mut backoff = configuration::RetryBackoff::default();
    let mut dependency = configuration::DependencyLog::new("registrations in the store");
    let mut retained = RetainedRegistrations::default();
    loop {
        if !lists_registrations(&control.borrow(), clock::now()) {
            // If the VM that lists for this one stops doing so, a store outage may be why.
            retained = RetainedRegistrations::default();
            retained.record_outage();
            tokio::time::sleep(configuration::READER_CHECK_INTERVAL).await;
            continue;
        }
        // Other store calls of this VM may have failed meanwhile.
        if !control.borrow().is_store_reachable {
            retained.record_outage();
        }
        if retained.had_outage() {
            retained.add_databases_in_use(&control.borrow().databases);
        }
        if !store_gate::enter(&control, lists_registrations).await {
            continue;
        }
        let listed = client.list(registry::REGISTRATION_KIND).await;
        store_gate::record(&control, &listed);
        let has_returned = control
            .borrow_mut()
            .observe_store_era(client.era(), clock::now());
        if has_returned {
            retained.record_outage();
            retained.add_databases_in_use(&control.borrow().databases);
        }
        match listed {
            Ok(listing) => {
                dependency.record_success();
                backoff.reset();
                let entries = registry::decode_registrations(&listing);
                let entries = retained.record_listing(entries, clock::now());
                control.borrow_mut().is_store_reachable = true;
                control
                    .borrow_mut()
                    .apply_databases(entries, listing.revision.packed());
                tokio::time::sleep(LIST_INTERVAL).await;
            }
            Err(error) => {
                retained.record_outage();
                control.borrow_mut().is_store_reachable = false;
                dependency.record_failure(&error);
                backoff.wait().await;
            }
        }
    }
}

//! Following the databases' registrations.

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

/// How often the registrations are listed. Every database writes its entry more
/// often than that, so a watch would cost a call for each.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// For how long after the store's return entries that lapsed meanwhile are
/// kept; databases that live are back within about two seconds.
const LAPSED_KEPT: Duration = Duration::from_millis(2_500);

/// Keeps registrations that lapsed while the store was away.
#[derive(Debug, Default)]
pub struct LapsedEntries {
    known: BTreeMap<name::DatabaseName, database::DatabaseEntry>,
    was_away: bool,
    returned: Option<Instant>,
}

impl LapsedEntries {
    /// Takes the databases in use, which another VM may have listed.
    pub fn adopt(&mut self, in_use: &[database::DatabaseEntry]) {
        let in_use = in_use.iter().map(|entry| (entry.id.clone(), entry.clone()));
        self.known.extend(in_use);
    }

    /// Notes that the store did not answer.
    pub fn record_away(&mut self) {
        self.was_away = true;
    }

    /// Returns whether the store may have been away since the last listing.
    pub const fn is_away(&self) -> bool {
        self.was_away
    }

    /// Takes a listing; returns the databases to use.
    pub fn record_listing(
        &mut self,
        listed: Vec<database::DatabaseEntry>,
        now: Instant,
    ) -> Vec<database::DatabaseEntry> {
        if std::mem::take(&mut self.was_away) {
            self.returned = Some(now);
        }
        let is_settling = self
            .returned
            .is_some_and(|returned| now.saturating_duration_since(returned) < LAPSED_KEPT);
        if !is_settling {
            self.known.clear();
        }
        let listed = listed.into_iter().map(|entry| (entry.id.clone(), entry));
        self.known.extend(listed);
        self.known.values().cloned().collect()
    }
}

/// Returns whether this VM lists the registrations itself: it does so for its data
/// centre, or nobody has told it of any.
fn is_reader(control: &state::ControlState, now: Instant) -> bool {
    control.reads_for_centre(now) || control.versions.databases == 0
}

/// Follows the registrations until the process ends.
pub async fn follow(control: control::ControlCell) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    let mut pause = configuration::RetryPause::default();
    let mut dependency = configuration::DependencyLog::new("registrations in the store");
    let mut lapsed = LapsedEntries::default();
    loop {
        if !is_reader(&control.borrow(), clock::now()) {
            // Whoever reads for this VM may stop because the store went away.
            lapsed = LapsedEntries::default();
            lapsed.record_away();
            tokio::time::sleep(configuration::READER_STEP).await;
            continue;
        }
        // Other calls of this VM may have found the store away.
        if !control.borrow().has_store {
            lapsed.record_away();
        }
        if lapsed.is_away() {
            lapsed.adopt(&control.borrow().databases);
        }
        match client.list(registry::REGISTRATION_KIND).await {
            Ok(listing) => {
                dependency.record_success();
                pause.reset();
                let entries = registry::decode_registrations(&listing);
                let entries = lapsed.record_listing(entries, clock::now());
                control.borrow_mut().has_store = true;
                control
                    .borrow_mut()
                    .apply_databases(entries, listing.revision);
                tokio::time::sleep(LIST_INTERVAL).await;
            }
            Err(error) => {
                lapsed.record_away();
                control.borrow_mut().has_store = false;
                dependency.record_failure(&error);
                pause.wait().await;
            }
        }
    }
}

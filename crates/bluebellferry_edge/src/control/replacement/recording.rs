//! Keeps the record of the databases that may have acknowledged commits in the leadership table.
//!
//! A VM that has just started sees only which databases are registered. One whose registration has
//! expired may run and receive commits, so a database enters the record while it is registered, and
//! leaves it once another database or a position of the leader covers its log.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_platform::objects;
use bluebellferry_promotion::roster;
use bluebellferry_runtime::clock;

use crate::control;
use crate::control::configuration;
use crate::control::replacement::cause;
use crate::control::replacement::table;
use crate::control::state;

/// How often the record is compared with what this VM knows. A registration takes several times as
/// long to expire.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a change is held back that only relaxes the record. Several of them often follow each
/// other.
const RELAXATION_DELAY: Duration = Duration::from_secs(2);

/// Keeps the record up to date until the process ends. A VM that may replace leaders reads it soon
/// after its start, so that positions of the leader cover what has left before.
pub async fn record_rosters(control: control::ControlCell) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    let mut backoff = configuration::RetryBackoff::default();
    let mut relaxable_since = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        control.borrow_mut().cover_departures();
        let is_successful = if needs_table(&control.borrow(), now) {
            table::read_from_store(&control, &mut client).await
        } else if must_write(&control.borrow(), &mut relaxable_since, now) {
            relaxable_since = None;
            table::write_rosters(&control, &mut client).await
        } else {
            true
        };
        if is_successful {
            backoff.reset();
        } else {
            backoff.wait().await;
        }
    }
}

/// Returns whether this VM has to read the table because the one in use lacks the record.
fn needs_table(control: &state::ControlState, now: Instant) -> bool {
    let is_candidate = control.is_store_reachable && control.topology.is_coordinator(now);
    let lacks_record =
        !control.has_observed_rosters() || cause::keeps_leadership_table(control, now);
    is_candidate && !control.has_complete_table && lacks_record
}

/// Returns whether this VM has to write the record now. `relaxable_since` tells since when the
/// record could be relaxed.
fn must_write(
    control: &state::ControlState,
    relaxable_since: &mut Option<Instant>,
    now: Instant,
) -> bool {
    let may_write = cause::keeps_leadership_table(control, now)
        && control.has_settled(now)
        && !control.awaits_restoration();
    let unwritten = control.unwritten_rosters();
    // No commit is acknowledged of a leader that is being replaced.
    if !may_write || unwritten.is_empty() || control.active_claims > 0 {
        *relaxable_since = None;
        return false;
    }
    let recorded = &control.leadership_table.rosters;
    let mut records = unwritten.iter();
    let is_urgent = records.any(|(service, next)| roster::is_urgent(recorded.get(service), next));
    let since = *relaxable_since.get_or_insert(now);
    is_urgent || now.saturating_duration_since(since) >= RELAXATION_DELAY
}

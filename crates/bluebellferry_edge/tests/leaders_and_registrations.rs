//! Decisions about replaced leaders and expired registrations, tested without sockets.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_edge::control::registry;
use bluebellferry_edge::shared;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn leader(log_end_when_chosen: Option<position::LogPosition>) -> shared::LeaderView {
    shared::LeaderView {
        database: name::DatabaseName::try_from("i-a").expect("a valid name"),
        log_end_when_chosen,
        is_being_replaced: false,
    }
}

#[test]
fn only_positions_of_the_leader_s_own_term_must_be_in_its_log() {
    let at = |term, offset| Some(position::LogPosition::new(term, offset));
    // The service had no leader before.
    assert_eq!(leader(None).min_log_position(at(1, 40)), at(1, 40));
    assert_eq!(leader(None).min_log_position(None), None);
    // The log of the previous leader may have contained commits that no other database
    // received.
    assert_eq!(leader(at(1, 40)).min_log_position(at(1, 43)), at(1, 40));
    assert_eq!(leader(at(1, 40)).min_log_position(None), at(1, 40));
    assert_eq!(leader(at(1, 40)).min_log_position(at(2, 44)), at(2, 44));
}

fn entry(id: &str) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        started_unix_ms: 1,
        service: name::ServiceName::try_from("rental").expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: name::DataCentreName::try_from("amman-a").expect("a valid name"),
        max_running_statements: 3,
        is_draining: false,
        role: database::DatabaseRole::Replica,
        is_cold: false,
    }
}

#[test]
fn a_vm_that_starts_to_read_the_store_during_an_outage_keeps_entries_read_by_others() {
    let start = Instant::now();
    let mut retained = registry::RetainedRegistrations::default();
    // Copied from the VM that read the store until then.
    retained.add_databases_in_use(&[entry("a"), entry("b")]);
    retained.record_outage();
    assert_eq!(retained.record_listing(Vec::new(), start).len(), 2);
    let soon = start + Duration::from_secs(2);
    assert_eq!(retained.record_listing(vec![entry("a")], soon).len(), 2);
    let later = start + Duration::from_secs(3);
    assert_eq!(retained.record_listing(vec![entry("a")], later).len(), 1);
    // Without an outage, entries that are missing from the listing are dropped at once.
    retained.add_databases_in_use(&[entry("a"), entry("b")]);
    assert_eq!(retained.record_listing(vec![entry("b")], later).len(), 1);
}

//! What a VM may believe of databases whose place another one has taken, without a socket.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_edge::control::registry;
use bluebellferry_edge::shared;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn leader(floor: Option<position::LogPosition>) -> shared::LeaderView {
    shared::LeaderView {
        database: name::DatabaseName::try_from("i-a").expect("a valid name"),
        floor,
        is_replacing: false,
    }
}

#[test]
fn only_positions_of_the_leader_s_own_term_are_expected_of_its_log() {
    let at = |term, offset| Some(position::LogPosition::new(term, offset));
    // Nobody led before it.
    assert_eq!(leader(None).known_end(at(1, 40)), at(1, 40));
    assert_eq!(leader(None).known_end(None), None);
    // The one before it may have held commits that nobody else received.
    assert_eq!(leader(at(1, 40)).known_end(at(1, 43)), at(1, 40));
    assert_eq!(leader(at(1, 40)).known_end(None), at(1, 40));
    assert_eq!(leader(at(1, 40)).known_end(at(2, 44)), at(2, 44));
}

fn entry(id: &str) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        born: 1,
        service: name::ServiceName::try_from("rental").expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: name::DataCentreName::try_from("amman-a").expect("a valid name"),
        slots: 3,
        leaving: false,
        role: database::DatabaseRole::Replica,
    }
}

#[test]
fn a_vm_that_begins_to_read_during_an_outage_keeps_what_others_read_before() {
    let start = Instant::now();
    let mut lapsed = registry::ExpiredRegistrations::default();
    // It has these from the VM that read the store until then.
    lapsed.add_databases_in_use(&[entry("a"), entry("b")]);
    lapsed.record_outage();
    assert_eq!(lapsed.record_listing(Vec::new(), start).len(), 2);
    let soon = start + Duration::from_secs(2);
    assert_eq!(lapsed.record_listing(vec![entry("a")], soon).len(), 2);
    let later = start + Duration::from_secs(3);
    assert_eq!(lapsed.record_listing(vec![entry("a")], later).len(), 1);
    // Without an outage the listing is all there is.
    lapsed.add_databases_in_use(&[entry("a"), entry("b")]);
    assert_eq!(lapsed.record_listing(vec![entry("b")], later).len(), 1);
}

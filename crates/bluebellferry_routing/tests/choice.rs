//! Reads go only where they may.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_routing::choice;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn centre(text: &str) -> name::DataCentreName {
    name::DataCentreName::try_from(text).expect("a valid name")
}

fn database(
    data_centre: &str,
    primary_term: Option<u64>,
    offset: u64,
    now: Instant,
) -> choice::DatabaseView {
    choice::DatabaseView {
        name: name::DatabaseName::try_from("db").expect("a valid name"),
        data_centre: centre(data_centre),
        primary_term,
        replayed: position::LogPosition::new(1, offset),
        last_answered: Some(now),
        majority_contact_age: Duration::ZERO,
        is_draining: false,
    }
}

/// A primary at offset 100 and replicas at 90 and 50; one entry came every 10 ms.
fn service(now: Instant) -> choice::ServiceView {
    let mut service = choice::ServiceView::default();
    for step in 0..=100 {
        let asked = now - Duration::from_millis(10 * (100 - step));
        service
            .history
            .record(asked, position::LogPosition::new(1, step));
    }
    service.databases.push(database("amman", Some(1), 100, now));
    service.databases.push(database("aqaba", None, 90, now));
    service.databases.push(database("irbid", None, 50, now));
    service
}

fn choose(
    service: &choice::ServiceView,
    floor: u64,
    age_ms: u64,
    now: Instant,
) -> choice::ReplicaChoice {
    let demand = choice::ReadDemand {
        floor: position::LogPosition::new(1, floor),
        max_age: Duration::from_millis(age_ms),
        max_wait: Duration::from_millis(30),
    };
    choice::choose_replica(service, demand, &centre("irbid"), |_| 0, now)
}

#[test]
fn the_local_replica_comes_first_if_it_qualifies() {
    let now = Instant::now();
    let service = service(now);
    assert_eq!(
        choose(&service, 10, 5_000, now),
        choice::ReplicaChoice::Replica(2)
    );
    // Too old for 200 ms, or behind the floor: the other one.
    assert_eq!(
        choose(&service, 10, 200, now),
        choice::ReplicaChoice::Replica(1)
    );
    assert_eq!(
        choose(&service, 60, 5_000, now),
        choice::ReplicaChoice::Replica(1)
    );
}

#[test]
fn a_floor_that_nobody_has_goes_to_the_primary_or_waits() {
    let now = Instant::now();
    let service = service(now);
    assert_eq!(
        choose(&service, 100, 5_000, now),
        choice::ReplicaChoice::Primary
    );
    // Written at 92: the replica at 90 lags 100 ms and needs 20 ms more.
    let wait = choice::ReplicaChoice::WaitFor(Duration::from_millis(20));
    assert_eq!(choose(&service, 92, 5_000, now), wait);
}

#[test]
fn leaving_and_silent_replicas_get_nothing() {
    let now = Instant::now();
    let mut service = service(now);
    service.databases[2].is_draining = true;
    assert_eq!(
        choose(&service, 10, 5_000, now),
        choice::ReplicaChoice::Replica(1)
    );
    service.databases[1].last_answered = Some(now - choice::REACHABILITY_TIMEOUT * 2);
    assert_eq!(
        choose(&service, 10, 5_000, now),
        choice::ReplicaChoice::Primary
    );
}

#[test]
fn an_older_primary_than_the_floor_is_not_used() {
    let now = Instant::now();
    let service = service(now);
    assert_eq!(service.primary_for_new_work(1, now), Some(0));
    assert_eq!(service.primary_for_new_work(2, now), None);
}

#[test]
fn the_newest_of_two_primaries_is_used_and_a_lonely_one_is_not() {
    let now = Instant::now();
    let mut service = service(now);
    service.databases[1].primary_term = Some(2);
    assert_eq!(service.primary(now), Some(1));
    service.databases[1].primary_term = None;
    service.databases[0].majority_contact_age = choice::MAJORITY_CONTACT_TIMEOUT * 2;
    assert_eq!(service.primary(now), None);
}

#[test]
fn a_newer_term_is_ahead_of_every_older_position() {
    let lost = position::LogPosition::new(1, 1_000);
    let after = position::LogPosition::new(2, 900);
    assert!(after > lost);
}

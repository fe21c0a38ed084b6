//! The choice of a database for a read, and of the primary.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_routing::choice;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn data_centre_name(text: &str) -> name::DataCentreName {
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
        data_centre: data_centre_name(data_centre),
        primary_term,
        replayed: position::LogPosition::new(1, offset),
        last_answered: Some(now),
        majority_contact_age: Duration::ZERO,
        is_draining: false,
    }
}

/// Returns a service with a primary at offset 100 and replicas at offsets 90 and 50. The
/// primary wrote one log entry every 10 ms.
fn service(now: Instant) -> choice::ServiceView {
    let mut service = choice::ServiceView::default();
    for step in 0..=100 {
        let requested_at = now - Duration::from_millis(10 * (100 - step));
        service
            .history
            .record(requested_at, position::LogPosition::new(1, step));
    }
    service.databases.push(database("amman", Some(1), 100, now));
    service.databases.push(database("aqaba", None, 90, now));
    service.databases.push(database("irbid", None, 50, now));
    service
}

fn choose(
    service: &choice::ServiceView,
    floor: u64,
    max_age_ms: u64,
    now: Instant,
) -> choice::ReplicaChoice {
    let requirement = choice::ReplicaRequirement {
        floor: position::LogPosition::new(1, floor),
        max_age: Duration::from_millis(max_age_ms),
        max_wait: Duration::from_millis(30),
    };
    choice::choose_replica(service, requirement, &data_centre_name("irbid"), |_| 0, now)
}

#[test]
fn the_local_replica_is_preferred_if_it_meets_the_requirement() {
    let now = Instant::now();
    let service = service(now);
    assert_eq!(
        choose(&service, 10, 5_000, now),
        choice::ReplicaChoice::Replica(2)
    );
    // The local replica's data is older than 200 ms, or it is behind the floor.
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
fn a_read_beyond_every_replica_waits_or_goes_to_the_primary() {
    let now = Instant::now();
    let service = service(now);
    assert_eq!(
        choose(&service, 100, 5_000, now),
        choice::ReplicaChoice::Primary
    );
    // The replica at offset 90 lags by 100 ms and reaches offset 92 in 20 ms.
    let wait = choice::ReplicaChoice::WaitFor(Duration::from_millis(20));
    assert_eq!(choose(&service, 92, 5_000, now), wait);
}

#[test]
fn draining_and_unresponsive_replicas_get_no_reads() {
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
fn a_primary_of_a_lower_term_than_the_floor_is_not_used() {
    let now = Instant::now();
    let service = service(now);
    assert_eq!(service.primary_for_new_requests(1, now), Some(0));
    assert_eq!(service.primary_for_new_requests(2, now), None);
}

#[test]
fn the_primary_has_the_highest_term_and_contact_to_a_majority() {
    let now = Instant::now();
    let mut service = service(now);
    service.databases[1].primary_term = Some(2);
    assert_eq!(service.primary(now), Some(1));
    service.databases[1].primary_term = None;
    service.databases[0].majority_contact_age = choice::MAJORITY_CONTACT_TIMEOUT * 2;
    assert_eq!(service.primary(now), None);
}

#[test]
fn a_position_of_a_higher_term_is_ahead_of_every_position_of_a_lower_term() {
    let old_term = position::LogPosition::new(1, 1_000);
    let new_term = position::LogPosition::new(2, 900);
    assert!(new_term > old_term);
}

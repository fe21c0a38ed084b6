//! Unit tests of decisions that the edge proxy makes without I/O.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_edge::control::allocation::table;
use bluebellferry_edge::control::members;
use bluebellferry_edge::control::registry;
use bluebellferry_edge::control::suspicion;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic::log_limiter;
use bluebellferry_edge::traffic::reads;
use bluebellferry_routing::history;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn position(offset: u64) -> position::LogPosition {
    position::LogPosition::new(3, offset)
}

fn service() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

#[test]
fn allocations_of_all_vms_add_up_to_every_limit() {
    let boundaries = [0.0, 0.11, 0.34, 0.5, 0.83, 1.0];
    for limit in 0..60 {
        let count = |pair: &[f64]| {
            let allocation = shared::FleetAllocation {
                from: pair[0],
                to: pair[1],
            };
            allocation.count_of(limit)
        };
        let total: usize = boundaries.windows(2).map(count).sum();
        assert_eq!(total, limit as usize);
    }
}

#[test]
fn allocations_follow_demand_and_an_unresponsive_vm_keeps_its_allocation() {
    let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    let demand = |name: &str| match name {
        "a" => Some(30.0),
        "b" => Some(10.0),
        _ => None,
    };
    let allocations = table::allocate(&names, 0.0, demand, |_| 0.2);
    assert_eq!(allocations.len(), 3);
    assert!((allocations[0] - 0.6).abs() < 1e-9 && (allocations[1] - 0.2).abs() < 1e-9);
    assert!((allocations[2] - 0.2).abs() < 1e-9);
    // If the total demand is low, the allocations are nearly equal.
    let allocations = table::allocate(&names, 1_000.0, |_| Some(0.1), |_| 0.0);
    assert!(
        allocations
            .iter()
            .all(|allocation| (allocation - 1.0 / 3.0).abs() < 0.01)
    );
    let sum: f64 = table::allocate(&names, 0.0, |_| Some(0.0), |_| 0.0)
        .iter()
        .sum();
    assert!((sum - 1.0).abs() < 1e-9);
}

#[test]
fn read_requires_the_oldest_position_within_its_staleness_bound() {
    let start = Instant::now();
    let mut history = history::PositionHistory::default();
    for second in 0..10 {
        history.record(start + Duration::from_secs(second), position(second * 10));
    }
    let arrived = start + Duration::from_millis(9_500);
    let max_age = Duration::from_millis(1_500);
    let bounded = configuration::ReadGuarantee::BoundedAge { max_age };
    let requirement = reads::read_requirement(
        bounded,
        reads::SessionFloor::Known(Some(position(85))),
        Some(&history),
        arrived,
    );
    assert_eq!(
        requirement,
        reads::ReadRequirement::MinPosition(position(80))
    );
    let read_your_writes = configuration::ReadGuarantee::ReadYourWrites { max_age };
    let requirement = reads::read_requirement(
        read_your_writes,
        reads::SessionFloor::Known(Some(position(85))),
        Some(&history),
        arrived,
    );
    assert_eq!(
        requirement,
        reads::ReadRequirement::MinPosition(position(85))
    );
    // Without a recent position sample only the leader is known to be fresh enough.
    let late = start + Duration::from_secs(20);
    let requirement = reads::read_requirement(
        bounded,
        reads::SessionFloor::Known(None),
        Some(&history),
        late,
    );
    assert_eq!(requirement, reads::ReadRequirement::Leader);
    let primary = configuration::ReadGuarantee::Primary;
    let requirement = reads::read_requirement(
        primary,
        reads::SessionFloor::Known(None),
        Some(&history),
        arrived,
    );
    assert_eq!(requirement, reads::ReadRequirement::Leader);
}

fn entry(id: &str) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        started_unix_ms: 1,
        service: service(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: name::DataCentreName::try_from("amman-a").expect("a valid name"),
        max_running_statements: 3,
        is_draining: false,
        role: database::DatabaseRole::Replica,
        is_cold: false,
    }
}

#[test]
fn registrations_that_expired_during_a_store_outage_are_kept_briefly() {
    let start = Instant::now();
    let mut expired = registry::RetainedRegistrations::default();
    assert_eq!(
        expired
            .record_listing(vec![entry("a"), entry("b")], start)
            .len(),
        2
    );
    expired.record_outage();
    let store_back_at = start + Duration::from_secs(10);
    assert_eq!(
        expired
            .record_listing(vec![entry("a")], store_back_at)
            .len(),
        2
    );
    let soon = store_back_at + Duration::from_secs(1);
    assert_eq!(expired.record_listing(vec![entry("a")], soon).len(), 2);
    // An entry that is still missing is dropped.
    let later = store_back_at + Duration::from_secs(3);
    assert_eq!(expired.record_listing(vec![entry("a")], later).len(), 1);
    // Without an outage a missing entry is dropped at once.
    assert_eq!(expired.record_listing(Vec::new(), later).len(), 0);
}

fn evidence(kind: shared::EvidenceKind) -> shared::LeaderEvidence {
    shared::LeaderEvidence {
        service: service(),
        database: name::DatabaseName::try_from("x").expect("a valid name"),
        kind,
    }
}

#[test]
fn leader_is_suspected_after_a_missing_answer_until_it_answers() {
    let start = Instant::now();
    let mut tracker = suspicion::SuspicionTracker::default();
    tracker.record(&evidence(shared::EvidenceKind::Unresponsive), start);
    assert_eq!(tracker.own_suspicions(start).len(), 1);
    tracker.record(&evidence(shared::EvidenceKind::Answered), start);
    assert!(tracker.own_suspicions(start).is_empty());
    // Answered reads do not clear a suspicion due to unanswered commits.
    tracker.record(&evidence(shared::EvidenceKind::CommitUnanswered), start);
    tracker.record(&evidence(shared::EvidenceKind::Answered), start);
    assert_eq!(tracker.own_suspicions(start).len(), 1);
    tracker.record(&evidence(shared::EvidenceKind::Committed), start);
    assert!(tracker.own_suspicions(start).is_empty());
}

#[test]
fn newly_promoted_database_that_does_not_lead_yet_is_not_suspected() {
    let start = Instant::now();
    let mut tracker = suspicion::SuspicionTracker::default();
    let not_leading = evidence(shared::EvidenceKind::NotLeading);
    tracker.record(&not_leading, start);
    tracker.record(&not_leading, start + Duration::from_secs(1));
    assert!(
        tracker
            .own_suspicions(start + Duration::from_secs(1))
            .is_empty()
    );
    let late = start + Duration::from_secs(4);
    tracker.record(&not_leading, late);
    assert_eq!(tracker.own_suspicions(late).len(), 1);
}

#[test]
fn log_lines_about_statements_are_limited_and_suppressed_lines_counted() {
    let start = Instant::now();
    let limiter = log_limiter::LogRateLimiter::new(start);
    let logged = (0..1_000).filter(|_| limiter.may_log(start)).count();
    assert!(logged < 100);
    assert_eq!(limiter.take_suppressed(), 1_000 - logged as u64);
    assert!(limiter.may_log(start + Duration::from_secs(1)));
}

#[test]
fn vm_joins_without_a_heartbeat_from_the_lost_vm_it_replaces() {
    let after = Duration::from_millis;
    // A VM joins once it has received heartbeats from all other VMs, and VMs that start at the
    // same time have had time to be listed.
    assert!(!members::may_join(after(1_000), 5, 5, true));
    assert!(members::may_join(after(1_600), 5, 5, true));
    // The lost VM is still listed and sends no heartbeat.
    assert!(!members::may_join(after(1_600), 5, 6, true));
    assert!(members::may_join(after(2_600), 5, 6, true));
    // A VM from which heartbeats arrive does not list this one as a member yet.
    assert!(!members::may_join(after(2_600), 5, 6, false));
    // A VM that receives heartbeats from only a minority waits until all others must have read
    // a list that includes it.
    assert!(!members::may_join(after(5_000), 2, 6, true));
    assert!(members::may_join(after(6_600), 0, 6, true));
}

#[test]
fn write_in_doubt_routes_reads_to_the_leader_until_the_staleness_bound_covers_it() {
    let start = Instant::now();
    let max_age = Duration::from_millis(1_500);
    let read_your_writes = configuration::ReadGuarantee::ReadYourWrites { max_age };
    let bounded = configuration::ReadGuarantee::BoundedAge { max_age };
    let mut history = history::PositionHistory::default();
    for second in 0..10 {
        history.record(start + Duration::from_secs(second), position(second * 10));
    }
    let in_doubt = reads::SessionFloor::InDoubt {
        at: start + Duration::from_secs(5),
        floor: Some(position(40)),
    };
    let requirement = |guarantee, arrived| {
        let arrived = start + Duration::from_millis(arrived);
        reads::read_requirement(guarantee, in_doubt, Some(&history), arrived)
    };
    assert_eq!(
        requirement(read_your_writes, 5_001),
        reads::ReadRequirement::Leader
    );
    assert_eq!(
        requirement(read_your_writes, 7_499),
        reads::ReadRequirement::Leader
    );
    assert_eq!(
        requirement(read_your_writes, 7_500),
        reads::ReadRequirement::MinPosition(position(60))
    );
    assert_eq!(
        requirement(bounded, 5_001),
        reads::ReadRequirement::MinPosition(position(40))
    );
}

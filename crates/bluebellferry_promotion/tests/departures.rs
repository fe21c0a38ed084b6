//! Tests of who may be promoted after databases have left with their logs.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::departure;
use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn id(text: &str) -> name::DatabaseName {
    name::DatabaseName::try_from(text).expect("a valid name")
}

fn position(term: u64, offset: u64) -> position::LogPosition {
    position::LogPosition::new(term, offset)
}

fn database(
    text: &str,
    fenced_position: Option<position::LogPosition>,
) -> successor::DatabaseEvidence {
    successor::DatabaseEvidence {
        id: id(text),
        is_leader: text == "x",
        is_draining: false,
        fenced_position,
        reported_leadership: None,
        earlier_position: None,
    }
}

fn reign_of(ledger: &departure::DepartureLedger, now: Instant) -> successor::ReplacedReign<'_> {
    successor::ReplacedReign {
        required_end: ledger.covered_end(),
        has_unknown_logs: ledger.has_unknown_logs(now),
        ..successor::ReplacedReign::of_term(3)
    }
}

fn promoted(
    databases: &[successor::DatabaseEvidence],
    reign: &successor::ReplacedReign<'_>,
) -> Option<String> {
    match successor::choose_successor(databases, reign) {
        successor::SuccessorChoice::Promote { id, .. } => Some(id.to_string()),
        successor::SuccessorChoice::Adopt { .. } | successor::SuccessorChoice::Wait => None,
    }
}

// Guards against lost commits: a replica that received nothing was promoted after the only replica
// with the last commits had left, while the leader lived with all of them.
#[test]
fn deaf_replica_is_not_promoted_after_the_other_replica_has_left() {
    let now = Instant::now();
    let mut ledger = departure::DepartureLedger::default();
    ledger.record_departure(&id("r1"), 1, departure::DepartureKind::LogLost, now);
    ledger.cover(|_| Some(position(3, 463)));
    let reign = reign_of(&ledger, now);
    let deaf = database("r2", Some(position(2, 343)));
    let silent = [database("x", None), deaf.clone()];
    assert_eq!(promoted(&silent, &reign), None);
    let reason = successor::wait_reason(&silent, &reign);
    assert_eq!(reason, successor::WaitReason::MissingCommits);
    // The leader has all commits once it has stepped down.
    let returned = [database("x", Some(position(3, 470))), deaf];
    assert_eq!(promoted(&returned, &reign).as_deref(), Some("x"));
    // A replica that has received the position has them as well.
    let caught_up = [database("x", None), database("r2", Some(position(3, 463)))];
    assert_eq!(promoted(&caught_up, &reign).as_deref(), Some("r2"));
}

// Guards against lost commits: a replica with an empty log was promoted, since it was the only
// registered one.
#[test]
fn empty_replica_is_not_promoted_in_place_of_a_leader_with_a_log() {
    let reign = successor::ReplacedReign {
        required_end: Some(position(6, 753)),
        ..successor::ReplacedReign::of_term(7)
    };
    let joined = [database("x", None), database("r1", Some(position(0, 0)))];
    assert_eq!(promoted(&joined, &reign), None);
}

// Guards against lost commits: nobody knows what a replica had that left as the leader fell silent.
#[test]
fn promotion_waits_for_the_leader_if_a_log_is_gone_whose_end_is_not_known() {
    let now = Instant::now();
    let mut ledger = departure::DepartureLedger::default();
    ledger.record_departure(&id("r1"), 1, departure::DepartureKind::LogLost, now);
    ledger.cover(|_| None);
    let databases = [database("x", None), database("r2", Some(position(3, 10)))];
    let reign = reign_of(&ledger, now);
    assert_eq!(promoted(&databases, &reign), None);
    let reason = successor::wait_reason(&databases, &reign);
    assert_eq!(reason, successor::WaitReason::UnknownLogs);
    // All VMs have reported what they acknowledged, and the replica has it.
    let known = successor::ReplacedReign {
        acknowledged_end: Some(position(3, 10)),
        ..reign
    };
    assert_eq!(promoted(&databases, &known).as_deref(), Some("r2"));
    let lacking = successor::ReplacedReign {
        acknowledged_end: Some(position(3, 11)),
        ..reign
    };
    assert_eq!(promoted(&databases, &lacking), None);
    // The leader does not come back any more.
    let later = now + departure::LOST_LOG_RETENTION;
    let reign = reign_of(&ledger, later);
    assert_eq!(promoted(&databases, &reign).as_deref(), Some("r2"));
}

#[test]
fn departures_are_covered_by_positions_reported_after_them_only() {
    let now = Instant::now();
    let mut ledger = departure::DepartureLedger::default();
    ledger.record_departure(&id("r1"), 1, departure::DepartureKind::LogLost, now);
    let sampled_at = now - Duration::from_millis(1);
    ledger.cover(|noticed_at| (sampled_at >= noticed_at).then(|| position(3, 5)));
    assert!(ledger.has_unknown_logs(now));
    assert_eq!(ledger.covered_end(), None);
    let sampled_at = now + Duration::from_millis(1);
    ledger.cover(|noticed_at| (sampled_at >= noticed_at).then(|| position(3, 6)));
    assert!(!ledger.has_unknown_logs(now));
    assert_eq!(ledger.covered_end(), Some(position(3, 6)));
}

#[test]
fn database_that_registers_again_without_a_restart_has_its_log() {
    let now = Instant::now();
    let mut ledger = departure::DepartureLedger::default();
    ledger.record_departure(&id("r1"), 1, departure::DepartureKind::LogLost, now);
    ledger.record_return(&id("r1"), 2);
    assert!(ledger.has_unknown_logs(now));
    ledger.record_return(&id("r1"), 1);
    assert!(!ledger.has_unknown_logs(now));
}

// Guards against lost commits: a replica whose registration had expired restarted with an empty log
// under the same identity, and was no longer waited for.
#[test]
fn expired_database_that_restarts_has_lost_its_log() {
    let now = Instant::now();
    let mut ledger = departure::DepartureLedger::default();
    ledger.record_departure(&id("r1"), 1, departure::DepartureKind::Expired, now);
    assert!(!ledger.has_unknown_logs(now));
    ledger.record_return(&id("r1"), 2);
    assert!(ledger.has_unknown_logs(now));
}

// Guards against lost commits: once the wait for a lost log was over, an empty database was promoted
// although the leader had stepped down with a longer log.
#[test]
fn leader_with_the_longest_log_is_promoted_once_lost_logs_are_given_up() {
    let databases = [
        database("x", Some(position(1, 206))),
        database("r1", Some(position(0, 0))),
    ];
    let given_up = successor::ReplacedReign {
        has_given_up: true,
        ..successor::ReplacedReign::of_term(1)
    };
    assert_eq!(promoted(&databases, &given_up).as_deref(), Some("x"));
}

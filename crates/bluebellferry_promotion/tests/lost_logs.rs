//! Tests of databases that restart empty under the same identity while a leader is
//! replaced. Such a database has lost its log, and receives again although it was fenced.

use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;

fn position(offset: u64) -> position::LogPosition {
    position::LogPosition::new(1, offset)
}

fn database(
    id: &str,
    fenced_position: Option<u64>,
    earlier_position: Option<u64>,
) -> successor::DatabaseEvidence {
    successor::DatabaseEvidence {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        is_leader: id == "x",
        is_draining: false,
        fenced_position: fenced_position.map(position),
        reported_leadership: None,
        earlier_position: earlier_position.map(position),
    }
}

fn chosen_successor(databases: &[successor::DatabaseEvidence]) -> Option<String> {
    match successor::choose_successor(databases, &successor::ReplacedReign::of_term(1)) {
        successor::SuccessorChoice::Promote { id, .. } => Some(id.to_string()),
        successor::SuccessorChoice::Adopt { id, .. } => Some(format!("adopt {id}")),
        successor::SuccessorChoice::Wait => None,
    }
}

#[test]
fn position_of_a_leader_restarted_empty_does_not_qualify_a_replica() {
    let restarted_empty = || database("x", Some(0), Some(40));
    // Every replica's log is longer than the leader's now, so a replica that has not reported
    // may have commits that this one lacks.
    let databases = [
        restarted_empty(),
        database("r1", Some(12), None),
        database("r2", None, None),
    ];
    assert_eq!(chosen_successor(&databases), None);
    let databases = [
        restarted_empty(),
        database("r1", Some(12), None),
        database("r2", Some(41), None),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("r2"));
    // The leader is not promoted again either.
    let unresponsive = [
        restarted_empty(),
        database("r1", None, None),
        database("r2", None, None),
    ];
    assert_eq!(chosen_successor(&unresponsive), None);
    // A leader that restarted with its log has every acknowledged commit.
    let with_log = database("x", Some(41), Some(40));
    let databases = [
        with_log,
        database("r1", Some(12), None),
        database("r2", None, None),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("x"));
}

#[test]
fn replica_restarted_empty_requires_another_log_that_reaches_its_earlier_position() {
    // Only this replica and the lost leader had the last commits.
    let restarted_empty = || database("r1", Some(0), Some(41));
    let databases = [
        database("x", None, None),
        restarted_empty(),
        database("r2", Some(40), None),
    ];
    assert_eq!(chosen_successor(&databases), None);
    let databases = [
        database("x", None, None),
        restarted_empty(),
        database("r2", Some(41), None),
    ];
    assert_eq!(chosen_successor(&databases).as_deref(), Some("r2"));
}

#[test]
fn restarted_database_is_no_longer_fenced() {
    let report = |offset, fenced_term| successor::FenceReport {
        received: position(offset),
        fenced_term,
        is_primary: false,
    };
    let is_still_fenced = |must_not_receive, report| {
        successor::is_still_fenced(position(41), must_not_receive, &report)
    };
    assert!(is_still_fenced(true, report(41, 2)));
    // The database restarted and receives again.
    assert!(!is_still_fenced(true, report(41, 0)));
    // Another VM has fenced the database since; it had lost its log, or received more.
    assert!(!is_still_fenced(true, report(0, 2)));
    assert!(!is_still_fenced(true, report(42, 2)));
    // A database that was not ordered to stop receiving, since the leader had stepped down.
    assert!(is_still_fenced(false, report(41, 0)));
    assert!(!is_still_fenced(false, report(0, 0)));
}

#[test]
fn no_acknowledged_commit_is_lost_when_databases_restart_empty() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(11);
    let (mut chosen, mut waited) = (0, 0);
    for _ in 0..40_000 {
        let replicas = [rng.random_range(0..6_u64), rng.random_range(0..6)];
        let acknowledged = replicas[0].max(replicas[1]);
        let leader_end = acknowledged + rng.random_range(0..2);
        let mut evidence = |id: &str, end: u64, earlier: u64| {
            if !rng.random_bool(0.7) {
                return database(id, None, None);
            }
            if earlier > 0 && rng.random_bool(0.3) {
                return database(id, Some(0), Some(earlier));
            }
            database(id, Some(end), (earlier > 0).then_some(earlier))
        };
        let earlier = leader_end.saturating_sub(1);
        let databases = [
            evidence("x", leader_end, earlier),
            evidence("r1", replicas[0], replicas[0]),
            evidence("r2", replicas[1], replicas[1]),
        ];
        match successor::choose_successor(&databases, &successor::ReplacedReign::of_term(1)) {
            successor::SuccessorChoice::Promote { position, .. } => {
                chosen += 1;
                assert!(position.offset >= acknowledged, "{databases:?}");
            }
            _ => waited += 1,
        }
    }
    assert!(chosen > 1_000 && waited > 1_000, "{chosen} {waited}");
}

// Guards against losing commits when a draining replica stops: the replacement waited 30 s for
// a former leader that was no longer registered, while the only replica with the last commits
// was draining and stopped.
#[test]
fn draining_replica_with_the_last_commits_is_promoted_before_it_stops() {
    let draining = successor::DatabaseEvidence {
        is_draining: true,
        ..database("r1", Some(226), None)
    };
    let unregistered = database("r3", None, None);
    let registered = [
        database("x", None, None),
        draining.clone(),
        database("r2", Some(222), None),
    ];
    let mut all = registered.to_vec();
    all.push(unregistered);
    assert_eq!(chosen_successor(&all), None);
    let choice =
        successor::choose_draining_successor(&registered, &successor::ReplacedReign::of_term(1));
    let expected = successor::SuccessorChoice::Promote {
        id: draining.id.clone(),
        position: position(226),
    };
    assert_eq!(choice, expected);
    // A replica that is not draining loses nothing by waiting.
    let not_draining = [
        database("r1", Some(226), None),
        database("r2", Some(222), None),
    ];
    let choice_without_draining =
        successor::choose_draining_successor(&not_draining, &successor::ReplacedReign::of_term(1));
    assert_eq!(choice_without_draining, successor::SuccessorChoice::Wait);
    // Once the draining replica has stopped, a successor must still reach the end of its log.
    let stopped = successor::unregistered_database(&draining.id, position(226));
    assert_eq!(
        chosen_successor(&[stopped.clone(), database("r2", Some(222), None)]),
        None
    );
    let caught_up = [stopped, database("r2", Some(226), None)];
    assert_eq!(chosen_successor(&caught_up).as_deref(), Some("r2"));
}

//! Databases that are started anew under their identities while a leader is replaced.
//! They hold nothing of before, and receive again although they were held back.

use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use rand::SeedableRng;

fn position(offset: u64) -> position::LogPosition {
    position::LogPosition::new(1, offset)
}

fn member(
    id: &str,
    fenced_position: Option<u64>,
    earlier_position: Option<u64>,
) -> successor::MemberEvidence {
    successor::MemberEvidence {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        is_leader: id == "x",
        is_draining: false,
        fenced_position: fenced_position.map(position),
        reported_leadership: None,
        earlier_position: earlier_position.map(position),
    }
}

fn promoted(members: &[successor::MemberEvidence]) -> Option<String> {
    match successor::choose_successor(members, 1) {
        successor::SuccessorChoice::Promote { id, .. } => Some(id.to_string()),
        successor::SuccessorChoice::Adopt { id, .. } => Some(format!("adopt {id}")),
        successor::SuccessorChoice::Wait => None,
    }
}

#[test]
fn a_leader_that_came_back_empty_does_not_tell_which_replica_suffices() {
    let empty = || member("x", Some(0), Some(40));
    // Any replica holds more than the leader does now; the other one may hold more yet.
    let members = [
        empty(),
        member("r1", Some(12), None),
        member("r2", None, None),
    ];
    assert_eq!(promoted(&members), None);
    let members = [
        empty(),
        member("r1", Some(12), None),
        member("r2", Some(41), None),
    ];
    assert_eq!(promoted(&members).as_deref(), Some("r2"));
    // Nor is it named again.
    let silent = [empty(), member("r1", None, None), member("r2", None, None)];
    assert_eq!(promoted(&silent), None);
    // One that came back with its log lacks nothing.
    let whole = member("x", Some(41), Some(40));
    let members = [
        whole,
        member("r1", Some(12), None),
        member("r2", None, None),
    ];
    assert_eq!(promoted(&members).as_deref(), Some("x"));
}

#[test]
fn a_replica_that_came_back_empty_does_not_vouch_for_what_it_held() {
    // Only it and the lost leader held the last commits.
    let empty = || member("r1", Some(0), Some(41));
    let members = [
        member("x", None, None),
        empty(),
        member("r2", Some(40), None),
    ];
    assert_eq!(promoted(&members), None);
    let members = [
        member("x", None, None),
        empty(),
        member("r2", Some(41), None),
    ];
    assert_eq!(promoted(&members).as_deref(), Some("r2"));
}

#[test]
fn a_database_that_was_started_anew_is_no_longer_held_back() {
    let report = |offset, fenced_term| successor::FenceReport {
        received: position(offset),
        fenced_term,
        is_primary: false,
    };
    let is_held = |is_paused, report| successor::is_still_fenced(position(41), is_paused, &report);
    assert!(is_held(true, report(41, 2)));
    // It receives again.
    assert!(!is_held(true, report(41, 0)));
    // Another VM has held it back since; it has lost its log, or received more.
    assert!(!is_held(true, report(0, 2)));
    assert!(!is_held(true, report(42, 2)));
    // One that was not paused, since the leader had stopped.
    assert!(is_held(false, report(41, 0)));
    assert!(!is_held(false, report(0, 0)));
}

#[test]
fn no_acknowledged_commit_is_lost_where_databases_come_back_empty() {
    let mut random = rand::rngs::StdRng::seed_from_u64(11);
    let (mut chosen, mut waited) = (0, 0);
    for _ in 0..40_000 {
        let replicas = [random.random_range(0..6_u64), random.random_range(0..6)];
        let acknowledged = replicas[0].max(replicas[1]);
        let leader_end = acknowledged + random.random_range(0..2);
        let mut state = |id: &str, end: u64, seen: u64| {
            if !random.random_bool(0.7) {
                return member(id, None, None);
            }
            if seen > 0 && random.random_bool(0.3) {
                return member(id, Some(0), Some(seen));
            }
            member(id, Some(end), (seen > 0).then_some(seen))
        };
        let seen = leader_end.saturating_sub(1);
        let members = [
            state("x", leader_end, seen),
            state("r1", replicas[0], replicas[0]),
            state("r2", replicas[1], replicas[1]),
        ];
        match successor::choose_successor(&members, 1) {
            successor::SuccessorChoice::Promote { position, .. } => {
                chosen += 1;
                assert!(position.offset >= acknowledged, "{members:?}");
            }
            _ => waited += 1,
        }
    }
    assert!(chosen > 1_000 && waited > 1_000, "{chosen} {waited}");
}

// A leader that vanished after it had been replaced was waited for, for 30 s, while the
// replica that alone had the last commits left and stopped.
#[test]
fn a_replica_that_leaves_with_the_last_commits_is_named_before_it_goes() {
    let leaver = successor::MemberEvidence {
        is_draining: true,
        ..member("r1", Some(226), None)
    };
    let vanished = member("r3", None, None);
    let known = [
        member("x", None, None),
        leaver.clone(),
        member("r2", Some(222), None),
    ];
    let mut all = known.to_vec();
    all.push(vanished);
    assert_eq!(promoted(&all), None);
    let named = successor::choose_draining_successor(&known, 1);
    let expected = successor::SuccessorChoice::Promote {
        id: leaver.id.clone(),
        position: position(226),
    };
    assert_eq!(named, expected);
    // One that stays loses nothing by waiting.
    let staying = [member("r1", Some(226), None), member("r2", Some(222), None)];
    let waits = successor::choose_draining_successor(&staying, 1);
    assert_eq!(waits, successor::SuccessorChoice::Wait);
    // Once it has gone, its end still counts.
    let gone = successor::unregistered_member(&leaver.id, position(226));
    assert_eq!(
        promoted(&[gone.clone(), member("r2", Some(222), None)]),
        None
    );
    let caught_up = [gone, member("r2", Some(226), None)];
    assert_eq!(promoted(&caught_up).as_deref(), Some("r2"));
}

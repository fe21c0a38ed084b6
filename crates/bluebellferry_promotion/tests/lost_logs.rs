//! Databases that are started anew under their identities while a leader is replaced.
//! They hold nothing of before.

use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn position(offset: u64) -> position::LogPosition {
    position::LogPosition::new(1, offset)
}

fn member(id: &str, held_at: Option<u64>, was_at: Option<u64>) -> successor::MemberEvidence {
    successor::MemberEvidence {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        is_leader: id == "x",
        is_leaving: false,
        held_at: held_at.map(position),
        leads: None,
        was_at: was_at.map(position),
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

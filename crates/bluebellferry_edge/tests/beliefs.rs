//! What a VM may believe of databases whose place another one has taken, without a socket.

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

//! What is concluded from the answer of a suspected leader.

use bluebellferry_promotion::suspect;
use bluebellferry_types::position;
use suspect::LeaderAnswer;
use suspect::LeaderVerdict;

fn position(offset: u64) -> position::LogPosition {
    position::LogPosition::new(1, offset)
}

fn judged(answer: LeaderAnswer) -> LeaderVerdict {
    suspect::assess_answer(answer, Some(position(40)), false)
}

#[test]
fn a_leader_whose_log_lacks_what_it_had_is_lost() {
    assert_eq!(
        judged(LeaderAnswer::Leads(position(0))),
        LeaderVerdict::Lost
    );
    let whole = LeaderAnswer::Leads(position(40));
    assert_eq!(judged(whole), LeaderVerdict::AskReplicas);
    let unknown = suspect::assess_answer(LeaderAnswer::Leads(position(0)), None, false);
    assert_eq!(unknown, LeaderVerdict::AskReplicas);
    // It answers whoever asks it, so it is used.
    let used = suspect::assess_answer(LeaderAnswer::Leads(position(0)), Some(position(40)), true);
    assert_eq!(used, LeaderVerdict::Lost);
}

#[test]
fn a_leader_at_whose_address_another_database_answers_is_lost() {
    assert_eq!(judged(LeaderAnswer::Misrouted), LeaderVerdict::Lost);
    assert_eq!(judged(LeaderAnswer::Refuses), LeaderVerdict::Keep);
    // Another VM reaches it elsewhere: this one has an old address.
    let used = suspect::assess_answer(LeaderAnswer::Misrouted, None, true);
    assert_eq!(used, LeaderVerdict::Keep);
}

#[test]
fn a_leader_that_others_use_is_not_lost_by_its_silence() {
    for answer in [LeaderAnswer::Silent, LeaderAnswer::Unregistered] {
        assert_eq!(judged(answer), LeaderVerdict::Lost);
        assert_eq!(
            suspect::assess_answer(answer, None, true),
            LeaderVerdict::Keep
        );
    }
}

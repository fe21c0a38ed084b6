//! Tests of the assessment of suspected leaders.

use bluebellferry_promotion::suspect;
use bluebellferry_types::position;
use suspect::LeaderAnswer;
use suspect::LeaderVerdict;

fn position(offset: u64) -> position::LogPosition {
    position::LogPosition::new(1, offset)
}

fn assessed(answer: LeaderAnswer) -> LeaderVerdict {
    suspect::assess_answer(answer, Some(position(40)), false)
}

#[test]
fn leader_whose_log_is_shorter_than_before_is_lost() {
    assert_eq!(
        assessed(LeaderAnswer::Leads(position(0))),
        LeaderVerdict::Lost
    );
    let complete = LeaderAnswer::Leads(position(40));
    assert_eq!(assessed(complete), LeaderVerdict::AskReplicas);
    let unknown = suspect::assess_answer(LeaderAnswer::Leads(position(0)), None, false);
    assert_eq!(unknown, LeaderVerdict::AskReplicas);
    // The leader restarted without its log and answers probes, so it is replaced although it
    // answered recently.
    let recently_answered =
        suspect::assess_answer(LeaderAnswer::Leads(position(0)), Some(position(40)), true);
    assert_eq!(recently_answered, LeaderVerdict::Lost);
}

#[test]
fn leader_is_lost_if_another_database_answers_at_its_address() {
    assert_eq!(assessed(LeaderAnswer::Misrouted), LeaderVerdict::Lost);
    assert_eq!(assessed(LeaderAnswer::Refuses), LeaderVerdict::Keep);
    // Another VM reaches the leader, so the address that this VM has of it is outdated.
    let recently_answered = suspect::assess_answer(LeaderAnswer::Misrouted, None, true);
    assert_eq!(recently_answered, LeaderVerdict::Keep);
}

#[test]
fn unresponsive_leader_that_answers_other_vms_is_kept() {
    for answer in [LeaderAnswer::Silent, LeaderAnswer::Unregistered] {
        assert_eq!(assessed(answer), LeaderVerdict::Lost);
        assert_eq!(
            suspect::assess_answer(answer, None, true),
            LeaderVerdict::Keep
        );
    }
}

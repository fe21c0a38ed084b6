//! What the answer of a suspected leader says about it.

use bluebellferry_types::position;

/// How a leader answers when it is asked for its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderAnswer {
    /// It leads, with this end of its log.
    Leads(position::LogPosition),
    /// It follows.
    Follows,
    /// It refuses for now.
    Refuses,
    /// Another database answers at its address.
    Misrouted,
    /// It does not answer.
    Silent,
    /// It is no longer registered, so there is nobody to ask.
    Unregistered,
}

/// What is to be done about a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderVerdict {
    /// Nothing.
    Keep,
    /// It may be cut off from its replicas; they are to be asked.
    AskReplicas,
    /// It is to be replaced.
    Lost,
}

/// Judges a leader by its answer. `known_end` is a position that its log holds as long
/// as it leads; `is_used` tells whether some VM had an answer from it a moment ago.
pub fn assess_answer(
    answer: LeaderAnswer,
    known_end: Option<position::LogPosition>,
    is_used: bool,
) -> LeaderVerdict {
    use LeaderAnswer as Answer;
    match answer {
        // It was started anew and holds nothing of before.
        Answer::Leads(end) if Some(end) < known_end => LeaderVerdict::Lost,
        Answer::Leads(_) => LeaderVerdict::AskReplicas,
        Answer::Follows => LeaderVerdict::Lost,
        Answer::Refuses => LeaderVerdict::Keep,
        Answer::Silent | Answer::Misrouted | Answer::Unregistered if is_used => LeaderVerdict::Keep,
        Answer::Silent | Answer::Misrouted | Answer::Unregistered => LeaderVerdict::Lost,
    }
}

//! Assessment of a suspected leader by its answer to a status probe.

use bluebellferry_types::position;

/// A leader's answer to a status probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderAnswer {
    /// It leads, and its log ends at this position.
    Leads(position::LogPosition),
    /// It is a replica now.
    Follows,
    /// It refused the probe, for a reason that may be temporary.
    Refuses,
    /// Another database answered at its address.
    Misrouted,
    /// It did not answer.
    Silent,
    /// It is no longer registered, and did not answer at its last address that it leads.
    Unregistered,
}

/// What to do about a suspected leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderVerdict {
    /// Keep it.
    Keep,
    /// Probe its replicas: the leader may be unable to replicate to them.
    AskReplicas,
    /// Replace it.
    Lost,
}

/// Assesses a suspected leader by its answer to a probe.
///
/// `known_position` is a position that its log has reached: a leader whose log ends earlier
/// has lost commits. `has_recent_answer` tells whether it answered some VM recently: then it
/// is kept although this VM cannot reach it.
pub fn assess_answer(
    answer: LeaderAnswer,
    known_position: Option<position::LogPosition>,
    has_recent_answer: bool,
) -> LeaderVerdict {
    use LeaderAnswer as Answer;
    match answer {
        // The leader restarted and lost commits that its log contained before.
        Answer::Leads(end) if Some(end) < known_position => LeaderVerdict::Lost,
        Answer::Leads(_) => LeaderVerdict::AskReplicas,
        Answer::Follows => LeaderVerdict::Lost,
        Answer::Refuses => LeaderVerdict::Keep,
        Answer::Silent | Answer::Misrouted | Answer::Unregistered if has_recent_answer => {
            LeaderVerdict::Keep
        }
        Answer::Silent | Answer::Misrouted | Answer::Unregistered => LeaderVerdict::Lost,
    }
}

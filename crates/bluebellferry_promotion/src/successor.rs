//! The choice of the database that takes over from a lost or leaving leader.
//!
//! With one synchronous copy, a commit that was acknowledged is in the leader's
//! log and in that of at least one replica, but nobody knows which. So either
//! the leader has given up leading and told its position, or every replica must
//! have been told to receive nothing more and have reported its position.

use bluebellferry_types::name;
use bluebellferry_types::position;

/// What is known of one database of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEvidence {
    /// The database.
    pub id: name::DatabaseName,
    /// Whether it is the leader to be replaced.
    pub is_leader: bool,
    /// Whether it is about to stop, or no longer registered.
    pub is_draining: bool,
    /// The end of its log, reported after it stopped receiving or leading;
    /// `None` until then.
    pub fenced_position: Option<position::LogPosition>,
    /// The term in which it said that it leads, with the end of its log.
    pub reported_leadership: Option<(u64, position::LogPosition)>,
    /// An end that its log was seen to have before. A database that is started anew
    /// under its identity may hold nothing of that.
    pub earlier_position: Option<position::LogPosition>,
}

/// What may be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuccessorChoice {
    /// This database holds every acknowledged commit.
    Promote {
        /// The database.
        id: name::DatabaseName,
        /// The end of its log.
        position: position::LogPosition,
    },
    /// This database leads already: another VM named it and did not come to say so.
    Adopt {
        /// The database.
        id: name::DatabaseName,
        /// The end of its log.
        position: position::LogPosition,
    },
    /// Too little is known; an acknowledged commit might be lost.
    Wait,
}

/// How a database is to be stopped before a successor is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOrder {
    /// It is to lead no more.
    StepDown,
    /// It is to receive nothing more.
    Pause,
}

/// What a database says when it is asked again after it was held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FenceReport {
    /// The end of its log.
    pub received: position::LogPosition,
    /// The term that it holds for; 0 if it holds for none.
    pub held_term: u64,
    /// Whether it leads.
    pub is_primary: bool,
}

/// Returns whether a database still is as it was when it reported `fenced_position` and, unless
/// the leader had stopped before, was told to pause. A restart ends a pause, and may
/// lose the log.
pub fn is_still_fenced(
    fenced_position: position::LogPosition,
    is_paused: bool,
    report: &FenceReport,
) -> bool {
    if report.is_primary {
        return true;
    }
    if is_paused {
        report.held_term != 0 && report.received == fenced_position
    } else {
        report.received >= fenced_position
    }
}

/// Returns how a database is to be stopped. The old leader may have come back under
/// another identity: it then says that it leads, in no later term than the one that is
/// replaced, and a pause would not stop it.
pub fn fence_order(member: &MemberEvidence, leader_term: u64) -> FenceOrder {
    let leads_in_vain = member
        .reported_leadership
        .is_some_and(|(term, _)| term <= leader_term);
    if member.is_leader || leads_in_vain {
        FenceOrder::StepDown
    } else {
        FenceOrder::Pause
    }
}

/// Chooses the successor of a leader that leads in `leader_term`. A database
/// that leads in an earlier term was itself replaced and is never chosen for it.
pub fn choose_successor(members: &[MemberEvidence], leader_term: u64) -> SuccessorChoice {
    if let Some(choice) = find_adopted(members, leader_term) {
        return choice;
    }
    let leader = members.iter().find(|member| member.is_leader);
    // A term has one leader, whatever its identity is by now.
    let led = |member: &&MemberEvidence| {
        let leads = member
            .reported_leadership
            .is_some_and(|(term, _)| term == leader_term);
        member.is_leader || leads
    };
    let mut stopped = members.iter().filter(led).filter(has_whole_log);
    let leader_end = stopped.find_map(|member| member.fenced_position);
    let replicas = || members.iter().filter(|member| !member.is_leader);
    let best = replicas()
        .filter_map(|member| Some((member.fenced_position?, !member.is_draining, member)))
        .max_by_key(|(position, stays, member)| (*position, *stays, &member.id));
    let all_held = replicas().all(|member| member.fenced_position.is_some());
    // A replica that lost its log may have been the only one with the last commits.
    let emptied = replicas().filter(|member| !has_whole_log(member));
    let missing = emptied.filter_map(|member| member.earlier_position).max();
    if let Some((position, _, best)) = best {
        let has_reached_leader = leader_end.is_some_and(|end| position >= end);
        if has_reached_leader || (all_held && Some(position) >= missing) {
            return promote(best, position);
        }
    }
    // The old leader itself lacks nothing.
    match (leader, leader_end) {
        (Some(leader), Some(end)) if !leader.is_draining => promote(leader, end),
        _ => SuccessorChoice::Wait,
    }
}

/// Chooses a database that is about to stop, although one that vanished may hold commits
/// that it lacks: its own last commits go with it. `known` are the databases that are
/// registered, or whose logs' ends are known.
pub fn choose_draining_successor(known: &[MemberEvidence], leader_term: u64) -> SuccessorChoice {
    let choice = choose_successor(known, leader_term);
    let is_leaver = |id: &name::DatabaseName| {
        let mut leavers = known.iter().filter(|member| member.is_draining);
        leavers.any(|member| member.id == *id)
    };
    match &choice {
        SuccessorChoice::Promote { id, .. } if is_leaver(id) => choice,
        _ => SuccessorChoice::Wait,
    }
}

/// Returns the evidence of a database that has gone after its log was seen to end at `end`:
/// one that holds less may lack acknowledged commits.
pub fn unregistered_member(id: &name::DatabaseName, end: position::LogPosition) -> MemberEvidence {
    MemberEvidence {
        id: id.clone(),
        is_leader: false,
        is_draining: true,
        fenced_position: Some(position::LogPosition::new(0, 0)),
        reported_leadership: None,
        earlier_position: Some(end),
    }
}

/// Returns whether a choice is one to wait with: it names a database that is about to
/// stop, while another one that stays may only have been slower to answer.
pub fn is_last_resort(choice: &SuccessorChoice, members: &[MemberEvidence]) -> bool {
    let SuccessorChoice::Promote { id, .. } = choice else {
        return false;
    };
    let is_draining = |member: &MemberEvidence| member.id == *id && member.is_draining;
    let may_serve = |member: &MemberEvidence| !member.is_leader && !member.is_draining;
    members.iter().any(is_draining) && members.iter().any(may_serve)
}

/// Returns whether a log that has an end still has what it was seen to have before.
fn has_whole_log(member: &&MemberEvidence) -> bool {
    member
        .earlier_position
        .is_none_or(|before| member.fenced_position >= Some(before))
}

fn find_adopted(members: &[MemberEvidence], leader_term: u64) -> Option<SuccessorChoice> {
    let others = members.iter().filter(|member| !member.is_leader);
    let leading = others.filter_map(|member| Some((member.reported_leadership?, member)));
    let ((term, position), member) = leading.max_by_key(|((term, _), _)| *term)?;
    (term > leader_term).then(|| SuccessorChoice::Adopt {
        id: member.id.clone(),
        position,
    })
}

fn promote(member: &MemberEvidence, position: position::LogPosition) -> SuccessorChoice {
    SuccessorChoice::Promote {
        id: member.id.clone(),
        position,
    }
}

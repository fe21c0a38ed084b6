//! Whether a leader is to be replaced, and whether by this VM.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_membership::heartbeat;
use bluebellferry_platform::database;
use bluebellferry_promotion::suspect;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;

use crate::control;
use crate::control::orders;
use crate::control::state;
use crate::shared;

/// How long a leader that another VM has used lately is not taken for lost.
const USED_LATELY: Duration = Duration::from_millis(500);
/// How long a VM waits before it takes the duty from a silent holder.
const HOLDER_SILENCE: Duration = Duration::from_millis(2_500);

/// Why a leader is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplacementCause {
    /// It is about to stop.
    Leaving,
    /// It does not answer, or does not lead.
    Lost,
    /// No replica receives what it writes.
    CannotCommit,
}

impl ReplacementCause {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Lost => "lost",
            Self::CannotCommit => "cannot commit",
        }
    }
}

/// Returns whether this VM acts: it holds the duty, or the holder is silent and
/// this VM comes first among those that live. Where data centres have heads, only
/// heads act, since only they hear of all suspicions.
pub(super) fn is_responsible(control: &state::ControlState, now: Instant) -> bool {
    let own = control.own_name();
    let is_leaving = *control.shared.drain.borrow() != shared::DrainPhase::Serving;
    // Only who counts as a member everywhere may act: an answer to a heartbeat
    // is a promise of each member to wait.
    let may_act = control.is_store_reachable && control.members.contains_key(own);
    let is_head = control.topology.is_coordinator(now);
    if is_leaving || !may_act || !is_head || !control.is_known_everywhere(now) {
        return false;
    }
    let holder = control.table.holder.as_str();
    if holder == own {
        return true;
    }
    let holder_record = control.peers.get(holder);
    let is_holder_live = holder_record.is_some_and(|record| {
        now.saturating_duration_since(record.received) < HOLDER_SILENCE
            && may_hold(&record.heartbeat)
    });
    if is_holder_live && control.members.contains_key(holder) {
        return false;
    }
    control.ranks_first_among(now, may_hold)
}

/// Returns whether a VM can hold the duty.
fn may_hold(beat: &heartbeat::FleetHeartbeat) -> bool {
    !beat.is_draining && beat.is_store_reachable && beat.is_coordinator
}

pub(super) async fn find_cause(
    control: &control::ControlCell,
    service: &name::ServiceName,
) -> Option<(name::DatabaseName, ReplacementCause)> {
    let now = clock::now();
    let (leader, entry, is_suspected, is_used, known_end) = {
        let control = control.borrow();
        let leader = control.known_leader(service)?;
        let entry = find_entry(&control, &leader.database);
        if leader.is_replacing {
            // A replacement that its VM did not finish.
            return Some((leader.database, ReplacementCause::Lost));
        }
        // Nobody sends statements to a leader that is not registered, so nobody
        // suspects it.
        let is_unregistered = entry.is_none() && control.versions.databases > 0;
        let is_suspected =
            is_unregistered || is_suspected(&control, service, &leader.database, now);
        let is_used = is_used_lately(&control, service, &leader.database, now);
        let known_end = leader.known_end(control.shared.last_position(service));
        (leader.database, entry, is_suspected, is_used, known_end)
    };
    if entry.as_ref().is_some_and(|entry| entry.is_draining) {
        return Some((leader, ReplacementCause::Leaving));
    }
    if !is_suspected {
        return None;
    }
    let workspace = control.borrow().any_workspace()?;
    let answer = ask_leader(entry.as_ref(), &workspace).await;
    let verdict = suspect::judge(answer, known_end, is_used);
    log::info!(
        database = leader.as_str(), answer:? = answer, verdict:? = verdict, used = is_used;
        "a suspected leader is judged"
    );
    match (verdict, answer, entry) {
        (suspect::LeaderVerdict::Lost, _, _) => Some((leader, ReplacementCause::Lost)),
        (suspect::LeaderVerdict::AskReplicas, suspect::LeaderAnswer::Leads(end), Some(entry)) => {
            let is_stalled = is_cut_from_replicas(control, service, &entry, end, &workspace).await;
            is_stalled.then_some((leader, ReplacementCause::CannotCommit))
        }
        _ => None,
    }
}

async fn ask_leader(
    entry: Option<&catalog::DatabaseEntry>,
    workspace: &name::WorkspaceName,
) -> suspect::LeaderAnswer {
    let Some(entry) = entry else {
        return suspect::LeaderAnswer::Unregistered;
    };
    match orders::give_order(entry, workspace, database::DatabaseOrder::Status).await {
        Ok(status) if status.is_primary => suspect::LeaderAnswer::Leads(status.received),
        Ok(_) => suspect::LeaderAnswer::Follows,
        Err(orders::OrderError::Refused(database::DatabaseError::Misrouted)) => {
            suspect::LeaderAnswer::Misrouted
        }
        Err(orders::OrderError::Refused(_)) => suspect::LeaderAnswer::Refuses,
        Err(error) => {
            log::warn!(database = entry.id.as_str(), error:% = error; "a suspected leader does not answer");
            suspect::LeaderAnswer::Silent
        }
    }
}

/// Returns whether no replica has received what the leader wrote a while ago.
async fn is_cut_from_replicas(
    control: &control::ControlCell,
    service: &name::ServiceName,
    leader: &catalog::DatabaseEntry,
    before: position::LogPosition,
    workspace: &name::WorkspaceName,
) -> bool {
    /// Longer than any replica's receipt takes, shorter than callers' patience.
    const RECEIPT_TIME: Duration = Duration::from_millis(250);
    tokio::time::sleep(RECEIPT_TIME).await;
    let mut replicas = control.borrow().databases_of(service);
    replicas.retain(|entry| entry.id != leader.id);
    let mut has_answer = false;
    for replica in &replicas {
        let order = database::DatabaseOrder::Status;
        if let Ok(status) = orders::give_order(replica, workspace, order).await {
            has_answer = true;
            if status.received >= before {
                return false;
            }
        }
    }
    has_answer
}

fn find_entry(
    control: &state::ControlState,
    id: &name::DatabaseName,
) -> Option<catalog::DatabaseEntry> {
    control
        .databases
        .iter()
        .find(|entry| entry.id == *id)
        .cloned()
}

/// Returns whether the leader of a service is suspected.
pub(super) fn is_any_suspected(
    control: &state::ControlState,
    service: &name::ServiceName,
    now: Instant,
) -> bool {
    let leader = control.known_leader(service);
    leader.is_some_and(|leader| is_suspected(control, service, &leader.database, now))
}

fn is_suspected(
    control: &state::ControlState,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    now: Instant,
) -> bool {
    let names = |suspicions: &[heartbeat::LeaderSuspicion]| {
        suspicions
            .iter()
            .any(|one| one.service == *service && one.database == *leader)
    };
    names(&control.suspicions.own_suspicions(now))
        || control
            .live_peers(now)
            .any(|(_, record)| names(&record.heartbeat.suspicions))
}

/// Returns whether some VM had an answer from the leader a moment ago.
fn is_used_lately(
    control: &state::ControlState,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    now: Instant,
) -> bool {
    let answered = control.suspicions.answered(service, leader);
    let by_own = answered.is_some_and(|at| now.saturating_duration_since(at) < USED_LATELY);
    by_own || control.is_used_by_others(service, USED_LATELY, now)
}

//! Whether a departing leader may be ordered to step down.

use std::time::Duration;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_promotion::handover;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::task::JoinSet;

use crate::control;
use crate::control::orders;
use crate::control::replacement;
use crate::control::replacement::fence;
use crate::control::state;

/// Longer than replication to any replica takes, and shorter than callers' timeouts.
pub(super) const REPLICATION_TIMEOUT: Duration = Duration::from_millis(250);

/// What the replicas of a departing leader reported.
struct ReplicaAnswers {
    is_handover_possible: bool,
    is_any_fenced: bool,
}

/// Whether a departing leader may be ordered to step down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandoverState {
    /// It may: a replica that may succeed it has its log, or it does not lead any more.
    Possible,
    /// It leads with a log up to `leader_end`, which no replica that may succeed it has received.
    Awaited { leader_end: position::LogPosition },
}

/// Returns whether a departing leader may be ordered to step down. If not, lifts the fences that keep
/// replicas from receiving its log.
pub(super) async fn check(
    control: &control::ControlCell,
    leader: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
) -> HandoverState {
    let Some(leader_end) = ask_leader(leader, workspace).await else {
        return HandoverState::Possible;
    };
    let answers = ask_replicas(control, leader, leader_end, workspace).await;
    if answers.is_handover_possible {
        return HandoverState::Possible;
    }
    tokio::time::sleep(REPLICATION_TIMEOUT).await;
    let answers = ask_replicas(control, leader, leader_end, workspace).await;
    if answers.is_handover_possible {
        return HandoverState::Possible;
    }
    if answers.is_any_fenced {
        replacement::unfence_followers(control, &leader.service).await;
    }
    HandoverState::Awaited { leader_end }
}

/// Returns where the log of a leader ends if it leads. A single order that is not answered does not
/// count, since its log may be the only one with the last commits.
async fn ask_leader(
    leader: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
) -> Option<position::LogPosition> {
    let order = database::DatabaseOrder::Status;
    let mut answer = orders::send_order(leader, workspace, order).await;
    if answer.is_err() {
        answer = orders::send_order(leader, workspace, order).await;
    }
    let status = answer.ok()?;
    status.is_primary.then_some(status.received)
}

/// Asks the registered replicas of a leader whether they have its log up to `leader_end`, until one
/// that may succeed it has.
async fn ask_replicas(
    control: &control::ControlCell,
    leader: &catalog::DatabaseEntry,
    leader_end: position::LogPosition,
    workspace: &name::WorkspaceName,
) -> ReplicaAnswers {
    let mut replicas = control.borrow().databases_of(&leader.service);
    replicas.retain(|entry| entry.id != leader.id);
    let mut probes = JoinSet::new();
    for replica in replicas {
        let workspace = workspace.clone();
        probes.spawn_local(async move {
            let order = database::DatabaseOrder::Status;
            (
                orders::send_order(&replica, &workspace, order).await,
                replica,
            )
        });
    }
    let mut answers = ReplicaAnswers {
        is_handover_possible: false,
        is_any_fenced: false,
    };
    while let Some(finished) = probes.join_next().await {
        let Ok((Ok(status), replica)) = finished else {
            continue;
        };
        answers.is_any_fenced |= status.fenced_term != 0;
        let control = control.borrow();
        let chosen = control.known_leader(&leader.service);
        let chosen = chosen.and_then(|known| known.log_end_when_chosen);
        let report = report(
            &control,
            leader,
            &replica,
            fence::entry_position(chosen, status.received),
        );
        let leader_end = fence::entry_position(chosen, leader_end);
        if handover::is_possible(leader_end, is_time_over(&control, leader), &report) {
            answers.is_handover_possible = true;
            break;
        }
    }
    answers
}

fn report(
    control: &state::ControlState,
    leader: &catalog::DatabaseEntry,
    replica: &catalog::DatabaseEntry,
    received: position::LogPosition,
) -> handover::ReplicaReport {
    let departs_at = control.drain_end(&replica.id);
    handover::ReplicaReport {
        received,
        is_staying: !replica.is_draining && control.misplacement_of(replica).is_none(),
        outlasts_leader: departs_at.is_none_or(|end| Some(end) > control.drain_end(&leader.id)),
    }
}

/// Returns whether a leader drains and must receive nothing more.
fn is_time_over(control: &state::ControlState, leader: &catalog::DatabaseEntry) -> bool {
    let departs_at = control.drain_end(&leader.id);
    departs_at.is_some_and(|end| end <= clock::now())
}

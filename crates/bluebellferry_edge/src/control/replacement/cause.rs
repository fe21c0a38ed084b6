//! Decides whether a leader is to be replaced, and whether by this VM.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_membership::heartbeat;
use bluebellferry_platform::database;
use bluebellferry_promotion::relocation;
use bluebellferry_promotion::suspect;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;

use crate::control;
use crate::control::orders;
use crate::control::replacement::fence;
use crate::control::replacement::handover;
use crate::control::state;
use crate::shared;

/// A leader that answered some VM within this time is not treated as lost merely because this
/// VM does not reach it.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(500);
/// How long a VM must have received no heartbeat from the holder of the promotion duty
/// before it takes over that duty.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a leader is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReplacementCause {
    /// It is draining.
    Draining,
    /// It does not answer, no longer leads, or has lost its log.
    Lost,
    /// No replica receives its log, so it cannot acknowledge commits.
    CannotCommit,
    /// It works, but must not lead where it is.
    Misplaced(relocation::Misplacement),
}

impl ReplacementCause {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "leaving",
            Self::Lost => "lost",
            Self::CannotCommit => "cannot commit",
            Self::Misplaced(relocation::Misplacement::Evacuated) => "evacuated",
            Self::Misplaced(relocation::Misplacement::OutsideHomes) => "outside the home regions",
        }
    }

    /// Returns whether the leader works, so that it can step down and send its replicas the rest
    /// of its log.
    pub(super) const fn is_orderly(self) -> bool {
        matches!(self, Self::Draining | Self::Misplaced(_))
    }
}

/// Returns whether this VM is to replace leaders: it holds the promotion duty, or ranks first among
/// those that may take it over.
pub(super) fn is_responsible(control: &state::ControlState, now: Instant) -> bool {
    // This VM may replace leaders only if every VM lists it as a member. Only then do all
    // leases depend on its answers to heartbeats, by which it confirms that it is replacing
    // no leader.
    control.is_listed_by_all_vms(now) && keeps_leadership_table(control, now)
}

/// Returns whether this VM is the one that writes the leadership table: it holds the promotion duty,
/// or the holder of that duty is unresponsive and this VM ranks first among the live VMs that may
/// take it over. In a fleet whose data centres have coordinators, only coordinators do so,
/// since only they learn of all suspicions.
pub(super) fn keeps_leadership_table(control: &state::ControlState, now: Instant) -> bool {
    let own_name = control.own_name();
    let is_draining = *control.shared.drain_phase.borrow() != shared::DrainPhase::Serving;
    let may_act = control.is_store_reachable && control.members.contains_key(own_name);
    if is_draining || !may_act || !control.topology.is_coordinator(now) {
        return false;
    }
    let holder = control.leadership_table.holder.as_str();
    if holder == own_name {
        return true;
    }
    let holder_record = control.peers.get(holder);
    let is_holder_live = holder_record.is_some_and(|record| {
        now.saturating_duration_since(record.received_at) < HOLDER_TIMEOUT
            && may_hold_promotion_duty(&record.heartbeat)
    });
    if is_holder_live && control.members.contains_key(holder) {
        return false;
    }
    control.ranks_first_among(now, may_hold_promotion_duty)
}

/// Returns whether a VM may hold the promotion duty, according to its heartbeat.
fn may_hold_promotion_duty(heartbeat: &heartbeat::FleetHeartbeat) -> bool {
    !heartbeat.is_draining && heartbeat.is_store_reachable && heartbeat.is_coordinator
}

/// Returns the leader of a service and why it is to be replaced, or `None` if it is to be
/// kept. Probes a suspected leader.
pub(super) async fn find_cause(
    control: &control::ControlCell,
    service: &name::ServiceName,
) -> Option<(name::DatabaseName, ReplacementCause)> {
    let now = clock::now();
    let (leader, entry, is_unregistered, is_suspected, has_recent_answer, known_position) = {
        let control = control.borrow();
        let leader = control.known_leader(service)?;
        let entry = control.known_entry(service, &leader.database, now);
        if leader.is_being_replaced {
            // Another VM began to replace this leader and did not finish.
            return Some((leader.database, ReplacementCause::Lost));
        }
        // No VM sends statements to an unregistered leader, so no failed statement can make it
        // suspected.
        let is_unregistered =
            !control.is_registered(&leader.database) && control.versions.databases > 0;
        let is_suspected =
            is_unregistered || is_suspected(&control, service, &leader.database, now);
        let has_recent_answer = has_answered_recently(&control, service, &leader.database, now);
        let known_position = leader.min_log_position(control.shared.latest_position(service));
        (
            leader.database,
            entry,
            is_unregistered,
            is_suspected,
            has_recent_answer,
            known_position,
        )
    };
    let registered = entry.as_ref().filter(|_| !is_unregistered);
    let departure = registered.and_then(|entry| {
        let cause = departure_cause(&control.borrow(), entry)?;
        Some((entry, cause))
    });
    let mut led_until = None;
    if let Some((entry, cause)) = departure {
        let workspace = control.borrow().any_workspace()?;
        match handover::check(control, entry, &workspace).await {
            handover::HandoverState::Possible => return Some((leader, cause)),
            handover::HandoverState::Awaited { leader_end } => led_until = Some(leader_end),
        }
    }
    if !is_suspected {
        return None;
    }
    let workspace = control.borrow().any_workspace()?;
    let answer = match led_until {
        Some(end) => suspect::LeaderAnswer::Leads(end),
        None => probe_leader(entry.as_ref(), &workspace).await,
    };
    let answer = match answer {
        answer @ suspect::LeaderAnswer::Leads(_) => answer,
        _ if is_unregistered => suspect::LeaderAnswer::Unregistered,
        answer => answer,
    };
    let verdict = suspect::assess_answer(answer, known_position, has_recent_answer);
    log::info!(
        database = leader.as_str(), answer:? = answer, verdict:? = verdict, used = has_recent_answer;
        "assessed a suspected leader"
    );
    match (verdict, answer, entry.as_ref()) {
        (suspect::LeaderVerdict::Lost, _, _) => Some((leader, ReplacementCause::Lost)),
        (suspect::LeaderVerdict::AskReplicas, suspect::LeaderAnswer::Leads(end), Some(entry)) => {
            let is_departing = departure.is_some();
            let reach = find_replica_reach(control, entry, end, is_departing, &workspace).await;
            let cause = if is_unregistered {
                ReplacementCause::Lost
            } else {
                ReplacementCause::CannotCommit
            };
            let is_replaceable = match reach {
                ReplicaReach::Unknown => false,
                ReplicaReach::Lagging { may_succeed } => may_succeed,
                ReplicaReach::Whole => is_unregistered,
            };
            is_replaceable.then_some((leader, cause))
        }
        _ => None,
    }
}

/// Returns why a registered leader must hand over although it works, if it must.
fn departure_cause(
    control: &state::ControlState,
    leader: &catalog::DatabaseEntry,
) -> Option<ReplacementCause> {
    if leader.is_draining {
        return Some(ReplacementCause::Draining);
    }
    let misplacement = control.relocation_of(leader);
    misplacement.map(ReplacementCause::Misplaced)
}

async fn probe_leader(
    entry: Option<&catalog::DatabaseEntry>,
    workspace: &name::WorkspaceName,
) -> suspect::LeaderAnswer {
    let Some(entry) = entry else {
        return suspect::LeaderAnswer::Unregistered;
    };
    match orders::send_order(entry, workspace, database::DatabaseOrder::Status).await {
        Ok(status) if status.is_primary => suspect::LeaderAnswer::Leads(status.received),
        Ok(_) => suspect::LeaderAnswer::Follows,
        Err(orders::OrderError::Refused(database::DatabaseError::Misrouted)) => {
            suspect::LeaderAnswer::Misrouted
        }
        Err(orders::OrderError::Refused(_)) => suspect::LeaderAnswer::Refuses,
        Err(error) => {
            log::warn!(database = entry.id.as_str(), error:% = error; "a suspected leader did not answer");
            suspect::LeaderAnswer::Silent
        }
    }
}

/// How far the replicas of a leader have received its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplicaReach {
    /// No replica answered.
    Unknown,
    /// Replicas answer, but none of them has received the whole log in time.
    Lagging {
        /// Whether one of them may be promoted. Otherwise a replacement would end with the promotion
        /// of the same leader.
        may_succeed: bool,
    },
    /// A replica has received the whole log.
    Whole,
}

/// Returns whether a registered replica receives the leader's log up to `leader_end` in time.
async fn find_replica_reach(
    control: &control::ControlCell,
    leader: &catalog::DatabaseEntry,
    leader_end: position::LogPosition,
    is_departing: bool,
    workspace: &name::WorkspaceName,
) -> ReplicaReach {
    tokio::time::sleep(handover::REPLICATION_TIMEOUT).await;
    let service = &leader.service;
    let mut replicas = control
        .borrow()
        .possible_commit_holders(service, clock::now());
    replicas.retain(|entry| entry.id != leader.id);
    let mut statuses: SmallVec<[database::DatabaseStatus; 4]> = SmallVec::new();
    for replica in &replicas {
        let order = database::DatabaseOrder::Status;
        let Ok(status) = orders::send_order(replica, workspace, order).await else {
            continue;
        };
        let control = control.borrow();
        let is_usable =
            control.is_registered(&replica.id) && !control.is_evacuated(&replica.data_centre);
        if is_usable && status.received >= leader_end {
            return ReplicaReach::Whole;
        }
        statuses.push(status);
    }
    if statuses.is_empty() {
        return ReplicaReach::Unknown;
    }
    // The longest log of all replicas has every commit that was acknowledged. A promotion also makes
    // replicas receive again that an earlier replacement has fenced.
    let is_fenced = statuses.iter().any(|status| status.fenced_term != 0);
    let have_all_answered = statuses.len() == replicas.len();
    // A departing leader would not be promoted again if the replicas turned out to lack commits.
    let may_succeed = (!is_departing && (is_fenced || have_all_answered))
        || may_have_all_commits(&control.borrow(), service, &statuses);
    ReplicaReach::Lagging { may_succeed }
}

/// Returns whether a replica may have all commits that were acknowledged, as far as this VM knows.
fn may_have_all_commits(
    control: &state::ControlState,
    service: &name::ServiceName,
    statuses: &[database::DatabaseStatus],
) -> bool {
    let leader = control.known_leader(service);
    let chosen = leader.and_then(|leader| leader.log_end_when_chosen);
    let acknowledged_end = control.known_acknowledged_end(service, clock::now());
    let needed = control.required_end(service).max(acknowledged_end);
    let ends = statuses
        .iter()
        .map(|status| fence::entry_position(chosen, status.received));
    ends.max() >= needed
}

/// Returns whether the known leader of a service is suspected.
pub(super) fn is_leader_suspected(
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
    let includes_leader = |suspicions: &[heartbeat::LeaderSuspicion]| {
        suspicions
            .iter()
            .any(|suspicion| suspicion.service == *service && suspicion.database == *leader)
    };
    includes_leader(&control.suspicions.own_suspicions(now))
        || control
            .live_peers(now)
            .any(|(_, record)| includes_leader(&record.heartbeat.suspicions))
}

/// Returns whether the leader has answered some VM within [`MAX_ANSWER_AGE`].
fn has_answered_recently(
    control: &state::ControlState,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    now: Instant,
) -> bool {
    let answered = control.suspicions.last_answered(service, leader);
    let has_answered_this_vm =
        answered.is_some_and(|at| now.saturating_duration_since(at) < MAX_ANSWER_AGE);
    has_answered_this_vm || control.is_used_by_others(service, MAX_ANSWER_AGE, now)
}

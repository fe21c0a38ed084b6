//! Having databases stop, and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_promotion::successor;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;
use tokio::task::JoinSet;

use crate::control;
use crate::control::orders;
use crate::control::replacement::cause;
use crate::control::state::databases;

/// How long a replica that leaves with the longest log waits for one that vanished. Entries
/// that lapsed while their databases lived are back within 2 s, and it must be named a
/// while before it stops.
const LEAVER_PATIENCE: Duration = Duration::from_secs(2);

/// A replacement under way.
pub(super) struct LeaderReplacement {
    /// The service.
    pub(super) service: name::ServiceName,
    /// The leader to be replaced.
    pub(super) leader: name::DatabaseName,
    /// Why it is replaced.
    pub(super) cause: cause::ReplacementCause,
    /// An instant after the replacement was entered into the table.
    pub(super) claimed: Instant,
    /// The databases that receive and lead no more, with the ends of their logs.
    pub(super) held: BTreeMap<name::DatabaseName, position::LogPosition>,
    /// The term of the orders.
    pub(super) term: u64,
    /// The term in which the leader to be replaced leads.
    pub(super) leader_term: u64,
    /// When the choice became certain: no database was told to stop after that.
    pub(super) decided: Option<Instant>,
    /// The databases that said they lead, with their terms and the ends of their logs.
    pub(super) leading: BTreeMap<name::DatabaseName, (u64, position::LogPosition)>,
    /// What the leader to be replaced was seen to hold while it led.
    pub(super) leader_seen: Option<position::LogPosition>,
    /// The ends that logs had before their databases were started anew, and when that
    /// was noticed.
    pub(super) emptied: BTreeMap<name::DatabaseName, (position::LogPosition, Instant)>,
}

impl LeaderReplacement {
    /// Returns whether a database led in the term that is replaced, under whatever identity.
    fn has_led(&self, id: &name::DatabaseName) -> bool {
        let leads = self.leading.get(id);
        *id == self.leader || leads.is_some_and(|(term, _)| *term == self.leader_term)
    }
}

/// Has every database of the service that can be reached stop.
pub(super) async fn hold_databases(
    control: &control::ControlCell,
    replacement: &mut LeaderReplacement,
) {
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    note_gone(control, replacement);
    let mut entries = control.borrow().databases_of(&replacement.service);
    // A leader whose registration lapsed may lead on.
    let mut vanished = control
        .borrow()
        .vanished_of(&replacement.service, clock::now());
    vanished.retain(|entry| entry.id == replacement.leader);
    entries.append(&mut vanished);
    let mut tasks = JoinSet::new();
    for entry in entries {
        if replacement.held.contains_key(&entry.id) {
            continue;
        }
        let is_leader = entry.id == replacement.leader;
        // A leader that leaves in an orderly way sends its replicas what it has.
        let is_needed = is_leader
            || replacement.cause != cause::ReplacementCause::Leaving
            || replacement.held.contains_key(&replacement.leader);
        if !is_needed {
            continue;
        }
        let term = replacement.term;
        let known = evidence_of(replacement, &entry);
        let order = match successor::hold_order(&known, replacement.leader_term) {
            successor::HoldOrder::StepDown => database::DatabaseOrder::StepDown { term },
            successor::HoldOrder::Pause
                if replacement.cause == cause::ReplacementCause::Leaving =>
            {
                database::DatabaseOrder::Status
            }
            successor::HoldOrder::Pause => database::DatabaseOrder::Fence { term },
        };
        let workspace = workspace.clone();
        tasks.spawn_local(async move {
            let result = orders::give_order(&entry, &workspace, order).await;
            (entry, order, result)
        });
    }
    while let Some(finished) = tasks.join_next().await {
        let Ok((entry, order, result)) = finished else {
            continue;
        };
        match result {
            Ok(status) => record_status(replacement, &entry, order, status),
            Err(error) => {
                log::info!(database = entry.id.as_str(), error:% = error; "an order was not confirmed");
            }
        }
        // Orders that are still on their way to a database that does not answer
        // need not be waited for, unless they have to be taken back.
        let choice = choose(control, replacement);
        let is_chosen = matches!(choice, successor::SuccessorChoice::Promote { .. });
        if is_chosen && !is_last_resort(control, replacement, &choice) {
            tasks.detach_all();
            replacement.decided.get_or_insert_with(clock::now);
            return;
        }
    }
}

/// Lets all replicas receive again. One may have been held back without its
/// answer having come.
pub(super) async fn resume_replicas(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) {
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    let mut replicas = control.borrow().databases_of(&replacement.service);
    replicas.retain(|entry| !replacement.leading.contains_key(&entry.id));
    for entry in replicas {
        let order = database::DatabaseOrder::Unfence;
        if let Err(error) = orders::give_order(&entry, &workspace, order).await {
            log::warn!(database = entry.id.as_str(), error:% = error; "a replica may still be held back");
        }
    }
}

fn record_status(
    replacement: &mut LeaderReplacement,
    entry: &catalog::DatabaseEntry,
    order: database::DatabaseOrder,
    status: database::DatabaseStatus,
) {
    log::info!(
        database = entry.id.as_str(), term = status.term, received = status.received.offset,
        held_term = status.fenced_term, is_primary = status.is_primary;
        "a database reports its state"
    );
    replacement.term = replacement.term.max(status.term + 1);
    if status.is_primary {
        let leading = (status.term, status.received);
        replacement.leading.insert(entry.id.clone(), leading);
    }
    let is_held = match order {
        database::DatabaseOrder::StepDown { .. } if replacement.has_led(&entry.id) => {
            !status.is_primary
        }
        // It led in an earlier term, so it receives from the leader now unless it is paused.
        database::DatabaseOrder::StepDown { .. } => {
            if !status.is_primary {
                replacement.leading.remove(&entry.id);
            }
            false
        }
        database::DatabaseOrder::Fence { term } => {
            !status.is_primary && status.fenced_term >= term && term > status.term
        }
        // The leader has stopped; a replica that has all of its log suffices.
        _ => {
            let end = replacement.held.get(&replacement.leader);
            end.is_some_and(|end| status.received >= *end)
        }
    };
    if is_held {
        replacement.held.insert(entry.id.clone(), status.received);
    }
}

/// Asks the replicas again: one that was started anew receives again, although
/// it was held back, and may hold nothing of before. Who led has stepped down and was
/// never told to pause. Returns whether `chosen`, if it is one of them, has answered: a
/// silent one may come back empty.
pub(super) async fn forget_released(
    control: &control::ControlCell,
    replacement: &mut LeaderReplacement,
    chosen: &name::DatabaseName,
) -> bool {
    let Some(workspace) = control.borrow().any_workspace() else {
        return false;
    };
    let mut has_answered = replacement.has_led(chosen);
    let mut entries = control.borrow().databases_of(&replacement.service);
    entries.retain(|entry| {
        replacement.held.contains_key(&entry.id) && !replacement.has_led(&entry.id)
    });
    let mut questions = JoinSet::new();
    for entry in entries {
        let workspace = workspace.clone();
        questions.spawn_local(async move {
            let order = database::DatabaseOrder::Status;
            (orders::give_order(&entry, &workspace, order).await, entry)
        });
    }
    let holds_replicas = replacement.cause != cause::ReplacementCause::Leaving;
    while let Some(answered) = questions.join_next().await {
        let Ok((Ok(status), entry)) = answered else {
            continue;
        };
        has_answered |= entry.id == *chosen;
        let Some(held_at) = replacement.held.get(&entry.id).copied() else {
            continue;
        };
        let report = successor::HeldReport {
            received: status.received,
            held_term: status.fenced_term,
            is_primary: status.is_primary,
        };
        // One that led was told to step down, not to pause.
        let is_paused = holds_replicas && !replacement.leading.contains_key(&entry.id);
        if successor::is_still_held(held_at, is_paused, &report) {
            continue;
        }
        log::warn!(
            database = entry.id.as_str(), held_term = status.fenced_term, received = status.received.offset,
            held_at = held_at.offset;
            "a replica is no longer held back"
        );
        replacement.held.remove(&entry.id);
        replacement.decided = None;
        if status.received < held_at {
            let emptied = (held_at, clock::now());
            replacement.emptied.insert(entry.id.clone(), emptied);
        }
    }
    has_answered
}

pub(super) fn choose(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) -> successor::SuccessorChoice {
    let mut members = evidence(control, replacement);
    let choice = successor::choose_successor(&members, replacement.leader_term);
    let since_claim = clock::now().saturating_duration_since(replacement.claimed);
    if choice != successor::SuccessorChoice::Wait || since_claim < LEAVER_PATIENCE {
        return choice;
    }
    let registered = control.borrow().databases_of(&replacement.service);
    members.retain(|member| {
        let has_end = member.held_at.is_some() || member.was_at.is_some();
        has_end || registered.iter().any(|entry| entry.id == member.id)
    });
    successor::choose_leaver(&members, replacement.leader_term)
}

/// Notes the databases that have gone since they were held back: their logs' ends still
/// count.
fn note_gone(control: &control::ControlCell, replacement: &mut LeaderReplacement) {
    let now = clock::now();
    let holders = control.borrow().log_holders(&replacement.service, now);
    let leader = replacement.leader.clone();
    let has_gone =
        |id: &name::DatabaseName| *id != leader && !holders.iter().any(|entry| entry.id == *id);
    let gone = replacement.held.iter().filter(|(id, _)| has_gone(id));
    let gone: SmallVec<[_; 2]> = gone.map(|(id, end)| (id.clone(), *end)).collect();
    for (id, end) in gone {
        log::warn!(database = id.as_str(), end = end.offset; "a replica that was held back has gone");
        replacement.held.remove(&id);
        replacement.emptied.insert(id, (end, now));
    }
}

/// Returns whether a choice is one to wait with for another database.
pub(super) fn is_last_resort(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
    choice: &successor::SuccessorChoice,
) -> bool {
    successor::is_last_resort(choice, &evidence(control, replacement))
}

fn evidence(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) -> Vec<successor::MemberEvidence> {
    let control = control.borrow();
    let entries = control.log_holders(&replacement.service, clock::now());
    let mut members: Vec<_> = entries
        .iter()
        .map(|entry| evidence_of(replacement, entry))
        .collect();
    for id in replacement.emptied.keys() {
        let is_present = members.iter().any(|member| member.id == *id);
        if let Some(end) = emptied_end(replacement, id).filter(|_| !is_present) {
            members.push(successor::gone_member(id, end));
        }
    }
    members
}

/// Returns the end that a log had before its database was started anew or went, unless that
/// is long ago.
fn emptied_end(
    replacement: &LeaderReplacement,
    id: &name::DatabaseName,
) -> Option<position::LogPosition> {
    let (end, noticed) = replacement.emptied.get(id)?;
    let since = clock::now().saturating_duration_since(*noticed);
    (since < databases::VANISHED_KEPT).then_some(*end)
}

fn evidence_of(
    replacement: &LeaderReplacement,
    entry: &catalog::DatabaseEntry,
) -> successor::MemberEvidence {
    let leads = replacement.leading.get(&entry.id).copied();
    let is_leader = entry.id == replacement.leader;
    let has_led = replacement.has_led(&entry.id);
    let emptied = emptied_end(replacement, &entry.id);
    successor::MemberEvidence {
        id: entry.id.clone(),
        is_leader,
        is_leaving: entry.leaving,
        held_at: replacement.held.get(&entry.id).copied(),
        leads,
        was_at: replacement.leader_seen.filter(|_| has_led).max(emptied),
    }
}

//! Fencing of the databases of a service, and the evidence for choosing a successor.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_platform::objects;
use bluebellferry_platform::registry;
use bluebellferry_promotion::departure;
use bluebellferry_promotion::handover;
use bluebellferry_promotion::roster;
use bluebellferry_promotion::successor;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;
use tokio::task::JoinSet;

use crate::control;
use crate::control::orders;
use crate::control::replacement::cause;
use crate::control::state;
use crate::shared;

/// How long to wait at least for an unregistered database while a draining replica has the longest
/// log: the registration of a database that is alive is renewed within 2 s after it expired.
const UNREGISTERED_WAIT_LIMIT: Duration = Duration::from_secs(2);

/// The state of a replacement in progress.
pub(super) struct LeaderReplacement {
    /// The service whose leader is replaced.
    pub(super) service: name::ServiceName,
    /// The leader to be replaced.
    pub(super) leader: name::DatabaseName,
    /// Whether it may still be promoted by the order that made it the leader, and was not seen
    /// leading. It then counts as a replica.
    pub(super) has_never_led: bool,
    /// Why it is replaced.
    pub(super) cause: cause::ReplacementCause,
    /// An instant after the replacement was entered into the leadership table.
    pub(super) claimed_at: Instant,
    /// The revision of the leadership table after that.
    pub(super) claim_revision: u64,
    /// The fenced databases, with the ends of their logs. If the leader is draining and has
    /// stepped down, the replicas that have its whole log count as fenced.
    pub(super) fenced_positions: BTreeMap<name::DatabaseName, position::LogPosition>,
    /// The term that fencing orders carry: higher than any term reported so far.
    pub(super) term: u64,
    /// The term in which the leader to be replaced leads.
    pub(super) leader_term: u64,
    /// When a successor could first be chosen; no fencing order was sent after that. `None`
    /// again once a database is no longer fenced.
    pub(super) fencing_ended_at: Option<Instant>,
    /// The databases that reported to lead, with their terms and the ends of their logs.
    pub(super) reported_leaders: BTreeMap<name::DatabaseName, (u64, position::LogPosition)>,
    /// A position that the log of the leader to be replaced reached while it led.
    pub(super) observed_leader_position: Option<position::LogPosition>,
    /// Where the logs of databases ended that have since restarted without their log or are
    /// no longer registered, and when this VM noticed it.
    pub(super) lost_logs: BTreeMap<name::DatabaseName, (position::LogPosition, Instant)>,
    /// When the registered databases started, in milliseconds since the Unix epoch.
    pub(super) starts: BTreeMap<name::DatabaseName, u64>,
    /// The highest term that a database has reported.
    pub(super) reported_term: u64,
    /// When the fenced databases were last probed.
    pub(super) probed_at: Instant,
    /// The fenced databases that did not answer when they were last probed.
    pub(super) silent: BTreeSet<name::DatabaseName>,
    /// Since when fenced databases have not been registered.
    pub(super) unregistered_since: BTreeMap<name::DatabaseName, Instant>,
    /// The end of the log of the leader to be replaced when it was chosen.
    pub(super) log_end_when_chosen: Option<position::LogPosition>,
    /// When this process last sent an order to promote a database that may take effect.
    pub(super) last_order_at: Option<Instant>,
    /// When the leader that is replaced was last known to be running, so that its log may be back.
    pub(super) last_sign_of_leader: Instant,
    /// Whether the leader that is replaced was found to lack commits that its log had.
    pub(super) has_leader_lost_log: bool,
    /// Why no database may be promoted, if that has been logged.
    pub(super) wait_reason: Option<successor::WaitReason>,
}

impl LeaderReplacement {
    /// Returns whether a database led in the replaced term, even if under another identity.
    fn led_replaced_term(&self, id: &name::DatabaseName) -> bool {
        let leadership = self.reported_leaders.get(id);
        self.is_former_leader(id) || leadership.is_some_and(|(term, _)| *term == self.leader_term)
    }

    /// Returns whether a database is the leader to be replaced, and lacks commits that its log had.
    fn has_lost_log_of(&self, id: &name::DatabaseName) -> bool {
        self.has_leader_lost_log && *id == self.leader
    }

    /// Returns whether a database is the leader to be replaced and may have led.
    fn is_former_leader(&self, id: &name::DatabaseName) -> bool {
        *id == self.leader && !self.has_never_led
    }

    /// Returns whether a leader that had stepped down did not answer when it was probed again.
    fn has_silent_leader(&self) -> bool {
        self.silent.iter().any(|id| self.led_replaced_term(id))
    }

    /// Returns whether databases were fenced for a later term than the next leader leads in: such a
    /// fence does not end with the promotion.
    pub(super) const fn has_excessive_fences(&self) -> bool {
        self.term > self.reported_term + 1
    }

    /// Records that a database no longer has its log, which ended at `end`.
    fn record_lost_log(
        &mut self,
        id: &name::DatabaseName,
        end: position::LogPosition,
        lost_at: Instant,
    ) {
        let lost_log = (self.shared_end(end), lost_at);
        self.lost_logs.insert(id.clone(), lost_log);
    }

    /// Returns the end of that part of a log which it can have in common with the leader's log.
    /// What an earlier leader appended after the present one was chosen was never acknowledged.
    fn shared_end(&self, end: position::LogPosition) -> position::LogPosition {
        let chosen = self
            .log_end_when_chosen
            .filter(|chosen| end.term <= chosen.term);
        chosen.map_or(end, |chosen| end.min(chosen))
    }
}

/// Returns the position of the last entry of a log that ends at a reported position, given the end of
/// the leader's log when it was chosen. A database may report the term of the leader that it follows
/// before it has received an entry of it.
pub(super) fn entry_position(
    chosen: Option<position::LogPosition>,
    reported: position::LogPosition,
) -> position::LogPosition {
    match chosen {
        Some(chosen) if reported.offset <= chosen.offset && reported.term > chosen.term => {
            position::LogPosition::new(chosen.term, reported.offset)
        }
        _ => reported,
    }
}

/// Sends fencing orders to the databases of the service until a successor can be chosen or
/// all orders have been answered or have timed out.
pub(super) async fn fence_databases(
    control: &control::ControlCell,
    replacement: &mut LeaderReplacement,
) {
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    record_unregistered(control, replacement);
    let mut entries = control.borrow().databases_of(&replacement.service);
    // A database whose registration has expired may still lead, or receive commits.
    let mut unregistered = control
        .borrow()
        .expired_databases_of(&replacement.service, clock::now());
    entries.append(&mut unregistered);
    let mut tasks = JoinSet::new();
    for entry in entries {
        if replacement.fenced_positions.contains_key(&entry.id) {
            continue;
        }
        let is_leader = replacement.is_former_leader(&entry.id);
        // A draining leader sends its replicas the rest of its log before it steps down.
        let is_needed = is_leader
            || !replacement.cause.is_orderly()
            || replacement
                .fenced_positions
                .contains_key(&replacement.leader);
        if !is_needed {
            continue;
        }
        let term = replacement.term;
        let evidence = member_evidence(replacement, &entry);
        let order = match successor::fence_order(&evidence, replacement.leader_term) {
            successor::FenceOrder::StepDown => database::DatabaseOrder::StepDown { term },
            // The draining leader has stepped down by now, and its replicas need not be fenced.
            successor::FenceOrder::StopReceiving if replacement.cause.is_orderly() => {
                database::DatabaseOrder::Status
            }
            successor::FenceOrder::StopReceiving => database::DatabaseOrder::Fence { term },
        };
        let workspace = workspace.clone();
        tasks.spawn_local(async move {
            let result = orders::send_order(&entry, &workspace, order).await;
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
                log::info!(database = entry.id.as_str(), error:% = error; "a database did not confirm a fencing order or answer a status probe");
            }
        }
        // Once a successor can be chosen, databases that do not answer are not waited for, unless the
        // choice rests on the fences of all replicas.
        // When a leader is adopted instead, all answers are awaited, since the replicas that
        // were fenced must receive again.
        let choice = choose_successor(control, replacement);
        let has_candidate = matches!(choice, successor::SuccessorChoice::Promote { .. });
        let is_deferred = should_defer(control, replacement, &choice);
        if has_candidate && !is_deferred && !replacement.has_silent_leader() {
            tasks.detach_all();
            replacement.fencing_ended_at.get_or_insert_with(clock::now);
            return;
        }
    }
}

/// Orders all replicas to receive again, including those whose answer to a fencing order
/// was lost.
pub(super) async fn unfence_replicas(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) {
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    let mut replicas = control.borrow().databases_of(&replacement.service);
    replicas.retain(|entry| !replacement.reported_leaders.contains_key(&entry.id));
    for entry in replicas {
        let order = database::DatabaseOrder::Unfence;
        if let Err(error) = orders::send_order(&entry, &workspace, order).await {
            log::warn!(database = entry.id.as_str(), error:% = error; "a replica did not confirm that it receives again; it may still be fenced");
        }
    }
}

fn record_status(
    replacement: &mut LeaderReplacement,
    entry: &catalog::DatabaseEntry,
    order: database::DatabaseOrder,
    mut status: database::DatabaseStatus,
) {
    status.received = entry_position(replacement.log_end_when_chosen, status.received);
    replacement.reported_term = replacement.reported_term.max(status.term);
    log::info!(
        database = entry.id.as_str(), term = status.term, received = status.received.offset,
        held_term = status.fenced_term, is_primary = status.is_primary;
        "a database reported its status"
    );
    replacement.term = replacement.term.max(status.term + 1);
    // Terms may have been skipped since the leader was chosen.
    if status.is_primary && replacement.is_former_leader(&entry.id) {
        replacement.leader_term = replacement.leader_term.max(status.term);
    }
    if status.is_primary {
        let leadership = (status.term, status.received);
        replacement
            .reported_leaders
            .insert(entry.id.clone(), leadership);
    }
    let is_fenced = match order {
        database::DatabaseOrder::StepDown { .. } if replacement.led_replaced_term(&entry.id) => {
            !status.is_primary
        }
        // The database led in an earlier term. Once it has stepped down it follows the current
        // leader, so it is not fenced until it stops receiving.
        database::DatabaseOrder::StepDown { .. } => {
            if !status.is_primary {
                replacement.reported_leaders.remove(&entry.id);
            }
            false
        }
        database::DatabaseOrder::Fence { term } => {
            !status.is_primary && status.fenced_term >= term && term > status.term
        }
        // A status probe of a replica after the leader has stepped down: the replica is a
        // candidate if it has the leader's whole log.
        _ => {
            let end = replacement.fenced_positions.get(&replacement.leader);
            end.is_some_and(|end| status.received >= *end)
        }
    };
    if is_fenced {
        replacement
            .fenced_positions
            .insert(entry.id.clone(), status.received);
    }
}

/// Probes the fenced databases again, and removes those that are no longer fenced: a replica
/// that restarted receives again and may have lost its log, and a leader that stepped down and
/// restarted leads again.
///
/// Returns whether `chosen` and the databases on whose fences its choice rests have answered: the
/// leader that has stepped down or else all replicas. One that does not answer may have restarted
/// and acknowledged or received commits since it was fenced.
pub(super) async fn recheck_fenced(
    control: &control::ControlCell,
    replacement: &mut LeaderReplacement,
    chosen: &name::DatabaseName,
) -> bool {
    let commit_holders = control
        .borrow()
        .possible_commit_holders(&replacement.service, clock::now());
    let Some(unanswered) = probe_fenced(control, replacement).await else {
        return false;
    };
    let is_chosen_fenced = commit_holders.iter().any(|holder| holder.id == *chosen);
    let has_chosen_answered = is_chosen_fenced && !unanswered.contains(chosen);
    if has_all_acknowledged(control, replacement, chosen) {
        return has_chosen_answered;
    }
    let has_led = |id: &name::DatabaseName| replacement.led_replaced_term(id);
    if !unanswered.iter().any(has_led) && has_whole_log(replacement, chosen) {
        return has_chosen_answered;
    }
    // Without a replica that receives, a leader that leads again acknowledges nothing.
    let awaited = if is_about_to_stop(&control.borrow(), replacement, chosen) {
        control.borrow().databases_of(&replacement.service)
    } else {
        commit_holders
    };
    let mut holders = awaited.iter().map(|holder| &holder.id);
    let are_replicas_fenced = unanswered.iter().all(has_led)
        && has_chosen_answered
        && holders.all(|id| has_led(id) || replacement.fenced_positions.contains_key(id));
    if replacement.cause.is_orderly() {
        log::warn!(service = replacement.service.as_str(); "a leader that stepped down does not answer any more and is treated as lost");
        replacement.cause = cause::ReplacementCause::Lost;
        forget_unfenced_replicas(replacement);
        return false;
    }
    are_replicas_fenced
}

/// Probes the fenced databases again, and removes those that are no longer fenced. Returns those that
/// did not answer, or `None` if they could not be probed.
pub(super) async fn probe_fenced(
    control: &control::ControlCell,
    replacement: &mut LeaderReplacement,
) -> Option<SmallVec<[name::DatabaseName; 2]>> {
    replacement.probed_at = clock::now();
    let workspace = control.borrow().any_workspace()?;
    // A database whose registration has expired may have restarted as well.
    let mut entries = control
        .borrow()
        .possible_commit_holders(&replacement.service, clock::now());
    entries.retain(|entry| replacement.fenced_positions.contains_key(&entry.id));
    let mut probes = JoinSet::new();
    for entry in entries {
        let workspace = workspace.clone();
        probes.spawn_local(async move {
            let order = database::DatabaseOrder::Status;
            (orders::send_order(&entry, &workspace, order).await, entry)
        });
    }
    let mut unanswered: SmallVec<[name::DatabaseName; 2]> = SmallVec::new();
    while let Some(finished) = probes.join_next().await {
        let (answer, entry) = finished.ok()?;
        match answer {
            Ok(status) => {
                replacement.silent.remove(&entry.id);
                record_recheck(replacement, &entry, status);
            }
            Err(error) => {
                log::info!(database = entry.id.as_str(), error:% = error; "a fenced database did not answer when it was probed again");
                replacement.silent.insert(entry.id.clone());
                unanswered.push(entry.id);
            }
        }
    }
    Some(unanswered)
}

/// Returns whether a database drains and must be promoted now if its log is not to be lost, although
/// unregistered databases may come back.
fn is_about_to_stop(
    control: &state::ControlState,
    replacement: &LeaderReplacement,
    id: &name::DatabaseName,
) -> bool {
    let now = clock::now();
    let since_claim = now.saturating_duration_since(replacement.claimed_at);
    let mut registered = control.databases.iter();
    let is_draining = registered.any(|entry| entry.id == *id && entry.is_draining);
    let has_time = control.drain_end(id).is_some_and(|end| now < end);
    is_draining && !has_time && since_claim >= UNREGISTERED_WAIT_LIMIT
}

/// Returns whether a fenced database has all commits that VMs acknowledged to callers, so that no
/// other database needs to be fenced.
fn has_all_acknowledged(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
    id: &name::DatabaseName,
) -> bool {
    let acknowledged_end = replaced_reign(&control.borrow(), replacement).acknowledged_end;
    let position = replacement.fenced_positions.get(id);
    acknowledged_end.is_some_and(|end| position >= Some(&end))
}

/// Returns whether the choice of a database rests on the registrations that this VM knows, rather than
/// on its own log: on the fences of all others, or on the log of a leader that may have restarted.
pub(super) fn rests_on_registrations(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
    id: &name::DatabaseName,
) -> bool {
    let may_have_restarted = replacement.observed_leader_position.is_none();
    let has_leader_log = has_whole_log(replacement, id) && !may_have_restarted;
    !has_leader_log && !has_all_acknowledged(control, replacement, id)
}

/// Returns whether the leader has stepped down and a database has its whole log. The other replicas
/// need not be fenced then.
fn has_whole_log(replacement: &LeaderReplacement, id: &name::DatabaseName) -> bool {
    let fenced = replacement.fenced_positions.iter();
    let ends = fenced
        .filter(|(id, _)| replacement.led_replaced_term(id) && !replacement.has_lost_log_of(id));
    let leader_end = ends.map(|(_, end)| end).max();
    leader_end.is_some() && replacement.fenced_positions.get(id) >= leader_end
}

/// Records the status of a fenced database that was probed again.
fn record_recheck(
    replacement: &mut LeaderReplacement,
    entry: &catalog::DatabaseEntry,
    mut status: database::DatabaseStatus,
) {
    status.received = entry_position(replacement.log_end_when_chosen, status.received);
    let Some(fenced_position) = replacement.fenced_positions.get(&entry.id).copied() else {
        return;
    };
    if status.is_primary && status.term > replacement.leader_term {
        // An order took effect late.
        let leadership = (status.term, status.received);
        replacement
            .reported_leaders
            .insert(entry.id.clone(), leadership);
        return;
    }
    let has_stepped_down = replacement.led_replaced_term(&entry.id);
    // A database that led was ordered to step down, not to stop receiving.
    let must_not_receive = !replacement.cause.is_orderly()
        && !has_stepped_down
        && !replacement.reported_leaders.contains_key(&entry.id);
    let report = successor::FenceReport {
        received: status.received,
        fenced_term: status.fenced_term,
        is_primary: status.is_primary,
    };
    let leads_again = has_stepped_down && status.is_primary;
    if !leads_again && successor::is_still_fenced(fenced_position, must_not_receive, &report) {
        // One that need not stop receiving may have received more from a later leader.
        let end = fenced_position.max(status.received);
        replacement.fenced_positions.insert(entry.id.clone(), end);
        return;
    }
    log::warn!(
        database = entry.id.as_str(), held_term = status.fenced_term, received = status.received.offset,
        held_at = fenced_position.offset, is_primary = status.is_primary;
        "a database is no longer fenced"
    );
    replacement.fenced_positions.remove(&entry.id);
    replacement.fencing_ended_at = None;
    if leads_again && replacement.cause.is_orderly() {
        forget_unfenced_replicas(replacement);
    }
    // A later leader rolls back what its log lacks.
    let is_rolled_back = status.term > replacement.leader_term;
    if status.received < fenced_position && !is_rolled_back {
        replacement.record_lost_log(&entry.id, fenced_position, clock::now());
    }
}

/// Treats a departing leader that has stepped down as lost if it is no longer registered, or if no
/// replica has received its whole log in time. Such replicas must be fenced.
pub(super) fn give_up_departed_leader(
    control: &control::ControlCell,
    replacement: &mut LeaderReplacement,
) {
    let control = control.borrow();
    let mut registered = control.databases.iter();
    let is_registered = registered.any(|entry| entry.id == replacement.leader);
    let has_stepped_down = replacement
        .fenced_positions
        .contains_key(&replacement.leader);
    let since_claim = clock::now().saturating_duration_since(replacement.claimed_at);
    let is_overdue = has_stepped_down && since_claim >= handover::LOG_TRANSFER_TIMEOUT;
    if replacement.cause.is_orderly() && (!is_registered || is_overdue) {
        log::warn!(database = replacement.leader.as_str(); "no replica has received the whole log of a departing leader");
        replacement.cause = cause::ReplacementCause::Lost;
        forget_unfenced_replicas(replacement);
    }
}

/// Forgets the positions of the replicas, which were not ordered to stop receiving, since the leader
/// had stepped down. If the leader leads again, they receive from it.
fn forget_unfenced_replicas(replacement: &mut LeaderReplacement) {
    let (leader, leader_term) = (replacement.leader.clone(), replacement.leader_term);
    let reported = replacement.reported_leaders.clone();
    replacement.fenced_positions.retain(|id, _| {
        let has_led = |(term, _): &(u64, position::LogPosition)| *term == leader_term;
        *id == leader || reported.get(id).is_some_and(has_led)
    });
    replacement.fencing_ended_at = None;
}

/// Chooses a successor from the reports so far. Without a choice, may choose a draining database
/// that is about to stop, without waiting for unregistered ones.
pub(super) fn choose_successor(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) -> successor::SuccessorChoice {
    let mut databases = collect_evidence(control, replacement);
    let control = control.borrow();
    let reign = replaced_reign(&control, replacement);
    let choice = successor::choose_successor(&databases, &reign);
    if choice != successor::SuccessorChoice::Wait {
        return choice;
    }
    let registered = control.databases_of(&replacement.service);
    databases.retain(|database| {
        let has_position =
            database.fenced_position.is_some() || database.earlier_position.is_some();
        has_position || registered.iter().any(|entry| entry.id == database.id)
    });
    // A log that is gone is no reason to lose one that is about to go, unless that lacks commits
    // which are known.
    let known_end = control.known_acknowledged_end(&replacement.service, clock::now());
    let reign = successor::ReplacedReign {
        has_unknown_logs: false,
        required_end: reign.required_end.max(known_end),
        ..reign
    };
    let choice = successor::choose_draining_successor(&databases, &reign);
    match &choice {
        successor::SuccessorChoice::Promote { id, .. }
            if is_about_to_stop(&control, replacement, id) =>
        {
            choice
        }
        _ => successor::SuccessorChoice::Wait,
    }
}

/// Returns why no database may be promoted yet.
pub(super) fn wait_reason(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) -> successor::WaitReason {
    let databases = collect_evidence(control, replacement);
    let control = control.borrow();
    successor::wait_reason(&databases, &replaced_reign(&control, replacement))
}

/// Returns what is known of the reign of the leader that is replaced.
fn replaced_reign<'a>(
    control: &'a state::ControlState,
    replacement: &LeaderReplacement,
) -> successor::ReplacedReign<'a> {
    let now = clock::now();
    let service = &replacement.service;
    let since_sign = now.saturating_duration_since(replacement.last_sign_of_leader);
    let may_come_back = since_sign < departure::LOST_LOG_RETENTION;
    let mut required_end = control.required_end(service);
    required_end = required_end.max(control.end_since_start(service));
    let mut has_unknown_logs = control.has_unknown_logs(service, now);
    // A process that has just started may not know of a database that has left. What the other VMs
    // acknowledged tells which commits it had.
    if control.may_have_missed_departures(service) {
        match control.reported_end(service, replacement.claim_revision, now) {
            Some(reported_end) => required_end = required_end.max(reported_end),
            // A leader that is registered was running a moment ago, and its replicas with it.
            None => {
                let mut registered = control.databases.iter();
                let is_registered = registered.any(|entry| entry.id == replacement.leader);
                has_unknown_logs |= !(is_registered && control.has_settled(now));
            }
        }
    }
    successor::ReplacedReign {
        term: replacement.leader_term,
        required_end: required_end.filter(|_| may_come_back),
        has_unknown_logs: may_come_back && has_unknown_logs,
        acknowledged_end: control.acknowledged_end(
            service,
            replacement.claimed_at,
            replacement.claim_revision,
            now,
        ),
        ordered: control.outstanding_order(service, now),
        has_given_up: !may_come_back || has_forgotten_log(replacement),
        may_departing_leader_lead: control.is_registered(&replacement.leader)
            && now.saturating_duration_since(replacement.claimed_at) >= handover::LEAD_AGAIN_DELAY,
    }
}

/// Treats a leader as one that has led once another VM has reported that it saw it leading.
pub(super) fn observe_reports(control: &control::ControlCell, replacement: &mut LeaderReplacement) {
    let mut control = control.borrow_mut();
    let service = &replacement.service;
    if replacement.has_never_led
        && control.is_reported_leading(service, replacement.claim_revision, clock::now())
    {
        control.record_ordered_leader(service, &replacement.leader);
        replacement.has_never_led = false;
        replacement.leader_term += 1;
        replacement.term = replacement.term.max(replacement.leader_term + 1);
        // It was ordered to stop receiving, not to step down.
        replacement.fenced_positions.remove(&replacement.leader);
    }
}

/// Updates when the leader was last known to be running. One that has lost its log does not count.
pub(super) fn observe_leader(control: &control::ControlCell, replacement: &mut LeaderReplacement) {
    let control = control.borrow();
    let required_end = control.required_end(&replacement.service);
    let required_end = required_end.max(replacement.observed_leader_position);
    let reported_end = replacement.fenced_positions.get(&replacement.leader);
    replacement.has_leader_lost_log |= control.has_leader_lost_log(&replacement.service);
    replacement.has_leader_lost_log |= reported_end.is_some_and(|end| Some(*end) < required_end);
    let mut registered = control.databases.iter();
    let may_sign = !replacement.has_leader_lost_log && !replacement.has_never_led;
    if may_sign && registered.any(|entry| entry.id == replacement.leader) {
        replacement.last_sign_of_leader = clock::now();
    }
}

/// Returns the end that the successor's log must reach because of logs that were lost during this
/// replacement, if the leadership table does not record it yet. Another VM that goes on with the
/// replacement learns it from the table only.
pub(super) fn unrecorded_end(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) -> Option<position::LogPosition> {
    let lost = replacement.lost_logs.keys();
    let lost_end = lost.filter_map(|id| lost_log_position(replacement, id));
    let control = control.borrow();
    let entry = control.leadership_table.leaders.get(&replacement.service);
    let recorded_end = entry.and_then(|entry| entry.required_end);
    lost_end.max().filter(|end| Some(*end) > recorded_end)
}

/// Returns whether the store lists a database of the service that this VM does not know yet, or
/// does not answer. Such a database is not fenced, and may have received commits.
pub(super) async fn has_unknown_registration(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &LeaderReplacement,
) -> bool {
    let listing = match client.list(registry::REGISTRATION_KIND).await {
        Ok(listing) => listing,
        Err(error) => {
            log::warn!(error:% = error; "cannot list the registrations before a promotion");
            return true;
        }
    };
    let known = {
        let control = control.borrow();
        let mut known = control.databases_of(&replacement.service);
        known.extend(control.expired_databases_of(&replacement.service, clock::now()));
        known
    };
    let mut listed = registry::decode_registrations(&listing).into_iter();
    listed.any(|entry| {
        let is_known = known
            .iter()
            .any(|other| (&other.id, other.started_unix_ms) == (&entry.id, entry.started_unix_ms));
        entry.service == replacement.service && !is_known
    })
}

/// Records the fenced databases that are no longer registered: a successor's log must still
/// reach the positions that their logs reached.
fn record_unregistered(control: &control::ControlCell, replacement: &mut LeaderReplacement) {
    let now = clock::now();
    let commit_holders = control
        .borrow()
        .possible_commit_holders(&replacement.service, now);
    let leader = replacement.leader.clone();
    let is_unregistered = |id: &name::DatabaseName| {
        *id != leader && !commit_holders.iter().any(|entry| entry.id == *id)
    };
    let registered = control.borrow().databases_of(&replacement.service);
    let is_registered = |id: &name::DatabaseName| registered.iter().any(|entry| entry.id == *id);
    for entry in &registered {
        let started = entry.started_unix_ms;
        let previous = replacement.starts.insert(entry.id.clone(), started);
        if previous.is_some_and(|previous| previous != started)
            && let Some(end) = replacement.fenced_positions.remove(&entry.id)
        {
            log::warn!(database = entry.id.as_str(), end = end.offset; "a fenced database has restarted");
            replacement.record_lost_log(&entry.id, end, now);
        }
    }
    let since = &mut replacement.unregistered_since;
    since.retain(|id, _| !is_registered(id));
    for id in replacement.fenced_positions.keys() {
        if !is_registered(id) {
            since.entry(id.clone()).or_insert(now);
        }
    }
    let unregistered = replacement
        .fenced_positions
        .iter()
        .filter(|(id, _)| is_unregistered(id));
    let unregistered: SmallVec<[_; 2]> = unregistered.map(|(id, end)| (id.clone(), *end)).collect();
    for (id, end) in unregistered {
        log::warn!(database = id.as_str(), end = end.offset; "a fenced replica is no longer registered");
        replacement.fenced_positions.remove(&id);
        let lost_at = replacement.unregistered_since.get(&id).copied();
        replacement.record_lost_log(&id, end, lost_at.unwrap_or(now));
    }
}

/// Returns whether a choice should be deferred, since a database that suits better may still
/// answer.
pub(super) fn should_defer(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
    choice: &successor::SuccessorChoice,
) -> bool {
    successor::should_defer(choice, &collect_evidence(control, replacement))
}

fn collect_evidence(
    control: &control::ControlCell,
    replacement: &LeaderReplacement,
) -> Vec<successor::DatabaseEvidence> {
    let control = control.borrow();
    let entries = control.possible_commit_holders(&replacement.service, clock::now());
    let mut databases: Vec<_> = entries
        .iter()
        .map(|entry| {
            let end = replacement.fenced_positions.get(&entry.id);
            let is_gone = replacement.silent.contains(&entry.id)
                && entry.id != replacement.leader
                && !control.is_registered(&entry.id);
            // It cannot be promoted, but its log counts.
            if let Some(end) = end.filter(|_| is_gone) {
                return successor::unregistered_database(&entry.id, *end);
            }
            let mut evidence = member_evidence(replacement, entry);
            if evidence.is_leader && control.has_leader_lost_log(&replacement.service) {
                // Nobody may know how far its log reached.
                evidence.earlier_position = lost_leader_end(replacement);
            }
            // A database that must not lead where it is would have to be replaced at once, like a
            // draining one.
            let is_misplaced = control.misplacement_of(entry).is_some();
            successor::DatabaseEvidence {
                is_draining: evidence.is_draining || is_misplaced,
                ..evidence
            }
        })
        .collect();
    for id in replacement.lost_logs.keys() {
        let is_known = databases.iter().any(|database| database.id == *id);
        if let Some(end) = lost_log_position(replacement, id).filter(|_| !is_known) {
            databases.push(successor::unregistered_database(id, end));
        }
    }
    databases
}

/// Returns whether a log that was lost is waited for no longer.
fn has_forgotten_log(replacement: &LeaderReplacement) -> bool {
    let mut lost = replacement.lost_logs.keys();
    lost.any(|id| lost_log_position(replacement, id).is_none())
}

/// Returns where a log ended before its database lost it or was no longer registered, or `None`
/// if that was noticed more than [`roster::EXPIRED_DATABASE_RETENTION`] ago.
fn lost_log_position(
    replacement: &LeaderReplacement,
    id: &name::DatabaseName,
) -> Option<position::LogPosition> {
    let (end, noticed_at) = replacement.lost_logs.get(id)?;
    let age = clock::now().saturating_duration_since(*noticed_at);
    (age < roster::EXPIRED_DATABASE_RETENTION).then_some(*end)
}

/// Returns a position that no log reaches, as long as the leader may come back with its log.
fn lost_leader_end(replacement: &LeaderReplacement) -> Option<position::LogPosition> {
    let since_sign = clock::now().saturating_duration_since(replacement.last_sign_of_leader);
    (since_sign < departure::LOST_LOG_RETENTION).then_some(shared::UNBOUNDED_END)
}

fn member_evidence(
    replacement: &LeaderReplacement,
    entry: &catalog::DatabaseEntry,
) -> successor::DatabaseEvidence {
    let reported_leadership = replacement.reported_leaders.get(&entry.id).copied();
    let is_leader = replacement.is_former_leader(&entry.id);
    let led_replaced_term = replacement.led_replaced_term(&entry.id);
    let lost_end = lost_log_position(replacement, &entry.id);
    let since_sign = clock::now().saturating_duration_since(replacement.last_sign_of_leader);
    let may_come_back = since_sign < departure::LOST_LOG_RETENTION;
    successor::DatabaseEvidence {
        id: entry.id.clone(),
        is_leader,
        is_draining: entry.is_draining,
        fenced_position: replacement.fenced_positions.get(&entry.id).copied(),
        reported_leadership,
        earlier_position: replacement
            .observed_leader_position
            .filter(|_| may_come_back && led_replaced_term)
            .max(lost_end),
    }
}

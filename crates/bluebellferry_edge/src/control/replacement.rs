//! Replacement of a leader that is lost, draining or in the wrong place.
//!
//! One VM at a time holds the promotion duty: it alone chooses leaders. The leadership table
//! names this holder and its fencing token, by which the platform rejects promotions that any
//! other VM requests. The holder replaces a leader in four steps:
//!
//! 1. Mark the leader as being replaced in the leadership table.
//! 2. Fence the databases that can be reached: the old leader stops leading, and the
//!    replicas stop receiving its log. If the leader is draining and has stepped down, its
//!    replicas need not be fenced.
//! 3. Wait until no VM may rely on the old leader any more.
//! 4. Have the platform promote a database that has every acknowledged commit, and publish
//!    that database as the leader in the table. The order is recorded in the table before it is
//!    sent: as long as it may take effect, no other database is promoted.

mod cause;
mod fence;
mod handover;
mod recording;
mod table;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_platform::database;
use bluebellferry_platform::objects;
use bluebellferry_platform::promotion;
use bluebellferry_promotion::lease;
use bluebellferry_promotion::successor;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;

use crate::control;
use crate::control::orders;

pub use recording::record_rosters;

/// How often each service's leader is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay before fencing orders, or writes of the leadership table, are retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The delay before a suspected leader is probed again.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// How long ago this VM may have confirmed that it holds the promotion duty when it requests a
/// promotion.
const MAX_DUTY_CONFIRMATION_AGE: Duration = Duration::from_millis(500);
/// The timeout of a request for a promotion. Together with [`MAX_DUTY_CONFIRMATION_AGE`] it is
/// shorter than the time that another VM waits before it takes over the promotion duty.
const PROMOTION_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How often fenced databases are probed while a promotion waits: they may restart, or be rolled back
/// by a leader that a late order promoted.
const WAIT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The delay before an order to promote a database is repeated that may still take effect.
const ORDER_REPEAT_DELAY: Duration = Duration::from_millis(500);
/// How long a replacement waits, before it promotes a draining database, for a replica that is
/// not draining to answer. Unless all VMs acknowledge the replacement, the delay costs nothing,
/// since the replacement then waits at least as long for leases to expire.
const DRAINING_CANDIDATE_DELAY: Duration = Duration::from_millis(1_500);
/// How long a draining leader may take to step down before it is treated as lost: the time in
/// which a few orders time out.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long after a replacement the new leader is not replaced, unless it is draining.
const REPLACEMENT_COOLDOWN: Duration = Duration::from_millis(2_500);

/// Monitors the leaders of all services until the process ends. Each service has its own
/// task, so that one that waits for its databases does not delay the others.
pub async fn monitor_leaders(control: control::ControlCell) {
    let mut tasks: BTreeMap<name::ServiceName, tokio::task::JoinHandle<()>> = BTreeMap::new();
    loop {
        let services: Vec<name::ServiceName> = {
            let control = control.borrow();
            let services = &control.configuration.decoded.services;
            services.keys().cloned().collect()
        };
        tasks.retain(|service, task| {
            let is_known = services.contains(service);
            if !is_known {
                task.abort();
            }
            is_known
        });
        for service in services {
            tasks.entry(service).or_insert_with_key(|service| {
                tokio::task::spawn_local(monitor_leader(control.clone(), service.clone()))
            });
        }
        tokio::time::sleep(CHECK_INTERVAL * 10).await;
    }
}

/// Monitors one service's leader and replaces it when necessary.
async fn monitor_leader(control: control::ControlCell, service: name::ServiceName) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        if !cause::is_responsible(&control.borrow(), now) {
            continue;
        }
        let found = cause::find_cause(&control, &service).await;
        // Another VM may have replaced the leader while this one probed databases.
        let found = found.filter(|(leader, _)| {
            let control = control.borrow();
            let is_current = control.is_led_by(&service, leader);
            is_current && cause::is_responsible(&control, clock::now())
        });
        if let Some((leader, cause)) = found {
            let must_unfence =
                start_replacement(&control, &mut client, &service, &leader, cause).await;
            wait_cooldown(&control, &service, must_unfence).await;
        } else if cause::is_leader_suspected(&control.borrow(), &service, now) {
            tokio::time::sleep(SUSPECT_PROBE_INTERVAL).await;
        }
    }
}

/// Waits for the cooldown after a replacement. If the successor is itself to depart, waits only
/// until it leads, since it must then be replaced without delay.
///
/// If `must_unfence` is set, lifts the fences that outlive the promotion as soon as the successor
/// leads.
async fn wait_cooldown(
    control: &control::ControlCell,
    service: &name::ServiceName,
    mut must_unfence: bool,
) {
    let cooldown_end = clock::now() + REPLACEMENT_COOLDOWN;
    while clock::now() < cooldown_end {
        tokio::time::sleep(SUSPECT_PROBE_INTERVAL).await;
        if must_unfence {
            must_unfence = !unfence_followers(control, service).await;
        }
        let (departing, workspace) = {
            let control = control.borrow();
            (control.departing_leader(service), control.any_workspace())
        };
        let (Some(departing), Some(workspace)) = (departing, workspace) else {
            continue;
        };
        let order = database::DatabaseOrder::Status;
        let status = orders::send_order(&departing, &workspace, order).await;
        if status.is_ok_and(|status| status.is_primary) {
            return;
        }
    }
}

/// Orders the replicas of a leader to receive its log if the leader leads. Returns whether all of
/// them have done so.
async fn unfence_followers(control: &control::ControlCell, service: &name::ServiceName) -> bool {
    let (leader, databases, workspace) = {
        let control = control.borrow();
        let leader = control.leader_of(service);
        let leader = leader.filter(|leader| !leader.is_being_replaced);
        let databases = control.databases_of(service);
        (leader, databases, control.any_workspace())
    };
    let (Some(leader), Some(workspace)) = (leader, workspace) else {
        return false;
    };
    let (leaders, replicas): (Vec<_>, Vec<_>) = databases
        .into_iter()
        .partition(|entry| entry.id == leader.database);
    let Some(entry) = leaders.first() else {
        return false;
    };
    let status = orders::send_order(entry, &workspace, database::DatabaseOrder::Status).await;
    if !status.is_ok_and(|status| status.is_primary) || !holds_promotion_duty(control) {
        return false;
    }
    let mut are_all_unfenced = true;
    for replica in replicas {
        let order = database::DatabaseOrder::Unfence;
        if let Err(error) = orders::send_order(&replica, &workspace, order).await {
            log::info!(database = replica.id.as_str(), error:% = error; "a replica may still be fenced");
            are_all_unfenced = false;
        }
    }
    are_all_unfenced
}

/// Replaces a leader. Returns whether fences may outlive the promotion of its successor.
async fn start_replacement(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    cause: cause::ReplacementCause,
) -> bool {
    log::warn!(
        service = service.as_str(), database = leader.as_str(), cause = cause.as_str();
        "replacing a leader"
    );
    control.borrow_mut().active_claims += 1;
    control.borrow_mut().cover_departures();
    let has_table = table::ensure_complete(control, client).await;
    if !has_table || !control.borrow().is_led_by(service, leader) {
        control.borrow_mut().active_claims -= 1;
        return false;
    }
    let known_leader = control.borrow().known_leader(service);
    let last_position = control.borrow().shared.latest_position(service);
    let log_end_when_chosen = known_leader
        .as_ref()
        .and_then(|known| known.log_end_when_chosen);
    let leads_later_term = control.borrow().was_seen_leading(service);
    if leads_later_term {
        control.borrow_mut().record_ordered_leader(service, leader);
    }
    let has_never_led = may_never_have_led(control, service, leader).await;
    let entry = leadership::LeaderEntry {
        database: leader.clone(),
        phase: leadership::LeaderPhase::Replacing,
        log_end_when_chosen,
        required_end: control.borrow().required_end(service),
        acknowledged_end: control
            .borrow()
            .known_acknowledged_end(service, clock::now()),
        order: table::latest_order(control, service),
    };
    let mut must_unfence = false;
    if table::write_entry(control, client, service, entry).await {
        control.borrow().heartbeat_trigger.notify_one();
        let known_term = table::known_term(control, service);
        let (leader_term, cause) = if has_never_led {
            (known_term - 1, cause::ReplacementCause::Lost)
        } else {
            (known_term, cause)
        };
        let replacement = fence::LeaderReplacement {
            service: service.clone(),
            leader: leader.clone(),
            has_never_led,
            cause,
            claimed_at: clock::now(),
            claim_revision: control.borrow().leadership_table.revision,
            fenced_positions: BTreeMap::new(),
            // A fence for too high a term would outlive the promotion; one for too low a term is
            // repeated with the term that the database reports.
            term: if leads_later_term {
                known_term + 1
            } else {
                known_term
            },
            leader_term,
            fencing_ended_at: None,
            reported_leaders: BTreeMap::new(),
            observed_leader_position: known_leader
                .and_then(|known| known.min_log_position(last_position)),
            lost_logs: BTreeMap::new(),
            starts: BTreeMap::new(),
            reported_term: leader_term,
            probed_at: clock::now(),
            silent: BTreeSet::new(),
            unregistered_since: BTreeMap::new(),
            log_end_when_chosen,
            last_order_at: None,
            last_sign_of_leader: clock::now(),
            has_leader_lost_log: false,
            wait_reason: None,
        };
        must_unfence = run_replacement(control, client, replacement).await;
    }
    control.borrow_mut().active_claims -= 1;
    control.borrow().heartbeat_trigger.notify_one();
    must_unfence
}

/// Returns whether an order may still promote a leader that was not seen leading since.
async fn may_never_have_led(
    control: &control::ControlCell,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
) -> bool {
    let (entry, workspace) = {
        let control = control.borrow();
        if control.outstanding_order(service, clock::now()) != Some(leader) {
            return false;
        }
        let entry = control.known_entry(service, leader, clock::now());
        (entry, control.any_workspace())
    };
    if let Some((entry, workspace)) = entry.zip(workspace) {
        let order = database::DatabaseOrder::Status;
        let status = orders::send_order(&entry, &workspace, order).await;
        let chosen = control.borrow().known_leader(service);
        let chosen = chosen.and_then(|leader| leader.log_end_when_chosen);
        let leads_later_term = |status: &database::DatabaseStatus| {
            status.is_primary && chosen.is_some_and(|chosen| status.term > chosen.term)
        };
        if status.is_ok_and(|status| leads_later_term(&status)) {
            control.borrow_mut().record_ordered_leader(service, leader);
        }
    }
    control.borrow().outstanding_order(service, clock::now()) == Some(leader)
}

/// Carries out a replacement that is entered in the leadership table. Returns whether fences may
/// outlive the promotion of the successor.
async fn run_replacement(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    mut replacement: fence::LeaderReplacement,
) -> bool {
    loop {
        control.borrow_mut().cover_departures();
        fence::observe_reports(control, &mut replacement);
        fence::observe_leader(control, &mut replacement);
        fence::give_up_departed_leader(control, &mut replacement);
        fence::fence_databases(control, &mut replacement).await;
        let awaits_step_down = replacement.cause.is_orderly()
            && !replacement
                .fenced_positions
                .contains_key(&replacement.leader);
        let elapsed = clock::now().saturating_duration_since(replacement.claimed_at);
        if awaits_step_down && elapsed >= STEP_DOWN_TIMEOUT {
            log::warn!(
                database = replacement.leader.as_str(), asked_for_ms = elapsed.as_millis() as u64;
                "a departing leader has not stepped down in time and is treated as lost"
            );
            replacement.cause = cause::ReplacementCause::Lost;
        }
        if !is_entered(control, &replacement) {
            log::warn!(service = replacement.service.as_str(); "abandoned a replacement: it is not in the leadership table any more");
            set_wait_reason(control, &mut replacement, None);
            return false;
        }
        let choice = fence::choose_successor(control, &replacement);
        let is_waiting = choice == successor::SuccessorChoice::Wait;
        if record_ends(control, client, &replacement, is_waiting).await {
            continue;
        }
        let since_claim = clock::now().saturating_duration_since(replacement.claimed_at);
        if since_claim < DRAINING_CANDIDATE_DELAY
            && fence::should_defer(control, &replacement, &choice)
        {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        match choice {
            successor::SuccessorChoice::Promote { id, position } => {
                let fencing_ended_at = replacement.fencing_ended_at.unwrap_or_else(clock::now);
                wait_for_leases(control, replacement.claimed_at, fencing_ended_at).await;
                let has_answered = fence::recheck_fenced(control, &mut replacement, &id).await;
                let expected = successor::SuccessorChoice::Promote {
                    id: id.clone(),
                    position,
                };
                let is_unfenced_possible =
                    fence::rests_on_registrations(control, &replacement, &id)
                        && fence::has_unknown_registration(control, client, &replacement).await;
                let is_unchanged = fence::choose_successor(control, &replacement) == expected;
                if has_answered
                    && is_unchanged
                    && !is_unfenced_possible
                    && !is_order_recent(&replacement)
                    && request_promotion(control, client, &mut replacement, &id).await
                {
                    set_wait_reason(control, &mut replacement, None);
                    publish_leader(control, client, &replacement, id, position).await;
                    return replacement.has_excessive_fences();
                }
            }
            successor::SuccessorChoice::Adopt { id, position } => {
                log::info!(database = id.as_str(); "adopting a database that another VM had promoted");
                set_wait_reason(control, &mut replacement, None);
                control
                    .borrow_mut()
                    .record_ordered_leader(&replacement.service, &id);
                fence::unfence_replicas(control, &replacement).await;
                publish_leader(control, client, &replacement, id, position).await;
                return true;
            }
            successor::SuccessorChoice::Wait => {
                let reason = fence::wait_reason(control, &replacement);
                set_wait_reason(control, &mut replacement, Some(reason));
                let since_probe = clock::now().saturating_duration_since(replacement.probed_at);
                if since_probe >= WAIT_PROBE_INTERVAL {
                    fence::probe_fenced(control, &mut replacement).await;
                }
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Logs and counts that a promotion begins or ends to wait, or waits for another reason.
fn set_wait_reason(
    control: &control::ControlCell,
    replacement: &mut fence::LeaderReplacement,
    reason: Option<successor::WaitReason>,
) {
    let previous = std::mem::replace(&mut replacement.wait_reason, reason);
    if previous == reason {
        return;
    }
    let control = control.borrow();
    let waiting = &control.shared.fleet_status.waiting_promotions;
    match (previous, reason) {
        (None, _) => waiting.fetch_add(1, Ordering::Relaxed),
        (_, None) => waiting.fetch_sub(1, Ordering::Relaxed),
        _ => waiting.load(Ordering::Relaxed),
    };
    let since_claim = clock::now().saturating_duration_since(replacement.claimed_at);
    let required_end = control.required_end(&replacement.service);
    let ordered = control.outstanding_order(&replacement.service, clock::now());
    log::warn!(
        service = replacement.service.as_str(), leader = replacement.leader.as_str(),
        reason = reason.map_or("-", successor::WaitReason::as_str),
        since_claim_ms = since_claim.as_millis() as u64,
        required_end = required_end.map_or_else(|| "-".to_owned(), |end| end.to_string()).as_str(),
        fenced = replacement.fenced_positions.len() as u64,
        ordered = ordered.map_or("-", |id| id.as_str());
        "why a promotion waits has changed"
    );
}

/// Records in the leadership table what logs that were lost during a replacement had and, while the
/// promotion waits, what VMs have reported to have acknowledged. Returns whether it was written.
async fn record_ends(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &fence::LeaderReplacement,
    is_waiting: bool,
) -> bool {
    let service = &replacement.service;
    let lost_end = fence::unrecorded_end(control, replacement);
    let next = {
        let control = control.borrow();
        let Some(entry) = control.leadership_table.leaders.get(service) else {
            return false;
        };
        let known_end = control.known_acknowledged_end(service, clock::now());
        let acknowledged_end = known_end.filter(|_| is_waiting || lost_end.is_some());
        let next = leadership::LeaderEntry {
            required_end: entry.required_end.max(lost_end),
            acknowledged_end: entry.acknowledged_end.max(acknowledged_end),
            ..entry.clone()
        };
        (next != *entry).then_some(next)
    };
    match next {
        Some(next) => table::write_entry(control, client, service, next).await,
        None => false,
    }
}

/// Returns whether an order was sent so recently that it is not repeated yet.
fn is_order_recent(replacement: &fence::LeaderReplacement) -> bool {
    replacement
        .last_order_at
        .is_some_and(|sent_at| clock::now().saturating_duration_since(sent_at) < ORDER_REPEAT_DELAY)
}

fn holds_promotion_duty(control: &control::ControlCell) -> bool {
    let control = control.borrow();
    control.leadership_table.holder == control.own_name()
}

/// Returns whether the leadership table names this VM as the holder of the promotion duty and the
/// leader as being replaced. A table that another VM restored may lack the replacement.
fn is_entered(control: &control::ControlCell, replacement: &fence::LeaderReplacement) -> bool {
    let entry = control.borrow().leader_of(&replacement.service);
    let is_being_replaced =
        entry.is_some_and(|entry| entry.is_being_replaced && entry.database == replacement.leader);
    is_being_replaced && holds_promotion_duty(control)
}

/// Waits until no VM relies any longer on a leadership table without this replacement: all VMs
/// have acknowledged the changed table, or their leases have expired.
async fn wait_for_leases(
    control: &control::ControlCell,
    claimed_at: Instant,
    fencing_ended_at: Instant,
) {
    /// How often to check whether all VMs have acknowledged the table.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let leases_expire_at = lease::leases_expire_at(claimed_at, fencing_ended_at);
    // Acknowledgements count only with a list of VMs that was requested after the claim.
    control.borrow().member_list_trigger.notify_one();
    while clock::now() < leases_expire_at {
        let all_acknowledged = control
            .borrow()
            .is_leadership_table_acknowledged_by_all(claimed_at, clock::now());
        if all_acknowledged {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn request_promotion(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &mut fence::LeaderReplacement,
    id: &name::DatabaseName,
) -> bool {
    // The connection is opened first, since the request must follow the confirmation of the
    // promotion duty without delay.
    let address = control.borrow().shared.settings.promotion_api_address;
    let promotion_client = match promotion::PromotionClient::connect(address).await {
        Ok(promotion_client) => promotion_client,
        Err(error) => {
            log::warn!(error:% = error; "cannot connect to the platform to request a promotion");
            return false;
        }
    };
    let is_overdue =
        |since: Instant| clock::now().saturating_duration_since(since) > MAX_DUTY_CONFIRMATION_AGE;
    // The write also confirms the promotion duty, which another VM may have taken over while this
    // process was suspended.
    let mut confirmed_at = clock::now();
    if !record_order(control, client, replacement, id).await {
        return false;
    }
    if is_overdue(confirmed_at) {
        confirmed_at = clock::now();
        if !table::read_from_store(control, client).await {
            control.borrow_mut().record_void_order(&replacement.service);
            return false;
        }
    }
    let (holder, token) = {
        let control = control.borrow();
        (
            control.own_name().to_owned(),
            control.leadership_table.token,
        )
    };
    let is_confirmed = is_entered(control, replacement) && !control.borrow().awaits_restoration();
    if !is_confirmed || is_overdue(confirmed_at) {
        control.borrow_mut().record_void_order(&replacement.service);
        return false;
    }
    let service = replacement.service.as_str();
    let answer = promotion_client
        .promote(&holder, token, service, id.as_str(), PROMOTION_CALL_TIMEOUT)
        .await;
    log::warn!(
        service = service, database = id.as_str(), token = token, answer:? = answer,
        since_claim_ms = clock::now().saturating_duration_since(replacement.claimed_at).as_millis() as u64;
        "requested the promotion of a new leader from the platform"
    );
    if answer.is_void() {
        control.borrow_mut().record_void_order(&replacement.service);
    } else {
        replacement.last_order_at = Some(clock::now());
    }
    answer == promotion::PromotionAnswer::Accepted
}

/// Records in the leadership table that the platform is about to be asked to promote a database.
/// Returns whether the table holds the record and names this VM as the holder of the promotion
/// duty.
async fn record_order(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &fence::LeaderReplacement,
    id: &name::DatabaseName,
) -> bool {
    if control.borrow().awaits_restoration() || !is_entered(control, replacement) {
        return false;
    }
    let service = &replacement.service;
    let entry = {
        let control = control.borrow();
        let Some(entry) = control.leadership_table.leaders.get(service) else {
            return false;
        };
        leadership::LeaderEntry {
            order: Some(control.next_order(service, id, clock::now())),
            ..entry.clone()
        }
    };
    table::write_entry(control, client, service, entry).await && is_entered(control, replacement)
}

/// Writes the new leader to the leadership table. Retries until the write is confirmed or
/// this VM no longer holds the promotion duty.
async fn publish_leader(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &fence::LeaderReplacement,
    id: name::DatabaseName,
    position: position::LogPosition,
) {
    let entry = leadership::LeaderEntry {
        database: id,
        phase: leadership::LeaderPhase::Steady,
        log_end_when_chosen: Some(position),
        required_end: None,
        acknowledged_end: None,
        order: table::latest_order(control, &replacement.service),
    };
    let leaderless = clock::now().saturating_duration_since(replacement.claimed_at);
    log::info!(
        service = replacement.service.as_str(), database = entry.database.as_str(),
        log_end = position.to_string().as_str(), leaderless_ms = leaderless.as_millis() as u64;
        "a service is led again"
    );
    control
        .borrow()
        .shared
        .fleet_status
        .leaderless_ms
        .fetch_add(leaderless.as_millis() as u64, Ordering::Relaxed);
    while holds_promotion_duty(control) {
        if table::write_entry(control, client, &replacement.service, entry.clone()).await {
            let heartbeat_trigger = Arc::clone(&control.borrow().heartbeat_trigger);
            heartbeat_trigger.notify_one();
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

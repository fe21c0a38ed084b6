//! Replacing a leader that is lost or leaving.
//!
//! The VM that holds the duty enters the replacement into the table of leaders,
//! has every replica stop receiving and the old leader stop leading as far as
//! they can be reached, waits until no VM may rely on the old leader any more,
//! and names the database that certainly holds every acknowledged commit.

mod cause;
mod hold;
mod table;

use std::collections::BTreeMap;
use std::sync::Arc;
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
use crate::control::members;
use crate::control::orders;

/// How often it is looked whether a leader is to be replaced.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between two rounds of orders.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// The shortest time between two questions to a suspected leader.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);
/// How long before a call to the platform the duty must have been confirmed.
const DUTY_CONFIRMED: Duration = Duration::from_millis(500);
/// How long a call to the platform may take. With [`DUTY_CONFIRMED`] it ends
/// before the wait of whoever takes the duty over.
const DUTY_CALL_LIMIT: Duration = Duration::from_millis(700);
/// How long a database that is about to stop is not chosen while another one, which
/// stays, may still answer: as long as a lease, which is waited for anyway.
const STAYING_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a leader that leaves may take to step down before it is taken for lost: a few
/// orders that are not answered in time.
const STEP_DOWN_PATIENCE: Duration = Duration::from_millis(1_000);
/// How long after a planned replacement the same service is left alone.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Looks after all leaders until the process ends. Each service has its own
/// task: one that waits for its databases must not hold up the others.
pub async fn watch(control: control::ControlCell) {
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
                tokio::task::spawn_local(look_after(control.clone(), service.clone()))
            });
        }
        tokio::time::sleep(LOOK_INTERVAL * 10).await;
    }
}

/// Looks after one service's leader.
async fn look_after(control: control::ControlCell, service: name::ServiceName) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = clock::now();
        if !cause::is_responsible(&control.borrow(), now) {
            continue;
        }
        let found = cause::find_cause(&control, &service).await;
        // Databases were asked meanwhile, and another VM may have been faster.
        let found = found.filter(|(leader, _)| {
            let control = control.borrow();
            let is_current = control.is_led_by(&service, leader);
            is_current && cause::is_responsible(&control, clock::now())
        });
        if let Some((leader, cause)) = found {
            replace(&control, &mut client, &service, &leader, cause).await;
            settle(&control, &service).await;
        } else if cause::is_any_suspected(&control.borrow(), &service, now) {
            tokio::time::sleep(QUESTION_INTERVAL).await;
        }
    }
}

/// Leaves a service alone after its leader was replaced. A successor that is about to stop
/// is to be replaced in turn as soon as it leads.
async fn settle(control: &control::ControlCell, service: &name::ServiceName) {
    let until = clock::now() + SETTLE_TIME;
    while clock::now() < until {
        tokio::time::sleep(QUESTION_INTERVAL).await;
        let (leaver, workspace) = {
            let control = control.borrow();
            (control.leaving_leader(service), control.any_workspace())
        };
        let (Some(leaver), Some(workspace)) = (leaver, workspace) else {
            continue;
        };
        let order = database::DatabaseOrder::Status;
        let status = orders::give_order(&leaver, &workspace, order).await;
        if status.is_ok_and(|status| status.is_primary) {
            return;
        }
    }
}

async fn replace(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    cause: cause::ReplacementCause,
) {
    log::warn!(
        service = service.as_str(), database = leader.as_str(), cause = cause.as_str();
        "a leader is to be replaced"
    );
    control.borrow_mut().claims += 1;
    let known = control.borrow().known_leader(service);
    let seen = control.borrow().shared.last_position(service);
    let entry = leadership::LeaderEntry {
        database: leader.clone(),
        phase: leadership::LeaderPhase::Replacing,
        floor: known.as_ref().and_then(|known| known.floor),
    };
    if table::write_entry(control, client, service, entry).await {
        control.borrow().news.notify_one();
        let leader_term = table::known_term(control, service);
        let replacement = hold::LeaderReplacement {
            service: service.clone(),
            leader: leader.clone(),
            cause,
            claimed: clock::now(),
            held: BTreeMap::new(),
            term: leader_term + 1,
            leader_term,
            decided: None,
            leading: BTreeMap::new(),
            leader_seen: known.and_then(|known| known.known_end(seen)),
            emptied: BTreeMap::new(),
        };
        carry_out(control, client, replacement).await;
    }
    control.borrow_mut().claims -= 1;
    control.borrow().news.notify_one();
}

async fn carry_out(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    mut replacement: hold::LeaderReplacement,
) {
    loop {
        hold::hold_databases(control, &mut replacement).await;
        let is_expected = replacement.cause == cause::ReplacementCause::Leaving
            && !replacement.held.contains_key(&replacement.leader);
        let asked_for = clock::now().saturating_duration_since(replacement.claimed);
        if is_expected && asked_for >= STEP_DOWN_PATIENCE {
            log::warn!(
                database = replacement.leader.as_str(), asked_for_ms = asked_for.as_millis() as u64;
                "a leader that leaves does not answer and is taken for lost"
            );
            replacement.cause = cause::ReplacementCause::Lost;
        }
        if !is_still_holder(control) {
            log::warn!(service = replacement.service.as_str(); "another VM has taken the duty over");
            return;
        }
        let choice = hold::choose(control, &replacement);
        let since_claim = clock::now().saturating_duration_since(replacement.claimed);
        if since_claim < STAYING_PATIENCE && hold::is_last_resort(control, &replacement, &choice) {
            tokio::time::sleep(ROUND_PAUSE).await;
            continue;
        }
        match choice {
            successor::SuccessorChoice::Promote { id, position } => {
                let decided = replacement.decided.unwrap_or_else(clock::now);
                wait_for_leases(control, replacement.claimed, decided).await;
                let has_answered = hold::forget_released(control, &mut replacement, &id).await;
                let before = successor::SuccessorChoice::Promote {
                    id: id.clone(),
                    position,
                };
                let is_unchanged = hold::choose(control, &replacement) == before;
                if has_answered && is_unchanged && promote(control, client, &replacement, &id).await
                {
                    publish_leader(control, client, &replacement, id, position).await;
                    return;
                }
            }
            successor::SuccessorChoice::Adopt { id, position } => {
                log::info!(database = id.as_str(); "a database leads already and is adopted");
                hold::resume_replicas(control, &replacement).await;
                publish_leader(control, client, &replacement, id, position).await;
                return;
            }
            successor::SuccessorChoice::Wait => {}
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

fn is_still_holder(control: &control::ControlCell) -> bool {
    let control = control.borrow();
    control.table.holder == control.own_name()
}

/// Waits until no VM may rely on the table as it was before the claim.
async fn wait_for_leases(control: &control::ControlCell, claimed: Instant, decided: Instant) {
    /// How often it is looked whether all VMs have seen the claim.
    const STEP: Duration = Duration::from_millis(20);
    let until = lease::lapsed_from(claimed, decided);
    control.borrow().list_members.notify_one();
    while clock::now() < until {
        let has_seen_all = control.borrow().have_all_seen_table(claimed, clock::now());
        if has_seen_all {
            return;
        }
        tokio::time::sleep(STEP).await;
    }
}

async fn promote(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &hold::LeaderReplacement,
    id: &name::DatabaseName,
) -> bool {
    // Connecting comes first: the call must follow the confirmation of the duty at once.
    let address = control.borrow().shared.settings.duty_address;
    let caller = match promotion::PromotionClient::connect(address).await {
        Ok(caller) => caller,
        Err(error) => {
            log::warn!(error:% = error; "the platform cannot be reached for a new leader");
            return false;
        }
    };
    let asked = clock::now();
    // The duty may have changed hands while this VM stood still.
    match members::read_table(client).await {
        Ok(table) => control.borrow_mut().apply_table(&table),
        Err(error) => {
            log::warn!(error:% = error; "the duty cannot be confirmed");
            return false;
        }
    }
    if !is_still_holder(control) {
        return false;
    }
    let (holder, token) = {
        let control = control.borrow();
        (control.own_name().to_owned(), control.table.token)
    };
    if clock::now().saturating_duration_since(asked) > DUTY_CONFIRMED {
        return false;
    }
    let service = replacement.service.as_str();
    let answer = caller
        .promote(&holder, token, service, id.as_str(), DUTY_CALL_LIMIT)
        .await;
    log::warn!(
        service = service, database = id.as_str(), token = token, answer:? = answer,
        since_claim_ms = clock::now().saturating_duration_since(replacement.claimed).as_millis() as u64;
        "the platform was asked for a new leader"
    );
    answer == promotion::PromotionAnswer::Accepted
}

/// Enters the new leader into the table; tries until it stands there.
async fn publish_leader(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &hold::LeaderReplacement,
    id: name::DatabaseName,
    position: position::LogPosition,
) {
    let entry = leadership::LeaderEntry {
        database: id,
        phase: leadership::LeaderPhase::Steady,
        floor: Some(position),
    };
    while is_still_holder(control) {
        if table::write_entry(control, client, &replacement.service, entry.clone()).await {
            let news = Arc::clone(&control.borrow().news);
            news.notify_one();
            return;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

//! Replacing a leader that is lost or leaving.
//!
//! The VM that holds the duty enters the replacement into the table of leaders,
//! has every replica stop receiving and the old leader stop leading as far as
//! they can be reached, waits until no VM may rely on the old leader any more,
//! and names the database that certainly holds every acknowledged commit.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_catalog::leadership;
use bluebellferry_membership::beat;
use bluebellferry_platform::database;
use bluebellferry_platform::duty;
use bluebellferry_platform::objects;
use bluebellferry_promotion::lease;
use bluebellferry_promotion::successor;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use rand::Rng;
use tokio::task::JoinSet;

use crate::control;
use crate::control::members;
use crate::control::orders;
use crate::control::state;
use crate::shared;

/// How often it is looked whether a leader is to be replaced.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between two rounds of orders.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long a leader that another VM has used lately is not taken for lost.
const USED_LATELY: Duration = Duration::from_millis(500);
/// The shortest time between two questions to a suspected leader.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);
/// How long before a call to the platform the duty must have been confirmed.
const DUTY_CONFIRMED: Duration = Duration::from_millis(500);
/// How long a call to the platform may take. With [`DUTY_CONFIRMED`] it ends
/// before the wait of whoever takes the duty over.
const DUTY_CALL_LIMIT: Duration = Duration::from_millis(700);
/// How long a VM waits before it takes the duty from a silent holder.
const HOLDER_SILENCE: Duration = Duration::from_millis(2_500);
/// How long after a planned replacement the same service is left alone.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Why a leader is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplacementCause {
    Leaving,
    Lost,
    CannotCommit,
}

impl ReplacementCause {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Lost => "lost",
            Self::CannotCommit => "cannot commit",
        }
    }
}

/// A replacement under way.
struct Replacement {
    service: name::ServiceName,
    leader: name::DatabaseName,
    cause: ReplacementCause,
    claimed: Instant,
    held: BTreeMap<name::DatabaseName, position::LogPosition>,
    /// The term of the orders.
    term: u64,
    /// The term in which the leader to be replaced leads.
    leader_term: u64,
    /// When the choice became certain: no database was told to stop after that.
    decided: Option<Instant>,
    /// The databases that said they lead, with their terms and the ends of their logs.
    leading: BTreeMap<name::DatabaseName, (u64, position::LogPosition)>,
}

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
        if !is_responsible(&control.borrow(), now) {
            continue;
        }
        if let Some((leader, cause)) = find_cause(&control, &service).await {
            replace(&control, &mut client, &service, &leader, cause).await;
            tokio::time::sleep(SETTLE_TIME).await;
        } else if is_any_suspected(&control.borrow(), &service, now) {
            tokio::time::sleep(QUESTION_INTERVAL).await;
        }
    }
}

/// Returns whether this VM acts: it holds the duty, or the holder is silent and
/// this VM's name comes first among those that live.
fn is_responsible(control: &state::ControlState, now: Instant) -> bool {
    let own = control.own_name();
    let is_leaving = *control.shared.drain.borrow() != shared::DrainPhase::Serving;
    // Only who counts as a member everywhere may act: an answer to a heartbeat
    // is a promise of each member to wait.
    let may_act = control.has_store && control.members.contains_key(own);
    if is_leaving || !may_act || !control.is_known_to_all(now) {
        return false;
    }
    let holder = control.table.holder.as_str();
    if holder == own {
        return true;
    }
    let holder_record = control.peers.get(holder);
    let is_holder_live = holder_record.is_some_and(|record| {
        now.saturating_duration_since(record.heard) < HOLDER_SILENCE && may_hold(&record.beat)
    });
    if is_holder_live && control.members.contains_key(holder) {
        return false;
    }
    let mut live = control
        .live_peers(now)
        .filter(|(_, record)| may_hold(&record.beat));
    live.all(|(name, _)| name.as_str() > own)
}

/// Returns whether a VM can hold the duty.
fn may_hold(beat: &beat::FleetBeat) -> bool {
    !beat.is_leaving && beat.has_store
}

async fn find_cause(
    control: &control::ControlCell,
    service: &name::ServiceName,
) -> Option<(name::DatabaseName, ReplacementCause)> {
    let now = clock::now();
    let (leader, entry, is_suspected, is_used) = {
        let control = control.borrow();
        let leader = control.leader_of(service)?;
        let entry = find_entry(&control, &leader.database);
        if leader.is_replacing {
            // A replacement that its VM did not finish.
            return Some((leader.database, ReplacementCause::Lost));
        }
        let is_suspected = is_suspected(&control, service, &leader.database, now);
        let is_used = is_used_lately(&control, service, &leader.database, now);
        (leader.database, entry, is_suspected, is_used)
    };
    if entry.as_ref().is_some_and(|entry| entry.leaving) {
        return Some((leader, ReplacementCause::Leaving));
    }
    if !is_suspected {
        return None;
    }
    let workspace = control.borrow().any_workspace()?;
    let Some(entry) = entry else {
        return (!is_used).then_some((leader, ReplacementCause::Lost));
    };
    let status = orders::give_order(&entry, &workspace, database::DatabaseOrder::Status).await;
    match status {
        Ok(status) if !status.is_primary => Some((leader, ReplacementCause::Lost)),
        Ok(status) => {
            let is_stalled =
                is_cut_from_replicas(control, service, &entry, status, &workspace).await;
            is_stalled.then_some((leader, ReplacementCause::CannotCommit))
        }
        Err(orders::OrderError::Refused(_)) => None,
        Err(error) => {
            log::warn!(database = leader.as_str(), error:% = error, used = is_used; "a suspected leader does not answer");
            (!is_used).then_some((leader, ReplacementCause::Lost))
        }
    }
}

/// Returns whether no replica has received what the leader wrote a while ago.
async fn is_cut_from_replicas(
    control: &control::ControlCell,
    service: &name::ServiceName,
    leader: &catalog::DatabaseEntry,
    before: database::DatabaseStatus,
    workspace: &name::WorkspaceName,
) -> bool {
    /// Longer than any replica's receipt takes, shorter than callers' patience.
    const RECEIPT_TIME: Duration = Duration::from_millis(250);
    tokio::time::sleep(RECEIPT_TIME).await;
    let replicas: Vec<catalog::DatabaseEntry> = {
        let control = control.borrow();
        let is_replica =
            |entry: &&catalog::DatabaseEntry| entry.service == *service && entry.id != leader.id;
        control
            .databases
            .iter()
            .filter(is_replica)
            .cloned()
            .collect()
    };
    let mut has_answer = false;
    for replica in &replicas {
        let order = database::DatabaseOrder::Status;
        if let Ok(status) = orders::give_order(replica, workspace, order).await {
            has_answer = true;
            if status.received >= before.received {
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
fn is_any_suspected(
    control: &state::ControlState,
    service: &name::ServiceName,
    now: Instant,
) -> bool {
    let leader = control.leader_of(service);
    leader.is_some_and(|leader| is_suspected(control, service, &leader.database, now))
}

fn is_suspected(
    control: &state::ControlState,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    now: Instant,
) -> bool {
    let names = |suspicions: &[beat::LeaderSuspicion]| {
        suspicions
            .iter()
            .any(|one| one.service == *service && one.database == *leader)
    };
    names(&control.suspicions.own_suspicions(now))
        || control
            .live_peers(now)
            .any(|(_, record)| names(&record.beat.suspicions))
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

async fn replace(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
    cause: ReplacementCause,
) {
    log::warn!(
        service = service.as_str(), database = leader.as_str(), cause = cause.as_str();
        "a leader is to be replaced"
    );
    control.borrow_mut().claims += 1;
    let entry = leadership::LeaderEntry {
        database: leader.clone(),
        phase: leadership::LeaderPhase::Replacing,
        floor: control
            .borrow()
            .leader_of(service)
            .and_then(|known| known.floor),
    };
    if write_entry(control, client, service, entry).await {
        control.borrow().news.notify_one();
        let leader_term = known_term(control, service);
        let replacement = Replacement {
            service: service.clone(),
            leader: leader.clone(),
            cause,
            claimed: clock::now(),
            held: BTreeMap::new(),
            term: leader_term + 1,
            leader_term,
            decided: None,
            leading: BTreeMap::new(),
        };
        carry_out(control, client, replacement).await;
    }
    control.borrow_mut().claims -= 1;
    control.borrow().news.notify_one();
}

/// Returns the term in which a leader leads, as far as it is known: from its
/// answers, or as the one after the last term in its log when it was chosen.
fn known_term(control: &control::ControlCell, service: &name::ServiceName) -> u64 {
    let control = control.borrow();
    let positions = control.shared.positions();
    let seen = positions.get(service).and_then(|history| history.latest());
    let seen = seen.map_or(1, |position| position.term);
    let entry = control.table.leaders.get(service);
    let chosen = entry
        .and_then(|entry| entry.floor)
        .map_or(1, |floor| floor.term + 1);
    seen.max(chosen)
}

/// How often a change of the table is tried when another one came first.
const WRITE_TRIES: u32 = 4;

/// Writes an entry of the table. Returns whether it stands.
async fn write_entry(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    entry: leadership::LeaderEntry,
) -> bool {
    for _ in 0..WRITE_TRIES {
        let before = control.borrow().table.clone();
        if try_write_entry(control, client, service, entry.clone()).await {
            return true;
        }
        // A change of another service's entry is no reason to give up.
        let control = control.borrow();
        let is_other = control.table.revision != before.revision
            && control.table.holder == control.own_name()
            && control.table.leaders.get(service) == before.leaders.get(service);
        if !is_other {
            return false;
        }
    }
    false
}

/// Writes an entry of the table under a condition. Returns whether it stands.
async fn try_write_entry(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    entry: leadership::LeaderEntry,
) -> bool {
    let nonce = rand::rng().random();
    let (next, revision) = {
        let control = control.borrow();
        let next = control
            .table
            .with_entry(control.own_name(), nonce, service, entry);
        (next, control.table.revision)
    };
    let value = match serde_json::to_value(&next) {
        Ok(value) => value,
        Err(error) => {
            log::error!(error:% = error; "the table of leaders cannot be coded");
            return false;
        }
    };
    let (kind, name) = (members::TABLE_KIND, members::TABLE_NAME);
    let written = if revision == 0 {
        client.create(kind, name, value).await
    } else {
        client.replace(kind, name, revision, value).await
    };
    if let Err(error) = &written {
        log::warn!(error:% = error; "the table of leaders was not confirmed");
    }
    // An answer may be lost although the change was made, so what counts is
    // what stands in the store.
    let read = match written {
        Ok(object) => members::decode_table(&object),
        Err(_) => members::read_table(client).await,
    };
    match read {
        Ok(table) => {
            control.borrow_mut().apply_table(&table);
            table.nonce == nonce
        }
        Err(error) => {
            log::warn!(error:% = error; "the table of leaders cannot be read");
            false
        }
    }
}

async fn carry_out(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    mut replacement: Replacement,
) {
    loop {
        hold_databases(control, &mut replacement).await;
        if !is_still_holder(control) {
            log::warn!(service = replacement.service.as_str(); "another VM has taken the duty over");
            return;
        }
        match choose(control, &replacement) {
            successor::SuccessorChoice::Promote { id, position } => {
                let decided = replacement.decided.unwrap_or_else(clock::now);
                wait_for_leases(control, replacement.claimed, decided).await;
                forget_released(control, &mut replacement).await;
                let before = successor::SuccessorChoice::Promote {
                    id: id.clone(),
                    position,
                };
                let is_unchanged = choose(control, &replacement) == before;
                if is_unchanged && promote(control, client, &replacement, &id).await {
                    publish_leader(control, client, &replacement, id, position).await;
                    return;
                }
            }
            successor::SuccessorChoice::Adopt { id, position } => {
                log::info!(database = id.as_str(); "a database leads already and is adopted");
                resume_replicas(control, &replacement).await;
                publish_leader(control, client, &replacement, id, position).await;
                return;
            }
            successor::SuccessorChoice::Wait => {}
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Has every database of the service that can be reached stop.
async fn hold_databases(control: &control::ControlCell, replacement: &mut Replacement) {
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    let entries: Vec<catalog::DatabaseEntry> = {
        let control = control.borrow();
        let of_service = |entry: &&catalog::DatabaseEntry| entry.service == replacement.service;
        control
            .databases
            .iter()
            .filter(of_service)
            .cloned()
            .collect()
    };
    let mut tasks = JoinSet::new();
    for entry in entries {
        if replacement.held.contains_key(&entry.id) {
            continue;
        }
        let is_leader = entry.id == replacement.leader;
        // A leader that leaves in an orderly way sends its replicas what it has.
        let is_needed = is_leader
            || replacement.cause != ReplacementCause::Leaving
            || replacement.held.contains_key(&replacement.leader);
        if !is_needed {
            continue;
        }
        let term = replacement.term;
        let order = match (is_leader, replacement.cause) {
            (true, _) => database::DatabaseOrder::StepDown { term },
            (false, ReplacementCause::Leaving) => database::DatabaseOrder::Status,
            (false, _) => database::DatabaseOrder::Pause { term },
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
        if matches!(choice, successor::SuccessorChoice::Promote { .. }) {
            tasks.detach_all();
            replacement.decided.get_or_insert_with(clock::now);
            return;
        }
    }
}

/// Lets all replicas receive again. One may have been held back without its
/// answer having come.
async fn resume_replicas(control: &control::ControlCell, replacement: &Replacement) {
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    let leading: Vec<&name::DatabaseName> = replacement.leading.keys().collect();
    let replicas: Vec<catalog::DatabaseEntry> = {
        let control = control.borrow();
        let is_replica = |entry: &&catalog::DatabaseEntry| {
            entry.service == replacement.service && !leading.contains(&&entry.id)
        };
        control
            .databases
            .iter()
            .filter(is_replica)
            .cloned()
            .collect()
    };
    for entry in replicas {
        let order = database::DatabaseOrder::Resume;
        if let Err(error) = orders::give_order(&entry, &workspace, order).await {
            log::warn!(database = entry.id.as_str(), error:% = error; "a replica may still be held back");
        }
    }
}

fn record_status(
    replacement: &mut Replacement,
    entry: &catalog::DatabaseEntry,
    order: database::DatabaseOrder,
    status: database::DatabaseStatus,
) {
    log::info!(
        database = entry.id.as_str(), term = status.term, received = status.received.offset,
        held_term = status.held_term, is_primary = status.is_primary;
        "a database reports its state"
    );
    replacement.term = replacement.term.max(status.term + 1);
    if status.is_primary {
        let leading = (status.term, status.received);
        replacement.leading.insert(entry.id.clone(), leading);
    }
    let is_held = match order {
        database::DatabaseOrder::StepDown { .. } => !status.is_primary,
        database::DatabaseOrder::Pause { term } => {
            !status.is_primary && status.held_term >= term && term > status.term
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
/// it was held back.
async fn forget_released(control: &control::ControlCell, replacement: &mut Replacement) {
    if replacement.cause == ReplacementCause::Leaving {
        return;
    }
    let Some(workspace) = control.borrow().any_workspace() else {
        return;
    };
    let entries: Vec<catalog::DatabaseEntry> = {
        let control = control.borrow();
        let is_held_replica = |entry: &&catalog::DatabaseEntry| {
            replacement.held.contains_key(&entry.id) && entry.id != replacement.leader
        };
        let held = control.databases.iter().filter(is_held_replica);
        held.cloned().collect()
    };
    let mut questions = JoinSet::new();
    for entry in entries {
        let workspace = workspace.clone();
        questions.spawn_local(async move {
            let order = database::DatabaseOrder::Status;
            (orders::give_order(&entry, &workspace, order).await, entry)
        });
    }
    while let Some(answered) = questions.join_next().await {
        if let Ok((Ok(status), entry)) = answered
            && status.held_term == 0
            && !status.is_primary
        {
            log::warn!(database = entry.id.as_str(); "a replica is no longer held back");
            replacement.held.remove(&entry.id);
            replacement.decided = None;
        }
    }
}

fn choose(control: &control::ControlCell, replacement: &Replacement) -> successor::SuccessorChoice {
    successor::choose_successor(&evidence(control, replacement), replacement.leader_term)
}

fn evidence(
    control: &control::ControlCell,
    replacement: &Replacement,
) -> Vec<successor::MemberEvidence> {
    let control = control.borrow();
    let of_service = |entry: &&catalog::DatabaseEntry| entry.service == replacement.service;
    let member = |entry: &catalog::DatabaseEntry| successor::MemberEvidence {
        id: entry.id.clone(),
        is_leader: entry.id == replacement.leader,
        is_leaving: entry.leaving,
        held_at: replacement.held.get(&entry.id).copied(),
        leads: replacement.leading.get(&entry.id).copied(),
    };
    control
        .databases
        .iter()
        .filter(of_service)
        .map(member)
        .collect()
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
    while clock::now() < until {
        let has_seen_all = {
            let control = control.borrow();
            let own = control.own_name();
            let revision = control.table.revision;
            let has_seen = |name: &String| {
                name == own
                    || control.peers.get(name).is_some_and(|record| {
                        record.beat.table.revision >= revision && !record.beat.is_claiming
                    })
            };
            control.members.keys().all(has_seen)
        };
        if has_seen_all {
            return;
        }
        tokio::time::sleep(STEP).await;
    }
}

async fn promote(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &Replacement,
    id: &name::DatabaseName,
) -> bool {
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
    let (holder, token, address) = {
        let control = control.borrow();
        let address = control.shared.settings.duty_address;
        (control.own_name().to_owned(), control.table.token, address)
    };
    if clock::now().saturating_duration_since(asked) > DUTY_CONFIRMED {
        return false;
    }
    let client = duty::DutyClient::new(address);
    let service = replacement.service.as_str();
    let answer = client
        .promote(&holder, token, service, id.as_str(), DUTY_CALL_LIMIT)
        .await;
    log::warn!(
        service = service, database = id.as_str(), token = token, answer:? = answer,
        since_claim_ms = clock::now().saturating_duration_since(replacement.claimed).as_millis() as u64;
        "the platform was asked for a new leader"
    );
    answer == duty::PromotionAnswer::Accepted
}

/// Enters the new leader into the table; tries until it stands there.
async fn publish_leader(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    replacement: &Replacement,
    id: name::DatabaseName,
    position: position::LogPosition,
) {
    let entry = leadership::LeaderEntry {
        database: id,
        phase: leadership::LeaderPhase::Steady,
        floor: Some(position),
    };
    while is_still_holder(control) {
        if write_entry(control, client, &replacement.service, entry.clone()).await {
            let news = Arc::clone(&control.borrow().news);
            news.notify_one();
            return;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

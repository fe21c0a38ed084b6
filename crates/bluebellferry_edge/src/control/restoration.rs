//! Restores the leadership table after the store came back from an older copy.
//!
//! The copy has an older table or none, so it names former leaders, lacks replacements that are
//! under way and gives tokens out again. Nobody relies on it: a table counts only in the era of the
//! store in which it was written, which its token tells. A VM that knows the latest table writes it
//! again. If none does, since all were restarted or their leases have expired, the databases tell
//! who leads.

use std::collections::BTreeMap;

use bluebellferry_catalog::database as catalog;
use bluebellferry_catalog::leadership;
use bluebellferry_platform::database;
use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::store_revision;
use rand::Rng;
use tokio::task::JoinSet;

use crate::control;
use crate::control::members;
use crate::control::orders;
use crate::control::state;
use crate::control::state::store_eras;

/// Restores the leadership table if this VM may do so. `stored` is the table of an earlier era that
/// the store has.
pub(super) async fn restore_table(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    stored: &leadership::LeadershipTable,
) {
    let nonce = rand::rng().random();
    let plan = control
        .borrow()
        .plan_restoration(stored, nonce, clock::now());
    let (table, source) = match plan {
        store_eras::RestorationPlan::Wait => return,
        store_eras::RestorationPlan::WriteKnown(table) => (table, "memory"),
        store_eras::RestorationPlan::AskDatabases(known) => {
            let Some(leaders) = ask_databases(control, &known).await else {
                return;
            };
            (
                leadership::LeadershipTable { leaders, ..known },
                "databases",
            )
        }
    };
    let value = match serde_json::to_value(&table) {
        Ok(value) => value,
        Err(error) => {
            log::error!(error:% = error; "cannot encode the leadership table");
            return;
        }
    };
    let (kind, name) = (
        members::LEADERSHIP_TABLE_KIND,
        members::LEADERSHIP_TABLE_NAME,
    );
    let written = if stored.revision == 0 {
        client.create(kind, name, value).await
    } else {
        let revision = store_revision::StoreRevision::from_packed(stored.revision);
        client.replace(kind, name, revision, value).await
    };
    // The next read of the table tells whether a write without an answer succeeded.
    match written.and_then(|object| members::decode_leadership_table(&object)) {
        Ok(written) => {
            log::warn!(
                holder = written.holder.as_str(), token = written.token,
                services = written.leaders.len() as u64, source = source;
                "restored the leadership table"
            );
            control.borrow_mut().apply_leadership_table(&written);
        }
        Err(error) => {
            log::info!(error:% = error; "the store did not confirm the restored leadership table");
        }
    }
}

/// Returns the leaders of all services according to their databases. Returns `None` while a
/// promotion that was requested in the previous era may be under way.
async fn ask_databases(
    control: &control::ControlCell,
    known: &leadership::LeadershipTable,
) -> Option<BTreeMap<name::ServiceName, leadership::LeaderEntry>> {
    let (services, workspace) = {
        let control = control.borrow();
        let services = control.configuration.decoded.services.keys();
        let services: Vec<_> = services
            .map(|service| (service.clone(), control.databases_of(service)))
            .collect();
        (services, control.any_workspace()?)
    };
    let mut leaders = known.leaders.clone();
    let mut are_all_settled = true;
    for (service, databases) in services {
        let statuses = fetch_statuses(databases, &workspace).await;
        if let Some(leader) = find_settled_leader(&statuses) {
            record_leader(&control.borrow(), &mut leaders, &service, leader);
        } else {
            are_all_settled = false;
            if let Some(entry) = leaders.get_mut(&service)
                && !leads(&statuses, &entry.database)
            {
                entry.phase = leadership::LeaderPhase::Replacing;
            }
        }
    }
    let has_waited = control.borrow().has_waited_for_reconciliation(clock::now());
    (are_all_settled || has_waited).then_some(leaders)
}

/// A database and the status that it reported; `None` if it did not answer.
type ReportedStatus = (catalog::DatabaseEntry, Option<database::DatabaseStatus>);

async fn fetch_statuses(
    databases: Vec<catalog::DatabaseEntry>,
    workspace: &name::WorkspaceName,
) -> Vec<ReportedStatus> {
    let mut orders = JoinSet::new();
    for entry in databases {
        let workspace = workspace.clone();
        orders.spawn_local(async move {
            let order = database::DatabaseOrder::Status;
            let status = orders::send_order(&entry, &workspace, order).await;
            (entry, status.ok())
        });
    }
    orders.join_all().await
}

/// Returns the leader if all databases agree on it and none is fenced, so that no promotion is
/// under way.
fn find_settled_leader(statuses: &[ReportedStatus]) -> Option<&name::DatabaseName> {
    let reported = statuses
        .iter()
        .map(|(entry, status)| Some((entry, (*status)?)));
    let reported: Vec<_> = reported.collect::<Option<_>>()?;
    let mut primaries = reported.iter().filter(|(_, status)| status.is_primary);
    let (leader, leader_status) = primaries.next()?;
    let is_settled = reported.iter().all(|(entry, status)| {
        let follows = !status.is_primary && status.fenced_term == 0;
        status.term == leader_status.term && (follows || entry.id == leader.id)
    });
    is_settled.then_some(&leader.id)
}

/// Returns whether a database reported that it leads, in the highest term of any that does.
fn leads(statuses: &[ReportedStatus], id: &name::DatabaseName) -> bool {
    let statuses = statuses.iter();
    let primaries = statuses.filter_map(|(entry, status)| {
        let status = status.filter(|status| status.is_primary)?;
        Some((status.term, &entry.id))
    });
    primaries.max().is_some_and(|(_, leader)| leader == id)
}

/// Enters a leader, unless the registrations name it already and the table never named another.
fn record_leader(
    control: &state::ControlState,
    leaders: &mut BTreeMap<name::ServiceName, leadership::LeaderEntry>,
    service: &name::ServiceName,
    leader: &name::DatabaseName,
) {
    let known = leaders.get(service);
    let is_registered = control.is_sole_primary(service, leader);
    if known.is_none() && is_registered {
        return;
    }
    let known_end = known.filter(|known| known.database == *leader);
    let entry = leadership::LeaderEntry {
        database: leader.clone(),
        phase: leadership::LeaderPhase::Steady,
        log_end_when_chosen: known_end.and_then(|known| known.log_end_when_chosen),
        required_end: known_end.and_then(|known| known.required_end),
        acknowledged_end: known_end.and_then(|known| known.acknowledged_end),
        order: known.and_then(|known| known.order.clone()),
    };
    leaders.insert(service.clone(), entry);
}

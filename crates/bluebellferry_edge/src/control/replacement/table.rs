//! Writes to the leadership table.

use bluebellferry_catalog::leadership;
use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::store_revision;
use rand::Rng;

use crate::control;
use crate::control::members;
use crate::control::state;

/// Returns the highest term that the leader of a service is known to lead in: the term of the
/// last observed log position or, if that is higher, one more than the last term in the
/// leader's log when it was chosen.
pub(super) fn known_term(control: &control::ControlCell, service: &name::ServiceName) -> u64 {
    let control = control.borrow();
    let observed = control.shared.latest_position(service);
    let observed = observed.map_or(1, |position| position.term);
    let entry = control.leadership_table.leaders.get(service);
    let promotion_term = entry
        .and_then(|entry| entry.log_end_when_chosen)
        .map_or(1, |position| position.term + 1);
    observed.max(promotion_term)
}

/// Returns the latest order to promote a database of a service that the table records.
pub(super) fn latest_order(
    control: &control::ControlCell,
    service: &name::ServiceName,
) -> Option<leadership::PromotionOrder> {
    let control = control.borrow();
    let entry = control.leadership_table.leaders.get(service)?;
    entry.order.clone()
}

/// Reads the leadership table from the store: a copy from another VM lacks the latest orders.
/// Returns whether the store answered.
pub(super) async fn read_from_store(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
) -> bool {
    match members::read_leadership_table(client).await {
        Ok(table) => {
            let mut control = control.borrow_mut();
            control.observe_store_era(client.era(), clock::now());
            control.apply_leadership_table(&table);
            true
        }
        Err(error) => {
            log::warn!(error:% = error; "cannot read the leadership table");
            false
        }
    }
}

/// Reads the leadership table from the store if the one in use is a copy from another VM, which lacks
/// orders: a write of such a copy would erase them. Returns whether the table in use has them.
pub(super) async fn ensure_complete(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
) -> bool {
    if !control.borrow().has_complete_table {
        read_from_store(control, client).await;
    }
    control.borrow().has_complete_table
}

/// How often a write is attempted when concurrent changes of the table make it fail.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Writes the entry of a service, and retries if another entry was changed concurrently.
/// Returns whether the store holds the entry.
pub(super) async fn write_entry(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    entry: leadership::LeaderEntry,
) -> bool {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let table_before = control.borrow().leadership_table.clone();
        if try_write_entry(control, client, service, entry.clone()).await {
            return true;
        }
        // Only a concurrent change of another service's entry is worth another attempt.
        let control = control.borrow();
        let is_unrelated_change = control.leadership_table.revision != table_before.revision
            && control.leadership_table.holder == control.own_name()
            && control.leadership_table.leaders.get(service) == table_before.leaders.get(service);
        if !is_unrelated_change {
            return false;
        }
    }
    false
}

/// Writes the entry of a service unless the table has changed in the store meanwhile.
/// Returns whether the store holds the entry.
async fn try_write_entry(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    service: &name::ServiceName,
    entry: leadership::LeaderEntry,
) -> bool {
    try_write(control, client, |control, nonce| {
        control
            .leadership_table
            .with_entry(control.own_name(), nonce, service, entry)
    })
    .await
}

/// Writes the records of the databases that the table lacks, unless the table has changed in the
/// store meanwhile. Returns whether the store holds them.
pub(super) async fn write_rosters(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
) -> bool {
    try_write(control, client, |control, nonce| {
        let rosters = control.unwritten_rosters();
        for (service, record) in &rosters {
            log::info!(
                service = service.as_str(), databases = record.databases.len() as u64,
                departed = record.departed.len() as u64,
                required_end = record.required_end.map_or_else(|| "-".to_owned(), |end| end.to_string()).as_str();
                "recording the databases that may have commits"
            );
        }
        control.leadership_table.with_rosters(nonce, rosters)
    })
    .await
}

/// Writes the table that follows the one in use, unless the table has changed in the store
/// meanwhile. Returns whether the store holds the written table.
async fn try_write(
    control: &control::ControlCell,
    client: &mut objects::ObjectClient,
    next_table: impl FnOnce(&state::ControlState, u64) -> leadership::LeadershipTable,
) -> bool {
    if !ensure_complete(control, client).await {
        return false;
    }
    let nonce = rand::rng().random();
    let (next, revision) = {
        let control = control.borrow();
        // The store may hold an older table under the revision that this VM remembers.
        if control.awaits_restoration() {
            log::warn!("the leadership table is not written before it is restored");
            return false;
        }
        let next = next_table(&control, nonce);
        (next, control.leadership_table.revision)
    };
    let value = match serde_json::to_value(&next) {
        Ok(value) => value,
        Err(error) => {
            log::error!(error:% = error; "cannot encode the leadership table");
            return false;
        }
    };
    let (kind, name) = (
        members::LEADERSHIP_TABLE_KIND,
        members::LEADERSHIP_TABLE_NAME,
    );
    let written = if revision == 0 {
        client.create(kind, name, value).await
    } else {
        let revision = store_revision::StoreRevision::from_packed(revision);
        client.replace(kind, name, revision, value).await
    };
    if let Err(error) = &written {
        log::warn!(error:% = error; "the store did not confirm a write of the leadership table");
    }
    // The answer to a successful write may be lost, so the table that the store now holds
    // tells whether it succeeded. The nonce tells this write from those of other VMs.
    let read = match written {
        Ok(object) => members::decode_leadership_table(&object),
        Err(_) => members::read_leadership_table(client).await,
    };
    match read {
        Ok(table) => {
            let mut control = control.borrow_mut();
            control.observe_store_era(client.era(), clock::now());
            control.apply_leadership_table(&table);
            table.nonce == nonce && !control.awaits_restoration()
        }
        Err(error) => {
            log::warn!(error:% = error; "cannot read the leadership table");
            false
        }
    }
}

//! Entries of the table of leaders.

use bluebellferry_catalog::leadership;
use bluebellferry_platform::objects;
use bluebellferry_types::name;
use rand::Rng;

use crate::control;
use crate::control::members;

/// Returns the term in which a leader leads, as far as it is known: from its
/// answers, or as the one after the last term in its log when it was chosen.
pub(super) fn known_term(control: &control::ControlCell, service: &name::ServiceName) -> u64 {
    let control = control.borrow();
    let seen = control.shared.last_position(service);
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
pub(super) async fn write_entry(
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
    let (kind, name) = (members::LEADER_TABLE_KIND, members::LEADER_TABLE_NAME);
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
        Ok(object) => members::decode_leader_table(&object),
        Err(_) => members::read_leader_table(client).await,
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

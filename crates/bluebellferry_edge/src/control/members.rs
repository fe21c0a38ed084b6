//! This VM's own entry in the store, the list of all VMs, and the table of leaders.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_membership::circle;
use bluebellferry_platform::objects;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::control::configuration;
use crate::control::state;

/// The kind of the VMs' entries.
const VM_KIND: &str = "bluebellferry-vms";
/// The kind and name of the table of leaders.
pub const TABLE_KIND: &str = "bluebellferry-leaders";
/// The name of the table of leaders.
pub const TABLE_NAME: &str = "table";
/// How often VMs are listed while the list changes, as at a start, and later.
const FIRST_INTERVAL: Duration = Duration::from_millis(700);
const LATER_INTERVAL: Duration = Duration::from_secs(5);
/// The shortest time between two listings.
const LEAST_INTERVAL: Duration = Duration::from_millis(300);
/// After how long a new VM uses its part although not all are known to have
/// made room: longer than the interval of listings.
const JOIN_AT_LATEST: Duration = Duration::from_millis(6_500);
/// How long a new VM waits at least: others may be starting with it that are not
/// listed yet. Longer than two listings.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long a new VM waits for members that are silent, such as the one it replaces.
const SILENT_MEMBERS_TIME: Duration = Duration::from_millis(2_500);
/// How often a new VM looks whether all have made room.
const JOIN_STEP: Duration = Duration::from_millis(100);
/// How many listings are made at the shorter interval.
const FIRST_LISTINGS: u32 = 4;
/// How often it is looked whether this VM is to list VMs for others.
const READER_STEP: Duration = Duration::from_millis(500);
/// The table is read from the store when the lease would end within this time.
const CONFIRM_BEFORE_END: Duration = Duration::from_millis(600);
/// The same where a head confirms it: another heartbeat comes before that.
const CONFIRM_BEFORE_END_OF_HEAD: Duration = Duration::from_millis(300);
/// How often it is looked whether the lease is about to end.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// How old a confirmation may be that the head of a data centre passes on: with the
/// interval of looking and the time on the way, half of the term is left.
const HEAD_CONFIRMS_AFTER: Duration = Duration::from_millis(400);

/// A VM's entry as it stands in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmEntryWire {
    address: IpAddr,
    data_centre: name::DataCentreName,
    incarnation: u64,
}

/// Registers this VM and follows the list of all VMs.
pub async fn follow(control: control::ControlCell) {
    let (settings, incarnation, wanted) = {
        let control = control.borrow();
        let wanted = Arc::clone(&control.list_members);
        let shared = &control.shared;
        (shared.settings.clone(), shared.incarnation, wanted)
    };
    let mut client = objects::ObjectClient::new(settings.store_address);
    let mut pause = configuration::RetryPause::default();
    let mut dependency = configuration::DependencyLog::new("list of VMs in the store");
    let mut listings = 0;
    loop {
        if !lists_members(&control.borrow(), listings, clock::now()) {
            tokio::time::sleep(READER_STEP).await;
            continue;
        }
        let asked = clock::now();
        match client.list(VM_KIND).await {
            Ok(listing) => {
                dependency.record_success();
                control.borrow_mut().has_store = true;
                let own = listing.objects.iter().find(|one| one.name == settings.vm);
                let was_listed = own.is_some();
                let entry = VmEntryWire {
                    address: settings.address,
                    data_centre: settings.data_centre.clone(),
                    incarnation,
                };
                if let Err(error) = register(&mut client, &settings.vm, own, &entry).await {
                    log::warn!(error:% = error; "this VM is not registered yet");
                    pause.wait().await;
                    continue;
                }
                pause.reset();
                let mut members = decode_members(&listing);
                let own = state::MemberRecord {
                    address: settings.address,
                    data_centre: settings.data_centre.clone(),
                };
                members.insert(settings.vm.clone(), own);
                let as_of = listing.revision;
                control.borrow_mut().apply_members(members, as_of, asked);
                listings += 1;
                if listings == 1 {
                    // The others know of a VM that was listed before it started.
                    note_registered(&mut control.borrow_mut(), was_listed, clock::now());
                }
                let interval = if listings <= FIRST_LISTINGS {
                    FIRST_INTERVAL
                } else {
                    LATER_INTERVAL
                };
                tokio::time::sleep(LEAST_INTERVAL).await;
                let rest = interval.saturating_sub(LEAST_INTERVAL);
                // A listing that is due anyway needs no reason.
                tokio::time::timeout(rest, wanted.notified()).await.ok();
            }
            Err(error) => {
                control.borrow_mut().has_store = false;
                dependency.record_failure(&error);
                pause.wait().await;
            }
        }
    }
}

/// Returns whether this VM lists the VMs itself. In a full exchange a lease is no longer
/// valid than the list of members, so every VM lists them; a VM that has just started
/// does so until it hears a head.
fn lists_members(control: &state::ControlState, listings: u32, now: Instant) -> bool {
    if listings <= FIRST_LISTINGS {
        return listings < 2 || !control.is_read_for(now);
    }
    control.circle.is_full_exchange() || control.reads_for_centre(now)
}

/// Notes that this VM stands in the list. One that stood there before is known to
/// all; another must let every list lapse in which it is missing before it acts.
fn note_registered(control: &mut state::ControlState, was_listed: bool, now: Instant) {
    if was_listed {
        control.acts_from = Some(now);
        control.join("listed before");
    } else {
        control.acts_from = Some(now + lease::JOIN_DELAY);
    }
}

fn decode_members(listing: &objects::ObjectListing) -> BTreeMap<String, state::MemberRecord> {
    let decode = |object: &objects::StoredObject| match VmEntryWire::deserialize(&object.value) {
        Ok(wire) => {
            let record = state::MemberRecord {
                address: wire.address,
                data_centre: wire.data_centre,
            };
            Some((object.name.clone(), record))
        }
        Err(error) => {
            log::warn!(vm = object.name.as_str(), error:% = error; "a VM's entry is skipped");
            None
        }
    };
    listing.objects.iter().filter_map(decode).collect()
}

/// Writes this VM's entry unless it stands there already.
async fn register(
    client: &mut objects::ObjectClient,
    name: &str,
    known: Option<&objects::StoredObject>,
    entry: &VmEntryWire,
) -> Result<(), objects::StoreError> {
    let undecodable =
        |error: serde_json::Error| objects::StoreError::Undecodable(error.to_string());
    let value = serde_json::to_value(entry).map_err(undecodable)?;
    let written = match known {
        Some(known) if known.value == value => return Ok(()),
        Some(known) => client.replace(VM_KIND, name, known.revision, value).await,
        None => client.create(VM_KIND, name, value).await,
    };
    written.map(|_| ())
}

/// Reads the table of leaders.
///
/// # Errors
/// Fails when the store does not answer or the table cannot be decoded.
pub async fn read_table(
    client: &mut objects::ObjectClient,
) -> Result<leadership::LeadershipTable, objects::StoreError> {
    match client.get(TABLE_KIND, TABLE_NAME).await {
        Ok(object) => decode_table(&object),
        Err(objects::StoreError::Missing) => Ok(leadership::LeadershipTable::default()),
        Err(error) => Err(error),
    }
}

/// Decodes the table of leaders.
///
/// # Errors
/// Fails when it is not of the expected form.
pub fn decode_table(
    object: &objects::StoredObject,
) -> Result<leadership::LeadershipTable, objects::StoreError> {
    let mut table = leadership::LeadershipTable::deserialize(&object.value)
        .map_err(|error| objects::StoreError::Undecodable(error.to_string()))?;
    table.revision = object.revision;
    Ok(table)
}

/// Reads the table whenever other VMs do not confirm it in time.
pub async fn confirm_table(control: control::ControlCell) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    let mut pause = configuration::RetryPause::default();
    let mut dependency = configuration::DependencyLog::new("table of leaders in the store");
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let asked = clock::now();
        if !is_confirmation_due(&control.borrow(), asked) {
            continue;
        }
        match read_table(&mut client).await {
            Ok(table) => {
                dependency.record_success();
                pause.reset();
                let mut control = control.borrow_mut();
                control.has_store = true;
                control.apply_table(&table);
                control.lease.record_store(asked, table.revision);
                control.publish();
                if control.confirms_for_others(asked) {
                    control.news.notify_one();
                }
            }
            Err(error) => {
                control.borrow_mut().has_store = false;
                dependency.record_failure(&error);
                pause.wait().await;
            }
        }
    }
}

fn is_confirmation_due(control: &state::ControlState, now: Instant) -> bool {
    // Whoever replaces a leader waits for the VMs that are listed.
    if !control.members.contains_key(control.own_name()) {
        return false;
    }
    let valid_until = control.lease.valid_until();
    let before_end = if control.relies_on_head(now) {
        CONFIRM_BEFORE_END_OF_HEAD
    } else {
        CONFIRM_BEFORE_END
    };
    let is_ending = valid_until.is_none_or(|until| until <= now + before_end);
    let confirmed = control.lease.store_confirmed();
    let is_old = confirmed
        .is_none_or(|confirmed| now.saturating_duration_since(confirmed) >= HEAD_CONFIRMS_AFTER);
    is_ending || (control.confirms_for_others(now) && is_old)
}

/// Returns whether a new VM may use its part: all others that are heard count it
/// as a member. A silent one keeps a part that is a little too large; that is
/// within what limits allow as long as most have shrunk theirs.
pub fn may_join(waited: Duration, heard: usize, others: usize, is_known_to_all: bool) -> bool {
    let has_heard_all = waited >= SETTLE_TIME && heard >= others;
    let has_heard_most = waited >= SILENT_MEMBERS_TIME && heard * 2 > others;
    waited >= JOIN_AT_LATEST || (is_known_to_all && (has_heard_all || has_heard_most))
}

/// Waits until the other VMs have made room for this one.
pub async fn join(control: control::ControlCell) {
    let mut registered = None;
    loop {
        tokio::time::sleep(JOIN_STEP).await;
        let now = clock::now();
        let mut control = control.borrow_mut();
        if control.has_joined {
            return;
        }
        if !control.members.contains_key(control.own_name()) {
            continue;
        }
        let since = *registered.get_or_insert(now);
        let waited = now.saturating_duration_since(since);
        let heard = control.live_peers(now).count();
        let mut others = control.group().count().saturating_sub(1);
        if !control.circle.is_full_exchange() {
            others = others.min(circle::NEAR_CHOICES);
        }
        if may_join(waited, heard, others, control.is_known_to_all(now)) {
            control.join("registered anew");
        }
    }
}

//! Registers this VM in the store, and reads the list of all VMs and the leadership table
//! from there.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_membership::topology;
use bluebellferry_platform::objects;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

use crate::control;
use crate::control::configuration;
use crate::control::restoration;
use crate::control::state;
use crate::control::store_gate;

/// The kind of the VMs' entries in the store.
const VM_KIND: &str = "bluebellferry-vms";
/// The kind of the leadership table in the store.
pub const LEADERSHIP_TABLE_KIND: &str = "bluebellferry-leaders";
/// The name of the leadership table in the store.
pub const LEADERSHIP_TABLE_NAME: &str = "table";
/// The interval between the first listings of the VMs, while the list may still change.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(700);
/// The interval between later listings of the VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// The shortest delay between two listings.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(300);
/// The longest time that a new VM waits before it uses its allocation, even if not all
/// other VMs are known to have reduced theirs. Longer than [`LIST_INTERVAL`].
const MAX_JOIN_DELAY: Duration = Duration::from_millis(6_500);
/// The shortest time that a new VM waits before it uses its allocation, as other VMs that
/// start at the same time may not be listed yet. Longer than two initial list intervals.
const MIN_JOIN_DELAY: Duration = Duration::from_millis(1_500);
/// How long a new VM waits for unresponsive members, such as the VM that it replaces.
const UNRESPONSIVE_MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How often a new VM checks whether the other VMs have reduced their allocations for it.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many listings are made at the initial interval.
const INITIAL_LISTINGS: u32 = 4;
/// How often this VM checks whether it has become the one that lists the VMs for others.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The table of leaders is read from the store if the lease would expire within this time.
const RENEWAL_MARGIN: Duration = Duration::from_millis(600);
/// The renewal margin where a coordinator confirms the lease: the next heartbeat of the
/// coordinator usually arrives before that.
const COORDINATOR_RENEWAL_MARGIN: Duration = Duration::from_millis(300);
/// How often this VM checks whether the lease is about to expire.
const RENEWAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The age from which a coordinator reads the table again to renew the confirmation that it
/// gives to its data centre. With the check interval and the latency added, half of the
/// lease duration is left when the confirmation arrives.
const COORDINATOR_RENEWAL_AGE: Duration = Duration::from_millis(400);

/// A VM's entry in the store.
#[derive(Debug, Serialize, Deserialize)]
struct VmEntryWire {
    address: IpAddr,
    data_centre: name::DataCentreName,
    incarnation: u64,
}

/// Registers this VM in the store and keeps the list of all VMs up to date until the
/// process ends.
pub async fn keep_up_to_date(control: control::ControlCell) {
    let (settings, incarnation, trigger) = {
        let control = control.borrow();
        let trigger = Arc::clone(&control.member_list_trigger);
        let shared = &control.shared;
        (shared.settings.clone(), shared.incarnation, trigger)
    };
    let mut client = objects::ObjectClient::new(settings.store_address);
    let mut backoff = configuration::RetryBackoff::default();
    let mut dependency = configuration::DependencyLog::new("list of VMs in the store");
    let mut listings = 0;
    loop {
        if !lists_members(&control.borrow(), listings, clock::now()) {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        if !store_gate::enter(&control, |control, now| {
            lists_members(control, listings, now)
        })
        .await
        {
            continue;
        }
        let requested_at = clock::now();
        let listed = client.list(VM_KIND).await;
        store_gate::record(&control, &listed);
        control
            .borrow_mut()
            .observe_store_era(client.era(), clock::now());
        match listed {
            Ok(listing) => {
                dependency.record_success();
                control.borrow_mut().is_store_reachable = true;
                let own_object = listing
                    .objects
                    .iter()
                    .find(|object| object.name == settings.vm);
                let was_listed = own_object.is_some();
                let entry = VmEntryWire {
                    address: settings.address,
                    data_centre: settings.data_centre.clone(),
                    incarnation,
                };
                if let Err(error) =
                    write_own_entry(&mut client, &settings.vm, own_object, &entry).await
                {
                    log::warn!(error:% = error; "registering this VM in the store failed, retrying");
                    backoff.wait().await;
                    continue;
                }
                backoff.reset();
                let mut members = decode_members(&listing);
                let own_record = state::MemberRecord {
                    address: settings.address,
                    data_centre: settings.data_centre.clone(),
                };
                members.insert(settings.vm.clone(), own_record);
                let revision = listing.revision.packed();
                {
                    let mut control = control.borrow_mut();
                    control.must_register = false;
                    control.apply_members(members, revision, requested_at);
                }
                listings += 1;
                if listings == 1 {
                    // The other VMs already know a VM that was listed before it started.
                    record_registration(&mut control.borrow_mut(), was_listed, clock::now());
                }
                let interval = if listings <= INITIAL_LISTINGS {
                    INITIAL_LIST_INTERVAL
                } else {
                    LIST_INTERVAL
                };
                tokio::time::sleep(MIN_LIST_INTERVAL).await;
                let remaining = interval.saturating_sub(MIN_LIST_INTERVAL);
                // The timeout is not an error: the next regular listing is due then.
                tokio::time::timeout(remaining, trigger.notified())
                    .await
                    .ok();
            }
            Err(error) => {
                control.borrow_mut().is_store_reachable = false;
                dependency.record_failure(&error);
                backoff.wait().await;
            }
        }
    }
}

/// Returns whether this VM lists the VMs itself.
///
/// In a full mesh every VM does, since its lease expires with its list of members at the
/// latest. Otherwise the coordinators do, and a VM that has just started until it receives a
/// heartbeat from its coordinator.
fn lists_members(control: &state::ControlState, listings: u32, now: Instant) -> bool {
    if control.must_register {
        return true;
    }
    if listings <= INITIAL_LISTINGS {
        return listings == 0 || !control.is_store_read_by_coordinator(now);
    }
    control.topology.is_full_mesh() || control.reads_store_lists(now)
}

/// Records that this VM is listed. If it was listed before, all other VMs know it.
/// Otherwise it must not act before every list without it has expired on the other VMs.
fn record_registration(control: &mut state::ControlState, was_listed: bool, now: Instant) {
    if was_listed {
        control.listed_everywhere_from = Some(now);
        control.join_group("listed before");
    } else {
        control.listed_everywhere_from = Some(now + lease::JOIN_DELAY);
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
            log::warn!(vm = object.name.as_str(), error:% = error; "ignoring a VM's entry in the store that cannot be decoded");
            None
        }
    };
    listing.objects.iter().filter_map(decode).collect()
}

/// Writes this VM's entry to the store unless `listed`, the entry that the store lists, names the
/// same address and data centre. An earlier process of this VM may have written that entry.
async fn write_own_entry(
    client: &mut objects::ObjectClient,
    name: &str,
    listed: Option<&objects::StoredObject>,
    entry: &VmEntryWire,
) -> Result<(), objects::StoreError> {
    let undecodable =
        |error: serde_json::Error| objects::StoreError::Undecodable(error.to_string());
    let value = serde_json::to_value(entry).map_err(undecodable)?;
    let written = match listed {
        Some(listed) if is_same_place(listed, entry) => return Ok(()),
        Some(listed) => client.replace(VM_KIND, name, listed.revision, value).await,
        None => client.create(VM_KIND, name, value).await,
    };
    written.map(|_| ())
}

/// Returns whether the store lists a VM at the place that its entry names.
fn is_same_place(listed: &objects::StoredObject, entry: &VmEntryWire) -> bool {
    VmEntryWire::deserialize(&listed.value).is_ok_and(|listed| {
        listed.address == entry.address && listed.data_centre == entry.data_centre
    })
}

/// Reads the leadership table from the store. A missing table counts as an empty one. The table may
/// have been written in an earlier era of the store; such a table is not to be relied on.
///
/// # Errors
/// Fails if the store does not answer or the table cannot be decoded.
pub async fn read_leadership_table(
    client: &mut objects::ObjectClient,
) -> Result<leadership::LeadershipTable, objects::StoreError> {
    match client
        .get(LEADERSHIP_TABLE_KIND, LEADERSHIP_TABLE_NAME)
        .await
    {
        Ok(object) => decode_leadership_table(&object),
        Err(objects::StoreError::Missing) => Ok(leadership::LeadershipTable::default()),
        Err(error) => Err(error),
    }
}

/// Decodes the leadership table.
///
/// # Errors
/// Fails if the object does not hold a leadership table.
pub fn decode_leadership_table(
    object: &objects::StoredObject,
) -> Result<leadership::LeadershipTable, objects::StoreError> {
    let mut table = leadership::LeadershipTable::deserialize(&object.value)
        .map_err(|error| objects::StoreError::Undecodable(error.to_string()))?;
    table.revision = object.revision.packed();
    Ok(table)
}

/// Reads the leadership table from the store whenever no other VM has confirmed it in time
/// to renew the lease.
pub async fn confirm_leadership_table(control: control::ControlCell) {
    let address = control.borrow().shared.settings.store_address;
    let mut client = objects::ObjectClient::new(address);
    let mut backoff = configuration::RetryBackoff::default();
    let mut dependency = configuration::DependencyLog::new("table of leaders in the store");
    loop {
        tokio::time::sleep(RENEWAL_CHECK_INTERVAL).await;
        if !store_gate::enter(&control, is_confirmation_due).await {
            continue;
        }
        let requested_at = clock::now();
        let read = read_leadership_table(&mut client).await;
        store_gate::record(&control, &read);
        match read {
            Ok(table) => {
                dependency.record_success();
                backoff.reset();
                let is_of_current_era = {
                    let mut control = control.borrow_mut();
                    control.is_store_reachable = true;
                    control.observe_store_era(client.era(), clock::now());
                    table.is_of_era(control.store_era())
                };
                if !is_of_current_era {
                    restoration::restore_table(&control, &mut client, &table).await;
                    continue;
                }
                let mut control = control.borrow_mut();
                control.apply_leadership_table(&table);
                control
                    .lease
                    .record_store_confirmation(requested_at, table.revision);
                control.publish_snapshot();
                if control.confirms_leaders_for_centre(requested_at) {
                    control.heartbeat_trigger.notify_one();
                }
            }
            Err(error) => {
                control.borrow_mut().is_store_reachable = false;
                dependency.record_failure(&error);
                backoff.wait().await;
            }
        }
    }
}

fn is_confirmation_due(control: &state::ControlState, now: Instant) -> bool {
    // A VM that replaces a leader waits only for the leases of listed VMs.
    if !control.members.contains_key(control.own_name()) {
        return false;
    }
    let valid_until = control.lease.valid_until();
    let margin = if control.relies_on_coordinator(now) {
        COORDINATOR_RENEWAL_MARGIN
    } else {
        RENEWAL_MARGIN
    };
    let is_expiring = valid_until.is_none_or(|until| until <= now + margin);
    let confirmed_at = control.lease.store_confirmed_at();
    let is_old = confirmed_at
        .is_none_or(|time| now.saturating_duration_since(time) >= COORDINATOR_RENEWAL_AGE);
    let restores_table = control.awaits_restoration() && control.topology.is_coordinator(now);
    is_expiring || restores_table || (control.confirms_leaders_for_centre(now) && is_old)
}

/// Returns whether a new VM may use its allocation.
///
/// It may once all responsive VMs count it as a member (`is_listed_by_live_vms`) and enough of the
/// `others` are responsive, or after `MAX_JOIN_DELAY`. An unresponsive VM keeps an
/// allocation that is a little too large, which the limits tolerate as long as most VMs have
/// reduced theirs.
pub fn may_join(
    waited: Duration,
    responsive: usize,
    others: usize,
    is_listed_by_live_vms: bool,
) -> bool {
    let are_all_responsive = waited >= MIN_JOIN_DELAY && responsive >= others;
    let are_most_responsive = waited >= UNRESPONSIVE_MEMBER_TIMEOUT && responsive * 2 > others;
    waited >= MAX_JOIN_DELAY
        || (is_listed_by_live_vms && (are_all_responsive || are_most_responsive))
}

/// Waits until the other VMs have reduced their allocations for this one, and then lets it
/// use its own.
pub async fn wait_to_join_group(control: control::ControlCell) {
    let mut registered_at = None;
    loop {
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
        let now = clock::now();
        let mut control = control.borrow_mut();
        if control.has_joined {
            return;
        }
        if !control.members.contains_key(control.own_name()) {
            continue;
        }
        let registered_at = *registered_at.get_or_insert(now);
        let waited = now.saturating_duration_since(registered_at);
        let responsive = control.live_peers(now).count();
        let mut others = control.group_members().count().saturating_sub(1);
        if !control.topology.is_full_mesh() {
            others = others.min(topology::OWN_CENTRE_TARGETS);
        }
        if may_join(
            waited,
            responsive,
            others,
            control.is_listed_by_live_vms(now),
        ) {
            control.join_group("registered anew");
        }
    }
}

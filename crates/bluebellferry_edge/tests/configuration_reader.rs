//! How a VM reads the configuration from the store while a coordinator reads for it.

#[path = "fixtures/settings.rs"]
mod fixtures;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_edge::control;
use bluebellferry_edge::control::configuration;
use bluebellferry_edge::control::metrics;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_runtime::clock;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::store;
use bluebellferry_types::name;

/// The number of VMs, all in one data centre; too many for a full mesh.
const VMS: u8 = 18;
/// The time that is left for a VM to read a configuration that another VM announces: the platform
/// allows large fleets 5 s, of which a coordinator needs up to 3 s if its own watch is lost.
const MAX_READ_TIME: Duration = Duration::from_secs(2);
/// A configuration of this size is not copied from another VM, in bytes.
const LARGE_CONFIGURATION_BYTES: u32 = 1_000_000;

fn vm(index: u8) -> String {
    format!("vm-{index}")
}

fn data_centre() -> name::DataCentreName {
    name::DataCentreName::try_from("amman-a").expect("a valid name")
}

/// Returns the VM names in the order of their ranks, the coordinator first.
fn ranked_vms() -> Vec<String> {
    let mut vms: Vec<String> = (0..VMS).map(vm).collect();
    vms.sort_by_key(|vm| topology::rank(vm).0);
    vms
}

/// Returns the state of a VM that is not the coordinator and has received every kind of object.
fn control_cell(store: SocketAddr) -> control::ControlCell {
    let settings = fixtures::settings(&ranked_vms()[3], data_centre(), store);
    let (shared, _evidence) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    let member = |index: u8| {
        let record = state::MemberRecord {
            address: IpAddr::V4(Ipv4Addr::new(127, 0, 0, index + 1)),
            data_centre: data_centre(),
        };
        (vm(index), record)
    };
    let members: BTreeMap<_, _> = (0..VMS).map(member).collect();
    control.apply_members(members, 5, clock::now());
    control.versions.databases = 4;
    control.is_store_reachable = true;
    Rc::new(RefCell::new(control))
}

fn receive_coordinator_heartbeat(control: &mut state::ControlState, number: u64) {
    let now = clock::now();
    let heartbeat = heartbeat::FleetHeartbeat {
        vm: ranked_vms()[0].clone(),
        is_coordinator: true,
        is_store_reachable: true,
        ..heartbeat::FleetHeartbeat::default()
    };
    control
        .topology
        .record_heartbeat_from(&heartbeat.vm, false, false, now);
    control.record_peer_heartbeat((1, number), heartbeat, Some(now), now);
}

/// Delivers heartbeats of a coordinator that reads the store, until the test ends.
async fn receive_coordinator_heartbeats(cell: control::ControlCell) {
    for number in 1.. {
        receive_coordinator_heartbeat(&mut cell.borrow_mut(), number);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn wait_for_version(cell: &control::ControlCell, version: u64) {
    while cell.borrow().versions.configuration != version {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn start_store() -> (Arc<store::StandinStore>, SocketAddr) {
    let store = Arc::new(store::StandinStore::default());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = Arc::clone(&store).serve(any_port).await;
    (store, address.expect("the store is served"))
}

// Guards against a VM that waits as long as for a change that has not happened yet when it reads a
// configuration that its coordinator has announced, and the answer is lost.
#[tokio::test]
async fn an_announced_configuration_is_read_in_time_although_an_answer_is_lost() {
    let (store, address) = start_store().await;
    deployment::deploy_configuration(&store, deployment::configuration(1, &["a"], 200.0));
    let cell = control_cell(address);
    let shared = Arc::clone(&cell.borrow().shared);
    let metrics = metrics::ConfigurationMetrics::new(&prometheus::Registry::new(), &shared);
    let metrics = metrics.expect("the metrics are registered");
    let local = tokio::task::LocalSet::new();
    local.spawn_local(receive_coordinator_heartbeats(Rc::clone(&cell)));
    local.spawn_local(configuration::keep_up_to_date(Rc::clone(&cell), metrics));
    let reading = async {
        wait_for_version(&cell, 1).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let announced = heartbeat::StoreVersions {
            configuration: 2,
            configuration_bytes: LARGE_CONFIGURATION_BYTES,
            ..heartbeat::StoreVersions::default()
        };
        assert!(cell.borrow().is_store_read_by_coordinator(clock::now()));
        assert!(cell.borrow().reads_configuration_from_store(announced));
        store.set_loses_watch_answers(true);
        deployment::deploy_configuration(&store, deployment::configuration(2, &["b"], 200.0));
        let announced_at = Instant::now();
        cell.borrow().configuration_read_trigger.notify_one();
        tokio::time::sleep(Duration::from_millis(100)).await;
        store.set_loses_watch_answers(false);
        wait_for_version(&cell, 2).await;
        announced_at.elapsed()
    };
    let elapsed = local.run_until(reading).await;
    assert!(elapsed < MAX_READ_TIME, "{elapsed:?}");
}

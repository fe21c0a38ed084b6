//! A fleet of real processes with more VMs than form a full mesh of heartbeats.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;
use bluebellferry_standin_platform::deployment::run_successfully;

type Deployment = deployment::StandinDeployment;

fn program() -> &'static std::path::Path {
    std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"))
}

/// The number of VMs: more than the 16 that form a full mesh of heartbeats.
const VMS: u8 = 18;

/// Repeats a write and a read that must return it, through one VM for the given time.
async fn write_and_read(deployment: &Deployment, vm: u8, time: Duration) {
    let mut caller = deployment
        .open_caller(vm, "counter", KEY)
        .await
        .expect("the caller connects");
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < time {
        number += 1;
        let data = format!("v{vm}n{number}");
        run_successfully(&mut caller, &format!("WRITE boots{vm} {data}")).await;
        let rows = run_successfully(&mut caller, &format!("READ boots{vm}")).await;
        assert_eq!(rows[0], data);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_fleet_with_coordinators_serves_during_a_store_outage() {
    let mut deployment = Deployment::prepare(program()).await;
    deployment.data_centres = 3;
    deployment.start_vms(VMS).await;
    // Time for leases, allocations and the coordinators of the data centres to settle.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = deployment.store.call_count();
    let second = Duration::from_secs(1);
    tokio::time::sleep(3 * second).await;
    let per_second = (deployment.store.call_count() - calls) as f64 / 3.0;
    // The calls are the confirmations of two coordinators, and two listings and a watch for
    // each data centre. If each VM read the store itself, there would be over 20 per second.
    assert!(per_second <= 15.0, "{per_second} calls a second");
    for vm in 0..3 {
        write_and_read(&deployment, vm, second).await;
    }
    deployment.store.set_unavailable(true);
    tokio::time::sleep(2 * second).await;
    for vm in 0..3 {
        write_and_read(&deployment, vm, second).await;
    }
}

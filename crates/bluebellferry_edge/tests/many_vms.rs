//! More VMs than exchange heartbeats all with all, as real processes.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;
use bluebellferry_standin_platform::deployment::run_successfully;

type Deployment = deployment::StandinDeployment;

fn program() -> &'static std::path::Path {
    std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"))
}

/// More VMs than exchange heartbeats all with all.
const MANY: u8 = 18;

/// Has a VM's caller write and read what it wrote, for some time.
async fn write_and_read(deployment: &Deployment, vm: u8, time: Duration) {
    let mut caller = deployment
        .caller(vm, "counter", KEY)
        .await
        .expect("it connects");
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
async fn many_vms_serve_through_heads_while_the_store_is_away() {
    let mut deployment = Deployment::prepare(program()).await;
    deployment.data_centres = 3;
    deployment.start_vms(MANY).await;
    // Leases and parts settle, and heads know their data centres.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = deployment.store.calls();
    let second = Duration::from_secs(1);
    tokio::time::sleep(3 * second).await;
    let per_second = (deployment.store.calls() - calls) as f64 / 3.0;
    // Two heads' confirmations, two lists and a watch for each data centre; each VM by
    // itself would make over twenty.
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

//! Leaders that are gone although their entries, or others at their addresses, remain.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

/// How long a service may stay without a leader.
const REPLACED_WITHIN: Duration = Duration::from_secs(8);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

async fn connect(deployment: &deployment::StandinDeployment) -> caller::StandinCaller {
    let caller = deployment.caller(0, "counter", KEY).await;
    caller.expect("it connects")
}

/// Has a write run again until it is acknowledged.
async fn is_written_soon(deployment: &deployment::StandinDeployment, text: &str) {
    let started = Instant::now();
    loop {
        let mut caller = connect(deployment).await;
        let answer = deployment::run(&mut caller, text).await;
        if answer.refusal.is_none() {
            return;
        }
        assert!(started.elapsed() < REPLACED_WITHIN, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_is_no_longer_registered_is_replaced() {
    let deployment = start(2).await;
    is_written_soon(&deployment, "WRITE boots first").await;
    deployment.store.remove("servers", "i-a");
    // It is gone once no VM lists it any more.
    tokio::time::sleep(Duration::from_secs(2)).await;
    is_written_soon(&deployment, "WRITE boots second").await;
    assert_eq!(deployment.group.written("boots"), ["first", "second"]);
    assert!(!deployment.group.promotions().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_whose_address_another_database_took_is_replaced() {
    let deployment = start(2).await;
    is_written_soon(&deployment, "WRITE boots first").await;
    deployment.group.restart_empty(0, "i-other");
    is_written_soon(&deployment, "WRITE boots second").await;
    assert_eq!(deployment.group.written("boots"), ["first", "second"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_came_back_empty_serves_no_read_and_is_replaced() {
    let deployment = start(2).await;
    is_written_soon(&deployment, "WRITE boots first").await;
    deployment.group.restart_empty(0, "i-a");
    let started = Instant::now();
    let mut served = 0;
    while served < 5 {
        let mut caller = connect(&deployment).await;
        let answer = deployment::run(&mut caller, "READ boots").await;
        if answer.refusal.is_none() {
            assert_eq!(answer.rows, ["first"]);
            served += 1;
        }
        assert!(started.elapsed() < REPLACED_WITHIN, "{answer:?}");
    }
    is_written_soon(&deployment, "WRITE boots second").await;
    assert_eq!(deployment.group.written("boots"), ["first", "second"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_falls_silent_while_it_leaves_is_replaced() {
    let deployment = start(2).await;
    is_written_soon(&deployment, "WRITE boots first").await;
    let entry = deployment.store.value("servers", "i-a");
    let mut entry = entry.expect("it is registered");
    entry["State"] = "draining".into();
    deployment.store.put("servers", "i-a", entry);
    deployment.group.set_unresponsive(0, true);
    is_written_soon(&deployment, "WRITE boots second").await;
    assert_eq!(deployment.group.written("boots"), ["first", "second"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_came_back_under_another_identity_holds_up_no_replacement() {
    let deployment = start(2).await;
    is_written_soon(&deployment, "WRITE boots first").await;
    let entry = deployment.store.value("servers", "i-a");
    // One replica is lost with it, so that its own log has to tell what was acknowledged.
    deployment.group.set_unresponsive(1, true);
    deployment.group.set_unresponsive(0, true);
    let mut caller = connect(&deployment).await;
    deployment::run(&mut caller, "WRITE boots refused").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.store.remove("servers", "i-a");
    deployment.group.restart_with_log_and_role(0, "i-a2");
    let entry = entry.expect("it is registered");
    deployment.store.put("servers", "i-a2", entry);
    is_written_soon(&deployment, "WRITE boots second").await;
    let written = deployment.group.written("boots");
    assert!(written.starts_with(&["first".to_owned()]), "{written:?}");
    assert_eq!(written.last().map(String::as_str), Some("second"));
}

//! A VM that is gone for good, and settings that change without a signal.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

/// The file is looked at every 2 s.
const LOOKED_AT_WITHIN: Duration = Duration::from_millis(2_200);
/// Well under the 3 s for which a transaction may be idle.
const STATEMENT_PAUSE: Duration = Duration::from_millis(200);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

/// Has a statement run again until it is not refused.
async fn is_served_soon(caller: &mut caller::StandinCaller, text: &str, most: Duration) {
    let started = Instant::now();
    loop {
        let answer = deployment::run(caller, text).await;
        if answer.refusal.is_none() {
            return;
        }
        assert!(started.elapsed() < most, "{text}: {answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_is_gone_for_good_holds_up_nobody() {
    let mut deployment = start(3).await;
    let caller = deployment.caller(0, "counter", KEY).await;
    let mut caller = caller.expect("it connects");
    let soon = Duration::from_secs(2);
    is_served_soon(&mut caller, "WRITE boots first", soon).await;
    for index in [1, 2] {
        let mut lost = deployment.vms.remove(1);
        lost.kill().expect("it runs");
        lost.wait().expect("it ends");
        // It stays in the list of VMs and vouches for nobody any more.
        is_served_soon(&mut caller, "READ boots", soon).await;
        is_served_soon(&mut caller, &format!("WRITE boots w{index}"), soon).await;
    }
    // Nor does the store confirm leaders for a while.
    deployment.store.set_unavailable(true);
    let down = Instant::now();
    while down.elapsed() < Duration::from_secs(4) {
        is_served_soon(&mut caller, "READ boots", soon).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    deployment.store.set_unavailable(false);
    // A leader is replaced without them.
    deployment.group.set_unresponsive(0, true);
    is_served_soon(&mut caller, "WRITE boots last", Duration::from_secs(10)).await;
    assert_eq!(
        deployment.group.written("boots"),
        ["first", "w1", "w2", "last"]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_that_change_without_a_signal_end_no_session() {
    let deployment = start(1).await;
    let caller = deployment.caller(0, "counter", KEY).await;
    let mut caller = caller.expect("it connects");
    deployment::run_successfully(&mut caller, "BEGIN").await;
    deployment::run_successfully(&mut caller, "WRITE boots kept").await;
    let file = deployment.settings_file(0);
    let before = std::fs::read_to_string(&file).expect("it was written");
    let changed = before.replace("\"grace_s\":3.0", "\"grace_s\":4.0");
    assert_ne!(before, changed);
    // Changed, then damaged, then as before.
    for text in [changed.as_str(), "{", before.as_str()] {
        std::fs::write(&file, text).expect("it can be written");
        let written = Instant::now();
        while written.elapsed() < LOOKED_AT_WITHIN {
            deployment::run_successfully(&mut caller, "READ boots").await;
            tokio::time::sleep(STATEMENT_PAUSE).await;
        }
        deployment::run_successfully(&mut caller, "READ boots").await;
        assert_eq!(deployment.readiness(0).await, Some(200));
    }
    deployment::run_successfully(&mut caller, "COMMIT").await;
    assert_eq!(deployment.group.written("boots"), ["kept"]);
}

//! VMs that are lost for good, and settings files that change without a reload signal.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

/// The settings file is checked for changes every 2 s.
const SETTINGS_CHECK_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The pause between statements: well under the 3 s for which a transaction may be idle.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(200);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

/// Retries a statement until it is not refused; panics if that takes longer than `timeout`.
async fn run_until_served(caller: &mut caller::StandinCaller, text: &str, timeout: Duration) {
    let started = Instant::now();
    loop {
        let answer = deployment::run(caller, text).await;
        if answer.refusal.is_none() {
            return;
        }
        assert!(started.elapsed() < timeout, "{text}: {answer:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vms_lost_for_good_block_no_other_vm() {
    let mut deployment = start(3).await;
    let caller = deployment.open_caller(0, "counter", KEY).await;
    let mut caller = caller.expect("the caller connects");
    let timeout = Duration::from_secs(2);
    run_until_served(&mut caller, "WRITE boots first", timeout).await;
    for index in [1, 2] {
        let mut lost = deployment.vms.remove(1);
        lost.kill().expect("the process runs");
        lost.wait().expect("the process ends");
        // The lost VM stays in the list of VMs but confirms no lease any more.
        run_until_served(&mut caller, "READ boots", timeout).await;
        run_until_served(&mut caller, &format!("WRITE boots w{index}"), timeout).await;
    }
    // Neither the lost VMs nor the store confirm the lease now, for longer than it lasts, so
    // the remaining VM has to confirm the leader by probes.
    deployment.store.set_unavailable(true);
    let down_since = Instant::now();
    while down_since.elapsed() < Duration::from_secs(4) {
        run_until_served(&mut caller, "READ boots", timeout).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    deployment.store.set_unavailable(false);
    // The remaining VM replaces the leader without the lost ones.
    deployment.group.set_unresponsive(0, true);
    run_until_served(&mut caller, "WRITE boots last", Duration::from_secs(10)).await;
    assert_eq!(
        deployment.group.logged_values("boots"),
        ["first", "w1", "w2", "last"]
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_of_the_settings_file_end_no_session() {
    let deployment = start(1).await;
    let caller = deployment.open_caller(0, "counter", KEY).await;
    let mut caller = caller.expect("the caller connects");
    deployment::run_successfully(&mut caller, "BEGIN").await;
    deployment::run_successfully(&mut caller, "WRITE boots kept").await;
    let file = deployment.settings_file(0);
    let before = std::fs::read_to_string(&file).expect("the settings file exists");
    let changed = before.replace("\"grace_s\":3.0", "\"grace_s\":4.0");
    assert_ne!(before, changed);
    // The file is changed, then damaged, then restored.
    for text in [changed.as_str(), "{", before.as_str()] {
        std::fs::write(&file, text).expect("the settings file can be written");
        let written_at = Instant::now();
        while written_at.elapsed() < SETTINGS_CHECK_TIMEOUT {
            deployment::run_successfully(&mut caller, "READ boots").await;
            tokio::time::sleep(STATEMENT_INTERVAL).await;
        }
        deployment::run_successfully(&mut caller, "READ boots").await;
        assert_eq!(deployment.fetch_readiness(0).await, Some(200));
    }
    deployment::run_successfully(&mut caller, "COMMIT").await;
    assert_eq!(deployment.group.logged_values("boots"), ["kept"]);
}

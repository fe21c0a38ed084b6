//! VM processes with a store that loses answers, delays writes, hides changes from watches
//! and holds entries of other writers.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

async fn connect(deployment: &deployment::StandinDeployment, vm: u8) -> caller::StandinCaller {
    let caller = deployment.open_caller(vm, "counter", KEY).await;
    caller.expect("the caller connects")
}

/// Retries a write until it is acknowledged and returns how long that took. Panics if it
/// takes longer than `limit`.
async fn write(
    deployment: &deployment::StandinDeployment,
    text: &str,
    limit: Duration,
) -> Duration {
    let started = Instant::now();
    loop {
        let mut caller = connect(deployment, 0).await;
        let answer = deployment::run(&mut caller, text).await;
        if answer.refusal.is_none() {
            return started.elapsed();
        }
        assert!(started.elapsed() < limit, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn leader(deployment: &deployment::StandinDeployment) -> serde_json::Value {
    let table = deployment
        .store
        .object_value("bluebellferry-leaders", "table");
    table.expect("the leadership table exists")["leaders"]["rental"].clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_is_replaced_although_the_store_answers_no_write() {
    let deployment = start(2).await;
    write(&deployment, "WRITE boots first", Duration::from_secs(5)).await;
    deployment.store.set_loses_answers(true);
    deployment.group.set_unresponsive(0, true);
    // That covers the timeouts of two writes whose answers are lost, and the lease.
    write(&deployment, "WRITE boots second", Duration::from_secs(12)).await;
    assert_eq!(deployment.group.logged_values("boots"), ["first", "second"]);
    let promotions = deployment.group.promotion_calls();
    let tokens: Vec<u64> = promotions.iter().map(|call| call.token).collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    assert_eq!(leader(&deployment)["phase"], "steady");
}

/// Replaces a leader while the store applies the write that begins the replacement only
/// after `delay`.
async fn replace_with_delayed_write(delay: Duration) {
    let deployment = start(2).await;
    write(&deployment, "WRITE boots first", Duration::from_secs(5)).await;
    deployment.store.delay_next_write(delay);
    deployment.group.set_unresponsive(0, true);
    write(&deployment, "WRITE boots second", Duration::from_secs(15)).await;
    let new_leader = leader(&deployment);
    assert_eq!(new_leader["phase"], "steady");
    assert_ne!(new_leader["database"], "i-a");
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        let elapsed = write(&deployment, "WRITE boots more", Duration::from_secs(2)).await;
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        assert_eq!(leader(&deployment), new_leader);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_recognises_its_own_delayed_write() {
    // The delayed write is applied before the VM's next attempt, which finds it.
    replace_with_delayed_write(Duration::from_millis(2_500)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delayed_write_reverts_nothing() {
    // The delayed write arrives after the VM's next attempt, when its expected revision is
    // outdated.
    replace_with_delayed_write(Duration::from_millis(6_500)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_withdrawn_although_no_watch_reports_the_change() {
    let deployment = start(2).await;
    let mut callers = [connect(&deployment, 0).await, connect(&deployment, 1).await];
    for caller in &mut callers {
        deployment::run_successfully(caller, "WRITE boots first").await;
    }
    let next = deployment::configuration(2, &["another"], 200.0);
    deployment.store.put_without_event("config", "main", next);
    let withdrawn_at = Instant::now();
    for caller in &mut callers {
        loop {
            let answer = deployment::run(caller, "READ boots").await;
            if answer.refusal == Some(caller::CallerRefusal::KeyRefused) {
                break;
            }
            assert!(
                withdrawn_at.elapsed() < Duration::from_secs(3),
                "{answer:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// How long a VM may go without applying configurations after its connections were disturbed: the
/// shortest time that the platform allows.
const MAX_APPLY_TIME: Duration = Duration::from_secs(4);

/// Waits until every VM refuses a key, at most until [`MAX_APPLY_TIME`] after `since`.
async fn wait_until_refused(
    deployment: &deployment::StandinDeployment,
    vms: u8,
    key: &str,
    since: Instant,
) {
    for vm in 0..vms {
        while deployment.open_caller(vm, "counter", key).await.is_ok() {
            let elapsed = since.elapsed();
            assert!(
                elapsed < MAX_APPLY_TIME,
                "vm-{vm} accepts {key} after {elapsed:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

// Guards against VMs that use an outdated configuration until a watch times out whose answer was
// lost, although the store answers on new connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_applied_in_time_although_the_answers_to_all_watches_are_lost() {
    const VMS: u8 = 3;
    let deployment = start(VMS).await;
    let keys: Vec<String> = (1..=4).map(|version| format!("key-{version}")).collect();
    let mut withdrawn = KEY;
    for (version, key) in (2..).zip(&keys) {
        // The previous change has ended all watches; each VM begins the next one at once.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let lost_at = Instant::now();
        deployment.store.set_loses_watch_answers(true);
        let next = deployment::configuration(version, &[key], 200.0);
        deployment::deploy_configuration(&deployment.store, next);
        tokio::time::sleep(Duration::from_millis(100)).await;
        deployment.store.set_loses_watch_answers(false);
        wait_until_refused(&deployment, VMS, withdrawn, lost_at).await;
        withdrawn = key;
    }
}

// Guards against VMs that list the configuration again and again without a pause, and so use up
// the calls that the store allows to all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_without_history_is_read_at_a_bounded_rate() {
    /// The most calls to the store that a VM may make in a second: a twentieth of what the platform
    /// allows to six VMs.
    const MAX_CALLS_PER_SECOND: u64 = 17;
    const VMS: u8 = 2;
    const MEASURED_S: u64 = 3;
    let deployment = start(VMS).await;
    deployment.store.set_keeps_no_history(true);
    let calls_before = deployment.store.call_count();
    tokio::time::sleep(Duration::from_secs(MEASURED_S)).await;
    let calls = deployment.store.call_count() - calls_before;
    let max_calls = MAX_CALLS_PER_SECOND * u64::from(VMS) * MEASURED_S;
    assert!(calls <= max_calls, "{calls} calls, at most {max_calls}");
    let changed_at = Instant::now();
    let next = deployment::configuration(2, &["another"], 200.0);
    deployment::deploy_configuration(&deployment.store, next);
    wait_until_refused(&deployment, VMS, KEY, changed_at).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_of_other_writers_in_every_kind_are_ignored() {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    let mut deployment = deployment::StandinDeployment::prepare(program).await;
    let values = [
        serde_json::json!(null),
        serde_json::json!("text"),
        serde_json::json!([1, 2]),
        serde_json::json!({"Service": 7, "address": "nowhere", "Version": -1, "revision": "x"}),
    ];
    let kinds = [
        "servers",
        "config",
        "bluebellferry-vms",
        "bluebellferry-leaders",
    ];
    for kind in kinds {
        for (number, value) in values.iter().enumerate() {
            deployment
                .store
                .put(kind, &format!("a foreign/{number}"), value.clone());
        }
    }
    deployment.start_vms(2).await;
    write(&deployment, "WRITE boots first", Duration::from_secs(5)).await;
    // Entries of other writers are also created and changed while the fleet runs.
    for kind in kinds {
        deployment.store.put(kind, "zz", values[3].clone());
    }
    deployment.group.set_unresponsive(0, true);
    write(&deployment, "WRITE boots second", Duration::from_secs(8)).await;
    assert_eq!(deployment.group.logged_values("boots"), ["first", "second"]);
}

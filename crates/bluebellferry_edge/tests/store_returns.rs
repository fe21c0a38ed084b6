//! VM processes whose store comes back from an older copy, which lacks what they wrote since.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_edge::control::registry;
use bluebellferry_platform::objects;
use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;
use bluebellferry_standin_platform::store;
use bluebellferry_types::name;

/// How long a service may be without a working leader.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(12);
/// How long VMs may take to restore the leadership table.
const RESTORATION_TIMEOUT: Duration = Duration::from_secs(15);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

async fn connect(deployment: &deployment::StandinDeployment, vm: u8) -> caller::StandinCaller {
    let caller = deployment.open_caller(vm, "counter", KEY).await;
    caller.expect("the caller connects")
}

/// Retries a write until it is acknowledged.
async fn write_until_acknowledged(deployment: &deployment::StandinDeployment, data: &str) {
    let started = Instant::now();
    loop {
        let mut caller = connect(deployment, 0).await;
        let answer = deployment::run(&mut caller, &format!("WRITE boots {data}")).await;
        if answer.refusal.is_none() {
            return;
        }
        assert!(started.elapsed() < REPLACEMENT_TIMEOUT, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Reports that a database is draining.
fn drain(deployment: &deployment::StandinDeployment, id: &str) {
    let entry = deployment.store.object_value("servers", id);
    let mut entry = entry.expect("it is registered");
    entry["State"] = "draining".into();
    deployment.store.put("servers", id, entry);
}

/// Returns the database that leads according to the databases, or an empty text.
fn leader(deployment: &deployment::StandinDeployment) -> String {
    let reports = deployment.group.reports().into_iter();
    let primaries = reports.filter(|report| report.is_primary);
    let newest = primaries.max_by_key(|report| report.term);
    newest.map_or_else(String::new, |report| report.id)
}

async fn wait_for_leader(
    deployment: &deployment::StandinDeployment,
    is_wanted: impl Fn(&str) -> bool,
) {
    let started = Instant::now();
    while leader(deployment).is_empty() || !is_wanted(&leader(deployment)) {
        assert!(started.elapsed() < REPLACEMENT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn table(deployment: &deployment::StandinDeployment) -> serde_json::Value {
    let kind = "bluebellferry-leaders";
    let table = deployment.store.object_value(kind, "table");
    table.unwrap_or_default()
}

/// Waits until the store has a table with a token that is higher than `token`.
async fn wait_for_token_above(deployment: &deployment::StandinDeployment, token: u64) {
    let started = Instant::now();
    while table(deployment)["token"].as_u64() <= Some(token) {
        assert!(started.elapsed() < RESTORATION_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Replaces the draining leader `i-a`. Returns a copy of the store from before that.
async fn replace_first_leader(deployment: &deployment::StandinDeployment) -> store::StoreCopy {
    write_until_acknowledged(deployment, "first").await;
    let copy = deployment.store.copy();
    drain(deployment, "i-a");
    wait_for_leader(deployment, |leader| leader != "i-a").await;
    write_until_acknowledged(deployment, "second").await;
    copy
}

/// Returns the tokens of the promotion calls, with their holders, in the order of arrival.
fn promotion_tokens(deployment: &deployment::StandinDeployment) -> Vec<(u64, String)> {
    let calls = deployment.group.promotion_calls().into_iter();
    calls.map(|call| (call.token, call.holder)).collect()
}

/// Guards against a service without a leader for good: after the store had lost the leadership
/// table, no VM could write it any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_is_replaced_after_the_store_lost_the_leadership_table() {
    let deployment = start(2).await;
    let copy = replace_first_leader(&deployment).await;
    let second = leader(&deployment);
    deployment.store.come_back_from(copy);
    drain(&deployment, "i-a");
    drain(&deployment, &second);
    wait_for_leader(&deployment, |leader| leader != second).await;
    write_until_acknowledged(&deployment, "third").await;
    let written = deployment.group.logged_values("boots");
    assert_eq!(written, ["first", "second", "third"]);
    assert!(promotion_tokens(&deployment).is_sorted());
}

/// Guards against two holders that promote with one token: the tokens were counted in the table
/// that the store had lost, and all processes with a memory of it were gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tokens_rise_although_no_process_remembers_the_lost_table() {
    let mut deployment = start(3).await;
    let copy = replace_first_leader(&deployment).await;
    let second = leader(&deployment);
    deployment.store.come_back_from(copy);
    drain(&deployment, "i-a");
    for vm in &mut deployment.vms {
        vm.kill().expect("the process runs");
        vm.wait().expect("the process ends");
    }
    // The VM that promoted the first time does not come back.
    let first_holder = promotion_tokens(&deployment)[0].1.clone();
    for index in (0..3).filter(|index| format!("vm-{index}") != first_holder) {
        deployment.start_vm(index);
    }
    drain(&deployment, &second);
    wait_for_leader(&deployment, |leader| leader != second).await;
    let tokens = promotion_tokens(&deployment);
    assert!(
        tokens.windows(2).all(|pair| pair[0].0 < pair[1].0),
        "{tokens:?}"
    );
}

/// Guards against a duty that two VMs hold: the older copy names a former holder with its token.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_table_gives_no_duty_and_no_lease() {
    let deployment = start(2).await;
    write_until_acknowledged(&deployment, "first").await;
    let older = replace_first_leader(&deployment).await;
    // An older table, in which a VM that is gone holds the duty and the first leader leads.
    let mut value = table(&deployment);
    let token = value["token"].as_u64().expect("the table has a token");
    value["holder"] = "vm-9".into();
    value["leaders"]["rental"]["database"] = "i-a".into();
    deployment.store.come_back_from(older);
    deployment
        .store
        .put("bluebellferry-leaders", "table", value);
    drain(&deployment, "i-a");
    wait_for_token_above(&deployment, token).await;
    let restored = table(&deployment);
    assert_eq!(
        restored["leaders"]["rental"]["database"],
        leader(&deployment)
    );
    assert_ne!(restored["holder"], "vm-9");
}

/// Guards against refusals because the store went back: the VMs that serve go on serving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_while_the_store_comes_back() {
    let deployment = start(2).await;
    let copy = replace_first_leader(&deployment).await;
    let token = table(&deployment)["token"].as_u64().unwrap_or_default();
    deployment.store.come_back_from(copy);
    drain(&deployment, "i-a");
    let until = Instant::now() + Duration::from_secs(4);
    let (mut served, mut refused) = (0, Vec::new());
    while Instant::now() < until {
        for vm in [0, 1] {
            for text in ["READ boots", "WRITE boots more"] {
                let mut caller = connect(&deployment, vm).await;
                let answer = deployment::run(&mut caller, text).await;
                match answer.refusal {
                    None => served += 1,
                    Some(refusal) => refused.push(refusal),
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served > 50 && refused.is_empty(), "{served} {refused:?}");
    wait_for_token_above(&deployment, token).await;
}

/// Guards against stale reads: VMs that had all restarted confirmed to each other that they knew of
/// no replacement, and read at the former leader, which the older copy names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_vms_do_not_read_at_a_former_leader() {
    let mut deployment = start(2).await;
    let copy = replace_first_leader(&deployment).await;
    // The former leader does not receive its successor's log.
    deployment.group.set_replication_blocked(0, true);
    write_until_acknowledged(&deployment, "third").await;
    for vm in &mut deployment.vms {
        vm.kill().expect("the process runs");
        vm.wait().expect("the process ends");
    }
    deployment.store.come_back_from(copy);
    // The VMs hear from each other before they hear from the store.
    deployment.store.set_delay(Duration::from_millis(400));
    for index in 0..2 {
        deployment.start_vm(index);
    }
    let until = Instant::now() + Duration::from_secs(8);
    let mut served = 0;
    while Instant::now() < until {
        let Ok(mut caller) = deployment.open_caller(0, "counter", KEY).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let answer = deployment::run(&mut caller, "READ boots").await;
        if answer.refusal.is_none() {
            assert_eq!(answer.rows, ["third"]);
            served += 1;
        }
    }
    assert!(served > 0);
}

/// Serves a store at a free address.
async fn serve_store() -> (Arc<store::StandinStore>, objects::ObjectClient) {
    let store = Arc::new(store::StandinStore::default());
    let address = Arc::clone(&store).serve(([127, 0, 0, 1], 0).into()).await;
    let client = objects::ObjectClient::new(address.expect("the store listens"));
    (store, client)
}

/// Guards against missed changes: the store gave out the revision again from which a watch
/// continued, so that the watch got no answer that its history is gone.
#[tokio::test]
async fn watch_from_a_revision_that_was_given_out_again_expires() {
    let (store, mut client) = serve_store().await;
    let copy = store.copy();
    store.put("config", "main", serde_json::json!({"Version": 2}));
    let listing = client.list("config").await.expect("the store answers");
    store.come_back_from(copy);
    for version in [3, 4] {
        store.put("config", "main", serde_json::json!({ "Version": version }));
    }
    let watched = client
        .watch("config", listing.revision, Duration::ZERO)
        .await;
    assert_eq!(watched, Err(objects::StoreError::HistoryExpired));
}

/// Guards against lost changes: a write that was prepared before the store came back replaced
/// another value, whose revision the store had given out again.
#[tokio::test]
async fn write_prepared_in_an_earlier_era_is_not_sent() {
    let (store, mut client) = serve_store().await;
    let copy = store.copy();
    store.put("kind", "name", serde_json::json!("lost"));
    let read = client.get("kind", "name").await.expect("the store answers");
    store.come_back_from(copy);
    store.put("kind", "name", serde_json::json!("kept"));
    let reread = client.get("kind", "name").await.expect("the store answers");
    assert_eq!(read.revision.number(), reread.revision.number());
    assert!(read.revision < reread.revision);
    let value = serde_json::json!("late");
    let written = client.replace("kind", "name", read.revision, value).await;
    assert_eq!(written, Err(objects::StoreError::Conflict));
    let kept = store.object_value("kind", "name");
    assert_eq!(kept, Some(serde_json::json!("kept")));
}

/// Guards against statements to a database that drains: the copy from which the store came back was
/// older than the database's report.
#[test]
fn database_that_drains_keeps_draining_after_the_store_came_back() {
    let started = Instant::now();
    let entry = |is_draining, started_unix_ms| database::DatabaseEntry {
        id: name::DatabaseName::try_from("i-a").expect("a valid name"),
        started_unix_ms,
        service: name::ServiceName::try_from("rental").expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: name::DataCentreName::try_from("here").expect("a valid name"),
        max_running_statements: 3,
        is_draining,
        role: database::DatabaseRole::Replica,
        is_cold: false,
    };
    let mut retained = registry::RetainedRegistrations::default();
    retained.record_listing(vec![entry(true, 1)], started);
    retained.record_outage();
    let listed = retained.record_listing(vec![entry(false, 1)], started);
    assert!(listed[0].is_draining);
    // A database that started again under its identity does not drain.
    let listed = retained.record_listing(vec![entry(false, 2)], started);
    assert!(!listed[0].is_draining);
}

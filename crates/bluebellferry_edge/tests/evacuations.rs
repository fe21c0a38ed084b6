//! Evacuations with edge processes: a data centre's databases receive nothing more.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::contents;
use bluebellferry_standin_platform::deployment;
use serde_json::json;

async fn start() -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    let mut deployment = deployment::StandinDeployment::prepare(program).await;
    for (id, centre) in deployment::DATABASE_IDS
        .iter()
        .zip(deployment::DATA_CENTRES)
    {
        let registered = deployment
            .store
            .object_value(contents::REGISTRATION_KIND, id);
        let mut registration = registered.expect("the database is registered");
        contents::set_data_centre(&mut registration, centre);
        deployment
            .store
            .put(contents::REGISTRATION_KIND, id, registration);
    }
    deployment.start_vms(2).await;
    deployment
}

/// Writes until the service accepts a write, for at most `limit`.
async fn write_within(caller: &mut caller::StandinCaller, limit: Duration) {
    let deadline = Instant::now() + limit;
    loop {
        let answer = caller.run("WRITE boots a").await;
        if answer.is_ok_and(|answer| answer.refusal.is_none()) {
            return;
        }
        assert!(Instant::now() < deadline, "no write was accepted in time");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_evacuated_leader_is_replaced_and_its_data_centre_receives_nothing_more() {
    let deployment = start().await;
    let caller = deployment.open_caller(0, "counter", deployment::KEY);
    let mut caller = caller.await.expect("the caller connects");
    write_within(&mut caller, Duration::from_secs(2)).await;
    let transaction = deployment.open_caller(1, "counter", deployment::KEY);
    let mut transaction = transaction.await.expect("the caller connects");
    deployment::run_successfully(&mut transaction, "BEGIN").await;
    deployment::run_successfully(&mut transaction, "READ boots").await;

    deployment.store.put(
        contents::EVACUATION_KIND,
        deployment::DATA_CENTRES[0],
        json!({}),
    );
    tokio::time::sleep(Duration::from_millis(200)).await;
    write_within(&mut caller, deployment::EVACUATION_LIMIT).await;
    tokio::time::sleep(deployment::EVACUATION_LIMIT).await;
    let seen = deployment.group.received_lines_by_member().len();
    for _ in 0..10 {
        write_within(&mut caller, Duration::from_secs(1)).await;
        deployment::run_successfully(&mut caller, "READ boots").await;
    }
    let answer = deployment::run(&mut transaction, "READ boots").await;
    assert!(answer.refusal.is_some(), "{answer:?}");
    let received = deployment.group.received_lines_by_member();
    let at_evacuated = |(member, line): &&(usize, String)| *member == 0 && line.contains("QUERY");
    let late: Vec<_> = received[seen..].iter().filter(at_evacuated).collect();
    assert!(late.is_empty(), "{late:?}");

    // Once the order is taken back, the database leads again if it is the only one left.
    deployment
        .store
        .remove(contents::EVACUATION_KIND, deployment::DATA_CENTRES[0]);
    for centre in &deployment::DATA_CENTRES[1..] {
        deployment
            .store
            .put(contents::EVACUATION_KIND, centre, json!({}));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    write_within(&mut caller, deployment::EVACUATION_LIMIT).await;
    let received = deployment.group.received_lines_by_member();
    let last_write = received.iter().rfind(|(_, line)| line.contains("WRITE"));
    assert_eq!(last_write.map(|(member, _)| *member), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_are_refused_at_once_while_all_data_centres_are_evacuated() {
    let deployment = start().await;
    let caller = deployment.open_caller(0, "booking", deployment::KEY);
    let mut caller = caller.await.expect("the caller connects");
    deployment::run_successfully(&mut caller, "READ boots").await;
    for centre in deployment::DATA_CENTRES {
        deployment
            .store
            .put(contents::EVACUATION_KIND, centre, json!({}));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = Instant::now();
    let answer = deployment::run(&mut caller, "READ boots").await;
    assert!(answer.refusal.is_some(), "{answer:?}");
    assert!(started.elapsed() < Duration::from_millis(300));
    for centre in deployment::DATA_CENTRES {
        deployment.store.remove(contents::EVACUATION_KIND, centre);
    }
    write_within(&mut caller, deployment::EVACUATION_LIMIT).await;
}

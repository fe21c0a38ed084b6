//! Tests the answers to callers when a database connection breaks within an answer, or when a
//! database or the store stops answering.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

/// The maximum time until a caller is answered: the statement timeout of the stand-in's routes
/// plus an allowance of 500 ms.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500 + 500);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

async fn connect(deployment: &deployment::StandinDeployment) -> caller::StandinCaller {
    let caller = deployment.open_caller(0, "counter", KEY).await;
    caller.expect("the caller connects")
}

/// How an answer is lost.
#[derive(Debug, Clone, Copy)]
enum AnswerLoss {
    /// The connection is closed within the answer.
    Truncated,
    /// The answer never arrives.
    Missing,
}

fn lose_next_answer(deployment: &deployment::StandinDeployment, loss: AnswerLoss) {
    match loss {
        AnswerLoss::Truncated => deployment.group.truncate_next_answer(),
        AnswerLoss::Missing => deployment.group.drop_next_answer(),
    }
}

/// Runs a statement whose answer from the database is lost, and checks that the caller is
/// answered within `MAX_ANSWER_TIME`.
async fn run_with_lost_answer(
    deployment: &deployment::StandinDeployment,
    caller: &mut caller::StandinCaller,
    text: &str,
    loss: AnswerLoss,
) -> caller::CallerAnswer {
    lose_next_answer(deployment, loss);
    let started = Instant::now();
    let answer = deployment::run(caller, text).await;
    let elapsed = started.elapsed();
    assert!(elapsed < MAX_ANSWER_TIME, "{text} {loss:?}: {elapsed:?}");
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_or_commit_whose_answer_is_lost_is_in_doubt() {
    let deployment = start(1).await;
    let in_doubt = Some(caller::CallerRefusal::InDoubt);
    for loss in [AnswerLoss::Truncated, AnswerLoss::Missing] {
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "READ boots").await;
        let answer =
            run_with_lost_answer(&deployment, &mut caller, "WRITE boots single", loss).await;
        assert_eq!(answer.refusal, in_doubt, "{loss:?}");
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "BEGIN").await;
        deployment::run_successfully(&mut caller, "WRITE boots both").await;
        let answer = run_with_lost_answer(&deployment, &mut caller, "COMMIT", loss).await;
        assert_eq!(answer.refusal, in_doubt, "{loss:?}");
        assert!(!answer.is_in_transaction);
    }
    // Each write ran exactly once.
    let written = deployment.group.logged_values("boots");
    assert_eq!(written, ["single", "both", "single", "both"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_transaction_whose_connection_is_lost_is_rolled_back() {
    let deployment = start(1).await;
    for loss in [AnswerLoss::Truncated, AnswerLoss::Missing] {
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "BEGIN").await;
        deployment::run_successfully(&mut caller, "READ boots").await;
        let answer = run_with_lost_answer(&deployment, &mut caller, "WRITE boots lost", loss).await;
        // The refusal states that the transaction was rolled back.
        let Some(caller::CallerRefusal::NothingKept(line)) = answer.refusal else {
            panic!("{loss:?}: {answer:?}");
        };
        assert!(line.starts_with("ERROR ABORTED"), "{loss:?}: {line}");
        assert_eq!(
            deployment.group.logged_values("boots"),
            Vec::<String>::new()
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_whose_answer_is_lost_is_retried() {
    let deployment = start(1).await;
    let mut caller = connect(&deployment).await;
    deployment::run_successfully(&mut caller, "WRITE boots first").await;
    for loss in [AnswerLoss::Truncated, AnswerLoss::Missing] {
        let answer = run_with_lost_answer(&deployment, &mut caller, "READ boots", loss).await;
        assert_eq!(answer.refusal, None, "{loss:?}");
        assert_eq!(answer.rows, ["first"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_are_served_while_the_store_is_unresponsive() {
    let deployment = start(3).await;
    let mut caller = connect(&deployment).await;
    deployment::run_successfully(&mut caller, "WRITE boots first").await;
    deployment.store.set_unresponsive(true);
    let outage = Instant::now();
    let mut number = 0;
    while outage.elapsed() < Duration::from_secs(5) {
        number += 1;
        let written = format!("s{number}");
        deployment::run_successfully(&mut caller, &format!("WRITE boots {written}")).await;
        let rows = deployment::run_successfully(&mut caller, "READ boots").await;
        assert_eq!(rows, [written]);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A configuration stored during the outage takes effect once the store answers again.
    let next = deployment::configuration(2, &["another"], 200.0);
    deployment.store.put("config", "main", next);
    deployment.store.set_unresponsive(false);
    let recovered = Instant::now();
    loop {
        let answer = deployment::run(&mut caller, "READ boots").await;
        if answer.refusal == Some(caller::CallerRefusal::KeyRefused) {
            break;
        }
        assert!(recovered.elapsed() < Duration::from_secs(4), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a stale read after a write whose outcome is unknown: the read that looks up the
// write must not be served by a replica that has not received it yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_after_a_write_in_doubt_sees_the_write_if_it_ran() {
    let deployment = start(1).await;
    let caller = deployment.open_caller(0, "booking", KEY).await;
    let mut caller = caller.expect("the caller connects");
    deployment::run_successfully(&mut caller, "WRITE boots before").await;
    for replica in [1, 2] {
        deployment.group.set_lag(replica, Duration::from_secs(4));
    }
    // This read makes the position before the writes the latest leader position that the VM knows,
    // so that this position bounds later reads.
    let reader = deployment.open_caller(0, "counter", KEY).await;
    deployment::run_successfully(&mut reader.expect("the caller connects"), "READ boots").await;
    let answer = run_with_lost_answer(
        &deployment,
        &mut caller,
        "WRITE boots one",
        AnswerLoss::Truncated,
    )
    .await;
    assert_eq!(answer.refusal, Some(caller::CallerRefusal::InDoubt));
    assert_eq!(
        deployment::run_successfully(&mut caller, "READ boots").await,
        ["one"]
    );
    deployment::run_successfully(&mut caller, "BEGIN").await;
    deployment::run_successfully(&mut caller, "WRITE boots two").await;
    let answer =
        run_with_lost_answer(&deployment, &mut caller, "COMMIT", AnswerLoss::Truncated).await;
    assert_eq!(answer.refusal, Some(caller::CallerRefusal::InDoubt));
    assert_eq!(
        deployment::run_successfully(&mut caller, "READ boots").await,
        ["two"]
    );
}

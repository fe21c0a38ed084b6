//! What callers are told when connections end within an answer or fall silent.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

/// The statement time-out of the stand-in's routes, and what an answer takes besides.
const TOLD_WITHIN: Duration = Duration::from_millis(1_500 + 500);

async fn start(vms: u8) -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, vms).await
}

async fn connect(deployment: &deployment::StandinDeployment) -> caller::StandinCaller {
    let caller = deployment.caller(0, "counter", KEY).await;
    caller.expect("it connects")
}

/// How an answer is lost.
#[derive(Debug, Clone, Copy)]
enum AnswerLoss {
    /// The connection ends within it.
    Cut,
    /// It never comes.
    Silence,
}

fn lose_next(deployment: &deployment::StandinDeployment, loss: AnswerLoss) {
    match loss {
        AnswerLoss::Cut => deployment.group.truncate_next_answer(),
        AnswerLoss::Silence => deployment.group.drop_next_answer(),
    }
}

/// Runs a statement whose answer is lost; it must be told of in time.
async fn run_lost(
    deployment: &deployment::StandinDeployment,
    caller: &mut caller::StandinCaller,
    text: &str,
    loss: AnswerLoss,
) -> caller::CallerAnswer {
    lose_next(deployment, loss);
    let started = Instant::now();
    let answer = deployment::run(caller, text).await;
    let elapsed = started.elapsed();
    assert!(elapsed < TOLD_WITHIN, "{text} {loss:?}: {elapsed:?}");
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_or_commit_whose_answer_is_lost_is_in_doubt() {
    let deployment = start(1).await;
    let in_doubt = Some(caller::CallerRefusal::InDoubt);
    for loss in [AnswerLoss::Cut, AnswerLoss::Silence] {
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "READ boots").await;
        let answer = run_lost(&deployment, &mut caller, "WRITE boots single", loss).await;
        assert_eq!(answer.refusal, in_doubt, "{loss:?}");
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "BEGIN").await;
        deployment::run_successfully(&mut caller, "WRITE boots both").await;
        let answer = run_lost(&deployment, &mut caller, "COMMIT", loss).await;
        assert_eq!(answer.refusal, in_doubt, "{loss:?}");
        assert!(!answer.is_in_transaction);
    }
    // They ran, once each.
    let written = deployment.group.written("boots");
    assert_eq!(written, ["single", "both", "single", "both"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_transaction_whose_connection_is_lost_leaves_nothing() {
    let deployment = start(1).await;
    for loss in [AnswerLoss::Cut, AnswerLoss::Silence] {
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "BEGIN").await;
        deployment::run_successfully(&mut caller, "READ boots").await;
        let answer = run_lost(&deployment, &mut caller, "WRITE boots lost", loss).await;
        // Nothing of it is kept, and the caller is told so.
        let Some(caller::CallerRefusal::NothingKept(line)) = answer.refusal else {
            panic!("{loss:?}: {answer:?}");
        };
        assert!(line.starts_with("ERROR ABORTED"), "{loss:?}: {line}");
        assert_eq!(deployment.group.written("boots"), Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_whose_answer_is_lost_runs_again() {
    let deployment = start(1).await;
    let mut caller = connect(&deployment).await;
    deployment::run_successfully(&mut caller, "WRITE boots first").await;
    for loss in [AnswerLoss::Cut, AnswerLoss::Silence] {
        let answer = run_lost(&deployment, &mut caller, "READ boots", loss).await;
        assert_eq!(answer.refusal, None, "{loss:?}");
        assert_eq!(answer.rows, ["first"]);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_falls_silent_stops_nobody() {
    let deployment = start(3).await;
    let mut caller = connect(&deployment).await;
    deployment::run_successfully(&mut caller, "WRITE boots first").await;
    deployment.store.set_unresponsive(true);
    let silent = Instant::now();
    let mut number = 0;
    while silent.elapsed() < Duration::from_secs(5) {
        number += 1;
        let written = format!("s{number}");
        deployment::run_successfully(&mut caller, &format!("WRITE boots {written}")).await;
        let rows = deployment::run_successfully(&mut caller, "READ boots").await;
        assert_eq!(rows, [written]);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A change that was made meanwhile comes into force once it answers again.
    let next = deployment::configuration(2, &["another"], 200.0);
    deployment.store.put("config", "main", next);
    deployment.store.set_unresponsive(false);
    let back = Instant::now();
    loop {
        let answer = deployment::run(&mut caller, "READ boots").await;
        if answer.refusal == Some(caller::CallerRefusal::KeyRefused) {
            break;
        }
        assert!(back.elapsed() < Duration::from_secs(4), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// A caller that was told that a write is in doubt, and looked it up, was shown a replica that
// had not received it yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_after_a_write_in_doubt_sees_whether_it_ran() {
    let deployment = start(1).await;
    let caller = deployment.caller(0, "booking", KEY).await;
    let mut caller = caller.expect("it connects");
    deployment::run_successfully(&mut caller, "WRITE boots before").await;
    for replica in [1, 2] {
        deployment.group.set_lag(replica, Duration::from_secs(4));
    }
    // The position that bounds reads is the one before the writes.
    let reader = deployment.caller(0, "counter", KEY).await;
    deployment::run_successfully(&mut reader.expect("it connects"), "READ boots").await;
    let answer = run_lost(&deployment, &mut caller, "WRITE boots one", AnswerLoss::Cut).await;
    assert_eq!(answer.refusal, Some(caller::CallerRefusal::InDoubt));
    assert_eq!(
        deployment::run_successfully(&mut caller, "READ boots").await,
        ["one"]
    );
    deployment::run_successfully(&mut caller, "BEGIN").await;
    deployment::run_successfully(&mut caller, "WRITE boots two").await;
    let answer = run_lost(&deployment, &mut caller, "COMMIT", AnswerLoss::Cut).await;
    assert_eq!(answer.refusal, Some(caller::CallerRefusal::InDoubt));
    assert_eq!(
        deployment::run_successfully(&mut caller, "READ boots").await,
        ["two"]
    );
}

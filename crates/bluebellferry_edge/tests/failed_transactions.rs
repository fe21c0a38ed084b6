//! Tests what databases receive, and what callers are told, after a statement of a transaction was
//! refused.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;

async fn start() -> deployment::StandinDeployment {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    deployment::StandinDeployment::start(program, 1).await
}

async fn connect(deployment: &deployment::StandinDeployment) -> caller::StandinCaller {
    let caller = deployment.open_caller(0, "counter", KEY).await;
    caller.expect("the caller connects")
}

/// Returns the texts that databases received under a request id.
fn texts_received(deployment: &deployment::StandinDeployment, id: &str) -> Vec<String> {
    let prefix = format!("QUERY {id} ");
    let lines = deployment.group.received_lines();
    let texts = lines.iter().filter_map(|line| line.strip_prefix(&prefix));
    texts.map(str::to_owned).collect()
}

fn nothing_is_kept(answer: &caller::CallerAnswer) -> bool {
    matches!(answer.refusal, Some(caller::CallerRefusal::NothingKept(_)))
}

/// Guards against a commit that is reported as done although the transaction was rolled back, and
/// against a ROLLBACK that reaches the database under the id of the caller's COMMIT.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commit_of_a_failed_transaction_is_refused_and_reaches_the_database_unchanged() {
    let deployment = start().await;
    let mut caller = connect(&deployment).await;
    deployment::run_successfully(&mut caller, "BEGIN").await;
    deployment::run_successfully(&mut caller, "WRITE boots first").await;
    deployment
        .group
        .refuse_next_statement(database::BusyRefusal {
            verb: "WRITE",
            fails_transaction: true,
            delay: Duration::ZERO,
        });
    let answer = deployment::run(&mut caller, "WRITE boots second").await;
    assert!(nothing_is_kept(&answer), "{answer:?}");
    assert!(!answer.is_idle && !answer.is_in_transaction, "{answer:?}");
    let answer = caller.run_with_id("commit-1", "COMMIT").await;
    let answer = answer.expect("an answer arrives");
    assert!(
        nothing_is_kept(&answer) && answer.receipt.is_none(),
        "{answer:?}"
    );
    assert!(answer.is_idle, "{answer:?}");
    assert_eq!(texts_received(&deployment, "commit-1"), ["COMMIT"]);
    assert!(deployment.group.logged_values("boots").is_empty());
    // The connection can be used again.
    deployment::run_successfully(&mut caller, "WRITE boots third").await;
    assert_eq!(deployment.group.logged_values("boots"), ["third"]);
}

/// Guards against callers that cannot end a transaction which the VM has rolled back: ROLLBACK and
/// COMMIT were refused like new operations once the key or the route had gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolled_back_transaction_can_be_ended_without_a_key_or_a_route() {
    for (number, end) in ["ROLLBACK", "COMMIT"].into_iter().enumerate() {
        let deployment = start().await;
        let mut caller = connect(&deployment).await;
        deployment::run_successfully(&mut caller, "BEGIN").await;
        deployment::run_successfully(&mut caller, "WRITE boots first").await;
        let mut withdrawn = deployment::configuration(2, &["another"], 200.0);
        if number == 1 {
            let routes = withdrawn["Routes"].as_array_mut();
            routes.expect("there are routes").remove(0);
        }
        deployment::deploy_configuration(&deployment.store, withdrawn);
        let deployed = Instant::now();
        while deployment
            .open_caller(0, "browse", "another")
            .await
            .is_err()
        {
            assert!(deployed.elapsed() < Duration::from_secs(3));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if number == 1 {
            // The idle timeout rolls the transaction back.
            tokio::time::sleep(Duration::from_millis(3_300)).await;
        }
        let answer = deployment::run(&mut caller, "READ boots").await;
        assert!(answer.refusal.is_some() && !answer.is_idle, "{answer:?}");
        let answer = caller.run_with_id("the-end", end).await;
        let answer = answer.expect("an answer arrives");
        assert!(answer.is_idle, "{end}: {answer:?}");
        assert_eq!(answer.refusal.is_none(), end == "ROLLBACK", "{answer:?}");
        assert!(nothing_is_kept(&answer) || end == "ROLLBACK", "{answer:?}");
        assert!(texts_received(&deployment, "the-end").is_empty());
        assert!(deployment.group.logged_values("boots").is_empty());
    }
}

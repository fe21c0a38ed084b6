//! Tests statements that wait while the configuration changes: each row of the table in
//! docs/design/access.md, with a database that is busy at first.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_edge::shared;
use bluebellferry_platform::configuration;
use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::deployment;

#[path = "fixtures/access_cases.rs"]
mod access_cases;
#[path = "fixtures/local_traffic.rs"]
mod local_traffic;

use access_cases::RunningFate;

/// The delay of the answer with which the database refuses a statement, during which versions come.
const BUSY_DELAY: Duration = Duration::from_millis(60);

fn publish(traffic: &local_traffic::Traffic, number: u64, version: access_cases::AccessVersion) {
    let value = access_cases::configuration(number, version, "other-key");
    let configuration = configuration::decode(&value).expect("the configuration is valid");
    let snapshot = shared::EdgeSnapshot {
        configuration: Arc::new(configuration),
        ..traffic.snapshot.clone()
    };
    traffic.shared.replace_snapshot(snapshot, true);
}

/// Returns for which workspaces databases ran a statement.
fn workspaces_of(traffic: &local_traffic::Traffic, id: &str) -> Vec<String> {
    let runs = traffic.group.take_history().runs.into_iter();
    let runs = runs.filter(|run| run.request == id && run.receipt.is_some());
    runs.map(|run| run.workspace).collect()
}

/// Sends a statement that the database refuses as busy, and then the later versions. Checks what the
/// statement gets, which the VM tries again as long as it may.
async fn check_waiting(case: &access_cases::AccessCase, begins: bool) {
    let traffic = local_traffic::start().await;
    publish(&traffic, 1, case.first);
    let address = local_traffic::serve_callers(Rc::clone(&traffic.context)).await;
    let (route, key) = (access_cases::ROUTE, access_cases::KEY);
    let caller = caller::StandinCaller::connect(address, route, key).await;
    let mut caller = caller.expect("the caller connects");
    if begins {
        deployment::run_successfully(&mut caller, "BEGIN").await;
    }
    traffic.group.refuse_next_statement(database::BusyRefusal {
        verb: if begins { "BEGIN" } else { "READ" },
        fails_transaction: false,
        delay: BUSY_DELAY,
    });
    let changing = async {
        tokio::time::sleep(BUSY_DELAY / 2).await;
        for (index, version) in case.later.iter().enumerate() {
            publish(&traffic, 2 + index as u64, *version);
        }
    };
    let (answer, ()) = tokio::join!(caller.run_with_id("waits", "READ boots"), changing);
    let answer = answer.expect("an answer arrives");
    let fate = match &answer.refusal {
        None => RunningFate::GoesOn,
        Some(caller::CallerRefusal::KeyRefused) => RunningFate::Denied,
        Some(caller::CallerRefusal::NothingKept(_)) => RunningFate::NothingKept,
        Some(other) => panic!("{}: {other:?}", case.name),
    };
    assert_eq!(fate, case.running, "{}: {answer:?}", case.name);
    let begun_for = case.first.owner.unwrap_or(access_cases::PUBLIC);
    let goes_on = case.running == RunningFate::GoesOn;
    let expected = if goes_on { vec![begun_for] } else { Vec::new() };
    assert_eq!(workspaces_of(&traffic, "waits"), expected, "{}", case.name);
    assert_eq!(answer.is_in_transaction, begins && goes_on, "{answer:?}");
    if begins {
        let answer = deployment::run(&mut caller, "ROLLBACK").await;
        assert!(answer.refusal.is_none() && answer.is_idle, "{answer:?}");
        return;
    }
    let answer = caller.run_with_id("next", "READ boots").await;
    let answer = answer.expect("an answer arrives");
    let expected = match case.next {
        access_cases::NextFate::RunsFor(workspace) => vec![workspace],
        _ => Vec::new(),
    };
    assert_eq!(answer.refusal.is_none(), expected.len() == 1, "{answer:?}");
    assert_eq!(workspaces_of(&traffic, "next"), expected, "{}", case.name);
}

/// Guards against statements that are sent for a workspace which their key no longer names, because
/// only their arrival was checked.
#[tokio::test]
async fn a_statement_that_is_tried_again_follows_the_table_of_changes() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for case in &access_cases::CASES {
                check_waiting(case, false).await;
                check_waiting(case, true).await;
            }
        })
        .await;
}

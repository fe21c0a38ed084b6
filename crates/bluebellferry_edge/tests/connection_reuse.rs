//! Tests that a connection is used for another caller only after its transaction has ended.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_catalog::homes;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic::dispatch;
use bluebellferry_edge::traffic::placement;
use bluebellferry_pool::pool;
use bluebellferry_runtime::clock;
use bluebellferry_session::connection_state;
use bluebellferry_session::statement;
use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::deployment;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;

#[path = "fixtures/local_traffic.rs"]
mod local_traffic;
#[path = "fixtures/workspace_claim.rs"]
mod workspace_claim;

/// The delay of the answer to a COMMIT, during which the snapshot changes.
const COMMIT_DELAY: Duration = Duration::from_millis(100);

/// Refuses a COMMIT as busy while another database is promoted, and then runs a write of another
/// caller at the old leader, which leads again. Returns the answer to the COMMIT and the values
/// that were written.
async fn write_after_refused_commit(
    fails_transaction: bool,
) -> (caller::CallerAnswer, Vec<String>) {
    let local_traffic::Traffic {
        group,
        shared,
        snapshot,
        context,
    } = local_traffic::start().await;
    let address = local_traffic::serve_callers(context).await;
    let connect = || caller::StandinCaller::connect(address, "browse", "key");
    let mut first = connect().await.expect("the caller connects");
    deployment::run_successfully(&mut first, "WRITE boots first").await;
    deployment::run_successfully(&mut first, "BEGIN").await;
    deployment::run_successfully(&mut first, "WRITE boots lost").await;
    group.refuse_next_statement(database::BusyRefusal {
        verb: "COMMIT",
        fails_transaction,
        delay: COMMIT_DELAY,
    });
    let promoting = async {
        tokio::time::sleep(COMMIT_DELAY / 2).await;
        let successor = shared::LeaderView {
            log_end_when_chosen: Some(position::LogPosition::new(0, 0)),
            ..local_traffic::leader("i-b")
        };
        let mut snapshot = snapshot.clone();
        snapshot.leaders = Arc::new([(local_traffic::service(), successor)].into());
        shared.replace_snapshot(snapshot, true);
    };
    let (answer, ()) = tokio::join!(first.run("COMMIT"), promoting);
    drop(first);
    shared.replace_snapshot(snapshot, true);
    let mut second = connect().await.expect("the caller connects");
    deployment::run_successfully(&mut second, "WRITE boots second").await;
    let answer = answer.expect("an answer arrives");
    (answer, group.logged_values("boots"))
}

/// Guards against acknowledged writes that are lost: a leader refused a COMMIT as busy, which
/// leaves the transaction open, while another database was promoted. The connection went back into
/// the pool, and the write of another caller ran inside the transaction, which nobody committed.
#[tokio::test]
async fn connection_with_an_open_or_failed_transaction_is_not_reused() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for fails_transaction in [false, true] {
                let (answer, written) = write_after_refused_commit(fails_transaction).await;
                assert_eq!(written, ["first", "second"], "{answer:?}");
            }
        })
        .await;
}

/// Returns the request of a write for a connection.
fn write_request(needs: connection_state::SessionNeeds) -> dispatch::PlacementRequest {
    let now = clock::now();
    dispatch::PlacementRequest {
        service: local_traffic::service(),
        claim: workspace_claim::keyless("families"),
        pool_request: pool::ConnectionRequest {
            workspace: name::WorkspaceName::try_from("families").expect("a valid name"),
            priority: 0,
            slo_deadline: now + Duration::from_millis(200),
        },
        requirement: placement::PlacementRequirement {
            replica_min_position: None,
        },
        homes: homes::HomeRegions::Anywhere,
        excluded: Vec::new(),
        deadline: now + Duration::from_millis(400),
        served_elsewhere_deadline: now + dispatch::SERVED_ELSEWHERE_TIMEOUT,
        needs,
    }
}

/// Guards against statements that run inside the transaction of another caller: the pool accepted a
/// connection whose database had not reported the end of the transaction.
#[tokio::test]
async fn release_closes_a_connection_with_an_open_transaction() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let traffic = local_traffic::start().await;
            let dispatcher = &traffic.context.dispatcher;
            let run = async |statements: &[&str]| {
                let mut request = write_request(connection_state::SessionNeeds::default());
                let placed = dispatcher.acquire(&mut request).await;
                let mut connection = placed.expect("the leader is available").connection;
                let mut is_open = false;
                for statement in statements {
                    let text = statement::StatementText::Verbatim((*statement).to_owned());
                    let settled = connection.for_statement(&BTreeMap::new(), &text, is_open);
                    let settled = settled.expect("a new connection has no settings");
                    is_open = *statement != "COMMIT";
                    let encoded = settled.encode("1", None).expect("a short statement");
                    let answer = encoded.run(request.deadline).await;
                    assert_eq!(answer.map(|answer| answer.error), Ok(None), "{statement}");
                }
                dispatcher.release(connection);
            };
            run(&["BEGIN", "WRITE boots lost"]).await;
            run(&["WRITE boots kept"]).await;
            // A connection without a transaction is reused.
            run(&["BEGIN", "WRITE boots committed", "COMMIT"]).await;
            assert_eq!(traffic.group.logged_values("boots"), ["kept", "committed"]);
            let lines = traffic.group.received_lines();
            let startups = lines.iter().filter(|line| line.starts_with("STARTUP"));
            assert_eq!(startups.count(), 2);
        })
        .await;
}

/// Guards against commits in doubt that are certain: a database that refuses a COMMIT as busy
/// promises that it has not run.
#[tokio::test]
async fn refusal_of_a_commit_reaches_the_caller_while_another_database_is_promoted() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for fails_transaction in [false, true] {
                let (answer, _) = write_after_refused_commit(fails_transaction).await;
                let refusal = caller::CallerRefusal::NothingKept("ERROR BUSY -".to_owned());
                assert_eq!(answer.refusal, Some(refusal));
                assert_eq!(answer.is_in_transaction, !fails_transaction);
            }
        })
        .await;
}

/// Serves a database that answers each statement as `answer` says, and returns its address and the
/// lines that it receives.
async fn serve_database(
    answer: fn(&str) -> &'static str,
) -> (SocketAddr, Rc<RefCell<Vec<String>>>) {
    let (listener, address) = local_traffic::listen().await;
    let received = Rc::new(RefCell::new(Vec::new()));
    let lines = Rc::clone(&received);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let lines = Rc::clone(&lines);
            tokio::task::spawn_local(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                while stream.read_line(&mut line).await.is_ok_and(|read| read > 0) {
                    let text = line.trim_end().to_owned();
                    line.clear();
                    let answer = answer(&text);
                    lines.borrow_mut().push(text);
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, received)
}

/// Runs `BEGIN` and two writes at a database, and returns the answers to the writes and whether the
/// database received the second one.
async fn write_twice_in_transaction(
    answer: fn(&str) -> &'static str,
) -> (Vec<caller::CallerAnswer>, bool) {
    let (database_address, received) = serve_database(answer).await;
    let (_shared, _, context) = local_traffic::start_traffic(database_address);
    let address = local_traffic::serve_callers(context).await;
    let caller = caller::StandinCaller::connect(address, "browse", "key").await;
    let mut caller = caller.expect("the caller connects");
    deployment::run_successfully(&mut caller, "BEGIN").await;
    let mut answers = Vec::new();
    for text in ["WRITE boots first", "WRITE boots second"] {
        answers.push(caller.run(text).await.expect("an answer arrives"));
        // What the database sends behind its answer arrives before the next statement.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let lines = received.borrow();
    let has_second = lines.iter().any(|line| line.ends_with("second"));
    (answers, has_second)
}

/// Guards against writes that run outside their transaction: the database's word that no transaction
/// is open was overlooked in the answers to BEGIN, to a write, and in what it sent unasked.
#[tokio::test]
async fn statement_is_not_sent_if_its_transaction_is_not_open() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let answers: [fn(&str) -> &'static str; 3] = [
                |text| match text.split(' ').next() {
                    Some("STARTUP") => "READY I -\r\n",
                    _ => "COMPLETE 1\r\nREADY I 1.1\r\n",
                },
                |text| match text.split(' ').next() {
                    Some("STARTUP") => "READY I -\r\n",
                    _ if text.ends_with("BEGIN") => "COMPLETE -\r\nREADY T 1.1\r\n",
                    _ => "COMPLETE 1\r\nREADY I 1.1\r\n",
                },
                |text| match text.split(' ').next() {
                    Some("STARTUP") => "READY I -\r\n",
                    _ if text.ends_with("BEGIN") => "COMPLETE -\r\nREADY T 1.1\r\n",
                    _ => "COMPLETE 1\r\nREADY T 1.1\r\nERROR ABORTED -\r\nREADY I 1.1\r\n",
                },
            ];
            for (case, answer) in answers.into_iter().enumerate() {
                let (answers, has_second) = write_twice_in_transaction(answer).await;
                assert!(!has_second, "case {case}: {answers:?}");
                let mut refusals = answers.iter().filter_map(|answer| answer.refusal.as_ref());
                let first = refusals.next();
                // A write that was answered with READY I may have been committed.
                let is_honest = match first {
                    Some(caller::CallerRefusal::InDoubt) => case == 1,
                    Some(caller::CallerRefusal::NothingKept(_)) => case != 1,
                    _ => false,
                };
                assert!(is_honest, "case {case}: {answers:?}");
            }
        })
        .await;
}

/// Guards against a round trip for each statement that needs a new connection: the connection was
/// set up only once it was open.
#[tokio::test]
async fn new_connection_is_set_up_for_the_statement_that_waits_for_it() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let traffic = local_traffic::start().await;
            let settings = BTreeMap::from([("zone".to_owned(), "amman".to_owned())]);
            let query = statement::PreparedQuery {
                kind: statement::AccessKind::Write,
                template: "q7 READ q7".to_owned(),
            };
            let later = statement::PreparedQuery {
                template: "q7".to_owned(),
                ..query.clone()
            };
            let mut request = write_request(connection_state::SessionNeeds {
                settings: Arc::new(settings.clone()),
                query: Some(query.clone()),
                optional: vec![later.clone()],
            });
            let placed = traffic.context.dispatcher.acquire(&mut request).await;
            let connection = placed.expect("the leader is available").connection;
            for query in [query, later] {
                assert!(connection.is_set_up(&settings, Some(&query)));
            }
        })
        .await;
}

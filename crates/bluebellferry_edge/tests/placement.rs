//! Tests that a statement is sent only to a database that may still run it according to the
//! snapshot at the time when a connection is available.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::homes;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic;
use bluebellferry_edge::traffic::dispatch;
use bluebellferry_edge::traffic::metrics;
use bluebellferry_edge::traffic::placement;
use bluebellferry_edge::traffic::session;
use bluebellferry_limits::bucket;
use bluebellferry_limits::pace;
use bluebellferry_pool::pool;
use bluebellferry_runtime::clock;
use bluebellferry_session::connection_state;
use bluebellferry_standin_platform::contents;
use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

#[path = "fixtures/settings.rs"]
mod fixtures;
#[path = "fixtures/workspace_claim.rs"]
mod workspace_claim;

/// How long the test database takes to answer the handshake of a connection.
const HANDSHAKE_TIME: Duration = Duration::from_millis(80);

fn service() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

fn database_name(text: &str) -> name::DatabaseName {
    name::DatabaseName::try_from(text).expect("a valid name")
}

fn position(term: u64, offset: u64) -> position::LogPosition {
    position::LogPosition::new(term, offset)
}

fn entry(text: &str, address: std::net::SocketAddr) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: database_name(text),
        started_unix_ms: 1,
        service: service(),
        address,
        data_centre: name::DataCentreName::try_from("amman-a").expect("a valid name"),
        max_running_statements: 3,
        is_draining: false,
        role: database::DatabaseRole::Replica,
        is_cold: false,
    }
}

fn any_address() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn edge_shared() -> Arc<shared::EdgeShared> {
    let data_centre = name::DataCentreName::try_from("amman-a").expect("a valid name");
    let settings = fixtures::settings("vm-0", data_centre, any_address());
    shared::EdgeShared::new(settings, 1).0
}

/// Returns a snapshot in which `leader` leads and its lease expires at `until`.
fn snapshot_with_leader(
    databases: &[database::DatabaseEntry],
    leader: shared::LeaderView,
    until: Instant,
) -> shared::EdgeSnapshot {
    let policy = configuration::ServicePolicy {
        max_connections: 12,
        is_synchronous: true,
        cold_pace: None,
    };
    let configuration = configuration::Configuration {
        version: 1,
        services: [(service(), policy)].into(),
        ..configuration::Configuration::default()
    };
    shared::EdgeSnapshot {
        configuration: Arc::new(configuration),
        databases: Arc::new(databases.to_vec()),
        leaders: Arc::new([(service(), leader)].into()),
        leases: [(service(), until)].into(),
        allocation: shared::FleetAllocation { from: 0.0, to: 1.0 },
        ..shared::EdgeSnapshot::default()
    }
}

fn leader(text: &str) -> shared::LeaderView {
    shared::LeaderView {
        database: database_name(text),
        log_end_when_chosen: None,
        is_being_replaced: false,
    }
}

fn placement_request(
    requirement: placement::PlacementRequirement,
    now: Instant,
) -> dispatch::PlacementRequest {
    dispatch::PlacementRequest {
        service: service(),
        claim: workspace_claim::keyless("families"),
        pool_request: pool::ConnectionRequest {
            workspace: name::WorkspaceName::try_from("families").expect("a valid name"),
            priority: 0,
            slo_deadline: now + Duration::from_millis(200),
        },
        requirement,
        homes: homes::HomeRegions::Anywhere,
        excluded: Vec::new(),
        deadline: now + Duration::from_millis(400),
        served_elsewhere_deadline: now + dispatch::SERVED_ELSEWHERE_TIMEOUT,
        needs: connection_state::SessionNeeds::default(),
    }
}

/// Serves a database that answers each handshake after `HANDSHAKE_TIME`, and no statements.
async fn serve_slow_handshake() -> std::net::SocketAddr {
    let listener = TcpListener::bind(any_address().ip().to_string() + ":0").await;
    let listener = listener.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut stream = BufReader::new(stream);
                stream.read_line(&mut String::new()).await.ok();
                tokio::time::sleep(HANDSHAKE_TIME).await;
                stream.get_mut().write_all(b"READY I -\r\n").await.ok();
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// Requests a connection to the leader `i-a` and changes the snapshot while the connection is
/// being opened. Returns whether the connection is granted, so that the statement may be sent.
async fn acquires_despite_change(
    requirement: placement::PlacementRequirement,
    change: impl FnOnce(&mut shared::EdgeSnapshot),
) -> bool {
    let address = serve_slow_handshake().await;
    let shared = edge_shared();
    let now = clock::now();
    let databases = [entry("i-a", address)];
    let mut snapshot =
        snapshot_with_leader(&databases, leader("i-a"), now + Duration::from_secs(60));
    let metrics = metrics::TrafficMetrics::new(&prometheus::Registry::new());
    let metrics = metrics.expect("the metric names are unique");
    let dispatcher = Rc::new(dispatch::Dispatcher::new(Arc::clone(&shared), metrics));
    shared.replace_snapshot(snapshot.clone(), true);
    dispatcher.apply_snapshot(now);
    let is_acquired = Rc::new(RefCell::new(None));
    let task = {
        let (dispatcher, is_acquired) = (Rc::clone(&dispatcher), Rc::clone(&is_acquired));
        tokio::task::spawn_local(async move {
            let mut request = placement_request(requirement, clock::now());
            *is_acquired.borrow_mut() = Some(dispatcher.acquire(&mut request).await.is_ok());
        })
    };
    tokio::time::sleep(HANDSHAKE_TIME / 4).await;
    change(&mut snapshot);
    shared.replace_snapshot(snapshot, true);
    task.await.expect("the task ends");
    let is_acquired = is_acquired.borrow_mut().take();
    is_acquired.expect("the task has finished")
}

const LEADER_ONLY: placement::PlacementRequirement = placement::PlacementRequirement {
    replica_min_position: None,
};

#[tokio::test]
async fn a_statement_is_not_sent_if_its_database_lost_its_role_while_it_waited() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            assert!(acquires_despite_change(LEADER_ONLY, |_| {}).await);
            // The lease expires.
            let expire_lease = |snapshot: &mut shared::EdgeSnapshot| snapshot.leases.clear();
            assert!(!acquires_despite_change(LEADER_ONLY, expire_lease).await);
            // The leader is being replaced.
            let begin_replacement = |snapshot: &mut shared::EdgeSnapshot| {
                let mut leader_view = leader("i-a");
                leader_view.is_being_replaced = true;
                snapshot.leaders = Arc::new([(service(), leader_view)].into());
            };
            assert!(!acquires_despite_change(LEADER_ONLY, begin_replacement).await);
            // Another database leads.
            let change_leader = |snapshot: &mut shared::EdgeSnapshot| {
                snapshot.leaders = Arc::new([(service(), leader("i-b"))].into());
            };
            assert!(!acquires_despite_change(LEADER_ONLY, change_leader).await);
            // The former leader may serve a read with a staleness bound as a replica.
            let bounded = placement::PlacementRequirement {
                replica_min_position: Some(position(1, 40)),
            };
            assert!(acquires_despite_change(bounded, change_leader).await);
        })
        .await;
}

/// Longer than any connection stays open unused.
const UNUSED_TIME: Duration = Duration::from_secs(60);

#[tokio::test]
async fn a_database_is_paced_again_after_the_last_unused_connection_to_it_was_closed() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let databases = [entry("i-a", serve_slow_handshake().await)];
            let shared = edge_shared();
            let until = clock::now() + UNUSED_TIME;
            let mut snapshot = snapshot_with_leader(&databases, leader("i-a"), until);
            let policies = &mut Arc::make_mut(&mut snapshot.configuration).services;
            policies
                .values_mut()
                .for_each(|policy| policy.cold_pace = Some(5.0));
            // This VM has no part of the pace, so it sends nothing to a database that may be cold.
            let none = bucket::ShareSize {
                rate_per_second: 0.0,
                burst: 0.0,
            };
            let paces = [((&databases[0].id).into(), none)].into();
            shared.rate_limiter.apply_sizes(&paces, Duration::ZERO);
            shared.replace_snapshot(snapshot, true);
            let metrics = metrics::TrafficMetrics::new(&prometheus::Registry::new());
            let metrics = metrics.expect("the metric names are unique");
            let dispatcher = Rc::new(dispatch::Dispatcher::new(shared, metrics));
            dispatcher.apply_snapshot(clock::now());
            let acquire = async || {
                let mut request = placement_request(LEADER_ONLY, clock::now());
                dispatcher.acquire(&mut request).await
            };
            let is_paced = |result: &Result<_, refusal::RequestRefusal>| {
                let refusal = result.as_ref().err();
                refusal.map(|refusal| refusal.reason)
                    == Some(refusal::RefusalReason::DatabaseWarmingUp)
            };
            assert!(is_paced(&acquire().await));
            tokio::time::sleep(pace::REGISTRATION_DELAY).await;
            let placed = acquire().await.expect("the database is known to be warm");
            dispatcher.release(placed.connection);
            dispatcher.apply_snapshot(clock::now() + UNUSED_TIME);
            assert!(is_paced(&acquire().await));
        })
        .await;
}

#[test]
fn the_required_position_depends_on_the_role_of_the_database() {
    let now = Instant::now();
    let databases = [entry("i-a", any_address()), entry("i-b", any_address())];
    let leader_view = shared::LeaderView {
        log_end_when_chosen: Some(position(1, 40)),
        ..leader("i-a")
    };
    let until = now + Duration::from_millis(10);
    let snapshot = snapshot_with_leader(&databases, leader_view.clone(), until);
    let requirement = placement::PlacementRequirement {
        replica_min_position: Some(position(2, 55)),
    };
    let role = |index: usize, at| placement::role_of(&snapshot, &databases[index], requirement, at);
    let min_position =
        |index: usize| role(index, now).and_then(|role| role.min_position(Some(position(2, 60))));
    // A leader that was restarted under the same identity may have lost its log, so it must have
    // replayed the latest position observed at any leader.
    assert_eq!(
        role(0, now),
        Some(placement::PlacedRole::Leader(&leader_view))
    );
    assert_eq!(min_position(0), Some(position(2, 60)));
    assert_eq!(min_position(1), Some(position(2, 55)));
    // Once the lease has expired, no database is certain to contain every commit.
    assert_eq!(role(0, until), None);
    let unplaced = placement::role_of(&snapshot, &databases[1], LEADER_ONLY, now);
    assert_eq!(unplaced, None);
}

/// How long the test database takes to answer a read.
const READ_TIME: Duration = Duration::from_millis(80);

/// Serves a database that answers each statement with `answer` after `READ_TIME`.
async fn serve_fixed_answer(answer: &str) -> std::net::SocketAddr {
    let answer = answer.to_owned();
    let listener = TcpListener::bind(any_address().ip().to_string() + ":0").await;
    let listener = listener.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::task::spawn_local(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                let answer_in_transaction = answer.replace("READY I", "READY T");
                let mut is_in_transaction = false;
                while stream
                    .read_line(&mut line)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    is_in_transaction |= line.contains(" BEGIN");
                    is_in_transaction &= !line.contains(" COMMIT");
                    let reply = if line.starts_with("STARTUP") {
                        "READY I -\r\n"
                    } else {
                        tokio::time::sleep(READ_TIME).await;
                        if is_in_transaction {
                            &answer_in_transaction
                        } else {
                            &answer
                        }
                    };
                    stream.get_mut().write_all(reply.as_bytes()).await.ok();
                    line.clear();
                }
            });
        }
    });
    address
}

/// Returns a snapshot as [`snapshot_with_leader`] does, with a route `browse`.
fn snapshot_with_route(
    databases: &[database::DatabaseEntry],
    leader: shared::LeaderView,
    until: Instant,
) -> shared::EdgeSnapshot {
    let mut snapshot = snapshot_with_leader(databases, leader, until);
    let policy = configuration::RoutePolicy {
        service: service(),
        guarantee: configuration::ReadGuarantee::BoundedAge {
            max_age: Duration::from_secs(2),
        },
        statement_timeout: Duration::from_millis(400),
        latency_objective: Duration::from_millis(200),
        priority: 0,
        is_public: true,
        homes: homes::HomeRegions::Anywhere,
    };
    let mut configuration = configuration::Configuration::clone(&snapshot.configuration);
    configuration.routes.insert("browse".to_owned(), policy);
    snapshot.configuration = Arc::new(configuration);
    snapshot
}

/// Connects a caller to a VM with this state.
async fn connect_caller(shared: &Arc<shared::EdgeShared>) -> TcpStream {
    let metrics = metrics::TrafficMetrics::new(&prometheus::Registry::new());
    let metrics = metrics.expect("the metric names are unique");
    let context = Rc::new(traffic::TrafficContext::new(Arc::clone(shared), metrics));
    context.dispatcher.apply_snapshot(clock::now());
    let listener = TcpListener::bind(any_address().ip().to_string() + ":0").await;
    let listener = listener.expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::task::spawn_local(async move {
        if let Ok((stream, _)) = listener.accept().await {
            session::serve(stream, context).await;
        }
    });
    let caller = TcpStream::connect(address).await;
    caller.expect("the caller connects")
}

/// Runs a read at `i-a` and changes the snapshot before the database answers. Returns the leader
/// position that was recorded for the answer, and checks that it is dated before the change.
async fn position_recorded_after_read(
    answer: &str,
    known_position: Option<position::LogPosition>,
    leader_view: shared::LeaderView,
    change: impl FnOnce(&mut shared::EdgeSnapshot),
) -> Option<position::LogPosition> {
    let shared = edge_shared();
    let now = clock::now();
    let databases = [entry("i-a", serve_fixed_answer(answer).await)];
    let until = now + Duration::from_secs(60);
    let mut snapshot = snapshot_with_route(&databases, leader_view, until);
    if let Some(known_position) = known_position {
        shared.record_position(&service(), now, known_position);
    }
    shared.replace_snapshot(snapshot.clone(), true);
    let mut caller = connect_caller(&shared).await;
    let text = b"STARTUP browse key\r\nQUERY 1 READ a\r\n";
    caller.write_all(text).await.expect("the caller sends");
    tokio::time::sleep(READ_TIME / 2).await;
    let changed_at = clock::now();
    change(&mut snapshot);
    shared.replace_snapshot(snapshot, true);
    // The first READY answers STARTUP; the second is the last line of the statement's answer.
    let mut lines = BufReader::new(caller).lines();
    for _ in 0..2 {
        while let Ok(Some(line)) = lines.next_line().await {
            if line.starts_with("READY") {
                break;
            }
        }
    }
    let positions = shared.lock_positions();
    let history = positions.get(&service());
    let latest = history.and_then(|history| history.latest_sample());
    let latest = latest.filter(|(requested_at, _)| *requested_at > now);
    assert!(latest.is_none_or(|(requested_at, _)| requested_at < changed_at));
    latest.map(|(_, position)| position)
}

#[tokio::test]
async fn the_position_in_the_answer_of_a_leader_is_recorded() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let recorded = position_recorded_after_read(
                &contents::read_answer("1.5"),
                None,
                leader("i-a"),
                |_| {},
            )
            .await;
            assert_eq!(recorded, Some(position(1, 5)));
        })
        .await;
}

#[tokio::test]
async fn no_position_is_recorded_from_a_leader_without_a_lease() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            // `i-a` serves a read with a staleness bound as a replica, and becomes leader without
            // a lease before it answers.
            let known_position = Some(position(1, 5));
            let promote_without_lease = |snapshot: &mut shared::EdgeSnapshot| {
                snapshot.leaders = Arc::new([(service(), leader("i-a"))].into());
                snapshot.leases.clear();
            };
            let recorded = position_recorded_after_read(
                &contents::read_answer("1.5"),
                known_position,
                leader("i-b"),
                promote_without_lease,
            )
            .await;
            assert_eq!(recorded, None);
        })
        .await;
}

// Guards against stale reads: if a replica is promoted between receiving a statement and
// answering it, the position in its answer must not be recorded as a leader position at the time
// of sending. Later reads would require too low a position.
#[tokio::test]
async fn no_position_is_recorded_from_a_replica_promoted_before_it_answered() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let promote_replica = |snapshot: &mut shared::EdgeSnapshot| {
                snapshot.leaders = Arc::new([(service(), leader("i-a"))].into());
            };
            let known_position = Some(position(1, 5));
            let recorded = position_recorded_after_read(
                &contents::read_answer("1.5"),
                known_position,
                leader("i-b"),
                promote_replica,
            )
            .await;
            assert_eq!(recorded, None);
        })
        .await;
}

// Guards against stale reads: a newly promoted leader that has not replayed its log yet answers
// with a position below acknowledged commits. A VM without earlier positions must not record it.
#[tokio::test]
async fn no_position_is_recorded_from_a_leader_that_has_not_replayed_its_log() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let leader_view = shared::LeaderView {
                log_end_when_chosen: Some(position(1, 9)),
                ..leader("i-a")
            };
            let lagging = "ERROR LAGGING i-a\r\nREADY I 1.5\r\n";
            let recorded = position_recorded_after_read(lagging, None, leader_view, |_| {}).await;
            assert_eq!(recorded, None);
        })
        .await;
}

/// Runs a write, alone or as the commit of a transaction, at the leader `i-a`, which acknowledges
/// it at position 1/5, and changes the snapshot before the acknowledgement arrives. Returns the
/// first word of the answer and the error code.
async fn answer_to_commit(
    in_transaction: bool,
    change: impl FnOnce(&mut shared::EdgeSnapshot),
) -> String {
    let shared = edge_shared();
    let address = serve_fixed_answer("COMPLETE r\r\nREADY I 1.5\r\n").await;
    let databases = [entry("i-a", address)];
    let until = clock::now() + Duration::from_secs(60);
    let mut snapshot = snapshot_with_route(&databases, leader("i-a"), until);
    shared.replace_snapshot(snapshot.clone(), true);
    let mut lines = BufReader::new(connect_caller(&shared).await).lines();
    let mut statements = vec!["STARTUP browse key", "QUERY 2 WRITE a x"];
    if in_transaction {
        statements.insert(1, "QUERY 1 BEGIN");
        statements.push("QUERY 3 COMMIT");
    }
    let last = statements.len() - 1;
    let mut change = Some(change);
    for (index, statement) in statements.into_iter().enumerate() {
        let text = format!("{statement}\r\n");
        let sent = lines.get_mut().get_mut().write_all(text.as_bytes()).await;
        sent.expect("the caller sends");
        if index == last {
            tokio::time::sleep(READ_TIME / 2).await;
            if let Some(change) = change.take() {
                change(&mut snapshot);
            }
            shared.replace_snapshot(snapshot.clone(), true);
        }
        let mut answer = String::new();
        while let Ok(Some(line)) = lines.next_line().await {
            if line.starts_with("READY") {
                break;
            }
            answer = line;
        }
        if index == last {
            let words: Vec<&str> = answer.split(' ').take(2).collect();
            return words.join(" ");
        }
    }
    String::new()
}

/// Returns a change after which `i-b` leads, whose log ended at `end` when it was chosen.
fn promote(end: position::LogPosition) -> impl FnOnce(&mut shared::EdgeSnapshot) {
    move |snapshot| {
        let successor = shared::LeaderView {
            log_end_when_chosen: Some(end),
            ..leader("i-b")
        };
        snapshot.leaders = Arc::new([(service(), successor)].into());
    }
}

// Guards against lost commits: the replaced leader acknowledged a commit after its lease had
// expired, when its successor had been chosen already.
#[tokio::test]
async fn commit_acknowledged_without_a_lease_is_not_reported_as_done() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for in_transaction in [false, true] {
                let answer = answer_to_commit(in_transaction, |_| {}).await;
                assert_eq!(answer, "COMPLETE r");
                let expire_lease = |snapshot: &mut shared::EdgeSnapshot| snapshot.leases.clear();
                let answer = answer_to_commit(in_transaction, expire_lease).await;
                assert_eq!(answer, "ERROR INDOUBT");
                let begin_replacement = |snapshot: &mut shared::EdgeSnapshot| {
                    let mut leader_view = leader("i-a");
                    leader_view.is_being_replaced = true;
                    snapshot.leaders = Arc::new([(service(), leader_view)].into());
                };
                let answer = answer_to_commit(in_transaction, begin_replacement).await;
                assert_eq!(answer, "ERROR INDOUBT");
                // The successor may lack the commit.
                for end in [position(1, 4), position(2, 9)] {
                    let answer = answer_to_commit(in_transaction, promote(end)).await;
                    assert_eq!(answer, "ERROR INDOUBT");
                }
            }
        })
        .await;
}

// Guards against doubts about commits that are kept: an orderly replacement takes place between a
// commit and its acknowledgement.
#[tokio::test]
async fn commit_in_the_log_of_the_successor_is_reported_as_done() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            for in_transaction in [false, true] {
                let answer = answer_to_commit(in_transaction, promote(position(1, 5))).await;
                assert_eq!(answer, "COMPLETE r");
            }
        })
        .await;
}

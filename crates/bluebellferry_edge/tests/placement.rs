//! A statement is sent only to a database that may still take it, by what this VM
//! believes when a connection has come free.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic;
use bluebellferry_edge::traffic::dispatch;
use bluebellferry_edge::traffic::metrics;
use bluebellferry_edge::traffic::placement;
use bluebellferry_edge::traffic::session;
use bluebellferry_pool::budget;
use bluebellferry_runtime::clock;
use bluebellferry_standin_platform::contents;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

#[path = "fixtures/settings.rs"]
mod fixtures;

/// How long the database takes to open a connection.
const OPENING: Duration = Duration::from_millis(80);

fn service() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

fn id(text: &str) -> name::DatabaseName {
    name::DatabaseName::try_from(text).expect("a valid name")
}

fn position(term: u64, offset: u64) -> position::LogPosition {
    position::LogPosition::new(term, offset)
}

fn entry(text: &str, address: std::net::SocketAddr) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: id(text),
        started_unix_ms: 1,
        service: service(),
        address,
        data_centre: name::DataCentreName::try_from("amman-a").expect("a valid name"),
        slots: 3,
        is_draining: false,
        role: database::DatabaseRole::Replica,
    }
}

fn any_address() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn edge() -> Arc<shared::EdgeShared> {
    let data_centre = name::DataCentreName::try_from("amman-a").expect("a valid name");
    let settings = fixtures::settings("vm-0", data_centre, any_address());
    shared::EdgeShared::new(settings, 1).0
}

/// Returns a snapshot in which `leader` leads until an instant.
fn snapshot(
    databases: &[database::DatabaseEntry],
    leader: shared::LeaderView,
    until: Instant,
) -> shared::EdgeSnapshot {
    let policy = configuration::ServicePolicy {
        max_connections: 12,
        is_synchronous: true,
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
        part: shared::FleetPart { from: 0.0, to: 1.0 },
        ..shared::EdgeSnapshot::default()
    }
}

fn leader(text: &str) -> shared::LeaderView {
    shared::LeaderView {
        database: id(text),
        floor: None,
        is_replacing: false,
    }
}

fn demand(needs: placement::PlacementNeeds, now: Instant) -> dispatch::ConnectionDemand {
    dispatch::ConnectionDemand {
        service: service(),
        request: budget::GrantRequest {
            workspace: name::WorkspaceName::try_from("families").expect("a valid name"),
            priority: 0,
            due: now + Duration::from_millis(200),
        },
        needs,
        excluded: Vec::new(),
        deadline: now + Duration::from_millis(400),
        hopeless_after: now + dispatch::HOPELESS_AFTER,
    }
}

/// Serves a database that takes its time to open a connection.
async fn serve_slowly() -> std::net::SocketAddr {
    let listener = TcpListener::bind(any_address().ip().to_string() + ":0").await;
    let listener = listener.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut stream = BufReader::new(stream);
                stream.read_line(&mut String::new()).await.ok();
                tokio::time::sleep(OPENING).await;
                stream.get_mut().write_all(b"READY I -\r\n").await.ok();
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

/// Asks for a connection to the leader `i-a` and changes what the VM believes while the
/// connection is being opened. Returns whether the statement may be sent.
async fn obtains_despite(
    needs: placement::PlacementNeeds,
    change: impl FnOnce(&mut shared::EdgeSnapshot),
) -> bool {
    let address = serve_slowly().await;
    let shared = edge();
    let now = clock::now();
    let databases = [entry("i-a", address)];
    let mut beliefs = snapshot(&databases, leader("i-a"), now + Duration::from_secs(60));
    let metrics = metrics::TrafficMetrics::new(&prometheus::Registry::new());
    let metrics = metrics.expect("the names are new");
    let dispatcher = Rc::new(dispatch::Dispatcher::new(Arc::clone(&shared), metrics));
    shared.publish(beliefs.clone(), true);
    dispatcher.apply_snapshot(now);
    let obtained = Rc::new(RefCell::new(None));
    let task = {
        let (dispatcher, obtained) = (Rc::clone(&dispatcher), Rc::clone(&obtained));
        tokio::task::spawn_local(async move {
            let mut demand = demand(needs, clock::now());
            *obtained.borrow_mut() = Some(dispatcher.obtain(&mut demand).await.is_ok());
        })
    };
    tokio::time::sleep(OPENING / 4).await;
    change(&mut beliefs);
    shared.publish(beliefs, true);
    task.await.expect("it ends");
    let obtained = obtained.borrow_mut().take();
    obtained.expect("it has ended")
}

const LEADER_ONLY: placement::PlacementNeeds = placement::PlacementNeeds {
    replica_since: None,
    needs_lease: true,
};

#[tokio::test]
async fn a_statement_is_not_sent_under_a_belief_that_ended_while_it_waited() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            assert!(obtains_despite(LEADER_ONLY, |_| {}).await);
            // The lease lapses.
            let lapse = |beliefs: &mut shared::EdgeSnapshot| beliefs.leases.clear();
            assert!(!obtains_despite(LEADER_ONLY, lapse).await);
            // It is being replaced.
            let replace = |beliefs: &mut shared::EdgeSnapshot| {
                let mut view = leader("i-a");
                view.is_replacing = true;
                beliefs.leaders = Arc::new([(service(), view)].into());
            };
            assert!(!obtains_despite(LEADER_ONLY, replace).await);
            // Another one leads.
            let other = |beliefs: &mut shared::EdgeSnapshot| {
                beliefs.leaders = Arc::new([(service(), leader("i-b"))].into());
            };
            assert!(!obtains_despite(LEADER_ONLY, other).await);
            // A replica of it suffices for a read with a bound.
            let bounded = placement::PlacementNeeds {
                replica_since: Some(position(1, 40)),
                needs_lease: true,
            };
            assert!(obtains_despite(bounded, other).await);
        })
        .await;
}

#[test]
fn a_database_is_asked_for_the_position_of_the_role_in_which_it_is_used() {
    let now = Instant::now();
    let databases = [entry("i-a", any_address()), entry("i-b", any_address())];
    let view = shared::LeaderView {
        floor: Some(position(1, 40)),
        ..leader("i-a")
    };
    let until = now + Duration::from_millis(10);
    let beliefs = snapshot(&databases, view.clone(), until);
    let needs = placement::PlacementNeeds {
        replica_since: Some(position(2, 55)),
        needs_lease: true,
    };
    let role = |index: usize, at| placement::role_of(&beliefs, &databases[index], needs, at);
    let asked = |index: usize| {
        role(index, now).and_then(|role| role.position_to_ask(Some(position(2, 60))))
    };
    // A leader that was started anew under its identity lacks what was seen of it.
    assert_eq!(role(0, now), Some(placement::PlacedRole::Leader(&view)));
    assert_eq!(asked(0), Some(position(2, 60)));
    assert_eq!(asked(1), Some(position(2, 55)));
    // Nobody may be relied on to have everything once the lease has ended.
    assert_eq!(role(0, until), None);
    let all = placement::role_of(&beliefs, &databases[1], LEADER_ONLY, now);
    assert_eq!(all, None);
}

/// How long a database takes to answer a read.
const READING: Duration = Duration::from_millis(80);

/// Serves a database that answers each statement with `answer`.
async fn serve_answers(answer: &str) -> std::net::SocketAddr {
    let answer = answer.to_owned();
    let listener = TcpListener::bind(any_address().ip().to_string() + ":0").await;
    let listener = listener.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::task::spawn_local(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                while stream
                    .read_line(&mut line)
                    .await
                    .is_ok_and(|length| length > 0)
                {
                    let reply = if line.starts_with("STARTUP") {
                        "READY I -\r\n"
                    } else {
                        tokio::time::sleep(READING).await;
                        &answer
                    };
                    stream.get_mut().write_all(reply.as_bytes()).await.ok();
                    line.clear();
                }
            });
        }
    });
    address
}

/// Has a caller read at `i-a` and changes what the VM believes while that answers. Returns
/// the position that leaders were seen to hold since, which must be dated before the
/// database was asked.
async fn seen_after_read(
    answer: &str,
    known: Option<position::LogPosition>,
    view: shared::LeaderView,
    change: impl FnOnce(&mut shared::EdgeSnapshot),
) -> Option<position::LogPosition> {
    let shared = edge();
    let now = clock::now();
    let databases = [entry("i-a", serve_answers(answer).await)];
    let mut beliefs = snapshot(&databases, view, now + Duration::from_secs(60));
    let policy = configuration::RoutePolicy {
        service: service(),
        guarantee: configuration::ReadGuarantee::BoundedAge {
            max_age: Duration::from_secs(2),
        },
        statement_timeout: Duration::from_millis(400),
        latency_objective: Duration::from_millis(200),
        priority: 0,
        is_public: true,
    };
    let mut configuration = configuration::Configuration::clone(&beliefs.configuration);
    configuration.routes.insert("browse".to_owned(), policy);
    beliefs.configuration = Arc::new(configuration);
    if let Some(known) = known {
        shared.record_position(&service(), now, known);
    }
    shared.publish(beliefs.clone(), true);
    let metrics = metrics::TrafficMetrics::new(&prometheus::Registry::new());
    let metrics = metrics.expect("the names are new");
    let context = Rc::new(traffic::TrafficContext::new(Arc::clone(&shared), metrics));
    context.dispatch.apply_snapshot(now);
    let listener = TcpListener::bind(any_address().ip().to_string() + ":0").await;
    let listener = listener.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    tokio::task::spawn_local(async move {
        if let Ok((stream, _)) = listener.accept().await {
            session::serve(stream, context).await;
        }
    });
    let mut caller = TcpStream::connect(address).await.expect("it connects");
    let text = b"STARTUP browse key\r\nQUERY 1 READ a\r\n";
    caller.write_all(text).await.expect("it sends");
    tokio::time::sleep(READING / 2).await;
    let asked_before = clock::now();
    change(&mut beliefs);
    shared.publish(beliefs, true);
    // READY after STARTUP, then the answer's last line.
    let mut lines = BufReader::new(caller).lines();
    for _ in 0..2 {
        while let Ok(Some(line)) = lines.next_line().await {
            if line.starts_with("READY") {
                break;
            }
        }
    }
    let positions = shared.positions();
    let history = positions.get(&service());
    let latest = history.and_then(|history| history.latest_sample());
    let latest = latest.filter(|(asked, _)| *asked > now);
    assert!(latest.is_none_or(|(asked, _)| asked < asked_before));
    latest.map(|(_, position)| position)
}

#[tokio::test]
async fn a_leader_s_answer_tells_what_it_holds() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let seen =
                seen_after_read(&contents::read_answer("1.5"), None, leader("i-a"), |_| {}).await;
            assert_eq!(seen, Some(position(1, 5)));
        })
        .await;
}

#[tokio::test]
async fn an_answer_of_a_leader_whose_lease_had_ended_tells_nothing() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            // A read with a bound goes to the former leader like to any replica.
            let known = Some(position(1, 5));
            let other = |beliefs: &mut shared::EdgeSnapshot| {
                beliefs.leaders = Arc::new([(service(), leader("i-a"))].into());
                beliefs.leases.clear();
            };
            let seen =
                seen_after_read(&contents::read_answer("1.5"), known, leader("i-b"), other).await;
            assert_eq!(seen, None);
        })
        .await;
}

// A replica's answer that came after the replica had been named leader counted as what a
// leader held when the statement was sent, so that later reads asked for too little.
#[tokio::test]
async fn an_answer_of_a_replica_that_is_named_meanwhile_is_none_of_a_leader() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let name_it = |beliefs: &mut shared::EdgeSnapshot| {
                beliefs.leaders = Arc::new([(service(), leader("i-a"))].into());
            };
            let known = Some(position(1, 5));
            let seen =
                seen_after_read(&contents::read_answer("1.5"), known, leader("i-b"), name_it).await;
            assert_eq!(seen, None);
        })
        .await;
}

// A leader that was just named and has not applied its log yet told a VM that had seen no
// position before less than was acknowledged.
#[tokio::test]
async fn a_leader_that_has_not_applied_its_log_does_not_tell_what_it_holds() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let view = shared::LeaderView {
                floor: Some(position(1, 9)),
                ..leader("i-a")
            };
            let lagging = "ERROR LAGGING i-a\r\nREADY I 1.5\r\n";
            let seen = seen_after_read(lagging, None, view, |_| {}).await;
            assert_eq!(seen, None);
        })
        .await;
}

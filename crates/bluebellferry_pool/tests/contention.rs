//! The connection pool, when statements outnumber connections.
//!
//! Covers statements of several workspaces that compete for a database's few connections, a
//! database that refuses further connections (as it does to a VM that comes back after a restart
//! while its old connections still count), borrowed connections, and the estimates of latency and
//! waiting time.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::estimate;
use bluebellferry_pool::grant_rate;
use bluebellferry_pool::pool;
use bluebellferry_types::name;

type Pool = pool::ConnectionPool<&'static str>;

fn workspace(text: &str) -> name::WorkspaceName {
    name::WorkspaceName::try_from(text).expect("a valid name")
}

fn request(text: &str, slo_deadline: Instant) -> pool::ConnectionRequest {
    pool::ConnectionRequest {
        workspace: workspace(text),
        priority: 1,
        slo_deadline,
    }
}

/// Opens a connection for a workspace while no statement waits, and takes it into use.
fn open_and_take(pool: &mut Pool, text: &str, connection: &'static str, now: Instant) {
    let name = workspace(text);
    assert!(pool.begin_open(&name, 0, now).is_some());
    assert!(pool.finish_open(0, name.clone(), connection, now).is_none());
    assert_eq!(pool.reuse_idle(&name, 0), Some(connection));
}

/// Returns whether a connection is granted to the expected statement.
fn is_granted(action: Option<pool::PoolAction<&'static str>>, expected: pool::WaiterId) -> bool {
    matches!(action, Some(pool::PoolAction::Grant { waiter, .. }) if waiter == expected)
}

#[test]
fn connections_never_exceed_the_limit() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 2, 0);
    open_and_take(&mut pool, "a", "c1", now);
    open_and_take(&mut pool, "b", "c2", now);
    assert!(pool.begin_open(&workspace("c"), 0, now).is_none());
    assert_eq!(pool.connection_count(0), 2);
}

#[test]
fn the_longest_idle_connection_of_another_workspace_is_evicted() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 2, 0);
    open_and_take(&mut pool, "a", "old", now);
    open_and_take(&mut pool, "b", "new", now);
    pool.release(0, workspace("a"), "old", now);
    pool.release(0, workspace("b"), "new", now + Duration::from_millis(5));
    let opening = pool
        .begin_open(&workspace("c"), 0, now)
        .expect("an idle connection is evicted");
    assert_eq!(opening.evicted, Some("old"));
    assert_eq!(pool.connection_count(0), 2);
}

#[test]
fn a_released_connection_goes_to_a_waiting_statement_of_its_workspace_first() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 1, 0);
    open_and_take(&mut pool, "a", "c1", now);
    let same_workspace = pool.enqueue(request("a", now + Duration::from_millis(100)), vec![0]);
    let other = pool.enqueue(request("b", now), vec![0]);
    let action = pool.release(0, workspace("a"), "c1", now);
    assert!(is_granted(action, same_workspace.expect("there is room")));
    // No statement of that workspace waits any more: the other workspace gets a connection.
    let action = pool.release(0, workspace("a"), "c1", now);
    let Some(pool::PoolAction::Open(opening)) = action else {
        panic!("{action:?}");
    };
    assert_eq!(
        (opening.workspace, opening.evicted),
        (workspace("b"), Some("c1"))
    );
    let action = pool.finish_open(0, workspace("b"), "c2", now);
    assert!(is_granted(action, other.expect("there is room")));
}

#[test]
fn a_statement_with_a_much_earlier_deadline_evicts_a_released_connection() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 1, 0);
    open_and_take(&mut pool, "a", "c1", now);
    let later_deadline = now + pool::MIN_EVICTION_LEAD + Duration::from_millis(1);
    pool.enqueue(request("a", later_deadline), vec![0]);
    pool.enqueue(request("b", now), vec![0]);
    let action = pool.release(0, workspace("a"), "c1", now);
    assert!(
        matches!(action, Some(pool::PoolAction::Open(_))),
        "{action:?}"
    );
}

#[test]
fn the_earliest_deadline_is_served_first() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 1, 0);
    open_and_take(&mut pool, "a", "c1", now);
    pool.enqueue(request("a", now + Duration::from_millis(200)), vec![0]);
    let first = pool.enqueue(request("a", now + Duration::from_millis(100)), vec![0]);
    let action = pool.release(0, workspace("a"), "c1", now);
    assert!(is_granted(action, first.expect("there is room")));
}

#[test]
fn a_statement_that_can_meet_its_deadline_is_served_before_a_late_one() {
    let now = Instant::now();
    let latency = Duration::from_millis(20);
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 1, 0);
    pool.set_expected_latency(0, latency);
    open_and_take(&mut pool, "a", "c1", now);
    let late = pool.enqueue(request("a", now + latency / 2), vec![0]);
    let in_time = pool.enqueue(request("a", now + latency * 2), vec![0]);
    let action = pool.release(0, workspace("a"), "c1", now);
    assert!(is_granted(action, in_time.expect("there is room")));
    let action = pool.release(0, workspace("a"), "c1", now);
    assert!(is_granted(action, late.expect("there is room")));
}

#[test]
fn concurrent_handshakes_are_limited() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 8, 0);
    let openings = (0..8).filter(|_| pool.begin_open(&workspace("a"), 0, now).is_some());
    assert_eq!(openings.count(), pool::MAX_CONCURRENT_OPENINGS);
}

#[test]
fn no_connection_is_opened_for_a_while_to_a_database_at_its_limit() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 4, 0);
    let name = workspace("a");
    assert!(pool.begin_open(&name, 0, now).is_some());
    let waiter = pool
        .enqueue(request("a", now), vec![0])
        .expect("there is room");
    pool.record_limit_refusal(0, now);
    assert_eq!(pool.fail_open(0, &name), [waiter]);
    assert!(pool.begin_open(&name, 0, now).is_none());
    assert!(
        pool.begin_open(&name, 0, now + Duration::from_secs(1))
            .is_some()
    );
}

#[test]
fn the_queue_is_bounded() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 1, 0);
    for _ in 0..pool::MAX_WAITING_STATEMENTS {
        assert!(pool.enqueue(request("a", now), vec![0]).is_some());
    }
    assert!(pool.enqueue(request("a", now), vec![0]).is_none());
}

#[test]
fn a_lower_limit_closes_idle_connections_only() {
    let now = Instant::now();
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 3, 0);
    open_and_take(&mut pool, "a", "c1", now);
    open_and_take(&mut pool, "a", "c2", now);
    pool.release(0, workspace("a"), "c1", now);
    assert_eq!(pool.set_connection_limit(0, 1, 0), ["c1"]);
    assert_eq!(pool.in_use(0), 1);
}

#[test]
fn the_latency_estimate_of_a_slow_database_decays() {
    let now = Instant::now();
    let initial = Duration::from_millis(20);
    let mut latency = estimate::LatencyEstimate::new(initial);
    for _ in 0..100 {
        latency.record(Duration::from_millis(500), now);
    }
    assert!(latency.expected(now) > Duration::from_millis(400));
    assert!(latency.expected(now + Duration::from_secs(20)) < Duration::from_millis(25));
}

#[test]
fn the_response_timeout_follows_the_latency_within_its_bounds() {
    let now = Instant::now();
    let (min, max) = (Duration::from_millis(50), Duration::from_secs(1));
    let mut latency = estimate::LatencyEstimate::new(Duration::from_millis(20));
    for _ in 0..200 {
        latency.record(Duration::from_millis(20), now);
    }
    assert_eq!(latency.response_timeout(min, max), min);
    for _ in 0..200 {
        latency.record(Duration::from_millis(900), now);
    }
    assert!(latency.response_timeout(min, max) > Duration::from_millis(800));
}

#[test]
fn a_borrowed_connection_is_closed_once_it_has_been_idle() {
    let start = Instant::now();
    let idle_timeout = Duration::from_millis(150);
    let mut pool = Pool::default();
    pool.set_connection_limit(0, 1, 1);
    open_and_take(&mut pool, "a", "c1", start);
    open_and_take(&mut pool, "b", "c2", start);
    pool.release(0, workspace("a"), "c1", start);
    assert!(pool.has_borrowed_idle(0));
    assert!(pool.drain_borrowed(0, idle_timeout, start).is_empty());
    assert_eq!(
        pool.drain_borrowed(0, idle_timeout, start + idle_timeout),
        ["c1"]
    );
    // The remaining connection is within the VM's allocation.
    pool.release(0, workspace("b"), "c2", start + idle_timeout);
    assert!(!pool.has_borrowed_idle(0));
    assert!(
        pool.drain_borrowed(0, idle_timeout, start + 3 * idle_timeout)
            .is_empty()
    );
}

#[test]
fn a_wait_is_estimated_only_from_enough_recent_grants() {
    let start = Instant::now();
    let interval = Duration::from_millis(10);
    let mut grants = grant_rate::GrantRate::default();
    for step in 0..10 {
        grants.record(true, start + interval * step);
    }
    let now = start + interval * 9;
    assert_eq!(grants.expected_wait(4, now), None);
    grants.record(true, start + interval * 10);
    let wait = grants
        .expected_wait(4, now + interval)
        .expect("there were enough grants");
    assert!(
        wait.abs_diff(interval * 5) < Duration::from_millis(1),
        "{wait:?}"
    );
    // The last grant is too old for an estimate.
    assert_eq!(grants.expected_wait(4, now + Duration::from_secs(1)), None);
    // No other statement waits any more: the estimate is reset.
    grants.record(false, now + interval * 2);
    assert_eq!(grants.expected_wait(4, now + interval * 2), None);
}

#[test]
fn a_statement_is_refused_early_only_if_it_would_far_exceed_its_remaining_time() {
    let left = Duration::from_millis(800);
    assert_eq!(grant_rate::likely_overrun(left, left), None);
    assert_eq!(grant_rate::likely_overrun(left * 2, left), None);
    assert_eq!(grant_rate::likely_overrun(left * 3, left), Some(left * 2));
}

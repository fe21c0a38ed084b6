//! Few connections, many statements.
//!
//! Patterns: statements of several workspaces that take turns at a database
//! with few connections; a database that refuses further connections; a VM that
//! comes back after a restart.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::estimate;
use bluebellferry_pool::grant_rate;
use bluebellferry_pool::pool;
use bluebellferry_types::name;

type Budget = pool::ConnectionPool<&'static str>;

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

/// Opens a connection for a workspace that nobody waits for, and takes it.
fn hold(budget: &mut Budget, text: &str, connection: &'static str, now: Instant) {
    let name = workspace(text);
    assert!(budget.begin_open(&name, 0, now).is_some());
    assert!(
        budget
            .finish_open(0, name.clone(), connection, now)
            .is_none()
    );
    assert_eq!(budget.reuse_idle(&name, 0), Some(connection));
}

fn is_delivered(action: Option<pool::PoolAction<&'static str>>, expected: pool::WaiterId) -> bool {
    matches!(action, Some(pool::PoolAction::Deliver { waiter, .. }) if waiter == expected)
}

#[test]
fn a_vm_never_holds_more_than_its_allowance() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 2, 0);
    hold(&mut budget, "a", "c1", now);
    hold(&mut budget, "b", "c2", now);
    assert!(budget.begin_open(&workspace("c"), 0, now).is_none());
    assert_eq!(budget.connection_count(0), 2);
}

#[test]
fn the_longest_idle_connection_of_another_workspace_gives_way() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 2, 0);
    hold(&mut budget, "a", "old", now);
    hold(&mut budget, "b", "new", now);
    budget.release(0, workspace("a"), "old", now);
    budget.release(0, workspace("b"), "new", now + Duration::from_millis(5));
    let opening = budget
        .begin_open(&workspace("c"), 0, now)
        .expect("one gives way");
    assert_eq!(opening.evicted, Some("old"));
    assert_eq!(budget.connection_count(0), 2);
}

#[test]
fn a_connection_stays_with_its_workspace_unless_another_is_due_much_earlier() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 1, 0);
    hold(&mut budget, "a", "c1", now);
    let same = budget.wait(request("a", now + Duration::from_millis(100)), vec![0]);
    let other = budget.wait(request("b", now), vec![0]);
    let action = budget.release(0, workspace("a"), "c1", now);
    assert!(is_delivered(action, same.expect("there is room")));
    // Nobody of the same workspace waits: the other one gets its turn.
    let action = budget.release(0, workspace("a"), "c1", now);
    let Some(pool::PoolAction::Open(opening)) = action else {
        panic!("{action:?}");
    };
    assert_eq!(
        (opening.workspace, opening.evicted),
        (workspace("b"), Some("c1"))
    );
    let action = budget.finish_open(0, workspace("b"), "c2", now);
    assert!(is_delivered(action, other.expect("there is room")));
}

#[test]
fn a_statement_that_is_due_much_earlier_takes_the_place() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 1, 0);
    hold(&mut budget, "a", "c1", now);
    let late = now + pool::MIN_SWITCH_LEAD + Duration::from_millis(1);
    budget.wait(request("a", late), vec![0]);
    budget.wait(request("b", now), vec![0]);
    let action = budget.release(0, workspace("a"), "c1", now);
    assert!(
        matches!(action, Some(pool::PoolAction::Open(_))),
        "{action:?}"
    );
}

#[test]
fn the_statement_that_is_due_first_is_served_first() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 1, 0);
    hold(&mut budget, "a", "c1", now);
    budget.wait(request("a", now + Duration::from_millis(200)), vec![0]);
    let first = budget.wait(request("a", now + Duration::from_millis(100)), vec![0]);
    let action = budget.release(0, workspace("a"), "c1", now);
    assert!(is_delivered(action, first.expect("there is room")));
}

#[test]
fn a_statement_that_can_be_answered_in_time_goes_before_a_late_one() {
    let now = Instant::now();
    let answer = Duration::from_millis(20);
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 1, 0);
    budget.set_expected_latency(0, answer);
    hold(&mut budget, "a", "c1", now);
    let late = budget.wait(request("a", now + answer / 2), vec![0]);
    let in_time = budget.wait(request("a", now + answer * 2), vec![0]);
    let action = budget.release(0, workspace("a"), "c1", now);
    assert!(is_delivered(action, in_time.expect("there is room")));
    let action = budget.release(0, workspace("a"), "c1", now);
    assert!(is_delivered(action, late.expect("there is room")));
}

#[test]
fn handshakes_do_not_crowd_out_statements() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 8, 0);
    let openings = (0..8).filter(|_| budget.begin_open(&workspace("a"), 0, now).is_some());
    assert_eq!(openings.count(), pool::MAX_CONCURRENT_OPENINGS);
}

#[test]
fn a_database_at_its_limit_is_left_alone_for_a_while() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 4, 0);
    let name = workspace("a");
    assert!(budget.begin_open(&name, 0, now).is_some());
    let waiter = budget
        .wait(request("a", now), vec![0])
        .expect("there is room");
    budget.record_limit_refusal(0, now);
    assert_eq!(budget.fail_open(0, &name), [waiter]);
    assert!(budget.begin_open(&name, 0, now).is_none());
    assert!(
        budget
            .begin_open(&name, 0, now + Duration::from_secs(1))
            .is_some()
    );
}

#[test]
fn the_queue_is_bounded() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 1, 0);
    for _ in 0..pool::MAX_WAITING_STATEMENTS {
        assert!(budget.wait(request("a", now), vec![0]).is_some());
    }
    assert!(budget.wait(request("a", now), vec![0]).is_none());
}

#[test]
fn a_smaller_allowance_closes_idle_connections_only() {
    let now = Instant::now();
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 3, 0);
    hold(&mut budget, "a", "c1", now);
    hold(&mut budget, "a", "c2", now);
    budget.release(0, workspace("a"), "c1", now);
    assert_eq!(budget.set_connection_limit(0, 1, 0), ["c1"]);
    assert_eq!(budget.in_use(0), 1);
}

#[test]
fn a_database_that_was_slow_is_tried_again() {
    let now = Instant::now();
    let first = Duration::from_millis(20);
    let mut latency = estimate::LatencyEstimate::new(first);
    for _ in 0..100 {
        latency.record(Duration::from_millis(500), now);
    }
    assert!(latency.expected(now) > Duration::from_millis(400));
    assert!(latency.expected(now + Duration::from_secs(20)) < Duration::from_millis(25));
}

#[test]
fn patience_follows_what_was_seen_within_its_bounds() {
    let now = Instant::now();
    let (least, most) = (Duration::from_millis(50), Duration::from_secs(1));
    let mut latency = estimate::LatencyEstimate::new(Duration::from_millis(20));
    for _ in 0..200 {
        latency.record(Duration::from_millis(20), now);
    }
    assert_eq!(latency.response_timeout(least, most), least);
    for _ in 0..200 {
        latency.record(Duration::from_millis(900), now);
    }
    assert!(latency.response_timeout(least, most) > Duration::from_millis(800));
}

#[test]
fn a_borrowed_connection_is_given_back_when_it_is_unused() {
    let start = Instant::now();
    let keep = Duration::from_millis(150);
    let mut budget = Budget::default();
    budget.set_connection_limit(0, 1, 1);
    hold(&mut budget, "a", "c1", start);
    hold(&mut budget, "b", "c2", start);
    budget.release(0, workspace("a"), "c1", start);
    assert!(budget.has_borrowed_idle(0));
    assert!(budget.drain_borrowed(0, keep, start).is_empty());
    assert_eq!(budget.drain_borrowed(0, keep, start + keep), ["c1"]);
    // The one that is left is the VM's own.
    budget.release(0, workspace("b"), "c2", start + keep);
    assert!(!budget.has_borrowed_idle(0));
    assert!(budget.drain_borrowed(0, keep, start + 3 * keep).is_empty());
}

#[test]
fn a_wait_is_estimated_only_from_connections_that_came_free_lately() {
    let start = Instant::now();
    let interval = Duration::from_millis(10);
    let mut pace = grant_rate::GrantRate::default();
    for step in 0..10 {
        pace.record(true, start + interval * step);
    }
    let now = start + interval * 9;
    assert_eq!(pace.expected_wait(4, now), None);
    pace.record(true, start + interval * 10);
    let wait = pace
        .expected_wait(4, now + interval)
        .expect("enough came free");
    assert!(
        wait.abs_diff(interval * 5) < Duration::from_millis(1),
        "{wait:?}"
    );
    // Since then none came free, for whatever reason: nothing is known.
    assert_eq!(pace.expected_wait(4, now + Duration::from_secs(1)), None);
    pace.record(false, now + interval * 2);
    assert_eq!(pace.expected_wait(4, now + interval * 2), None);
}

#[test]
fn a_statement_is_refused_only_when_it_is_expected_to_be_far_too_late() {
    let left = Duration::from_millis(800);
    assert_eq!(grant_rate::likely_overrun(left, left), None);
    assert_eq!(grant_rate::likely_overrun(left * 2, left), None);
    assert_eq!(grant_rate::likely_overrun(left * 3, left), Some(left * 2));
}

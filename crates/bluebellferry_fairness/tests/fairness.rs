//! Fair queueing, and the limit on requests in flight.

use std::time::Duration;

use bluebellferry_fairness::concurrency;
use bluebellferry_fairness::queue;
use bluebellferry_fairness::virtual_time;
use bluebellferry_types::name;

fn workspace(text: &str) -> name::WorkspaceName {
    name::WorkspaceName::try_from(text).expect("a valid name")
}

#[test]
fn workspaces_are_served_in_proportion_to_their_weights() {
    let (heavy, light) = (workspace("heavy"), workspace("light"));
    let mut queue = queue::FairQueue::new(1_000);
    for _ in 0..90 {
        queue.push(&heavy, 3, 'h').expect("the queue has room");
        queue.push(&light, 1, 'l').expect("the queue has room");
    }
    let served: Vec<char> = (0..80).filter_map(|_| queue.pop()).collect();
    let heavy = served.iter().filter(|owner| **owner == 'h').count();
    assert!((58..=62).contains(&heavy), "{heavy} of 80");
}

#[test]
fn a_flood_of_requests_leaves_capacity_for_a_quiet_workspace() {
    let (flood, quiet) = (workspace("flood"), workspace("quiet"));
    let mut queue = queue::FairQueue::new(64);
    let mut refused = 0;
    for _ in 0..1_000 {
        refused += usize::from(queue.push(&flood, 1, 'f').is_err());
    }
    assert!(refused > 0);
    for _ in 0..4 {
        queue
            .push(&quiet, 1, 'q')
            .expect("the queue has room for the quiet workspace");
    }
    let first: Vec<char> = (0..8).filter_map(|_| queue.pop()).collect();
    assert_eq!(first.iter().filter(|owner| **owner == 'q').count(), 4);
}

#[test]
fn an_inactive_workspace_accumulates_no_credit() {
    let (early, late) = (workspace("early"), workspace("late"));
    let mut queue = queue::FairQueue::new(1_000);
    for _ in 0..100 {
        queue.push(&early, 1, 'e').expect("the queue has room");
    }
    for _ in 0..50 {
        queue.pop();
    }
    for _ in 0..50 {
        queue.push(&late, 1, 'l').expect("the queue has room");
    }
    let next: Vec<char> = (0..20).filter_map(|_| queue.pop()).collect();
    let late = next.iter().filter(|owner| **owner == 'l').count();
    assert!((9..=11).contains(&late), "{late} of 20");
}

#[test]
fn the_limit_falls_while_a_database_queues_and_rises_again() {
    let mut limit = concurrency::ConcurrencyLimit::new(2, 20);
    for _ in 0..50 {
        limit.record(Duration::from_millis(2), true);
    }
    assert_eq!(limit.current(), 20);
    for _ in 0..200 {
        limit.record(Duration::from_millis(20), true);
    }
    let lowered = limit.current();
    assert!(lowered < 20, "{lowered}");
    for _ in 0..2_000 {
        limit.record(Duration::from_millis(2), true);
    }
    assert!(limit.current() > lowered, "{}", limit.current());
}

#[test]
fn a_waiting_workspace_keeps_its_turn() {
    let (busy, quiet) = (workspace("busy"), workspace("quiet"));
    let mut clock = virtual_time::VirtualClock::default();
    clock.activate(&quiet);
    for _ in 0..5 {
        let start = clock.assign_turn(&busy, 1);
        clock.advance(start, |workspace| *workspace == quiet);
    }
    let lead = clock.next_start(&busy) - clock.next_start(&quiet);
    assert_eq!(lead, 5 * virtual_time::TURN_LENGTH);
}

#[test]
fn a_reactivated_workspace_starts_at_the_current_virtual_time() {
    let (busy, quiet) = (workspace("busy"), workspace("quiet"));
    let mut clock = virtual_time::VirtualClock::default();
    clock.activate(&quiet);
    for _ in 0..5 {
        let start = clock.assign_turn(&busy, 1);
        clock.advance(start, |_| false);
    }
    clock.activate(&quiet);
    let lead = clock.next_start(&busy) - clock.next_start(&quiet);
    assert_eq!(lead, virtual_time::TURN_LENGTH);
}

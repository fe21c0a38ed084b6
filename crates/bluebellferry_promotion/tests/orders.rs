//! Tests of orders to promote a database that take effect late.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_promotion::order;
use bluebellferry_promotion::successor;
use bluebellferry_types::name;
use bluebellferry_types::position;

fn id(text: &str) -> name::DatabaseName {
    name::DatabaseName::try_from(text).expect("a valid name")
}

fn watch(unsettled: u32, now: Instant) -> order::OrderWatch {
    let order = leadership::PromotionOrder {
        database: id("r1"),
        number: 4,
        unsettled,
    };
    order::OrderWatch::new(order, now)
}

fn replica(text: &str, offset: u64) -> successor::DatabaseEvidence {
    successor::DatabaseEvidence {
        id: id(text),
        is_leader: false,
        is_draining: false,
        fenced_position: Some(position::LogPosition::new(1, offset)),
        reported_leadership: None,
        earlier_position: None,
    }
}

// Guards against lost commits: another database was promoted and acknowledged commits, before an
// earlier order took effect seconds late.
#[test]
fn no_other_database_is_promoted_while_an_order_may_take_effect() {
    let now = Instant::now();
    let watch = watch(1, now);
    let databases = [replica("r1", 10), replica("r2", 12)];
    let reign = successor::ReplacedReign {
        ordered: watch.outstanding(now),
        ..successor::ReplacedReign::of_term(1)
    };
    let choice = successor::choose_successor(&databases, &reign);
    assert_eq!(choice, successor::SuccessorChoice::Wait);
    let same = [replica("r1", 10), replica("r2", 10)];
    let choice = successor::choose_successor(&same, &reign);
    let expected = successor::SuccessorChoice::Promote {
        id: id("r1"),
        position: position::LogPosition::new(1, 10),
    };
    assert_eq!(choice, expected);
    let later = successor::ReplacedReign {
        ordered: watch.outstanding(now + order::ORDER_EFFECT_LIMIT),
        ..successor::ReplacedReign::of_term(1)
    };
    let choice = successor::choose_successor(&databases, &later);
    assert!(
        matches!(choice, successor::SuccessorChoice::Promote { id, .. } if id.as_str() == "r2")
    );
}

#[test]
fn order_is_settled_once_its_database_has_led() {
    let now = Instant::now();
    let mut watch = watch(1, now);
    watch.record_leader(&id("r2"));
    assert_eq!(watch.outstanding(now), Some(&id("r1")));
    watch.record_leader(&id("r1"));
    assert_eq!(watch.outstanding(now), None);
}

// Guards against a repeated order that takes effect after its database led and was replaced.
#[test]
fn repeated_orders_are_outstanding_although_the_database_has_led() {
    let now = Instant::now();
    let mut watch = watch(2, now);
    watch.record_leader(&id("r1"));
    assert_eq!(watch.outstanding(now), Some(&id("r1")));
}

#[test]
fn refused_order_leaves_only_earlier_ones_outstanding() {
    let now = Instant::now();
    let mut first = watch(1, now);
    first.record_void();
    assert_eq!(first.outstanding(now), None);
    assert_eq!(first.next_order(&id("r2"), now).unsettled, 1);
    let mut second = watch(2, now);
    second.record_void();
    assert_eq!(second.outstanding(now), Some(&id("r1")));
    assert_eq!(second.next_order(&id("r1"), now).unsettled, 2);
    let settled_at = now + order::ORDER_EFFECT_LIMIT + Duration::from_millis(1);
    let next = second.next_order(&id("r1"), settled_at);
    assert_eq!((next.number, next.unsettled), (5, 1));
}

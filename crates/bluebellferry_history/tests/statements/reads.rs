use bluebellferry_history::statement;
use bluebellferry_types::position;
use statement::RouteKind;
use statement::StatementAction as Action;
use statement::StatementHistory;

use crate::draft::*;

/// Returns a history in which commit 1 is acknowledged at noon and a read of
/// `kind` by a session is sent later and runs on a log that ends at `offset`.
fn read_after(kind: RouteKind, session: u64, later_us: u64, offset: u64) -> StatementHistory {
    let mut history = history();
    push_write(&mut history, NOON);
    let mut read = sent("r", Action::Read, NOON + later_us);
    (read.kind, read.session) = (kind, session);
    push(&mut history, read, offset);
    history
}

fn stale() -> Vec<statement::StatementViolation> {
    vec![statement::StatementViolation::StaleRead {
        request: "r".to_owned(),
        database: "a".to_owned(),
        position: position::LogPosition::new(1, 0),
        missing: position::LogPosition::new(1, 1),
    }]
}

const BOUND: u64 = 1_500 * MS;
const BOUNDED: RouteKind = RouteKind::BoundedAge { bound_us: BOUND };
const OWN: RouteKind = RouteKind::ReadYourWrites { bound_us: BOUND };

#[test]
fn a_read_that_must_see_everything_sees_what_was_acknowledged_before_its_first_byte() {
    assert_eq!(check(&read_after(RouteKind::Primary, 2, 1, 0)), stale());
    assert_eq!(check(&read_after(RouteKind::Primary, 2, 1, 1)), []);
    assert_eq!(check(&read_after(RouteKind::Primary, 2, 0, 0)), []);
}

#[test]
fn a_read_with_a_bound_sees_what_is_older_than_the_bound() {
    assert_eq!(check(&read_after(BOUNDED, 1, BOUND + 1, 0)), stale());
    assert_eq!(check(&read_after(BOUNDED, 1, BOUND + 1, 1)), []);
    assert_eq!(check(&read_after(BOUNDED, 1, BOUND, 0)), []);
}

#[test]
fn a_session_sees_its_own_commits_at_once_and_others_within_the_bound() {
    assert_eq!(check(&read_after(OWN, 1, 1, 0)), stale());
    assert_eq!(check(&read_after(OWN, 1, 1, 1)), []);
    assert_eq!(check(&read_after(OWN, 2, 1, 0)), []);
    assert_eq!(check(&read_after(OWN, 2, BOUND + 1, 0)), stale());
}

#[test]
fn a_transactions_reads_see_what_was_acknowledged_before_its_first_byte() {
    let begun = |begun_us: u64| {
        let mut history = history();
        push_write(&mut history, NOON);
        history
            .statements
            .push(step(7, "b", Action::Begin, begun_us));
        push(&mut history, step(7, "r", Action::Read, NOON + 5 * MS), 0);
        check(&history)
    };
    assert_eq!(begun(NOON + 1), stale());
    assert_eq!(begun(NOON), []);
}

#[test]
fn commits_that_were_not_acknowledged_or_were_rolled_back_need_not_be_seen() {
    let stale_read = read_after(RouteKind::Primary, 2, 1, 0);
    let unacknowledged = with(&stale_read, |history| {
        history.commits[0].acknowledged_us = None;
    });
    assert_eq!(check(&unacknowledged), []);
    let asynchronous = with(&stale_read, |history| {
        history.commits[0].is_synchronous = false;
    });
    assert_eq!(check(&asynchronous), stale());
    let kept = with(&asynchronous, |history| {
        history.promotions.push(promotion(1, 2 * NOON));
    });
    assert_eq!(check(&kept), stale());
    let rolled_back = with(&asynchronous, |history| {
        history.promotions.push(promotion(0, 2 * NOON));
    });
    assert_eq!(check(&rolled_back), []);
}

#[test]
fn a_longer_log_of_a_replaced_leader_does_not_hold_its_successors_commits() {
    let mut history = history();
    history.promotions.push(promotion(3, NOON));
    let write = sent("w", Action::Write, NOON + MS);
    let mut committed = commit(&write, 2, 4);
    committed.database = "b".to_owned();
    history.commits.push(committed);
    push(&mut history, write, 4);
    push(&mut history, sent("r", Action::Read, NOON + 9 * MS), 7);
    assert_eq!(check(&history).len(), 1);
    history.runs[1].position = position::LogPosition::new(2, 4);
    assert_eq!(check(&history), []);
}

#[test]
fn a_read_that_did_not_run_is_not_stale() {
    let mut history = read_after(RouteKind::Primary, 2, 1, 0);
    history.runs[1].receipt = None;
    history.statements[1].outcome = statement::StatementOutcome::NothingKept;
    assert_eq!(check(&history), []);
}

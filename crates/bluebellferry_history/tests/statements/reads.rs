use bluebellferry_history::statement;
use bluebellferry_types::position;
use statement::RouteKind;
use statement::StatementAction as Action;
use statement::StatementHistory;

use crate::fixtures::*;

/// Returns a history in which session 1 has a commit at offset 1 acknowledged at
/// [`BASE`], and a read with the guarantee `kind` in `session` is sent `later_us`
/// afterwards and runs on a log that ends at `offset`.
fn read_after(kind: RouteKind, session: u64, later_us: u64, offset: u64) -> StatementHistory {
    let mut history = new_history();
    push_committed_write(&mut history, BASE);
    let mut read = successful_statement("r", Action::Read, BASE + later_us);
    (read.kind, read.session) = (kind, session);
    push_with_run(&mut history, read, offset);
    history
}

fn stale_read() -> Vec<statement::StatementViolation> {
    vec![statement::StatementViolation::StaleRead {
        request: "r".to_owned(),
        database: "a".to_owned(),
        position: position::LogPosition::new(1, 0),
        missing: position::LogPosition::new(1, 1),
    }]
}

const MAX_STALENESS: u64 = 1_500 * MS;
const BOUNDED: RouteKind = RouteKind::BoundedAge {
    bound_us: MAX_STALENESS,
};
const READ_YOUR_WRITES: RouteKind = RouteKind::ReadYourWrites {
    bound_us: MAX_STALENESS,
};

#[test]
fn primary_read_includes_commits_acknowledged_before_it_was_sent() {
    assert_eq!(
        check(&read_after(RouteKind::Primary, 2, 1, 0)),
        stale_read()
    );
    assert_eq!(check(&read_after(RouteKind::Primary, 2, 1, 1)), []);
    assert_eq!(check(&read_after(RouteKind::Primary, 2, 0, 0)), []);
}

#[test]
fn bounded_read_includes_commits_older_than_bound() {
    assert_eq!(
        check(&read_after(BOUNDED, 1, MAX_STALENESS + 1, 0)),
        stale_read()
    );
    assert_eq!(check(&read_after(BOUNDED, 1, MAX_STALENESS + 1, 1)), []);
    assert_eq!(check(&read_after(BOUNDED, 1, MAX_STALENESS, 0)), []);
}

#[test]
fn session_reads_own_commits_at_once_and_others_after_bound() {
    assert_eq!(check(&read_after(READ_YOUR_WRITES, 1, 1, 0)), stale_read());
    assert_eq!(check(&read_after(READ_YOUR_WRITES, 1, 1, 1)), []);
    assert_eq!(check(&read_after(READ_YOUR_WRITES, 2, 1, 0)), []);
    assert_eq!(
        check(&read_after(READ_YOUR_WRITES, 2, MAX_STALENESS + 1, 0)),
        stale_read()
    );
}

#[test]
fn transaction_reads_include_commits_acknowledged_before_its_start() {
    let begun_at = |begun_us: u64| {
        let mut history = new_history();
        push_committed_write(&mut history, BASE);
        history
            .statements
            .push(transaction_statement(7, "b", Action::Begin, begun_us));
        push_with_run(
            &mut history,
            transaction_statement(7, "r", Action::Read, BASE + 5 * MS),
            0,
        );
        check(&history)
    };
    assert_eq!(begun_at(BASE + 1), stale_read());
    assert_eq!(begun_at(BASE), []);
}

#[test]
fn reads_may_miss_unacknowledged_or_discarded_commits() {
    let history = read_after(RouteKind::Primary, 2, 1, 0);
    let unacknowledged = modified(&history, |history| {
        history.commits[0].acknowledged_us = None;
    });
    assert_eq!(check(&unacknowledged), []);
    let asynchronous = modified(&history, |history| {
        history.commits[0].is_synchronous = false;
    });
    assert_eq!(check(&asynchronous), stale_read());
    let kept = modified(&asynchronous, |history| {
        history.promotions.push(promotion_of_b(1, 2 * BASE));
    });
    assert_eq!(check(&kept), stale_read());
    let discarded = modified(&asynchronous, |history| {
        history.promotions.push(promotion_of_b(0, 2 * BASE));
    });
    assert_eq!(check(&discarded), []);
}

#[test]
fn longer_log_of_replaced_leader_lacks_successors_commits() {
    let mut history = new_history();
    history.promotions.push(promotion_of_b(3, BASE));
    let write = successful_statement("w", Action::Write, BASE + MS);
    let mut committed = commit_of(&write, 2, 4);
    committed.database = "b".to_owned();
    history.commits.push(committed);
    push_with_run(&mut history, write, 4);
    push_with_run(
        &mut history,
        successful_statement("r", Action::Read, BASE + 9 * MS),
        7,
    );
    assert_eq!(check(&history).len(), 1);
    history.runs[1].position = position::LogPosition::new(2, 4);
    assert_eq!(check(&history), []);
}

#[test]
fn failed_read_is_not_stale() {
    let mut history = read_after(RouteKind::Primary, 2, 1, 0);
    history.runs[1].receipt = None;
    history.statements[1].outcome = statement::StatementOutcome::NothingKept;
    assert_eq!(check(&history), []);
}

use bluebellferry_history::statement;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::draft::*;

fn read() -> StatementHistory {
    let mut history = history();
    push(&mut history, sent("r", Action::Read, NOON), 0);
    history
}

fn unasked(request: &str) -> [Violation; 1] {
    [Violation::UnaskedRun {
        request: request.to_owned(),
        database: "a".to_owned(),
    }]
}

#[test]
fn databases_run_only_what_callers_sent() {
    assert_eq!(check(&read()), []);
    let invented = with(&read(), |history| history.statements.clear());
    // An id that nobody sent is no run of any route either.
    assert_eq!(check(&invented), unasked("r"));
    let changed = with(&read(), |history| history.runs[0].text.push('2'));
    assert_eq!(check(&changed), unasked("r"));
}

#[test]
fn the_system_sends_no_reads_writes_or_commits_of_its_own() {
    let own = |action: Action| {
        let mut ran = run(&sent("-", action, NOON), 0);
        ran.transaction = None;
        check(&with(&history(), |history| history.runs.push(ran)))
    };
    assert_eq!(own(Action::Read), unasked("-"));
    assert_eq!(own(Action::Write), unasked("-"));
    assert_eq!(own(Action::Commit), unasked("-"));
    assert_eq!(own(Action::Setup), []);
    assert_eq!(own(Action::Rollback), []);
}

#[test]
fn a_transaction_is_committed_only_when_its_caller_asks() {
    let mut history = history();
    push(&mut history, step(7, "w", Action::Write, NOON), 0);
    let end = step(7, "c", Action::Commit, NOON + 5 * MS);
    let mut committed = commit(&end, 1, 1);
    committed.writes = vec!["w".to_owned()];
    history.commits.push(committed);
    push(&mut history, end, 1);
    assert_eq!(check(&history), []);
    // The write of an open transaction is kept without a COMMIT.
    let early = with(&history, |history| {
        history.commits[0].request = "w".to_owned();
    });
    assert_eq!(check(&early), unasked("w"));
    // The COMMIT of one attempt keeps the write of another.
    let other = with(&history, |history| {
        let write = sent("x", Action::Write, NOON);
        push(history, write, 0);
        history.commits[0].writes.push("x".to_owned());
    });
    assert_eq!(check(&other), unasked("c"));
}

#[test]
fn successes_carry_the_receipt_and_the_rows_of_their_own_request() {
    let foreign = [Violation::ForeignAnswer {
        request: "r".to_owned(),
    }];
    let receipt = with(&read(), |history| {
        history.statements[0].outcome = answered("q");
    });
    assert_eq!(check(&receipt), foreign);
    let rows = with(&read(), |history| {
        history.runs[0].rows.push("row".to_owned());
    });
    assert_eq!(check(&rows), foreign);
    let unrun = with(&read(), |history| history.runs.clear());
    assert_eq!(check(&unrun), foreign);
    // What changes the session needs no database.
    let setup = with(&unrun, |history| {
        history.statements[0].action = Action::Setup;
    });
    assert_eq!(check(&setup), []);
    let doubtful = with(&receipt, |history| {
        history.statements[0].outcome = Outcome::InDoubt;
        history.statements[0].timeout_us = 0;
    });
    assert_eq!(check(&doubtful), []);
}

#[test]
fn statements_run_inside_their_own_transaction() {
    let mut history = history();
    push(&mut history, step(7, "r", Action::Read, NOON), 0);
    push(&mut history, step(7, "q", Action::Read, NOON + 5 * MS), 0);
    push(&mut history, sent("s", Action::Read, NOON + 9 * MS), 0);
    assert_eq!(check(&history), []);
    let mixed = |request: &str| {
        [Violation::MixedTransaction {
            request: request.to_owned(),
        }]
    };
    let outside = with(&history, |history| history.runs[1].transaction = None);
    assert_eq!(check(&outside), mixed("q"));
    let single_inside = with(&history, |history| history.runs[2].transaction = Some(7));
    assert_eq!(check(&single_inside), mixed("s"));
    let other_transaction = with(&history, |history| history.runs[1].transaction = Some(8));
    assert_eq!(check(&other_transaction), mixed("q"));
    let other_connection = with(&history, |history| history.runs[1].connection = 2);
    assert_eq!(check(&other_connection), mixed("q"));
    let foreign = with(&history, |history| history.statements[1].attempt = 9);
    assert_eq!(check(&foreign), mixed("q"));
}

#[test]
fn statements_run_with_the_values_that_their_session_has_set() {
    let zone = ("zone".to_owned(), "amman".to_owned());
    let mut history = read();
    history.statements[0].values.extend([zone.clone()]);
    let foreign = [Violation::ForeignValues {
        request: "r".to_owned(),
    }];
    assert_eq!(check(&history), foreign);
    history.runs[0].values.extend([zone]);
    assert_eq!(check(&history), []);
}

#[test]
fn no_key_reaches_a_database() {
    let leaked = with(&read(), |history| {
        history.statements[0].text = format!("READ {KEY}");
        history.runs[0].text = format!("READ {KEY}");
    });
    let leak = [Violation::LeakedKey {
        database: "a".to_owned(),
    }];
    assert_eq!(check(&leaked), leak);
    let shorter = with(&leaked, |history| {
        history.statements[0].text.pop();
        history.runs[0].text.pop();
    });
    assert_eq!(check(&shorter), []);
}

#[test]
fn an_answer_that_a_database_gave_reaches_its_caller_at_once() {
    let delivery_us = statement::HistoryBounds::default().delivery_us;
    let mut history = read();
    history.statements[0].timeout_us = 10_000 * MS;
    let decided_us = NOON + MS;
    let held = [Violation::HeldAnswer {
        request: "r".to_owned(),
        decided_us,
    }];
    history.statements[0].ended_us = decided_us + delivery_us;
    assert_eq!(check(&history), []);
    history.statements[0].ended_us += 1;
    assert_eq!(check(&history), held);
    let harmed = |ended_us: u64| {
        with(&history, |history| {
            history.faults.push(vm_fault(NOON / 2, ended_us));
        })
    };
    assert_eq!(check(&harmed(decided_us - 4_000 * MS)), []);
    assert_eq!(check(&harmed(decided_us - 4_000 * MS - 1)), held);
    let doubtful = with(&history, |history| {
        history.statements[0].ended_us = decided_us + MS;
        history.statements[0].outcome = Outcome::InDoubt;
    });
    assert_eq!(check(&doubtful), held);
    // An answer that comes when the time is nearly up may be too late.
    let late = with(&doubtful, |history| {
        history.statements[0].timeout_us = delivery_us;
    });
    assert_eq!(check(&late), []);
}

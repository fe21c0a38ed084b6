use bluebellferry_history::statement;
use bluebellferry_types::position;
use statement::StatementAction as Action;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::draft::*;

#[test]
fn a_promoted_database_has_every_commit_acknowledged_before() {
    let mut history = history();
    push_write(&mut history, NOON);
    history.promotions.push(promotion(0, NOON));
    let lost = [Violation::LostCommit {
        commit: position::LogPosition::new(1, 1),
        database: "b".to_owned(),
    }];
    assert_eq!(check(&history), lost);
    let kept = with(&history, |history| history.promotions[0].kept.offset = 1);
    assert_eq!(check(&kept), []);
    let earlier = with(&history, |history| history.promotions[0].promoted_us -= 1);
    let is_lost = |violation: &Violation| matches!(violation, Violation::LostCommit { .. });
    assert!(!check(&earlier).iter().any(is_lost));
    let asynchronous = with(&history, |history| {
        history.commits[0].is_synchronous = false;
    });
    assert_eq!(check(&asynchronous), []);
    let elsewhere = with(&history, |history| {
        history.promotions[0].service = "other".to_owned();
    });
    assert_eq!(check(&elsewhere), []);
}

#[test]
fn a_term_has_one_leader_that_acknowledges() {
    let mut history = history();
    push_write(&mut history, NOON);
    let second = sent("v", Action::Write, NOON + 5 * MS);
    let mut committed = commit(&second, 1, 2);
    committed.database = "b".to_owned();
    history.commits.push(committed);
    push(&mut history, second, 2);
    let shared = [Violation::SharedTerm {
        service: "rental".to_owned(),
        term: 1,
    }];
    assert_eq!(check(&history), shared);
    let silent = with(&history, |history| {
        history.commits[1].acknowledged_us = None;
        history.statements[1].outcome = Outcome::InDoubt;
        history.runs[1].receipt = None;
    });
    assert_eq!(check(&silent), []);
}

#[test]
fn a_replaced_leader_acknowledges_nothing_to_callers() {
    let mut history = history();
    push_write(&mut history, NOON);
    history.commits[0].is_synchronous = false;
    history.promotions.push(promotion(0, NOON - 1));
    let deposed = [Violation::DeposedWrite {
        request: "w".to_owned(),
        database: "a".to_owned(),
    }];
    assert_eq!(check(&history), deposed);
    let before = with(&history, |history| history.promotions[0].promoted_us = NOON);
    assert_eq!(check(&before), []);
    let untold = with(&history, |history| {
        history.statements[0].outcome = Outcome::InDoubt;
        history.runs[0].receipt = None;
    });
    assert_eq!(check(&untold), []);
    // The write was sent at noon less 1 ms; a VM that thawed within 300 ms
    // before may have held it.
    let thawed = |ended_us: u64| {
        with(&history, |history| {
            history.faults.push(vm_fault(NOON / 2, ended_us));
        })
    };
    assert_eq!(check(&thawed(NOON - 301 * MS)), []);
    assert_eq!(check(&thawed(NOON - 301 * MS - 1)), deposed);
}

#[test]
fn fencing_tokens_have_one_holder_and_never_fall() {
    let calls = |calls: &[(&str, u64)]| {
        let mut history = history();
        let calls = calls.iter().zip(NOON..);
        history
            .duty_calls
            .extend(calls.map(
                |((holder, token), arrived_us)| statement::PromotionApiCall {
                    holder: (*holder).to_owned(),
                    token: *token,
                    arrived_us,
                },
            ));
        check(&history)
    };
    let conflict = |token: u64| {
        [Violation::DutyConflict {
            holder: "vm-1".to_owned(),
            token,
        }]
    };
    assert_eq!(calls(&[("vm-0", 3), ("vm-1", 3)]), conflict(3));
    assert_eq!(calls(&[("vm-0", 3), ("vm-1", 2)]), conflict(2));
    assert_eq!(calls(&[("vm-0", 3), ("vm-0", 3), ("vm-1", 4)]), []);
}

#[test]
fn a_write_takes_effect_once_for_each_attempt() {
    let mut history = history();
    push_write(&mut history, NOON);
    let again = commit(&history.statements[0], 1, 2);
    history.commits.push(again);
    let doubled = [Violation::DoubledWrite {
        request: "w".to_owned(),
    }];
    assert_eq!(check(&history), doubled);
    // The same text in another attempt is another write.
    let retried = with(&history, |history| {
        let retry = sent("x", Action::Write, NOON);
        history.commits[1] = commit(&retry, 1, 2);
        push(history, retry, 2);
    });
    assert_eq!(check(&retried), []);
}

#[test]
fn nothing_is_kept_of_an_attempt_that_was_refused_so() {
    let mut history = history();
    push_write(&mut history, NOON);
    let refused = with(&history, |history| {
        history.statements[0].outcome = Outcome::NothingKept;
        history.runs[0].receipt = None;
    });
    let untrue = |request: &str| {
        [Violation::UntrueRefusal {
            request: request.to_owned(),
            commit: position::LogPosition::new(1, 1),
        }]
    };
    assert_eq!(check(&refused), untrue("w"));
    let doubtful = with(&refused, |history| {
        history.statements[0].outcome = Outcome::InDoubt;
    });
    assert_eq!(check(&doubtful), []);
}

#[test]
fn nothing_is_kept_of_a_transaction_whose_end_was_refused_or_that_was_rolled_back() {
    let ended = |action: Action, outcome: Outcome| {
        let mut history = history();
        push(&mut history, step(7, "w", Action::Write, NOON), 0);
        let mut end = step(7, "c", action, NOON + 5 * MS);
        let mut committed = commit(&end, 1, 1);
        committed.writes = vec!["w".to_owned()];
        history.commits.push(committed);
        end.outcome = outcome;
        let mut ran = run(&end, 1);
        ran.receipt = ran.receipt.filter(|_| end.outcome.is_success());
        history.runs.push(ran);
        history.statements.push(end);
        check(&history)
    };
    let untrue = Violation::UntrueRefusal {
        request: "c".to_owned(),
        commit: position::LogPosition::new(1, 1),
    };
    assert_eq!(
        ended(Action::Commit, Outcome::NothingKept),
        std::slice::from_ref(&untrue)
    );
    assert_eq!(ended(Action::Commit, Outcome::InDoubt), []);
    assert_eq!(ended(Action::Commit, answered("c")), []);
    assert!(ended(Action::Rollback, answered("c")).contains(&untrue));
}

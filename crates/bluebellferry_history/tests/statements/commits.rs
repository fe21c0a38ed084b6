use bluebellferry_history::statement;
use bluebellferry_types::position;
use statement::StatementAction as Action;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::fixtures::*;

#[test]
fn promoted_database_has_all_commits_acknowledged_before() {
    let mut history = new_history();
    push_committed_write(&mut history, BASE);
    history.promotions.push(promotion_of_b(0, BASE));
    let lost = [Violation::LostCommit {
        commit: position::LogPosition::new(1, 1),
        database: "b".to_owned(),
    }];
    assert_eq!(check(&history), lost);
    let kept = modified(&history, |history| history.promotions[0].kept.offset = 1);
    assert_eq!(check(&kept), []);
    let earlier = modified(&history, |history| history.promotions[0].promoted_us -= 1);
    let is_lost = |violation: &Violation| matches!(violation, Violation::LostCommit { .. });
    assert!(!check(&earlier).iter().any(is_lost));
    let asynchronous = modified(&history, |history| {
        history.commits[0].is_synchronous = false;
    });
    assert_eq!(check(&asynchronous), []);
    let elsewhere = modified(&history, |history| {
        history.promotions[0].service = "other".to_owned();
    });
    assert_eq!(check(&elsewhere), []);
}

#[test]
fn only_one_database_acknowledges_commits_in_a_term() {
    let mut history = new_history();
    push_committed_write(&mut history, BASE);
    let second = successful_statement("v", Action::Write, BASE + 5 * MS);
    let mut committed = commit_of(&second, 1, 2);
    committed.database = "b".to_owned();
    history.commits.push(committed);
    push_with_run(&mut history, second, 2);
    let shared = [Violation::SharedTerm {
        service: "rental".to_owned(),
        term: 1,
    }];
    assert_eq!(check(&history), shared);
    let unacknowledged = modified(&history, |history| {
        history.commits[1].acknowledged_us = None;
        history.statements[1].outcome = Outcome::InDoubt;
        history.runs[1].receipt = None;
    });
    assert_eq!(check(&unacknowledged), []);
}

#[test]
fn callers_get_no_acknowledgement_from_replaced_leader() {
    let mut history = new_history();
    push_committed_write(&mut history, BASE);
    history.commits[0].is_synchronous = false;
    history.promotions.push(promotion_of_b(0, BASE - 1));
    let replaced_leader_write = [Violation::DeposedWrite {
        request: "w".to_owned(),
        database: "a".to_owned(),
    }];
    assert_eq!(check(&history), replaced_leader_write);
    let before = modified(&history, |history| history.promotions[0].promoted_us = BASE);
    assert_eq!(check(&before), []);
    let in_doubt = modified(&history, |history| {
        history.statements[0].outcome = Outcome::InDoubt;
        history.runs[0].receipt = None;
    });
    assert_eq!(check(&in_doubt), []);
    // The write was sent 1 ms before BASE. A VM whose fault ended within the 300 ms
    // before that may have delayed the write.
    let with_fault = |ended_us: u64| {
        modified(&history, |history| {
            history.faults.push(vm_fault(BASE / 2, ended_us));
        })
    };
    assert_eq!(check(&with_fault(BASE - 301 * MS)), []);
    assert_eq!(
        check(&with_fault(BASE - 301 * MS - 1)),
        replaced_leader_write
    );
}

#[test]
fn fencing_tokens_have_one_holder_and_never_decrease() {
    let calls = |calls: &[(&str, u64)]| {
        let mut history = new_history();
        let calls = calls.iter().zip(BASE..);
        history
            .promotion_api_calls
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
fn write_is_committed_once_per_attempt() {
    let mut history = new_history();
    push_committed_write(&mut history, BASE);
    let again = commit_of(&history.statements[0], 1, 2);
    history.commits.push(again);
    let duplicate = [Violation::DoubledWrite {
        request: "w".to_owned(),
    }];
    assert_eq!(check(&history), duplicate);
    // A write with the same text in another attempt is a different write.
    let retried = modified(&history, |history| {
        let retry = successful_statement("x", Action::Write, BASE);
        history.commits[1] = commit_of(&retry, 1, 2);
        push_with_run(history, retry, 2);
    });
    assert_eq!(check(&retried), []);
}

#[test]
fn refused_attempt_has_no_committed_write() {
    let mut history = new_history();
    push_committed_write(&mut history, BASE);
    let refused = modified(&history, |history| {
        history.statements[0].outcome = Outcome::NothingKept;
        history.runs[0].receipt = None;
    });
    let false_refusal = |request: &str| {
        [Violation::UntrueRefusal {
            request: request.to_owned(),
            commit: position::LogPosition::new(1, 1),
        }]
    };
    assert_eq!(check(&refused), false_refusal("w"));
    let in_doubt = modified(&refused, |history| {
        history.statements[0].outcome = Outcome::InDoubt;
    });
    assert_eq!(check(&in_doubt), []);
}

#[test]
fn refused_or_rolled_back_transaction_has_no_committed_write() {
    let ended_with = |action: Action, outcome: Outcome| {
        let mut history = new_history();
        push_with_run(
            &mut history,
            transaction_statement(7, "w", Action::Write, BASE),
            0,
        );
        let mut end = transaction_statement(7, "c", action, BASE + 5 * MS);
        let mut committed = commit_of(&end, 1, 1);
        committed.writes = vec!["w".to_owned()];
        history.commits.push(committed);
        end.outcome = outcome;
        let mut run = run_of(&end, 1);
        run.receipt = run.receipt.filter(|_| end.outcome.is_success());
        history.runs.push(run);
        history.statements.push(end);
        check(&history)
    };
    let false_refusal = Violation::UntrueRefusal {
        request: "c".to_owned(),
        commit: position::LogPosition::new(1, 1),
    };
    assert_eq!(
        ended_with(Action::Commit, Outcome::NothingKept),
        std::slice::from_ref(&false_refusal)
    );
    assert_eq!(ended_with(Action::Commit, Outcome::InDoubt), []);
    assert_eq!(ended_with(Action::Commit, success_of("c")), []);
    assert!(ended_with(Action::Rollback, success_of("c")).contains(&false_refusal));
}

use bluebellferry_history::statement;
use statement::FaultTarget;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::draft::*;

fn cut() -> [Violation; 1] {
    [Violation::CutRequest {
        request: "r".to_owned(),
        vm: VM.to_owned(),
    }]
}

/// Returns a history with a signal at noon and a read, sent a millisecond
/// before, that had reached a database when its connection ended.
fn broken(is_stop: bool, ended_us: u64) -> StatementHistory {
    let mut history = history();
    history.signals.push(signal(is_stop, NOON));
    let mut read = sent("r", Action::Read, NOON - MS);
    (read.ended_us, read.outcome) = (ended_us, Outcome::Broken);
    read.timeout_us = 60_000 * MS;
    let mut ran = run(&read, 0);
    (ran.ended_us, ran.receipt) = (Some(ended_us), None);
    history.runs.push(ran);
    history.statements.push(read);
    history
}

#[test]
fn an_orderly_stop_cuts_no_request() {
    let history = broken(true, NOON + 4_000 * MS);
    assert_eq!(check(&history), cut());
    let before = with(&history, |history| {
        history.signals[0].sent_us = NOON + 4_000 * MS + 1;
    });
    assert_eq!(check(&before), []);
    let answered = with(&history, |history| {
        history.statements[0].outcome = answered("r");
        history.runs[0].receipt = Some("receipt-r".to_owned());
    });
    assert_eq!(check(&answered), []);
    let elsewhere = with(&history, |history| {
        history.signals[0].vm = "vm-1".to_owned();
    });
    assert_eq!(check(&elsewhere), []);
}

#[test]
fn a_request_that_was_never_taken_is_not_cut() {
    let untaken = |ended_us: u64| {
        let mut history = broken(true, ended_us);
        history.runs.clear();
        check(&history)
    };
    let slack_us = NOON - MS + 200 * MS;
    assert_eq!(untaken(slack_us), []);
    assert_eq!(untaken(slack_us + 1), cut());
}

#[test]
fn a_cut_after_the_time_limit_or_a_fault_or_at_a_working_database_is_no_fault_of_the_stop() {
    let history = broken(true, NOON + 4_000 * MS);
    let timed = |timeout_us: u64| {
        check(&with(&history, |history| {
            history.statements[0].timeout_us = timeout_us;
        }))
    };
    assert_eq!(timed(4_001 * MS), []);
    assert_eq!(timed(4_001 * MS + 1), cut());
    let harmed =
        |fault: statement::FaultSpan| check(&with(&history, |history| history.faults.push(fault)));
    let calm_us = NOON - 4_001 * MS;
    assert_eq!(harmed(vm_fault(NOON / 2, calm_us)), []);
    assert_eq!(harmed(vm_fault(NOON / 2, calm_us - 1)), cut());
    let database = |name: &str| FaultTarget::Database(name.to_owned());
    assert_eq!(harmed(fault(database("a"), NOON, NOON + MS)), []);
    assert_eq!(harmed(fault(database("b"), NOON, NOON + MS)), cut());
    // The last sixth of 6 s begins 5 s after the signal.
    let working = |ended_us: u64| {
        let mut history = broken(true, NOON + 5_500 * MS);
        history.runs[0].ended_us = Some(ended_us);
        check(&history)
    };
    assert_eq!(working(NOON + 5_000 * MS + 1), []);
    assert_eq!(working(NOON + 5_000 * MS), cut());
}

#[test]
fn an_open_transaction_has_half_of_the_grace_to_end() {
    let open = |ended_us: u64| {
        let mut history = broken(true, ended_us);
        history.statements[0].is_in_transaction = true;
        history.statements[0].attempt = 7;
        history.runs[0].transaction = Some(7);
        push(&mut history, step(7, "q", Action::Read, NOON - 9 * MS), 0);
        check(&history)
    };
    assert_eq!(open(NOON + 3_000 * MS), cut());
    assert_eq!(open(NOON + 3_000 * MS + 1), []);
}

#[test]
fn an_open_transaction_is_not_closed_between_its_statements() {
    let closed = |first_us: u64| {
        let mut history = broken(true, NOON + 2_000 * MS);
        history.runs.clear();
        history.statements[0].is_in_transaction = true;
        history.statements[0].attempt = 7;
        history.statements[0].sent_us = history.statements[0].ended_us;
        push(&mut history, step(7, "q", Action::Read, first_us), 0);
        check(&history)
    };
    assert_eq!(closed(NOON - 1), cut());
    // One that began after the signal is not owed more than any request.
    assert_eq!(closed(NOON), []);
}

#[test]
fn a_reload_cuts_no_request() {
    assert_eq!(check(&broken(false, NOON + 1)), cut());
    assert_eq!(check(&broken(false, NOON - 1)), []);
}

/// Returns a history with a fault that ends at noon and reads from then on,
/// every 100 ms, that are refused until `served_us`.
fn recovering(served_us: u64) -> StatementHistory {
    let mut history = history();
    history.faults.push(vm_fault(NOON / 2, NOON));
    for number in 0..140 {
        let sent_us = NOON + 1 + number * 100 * MS;
        let mut read = sent(&format!("r{number}"), Action::Read, sent_us);
        if sent_us < served_us {
            read.outcome = Outcome::NothingKept;
            history.statements.push(read);
        } else {
            push(&mut history, read, 0);
        }
    }
    history
}

#[test]
fn a_vm_serves_again_within_the_bound_after_a_fault() {
    let missing = |violation: &Violation| matches!(violation, Violation::MissingRecovery { .. });
    let recovery_us = 12_000 * MS;
    assert_eq!(check(&recovering(NOON + recovery_us)), []);
    let late = recovering(NOON + 13_000 * MS);
    assert!(check(&late).iter().all(missing));
    assert_eq!(check(&late).len(), 1);
    // The silence ends with another fault before the bound is over.
    let again = with(&late, |history| {
        history
            .faults
            .push(vm_fault(NOON + recovery_us, NOON + 20_000 * MS));
    });
    assert_eq!(check(&again), []);
    // One request that is served shows that the VM lives.
    let once = with(&late, |history| {
        let read = &mut history.statements[30];
        read.outcome = answered(&read.request.clone());
        let ran = run(read, 0);
        history.runs.push(ran);
    });
    assert_eq!(check(&once), []);
    // What the VM answers itself does not.
    let begun = with(&late, |history| {
        let read = &mut history.statements[30];
        read.action = Action::Begin;
        read.outcome = answered(&read.request.clone());
    });
    assert_eq!(check(&begun).len(), 1);
    // Refusals of the key say nothing of recovery.
    let denied = with(&late, |history| {
        for statement in &mut history.statements {
            if statement.outcome == Outcome::NothingKept {
                statement.outcome = Outcome::KeyRefused;
                statement.key = "no-key".to_owned();
            }
        }
    });
    assert_eq!(check(&denied), []);
}

#[test]
fn a_quarter_is_served_after_the_last_fault_if_it_was_before() {
    let history = |served: usize| {
        let mut history = history();
        let mut push_reads = |name: &str, from_us: u64, is_served: &dyn Fn(usize) -> bool| {
            for number in 0..40 {
                let sent_us = from_us + 12_001 * MS + number as u64 * 500 * MS;
                let mut read = sent(&format!("{name}{number}"), Action::Read, sent_us);
                if is_served(number) {
                    push(&mut history, read, 0);
                } else {
                    read.outcome = Outcome::NothingKept;
                    history.statements.push(read);
                }
            }
        };
        push_reads("r", 0, &|_| true);
        push_reads("q", NOON, &|number| number < served * 4 && number % 4 == 0);
        history.faults.push(vm_fault(NOON / 2, NOON));
        history
    };
    let ten = history(10);
    assert_eq!(check(&ten), []);
    let nine = check(&history(9));
    let all = Violation::MissingRecovery {
        vm: None,
        since_us: NOON,
        asked: 40,
    };
    assert_eq!(nine, [all]);
    let never = with(&history(9), |history| {
        history
            .statements
            .retain(|statement| statement.sent_us > NOON);
        history.runs.retain(|run| run.started_us > NOON);
    });
    assert_eq!(check(&never), []);
}

#[test]
fn a_leaving_database_gets_nothing_new_after_its_bound() {
    let mut history = history();
    let due_us = NOON + 7_000 * MS;
    history.leaving.push(statement::DrainingDatabase {
        database: "a".to_owned(),
        confirmed_us: NOON,
    });
    push(&mut history, sent("r", Action::Read, due_us - MS), 0);
    assert_eq!(check(&history), []);
    history.statements[0].sent_us += 1;
    history.runs[0].started_us += 1;
    let used = [Violation::LeavingDatabaseUsed {
        request: "r".to_owned(),
        database: "a".to_owned(),
    }];
    assert_eq!(check(&history), used);
    let other = with(&history, |history| {
        history.runs[0].database = "b".to_owned();
    });
    assert_eq!(check(&other), []);
    let harmed = with(&history, |history| {
        history.faults.push(vm_fault(NOON, due_us));
    });
    assert_eq!(check(&harmed), []);
    // An open transaction stays where it is.
    let open = with(&history, |history| {
        history.statements[0].attempt = 7;
        history.statements[0].is_in_transaction = true;
        history.runs[0].transaction = Some(7);
        push(history, step(7, "q", Action::Read, NOON), 0);
    });
    assert_eq!(check(&open), []);
}

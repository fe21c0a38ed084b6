use bluebellferry_history::statement;
use statement::FaultTarget;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::fixtures::*;

fn interrupted() -> [Violation; 1] {
    [Violation::CutRequest {
        request: "r".to_owned(),
        vm: VM.to_owned(),
    }]
}

/// Returns a history with a signal at [`BASE`] and a read that was sent 1 ms before,
/// reached a database and lost its connection at `ended_us`.
fn history_of_lost_connection(is_stop: bool, ended_us: u64) -> StatementHistory {
    let mut history = new_history();
    history.signals.push(signal(is_stop, BASE));
    let mut read = successful_statement("r", Action::Read, BASE - MS);
    (read.ended_us, read.outcome) = (ended_us, Outcome::Broken);
    read.timeout_us = 60_000 * MS;
    let mut run = run_of(&read, 0);
    (run.ended_us, run.receipt) = (Some(ended_us), None);
    history.runs.push(run);
    history.statements.push(read);
    history
}

#[test]
fn orderly_stop_interrupts_no_request() {
    let history = history_of_lost_connection(true, BASE + 4_000 * MS);
    assert_eq!(check(&history), interrupted());
    let before = modified(&history, |history| {
        history.signals[0].sent_us = BASE + 4_000 * MS + 1;
    });
    assert_eq!(check(&before), []);
    let answered = modified(&history, |history| {
        history.statements[0].outcome = success_of("r");
        history.runs[0].receipt = Some("receipt-r".to_owned());
    });
    assert_eq!(check(&answered), []);
    let elsewhere = modified(&history, |history| {
        history.signals[0].vm = "vm-1".to_owned();
    });
    assert_eq!(check(&elsewhere), []);
}

#[test]
fn request_that_was_never_accepted_is_not_interrupted() {
    let unaccepted_until = |ended_us: u64| {
        let mut history = history_of_lost_connection(true, ended_us);
        history.runs.clear();
        check(&history)
    };
    let unread_until_us = BASE - MS + 200 * MS;
    assert_eq!(unaccepted_until(unread_until_us), []);
    assert_eq!(unaccepted_until(unread_until_us + 1), interrupted());
}

#[test]
fn interruption_by_timeout_fault_or_busy_database_is_excused() {
    let history = history_of_lost_connection(true, BASE + 4_000 * MS);
    let with_timeout = |timeout_us: u64| {
        check(&modified(&history, |history| {
            history.statements[0].timeout_us = timeout_us;
        }))
    };
    assert_eq!(with_timeout(4_001 * MS), []);
    assert_eq!(with_timeout(4_001 * MS + 1), interrupted());
    let with_fault = |fault: statement::FaultSpan| {
        check(&modified(&history, |history| history.faults.push(fault)))
    };
    let grace_start_us = BASE - 4_001 * MS;
    assert_eq!(with_fault(vm_fault(BASE / 2, grace_start_us)), []);
    assert_eq!(
        with_fault(vm_fault(BASE / 2, grace_start_us - 1)),
        interrupted()
    );
    let database = |name: &str| FaultTarget::Database(name.to_owned());
    assert_eq!(with_fault(fault_span(database("a"), BASE, BASE + MS)), []);
    assert_eq!(
        with_fault(fault_span(database("b"), BASE, BASE + MS)),
        interrupted()
    );
    // The last sixth of the shutdown grace of 6 s begins 5 s after the signal.
    let executing_until = |ended_us: u64| {
        let mut history = history_of_lost_connection(true, BASE + 5_500 * MS);
        history.runs[0].ended_us = Some(ended_us);
        check(&history)
    };
    assert_eq!(executing_until(BASE + 5_000 * MS + 1), []);
    assert_eq!(executing_until(BASE + 5_000 * MS), interrupted());
}

#[test]
fn open_transaction_has_half_of_shutdown_grace_to_end() {
    let open_until = |ended_us: u64| {
        let mut history = history_of_lost_connection(true, ended_us);
        history.statements[0].is_in_transaction = true;
        history.statements[0].attempt = 7;
        history.runs[0].transaction = Some(7);
        push_with_run(
            &mut history,
            transaction_statement(7, "q", Action::Read, BASE - 9 * MS),
            0,
        );
        check(&history)
    };
    assert_eq!(open_until(BASE + 3_000 * MS), interrupted());
    assert_eq!(open_until(BASE + 3_000 * MS + 1), []);
}

#[test]
fn open_transaction_is_not_closed_between_statements() {
    let begun_at = |first_us: u64| {
        let mut history = history_of_lost_connection(true, BASE + 2_000 * MS);
        history.runs.clear();
        history.statements[0].is_in_transaction = true;
        history.statements[0].attempt = 7;
        history.statements[0].sent_us = history.statements[0].ended_us;
        push_with_run(
            &mut history,
            transaction_statement(7, "q", Action::Read, first_us),
            0,
        );
        check(&history)
    };
    assert_eq!(begun_at(BASE - 1), interrupted());
    // A transaction that began after the signal may be closed between statements.
    assert_eq!(begun_at(BASE), []);
}

#[test]
fn reload_interrupts_no_request() {
    assert_eq!(
        check(&history_of_lost_connection(false, BASE + 1)),
        interrupted()
    );
    assert_eq!(check(&history_of_lost_connection(false, BASE - 1)), []);
}

/// Returns a history with a fault that ends at [`BASE`] and a read every 100 ms from
/// then on; the reads are refused until `served_us`.
fn recovered_at(served_us: u64) -> StatementHistory {
    let mut history = new_history();
    history.faults.push(vm_fault(BASE / 2, BASE));
    for number in 0..140 {
        let sent_us = BASE + 1 + number * 100 * MS;
        let mut read = successful_statement(&format!("r{number}"), Action::Read, sent_us);
        if sent_us < served_us {
            read.outcome = Outcome::NothingKept;
            history.statements.push(read);
        } else {
            push_with_run(&mut history, read, 0);
        }
    }
    history
}

#[test]
fn vm_serves_within_recovery_limit_after_fault() {
    let missing = |violation: &Violation| matches!(violation, Violation::MissingRecovery { .. });
    let recovery_us = 12_000 * MS;
    assert_eq!(check(&recovered_at(BASE + recovery_us)), []);
    let late = recovered_at(BASE + 13_000 * MS);
    assert!(check(&late).iter().all(missing));
    assert_eq!(check(&late).len(), 1);
    // Another fault begins before the recovery limit has passed.
    let with_second_fault = modified(&late, |history| {
        history
            .faults
            .push(vm_fault(BASE + recovery_us, BASE + 20_000 * MS));
    });
    assert_eq!(check(&with_second_fault), []);
    // One request that a database served shows that the VM works.
    let with_one_success = modified(&late, |history| {
        let read = &mut history.statements[30];
        read.outcome = success_of(&read.request.clone());
        let run = run_of(read, 0);
        history.runs.push(run);
    });
    assert_eq!(check(&with_one_success), []);
    // A statement that the VM answers without a database does not show that.
    let with_begin = modified(&late, |history| {
        let read = &mut history.statements[30];
        read.action = Action::Begin;
        read.outcome = success_of(&read.request.clone());
    });
    assert_eq!(check(&with_begin).len(), 1);
    // Refusals because of the API key do not count as failures to recover.
    let with_refused_key = modified(&late, |history| {
        for statement in &mut history.statements {
            if statement.outcome == Outcome::NothingKept {
                statement.outcome = Outcome::KeyRefused;
                statement.key = "no-key".to_owned();
            }
        }
    });
    assert_eq!(check(&with_refused_key), []);
}

#[test]
fn quarter_of_requests_is_served_after_fault_if_served_before() {
    let history_with = |served: usize| {
        let mut history = new_history();
        let mut push_reads = |name: &str, from_us: u64, is_served: &dyn Fn(usize) -> bool| {
            for number in 0..40 {
                let sent_us = from_us + 12_001 * MS + number as u64 * 500 * MS;
                let mut read =
                    successful_statement(&format!("{name}{number}"), Action::Read, sent_us);
                if is_served(number) {
                    push_with_run(&mut history, read, 0);
                } else {
                    read.outcome = Outcome::NothingKept;
                    history.statements.push(read);
                }
            }
        };
        push_reads("r", 0, &|_| true);
        push_reads("q", BASE, &|number| number < served * 4 && number % 4 == 0);
        history.faults.push(vm_fault(BASE / 2, BASE));
        history
    };
    let quarter = history_with(10);
    assert_eq!(check(&quarter), []);
    let less = check(&history_with(9));
    let all_vms = Violation::MissingRecovery {
        vm: None,
        since_us: BASE,
        asked: 40,
    };
    assert_eq!(less, [all_vms]);
    let never_served_before = modified(&history_with(9), |history| {
        history
            .statements
            .retain(|statement| statement.sent_us > BASE);
        history.runs.retain(|run| run.started_us > BASE);
    });
    assert_eq!(check(&never_served_before), []);
}

#[test]
fn draining_database_gets_no_new_statements_after_drain_limit() {
    let mut history = new_history();
    let due_us = BASE + 7_000 * MS;
    history
        .draining_databases
        .push(statement::DrainingDatabase {
            database: "a".to_owned(),
            confirmed_us: BASE,
        });
    push_with_run(
        &mut history,
        successful_statement("r", Action::Read, due_us - MS),
        0,
    );
    assert_eq!(check(&history), []);
    history.statements[0].sent_us += 1;
    history.runs[0].started_us += 1;
    let used = [Violation::LeavingDatabaseUsed {
        request: "r".to_owned(),
        database: "a".to_owned(),
    }];
    assert_eq!(check(&history), used);
    let other = modified(&history, |history| {
        history.runs[0].database = "b".to_owned();
    });
    assert_eq!(check(&other), []);
    let with_fault = modified(&history, |history| {
        history.faults.push(vm_fault(BASE, due_us));
    });
    assert_eq!(check(&with_fault), []);
    // An open transaction stays on the database where it began.
    let open = modified(&history, |history| {
        history.statements[0].attempt = 7;
        history.statements[0].is_in_transaction = true;
        history.runs[0].transaction = Some(7);
        push_with_run(
            history,
            transaction_statement(7, "q", Action::Read, BASE),
            0,
        );
    });
    assert_eq!(check(&open), []);
}

#[test]
fn evacuated_database_gets_no_statements_between_the_limit_and_the_end() {
    let mut history = new_history();
    let due_us = BASE + 5_000 * MS;
    history
        .evacuated_databases
        .push(statement::EvacuatedDatabase {
            database: "a".to_owned(),
            confirmed_us: BASE,
            ended_us: due_us + 1_000 * MS,
        });
    push_with_run(
        &mut history,
        successful_statement("r", Action::Read, due_us - MS),
        0,
    );
    assert_eq!(check(&history), []);
    let at = |offset_us: u64| {
        modified(&history, |history| {
            history.statements[0].sent_us += offset_us;
            history.runs[0].started_us += offset_us;
        })
    };
    let used = [Violation::EvacuatedDatabaseUsed {
        request: "r".to_owned(),
        database: "a".to_owned(),
    }];
    assert_eq!(check(&at(MS)), used);
    assert_eq!(check(&at(1_001 * MS)), []);
}

use bluebellferry_history::statement;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::fixtures::*;

/// Returns a history with one read.
fn history_of_read() -> StatementHistory {
    let mut history = new_history();
    push_with_run(
        &mut history,
        successful_statement("r", Action::Read, BASE),
        0,
    );
    history
}

fn unrequested(request: &str) -> [Violation; 1] {
    [Violation::UnaskedRun {
        request: request.to_owned(),
        database: "a".to_owned(),
    }]
}

#[test]
fn databases_run_only_statements_sent_by_callers() {
    assert_eq!(check(&history_of_read()), []);
    let invented = modified(&history_of_read(), |history| history.statements.clear());
    // The caller's statement is missing for an execution with the id `r`.
    assert_eq!(check(&invented), unrequested("r"));
    let changed = modified(&history_of_read(), |history| history.runs[0].text.push('2'));
    assert_eq!(check(&changed), unrequested("r"));
}

#[test]
fn vms_send_no_reads_writes_or_commits_on_their_own() {
    let sent_by_vm = |action: Action| {
        let mut run = run_of(&successful_statement("-", action, BASE), 0);
        run.transaction = None;
        check(&modified(&new_history(), |history| history.runs.push(run)))
    };
    assert_eq!(sent_by_vm(Action::Read), unrequested("-"));
    assert_eq!(sent_by_vm(Action::Write), unrequested("-"));
    assert_eq!(sent_by_vm(Action::Commit), unrequested("-"));
    assert_eq!(sent_by_vm(Action::Setup), []);
    assert_eq!(sent_by_vm(Action::Rollback), []);
}

#[test]
fn transaction_is_committed_only_on_callers_commit() {
    let mut history = new_history();
    push_with_run(
        &mut history,
        transaction_statement(7, "w", Action::Write, BASE),
        0,
    );
    let end = transaction_statement(7, "c", Action::Commit, BASE + 5 * MS);
    let mut committed = commit_of(&end, 1, 1);
    committed.writes = vec!["w".to_owned()];
    history.commits.push(committed);
    push_with_run(&mut history, end, 1);
    assert_eq!(check(&history), []);
    // A write of an open transaction is committed without a COMMIT.
    let early = modified(&history, |history| {
        history.commits[0].request = "w".to_owned();
    });
    assert_eq!(check(&early), unrequested("w"));
    // The COMMIT of one attempt commits a write of another.
    let other = modified(&history, |history| {
        let write = successful_statement("x", Action::Write, BASE);
        push_with_run(history, write, 0);
        history.commits[0].writes.push("x".to_owned());
    });
    assert_eq!(check(&other), unrequested("c"));
}

#[test]
fn answers_carry_receipt_and_rows_of_their_own_request() {
    let mismatched = [Violation::ForeignAnswer {
        request: "r".to_owned(),
    }];
    let receipt = modified(&history_of_read(), |history| {
        history.statements[0].outcome = success_of("q");
    });
    assert_eq!(check(&receipt), mismatched);
    let rows = modified(&history_of_read(), |history| {
        history.runs[0].rows.push("row".to_owned());
    });
    assert_eq!(check(&rows), mismatched);
    let without_run = modified(&history_of_read(), |history| history.runs.clear());
    assert_eq!(check(&without_run), mismatched);
    // A VM answers changes of the session without a database.
    let setup = modified(&without_run, |history| {
        history.statements[0].action = Action::Setup;
    });
    assert_eq!(check(&setup), []);
    let in_doubt = modified(&receipt, |history| {
        history.statements[0].outcome = Outcome::InDoubt;
        history.statements[0].timeout_us = 0;
    });
    assert_eq!(check(&in_doubt), []);
}

#[test]
fn statements_run_inside_their_own_transaction() {
    let mut history = new_history();
    push_with_run(
        &mut history,
        transaction_statement(7, "r", Action::Read, BASE),
        0,
    );
    push_with_run(
        &mut history,
        transaction_statement(7, "q", Action::Read, BASE + 5 * MS),
        0,
    );
    push_with_run(
        &mut history,
        successful_statement("s", Action::Read, BASE + 9 * MS),
        0,
    );
    assert_eq!(check(&history), []);
    let mixed = |request: &str| {
        [Violation::MixedTransaction {
            request: request.to_owned(),
        }]
    };
    let outside = modified(&history, |history| history.runs[1].transaction = None);
    assert_eq!(check(&outside), mixed("q"));
    let single_inside = modified(&history, |history| history.runs[2].transaction = Some(7));
    assert_eq!(check(&single_inside), mixed("s"));
    let other_transaction = modified(&history, |history| history.runs[1].transaction = Some(8));
    assert_eq!(check(&other_transaction), mixed("q"));
    let other_connection = modified(&history, |history| history.runs[1].connection = 2);
    assert_eq!(check(&other_connection), mixed("q"));
    let other_attempt = modified(&history, |history| history.statements[1].attempt = 9);
    assert_eq!(check(&other_attempt), mixed("q"));
}

#[test]
fn statements_run_with_settings_of_their_session() {
    let zone = ("zone".to_owned(), "amman".to_owned());
    let mut history = history_of_read();
    history.statements[0].values.extend([zone.clone()]);
    let mismatched = [Violation::ForeignValues {
        request: "r".to_owned(),
    }];
    assert_eq!(check(&history), mismatched);
    history.runs[0].values.extend([zone]);
    assert_eq!(check(&history), []);
}

#[test]
fn prepared_statements_run_in_shape_that_their_caller_prepared() {
    let shape = |template: &str| Some(format!("READ {template}"));
    let mut history = history_of_read();
    history.statements[0].text = "EXECUTE item".to_owned();
    history.statements[0].shape = shape("q7");
    history.runs[0].text = "EXECUTE item".to_owned();
    history.runs[0].shape = shape("q7");
    assert_eq!(check(&history), []);
    let foreign = |ran: Option<String>| {
        [Violation::ForeignShape {
            request: "r".to_owned(),
            prepared: shape("q7"),
            ran,
        }]
    };
    for ran in [shape("q7 READ other"), shape("q7 "), shape(" q7"), None] {
        let changed = modified(&history, |history| history.runs[0].shape.clone_from(&ran));
        assert_eq!(check(&changed), foreign(ran));
    }
    // A run with a changed text is reported as such, whatever its shape.
    let changed_text = modified(&history, |history| {
        history.runs[0].shape = shape("q7 READ other");
        history.runs[0].text = "EXECUTE READ other item".to_owned();
    });
    assert_eq!(check(&changed_text), unrequested("r"));
    // A kind that differs changes what the database does.
    let changed_kind = modified(&history, |history| {
        history.runs[0].shape = Some("WRITE q7".to_owned());
        history.runs[0].action = Action::Write;
    });
    let mut expected = unrequested("r").to_vec();
    expected.extend(foreign(Some("WRITE q7".to_owned())));
    assert_eq!(check(&changed_kind), expected);
}

#[test]
fn databases_know_names_of_prepared_statements() {
    let history = modified(&history_of_read(), |history| {
        history
            .unknown_executions
            .push(statement::UnknownExecution {
                request: "r".to_owned(),
                database: "a".to_owned(),
            });
    });
    let unknown = [Violation::UnknownShape {
        request: "r".to_owned(),
        database: "a".to_owned(),
    }];
    assert_eq!(check(&history), unknown);
}

// Guards against values and texts that are equal only after blanks are dropped or split.
#[test]
fn blanks_of_texts_and_values_count() {
    let text = |text: &str| {
        modified(&history_of_read(), |history| {
            history.statements[0].text = "READ item1 other".to_owned();
            history.runs[0].text = text.to_owned();
        })
    };
    assert_eq!(check(&text("READ item1 other")), []);
    for other in ["READ item1", "READ item1  other", "READ item1 other "] {
        assert_eq!(check(&text(other)), unrequested("r"));
    }
    let mismatched = [Violation::ForeignValues {
        request: "r".to_owned(),
    }];
    let value = |value: Option<&str>| {
        modified(&history_of_read(), |history| {
            let zone = |value: &str| ("zone".to_owned(), value.to_owned());
            history.statements[0].values.extend([zone("z1 z2")]);
            history.runs[0].values.extend(value.map(zone));
        })
    };
    assert_eq!(check(&value(Some("z1 z2"))), []);
    for other in [None, Some(""), Some("z1"), Some("z1  z2"), Some("z1 z2 ")] {
        assert_eq!(check(&value(other)), mismatched);
    }
}

#[test]
fn api_keys_do_not_reach_databases() {
    let leaked = modified(&history_of_read(), |history| {
        history.statements[0].text = format!("READ {KEY}");
        history.runs[0].text = format!("READ {KEY}");
    });
    let leak = [Violation::LeakedKey {
        database: "a".to_owned(),
    }];
    assert_eq!(check(&leaked), leak);
    let with_shortened_key = modified(&leaked, |history| {
        history.statements[0].text.pop();
        history.runs[0].text.pop();
    });
    assert_eq!(check(&with_shortened_key), []);
}

#[test]
fn answers_reach_callers_within_delivery_limit() {
    let delivery_us = statement::HistoryBounds::default().delivery_us;
    let mut history = history_of_read();
    history.statements[0].timeout_us = 10_000 * MS;
    let decided_us = BASE + MS;
    let delayed = [Violation::HeldAnswer {
        request: "r".to_owned(),
        decided_us,
    }];
    history.statements[0].ended_us = decided_us + delivery_us;
    assert_eq!(check(&history), []);
    history.statements[0].ended_us += 1;
    assert_eq!(check(&history), delayed);
    let with_fault = |ended_us: u64| {
        modified(&history, |history| {
            history.faults.push(vm_fault(BASE / 2, ended_us));
        })
    };
    assert_eq!(check(&with_fault(decided_us - 4_000 * MS)), []);
    assert_eq!(check(&with_fault(decided_us - 4_000 * MS - 1)), delayed);
    let in_doubt = modified(&history, |history| {
        history.statements[0].ended_us = decided_us + MS;
        history.statements[0].outcome = Outcome::InDoubt;
    });
    assert_eq!(check(&in_doubt), delayed);
    // An answer shortly before the timeout may arrive too late.
    let late = modified(&in_doubt, |history| {
        history.statements[0].timeout_us = delivery_us;
    });
    assert_eq!(check(&late), []);
}

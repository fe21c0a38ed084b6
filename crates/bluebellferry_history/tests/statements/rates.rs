use bluebellferry_history::statement;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementViolation as Violation;

use crate::fixtures::*;

/// The maximum number of operations in a window: 10 per second for 5 s, a tenth
/// more, and 20.
const MAX_OPERATIONS: usize = 75;

/// Returns a history of `count` reads that are sent and run within one window.
fn reads(count: usize) -> StatementHistory {
    let mut history = new_history();
    for number in 0..count {
        let time_us = BASE + number as u64 * 66 * MS;
        push_with_run(
            &mut history,
            successful_statement(&format!("r{number}"), Action::Read, time_us),
            0,
        );
    }
    history
}

fn overshoot(count: usize) -> [Violation; 1] {
    [Violation::RateOvershoot {
        workspace: "families".to_owned(),
        from_us: BASE,
        count,
        allowed: MAX_OPERATIONS,
    }]
}

#[test]
fn window_exceeding_rate_and_tolerance_is_reported() {
    assert_eq!(check(&reads(MAX_OPERATIONS)), []);
    assert_eq!(
        check(&reads(MAX_OPERATIONS + 1)),
        overshoot(MAX_OPERATIONS + 1)
    );
}

#[test]
fn only_operations_sent_and_run_in_window_count() {
    let reads = reads(MAX_OPERATIONS + 1);
    let without_last = modified(&reads, |history| {
        history.runs.pop();
        history.statements.pop();
    });
    assert_eq!(check(&without_last), []);
    let late = modified(&reads, |history| {
        history.runs[MAX_OPERATIONS].started_us = BASE + 5_001 * MS;
        history.statements[MAX_OPERATIONS].ended_us = BASE + 5_002 * MS;
    });
    assert_eq!(check(&late), []);
}

#[test]
fn transaction_counts_as_one_operation() {
    let transaction = modified(&reads(MAX_OPERATIONS + 1), |history| {
        for number in 0..2 {
            history.statements[number].attempt = 1;
            history.statements[number].is_in_transaction = true;
            history.runs[number].transaction = Some(1);
        }
    });
    assert_eq!(check(&transaction), []);
}

#[test]
fn lowered_rate_binds_one_window_after_apply_deadline() {
    let lowered_before = |ahead_us: u64| {
        let mut history = reads(MAX_OPERATIONS + 1);
        history.configurations.clear();
        history
            .configurations
            .push(configuration(1, MS, &[KEY], 11.0));
        let lower = configuration(2, BASE - ahead_us, &[KEY], 10.0);
        history.configurations.push(lower);
        history
    };
    // The lower rate must be in force after 3 s and counts one window of 5 s later.
    let binding = lowered_before(8_000 * MS + 1);
    assert_eq!(check(&binding), overshoot(MAX_OPERATIONS + 1));
    assert_eq!(check(&lowered_before(8_000 * MS)), []);
    // A VM that had a fault in between must apply the lower rate only 4 s after it.
    let with_fault = |ended_us: u64| {
        modified(&binding, |history| {
            history.faults.push(vm_fault(BASE / 2, ended_us));
        })
    };
    assert_eq!(check(&with_fault(BASE - 9_000 * MS)), []);
    assert_eq!(
        check(&with_fault(BASE - 9_000 * MS - 1)),
        overshoot(MAX_OPERATIONS + 1)
    );
}

#[test]
fn raised_rate_may_be_used_once_sent() {
    let raised_at = |sent_us: u64| {
        let mut history = reads(MAX_OPERATIONS + 1);
        history
            .configurations
            .push(configuration(2, sent_us, &[KEY], 11.0));
        check(&history)
    };
    assert_eq!(raised_at(BASE + 5_000 * MS), []);
    assert_eq!(
        raised_at(BASE + 5_000 * MS + 1),
        overshoot(MAX_OPERATIONS + 1)
    );
}

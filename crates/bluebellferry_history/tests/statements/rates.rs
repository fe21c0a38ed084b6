use bluebellferry_history::statement;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementViolation as Violation;

use crate::draft::*;

/// Ten a second over 5 s, a tenth more, and 20: what a window may hold.
const ALLOWED: usize = 75;

/// Returns a history of `count` reads that start and run within one window.
fn reads(count: usize) -> StatementHistory {
    let mut history = history();
    for number in 0..count {
        let time_us = NOON + number as u64 * 66 * MS;
        push(
            &mut history,
            sent(&format!("r{number}"), Action::Read, time_us),
            0,
        );
    }
    history
}

fn overshoot(count: usize) -> [Violation; 1] {
    [Violation::RateOvershoot {
        workspace: "families".to_owned(),
        from_us: NOON,
        count,
        allowed: ALLOWED,
    }]
}

#[test]
fn no_window_holds_more_operations_than_rate_and_slack_allow() {
    assert_eq!(check(&reads(ALLOWED)), []);
    assert_eq!(check(&reads(ALLOWED + 1)), overshoot(ALLOWED + 1));
}

#[test]
fn only_what_is_sent_and_run_within_the_window_counts() {
    let reads = reads(ALLOWED + 1);
    let unrun = with(&reads, |history| {
        history.runs.pop();
        history.statements.pop();
    });
    assert_eq!(check(&unrun), []);
    let late = with(&reads, |history| {
        history.runs[ALLOWED].started_us = NOON + 5_001 * MS;
        history.statements[ALLOWED].ended_us = NOON + 5_002 * MS;
    });
    assert_eq!(check(&late), []);
}

#[test]
fn a_transaction_counts_once() {
    let transaction = with(&reads(ALLOWED + 1), |history| {
        for number in 0..2 {
            history.statements[number].attempt = 1;
            history.statements[number].is_in_transaction = true;
            history.runs[number].transaction = Some(1);
        }
    });
    assert_eq!(check(&transaction), []);
}

#[test]
fn a_lower_rate_binds_one_window_after_all_vms_must_have_it() {
    let lowered = |ahead_us: u64| {
        let mut history = reads(ALLOWED + 1);
        history.configurations.clear();
        history
            .configurations
            .push(configuration(1, MS, &[KEY], 11.0));
        let lower = configuration(2, NOON - ahead_us, &[KEY], 10.0);
        history.configurations.push(lower);
        history
    };
    // 3 s until it must be in force, and one window of 5 s.
    let bound = lowered(8_000 * MS + 1);
    assert_eq!(check(&bound), overshoot(ALLOWED + 1));
    assert_eq!(check(&lowered(8_000 * MS)), []);
    // A VM that was harmed meanwhile need not have it until 4 s after.
    let harmed = |ended_us: u64| {
        with(&bound, |history| {
            history.faults.push(vm_fault(NOON / 2, ended_us));
        })
    };
    assert_eq!(check(&harmed(NOON - 9_000 * MS)), []);
    assert_eq!(
        check(&harmed(NOON - 9_000 * MS - 1)),
        overshoot(ALLOWED + 1)
    );
}

#[test]
fn a_higher_rate_may_be_used_from_its_sending() {
    let raised = |sent_us: u64| {
        let mut history = reads(ALLOWED + 1);
        history
            .configurations
            .push(configuration(2, sent_us, &[KEY], 11.0));
        check(&history)
    };
    assert_eq!(raised(NOON + 5_000 * MS), []);
    assert_eq!(raised(NOON + 5_000 * MS + 1), overshoot(ALLOWED + 1));
}

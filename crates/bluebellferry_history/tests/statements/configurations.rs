use bluebellferry_history::statement;
use statement::FaultTarget;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::draft::*;

const OTHER_KEY: &str = "another-key-of-families";
/// When a version that is confirmed at noon must be in force.
const DUE: u64 = NOON + 3_000 * MS;

fn stale() -> [Violation; 1] {
    [Violation::StaleVersion {
        request: "r".to_owned(),
        version: 2,
    }]
}

/// Returns a history in which a key is withdrawn at noon and still served later.
fn served_after_withdrawal(sent_us: u64) -> StatementHistory {
    let mut history = history();
    history
        .configurations
        .push(configuration(2, NOON, &[OTHER_KEY], 10.0));
    push(&mut history, sent("r", Action::Read, sent_us), 0);
    history
}

/// Returns a history in which a route is added at noon and refused later.
fn refused_after_addition(sent_us: u64) -> StatementHistory {
    let mut history = history();
    history.configurations[0].routes.clear();
    history
        .configurations
        .push(configuration(2, NOON, &[KEY], 10.0));
    let mut refused = sent("r", Action::Start, sent_us);
    refused.outcome = Outcome::UnknownRoute;
    history.statements.push(refused);
    history
}

#[test]
fn a_withdrawn_key_is_refused_from_its_bound_on() {
    assert_eq!(check(&served_after_withdrawal(DUE + 1)), stale());
    assert_eq!(check(&served_after_withdrawal(DUE)), []);
}

#[test]
fn a_new_route_is_known_from_its_bound_on() {
    assert_eq!(check(&refused_after_addition(DUE + 1)), stale());
    assert_eq!(check(&refused_after_addition(DUE)), []);
}

#[test]
fn a_key_that_is_there_is_not_refused() {
    let mut history = history();
    let mut refused = sent("r", Action::Start, NOON);
    refused.outcome = Outcome::KeyRefused;
    history.statements.push(refused);
    let denied = [Violation::StaleVersion {
        request: "r".to_owned(),
        version: 1,
    }];
    assert_eq!(check(&history), denied);
    history.statements[0].key = OTHER_KEY.to_owned();
    assert_eq!(check(&history), []);
}

#[test]
fn a_transaction_keeps_the_version_of_its_beginning() {
    let begun = |begun_us: u64| {
        let mut history = served_after_withdrawal(DUE + 5 * MS);
        history.statements[0].is_in_transaction = true;
        history.statements[0].attempt = 7;
        history.runs[0].transaction = Some(7);
        history
            .statements
            .push(step(7, "b", Action::Begin, begun_us));
        check(&history)
    };
    assert_eq!(begun(DUE + 1), stale());
    assert_eq!(begun(DUE), []);
}

#[test]
fn a_vm_that_was_harmed_has_its_time_of_contact_before_a_version_must_be_in_force() {
    let sent_us = DUE + 10_000 * MS;
    let history = served_after_withdrawal(sent_us);
    assert_eq!(check(&history), stale());
    let harmed =
        |fault: statement::FaultSpan| check(&with(&history, |history| history.faults.push(fault)));
    let calm_us = sent_us - 4_000 * MS;
    assert_eq!(harmed(vm_fault(NOON, calm_us)), []);
    assert_eq!(harmed(vm_fault(NOON, calm_us - 1)), stale());
    assert_eq!(harmed(fault(FaultTarget::StoreAway, NOON, calm_us)), []);
    assert_eq!(
        harmed(fault(FaultTarget::StoreAway, NOON, calm_us - 1)),
        stale()
    );
    let other = FaultTarget::Vm("vm-1".to_owned());
    assert_eq!(harmed(fault(other, NOON, calm_us)), stale());
    let restarted = |started_us: u64| {
        let history = with(&history, |history| history.starts.push(start(started_us)));
        check(&history)
    };
    assert_eq!(restarted(calm_us), []);
    assert_eq!(restarted(calm_us - 1), stale());
    let stopped = with(&history, |history| history.signals.push(signal(true, NOON)));
    assert_eq!(check(&stopped), []);
}

#[test]
fn a_store_that_is_impaired_but_answers_stretches_the_bound_only() {
    let served = |sent_us: u64, target: FaultTarget| {
        let impaired = fault(target, NOON, NOON + 60_000 * MS);
        let history = served_after_withdrawal(sent_us);
        check(&with(&history, |history| history.faults.push(impaired)))
    };
    let outer_us = DUE + 12_000 * MS;
    assert_eq!(served(outer_us, FaultTarget::StoreImpaired), []);
    assert_eq!(served(outer_us + 1, FaultTarget::StoreImpaired), stale());
    assert_eq!(served(outer_us + 1, FaultTarget::StoreAway), []);
}

#[test]
fn nothing_runs_that_no_version_has_ever_allowed() {
    let forbidden = [Violation::ForbiddenRun {
        request: "r".to_owned(),
        database: "a".to_owned(),
    }];
    let allowed = served_after_withdrawal(NOON);
    assert_eq!(check(&allowed), []);
    let service = with(&allowed, |history| {
        history.runs[0].service = "other".to_owned();
    });
    assert_eq!(check(&service), forbidden);
    let workspace = with(&allowed, |history| {
        history.runs[0].workspace = "others".to_owned();
    });
    assert_eq!(check(&workspace), forbidden);
    let key = with(&allowed, |history| {
        history.statements[0].key = "no-key".to_owned();
    });
    assert_eq!(check(&key), forbidden);
    // A key may be used from the moment at which the operator sends it.
    let unsent = |sent_us: u64| {
        let mut history = served_after_withdrawal(NOON);
        history.statements[0].key = OTHER_KEY.to_owned();
        history.configurations[1].sent_us = sent_us;
        check(&history)
    };
    assert_eq!(unsent(NOON + MS), []);
    assert_eq!(unsent(NOON + MS + 1), forbidden);
}

/// Returns a history in which a run shows version 2, and one that is sent
/// `later_us` after that shows version 1.
fn reverting(later_us: u64) -> StatementHistory {
    let mut history = served_after_withdrawal(NOON + MS + later_us);
    let mut newer = sent("q", Action::Read, NOON);
    newer.key = OTHER_KEY.to_owned();
    push(&mut history, newer, 0);
    history
}

#[test]
fn a_vm_does_not_fall_back_to_an_older_version() {
    let reverted = [Violation::RevertedVersion {
        request: "r".to_owned(),
        version: 2,
    }];
    let late = reverting(250 * MS + 1);
    assert_eq!(check(&late), reverted);
    assert_eq!(check(&reverting(250 * MS)), []);
    let restarted = with(&late, |history| history.starts.push(start(NOON + 100 * MS)));
    assert_eq!(check(&restarted), []);
    let elsewhere = with(&late, |history| {
        history.statements[1].vm = "vm-1".to_owned();
    });
    assert_eq!(check(&elsewhere), []);
    let slowed = |later_us: u64| {
        let slow = vm_fault(NOON, NOON + MS);
        check(&with(&reverting(later_us), |history| {
            history.faults.push(slow);
        }))
    };
    assert_eq!(slowed(2_000 * MS), []);
    assert_eq!(slowed(2_000 * MS + 1), reverted);
}

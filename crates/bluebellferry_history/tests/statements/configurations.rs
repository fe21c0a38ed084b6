use bluebellferry_history::statement;
use statement::FaultTarget;
use statement::StatementAction as Action;
use statement::StatementHistory;
use statement::StatementOutcome as Outcome;
use statement::StatementViolation as Violation;

use crate::fixtures::*;

const OTHER_KEY: &str = "another-key-of-families";
/// When a version that is confirmed at [`BASE`] must be in force, in microseconds.
const DUE: u64 = BASE + 3_000 * MS;

fn stale_version() -> [Violation; 1] {
    [Violation::StaleVersion {
        request: "r".to_owned(),
        version: 2,
    }]
}

/// Returns a history in which an API key is withdrawn at [`BASE`] and a read that
/// is sent with it at `sent_us` still runs.
fn served_after_withdrawal(sent_us: u64) -> StatementHistory {
    let mut history = new_history();
    history
        .configurations
        .push(configuration(2, BASE, &[OTHER_KEY], 10.0));
    push_with_run(
        &mut history,
        successful_statement("r", Action::Read, sent_us),
        0,
    );
    history
}

/// Returns a history in which a route is added at [`BASE`] and a session that is
/// opened at `sent_us` is refused for lack of the route.
fn refused_after_route_addition(sent_us: u64) -> StatementHistory {
    let mut history = new_history();
    history.configurations[0].routes.clear();
    history
        .configurations
        .push(configuration(2, BASE, &[KEY], 10.0));
    let mut refused = successful_statement("r", Action::Start, sent_us);
    refused.outcome = Outcome::UnknownRoute;
    history.statements.push(refused);
    history
}

#[test]
fn withdrawn_key_must_be_refused_after_apply_deadline() {
    assert_eq!(check(&served_after_withdrawal(DUE + 1)), stale_version());
    assert_eq!(check(&served_after_withdrawal(DUE)), []);
}

#[test]
fn added_route_must_be_served_after_apply_deadline() {
    assert_eq!(
        check(&refused_after_route_addition(DUE + 1)),
        stale_version()
    );
    assert_eq!(check(&refused_after_route_addition(DUE)), []);
}

#[test]
fn valid_key_must_not_be_refused() {
    let mut history = new_history();
    let mut refused = successful_statement("r", Action::Start, BASE);
    refused.outcome = Outcome::KeyRefused;
    history.statements.push(refused);
    let false_refusal = [Violation::StaleVersion {
        request: "r".to_owned(),
        version: 1,
    }];
    assert_eq!(check(&history), false_refusal);
    history.statements[0].key = OTHER_KEY.to_owned();
    assert_eq!(check(&history), []);
}

#[test]
fn transaction_may_keep_version_of_its_start() {
    let begun_at = |begun_us: u64| {
        let mut history = served_after_withdrawal(DUE + 5 * MS);
        history.statements[0].is_in_transaction = true;
        history.statements[0].attempt = 7;
        history.runs[0].transaction = Some(7);
        history
            .statements
            .push(transaction_statement(7, "b", Action::Begin, begun_us));
        check(&history)
    };
    assert_eq!(begun_at(DUE + 1), stale_version());
    assert_eq!(begun_at(DUE), []);
}

#[test]
fn vm_may_use_old_version_within_grace_after_fault() {
    let sent_us = DUE + 10_000 * MS;
    let history = served_after_withdrawal(sent_us);
    assert_eq!(check(&history), stale_version());
    let with_fault = |fault: statement::FaultSpan| {
        check(&modified(&history, |history| history.faults.push(fault)))
    };
    let grace_start_us = sent_us - 4_000 * MS;
    assert_eq!(with_fault(vm_fault(BASE, grace_start_us)), []);
    assert_eq!(
        with_fault(vm_fault(BASE, grace_start_us - 1)),
        stale_version()
    );
    assert_eq!(
        with_fault(fault_span(FaultTarget::StoreAway, BASE, grace_start_us)),
        []
    );
    assert_eq!(
        with_fault(fault_span(FaultTarget::StoreAway, BASE, grace_start_us - 1)),
        stale_version()
    );
    let other = FaultTarget::Vm("vm-1".to_owned());
    assert_eq!(
        with_fault(fault_span(other, BASE, grace_start_us)),
        stale_version()
    );
    let with_restart = |started_us: u64| {
        let history = modified(&history, |history| history.starts.push(start(started_us)));
        check(&history)
    };
    assert_eq!(with_restart(grace_start_us), []);
    assert_eq!(with_restart(grace_start_us - 1), stale_version());
    let stopped = modified(&history, |history| history.signals.push(signal(true, BASE)));
    assert_eq!(check(&stopped), []);
}

#[test]
fn impaired_store_extends_apply_deadline() {
    let served_at = |sent_us: u64, target: FaultTarget| {
        let impaired = fault_span(target, BASE, BASE + 60_000 * MS);
        let history = served_after_withdrawal(sent_us);
        check(&modified(&history, |history| history.faults.push(impaired)))
    };
    let extended_due_us = DUE + 12_000 * MS;
    assert_eq!(served_at(extended_due_us, FaultTarget::StoreImpaired), []);
    assert_eq!(
        served_at(extended_due_us + 1, FaultTarget::StoreImpaired),
        stale_version()
    );
    assert_eq!(served_at(extended_due_us + 1, FaultTarget::StoreAway), []);
}

#[test]
fn run_must_be_allowed_by_some_version() {
    let forbidden = [Violation::ForbiddenRun {
        request: "r".to_owned(),
        database: "a".to_owned(),
    }];
    let allowed = served_after_withdrawal(BASE);
    assert_eq!(check(&allowed), []);
    let service = modified(&allowed, |history| {
        history.runs[0].service = "other".to_owned();
    });
    assert_eq!(check(&service), forbidden);
    let workspace = modified(&allowed, |history| {
        history.runs[0].workspace = "others".to_owned();
    });
    assert_eq!(check(&workspace), forbidden);
    let key = modified(&allowed, |history| {
        history.statements[0].key = "no-key".to_owned();
    });
    assert_eq!(check(&key), forbidden);
    // A VM may use a new key as soon as the operator has sent it.
    let sent_at = |sent_us: u64| {
        let mut history = served_after_withdrawal(BASE);
        history.statements[0].key = OTHER_KEY.to_owned();
        history.configurations[1].sent_us = sent_us;
        check(&history)
    };
    assert_eq!(sent_at(BASE + MS), []);
    assert_eq!(sent_at(BASE + MS + 1), forbidden);
}

/// Returns a history in which a read runs under version 2, and one that is sent
/// `later_us` after the first ran runs under version 1.
fn reverted_after(later_us: u64) -> StatementHistory {
    let mut history = served_after_withdrawal(BASE + MS + later_us);
    let mut newer = successful_statement("q", Action::Read, BASE);
    newer.key = OTHER_KEY.to_owned();
    push_with_run(&mut history, newer, 0);
    history
}

#[test]
fn vm_must_not_revert_to_older_version() {
    let reverted = [Violation::RevertedVersion {
        request: "r".to_owned(),
        version: 2,
    }];
    let late = reverted_after(250 * MS + 1);
    assert_eq!(check(&late), reverted);
    assert_eq!(check(&reverted_after(250 * MS)), []);
    let restarted = modified(&late, |history| history.starts.push(start(BASE + 100 * MS)));
    assert_eq!(check(&restarted), []);
    let elsewhere = modified(&late, |history| {
        history.statements[1].vm = "vm-1".to_owned();
    });
    assert_eq!(check(&elsewhere), []);
    let with_recent_fault = |later_us: u64| {
        let recent_fault = vm_fault(BASE, BASE + MS);
        check(&modified(&reverted_after(later_us), |history| {
            history.faults.push(recent_fault);
        }))
    };
    assert_eq!(with_recent_fault(2_000 * MS), []);
    assert_eq!(with_recent_fault(2_000 * MS + 1), reverted);
}

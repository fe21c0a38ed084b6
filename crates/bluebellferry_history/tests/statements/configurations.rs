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

/// Returns a history in which a read runs in transaction 7, which began at `begun_us`, at
/// `sent_us`, after version 2 came at [`BASE`].
fn read_in_transaction(
    second: statement::ConfigurationChange,
    begun_us: u64,
    sent_us: u64,
) -> StatementHistory {
    let mut history = new_history();
    history.configurations.push(second);
    let begin = transaction_statement(7, "b", Action::Begin, begun_us);
    history.statements.push(begin);
    let read = transaction_statement(7, "r", Action::Read, sent_us);
    push_with_run(&mut history, read, 0);
    history
}

/// Returns version 2 with the routes and the owner of [`KEY`] as given.
fn second_version(has_route: bool, is_public: bool, owner: &str) -> statement::ConfigurationChange {
    let mut second = configuration(2, BASE, &[KEY], 10.0);
    owner.clone_into(&mut second.workspaces[0].name);
    if owner.is_empty() {
        second.workspaces.clear();
    }
    second.routes[0].is_public = is_public;
    if !has_route {
        second.routes.clear();
    }
    second
}

const LATE: u64 = DUE + 5 * MS;

#[test]
fn transaction_may_keep_the_route_of_its_start() {
    let begun_at = |begun_us: u64| {
        let second = second_version(false, false, "families");
        check(&read_in_transaction(second, begun_us, LATE))
    };
    assert_eq!(begun_at(DUE + 1), stale_version());
    assert_eq!(begun_at(DUE), []);
}

/// Guards against a check that lets transactions outlive their keys: it judged the key, like the
/// route, by the version at the first statement.
#[test]
fn transaction_must_not_keep_a_key_that_is_gone() {
    for has_route in [true, false] {
        for is_public in [true, false] {
            for owner in ["", "others"] {
                let sent_at = |sent_us: u64| {
                    let second = second_version(has_route, is_public, owner);
                    check(&read_in_transaction(second, BASE - MS, sent_us))
                };
                let case = format!("{has_route} {is_public} {owner}");
                assert_eq!(sent_at(DUE + 1), stale_version(), "{case}");
                assert_eq!(sent_at(DUE), [], "{case}");
            }
        }
    }
    // A key that was given back between is no reason.
    let given_back = modified(
        &read_in_transaction(
            second_version(true, false, ""),
            BASE - MS,
            LATE + 3_000 * MS,
        ),
        |history| {
            let back = configuration(3, LATE, &[KEY], 10.0);
            history.configurations.push(back);
        },
    );
    assert_eq!(check(&given_back), []);
}

#[test]
fn vm_that_refused_a_key_must_not_use_it_in_a_transaction() {
    let refused_before = |earlier_us: u64| {
        let sent_us = BASE + 400 * MS;
        let second = second_version(false, false, "");
        let mut history = read_in_transaction(second, BASE - MS, sent_us);
        let served = successful_statement("q", Action::Read, BASE - 500 * MS);
        push_with_run(&mut history, served, 0);
        let refused_at = sent_us - earlier_us - 2 * MS;
        let mut refused = successful_statement("d", Action::Start, refused_at);
        refused.outcome = Outcome::KeyRefused;
        history.statements.push(refused);
        check(&history)
    };
    let reverted = [Violation::RevertedVersion {
        request: "r".to_owned(),
        version: 2,
    }];
    assert_eq!(refused_before(250 * MS + 1), reverted);
    assert_eq!(refused_before(250 * MS), []);
}

#[test]
fn transaction_must_not_be_ended_for_its_route_alone() {
    let refused_with = |outcome: Outcome, second: statement::ConfigurationChange| {
        let mut history = read_in_transaction(second, BASE - MS, BASE + MS);
        history.runs.clear();
        history.statements[1].outcome = outcome;
        check(&history)
    };
    let interrupted = [Violation::InterruptedTransaction {
        request: "r".to_owned(),
    }];
    let removed = second_version(false, false, "families");
    assert_eq!(refused_with(Outcome::UnknownRoute, removed), interrupted);
    let withdrawn = second_version(false, false, "");
    assert_eq!(refused_with(Outcome::KeyRefused, withdrawn), []);
    // A caller whose key passed on, or needs none, may begin anew.
    let public = second_version(true, true, "");
    let refused = refused_with(Outcome::KeyRefused, public);
    assert_ne!(refused, []);
}

#[test]
fn transaction_without_a_key_rests_on_its_route() {
    let history_with = |second: statement::ConfigurationChange| {
        let mut history = read_in_transaction(second, BASE - MS, LATE);
        history.configurations[0].workspaces.clear();
        history.configurations[0].routes[0].is_public = true;
        history.runs[0].workspace = "public".to_owned();
        history
    };
    for second in [
        second_version(true, true, "families"),
        second_version(true, false, ""),
        second_version(false, false, ""),
    ] {
        assert_eq!(check(&history_with(second)), []);
    }
    let ended = modified(&history_with(second_version(true, false, "")), |history| {
        let mut refused = transaction_statement(7, "c", Action::Commit, LATE + 10 * MS);
        refused.outcome = Outcome::KeyRefused;
        history.statements.push(refused);
    });
    let interrupted = [Violation::InterruptedTransaction {
        request: "c".to_owned(),
    }];
    assert_eq!(check(&ended), interrupted);
    let forbidden = modified(
        &history_with(second_version(true, true, "families")),
        |history| history.configurations[0].routes[0].is_public = false,
    );
    assert_eq!(check(&forbidden).len(), 1);
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

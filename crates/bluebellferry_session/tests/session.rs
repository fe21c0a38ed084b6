//! The state of a caller's session, and of the database connections that it uses.

use bluebellferry_session::connection_state;
use bluebellferry_session::state;
use bluebellferry_session::statement;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use statement::StatementAction as Action;

fn query(action: Action) -> statement::Statement {
    statement::Statement::new("id-1", action)
}

fn access(kind: statement::AccessKind, text: &str) -> statement::Statement {
    query(Action::Access {
        kind,
        text: text.to_owned(),
    })
}

fn read() -> statement::Statement {
    access(statement::AccessKind::Read, "READ 1")
}

fn write() -> statement::Statement {
    access(statement::AccessKind::Write, "WRITE 1 x")
}

fn run(session: &mut state::SessionState, statement: &statement::Statement) -> state::RunPlan {
    match session.plan_statement(statement) {
        state::StatementPlan::Run(plan) => plan,
        other => panic!("{other:?}"),
    }
}

fn refused(session: &mut state::SessionState, statement: &statement::Statement) -> String {
    match session.plan_statement(statement) {
        state::StatementPlan::Answer(state::LocalAnswer::Refused(refusal)) => {
            refusal.reason.code().to_owned()
        }
        other => panic!("{other:?}"),
    }
}

fn succeeded(offset: u64) -> state::RunOutcome {
    state::RunOutcome::Succeeded {
        position: Some(position::LogPosition::new(3, offset)),
    }
}

fn open_transaction(session: &mut state::SessionState, read_only: bool) {
    session.plan_statement(&query(Action::Begin { read_only }));
    let plan = run(session, &read());
    assert!(
        plan.opening.is_some(),
        "the first statement opens the transaction"
    );
    session.record_transaction_opened();
    session.record_outcome(&plan, succeeded(5));
}

#[test]
fn only_a_read_or_a_read_only_transaction_may_use_a_replica() {
    let mut session = state::SessionState::default();
    assert!(run(&mut session, &read()).may_use_replica());
    assert!(!run(&mut session, &write()).may_use_replica());
    session.plan_statement(&query(Action::Begin { read_only: false }));
    assert!(!run(&mut session, &read()).may_use_replica());
    let mut session = state::SessionState::default();
    session.plan_statement(&query(Action::Begin { read_only: true }));
    assert!(run(&mut session, &read()).may_use_replica());
}

#[test]
fn begin_is_sent_with_the_first_statement_and_keeps_its_id() {
    let mut session = state::SessionState::default();
    let begin = statement::Statement::new("begin-9", Action::Begin { read_only: false });
    assert!(session.starts_operation(&begin));
    session.plan_statement(&begin);
    assert_eq!(
        session.transaction_status(),
        state::TransactionStatus::InTransaction
    );
    assert!(!session.holds_connection());
    let plan = run(&mut session, &write());
    let opening = plan
        .opening
        .as_ref()
        .expect("the statement opens the transaction");
    assert_eq!(opening.begin_id, "begin-9");
    assert!(!session.starts_operation(&write()));
}

#[test]
fn a_transaction_without_statements_is_rolled_back_without_a_database() {
    let mut session = state::SessionState::default();
    session.plan_statement(&query(Action::Begin { read_only: false }));
    let answer = session.plan_statement(&query(Action::Rollback));
    assert_eq!(
        answer,
        state::StatementPlan::Answer(state::LocalAnswer::Done)
    );
    assert_eq!(session.transaction_status(), state::TransactionStatus::Idle);
    // Even an empty transaction is committed at a database, whose answer contains a receipt.
    session.plan_statement(&query(Action::Begin { read_only: false }));
    let plan = run(&mut session, &query(Action::Commit));
    assert_eq!(plan.kind, state::RunKind::Commit);
    assert!(plan.opening.is_some());
}

#[test]
fn only_acknowledged_commits_raise_the_floor() {
    let mut session = state::SessionState::default();
    let plan = run(&mut session, &read());
    session.record_outcome(&plan, succeeded(7));
    assert_eq!(session.floor(), None);
    let plan = run(&mut session, &write());
    session.record_outcome(&plan, state::RunOutcome::Lost);
    assert_eq!(session.floor(), None);
    session.record_outcome(&plan, succeeded(9));
    assert_eq!(session.floor(), Some(position::LogPosition::new(3, 9)));
    open_transaction(&mut session, false);
    let plan = run(&mut session, &write());
    session.record_outcome(&plan, succeeded(20));
    assert_eq!(session.floor(), Some(position::LogPosition::new(3, 9)));
    let plan = run(&mut session, &query(Action::Commit));
    session.record_outcome(&plan, succeeded(21));
    assert_eq!(session.floor(), Some(position::LogPosition::new(3, 21)));
    // The commit of a transaction without writes does not raise the floor.
    open_transaction(&mut session, false);
    let plan = run(&mut session, &query(Action::Commit));
    session.record_outcome(&plan, succeeded(30));
    assert_eq!(session.floor(), Some(position::LogPosition::new(3, 21)));
}

#[test]
fn a_lost_connection_fails_the_transaction_until_the_caller_ends_it() {
    let mut session = state::SessionState::default();
    open_transaction(&mut session, false);
    let plan = run(&mut session, &write());
    session.record_outcome(&plan, state::RunOutcome::Lost);
    assert_eq!(
        session.transaction_status(),
        state::TransactionStatus::Failed
    );
    assert!(!session.holds_connection());
    assert_eq!(refused(&mut session, &read()), "protocol_violation");
    assert_eq!(
        refused(&mut session, &query(Action::Commit)),
        "transaction_aborted"
    );
    assert_eq!(session.transaction_status(), state::TransactionStatus::Idle);
}

// Guards against a statement that no caller sent: the database received ROLLBACK under the id of a
// caller's COMMIT.
#[test]
fn a_failed_transaction_is_ended_by_the_statement_that_the_caller_sent() {
    let status = state::TransactionStatus::Failed;
    let rejected = state::RunOutcome::Rejected { status };
    for (action, kind, text) in [
        (Action::Commit, state::RunKind::FailedCommit, "COMMIT"),
        (Action::Rollback, state::RunKind::Rollback, "ROLLBACK"),
    ] {
        for outcome in [succeeded(3), state::RunOutcome::Lost] {
            let mut session = state::SessionState::default();
            open_transaction(&mut session, false);
            let plan = run(&mut session, &write());
            session.record_outcome(&plan, rejected);
            assert!(session.holds_connection());
            let plan = run(&mut session, &query(action.clone()));
            assert_eq!((plan.kind, plan.text.as_str()), (kind, text));
            session.record_outcome(&plan, outcome);
            assert_eq!(session.transaction_status(), state::TransactionStatus::Idle);
            assert_eq!(session.floor(), None);
        }
    }
}

#[test]
fn prepared_statements_run_under_their_shared_names() {
    let mut session = state::SessionState::default();
    let prepare = |name: &str, kind, template: &str| {
        query(Action::Prepare {
            name: name.to_owned(),
            kind,
            template: template.to_owned(),
        })
    };
    let execute = |name: &str| {
        query(Action::Execute {
            name: name.to_owned(),
            arguments: "1a4 x".to_owned(),
        })
    };
    session.plan_statement(&prepare("s1", statement::AccessKind::Write, "q2c"));
    let plan = run(&mut session, &execute("s1"));
    assert_eq!(plan.kind, state::RunKind::AutocommitWrite);
    assert_eq!(plan.text, "EXECUTE w.q2c 1a4 x");
    assert!(plan.is_write);
    session.plan_statement(&prepare("s1", statement::AccessKind::Read, "q9"));
    assert_eq!(run(&mut session, &execute("s1")).text, "EXECUTE r.q9 1a4 x");
    let name = "s1".to_owned();
    session.plan_statement(&query(Action::Deallocate { name }));
    assert_eq!(refused(&mut session, &execute("s1")), "protocol_violation");
}

#[test]
fn a_session_holds_a_bounded_number_of_settings() {
    let mut session = state::SessionState::default();
    let set = |number: usize| {
        query(Action::Set {
            name: format!("v{number}"),
            value: "x".to_owned(),
        })
    };
    for number in 0..state::MAX_SESSION_ENTRIES {
        session.plan_statement(&set(number));
    }
    assert_eq!(refused(&mut session, &set(9_999)), "protocol_violation");
    // An existing setting may still be changed.
    let answer = session.plan_statement(&set(1));
    assert_eq!(
        answer,
        state::StatementPlan::Answer(state::LocalAnswer::Done)
    );
}

#[test]
fn a_statement_that_the_session_refuses_has_not_run() {
    let mut session = state::SessionState::default();
    let plan = session.plan_statement(&query(Action::Commit));
    let state::StatementPlan::Answer(state::LocalAnswer::Refused(refusal)) = plan else {
        panic!("{plan:?}");
    };
    assert_eq!(refusal.execution, refusal::RequestExecution::NotRun);
}

fn settings(pairs: &[(&str, &str)]) -> std::collections::BTreeMap<String, String> {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    pairs.iter().map(owned).collect()
}

#[test]
fn a_connection_gets_exactly_the_settings_of_the_session() {
    let mut connection = connection_state::ConnectionState::default();
    let set = |name: &str, value: &str| connection_state::SetupStep::Set {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    let steps = connection.plan_setup(&settings(&[("a", "1")]), None);
    assert_eq!(steps.as_slice(), [set("a", "1")]);
    assert!(
        connection
            .plan_setup(&settings(&[("a", "1")]), None)
            .is_empty()
    );
    let steps = connection.plan_setup(&settings(&[("a", "2"), ("b", "1")]), None);
    assert_eq!(steps.as_slice(), [set("a", "2"), set("b", "1")]);
    // A setting that the session did not make is removed by a reset.
    let steps = connection.plan_setup(&settings(&[("b", "1")]), None);
    assert_eq!(
        steps.as_slice(),
        [connection_state::SetupStep::Reset, set("b", "1")]
    );
    assert_eq!(
        connection.plan_setup(&settings(&[]), None).as_slice(),
        [connection_state::SetupStep::Reset]
    );
}

#[test]
fn a_reset_discards_prepared_statements() {
    let mut connection = connection_state::ConnectionState::default();
    let prepared = statement::PreparedQuery {
        kind: statement::AccessKind::Read,
        template: "q1".to_owned(),
    };
    let prepare = connection_state::SetupStep::Prepare(prepared.clone());
    assert_eq!(
        connection
            .plan_setup(&settings(&[]), Some(&prepared))
            .as_slice(),
        std::slice::from_ref(&prepare)
    );
    assert!(
        connection
            .plan_setup(&settings(&[]), Some(&prepared))
            .is_empty()
    );
    connection.plan_setup(&settings(&[("a", "1")]), None);
    let steps = connection.plan_setup(&settings(&[]), Some(&prepared));
    assert_eq!(
        steps.as_slice(),
        [connection_state::SetupStep::Reset, prepare]
    );
}

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
/// Guards against ROLLBACK and COMMIT being treated as new operations, which need a route and a key.
#[test]
fn a_transaction_that_was_rolled_back_is_lost_until_the_caller_ends_it() {
    for end in [Action::Rollback, Action::Commit] {
        let mut session = state::SessionState::default();
        open_transaction(&mut session, false);
        assert!(!session.has_lost_transaction());
        session.record_transaction_failed();
        assert!(session.has_lost_transaction() && !session.holds_connection());
        assert!(!session.starts_operation(&read()));
        assert_eq!(refused(&mut session, &read()), "protocol_violation");
        assert!(session.has_lost_transaction());
        let plan = session.plan_statement(&query(end));
        assert!(matches!(plan, state::StatementPlan::Answer(_)), "{plan:?}");
        assert!(!session.has_lost_transaction());
        assert_eq!(session.transaction_status(), state::TransactionStatus::Idle);
    }
}

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
            let text = statement::StatementText::Verbatim(text.to_owned());
            assert_eq!((plan.kind, &plan.text), (kind, &text));
            session.record_outcome(&plan, outcome);
            assert_eq!(session.transaction_status(), state::TransactionStatus::Idle);
            assert_eq!(session.floor(), None);
        }
    }
}

fn prepare(name: &str, kind: statement::AccessKind, template: &str) -> statement::Statement {
    query(Action::Prepare {
        name: name.to_owned(),
        kind,
        template: template.to_owned(),
    })
}

fn execute(name: &str, arguments: Option<&str>) -> statement::Statement {
    query(Action::Execute {
        name: name.to_owned(),
        arguments: arguments.map(str::to_owned),
    })
}

fn prepared_query(kind: statement::AccessKind, template: &str) -> statement::PreparedQuery {
    let template = template.to_owned();
    statement::PreparedQuery { kind, template }
}

#[test]
fn a_prepared_statement_runs_what_its_caller_prepared_last_under_the_name() {
    let (read, write) = (statement::AccessKind::Read, statement::AccessKind::Write);
    let mut session = state::SessionState::default();
    session.plan_statement(&prepare("s1", write, "q2c"));
    let plan = run(&mut session, &execute("s1", Some("1a4 x")));
    assert_eq!(plan.kind, state::RunKind::AutocommitWrite);
    let expected = statement::StatementText::Execute {
        query: prepared_query(write, "q2c"),
        arguments: Some("1a4 x".to_owned()),
    };
    assert_eq!(plan.text, expected);
    assert!(plan.is_write);
    session.plan_statement(&prepare("s1", read, "q9"));
    let plan = run(&mut session, &execute("s1", None));
    let expected = statement::StatementText::Execute {
        query: prepared_query(read, "q9"),
        arguments: None,
    };
    assert_eq!(plan.text, expected);
    let name = "s1".to_owned();
    session.plan_statement(&query(Action::Deallocate { name }));
    let refusal = refused(&mut session, &execute("s1", None));
    assert_eq!(refusal, "protocol_violation");
}

#[test]
fn a_session_holds_statements_of_a_bounded_length() {
    let mut session = state::SessionState::default();
    let long = "x".repeat(state::MAX_SESSION_BYTES / 4 - 2);
    let read = statement::AccessKind::Read;
    for name in ["s1", "s2", "s3"] {
        session.plan_statement(&prepare(name, read, &long));
    }
    let value = long.clone();
    let set = query(Action::Set {
        name: "v1".to_owned(),
        value,
    });
    let done = state::StatementPlan::Answer(state::LocalAnswer::Done);
    assert_eq!(session.plan_statement(&set), done);
    let short = query(Action::Set {
        name: "v2".to_owned(),
        value: String::new(),
    });
    assert_eq!(refused(&mut session, &short), "protocol_violation");
    let refusal = refused(&mut session, &prepare("s4", read, "q1"));
    assert_eq!(refusal, "protocol_violation");
    // What is replaced makes room.
    assert_eq!(session.plan_statement(&prepare("s1", read, &long)), done);
    assert_eq!(session.plan_statement(&prepare("s1", read, "q1")), done);
    assert_eq!(session.plan_statement(&short), done);
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

fn set(name: &str, value: &str) -> connection_state::SetupStep {
    connection_state::SetupStep::Set {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

/// Plans the setup of a connection and acknowledges its steps.
fn set_up(
    connection: &mut connection_state::ConnectionState,
    pairs: &[(&str, &str)],
    query: Option<&statement::PreparedQuery>,
) -> connection_state::SetupSteps {
    let settings = settings(pairs);
    let steps = connection.plan_setup(&settings, query, true);
    assert_eq!(steps.is_empty(), connection.is_set_up(&settings, query));
    for step in &steps {
        connection.record_acknowledged(step);
    }
    assert!(connection.is_set_up(&settings, query));
    steps
}

#[test]
fn a_connection_gets_exactly_the_settings_of_the_session() {
    let mut connection = connection_state::ConnectionState::default();
    let steps = set_up(&mut connection, &[("a", "1")], None);
    assert_eq!(steps.as_slice(), [set("a", "1")]);
    assert!(set_up(&mut connection, &[("a", "1")], None).is_empty());
    let steps = set_up(&mut connection, &[("a", "2"), ("b", "1")], None);
    assert_eq!(steps.as_slice(), [set("a", "2"), set("b", "1")]);
    // A setting that the session did not make is removed by a reset.
    let steps = set_up(&mut connection, &[("b", "1")], None);
    let reset = connection_state::SetupStep::Reset;
    assert_eq!(steps.as_slice(), [reset.clone(), set("b", "1")]);
    let steps = set_up(&mut connection, &[], None);
    assert_eq!(steps.as_slice(), [reset]);
}

#[test]
fn a_reset_discards_prepared_statements() {
    let mut connection = connection_state::ConnectionState::default();
    let query = prepared_query(statement::AccessKind::Read, "q1");
    let steps = set_up(&mut connection, &[], Some(&query));
    assert!(matches!(
        steps.as_slice(),
        [connection_state::SetupStep::Prepare { .. }]
    ));
    assert!(set_up(&mut connection, &[], Some(&query)).is_empty());
    set_up(&mut connection, &[("a", "1")], None);
    let steps = set_up(&mut connection, &[], Some(&query));
    assert!(matches!(
        steps.as_slice(),
        [
            connection_state::SetupStep::Reset,
            connection_state::SetupStep::Prepare { .. }
        ]
    ));
}

// Guards against statements that run with other values or in another shape: a connection counted as
// set up when the steps were planned, although the database refused one.
#[test]
fn a_connection_is_set_up_only_once_every_step_was_acknowledged() {
    let mut connection = connection_state::ConnectionState::default();
    let wanted = settings(&[("a", "1"), ("b", "2")]);
    let query = prepared_query(statement::AccessKind::Write, "q1");
    let steps = connection.plan_setup(&wanted, Some(&query), true);
    assert_eq!(steps.len(), 3);
    assert!(!connection.is_set_up(&wanted, Some(&query)));
    assert_eq!(connection.prepared_name(&query), None);
    // The database refused to set `a`.
    connection.record_acknowledged(&steps[1]);
    connection.record_acknowledged(&steps[2]);
    assert!(!connection.is_set_up(&wanted, Some(&query)));
    let steps = connection.plan_setup(&wanted, Some(&query), true);
    assert_eq!(steps.as_slice(), [set("a", "1")]);
    // It is not known whether another change took effect: only an acknowledged reset helps.
    connection.forget();
    assert!(!connection.is_set_up(&settings(&[]), None));
    assert_eq!(connection.prepared_name(&query), None);
    connection.record_acknowledged(&set("a", "1"));
    assert!(!connection.is_set_up(&settings(&[("a", "1")]), None));
    let steps = connection.plan_setup(&settings(&[]), None, true);
    assert_eq!(steps.as_slice(), [connection_state::SetupStep::Reset]);
    connection.record_acknowledged(&steps[0]);
    assert!(connection.is_set_up(&settings(&[]), None));
}

// Guards against statements that run another shape: two templates had one name on a connection,
// because names were made of the templates.
#[test]
fn prepared_statements_of_a_connection_never_share_a_name() {
    let (read, write) = (statement::AccessKind::Read, statement::AccessKind::Write);
    let mut queries = Vec::new();
    for kind in [read, write] {
        for template in [
            "q7",
            "q7 READ q7",
            "q7 READ other",
            " q7",
            "q7 ",
            "p1",
            "p1 READ q7",
        ] {
            queries.push(prepared_query(kind, template));
        }
        queries.extend((0..100).map(|number| prepared_query(kind, &format!("q{number}"))));
    }
    let mut connection = connection_state::ConnectionState::default();
    let mut names = std::collections::BTreeMap::new();
    let mut prepared = 0;
    for query in queries.iter().chain(&queries) {
        for step in set_up(&mut connection, &[], Some(query)) {
            match step {
                connection_state::SetupStep::Reset => prepared = 0,
                connection_state::SetupStep::Prepare { .. } => prepared += 1,
                connection_state::SetupStep::Set { .. } => {}
            }
        }
        assert!(prepared <= connection_state::MAX_PREPARED_STATEMENTS);
        let name = connection.prepared_name(query).expect("it is prepared");
        let text = name.to_string();
        assert!(text.len() <= 21 && !text.contains(' '), "{text}");
        // Not even a reset makes a name mean something else.
        assert_eq!(*names.entry(name).or_insert(query), query);
    }
}

#[test]
fn a_connection_holds_templates_of_a_bounded_length_but_is_not_reset_in_a_transaction() {
    let mut connection = connection_state::ConnectionState::default();
    let template = |number: usize| "x".repeat(connection_state::MAX_PREPARED_BYTES - number);
    let query = |number| prepared_query(statement::AccessKind::Read, &template(number));
    set_up(&mut connection, &[], Some(&query(1)));
    assert_eq!(set_up(&mut connection, &[], Some(&query(2))).len(), 1);
    let steps = connection.plan_setup(&settings(&[]), Some(&query(3)), false);
    assert_eq!(
        steps.len(),
        1,
        "the connection is not reset in a transaction"
    );
    let steps = set_up(&mut connection, &[], Some(&query(3)));
    assert_eq!(steps[0], connection_state::SetupStep::Reset);
    // What is prepared already needs no room.
    assert!(set_up(&mut connection, &[], Some(&query(3))).is_empty());
}

// Guards against connections that hold any number or length of prepared statements: they were reset
// only outside of transactions.
#[test]
fn a_connection_holds_a_bounded_number_of_prepared_statements_in_a_transaction() {
    let factor = connection_state::TRANSACTION_FACTOR;
    let short = String::new();
    let long = "x".repeat(connection_state::MAX_PREPARED_BYTES);
    for (padding, limit) in [
        (short, factor * connection_state::MAX_PREPARED_STATEMENTS),
        (long, factor),
    ] {
        let mut connection = connection_state::ConnectionState::default();
        let mut prepared = 0;
        for number in 0..2 * limit {
            let template = format!("q{number}{padding}");
            let query = prepared_query(statement::AccessKind::Read, &template);
            for step in connection.plan_setup(&settings(&[]), Some(&query), false) {
                let is_reset = step == connection_state::SetupStep::Reset;
                prepared = if is_reset { 0 } else { prepared + 1 };
                connection.record_acknowledged(&step);
            }
            assert!(prepared <= limit);
        }
    }
}

// Guards against a round trip for each prepared statement of a transaction: a new connection got only
// what the first one needed.
#[test]
fn a_connection_may_be_given_what_its_session_has_prepared() {
    let read = statement::AccessKind::Read;
    let mut session = state::SessionState::default();
    for number in 0..40 {
        let (name, template) = (format!("s{number}"), format!("q{number}"));
        session.plan_statement(&prepare(&name, read, &template));
    }
    session.plan_statement(&prepare("long", read, &"x".repeat(1 << 20)));
    let queries = session.prepared_queries();
    assert_eq!(queries.len(), 16, "not all at once");
    assert!(queries.iter().all(|query| query.template.len() <= 1_024));
    let mut connection = connection_state::ConnectionState::default();
    let wanted = settings(&[("a", "1")]);
    let planned = connection.plan_setup(&wanted, Some(&queries[0]), true);
    let optional = connection.plan_optional(&queries, &planned);
    assert_eq!(optional.len(), queries.len() - 1, "one is planned already");
    for step in planned.iter().chain(&optional[1..]) {
        connection.record_acknowledged(step);
    }
    // The one that was not acknowledged is not there.
    assert_eq!(connection.prepared_name(&queries[1]), None);
    for query in queries.iter().filter(|query| **query != queries[1]) {
        assert!(connection.is_set_up(&wanted, Some(query)));
    }
    // There is no room for more than a connection may hold.
    for number in 0..60 {
        let query = prepared_query(read, &format!("other{number}"));
        for step in connection.plan_setup(&wanted, Some(&query), false) {
            connection.record_acknowledged(&step);
        }
    }
    assert!(connection.plan_optional(&queries, &[]).is_empty());
}

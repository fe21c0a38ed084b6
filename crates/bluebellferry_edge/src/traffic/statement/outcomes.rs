//! Maps the results of statements to session outcomes and to the refusals sent to callers.

use std::time::Duration;

use bluebellferry_platform::database;
use bluebellferry_platform::line;
use bluebellferry_session::state;
use bluebellferry_session::statement;
use bluebellferry_types::refusal;

use crate::traffic::connection;

/// The retry delay suggested to a refused caller when no better estimate exists: about the
/// duration of one statement.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Returns whether a successful answer to the statement acknowledges a commit.
pub(super) fn is_commit(plan: &state::RunPlan) -> bool {
    matches!(
        plan.kind,
        state::RunKind::Commit | state::RunKind::AutocommitWrite
    )
}

/// Converts a database's answer into the outcome that the session state records.
pub(super) fn outcome_of(answer: &database::DatabaseAnswer) -> state::RunOutcome {
    match answer.error {
        None => state::RunOutcome::Succeeded {
            position: answer.position,
        },
        Some(_) => state::RunOutcome::Rejected {
            status: answer.transaction_status,
        },
    }
}

/// Returns the name of a statement's kind in logs and metrics.
pub(super) fn kind_label(action: &statement::StatementAction) -> &'static str {
    use statement::StatementAction as Action;
    match action {
        Action::Begin { .. } => "begin",
        Action::Commit => "commit",
        Action::Rollback => "rollback",
        Action::Access {
            kind: statement::AccessKind::Read,
            ..
        } => "read",
        Action::Access { .. } => "write",
        Action::Execute { .. } => "execute",
        Action::Set { .. } | Action::Prepare { .. } | Action::Deallocate { .. } => "local",
    }
}

/// Returns the refusal of a statement whose transaction was rolled back.
pub(super) fn refuse_aborted_transaction(message: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(refusal::RefusalReason::TransactionAborted, message)
}

/// Returns the refusal of a read that no database answered in time.
pub(super) fn timed_out() -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::StatementTimeout;
    refusal::RequestRefusal::not_run(reason, "no database answered in time")
        .retry_after(DEFAULT_RETRY_DELAY)
}

/// Returns the refusal of a statement that no database accepted before its deadline.
pub(super) fn no_database() -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::NoPrimary;
    refusal::RequestRefusal::not_run(reason, "no database took the statement")
        .retry_after(DEFAULT_RETRY_DELAY)
}

/// Returns the refusal of a statement for which no connection could be given the session's settings
/// and prepared statements.
pub(super) fn setup_failed(error: &connection::SetupError) -> refusal::RequestRefusal {
    if let connection::SetupError::NotSendable(error) = error {
        return not_sendable(*error);
    }
    let reason = refusal::RefusalReason::SetupRefused;
    refusal::RequestRefusal::not_run(reason, error.to_string()).retry_after(DEFAULT_RETRY_DELAY)
}

/// Returns the refusal of a statement whose transaction is no longer open at its database.
pub(super) fn transaction_ended() -> refusal::RequestRefusal {
    refuse_aborted_transaction("the database no longer has the transaction open")
}

/// Returns the refusal of a statement that cannot be sent to a database as one message.
pub(super) fn not_sendable(error: line::FieldError) -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::ProtocolViolation;
    refusal::RequestRefusal::not_run(reason, error.to_string())
}

/// Returns the refusal of a write whose outcome is unknown.
pub(super) fn in_doubt(error: connection::ExchangeError) -> refusal::RequestRefusal {
    refusal::RequestRefusal::unknown(refusal::RefusalReason::OutcomeUnknown, error.to_string())
}

/// Returns the refusal of a commit that a database acknowledged, but that may not be kept.
pub(super) fn unconfirmed_commit() -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::LeadershipUnconfirmed;
    let message = "the database that acknowledged the change may have been replaced before";
    refusal::RequestRefusal::unknown(reason, message)
}

/// Returns the refusal of a statement whose transaction lost its connection. The outcome is
/// unknown if the statement was COMMIT; otherwise the database rolls the transaction back.
pub(super) fn connection_lost(
    kind: state::RunKind,
    error: connection::ExchangeError,
) -> refusal::RequestRefusal {
    match kind {
        state::RunKind::Commit => in_doubt(error),
        _ => refuse_aborted_transaction(&error.to_string()),
    }
}

//! Outcomes of statements and the refusals that tell them truthfully.

use std::time::Duration;

use bluebellferry_platform::database;
use bluebellferry_session::state;
use bluebellferry_session::statement;
use bluebellferry_types::refusal;

use crate::traffic::connection;

/// When a refused caller should come back if nothing better is known: about the
/// time of one statement.
const SHORT_RETRY: Duration = Duration::from_millis(50);

/// Returns whether the statement's answer shows that commits are acknowledged.
pub(super) fn is_commit(plan: &state::RunPlan) -> bool {
    matches!(
        plan.kind,
        state::RunKind::Commit | state::RunKind::SingleWrite
    )
}

/// Returns what an answer means for the session.
pub(super) fn outcome_of(answer: &database::DatabaseAnswer) -> state::RunOutcome {
    match answer.error {
        None => state::RunOutcome::Succeeded {
            position: answer.position,
        },
        Some(_) => state::RunOutcome::Rejected {
            state: answer.transaction_status,
        },
    }
}

/// Returns the stable name of a statement's kind for logs and counters.
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

/// Returns the refusal of a transaction that was rolled back.
pub(super) fn aborted(message: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(refusal::RefusalReason::TransactionAborted, message)
}

/// Returns the refusal of a read that no database answered in time.
pub(super) fn timed_out() -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::StatementTimeout;
    refusal::RequestRefusal::not_run(reason, "no database answered in time")
        .retry_after(SHORT_RETRY)
}

/// Returns the refusal of a statement that no database took.
pub(super) fn not_run_here() -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::NoPrimary;
    refusal::RequestRefusal::not_run(reason, "no database took the statement")
        .retry_after(SHORT_RETRY)
}

/// Returns the refusal of a write whose effect is not known.
pub(super) fn in_doubt(error: connection::ExchangeError) -> refusal::RequestRefusal {
    refusal::RequestRefusal::unknown(refusal::RefusalReason::OutcomeUnknown, error.to_string())
}

/// What is true of a transaction whose connection is lost: without its COMMIT
/// the database rolls it back.
pub(super) fn lost_in_transaction(
    kind: state::RunKind,
    error: connection::ExchangeError,
) -> refusal::RequestRefusal {
    match kind {
        state::RunKind::Commit => in_doubt(error),
        _ => aborted(&error.to_string()),
    }
}

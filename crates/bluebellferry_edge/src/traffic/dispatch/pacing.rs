//! Keeps statements to the paces of cold databases.

use std::rc::Rc;
use std::time::Instant;

use bluebellferry_pool::pool;
use bluebellferry_runtime::clock;
use bluebellferry_shares::limiter;
use bluebellferry_types::refusal;

use crate::traffic::access;
use crate::traffic::dispatch;

impl dispatch::Dispatcher {
    /// Waits until the database of a connection may receive another statement, and returns the
    /// connection.
    pub(super) async fn keep_pace_of(
        self: &Rc<Self>,
        placed: dispatch::PlacedConnection,
        request: &dispatch::PlacementRequest,
    ) -> Result<dispatch::PlacedConnection, refusal::RequestRefusal> {
        let database = placed.connection.database;
        let paced = self.keep_pace(database, &request.claim, request.deadline);
        match paced.await {
            Ok(()) => Ok(placed),
            Err(refusal) => {
                self.release(placed.connection);
                Err(refusal)
            }
        }
    }

    /// Waits until a cold database may receive another statement. Does not wait for a warm one.
    ///
    /// # Errors
    /// Returns a refusal if it may not before `deadline`, or if the claim of the statement does not
    /// hold any more.
    pub async fn keep_pace(
        &self,
        database: pool::DatabaseIndex,
        claim: &access::WorkspaceClaim,
        deadline: Instant,
    ) -> Result<(), refusal::RequestRefusal> {
        let now = clock::now();
        let share = {
            let state = self.state.borrow();
            state.records[database].pace_in_force(now).cloned()
        };
        let Some(share) = share else { return Ok(()) };
        let max_wait = deadline
            .saturating_duration_since(now)
            .min(limiter::MAX_TRANSACTION_WAIT);
        let admission = share.admit(max_wait, &self.shared.tokens_wanted);
        let admitted = claim.confirm_during(&self.shared, admission).await?;
        let result = if admitted.is_ok() {
            "granted"
        } else {
            "refused"
        };
        self.metrics.count_paced(result);
        admitted.map_err(|refilled_in| {
            let reason = refusal::RefusalReason::DatabaseWarmingUp;
            dispatch::refuse_not_run(
                reason,
                "the database takes only a few statements after its start",
            )
            .retry_after(refilled_in)
        })
    }

    /// Records that a database ended a connection: it may have started again.
    pub(super) fn record_interrupted(&self, database: pool::DatabaseIndex) {
        let record = &mut self.state.borrow_mut().records[database];
        record.contact.record_interrupted();
    }
}

/// Records that this VM has no connection to a database any more, if that is so.
pub(super) fn record_contact(state: &mut dispatch::DispatchState, database: pool::DatabaseIndex) {
    if state.pool.connection_count(database) == 0 {
        state.records[database].contact.record_interrupted();
    }
}

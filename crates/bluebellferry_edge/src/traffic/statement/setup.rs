//! Brings connections into the state of a session before its statements run there.

use std::time::Instant;

use bluebellferry_platform::database;
use bluebellferry_session::connection_state;
use bluebellferry_session::statement;
use bluebellferry_types::refusal;

use crate::traffic::connection;
use crate::traffic::dispatch;
use crate::traffic::session;
use crate::traffic::statement::outcomes;

/// How many times a statement is refused the setup of a connection before it is refused itself. A
/// database that does not accept a session's values does not accept them later either.
const MAX_SETUP_ATTEMPTS: u32 = 3;

impl session::CallerSession {
    /// Acquires a connection that has the session's settings and, if `query` is given, a prepared
    /// statement for it. Tries other connections and databases for a limited number of times.
    ///
    /// # Errors
    /// Returns a refusal that states that the statement has not run.
    pub(super) async fn acquire_set_up(
        &self,
        id: &str,
        query: Option<&statement::PreparedQuery>,
        request: &mut dispatch::PlacementRequest,
    ) -> Result<dispatch::PlacedConnection, refusal::RequestRefusal> {
        let dispatcher = &self.context.dispatcher;
        let mut refusals = 0;
        loop {
            let mut placed = dispatcher.acquire(request).await?;
            let connection = &mut placed.connection;
            if connection.is_set_up(self.state.settings(), query) {
                return Ok(placed);
            }
            let database = connection.database;
            let deadline = self.response_deadline(database, request.deadline);
            match self.set_up(connection, query, deadline).await {
                Ok(()) => {
                    // The database may have been replaced during the round trip.
                    if let Some(placed) = dispatcher.check_placement(placed.connection, request) {
                        return Ok(placed);
                    }
                }
                Err(connection::SetupError::NoAnswer(error)) => {
                    request.excluded.push(database);
                    self.record_failure(id, placed.connection, error, false);
                }
                Err(error) => {
                    self.log_setup_error(id, &placed.connection, &error);
                    refusals += 1;
                    if error.is_refused_reset() {
                        // A new connection has nothing to reset.
                        dispatcher.discard(placed.connection);
                    } else {
                        dispatcher.release(placed.connection);
                    }
                    let may_retry = matches!(error, connection::SetupError::Refused { .. });
                    if !may_retry || refusals >= MAX_SETUP_ATTEMPTS {
                        return Err(outcomes::setup_failed(&error));
                    }
                    request.excluded.push(database);
                }
            }
        }
    }

    /// Gives a connection the session's settings and, if `query` is given, a prepared statement for
    /// it.
    ///
    /// # Errors
    /// Returns the reason why the connection is not in that state.
    pub(super) async fn set_up(
        &self,
        connection: &mut dispatch::PoolConnection,
        query: Option<&statement::PreparedQuery>,
        deadline: Instant,
    ) -> Result<(), connection::SetupError> {
        let (database, number) = (connection.database, connection.number);
        let observe = |step: &connection_state::SetupStep,
                       error: Option<database::DatabaseError>| {
            self.context.metrics.count_setup_step(step, error);
            if let (None, connection_state::SetupStep::Prepare { name, query }) = (error, step) {
                self.log_prepared_sample(database, number, *name, query);
            }
        };
        connection
            .set_up(self.state.settings(), query, deadline, observe)
            .await
    }

    /// Returns the refusal of a statement whose open transaction could not be given the session's
    /// state. The transaction is rolled back with its connection.
    pub(super) fn refuse_in_transaction(
        &self,
        id: &str,
        connection: &dispatch::PoolConnection,
        error: &connection::SetupError,
    ) -> refusal::RequestRefusal {
        match error {
            connection::SetupError::NoAnswer(error) => {
                self.report_no_answer(id, connection, *error, false);
            }
            _ => self.log_setup_error(id, connection, error),
        }
        outcomes::refuse_aborted_transaction(&error.to_string())
    }
}

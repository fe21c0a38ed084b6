//! Idempotent requests: a request with a `request_id` runs at most once.
//!
//! The `request_id` and the command tag of the answer are written to a table in
//! the same transaction as the request itself. A caller that has lost the answer
//! can send the request again: it gets the recorded command tag, and the request
//! does not run a second time.

use std::time::Instant;

use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;

use super::CallerSession;
use super::SessionEnd;
use super::plan;
use super::relay;
use super::request;
use super::route;
use crate::backend;
use crate::pool;

/// The table of request IDs, which the proxy creates in a database that lacks it.
const REQUESTS_TABLE: &str = "bluebellferry_requests";
/// The SQLSTATE `unique_violation`.
const UNIQUE_VIOLATION: &str = "23505";
/// The SQLSTATE `undefined_table`.
const UNDEFINED_TABLE: &str = "42P01";

/// The result of writing a request ID to the table.
#[derive(Debug, PartialEq, Eq)]
enum RequestIdOutcome {
    /// The request ID was not in the table.
    Recorded,
    /// The request ID was in the table already, so the request has run.
    AlreadyRecorded,
}

/// Returns whether the database reported an error with this SQLSTATE.
fn has_sqlstate(error: &backend::BackendError, sqlstate: &str) -> bool {
    matches!(error, backend::BackendError::Refused(fields) if fields.sqlstate == sqlstate)
}

fn quote_literal(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

impl CallerSession {
    /// Runs a request with a request ID unless it has run before.
    pub(super) async fn run_idempotent(
        &mut self,
        request: &request::BufferedRequest,
        plan: &plan::RequestPlan,
        request_id: &str,
        deadline: Instant,
        started: Instant,
    ) -> Result<(), request::RequestFailure> {
        if !request.is_complete() || plan.may_commit || plan.needs_pin {
            return Err(unsupported_request_id_refusal().into());
        }
        let access = self.access_watch();
        let row_id = format!("{}/{request_id}", self.identity.workspace);
        let is_proxy_transaction = self.transaction == message::TransactionStatus::Idle;
        let mut connection = match self.held_connection.take() {
            Some(connection) => connection,
            None => {
                let borrowed = self.borrow_connection(plan, deadline, true);
                let borrowed = access.confirm_during(borrowed).await;
                borrowed.map_err(SessionEnd::from)??.1
            }
        };
        let recorded = record_request_id(&mut connection, &row_id, is_proxy_transaction).await;
        match recorded {
            Ok(RequestIdOutcome::Recorded) => {}
            Ok(RequestIdOutcome::AlreadyRecorded) if is_proxy_transaction => {
                return self
                    .answer_with_recorded_tag(request, connection, &row_id)
                    .await;
            }
            Ok(RequestIdOutcome::AlreadyRecorded) => {
                self.held_connection = Some(connection);
                return Err(already_ran_refusal().into());
            }
            Err(_) => {
                connection.discard();
                let mut refusal = self.lost_database_refusal(route::ChosenRoute::Primary, plan);
                // The request itself has not been sent.
                refusal.execution = refusal::RequestExecution::NotRun;
                refusal.reason = refusal::RefusalReason::DatabaseLost;
                return Err(refusal.into());
            }
        }
        if let Err(refusal) = access.confirm() {
            connection.discard();
            return Err(SessionEnd::from(refusal).into());
        }
        self.cancel_entry
            .set_cancel_target(Some(connection.connection.cancel_target.clone()));
        connection.connection.expect_changes(plan);
        let handling = relay::AnswerHandling::BufferAll;
        let relayed = self.relay(&mut connection, request, handling).await;
        self.cancel_entry.set_cancel_target(None);
        let completed = match relayed {
            Ok(relay::RelayOutcome::Finished(completed)) => completed,
            Ok(_) => {
                // The transaction was not committed, so the request has no effect.
                connection.discard();
                let text = "the database went away, or the answer was too large, before the commit";
                let reason = refusal::RefusalReason::DatabaseLost;
                return Err(refusal::RequestRefusal::not_run(reason, text).into());
            }
            Err(end) => {
                connection.discard();
                return Err(end.into());
            }
        };
        if is_proxy_transaction {
            self.end_proxy_transaction(connection, &row_id, completed.has_failed)
                .await?;
            if !completed.has_failed {
                self.record_setting_changes(plan, true);
            }
        } else {
            self.complete_request(route::ChosenRoute::Primary, connection, plan, &completed);
        }
        message::put_ready_for_query(&mut self.send_buffer, self.transaction);
        self.flush().await?;
        let seconds = started.elapsed().as_secs_f64();
        let workspace = self.identity.workspace.as_str();
        let route = route::ChosenRoute::Primary.metrics_route();
        self.shared.metrics.count_request(workspace, route, seconds);
        Ok(())
    }

    /// Ends the transaction that the proxy has opened for a request: rolls it back
    /// if the request failed, else records the command tag and commits.
    async fn end_proxy_transaction(
        &mut self,
        mut connection: pool::PooledConnection,
        row_id: &str,
        has_failed: bool,
    ) -> Result<(), request::RequestFailure> {
        let backend = &mut connection.connection;
        if has_failed {
            match backend.query("ROLLBACK").await {
                Ok(_) => connection.return_to_pool(),
                Err(_) => connection.discard(),
            }
            return Ok(());
        }
        let command = last_command_tag(&self.send_buffer);
        let (command, row_id) = (quote_literal(&command), quote_literal(row_id));
        let update = format!("UPDATE {REQUESTS_TABLE} SET command = {command} WHERE id = {row_id}");
        backend.last_commit_position = None;
        let commit = match backend.query(&update).await {
            Ok(_) => backend.query("COMMIT").await,
            Err(error) => Err(error),
        };
        let commit_position = backend.last_commit_position;
        if commit.is_err() || commit_position.is_none() {
            connection.discard();
            let text = "the commit was not confirmed; send the request again with the same \
                        request_id to learn its outcome";
            let reason = refusal::RefusalReason::OutcomeUnknown;
            return Err(refusal::RequestRefusal::unknown(reason, text).into());
        }
        connection.return_to_pool();
        self.floor = self.floor.max(commit_position);
        Ok(())
    }

    /// Answers a repeated request with the recorded command tag. Rows that the first
    /// run returned are not recorded, so they are missing from the answer.
    async fn answer_with_recorded_tag(
        &mut self,
        request: &request::BufferedRequest,
        mut connection: pool::PooledConnection,
        row_id: &str,
    ) -> Result<(), request::RequestFailure> {
        let sql = format!(
            "SELECT command FROM {REQUESTS_TABLE} WHERE id = {}",
            quote_literal(row_id)
        );
        let row = match connection.connection.query(&sql).await {
            Ok(row) => row,
            Err(_) => {
                connection.discard();
                return Err(already_ran_refusal().into());
            }
        };
        connection.return_to_pool();
        let Some(command) = row
            .column_value("command")
            .filter(|command| !command.is_empty())
        else {
            return Err(already_ran_refusal().into());
        };
        for frame in &request.frames {
            put_repeated_answer(&mut self.send_buffer, frame.tag, command);
        }
        message::put_ready_for_query(&mut self.send_buffer, self.transaction);
        self.flush().await?;
        Ok(())
    }
}

/// Writes a request ID to the table: in a new transaction if `is_proxy_transaction`,
/// else in the caller's open one. Creates a missing table only in the first case.
async fn record_request_id(
    connection: &mut pool::PooledConnection,
    row_id: &str,
    is_proxy_transaction: bool,
) -> Result<RequestIdOutcome, backend::BackendError> {
    let backend = &mut connection.connection;
    let insert = format!(
        "INSERT INTO {REQUESTS_TABLE} (id, command) VALUES ({}, '')",
        quote_literal(row_id)
    );
    if !is_proxy_transaction {
        return match backend.query(&insert).await {
            Ok(_) => Ok(RequestIdOutcome::Recorded),
            Err(error) if has_sqlstate(&error, UNIQUE_VIOLATION) => {
                Ok(RequestIdOutcome::AlreadyRecorded)
            }
            Err(error) => Err(error),
        };
    }
    loop {
        backend.query("BEGIN").await?;
        let Err(error) = backend.query(&insert).await else {
            return Ok(RequestIdOutcome::Recorded);
        };
        backend.query("ROLLBACK").await?;
        if has_sqlstate(&error, UNIQUE_VIOLATION) {
            return Ok(RequestIdOutcome::AlreadyRecorded);
        }
        if !has_sqlstate(&error, UNDEFINED_TABLE) {
            return Err(error);
        }
        let create = format!(
            "CREATE TABLE IF NOT EXISTS {REQUESTS_TABLE} (id TEXT PRIMARY KEY, command TEXT NOT NULL)"
        );
        backend.query(&create).await?;
    }
}

/// Appends the answer to one message of a repeated request.
fn put_repeated_answer(out: &mut bytes::BytesMut, tag: u8, command: &str) {
    match tag {
        frame::QUERY | frame::EXECUTE => message::put_command_complete(out, command),
        frame::PARSE => message::put_empty_frame(out, frame::PARSE_COMPLETE),
        frame::BIND => message::put_empty_frame(out, frame::BIND_COMPLETE),
        frame::DESCRIBE => message::put_empty_frame(out, frame::NO_DATA),
        frame::CLOSE => message::put_empty_frame(out, frame::CLOSE_COMPLETE),
        _ => {}
    }
}

/// Returns the last command tag among the buffered answers.
fn last_command_tag(answers: &bytes::BytesMut) -> String {
    let mut rest = answers.clone();
    let mut command = String::new();
    while let Ok(Some(answer)) = frame::take_frame(&mut rest, usize::MAX) {
        if answer.tag == frame::COMMAND_COMPLETE {
            let text = answer.body().strip_suffix(&[0]).unwrap_or(answer.body());
            command = String::from_utf8_lossy(text).into_owned();
        }
    }
    command
}

fn already_ran_refusal() -> refusal::RequestRefusal {
    let text = "a request with this request_id has run before; it was not run again";
    let reason = refusal::RefusalReason::AlreadyRan;
    let mut refusal = refusal::RequestRefusal::not_run(reason, text);
    refusal.execution = refusal::RequestExecution::Ran;
    refusal
}

fn unsupported_request_id_refusal() -> refusal::RequestRefusal {
    let text = "a request_id goes with one complete request that neither commits by itself nor \
                keeps state on its connection";
    refusal::RequestRefusal::not_run(refusal::RefusalReason::InvalidSetting, text)
}

//! Requests with an identity, which run at most once.
//!
//! The identity and the outcome are written in the same transaction as the
//! request itself. Whoever sends the request again, after an answer was lost,
//! gets the first outcome and nothing runs twice.

use std::time::Instant;

use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;

use super::CallerSession;
use super::plan;
use super::relay;
use super::request;
use super::route;
use crate::backend;
use crate::pool;

/// The table of identities, which the proxy creates where it is missing.
const LEDGER: &str = "bluebellferry_requests";
/// The SQLSTATE of a row that is already there.
const UNIQUE_VIOLATION: &str = "23505";
/// The SQLSTATE of a table that is missing.
const UNDEFINED_TABLE: &str = "42P01";

/// What came of writing an identity.
#[derive(Debug, PartialEq, Eq)]
enum IdentityOutcome {
    /// It is new.
    Entered,
    /// It is there: the request has run.
    Known,
}

/// Whether an error is the database's refusal with this SQLSTATE.
fn is_refusal(error: &backend::BackendError, sqlstate: &str) -> bool {
    matches!(error, backend::BackendError::Refused(fields) if fields.sqlstate == sqlstate)
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

impl CallerSession {
    /// Runs a request that carries an identity.
    pub(super) async fn run_once(
        &mut self,
        gathered: &request::GatheredRequest,
        plan: &plan::RequestPlan,
        id: &str,
        deadline: Instant,
        started: Instant,
    ) -> Result<(), request::RequestFailure> {
        if !gathered.is_complete() || plan.may_commit || plan.needs_pin {
            return Err(not_identifiable().into());
        }
        let key = format!("{}/{id}", self.identity.workspace);
        let own_transaction = self.transaction == message::TransactionState::Idle;
        let mut connection = match self.held.take() {
            Some(held) => held,
            None => self.borrow_connection(plan, deadline, true).await?.1,
        };
        let entered = enter_identity(&mut connection, &key, own_transaction).await;
        match entered {
            Ok(IdentityOutcome::Entered) => {}
            Ok(IdentityOutcome::Known) if own_transaction => {
                return self.repeat_outcome(gathered, connection, &key).await;
            }
            Ok(IdentityOutcome::Known) => {
                self.held = Some(connection);
                return Err(already_ran().into());
            }
            Err(_) => {
                connection.discard();
                let mut refused = self.lost_refusal(route::ChosenRoute::Primary, plan);
                // Nothing of the request itself had been sent.
                refused.execution = refusal::RequestExecution::NotRun;
                refused.reason = refusal::RefusalReason::DatabaseLost;
                return Err(refused.into());
            }
        }
        self.cancel
            .set_running(Some(connection.connection.cancel.clone()));
        let keep = relay::AnswerHandling::Keep;
        let relayed = self.relay(&mut connection, gathered, keep).await;
        self.cancel.set_running(None);
        let end = match relayed {
            Ok(relay::RelayOutcome::Finished(end)) => end,
            Ok(_) => {
                // Not committed, so nothing of it can have taken effect.
                connection.discard();
                let text = "the database went away, or the answer was too large, before the commit";
                let reason = refusal::RefusalReason::DatabaseLost;
                return Err(refusal::RequestRefusal::not_run(reason, text).into());
            }
            Err(ended) => {
                connection.discard();
                return Err(ended.into());
            }
        };
        if own_transaction {
            self.end_own_transaction(connection, &key, end.failed)
                .await?;
        } else {
            self.record_end(route::ChosenRoute::Primary, connection, plan, &end);
        }
        message::put_ready_for_query(&mut self.out, self.transaction);
        self.flush().await?;
        let seconds = started.elapsed().as_secs_f64();
        let workspace = self.identity.workspace.as_str();
        let route = route::ChosenRoute::Primary.counted();
        self.shared.metrics.count_request(workspace, route, seconds);
        Ok(())
    }

    /// Commits request, identity and outcome together.
    async fn end_own_transaction(
        &mut self,
        mut connection: pool::PooledConnection,
        key: &str,
        failed: bool,
    ) -> Result<(), request::RequestFailure> {
        let backend = &mut connection.connection;
        if failed {
            match backend.query("ROLLBACK").await {
                Ok(_) => connection.give_back(),
                Err(_) => connection.discard(),
            }
            return Ok(());
        }
        let command = last_command(&self.out);
        let (command, key) = (quoted(&command), quoted(key));
        let note = format!("UPDATE {LEDGER} SET command = {command} WHERE id = {key}");
        backend.committed = None;
        let ended = match backend.query(&note).await {
            Ok(_) => backend.query("COMMIT").await,
            Err(error) => Err(error),
        };
        let committed = backend.committed;
        if ended.is_err() || committed.is_none() {
            connection.discard();
            let text = "the commit was not confirmed; send the request again with the same \
                        request_id to learn its outcome";
            let reason = refusal::RefusalReason::OutcomeUnknown;
            return Err(refusal::RequestRefusal::unknown(reason, text).into());
        }
        connection.give_back();
        self.floor = self.floor.max(committed);
        Ok(())
    }

    /// Answers a repeated request with the outcome of the first; rows that the
    /// first returned are not kept.
    async fn repeat_outcome(
        &mut self,
        gathered: &request::GatheredRequest,
        mut connection: pool::PooledConnection,
        key: &str,
    ) -> Result<(), request::RequestFailure> {
        let sql = format!("SELECT command FROM {LEDGER} WHERE id = {}", quoted(key));
        let row = match connection.connection.query(&sql).await {
            Ok(row) => row,
            Err(_) => {
                connection.discard();
                return Err(already_ran().into());
            }
        };
        connection.give_back();
        let Some(command) = row.value("command").filter(|command| !command.is_empty()) else {
            return Err(already_ran().into());
        };
        for frame in &gathered.frames {
            put_repeated_answer(&mut self.out, frame.tag, command);
        }
        message::put_ready_for_query(&mut self.out, self.transaction);
        self.flush().await?;
        Ok(())
    }
}

/// Writes an identity in the open transaction, or in a new one.
async fn enter_identity(
    connection: &mut pool::PooledConnection,
    key: &str,
    own_transaction: bool,
) -> Result<IdentityOutcome, backend::BackendError> {
    let backend = &mut connection.connection;
    let insert = format!(
        "INSERT INTO {LEDGER} (id, command) VALUES ({}, '')",
        quoted(key)
    );
    if !own_transaction {
        return match backend.query(&insert).await {
            Ok(_) => Ok(IdentityOutcome::Entered),
            Err(error) if is_refusal(&error, UNIQUE_VIOLATION) => Ok(IdentityOutcome::Known),
            Err(error) => Err(error),
        };
    }
    loop {
        backend.query("BEGIN").await?;
        let Err(error) = backend.query(&insert).await else {
            return Ok(IdentityOutcome::Entered);
        };
        backend.query("ROLLBACK").await?;
        if is_refusal(&error, UNIQUE_VIOLATION) {
            return Ok(IdentityOutcome::Known);
        }
        if !is_refusal(&error, UNDEFINED_TABLE) {
            return Err(error);
        }
        let create = format!(
            "CREATE TABLE IF NOT EXISTS {LEDGER} (id TEXT PRIMARY KEY, command TEXT NOT NULL)"
        );
        backend.query(&create).await?;
    }
}

/// Appends what a database would answer to a message of a request that ran.
fn put_repeated_answer(out: &mut bytes::BytesMut, request: u8, command: &str) {
    match request {
        frame::QUERY | frame::EXECUTE => message::put_command_complete(out, command),
        frame::PARSE => message::put_empty_frame(out, frame::PARSE_COMPLETE),
        frame::BIND => message::put_empty_frame(out, frame::BIND_COMPLETE),
        frame::DESCRIBE => message::put_empty_frame(out, frame::NO_DATA),
        frame::CLOSE => message::put_empty_frame(out, frame::CLOSE_COMPLETE),
        _ => {}
    }
}

/// Returns the last command tag among the answers that are kept back.
fn last_command(answers: &bytes::BytesMut) -> String {
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

fn already_ran() -> refusal::RequestRefusal {
    let text = "a request with this request_id has run before; it was not run again";
    let reason = refusal::RefusalReason::AlreadyRan;
    let mut refused = refusal::RequestRefusal::not_run(reason, text);
    refused.execution = refusal::RequestExecution::Ran;
    refused
}

fn not_identifiable() -> refusal::RequestRefusal {
    let text = "a request_id goes with one complete request that neither commits by itself nor \
                keeps state on its connection";
    refusal::RequestRefusal::not_run(refusal::RefusalReason::InvalidSetting, text)
}

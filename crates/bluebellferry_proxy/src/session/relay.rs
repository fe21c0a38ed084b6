//! Relaying of a request and its answers between a caller and the database
//! connection that the session has borrowed.

use std::time::Instant;

use bluebellferry_types::position;
use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bytes::BytesMut;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;

use super::CallerSession;
use super::SessionEnd;
use super::exchange;
use super::plan;
use super::request;
use crate::backend;
use crate::metrics;
use crate::pool;

/// The amount of buffered answers, in bytes, at which they are sent to the caller.
const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;
/// The largest chunk of an answer that is read from a database at once, in bytes.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// The largest answer of an idempotent request, in bytes. It is buffered until
/// the transaction has committed.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1024 * 1024;
/// The amount of data waiting to be written to a database, in bytes, at which no
/// more messages of the request are read from the caller.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// The SQLSTATE `read_only_sql_transaction`, with which a read-only database
/// refuses a write.
const READ_ONLY_SQL_TRANSACTION: &str = "25006";

/// How the answers to a request reach the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerHandling {
    /// The answers are forwarded as they arrive.
    Forward,
    /// The answers are buffered while they are small, so that the request can be sent
    /// to another database if this one fails or refuses it as read-only.
    BufferForRetry,
    /// The answers are buffered while they are small, so that the request can be sent
    /// again if the database refuses it because it is no longer the primary.
    BufferForRetryIfRefused,
    /// All answers to an idempotent request stay in the session's send buffer until
    /// the commit, and ReadyForQuery is left out.
    BufferAll,
}

/// The result of a request that was answered completely.
#[derive(Debug, Clone, Copy)]
pub(super) struct CompletedRequest {
    /// The transaction state after the request.
    pub(super) transaction: message::TransactionStatus,
    /// Whether the database answered with an error.
    pub(super) has_failed: bool,
    /// Whether a transaction was committed by a statement of the request.
    pub(super) has_committed: bool,
}

/// The outcome of relaying a request.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    /// The request was answered completely.
    Finished(CompletedRequest),
    /// No answer has reached the caller and the request has had no effect, so it can
    /// be sent again for this reason.
    Retry(metrics::RetryReason),
    /// The connection to the database was lost before the answer was complete.
    DatabaseLost,
    /// The answer is too large to be buffered until the commit.
    TooLarge,
}

/// The state of a request that is being relayed.
struct RelayState {
    exchange: exchange::RequestExchange,
    /// Messages that have not been written to the database yet.
    to_database: BytesMut,
    /// Whether the database waits for COPY data from the caller.
    is_copying_in: bool,
    /// Whether all answers so far are buffered, so that the request can be retried.
    is_retryable: bool,
    handling: AnswerHandling,
    /// Whether all answers stay in the send buffer ([`AnswerHandling::BufferAll`]).
    is_buffering_all: bool,
    /// Whether the database has answered a commit.
    has_committed: bool,
    /// The reason to retry the request once its answer is complete.
    retry_reason: Option<metrics::RetryReason>,
    /// When the request is aborted and why; set while the session has lost its key or service.
    lost_access: Option<(Instant, refusal::RequestRefusal)>,
    completed: Option<CompletedRequest>,
}

impl RelayState {
    /// Returns whether the request needs more messages from the caller and there is
    /// room for them.
    fn expects_caller_message(&self) -> bool {
        let is_incomplete = self.exchange.is_batch_open() || self.is_copying_in;
        is_incomplete && self.to_database.len() < MAX_UNSENT_BYTES
    }
}

impl CallerSession {
    /// Relays one request until the database is ready for the next.
    pub(super) async fn relay(
        &mut self,
        connection: &mut pool::PooledConnection,
        request: &request::BufferedRequest,
        handling: AnswerHandling,
    ) -> Result<RelayOutcome, SessionEnd> {
        let mut state = RelayState {
            exchange: exchange::RequestExchange::default(),
            to_database: BytesMut::new(),
            is_copying_in: false,
            is_retryable: matches!(
                handling,
                AnswerHandling::BufferForRetry | AnswerHandling::BufferForRetryIfRefused
            ),
            handling,
            is_buffering_all: handling == AnswerHandling::BufferAll,
            has_committed: false,
            retry_reason: None,
            lost_access: None,
            completed: None,
        };
        for frame in &request.frames {
            self.forward_frame(&mut state, connection, frame)?;
        }
        let outcome = self.relay_until_outcome(&mut state, connection).await?;
        let has_answered = !state.is_retryable && !state.is_buffering_all;
        match outcome {
            RelayOutcome::Finished(_) => {}
            RelayOutcome::DatabaseLost if has_answered => {
                state.exchange.undo_unanswered_changes(&mut self.statements);
            }
            _ => state.exchange.undo_all_changes(&mut self.statements),
        }
        Ok(outcome)
    }

    async fn relay_until_outcome(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
    ) -> Result<RelayOutcome, SessionEnd> {
        let started = Instant::now();
        loop {
            if state.expects_caller_message()
                && let Some(frame) = self.read_ahead.take()
            {
                self.handle_caller_frame(state, connection, &frame)?;
                continue;
            }
            let backend = &mut connection.connection;
            // `started` is only a placeholder: without `lost_access`, the branch that sleeps
            // is disabled.
            let abort_at = state.lost_access.as_ref().map_or(started, |(at, _)| *at);
            tokio::select! {
                written = backend.writer.write_buf(&mut state.to_database),
                    if !state.to_database.is_empty() =>
                {
                    if !matches!(written, Ok(size) if size > 0) {
                        return Ok(lost_database_outcome(state));
                    }
                }
                chunk = backend.reader.next_chunk(MAX_CHUNK_BYTES) => {
                    let Ok(Some(chunk)) = chunk else {
                        return Ok(lost_database_outcome(state));
                    };
                    if !self.handle_answers(state, connection, chunk)? {
                        return Ok(lost_database_outcome(state));
                    }
                    if let Some(outcome) = self.flush_answers(state).await? {
                        return Ok(outcome);
                    }
                }
                frame = self.reader.next_frame(super::MAX_MESSAGE_BYTES),
                    if state.expects_caller_message() || self.read_ahead.is_none() =>
                {
                    let frame = frame?.ok_or(SessionEnd::CallerDisconnected)?;
                    if state.expects_caller_message() {
                        self.handle_caller_frame(state, connection, &frame)?;
                    } else {
                        self.read_ahead = Some(frame);
                    }
                }
                changed = self.wakeups.changed() => {
                    changed.map_err(|_| SessionEnd::CallerDisconnected)?;
                    let confirmed = self.identity.confirm(&self.shared.snapshot());
                    let lost = confirmed.err().map(|refusal| {
                        let former = state.lost_access.take().map(|(at, _)| at);
                        let abort_at = Instant::now() + super::LOST_ACCESS_GRACE_PERIOD;
                        (former.unwrap_or(abort_at), refusal)
                    });
                    state.lost_access = lost;
                }
                () = tokio::time::sleep_until(abort_at.into()), if state.lost_access.is_some() => {
                    let lost = state.lost_access.take();
                    return Err(lost.map_or(SessionEnd::CallerDisconnected, |(_, refusal)| refusal.into()));
                }
            }
        }
    }

    fn handle_caller_frame(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
        frame: &frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        if frame.tag == frame::TERMINATE {
            return Err(SessionEnd::CallerDisconnected);
        }
        self.reject_key_in_request(std::slice::from_ref(frame))?;
        if matches!(frame.tag, frame::COPY_DONE | frame::COPY_FAIL) {
            state.is_copying_in = false;
        }
        // The request's plan covers only the messages before its first Flush.
        let frames = std::slice::from_ref(frame);
        if let Ok(plan) = plan::plan_request(frames, &self.statements, None) {
            connection.connection.expect_unplanned_changes(&plan);
        }
        self.forward_frame(state, connection, frame)
    }

    fn forward_frame(
        &mut self,
        state: &mut RelayState,
        connection: &pool::PooledConnection,
        frame: &frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        let prepared_statements = &connection.connection.prepared_statements;
        state.exchange.translate_message(
            frame,
            &self.shared.statement_table,
            &mut self.statements,
            prepared_statements,
            &mut state.to_database,
            &mut self.send_buffer,
        )?;
        Ok(())
    }

    /// Handles a chunk of an answer and all others that have been read with it.
    /// Returns `false` when the database violates the protocol.
    fn handle_answers(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
        first: reader::FrameChunk,
    ) -> Result<bool, SessionEnd> {
        let mut next = Some(first);
        while let Some(chunk) = next {
            let prepared_statements = &mut connection.connection.prepared_statements;
            let event =
                state
                    .exchange
                    .handle_answer(&chunk, &mut self.statements, prepared_statements);
            let Ok(event) = event else {
                return Ok(false);
            };
            if let exchange::AnswerEvent::Ready(transaction) = event {
                connection.connection.transaction = transaction;
            }
            self.handle_event(state, &chunk, event)?;
            if state.completed.is_some() || self.send_buffer.len() >= FLUSH_THRESHOLD_BYTES {
                break;
            }
            match connection.connection.reader.take_chunk(MAX_CHUNK_BYTES) {
                Ok(chunk) => next = chunk,
                Err(_) => return Ok(false),
            }
        }
        Ok(true)
    }

    fn handle_event(
        &mut self,
        state: &mut RelayState,
        chunk: &reader::FrameChunk,
        event: exchange::AnswerEvent,
    ) -> Result<(), SessionEnd> {
        match event {
            exchange::AnswerEvent::Suppress => {}
            exchange::AnswerEvent::Error => {
                if state.is_retryable && self.is_read_only_refusal(chunk) {
                    state.retry_reason = Some(match state.handling {
                        AnswerHandling::BufferForRetry => metrics::RetryReason::ReplicaRefusedWrite,
                        _ => metrics::RetryReason::PrimaryReplaced,
                    });
                }
                self.send_buffer.extend_from_slice(&chunk.bytes);
            }
            exchange::AnswerEvent::Forward => {
                if chunk.tag == frame::PARAMETER_STATUS && chunk.is_first {
                    self.record_commit_position(chunk);
                }
                state.has_committed |= chunk.is_first && is_commit(chunk);
                self.send_buffer.extend_from_slice(&chunk.bytes);
            }
            exchange::AnswerEvent::CopyIn => {
                state.is_copying_in = true;
                state.is_retryable = false;
                self.send_buffer.extend_from_slice(&chunk.bytes);
            }
            exchange::AnswerEvent::Ready(transaction) => {
                if !state.is_buffering_all {
                    self.send_buffer.extend_from_slice(&chunk.bytes);
                }
                if state.exchange.is_finished() {
                    let has_failed = state.exchange.has_failed();
                    state.completed = Some(CompletedRequest {
                        transaction,
                        has_failed,
                        has_committed: state.has_committed,
                    });
                }
            }
        }
        state
            .exchange
            .append_synthetic_answers(&mut self.send_buffer);
        Ok(())
    }

    fn is_read_only_refusal(&self, chunk: &reader::FrameChunk) -> bool {
        let fields = chunk
            .whole_frame()
            .map(|frame| message::ErrorFields::from_frame(&frame));
        matches!(fields, Some(Ok(fields)) if fields.sqlstate == READ_ONLY_SQL_TRANSACTION)
    }

    /// Raises the session's floor to the position of its own commit, which the
    /// database reports as a parameter.
    fn record_commit_position(&mut self, chunk: &reader::FrameChunk) {
        let status = chunk
            .whole_frame()
            .map(|frame| message::decode_message(&frame));
        let Some(Ok(status)) = status else { return };
        let status: startup::ParameterStatus = status;
        if status.name == backend::POSITION_PARAMETER {
            let commit_position: Option<position::LogPosition> = status.value.parse().ok();
            self.floor = self.floor.max(commit_position);
        }
    }

    /// Sends the buffered answers to the caller unless they must stay buffered.
    /// Returns the outcome once the request has one.
    async fn flush_answers(
        &mut self,
        state: &mut RelayState,
    ) -> Result<Option<RelayOutcome>, SessionEnd> {
        if let (Some(reason), Some(_)) = (state.retry_reason, state.completed) {
            self.send_buffer.clear();
            return Ok(Some(RelayOutcome::Retry(reason)));
        }
        if state.completed.is_some() {
            self.shared
                .prepared_registry
                .record(&self.identity.service, state.exchange.newly_prepared());
        }
        if state.is_buffering_all {
            let is_too_large = self.send_buffer.len() > MAX_BUFFERED_ANSWER_BYTES;
            let outcome = state.completed.map(RelayOutcome::Finished);
            return Ok(outcome.or_else(|| is_too_large.then_some(RelayOutcome::TooLarge)));
        }
        let is_buffer_full = self.send_buffer.len() >= FLUSH_THRESHOLD_BYTES;
        if state.completed.is_some() || is_buffer_full {
            state.is_retryable = false;
        }
        if !state.is_retryable && !self.send_buffer.is_empty() {
            self.flush().await?;
        }
        Ok(state.completed.map(RelayOutcome::Finished))
    }
}

/// Returns whether a chunk of an answer completes a commit.
fn is_commit(chunk: &reader::FrameChunk) -> bool {
    let frame = chunk
        .whole_frame()
        .filter(|frame| frame.tag == frame::COMMAND_COMPLETE);
    frame.is_some_and(|frame| [&b"COMMIT\0"[..], b"PREPARE TRANSACTION\0"].contains(&frame.body()))
}

/// Returns the outcome when the connection to the database is lost. A read whose
/// answers have not reached the caller can run on another replica.
fn lost_database_outcome(state: &RelayState) -> RelayOutcome {
    if state.is_retryable && state.handling == AnswerHandling::BufferForRetry {
        return RelayOutcome::Retry(metrics::RetryReason::ReplicaLost);
    }
    RelayOutcome::DatabaseLost
}

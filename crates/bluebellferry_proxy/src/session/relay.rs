//! The relay between a caller and the connection it has borrowed.

use std::time::Instant;

use bluebellferry_types::position;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bytes::BytesMut;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;

use super::CallerSession;
use super::SessionEnd;
use super::exchange;
use super::request;
use crate::backend;
use crate::metrics;
use crate::pool;

/// The size up to which answers are request before they are sent, in bytes.
const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;
/// The longest piece in which answers are passed on, in bytes.
const MAX_PIECE_BYTES: usize = 64 * 1024;
/// The largest answer that is kept back until its commit, in bytes.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1024 * 1024;
/// How much may wait to be written to a database, in bytes.
const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// The SQLSTATE with which a replica refuses a write.
const READ_ONLY_SQL_TRANSACTION: &str = "25006";

/// What may be done with a request's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerHandling {
    /// They go to the caller as they come.
    Forward,
    /// They are kept back while they are small, so that the request can be
    /// sent elsewhere.
    BufferForRetry,
    /// They are kept back while they are small, so that the request can be
    /// sent again if the database refuses it as no longer being the primary.
    BufferForRetryIfRefused,
    /// They stay in the session's buffer, without the end of the request.
    BufferAll,
}

/// How a finished request left the session.
#[derive(Debug, Clone, Copy)]
pub(super) struct CompletedRequest {
    pub(super) state: message::TransactionState,
    pub(super) failed: bool,
}

/// How a relay ended.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    /// The request was answered.
    Finished(CompletedRequest),
    /// Nothing has reached the caller and nothing has run; send it elsewhere.
    Retry(metrics::RetryReason),
    /// The database went away before the answer was complete.
    DatabaseLost,
    /// The answer is too large to be kept back.
    TooLarge,
}

/// The state of one relay.
struct RelayState {
    exchange: exchange::RequestExchange,
    to_database: BytesMut,
    is_copying_in: bool,
    /// Whether answers are kept back, so that the request can be replayed.
    is_retryable: bool,
    handling: AnswerHandling,
    /// Whether answers stay in the buffer for good.
    is_buffering_all: bool,
    retry_reason: Option<metrics::RetryReason>,
    abort_at: Option<Instant>,
    completed: Option<CompletedRequest>,
}

impl RelayState {
    fn expects_caller_message(&self) -> bool {
        let open = self.exchange.is_batch_open() || self.is_copying_in;
        open && self.to_database.len() < MAX_UNSENT_BYTES
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
        let started = Instant::now();
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
            retry_reason: None,
            abort_at: None,
            completed: None,
        };
        for request in &request.frames {
            self.forward_request(&mut state, connection, request)?;
        }
        loop {
            if state.expects_caller_message()
                && let Some(ahead) = self.read_ahead.take()
            {
                self.handle_caller_frame(&mut state, connection, &ahead)?;
                continue;
            }
            let backend = &mut connection.connection;
            let cut_at = state.abort_at.unwrap_or(started);
            tokio::select! {
                written = backend.writer.write_buf(&mut state.to_database),
                    if !state.to_database.is_empty() =>
                {
                    if !matches!(written, Ok(size) if size > 0) {
                        return Ok(lost_database_outcome(&state));
                    }
                }
                piece = backend.reader.next_piece(MAX_PIECE_BYTES) => {
                    let Ok(Some(piece)) = piece else {
                        return Ok(lost_database_outcome(&state));
                    };
                    if !self.handle_answers(&mut state, connection, piece)? {
                        return Ok(lost_database_outcome(&state));
                    }
                    if let Some(outcome) = self.flush_answers(&mut state).await? {
                        return Ok(outcome);
                    }
                }
                frame = self.reader.next_frame(super::MAX_MESSAGE_BYTES),
                    if state.expects_caller_message() || self.read_ahead.is_none() =>
                {
                    let frame = frame?.ok_or(SessionEnd::CallerDisconnected)?;
                    if state.expects_caller_message() {
                        self.handle_caller_frame(&mut state, connection, &frame)?;
                    } else {
                        self.read_ahead = Some(frame);
                    }
                }
                changed = self.control_changes.changed() => {
                    changed.map_err(|_| SessionEnd::CallerDisconnected)?;
                    if !self.is_access_valid(&self.shared.snapshot()) {
                        state.abort_at.get_or_insert(Instant::now() + super::WITHDRAWN_KEY_GRACE_PERIOD);
                    }
                }
                () = tokio::time::sleep_until(cut_at.into()), if state.abort_at.is_some() => {
                    return Err(super::withdrawn_key_refusal().into());
                }
            }
        }
    }

    fn handle_caller_frame(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
        request: &frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        if request.tag == frame::TERMINATE {
            return Err(SessionEnd::CallerDisconnected);
        }
        self.reject_key_in_request(std::slice::from_ref(request))?;
        if matches!(request.tag, frame::COPY_DONE | frame::COPY_FAIL) {
            state.is_copying_in = false;
        }
        self.forward_request(state, connection, request)
    }

    fn forward_request(
        &mut self,
        state: &mut RelayState,
        connection: &pool::PooledConnection,
        request: &frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        let prepared_statements = &connection.connection.prepared_statements;
        state.exchange.translate_request(
            request,
            &mut self.statements,
            prepared_statements,
            &mut state.to_database,
            &mut self.send_buffer,
        )?;
        Ok(())
    }

    /// Takes an answer and all others that have been read with it. Returns
    /// `false` when they do not make sense.
    fn handle_answers(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
        first: reader::FramePiece,
    ) -> Result<bool, SessionEnd> {
        let mut next = Some(first);
        while let Some(piece) = next {
            let prepared_statements = &mut connection.connection.prepared_statements;
            let Ok(event) = state.exchange.handle_answer(&piece, prepared_statements) else {
                return Ok(false);
            };
            self.handle_event(state, &piece, event)?;
            if state.completed.is_some() || self.send_buffer.len() >= FLUSH_THRESHOLD_BYTES {
                break;
            }
            match connection.connection.reader.take_piece(MAX_PIECE_BYTES) {
                Ok(piece) => next = piece,
                Err(_) => return Ok(false),
            }
        }
        Ok(true)
    }

    fn handle_event(
        &mut self,
        state: &mut RelayState,
        piece: &reader::FramePiece,
        event: exchange::AnswerEvent,
    ) -> Result<(), SessionEnd> {
        match event {
            exchange::AnswerEvent::Suppress => {}
            exchange::AnswerEvent::Error => {
                if state.is_retryable && self.is_read_only_refusal(piece) {
                    state.retry_reason = Some(match state.handling {
                        AnswerHandling::BufferForRetry => metrics::RetryReason::ReplicaRefusedWrite,
                        _ => metrics::RetryReason::PrimaryReplaced,
                    });
                }
                self.send_buffer.extend_from_slice(&piece.bytes);
            }
            exchange::AnswerEvent::Forward => {
                if piece.tag == frame::PARAMETER_STATUS && piece.first {
                    self.record_write_position(piece);
                }
                self.send_buffer.extend_from_slice(&piece.bytes);
            }
            exchange::AnswerEvent::CopyIn => {
                state.is_copying_in = true;
                state.is_retryable = false;
                self.send_buffer.extend_from_slice(&piece.bytes);
            }
            exchange::AnswerEvent::Ready(transaction) => {
                if !state.is_buffering_all {
                    self.send_buffer.extend_from_slice(&piece.bytes);
                }
                if state.exchange.is_finished() {
                    let failed = state.exchange.has_failed();
                    state.completed = Some(CompletedRequest {
                        state: transaction,
                        failed,
                    });
                }
            }
        }
        state.exchange.append_synthetic_answers(&mut self.send_buffer);
        Ok(())
    }

    fn is_read_only_refusal(&self, piece: &reader::FramePiece) -> bool {
        let fields = piece
            .whole_frame()
            .map(|frame| message::ErrorFields::from_frame(&frame));
        matches!(fields, Some(Ok(fields)) if fields.sqlstate == READ_ONLY_SQL_TRANSACTION)
    }

    /// Remembers the position of the session's own write.
    fn record_write_position(&mut self, piece: &reader::FramePiece) {
        let status = piece
            .whole_frame()
            .map(|frame| message::decode_message(&frame));
        let Some(Ok(status)) = status else { return };
        let status: startup::ParameterStatus = status;
        if status.name == backend::POSITION_PARAMETER {
            let written: Option<position::LogPosition> = status.value.parse().ok();
            self.floor = self.floor.max(written);
        }
    }

    /// Sends what has been request; returns the outcome once there is one.
    async fn flush_answers(&mut self, state: &mut RelayState) -> Result<Option<RelayOutcome>, SessionEnd> {
        if let (Some(reason), Some(_)) = (state.retry_reason, state.completed) {
            self.send_buffer.clear();
            return Ok(Some(RelayOutcome::Retry(reason)));
        }
        if state.completed.is_some() {
            self.shared
                .prepared
                .record(&self.identity.service, state.exchange.newly_prepared());
        }
        if state.is_buffering_all {
            let large = self.send_buffer.len() > MAX_BUFFERED_ANSWER_BYTES;
            let end = state.completed.map(RelayOutcome::Finished);
            return Ok(end.or_else(|| large.then_some(RelayOutcome::TooLarge)));
        }
        let full = self.send_buffer.len() >= FLUSH_THRESHOLD_BYTES;
        if state.completed.is_some() || full {
            state.is_retryable = false;
        }
        if !state.is_retryable && !self.send_buffer.is_empty() {
            self.flush().await?;
        }
        Ok(state.completed.map(RelayOutcome::Finished))
    }
}

/// A read that has shown nothing to its caller can run on another replica.
fn lost_database_outcome(state: &RelayState) -> RelayOutcome {
    if state.is_retryable && state.handling == AnswerHandling::BufferForRetry {
        return RelayOutcome::Retry(metrics::RetryReason::ReplicaLost);
    }
    RelayOutcome::DatabaseLost
}

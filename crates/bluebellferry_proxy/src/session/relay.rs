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

/// The size up to which answers are gathered before they are sent, in bytes.
const SEND_BYTES: usize = 32 * 1024;
/// The longest piece in which answers are passed on, in bytes.
const PIECE_BYTES: usize = 64 * 1024;
/// The largest answer that is kept back until its commit, in bytes.
const MAX_KEPT_BYTES: usize = 1024 * 1024;
/// How much may wait to be written to a database, in bytes.
const UNSENT_BYTES: usize = 256 * 1024;
/// The SQLSTATE with which a replica refuses a write.
const READ_ONLY_REFUSAL: &str = "25006";

/// What may be done with a request's answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerHandling {
    /// They go to the caller as they come.
    Pass,
    /// They are kept back while they are small, so that the request can be
    /// sent elsewhere.
    Replayable,
    /// They are kept back while they are small, so that the request can be
    /// sent again if the database refuses it as no longer being the primary.
    ReplayableIfRefused,
    /// They stay in the session's buffer, without the end of the request.
    Keep,
}

/// How a finished request left the session.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayEnd {
    pub(super) state: message::TransactionState,
    pub(super) failed: bool,
}

/// How a relay ended.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    /// The request was answered.
    Finished(RelayEnd),
    /// Nothing has reached the caller and nothing has run; send it elsewhere.
    Replay(metrics::RetryReason),
    /// The database went away before the answer was complete.
    DatabaseLost,
    /// The answer is too large to be kept back.
    TooLarge,
}

/// The state of one relay.
struct RelayState {
    exchange: exchange::Exchange,
    to_database: BytesMut,
    copy_in: bool,
    /// Whether answers are kept back, so that the request can be replayed.
    holding: bool,
    handling: AnswerHandling,
    /// Whether answers stay in the buffer for good.
    keeping: bool,
    replay: Option<metrics::RetryReason>,
    cut_at: Option<Instant>,
    end: Option<RelayEnd>,
}

impl RelayState {
    fn wants_caller(&self) -> bool {
        let open = self.exchange.is_batch_open() || self.copy_in;
        open && self.to_database.len() < UNSENT_BYTES
    }
}

impl CallerSession {
    /// Relays one request until the database is ready for the next.
    pub(super) async fn relay(
        &mut self,
        connection: &mut pool::PooledConnection,
        gathered: &request::GatheredRequest,
        handling: AnswerHandling,
    ) -> Result<RelayOutcome, SessionEnd> {
        let started = Instant::now();
        let mut state = RelayState {
            exchange: exchange::Exchange::default(),
            to_database: BytesMut::new(),
            copy_in: false,
            holding: matches!(
                handling,
                AnswerHandling::Replayable | AnswerHandling::ReplayableIfRefused
            ),
            handling,
            keeping: handling == AnswerHandling::Keep,
            replay: None,
            cut_at: None,
            end: None,
        };
        for request in &gathered.frames {
            self.take_request(&mut state, connection, request)?;
        }
        loop {
            if state.wants_caller()
                && let Some(ahead) = self.ahead.take()
            {
                self.take_caller_frame(&mut state, connection, &ahead)?;
                continue;
            }
            let backend = &mut connection.connection;
            let cut_at = state.cut_at.unwrap_or(started);
            tokio::select! {
                written = backend.writer.write_buf(&mut state.to_database),
                    if !state.to_database.is_empty() =>
                {
                    if !matches!(written, Ok(size) if size > 0) {
                        return Ok(lost(&state));
                    }
                }
                piece = backend.reader.next_chunk(PIECE_BYTES) => {
                    let Ok(Some(piece)) = piece else {
                        return Ok(lost(&state));
                    };
                    if !self.take_answers(&mut state, connection, piece)? {
                        return Ok(lost(&state));
                    }
                    if let Some(outcome) = self.finish(&mut state).await? {
                        return Ok(outcome);
                    }
                }
                frame = self.reader.next_frame(super::MAX_REQUEST_BYTES),
                    if state.wants_caller() || self.ahead.is_none() =>
                {
                    let frame = frame?.ok_or(SessionEnd::CallerLeft)?;
                    if state.wants_caller() {
                        self.take_caller_frame(&mut state, connection, &frame)?;
                    } else {
                        self.ahead = Some(frame);
                    }
                }
                changed = self.changes.changed() => {
                    changed.map_err(|_| SessionEnd::CallerLeft)?;
                    if !self.key_is_valid(&self.shared.snapshot()) {
                        state.cut_at.get_or_insert(Instant::now() + super::WITHDRAWN_GRACE);
                    }
                }
                () = tokio::time::sleep_until(cut_at.into()), if state.cut_at.is_some() => {
                    return Err(super::withdrawn_refusal().into());
                }
            }
        }
    }

    fn take_caller_frame(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
        request: &frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        if request.tag == frame::TERMINATE {
            return Err(SessionEnd::CallerLeft);
        }
        self.refuse_key(std::slice::from_ref(request))?;
        if matches!(request.tag, frame::COPY_DONE | frame::COPY_FAIL) {
            state.copy_in = false;
        }
        self.take_request(state, connection, request)
    }

    fn take_request(
        &mut self,
        state: &mut RelayState,
        connection: &pool::PooledConnection,
        request: &frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        let known = &connection.connection.known_statements;
        state.exchange.take_request(
            request,
            &mut self.statements,
            known,
            &mut state.to_database,
            &mut self.out,
        )?;
        Ok(())
    }

    /// Takes an answer and all others that have been read with it. Returns
    /// `false` when they do not make sense.
    fn take_answers(
        &mut self,
        state: &mut RelayState,
        connection: &mut pool::PooledConnection,
        first: reader::FrameChunk,
    ) -> Result<bool, SessionEnd> {
        let mut next = Some(first);
        while let Some(piece) = next {
            let known = &mut connection.connection.known_statements;
            let Ok(event) = state.exchange.take_answer(&piece, known) else {
                return Ok(false);
            };
            self.take_event(state, &piece, event)?;
            if state.end.is_some() || self.out.len() >= SEND_BYTES {
                break;
            }
            match connection.connection.reader.take_chunk(PIECE_BYTES) {
                Ok(piece) => next = piece,
                Err(_) => return Ok(false),
            }
        }
        Ok(true)
    }

    fn take_event(
        &mut self,
        state: &mut RelayState,
        piece: &reader::FrameChunk,
        event: exchange::AnswerEvent,
    ) -> Result<(), SessionEnd> {
        match event {
            exchange::AnswerEvent::Hide => {}
            exchange::AnswerEvent::Error => {
                if state.holding && self.is_read_only_refusal(piece) {
                    state.replay = Some(match state.handling {
                        AnswerHandling::Replayable => metrics::RetryReason::ReplicaRefusedWrite,
                        _ => metrics::RetryReason::PrimaryReplaced,
                    });
                }
                self.out.extend_from_slice(&piece.bytes);
            }
            exchange::AnswerEvent::Pass => {
                if piece.tag == frame::PARAMETER_STATUS && piece.is_first {
                    self.note_position(piece);
                }
                self.out.extend_from_slice(&piece.bytes);
            }
            exchange::AnswerEvent::CopyIn => {
                state.copy_in = true;
                state.holding = false;
                self.out.extend_from_slice(&piece.bytes);
            }
            exchange::AnswerEvent::Ready(transaction) => {
                if !state.keeping {
                    self.out.extend_from_slice(&piece.bytes);
                }
                if state.exchange.is_finished() {
                    let failed = state.exchange.has_failed();
                    state.end = Some(RelayEnd {
                        state: transaction,
                        failed,
                    });
                }
            }
        }
        state.exchange.supply_answers(&mut self.out);
        Ok(())
    }

    fn is_read_only_refusal(&self, piece: &reader::FrameChunk) -> bool {
        let fields = piece
            .whole_frame()
            .map(|frame| message::ErrorFields::from_frame(&frame));
        matches!(fields, Some(Ok(fields)) if fields.sqlstate == READ_ONLY_REFUSAL)
    }

    /// Remembers the position of the session's own write.
    fn note_position(&mut self, piece: &reader::FrameChunk) {
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

    /// Sends what has been gathered; returns the outcome once there is one.
    async fn finish(&mut self, state: &mut RelayState) -> Result<Option<RelayOutcome>, SessionEnd> {
        if let (Some(reason), Some(_)) = (state.replay, state.end) {
            self.out.clear();
            return Ok(Some(RelayOutcome::Replay(reason)));
        }
        if state.end.is_some() {
            self.shared
                .prepared
                .record(&self.identity.service, state.exchange.prepared());
        }
        if state.keeping {
            let large = self.out.len() > MAX_KEPT_BYTES;
            let end = state.end.map(RelayOutcome::Finished);
            return Ok(end.or_else(|| large.then_some(RelayOutcome::TooLarge)));
        }
        let full = self.out.len() >= SEND_BYTES;
        if state.end.is_some() || full {
            state.holding = false;
        }
        if !state.holding && !self.out.is_empty() {
            self.flush().await?;
        }
        Ok(state.end.map(RelayOutcome::Finished))
    }
}

/// A read that has shown nothing to its caller can run on another replica.
fn lost(state: &RelayState) -> RelayOutcome {
    if state.holding && state.handling == AnswerHandling::Replayable {
        return RelayOutcome::Replay(metrics::RetryReason::ReplicaLost);
    }
    RelayOutcome::DatabaseLost
}

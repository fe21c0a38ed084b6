//! A caller's session: reads its requests, relays them to a database and sends
//! the answers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;

use crate::cancel;
use crate::pool;
use crate::shared;

pub mod access;
pub mod exchange;
pub mod hint;
mod idempotency;
mod local;
pub mod plan;
mod relay;
mod request;
mod route;
pub mod startup;

/// The largest message accepted from a caller, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// How long a request may wait in total for its floor, a suitable database and a
/// connection when the caller sets no `bluebellferry.deadline`.
pub const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest time a write to a caller may be blocked before the session ends.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest capacity, in bytes, of a send buffer that an idle session keeps
/// allocated.
const MAX_IDLE_SEND_BUFFER_BYTES: usize = 4 * 1024;
/// How long a running request may continue after the session's key or service was taken away.
const LOST_ACCESS_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The receiving half of a caller's connection.
pub type CallerRead = Box<dyn AsyncRead + Send + Sync + Unpin>;
/// The sending half of a caller's connection.
pub type CallerWrite = Box<dyn AsyncWrite + Send + Sync + Unpin>;

/// The reason why a session ends.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The caller disconnected or stopped reading, or the connection is closed
    /// without telling the caller why.
    #[error("the caller disconnected")]
    CallerDisconnected,
    /// Reading from the caller failed, or a message could not be decoded.
    #[error(transparent)]
    Stream(#[from] reader::ReadError),
    /// Writing to the caller failed.
    #[error("writing to the caller failed: {0}")]
    Write(#[from] std::io::Error),
    /// The proxy refuses the login or closes the session with this error.
    #[error("{}", .0.message)]
    Refused(Box<refusal::RequestRefusal>),
}

impl From<frame::FrameError> for SessionEnd {
    fn from(error: frame::FrameError) -> Self {
        Self::Stream(error.into())
    }
}

impl From<refusal::RequestRefusal> for SessionEnd {
    fn from(refusal: refusal::RequestRefusal) -> Self {
        Self::Refused(Box::new(refusal))
    }
}

/// The session-wide values of the `bluebellferry.*` settings.
#[derive(Debug, Clone, Default)]
pub struct SessionOptions {
    /// The kind of read of requests that name none (`bluebellferry.read`).
    pub read_kind: Option<name::ReadKind>,
    /// How long a request may wait (`bluebellferry.deadline`).
    pub request_timeout: Option<Duration>,
}

/// A statement that the caller has prepared in this session.
#[derive(Debug)]
pub struct CallerPreparedStatement {
    /// Identifies the statement on database connections.
    pub id: crate::backend::StatementId,
    /// The Parse message with the statement's name on database connections.
    pub parse_message: bytes::Bytes,
    /// The SQL text of the statement.
    pub sql: String,
}

/// A caller's session after login.
pub struct CallerSession {
    shared: Arc<shared::ProxyShared>,
    reader: reader::FrameReader<CallerRead>,
    writer: CallerWrite,
    send_buffer: BytesMut,
    identity: Arc<access::SessionIdentity>,
    options: SessionOptions,
    /// The log position that every database serving the session must have
    /// reached; `None` until it has been determined.
    floor: Option<position::LogPosition>,
    /// The task started at login that determines the floor before the first
    /// request needs it.
    prefetched_floor: Option<tokio::task::JoinHandle<Option<position::LogPosition>>>,
    /// The caller's prepared statements by the names that the caller gave them.
    statements: HashMap<String, Arc<CallerPreparedStatement>>,
    /// The `SET` statements to run on each borrowed connection, by setting name.
    database_settings: BTreeMap<String, String>,
    /// The `SET` statements from before the open transaction, which a rollback
    /// restores; `None` if it has changed none.
    settings_before_transaction: Option<BTreeMap<String, String>>,
    /// The connection kept between requests, because a transaction is open or
    /// the connection is pinned.
    held_connection: Option<pool::PooledConnection>,
    /// The role of the database of `held_connection`, while there is one.
    held_route: route::ChosenRoute,
    transaction: message::TransactionStatus,
    cancel_entry: Arc<cancel::CancelEntry>,
    /// The process ID that the caller got in BackendKeyData, for cancel requests.
    process_id: i32,
    /// Notified when the session must check again whether it may continue, because
    /// API keys, the configuration document or the draining state changed.
    wakeups: watch::Receiver<u64>,
    /// The next message, if it was read while a request was still running.
    read_ahead: Option<frame::WireFrame>,
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.shared.cancel_registry.unregister(self.process_id);
    }
}

impl CallerSession {
    /// Serves requests until the session ends, and sends the caller the error that
    /// ended it, if any.
    pub async fn serve(mut self) {
        let end = self.serve_requests().await;
        if let Some(connection) = self.held_connection.take() {
            connection.discard();
        }
        let refusal = match end {
            Ok(()) | Err(SessionEnd::CallerDisconnected | SessionEnd::Write(_)) => return,
            Err(SessionEnd::Refused(refusal)) => *refusal,
            Err(SessionEnd::Stream(reader::ReadError::Frame(error))) => {
                let reason = refusal::RefusalReason::ProtocolViolation;
                refusal::RequestRefusal::not_run(reason, error.to_string())
            }
            Err(SessionEnd::Stream(error)) => {
                log::debug!("reading from a caller failed: {error}");
                return;
            }
        };
        self.record_refusal(&refusal);
        message::put_error_response(
            &mut self.send_buffer,
            &message::ErrorFields::from_refusal(&refusal).into_fatal(),
        );
        if let Err(error) = self.flush().await {
            log::debug!("sending the final error to a caller failed: {error}");
        }
    }

    async fn serve_requests(&mut self) -> Result<(), SessionEnd> {
        loop {
            let request = self.next_request_start().await?;
            match request.tag {
                frame::TERMINATE => return Ok(()),
                frame::SYNC => {
                    message::put_ready_for_query(&mut self.send_buffer, self.transaction);
                    self.flush().await?;
                }
                frame::QUERY
                | frame::PARSE
                | frame::BIND
                | frame::DESCRIBE
                | frame::EXECUTE
                | frame::CLOSE
                | frame::FLUSH => self.serve_request(request).await?,
                // The caller may still send COPY data after the COPY has failed;
                // PostgreSQL ignores such messages too.
                frame::COPY_DATA | frame::COPY_DONE | frame::COPY_FAIL => {}
                tag => return Err(unknown_message_refusal(tag).into()),
            }
        }
    }

    /// Returns the first message of the next request. Fails if
    /// [`CallerSession::check_may_continue`] fails before the message arrives.
    async fn next_request_start(&mut self) -> Result<frame::WireFrame, SessionEnd> {
        if let Some(frame) = self.read_ahead.take() {
            self.identity.confirm(&self.shared.snapshot())?;
            return Ok(frame);
        }
        loop {
            self.check_may_continue()?;
            if !self.reader.has_buffered_bytes() {
                self.reader.release_memory();
                if self.send_buffer.capacity() > MAX_IDLE_SEND_BUFFER_BYTES {
                    self.send_buffer = BytesMut::new();
                }
            }
            tokio::select! {
                read = self.reader.next_frame(MAX_MESSAGE_BYTES) => {
                    return read?.ok_or(SessionEnd::CallerDisconnected);
                }
                changed = self.wakeups.changed() => {
                    changed.map_err(|_| SessionEnd::CallerDisconnected)?;
                }
            }
        }
    }

    /// Returns an error when the session's key or service was taken away, or when the VM
    /// is draining and the session has neither an open transaction nor a pinned
    /// connection.
    fn check_may_continue(&self) -> Result<(), SessionEnd> {
        let snapshot = self.shared.snapshot();
        self.identity.confirm(&snapshot)?;
        let is_idle =
            self.transaction == message::TransactionStatus::Idle && self.held_connection.is_none();
        if snapshot.is_draining && is_idle {
            let reason = refusal::RefusalReason::VmDraining;
            let text = "the VM is shutting down; connect again to reach another";
            let refusal = refusal::RequestRefusal::not_run(reason, text);
            return Err(refusal.retry_after(Duration::from_millis(1)).into());
        }
        Ok(())
    }

    /// Returns a watch that tells a waiting request whether the session may go on.
    fn access_watch(&self) -> access::AccessWatch {
        access::AccessWatch {
            shared: Arc::clone(&self.shared),
            identity: Arc::clone(&self.identity),
            wakeups: self.wakeups.clone(),
        }
    }

    fn record_refusal(&self, refusal: &refusal::RequestRefusal) {
        let workspace = self.identity.workspace.as_str();
        self.shared.metrics.count_refusal(workspace, refusal);
        log::info!(
            workspace = workspace,
            service = self.identity.service.as_str(),
            reason = refusal.reason.code(),
            execution = refusal.execution.as_str();
            "request refused: {}", refusal.message
        );
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let write = self.writer.write_all(&self.send_buffer);
        let written = tokio::time::timeout(CALLER_WRITE_TIMEOUT, write).await;
        written.map_err(|_| SessionEnd::CallerDisconnected)??;
        self.send_buffer.clear();
        Ok(())
    }

    fn request_deadline(&self) -> Instant {
        Instant::now()
            + self
                .options
                .request_timeout
                .unwrap_or(DEFAULT_REQUEST_TIMEOUT)
    }
}

fn unknown_message_refusal(tag: u8) -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::ProtocolViolation;
    let text = format!("unknown message type '{}'", frame::printable_tag(tag));
    refusal::RequestRefusal::not_run(reason, text)
}

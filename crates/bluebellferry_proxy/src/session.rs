//! One caller's session, from its first byte to its last.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_keys::digest;
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

pub mod exchange;
pub mod hint;
mod local;
mod once;
pub mod plan;
mod relay;
mod request;
mod route;
pub mod startup;

/// The largest message accepted from a caller, in bytes.
pub const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;
/// How long a request may wait in all when the caller states no deadline.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// How long a caller may leave answers unread.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The size up to which an idle session keeps its buffer for answers, in bytes.
const KEPT_ANSWER_BYTES: usize = 4 * 1024;
/// How long a running request may go on after its key was withdrawn.
const WITHDRAWN_GRACE: Duration = Duration::from_secs(2);

/// The stream from a caller.
pub type CallerRead = Box<dyn AsyncRead + Send + Sync + Unpin>;
/// The stream to a caller.
pub type CallerWrite = Box<dyn AsyncWrite + Send + Sync + Unpin>;

/// Why a session ends.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The caller has left.
    #[error("the caller has left")]
    CallerLeft,
    /// The stream failed or carried an unusable message.
    #[error(transparent)]
    Stream(#[from] reader::ReadError),
    /// The caller could not be written to.
    #[error("the caller cannot be written to: {0}")]
    Write(#[from] std::io::Error),
    /// The session is refused or cut for this reason.
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

/// Who a session belongs to.
#[derive(Debug, Clone)]
pub struct SessionIdentity {
    /// The workspace that the key belongs to.
    pub workspace: name::WorkspaceName,
    /// The service that the session uses.
    pub service: name::ServiceName,
    /// The key's digest; `None` on routes open to all.
    pub digest: Option<digest::KeyDigest>,
    /// The key itself, to keep it from leaving; empty on open routes.
    pub key: Vec<u8>,
}

/// What a caller asks for by `bluebellferry.*` settings.
#[derive(Debug, Clone, Default)]
pub struct SessionOptions {
    /// The kind of read of all requests.
    pub read: Option<name::ReadKind>,
    /// How long a request may wait.
    pub deadline: Option<Duration>,
}

/// A statement that the caller has prepared.
#[derive(Debug)]
pub struct PreparedText {
    /// Identifies it to databases.
    pub id: crate::backend::StatementId,
    /// Its Parse message under the name that databases know.
    pub parse: bytes::Bytes,
    /// The SQL text.
    pub sql: String,
}

/// The session.
pub struct CallerSession {
    shared: Arc<shared::ProxyShared>,
    reader: reader::FrameReader<CallerRead>,
    writer: CallerWrite,
    out: BytesMut,
    identity: SessionIdentity,
    options: SessionOptions,
    /// What the session must see; `None` until it is known.
    floor: Option<position::LogPosition>,
    /// The floor that was asked for at the login, ahead of the first request.
    early_floor: Option<tokio::task::JoinHandle<Option<position::LogPosition>>>,
    statements: HashMap<String, Arc<PreparedText>>,
    /// `SET` statements to be applied on every connection, by setting.
    carried: BTreeMap<String, String>,
    held: Option<pool::PooledConnection>,
    held_route: route::ChosenRoute,
    transaction: message::TransactionState,
    cancel: Arc<cancel::CancelEntry>,
    process: i32,
    changes: watch::Receiver<u64>,
    /// A message that was read ahead while a request was running.
    ahead: Option<frame::WireFrame>,
}

impl Drop for CallerSession {
    fn drop(&mut self) {
        self.shared.cancels.forget(self.process);
    }
}

impl CallerSession {
    /// Serves requests until the session ends, and tells the caller why.
    pub async fn serve(mut self) {
        let end = self.serve_requests().await;
        if let Some(held) = self.held.take() {
            held.discard();
        }
        let refusal = match end {
            Ok(()) | Err(SessionEnd::CallerLeft | SessionEnd::Write(_)) => return,
            Err(SessionEnd::Refused(refusal)) => *refusal,
            Err(SessionEnd::Stream(reader::ReadError::Frame(error))) => {
                let reason = refusal::RefusalReason::ProtocolViolation;
                refusal::RequestRefusal::not_run(reason, error.to_string())
            }
            Err(SessionEnd::Stream(error)) => {
                log::debug!("a caller's stream ended: {error}");
                return;
            }
        };
        self.count_refusal(&refusal);
        message::put_error(
            &mut self.out,
            &message::ErrorFields::from_refusal(&refusal).fatal(),
        );
        if let Err(error) = self.flush().await {
            log::debug!("the last answer could not be sent: {error}");
        }
    }

    async fn serve_requests(&mut self) -> Result<(), SessionEnd> {
        loop {
            let request = self.next_request().await?;
            match request.tag {
                frame::TERMINATE => return Ok(()),
                frame::SYNC => {
                    message::put_ready(&mut self.out, self.transaction);
                    self.flush().await?;
                }
                frame::QUERY
                | frame::PARSE
                | frame::BIND
                | frame::DESCRIBE
                | frame::EXECUTE
                | frame::CLOSE
                | frame::FLUSH => self.serve_request(request).await?,
                // Left over from a COPY that has already failed.
                frame::COPY_DATA | frame::COPY_DONE | frame::COPY_FAIL => {}
                tag => return Err(unknown_message(tag).into()),
            }
        }
    }

    /// Waits for the next request, and meanwhile for withdrawal and draining.
    async fn next_request(&mut self) -> Result<frame::WireFrame, SessionEnd> {
        if let Some(ahead) = self.ahead.take() {
            return Ok(ahead);
        }
        loop {
            self.check_standing()?;
            if !self.reader.has_buffered() {
                self.reader.release_memory();
                if self.out.capacity() > KEPT_ANSWER_BYTES {
                    self.out = BytesMut::new();
                }
            }
            tokio::select! {
                read = self.reader.next_frame(MAX_REQUEST_BYTES) => {
                    return read?.ok_or(SessionEnd::CallerLeft);
                }
                changed = self.changes.changed() => {
                    changed.map_err(|_| SessionEnd::CallerLeft)?;
                }
            }
        }
    }

    /// Ends the session when its key is no longer valid, or when the VM is
    /// draining and no transaction is open.
    fn check_standing(&self) -> Result<(), SessionEnd> {
        let snapshot = self.shared.snapshot();
        if !self.key_is_valid(&snapshot) {
            return Err(withdrawn_refusal().into());
        }
        let idle = self.transaction == message::TransactionState::Idle && self.held.is_none();
        if snapshot.is_draining && idle {
            let reason = refusal::RefusalReason::VmDraining;
            let text = "the VM is shutting down; connect again to reach another";
            let refused = refusal::RequestRefusal::not_run(reason, text);
            return Err(refused.retry_after(Duration::from_millis(1)).into());
        }
        Ok(())
    }

    fn key_is_valid(&self, snapshot: &crate::snapshot::ControlSnapshot) -> bool {
        let workspace = &self.identity.workspace;
        let plan = snapshot.workspace(workspace);
        let allowed = plan.is_some_and(|plan| plan.services.contains(&self.identity.service));
        let key = match &self.identity.digest {
            Some(digest) => snapshot.keys.is_valid(workspace, digest),
            None => plan.is_some_and(|plan| plan.open),
        };
        allowed && key
    }

    fn count_refusal(&self, refusal: &refusal::RequestRefusal) {
        let workspace = self.identity.workspace.as_str();
        self.shared.metrics.count_refusal(workspace, refusal);
        log::info!(
            workspace = workspace,
            service = self.identity.service.as_str(),
            reason = refusal.reason.code(),
            execution = refusal.execution.as_str();
            "refused: {}", refusal.message
        );
    }

    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let write = self.writer.write_all(&self.out);
        let written = tokio::time::timeout(CALLER_WRITE_TIMEOUT, write).await;
        written.map_err(|_| SessionEnd::CallerLeft)??;
        self.out.clear();
        Ok(())
    }

    fn request_deadline(&self) -> Instant {
        Instant::now() + self.options.deadline.unwrap_or(DEFAULT_DEADLINE)
    }
}

fn withdrawn_refusal() -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::KeyWithdrawn;
    refusal::RequestRefusal::not_run(reason, "the key of this session has been withdrawn")
}

fn unknown_message(tag: u8) -> refusal::RequestRefusal {
    let reason = refusal::RefusalReason::ProtocolViolation;
    let text = format!("unknown message type '{}'", frame::printable_tag(tag));
    refusal::RequestRefusal::not_run(reason, text)
}

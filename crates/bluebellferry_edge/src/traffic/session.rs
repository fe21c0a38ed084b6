//! A caller's connection and its session.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_keys::digest;
use bluebellferry_platform::caller;
use bluebellferry_platform::line;
use bluebellferry_runtime::clock;
use bluebellferry_session::state;
use bluebellferry_types::refusal;
use rand::Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::shared;
use crate::traffic;
use crate::traffic::access;
use crate::traffic::dispatch;
use crate::traffic::log_limiter;

/// The maximum time until a caller's first message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum time that a caller waits for this VM's first configuration. Callers time out a
/// little later.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a session must be idle before the drain closes it. A caller that sends one request
/// right after the other would otherwise lose its next request.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// The time over which the idle sessions of a VM that hands over its callers are closed.
const HAND_OVER_SPREAD: Duration = Duration::from_millis(1_500);
/// The maximum time to write an answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The values that apply to a transaction from its beginning to its end.
#[derive(Debug, Clone)]
pub struct TransactionContext {
    /// What the transaction was granted when it began.
    pub grant: Rc<access::AccessGrant>,
    /// When the first byte of the transaction was received.
    pub arrived: Instant,
}

/// A caller's session.
#[derive(Debug)]
pub struct CallerSession {
    /// The context of the traffic thread.
    pub context: Rc<traffic::TrafficContext>,
    /// The route and key with which the caller connected.
    pub identity: Arc<access::CallerIdentity>,
    /// The transaction state, settings and prepared statements of the session.
    pub state: state::SessionState,
    /// The database connection of the open transaction.
    pub transaction_connection: Option<dispatch::PoolConnection>,
    /// The open transaction.
    pub transaction: Option<TransactionContext>,
    /// What the latest statement was granted, for the log; `None` if its route or key was refused.
    pub latest_grant: Option<Rc<access::AccessGrant>>,
    /// When the proxy last stopped waiting for the answer to a write, whose outcome is unknown.
    pub in_doubt_at: Option<Instant>,
}

/// An event on a caller's connection.
enum CallerEvent {
    /// A line arrived.
    Line(String),
    /// The caller has disconnected or sent a malformed line.
    Disconnected,
    /// The open transaction has reached its idle timeout.
    TransactionIdle,
    /// The shutdown closes the session.
    Shutdown,
    /// The session is closed so that the caller connects to another VM.
    HandOver,
}

struct CallerStream {
    stream: TcpStream,
    decoder: line::LineDecoder,
    drain: watch::Receiver<shared::DrainPhase>,
    /// Whether callers are to connect to another VM.
    hand_over: watch::Receiver<bool>,
}

/// Serves a caller until the connection is closed.
pub async fn serve(stream: TcpStream, context: Rc<traffic::TrafficContext>) {
    context
        .connected_callers
        .set(context.connected_callers.get() + 1);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot set TCP_NODELAY on a caller's connection");
    }
    let mut caller = CallerStream {
        stream,
        decoder: line::LineDecoder::default(),
        drain: context.shared.drain_phase.subscribe(),
        hand_over: context.shared.hand_over.subscribe(),
    };
    if let Some(mut session) = open_session(&mut caller, &context).await {
        session.run(&mut caller).await;
        if let Some(connection) = session.transaction_connection.take() {
            context.dispatcher.discard(connection);
        }
    }
    context
        .connected_callers
        .set(context.connected_callers.get() - 1);
}

/// Handles the startup message and opens the session; `None` if the caller was rejected or has
/// disconnected.
async fn open_session(
    caller: &mut CallerStream,
    context: &Rc<traffic::TrafficContext>,
) -> Option<CallerSession> {
    let first = tokio::time::timeout(STARTUP_TIMEOUT, caller.next_line()).await;
    let text = first.ok().flatten()?;
    let mut out = String::new();
    let identity = match caller::decode_caller_message(&text) {
        Ok(caller::CallerMessage::Startup { database, key }) => Arc::new(access::CallerIdentity {
            route: database,
            key: digest::KeyDigest::compute(&key),
        }),
        Ok(_) => {
            let reason = refusal::RefusalReason::ProtocolViolation;
            let refusal = refusal::RequestRefusal::not_run(reason, "the session is not open");
            return reject(caller, context, refusal).await;
        }
        Err(error) => {
            let reason = refusal::RefusalReason::ProtocolViolation;
            let refusal = refusal::RequestRefusal::not_run(reason, error.to_string());
            return reject(caller, context, refusal).await;
        }
    };
    wait_for_configuration(context).await;
    let snapshot = context.shared.snapshot();
    if snapshot.awaits_evacuations {
        let message = "it is not known which data centres are being evacuated";
        let refusal = refusal::RequestRefusal::not_run(refusal::RefusalReason::NotReady, message);
        return reject(caller, context, refusal).await;
    }
    let granted = access::AccessGrant::for_new_operation(&snapshot.configuration, &identity);
    if let Err(refusal) = granted {
        return reject(caller, context, refusal).await;
    }
    caller::encode_ready(&mut out, state::TransactionStatus::Idle, None);
    caller.send(&out).await.then_some(())?;
    Some(CallerSession {
        context: Rc::clone(context),
        identity,
        state: state::SessionState::default(),
        transaction_connection: None,
        transaction: None,
        latest_grant: None,
        in_doubt_at: None,
    })
}

async fn wait_for_configuration(context: &traffic::TrafficContext) {
    let mut changes = context.shared.subscribe_to_snapshots();
    let deadline = clock::now() + CONFIGURATION_TIMEOUT;
    let is_incomplete = |snapshot: &shared::EdgeSnapshot| {
        snapshot.configuration.version == 0 || snapshot.awaits_evacuations
    };
    while is_incomplete(&context.shared.snapshot()) {
        let time_left = deadline.saturating_duration_since(clock::now());
        if tokio::time::timeout(time_left, changes.changed())
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn reject(
    caller: &mut CallerStream,
    context: &traffic::TrafficContext,
    refusal: refusal::RequestRefusal,
) -> Option<CallerSession> {
    context.metrics.count_refusal(refusal.reason);
    log::info!(
        reason = refusal.reason.code(),
        configuration_version = context.shared.snapshot().configuration.version;
        "caller rejected"
    );
    let mut out = String::new();
    caller::encode_refusal(&mut out, &refusal);
    caller.send(&out).await;
    None
}

impl CallerStream {
    async fn send(&mut self, text: &str) -> bool {
        let writing = self.stream.write_all(text.as_bytes());
        let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
        matches!(written, Ok(Ok(())))
    }

    /// Returns the next line; `None` when the caller has disconnected or sent a malformed line.
    async fn next_line(&mut self) -> Option<String> {
        loop {
            match self.decoder.next_line() {
                Ok(Some(line)) => return Some(line),
                Ok(None) => {}
                Err(error) => {
                    log::info!(error:% = error; "malformed line from a caller");
                    return None;
                }
            }
            let read = self.stream.read_buf(self.decoder.buffer_mut()).await;
            if matches!(read, Ok(0) | Err(_)) {
                return None;
            }
        }
    }

    /// Waits for the next event; `idle_timeout` is that of an open transaction.
    async fn next_event(
        &mut self,
        status: state::TransactionStatus,
        idle_timeout: Duration,
    ) -> CallerEvent {
        let is_idle = status == state::TransactionStatus::Idle;
        let idle_until = clock::now() + idle_timeout;
        // Callers come back at different moments.
        let hand_over_delay = HAND_OVER_SPREAD.mul_f64(rand::rng().random());
        loop {
            let phase = *self.drain.borrow_and_update();
            let may_close = is_idle && phase == shared::DrainPhase::ClosingIdle;
            let is_handed_over = is_idle && *self.hand_over.borrow_and_update();
            if phase == shared::DrainPhase::ClosingAll && !self.decoder.has_partial_line() {
                return CallerEvent::Shutdown;
            }
            let mut drain = self.drain.clone();
            let mut hand_over = self.hand_over.clone();
            let time_left = idle_until.saturating_duration_since(clock::now());
            tokio::select! {
                biased;
                line = self.next_line() => {
                    return line.map_or(CallerEvent::Disconnected, CallerEvent::Line);
                }
                _ = drain.changed() => {}
                () = tokio::time::sleep(time_left), if !is_idle => return CallerEvent::TransactionIdle,
                () = tokio::time::sleep(DRAIN_IDLE_TIMEOUT), if may_close => return CallerEvent::Shutdown,
                _ = hand_over.changed() => {}
                () = tokio::time::sleep(hand_over_delay), if is_handed_over => return CallerEvent::HandOver,
            }
        }
    }
}

impl CallerSession {
    async fn run(&mut self, caller: &mut CallerStream) {
        loop {
            let status = self.state.transaction_status();
            let idle_timeout = self.idle_timeout();
            match caller.next_event(status, idle_timeout).await {
                CallerEvent::Disconnected | CallerEvent::Shutdown => return,
                CallerEvent::HandOver => {
                    self.context.metrics.count_handed_over();
                    return;
                }
                CallerEvent::TransactionIdle => self.roll_back_transaction("idle"),
                CallerEvent::Line(text) => {
                    let Some(reply) = self.handle_message(&text).await else {
                        return;
                    };
                    if !caller.send(&reply).await {
                        return;
                    }
                }
            }
        }
    }

    fn idle_timeout(&self) -> Duration {
        let snapshot = self.context.shared.snapshot();
        let limit = snapshot.configuration.transaction_idle_timeout;
        limit
            .unwrap_or(Duration::MAX / 4)
            .min(Duration::from_secs(3_600))
    }

    /// Rolls back the open transaction by closing its database connection.
    pub fn roll_back_transaction(&mut self, reason: &'static str) {
        let transaction = self.transaction.take();
        let workspace = transaction.map(|transaction| transaction.grant.claim.workspace.clone());
        log::info!(
            reason = reason, route = log_limiter::excerpt(&self.identity.route),
            workspace = workspace.as_ref().map_or("-", |workspace| workspace.as_str()),
            configuration_version = self.context.shared.snapshot().configuration.version;
            "transaction rolled back"
        );
        self.state.record_transaction_failed();
        if let Some(connection) = self.transaction_connection.take() {
            self.context.dispatcher.discard(connection);
        }
    }

    /// Handles a message and returns the reply; `None` if the caller ends the session.
    async fn handle_message(&mut self, text: &str) -> Option<String> {
        let arrived = clock::now();
        let mut out = String::new();
        let mut position = None;
        match caller::decode_caller_message(text) {
            Ok(caller::CallerMessage::Bye) => return None,
            Ok(caller::CallerMessage::Query(statement)) => {
                position = self.run_statement(&statement, arrived, &mut out).await;
            }
            Ok(caller::CallerMessage::Startup { .. }) => {
                encode_protocol_violation(&mut out, "the session is open already");
            }
            Err(error) => encode_protocol_violation(&mut out, &error.to_string()),
        }
        caller::encode_ready(
            &mut out,
            self.state.transaction_status(),
            position.as_deref(),
        );
        Some(out)
    }
}

fn encode_protocol_violation(out: &mut String, message: &str) {
    let reason = refusal::RefusalReason::ProtocolViolation;
    caller::encode_refusal(out, &refusal::RequestRefusal::not_run(reason, message));
}

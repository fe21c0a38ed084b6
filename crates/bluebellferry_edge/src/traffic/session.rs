//! One caller's connection.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_keys::digest;
use bluebellferry_platform::caller;
use bluebellferry_platform::line;
use bluebellferry_runtime::clock;
use bluebellferry_session::state;
use bluebellferry_types::name;
use bluebellferry_types::refusal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::shared;
use crate::traffic;
use crate::traffic::dispatch;

/// How long a caller may take to send its first message.
const STARTUP_LIMIT: Duration = Duration::from_secs(5);
/// How long a caller waits for the first configuration; callers themselves
/// give up a little later.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// How long a session must have been quiet to be ended while the process leaves:
/// a caller that sends one request after the other would lose the next one.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// How long an answer may wait for a caller that does not read.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// The workspace that databases are told of on routes without keys.
const PUBLIC_WORKSPACE: &str = "public";

/// Who is connected.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    /// The database name that the caller asked for.
    pub route: String,
    /// The digest of its key.
    pub key: digest::KeyDigest,
}

/// What a transaction keeps from its beginning.
#[derive(Debug, Clone)]
pub struct TransactionContext {
    /// The route as it was when the transaction began.
    pub policy: configuration::RoutePolicy,
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// When its first byte arrived.
    pub arrived: Instant,
}

/// A caller's session with its connections.
#[derive(Debug)]
pub struct CallerSession {
    /// What all sessions use.
    pub context: Rc<traffic::TrafficContext>,
    /// Who is connected.
    pub identity: CallerIdentity,
    /// The session's state.
    pub state: state::SessionState,
    /// The connection of the open transaction.
    pub held: Option<dispatch::HeldConnection>,
    /// The open transaction.
    pub transaction: Option<TransactionContext>,
    /// When the last write was given up whose effect is not known.
    pub doubted: Option<Instant>,
}

/// The next thing that happens on a caller's connection.
enum CallerEvent {
    Line(String),
    /// The caller has left, or sent what cannot be read.
    Gone,
    /// The transaction has been idle for too long.
    TransactionIdle,
    /// The process is about to stop.
    Stopping,
}

struct CallerStream {
    stream: TcpStream,
    decoder: line::LineDecoder,
    drain: watch::Receiver<shared::DrainPhase>,
}

/// Serves a caller until it leaves.
pub async fn serve(stream: TcpStream, context: Rc<traffic::TrafficContext>) {
    context.callers.set(context.callers.get() + 1);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "a caller's connection keeps its delay");
    }
    let mut caller = CallerStream {
        stream,
        decoder: line::LineDecoder::default(),
        drain: context.shared.drain.subscribe(),
    };
    if let Some(mut session) = start(&mut caller, &context).await {
        session.run(&mut caller).await;
        if let Some(held) = session.held.take() {
            context.dispatch.forget(held);
        }
    }
    context.callers.set(context.callers.get() - 1);
}

/// Answers the first message.
async fn start(
    caller: &mut CallerStream,
    context: &Rc<traffic::TrafficContext>,
) -> Option<CallerSession> {
    let first = tokio::time::timeout(STARTUP_LIMIT, caller.next_line()).await;
    let text = first.ok().flatten()?;
    let mut out = String::new();
    let identity = match caller::decode_caller_message(&text) {
        Ok(caller::CallerMessage::Startup { database, key }) => CallerIdentity {
            route: database,
            key: digest::KeyDigest::of(&key),
        },
        Ok(_) => {
            let reason = refusal::RefusalReason::ProtocolViolation;
            let refusal = refusal::RequestRefusal::not_run(reason, "the session is not open");
            return turn_away(caller, context, refusal).await;
        }
        Err(error) => {
            let reason = refusal::RefusalReason::ProtocolViolation;
            let refusal = refusal::RequestRefusal::not_run(reason, error.to_string());
            return turn_away(caller, context, refusal).await;
        }
    };
    wait_for_configuration(context).await;
    let snapshot = context.shared.snapshot();
    if let Err(refusal) = check_caller(&snapshot.configuration, &identity) {
        return turn_away(caller, context, refusal).await;
    }
    caller::encode_ready(&mut out, state::ReportedState::Idle, None);
    caller.send(&out).await.then_some(())?;
    Some(CallerSession {
        context: Rc::clone(context),
        identity,
        state: state::SessionState::default(),
        held: None,
        transaction: None,
        doubted: None,
    })
}

async fn wait_for_configuration(context: &traffic::TrafficContext) {
    let mut changes = context.shared.changes();
    let deadline = clock::now() + CONFIGURATION_WAIT;
    while context.shared.snapshot().configuration.version == 0 {
        let left = deadline.saturating_duration_since(clock::now());
        if tokio::time::timeout(left, changes.changed()).await.is_err() {
            return;
        }
    }
}

async fn turn_away(
    caller: &mut CallerStream,
    context: &traffic::TrafficContext,
    refusal: refusal::RequestRefusal,
) -> Option<CallerSession> {
    context.metrics.count_refusal(refusal.reason);
    log::info!(reason = refusal.reason.code(); "a caller is turned away");
    let mut out = String::new();
    caller::encode_refusal(&mut out, &refusal);
    caller.send(&out).await;
    None
}

/// Checks a caller against the configuration in force.
///
/// # Errors
/// Returns the refusal of an unknown route or key.
pub fn check_caller(
    configuration: &configuration::Configuration,
    identity: &CallerIdentity,
) -> Result<(configuration::RoutePolicy, name::WorkspaceName), refusal::RequestRefusal> {
    use refusal::RefusalReason as Reason;
    let refuse = |reason, text: &str| Err(refusal::RequestRefusal::not_run(reason, text));
    if configuration.version == 0 {
        return refuse(Reason::NotReady, "this VM has no configuration yet");
    }
    let Some(policy) = configuration.find_route(&identity.route) else {
        return refuse(Reason::UnknownRoute, "no route has this database name");
    };
    if let Some(workspace) = configuration.find_workspace(&identity.key) {
        return Ok((policy.clone(), workspace.clone()));
    }
    match name::WorkspaceName::try_from(PUBLIC_WORKSPACE) {
        Ok(public) if policy.is_public => Ok((policy.clone(), public)),
        _ => refuse(Reason::KeyRefused, "the key is not known"),
    }
}

impl CallerStream {
    async fn send(&mut self, text: &str) -> bool {
        let writing = self.stream.write_all(text.as_bytes());
        let written = tokio::time::timeout(WRITE_LIMIT, writing).await;
        matches!(written, Ok(Ok(())))
    }

    /// Returns the next message; `None` when the caller has left or sent what
    /// cannot be read.
    async fn next_line(&mut self) -> Option<String> {
        loop {
            match self.decoder.next_line() {
                Ok(Some(line)) => return Some(line),
                Ok(None) => {}
                Err(error) => {
                    log::info!(error:% = error; "a caller's message cannot be read");
                    return None;
                }
            }
            let read = self.stream.read_buf(self.decoder.buffer_mut()).await;
            if matches!(read, Ok(0) | Err(_)) {
                return None;
            }
        }
    }

    async fn next_event(&mut self, state: state::ReportedState, idle: Duration) -> CallerEvent {
        let is_idle = state == state::ReportedState::Idle;
        let idle_until = clock::now() + idle;
        loop {
            let phase = *self.drain.borrow_and_update();
            let may_close = is_idle && phase == shared::DrainPhase::ClosingIdle;
            if phase == shared::DrainPhase::Ending && !self.decoder.has_partial_line() {
                return CallerEvent::Stopping;
            }
            let mut drain = self.drain.clone();
            let left = idle_until.saturating_duration_since(clock::now());
            tokio::select! {
                biased;
                line = self.next_line() => {
                    return line.map_or(CallerEvent::Gone, CallerEvent::Line);
                }
                _ = drain.changed() => {}
                () = tokio::time::sleep(left), if !is_idle => return CallerEvent::TransactionIdle,
                () = tokio::time::sleep(QUIET_TIME), if may_close => return CallerEvent::Stopping,
            }
        }
    }
}

impl CallerSession {
    async fn run(&mut self, caller: &mut CallerStream) {
        loop {
            let reported = self.state.reported();
            let idle = self.idle_limit();
            match caller.next_event(reported, idle).await {
                CallerEvent::Gone | CallerEvent::Stopping => return,
                CallerEvent::TransactionIdle => self.abandon_transaction("idle"),
                CallerEvent::Line(text) => {
                    let Some(reply) = self.answer(&text).await else {
                        return;
                    };
                    if !caller.send(&reply).await {
                        return;
                    }
                }
            }
        }
    }

    fn idle_limit(&self) -> Duration {
        let snapshot = self.context.shared.snapshot();
        let limit = snapshot.configuration.transaction_idle;
        limit
            .unwrap_or(Duration::MAX / 4)
            .min(Duration::from_secs(3_600))
    }

    /// Rolls the open transaction back by closing its connection.
    pub fn abandon_transaction(&mut self, reason: &'static str) {
        log::info!(reason = reason, route = self.identity.route.as_str(); "a transaction is rolled back");
        self.state.record_abandoned();
        self.transaction = None;
        if let Some(held) = self.held.take() {
            self.context.dispatch.forget(held);
        }
    }

    async fn answer(&mut self, text: &str) -> Option<String> {
        let arrived = clock::now();
        let mut out = String::new();
        let mut position = None;
        match caller::decode_caller_message(text) {
            Ok(caller::CallerMessage::Bye) => return None,
            Ok(caller::CallerMessage::Query(statement)) => {
                position = self.run_statement(&statement, arrived, &mut out).await;
            }
            Ok(caller::CallerMessage::Startup { .. }) => {
                refuse_message(&mut out, "the session is open already");
            }
            Err(error) => refuse_message(&mut out, &error.to_string()),
        }
        caller::encode_ready(&mut out, self.state.reported(), position.as_deref());
        Some(out)
    }
}

fn refuse_message(out: &mut String, message: &str) {
    let reason = refusal::RefusalReason::ProtocolViolation;
    caller::encode_refusal(out, &refusal::RequestRefusal::not_run(reason, message));
}

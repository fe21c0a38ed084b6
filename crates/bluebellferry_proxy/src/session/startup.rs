//! A caller's first messages: TLS, cancel requests, start-up and the key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_keys::digest;
use bluebellferry_types::name;
use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bytes::BytesMut;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::cancel;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::CallerSession;
use super::SessionEnd;
use super::hint;
use super::route;
use crate::shared;
use crate::snapshot;

mod parameters;

/// How long a caller may take to log in.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(20);
/// The code of a TLS request.
const TLS_REQUEST: u32 = 80_877_103;
/// The code of a GSS encryption request.
const GSS_REQUEST: u32 = 80_877_104;
/// The code of a cancel request.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 1_000;
/// The shortest key, in bytes; ordinary statements would seem to contain a
/// shorter one.
const MIN_KEY_BYTES: usize = 8;

/// Serves a caller from its first byte to its last.
pub async fn serve_caller(
    shared: Arc<shared::ProxyShared>,
    stream: TcpStream,
    tls: Option<tokio_rustls::TlsAcceptor>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller left at once: {error}");
        return;
    }
    let login = tokio::time::timeout(LOGIN_TIMEOUT, log_in(&shared, stream, tls));
    match login.await {
        Ok(Ok(Some(session))) => session.serve().await,
        Ok(Ok(None)) => {}
        Ok(Err(end)) => log::debug!("a caller did not log in: {end}"),
        Err(_) => log::debug!("a caller did not log in in time"),
    }
}

/// The two directions of a caller's stream before the session starts.
struct CallerStream {
    reader: reader::FrameReader<super::CallerRead>,
    writer: super::CallerWrite,
}

async fn log_in(
    shared: &Arc<shared::ProxyShared>,
    stream: TcpStream,
    tls: Option<tokio_rustls::TlsAcceptor>,
) -> Result<Option<CallerSession>, SessionEnd> {
    let Some((mut caller, hello)) = receive_startup(shared, stream, tls).await? else {
        return Ok(None);
    };
    let accepted = accept_caller(shared, &mut caller, &hello).await;
    match accepted {
        Ok(login) => Ok(Some(start_session(shared, caller, login).await?)),
        Err(SessionEnd::Refused(refused)) => {
            let user = hello.parameters.get("user").map_or("", String::as_str);
            log::info!(reason = refused.reason.code(), claimed = user; "login refused");
            shared.metrics.count_refusal("unknown", &refused);
            let mut out = BytesMut::new();
            message::put_error(
                &mut out,
                &message::ErrorFields::from_refusal(&refused).fatal(),
            );
            caller.writer.write_all(&out).await?;
            caller.writer.shutdown().await?;
            Ok(None)
        }
        Err(end) => Err(end),
    }
}

async fn receive_startup(
    shared: &shared::ProxyShared,
    stream: TcpStream,
    tls: Option<tokio_rustls::TlsAcceptor>,
) -> Result<Option<(CallerStream, startup::Startup)>, SessionEnd> {
    let (read, write) = stream.into_split();
    let mut reader = reader::FrameReader::new(read, BytesMut::new());
    let mut writer = write;
    loop {
        let Some(packet) = reader.next_startup().await? else {
            return Ok(None);
        };
        let code = u32::from_be_bytes([packet[4], packet[5], packet[6], packet[7]]);
        match (code, &tls) {
            (TLS_REQUEST, Some(acceptor)) => {
                writer.write_all(b"S").await?;
                // Bytes that came before the handshake could have been injected.
                if reader.has_buffered() {
                    return Err(SessionEnd::CallerLeft);
                }
                let stream = reader
                    .into_parts()
                    .0
                    .reunite(writer)
                    .map_err(std::io::Error::other)?;
                let stream = acceptor.accept(stream).await?;
                let (read, write) = tokio::io::split(stream);
                let caller = boxed_stream(read, write, BytesMut::new());
                return receive_encrypted_startup(shared, caller).await;
            }
            (TLS_REQUEST | GSS_REQUEST, _) => writer.write_all(b"N").await?,
            (CANCEL_REQUEST, _) => {
                forward_cancel(shared, &packet).await;
                return Ok(None);
            }
            _ => {
                let hello = decode_startup(&packet)?;
                let (read, buffer) = reader.into_parts();
                return Ok(Some((boxed_stream(read, writer, buffer), hello)));
            }
        }
    }
}

fn boxed_stream(
    read: impl tokio::io::AsyncRead + Send + Sync + Unpin + 'static,
    write: impl tokio::io::AsyncWrite + Send + Sync + Unpin + 'static,
    buffer: BytesMut,
) -> CallerStream {
    let read: super::CallerRead = Box::new(read);
    CallerStream {
        reader: reader::FrameReader::new(read, buffer),
        writer: Box::new(write),
    }
}

async fn receive_encrypted_startup(
    shared: &shared::ProxyShared,
    mut caller: CallerStream,
) -> Result<Option<(CallerStream, startup::Startup)>, SessionEnd> {
    let Some(packet) = caller.reader.next_startup().await? else {
        return Ok(None);
    };
    if packet[4..8] == CANCEL_REQUEST.to_be_bytes() {
        forward_cancel(shared, &packet).await;
        return Ok(None);
    }
    let hello = decode_startup(&packet)?;
    Ok(Some((caller, hello)))
}

fn decode_startup(packet: &BytesMut) -> Result<startup::Startup, SessionEnd> {
    let mut body = BytesMut::from(&packet[4..]);
    startup::Startup::decode_body(&mut body, packet.len(), &DecodeContext::default())
        .map_err(|error| login_refusal(refusal::RefusalReason::ProtocolViolation, error).into())
}

async fn forward_cancel(shared: &shared::ProxyShared, packet: &BytesMut) {
    let mut body = packet.clone();
    let request = cancel::CancelRequest::decode(&mut body, &DecodeContext::default());
    let Ok(Some(request)) = request else { return };
    let secret = request.secret_key.as_i32().unwrap_or(0);
    if let Some(running) = shared.cancels.find_running(request.pid, secret) {
        running.send().await;
    }
}

fn login_refusal(
    reason: refusal::RefusalReason,
    text: impl std::fmt::Display,
) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(reason, text.to_string())
}

/// What a successful login yields.
struct AcceptedLogin {
    identity: super::SessionIdentity,
    hints: Vec<hint::RequestHint>,
    carried: BTreeMap<String, String>,
    parameters: Arc<Vec<snapshot::ServerParameter>>,
}

async fn accept_caller(
    shared: &shared::ProxyShared,
    caller: &mut CallerStream,
    hello: &startup::Startup,
) -> Result<AcceptedLogin, SessionEnd> {
    if shared.caller_count() > shared.settings.max_callers {
        let text = "this VM already serves as many callers as it can hold";
        let refused = login_refusal(refusal::RefusalReason::TooManyCallers, text);
        return Err(refused.retry_after(Duration::from_millis(500)).into());
    }
    if hello.parameters.contains_key("replication") {
        let text = "replication connections are not supported";
        return Err(login_refusal(refusal::RefusalReason::SessionState, text).into());
    }
    let user = hello.parameters.get("user").map_or("", String::as_str);
    let open = shared
        .snapshot()
        .active_document
        .as_ref()
        .and_then(|in_force| {
            let (name, plan) = in_force.document.workspaces.get_key_value(user)?;
            plan.open.then(|| name.clone())
        });
    let password = if open.is_none() {
        receive_password(caller).await?
    } else {
        String::new()
    };
    let snapshot = shared.snapshot();
    if let Some(reason) = snapshot.not_ready_reason() {
        let refused = login_refusal(refusal::RefusalReason::NotReady, reason);
        return Err(refused.retry_after(Duration::from_secs(1)).into());
    }
    let (workspace, digest) = match open {
        Some(workspace) => (workspace, None),
        None => find_workspace(&snapshot, &password)?,
    };
    let service = find_service(&snapshot, &workspace, hello)?;
    let (hints, carried) = parameters::startup_settings(hello, password.as_bytes())?;
    let parameters = snapshot
        .services
        .get(&service)
        .map(|state| Arc::clone(&state.parameters));
    let key = password.into_bytes();
    Ok(AcceptedLogin {
        identity: super::SessionIdentity {
            workspace,
            service,
            digest,
            key,
        },
        hints,
        carried,
        parameters: parameters.unwrap_or_default(),
    })
}

async fn receive_password(caller: &mut CallerStream) -> Result<String, SessionEnd> {
    let mut out = BytesMut::new();
    message::put_message(&mut out, &startup::Authentication::CleartextPassword);
    caller.writer.write_all(&out).await?;
    let answer = caller
        .reader
        .next_frame(MAX_KEY_BYTES + frame::HEADER_BYTES)
        .await?;
    let answer = answer.ok_or(SessionEnd::CallerLeft)?;
    if answer.tag != frame::PASSWORD {
        let text = "a password message was expected";
        return Err(login_refusal(refusal::RefusalReason::ProtocolViolation, text).into());
    }
    let password: startup::Password = message::decode_message(&answer)?;
    Ok(password.password)
}

fn find_workspace(
    snapshot: &snapshot::ControlSnapshot,
    key: &str,
) -> Result<(name::WorkspaceName, Option<digest::KeyDigest>), SessionEnd> {
    let digest = digest::KeyDigest::of(key);
    let owner = snapshot
        .keys
        .find_owner(&digest)
        .filter(|_| key.len() >= MIN_KEY_BYTES);
    let owner = owner
        .cloned()
        .ok_or_else(|| login_refusal(refusal::RefusalReason::KeyRefused, "the key is not valid"))?;
    Ok((owner, Some(digest)))
}

fn find_service(
    snapshot: &snapshot::ControlSnapshot,
    workspace: &name::WorkspaceName,
    hello: &startup::Startup,
) -> Result<name::ServiceName, SessionEnd> {
    let user = hello.parameters.get("user").map_or("", String::as_str);
    let database = hello
        .parameters
        .get("database")
        .map_or(user, String::as_str);
    let plan = snapshot.workspace(workspace);
    let service = plan.and_then(|plan| {
        plan.services
            .iter()
            .find(|service| service.as_str() == database)
            .cloned()
    });
    service.ok_or_else(|| {
        let text = format!("the workspace {workspace} may not use the service '{database}'");
        login_refusal(refusal::RefusalReason::ServiceForbidden, text).into()
    })
}

async fn start_session(
    shared: &Arc<shared::ProxyShared>,
    caller: CallerStream,
    login: AcceptedLogin,
) -> Result<CallerSession, SessionEnd> {
    let mut secret = [0; 4];
    getrandom::fill(&mut secret).map_err(std::io::Error::other)?;
    let secret = i32::from_be_bytes(secret);
    let (process, cancel) = shared.cancels.register(secret);
    let mut session = CallerSession {
        shared: Arc::clone(shared),
        reader: caller.reader,
        writer: caller.writer,
        out: BytesMut::new(),
        identity: login.identity,
        options: super::SessionOptions::default(),
        floor: None,
        early_floor: None,
        statements: HashMap::new(),
        carried: login.carried,
        held: None,
        held_route: route::ChosenRoute::Primary,
        transaction: message::TransactionState::Idle,
        cancel,
        process,
        changes: shared.subscribe(),
        ahead: None,
    };
    for hint in login.hints {
        session.apply_hint(hint)?;
    }
    if session.floor.is_none() {
        let (shared, service) = (Arc::clone(shared), session.identity.service.clone());
        let deadline = std::time::Instant::now() + super::DEFAULT_DEADLINE;
        session.early_floor = Some(tokio::spawn(async move {
            shared.floors.ask(&shared, &service, deadline).await
        }));
    }
    message::put_message(&mut session.out, &startup::Authentication::Ok);
    for parameter in login.parameters.iter() {
        message::put_parameter_status(&mut session.out, &parameter.name, &parameter.value);
    }
    let key = startup::BackendKeyData::new(process, startup::SecretKey::I32(secret));
    message::put_message(&mut session.out, &key);
    message::put_ready(&mut session.out, session.transaction);
    session.flush().await?;
    Ok(session)
}

//! The start of a caller's connection: TLS negotiation, cancel requests, the
//! StartupMessage and authentication with an API key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

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
use super::access;
use super::hint;
use super::route;
use crate::shared;
use crate::snapshot;

mod parameters;

/// How long a caller may take to log in, TLS handshake included.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(20);
/// The protocol's request code of SSLRequest.
const TLS_REQUEST: u32 = 80_877_103;
/// The protocol's request code of GSSENCRequest.
const GSS_REQUEST: u32 = 80_877_104;
/// The protocol's request code of CancelRequest.
const CANCEL_REQUEST: u32 = 80_877_102;
/// The largest body of a password message, which contains the API key, in bytes.
const MAX_KEY_BYTES: usize = 1_000;

/// Logs a caller in and serves its session until it ends.
pub async fn serve_caller(
    shared: Arc<shared::ProxyShared>,
    stream: TcpStream,
    tls: Option<tokio_rustls::TlsAcceptor>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY on a caller's connection failed: {error}");
        return;
    }
    let login = tokio::time::timeout(LOGIN_TIMEOUT, log_in(&shared, stream, tls));
    match login.await {
        Ok(Ok(Some(session))) => session.serve().await,
        Ok(Ok(None)) => {}
        Ok(Err(end)) => log::debug!("a caller's login failed: {end}"),
        Err(_) => log::debug!("a caller's login timed out"),
    }
}

/// Both halves of a caller's connection before the session starts.
struct CallerStream {
    reader: reader::FrameReader<super::CallerRead>,
    writer: super::CallerWrite,
}

async fn log_in(
    shared: &Arc<shared::ProxyShared>,
    stream: TcpStream,
    tls: Option<tokio_rustls::TlsAcceptor>,
) -> Result<Option<CallerSession>, SessionEnd> {
    let Some((mut caller, startup)) = receive_startup(shared, stream, tls).await? else {
        return Ok(None);
    };
    let accepted = authenticate_caller(shared, &mut caller, &startup).await;
    match accepted {
        Ok(login) => Ok(Some(start_session(shared, caller, login).await?)),
        Err(SessionEnd::Refused(refusal)) => {
            let user = startup.parameters.get("user").map_or("", String::as_str);
            log::info!(reason = refusal.reason.code(), claimed = user; "login refused");
            shared.metrics.count_refusal("unknown", &refusal);
            let mut out = BytesMut::new();
            message::put_error_response(
                &mut out,
                &message::ErrorFields::from_refusal(&refusal).into_fatal(),
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
                // Bytes sent in plain text before the TLS handshake may have been
                // injected by an attacker.
                if reader.has_buffered_bytes() {
                    return Err(SessionEnd::CallerDisconnected);
                }
                let stream = reader
                    .into_parts()
                    .0
                    .reunite(writer)
                    .map_err(std::io::Error::other)?;
                let stream = acceptor.accept(stream).await?;
                let (read, write) = tokio::io::split(stream);
                let caller = box_caller_stream(read, write, BytesMut::new());
                return receive_encrypted_startup(shared, caller).await;
            }
            (TLS_REQUEST | GSS_REQUEST, _) => writer.write_all(b"N").await?,
            (CANCEL_REQUEST, _) => {
                forward_cancel(shared, &packet).await;
                return Ok(None);
            }
            _ => {
                let startup = decode_startup(&packet)?;
                let (read, buffer) = reader.into_parts();
                return Ok(Some((box_caller_stream(read, writer, buffer), startup)));
            }
        }
    }
}

fn box_caller_stream(
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
    let startup = decode_startup(&packet)?;
    Ok(Some((caller, startup)))
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
    if let Some(target) = shared
        .cancel_registry
        .find_cancel_target(request.pid, secret)
    {
        target.send_cancel_request().await;
    }
}

fn login_refusal(
    reason: refusal::RefusalReason,
    text: impl std::fmt::Display,
) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(reason, text.to_string())
}

/// The result of a successful login.
struct AcceptedLogin {
    identity: access::SessionIdentity,
    hints: Vec<hint::RequestHint>,
    database_settings: BTreeMap<String, String>,
    parameters: Arc<Vec<snapshot::ServerParameter>>,
}

async fn authenticate_caller(
    shared: &shared::ProxyShared,
    caller: &mut CallerStream,
    startup: &startup::Startup,
) -> Result<AcceptedLogin, SessionEnd> {
    if shared.caller_count() > shared.settings.max_callers {
        let text = "this VM already serves as many callers as it can hold";
        let refusal = login_refusal(refusal::RefusalReason::TooManyCallers, text);
        return Err(refusal.retry_after(Duration::from_millis(500)).into());
    }
    if startup.parameters.contains_key("replication") {
        let text = "replication connections are not supported";
        return Err(login_refusal(refusal::RefusalReason::SessionState, text).into());
    }
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let keyless_workspace =
        shared
            .snapshot()
            .active_document
            .as_ref()
            .and_then(|active_document| {
                let (name, spec) = active_document.document.workspaces.get_key_value(user)?;
                spec.is_keyless.then(|| name.clone())
            });
    let password = if keyless_workspace.is_none() {
        receive_password(caller).await?
    } else {
        String::new()
    };
    let snapshot = shared.snapshot();
    if let Some(reason) = snapshot.not_ready_reason() {
        let refusal = login_refusal(refusal::RefusalReason::NotReady, reason);
        return Err(refusal.retry_after(Duration::from_secs(1)).into());
    }
    let (workspace, digest) = match keyless_workspace {
        Some(workspace) => (workspace, None),
        None => {
            let (workspace, digest) = access::find_workspace(&snapshot, &password)?;
            (workspace, Some(digest))
        }
    };
    let database = startup.parameters.get("database");
    let database = database.map_or(user, String::as_str);
    let service = access::find_service(&snapshot, &workspace, database)?;
    let (hints, database_settings) =
        parameters::parse_startup_settings(startup, password.as_bytes())?;
    let parameters = snapshot
        .services
        .get(&service)
        .map(|service| Arc::clone(&service.parameters));
    let key = password.into_bytes();
    Ok(AcceptedLogin {
        identity: access::SessionIdentity {
            workspace,
            service,
            digest,
            key,
        },
        hints,
        database_settings,
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
    let answer = answer.ok_or(SessionEnd::CallerDisconnected)?;
    if answer.tag != frame::PASSWORD {
        let text = "a password message was expected";
        return Err(login_refusal(refusal::RefusalReason::ProtocolViolation, text).into());
    }
    let password: startup::Password = message::decode_message(&answer)?;
    Ok(password.password)
}

async fn start_session(
    shared: &Arc<shared::ProxyShared>,
    caller: CallerStream,
    login: AcceptedLogin,
) -> Result<CallerSession, SessionEnd> {
    let mut secret = [0; 4];
    getrandom::fill(&mut secret).map_err(std::io::Error::other)?;
    let secret = i32::from_be_bytes(secret);
    let (process_id, cancel_entry) = shared.cancel_registry.register(secret);
    let mut session = CallerSession {
        shared: Arc::clone(shared),
        reader: caller.reader,
        writer: caller.writer,
        send_buffer: BytesMut::new(),
        identity: Arc::new(login.identity),
        options: super::SessionOptions::default(),
        floor: None,
        prefetched_floor: None,
        statements: HashMap::new(),
        database_settings: login.database_settings,
        settings_before_transaction: None,
        held_connection: None,
        held_route: route::ChosenRoute::Primary,
        transaction: message::TransactionStatus::Idle,
        cancel_entry,
        process_id,
        wakeups: shared.subscribe_to_wakeups(),
        read_ahead: None,
    };
    for hint in login.hints {
        session.apply_hint(hint)?;
    }
    if session.floor.is_none() {
        let (shared, service) = (Arc::clone(shared), session.identity.service.clone());
        let deadline = std::time::Instant::now() + super::DEFAULT_REQUEST_TIMEOUT;
        session.prefetched_floor = Some(tokio::spawn(async move {
            shared
                .floor_probes
                .fetch_floor(&shared, &service, deadline)
                .await
        }));
    }
    message::put_message(&mut session.send_buffer, &startup::Authentication::Ok);
    for parameter in login.parameters.iter() {
        message::put_parameter_status(&mut session.send_buffer, &parameter.name, &parameter.value);
    }
    let key = startup::BackendKeyData::new(process_id, startup::SecretKey::I32(secret));
    message::put_message(&mut session.send_buffer, &key);
    message::put_ready_for_query(&mut session.send_buffer, session.transaction);
    session.flush().await?;
    Ok(session)
}

//! One client's session: start-up, then simple and extended queries.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bytes::BytesMut;
use pgwire::messages::cancel;
use pgwire::messages::startup;

use crate::server;

mod copy;
mod extended;
mod functions;
mod simple;
mod transaction;

/// The bytes that are gathered before they are sent.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// The code of a TLS request in a start-up packet.
const TLS_REQUEST: u32 = 80_877_103;
/// The code of a GSS encryption request in a start-up packet.
const GSS_REQUEST: u32 = 80_877_104;
/// The code of a cancel request in a start-up packet.
const CANCEL_REQUEST: u32 = 80_877_102;

/// An SQL error as the client will see it.
#[derive(Debug, Clone)]
pub(crate) struct SqlFailure {
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
}

impl SqlFailure {
    fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }
}

impl From<rusqlite::Error> for SqlFailure {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let code = error.sqlite_error_code();
        let sqlstate = match code {
            Some(rusqlite::ErrorCode::ConstraintViolation) => constraint_sqlstate(&error),
            Some(rusqlite::ErrorCode::DatabaseBusy | rusqlite::ErrorCode::DatabaseLocked) => {
                "40001"
            }
            Some(rusqlite::ErrorCode::OperationInterrupted) => "57014",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("already exists") => "42P07",
            _ => "42601",
        };
        Self::new(sqlstate, message)
    }
}

fn constraint_sqlstate(error: &rusqlite::Error) -> &'static str {
    match error.sqlite_error().map(|error| error.extended_code) {
        Some(rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL) => "23502",
        Some(rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY) => "23503",
        Some(rusqlite::ffi::SQLITE_CONSTRAINT_CHECK) => "23514",
        _ => "23505",
    }
}

/// A session's stream, buffers and SQL state.
pub(crate) struct ClientSession<'a> {
    server: &'a server::DatabaseServer,
    stream: TcpStream,
    input: BytesMut,
    out: BytesMut,
    connection: rusqlite::Connection,
    cancelled: Arc<AtomicBool>,
    transaction: Option<transaction::OpenTransaction>,
    extended: extended::ExtendedState,
    variables: std::collections::BTreeMap<String, String>,
    remaining_statements: usize,
}

/// Serves one client until it leaves.
///
/// # Errors
/// Fails when the stream fails or the client breaks the protocol.
pub fn serve_session(
    server: &server::DatabaseServer,
    mut stream: TcpStream,
) -> Result<(), Box<dyn std::error::Error>> {
    stream.set_nodelay(true)?;
    let mut input = BytesMut::new();
    let Some(startup) = receive_startup(server, &mut stream, &mut input)? else {
        return Ok(());
    };
    thread::sleep(server.settings.connect_delay);
    if !authenticate(server, &mut stream, &mut input, &startup)? {
        return Ok(());
    }
    let application = startup
        .parameters
        .get("application_name")
        .map_or("", String::as_str);
    let control = application == "bluebellferry-control";
    let connected = server
        .connected
        .fetch_add(usize::from(!control), Ordering::SeqCst);
    let outcome = if !control && connected >= server.settings.connections {
        send_fatal_error(&mut stream, "53300", "sorry, too many clients already")
            .map_err(Into::into)
    } else {
        run_session(server, stream, input)
    };
    server
        .connected
        .fetch_sub(usize::from(!control), Ordering::SeqCst);
    outcome
}

fn run_session(
    server: &server::DatabaseServer,
    stream: TcpStream,
    input: BytesMut,
) -> Result<(), Box<dyn std::error::Error>> {
    let connection = server.engine.open_connection()?;
    let cancelled = Arc::new(AtomicBool::new(false));
    functions::register_functions(&connection, Arc::clone(&cancelled))?;
    let secret = generate_cancel_secret(&cancelled);
    let process = server.register_cancel_target(server::CancelTarget {
        secret,
        interrupt: connection.get_interrupt_handle(),
        cancelled: Arc::clone(&cancelled),
    });
    let mut session = ClientSession {
        server,
        stream,
        input,
        out: BytesMut::new(),
        connection,
        cancelled,
        transaction: None,
        extended: extended::ExtendedState::default(),
        variables: std::collections::BTreeMap::new(),
        remaining_statements: 0,
    };
    let outcome = session
        .send_startup_response(process, secret)
        .and_then(|()| session.serve());
    server.remove_cancel_target(process);
    Ok(outcome?)
}

/// Derives a cancel secret from the place of a fresh allocation and the time.
fn generate_cancel_secret(cancelled: &Arc<AtomicBool>) -> i32 {
    use std::hash::BuildHasher;
    let hasher = std::collections::hash_map::RandomState::new();
    hasher.hash_one(Arc::as_ptr(cancelled) as usize) as i32
}

fn receive_startup(
    server: &server::DatabaseServer,
    stream: &mut TcpStream,
    input: &mut BytesMut,
) -> Result<Option<startup::Startup>, Box<dyn std::error::Error>> {
    loop {
        let Some(packet) = frame::take_startup(input)? else {
            if receive_bytes(server, stream, input)? == 0 {
                return Ok(None);
            }
            continue;
        };
        let code = u32::from_be_bytes([packet[4], packet[5], packet[6], packet[7]]);
        match code {
            TLS_REQUEST | GSS_REQUEST => stream.write_all(b"N")?,
            CANCEL_REQUEST => {
                let mut body = BytesMut::from(&packet[..]);
                let context = pgwire::messages::DecodeContext::default();
                let request = <cancel::CancelRequest as pgwire::messages::Message>::decode(
                    &mut body, &context,
                )?;
                if let Some(request) = request {
                    server.cancel(request.pid, request.secret_key.as_i32().unwrap_or(0));
                }
                return Ok(None);
            }
            _ => {
                let mut body = BytesMut::from(&packet[4..]);
                let context = pgwire::messages::DecodeContext::default();
                let startup = <startup::Startup as pgwire::messages::Message>::decode_body(
                    &mut body,
                    packet.len(),
                    &context,
                )?;
                return Ok(Some(startup));
            }
        }
    }
}

fn receive_bytes(
    server: &server::DatabaseServer,
    stream: &mut TcpStream,
    input: &mut BytesMut,
) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let size = stream.read(&mut chunk)?;
    server.record_received(&chunk[..size]);
    input.extend_from_slice(&chunk[..size]);
    Ok(size)
}

fn authenticate(
    server: &server::DatabaseServer,
    stream: &mut TcpStream,
    input: &mut BytesMut,
    startup: &startup::Startup,
) -> Result<bool, Box<dyn std::error::Error>> {
    let mut out = BytesMut::new();
    message::put_message(&mut out, &startup::Authentication::CleartextPassword);
    stream.write_all(&out)?;
    let answer = loop {
        if let Some(answer) = frame::take_frame(input, frame::MAX_FRAME_BYTES)? {
            break answer;
        }
        if receive_bytes(server, stream, input)? == 0 {
            return Ok(false);
        }
    };
    let password: startup::Password = message::decode_message(&answer)?;
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let settings = &server.settings;
    if user == settings.account && password.password == settings.password {
        return Ok(true);
    }
    send_fatal_error(stream, "28P01", "password authentication failed")?;
    Ok(false)
}

fn send_fatal_error(stream: &mut TcpStream, sqlstate: &str, text: &str) -> io::Result<()> {
    let mut out = BytesMut::new();
    message::put_error_response(
        &mut out,
        &message::ErrorFields::error(sqlstate, text).into_fatal(),
    );
    stream.write_all(&out)
}

impl ClientSession<'_> {
    fn send_startup_response(&mut self, process: i32, secret: i32) -> io::Result<()> {
        message::put_message(&mut self.out, &startup::Authentication::Ok);
        let parameters = [
            ("server_version", "15.0 (bluebellferry stand-in)"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            message::put_parameter_status(&mut self.out, name, value);
        }
        let key = startup::BackendKeyData::new(process, startup::SecretKey::I32(secret));
        message::put_message(&mut self.out, &key);
        self.put_ready_for_query();
        self.send()
    }

    fn serve(&mut self) -> io::Result<()> {
        loop {
            let Some(request) = self.next_request()? else {
                return Ok(());
            };
            match request.tag {
                frame::TERMINATE => return Ok(()),
                frame::QUERY => self.simple_query(&request)?,
                _ => self.extended_request(&request)?,
            }
        }
    }

    /// Reads the next frame; ends the session when a transaction stays idle.
    fn next_request(&mut self) -> io::Result<Option<frame::WireFrame>> {
        loop {
            let taken = frame::take_frame(&mut self.input, frame::MAX_FRAME_BYTES);
            if let Some(request) = taken.map_err(io::Error::other)? {
                return Ok(Some(request));
            }
            self.send()?;
            let open = self.transaction.is_some();
            let limit = open.then_some(self.server.settings.idle_transaction_timeout);
            self.stream.set_read_timeout(limit)?;
            match receive_bytes(self.server, &mut self.stream, &mut self.input) {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {
                    let text = "terminating connection due to idle-in-transaction timeout";
                    send_fatal_error(&mut self.stream, "25P03", text)?;
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn send(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.out)?;
        self.out.clear();
        Ok(())
    }

    fn flush_if_large(&mut self) -> io::Result<()> {
        if self.out.len() >= SEND_BUFFER_BYTES {
            self.send()?;
        }
        Ok(())
    }

    fn put_error(&mut self, failure: &SqlFailure) {
        let fields = message::ErrorFields::error(failure.sqlstate, &failure.message);
        message::put_error_response(&mut self.out, &fields);
    }

    fn put_ready_for_query(&mut self) {
        let state = self.transaction_state();
        message::put_ready_for_query(&mut self.out, state);
    }

    /// Forgets a cancel request that came before this statement.
    fn begin_statement(&self) {
        self.cancelled.store(false, Ordering::SeqCst);
        self.server.statements.inc();
    }

    /// Spends the configured minimum time of a statement.
    fn sleep_min_statement_time(&self) {
        let time: Duration = self.server.settings.min_statement_time;
        if !time.is_zero() {
            thread::sleep(time);
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

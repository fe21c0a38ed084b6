//! A client session: startup and authentication, then simple and extended queries.

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

/// The size of the output buffer, in bytes, at which its content is sent before a statement has
/// finished.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// The request code of SSLRequest, sent instead of a protocol version to ask for TLS.
const TLS_REQUEST: u32 = 80_877_103;
/// The request code of GSSENCRequest, sent instead of a protocol version to ask for GSSAPI
/// encryption.
const GSS_REQUEST: u32 = 80_877_104;
/// The request code of CancelRequest, sent instead of a protocol version.
const CANCEL_REQUEST: u32 = 80_877_102;

/// An SQL error to be sent to the client.
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

/// A client session: the connection, its buffers and the state of its SQL commands.
pub(crate) struct ClientSession<'a> {
    server: &'a server::DatabaseServer,
    stream: TcpStream,
    input: BytesMut,
    out: BytesMut,
    connection: rusqlite::Connection,
    is_cancel_requested: Arc<AtomicBool>,
    transaction: Option<transaction::OpenTransaction>,
    extended: extended::ExtendedQueryState,
    variables: std::collections::BTreeMap<String, String>,
    /// The number of statements of the current simple query that have not been started.
    remaining_statements: usize,
}

/// Serves one client connection until the client disconnects or is rejected.
///
/// # Errors
/// Fails if the connection fails or the client violates the protocol.
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
    let application_name = startup
        .parameters
        .get("application_name")
        .map_or("", String::as_str);
    let is_control = application_name == "bluebellferry-control";
    let connected_clients = server
        .connected_clients
        .fetch_add(usize::from(!is_control), Ordering::SeqCst);
    let outcome = if !is_control && connected_clients >= server.settings.max_connections {
        send_fatal_error(&mut stream, "53300", "sorry, too many clients already")
            .map_err(Into::into)
    } else {
        run_session(server, stream, input)
    };
    server
        .connected_clients
        .fetch_sub(usize::from(!is_control), Ordering::SeqCst);
    outcome
}

fn run_session(
    server: &server::DatabaseServer,
    stream: TcpStream,
    input: BytesMut,
) -> Result<(), Box<dyn std::error::Error>> {
    let connection = server.engine.open_connection()?;
    let is_cancel_requested = Arc::new(AtomicBool::new(false));
    functions::register_functions(&connection, Arc::clone(&is_cancel_requested))?;
    let secret = generate_cancel_secret(&is_cancel_requested);
    let process_id = server.register_cancel_target(server::CancelTarget {
        secret,
        interrupt: connection.get_interrupt_handle(),
        is_cancel_requested: Arc::clone(&is_cancel_requested),
    });
    let mut session = ClientSession {
        server,
        stream,
        input,
        out: BytesMut::new(),
        connection,
        is_cancel_requested,
        transaction: None,
        extended: extended::ExtendedQueryState::default(),
        variables: std::collections::BTreeMap::new(),
        remaining_statements: 0,
    };
    let outcome = session
        .send_startup_response(process_id, secret)
        .and_then(|()| session.serve_requests());
    server.remove_cancel_target(process_id);
    Ok(outcome?)
}

/// Generates the secret key for cancel requests by hashing the flag's address with random keys.
fn generate_cancel_secret(is_cancel_requested: &Arc<AtomicBool>) -> i32 {
    use std::hash::BuildHasher;
    let hasher = std::collections::hash_map::RandomState::new();
    hasher.hash_one(Arc::as_ptr(is_cancel_requested) as usize) as i32
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
        let request_code = u32::from_be_bytes([packet[4], packet[5], packet[6], packet[7]]);
        match request_code {
            TLS_REQUEST | GSS_REQUEST => stream.write_all(b"N")?,
            CANCEL_REQUEST => {
                let mut body = BytesMut::from(&packet[..]);
                let context = pgwire::messages::DecodeContext::default();
                let request = <cancel::CancelRequest as pgwire::messages::Message>::decode(
                    &mut body, &context,
                )?;
                if let Some(request) = request {
                    server.cancel_statement(request.pid, request.secret_key.as_i32().unwrap_or(0));
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
    server.record_received_bytes(&chunk[..size]);
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
    fn send_startup_response(&mut self, process_id: i32, secret: i32) -> io::Result<()> {
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
        let key = startup::BackendKeyData::new(process_id, startup::SecretKey::I32(secret));
        message::put_message(&mut self.out, &key);
        self.put_ready_for_query();
        self.flush_output()
    }

    fn serve_requests(&mut self) -> io::Result<()> {
        loop {
            let Some(request) = self.receive_request()? else {
                return Ok(());
            };
            match request.tag {
                frame::TERMINATE => return Ok(()),
                frame::QUERY => self.handle_simple_query(&request)?,
                _ => self.handle_extended_request(&request)?,
            }
        }
    }

    /// Reads the next message. Returns `None` if the client disconnected, or after the session was
    /// terminated because it was idle in a transaction for too long.
    fn receive_request(&mut self) -> io::Result<Option<frame::WireFrame>> {
        loop {
            let next_frame = frame::take_frame(&mut self.input, frame::MAX_FRAME_BYTES);
            if let Some(request) = next_frame.map_err(io::Error::other)? {
                return Ok(Some(request));
            }
            self.flush_output()?;
            let has_transaction = self.transaction.is_some();
            let read_timeout =
                has_transaction.then_some(self.server.settings.idle_transaction_timeout);
            self.stream.set_read_timeout(read_timeout)?;
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

    fn flush_output(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.out)?;
        self.out.clear();
        Ok(())
    }

    fn flush_if_large(&mut self) -> io::Result<()> {
        if self.out.len() >= SEND_BUFFER_BYTES {
            self.flush_output()?;
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

    /// Discards a cancel request that arrived before this statement, and counts the statement.
    fn begin_statement(&self) {
        self.is_cancel_requested.store(false, Ordering::SeqCst);
        self.server.statement_counter.inc();
    }

    /// Sleeps for the configured minimum duration of a statement.
    fn sleep_min_statement_time(&self) {
        let min_statement_time: Duration = self.server.settings.min_statement_time;
        if !min_statement_time.is_zero() {
            thread::sleep(min_statement_time);
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

//! Connection to a database: login, simple queries and state that outlives a request.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use bluebellferry_types::position;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::reader;
use bytes::BytesMut;
use pgwire::messages::startup;
use postgres_protocol::authentication::sasl;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp;

use crate::cancel;
use crate::session::plan;
use crate::settings;
use crate::snapshot;

/// The largest message accepted from a database during login and simple queries, in
/// bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// The parameter in which databases report the log position of a commit.
pub const POSITION_PARAMETER: &str = "bluebellferry.position";

/// The reason why a database connection cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// Writing to the connection or opening it failed.
    #[error("connection to the database failed: {0}")]
    Io(#[from] std::io::Error),
    /// Reading from the connection failed or the database violated the protocol.
    #[error("database sent an unusable message: {0}")]
    Read(#[from] reader::ReadError),
    /// A message of the database could not be decoded.
    #[error("database sent an unusable message: {0}")]
    Frame(#[from] frame::FrameError),
    /// The database closed the connection, or its answer lacks a required part.
    #[error("the database closed the connection")]
    Closed,
    /// The database reported an error.
    #[error("the database refused: {} ({})", .0.message, .0.sqlstate)]
    Refused(Box<message::ErrorFields>),
    /// Authentication failed, or the database requires an unsupported method.
    #[error("authentication is not possible: {0}")]
    Authentication(String),
}

/// Identifies a prepared statement by a number of [`crate::prepared::StatementTable`],
/// which never gives two statements the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StatementId(pub u64);

impl StatementId {
    /// Returns the statement's name on database connections.
    pub fn database_name(self) -> String {
        format!("bbf_{:x}", self.0)
    }
}

/// The purpose of a connection, which is part of its application name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// Relaying of callers' requests.
    Traffic,
    /// Probes and promotions, which must not queue behind callers' requests.
    Control,
}

/// An open connection to a database.
#[derive(Debug)]
pub struct BackendConnection {
    /// Reads the database's frames.
    pub reader: reader::FrameReader<tcp::OwnedReadHalf>,
    /// Writes frames to the database.
    pub writer: tcp::OwnedWriteHalf,
    /// The database session that cancel requests are sent to.
    pub cancel_target: cancel::DatabaseCancelTarget,
    /// The statements that the database has prepared on this connection.
    pub prepared_statements: HashSet<StatementId>,
    /// Whether a caller may have dropped statements in `prepared_statements`, or left
    /// other state that no other session may see, so that the connection must not be
    /// reused.
    pub has_lasting_changes: bool,
    /// The `SET` statements that are applied on this connection, by setting name;
    /// `None` if a request has changed settings since.
    pub applied_settings: Option<BTreeMap<String, String>>,
    /// Whether new transactions on this connection are read-only by default.
    pub is_read_only: bool,
    /// The transaction status that the database reported last.
    pub transaction: message::TransactionStatus,
    /// The parameters that the database reported during login.
    pub parameters: Vec<snapshot::ServerParameter>,
    /// The log position of the last commit by [`BackendConnection::query`].
    pub last_commit_position: Option<position::LogPosition>,
}

/// A row returned by [`BackendConnection::query`].
#[derive(Debug, Default)]
pub struct QueryRow {
    columns: Vec<String>,
    values: Vec<Option<String>>,
}

impl QueryRow {
    /// Returns the value of a column; `None` if it is NULL or missing.
    pub fn column_value(&self, column: &str) -> Option<&str> {
        let index = self.columns.iter().position(|name| name == column)?;
        self.values.get(index)?.as_deref()
    }

    /// Returns the parsed value of a column; `None` if it is NULL, missing or invalid.
    pub fn parse_column<T: std::str::FromStr>(&self, column: &str) -> Option<T> {
        self.column_value(column)?.parse().ok()
    }
}

impl BackendConnection {
    /// Connects and logs in with the account of the proxy.
    ///
    /// # Errors
    /// Fails when the database cannot be reached or rejects the login.
    pub async fn connect(
        address: SocketAddr,
        database: &str,
        account: &settings::DatabaseAccount,
        purpose: ConnectionPurpose,
    ) -> Result<Self, BackendError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, writer) = stream.into_split();
        let cancel_target = cancel::DatabaseCancelTarget {
            address,
            process_id: 0,
            secret: startup::SecretKey::I32(0),
        };
        let mut connection = Self {
            reader: reader::FrameReader::new(read, BytesMut::new()),
            writer,
            cancel_target,
            prepared_statements: HashSet::new(),
            has_lasting_changes: false,
            applied_settings: Some(BTreeMap::new()),
            is_read_only: false,
            transaction: message::TransactionStatus::Idle,
            parameters: Vec::new(),
            last_commit_position: None,
        };
        connection.send_startup(database, account, purpose).await?;
        connection.log_in(account).await?;
        Ok(connection)
    }

    async fn send_startup(
        &mut self,
        database: &str,
        account: &settings::DatabaseAccount,
        purpose: ConnectionPurpose,
    ) -> Result<(), BackendError> {
        let application_name = match purpose {
            ConnectionPurpose::Traffic => "bluebellferry",
            ConnectionPurpose::Control => "bluebellferry-control",
        };
        let mut startup = startup::Startup::new();
        for (name, value) in [
            ("user", account.user.as_str()),
            ("database", database),
            ("application_name", application_name),
            ("client_encoding", "UTF8"),
        ] {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        let mut out = BytesMut::new();
        message::put_message(&mut out, &startup);
        self.writer.write_all(&out).await?;
        Ok(())
    }

    async fn log_in(&mut self, account: &settings::DatabaseAccount) -> Result<(), BackendError> {
        let mut scram: Option<sasl::ScramSha256> = None;
        loop {
            let answer = self.next_frame().await?;
            match answer.tag {
                frame::AUTHENTICATION => {
                    let request: startup::Authentication = message::decode_message(&answer)?;
                    self.answer_authentication(account, request, &mut scram)
                        .await?;
                }
                frame::PARAMETER_STATUS => {
                    let status: startup::ParameterStatus = message::decode_message(&answer)?;
                    let parameter = snapshot::ServerParameter {
                        name: status.name,
                        value: status.value,
                    };
                    self.parameters.push(parameter);
                }
                frame::BACKEND_KEY_DATA => {
                    let data: startup::BackendKeyData = message::decode_message(&answer)?;
                    self.cancel_target.process_id = data.pid;
                    self.cancel_target.secret = data.secret_key;
                }
                frame::READY_FOR_QUERY => return Ok(()),
                frame::ERROR_RESPONSE => {
                    let fields = message::ErrorFields::from_frame(&answer)?;
                    return Err(BackendError::Refused(Box::new(fields)));
                }
                _ => {}
            }
        }
    }

    async fn answer_authentication(
        &mut self,
        account: &settings::DatabaseAccount,
        request: startup::Authentication,
        scram: &mut Option<sasl::ScramSha256>,
    ) -> Result<(), BackendError> {
        let to_error = |error: std::io::Error| BackendError::Authentication(error.to_string());
        let mut out = BytesMut::new();
        match request {
            startup::Authentication::Ok => {}
            startup::Authentication::CleartextPassword => {
                let password = startup::Password::new(account.password.clone());
                message::put_message(&mut out, &password);
            }
            startup::Authentication::SASL(_) => {
                let binding = sasl::ChannelBinding::unsupported();
                let exchange = sasl::ScramSha256::new(account.password.as_bytes(), binding);
                let first = exchange.message().to_vec().into();
                let name = sasl::SCRAM_SHA_256.to_owned();
                let initial = startup::SASLInitialResponse::new(name, Some(first));
                message::put_message(&mut out, &initial);
                *scram = Some(exchange);
            }
            startup::Authentication::SASLContinue(data) => {
                let exchange = scram.as_mut().ok_or(BackendError::Closed)?;
                exchange.update(&data).map_err(to_error)?;
                let answer = startup::SASLResponse::new(exchange.message().to_vec().into());
                message::put_message(&mut out, &answer);
            }
            startup::Authentication::SASLFinal(data) => {
                let exchange = scram.as_mut().ok_or(BackendError::Closed)?;
                exchange.finish(&data).map_err(to_error)?;
            }
            other => return Err(BackendError::Authentication(format!("{other:?}"))),
        }
        self.writer.write_all(&out).await?;
        Ok(())
    }

    async fn next_frame(&mut self) -> Result<frame::WireFrame, BackendError> {
        let next = self.reader.next_frame(MAX_FRAME_BYTES).await?;
        next.ok_or(BackendError::Closed)
    }

    /// Runs a simple query and returns its last row.
    ///
    /// # Errors
    /// Fails when the database reports an error or the connection is lost.
    pub async fn query(&mut self, sql: &str) -> Result<QueryRow, BackendError> {
        self.writer.write_all(&message::encode_query(sql)).await?;
        let mut row = QueryRow::default();
        let mut error = None;
        loop {
            let answer = self.next_frame().await?;
            match answer.tag {
                frame::ROW_DESCRIPTION => {
                    let description: pgwire::messages::data::RowDescription =
                        message::decode_message(&answer)?;
                    row.columns = description
                        .fields
                        .into_iter()
                        .map(|field| field.name)
                        .collect();
                }
                frame::DATA_ROW => row.values = parse_row_values(&answer),
                frame::PARAMETER_STATUS => self.record_parameter_status(&answer)?,
                frame::ERROR_RESPONSE => error = Some(message::ErrorFields::from_frame(&answer)?),
                frame::READY_FOR_QUERY => {
                    self.transaction = message::TransactionStatus::from_frame(&answer)?;
                    break;
                }
                _ => {}
            }
        }
        match error {
            Some(fields) => Err(BackendError::Refused(Box::new(fields))),
            None => Ok(row),
        }
    }

    fn record_parameter_status(&mut self, status: &frame::WireFrame) -> Result<(), BackendError> {
        let status: startup::ParameterStatus = message::decode_message(status)?;
        if status.name == POSITION_PARAMETER {
            self.last_commit_position = status.value.parse().ok();
        }
        Ok(())
    }

    /// Forgets the state that a request may change, before it is sent.
    pub fn expect_changes(&mut self, plan: &plan::RequestPlan) {
        if !plan.setting_changes.is_empty() {
            self.applied_settings = None;
        }
        self.has_lasting_changes |= plan.drops_statements;
    }

    /// Forgets the state that a message within a request may change. It is too late to
    /// pin the connection, which therefore is not reused.
    pub fn expect_unplanned_changes(&mut self, plan: &plan::RequestPlan) {
        self.expect_changes(plan);
        self.has_lasting_changes |= plan.needs_pin;
    }

    /// Returns whether the database has closed the connection or sent an unsolicited
    /// message, so that the connection cannot be reused.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        match self.reader.get_ref().try_read(&mut byte) {
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }
}

/// Splits a DataRow in text format into its values.
fn parse_row_values(row: &frame::WireFrame) -> Vec<Option<String>> {
    let mut values = Vec::new();
    let mut rest = row.body().get(2..).unwrap_or(&[]);
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = i32::from_be_bytes(*length);
        let Ok(length) = usize::try_from(length) else {
            values.push(None);
            rest = tail;
            continue;
        };
        let (value, tail) = tail.split_at(length.min(tail.len()));
        values.push(Some(String::from_utf8_lossy(value).into_owned()));
        rest = tail;
    }
    values
}

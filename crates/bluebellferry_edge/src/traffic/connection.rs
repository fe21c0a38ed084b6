//! A connection to a database.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_platform::http;
use bluebellferry_platform::line;
use bluebellferry_pool::pool;
use bluebellferry_runtime::clock;
use bluebellferry_session::connection_state;
use bluebellferry_session::state;
use bluebellferry_types::name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The timeout of the TCP connect to a database.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The timeout of connect and handshake together. It is longer, since a handshake waits in the
/// database's queue, and an abandoned handshake costs the database as much as one that succeeds.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The reason why a statement sent to a database got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was closed, or reading from it or writing to it failed.
    #[error("the connection ended")]
    Closed,
    /// No answer arrived before the deadline.
    #[error("no answer came in time")]
    TimedOut,
    /// The statement cannot be sent as one message. Nothing was sent.
    #[error("the statement cannot be sent as one message")]
    NotSendable,
    /// The answer is malformed.
    #[error("the answer cannot be decoded")]
    Malformed,
    /// The database refused a setup step that was sent before the statement.
    #[error("the database refused setup step {step} of the connection")]
    SetupRefused {
        /// The index of the first refused step.
        step: usize,
        /// The error with which the database refused it.
        error: database::DatabaseError,
    },
}

/// The reason why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The database refused the connection or did not answer.
    #[error("the database cannot be reached")]
    Unreachable,
    /// The database has reached its connection limit.
    #[error("the database has reached its connection limit")]
    ConnectionLimit,
    /// Another database answers at the address.
    #[error("another database answers at the address")]
    Misrouted,
    /// The database is too busy to accept a connection.
    #[error("the database is too busy to accept a connection")]
    Busy,
}

/// A connection to a database for the statements of one workspace.
#[derive(Debug)]
pub struct DatabaseConnection {
    /// The index of the database in the connection pool.
    pub database: pool::DatabaseIndex,
    /// The number of the connection in logs, unique in the process.
    pub number: u64,
    /// The workspace that uses the connection.
    pub workspace: name::WorkspaceName,
    /// The settings and prepared statements that the connection has at the database.
    pub state: connection_state::ConnectionState,
    /// The transaction status after the last answer.
    transaction_status: state::TransactionStatus,
    stream: TcpStream,
    decoder: line::LineDecoder,
}

impl DatabaseConnection {
    /// Opens a connection for a workspace.
    ///
    /// # Errors
    /// Returns the reason why the connection could not be opened.
    pub async fn open(
        index: pool::DatabaseIndex,
        entry: &catalog::DatabaseEntry,
        workspace: &name::WorkspaceName,
        number: u64,
    ) -> Result<Self, OpenError> {
        let deadline = clock::now() + OPEN_TIMEOUT;
        let stream = http::connect(entry.address, CONNECT_TIMEOUT)
            .await
            .map_err(|_| OpenError::Unreachable)?;
        let mut connection = Self {
            database: index,
            number,
            workspace: workspace.clone(),
            state: connection_state::ConnectionState::default(),
            transaction_status: state::TransactionStatus::Idle,
            stream,
            decoder: line::LineDecoder::default(),
        };
        let mut text = String::new();
        database::encode_startup(&mut text, &entry.service, workspace, &entry.id);
        connection.send(&text).await.map_err(startup_error)?;
        let line = connection
            .next_line(deadline)
            .await
            .map_err(startup_error)?;
        match database::decode_answer_line(&line) {
            Ok(database::AnswerLine::Ready { .. }) => Ok(connection),
            Ok(database::AnswerLine::Error(error)) => Err(match error {
                database::DatabaseError::ConnectionLimit => OpenError::ConnectionLimit,
                database::DatabaseError::Misrouted => OpenError::Misrouted,
                database::DatabaseError::Busy => OpenError::Busy,
                _ => OpenError::Unreachable,
            }),
            _ => Err(OpenError::Unreachable),
        }
    }

    /// Returns whether the transaction of the last statement has ended, so that the connection may
    /// serve another caller.
    pub fn has_ended_transaction(&self) -> bool {
        self.transaction_status == state::TransactionStatus::Idle
    }

    /// Returns whether the connection can be reused: it is open and no unexpected bytes have
    /// arrived since the last answer.
    pub fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        let is_idle = matches!(&read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        is_idle && !self.decoder.has_partial_line()
    }

    /// Sends a text with one or more messages.
    ///
    /// # Errors
    /// Returns `ExchangeError::Closed` if the connection was closed or writing to it failed.
    pub async fn send(&mut self, text: &str) -> Result<(), ExchangeError> {
        self.stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| ExchangeError::Closed)
    }

    /// Receives the complete answers to `count` statements and returns the last one.
    ///
    /// The earlier statements are setup steps for the session's state. If one of them fails, the
    /// connection is unusable.
    ///
    /// # Errors
    /// Returns the reason why there is no answer. The connection must not be reused.
    pub async fn receive_answers(
        &mut self,
        count: usize,
        deadline: Instant,
    ) -> Result<database::DatabaseAnswer, ExchangeError> {
        let mut collector = database::AnswerCollector::default();
        let mut remaining = count;
        let mut setup_error = None;
        loop {
            let line = self.next_line(deadline).await?;
            let result = collector.add_line(line);
            let Some(answer) = result.map_err(|_| ExchangeError::Malformed)? else {
                continue;
            };
            self.transaction_status = answer.transaction_status;
            remaining = remaining.saturating_sub(1);
            if remaining == 0 {
                return setup_error.map_or(Ok(answer), Err);
            }
            let step = count - remaining - 1;
            let error = answer.error;
            setup_error = setup_error
                .or_else(|| error.map(|error| ExchangeError::SetupRefused { step, error }));
        }
    }

    async fn next_line(&mut self, deadline: Instant) -> Result<String, ExchangeError> {
        loop {
            let line = self.decoder.next_line();
            if let Some(line) = line.map_err(|_| ExchangeError::Malformed)? {
                return Ok(line);
            }
            let time_left = deadline.saturating_duration_since(clock::now());
            let reading = self.stream.read_buf(self.decoder.buffer_mut());
            match tokio::time::timeout(time_left, reading).await {
                Err(_) => return Err(ExchangeError::TimedOut),
                Ok(Ok(0) | Err(_)) => return Err(ExchangeError::Closed),
                Ok(Ok(_)) => {}
            }
        }
    }
}

/// Maps an error during the handshake to the reason why the connection could not be opened. A
/// database that has reached its connection limit resets further connections after the TCP
/// connect; a database that is down would not have accepted the TCP connection.
fn startup_error(error: ExchangeError) -> OpenError {
    match error {
        ExchangeError::Closed => OpenError::ConnectionLimit,
        ExchangeError::TimedOut
        | ExchangeError::NotSendable
        | ExchangeError::Malformed
        | ExchangeError::SetupRefused { .. } => OpenError::Unreachable,
    }
}

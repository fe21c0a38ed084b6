//! One connection to a database.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_platform::http;
use bluebellferry_platform::line;
use bluebellferry_pool::budget;
use bluebellferry_runtime::clock;
use bluebellferry_session::memory;
use bluebellferry_types::name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long a database may take to take a connection up.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// How long it may take to open it: a handshake waits in the database's queue,
/// and one that is given up costs the database as much as one that succeeds.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);

/// The reason an exchange has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended.
    #[error("the connection ended")]
    Closed,
    /// No answer came in time.
    #[error("no answer came in time")]
    Unanswered,
    /// The database sent what is not an answer.
    #[error("the answer cannot be decoded")]
    Malformed,
}

/// The reason a connection cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The database refuses or does not answer.
    #[error("the database cannot be reached")]
    Unreachable,
    /// The database holds as many connections as it may.
    #[error("the database holds as many connections as it may")]
    Limit,
    /// Another database answers at the address.
    #[error("another database answers at the address")]
    Misrouted,
    /// The database is too busy.
    #[error("the database is too busy to accept a connection")]
    Busy,
}

/// A connection on which one workspace's statements run.
#[derive(Debug)]
pub struct DatabaseConnection {
    /// The database.
    pub database: budget::DatabaseIndex,
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// What the connection holds of a session.
    pub memory: memory::ConnectionMemory,
    stream: TcpStream,
    decoder: line::LineDecoder,
}

impl DatabaseConnection {
    /// Opens a connection for a workspace.
    ///
    /// # Errors
    /// Tells why there is none.
    pub async fn open(
        index: budget::DatabaseIndex,
        entry: &catalog::DatabaseEntry,
        workspace: &name::WorkspaceName,
    ) -> Result<Self, OpenError> {
        let deadline = clock::now() + OPEN_LIMIT;
        let stream = http::connect(entry.address, CONNECT_LIMIT)
            .await
            .map_err(|_| OpenError::Unreachable)?;
        let mut connection = Self {
            database: index,
            workspace: workspace.clone(),
            memory: memory::ConnectionMemory::default(),
            stream,
            decoder: line::LineDecoder::default(),
        };
        let mut text = String::new();
        let (service, id) = (entry.service.as_str(), entry.id.as_str());
        database::encode_startup(&mut text, service, workspace.as_str(), id);
        connection.send(&text).await.map_err(startup_error)?;
        let line = connection
            .next_line(deadline)
            .await
            .map_err(startup_error)?;
        match database::decode_answer_line(&line) {
            Ok(database::AnswerLine::Ready { .. }) => Ok(connection),
            Ok(database::AnswerLine::Error(error)) => Err(match error {
                database::DatabaseError::ConnectionLimit => OpenError::Limit,
                database::DatabaseError::Misrouted => OpenError::Misrouted,
                database::DatabaseError::Busy => OpenError::Busy,
                _ => OpenError::Unreachable,
            }),
            _ => Err(OpenError::Unreachable),
        }
    }

    /// Returns whether nothing has come since the last answer, as it must be
    /// on a connection that is kept: an end or stray bytes make it unusable.
    pub fn is_usable(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        let is_silent =
            matches!(&read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        is_silent && !self.decoder.has_partial_line()
    }

    /// Sends text that holds one or more messages.
    ///
    /// # Errors
    /// Fails when the connection has ended.
    pub async fn send(&mut self, text: &str) -> Result<(), ExchangeError> {
        self.stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| ExchangeError::Closed)
    }

    /// Receives the whole answers to `count` statements; the last is returned.
    ///
    /// An error in an earlier one, which brings the connection into a session's
    /// state, makes the connection unusable.
    ///
    /// # Errors
    /// Tells why there is no answer; the connection must not be used again.
    pub async fn receive(
        &mut self,
        count: usize,
        deadline: Instant,
    ) -> Result<database::DatabaseAnswer, ExchangeError> {
        let mut collector = database::AnswerCollector::default();
        let mut remaining = count;
        let mut has_setup_failed = false;
        loop {
            let line = self.next_line(deadline).await?;
            let taken = collector.add_line(line);
            let Some(answer) = taken.map_err(|_| ExchangeError::Malformed)? else {
                continue;
            };
            remaining = remaining.saturating_sub(1);
            if remaining == 0 {
                if has_setup_failed {
                    return Err(ExchangeError::Malformed);
                }
                return Ok(answer);
            }
            has_setup_failed |= answer.error.is_some();
        }
    }

    async fn next_line(&mut self, deadline: Instant) -> Result<String, ExchangeError> {
        loop {
            let line = self.decoder.next_line();
            if let Some(line) = line.map_err(|_| ExchangeError::Malformed)? {
                return Ok(line);
            }
            let left = deadline.saturating_duration_since(clock::now());
            let reading = self.stream.read_buf(self.decoder.buffer_mut());
            match tokio::time::timeout(left, reading).await {
                Err(_) => return Err(ExchangeError::Unanswered),
                Ok(Ok(0) | Err(_)) => return Err(ExchangeError::Closed),
                Ok(Ok(_)) => {}
            }
        }
    }
}

/// A database that holds as many connections as it may resets further ones; one
/// that is gone would not have taken the connection up.
fn startup_error(error: ExchangeError) -> OpenError {
    match error {
        ExchangeError::Closed => OpenError::Limit,
        ExchangeError::Unanswered | ExchangeError::Malformed => OpenError::Unreachable,
    }
}

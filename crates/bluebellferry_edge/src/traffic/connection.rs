//! A connection to a database.

use std::collections::BTreeMap;
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
use bluebellferry_session::statement;
use bluebellferry_types::name;
use bluebellferry_types::position;
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
    /// The answer is malformed.
    #[error("the answer cannot be decoded")]
    Malformed,
}

/// The reason why a connection could not be brought into the state of a session. No statement was
/// sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SetupError {
    /// The database refused a step. The connection can still be used.
    #[error("the database refused to {step} the connection's session state ({})", error.as_str())]
    Refused {
        /// The kind of the first refused step.
        step: &'static str,
        /// The error with which the database refused it.
        error: database::DatabaseError,
    },
    /// A step cannot be sent as one message. The connection can still be used.
    #[error("the session state cannot be sent to a database: {0}")]
    NotSendable(#[from] line::FieldError),
    /// A step got no answer. The connection must not be used any more.
    #[error("{0}")]
    NoAnswer(#[from] ExchangeError),
}

impl SetupError {
    /// Returns whether the database refused to discard what the connection has.
    pub fn is_refused_reset(&self) -> bool {
        let reset = connection_state::SetupStep::Reset.kind_label();
        matches!(self, Self::Refused { step, .. } if *step == reset)
    }
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
    /// The settings and prepared statements that the database acknowledged.
    state: connection_state::ConnectionState,
    /// The transaction status after the last answer.
    transaction_status: state::TransactionStatus,
    stream: TcpStream,
    decoder: line::LineDecoder,
}

impl DatabaseConnection {
    /// Opens a connection for a workspace, and sets it up for the statement that is expected to use
    /// it first, which saves that statement a round trip. A step that the database refuses leaves
    /// the connection open, but not set up.
    ///
    /// # Errors
    /// Returns the reason why the connection could not be opened.
    pub async fn open(
        index: pool::DatabaseIndex,
        entry: &catalog::DatabaseEntry,
        workspace: &name::WorkspaceName,
        number: u64,
        needs: &connection_state::SessionNeeds,
        mut observe: impl FnMut(&connection_state::SetupStep, Option<database::DatabaseError>),
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
        let mut steps = connection
            .state
            .plan_setup(&needs.settings, needs.query.as_ref(), true);
        let mut optional = connection.state.plan_optional(&needs.optional, &steps);
        match encode_steps(&steps).and_then(|encoded| Ok(encoded + &encode_steps(&optional)?)) {
            Ok(encoded) => text.push_str(&encoded),
            // The statement itself will be refused for this reason.
            Err(_) => {
                steps.clear();
                optional.clear();
            }
        }
        connection.send(&text).await.map_err(startup_error)?;
        let line = connection
            .next_line(deadline)
            .await
            .map_err(startup_error)?;
        match database::decode_answer_line(&line) {
            Ok(database::AnswerLine::Ready { .. }) => {
                let received = connection
                    .receive_setup(&steps, deadline, &mut observe)
                    .await;
                if let Err(SetupError::NoAnswer(_)) = received {
                    return Err(OpenError::Unreachable);
                }
                for step in &optional {
                    let answer = connection.receive_answer(deadline).await;
                    let answer = answer.map_err(|_| OpenError::Unreachable)?;
                    observe(step, answer.error);
                    // A name that was refused is never used.
                    if answer.error.is_none() {
                        connection.state.record_acknowledged(step);
                    }
                }
                Ok(connection)
            }
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

    /// Returns whether the database has acknowledged exactly these session settings and, if `query`
    /// is given, a prepared statement for it.
    pub fn is_set_up(
        &self,
        settings: &BTreeMap<String, String>,
        query: Option<&statement::PreparedQuery>,
    ) -> bool {
        self.state.is_set_up(settings, query)
    }

    /// Gives the connection exactly these session settings and, if `query` is given, a prepared
    /// statement for it. Calls `observe` with each step and the error with which the database
    /// refused it, if it did.
    ///
    /// # Errors
    /// Returns the reason why the connection is not in that state.
    pub async fn set_up(
        &mut self,
        settings: &BTreeMap<String, String>,
        query: Option<&statement::PreparedQuery>,
        deadline: Instant,
        observe: impl FnMut(&connection_state::SetupStep, Option<database::DatabaseError>),
    ) -> Result<(), SetupError> {
        let may_reset = self.has_ended_transaction();
        let steps = self.state.plan_setup(settings, query, may_reset);
        if steps.is_empty() {
            return Ok(());
        }
        let text = encode_steps(&steps)?;
        self.send(&text).await?;
        self.receive_setup(&steps, deadline, observe).await
    }

    /// Receives the answers to setup steps that were sent.
    async fn receive_setup(
        &mut self,
        steps: &[connection_state::SetupStep],
        deadline: Instant,
        mut observe: impl FnMut(&connection_state::SetupStep, Option<database::DatabaseError>),
    ) -> Result<(), SetupError> {
        // Until all answers are there, also if this future is dropped, the state is unknown.
        let mut state = std::mem::take(&mut self.state);
        self.state.forget();
        let mut refused = None;
        for step in steps {
            let answer = self.receive_answer(deadline).await?;
            observe(step, answer.error);
            match answer.error {
                None => state.record_acknowledged(step),
                Some(error) => {
                    // Whatever the error says of the step's effect, a reset makes it certain.
                    state.forget();
                    let step = step.kind_label();
                    refused = refused.or(Some(SetupError::Refused { step, error }));
                }
            }
        }
        self.state = state;
        refused.map_or(Ok(()), Err)
    }

    /// Returns the connection for one statement, if the database has acknowledged exactly these
    /// session settings and what the statement needs to be prepared, has a transaction open or not
    /// as `is_in_transaction` says, and has sent nothing since its last answer.
    pub fn for_statement<'a>(
        &'a mut self,
        settings: &BTreeMap<String, String>,
        text: &'a statement::StatementText,
        is_in_transaction: bool,
    ) -> Option<StatementConnection<'a>> {
        let is_set_up = self.is_set_up(settings, text.prepared_query());
        if !is_set_up || self.has_ended_transaction() == is_in_transaction || !self.is_usable() {
            return None;
        }
        let text = match text {
            statement::StatementText::Verbatim(text) => database::SentText::Verbatim(text),
            statement::StatementText::Execute { query, arguments } => database::SentText::Execute {
                name: self.state.prepared_name(query)?,
                arguments: arguments.as_deref(),
            },
        };
        Some(StatementConnection {
            connection: self,
            text,
        })
    }

    async fn send(&mut self, text: &str) -> Result<(), ExchangeError> {
        self.stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| ExchangeError::Closed)
    }

    /// Receives the complete answer to one statement.
    ///
    /// # Errors
    /// Returns the reason why there is no answer. The connection must not be used any more.
    async fn receive_answer(
        &mut self,
        deadline: Instant,
    ) -> Result<database::DatabaseAnswer, ExchangeError> {
        let mut collector = database::AnswerCollector::default();
        loop {
            let line = self.next_line(deadline).await?;
            let result = collector.add_line(line);
            if let Some(answer) = result.map_err(|_| ExchangeError::Malformed)? {
                self.transaction_status = answer.transaction_status;
                return Ok(answer);
            }
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

/// Encodes setup steps.
///
/// # Errors
/// Returns an error if one of them cannot be sent as one message.
fn encode_steps(steps: &[connection_state::SetupStep]) -> Result<String, line::FieldError> {
    let mut text = String::new();
    for step in steps {
        database::encode_setup(&mut text, step)?;
    }
    Ok(text)
}

/// A connection that may run one certain statement: the database has acknowledged the settings and
/// prepared statements of the session that sent it. There is no other way to send a statement.
#[derive(Debug)]
pub struct StatementConnection<'a> {
    connection: &'a mut DatabaseConnection,
    text: database::SentText<'a>,
}

/// A statement that is encoded for its connection.
#[derive(Debug)]
pub struct EncodedStatement<'a> {
    connection: &'a mut DatabaseConnection,
    message: String,
}

impl<'a> StatementConnection<'a> {
    /// Encodes the statement. If `min_position` is given, the database must have replayed its log up
    /// to there.
    ///
    /// # Errors
    /// Returns an error if the statement cannot be sent as one message.
    pub fn encode(
        self,
        request_id: &str,
        min_position: Option<position::LogPosition>,
    ) -> Result<EncodedStatement<'a>, line::FieldError> {
        let mut message = String::new();
        database::encode_statement(&mut message, request_id, min_position, self.text)?;
        Ok(EncodedStatement {
            connection: self.connection,
            message,
        })
    }
}

impl EncodedStatement<'_> {
    /// Returns the database that will run the statement.
    pub fn database(&self) -> pool::DatabaseIndex {
        self.connection.database
    }

    /// Sends the statement and receives its answer.
    ///
    /// # Errors
    /// Returns the reason why there is no answer. The statement may have run, and the connection must
    /// not be used any more.
    pub async fn run(self, deadline: Instant) -> Result<database::DatabaseAnswer, ExchangeError> {
        let connection = self.connection;
        connection.send(&self.message).await?;
        let answer = connection.receive_answer(deadline).await?;
        if answer.error == Some(database::DatabaseError::UnknownPreparedStatement) {
            connection.state.forget();
        }
        Ok(answer)
    }
}

/// Maps an error during the handshake to the reason why the connection could not be opened. A
/// database that has reached its connection limit resets further connections after the TCP
/// connect; a database that is down would not have accepted the TCP connection.
fn startup_error(error: ExchangeError) -> OpenError {
    match error {
        ExchangeError::Closed => OpenError::ConnectionLimit,
        ExchangeError::TimedOut | ExchangeError::Malformed => OpenError::Unreachable,
    }
}

//! Sending of orders to databases: to report their status, to step down, and to stop or
//! resume receiving the leader's log.

use std::time::Duration;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_platform::http;
use bluebellferry_platform::line;
use bluebellferry_types::name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// The timeout of an order. Allows for several round trips between regions and for the wait
/// for a connection slot.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// The reason why the result of an order is unknown or missing.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The database cannot be reached.
    #[error("the database cannot be reached: {0}")]
    Io(#[from] std::io::Error),
    /// The database did not answer in time.
    #[error("the database did not answer in time")]
    Unanswered(#[from] tokio::time::error::Elapsed),
    /// The database sent an answer of an unexpected form.
    #[error(transparent)]
    Malformed(#[from] database::AnswerError),
    /// The database sent a line that cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] line::LineError),
    /// The database refused the order.
    #[error("the database refused the order: {}", .0.as_str())]
    Refused(database::DatabaseError),
}

/// A connection to one database for orders. As long as it is open, the database has not
/// restarted.
#[derive(Debug)]
pub struct OrderConnection {
    stream: tokio::net::TcpStream,
    decoder: line::LineDecoder,
}

impl OrderConnection {
    /// Opens a connection to a database and waits until the database has accepted it.
    ///
    /// # Errors
    /// Returns an error if the database cannot be reached or refuses the connection.
    pub async fn open(
        entry: &catalog::DatabaseEntry,
        workspace: &name::WorkspaceName,
    ) -> Result<Self, OrderError> {
        let mut connection = Self::connect(entry).await?;
        let startup = encode_startup(entry, workspace);
        connection.stream.write_all(startup.as_bytes()).await?;
        connection.receive_answer().await?;
        Ok(connection)
    }

    async fn connect(entry: &catalog::DatabaseEntry) -> Result<Self, OrderError> {
        let stream = http::connect(entry.address, ORDER_TIMEOUT).await?;
        // Dropping the stream resets the connection, so that an order that timed out does not
        // reach the database later.
        stream.set_zero_linger()?;
        Ok(Self {
            stream,
            decoder: line::LineDecoder::default(),
        })
    }

    /// Sends an order and returns the status that the database reports after carrying it out. If
    /// the returned future is dropped, the connection must not be used any more.
    ///
    /// # Errors
    /// Returns an error if the database refuses the order or does not answer it. After any other
    /// error than [`OrderError::Refused`], the connection must not be used any more.
    pub async fn send(
        &mut self,
        order: database::DatabaseOrder,
    ) -> Result<database::DatabaseStatus, OrderError> {
        let mut out = String::new();
        database::encode_order(&mut out, order);
        self.stream.write_all(out.as_bytes()).await?;
        let row = self.receive_answer().await?.ok_or(database::AnswerError)?;
        Ok(database::decode_status(&row)?)
    }

    /// Receives an answer up to its READY line, and returns its last row.
    async fn receive_answer(&mut self) -> Result<Option<String>, OrderError> {
        let mut row = None;
        let mut refused = None;
        loop {
            while let Some(text) = self.decoder.next_line()? {
                match database::decode_answer_line(&text)? {
                    database::AnswerLine::Row => row = Some(text),
                    database::AnswerLine::Error(error) => refused = Some(error),
                    database::AnswerLine::Ready { .. } => {
                        return refused.map_or(Ok(row), |error| Err(OrderError::Refused(error)));
                    }
                    database::AnswerLine::Complete => {}
                }
            }
            if self.stream.read_buf(self.decoder.buffer_mut()).await? == 0 {
                // A database that refuses a connection closes it without a READY line.
                let closed = || OrderError::Io(std::io::ErrorKind::UnexpectedEof.into());
                return Err(refused.map_or_else(closed, OrderError::Refused));
            }
        }
    }
}

/// Sends an order on a connection of its own and returns the status that the database
/// reports after carrying it out.
///
/// # Errors
/// Returns an error if the database refuses the order, or if no valid answer arrives
/// within [`ORDER_TIMEOUT`]. In the latter case it may have carried out the order.
pub async fn send_order(
    entry: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
    order: database::DatabaseOrder,
) -> Result<database::DatabaseStatus, OrderError> {
    tokio::time::timeout(ORDER_TIMEOUT, send_and_receive(entry, workspace, order)).await?
}

/// Sends the order along with the startup message, which saves a round trip.
async fn send_and_receive(
    entry: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
    order: database::DatabaseOrder,
) -> Result<database::DatabaseStatus, OrderError> {
    let mut connection = OrderConnection::connect(entry).await?;
    let mut out = encode_startup(entry, workspace);
    database::encode_order(&mut out, order);
    connection.stream.write_all(out.as_bytes()).await?;
    connection.receive_answer().await?;
    let row = connection.receive_answer().await?;
    Ok(database::decode_status(&row.ok_or(database::AnswerError)?)?)
}

fn encode_startup(entry: &catalog::DatabaseEntry, workspace: &name::WorkspaceName) -> String {
    let mut out = String::new();
    database::encode_startup(&mut out, &entry.service, workspace, &entry.id);
    out
}

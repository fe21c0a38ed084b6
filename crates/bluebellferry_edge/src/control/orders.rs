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

async fn send_and_receive(
    entry: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
    order: database::DatabaseOrder,
) -> Result<database::DatabaseStatus, OrderError> {
    let mut stream = http::connect(entry.address, ORDER_TIMEOUT).await?;
    // Dropping the stream resets the connection, so that an order that timed out does not
    // reach the database later.
    stream.set_zero_linger()?;
    let mut decoder = line::LineDecoder::default();
    let mut out = String::new();
    let (service, id) = (entry.service.as_str(), entry.id.as_str());
    database::encode_startup(&mut out, service, workspace.as_str(), id);
    database::encode_order(&mut out, order);
    stream.write_all(out.as_bytes()).await?;
    let mut row = None;
    let mut is_session_ready = false;
    loop {
        while let Some(text) = decoder.next_line()? {
            match database::decode_answer_line(&text)? {
                database::AnswerLine::Row => row = Some(text),
                database::AnswerLine::Error(error) => {
                    return Err(OrderError::Refused(error));
                }
                database::AnswerLine::Ready { .. } if is_session_ready => {
                    let row = row.ok_or(database::AnswerError)?;
                    return Ok(database::decode_status(&row)?);
                }
                database::AnswerLine::Ready { .. } => is_session_ready = true,
                database::AnswerLine::Complete => {}
            }
        }
        if stream.read_buf(decoder.buffer_mut()).await? == 0 {
            return Err(OrderError::Io(std::io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

//! Orders to databases that are part of a replacement.

use std::time::Duration;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_platform::http;
use bluebellferry_platform::line;
use bluebellferry_types::name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// How long an order may take: several round trips between regions and the
/// wait for a slot.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// The reason an order has no result.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The database cannot be reached.
    #[error("the database cannot be reached: {0}")]
    Io(#[from] std::io::Error),
    /// No answer came in time.
    #[error("no answer came in time")]
    Unanswered(#[from] tokio::time::error::Elapsed),
    /// The database sent what is not an answer.
    #[error(transparent)]
    Malformed(#[from] database::AnswerError),
    /// The database sent what cannot be read.
    #[error(transparent)]
    Unreadable(#[from] line::LineError),
    /// The database refuses.
    #[error("the database refuses: {}", .0.as_str())]
    Refused(database::DatabaseError),
}

/// Gives an order on a connection of its own and returns the database's state.
///
/// # Errors
/// Tells why there is no result; the order may have been carried out.
pub async fn send_order(
    entry: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
    order: database::DatabaseOrder,
) -> Result<database::DatabaseStatus, OrderError> {
    tokio::time::timeout(ORDER_TIMEOUT, exchange(entry, workspace, order)).await?
}

async fn exchange(
    entry: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
    order: database::DatabaseOrder,
) -> Result<database::DatabaseStatus, OrderError> {
    let mut stream = http::connect(entry.address, ORDER_TIMEOUT).await?;
    // An order that is given up must not arrive later.
    stream.set_zero_linger()?;
    let mut decoder = line::LineDecoder::default();
    let mut out = String::new();
    let (service, id) = (entry.service.as_str(), entry.id.as_str());
    database::encode_startup(&mut out, service, workspace.as_str(), id);
    database::encode_order(&mut out, order);
    stream.write_all(out.as_bytes()).await?;
    let mut row = None;
    let mut has_started = false;
    loop {
        while let Some(text) = decoder.next_line()? {
            match database::decode_answer_line(&text)? {
                database::AnswerLine::Row => row = Some(text),
                database::AnswerLine::Error(error) => {
                    return Err(OrderError::Refused(error));
                }
                database::AnswerLine::Ready { .. } if has_started => {
                    let row = row.ok_or(database::AnswerError)?;
                    return Ok(database::decode_status(&row)?);
                }
                database::AnswerLine::Ready { .. } => has_started = true,
                database::AnswerLine::Complete => {}
            }
        }
        if stream.read_buf(decoder.buffer_mut()).await? == 0 {
            return Err(OrderError::Io(std::io::ErrorKind::UnexpectedEof.into()));
        }
    }
}

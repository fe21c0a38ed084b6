//! Positions in the replicated log of a database group.

use serde::Deserialize;
use serde::Serialize;

/// The position of one log entry: the term in which the entry was written, and its offset.
///
/// Positions are ordered by term first. A promotion preserves every acknowledged write, so a
/// database that replayed an entry of a newer term contains all acknowledged writes of older terms,
/// whatever the offsets of these writes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the primary that wrote the entry; each promotion starts a new term.
    pub term: u64,
    /// The number of the entry in the log, counted from 1 across all terms.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a position from its term and offset.
    pub const fn new(term: u64, offset: u64) -> Self {
        Self { term, offset }
    }
}

/// The error for a text that is not of the form `term/offset`. Contains at most the first 64
/// characters of the text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a position of the form term/offset")]
pub struct PositionError(pub String);

impl std::str::FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let error = || PositionError(text.chars().take(64).collect());
        let (term, offset) = text.split_once('/').ok_or_else(error)?;
        let term = term.parse().map_err(|_| error())?;
        let offset = offset.parse().map_err(|_| error())?;
        Ok(Self { term, offset })
    }
}

impl std::fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.term, self.offset)
    }
}

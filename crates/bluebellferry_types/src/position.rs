//! Positions in a database group's replicated log.

use serde::Deserialize;
use serde::Serialize;

/// A place in a group's log: the term that wrote the entry and its offset.
///
/// Positions order by term first. A promotion keeps every acknowledged write,
/// so whatever has replayed an entry of a newer term holds all acknowledged
/// writes of older terms, whatever their offsets.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the primary that wrote the entry.
    pub term: u64,
    /// The number of the entry, counted from 1 over all terms.
    pub offset: u64,
}

impl LogPosition {
    /// Creates a position.
    pub const fn new(term: u64, offset: u64) -> Self {
        Self { term, offset }
    }
}

/// The text is not a position of the form `term/offset`.
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

//! What callers record.

use serde::Deserialize;
use serde::Serialize;

/// What a caller was told about a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// It was acknowledged.
    Acknowledged,
    /// It was refused as not run.
    NotRun,
    /// Whether it ran could not be told.
    Unknown,
}

/// One request as its caller saw it. Times are microseconds since the start of
/// the run, on one clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerEvent {
    /// An insert of a row with a unique number.
    Write {
        /// The caller; the same one after roaming to another proxy.
        session: u64,
        /// The row's number.
        row: u64,
        /// When it was sent.
        started_us: u64,
        /// When it was answered.
        ended_us: u64,
        /// What the answer was.
        outcome: WriteOutcome,
    },
    /// A read of one row.
    Read {
        /// The caller.
        session: u64,
        /// The row's number.
        row: u64,
        /// When it was sent.
        started_us: u64,
        /// Whether the row was there.
        found: bool,
    },
    /// A transaction that wrote a row to each of two tables; `second` tells
    /// what was found there when both were read in one transaction.
    PairRead {
        /// The row's number.
        row: u64,
        /// Whether the first table had it.
        first: bool,
        /// Whether the second table had it.
        second: bool,
    },
    /// A request that was admitted for a workspace.
    Admitted {
        /// The workspace's number.
        workspace: u64,
        /// When it was admitted.
        at_us: u64,
    },
}

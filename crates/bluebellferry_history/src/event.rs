//! Events that callers record.

use serde::Deserialize;
use serde::Serialize;

/// The outcome of a write, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The write was refused with the promise that it did not run.
    NotRun,
    /// The caller can't know whether the write ran.
    Unknown,
}

/// A request as its caller observed it.
///
/// Times are microseconds since the start of the test, on one clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerEvent {
    /// An insert of a row with a unique number.
    Write {
        /// The caller's number; unchanged by a reconnect to another proxy.
        session: u64,
        /// The row's number.
        row: u64,
        /// When the request was sent.
        started_us: u64,
        /// When the answer arrived.
        ended_us: u64,
        /// The outcome that was reported to the caller.
        outcome: WriteOutcome,
    },
    /// A read of one row.
    Read {
        /// The caller's number.
        session: u64,
        /// The row's number.
        row: u64,
        /// When the request was sent.
        started_us: u64,
        /// Whether the row was returned.
        found: bool,
    },
    /// A read, in one transaction, of the two rows that another transaction had
    /// written to two tables.
    PairRead {
        /// The row's number.
        row: u64,
        /// Whether the first table had the row.
        first: bool,
        /// Whether the second table had the row.
        second: bool,
    },
    /// A request that was admitted for a workspace.
    Admitted {
        /// The workspace's number.
        workspace: u64,
        /// When the request was admitted.
        at_us: u64,
    },
}

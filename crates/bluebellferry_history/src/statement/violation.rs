//! Promises that a history broke.

use bluebellferry_types::position;
use serde::Serialize;

/// A promise that was broken, with the statement or thing that shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum StatementViolation {
    /// A read ran on a log that lacks a commit which it had to see.
    StaleRead {
        /// The read's id.
        request: String,
        /// The database that ran it.
        database: String,
        /// The end of the log that it ran on.
        position: position::LogPosition,
        /// A commit that the log lacks.
        missing: position::LogPosition,
    },
    /// A promoted database lacks an acknowledged commit.
    LostCommit {
        /// The commit's place.
        commit: position::LogPosition,
        /// The promoted database.
        database: String,
    },
    /// Two databases acknowledged commits in one term.
    SharedTerm {
        /// The service.
        service: String,
        /// The term.
        term: u64,
    },
    /// A caller was told of a commit at a leader that had been replaced before.
    DeposedWrite {
        /// The id of the statement that committed.
        request: String,
        /// The replaced leader.
        database: String,
    },
    /// Two VMs used one fencing token, or a lower one than another had used.
    DutyConflict {
        /// The later caller.
        holder: String,
        /// Its token.
        token: u64,
    },
    /// A write took effect twice.
    DoubledWrite {
        /// The write's id.
        request: String,
    },
    /// A write was kept although the caller was promised that nothing is.
    UntrueRefusal {
        /// The refused statement's id.
        request: String,
        /// The commit's place.
        commit: position::LogPosition,
    },
    /// A database ran what no caller had sent, or with another text.
    UnaskedRun {
        /// The id that it came with.
        request: String,
        /// The database.
        database: String,
    },
    /// A caller got an answer that no database had given to its request.
    ForeignAnswer {
        /// The request's id.
        request: String,
    },
    /// A statement ran in another caller's transaction or outside its own.
    MixedTransaction {
        /// The statement's id.
        request: String,
    },
    /// A statement ran with other session values than its caller had set.
    ForeignValues {
        /// The statement's id.
        request: String,
    },
    /// A caller's key reached a database.
    LeakedKey {
        /// The database.
        database: String,
    },
    /// An answer that a database had given was held back or lost on the way.
    HeldAnswer {
        /// The request's id.
        request: String,
        /// When the database had answered.
        decided_us: u64,
    },
    /// A window held more of a workspace's operations than its rate allows.
    RateOvershoot {
        /// The workspace.
        workspace: String,
        /// When the window began.
        from_us: u64,
        /// How many operations it held.
        count: usize,
        /// How many it may hold.
        allowed: usize,
    },
    /// A statement ran that no configuration had ever allowed.
    ForbiddenRun {
        /// The statement's id.
        request: String,
        /// The database.
        database: String,
    },
    /// A request was handled as only a superseded version allows: its key or
    /// route had been withdrawn, moved or added long enough before.
    StaleVersion {
        /// The request's id.
        request: String,
        /// The version that had to be in force.
        version: u64,
    },
    /// A VM fell back to a version older than one that it had shown.
    RevertedVersion {
        /// The request's id.
        request: String,
        /// The version that had shown before.
        version: u64,
    },
    /// An orderly stop or a reload cut a request that the VM had taken.
    CutRequest {
        /// The request's id.
        request: String,
        /// The VM.
        vm: String,
    },
    /// A VM served nothing, or all together less than a quarter, although no
    /// fault was left.
    MissingRecovery {
        /// The VM; none for all together.
        vm: Option<String>,
        /// Since when.
        since_us: u64,
        /// How many requests were sent meanwhile.
        asked: usize,
    },
    /// A statement reached a database long after that was known to leave.
    LeavingDatabaseUsed {
        /// The statement's id.
        request: String,
        /// The database.
        database: String,
    },
}

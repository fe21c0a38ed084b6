//! Guarantees that a history violates.

use bluebellferry_types::position;
use serde::Serialize;

/// A violated guarantee, with the statement, commit or VM that shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum StatementViolation {
    /// A read ran on a database whose log lacks a commit that the read had to
    /// include.
    StaleRead {
        /// The read's id.
        request: String,
        /// The identity of the database that ran the read.
        database: String,
        /// The end of that database's log when the read ran.
        position: position::LogPosition,
        /// The position of a commit that the log lacks.
        missing: position::LogPosition,
    },
    /// A promoted database lacks a commit that was acknowledged before.
    LostCommit {
        /// The commit's position.
        commit: position::LogPosition,
        /// The identity of the promoted database.
        database: String,
    },
    /// Two databases acknowledged commits in one term.
    SharedTerm {
        /// The service whose group the databases belong to.
        service: String,
        /// The term in which both acknowledged commits.
        term: u64,
    },
    /// A caller was told that a write succeeded although the leader that committed
    /// the write had been replaced before.
    DeposedWrite {
        /// The id of the statement that committed.
        request: String,
        /// The identity of the replaced leader.
        database: String,
    },
    /// A call to the promotion API used another VM's fencing token or a lower one
    /// than an earlier call.
    DutyConflict {
        /// The name of the VM that made the call.
        holder: String,
        /// The call's fencing token.
        token: u64,
    },
    /// A write was committed more than once.
    DoubledWrite {
        /// The write's id.
        request: String,
    },
    /// A write was committed although its caller was told that nothing was
    /// committed.
    UntrueRefusal {
        /// The refused statement's id.
        request: String,
        /// The commit's position.
        commit: position::LogPosition,
    },
    /// A database executed or committed a statement that no caller had sent, or that
    /// differs from the one sent.
    UnaskedRun {
        /// The id that the statement carried.
        request: String,
        /// The database's identity.
        database: String,
    },
    /// A caller got an answer that no database had given to this request.
    ForeignAnswer {
        /// The request's id.
        request: String,
    },
    /// A statement ran in another attempt's transaction or outside its own.
    MixedTransaction {
        /// The statement's id.
        request: String,
    },
    /// A statement ran with session settings other than its caller had set.
    ForeignValues {
        /// The statement's id.
        request: String,
    },
    /// A prepared statement ran another shape than its caller had prepared.
    ForeignShape {
        /// The statement's id.
        request: String,
        /// The shape that its caller had prepared.
        prepared: Option<String>,
        /// The shape that ran.
        ran: Option<String>,
    },
    /// A database did not know the name of a prepared statement.
    UnknownShape {
        /// The statement's id.
        request: String,
        /// The database's identity.
        database: String,
    },
    /// A database received a caller's API key.
    LeakedKey {
        /// The database's identity.
        database: String,
    },
    /// A database's answer was delayed or lost on the way to the caller.
    HeldAnswer {
        /// The request's id.
        request: String,
        /// When the database answered.
        decided_us: u64,
    },
    /// More of a workspace's operations ran within a time window than its rate limit
    /// allows.
    RateOvershoot {
        /// The workspace's name.
        workspace: String,
        /// When the window began.
        from_us: u64,
        /// How many operations ran in the window.
        count: usize,
        /// The maximum number of operations in the window.
        allowed: usize,
    },
    /// A statement ran that no version of the configuration had allowed until then.
    ForbiddenRun {
        /// The statement's id.
        request: String,
        /// The database's identity.
        database: String,
    },
    /// A request was handled in a way that only a superseded version of the
    /// configuration allows, although a newer version, with its route or API key
    /// changed, had to be in force by then.
    StaleVersion {
        /// The request's id.
        request: String,
        /// The number of the version that had to be in force.
        version: u64,
    },
    /// A VM used an older version of the configuration after a newer one.
    RevertedVersion {
        /// The request's id.
        request: String,
        /// The number of the newer version that the VM had used before.
        version: u64,
    },
    /// A transaction was ended although nothing but its route had changed.
    InterruptedTransaction {
        /// The id of the refused statement.
        request: String,
    },
    /// An orderly stop or a reload of a VM interrupted a request that the VM had
    /// accepted.
    CutRequest {
        /// The request's id.
        request: String,
        /// The VM's name.
        vm: String,
    },
    /// Although no fault was active, a VM answered no request successfully, or all
    /// VMs together answered less than a quarter of the requests.
    MissingRecovery {
        /// The VM's name; `None` for all VMs together.
        vm: Option<String>,
        /// When the failing period began.
        since_us: u64,
        /// How many requests were sent in the period.
        asked: usize,
    },
    /// A statement was sent to a draining database after the time at which VMs had to
    /// have stopped using it.
    LeavingDatabaseUsed {
        /// The statement's id.
        request: String,
        /// The database's identity.
        database: String,
    },
    /// A statement was sent to a database after the time at which VMs had to have stopped using
    /// its evacuated data centre.
    EvacuatedDatabaseUsed {
        /// The statement's id.
        request: String,
        /// The database's identity.
        database: String,
    },
}

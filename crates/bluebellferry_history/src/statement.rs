//! Statements as callers sent them and as databases ran them.
//!
//! Callers, databases and whoever injects faults record one
//! [`StatementHistory`]; [`check_statements`] returns every promise that it
//! breaks. All times are microseconds on [`crate::recorder::now_us`].

use std::collections::BTreeMap;

use bluebellferry_types::position;
use serde::Deserialize;
use serde::Serialize;

mod answers;
mod bounds;
mod commits;
mod configurations;
mod index;
mod rates;
mod reads;
mod service;
mod violation;

pub use bounds::HistoryBounds;
pub use violation::StatementViolation;

/// Which commits a route's reads must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// All that were acknowledged before.
    Primary,
    /// Those that were acknowledged longer ago than the bound.
    BoundedAge {
        /// The bound in microseconds.
        bound_us: u64,
    },
    /// Those of the same session and those that are older than the bound.
    ReadYourWrites {
        /// The bound in microseconds.
        bound_us: u64,
    },
}

/// What a statement does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementAction {
    /// Opens a session.
    Start,
    /// Opens a transaction.
    Begin,
    /// Reads an item, by text or by a prepared statement.
    Read,
    /// Writes an item, by text or by a prepared statement.
    Write,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Changes the session: its values and prepared statements.
    Setup,
}

impl StatementAction {
    /// Returns whether only a database can answer it.
    pub const fn needs_database(self) -> bool {
        matches!(self, Self::Read | Self::Write | Self::Commit)
    }
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementOutcome {
    /// Success.
    Answered {
        /// The database's receipt, `-` if no database was needed.
        receipt: String,
        /// The rows.
        rows: Vec<String>,
    },
    /// Refused with the promise that nothing of the attempt is kept.
    NothingKept,
    /// Refused because no route has the name.
    UnknownRoute,
    /// Refused because of the key.
    KeyRefused,
    /// An error without a promise: whether it ran is not known.
    InDoubt,
    /// The connection ended or no answer came.
    Broken,
}

impl StatementOutcome {
    /// Returns whether the caller was told of a success.
    pub const fn is_success(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }
}

/// A statement as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerStatement {
    /// The connection; a caller that reconnects has a new session.
    pub session: u64,
    /// The attempt at an operation; a retry is another attempt.
    pub attempt: u64,
    /// Whether the attempt is a transaction of several statements.
    pub is_in_transaction: bool,
    /// The statement's id.
    pub request: String,
    /// The VM that the session is connected to.
    pub vm: String,
    /// The route's name.
    pub route: String,
    /// What the route's reads must see.
    pub kind: RouteKind,
    /// How long a statement may take on this route, in microseconds.
    pub timeout_us: u64,
    /// The caller's key.
    pub key: String,
    /// What the statement does.
    pub action: StatementAction,
    /// The text; a prepared statement's name stands replaced by kind and shape.
    pub text: String,
    /// The session's values that were acknowledged.
    pub values: BTreeMap<String, String>,
    /// When the first byte was sent.
    pub sent_us: u64,
    /// When the answer was whole, or the caller gave up.
    pub ended_us: u64,
    /// What the caller was told.
    pub outcome: StatementOutcome,
}

/// A statement as a database ran it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseRun {
    /// The statement's id; `-` for the system's own.
    pub request: String,
    /// The database's identity.
    pub database: String,
    /// The service that the database belongs to.
    pub service: String,
    /// The workspace that the connection was opened for.
    pub workspace: String,
    /// The database's connection, unique in the run.
    pub connection: u64,
    /// The database's transaction, unique in the run.
    pub transaction: Option<u64>,
    /// What the statement did.
    pub action: StatementAction,
    /// The text; a prepared statement's name stands replaced by kind and shape.
    pub text: String,
    /// The values that the connection had.
    pub values: BTreeMap<String, String>,
    /// The end of the log that the statement ran on.
    pub position: position::LogPosition,
    /// When it arrived.
    pub started_us: u64,
    /// When its answer was sent; none if it never was.
    pub ended_us: Option<u64>,
    /// The receipt; none if it failed.
    pub receipt: Option<String>,
    /// The rows.
    pub rows: Vec<String>,
}

/// A commit that wrote, in a primary's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseCommit {
    /// The id of the statement that committed: the single write's or COMMIT's.
    pub request: String,
    /// The ids of the writes that it keeps.
    pub writes: Vec<String>,
    /// The database that committed.
    pub database: String,
    /// The service that the database belongs to.
    pub service: String,
    /// Whether the service waits for a replica before it acknowledges.
    pub is_synchronous: bool,
    /// The commit's place in the log.
    pub position: position::LogPosition,
    /// When it entered the log.
    pub committed_us: u64,
    /// When the database acknowledged it.
    pub acknowledged_us: Option<u64>,
}

/// A database that took the lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabasePromotion {
    /// The database.
    pub database: String,
    /// The service that the database belongs to.
    pub service: String,
    /// The term that it leads.
    pub term: u64,
    /// The end of the log that it kept.
    pub kept: position::LogPosition,
    /// When it took effect.
    pub promoted_us: u64,
}

/// A call of the duty that names a new leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionApiCall {
    /// The VM that called.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// When the call arrived.
    pub arrived_us: u64,
}

/// A route of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredRoute {
    /// The name that callers ask for.
    pub name: String,
    /// The service that runs its statements.
    pub service: String,
}

/// A workspace of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfiguredWorkspace {
    /// The name that databases are told.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its operations a second.
    pub rate_per_s: f64,
    /// The operations that it may send at once.
    pub burst: f64,
}

/// A version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// The version.
    pub version: u64,
    /// When the operator sent it.
    pub sent_us: u64,
    /// When the store confirmed it.
    pub confirmed_us: u64,
    /// The routes.
    pub routes: Vec<ConfiguredRoute>,
    /// The workspaces.
    pub workspaces: Vec<ConfiguredWorkspace>,
}

/// What a fault harms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultTarget {
    /// A VM, its processes, clock, or one of its links.
    Vm(String),
    /// A database or one of its links.
    Database(String),
    /// The store: down, slow, or losing answers.
    StoreAway,
    /// The store in any other way.
    StoreImpaired,
}

/// A fault from its beginning to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSpan {
    /// What it harms.
    pub target: FaultTarget,
    /// When it began.
    pub started_us: u64,
    /// When it ended: for a process, when it was started again; `u64::MAX` for
    /// what is gone for good.
    pub ended_us: u64,
}

/// A signal to a VM. An orderly stop is no fault: the VM counts as stopped
/// until its next start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSignal {
    /// The VM.
    pub vm: String,
    /// Whether it asks for a stop, or else to read the settings again.
    pub is_stop: bool,
    /// When it was sent.
    pub sent_us: u64,
}

/// A start of a VM's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStart {
    /// The VM.
    pub vm: String,
    /// When it was started.
    pub started_us: u64,
}

/// A database that is to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingDatabase {
    /// The database.
    pub database: String,
    /// When the store confirmed that it leaves.
    pub confirmed_us: u64,
}

/// All that was seen in a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StatementHistory {
    /// What callers saw.
    pub statements: Vec<CallerStatement>,
    /// What databases ran.
    pub runs: Vec<DatabaseRun>,
    /// What databases committed.
    pub commits: Vec<DatabaseCommit>,
    /// Databases that took the lead.
    pub promotions: Vec<DatabasePromotion>,
    /// Calls that named them.
    pub duty_calls: Vec<PromotionApiCall>,
    /// Versions of the configuration, oldest first.
    pub configurations: Vec<ConfigurationChange>,
    /// Faults that were injected.
    pub faults: Vec<FaultSpan>,
    /// Signals that announce a stop or ask for a reload.
    pub signals: Vec<VmSignal>,
    /// Starts of VMs.
    pub starts: Vec<VmStart>,
    /// Databases that are to leave.
    pub leaving: Vec<DrainingDatabase>,
}

/// Checks a history; returns every promise that it breaks.
pub fn check_statements(
    history: &StatementHistory,
    bounds: &HistoryBounds,
) -> Vec<StatementViolation> {
    let index = index::HistoryIndex::new(history, bounds);
    let checks: [fn(&index::HistoryIndex<'_>) -> Vec<StatementViolation>; 20] = [
        reads::stale_reads,
        commits::lost_commits,
        commits::shared_terms,
        commits::deposed_writes,
        commits::duty_conflicts,
        commits::doubled_writes,
        commits::untrue_refusals,
        answers::unasked_runs,
        answers::foreign_answers,
        answers::mixed_transactions,
        answers::foreign_values,
        answers::leaked_keys,
        answers::held_answers,
        rates::overshoots,
        configurations::forbidden_runs,
        configurations::stale_versions,
        configurations::reverted_versions,
        service::cut_requests,
        service::missing_recoveries,
        service::used_leaving_databases,
    ];
    checks.iter().flat_map(|check| check(&index)).collect()
}

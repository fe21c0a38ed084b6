//! Checks of statements as callers sent them against databases' executions.
//!
//! Callers, databases and the fault injector record a common
//! [`StatementHistory`]; [`check_statements`] returns every guarantee that the
//! history violates. All times are microseconds of [`crate::recorder::now_us`].

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

/// Which acknowledged commits a route's reads must include.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// All commits that were acknowledged before the read was sent.
    Primary,
    /// Commits that were acknowledged longer than the bound before the read was
    /// sent.
    BoundedAge {
        /// The maximum staleness in microseconds.
        bound_us: u64,
    },
    /// Commits of the read's own session, and others that were acknowledged longer
    /// than the bound before the read was sent.
    ReadYourWrites {
        /// The maximum staleness in microseconds.
        bound_us: u64,
    },
}

/// The kind of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementAction {
    /// Opens a session.
    Start,
    /// Opens a transaction.
    Begin,
    /// Reads an item, by a plain or a prepared statement.
    Read,
    /// Writes an item, by a plain or a prepared statement.
    Write,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Changes the session's settings or prepared statements.
    Setup,
}

impl StatementAction {
    /// Returns whether the statement needs a database; a VM answers all others
    /// itself.
    pub const fn needs_database(self) -> bool {
        matches!(self, Self::Read | Self::Write | Self::Commit)
    }
}

/// The outcome of a statement, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatementOutcome {
    /// The statement succeeded.
    Answered {
        /// The receipt, an id that the database gives to each execution; `-` if no
        /// database was needed.
        receipt: String,
        /// The rows that were returned.
        rows: Vec<String>,
    },
    /// The statement was refused, with the promise that no write of its attempt was
    /// committed.
    NothingKept,
    /// The statement was refused because its route doesn't exist.
    UnknownRoute,
    /// The statement was refused because its API key isn't valid.
    KeyRefused,
    /// The statement failed, and whether it took effect isn't known.
    InDoubt,
    /// The connection was lost or the caller got no answer in time.
    Broken,
}

impl StatementOutcome {
    /// Returns whether the caller was told that the statement succeeded.
    pub const fn is_success(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }
}

/// A statement as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerStatement {
    /// The number of the caller's connection; a reconnect starts a new session.
    pub session: u64,
    /// The number of the attempt at an operation; each retry is a new attempt.
    pub attempt: u64,
    /// Whether the attempt is an explicit transaction of several statements.
    pub is_in_transaction: bool,
    /// The statement's id.
    pub request: String,
    /// The name of the VM that the session is connected to.
    pub vm: String,
    /// The route's name.
    pub route: String,
    /// Which commits the route's reads must include.
    pub kind: RouteKind,
    /// The route's statement timeout in microseconds.
    pub timeout_us: u64,
    /// The caller's API key.
    pub key: String,
    /// The statement's kind.
    pub action: StatementAction,
    /// The text; for a prepared statement, without its name.
    pub text: String,
    /// The kind and template that the caller prepared; `None` for other statements.
    #[serde(default)]
    pub shape: Option<String>,
    /// The session settings whose change was acknowledged.
    pub values: BTreeMap<String, String>,
    /// When the first byte was sent.
    pub sent_us: u64,
    /// When the answer was complete or the caller gave up.
    pub ended_us: u64,
    /// The outcome that was reported to the caller.
    pub outcome: StatementOutcome,
}

/// An execution of a statement by a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseRun {
    /// The statement's id; `-` for a statement that a VM sent on its own.
    pub request: String,
    /// The database's identity.
    pub database: String,
    /// The service whose group the database belongs to.
    pub service: String,
    /// The workspace that the connection was opened for.
    pub workspace: String,
    /// The number of the connection to the database, unique in the test.
    pub connection: u64,
    /// The number of the explicit transaction, unique in the test; `None` outside one.
    pub transaction: Option<u64>,
    /// The statement's kind.
    pub action: StatementAction,
    /// The text; for a prepared statement, without its name.
    pub text: String,
    /// The kind and template under the name of a prepared statement; `None` for other
    /// statements.
    #[serde(default)]
    pub shape: Option<String>,
    /// The connection's session settings.
    pub values: BTreeMap<String, String>,
    /// The end of the database's log when the statement ran.
    pub position: position::LogPosition,
    /// When the statement arrived.
    pub started_us: u64,
    /// When the answer was sent; `None` if none was sent.
    pub ended_us: Option<u64>,
    /// The receipt, an id that the database gives to each execution and sends with
    /// the answer; `None` if the statement failed.
    pub receipt: Option<String>,
    /// The rows that were returned.
    pub rows: Vec<String>,
}

/// A prepared statement that a database did not run, because nothing was prepared under
/// its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownExecution {
    /// The statement's id.
    pub request: String,
    /// The database's identity.
    pub database: String,
}

/// A commit of one or more writes in a primary's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseCommit {
    /// The id of the statement that committed: a single write or a COMMIT.
    pub request: String,
    /// The ids of the write statements that the commit contains.
    pub writes: Vec<String>,
    /// The identity of the database that committed.
    pub database: String,
    /// The service whose group the database belongs to.
    pub service: String,
    /// Whether the service replicates synchronously: a commit is acknowledged only
    /// after a replica has received it.
    pub is_synchronous: bool,
    /// The commit's position in the log.
    pub position: position::LogPosition,
    /// When the commit entered the log.
    pub committed_us: u64,
    /// When the database acknowledged the commit; `None` if it did not.
    pub acknowledged_us: Option<u64>,
}

/// A promotion of a database to primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabasePromotion {
    /// The identity of the promoted database.
    pub database: String,
    /// The service whose group the database belongs to.
    pub service: String,
    /// The term that begins with the promotion.
    pub term: u64,
    /// The end of the promoted database's log; later positions of earlier terms are
    /// lost.
    pub kept: position::LogPosition,
    /// When the promotion took effect.
    pub promoted_us: u64,
}

/// A call to the platform's promotion API, which makes a database the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotionApiCall {
    /// The name of the VM that made the call.
    pub holder: String,
    /// The fencing token that the VM sent.
    pub token: u64,
    /// When the call arrived.
    pub arrived_us: u64,
}

/// A route in a version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredRoute {
    /// The name by which callers request the route.
    pub name: String,
    /// The service that executes the route's statements.
    pub service: String,
    /// Whether callers may use the route without a known key.
    #[serde(default)]
    pub is_public: bool,
}

/// A workspace in a version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfiguredWorkspace {
    /// The workspace's name, which VMs pass on to databases.
    pub name: String,
    /// The workspace's API keys.
    pub keys: Vec<String>,
    /// The rate limit in operations per second.
    pub rate_per_s: f64,
    /// The burst limit in operations.
    pub burst: f64,
}

/// A new version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    /// The version's number.
    pub version: u64,
    /// When the operator sent the version.
    pub sent_us: u64,
    /// When the store confirmed the version.
    pub confirmed_us: u64,
    /// All routes of the version.
    pub routes: Vec<ConfiguredRoute>,
    /// All workspaces of the version.
    pub workspaces: Vec<ConfiguredWorkspace>,
}

/// The component that a fault affects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultTarget {
    /// A VM: its processes, its clock or one of its network links.
    Vm(String),
    /// A database or one of its network links.
    Database(String),
    /// The object store, which is down, slow or loses answers.
    StoreAway,
    /// The object store, which still answers but has any other fault.
    StoreImpaired,
}

/// An injected fault with its start and end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultSpan {
    /// The affected component.
    pub target: FaultTarget,
    /// When the fault began.
    pub started_us: u64,
    /// When the fault ended; for a process, when it was started again. `u64::MAX` if
    /// the fault never ends.
    pub ended_us: u64,
}

/// A signal to a VM to stop or to reload its settings.
///
/// An orderly stop doesn't count as a fault. The VM counts as stopped until its
/// next start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSignal {
    /// The VM's name.
    pub vm: String,
    /// Whether the signal asks for a stop; otherwise it asks for a reload.
    pub is_stop: bool,
    /// When the signal was sent.
    pub sent_us: u64,
}

/// A start of a VM's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStart {
    /// The VM's name.
    pub vm: String,
    /// When the process was started.
    pub started_us: u64,
}

/// A database that is registered as draining.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingDatabase {
    /// The database's identity.
    pub database: String,
    /// When the store confirmed the registration as draining.
    pub confirmed_us: u64,
}

/// A database whose data centre was evacuated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDatabase {
    /// The database's identity.
    pub database: String,
    /// When the store confirmed the evacuation.
    pub confirmed_us: u64,
    /// When the evacuation was taken back; `u64::MAX` if it was not.
    pub ended_us: u64,
}

/// Everything that was recorded in a test.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StatementHistory {
    /// Statements, as callers observed them.
    pub statements: Vec<CallerStatement>,
    /// Executions of statements by databases.
    pub runs: Vec<DatabaseRun>,
    /// Prepared statements whose names databases did not know.
    #[serde(default)]
    pub unknown_executions: Vec<UnknownExecution>,
    /// Commits in the logs of primaries.
    pub commits: Vec<DatabaseCommit>,
    /// Promotions that took effect.
    pub promotions: Vec<DatabasePromotion>,
    /// Calls to the promotion API.
    #[serde(rename = "duty_calls")]
    pub promotion_api_calls: Vec<PromotionApiCall>,
    /// Versions of the configuration, oldest first.
    pub configurations: Vec<ConfigurationChange>,
    /// Injected faults.
    pub faults: Vec<FaultSpan>,
    /// Signals to VMs to stop or to reload.
    pub signals: Vec<VmSignal>,
    /// Starts of VMs' processes.
    pub starts: Vec<VmStart>,
    /// Databases that are registered as draining.
    #[serde(rename = "leaving")]
    pub draining_databases: Vec<DrainingDatabase>,
    /// Databases whose data centres were evacuated.
    #[serde(default)]
    pub evacuated_databases: Vec<EvacuatedDatabase>,
}

/// Checks a history and returns every guarantee that it violates.
pub fn check_statements(
    history: &StatementHistory,
    bounds: &HistoryBounds,
) -> Vec<StatementViolation> {
    let index = index::HistoryIndex::new(history, bounds);
    let checks: [fn(&index::HistoryIndex<'_>) -> Vec<StatementViolation>; 23] = [
        reads::find_stale_reads,
        commits::find_lost_commits,
        commits::find_shared_terms,
        commits::find_replaced_leader_writes,
        commits::find_fencing_token_conflicts,
        commits::find_duplicate_writes,
        commits::find_false_refusals,
        answers::find_unrequested_runs,
        answers::find_mismatched_answers,
        answers::find_mixed_transactions,
        answers::find_mismatched_settings,
        answers::find_mismatched_shapes,
        answers::find_leaked_keys,
        answers::find_delayed_answers,
        rates::find_rate_overshoots,
        configurations::find_forbidden_runs,
        configurations::find_stale_versions,
        configurations::find_reverted_versions,
        configurations::find_interrupted_transactions,
        service::find_interrupted_requests,
        service::find_missing_recoveries,
        service::find_draining_database_uses,
        service::find_evacuated_database_uses,
    ];
    checks.iter().flat_map(|check| check(&index)).collect()
}

//! Faults that are injected from outside the processes.

use serde::Deserialize;
use serde::Serialize;

use crate::relay::DirectionState;

/// The database index that stands for the database that leads when the fault begins.
pub const CURRENT_LEADER: u8 = u8::MAX;

/// A link between two processes. VMs are identified by their initial slots, databases by
/// their indices or [`CURRENT_LEADER`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkName {
    /// From callers to a VM.
    Callers(u8),
    /// From one VM to another.
    Peers(u8, u8),
    /// From a VM to the store.
    Store(u8),
    /// From a VM to the platform's promotion API.
    Duty(u8),
    /// From a VM to a database.
    Database(u8, u8),
}

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFault {
    /// Sets the states of the link's two directions: from the process that the
    /// [`LinkName`] variant mentions first to the other one, and back.
    Ways(DirectionState, DirectionState),
    /// Resets all connections of the link.
    Reset,
    /// Silences all open connections of the link for good; new ones work.
    Silence,
}

/// The kind of a step with which a VM sets up a connection to a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetupVerb {
    /// Drops settings and prepared statements.
    Reset,
    /// Changes a setting.
    Set,
    /// Prepares a statement.
    Prepare,
}

impl SetupVerb {
    /// Returns the first word of such steps.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Reset => "RESET",
            Self::Set => "SET",
            Self::Prepare => "PREPARE",
        }
    }
}

/// The error with which a database refuses a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetupError {
    /// The step did not run.
    Busy,
    /// The step ran and failed.
    Failed,
    /// The step ran for too long.
    Timeout,
}

impl SetupError {
    /// Returns the error's code.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Busy => "BUSY",
            Self::Failed => "FAILED",
            Self::Timeout => "TIMEOUT",
        }
    }
}

/// How databases refuse setup steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetupRefusal {
    /// The kind of the refused steps.
    pub verb: SetupVerb,
    /// The error.
    pub error: SetupError,
    /// Whether the refused steps take effect nevertheless.
    pub takes_effect: bool,
    /// Whether a refused step fails the transaction that is open on its connection.
    pub fails_transaction: bool,
}

/// The workspace that has the roaming key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOwner {
    /// No workspace: the key is withdrawn.
    Nobody,
    /// The workspace that has the key while no fault changes it.
    Visitors,
    /// Another workspace.
    Clubs,
}

/// The route of the callers with the roaming key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteState {
    /// There is no such route.
    Absent,
    /// Callers need a key.
    Private,
    /// Callers need no key.
    Public,
    /// The route leads to a service without databases.
    Elsewhere,
}

/// What a version of the configuration says about the callers with the roaming key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccessState {
    /// The workspace that has their key.
    pub owner: KeyOwner,
    /// Their route.
    pub route: RouteState,
}

impl AccessState {
    /// The state while no fault changes it.
    pub const DEFAULT: Self = Self {
        owner: KeyOwner::Visitors,
        route: RouteState::Private,
    };
}

/// A fault and what it affects.
///
/// VMs are identified by their initial slots: if a VM was replaced, the fault affects its
/// successor. Databases are identified by their indices or [`CURRENT_LEADER`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// Sends SIGTERM to VMs, which are started again after they have exited.
    Stop(Vec<u8>),
    /// Sends SIGHUP to a VM, which reloads its settings.
    Reload(u8),
    /// Sends SIGSTOP to VMs, and SIGCONT at the end of the fault.
    Freeze(Vec<u8>),
    /// Sends SIGKILL to VMs, which are started again at the end of the fault.
    Kill(Vec<u8>),
    /// Sends SIGKILL to a VM, and starts another VM at another address.
    Replace(u8),
    /// Affects links.
    Link(Vec<LinkName>, LinkFault),
    /// Publishes a configuration with this rate limit in operations per second, and the
    /// default limit at the end of the fault.
    Rate(u32),
    /// Gives callers a new API key and withdraws the previous one.
    WithdrawKey,
    /// Publishes versions that change the roaming key and its route, one right after the
    /// other, and the default at the end of the fault.
    ChangeAccess(Vec<AccessState>),
    /// Registers a database as draining; at the end of the fault it crashes and restarts
    /// under another identity.
    Leave(u8),
    /// Makes the store refuse all calls.
    StoreDown,
    /// Makes the store delay every call by this number of milliseconds before it executes
    /// the call.
    StoreSlow(u64),
    /// Makes the store execute writes without answering them.
    StoreLosesAnswers,
    /// Makes the store execute writes late and without answering them.
    StoreWritesLate,
    /// Makes the store discard its history, so that watches must list the objects
    /// again.
    StoreForgets,
    /// Makes the store answer some VMs with status 503.
    StoreTurnsAway(Vec<u8>),
    /// Sets a replica's replication lag to this number of milliseconds.
    Lag(u8, u64),
    /// Stops replication to a database.
    Deafen(u8),
    /// Makes a database unresponsive.
    Silence(u8),
    /// Crashes a database, which restarts with its log at the end of the fault.
    Crash(u8),
    /// Crashes a database, which restarts with its log under another identity at the end
    /// of the fault.
    Rebirth(u8),
    /// Makes a database execute the next statement without answering it.
    LoseAnswer,
    /// Evacuates the data centre of a database, until the end of the fault.
    Evacuate(u8),
    /// Makes all databases refuse setup steps of one kind.
    RefuseSetup(SetupRefusal),
}

impl FaultKind {
    /// The names and descriptions of all kinds of faults.
    pub const KINDS: [(&'static str, &'static str); 24] = [
        ("stop", "SIGTERM to VMs, then a restart"),
        ("reload", "SIGHUP to a VM"),
        ("freeze", "SIGSTOP to VMs, later SIGCONT"),
        ("kill", "SIGKILL to VMs, then a restart"),
        (
            "replace",
            "SIGKILL to a VM, then a start of another VM at another address",
        ),
        (
            "link",
            "links are delayed, reset, cut in one or both directions, or silenced, or only their open connections are silenced",
        ),
        ("rate", "a configuration with another rate limit"),
        (
            "withdraw-key",
            "an API key is withdrawn, callers get another",
        ),
        ("leave", "a database drains, another replaces it"),
        ("store-down", "the store refuses all calls"),
        ("store-slow", "the store is slow"),
        ("store-loses-answers", "the store does not answer writes"),
        (
            "store-writes-late",
            "writes to the store take effect after their timeout",
        ),
        ("store-forgets", "the store discards its history"),
        ("store-turns-away", "the store rejects some VMs"),
        ("lag", "a replica's replication lag grows"),
        ("deafen", "a replica receives no log"),
        ("silence", "a database is unresponsive"),
        ("crash", "a database crashes and restarts"),
        (
            "rebirth",
            "a database crashes and restarts under another identity",
        ),
        ("lose-answer", "a statement is executed but not answered"),
        ("evacuate", "the data centre of a database is evacuated"),
        (
            "refuse-setup",
            "databases refuse to set up connections, with or without effect",
        ),
        (
            "change-access",
            "versions change the roaming key, its workspace and its route, also several at once",
        ),
    ];

    /// Returns whether the fault has no duration.
    pub const fn is_instantaneous(&self) -> bool {
        matches!(
            self,
            Self::Reload(_)
                | Self::Link(_, LinkFault::Reset | LinkFault::Silence)
                | Self::WithdrawKey
                | Self::StoreForgets
                | Self::LoseAnswer
        )
    }

    /// Returns the fault with `leader` in place of [`CURRENT_LEADER`].
    pub fn resolve_leader(&self, leader: u8) -> Self {
        let resolve = |database: u8| {
            if database == CURRENT_LEADER {
                leader
            } else {
                database
            }
        };
        match self {
            Self::Link(links, fault) => {
                let link = |link: &LinkName| match *link {
                    LinkName::Database(vm, database) => LinkName::Database(vm, resolve(database)),
                    other => other,
                };
                Self::Link(links.iter().map(link).collect(), *fault)
            }
            Self::Leave(database) => Self::Leave(resolve(*database)),
            Self::Lag(database, millis) => Self::Lag(resolve(*database), *millis),
            Self::Deafen(database) => Self::Deafen(resolve(*database)),
            Self::Silence(database) => Self::Silence(resolve(*database)),
            Self::Crash(database) => Self::Crash(resolve(*database)),
            Self::Rebirth(database) => Self::Rebirth(resolve(*database)),
            Self::Evacuate(database) => Self::Evacuate(resolve(*database)),
            other => other.clone(),
        }
    }

    /// Returns the kind's index in [`Self::KINDS`].
    const fn index(&self) -> usize {
        match self {
            Self::Stop(_) => 0,
            Self::Reload(_) => 1,
            Self::Freeze(_) => 2,
            Self::Kill(_) => 3,
            Self::Replace(_) => 4,
            Self::Link(..) => 5,
            Self::Rate(_) => 6,
            Self::WithdrawKey => 7,
            Self::Leave(_) => 8,
            Self::StoreDown => 9,
            Self::StoreSlow(_) => 10,
            Self::StoreLosesAnswers => 11,
            Self::StoreWritesLate => 12,
            Self::StoreForgets => 13,
            Self::StoreTurnsAway(_) => 14,
            Self::Lag(..) => 15,
            Self::Deafen(_) => 16,
            Self::Silence(_) => 17,
            Self::Crash(_) => 18,
            Self::Rebirth(_) => 19,
            Self::LoseAnswer => 20,
            Self::Evacuate(_) => 21,
            Self::RefuseSetup(_) => 22,
            Self::ChangeAccess(_) => 23,
        }
    }

    /// Returns the kind's name.
    pub const fn name(&self) -> &'static str {
        Self::KINDS[self.index()].0
    }
}

/// A fault with its start and duration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// The start, in milliseconds after the start of the callers.
    pub at_ms: u64,
    /// The duration in milliseconds; 0 for an instantaneous fault.
    pub lasts_ms: u64,
    /// The fault.
    pub kind: FaultKind,
}

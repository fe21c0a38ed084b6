//! Faults that are injected from outside the processes.

use serde::Deserialize;
use serde::Serialize;

use crate::relay::DirectionState;

/// Stands for the database that leads when a fault begins.
pub const CURRENT_LEADER: u8 = u8::MAX;

/// A link between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkName {
    /// From callers to a VM.
    Callers(u8),
    /// From one VM to another.
    Peers(u8, u8),
    /// From a VM to the store.
    Store(u8),
    /// From a VM to the duty call.
    Duty(u8),
    /// From a VM to a database.
    Database(u8, u8),
}

/// What happens to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFault {
    /// Its ways change: there and back.
    Ways(DirectionState, DirectionState),
    /// Its connections are reset.
    Reset,
}

/// A fault. Numbers of VMs are slots, those of databases indices or [`CURRENT_LEADER`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// SIGTERM to some VMs; they are started again once they have ended.
    Stop(Vec<u8>),
    /// SIGHUP.
    Reload(u8),
    /// SIGSTOP, and SIGCONT at the end.
    Freeze(Vec<u8>),
    /// SIGKILL, and a start at the end.
    Kill(Vec<u8>),
    /// SIGKILL; another VM comes at another address.
    Replace(u8),
    /// Something happens to links.
    Link(Vec<LinkName>, LinkFault),
    /// The configuration allows so many operations a second; the usual at the end.
    Rate(u32),
    /// Callers get a new key, and the one that they have is withdrawn.
    WithdrawKey,
    /// A database announces that it leaves, ends, and another comes for it.
    Leave(u8),
    /// The store refuses all calls.
    StoreDown,
    /// The store is slower by so many milliseconds.
    StoreSlow(u64),
    /// The store's answers to writes are lost.
    StoreLosesAnswers,
    /// Writes take effect late and without an answer.
    StoreWritesLate,
    /// The store forgets its history.
    StoreForgets,
    /// The store turns some VMs away.
    StoreTurnsAway(Vec<u8>),
    /// A replica lags by so many milliseconds.
    Lag(u8, u64),
    /// A replica receives nothing.
    Deafen(u8),
    /// A database is silent.
    Silence(u8),
    /// A database crashes, and comes back with its log.
    Crash(u8),
    /// A database crashes, and comes back under another identity.
    Rebirth(u8),
    /// The answer to one statement is lost.
    LoseAnswer,
}

impl FaultKind {
    /// The names of all kinds with what each does.
    pub const KINDS: [(&'static str, &'static str); 21] = [
        ("stop", "SIGTERM to VMs, then a start"),
        ("reload", "SIGHUP to a VM"),
        ("freeze", "SIGSTOP to VMs, later SIGCONT"),
        ("kill", "SIGKILL to VMs, then a start"),
        (
            "replace",
            "a VM is killed, another comes at another address",
        ),
        (
            "link",
            "links are delayed, reset, cut one way or both, silenced",
        ),
        ("rate", "a configuration with another rate"),
        ("withdraw-key", "a key is withdrawn, callers get another"),
        (
            "leave",
            "a database announces that it leaves, another comes for it",
        ),
        ("store-down", "the store refuses all calls"),
        ("store-slow", "the store is slow"),
        ("store-loses-answers", "writes to the store have no answer"),
        ("store-writes-late", "writes take effect after the time-out"),
        ("store-forgets", "the store forgets its history"),
        ("store-turns-away", "the store refuses some VMs"),
        ("lag", "a replica lags"),
        ("deafen", "a replica receives nothing"),
        ("silence", "a database is silent"),
        ("crash", "a database crashes and comes back"),
        ("rebirth", "a database comes back under another identity"),
        ("lose-answer", "a statement runs without an answer"),
    ];

    /// Returns whether it has no end of its own.
    pub const fn is_instantaneous(&self) -> bool {
        matches!(
            self,
            Self::Reload(_)
                | Self::Link(_, LinkFault::Reset)
                | Self::WithdrawKey
                | Self::StoreForgets
                | Self::LoseAnswer
        )
    }

    /// Returns the fault with the database that leads in slot of [`CURRENT_LEADER`].
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
        }
    }

    /// Returns the kind's name.
    pub const fn name(&self) -> &'static str {
        Self::KINDS[self.index()].0
    }
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds after the callers.
    pub at_ms: u64,
    /// For how long it lasts, in milliseconds; 0 for what has no end.
    pub lasts_ms: u64,
    /// What it is.
    pub kind: FaultKind,
}

//! A simulated database: its log, its role, and the orders that it carries out.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use bluebellferry_types::position;

/// How long a leader goes on after it has reached the leader of a later term.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);

/// One commit in a log. No two commits have the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LogEntry {
    pub(crate) term: u64,
    pub(crate) commit: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DatabasePresence {
    Running,
    /// It does not run, and comes back.
    Crashed,
    /// It does not come back, and its log is lost or has moved to another database.
    Gone,
}

/// A commit that the leader has not acknowledged yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingCommit {
    pub(crate) offset: usize,
    pub(crate) commit: u64,
    pub(crate) vm: usize,
    /// The process of the VM that sent it.
    pub(crate) incarnation: u64,
}

/// An order of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DatabaseOrder {
    Status,
    Fence { term: u64 },
    StepDown { term: u64 },
    Unfence,
}

/// What a database reports after it has carried out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DatabaseStatus {
    pub(crate) is_primary: bool,
    pub(crate) term: u64,
    pub(crate) received: position::LogPosition,
    pub(crate) fenced_term: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct SimulatedDatabase {
    pub(crate) name: name::DatabaseName,
    /// The database at this address; a successor under another identity has the same one.
    pub(crate) address: u64,
    /// The number of its start; a later start has a higher one.
    pub(crate) start: u64,
    pub(crate) presence: DatabasePresence,
    pub(crate) log: Vec<LogEntry>,
    pub(crate) is_primary: bool,
    /// The term in which it leads, or the latest one that it has followed.
    pub(crate) term: u64,
    pub(crate) fenced_term: u64,
    pub(crate) is_draining: bool,
    /// Until when it receives nothing from the leader.
    pub(crate) deaf_until: Option<Instant>,
    pub(crate) pending: Vec<PendingCommit>,
    successor_known_since: Option<Instant>,
    /// How often it restarted without its log.
    pub(crate) lost_logs: u64,
}

impl SimulatedDatabase {
    pub(crate) fn new(index: usize, address: u64, start: u64) -> Self {
        let name = format!("db-{index}");
        Self {
            name: name::DatabaseName::try_from(name).expect("a valid name"),
            address,
            start,
            presence: DatabasePresence::Running,
            log: Vec::new(),
            is_primary: false,
            term: 1,
            fenced_term: 0,
            is_draining: false,
            deaf_until: None,
            pending: Vec::new(),
            successor_known_since: None,
            lost_logs: 0,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.presence == DatabasePresence::Running
    }

    pub(crate) fn leads(&self) -> bool {
        self.is_running() && self.is_primary
    }

    pub(crate) fn has_commit(&self, entry: LogEntry, offset: usize) -> bool {
        self.log.get(offset - 1) == Some(&entry)
    }

    pub(crate) fn received(&self) -> position::LogPosition {
        let term = self.log.last().map_or(0, |entry| entry.term);
        position::LogPosition::new(term, self.log.len() as u64)
    }

    pub(crate) fn carry_out(&mut self, order: DatabaseOrder) -> DatabaseStatus {
        match order {
            DatabaseOrder::Fence { term } if term > self.term && !self.is_primary => {
                self.fenced_term = term;
            }
            DatabaseOrder::StepDown { term } if term > self.term => self.step_down(),
            DatabaseOrder::Unfence => self.fenced_term = 0,
            // Orders of an old term have no effect.
            _ => {}
        }
        DatabaseStatus {
            is_primary: self.is_primary,
            term: self.term,
            received: self.received(),
            fenced_term: self.fenced_term,
        }
    }

    /// Appends a commit of a caller.
    pub(crate) fn append(&mut self, commit: u64, vm: usize, incarnation: u64) {
        let term = self.term;
        self.log.push(LogEntry { term, commit });
        let offset = self.log.len();
        self.pending.push(PendingCommit {
            offset,
            commit,
            vm,
            incarnation,
        });
    }

    pub(crate) fn lead(&mut self, term: u64) {
        self.is_primary = true;
        self.term = term;
        self.fenced_term = 0;
        self.pending.clear();
        self.successor_known_since = None;
    }

    pub(crate) fn step_down(&mut self) {
        self.is_primary = false;
        self.pending.clear();
        self.successor_known_since = None;
    }

    /// Makes a leader that reaches the leader of a later term a replica after a while.
    pub(crate) fn notice_successor(&mut self, now: Instant) {
        let since = *self.successor_known_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= STEP_DOWN_DELAY {
            self.step_down();
        }
    }

    /// Stops without notice. A restart ends a fence.
    pub(crate) fn crash(&mut self) {
        self.presence = DatabasePresence::Crashed;
        self.pending.clear();
        self.fenced_term = 0;
        self.is_draining = false;
        self.deaf_until = None;
        self.successor_known_since = None;
    }

    /// Loses the log, and all knowledge of having led.
    pub(crate) fn lose_log(&mut self) {
        self.log.clear();
        self.is_primary = false;
        self.term = 1;
        self.start += 1;
        self.lost_logs += 1;
    }

    /// Ends for good, without its log.
    pub(crate) fn depart(&mut self) {
        self.crash();
        self.log.clear();
        self.is_primary = false;
        self.presence = DatabasePresence::Gone;
    }

    /// Receives the log of the leader of `term`. Entries that this log lacks are rolled back if the
    /// term is a new one. Returns whether it has the leader's whole log.
    pub(crate) fn receive(&mut self, term: u64, log: &[LogEntry]) -> bool {
        if term > self.term {
            self.term = term;
            while !self.is_prefix_of(log) {
                self.log.pop();
            }
        }
        if !self.is_prefix_of(log) {
            return false;
        }
        self.log.extend_from_slice(&log[self.log.len()..]);
        true
    }

    /// Returns whether another log begins with this one. No commit is in two logs at different
    /// places, or after different commits.
    fn is_prefix_of(&self, log: &[LogEntry]) -> bool {
        self.log
            .last()
            .is_none_or(|last| log.get(self.log.len() - 1) == Some(last))
    }
}

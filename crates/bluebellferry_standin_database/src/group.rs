//! One database's part in its group: role, terms and the replicated log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;
use serde::Deserialize;
use serde::Serialize;

use crate::value;

/// A write statement with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedStatement {
    /// The SQL text.
    pub sql: String,
    /// The parameters in order.
    pub parameters: Vec<value::SqlValue>,
}

/// A committed transaction, or the empty entry that opens a term.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the primary that wrote the entry.
    pub term: u64,
    /// The statements in order.
    pub statements: Vec<LoggedStatement>,
}

/// The part that a database plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Takes writes.
    Primary,
    /// Replays the primary's log.
    Replica,
}

/// What the primary knows of one peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerProgress {
    /// The last offset that the peer is known to hold.
    pub acknowledged_offset: u64,
    /// When the message that the peer last answered was sent.
    pub contact: Option<Instant>,
}

/// The replicated state of one database.
#[derive(Debug)]
pub struct MemberState {
    /// The role.
    pub role: MemberRole,
    /// The highest term that the database has promised to respect.
    pub promised_term: u64,
    /// To whom the promised term belongs; empty when it was learnt from the log.
    pub promised_claimant: String,
    /// When the primary was last heard, on a replica.
    pub last_primary_contact: Option<Instant>,
    /// The term in which the database is or was last primary.
    pub own_term: u64,
    /// All entries; the entry of offset n stands at index n - 1.
    pub log: Vec<LogEntry>,
    /// When each entry arrived, for the replay lag.
    pub arrival_times: Vec<Instant>,
    /// The last offset known to be held by a majority.
    pub committed_offset: u64,
    /// The last offset that the SQL engine has applied.
    pub replayed_offset: u64,
    /// The offset of the empty entry that opened the own term.
    pub term_start_offset: u64,
    /// The progress of each peer, by name.
    pub peers: BTreeMap<String, PeerProgress>,
    /// How far replay stays behind the log.
    pub lag: Duration,
    /// Whether the database asks for no new work.
    pub leaving: bool,
    /// How many client transactions are open.
    pub open_transactions: u64,
}

impl MemberState {
    /// Returns the position of an offset in the log.
    pub fn position_at(&self, offset: u64) -> position::LogPosition {
        let index = offset.checked_sub(1);
        let entry = index.and_then(|index| self.log.get(index as usize));
        entry.map_or_else(position::LogPosition::default, |entry| {
            position::LogPosition::new(entry.term, offset)
        })
    }

    /// Returns the last offset in the log.
    pub fn last_offset(&self) -> u64 {
        self.log.len() as u64
    }

    /// Returns whether writes can be taken.
    pub fn accepts_writes(&self) -> bool {
        self.role == MemberRole::Primary
            && self.own_term == self.promised_term
            && self.replayed_offset >= self.term_start_offset
    }

    /// Returns how long ago a majority last answered this primary, if ever.
    pub fn majority_contact_age(&self, now: Instant) -> Option<Duration> {
        let mut contacts: Vec<Instant> = self
            .peers
            .values()
            .filter_map(|peer| peer.contact)
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.majority() - 1;
        if needed == 0 {
            return Some(Duration::ZERO);
        }
        let oldest = contacts.get(needed - 1)?;
        Some(now.saturating_duration_since(*oldest))
    }

    /// Returns how many databases form a majority of the group.
    pub fn majority(&self) -> usize {
        let members = self.peers.len() + 1;
        members / 2 + 1
    }

    /// Appends an entry of the own term and returns its offset.
    pub fn append_entry(&mut self, statements: Vec<LoggedStatement>) -> u64 {
        self.log.push(LogEntry {
            term: self.own_term,
            statements,
        });
        self.arrival_times.push(Instant::now());
        self.advance_committed_offset();
        self.last_offset()
    }

    /// Raises the committed offset to what a majority holds in the own term.
    pub fn advance_committed_offset(&mut self) {
        let mut held: Vec<u64> = self
            .peers
            .values()
            .map(|peer| peer.acknowledged_offset)
            .collect();
        held.push(self.last_offset());
        held.sort_unstable_by(|a, b| b.cmp(a));
        let offset = held[self.majority() - 1];
        let own = self.position_at(offset).term == self.own_term;
        if own && offset > self.committed_offset {
            self.committed_offset = offset;
        }
    }

    /// Respects a higher term from now on; an older primary steps down.
    pub fn promise(&mut self, term: u64, claimant: &str) {
        if term > self.promised_term {
            self.promised_term = term;
            claimant.clone_into(&mut self.promised_claimant);
            self.role = MemberRole::Replica;
        }
    }

    /// Returns whether the term has been promised to this claimant.
    pub fn is_promised_to(&self, term: u64, claimant: &str) -> bool {
        self.promised_term == term && self.promised_claimant == claimant
    }

    /// Becomes primary of the promised term.
    pub fn become_primary(&mut self, now: Instant) {
        self.role = MemberRole::Primary;
        self.own_term = self.promised_term;
        for peer in self.peers.values_mut() {
            *peer = PeerProgress {
                acknowledged_offset: 0,
                contact: None,
            };
        }
        self.append_entry(Vec::new());
        self.term_start_offset = self.last_offset();
        if let Some(arrival) = self.arrival_times.last_mut() {
            *arrival = now;
        }
    }

    /// Drops every entry after `offset`.
    pub fn truncate_after(&mut self, offset: u64) {
        self.log.truncate(offset as usize);
        self.arrival_times.truncate(offset as usize);
    }
}

/// The state and the signal that it has changed.
#[derive(Debug)]
pub struct GroupMember {
    state: Mutex<MemberState>,
    changed: Condvar,
}

impl GroupMember {
    /// Creates a member; the group's first primary starts in term 1.
    pub fn new(peers: &[String], primary: bool, lag: Duration) -> Self {
        let progress = PeerProgress {
            acknowledged_offset: 0,
            contact: None,
        };
        let mut state = MemberState {
            role: MemberRole::Replica,
            promised_term: 1,
            promised_claimant: String::new(),
            last_primary_contact: None,
            own_term: 0,
            log: Vec::new(),
            arrival_times: Vec::new(),
            committed_offset: 0,
            replayed_offset: 0,
            term_start_offset: 0,
            peers: peers.iter().map(|name| (name.clone(), progress)).collect(),
            lag,
            leaving: false,
            open_transactions: 0,
        };
        if primary {
            state.become_primary(Instant::now());
        }
        Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, MemberState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes everything that waits for a change.
    pub fn notify(&self) {
        self.changed.notify_all();
    }

    /// Waits for a change, at most `limit`.
    pub fn wait<'a>(
        &self,
        guard: MutexGuard<'a, MemberState>,
        limit: Duration,
    ) -> MutexGuard<'a, MemberState> {
        let waited = self.changed.wait_timeout(guard, limit);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Counts one open transaction for as long as it lives.
#[derive(Debug)]
pub struct TransactionGuard {
    member: Arc<GroupMember>,
}

impl TransactionGuard {
    /// Counts a new transaction.
    pub fn new(member: &Arc<GroupMember>) -> Self {
        member.lock().open_transactions += 1;
        Self {
            member: Arc::clone(member),
        }
    }
}

impl Drop for TransactionGuard {
    fn drop(&mut self) {
        self.member.lock().open_transactions -= 1;
    }
}

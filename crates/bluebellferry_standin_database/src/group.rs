//! The replication state of one group member: its role, terms and copy of the replicated log.

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

/// An SQL statement of a log entry, with its parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedStatement {
    /// The SQL text.
    pub sql: String,
    /// The values of `$1`, `$2` and so on.
    pub parameters: Vec<value::SqlValue>,
}

/// An entry of the replicated log: the writes of one transaction, or nothing in the first entry
/// of a term.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the primary that wrote the entry.
    pub term: u64,
    /// The statements, in the order in which the transaction executed them.
    pub statements: Vec<LoggedStatement>,
}

/// The role of a database in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Executes writes and replicates them to the other databases.
    Primary,
    /// Replays the primary's log.
    Replica,
}

/// The primary's knowledge of the replication to one peer.
#[derive(Debug, Clone, Copy)]
pub struct PeerProgress {
    /// The last offset that the peer has acknowledged as stored; 0 if none.
    pub acknowledged_offset: u64,
    /// The time at which the primary sent the last message that the peer answered.
    pub last_answered_send: Option<Instant>,
}

/// The replication state of one database.
#[derive(Debug)]
pub struct MemberState {
    /// The database's current role.
    pub role: MemberRole,
    /// The highest term that the database has granted or received; it accepts no log entries of
    /// lower terms and, as primary of a lower term, no writes.
    pub promised_term: u64,
    /// The claimant that the promised term was granted to by a fence call; empty if the database
    /// received the term in a replication message.
    pub promised_claimant: String,
    /// When a primary last sent a message to this database, if ever.
    pub last_primary_contact: Option<Instant>,
    /// The term in which the database is primary or was primary last; 0 if it never was.
    pub own_term: u64,
    /// All log entries; the entry at offset n has index n - 1.
    pub log: Vec<LogEntry>,
    /// When each entry of `log` was appended to it, for the replay lag.
    pub arrival_times: Vec<Instant>,
    /// The last offset that is known to be stored by a majority of the group.
    pub committed_offset: u64,
    /// The last offset whose statements are committed in SQLite.
    pub replayed_offset: u64,
    /// The offset of the empty entry with which `own_term` started.
    pub term_start_offset: u64,
    /// The replication progress of each other database of the group, by name.
    pub peers: BTreeMap<String, PeerProgress>,
    /// How long a replica waits before it replays an entry, counted from the entry's arrival.
    pub replay_lag: Duration,
    /// Whether the database reports in its status that it is draining and should get no new work.
    pub is_draining: bool,
    /// The number of client transactions that are open.
    pub open_transactions: u64,
}

impl MemberState {
    /// Returns the position (term and offset) of the entry at an offset; 0/0 if there is no such
    /// entry.
    pub fn position_at(&self, offset: u64) -> position::LogPosition {
        let index = offset.checked_sub(1);
        let entry = index.and_then(|index| self.log.get(index as usize));
        entry.map_or_else(position::LogPosition::default, |entry| {
            position::LogPosition::new(entry.term, offset)
        })
    }

    /// Returns the offset of the last entry in the log; 0 if the log is empty.
    pub fn last_offset(&self) -> u64 {
        self.log.len() as u64
    }

    /// Returns whether the database accepts writes: it is primary of the promised term and has
    /// replayed the log up to the first entry of this term.
    pub fn accepts_writes(&self) -> bool {
        self.role == MemberRole::Primary
            && self.own_term == self.promised_term
            && self.replayed_offset >= self.term_start_offset
    }

    /// Returns how long ago this primary sent the last message that a majority of the group has
    /// answered; zero if it is the only member, `None` until a majority has answered one.
    pub fn majority_contact_age(&self, now: Instant) -> Option<Duration> {
        let mut send_times: Vec<Instant> = self
            .peers
            .values()
            .filter_map(|progress| progress.last_answered_send)
            .collect();
        send_times.sort_unstable_by(|a, b| b.cmp(a));
        let peers_needed = self.majority_size() - 1;
        if peers_needed == 0 {
            return Some(Duration::ZERO);
        }
        let majority_contact = send_times.get(peers_needed - 1)?;
        Some(now.saturating_duration_since(*majority_contact))
    }

    /// Returns the number of databases that form a majority of the group, this one included.
    pub fn majority_size(&self) -> usize {
        let member_count = self.peers.len() + 1;
        member_count / 2 + 1
    }

    /// Appends an entry in `own_term` and returns its offset.
    pub fn append_entry(&mut self, statements: Vec<LoggedStatement>) -> u64 {
        self.log.push(LogEntry {
            term: self.own_term,
            statements,
        });
        self.arrival_times.push(Instant::now());
        self.advance_committed_offset();
        self.last_offset()
    }

    /// Raises the committed offset to the last entry that a majority has stored, if the entry was
    /// written in `own_term`.
    pub fn advance_committed_offset(&mut self) {
        let mut stored_offsets: Vec<u64> = self
            .peers
            .values()
            .map(|progress| progress.acknowledged_offset)
            .collect();
        stored_offsets.push(self.last_offset());
        stored_offsets.sort_unstable_by(|a, b| b.cmp(a));
        let offset = stored_offsets[self.majority_size() - 1];
        let is_own_term = self.position_at(offset).term == self.own_term;
        if is_own_term && offset > self.committed_offset {
            self.committed_offset = offset;
        }
    }

    /// Raises the promised term if `term` is higher, which makes a primary of a lower term step
    /// down. Does nothing otherwise.
    pub fn raise_promised_term(&mut self, term: u64, claimant: &str) {
        if term > self.promised_term {
            self.promised_term = term;
            claimant.clone_into(&mut self.promised_claimant);
            self.role = MemberRole::Replica;
        }
    }

    /// Returns whether `term` is the promised term and was granted to this claimant.
    pub fn is_promised_to(&self, term: u64, claimant: &str) -> bool {
        self.promised_term == term && self.promised_claimant == claimant
    }

    /// Makes the database primary of the promised term and appends the term's first, empty entry.
    pub fn become_primary(&mut self, now: Instant) {
        self.role = MemberRole::Primary;
        self.own_term = self.promised_term;
        for progress in self.peers.values_mut() {
            *progress = PeerProgress {
                acknowledged_offset: 0,
                last_answered_send: None,
            };
        }
        self.append_entry(Vec::new());
        self.term_start_offset = self.last_offset();
        if let Some(arrival_time) = self.arrival_times.last_mut() {
            *arrival_time = now;
        }
    }

    /// Removes all entries after `offset` from the log.
    pub fn truncate_after(&mut self, offset: u64) {
        self.log.truncate(offset as usize);
        self.arrival_times.truncate(offset as usize);
    }
}

/// The shared replication state of one database, with a condition variable for changes.
#[derive(Debug)]
pub struct GroupMember {
    state: Mutex<MemberState>,
    state_changed: Condvar,
}

impl GroupMember {
    /// Creates a member with an empty log. The initial primary starts as primary of term 1 and
    /// appends the term's first entry.
    pub fn new(peer_names: &[String], is_initial_primary: bool, replay_lag: Duration) -> Self {
        let progress = PeerProgress {
            acknowledged_offset: 0,
            last_answered_send: None,
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
            peers: peer_names
                .iter()
                .map(|name| (name.clone(), progress))
                .collect(),
            replay_lag,
            is_draining: false,
            open_transactions: 0,
        };
        if is_initial_primary {
            state.become_primary(Instant::now());
        }
        Self {
            state: Mutex::new(state),
            state_changed: Condvar::new(),
        }
    }

    /// Locks the state. Call [`GroupMember::notify`] after a change that others wait for.
    pub fn lock(&self) -> MutexGuard<'_, MemberState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all threads that wait for a change of the state.
    pub fn notify(&self) {
        self.state_changed.notify_all();
    }

    /// Unlocks the state, waits for a change or until `timeout` has passed, and locks it again.
    pub fn wait<'a>(
        &self,
        guard: MutexGuard<'a, MemberState>,
        timeout: Duration,
    ) -> MutexGuard<'a, MemberState> {
        let wait_result = self.state_changed.wait_timeout(guard, timeout);
        wait_result.unwrap_or_else(PoisonError::into_inner).0
    }
}

/// Counts one open transaction in `open_transactions` until it is dropped.
#[derive(Debug)]
pub struct TransactionGuard {
    member: Arc<GroupMember>,
}

impl TransactionGuard {
    /// Adds one to the open transactions of the member.
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

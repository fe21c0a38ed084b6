//! What probes report of a group's databases.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

/// A database's answer to a probe or a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the database takes writes.
    pub accepts_writes: bool,
    /// How long ago a majority last answered the database, if it is the primary.
    pub majority_contact_age: Option<Duration>,
    /// The highest term that the database has promised.
    pub promised_term: u64,
    /// The end of its log.
    pub log_position: position::LogPosition,
    /// Whether the database asks for no new work.
    pub is_draining: bool,
    /// How many transactions are open on it.
    pub open_transactions: u64,
    /// How long ago the database last heard from its primary; `None` if never
    /// or if it is the primary itself.
    pub primary_contact_age: Option<Duration>,
}

/// How long a primary may be without answers from a majority. After that it can
/// acknowledge nothing, whoever can still reach it.
const MAJORITY_SILENCE: Duration = Duration::from_millis(1_000);

impl MemberStatus {
    /// Returns whether the database is a primary that can acknowledge writes.
    pub fn is_working_primary(&self) -> bool {
        let connected = self
            .majority_contact_age
            .is_some_and(|age| age < MAJORITY_SILENCE);
        self.accepts_writes && connected
    }
}

/// The last answers of one database.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemberRecord {
    /// The last answer.
    pub status: Option<MemberStatus>,
    /// When the last answered probe was sent.
    pub answered: Option<Instant>,
    /// Since when probes have failed without one success.
    pub failing_since: Option<Instant>,
}

impl MemberRecord {
    /// Notes an answer to a probe that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Instant, status: MemberStatus) {
        self.status = Some(status);
        self.answered = Some(sent_at);
        self.failing_since = None;
    }

    /// Notes a probe that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether the database answered its last probe.
    pub fn is_answering(&self) -> bool {
        self.status.is_some() && self.failing_since.is_none()
    }
}

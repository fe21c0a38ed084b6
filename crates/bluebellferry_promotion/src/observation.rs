//! Probe results of the databases of a group.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

/// The status that a database reports when it is probed or fenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupDatabaseStatus {
    /// Whether the database accepts writes.
    pub accepts_writes: bool,
    /// The time since a majority of the group last answered this database, if it is the
    /// primary.
    pub majority_contact_age: Option<Duration>,
    /// The highest term that the database has promised to a claimant.
    pub promised_term: u64,
    /// The end of its log.
    pub log_position: position::LogPosition,
    /// Whether the database is draining: it is about to stop and is to get no new work.
    pub is_draining: bool,
    /// The number of transactions open on it.
    pub open_transactions: u64,
    /// The time since the database last received a message from its primary; `None` if it
    /// never did or is the primary itself.
    pub primary_contact_age: Option<Duration>,
}

/// How long a primary may go without an answer from a majority and still count as
/// working. Without a majority it cannot acknowledge writes, even if callers reach it.
const MAX_MAJORITY_CONTACT_AGE: Duration = Duration::from_millis(1_000);

impl GroupDatabaseStatus {
    /// Returns whether the database is a primary that can acknowledge writes.
    pub fn is_working_primary(&self) -> bool {
        let has_majority = self
            .majority_contact_age
            .is_some_and(|age| age < MAX_MAJORITY_CONTACT_AGE);
        self.accepts_writes && has_majority
    }
}

/// The latest probe results of one database.
#[derive(Debug, Clone, Copy, Default)]
pub struct GroupDatabaseRecord {
    /// The latest status that the database reported.
    pub status: Option<GroupDatabaseStatus>,
    /// When the latest answered probe was sent.
    pub answered_probe_sent_at: Option<Instant>,
    /// When a probe first failed after the latest answer.
    pub failing_since: Option<Instant>,
}

impl GroupDatabaseRecord {
    /// Records the answer to a probe that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Instant, status: GroupDatabaseStatus) {
        self.status = Some(status);
        self.answered_probe_sent_at = Some(sent_at);
        self.failing_since = None;
    }

    /// Records a failed probe.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns whether the database answered its latest probe.
    pub fn is_answering(&self) -> bool {
        self.status.is_some() && self.failing_since.is_none()
    }
}

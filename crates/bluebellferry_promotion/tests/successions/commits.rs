//! The commits of a VM's callers: what the VM has sent, and what it may acknowledge.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

use crate::vm;

/// A commit of a caller that has been sent to a leader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentCommit {
    pub(crate) sent_at: Instant,
    pub(crate) reign: (usize, Option<position::LogPosition>),
    /// The position of the leader's log, once the leader has acknowledged the commit.
    pub(crate) confirmed: Option<position::LogPosition>,
}

/// The commits that a VM may tell its callers of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CommitCertainty {
    Kept,
    Unsettled,
    InDoubt,
}

impl vm::SimulatedVm {
    /// Records that a leader acknowledged a commit.
    pub(crate) fn record_confirmed(
        &mut self,
        commit: u64,
        end: position::LogPosition,
        now: Instant,
    ) {
        let reign = self.table.reign();
        let Some(sent) = self.sent_commits.get_mut(&commit) else {
            return;
        };
        sent.confirmed = Some(end);
        if sent.reign == reign {
            self.last_answered = Some(now);
            self.last_failed = None;
            self.positions.record(sent.sent_at, end);
        }
        self.acknowledged_end = self.acknowledged_end.max(Some(end));
    }

    /// Records that a database refused a commit, since it does not lead.
    pub(crate) fn record_refused(&mut self, commit: u64, now: Instant) {
        let sent = self.sent_commits.remove(&commit);
        if sent.is_some_and(|sent| sent.reign == self.table.reign()) {
            self.record_failure(true, now);
        }
    }

    /// Removes and returns the commits that may be acknowledged to callers by now.
    pub(crate) fn settle_commits(&mut self, now: Instant) -> Vec<u64> {
        /// How long a caller waits for its commit.
        const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
        let is_confirmed = |sent: &SentCommit| sent.confirmed.is_some();
        let is_leased = self.sent_commits.values().any(is_confirmed) && self.is_leased(now);
        let table = &self.table;
        let mut kept = Vec::new();
        self.sent_commits.retain(|commit, sent| {
            let certainty = sent.confirmed.map_or(CommitCertainty::Unsettled, |end| {
                assess_commit(table, is_leased, sent, end)
            });
            if certainty == CommitCertainty::Kept {
                kept.push(*commit);
            }
            let is_waiting = now.saturating_duration_since(sent.sent_at) < CALLER_TIMEOUT;
            certainty == CommitCertainty::Unsettled && is_waiting
        });
        kept
    }
}

/// Assesses a commit that a leader acknowledged, like the `acknowledgement` module of the edge.
fn assess_commit(
    table: &vm::LeadershipTable,
    is_leased: bool,
    sent: &SentCommit,
    end: position::LogPosition,
) -> CommitCertainty {
    if table.entry.is_being_replaced {
        return CommitCertainty::Unsettled;
    }
    if sent.reign == table.reign() {
        return if is_leased {
            CommitCertainty::Kept
        } else {
            CommitCertainty::Unsettled
        };
    }
    let chosen = table.entry.log_end_when_chosen;
    match chosen {
        Some(chosen) if end.term == chosen.term && end.offset <= chosen.offset => {
            CommitCertainty::Kept
        }
        _ => CommitCertainty::InDoubt,
    }
}

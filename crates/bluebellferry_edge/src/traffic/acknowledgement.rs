//! Decides whether a commit that a database acknowledged may be reported to the caller.
//!
//! A leader that has been replaced may still acknowledge commits: a fence on its replicas ends
//! when they restart. Such commits are not in its successor's log. Before another database is
//! promoted, the lease of the old leader expires on every VM, and then the fenced databases are
//! probed again. So a commit whose acknowledgement arrives under a valid lease is in the log of
//! whichever database is promoted later.

use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_types::position;

use crate::shared;

/// What is known of an acknowledged commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitCertainty {
    /// Every database that leads the service from now on has the commit.
    Kept,
    /// The lease has expired, or the leader is being replaced: whether the commit is kept is not
    /// known yet.
    Unsettled,
    /// Another database was promoted, and may lack the commit.
    InDoubt,
}

/// Assesses a commit that the database `entry` acknowledged, as of `now`. `before` is the snapshot
/// when the commit was sent, and `current` the latest one. `position` is the position of the
/// database's log after the commit.
pub fn assess_commit(
    before: &shared::EdgeSnapshot,
    current: &shared::EdgeSnapshot,
    entry: &database::DatabaseEntry,
    position: Option<position::LogPosition>,
    now: Instant,
) -> CommitCertainty {
    let Some(leader) = current.leaders.get(&entry.service) else {
        return CommitCertainty::Unsettled;
    };
    if leader.is_being_replaced {
        return CommitCertainty::Unsettled;
    }
    let is_same_reign = before.leaders.get(&entry.service).is_some_and(|earlier| {
        let (database, log_end) = (&earlier.database, earlier.log_end_when_chosen);
        (database, log_end) == (&leader.database, leader.log_end_when_chosen)
    });
    if is_same_reign && leader.database == entry.id {
        let is_leased = current.leased_leader(&entry.service, now).is_some();
        return if is_leased {
            CommitCertainty::Kept
        } else {
            CommitCertainty::Unsettled
        };
    }
    // The successor's log ended in the term of the commit, so up to there it is the log of the
    // leader that acknowledged the commit.
    // A position that is not beyond the log with which that leader was chosen precedes the commit.
    let chosen_before = before.leaders.get(&entry.service);
    let chosen_before = chosen_before.and_then(|earlier| earlier.log_end_when_chosen);
    let is_in_log_of_successor = position
        .filter(|position| chosen_before.is_none_or(|chosen| position.offset > chosen.offset))
        .zip(leader.log_end_when_chosen)
        .is_some_and(|(commit, end)| commit.term == end.term && commit.offset <= end.offset);
    if is_in_log_of_successor {
        CommitCertainty::Kept
    } else {
        CommitCertainty::InDoubt
    }
}

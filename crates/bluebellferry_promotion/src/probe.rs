//! What probes of a leader and its replicas prove about the leader.
//!
//! A replacement fences every replica, and fences the leader or waits for it to step down, before
//! another database is promoted. A restart ends the fence, so a replica that is not fenced may
//! have been fenced a moment ago. Two kinds of evidence rule that out:
//!
//! - The leader and a replica have not restarted since an instant at which the leader had a valid
//!   lease, and were not fenced then either. A replacement that began later finds that out when it
//!   probes the fenced databases again, after that lease has expired.
//! - The leader and all of its replicas have not restarted, nor been fenced, for
//!   [`PROMOTION_TIME_LIMIT`]. A database that was being promoted at the beginning of that time
//!   would lead by its end.
//!
//! A database has not restarted as long as a connection to it stays open.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;

/// The time within which a database leads after the fenced databases were last probed before its
/// promotion, or never.
pub const PROMOTION_TIME_LIMIT: Duration = Duration::from_millis(3_000);

/// The answer of a database to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeReport {
    /// Tells the connection on which the answer arrived from other connections to the database.
    pub connection: u64,
    /// Whether the database leads.
    pub is_primary: bool,
    /// The term in which it leads or follows.
    pub term: u64,
    /// The term that it is fenced for; 0 if it is not fenced.
    pub fenced_term: u64,
}

/// The result of a probe of one database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The database reported its status.
    Reported(ProbeReport),
    /// The database was too busy to report its status. Its connection stays open.
    Busy,
    /// The database cannot be reached, or its connection was lost.
    Lost,
}

/// The results of probes that were sent at the same time.
#[derive(Debug, Clone)]
pub struct ProbeRound {
    /// An instant before the probes were sent.
    pub started_at: Instant,
    /// Whether the leader had a valid lease after all answers had arrived.
    pub is_leased: bool,
    /// The result for the leader.
    pub leader: ProbeResult,
    /// The results for the replicas that were probed.
    pub replicas: BTreeMap<name::DatabaseName, ProbeResult>,
    /// Whether all replicas were probed.
    pub includes_all_replicas: bool,
}

/// Since when a database has been seen in its role without a restart or a fence.
#[derive(Debug, Clone, Copy)]
struct DatabaseSighting {
    connection: u64,
    term: u64,
    since: Instant,
    /// Whether the leader had a valid lease at some time since.
    has_been_leased: bool,
}

impl DatabaseSighting {
    /// Returns the sighting that a report begins or continues.
    fn continued(previous: Option<&Self>, report: ProbeReport, round: &ProbeRound) -> Self {
        let is_same = |previous: &&Self| {
            (previous.connection, previous.term) == (report.connection, report.term)
        };
        let begun = Self {
            connection: report.connection,
            term: report.term,
            since: round.started_at,
            has_been_leased: false,
        };
        let mut sighting = previous.filter(is_same).copied().unwrap_or(begun);
        sighting.has_been_leased |= round.is_leased;
        sighting
    }

    fn lasts(&self, duration: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= duration
    }
}

/// Successive probes of a leader and its replicas.
#[derive(Debug, Default)]
pub struct ProbeSeries {
    leader: Option<DatabaseSighting>,
    replicas: BTreeMap<name::DatabaseName, DatabaseSighting>,
}

impl ProbeSeries {
    /// Records a round of probes. Returns whether it proves that no other database had been
    /// promoted when the round started, nor is within
    /// [`PROBE_LEASE_DURATION`](crate::lease::PROBE_LEASE_DURATION) after that.
    pub fn record(&mut self, round: &ProbeRound) -> bool {
        let leader = match round.leader {
            ProbeResult::Reported(report) if report.is_primary => report,
            ProbeResult::Busy => return false,
            ProbeResult::Reported(_) | ProbeResult::Lost => {
                *self = Self::default();
                return false;
            }
        };
        let leader_sighting = DatabaseSighting::continued(self.leader.as_ref(), leader, round);
        self.leader = Some(leader_sighting);
        self.replicas
            .retain(|id, _| round.replicas.contains_key(id));
        let mut confirming: Vec<DatabaseSighting> = Vec::new();
        for (id, result) in &round.replicas {
            match result {
                ProbeResult::Reported(report) if follows(*report, leader) => {
                    let previous = self.replicas.get(id);
                    let sighting = DatabaseSighting::continued(previous, *report, round);
                    self.replicas.insert(id.clone(), sighting);
                    confirming.push(sighting);
                }
                ProbeResult::Busy => {}
                ProbeResult::Reported(_) | ProbeResult::Lost => {
                    self.replicas.remove(id);
                }
            }
        }
        let is_continuous = leader_sighting.has_been_leased
            && confirming.iter().any(|sighting| sighting.has_been_leased);
        let is_settled =
            |sighting: &DatabaseSighting| sighting.lasts(PROMOTION_TIME_LIMIT, round.started_at);
        let are_all_settled = round.includes_all_replicas
            && !confirming.is_empty()
            && confirming.len() == round.replicas.len()
            && is_settled(&leader_sighting)
            && confirming.iter().all(is_settled);
        is_continuous || are_all_settled
    }

    /// Returns a replica that has not restarted since the leader had a valid lease. As long as it
    /// is not fenced, the other replicas need not be probed.
    pub fn continuous_replica(&self) -> Option<&name::DatabaseName> {
        let is_leader_continuous = self.leader.is_some_and(|leader| leader.has_been_leased);
        let mut replicas = self.replicas.iter();
        let found = replicas.find(|(_, sighting)| sighting.has_been_leased);
        found.map(|(id, _)| id).filter(|_| is_leader_continuous)
    }
}

/// Returns whether a database is a replica that follows the leader and is not fenced.
const fn follows(replica: ProbeReport, leader: ProbeReport) -> bool {
    !replica.is_primary && replica.fenced_term == 0 && replica.term == leader.term
}

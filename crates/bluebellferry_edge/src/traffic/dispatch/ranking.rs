//! What is known of databases, and the order in which they suit a statement.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_pool::estimate;
use bluebellferry_pool::pool;

use crate::shared;
use crate::traffic::dispatch;
use crate::traffic::placement;

type Connections = pool::ConnectionPool<dispatch::HeldConnection>;

/// What reading from the leader costs beyond its answer time, since only it
/// can serve writes.
const LEADER_READ_COST: Duration = Duration::from_millis(15);

/// An avoided database.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AvoidedUntil {
    until: Option<Instant>,
    pause: Duration,
}

impl AvoidedUntil {
    pub(super) fn extend(&mut self, first: Duration, most: Duration, now: Instant) {
        self.pause = (self.pause * 2).clamp(first, most);
        self.until = Some(now + self.pause);
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(super) fn holds(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}

#[derive(Debug)]
pub(super) struct DatabaseRecord {
    pub(super) entry: Arc<database::DatabaseEntry>,
    pub(super) is_listed: bool,
    pub(super) latency: estimate::LatencyEstimate,
    pub(super) unreachable: AvoidedUntil,
    pub(super) lagging: AvoidedUntil,
}

/// Orders the databases that may serve a statement by expected finish.
pub(super) fn rank_databases(
    records: &[DatabaseRecord],
    budget: &Connections,
    snapshot: &shared::EdgeSnapshot,
    demand: &dispatch::ConnectionDemand,
    now: Instant,
) -> Vec<(pool::DatabaseIndex, Duration)> {
    let cost = |(index, record): (pool::DatabaseIndex, &DatabaseRecord)| {
        let entry = &record.entry;
        let role = placement::role_of(snapshot, entry, demand.needs, now)?;
        let is_leader = matches!(role, placement::PlacedRole::Leader(_));
        let is_usable = is_leader || !record.lagging.holds(now);
        let is_wanted = entry.service == demand.service
            && record.is_listed
            && !demand.excluded.contains(&index)
            && !record.unreachable.holds(now);
        if !is_usable || !is_wanted {
            return None;
        }
        let answer = record.latency.expected(now);
        let connection = budget
            .acquisition_cost(&demand.request.workspace, index, now)
            .unwrap_or_else(|| expected_wait(budget, index, answer));
        let scarcity = if is_leader && demand.needs.replica_since.is_some() {
            LEADER_READ_COST
        } else {
            Duration::ZERO
        };
        Some((index, answer + connection + scarcity))
    };
    let mut ranked: Vec<_> = records.iter().enumerate().filter_map(cost).collect();
    ranked.sort_by_key(|(_, cost)| *cost);
    ranked
}

/// Estimates how long a statement waits for one of a database's connections.
fn expected_wait(budget: &Connections, index: pool::DatabaseIndex, answer: Duration) -> Duration {
    let in_use = budget.in_use(index).max(1) as f64;
    let ahead = budget.waiting_count_for(index) as f64 + 1.0;
    answer.mul_f64(ahead / in_use) + pool::OPENING_COST
}

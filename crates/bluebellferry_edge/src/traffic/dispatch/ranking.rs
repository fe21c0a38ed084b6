//! Ranks the databases that may run a statement by the expected time to the answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_limits::pace;
use bluebellferry_pool::estimate;
use bluebellferry_pool::pool;
use bluebellferry_routing::assessment;
use bluebellferry_shares::limiter;

use crate::shared;
use crate::traffic::dispatch;
use crate::traffic::placement;

type DatabasePool = pool::ConnectionPool<dispatch::PoolConnection>;

/// Added to the expected latency of a leader when it is ranked for a read that replicas may
/// serve too. Only the leader can serve writes, so its capacity is spared.
const LEADER_READ_PENALTY: Duration = Duration::from_millis(15);

/// Added to the expected latency of a cold database for which this VM has no token: the time to
/// borrow one from another VM.
const PACE_PENALTY: Duration = Duration::from_millis(100);

/// Added to the expected latency of a database for the reads that it is spared while it recovers.
/// They still run there if all others are busier than that.
const SPARED_PENALTY: Duration = Duration::from_millis(60);

/// For how long a database that refused a connection or failed a statement counts as busy.
const BUSY_MEMORY: Duration = Duration::from_secs(3);
/// The expected latency, as a multiple of that without load, up to which a database has room for
/// handshakes that no statement waits for.
const MAX_ROOM_LATENCY: f64 = 1.3;

/// An exponential backoff during which a database is not chosen.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AvoidanceBackoff {
    until: Option<Instant>,
    delay: Duration,
}

impl AvoidanceBackoff {
    /// Doubles the delay within its bounds and starts it.
    pub(super) fn back_off(&mut self, initial: Duration, max: Duration, now: Instant) {
        self.delay = (self.delay * 2).clamp(initial, max);
        self.until = Some(now + self.delay);
    }

    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}

/// The state that the dispatcher keeps for a database.
#[derive(Debug)]
pub(super) struct DatabaseRecord {
    pub(super) entry: Arc<database::DatabaseEntry>,
    pub(super) is_registered: bool,
    pub(super) latency: estimate::LatencyEstimate,
    /// The expected latency before the first measurement.
    pub(super) initial_latency: Duration,
    /// When the database last refused a connection or failed a statement.
    pub(super) busy_at: Option<Instant>,
    pub(super) unreachable_backoff: AvoidanceBackoff,
    pub(super) lag_backoff: AvoidanceBackoff,
    /// This VM's share of the pace at which the database may receive statements while it is
    /// cold; `None` if its service does not limit that.
    pub(super) pace_share: Option<Arc<limiter::RateShare>>,
    pub(super) contact: pace::ContactRecord,
}

impl DatabaseRecord {
    /// Returns whether connections to the database are to be closed once they are idle.
    pub(super) fn is_departing(&self, snapshot: &shared::EdgeSnapshot) -> bool {
        let is_evacuated = snapshot.is_evacuated(&self.entry.data_centre);
        !self.is_registered || self.entry.is_draining || is_evacuated
    }

    /// Returns whether the database is likely to have room for a handshake that no statement
    /// waits for.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        let was_busy = |at: Instant| now.saturating_duration_since(at) < BUSY_MEMORY;
        let is_slow = self.latency.expected(now) > self.initial_latency.mul_f64(MAX_ROOM_LATENCY);
        !self.busy_at.is_some_and(was_busy) && !is_slow
    }

    /// Returns this VM's share of the database's pace if statements must keep to it.
    pub(super) fn pace_in_force(&self, now: Instant) -> Option<&Arc<limiter::RateShare>> {
        let share = self.pace_share.as_ref()?;
        self.contact
            .is_paced(self.entry.is_cold, now)
            .then_some(share)
    }
}

/// Returns the databases that may run a statement with their expected time to the answer, the
/// shortest first.
pub(super) fn rank_databases(
    records: &[DatabaseRecord],
    pool: &DatabasePool,
    snapshot: &shared::EdgeSnapshot,
    request: &dispatch::PlacementRequest,
    rules: placement::PlaceRules<'_>,
    now: Instant,
) -> Vec<(pool::DatabaseIndex, Duration)> {
    // One draw for all databases: a read is spared from at most those whose share is smaller.
    let draw: f64 = rand::random();
    let cost = |(index, record): (pool::DatabaseIndex, &DatabaseRecord)| {
        let entry = &record.entry;
        let role = placement::role_of(snapshot, entry, request.requirement, now)?;
        let is_leader = matches!(role, placement::PlacedRole::Leader(_));
        let is_usable = is_leader || !record.lag_backoff.is_active(now);
        let is_candidate = entry.service == request.service
            && record.is_registered
            && rules.allow(snapshot, entry)
            && !request.excluded.contains(&index)
            && !record.unreachable_backoff.is_active(now);
        if !is_usable || !is_candidate {
            return None;
        }
        let latency = record.latency.expected(now);
        let connection_cost = pool
            .acquisition_cost(&request.pool_request.workspace, index, now)
            .unwrap_or_else(|| expected_wait(pool, index, latency));
        let leader_penalty = if is_leader && request.requirement.replica_min_position.is_some() {
            LEADER_READ_PENALTY
        } else {
            Duration::ZERO
        };
        let lacks_token = |share: &Arc<limiter::RateShare>| share.available_tokens(now) < 1.0;
        let pace_penalty = if record.pace_in_force(now).is_some_and(lacks_token) {
            PACE_PENALTY
        } else {
            Duration::ZERO
        };
        let verdict = snapshot.verdicts.get(&entry.id);
        Some(RankedDatabase {
            index,
            cost: latency + connection_cost + leader_penalty + pace_penalty,
            is_leader,
            verdict_penalty: verdict
                .map_or(Duration::ZERO, |verdict| verdict_penalty(verdict, draw)),
        })
    };
    let mut ranked: Vec<RankedDatabase> = records.iter().enumerate().filter_map(cost).collect();
    add_verdict_penalties(&mut ranked);
    ranked.sort_by_key(|ranked| ranked.cost);
    let indexed = ranked.iter().map(|ranked| (ranked.index, ranked.cost));
    indexed.collect()
}

/// A database that may run a statement.
struct RankedDatabase {
    index: pool::DatabaseIndex,
    /// The expected time to the answer.
    cost: Duration,
    is_leader: bool,
    verdict_penalty: Duration,
}

/// Returns the penalty that a verdict gives a database for a read; `draw` decides, from 0 to 1,
/// whether the read is spared from a database that recovers.
fn verdict_penalty(verdict: &assessment::DatabaseVerdict, draw: f64) -> Duration {
    if draw < verdict.share {
        verdict.penalty
    } else {
        verdict.penalty + SPARED_PENALTY
    }
}

/// Adds the penalties of the verdicts to the costs of replicas. The leader gets the lowest penalty
/// of any replica: bad replicas move reads to better replicas, but not to the leader, whose
/// capacity is needed for what only it can run.
fn add_verdict_penalties(ranked: &mut [RankedDatabase]) {
    let replicas = ranked.iter().filter(|ranked| !ranked.is_leader);
    let lowest = replicas.map(|ranked| ranked.verdict_penalty).min();
    for ranked in ranked {
        ranked.cost += if ranked.is_leader {
            lowest.unwrap_or_default()
        } else {
            ranked.verdict_penalty
        };
    }
}

/// Estimates how long a statement waits until one of a database's connections is released.
fn expected_wait(pool: &DatabasePool, index: pool::DatabaseIndex, latency: Duration) -> Duration {
    let in_use = pool.in_use(index).max(1) as f64;
    let ahead = pool.waiting_count_for(index) as f64 + 1.0;
    latency.mul_f64(ahead / in_use) + pool::OPENING_COST
}

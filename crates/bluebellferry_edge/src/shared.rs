//! What the traffic thread and the control thread share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_routing::history;
use bluebellferry_runtime::clock;
use bluebellferry_shares::limiter;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::settings;

/// What is known of a service's leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderView {
    /// The database.
    pub database: name::DatabaseName,
    /// What its log held when it was chosen.
    pub floor: Option<position::LogPosition>,
    /// Whether it is being replaced.
    pub is_replacing: bool,
}

impl LeaderView {
    /// Returns a position that the leader's log holds as long as it leads. `seen` is the
    /// last one that any leader of the service was seen to hold.
    ///
    /// A former leader may have held more than its successor was chosen with, so a
    /// position counts only if its term began after that.
    pub fn known_end(&self, seen: Option<position::LogPosition>) -> Option<position::LogPosition> {
        let is_own =
            |seen: &position::LogPosition| self.floor.is_none_or(|floor| seen.term > floor.term);
        seen.filter(is_own).or(self.floor)
    }
}

/// What control tells traffic; replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct EdgeSnapshot {
    /// The configuration in force.
    pub configuration: Arc<configuration::Configuration>,
    /// The registered databases.
    pub databases: Arc<Vec<database::DatabaseEntry>>,
    /// The leaders by service.
    pub leaders: Arc<BTreeMap<name::ServiceName, LeaderView>>,
    /// Until when the leaders may be relied on, by service.
    pub leases: BTreeMap<name::ServiceName, Instant>,
    /// The services whose leader other VMs use at present, or may use while this
    /// VM is cut off from everybody.
    pub served_elsewhere: Arc<BTreeSet<name::ServiceName>>,
    /// This VM's part of fleet-wide limits, and the sum of the parts of the VMs
    /// before it in the order of their names.
    pub part: FleetPart,
    /// How long a request waits for a token that has been asked for.
    pub loan_wait: Duration,
}

/// A VM's part of a fleet-wide limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetPart {
    /// Where the part begins, from 0 to 1.
    pub from: f64,
    /// Where it ends.
    pub to: f64,
}

impl FleetPart {
    /// Returns how many of `total` indivisible things belong to the part. The
    /// counts of all parts add up to `total`.
    pub fn count_of(self, total: u32) -> usize {
        let mark = |point: f64| (point * f64::from(total)).round().max(0.0) as usize;
        mark(self.to).saturating_sub(mark(self.from))
    }

    /// Returns the part's size.
    pub fn size(self) -> f64 {
        (self.to - self.from).max(0.0)
    }
}

impl EdgeSnapshot {
    /// Returns a service's leader if reads that must see every commit may run there.
    pub fn trusted_leader(&self, service: &name::ServiceName, now: Instant) -> Option<&LeaderView> {
        let is_leased = self.leases.get(service).is_some_and(|until| *until > now);
        self.leaders
            .get(service)
            .filter(|leader| is_leased && !leader.is_replacing)
    }
}

/// What a statement showed about a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceKind {
    /// It answered.
    Answered,
    /// It acknowledged a commit.
    Committed,
    /// It did not answer, or could not be reached.
    Silent,
    /// It did not answer a commit.
    CommitSilent,
    /// It said that it does not lead.
    NotLeading,
}

/// What happened with a leader, as callers' statements showed.
#[derive(Debug, Clone)]
pub struct LeaderEvidence {
    /// The service.
    pub service: name::ServiceName,
    /// The database.
    pub database: name::DatabaseName,
    /// What the statement showed.
    pub kind: EvidenceKind,
}

/// How far the process is on its way to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// It serves.
    Serving,
    /// It takes what still comes; the platform may not have noticed yet.
    Leaving,
    /// It ends sessions that have been quiet for a moment.
    ClosingIdle,
    /// It ends every session.
    Ending,
}

/// The state that both threads use.
#[derive(Debug)]
pub struct EdgeShared {
    /// The settings at the start.
    pub settings: settings::EdgeSettings,
    /// Drawn anew at each start; later starts have higher ones.
    pub incarnation: u64,
    /// The token buckets.
    pub shares: limiter::RateLimiter,
    /// Notified when callers wait for tokens.
    pub tokens_wanted: Notify,
    /// Operations that callers have started.
    pub operations: AtomicU64,
    /// What statements show about leaders.
    pub evidence: mpsc::Sender<LeaderEvidence>,
    /// How far the process is on its way to stop.
    pub drain: watch::Sender<DrainPhase>,
    snapshot: ArcSwap<EdgeSnapshot>,
    changed: watch::Sender<u64>,
    positions: Mutex<BTreeMap<name::ServiceName, history::PositionHistory>>,
}

/// The most pieces of evidence that wait for the control thread; more are dropped.
const MAX_EVIDENCE: usize = 256;

impl EdgeShared {
    /// Creates the state with an empty snapshot, and the receiver of evidence.
    pub fn new(
        settings: settings::EdgeSettings,
        incarnation: u64,
    ) -> (Arc<Self>, mpsc::Receiver<LeaderEvidence>) {
        let (evidence, received) = mpsc::channel(MAX_EVIDENCE);
        let shared = Self {
            settings,
            incarnation,
            shares: limiter::RateLimiter::with_clock(limiter::LimiterClock(clock::now))
                .with_restarted_buckets(),
            tokens_wanted: Notify::new(),
            operations: AtomicU64::new(0),
            evidence,
            drain: watch::Sender::new(DrainPhase::Serving),
            snapshot: ArcSwap::default(),
            changed: watch::Sender::new(0),
            positions: Mutex::default(),
        };
        (Arc::new(shared), received)
    }

    /// Returns the present snapshot.
    pub fn snapshot(&self) -> Arc<EdgeSnapshot> {
        self.snapshot.load_full()
    }

    /// Replaces the snapshot. `is_news` wakes whoever waits for a change; a mere
    /// renewal of the lease does not.
    pub fn publish(&self, snapshot: EdgeSnapshot, is_news: bool) {
        self.snapshot.store(Arc::new(snapshot));
        if is_news {
            self.changed.send_modify(|number| *number += 1);
        }
    }

    /// Returns a receiver that sees each change of the snapshot.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the positions that leaders were seen to hold.
    pub fn positions(
        &self,
    ) -> MutexGuard<'_, BTreeMap<name::ServiceName, history::PositionHistory>> {
        self.positions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the last position that a service's leader was seen to hold.
    pub fn last_position(&self, service: &name::ServiceName) -> Option<position::LogPosition> {
        let positions = self.positions();
        positions.get(service).and_then(|history| history.latest())
    }

    /// Notes that a leader held `position` at or after `asked`, if it was
    /// certainly the leader then.
    pub fn record_position(
        &self,
        service: &name::ServiceName,
        asked: Instant,
        position: position::LogPosition,
    ) {
        let mut positions = self.positions();
        match positions.get_mut(service) {
            Some(history) => history.record(asked, position),
            None => {
                let mut history = history::PositionHistory::default();
                history.record(asked, position);
                positions.insert(service.clone(), history);
            }
        }
    }
}

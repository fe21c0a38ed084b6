//! State that the traffic thread and the control thread share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_routing::assessment;
use bluebellferry_routing::history;
use bluebellferry_runtime::clock;
use bluebellferry_shares::limiter;
use bluebellferry_shares::ownership::numbering;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::settings;

/// The leader of a service, as this VM knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderView {
    /// The database that leads.
    pub database: name::DatabaseName,
    /// The end of the database's log when it was chosen as leader, if known. Its log contains this
    /// position as long as it leads.
    pub log_end_when_chosen: Option<position::LogPosition>,
    /// Whether a replacement of this leader is in progress.
    pub is_being_replaced: bool,
}

impl LeaderView {
    /// Returns a position that the leader's log is certain to contain as long as it leads.
    /// `observed` is the latest position observed at any leader of the service.
    ///
    /// The log of a former leader may extend beyond the position at which its successor was
    /// chosen. So `observed` is used only if its term is later than that of
    /// `log_end_when_chosen`.
    pub fn min_log_position(
        &self,
        observed: Option<position::LogPosition>,
    ) -> Option<position::LogPosition> {
        let is_after_promotion = |observed: &position::LogPosition| {
            self.log_end_when_chosen
                .is_none_or(|chosen| observed.term > chosen.term)
        };
        observed
            .filter(is_after_promotion)
            .or(self.log_end_when_chosen)
    }
}

/// What the control thread publishes to the traffic thread; always replaced as a whole.
#[derive(Debug, Clone, Default)]
pub struct EdgeSnapshot {
    /// The configuration in use.
    pub configuration: Arc<configuration::Configuration>,
    /// The databases that are registered.
    pub databases: Arc<Vec<database::DatabaseEntry>>,
    /// The data centres that are being evacuated, with the times when this VM learned of it.
    pub evacuations: Arc<BTreeMap<name::DataCentreName, Instant>>,
    /// The draining databases, with the times by which they must receive nothing more.
    pub drain_ends: Arc<BTreeMap<name::DatabaseName, Instant>>,
    /// Whether the evacuations are not known yet.
    pub awaits_evacuations: bool,
    /// The leader of each service.
    pub leaders: Arc<BTreeMap<name::ServiceName, LeaderView>>,
    /// When the lease of each service's leader expires.
    pub leases: BTreeMap<name::ServiceName, Instant>,
    /// The services whose leader other VMs currently use, or may use while this VM is
    /// isolated from all other VMs and the store.
    pub served_elsewhere: Arc<BTreeSet<name::ServiceName>>,
    /// This VM's allocation of the fleet-wide limits. Allocations adjoin each other in the
    /// order of the VMs' names.
    pub allocation: FleetAllocation,
    /// The databases that are not to be used like any other.
    pub verdicts: Arc<BTreeMap<name::DatabaseName, assessment::DatabaseVerdict>>,
    /// How long a request waits for a token requested from another VM.
    pub loan_timeout: Duration,
    /// Since when this VM has been cut off from the other VMs, so that it can borrow no tokens;
    /// `None` if it is not.
    pub cut_off_since: Option<Instant>,
}

/// The fraction of the fleet-wide limits allocated to one VM, as an interval within 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetAllocation {
    /// The start of the interval, from 0 to 1.
    pub from: f64,
    /// The end of the interval, from 0 to 1.
    pub to: f64,
}

impl FleetAllocation {
    /// Returns how many of `total` indivisible units belong to the allocation. The counts of
    /// all VMs add up to `total`.
    pub fn count_of(self, total: u32) -> usize {
        let boundary = |fraction: f64| (fraction * f64::from(total)).round().max(0.0) as usize;
        boundary(self.to).saturating_sub(boundary(self.from))
    }

    /// Returns the allocated fraction, from 0 to 1.
    pub fn fraction(self) -> f64 {
        (self.to - self.from).max(0.0)
    }
}

/// How long a VM is cut off before it hands over its callers: longer than it takes to replace
/// a coordinator.
const HAND_OVER_DELAY: Duration = Duration::from_millis(1_000);

/// How long the platform takes to notice that a VM is not ready: two checks.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_000);

impl EdgeSnapshot {
    /// Returns whether callers are better served by other VMs, since this one has been cut off from
    /// them for `HAND_OVER_DELAY`.
    pub fn hands_over_callers(&self, now: Instant) -> bool {
        self.cut_off_since
            .is_some_and(|since| now.saturating_duration_since(since) >= HAND_OVER_DELAY)
    }

    /// Returns whether a data centre is being evacuated.
    pub fn is_evacuated(&self, data_centre: &name::DataCentreName) -> bool {
        self.evacuations.contains_key(data_centre)
    }

    /// Returns whether a database has been draining for so long that it must receive nothing more.
    pub fn is_past_drain(&self, database: &name::DatabaseName, now: Instant) -> bool {
        self.drain_ends.get(database).is_some_and(|end| *end <= now)
    }

    /// Returns a service's leader if its lease is valid and it isn't being replaced. Reads that
    /// must see every commit may run only there.
    pub fn leased_leader(&self, service: &name::ServiceName, now: Instant) -> Option<&LeaderView> {
        let is_leased = self.leases.get(service).is_some_and(|until| *until > now);
        self.leaders
            .get(service)
            .filter(|leader| is_leased && !leader.is_being_replaced)
    }
}

/// What the result of a statement shows about the leader that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceKind {
    /// The leader answered.
    Answered,
    /// The leader acknowledged a commit.
    Committed,
    /// The leader did not answer, or could not be reached.
    Unresponsive,
    /// The leader did not answer a commit.
    CommitUnanswered,
    /// The database answered that it does not lead.
    NotLeading,
}

/// Evidence about the health of a leader, taken from the result of a caller's statement.
#[derive(Debug, Clone)]
pub struct LeaderEvidence {
    /// The service that the database leads.
    pub service: name::ServiceName,
    /// The database that received the statement.
    pub database: name::DatabaseName,
    /// What the result shows.
    pub kind: EvidenceKind,
}

/// The phases of an orderly shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainPhase {
    /// The process serves callers and reports that it is ready.
    Serving,
    /// The process reports that it is not ready, but still accepts callers, since the platform
    /// may not have noticed yet.
    NotReady,
    /// The process closes sessions that are idle.
    ClosingIdle,
    /// The process closes every session, including those with an open transaction.
    ClosingAll,
}

/// What the control thread reports about this VM's part in the fleet, for metrics.
#[derive(Debug, Default)]
pub struct FleetStatus {
    /// How often this VM has lost or regained the majority of its group.
    pub majority_changes: AtomicU64,
    /// How often this VM's data centre has lost or regained most other data centres.
    pub isolation_changes: AtomicU64,
    /// The number of databases with a penalty or a reduced share of reads.
    pub assessed_databases: AtomicU64,
    /// The number of data centres that are being evacuated.
    pub evacuated_centres: AtomicU64,
    /// The number of fleet-wide rates that this VM owns, alone or with others.
    pub owned_rates: AtomicU64,
    /// The number of services whose promotion waits, since a database that may be promoted could
    /// lack acknowledged commits or another one may still be promoted.
    pub waiting_promotions: AtomicU64,
    /// The time for which services were without a leader while this VM replaced it, in
    /// milliseconds, since this process started.
    pub leaderless_ms: AtomicU64,
    /// How often the store came back from an older copy since this process started.
    pub store_returns: AtomicU64,
    /// The number of snapshots that the control thread has published.
    pub published_snapshots: AtomicU64,
    /// Whether a full mesh has too many workspaces for rates to follow the demand of each.
    pub exceeds_rate_table: AtomicBool,
}

/// The low bits of an incarnation, which are random. The others hold the wall-clock time of the
/// start in milliseconds.
pub const INCARNATION_RANDOM_BITS: u32 = 8;

/// The state shared by the traffic thread and the control thread.
#[derive(Debug)]
pub struct EdgeShared {
    /// The settings as read at startup.
    pub settings: settings::EdgeSettings,
    /// A number that identifies this start of the process; later starts have higher ones.
    pub incarnation: u64,
    /// The token buckets of the workspaces.
    pub rate_limiter: limiter::RateLimiter,
    /// Notified when callers start to wait for tokens.
    pub tokens_wanted: Notify,
    /// The number of operations that callers have started.
    pub operation_count: AtomicU64,
    /// Sends evidence about leaders to the control thread.
    pub evidence_sender: mpsc::Sender<LeaderEvidence>,
    /// This VM's part in the fleet.
    pub fleet_status: FleetStatus,
    /// Whether idle sessions are to be closed, so that their callers connect to another VM.
    pub hand_over: watch::Sender<bool>,
    /// What this VM saw of databases since the control thread last took it.
    observations: Mutex<ObservationMap>,
    /// The current phase of the shutdown.
    pub drain_phase: watch::Sender<DrainPhase>,
    /// When the store last answered a read of the configuration.
    configuration_read_at: Mutex<Option<Instant>>,
    snapshot: ArcSwap<EdgeSnapshot>,
    snapshot_number: watch::Sender<u64>,
    positions: Mutex<BTreeMap<name::ServiceName, history::PositionHistory>>,
    /// When this process started.
    pub started_at: Instant,
    /// What this process acknowledged to callers.
    acknowledged: Mutex<BTreeMap<name::ServiceName, AcknowledgedCommits>>,
}

/// Stands for a commit that no position bounds.
pub const UNBOUNDED_END: position::LogPosition = position::LogPosition::new(u64::MAX, u64::MAX);

/// The commits of a leader that a VM acknowledged to callers.
#[derive(Debug)]
struct AcknowledgedCommits {
    leader: name::DatabaseName,
    log_end_when_chosen: Option<position::LogPosition>,
    /// A position that covers all of them.
    end: position::LogPosition,
}

impl AcknowledgedCommits {
    fn is_of(&self, leader: &LeaderView) -> bool {
        (&self.leader, self.log_end_when_chosen) == (&leader.database, leader.log_end_when_chosen)
    }
}

/// What a VM saw of each database, with the database's service.
pub type ObservationMap =
    BTreeMap<name::DatabaseName, (name::ServiceName, assessment::DatabaseObservation)>;

/// The capacity of the evidence queue to the control thread; further evidence is dropped.
const MAX_QUEUED_EVIDENCE: usize = 256;

impl EdgeShared {
    /// Returns this process as the one that numbers lists of allocations.
    pub const fn list_allocator(&self) -> numbering::ListAllocator {
        numbering::ListAllocator {
            started_unix_ms: self.incarnation >> INCARNATION_RANDOM_BITS,
            tag: self.incarnation as u8,
        }
    }

    /// Creates the state with an empty snapshot, and the receiving end of the evidence queue.
    pub fn new(
        settings: settings::EdgeSettings,
        incarnation: u64,
    ) -> (Arc<Self>, mpsc::Receiver<LeaderEvidence>) {
        let (evidence_sender, receiver) = mpsc::channel(MAX_QUEUED_EVIDENCE);
        let shared = Self {
            settings,
            incarnation,
            rate_limiter: limiter::RateLimiter::with_clock(limiter::LimiterClock(clock::now))
                .with_restarted_buckets(),
            tokens_wanted: Notify::new(),
            operation_count: AtomicU64::new(0),
            evidence_sender,
            fleet_status: FleetStatus::default(),
            hand_over: watch::Sender::new(false),
            observations: Mutex::default(),
            drain_phase: watch::Sender::new(DrainPhase::Serving),
            configuration_read_at: Mutex::default(),
            snapshot: ArcSwap::default(),
            snapshot_number: watch::Sender::new(0),
            positions: Mutex::default(),
            started_at: clock::now(),
            acknowledged: Mutex::default(),
        };
        (Arc::new(shared), receiver)
    }

    /// Returns the current snapshot.
    pub fn snapshot(&self) -> Arc<EdgeSnapshot> {
        self.snapshot.load_full()
    }

    /// Tells sessions to close once the platform has had time to notice that this VM hands over its
    /// callers, and to stay open again when it no longer does.
    pub fn update_hand_over(&self, now: Instant) {
        let noticed_by = now.checked_sub(READINESS_NOTICE_TIME);
        let snapshot = self.snapshot();
        let is_noticed = noticed_by.is_some_and(|by| snapshot.hands_over_callers(by));
        let has_changed = self.hand_over.send_if_modified(|hand_over| {
            let has_changed = *hand_over != is_noticed;
            *hand_over = is_noticed;
            has_changed
        });
        if has_changed {
            log::info!(hands_over = is_noticed; "whether this VM hands over its callers has changed");
        }
    }

    /// Replaces the snapshot. If `has_changed` is set, tasks that wait for a change are woken;
    /// it is not set when only leases were renewed.
    pub fn replace_snapshot(&self, snapshot: EdgeSnapshot, has_changed: bool) {
        self.snapshot.store(Arc::new(snapshot));
        let published = &self.fleet_status.published_snapshots;
        published.fetch_add(1, Ordering::Relaxed);
        if has_changed {
            self.snapshot_number.send_modify(|count| *count += 1);
        }
    }

    /// Returns a receiver that is notified of each change of the snapshot.
    pub fn subscribe_to_snapshots(&self) -> watch::Receiver<u64> {
        self.snapshot_number.subscribe()
    }

    /// Records that the store answered a read of the configuration at an instant.
    pub fn record_configuration_read(&self, read_at: Instant) {
        let mut last_read_at = self.lock_configuration_read_at();
        *last_read_at = (*last_read_at).max(Some(read_at));
    }

    /// Returns when the store last answered a read of the configuration.
    pub fn configuration_read_at(&self) -> Option<Instant> {
        *self.lock_configuration_read_at()
    }

    fn lock_configuration_read_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.configuration_read_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the positions observed at the leaders of each service.
    pub fn lock_positions(
        &self,
    ) -> MutexGuard<'_, BTreeMap<name::ServiceName, history::PositionHistory>> {
        self.positions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a statement showed of a database.
    pub fn observe_database(
        &self,
        entry: &database::DatabaseEntry,
        observe: impl FnOnce(&mut assessment::DatabaseObservation),
    ) {
        let observations = self.observations.lock();
        let mut observations = observations.unwrap_or_else(PoisonError::into_inner);
        match observations.get_mut(&entry.id) {
            Some((_, observation)) => observe(observation),
            None => {
                let mut observation = assessment::DatabaseObservation::default();
                observe(&mut observation);
                let key = entry.id.clone();
                observations.insert(key, (entry.service.clone(), observation));
            }
        }
    }

    /// Takes what this VM saw of databases since the last call.
    pub fn take_observations(&self) -> ObservationMap {
        let observations = self.observations.lock();
        std::mem::take(&mut *observations.unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the latest position observed at any leader of a service.
    pub fn latest_position(&self, service: &name::ServiceName) -> Option<position::LogPosition> {
        let positions = self.lock_positions();
        positions.get(service).and_then(|history| history.latest())
    }

    /// Records that a commit of a leader may be acknowledged to a caller. `position` is the position
    /// that the leader reported after the commit.
    ///
    /// The commit must be recorded before the snapshot is loaded by which it is assessed, so that a
    /// VM which has learned of a replacement reports all that it acknowledged before.
    pub fn record_acknowledged(
        &self,
        service: &name::ServiceName,
        leader: &LeaderView,
        position: Option<position::LogPosition>,
    ) {
        let chosen = leader.log_end_when_chosen;
        // A leader that has not replayed its log reports a position before its own commits.
        let is_bound = |position: &position::LogPosition| {
            chosen.is_none_or(|chosen| position.offset > chosen.offset)
        };
        let end = position.filter(is_bound).unwrap_or(UNBOUNDED_END);
        let mut acknowledged = self.lock_acknowledged();
        match acknowledged.get_mut(service) {
            Some(record) if record.is_of(leader) => record.end = record.end.max(end),
            // Only the log of a later leader has commits that are not known yet.
            Some(record) if record.log_end_when_chosen > chosen => {}
            _ => {
                let record = AcknowledgedCommits {
                    leader: leader.database.clone(),
                    log_end_when_chosen: chosen,
                    end,
                };
                acknowledged.insert(service.clone(), record);
            }
        }
    }

    /// Returns a position that covers every commit of a leader that was recorded.
    pub fn acknowledged_end(
        &self,
        service: &name::ServiceName,
        leader: &LeaderView,
    ) -> Option<position::LogPosition> {
        let acknowledged = self.lock_acknowledged();
        let record = acknowledged.get(service)?;
        record.is_of(leader).then_some(record.end)
    }

    fn lock_acknowledged(
        &self,
    ) -> MutexGuard<'_, BTreeMap<name::ServiceName, AcknowledgedCommits>> {
        self.acknowledged
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a service's leader had reached `position` when it answered a request sent
    /// at or after `requested_at`. The caller ensures that the database was the leader then.
    pub fn record_position(
        &self,
        service: &name::ServiceName,
        requested_at: Instant,
        position: position::LogPosition,
    ) {
        let mut positions = self.lock_positions();
        match positions.get_mut(service) {
            Some(history) => history.record(requested_at, position),
            None => {
                let mut history = history::PositionHistory::default();
                history.record(requested_at, position);
                positions.insert(service.clone(), history);
            }
        }
    }
}

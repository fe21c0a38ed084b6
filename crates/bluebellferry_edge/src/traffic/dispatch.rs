//! Obtains a database connection for each statement, from the pool or by opening a new one.

mod pacing;
mod places;
mod preparation;
mod ranking;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_catalog::homes;
use bluebellferry_limits::pace;
use bluebellferry_pool::estimate;
use bluebellferry_pool::pool;
use bluebellferry_routing::assessment;
use bluebellferry_runtime::clock;
use bluebellferry_session::connection_state;
use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use tokio::sync::oneshot;

use crate::shared;
use crate::traffic::access;
use crate::traffic::connection;
use crate::traffic::metrics;
use crate::traffic::placement;

/// The expected latency of a database before the first measurement: in this data centre, in this
/// region, and elsewhere.
const INITIAL_LATENCIES: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(25),
    Duration::from_millis(45),
];
/// The initial backoff for a database that cannot be reached or does not answer.
const INITIAL_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);
/// The maximum backoff for a database that cannot be reached or does not answer.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1_600);
/// The initial backoff for a replica that had not replayed the position a read required.
const INITIAL_LAG_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum backoff for a replica that had not replayed the position a read required.
const MAX_LAG_BACKOFF: Duration = Duration::from_millis(800);
/// How often a waiting statement ranks the databases again: another database may be able to run
/// it by then.
const RERANK_INTERVAL: Duration = Duration::from_millis(150);
/// The divisor of a database's connection limit that gives the number of connections allocated to
/// no VM. A database keeps the connections of a VM that lost power open for several seconds, and
/// the VM may be back before they are closed. The VM that replaces a leader also needs a
/// connection to each database.
const RESERVED_DIVISOR: u32 = 3;
/// The minimum number of connections to a database that a VM may open. Where there are more VMs
/// than connections, most VMs are allocated none and borrow one while they use it.
const MIN_CONNECTION_LIMIT: usize = 1;
/// How long a borrowed connection may stay idle. The next statement of the same caller usually
/// arrives within this time.
const BORROWED_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long any connection may stay idle; shorter than the platform's own limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(45);
/// How long a statement waits for a database while only other VMs can use the service's leader.
/// If the leader's lease can be confirmed to this VM again, that happens within this time.
pub const SERVED_ELSEWHERE_TIMEOUT: Duration = Duration::from_millis(150);
/// The minimum time that a read or BEGIN waits for a database before it is retried at another.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum time that a read or BEGIN waits for a database before it is retried at another.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection to a database that the pool manages.
pub type PoolConnection = connection::DatabaseConnection;

/// A connection to a database that may run the statement in its current role.
#[derive(Debug)]
pub struct PlacedConnection {
    /// The connection, which the statement uses exclusively.
    pub connection: PoolConnection,
    /// The position that the database must have replayed before it runs the statement; sent
    /// along with reads and BEGIN.
    pub min_position: Option<position::LogPosition>,
}

/// A statement's request for a connection to a database that may run it.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The service whose databases may run the statement.
    pub service: name::ServiceName,
    /// The workspace for which the statement runs. It is refused once its key does not name that
    /// workspace any more.
    pub claim: access::WorkspaceClaim,
    /// The workspace, priority and SLO deadline, which determine the place in the wait queue.
    pub pool_request: pool::ConnectionRequest,
    /// What the statement requires of the database.
    pub requirement: placement::PlacementRequirement,
    /// The regions that the statement must not leave.
    pub homes: homes::HomeRegions,
    /// The databases at which the statement has just failed.
    pub excluded: Vec<pool::DatabaseIndex>,
    /// When the statement is refused.
    pub deadline: Instant,
    /// When the statement is refused if no database can run it through this VM but other VMs
    /// can use the service's leader.
    pub served_elsewhere_deadline: Instant,
    /// What a connection that is opened for the statement is set up with.
    pub needs: connection_state::SessionNeeds,
}

/// A statement that waits for a connection.
#[derive(Debug)]
struct WaitingStatement {
    workspace: name::WorkspaceName,
    needs: connection_state::SessionNeeds,
    granted: oneshot::Sender<PoolConnection>,
}

#[derive(Debug, Default)]
struct DispatchState {
    records: Vec<ranking::DatabaseRecord>,
    indexes: HashMap<name::DatabaseName, pool::DatabaseIndex>,
    pool: pool::ConnectionPool<PoolConnection>,
    waiters: BTreeMap<pool::WaiterId, WaitingStatement>,
}

/// Tracks the databases and manages this VM's connections to them.
#[derive(Debug)]
pub struct Dispatcher {
    shared: Arc<shared::EdgeShared>,
    metrics: metrics::TrafficMetrics,
    state: RefCell<DispatchState>,
    /// The number of the last connection that was opened.
    last_connection_number: Cell<u64>,
}

/// The result of one attempt to acquire a connection.
enum AcquireStep {
    Granted(PoolConnection),
    Wait(pool::WaiterId, oneshot::Receiver<PoolConnection>),
    NoDatabase,
    QueueFull,
    /// The statements ahead in the queue are expected to take this much longer than the time
    /// left until the deadline.
    QueueTooSlow(Duration),
}

impl Dispatcher {
    /// Creates a dispatcher without databases; `apply_snapshot` adds them.
    pub fn new(shared: Arc<shared::EdgeShared>, metrics: metrics::TrafficMetrics) -> Self {
        Self {
            shared,
            metrics,
            state: RefCell::default(),
            last_connection_number: Cell::default(),
        }
    }

    /// Applies the registered databases and this VM's allocation of their connection limits.
    pub fn apply_snapshot(self: &Rc<Self>, now: Instant) {
        let snapshot = self.shared.snapshot();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for record in &mut state.records {
            record.is_registered = false;
        }
        for entry in snapshot.databases.iter() {
            let index = self.update_record(state, entry);
            let service = snapshot.configuration.services.get(&entry.service);
            let has_pace = service.is_some_and(|service| service.cold_pace.is_some());
            let pace_share = || self.shared.rate_limiter.find(&entry.id);
            state.records[index].pace_share = has_pace.then(pace_share).flatten();
            let limit = service.map_or(0, |service| service.max_connections);
            let allocated = snapshot
                .allocation
                .count_of(limit.saturating_sub(limit / RESERVED_DIVISOR));
            let borrowed = MIN_CONNECTION_LIMIT.saturating_sub(allocated);
            drop(state.pool.set_connection_limit(index, allocated, borrowed));
        }
        for (index, record) in state.records.iter().enumerate() {
            if record.is_departing(&snapshot) {
                drop(state.pool.drain_idle(index));
            }
        }
        drop(state.pool.drain_unused(IDLE_TIMEOUT, now));
        for index in 0..state.records.len() {
            pacing::record_contact(state, index);
            let action = state.pool.serve_waiting(index, now);
            self.perform_actions(state, action, now);
        }
    }

    /// Adds or updates the record of a registered database and returns its index.
    fn update_record(
        &self,
        state: &mut DispatchState,
        entry: &database::DatabaseEntry,
    ) -> pool::DatabaseIndex {
        let existing = state.indexes.get(&entry.id).copied();
        let index = existing.unwrap_or_else(|| {
            let latency = self.initial_latency(entry);
            state.records.push(ranking::DatabaseRecord {
                entry: Arc::new(entry.clone()),
                is_registered: true,
                latency: estimate::LatencyEstimate::new(latency),
                initial_latency: latency,
                busy_at: None,
                unreachable_backoff: ranking::AvoidanceBackoff::default(),
                lag_backoff: ranking::AvoidanceBackoff::default(),
                pace_share: None,
                contact: pace::ContactRecord::default(),
            });
            let index = state.records.len() - 1;
            state.indexes.insert(entry.id.clone(), index);
            index
        });
        let record = &mut state.records[index];
        record.is_registered = true;
        if *record.entry != *entry {
            if record.entry.started_unix_ms != entry.started_unix_ms {
                // The database was restarted, so its connections are no longer usable.
                drop(state.pool.drain_idle(index));
                record.unreachable_backoff.reset();
                record.lag_backoff.reset();
                record.contact.record_interrupted();
            }
            record.entry = Arc::new(entry.clone());
        }
        index
    }

    /// Returns the expected latency of a database without measurements.
    fn initial_latency(&self, entry: &database::DatabaseEntry) -> Duration {
        let settings = &self.shared.settings;
        let region = settings.regions.get(&entry.data_centre);
        if entry.data_centre == settings.data_centre {
            INITIAL_LATENCIES[0]
        } else if region == Some(&settings.region) {
            INITIAL_LATENCIES[1]
        } else {
            INITIAL_LATENCIES[2]
        }
    }

    /// Waits until a connection is available for a statement, and returns it.
    ///
    /// # Errors
    /// Returns a refusal if no connection is available before the deadline, or if the claim of the
    /// request does not hold any more. The refusal states that the statement has not run.
    pub async fn acquire(
        self: &Rc<Self>,
        request: &mut PlacementRequest,
    ) -> Result<PlacedConnection, refusal::RequestRefusal> {
        let mut changes = self.shared.subscribe_to_snapshots();
        loop {
            changes.mark_unchanged();
            request
                .claim
                .confirm(&self.shared.snapshot().configuration)?;
            let now = clock::now();
            if now >= request.deadline {
                let reason = refusal::RefusalReason::QueueTimeout;
                let refusal = refuse_not_run(reason, "no connection came free in time");
                return Err(refusal.retry_after(RERANK_INTERVAL));
            }
            let time_left = request.deadline.saturating_duration_since(now);
            match self.try_acquire(request, now) {
                AcquireStep::Granted(connection) => {
                    if let Some(placed) = self.check_placement(connection, request) {
                        return self.keep_pace_of(placed, request).await;
                    }
                }
                AcquireStep::Wait(waiter, granted) => {
                    match tokio::time::timeout(time_left.min(RERANK_INTERVAL), granted).await {
                        Ok(Ok(connection)) => {
                            if let Some(placed) = self.check_placement(connection, request) {
                                return self.keep_pace_of(placed, request).await;
                            }
                        }
                        // Opening the connection failed; another database may be available.
                        Ok(Err(_)) => {}
                        Err(_) => {
                            let mut state = self.state.borrow_mut();
                            state.pool.cancel(waiter);
                            state.waiters.remove(&waiter);
                        }
                    }
                }
                AcquireStep::NoDatabase => {
                    if let Some(refusal) = self.refuse_conflict(request) {
                        return Err(refusal);
                    }
                    // A database at which the statement failed may be the only one that can run it.
                    request.excluded.clear();
                    self.wait_for_database(request, time_left, &mut changes)
                        .await?;
                }
                AcquireStep::QueueFull => {
                    let refusal =
                        refuse_not_run(refusal::RefusalReason::QueueFull, "too many wait already");
                    return Err(refusal.retry_after(INITIAL_UNREACHABLE_BACKOFF));
                }
                AcquireStep::QueueTooSlow(overrun) => {
                    let reason = refusal::RefusalReason::QueueFull;
                    let refusal = refuse_not_run(reason, "too many wait to be answered in time");
                    return Err(refusal.retry_after(overrun.max(RERANK_INTERVAL)));
                }
            }
        }
    }

    /// Returns the connection if its database may still run the statement, since the snapshot may
    /// have changed while the statement waited. Otherwise puts the connection back into the pool.
    pub fn check_placement(
        self: &Rc<Self>,
        connection: PoolConnection,
        request: &PlacementRequest,
    ) -> Option<PlacedConnection> {
        if !connection.is_usable() {
            self.record_interrupted(connection.database);
            self.discard(connection);
            return None;
        }
        let entry = self.registry_entry(connection.database);
        let snapshot = self.shared.snapshot();
        let role = placement::role_of(&snapshot, &entry, request.requirement, clock::now());
        let is_allowed = self.place_rules(request).allow(&snapshot, &entry);
        let Some(role) = role.filter(|_| is_allowed) else {
            self.metrics.count_connection("no_longer_suitable");
            self.release(connection);
            return None;
        };
        let observed = self.shared.latest_position(&entry.service);
        let min_position = role.min_position(observed);
        Some(PlacedConnection {
            connection,
            min_position,
        })
    }

    /// Waits a short time for a change of the snapshot.
    ///
    /// # Errors
    /// Returns a refusal when the deadline has passed, or earlier if only other VMs can use the
    /// service's leader.
    async fn wait_for_database(
        &self,
        request: &PlacementRequest,
        time_left: Duration,
        changes: &mut tokio::sync::watch::Receiver<u64>,
    ) -> Result<(), refusal::RequestRefusal> {
        let delay = time_left.min(INITIAL_UNREACHABLE_BACKOFF / 4);
        tokio::time::timeout(delay, changes.changed()).await.ok();
        let now = clock::now();
        let snapshot = self.shared.snapshot();
        let is_only_served_elsewhere = now >= request.served_elsewhere_deadline
            && snapshot.served_elsewhere.contains(&request.service);
        if now < request.deadline && !is_only_served_elsewhere {
            return Ok(());
        }
        let reason = if request.requirement.replica_min_position.is_some() {
            refusal::RefusalReason::PositionUnreachable
        } else {
            refusal::RefusalReason::NoPrimary
        };
        Err(
            refuse_not_run(reason, "no database could take the statement")
                .retry_after(INITIAL_UNREACHABLE_BACKOFF),
        )
    }

    /// Returns the databases that may run a statement, the best first.
    fn rank(
        &self,
        state: &DispatchState,
        request: &PlacementRequest,
        now: Instant,
    ) -> Vec<(pool::DatabaseIndex, Duration)> {
        let snapshot = self.shared.snapshot();
        let rules = self.place_rules(request);
        ranking::rank_databases(&state.records, &state.pool, &snapshot, request, rules, now)
    }

    /// Returns an idle connection to the first-ranked database. If there is none, queues the
    /// statement and starts to open a connection there.
    fn try_acquire(self: &Rc<Self>, request: &PlacementRequest, now: Instant) -> AcquireStep {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let ranked = self.rank(state, request, now);
        let Some((best, _)) = ranked.first().copied() else {
            return AcquireStep::NoDatabase;
        };
        let workspace = &request.pool_request.workspace;
        if let Some(connection) = state.pool.reuse_idle(workspace, best) {
            return AcquireStep::Granted(connection);
        }
        let indexes: Vec<_> = ranked.iter().map(|(index, _)| *index).collect();
        let time_left = request.deadline.saturating_duration_since(now);
        let pool_request = &request.pool_request;
        let overrun = state
            .pool
            .expected_overrun(pool_request, &indexes, time_left, now);
        if let Some(overrun) = overrun {
            return AcquireStep::QueueTooSlow(overrun);
        }
        let Some(waiter) = state.pool.enqueue(request.pool_request.clone(), indexes) else {
            return AcquireStep::QueueFull;
        };
        let (sender, granted) = oneshot::channel();
        let waiting = WaitingStatement {
            workspace: workspace.clone(),
            needs: request.needs.clone(),
            granted: sender,
        };
        state.waiters.insert(waiter, waiting);
        if let Some(opening) = state.pool.begin_open(workspace, best, now) {
            self.open(opening, request.needs.clone());
        }
        AcquireStep::Wait(waiter, granted)
    }

    /// Opens a connection in a task of its own. The task goes on if the waiting statement is
    /// cancelled, so that the handshake, which costs the database time, isn't wasted.
    fn open(
        self: &Rc<Self>,
        opening: pool::ConnectionOpening<PoolConnection>,
        needs: connection_state::SessionNeeds,
    ) {
        let dispatcher = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let pool::ConnectionOpening {
                database,
                workspace,
                evicted,
            } = opening;
            drop(evicted);
            let entry = dispatcher.registry_entry(database);
            let number = dispatcher.last_connection_number.get() + 1;
            dispatcher.last_connection_number.set(number);
            let observe = |step: &connection_state::SetupStep, error| {
                dispatcher.metrics.count_setup_step(step, error);
            };
            let opened =
                PoolConnection::open(database, &entry, &workspace, number, &needs, observe).await;
            match opened {
                Ok(connection) => dispatcher.finish_open(connection),
                Err(error) => dispatcher.fail_open(database, &workspace, error),
            }
        });
    }

    fn finish_open(self: &Rc<Self>, connection: PoolConnection) {
        self.metrics.count_connection("opened");
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let record = &mut state.records[connection.database];
        record.unreachable_backoff.reset();
        record.contact.record_opened(now);
        let (database, workspace) = (connection.database, connection.workspace.clone());
        let action = state.pool.finish_open(database, workspace, connection, now);
        self.perform_actions(state, action, now);
    }

    fn fail_open(
        self: &Rc<Self>,
        database: pool::DatabaseIndex,
        workspace: &name::WorkspaceName,
        error: connection::OpenError,
    ) {
        self.record_open_error(database, error);
        let mut state = self.state.borrow_mut();
        for waiter in state.pool.fail_open(database, workspace) {
            // Dropping the sender wakes the statement, which then tries another database.
            state.waiters.remove(&waiter);
        }
    }

    /// Performs the actions that the connection pool decides on until there are none left.
    fn perform_actions(
        self: &Rc<Self>,
        state: &mut DispatchState,
        action: Option<pool::PoolAction<PoolConnection>>,
        now: Instant,
    ) {
        let mut next = action;
        while let Some(action) = next.take() {
            match action {
                pool::PoolAction::Open(opening) => {
                    let database = opening.database;
                    let mut waiting = state.waiters.values();
                    let next_user =
                        waiting.find(|statement| statement.workspace == opening.workspace);
                    let needs = next_user.map(|statement| statement.needs.clone());
                    self.open(opening, needs.unwrap_or_default());
                    next = state.pool.serve_waiting(database, now);
                }
                pool::PoolAction::Grant { waiter, connection } => {
                    let database = connection.database;
                    let sender = state.waiters.remove(&waiter);
                    let returned = match sender {
                        Some(waiting) => waiting.granted.send(connection).err(),
                        None => Some(connection),
                    };
                    next = match returned {
                        Some(connection) => {
                            let workspace = connection.workspace.clone();
                            state.pool.release(database, workspace, connection, now)
                        }
                        None => state.pool.serve_waiting(database, now),
                    };
                }
            }
        }
    }

    fn record_open_error(&self, database: pool::DatabaseIndex, error: connection::OpenError) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let record = &mut state.records[database];
        let entry = Arc::clone(&record.entry);
        let result = match error {
            connection::OpenError::ConnectionLimit => {
                record.busy_at = Some(now);
                state.pool.record_limit_refusal(database, now);
                "limit"
            }
            connection::OpenError::Busy => {
                record.busy_at = Some(now);
                state.pool.record_limit_refusal(database, now);
                "busy"
            }
            connection::OpenError::Misrouted => {
                record.unreachable_backoff.back_off(
                    MAX_UNREACHABLE_BACKOFF,
                    MAX_UNREACHABLE_BACKOFF,
                    now,
                );
                "misrouted"
            }
            connection::OpenError::Unreachable => {
                record.unreachable_backoff.back_off(
                    INITIAL_UNREACHABLE_BACKOFF,
                    MAX_UNREACHABLE_BACKOFF,
                    now,
                );
                "unreachable"
            }
        };
        self.metrics.count_connection(result);
        log::info!(database = entry.id.as_str(), result = result; "failed to connect to a database");
        drop(state);
        if matches!(
            error,
            connection::OpenError::Unreachable | connection::OpenError::Misrouted
        ) {
            self.record_statement_failure(database);
            self.report_evidence(database, shared::EvidenceKind::Unresponsive);
        }
    }

    /// Puts a connection back into the pool. Closes it instead if a transaction is still open on
    /// it, which rolls the transaction back.
    pub fn release(self: &Rc<Self>, connection: PoolConnection) {
        if !connection.has_ended_transaction() {
            let entry = self.registry_entry(connection.database);
            log::info!(database = entry.id.as_str(); "closed a connection with an open transaction");
            self.metrics.count_connection("open_transaction");
            self.discard(connection);
            return;
        }
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let record = &state.records[connection.database];
        if record.is_departing(&self.shared.snapshot()) {
            drop(state);
            self.discard(connection);
            return;
        }
        let state = &mut *state;
        let (database, workspace) = (connection.database, connection.workspace.clone());
        let action = state.pool.release(database, workspace, connection, now);
        self.perform_actions(state, action, now);
        if state.pool.has_borrowed_idle(database) {
            self.schedule_borrowed_close(database);
        }
    }

    /// Closes borrowed connections to a database once they have been idle for
    /// `BORROWED_IDLE_TIMEOUT`, since other VMs may need them.
    fn schedule_borrowed_close(self: &Rc<Self>, database: pool::DatabaseIndex) {
        let dispatcher = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(BORROWED_IDLE_TIMEOUT).await;
            let mut state = dispatcher.state.borrow_mut();
            let now = clock::now();
            drop(
                state
                    .pool
                    .drain_borrowed(database, BORROWED_IDLE_TIMEOUT, now),
            );
            pacing::record_contact(&mut state, database);
        });
    }

    /// Closes a connection that must not be reused.
    pub fn discard(self: &Rc<Self>, connection: PoolConnection) {
        let database = connection.database;
        drop(connection);
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let action = state.pool.release_lost(database, now);
        pacing::record_contact(state, database);
        self.perform_actions(state, action, now);
    }

    /// Returns the number of statements that wait for a connection.
    pub fn waiting_count(&self) -> usize {
        self.state.borrow().pool.waiting_count()
    }

    /// Returns the registry entry of a database.
    pub fn registry_entry(&self, database: pool::DatabaseIndex) -> Arc<database::DatabaseEntry> {
        Arc::clone(&self.state.borrow().records[database].entry)
    }

    /// Records the time that a database took to answer.
    pub fn record_latency(&self, database: pool::DatabaseIndex, latency: Duration) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let record = &mut state.records[database];
        self.shared
            .observe_database(&record.entry, |observation| observation.add_answer(latency));
        record.latency.record(latency, now);
        record.unreachable_backoff.reset();
        let expected = record.latency.expected(now);
        state.pool.set_expected_latency(database, expected);
    }

    /// Records that a database failed a statement or did not answer it.
    pub fn record_statement_failure(&self, database: pool::DatabaseIndex) {
        let record = &mut self.state.borrow_mut().records[database];
        record.busy_at = Some(clock::now());
        self.shared
            .observe_database(&record.entry, assessment::DatabaseObservation::add_failure);
    }

    /// Records that a replica served a read that required a position.
    pub fn record_caught_up(&self, database: pool::DatabaseIndex) {
        self.state.borrow_mut().records[database]
            .lag_backoff
            .reset();
    }

    /// Records that a replica had not replayed the position that a read required.
    pub fn record_lag(&self, database: pool::DatabaseIndex) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let lag_backoff = &mut state.records[database].lag_backoff;
        lag_backoff.back_off(INITIAL_LAG_BACKOFF, MAX_LAG_BACKOFF, now);
    }

    /// Records that a database did not answer.
    pub fn record_unresponsive(&self, database: pool::DatabaseIndex) {
        let now = clock::now();
        self.record_statement_failure(database);
        let record = &mut self.state.borrow_mut().records[database];
        record.contact.record_interrupted();
        record.unreachable_backoff.back_off(
            INITIAL_UNREACHABLE_BACKOFF,
            MAX_UNREACHABLE_BACKOFF,
            now,
        );
    }

    /// Returns how long a read or BEGIN waits for a database before it is retried at another.
    pub fn response_timeout(&self, database: pool::DatabaseIndex) -> Duration {
        let state = self.state.borrow();
        let latency = &state.records[database].latency;
        latency.response_timeout(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
    }

    /// Reports the result of a statement to the control thread if the database is the leader.
    pub fn report_evidence(&self, database: pool::DatabaseIndex, kind: shared::EvidenceKind) {
        let entry = self.registry_entry(database);
        let snapshot = self.shared.snapshot();
        let leader = snapshot.leaders.get(&entry.service);
        if leader.is_none_or(|leader| leader.database != entry.id) {
            return;
        }
        let evidence = shared::LeaderEvidence {
            service: entry.service.clone(),
            database: entry.id.clone(),
            kind,
        };
        // If the queue is full, the control thread already has enough evidence.
        self.shared.evidence_sender.try_send(evidence).ok();
    }
}

fn refuse_not_run(reason: refusal::RefusalReason, message: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(reason, message)
}

//! Finding a connection for a statement.

mod ranking;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_pool::budget;
use bluebellferry_pool::estimate;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;
use tokio::sync::oneshot;

use crate::shared;
use crate::traffic::connection;
use crate::traffic::metrics;
use crate::traffic::placement;

/// What an answer is expected to take before one was seen: in this data
/// centre, in this region, elsewhere.
const FIRST_GUESS: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(25),
    Duration::from_millis(45),
];
/// How long a database that cannot be reached is avoided, at first and at most.
const AVOID_AT_FIRST: Duration = Duration::from_millis(200);
const AVOID_AT_MOST: Duration = Duration::from_millis(1_600);
/// How long a replica that lagged behind a read is avoided, at first and at most.
const LAG_AVOID_AT_FIRST: Duration = Duration::from_millis(50);
const LAG_AVOID_AT_MOST: Duration = Duration::from_millis(800);
/// After how long a waiting statement looks anew which databases can serve it.
const RECONSIDER: Duration = Duration::from_millis(150);
/// One connection in this many is left free at each database. A database holds the
/// connections of a VM that lost power for seconds, in which the VM is back already,
/// and whoever replaces a leader needs one too.
const RESERVED_SHARE: u32 = 3;
/// How many connections to a database a VM may hold at least. Where there are more VMs
/// than connections, most own none and borrow one while they use it.
const LEAST_ALLOWANCE: usize = 1;
/// How long a borrowed connection is kept unused: the next statement of the same caller
/// comes within that time.
const KEEP_BORROWED: Duration = Duration::from_millis(150);
/// How long an unused connection is kept; shorter than the platform's own limit.
const KEEP_UNUSED: Duration = Duration::from_secs(45);
/// How long a statement that only other VMs can serve waits here for that to
/// change: a lease is confirmed anew within that time if at all.
pub const HOPELESS_AFTER: Duration = Duration::from_millis(150);
/// The shortest and longest time that a read waits for one database's answer.
const LEAST_PATIENCE: Duration = Duration::from_millis(250);
const MOST_PATIENCE: Duration = Duration::from_millis(1_500);

/// A connection that a statement holds.
pub type HeldConnection = connection::DatabaseConnection;

/// A connection to a database that may take a statement now.
#[derive(Debug)]
pub struct PlacedConnection {
    /// The connection.
    pub held: HeldConnection,
    /// The position that the database must be asked to hold.
    pub since: Option<position::LogPosition>,
}

/// What a statement needs.
#[derive(Debug, Clone)]
pub struct ConnectionDemand {
    /// The service.
    pub service: name::ServiceName,
    /// Who asks.
    pub request: budget::GrantRequest,
    /// What is asked of the database.
    pub needs: placement::PlacementNeeds,
    /// Databases that have just failed the statement.
    pub excluded: Vec<budget::DatabaseIndex>,
    /// When the statement must be given up.
    pub deadline: Instant,
    /// When it is refused if no database can take it here but another VM serves it.
    pub hopeless_after: Instant,
}

#[derive(Debug, Default)]
struct DispatchState {
    records: Vec<ranking::DatabaseRecord>,
    indexes: HashMap<name::DatabaseName, budget::DatabaseIndex>,
    budget: budget::ConnectionBudget<HeldConnection>,
    waiters: BTreeMap<budget::WaiterId, oneshot::Sender<HeldConnection>>,
}

/// The databases and connections of this VM.
#[derive(Debug)]
pub struct Dispatcher {
    shared: Arc<shared::EdgeShared>,
    metrics: metrics::TrafficMetrics,
    state: RefCell<DispatchState>,
}

/// A step towards a connection.
enum ObtainStep {
    Granted(HeldConnection),
    Wait(budget::WaiterId, oneshot::Receiver<HeldConnection>),
    NoDatabase,
    TooManyWaiting,
    /// The statements ahead are expected to take this much longer than there is time.
    TooLate(Duration),
}

impl Dispatcher {
    /// Creates a dispatcher that knows no database.
    pub fn new(shared: Arc<shared::EdgeShared>, metrics: metrics::TrafficMetrics) -> Self {
        Self {
            shared,
            metrics,
            state: RefCell::default(),
        }
    }

    /// Applies the registered databases and this VM's part of their limits.
    pub fn apply_snapshot(self: &Rc<Self>, now: Instant) {
        let snapshot = self.shared.snapshot();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for record in &mut state.records {
            record.is_listed = false;
        }
        for entry in snapshot.databases.iter() {
            let index = self.admit_entry(state, entry);
            let service = snapshot.configuration.services.get(&entry.service);
            let limit = service.map_or(0, |service| service.max_connections);
            let own = snapshot
                .part
                .count_of(limit.saturating_sub(limit / RESERVED_SHARE));
            let borrowed = LEAST_ALLOWANCE.saturating_sub(own);
            drop(state.budget.set_allowance(index, own, borrowed));
        }
        for (index, record) in state.records.iter().enumerate() {
            if !record.is_listed || record.entry.is_draining {
                drop(state.budget.drain_idle(index));
            }
        }
        drop(state.budget.drain_unused(KEEP_UNUSED, now));
        for index in 0..state.records.len() {
            let action = state.budget.serve_waiting(index, now);
            self.act(state, action, now);
        }
    }

    fn admit_entry(
        &self,
        state: &mut DispatchState,
        entry: &database::DatabaseEntry,
    ) -> budget::DatabaseIndex {
        let known = state.indexes.get(&entry.id).copied();
        let index = known.unwrap_or_else(|| {
            let guess = self.first_guess(entry);
            state.records.push(ranking::DatabaseRecord {
                entry: Arc::new(entry.clone()),
                is_listed: true,
                latency: estimate::LatencyEstimate::new(guess),
                unreachable: ranking::AvoidedUntil::default(),
                lagging: ranking::AvoidedUntil::default(),
            });
            let index = state.records.len() - 1;
            state.indexes.insert(entry.id.clone(), index);
            index
        });
        let record = &mut state.records[index];
        record.is_listed = true;
        if *record.entry != *entry {
            if record.entry.started_unix_ms != entry.started_unix_ms {
                // A restart: what its connections held is gone.
                drop(state.budget.drain_idle(index));
                record.unreachable.clear();
                record.lagging.clear();
            }
            record.entry = Arc::new(entry.clone());
        }
        index
    }

    fn first_guess(&self, entry: &database::DatabaseEntry) -> Duration {
        let settings = &self.shared.settings;
        let region = settings.regions.get(&entry.data_centre);
        if entry.data_centre == settings.data_centre {
            FIRST_GUESS[0]
        } else if region == Some(&settings.region) {
            FIRST_GUESS[1]
        } else {
            FIRST_GUESS[2]
        }
    }

    /// Returns a connection for a statement, waiting until one can be had.
    ///
    /// # Errors
    /// Returns an honest refusal when there is none before the deadline; the
    /// statement has not run.
    pub async fn obtain(
        self: &Rc<Self>,
        demand: &mut ConnectionDemand,
    ) -> Result<PlacedConnection, refusal::RequestRefusal> {
        let mut changes = self.shared.changes();
        loop {
            changes.mark_unchanged();
            let now = clock::now();
            if now >= demand.deadline {
                let reason = refusal::RefusalReason::QueueTimeout;
                let refusal = refuse(reason, "no connection came free in time");
                return Err(refusal.retry_after(RECONSIDER));
            }
            let left = demand.deadline.saturating_duration_since(now);
            match self.begin_obtain(demand, now) {
                ObtainStep::Granted(held) => {
                    if let Some(placed) = self.place(held, demand) {
                        return Ok(placed);
                    }
                }
                ObtainStep::Wait(waiter, granted) => {
                    match tokio::time::timeout(left.min(RECONSIDER), granted).await {
                        Ok(Ok(held)) => {
                            if let Some(placed) = self.place(held, demand) {
                                return Ok(placed);
                            }
                        }
                        // Its database cannot be had; another one may.
                        Ok(Err(_)) => {}
                        Err(_) => {
                            let mut state = self.state.borrow_mut();
                            state.budget.cancel(waiter);
                            state.waiters.remove(&waiter);
                        }
                    }
                }
                ObtainStep::NoDatabase => {
                    demand.excluded.clear();
                    self.wait_for_database(demand, left, &mut changes).await?;
                }
                ObtainStep::TooManyWaiting => {
                    let refusal =
                        refuse(refusal::RefusalReason::QueueFull, "too many wait already");
                    return Err(refusal.retry_after(AVOID_AT_FIRST));
                }
                ObtainStep::TooLate(excess) => {
                    let reason = refusal::RefusalReason::QueueFull;
                    let refusal = refuse(reason, "too many wait to be answered in time");
                    return Err(refusal.retry_after(excess.max(RECONSIDER)));
                }
            }
        }
    }

    /// Returns a connection if its database may still take the statement: what this VM
    /// believes may have changed while the statement waited.
    fn place(
        self: &Rc<Self>,
        held: HeldConnection,
        demand: &ConnectionDemand,
    ) -> Option<PlacedConnection> {
        if !held.is_usable() {
            self.forget(held);
            return None;
        }
        let entry = self.entry(held.database);
        let snapshot = self.shared.snapshot();
        let Some(role) = placement::role_of(&snapshot, &entry, demand.needs, clock::now()) else {
            self.metrics.count_connection("no_longer_suitable");
            self.release(held);
            return None;
        };
        let seen = self.shared.last_position(&entry.service);
        let since = role.position_to_ask(seen);
        Some(PlacedConnection { held, since })
    }

    /// Waits for news of a database that can be used.
    async fn wait_for_database(
        &self,
        demand: &ConnectionDemand,
        left: Duration,
        changes: &mut tokio::sync::watch::Receiver<u64>,
    ) -> Result<(), refusal::RequestRefusal> {
        let pause = left.min(AVOID_AT_FIRST / 4);
        tokio::time::timeout(pause, changes.changed()).await.ok();
        let now = clock::now();
        let snapshot = self.shared.snapshot();
        let is_hopeless =
            now >= demand.hopeless_after && snapshot.served_elsewhere.contains(&demand.service);
        if now < demand.deadline && !is_hopeless {
            return Ok(());
        }
        let reason = if demand.needs.replica_since.is_some() {
            refusal::RefusalReason::PositionUnreachable
        } else {
            refusal::RefusalReason::NoPrimary
        };
        Err(refuse(reason, "no database could take the statement").retry_after(AVOID_AT_FIRST))
    }

    fn begin_obtain(self: &Rc<Self>, demand: &ConnectionDemand, now: Instant) -> ObtainStep {
        let snapshot = self.shared.snapshot();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let ranked = ranking::rank_databases(&state.records, &state.budget, &snapshot, demand, now);
        let Some((best, _)) = ranked.first().copied() else {
            return ObtainStep::NoDatabase;
        };
        let workspace = &demand.request.workspace;
        if let Some(held) = state.budget.take_kept(workspace, best) {
            return ObtainStep::Granted(held);
        }
        let indexes: Vec<_> = ranked.iter().map(|(index, _)| *index).collect();
        let left = demand.deadline.saturating_duration_since(now);
        let request = &demand.request;
        let excess = state.budget.expected_excess(request, &indexes, left, now);
        if let Some(excess) = excess {
            return ObtainStep::TooLate(excess);
        }
        let Some(waiter) = state.budget.wait(demand.request.clone(), indexes) else {
            return ObtainStep::TooManyWaiting;
        };
        let (sender, granted) = oneshot::channel();
        state.waiters.insert(waiter, sender);
        if let Some(opening) = state.budget.begin_open(workspace, best, now) {
            self.open(opening);
        }
        ObtainStep::Wait(waiter, granted)
    }

    /// Opens a connection. This goes on when the statement that it was meant for
    /// is given up, so that the database's work for it is not lost.
    fn open(self: &Rc<Self>, opening: budget::ConnectionOpening<HeldConnection>) {
        let dispatcher = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let budget::ConnectionOpening {
                database,
                workspace,
                closing,
            } = opening;
            drop(closing);
            let entry = dispatcher.entry(database);
            match HeldConnection::open(database, &entry, &workspace).await {
                Ok(held) => dispatcher.finish_open(held),
                Err(error) => dispatcher.fail_open(database, &workspace, error),
            }
        });
    }

    fn finish_open(self: &Rc<Self>, held: HeldConnection) {
        self.metrics.count_connection("opened");
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.records[held.database].unreachable.clear();
        let (database, workspace) = (held.database, held.workspace.clone());
        let action = state.budget.finish_open(database, workspace, held, now);
        self.act(state, action, now);
    }

    fn fail_open(
        self: &Rc<Self>,
        database: budget::DatabaseIndex,
        workspace: &name::WorkspaceName,
        error: connection::OpenError,
    ) {
        self.record_open_error(database, error);
        let mut state = self.state.borrow_mut();
        for waiter in state.budget.fail_open(database, workspace) {
            // Without its sender the statement looks for another database.
            state.waiters.remove(&waiter);
        }
    }

    /// Carries out what the budget has decided, until nothing is left to do.
    fn act(
        self: &Rc<Self>,
        state: &mut DispatchState,
        action: Option<budget::PoolAction<HeldConnection>>,
        now: Instant,
    ) {
        let mut next = action;
        while let Some(action) = next.take() {
            match action {
                budget::PoolAction::Open(opening) => {
                    let database = opening.database;
                    self.open(opening);
                    next = state.budget.serve_waiting(database, now);
                }
                budget::PoolAction::Deliver { waiter, connection } => {
                    let database = connection.database;
                    let sender = state.waiters.remove(&waiter);
                    let returned = match sender {
                        Some(sender) => sender.send(connection).err(),
                        None => Some(connection),
                    };
                    next = match returned {
                        Some(held) => {
                            let workspace = held.workspace.clone();
                            state.budget.release(database, workspace, held, now)
                        }
                        None => state.budget.serve_waiting(database, now),
                    };
                }
            }
        }
    }

    fn record_open_error(&self, database: budget::DatabaseIndex, error: connection::OpenError) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let record = &mut state.records[database];
        let entry = Arc::clone(&record.entry);
        let result = match error {
            connection::OpenError::Limit => {
                state.budget.record_limit(database, now);
                "limit"
            }
            connection::OpenError::Busy => {
                state.budget.record_limit(database, now);
                "busy"
            }
            connection::OpenError::Misrouted => {
                record.unreachable.extend(AVOID_AT_MOST, AVOID_AT_MOST, now);
                "misrouted"
            }
            connection::OpenError::Unreachable => {
                record
                    .unreachable
                    .extend(AVOID_AT_FIRST, AVOID_AT_MOST, now);
                "unreachable"
            }
        };
        self.metrics.count_connection(result);
        log::info!(database = entry.id.as_str(), result = result; "no connection to a database");
        drop(state);
        if matches!(
            error,
            connection::OpenError::Unreachable | connection::OpenError::Misrouted
        ) {
            self.report_evidence(database, shared::EvidenceKind::Silent);
        }
    }

    /// Takes back a connection that can be used again.
    pub fn release(self: &Rc<Self>, held: HeldConnection) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let record = &state.records[held.database];
        if !record.is_listed || record.entry.is_draining {
            drop(state);
            self.forget(held);
            return;
        }
        let state = &mut *state;
        let (database, workspace) = (held.database, held.workspace.clone());
        let action = state.budget.release(database, workspace, held, now);
        self.act(state, action, now);
        if state.budget.has_borrowed_idle(database) {
            self.give_back_later(database);
        }
    }

    /// Closes connections that other VMs may need, once they have been unused for a while.
    fn give_back_later(self: &Rc<Self>, database: budget::DatabaseIndex) {
        let dispatcher = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(KEEP_BORROWED).await;
            let mut state = dispatcher.state.borrow_mut();
            let now = clock::now();
            drop(state.budget.drain_borrowed(database, KEEP_BORROWED, now));
        });
    }

    /// Closes a connection that must not be used again.
    pub fn forget(self: &Rc<Self>, held: HeldConnection) {
        let database = held.database;
        drop(held);
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let action = state.budget.forget(database, now);
        self.act(state, action, now);
    }

    /// Returns how many statements wait for a connection.
    pub fn waiting(&self) -> usize {
        self.state.borrow().budget.waiting()
    }

    /// Returns a database's entry.
    pub fn entry(&self, database: budget::DatabaseIndex) -> Arc<database::DatabaseEntry> {
        Arc::clone(&self.state.borrow().records[database].entry)
    }

    /// Notes the time that an answer took.
    pub fn record_answer(&self, database: budget::DatabaseIndex, latency: Duration) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let record = &mut state.records[database];
        record.latency.record(latency, now);
        record.unreachable.clear();
        let expected = record.latency.expected(now);
        state.budget.set_answer_time(database, expected);
    }

    /// Notes that a replica served a read that asked for a position.
    pub fn record_caught_up(&self, database: budget::DatabaseIndex) {
        self.state.borrow_mut().records[database].lagging.clear();
    }

    /// Notes that a replica was behind what a read asked for.
    pub fn record_lag(&self, database: budget::DatabaseIndex) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let lagging = &mut state.records[database].lagging;
        lagging.extend(LAG_AVOID_AT_FIRST, LAG_AVOID_AT_MOST, now);
    }

    /// Notes that no answer came.
    pub fn record_silence(&self, database: budget::DatabaseIndex) {
        let now = clock::now();
        self.state.borrow_mut().records[database]
            .unreachable
            .extend(AVOID_AT_FIRST, AVOID_AT_MOST, now);
    }

    /// Returns how long a read waits for an answer before it runs elsewhere.
    pub fn patience(&self, database: budget::DatabaseIndex) -> Duration {
        let state = self.state.borrow();
        let latency = &state.records[database].latency;
        latency.patience(LEAST_PATIENCE, MOST_PATIENCE)
    }

    /// Tells control what a statement showed about a leader.
    pub fn report_evidence(&self, database: budget::DatabaseIndex, kind: shared::EvidenceKind) {
        let entry = self.entry(database);
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
        // A full queue means that control has plenty of evidence already.
        self.shared.evidence.try_send(evidence).ok();
    }
}

fn refuse(reason: refusal::RefusalReason, message: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(reason, message)
}

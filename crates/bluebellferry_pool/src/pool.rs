//! The connection pool of one VM: its connections to all databases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;

use crate::grant_rate;
use crate::wait_queue;

pub use crate::wait_queue::ConnectionRequest;
pub use crate::wait_queue::DatabaseIndex;
pub use crate::wait_queue::MAX_WAITING_STATEMENTS;
pub use crate::wait_queue::MIN_EVICTION_LEAD;
pub use crate::wait_queue::WaiterId;

/// The expected delay of a statement that needs a new connection: the handshake's round
/// trips and the time that it occupies a slot of the database.
pub const OPENING_COST: Duration = Duration::from_millis(25);
/// The maximum number of connections that a VM opens to one database at the same time.
/// Handshakes queue at the database like statements, and many of them would crowd out statements.
pub const MAX_CONCURRENT_OPENINGS: usize = 1;
/// How long no connection is opened to a database that refused one because it is at its
/// connection limit.
const LIMIT_REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// A connection that the owner of the pool is to open.
#[derive(Debug, PartialEq, Eq)]
pub struct ConnectionOpening<C> {
    /// The database to connect to.
    pub database: DatabaseIndex,
    /// The workspace that the connection is opened for.
    pub workspace: name::WorkspaceName,
    /// The idle connection of another workspace that the new one replaces. It must be closed
    /// before the new one is opened.
    pub evicted: Option<C>,
}

/// What the owner of the pool is to do for the statements that wait for a database.
#[derive(Debug, PartialEq, Eq)]
pub enum PoolAction<C> {
    /// Grant an idle connection to a waiting statement.
    Grant {
        /// The statement that gets the connection.
        waiter: WaiterId,
        /// The connection, which now counts as in use.
        connection: C,
    },
    /// Open a connection for the workspace of a waiting statement.
    Open(ConnectionOpening<C>),
}

#[derive(Debug)]
struct IdleConnection<C> {
    workspace: name::WorkspaceName,
    connection: C,
    idle_since: Instant,
}

impl<C> IdleConnection<C> {
    fn is_idle_for(&self, idle_timeout: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.idle_since) >= idle_timeout
    }
}

#[derive(Debug)]
struct DatabaseConnections<C> {
    /// The number of connections allocated to this VM.
    allocated: usize,
    /// The maximum number of connections of this VM, including borrowed ones: those beyond
    /// its allocation, which it closes soon after they become idle.
    limit: usize,
    in_use: usize,
    /// The workspaces that connections are being opened for.
    opening: Vec<name::WorkspaceName>,
    idle: Vec<IdleConnection<C>>,
    /// Until when no connection is opened, because the database is at its connection limit.
    backoff_until: Option<Instant>,
    /// How long the database is expected to take to answer a statement.
    expected_latency: Duration,
    grant_rate: grant_rate::GrantRate,
}

impl<C> Default for DatabaseConnections<C> {
    fn default() -> Self {
        Self {
            allocated: 0,
            limit: 0,
            in_use: 0,
            opening: Vec::new(),
            idle: Vec::new(),
            backoff_until: None,
            expected_latency: Duration::ZERO,
            grant_rate: grant_rate::GrantRate::default(),
        }
    }
}

impl<C> DatabaseConnections<C> {
    fn connection_count(&self) -> usize {
        self.in_use + self.opening.len() + self.idle.len()
    }

    /// Removes idle connections for which `accept` returns true, the longest idle first,
    /// until at most `max_connections` are left. Returns them, to be closed.
    fn trim_idle(
        &mut self,
        max_connections: usize,
        accept: impl Fn(&IdleConnection<C>) -> bool,
    ) -> Vec<C> {
        let mut trimmed = Vec::new();
        while self.connection_count() > max_connections {
            let Some(connection) = remove_longest_idle(&mut self.idle, &accept) else {
                break;
            };
            trimmed.push(connection);
        }
        trimmed
    }

    fn may_open(&self, now: Instant) -> bool {
        let is_backing_off = self.backoff_until.is_some_and(|until| until > now);
        let has_room = !self.idle.is_empty() || self.connection_count() < self.limit;
        self.opening.len() < MAX_CONCURRENT_OPENINGS && has_room && !is_backing_off
    }
}

/// The connections of this VM to all databases, and the statements that wait for one.
///
/// The pool does no I/O: its owner opens and closes connections and reports the outcome.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    databases: BTreeMap<DatabaseIndex, DatabaseConnections<C>>,
    queue: wait_queue::WaitQueue,
}

impl<C> Default for ConnectionPool<C> {
    fn default() -> Self {
        Self {
            databases: BTreeMap::new(),
            queue: wait_queue::WaitQueue::default(),
        }
    }
}

impl<C> ConnectionPool<C> {
    /// Creates a pool that serves waiting statements in the given order instead of the default.
    pub fn with_order(order: wait_queue::QueueOrder) -> Self {
        Self {
            queue: wait_queue::WaitQueue::new(order),
            ..Self::default()
        }
    }

    /// Sets how many connections to a database are allocated to this VM, and how many more it
    /// may borrow for a short time. Returns the idle connections beyond the new limit, to be
    /// closed.
    pub fn set_connection_limit(
        &mut self,
        database: DatabaseIndex,
        allocated: usize,
        borrowable: usize,
    ) -> Vec<C> {
        let connections = self.databases.entry(database).or_default();
        let limit = allocated + borrowable;
        (connections.allocated, connections.limit) = (allocated, limit);
        connections.trim_idle(limit, |_| true)
    }

    /// Sets how long a database is expected to take to answer a statement.
    pub fn set_expected_latency(&mut self, database: DatabaseIndex, latency: Duration) {
        self.databases.entry(database).or_default().expected_latency = latency;
    }

    /// Takes an idle connection of a workspace, or returns `None` if there is none.
    pub fn reuse_idle(
        &mut self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
    ) -> Option<C> {
        let connections = self.databases.get_mut(&database)?;
        let connection =
            remove_last_used(&mut connections.idle, |idle| idle.workspace == *workspace)?;
        connections.in_use += 1;
        self.queue.record_turn(database, workspace);
        Some(connection)
    }

    /// Reserves a new connection for a workspace if there is room for it or an idle connection
    /// can be evicted. The pool's owner opens it and reports the outcome with
    /// [`Self::finish_open`] or [`Self::fail_open`].
    pub fn begin_open(
        &mut self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<ConnectionOpening<C>> {
        let connections = self.databases.get_mut(&database)?;
        if !connections.may_open(now) {
            return None;
        }
        let evicted = if connections.connection_count() < connections.limit {
            None
        } else {
            Some(remove_longest_idle(&mut connections.idle, |_| true)?)
        };
        connections.opening.push(workspace.clone());
        Some(ConnectionOpening {
            database,
            workspace: workspace.clone(),
            evicted,
        })
    }

    /// Adds a connection that was opened. Returns what to do for the waiting statements.
    pub fn finish_open(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        self.remove_opening(database, &workspace);
        self.add_idle(database, workspace, connection, now)
    }

    /// Records that a connection could not be opened. Removes the statements that wait for the
    /// database from the queue and returns them, so that they choose another database.
    pub fn fail_open(
        &mut self,
        database: DatabaseIndex,
        workspace: &name::WorkspaceName,
    ) -> Vec<WaiterId> {
        self.remove_opening(database, workspace);
        self.queue.remove_all_for(database)
    }

    fn remove_opening(&mut self, database: DatabaseIndex, workspace: &name::WorkspaceName) {
        let connections = self.databases.entry(database).or_default();
        let found = connections
            .opening
            .iter()
            .position(|opening| opening == workspace);
        if let Some(index) = found {
            connections.opening.swap_remove(index);
        }
    }

    /// Returns the expected delay until a statement of a workspace has a connection to a
    /// database, or `None` if it would have to wait for another statement to release one.
    pub fn acquisition_cost(
        &self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<Duration> {
        let connections = self.databases.get(&database)?;
        if connections
            .idle
            .iter()
            .any(|idle| idle.workspace == *workspace)
        {
            return Some(Duration::ZERO);
        }
        connections.may_open(now).then_some(OPENING_COST)
    }

    /// Returns whether a connection of a workspace to a database is idle or being opened.
    pub fn has_connection_for(
        &self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
    ) -> bool {
        self.databases.get(&database).is_some_and(|connections| {
            let mut idle = connections.idle.iter();
            connections.opening.contains(workspace) || idle.any(|idle| idle.workspace == *workspace)
        })
    }

    /// Returns how many connections to a database are in use on this VM.
    pub fn in_use(&self, database: DatabaseIndex) -> usize {
        self.databases
            .get(&database)
            .map_or(0, |connections| connections.in_use)
    }

    /// Returns how many connections to a database are in use, idle or being opened on this VM.
    pub fn connection_count(&self, database: DatabaseIndex) -> usize {
        self.databases
            .get(&database)
            .map_or(0, DatabaseConnections::connection_count)
    }

    /// Returns how many statements wait for a connection.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many statements wait for a connection to a database.
    pub fn waiting_count_for(&self, database: DatabaseIndex) -> usize {
        self.queue.len_for(database)
    }

    /// Returns by how much a statement that would wait for any of the databases is expected
    /// to exceed the time `left` before its timeout.
    ///
    /// Returns `None` unless the statement would exceed it by far at each of the databases,
    /// judged by the statements ahead of it and the recent rate at which waiting statements
    /// were granted connections. Also returns `None` if an idle connection of its workspace
    /// can be reused, or a new one opened, at any of the databases.
    pub fn expected_overrun(
        &self,
        request: &ConnectionRequest,
        databases: &[DatabaseIndex],
        left: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let overrun_at = |database: &DatabaseIndex| {
            if self
                .acquisition_cost(&request.workspace, *database, now)
                .is_some()
            {
                return None;
            }
            let connections = self.databases.get(database)?;
            let expected_finish = now + connections.expected_latency;
            let ahead = self.queue.count_ahead(*database, request, expected_finish);
            let wait = connections.grant_rate.expected_wait(ahead, now)?;
            grant_rate::likely_overrun(wait + connections.expected_latency, left)
        };
        let overruns: Option<Vec<Duration>> = databases.iter().map(overrun_at).collect();
        overruns?.into_iter().min()
    }

    /// Queues a statement for a connection to any of the databases. Returns `None` if the
    /// queue is full.
    pub fn enqueue(
        &mut self,
        request: ConnectionRequest,
        databases: Vec<DatabaseIndex>,
    ) -> Option<WaiterId> {
        self.queue.push(request, databases)
    }

    /// Removes a statement that no longer waits from the queue.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.queue.remove(waiter);
    }

    /// Takes back a connection that was in use. Returns what to do for the waiting statements.
    pub fn release(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        let connections = self.databases.entry(database).or_default();
        connections.in_use = connections.in_use.saturating_sub(1);
        self.add_idle(database, workspace, connection, now)
    }

    fn add_idle(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        let connections = self.databases.entry(database).or_default();
        connections.idle.push(IdleConnection {
            workspace,
            connection,
            idle_since: now,
        });
        self.serve_waiting(database, now)
    }

    /// Records that a connection in use was lost or closed. Returns what to do for the waiting
    /// statements.
    pub fn release_lost(&mut self, database: DatabaseIndex, now: Instant) -> Option<PoolAction<C>> {
        let connections = self.databases.entry(database).or_default();
        connections.in_use = connections.in_use.saturating_sub(1);
        self.serve_waiting(database, now)
    }

    /// Records that a database refused a connection because it is at its connection limit.
    /// No connection to the database is opened for a short time.
    pub fn record_limit_refusal(&mut self, database: DatabaseIndex, now: Instant) {
        let connections = self.databases.entry(database).or_default();
        connections.backoff_until = Some(now + LIMIT_REFUSAL_BACKOFF);
    }

    /// Removes and returns all idle connections to a database, to be closed.
    pub fn drain_idle(&mut self, database: DatabaseIndex) -> Vec<C> {
        let idle = self
            .databases
            .get_mut(&database)
            .map(|connections| std::mem::take(&mut connections.idle));
        idle.into_iter()
            .flatten()
            .map(|idle| idle.connection)
            .collect()
    }

    /// Returns whether this VM has an idle connection to a database while it has more
    /// connections than are allocated to it.
    pub fn has_borrowed_idle(&self, database: DatabaseIndex) -> bool {
        let connections = self.databases.get(&database);
        connections.is_some_and(|connections| {
            connections.connection_count() > connections.allocated && !connections.idle.is_empty()
        })
    }

    /// Removes and returns the connections to a database that exceed this VM's allocation and
    /// have been idle for at least `idle_timeout`, so that other VMs can connect.
    pub fn drain_borrowed(
        &mut self,
        database: DatabaseIndex,
        idle_timeout: Duration,
        now: Instant,
    ) -> Vec<C> {
        let connections = self.databases.entry(database).or_default();
        connections.trim_idle(connections.allocated, |idle| {
            idle.is_idle_for(idle_timeout, now)
        })
    }

    /// Removes and returns the connections that have been idle for at least `idle_timeout`.
    pub fn drain_unused(&mut self, idle_timeout: Duration, now: Instant) -> Vec<C> {
        let databases = self.databases.values_mut();
        databases
            .flat_map(|connections| {
                connections.trim_idle(0, |idle| idle.is_idle_for(idle_timeout, now))
            })
            .collect()
    }

    /// Returns what to do next for the statements that wait for a database.
    ///
    /// An idle connection goes to the next waiting statement of its workspace. A connection for a
    /// workspace without an idle one is opened first if no waiting statement can reuse an idle
    /// connection, or if the statement that needs the new connection has a higher priority and
    /// little time left, a much earlier SLO deadline and no later turn, or the same priority and a
    /// workspace that is many turns behind. At the connection limit, an idle connection is evicted
    /// for it.
    pub fn serve_waiting(
        &mut self,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        let connections = self.databases.get(&database)?;
        let has_idle = |workspace: &name::WorkspaceName| {
            connections
                .idle
                .iter()
                .any(|idle| idle.workspace == *workspace)
        };
        let is_opening = |workspace: &name::WorkspaceName| connections.opening.contains(workspace);
        let expected_finish = now + connections.expected_latency;
        let reusing = self.queue.next_for(database, expected_finish, has_idle);
        let evicting = self.queue.next_for(database, expected_finish, |workspace| {
            !has_idle(workspace) && !is_opening(workspace)
        });
        let evicting = evicting.filter(|(evicting, _)| {
            reusing.is_none_or(|(reusing, _)| evicting.preempts(&reusing, expected_finish))
        });
        let evicting = evicting.map(|(_, workspace)| workspace.clone());
        let reusing = reusing.map(|(rank, workspace)| (rank.waiter, workspace.clone()));
        let opening = evicting.and_then(|workspace| self.begin_open(&workspace, database, now));
        if let Some(opening) = opening {
            return Some(PoolAction::Open(opening));
        }
        let (waiter, workspace) = reusing?;
        self.queue.remove(waiter);
        let connection = self.reuse_idle(&workspace, database)?;
        let others_wait = self.queue.len_for(database) > 0;
        let connections = self.databases.get_mut(&database)?;
        connections.grant_rate.record(others_wait, now);
        Some(PoolAction::Grant { waiter, connection })
    }
}

fn remove_longest_idle<C>(
    idle: &mut Vec<IdleConnection<C>>,
    accept: impl Fn(&IdleConnection<C>) -> bool,
) -> Option<C> {
    let candidates = idle.iter().enumerate().filter(|(_, idle)| accept(idle));
    let (index, _) = candidates.min_by_key(|(_, idle)| idle.idle_since)?;
    Some(idle.swap_remove(index).connection)
}

fn remove_last_used<C>(
    idle: &mut Vec<IdleConnection<C>>,
    accept: impl Fn(&IdleConnection<C>) -> bool,
) -> Option<C> {
    let candidates = idle.iter().enumerate().filter(|(_, idle)| accept(idle));
    let (index, _) = candidates.max_by_key(|(_, idle)| idle.idle_since)?;
    Some(idle.swap_remove(index).connection)
}

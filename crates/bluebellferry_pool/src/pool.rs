//! The connections of one VM to all databases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;

use crate::grant_rate;
use crate::wait_queue;

pub use crate::wait_queue::ConnectionRequest;
pub use crate::wait_queue::DatabaseIndex;
pub use crate::wait_queue::MAX_WAITING_STATEMENTS;
pub use crate::wait_queue::MIN_SWITCH_LEAD;
pub use crate::wait_queue::WaiterId;

/// What a new connection costs a statement: a handshake's slot time at the
/// database and its round trips.
pub const OPENING_COST: Duration = Duration::from_millis(25);
/// How many connections a VM opens to one database at once. Handshakes queue
/// at the database like statements.
pub const MAX_CONCURRENT_OPENINGS: usize = 1;
/// How long a database that refused a connection for its limit is not asked.
const LIMIT_BACK_OFF: Duration = Duration::from_millis(150);

/// A connection to open.
#[derive(Debug, PartialEq, Eq)]
pub struct ConnectionOpening<C> {
    /// The database.
    pub database: DatabaseIndex,
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// A connection of another workspace that gives way; it must be closed first.
    pub evicted: Option<C>,
}

/// What is to be done with a connection that has come free.
#[derive(Debug, PartialEq, Eq)]
pub enum PoolAction<C> {
    /// A waiting statement gets it.
    Deliver {
        /// The statement.
        waiter: WaiterId,
        /// The connection.
        connection: C,
    },
    /// Another connection is to be opened in its place.
    Open(ConnectionOpening<C>),
}

#[derive(Debug)]
struct IdleConnection<C> {
    workspace: name::WorkspaceName,
    connection: C,
    since: Instant,
}

impl<C> IdleConnection<C> {
    fn is_unused(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= limit
    }
}

#[derive(Debug)]
struct DatabaseBudget<C> {
    /// How many connections are this VM's own.
    own: usize,
    /// How many it may hold, those included that it gives back when they are unused.
    allowance: usize,
    in_use: usize,
    opening: Vec<name::WorkspaceName>,
    idle: Vec<IdleConnection<C>>,
    refused_until: Option<Instant>,
    /// How long the database is expected to take for an answer.
    answer_time: Duration,
    pace: grant_rate::GrantRate,
}

impl<C> Default for DatabaseBudget<C> {
    fn default() -> Self {
        Self {
            own: 0,
            allowance: 0,
            in_use: 0,
            opening: Vec::new(),
            idle: Vec::new(),
            refused_until: None,
            answer_time: Duration::ZERO,
            pace: grant_rate::GrantRate::default(),
        }
    }
}

impl<C> DatabaseBudget<C> {
    fn connection_count(&self) -> usize {
        self.in_use + self.opening.len() + self.idle.len()
    }

    /// Takes idle connections that `accept` names, the oldest first, until no more than
    /// `most` are held.
    fn shed(&mut self, most: usize, accept: impl Fn(&IdleConnection<C>) -> bool) -> Vec<C> {
        let mut shed = Vec::new();
        while self.connection_count() > most {
            let Some(connection) = remove_oldest(&mut self.idle, &accept) else {
                break;
            };
            shed.push(connection);
        }
        shed
    }

    fn may_open(&self, now: Instant) -> bool {
        let is_refused = self.refused_until.is_some_and(|until| until > now);
        let has_place = !self.idle.is_empty() || self.connection_count() < self.allowance;
        self.opening.len() < MAX_CONCURRENT_OPENINGS && has_place && !is_refused
    }
}

/// All connections of this VM.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    databases: BTreeMap<DatabaseIndex, DatabaseBudget<C>>,
    line: wait_queue::WaitQueue,
}

impl<C> Default for ConnectionPool<C> {
    fn default() -> Self {
        Self {
            databases: BTreeMap::new(),
            line: wait_queue::WaitQueue::default(),
        }
    }
}

impl<C> ConnectionPool<C> {
    /// Creates a budget that serves waiting statements in another order than its own.
    pub fn with_order(order: wait_queue::QueueOrder) -> Self {
        Self {
            line: wait_queue::WaitQueue::new(order),
            ..Self::default()
        }
    }

    /// Sets how many connections to a database are this VM's own, and how many more it
    /// may hold for a moment. Returns the idle ones that are too many.
    pub fn set_connection_limit(
        &mut self,
        database: DatabaseIndex,
        own: usize,
        borrowed: usize,
    ) -> Vec<C> {
        let budget = self.databases.entry(database).or_default();
        let allowance = own + borrowed;
        (budget.own, budget.allowance) = (own, allowance);
        budget.shed(allowance, |_| true)
    }

    /// Sets how long a database is expected to take for an answer.
    pub fn set_expected_latency(&mut self, database: DatabaseIndex, time: Duration) {
        self.databases.entry(database).or_default().answer_time = time;
    }

    /// Takes a kept connection of a workspace.
    pub fn reuse_idle(
        &mut self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
    ) -> Option<C> {
        let budget = self.databases.get_mut(&database)?;
        let connection = remove_newest(&mut budget.idle, |idle| idle.workspace == *workspace)?;
        budget.in_use += 1;
        self.line.record_turn(database, workspace);
        Some(connection)
    }

    /// Begins to open a connection for a workspace, if there is room or an idle
    /// one of another workspace can give way.
    pub fn begin_open(
        &mut self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<ConnectionOpening<C>> {
        let budget = self.databases.get_mut(&database)?;
        if !budget.may_open(now) {
            return None;
        }
        let evicted = if budget.connection_count() < budget.allowance {
            None
        } else {
            Some(remove_oldest(&mut budget.idle, |_| true)?)
        };
        budget.opening.push(workspace.clone());
        Some(ConnectionOpening {
            database,
            workspace: workspace.clone(),
            evicted,
        })
    }

    /// Takes a connection that was opened, for whoever waits for it.
    pub fn finish_open(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        self.end_opening(database, &workspace);
        self.keep(database, workspace, connection, now)
    }

    /// Notes that a connection could not be opened. Returns the statements that
    /// wait for the database and must look for another.
    pub fn fail_open(
        &mut self,
        database: DatabaseIndex,
        workspace: &name::WorkspaceName,
    ) -> Vec<WaiterId> {
        self.end_opening(database, workspace);
        self.line.remove_for(database)
    }

    fn end_opening(&mut self, database: DatabaseIndex, workspace: &name::WorkspaceName) {
        let budget = self.databases.entry(database).or_default();
        let found = budget.opening.iter().position(|one| one == workspace);
        if let Some(index) = found {
            budget.opening.swap_remove(index);
        }
    }

    /// Returns what getting a connection at a database would cost in time, or
    /// `None` when the statement would have to wait for a release.
    pub fn acquisition_cost(
        &self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<Duration> {
        let budget = self.databases.get(&database)?;
        if budget.idle.iter().any(|idle| idle.workspace == *workspace) {
            return Some(Duration::ZERO);
        }
        budget.may_open(now).then_some(OPENING_COST)
    }

    /// Returns how many connections to a database are in use on this VM.
    pub fn in_use(&self, database: DatabaseIndex) -> usize {
        self.databases
            .get(&database)
            .map_or(0, |budget| budget.in_use)
    }

    /// Returns how many connections to a database this VM holds or opens.
    pub fn connection_count(&self, database: DatabaseIndex) -> usize {
        self.databases
            .get(&database)
            .map_or(0, DatabaseBudget::connection_count)
    }

    /// Returns how many statements wait.
    pub fn waiting_count(&self) -> usize {
        self.line.len()
    }

    /// Returns how many statements wait for a database.
    pub fn waiting_count_for(&self, database: DatabaseIndex) -> usize {
        self.line.len_for(database)
    }

    /// Returns by how much a statement that would wait for any of the databases is expected
    /// to miss the time that is `left` for it. Returns `None` unless it would miss it by far
    /// at each of them, by the statements that wait and the connections that came free lately,
    /// and none of them takes a new connection.
    pub fn expected_overrun(
        &self,
        request: &ConnectionRequest,
        databases: &[DatabaseIndex],
        left: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let excess_at = |database: &DatabaseIndex| {
            if self
                .acquisition_cost(&request.workspace, *database, now)
                .is_some()
            {
                return None;
            }
            let budget = self.databases.get(database)?;
            let finish = now + budget.answer_time;
            let ahead = self.line.count_ahead(*database, request, finish);
            let wait = budget.pace.expected_wait(ahead, now)?;
            grant_rate::likely_overrun(wait + budget.answer_time, left)
        };
        let excesses: Option<Vec<Duration>> = databases.iter().map(excess_at).collect();
        excesses?.into_iter().min()
    }

    /// Lets a statement wait for any of the databases. Returns `None` when too
    /// many wait already.
    pub fn wait(
        &mut self,
        request: ConnectionRequest,
        databases: Vec<DatabaseIndex>,
    ) -> Option<WaiterId> {
        self.line.push(request, databases)
    }

    /// Forgets a statement that no longer waits.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.line.remove(waiter);
    }

    /// Takes a connection back, for whoever waits for it.
    pub fn release(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        let budget = self.databases.entry(database).or_default();
        budget.in_use = budget.in_use.saturating_sub(1);
        self.keep(database, workspace, connection, now)
    }

    fn keep(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        let budget = self.databases.entry(database).or_default();
        budget.idle.push(IdleConnection {
            workspace,
            connection,
            since: now,
        });
        self.serve_waiting(database, now)
    }

    /// Notes that a connection in use is gone.
    pub fn release_lost(&mut self, database: DatabaseIndex, now: Instant) -> Option<PoolAction<C>> {
        let budget = self.databases.entry(database).or_default();
        budget.in_use = budget.in_use.saturating_sub(1);
        self.serve_waiting(database, now)
    }

    /// Notes that a database refused a connection for its limit.
    pub fn record_limit_refusal(&mut self, database: DatabaseIndex, now: Instant) {
        let budget = self.databases.entry(database).or_default();
        budget.refused_until = Some(now + LIMIT_BACK_OFF);
    }

    /// Takes all idle connections of a database, to close them.
    pub fn drain_idle(&mut self, database: DatabaseIndex) -> Vec<C> {
        let idle = self
            .databases
            .get_mut(&database)
            .map(|budget| std::mem::take(&mut budget.idle));
        idle.into_iter()
            .flatten()
            .map(|idle| idle.connection)
            .collect()
    }

    /// Returns whether this VM holds an idle connection to a database that is not its own.
    pub fn has_borrowed_idle(&self, database: DatabaseIndex) -> bool {
        let budget = self.databases.get(&database);
        budget
            .is_some_and(|budget| budget.connection_count() > budget.own && !budget.idle.is_empty())
    }

    /// Takes the idle connections to a database that are not this VM's own and have not
    /// been used for `limit`, so that other VMs find room.
    pub fn drain_borrowed(
        &mut self,
        database: DatabaseIndex,
        limit: Duration,
        now: Instant,
    ) -> Vec<C> {
        let budget = self.databases.entry(database).or_default();
        budget.shed(budget.own, |idle| idle.is_unused(limit, now))
    }

    /// Takes the idle connections that have not been used for `limit`.
    pub fn drain_unused(&mut self, limit: Duration, now: Instant) -> Vec<C> {
        let budgets = self.databases.values_mut();
        budgets
            .flat_map(|budget| budget.shed(0, |idle| idle.is_unused(limit, now)))
            .collect()
    }

    /// Returns what to do for the statements that wait for a database.
    ///
    /// A kept connection goes to the first statement of its workspace, unless one of
    /// another workspace, which needs a new connection, is due much earlier or its
    /// workspace has had far fewer turns.
    pub fn serve_waiting(
        &mut self,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<PoolAction<C>> {
        let budget = self.databases.get(&database)?;
        let is_kept = |workspace: &name::WorkspaceName| {
            budget.idle.iter().any(|idle| idle.workspace == *workspace)
        };
        let is_coming = |workspace: &name::WorkspaceName| budget.opening.contains(workspace);
        let finish = now + budget.answer_time;
        let of_kept = self.line.first_for(database, finish, is_kept);
        let of_other = self.line.first_for(database, finish, |workspace| {
            !is_kept(workspace) && !is_coming(workspace)
        });
        let of_other = of_other
            .filter(|(other, _)| of_kept.is_none_or(|(kept, _)| other.takes_place_of(&kept)));
        let of_other = of_other.map(|(_, workspace)| workspace.clone());
        let of_kept = of_kept.map(|(kept, workspace)| (kept.waiter, workspace.clone()));
        let opening = of_other.and_then(|other| self.begin_open(&other, database, now));
        if let Some(opening) = opening {
            return Some(PoolAction::Open(opening));
        }
        let (waiter, workspace) = of_kept?;
        self.line.remove(waiter);
        let connection = self.reuse_idle(&workspace, database)?;
        let others_wait = self.line.len_for(database) > 0;
        let budget = self.databases.get_mut(&database)?;
        budget.pace.record(others_wait, now);
        Some(PoolAction::Deliver { waiter, connection })
    }
}

fn remove_oldest<C>(
    idle: &mut Vec<IdleConnection<C>>,
    accept: impl Fn(&IdleConnection<C>) -> bool,
) -> Option<C> {
    let indexed = idle.iter().enumerate().filter(|(_, one)| accept(one));
    let (index, _) = indexed.min_by_key(|(_, one)| one.since)?;
    Some(idle.swap_remove(index).connection)
}

fn remove_newest<C>(
    idle: &mut Vec<IdleConnection<C>>,
    accept: impl Fn(&IdleConnection<C>) -> bool,
) -> Option<C> {
    let indexed = idle.iter().enumerate().filter(|(_, one)| accept(one));
    let (index, _) = indexed.max_by_key(|(_, one)| one.since)?;
    Some(idle.swap_remove(index).connection)
}

//! The connections of one VM to all databases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;

/// The index of a database, fixed for the life of the process.
pub type DatabaseIndex = usize;

/// What a new connection costs a statement: a handshake's slot time at the
/// database and its round trips.
pub const OPENING_COST: Duration = Duration::from_millis(25);
/// How much earlier a waiting statement of another workspace must be due to
/// get a released connection, since it has to open a new one in its place.
const WORKSPACE_SWITCH_COST: Duration = Duration::from_millis(30);
/// The most statements that wait for connections on one VM.
pub const MAX_WAITING: usize = 2_000;
/// How long a database that refused a connection for its limit is not asked.
const LIMIT_BACK_OFF: Duration = Duration::from_millis(150);

/// Who asks for a connection.
#[derive(Debug, Clone)]
pub struct GrantRequest {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// When the statement's objective falls due.
    pub due: Instant,
}

/// A connection for a statement.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionGrant<C> {
    /// A kept connection of the workspace.
    Kept {
        /// The database.
        database: DatabaseIndex,
        /// The connection.
        connection: C,
    },
    /// A new connection may be opened, after `closing` has been closed.
    Open {
        /// The database.
        database: DatabaseIndex,
        /// A connection of another workspace that gives way.
        closing: Option<C>,
    },
}

/// Identifies a waiting statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

/// A grant to a statement that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct WaiterGrant<C> {
    /// The statement.
    pub waiter: WaiterId,
    /// What it gets.
    pub grant: ConnectionGrant<C>,
}

#[derive(Debug)]
struct IdleConnection<C> {
    workspace: name::WorkspaceName,
    connection: C,
    since: Instant,
}

#[derive(Debug)]
struct DatabaseBudget<C> {
    allowance: usize,
    /// Connections in use or being opened.
    in_use: usize,
    idle: Vec<IdleConnection<C>>,
    refused_until: Option<Instant>,
}

impl<C> Default for DatabaseBudget<C> {
    fn default() -> Self {
        Self {
            allowance: 0,
            in_use: 0,
            idle: Vec::new(),
            refused_until: None,
        }
    }
}

#[derive(Debug)]
struct WaitingStatement {
    request: GrantRequest,
    databases: Vec<DatabaseIndex>,
}

/// All connections of this VM.
#[derive(Debug)]
pub struct ConnectionBudget<C> {
    databases: BTreeMap<DatabaseIndex, DatabaseBudget<C>>,
    waiting: BTreeMap<WaiterId, WaitingStatement>,
    next_waiter: u64,
}

impl<C> Default for ConnectionBudget<C> {
    fn default() -> Self {
        Self {
            databases: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_waiter: 0,
        }
    }
}

impl<C> ConnectionBudget<C> {
    /// Sets how many connections this VM may hold at a database. Returns the
    /// idle ones that are too many.
    pub fn set_allowance(&mut self, database: DatabaseIndex, allowance: usize) -> Vec<C> {
        let budget = self.databases.entry(database).or_default();
        budget.allowance = allowance;
        let mut surplus = Vec::new();
        while budget.in_use + budget.idle.len() > allowance {
            let Some(connection) = remove_oldest(&mut budget.idle, |_| true) else {
                break;
            };
            surplus.push(connection);
        }
        surplus
    }

    /// Returns a kept or new connection at a database, if one may be had now.
    pub fn request(
        &mut self,
        request: &GrantRequest,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<ConnectionGrant<C>> {
        let budget = self.databases.get_mut(&database)?;
        let own = |idle: &IdleConnection<C>| idle.workspace == request.workspace;
        if let Some(connection) = remove_newest(&mut budget.idle, own) {
            budget.in_use += 1;
            return Some(ConnectionGrant::Kept {
                database,
                connection,
            });
        }
        let has_room = budget.in_use + budget.idle.len() < budget.allowance;
        let is_refused = budget.refused_until.is_some_and(|until| until > now);
        if has_room && !is_refused {
            budget.in_use += 1;
            return Some(ConnectionGrant::Open {
                database,
                closing: None,
            });
        }
        let closing = remove_oldest(&mut budget.idle, |_| true)?;
        budget.in_use += 1;
        Some(ConnectionGrant::Open {
            database,
            closing: Some(closing),
        })
    }

    /// Returns what getting a connection at a database would cost in time, or
    /// `None` when the statement would have to wait for a release.
    pub fn opening_cost(
        &self,
        workspace: &name::WorkspaceName,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<Duration> {
        let budget = self.databases.get(&database)?;
        if budget.idle.iter().any(|idle| idle.workspace == *workspace) {
            return Some(Duration::ZERO);
        }
        let has_room = budget.in_use + budget.idle.len() < budget.allowance;
        let is_refused = budget.refused_until.is_some_and(|until| until > now);
        let can_open = !budget.idle.is_empty() || (has_room && !is_refused);
        can_open.then_some(OPENING_COST)
    }

    /// Returns how many connections to a database are in use on this VM.
    pub fn in_use(&self, database: DatabaseIndex) -> usize {
        self.databases
            .get(&database)
            .map_or(0, |budget| budget.in_use)
    }

    /// Returns how many connections to a database this VM holds.
    pub fn held(&self, database: DatabaseIndex) -> usize {
        self.databases
            .get(&database)
            .map_or(0, |budget| budget.in_use + budget.idle.len())
    }

    /// Returns how many statements wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many statements wait for a database.
    pub fn waiting_for(&self, database: DatabaseIndex) -> usize {
        let wants = |statement: &&WaitingStatement| statement.databases.contains(&database);
        self.waiting.values().filter(wants).count()
    }

    /// Lets a statement wait for any of the databases. Returns `None` when too
    /// many wait already.
    pub fn wait(
        &mut self,
        request: GrantRequest,
        databases: Vec<DatabaseIndex>,
    ) -> Option<WaiterId> {
        if self.waiting.len() >= MAX_WAITING {
            return None;
        }
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.waiting
            .insert(waiter, WaitingStatement { request, databases });
        Some(waiter)
    }

    /// Forgets a statement that no longer waits.
    pub fn cancel(&mut self, waiter: WaiterId) {
        self.waiting.remove(&waiter);
    }

    /// Takes a connection back, and hands it on if a statement waits for it.
    pub fn release(
        &mut self,
        database: DatabaseIndex,
        workspace: name::WorkspaceName,
        connection: C,
        now: Instant,
    ) -> Option<WaiterGrant<C>> {
        let budget = self.databases.entry(database).or_default();
        budget.in_use = budget.in_use.saturating_sub(1);
        budget.idle.push(IdleConnection {
            workspace,
            connection,
            since: now,
        });
        self.serve_waiting(database, now)
    }

    /// Notes that a connection in use, or one being opened, is gone.
    pub fn forget(&mut self, database: DatabaseIndex, now: Instant) -> Option<WaiterGrant<C>> {
        let budget = self.databases.entry(database).or_default();
        budget.in_use = budget.in_use.saturating_sub(1);
        self.serve_waiting(database, now)
    }

    /// Notes that a database refused a connection for its limit.
    pub fn record_limit(&mut self, database: DatabaseIndex, now: Instant) {
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

    /// Takes the idle connections that have not been used for `limit`.
    pub fn drain_unused(&mut self, limit: Duration, now: Instant) -> Vec<C> {
        let mut unused = Vec::new();
        for budget in self.databases.values_mut() {
            let expired =
                |idle: &IdleConnection<C>| now.saturating_duration_since(idle.since) >= limit;
            while let Some(connection) = remove_oldest(&mut budget.idle, expired) {
                unused.push(connection);
            }
        }
        unused
    }

    /// Gives a database's free connections to the statement that is due first.
    pub fn serve_waiting(
        &mut self,
        database: DatabaseIndex,
        now: Instant,
    ) -> Option<WaiterGrant<C>> {
        let budget = self.databases.get(&database)?;
        let kept = |workspace: &name::WorkspaceName| {
            budget.idle.iter().any(|idle| idle.workspace == *workspace)
        };
        let rank = |statement: &WaitingStatement| {
            let request = &statement.request;
            let switch = if kept(&request.workspace) {
                Duration::ZERO
            } else {
                WORKSPACE_SWITCH_COST
            };
            (request.priority, request.due + switch)
        };
        let first = self
            .waiting
            .iter()
            .filter(|(_, statement)| statement.databases.contains(&database))
            .min_by_key(|(id, statement)| (rank(statement), **id));
        let waiter = first.map(|(id, _)| *id)?;
        let request = self.waiting.get(&waiter)?.request.clone();
        let grant = self.request(&request, database, now)?;
        self.waiting.remove(&waiter);
        Some(WaiterGrant { waiter, grant })
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

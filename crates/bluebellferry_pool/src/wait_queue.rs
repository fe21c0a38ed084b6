//! The statements that wait for connections, and which of them goes first.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_fairness::virtual_time;
use bluebellferry_types::name;

/// The index of a database, fixed for the life of the process.
pub type DatabaseIndex = usize;

/// How much earlier a waiting statement of another workspace must be due to
/// take a connection's place. A handshake costs the database as much as a
/// statement, so changing for each would halve what it can serve.
pub const MIN_SWITCH_LEAD: Duration = Duration::from_millis(150);
/// How many turns a waiting workspace must be behind to take a connection's place:
/// as many statements as three connections serve in [`MIN_SWITCH_LEAD`] at 20 ms each.
pub const MIN_SWITCH_TURNS: u64 = 22;
/// The most statements that wait for connections on one VM.
pub const MAX_WAITING_STATEMENTS: usize = 2_000;

/// Who asks for a connection.
#[derive(Debug, Clone)]
pub struct ConnectionRequest {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// The priority; 0 goes first.
    pub priority: u8,
    /// When the statement's objective falls due.
    pub slo_deadline: Instant,
}

/// Identifies a waiting statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

/// In which order waiting statements of one priority are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// Whichever is due first: the baseline of the load tests.
    EarliestDeadlineFirst,
    /// Workspaces take turns at each database; within a workspace, whichever is due first.
    FairQueueing,
    /// The same, and what can still meet its objective goes before what is late, whatever
    /// its priority: after an outage, statements that are served in the order of their
    /// objectives would all be late.
    #[default]
    FeasibleFirst,
}

/// What decides when a waiting statement is served; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StatementRank {
    /// Whether the statement's objective can no longer be met.
    is_late: bool,
    priority: u8,
    /// The virtual time at which the workspace's next turn starts.
    turn: u64,
    slo_deadline: Instant,
    pub(crate) waiter: WaiterId,
}

impl StatementRank {
    /// Returns whether this statement, which needs a new connection, goes before one
    /// whose workspace has a connection.
    pub(crate) fn takes_place_of(&self, kept: &Self) -> bool {
        let is_behind = self.turn + MIN_SWITCH_TURNS * virtual_time::TURN_LENGTH <= kept.turn;
        let is_due_earlier = self.slo_deadline + MIN_SWITCH_LEAD < kept.slo_deadline;
        self.priority < kept.priority
            || self.priority == kept.priority && is_behind
            || self.turn <= kept.turn && is_due_earlier
    }
}

#[derive(Debug)]
struct WaitingStatement {
    request: ConnectionRequest,
    databases: Vec<DatabaseIndex>,
}

/// All statements that wait on this VM.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    order: QueueOrder,
    statements: BTreeMap<WaiterId, WaitingStatement>,
    /// The turns at databases that statements wait for.
    clocks: BTreeMap<DatabaseIndex, virtual_time::VirtualClock>,
    next_waiter: u64,
}

impl WaitQueue {
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            ..Self::default()
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.statements.len()
    }

    pub(crate) fn len_for(&self, database: DatabaseIndex) -> usize {
        self.wanting(database).count()
    }

    fn wanting(
        &self,
        database: DatabaseIndex,
    ) -> impl Iterator<Item = (WaiterId, &WaitingStatement)> {
        let statements = self.statements.iter().map(|(id, one)| (*id, one));
        statements.filter(move |(_, one)| one.databases.contains(&database))
    }

    /// Adds a statement, or returns `None` when too many wait already.
    pub(crate) fn push(
        &mut self,
        request: ConnectionRequest,
        databases: Vec<DatabaseIndex>,
    ) -> Option<WaiterId> {
        if self.statements.len() >= MAX_WAITING_STATEMENTS {
            return None;
        }
        for database in &databases {
            let clock = self.clocks.entry(*database).or_default();
            clock.activate(&request.workspace);
        }
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.statements
            .insert(waiter, WaitingStatement { request, databases });
        Some(waiter)
    }

    pub(crate) fn remove(&mut self, waiter: WaiterId) {
        self.statements.remove(&waiter);
    }

    /// Removes the statements that wait for a database.
    pub(crate) fn remove_for(&mut self, database: DatabaseIndex) -> Vec<WaiterId> {
        let waiters: Vec<WaiterId> = self.wanting(database).map(|(id, _)| id).collect();
        for waiter in &waiters {
            self.statements.remove(waiter);
        }
        waiters
    }

    /// Returns which of a database's waiting statements goes first, among the
    /// workspaces that `accept` names. `finish` is when a statement that begins now is
    /// expected to be answered.
    pub(crate) fn first_for(
        &self,
        database: DatabaseIndex,
        finish: Instant,
        accept: impl Fn(&name::WorkspaceName) -> bool,
    ) -> Option<(StatementRank, &name::WorkspaceName)> {
        let clock = self.clocks.get(&database);
        let rank = |(waiter, statement): (WaiterId, &WaitingStatement)| {
            let request = &statement.request;
            let turn = match self.order {
                QueueOrder::EarliestDeadlineFirst => 0,
                QueueOrder::FairQueueing | QueueOrder::FeasibleFirst => {
                    clock.map_or(0, |clock| clock.next_start(&request.workspace))
                }
            };
            StatementRank {
                is_late: self.order == QueueOrder::FeasibleFirst && finish > request.slo_deadline,
                priority: request.priority,
                turn,
                slo_deadline: request.slo_deadline,
                waiter,
            }
        };
        self.wanting(database)
            .filter(|(_, one)| accept(&one.request.workspace))
            .map(|(id, one)| (rank((id, one)), &one.request.workspace))
            .min_by_key(|(rank, _)| *rank)
    }

    /// Returns how many of a database's waiting statements go before a new one at least.
    /// Those of another workspace count as far as it has turns before this one's.
    pub(crate) fn count_ahead(
        &self,
        database: DatabaseIndex,
        request: &ConnectionRequest,
        finish: Instant,
    ) -> usize {
        let mut urgent = 0;
        let mut own = 0;
        let mut others: BTreeMap<&name::WorkspaceName, usize> = BTreeMap::new();
        for (_, statement) in self.wanting(database) {
            let waiting = &statement.request;
            if finish > waiting.slo_deadline || waiting.priority > request.priority {
                continue;
            }
            if waiting.priority < request.priority {
                urgent += 1;
            } else if waiting.workspace != request.workspace {
                *others.entry(&waiting.workspace).or_default() += 1;
            } else if waiting.slo_deadline <= request.slo_deadline {
                own += 1;
            }
        }
        let shared: usize = others.values().map(|count| (*count).min(own + 1)).sum();
        urgent + own + shared
    }

    /// Notes that a workspace had a turn at a database. Turns count only while others
    /// wait: a database that serves everyone at once is not shared out.
    pub(crate) fn record_turn(&mut self, database: DatabaseIndex, workspace: &name::WorkspaceName) {
        if self.len_for(database) == 0 {
            self.clocks.remove(&database);
            return;
        }
        let mut clock = self.clocks.remove(&database).unwrap_or_default();
        let start = clock.assign_turn(workspace, 1);
        clock.advance(start, |one| {
            self.wanting(database)
                .any(|(_, statement)| statement.request.workspace == *one)
        });
        self.clocks.insert(database, clock);
    }
}

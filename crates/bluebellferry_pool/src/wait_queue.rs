//! The queue of statements that wait for a connection, and the order in which they are served.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_fairness::virtual_time;
use bluebellferry_types::name;

/// The index of a database, fixed for the lifetime of the process.
pub type DatabaseIndex = usize;

/// The minimum time by which a statement's SLO deadline must precede that of a waiting statement of
/// another workspace to evict the idle connection that the other statement could reuse. A handshake
/// costs the database as much as a statement, so evicting a connection for each statement would
/// halve the database's throughput.
pub const MIN_EVICTION_LEAD: Duration = Duration::from_millis(150);
/// The time before its SLO deadline from which a waiting statement of a higher priority evicts the
/// idle connection that another statement could reuse. Until then, a connection of its own
/// workspace may come free. Long enough for several urgent statements to evict one after another.
pub const PRIORITY_SLACK: Duration = Duration::from_millis(280);
/// The minimum number of turns by which a workspace must be behind another one to evict the idle
/// connection that a waiting statement of the other workspace could reuse.
/// Equals the number of statements of 20 ms that three connections serve in [`MIN_EVICTION_LEAD`].
pub const MIN_EVICTION_TURNS: u64 = 22;
/// The maximum number of statements that wait for connections on one VM.
pub const MAX_WAITING_STATEMENTS: usize = 2_000;

/// A statement's request for a connection.
#[derive(Debug, Clone)]
pub struct ConnectionRequest {
    /// The workspace that the statement belongs to.
    pub workspace: name::WorkspaceName,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The instant by which the statement must be answered to meet its latency objective.
    pub slo_deadline: Instant,
}

/// Identifies a waiting statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

/// The order in which waiting statements of one priority are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueueOrder {
    /// By SLO deadline only; the baseline of the load tests.
    EarliestDeadlineFirst,
    /// Workspaces take turns at each database by start-time fair queueing; the statements of
    /// one workspace are served by SLO deadline.
    FairQueueing,
    /// Like [`QueueOrder::FairQueueing`], but statements that can still meet their SLO
    /// deadline are served before those that cannot, whatever their priority. With a backlog
    /// after an outage, serving strictly by deadline would make every statement late.
    #[default]
    FeasibleFirst,
}

/// The sort key of a waiting statement; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StatementRank {
    /// Whether the statement can no longer meet its SLO deadline.
    is_late: bool,
    priority: u8,
    /// The virtual time at which the workspace's next turn starts.
    turn_start: u64,
    slo_deadline: Instant,
    pub(crate) waiter: WaiterId,
}

impl StatementRank {
    /// Returns whether this statement, which needs a new connection, is served before the
    /// statement `reusing`, which could reuse an idle connection of its workspace.
    ///
    /// A statement of a higher priority waits for a connection of its workspace as long as it can
    /// afford to. `expected_finish` is when a statement that starts now is expected to be answered.
    pub(crate) fn preempts(&self, reusing: &Self, expected_finish: Instant) -> bool {
        let is_behind =
            self.turn_start + MIN_EVICTION_TURNS * virtual_time::TURN_LENGTH <= reusing.turn_start;
        let has_earlier_deadline = self.slo_deadline + MIN_EVICTION_LEAD < reusing.slo_deadline;
        let is_due = expected_finish + PRIORITY_SLACK >= self.slo_deadline;
        self.priority < reusing.priority && is_due
            || self.priority == reusing.priority && is_behind
            || self.turn_start <= reusing.turn_start && has_earlier_deadline
    }
}

#[derive(Debug)]
struct WaitingStatement {
    request: ConnectionRequest,
    /// The databases that may serve the statement.
    databases: Vec<DatabaseIndex>,
}

/// All statements that wait for a connection on this VM.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    order: QueueOrder,
    statements: BTreeMap<WaiterId, WaitingStatement>,
    /// The virtual clocks of the databases that statements wait for.
    clocks: BTreeMap<DatabaseIndex, virtual_time::VirtualClock>,
    last_waiter: u64,
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
        self.statements_for(database).count()
    }

    fn statements_for(
        &self,
        database: DatabaseIndex,
    ) -> impl Iterator<Item = (WaiterId, &WaitingStatement)> {
        let statements = self
            .statements
            .iter()
            .map(|(waiter, statement)| (*waiter, statement));
        statements.filter(move |(_, statement)| statement.databases.contains(&database))
    }

    /// Adds a statement, or returns `None` if the queue is full.
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
        self.last_waiter += 1;
        let waiter = WaiterId(self.last_waiter);
        self.statements
            .insert(waiter, WaitingStatement { request, databases });
        Some(waiter)
    }

    pub(crate) fn remove(&mut self, waiter: WaiterId) {
        self.statements.remove(&waiter);
    }

    /// Removes the statements that wait for a database.
    pub(crate) fn remove_all_for(&mut self, database: DatabaseIndex) -> Vec<WaiterId> {
        let waiters: Vec<WaiterId> = self
            .statements_for(database)
            .map(|(waiter, _)| waiter)
            .collect();
        for waiter in &waiters {
            self.statements.remove(waiter);
        }
        waiters
    }

    /// Returns the rank and workspace of the statement that a database serves next, among
    /// the statements of workspaces for which `accept` returns true. `expected_finish` is
    /// when a statement that starts now is expected to be answered.
    pub(crate) fn next_for(
        &self,
        database: DatabaseIndex,
        expected_finish: Instant,
        accept: impl Fn(&name::WorkspaceName) -> bool,
    ) -> Option<(StatementRank, &name::WorkspaceName)> {
        let clock = self.clocks.get(&database);
        let rank = |(waiter, statement): (WaiterId, &WaitingStatement)| {
            let request = &statement.request;
            let turn_start = match self.order {
                QueueOrder::EarliestDeadlineFirst => 0,
                QueueOrder::FairQueueing | QueueOrder::FeasibleFirst => {
                    clock.map_or(0, |clock| clock.next_start(&request.workspace))
                }
            };
            StatementRank {
                is_late: self.order == QueueOrder::FeasibleFirst
                    && expected_finish > request.slo_deadline,
                priority: request.priority,
                turn_start,
                slo_deadline: request.slo_deadline,
                waiter,
            }
        };
        self.statements_for(database)
            .filter(|(_, statement)| accept(&statement.request.workspace))
            .map(|(waiter, statement)| (rank((waiter, statement)), &statement.request.workspace))
            .min_by_key(|(rank, _)| *rank)
    }

    /// Returns a lower bound on the number of a database's waiting statements that are served
    /// before a new statement. Another workspace counts with at most as many statements as it
    /// gets turns before the turn of the new statement.
    pub(crate) fn count_ahead(
        &self,
        database: DatabaseIndex,
        request: &ConnectionRequest,
        expected_finish: Instant,
    ) -> usize {
        let mut higher_priority = 0;
        let mut same_workspace = 0;
        let mut other_workspaces: BTreeMap<&name::WorkspaceName, usize> = BTreeMap::new();
        for (_, statement) in self.statements_for(database) {
            let waiting = &statement.request;
            if expected_finish > waiting.slo_deadline || waiting.priority > request.priority {
                continue;
            }
            if waiting.priority < request.priority {
                higher_priority += 1;
            } else if waiting.workspace != request.workspace {
                *other_workspaces.entry(&waiting.workspace).or_default() += 1;
            } else if waiting.slo_deadline <= request.slo_deadline {
                same_workspace += 1;
            }
        }
        let interleaved: usize = other_workspaces
            .values()
            .map(|count| (*count).min(same_workspace + 1))
            .sum();
        higher_priority + same_workspace + interleaved
    }

    /// Records that a workspace had a turn at a database. Turns count only while other
    /// statements wait: without a queue, the database's connections need no fair division.
    pub(crate) fn record_turn(&mut self, database: DatabaseIndex, workspace: &name::WorkspaceName) {
        if self.len_for(database) == 0 {
            self.clocks.remove(&database);
            return;
        }
        let mut clock = self.clocks.remove(&database).unwrap_or_default();
        let start = clock.assign_turn(workspace, 1);
        clock.advance(start, |candidate| {
            self.statements_for(database)
                .any(|(_, statement)| statement.request.workspace == *candidate)
        });
        self.clocks.insert(database, clock);
    }
}

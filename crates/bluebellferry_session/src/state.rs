//! The state of one caller's session, and the plan for each of its statements.

use std::collections::BTreeMap;
use std::sync::Arc;

use bluebellferry_types::position;
use bluebellferry_types::refusal;

use crate::statement;

/// The maximum number of settings, and of prepared statements, in a session. Bounds the memory
/// that one caller takes on a VM.
pub const MAX_SESSION_ENTRIES: usize = 256;
/// The maximum total length of a session's settings and prepared statements with their names, in
/// bytes. A single statement may be as long as a message.
pub const MAX_SESSION_BYTES: usize = 4 << 20;

/// The maximum number of prepared statements that a connection is given before they are used.
const MAX_EAGER_QUERIES: usize = 16;
/// The maximum length of the template of such a statement, in bytes.
const MAX_EAGER_BYTES: usize = 1_024;

/// The transaction status that is reported to the caller after each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    InTransaction,
    /// The open transaction has failed; only COMMIT or ROLLBACK may follow.
    Failed,
}

/// The session's transaction, as far as this VM knows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
enum TransactionState {
    #[default]
    None,
    /// BEGIN was acknowledged to the caller, but not sent to a database yet.
    Pending { read_only: bool, begin_id: String },
    /// The transaction is open on a database connection.
    Open { has_written: bool },
    /// The transaction failed. It may still be open on a database connection.
    Failed { is_open_at_database: bool },
}

/// An answer that is given without a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalAnswer {
    /// The statement succeeded.
    Done,
    /// The statement is refused.
    Refused(refusal::RequestRefusal),
}

/// The kind of a statement that runs at a database. Determines which databases may run the
/// statement, and what is known about its effect if no answer arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunKind {
    /// A read outside a transaction; may be retried at another database.
    AutocommitRead,
    /// A write outside a transaction; once sent, its effect is unknown until the database
    /// answers.
    AutocommitWrite,
    /// A read or write inside a transaction.
    InTransaction,
    /// The commit of a transaction.
    Commit,
    /// The commit of a transaction that has failed, which rolls it back.
    FailedCommit,
    /// The rollback of a transaction.
    Rollback,
}

/// A transaction that must be opened at the database before the statement runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionOpening {
    /// The id of the caller's BEGIN statement.
    pub begin_id: String,
    /// Whether the transaction is read-only, so that a replica may run it.
    pub read_only: bool,
}

/// How to run a statement at a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlan {
    /// The kind of the statement.
    pub kind: RunKind,
    /// The text to send to the database.
    pub text: statement::StatementText,
    /// Whether the statement changes an item.
    pub is_write: bool,
    /// The transaction to open before the statement, if any.
    pub opening: Option<TransactionOpening>,
}

impl RunPlan {
    /// Returns whether a replica may run the statement.
    pub fn may_use_replica(&self) -> bool {
        match &self.opening {
            Some(opening) => opening.read_only,
            None => self.kind == RunKind::AutocommitRead,
        }
    }
}

/// How to process a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementPlan {
    /// Answer the statement without a database.
    Answer(LocalAnswer),
    /// Run the statement at a database.
    Run(RunPlan),
}

/// The outcome of a statement at a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The database reported success.
    Succeeded {
        /// The log position of the database after the statement.
        position: Option<position::LogPosition>,
    },
    /// The database reported an error.
    Rejected {
        /// The transaction status of the connection after the error.
        status: TransactionStatus,
    },
    /// The connection was lost before an answer arrived, or could not be obtained.
    Lost,
}

/// The state of one caller's session.
#[derive(Debug, Clone, Default)]
pub struct SessionState {
    settings: Arc<BTreeMap<String, String>>,
    prepared: BTreeMap<String, statement::PreparedQuery>,
    transaction: TransactionState,
    floor: Option<position::LogPosition>,
}

impl SessionState {
    /// Returns the session settings, by name.
    pub fn settings(&self) -> &Arc<BTreeMap<String, String>> {
        &self.settings
    }

    /// Returns what a statement of the caller needs to be prepared on a connection.
    pub fn prepared_query(
        &self,
        statement: &statement::Statement,
    ) -> Option<&statement::PreparedQuery> {
        match &statement.action {
            statement::StatementAction::Execute { name, .. } => self.prepared.get(name),
            _ => None,
        }
    }

    /// Returns what the session has prepared, as far as a connection may be given it at once.
    pub fn prepared_queries(&self) -> Vec<statement::PreparedQuery> {
        let short = |query: &&statement::PreparedQuery| query.template.len() <= MAX_EAGER_BYTES;
        let queries = self.prepared.values().filter(short);
        queries.take(MAX_EAGER_QUERIES).cloned().collect()
    }

    /// Returns the position that the session's reads must at least see, which is that of its
    /// last acknowledged commit.
    pub fn floor(&self) -> Option<position::LogPosition> {
        self.floor
    }

    /// Returns whether a statement would start an operation: a transaction, or a read or write
    /// outside a transaction.
    pub fn starts_operation(&self, statement: &statement::Statement) -> bool {
        use statement::StatementAction as Action;
        let is_start = matches!(
            statement.action,
            Action::Begin { .. } | Action::Access { .. } | Action::Execute { .. }
        );
        self.transaction == TransactionState::None && is_start
    }

    /// Returns whether the session's open transaction has written.
    pub fn has_written(&self) -> bool {
        self.transaction == TransactionState::Open { has_written: true }
    }

    /// Returns whether the session is in a transaction that failed and is not open at any database.
    pub fn has_lost_transaction(&self) -> bool {
        self.transaction
            == TransactionState::Failed {
                is_open_at_database: false,
            }
    }

    /// Returns whether the session's transaction occupies a database connection.
    pub fn holds_connection(&self) -> bool {
        matches!(
            self.transaction,
            TransactionState::Open { .. }
                | TransactionState::Failed {
                    is_open_at_database: true
                }
        )
    }

    /// Returns the transaction status to report to the caller.
    pub fn transaction_status(&self) -> TransactionStatus {
        match self.transaction {
            TransactionState::None => TransactionStatus::Idle,
            TransactionState::Pending { .. } | TransactionState::Open { .. } => {
                TransactionStatus::InTransaction
            }
            TransactionState::Failed { .. } => TransactionStatus::Failed,
        }
    }

    /// Decides how to process a statement, and records its effect on the session if it needs
    /// no database.
    pub fn plan_statement(&mut self, statement: &statement::Statement) -> StatementPlan {
        use statement::StatementAction as Action;
        if let TransactionState::Failed {
            is_open_at_database,
        } = self.transaction
        {
            return self.plan_after_failure(&statement.action, is_open_at_database);
        }
        match &statement.action {
            Action::Begin { read_only } => self.plan_begin(&statement.id, *read_only),
            Action::Commit => self.plan_end(RunKind::Commit, "COMMIT"),
            Action::Rollback => self.plan_end(RunKind::Rollback, "ROLLBACK"),
            Action::Access { kind, text } => {
                self.plan_access(*kind, statement::StatementText::Verbatim(text.clone()))
            }
            Action::Set { name, value } => self.plan_set(name, value),
            Action::Prepare {
                name,
                kind,
                template,
            } => self.plan_prepare(name, *kind, template),
            Action::Execute { name, arguments } => self.plan_execute(name, arguments.as_deref()),
            Action::Deallocate { name } => self.plan_deallocate(name),
        }
    }

    fn plan_after_failure(
        &mut self,
        action: &statement::StatementAction,
        is_open_at_database: bool,
    ) -> StatementPlan {
        use statement::StatementAction as Action;
        match (action, is_open_at_database) {
            (Action::Commit, true) => self.plan_end(RunKind::FailedCommit, "COMMIT"),
            (Action::Rollback, true) => self.plan_end(RunKind::Rollback, "ROLLBACK"),
            (Action::Rollback, false) => {
                self.transaction = TransactionState::None;
                StatementPlan::Answer(LocalAnswer::Done)
            }
            (Action::Commit, false) => {
                self.transaction = TransactionState::None;
                refuse_aborted("the transaction was rolled back")
            }
            _ => refuse_protocol("the transaction has failed and must be ended first"),
        }
    }

    fn plan_begin(&mut self, id: &str, read_only: bool) -> StatementPlan {
        if self.transaction != TransactionState::None {
            return refuse_protocol("a transaction is open already");
        }
        self.transaction = TransactionState::Pending {
            read_only,
            begin_id: id.to_owned(),
        };
        StatementPlan::Answer(LocalAnswer::Done)
    }

    fn plan_end(&mut self, kind: RunKind, text: &str) -> StatementPlan {
        let opening = match &self.transaction {
            TransactionState::None => return refuse_protocol("no transaction is open"),
            TransactionState::Pending { .. } if kind == RunKind::Rollback => {
                self.transaction = TransactionState::None;
                return StatementPlan::Answer(LocalAnswer::Done);
            }
            TransactionState::Pending {
                read_only,
                begin_id,
            } => Some(TransactionOpening {
                begin_id: begin_id.clone(),
                read_only: *read_only,
            }),
            TransactionState::Open { .. } | TransactionState::Failed { .. } => None,
        };
        plan_run(RunPlan {
            kind,
            text: statement::StatementText::Verbatim(text.to_owned()),
            is_write: false,
            opening,
        })
    }

    fn plan_access(
        &mut self,
        kind: statement::AccessKind,
        text: statement::StatementText,
    ) -> StatementPlan {
        let (run_kind, opening) = match &self.transaction {
            TransactionState::Pending {
                read_only,
                begin_id,
            } => {
                let opening = TransactionOpening {
                    begin_id: begin_id.clone(),
                    read_only: *read_only,
                };
                (RunKind::InTransaction, Some(opening))
            }
            TransactionState::Open { .. } | TransactionState::Failed { .. } => {
                (RunKind::InTransaction, None)
            }
            TransactionState::None => match kind {
                statement::AccessKind::Read => (RunKind::AutocommitRead, None),
                statement::AccessKind::Write => (RunKind::AutocommitWrite, None),
            },
        };
        plan_run(RunPlan {
            kind: run_kind,
            text,
            is_write: kind == statement::AccessKind::Write,
            opening,
        })
    }

    fn plan_set(&mut self, name: &str, value: &str) -> StatementPlan {
        let is_new = !self.settings.contains_key(name);
        if is_new && self.settings.len() >= MAX_SESSION_ENTRIES {
            return refuse_protocol("the session holds too many values");
        }
        let replaced = self
            .settings
            .get(name)
            .map_or(0, |old| name.len() + old.len());
        if self.stored_bytes() - replaced + name.len() + value.len() > MAX_SESSION_BYTES {
            return refuse_protocol("the values of the session are too long");
        }
        Arc::make_mut(&mut self.settings).insert(name.to_owned(), value.to_owned());
        StatementPlan::Answer(LocalAnswer::Done)
    }

    fn plan_prepare(
        &mut self,
        name: &str,
        kind: statement::AccessKind,
        template: &str,
    ) -> StatementPlan {
        let is_new = !self.prepared.contains_key(name);
        if is_new && self.prepared.len() >= MAX_SESSION_ENTRIES {
            return refuse_protocol("the session holds too many prepared statements");
        }
        let replaced = self.prepared.get(name);
        let replaced = replaced.map_or(0, |old| name.len() + old.template.len());
        if self.stored_bytes() - replaced + name.len() + template.len() > MAX_SESSION_BYTES {
            return refuse_protocol("the prepared statements of the session are too long");
        }
        let query = statement::PreparedQuery {
            kind,
            template: template.to_owned(),
        };
        self.prepared.insert(name.to_owned(), query);
        StatementPlan::Answer(LocalAnswer::Done)
    }

    fn plan_execute(&mut self, name: &str, arguments: Option<&str>) -> StatementPlan {
        let Some(query) = self.prepared.get(name).cloned() else {
            return refuse_protocol("no such prepared statement");
        };
        let kind = query.kind;
        let arguments = arguments.map(str::to_owned);
        self.plan_access(kind, statement::StatementText::Execute { query, arguments })
    }

    /// Returns the total length of the settings and prepared statements with their names, in bytes.
    fn stored_bytes(&self) -> usize {
        let settings = self.settings.iter();
        let settings = settings.map(|(name, value)| name.len() + value.len());
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, query)| name.len() + query.template.len());
        settings.chain(prepared).sum()
    }

    fn plan_deallocate(&mut self, name: &str) -> StatementPlan {
        if self.prepared.remove(name).is_none() {
            return refuse_protocol("no such prepared statement");
        }
        StatementPlan::Answer(LocalAnswer::Done)
    }

    /// Returns whether a statement that starts an operation only reads; `None` if it needs no
    /// database.
    pub fn reads_only(&self, statement: &statement::Statement) -> Option<bool> {
        use statement::StatementAction as Action;
        let kind = match &statement.action {
            Action::Begin { read_only } => return Some(*read_only),
            Action::Access { kind, .. } => *kind,
            Action::Execute { name, .. } => self.prepared.get(name)?.kind,
            _ => return None,
        };
        Some(kind == statement::AccessKind::Read)
    }

    /// Records that the transaction of a plan was opened at a database.
    pub fn record_transaction_opened(&mut self) {
        self.transaction = TransactionState::Open { has_written: false };
    }

    /// Records the outcome of a statement at a database.
    ///
    /// A transaction whose connection is lost before its COMMIT has failed, because the
    /// database rolls it back.
    pub fn record_outcome(&mut self, plan: &RunPlan, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Succeeded { position } => self.record_success(plan, position),
            RunOutcome::Rejected { status } => self.record_rejection(plan, status),
            RunOutcome::Lost => match plan.kind {
                RunKind::Commit | RunKind::FailedCommit | RunKind::Rollback => {
                    self.transaction = TransactionState::None;
                }
                RunKind::InTransaction => {
                    self.transaction = TransactionState::Failed {
                        is_open_at_database: false,
                    };
                }
                RunKind::AutocommitRead | RunKind::AutocommitWrite => {}
            },
        }
    }

    fn record_success(&mut self, plan: &RunPlan, position: Option<position::LogPosition>) {
        match plan.kind {
            RunKind::AutocommitRead => {}
            RunKind::AutocommitWrite => self.raise_floor(position),
            RunKind::InTransaction => {
                if let TransactionState::Open { has_written } = &mut self.transaction {
                    *has_written |= plan.is_write;
                }
            }
            RunKind::Commit => {
                let has_written = matches!(
                    self.transaction,
                    TransactionState::Open { has_written: true }
                );
                self.transaction = TransactionState::None;
                if has_written {
                    self.raise_floor(position);
                }
            }
            RunKind::FailedCommit | RunKind::Rollback => self.transaction = TransactionState::None,
        }
    }

    fn record_rejection(&mut self, plan: &RunPlan, status: TransactionStatus) {
        match plan.kind {
            RunKind::AutocommitRead | RunKind::AutocommitWrite => return,
            RunKind::FailedCommit => {
                self.transaction = TransactionState::None;
                return;
            }
            RunKind::InTransaction | RunKind::Commit | RunKind::Rollback => {}
        }
        match status {
            TransactionStatus::Idle => self.transaction = TransactionState::None,
            TransactionStatus::InTransaction => {}
            TransactionStatus::Failed => {
                self.transaction = TransactionState::Failed {
                    is_open_at_database: true,
                };
            }
        }
    }

    /// Records that the session's transaction failed and is not open at any database, because
    /// it could not be opened or its connection was closed.
    pub fn record_transaction_failed(&mut self) {
        if self.transaction != TransactionState::None {
            self.transaction = TransactionState::Failed {
                is_open_at_database: false,
            };
        }
    }

    fn raise_floor(&mut self, position: Option<position::LogPosition>) {
        self.floor = self.floor.max(position);
    }
}

fn plan_run(plan: RunPlan) -> StatementPlan {
    StatementPlan::Run(plan)
}

fn refuse_protocol(message: &str) -> StatementPlan {
    let reason = refusal::RefusalReason::ProtocolViolation;
    let refusal = refusal::RequestRefusal::not_run(reason, message);
    StatementPlan::Answer(LocalAnswer::Refused(refusal))
}

fn refuse_aborted(message: &str) -> StatementPlan {
    let reason = refusal::RefusalReason::TransactionAborted;
    let refusal = refusal::RequestRefusal::not_run(reason, message);
    StatementPlan::Answer(LocalAnswer::Refused(refusal))
}

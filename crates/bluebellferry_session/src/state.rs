//! The state of one caller's session and what each statement needs.

use std::collections::BTreeMap;

use bluebellferry_types::position;
use bluebellferry_types::refusal;

use crate::statement;

/// The most values or prepared statements that a session may hold, a bound on
/// a VM's memory for one caller.
pub const MAX_SESSION_ENTRIES: usize = 256;

/// The state that is reported to the caller after each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    InTransaction,
    /// The transaction has failed and waits for its end.
    Failed,
}

/// The transaction as this VM knows it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
enum TransactionState {
    #[default]
    None,
    /// The caller began it; no database knows of it yet.
    Declared { read_only: bool, begin_id: String },
    /// It is open on a connection.
    Open { has_written: bool },
    /// It failed. `at_database` tells whether a connection still holds it.
    Failed { at_database: bool },
}

/// An answer that needs no database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalAnswer {
    /// The statement is done.
    Done,
    /// The statement is refused.
    Refused(refusal::RequestRefusal),
}

/// What a statement that runs at a database is, for routing and for the truth
/// about its effect when the answer is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunKind {
    /// A read outside any transaction; it may run again elsewhere.
    AutocommitRead,
    /// A write outside any transaction; once sent, its effect is not known
    /// until it is answered.
    AutocommitWrite,
    /// A statement inside a transaction.
    InTransaction,
    /// The end of a transaction.
    Commit,
    /// A rollback.
    Rollback,
}

/// A transaction that must be opened before the statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionOpening {
    /// The identity of the caller's own statement.
    pub begin_id: String,
    /// Whether it may run on a replica.
    pub read_only: bool,
}

/// A statement for a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlan {
    /// What it is.
    pub kind: RunKind,
    /// The text to send.
    pub text: String,
    /// Whether it changes an item.
    pub is_write: bool,
    /// The prepared statement that it needs.
    pub prepared: Option<statement::PreparedQuery>,
    /// The transaction to open first.
    pub opening: Option<TransactionOpening>,
}

impl RunPlan {
    /// Returns whether a replica may run it.
    pub fn may_use_replica(&self) -> bool {
        match &self.opening {
            Some(opening) => opening.read_only,
            None => self.kind == RunKind::AutocommitRead,
        }
    }
}

/// What a statement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementPlan {
    /// Nothing but an answer.
    Answer(LocalAnswer),
    /// A database.
    Run(RunPlan),
}

/// How a statement at a database ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The database answered with success and is in this state; `committed` is
    /// its position.
    Succeeded {
        /// The database's log position after the statement.
        position: Option<position::LogPosition>,
    },
    /// The database answered with an error and is in this state.
    Rejected {
        /// The state of the connection.
        status: TransactionStatus,
    },
    /// The connection is gone or was never had.
    Lost,
}

/// One caller's session.
#[derive(Debug, Clone, Default)]
pub struct SessionState {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, statement::PreparedQuery>,
    transaction: TransactionState,
    floor: Option<position::LogPosition>,
}

impl SessionState {
    /// Returns the values that were acknowledged.
    pub fn values(&self) -> &BTreeMap<String, String> {
        &self.values
    }

    /// Returns the position of the session's last acknowledged commit.
    pub fn floor(&self) -> Option<position::LogPosition> {
        self.floor
    }

    /// Returns whether a statement would start an operation.
    pub fn starts_operation(&self, statement: &statement::Statement) -> bool {
        use statement::StatementAction as Action;
        let counted = matches!(
            statement.action,
            Action::Begin { .. } | Action::Access { .. } | Action::Execute { .. }
        );
        self.transaction == TransactionState::None && counted
    }

    /// Returns whether a database connection belongs to the open transaction.
    pub fn holds_connection(&self) -> bool {
        matches!(
            self.transaction,
            TransactionState::Open { .. } | TransactionState::Failed { at_database: true }
        )
    }

    /// Returns the state to report.
    pub fn transaction_status(&self) -> TransactionStatus {
        match self.transaction {
            TransactionState::None => TransactionStatus::Idle,
            TransactionState::Declared { .. } | TransactionState::Open { .. } => {
                TransactionStatus::InTransaction
            }
            TransactionState::Failed { .. } => TransactionStatus::Failed,
        }
    }

    /// Decides what a statement needs.
    pub fn plan(&mut self, statement: &statement::Statement) -> StatementPlan {
        use statement::StatementAction as Action;
        if let TransactionState::Failed { at_database } = self.transaction {
            return self.plan_after_failure(&statement.action, at_database);
        }
        match &statement.action {
            Action::Begin { read_only } => self.plan_begin(&statement.id, *read_only),
            Action::Commit => self.plan_end(RunKind::Commit, "COMMIT"),
            Action::Rollback => self.plan_end(RunKind::Rollback, "ROLLBACK"),
            Action::Access { kind, text } => self.plan_access(*kind, text.clone(), None),
            Action::Set { name, value } => self.plan_set(name, value),
            Action::Prepare { name, kind, shape } => self.plan_prepare(name, *kind, shape),
            Action::Execute { name, arguments } => self.plan_execute(name, arguments),
            Action::Deallocate { name } => self.plan_deallocate(name),
        }
    }

    fn plan_after_failure(
        &mut self,
        action: &statement::StatementAction,
        at_database: bool,
    ) -> StatementPlan {
        use statement::StatementAction as Action;
        match (action, at_database) {
            (Action::Commit | Action::Rollback, true) => run(RunPlan {
                kind: RunKind::Rollback,
                text: "ROLLBACK".to_owned(),
                is_write: false,
                prepared: None,
                opening: None,
            }),
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
        self.transaction = TransactionState::Declared {
            read_only,
            begin_id: id.to_owned(),
        };
        StatementPlan::Answer(LocalAnswer::Done)
    }

    fn plan_end(&mut self, kind: RunKind, text: &str) -> StatementPlan {
        let opening = match &self.transaction {
            TransactionState::None => return refuse_protocol("no transaction is open"),
            TransactionState::Declared { .. } if kind == RunKind::Rollback => {
                self.transaction = TransactionState::None;
                return StatementPlan::Answer(LocalAnswer::Done);
            }
            TransactionState::Declared {
                read_only,
                begin_id,
            } => Some(TransactionOpening {
                begin_id: begin_id.clone(),
                read_only: *read_only,
            }),
            TransactionState::Open { .. } | TransactionState::Failed { .. } => None,
        };
        run(RunPlan {
            kind,
            text: text.to_owned(),
            is_write: false,
            prepared: None,
            opening,
        })
    }

    fn plan_access(
        &mut self,
        kind: statement::AccessKind,
        text: String,
        prepared: Option<statement::PreparedQuery>,
    ) -> StatementPlan {
        let (run_kind, opening) = match &self.transaction {
            TransactionState::Declared {
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
        run(RunPlan {
            kind: run_kind,
            text,
            is_write: kind == statement::AccessKind::Write,
            prepared,
            opening,
        })
    }

    fn plan_set(&mut self, name: &str, value: &str) -> StatementPlan {
        let is_new = !self.values.contains_key(name);
        if is_new && self.values.len() >= MAX_SESSION_ENTRIES {
            return refuse_protocol("the session holds too many values");
        }
        self.values.insert(name.to_owned(), value.to_owned());
        StatementPlan::Answer(LocalAnswer::Done)
    }

    fn plan_prepare(
        &mut self,
        name: &str,
        kind: statement::AccessKind,
        shape: &str,
    ) -> StatementPlan {
        let is_new = !self.prepared.contains_key(name);
        if is_new && self.prepared.len() >= MAX_SESSION_ENTRIES {
            return refuse_protocol("the session holds too many prepared statements");
        }
        let shape = statement::PreparedQuery {
            kind,
            shape: shape.to_owned(),
        };
        self.prepared.insert(name.to_owned(), shape);
        StatementPlan::Answer(LocalAnswer::Done)
    }

    fn plan_execute(&mut self, name: &str, arguments: &str) -> StatementPlan {
        let Some(shape) = self.prepared.get(name).cloned() else {
            return refuse_protocol("no such prepared statement");
        };
        let text = format!("EXECUTE {} {arguments}", shape.shared_name());
        self.plan_access(shape.kind, text, Some(shape))
    }

    fn plan_deallocate(&mut self, name: &str) -> StatementPlan {
        if self.prepared.remove(name).is_none() {
            return refuse_protocol("no such prepared statement");
        }
        StatementPlan::Answer(LocalAnswer::Done)
    }

    /// Notes that the transaction of a plan has been opened at a database.
    pub fn record_transaction_opened(&mut self) {
        self.transaction = TransactionState::Open { has_written: false };
    }

    /// Notes how a statement at a database ended.
    ///
    /// A transaction whose connection is lost has failed: without a COMMIT the
    /// database rolls it back.
    pub fn record_outcome(&mut self, plan: &RunPlan, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Succeeded { position } => self.record_success(plan, position),
            RunOutcome::Rejected { status } => self.record_rejection(plan, status),
            RunOutcome::Lost => match plan.kind {
                RunKind::Commit | RunKind::Rollback => self.transaction = TransactionState::None,
                RunKind::InTransaction => {
                    self.transaction = TransactionState::Failed { at_database: false };
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
                let wrote = matches!(
                    self.transaction,
                    TransactionState::Open { has_written: true }
                );
                self.transaction = TransactionState::None;
                if wrote {
                    self.raise_floor(position);
                }
            }
            RunKind::Rollback => self.transaction = TransactionState::None,
        }
    }

    fn record_rejection(&mut self, plan: &RunPlan, status: TransactionStatus) {
        if matches!(
            plan.kind,
            RunKind::AutocommitRead | RunKind::AutocommitWrite
        ) {
            return;
        }
        match status {
            TransactionStatus::Idle => self.transaction = TransactionState::None,
            TransactionStatus::InTransaction => {}
            TransactionStatus::Failed => {
                self.transaction = TransactionState::Failed { at_database: true };
            }
        }
    }

    /// Notes that the open transaction was given up while the caller was idle.
    pub fn record_transaction_failed(&mut self) {
        if self.transaction != TransactionState::None {
            self.transaction = TransactionState::Failed { at_database: false };
        }
    }

    fn raise_floor(&mut self, position: Option<position::LogPosition>) {
        self.floor = self.floor.max(position);
    }
}

fn run(plan: RunPlan) -> StatementPlan {
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

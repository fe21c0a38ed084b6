//! The state of the session on a database connection, and the steps that change it to that of a
//! caller's session.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::statement;

/// The number of prepared statements on one connection at which it is reset before the next one, to
/// bound its memory here and at the database.
pub const MAX_PREPARED_STATEMENTS: usize = 64;
/// The total length of the templates prepared on one connection at which it is reset before the
/// next one, in bytes.
pub const MAX_PREPARED_BYTES: usize = 256 << 10;
/// How many times as much a connection may hold before it is reset even within a transaction.
pub const TRANSACTION_FACTOR: usize = 4;

/// A statement that changes the session state of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetupStep {
    /// Discards all session settings and prepared statements.
    Reset,
    /// Sets a session setting.
    Set {
        /// The name of the setting.
        name: String,
        /// The value of the setting.
        value: String,
    },
    /// Prepares a statement.
    Prepare {
        /// The name of the prepared statement on this connection.
        name: statement::PreparedName,
        /// What the prepared statement runs.
        query: statement::PreparedQuery,
    },
}

impl SetupStep {
    /// Returns the name of the step's kind in logs and metrics.
    pub const fn kind_label(&self) -> &'static str {
        match self {
            Self::Reset => "reset",
            Self::Set { .. } => "set",
            Self::Prepare { .. } => "prepare",
        }
    }
}

/// What the next statement of a session needs of its connection.
#[derive(Debug, Clone, Default)]
pub struct SessionNeeds {
    /// The session settings.
    pub settings: Arc<BTreeMap<String, String>>,
    /// What must be prepared, if anything.
    pub query: Option<statement::PreparedQuery>,
    /// What later statements may need to be prepared.
    pub optional: Vec<statement::PreparedQuery>,
}

/// The steps that must run on a connection before a caller's statement.
pub type SetupSteps = SmallVec<[SetupStep; 2]>;

/// The session settings and prepared statements that a database has acknowledged.
#[derive(Debug, Clone, Default)]
struct AcknowledgedState {
    settings: BTreeMap<String, String>,
    prepared: BTreeMap<statement::PreparedQuery, statement::PreparedName>,
}

impl AcknowledgedState {
    /// Returns whether the connection holds `factor` times as much as an idle one may.
    fn is_full(&self, factor: usize) -> bool {
        let templates = self.prepared.keys().map(|query| query.template.len());
        self.prepared.len() >= factor * MAX_PREPARED_STATEMENTS
            || templates.sum::<usize>() >= factor * MAX_PREPARED_BYTES
    }
}

/// The session settings and prepared statements of a database connection.
#[derive(Debug, Clone)]
pub struct ConnectionState {
    /// `None` while it is not known what the connection has.
    acknowledged: Option<AcknowledgedState>,
    /// The number of the last prepared statement. Numbers are not used again after a reset.
    last_number: u64,
}

impl Default for ConnectionState {
    fn default() -> Self {
        Self {
            acknowledged: Some(AcknowledgedState::default()),
            last_number: 0,
        }
    }
}

impl ConnectionState {
    /// Returns the steps after which the connection has exactly the given session settings and, if
    /// `query` is given, a prepared statement for it. The state changes only as the steps are
    /// acknowledged.
    ///
    /// A connection that holds much is reset first. Within a transaction, where `may_reset` is
    /// false, it may hold more.
    pub fn plan_setup(
        &mut self,
        settings: &BTreeMap<String, String>,
        query: Option<&statement::PreparedQuery>,
        may_reset: bool,
    ) -> SetupSteps {
        let mut steps = SetupSteps::new();
        let current = self.acknowledged.as_ref().filter(|current| {
            let has_only_wanted = current
                .settings
                .keys()
                .all(|name| settings.contains_key(name));
            let needs_room = query.is_some_and(|query| !current.prepared.contains_key(query));
            let factor = if may_reset { 1 } else { TRANSACTION_FACTOR };
            has_only_wanted && !(needs_room && current.is_full(factor))
        });
        if current.is_none() {
            steps.push(SetupStep::Reset);
        }
        for (name, value) in settings {
            if current.and_then(|current| current.settings.get(name)) != Some(value) {
                steps.push(SetupStep::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some(query) = query
            && current.is_none_or(|current| !current.prepared.contains_key(query))
        {
            self.last_number += 1;
            steps.push(SetupStep::Prepare {
                name: statement::PreparedName(self.last_number),
                query: query.clone(),
            });
        }
        steps
    }

    /// Returns the steps that prepare `queries` behind the steps that [`Self::plan_setup`] returned,
    /// as far as there is room. They need not succeed.
    pub fn plan_optional(
        &mut self,
        queries: &[statement::PreparedQuery],
        planned: &[SetupStep],
    ) -> SetupSteps {
        let is_reset = planned.first() == Some(&SetupStep::Reset);
        let current = self.acknowledged.as_ref().filter(|_| !is_reset);
        let prepared = current.map_or(0, |current| current.prepared.len());
        let room = MAX_PREPARED_STATEMENTS.saturating_sub(prepared + planned.len());
        let is_missing = |query: &&statement::PreparedQuery| {
            let is_planned = planned.iter().any(|step| {
                matches!(step, SetupStep::Prepare { query: planned, .. } if planned == *query)
            });
            !is_planned && current.is_none_or(|current| !current.prepared.contains_key(*query))
        };
        let mut steps = SetupSteps::new();
        for query in queries.iter().filter(is_missing).take(room) {
            self.last_number += 1;
            steps.push(SetupStep::Prepare {
                name: statement::PreparedName(self.last_number),
                query: query.clone(),
            });
        }
        steps
    }

    /// Returns whether the connection has exactly the given session settings and, if `query` is
    /// given, a prepared statement for it.
    pub fn is_set_up(
        &self,
        settings: &BTreeMap<String, String>,
        query: Option<&statement::PreparedQuery>,
    ) -> bool {
        self.acknowledged.as_ref().is_some_and(|current| {
            current.settings == *settings
                && query.is_none_or(|query| current.prepared.contains_key(query))
        })
    }

    /// Returns the name of a prepared statement on the connection; `None` if the database has not
    /// acknowledged it.
    pub fn prepared_name(
        &self,
        query: &statement::PreparedQuery,
    ) -> Option<statement::PreparedName> {
        let current = self.acknowledged.as_ref()?;
        current.prepared.get(query).copied()
    }

    /// Records that the database acknowledged a step.
    pub fn record_acknowledged(&mut self, step: &SetupStep) {
        if *step == SetupStep::Reset {
            self.acknowledged = Some(AcknowledgedState::default());
        }
        let Some(current) = &mut self.acknowledged else {
            return;
        };
        match step {
            SetupStep::Reset => {}
            SetupStep::Set { name, value } => {
                current.settings.insert(name.clone(), value.clone());
            }
            SetupStep::Prepare { name, query } => {
                current.prepared.insert(query.clone(), *name);
            }
        }
    }

    /// Records that it is not known any more what the connection has, so that it must be reset.
    pub fn forget(&mut self) {
        self.acknowledged = None;
    }
}

//! The state of the session on a database connection, and the steps that change it to that of a
//! caller's session.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::statement;

/// The maximum number of prepared statements on one connection. The connection is reset at
/// this number, to bound its memory at the database.
const MAX_PREPARED_STATEMENTS: usize = 64;

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
    /// Prepares a statement under the name that all sessions share.
    Prepare(statement::PreparedQuery),
}

impl SetupStep {
    /// Returns the name of the step's kind in logs and metrics.
    pub const fn kind_label(&self) -> &'static str {
        match self {
            Self::Reset => "reset",
            Self::Set { .. } => "set",
            Self::Prepare(_) => "prepare",
        }
    }
}

/// The steps that must run on a connection before a caller's statement.
pub type SetupSteps = SmallVec<[SetupStep; 2]>;

/// The session settings and prepared statements of a database connection.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    settings: BTreeMap<String, String>,
    prepared: BTreeSet<statement::PreparedQuery>,
}

impl ConnectionState {
    /// Returns the steps after which the connection has exactly the given session settings and, if
    /// `query` is given, a prepared statement for it.
    ///
    /// Assumes that the steps are carried out: later calls start from the resulting state.
    pub fn plan_setup(
        &mut self,
        settings: &BTreeMap<String, String>,
        query: Option<&statement::PreparedQuery>,
    ) -> SetupSteps {
        let mut steps = SetupSteps::new();
        let has_unwanted_setting = self
            .settings
            .keys()
            .any(|name| !settings.contains_key(name));
        if has_unwanted_setting || self.prepared.len() >= MAX_PREPARED_STATEMENTS {
            self.settings.clear();
            self.prepared.clear();
            steps.push(SetupStep::Reset);
        }
        for (name, value) in settings {
            if self.settings.get(name) != Some(value) {
                self.settings.insert(name.clone(), value.clone());
                steps.push(SetupStep::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some(query) = query
            && self.prepared.insert(query.clone())
        {
            steps.push(SetupStep::Prepare(query.clone()));
        }
        steps
    }
}

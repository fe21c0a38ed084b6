//! What a database connection remembers, and how to bring it into a caller's state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::statement;

/// The most prepared statements that one connection holds before it is reset,
/// a bound on its memory at the database.
const MAX_PREPARED: usize = 64;

/// A statement that brings a connection into a caller's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetupStep {
    /// Drops all values and prepared statements.
    Reset,
    /// Sets a value.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under its shared name.
    Prepare(statement::PreparedQuery),
}

/// The steps before a statement.
pub type SetupSteps = SmallVec<[SetupStep; 2]>;

/// The values and prepared statements that a connection holds.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    values: BTreeMap<String, String>,
    prepared: BTreeSet<statement::PreparedQuery>,
}

impl ConnectionState {
    /// Returns the steps that make the connection hold exactly `values` and at
    /// least `prepared`, and assumes that they will be carried out.
    pub fn plan_setup(
        &mut self,
        values: &BTreeMap<String, String>,
        prepared: Option<&statement::PreparedQuery>,
    ) -> SetupSteps {
        let mut steps = SetupSteps::new();
        let has_foreign = self.values.keys().any(|name| !values.contains_key(name));
        if has_foreign || self.prepared.len() >= MAX_PREPARED {
            self.values.clear();
            self.prepared.clear();
            steps.push(SetupStep::Reset);
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                steps.push(SetupStep::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some(shape) = prepared
            && self.prepared.insert(shape.clone())
        {
            steps.push(SetupStep::Prepare(shape.clone()));
        }
        steps
    }
}

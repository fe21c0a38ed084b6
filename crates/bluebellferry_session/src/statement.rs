//! The statements that callers send.

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AccessKind {
    /// The statement changes nothing.
    Read,
    /// The statement changes an item.
    Write,
}

/// The action that a statement requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementAction {
    /// Opens a transaction.
    Begin {
        /// Whether writes are forbidden in the transaction.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes an item.
    Access {
        /// Whether the item is read or written.
        kind: AccessKind,
        /// The text, which is sent to the database unchanged.
        text: String,
    },
    /// Sets a session setting.
    Set {
        /// The name of the setting.
        name: String,
        /// The value of the setting.
        value: String,
    },
    /// Creates a prepared statement.
    Prepare {
        /// The caller's name of the prepared statement.
        name: String,
        /// Whether the prepared statement reads or writes.
        kind: AccessKind,
        /// The statement template, as the caller sent it.
        template: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name of the prepared statement.
        name: String,
        /// The item and the data as the caller sent them; `None` if it sent none, not even a space.
        arguments: Option<String>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The caller's name of the prepared statement, or any other text.
        name: String,
    },
}

/// A statement with the id that its caller gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The id, which is sent to the database unchanged and written to every log line.
    pub id: String,
    /// The requested action.
    pub action: StatementAction,
}

impl Statement {
    /// Creates a statement from its id and action.
    pub fn new(id: impl Into<String>, action: StatementAction) -> Self {
        Self {
            id: id.into(),
            action,
        }
    }
}

/// What a prepared statement runs, independent of the name that a caller gave it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedQuery {
    /// Whether the prepared statement reads or writes.
    pub kind: AccessKind,
    /// The statement template.
    pub template: String,
}

/// The name of a prepared statement on one database connection.
///
/// It is a number that no other prepared statement of the connection has, whatever callers call
/// their statements and whatever the statements contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedName(pub(crate) u64);

impl std::fmt::Display for PreparedName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "p{}", self.0)
    }
}

/// The text of a statement for a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementText {
    /// The text that the caller sent, unchanged.
    Verbatim(String),
    /// Runs a prepared statement under the name that it has on the connection.
    Execute {
        /// What the prepared statement runs.
        query: PreparedQuery,
        /// The arguments as the caller sent them; `None` if it sent none, not even a space.
        arguments: Option<String>,
    },
}

impl StatementText {
    /// Returns what the statement needs to be prepared on the connection.
    pub fn prepared_query(&self) -> Option<&PreparedQuery> {
        match self {
            Self::Verbatim(_) => None,
            Self::Execute { query, .. } => Some(query),
        }
    }
}

//! Statements as callers send them.

/// Whether a prepared statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AccessKind {
    /// It changes nothing.
    Read,
    /// It changes an item.
    Write,
}

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementAction {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction may not write.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes an item; the text goes to the database unchanged.
    Access {
        /// Whether the item is changed.
        kind: AccessKind,
        /// The statement's text.
        text: String,
    },
    /// Sets a session value.
    Set {
        /// The value's name.
        name: String,
        /// The value.
        value: String,
    },
    /// Names a prepared statement.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// Whether it reads or writes.
        kind: AccessKind,
        /// What it runs.
        shape: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// The item and the data, if any, as they were sent.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
}

/// A statement with its caller's identity for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// The identity; it goes to the database unchanged and into every log line.
    pub id: String,
    /// What it asks for.
    pub action: StatementAction,
}

impl Statement {
    /// Creates a statement.
    pub fn new(id: impl Into<String>, action: StatementAction) -> Self {
        Self {
            id: id.into(),
            action,
        }
    }
}

/// A prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PreparedQuery {
    /// Whether it reads or writes.
    pub kind: AccessKind,
    /// What it runs.
    pub shape: String,
}

impl PreparedQuery {
    /// Returns the name that database connections know the statement by. It
    /// depends on the shape only, so callers with different names share it.
    pub fn shared_name(&self) -> String {
        let prefix = match self.kind {
            AccessKind::Read => 'r',
            AccessKind::Write => 'w',
        };
        format!("{prefix}.{}", self.shape)
    }
}

//! The keys of limits that all VMs keep together.

use serde::Deserialize;
use serde::Serialize;

use crate::name;

/// Names a rate that holds over all VMs together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LimitKey {
    /// The operations of a workspace.
    Workspace(name::WorkspaceName),
    /// The statements sent to a database that has just started or recovered.
    Database(name::DatabaseName),
}

impl LimitKey {
    /// Returns the name of the workspace or database.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Workspace(workspace) => workspace.as_str(),
            Self::Database(database) => database.as_str(),
        }
    }

    /// Returns the workspace whose rate the key names, if it names one.
    pub const fn workspace(&self) -> Option<&name::WorkspaceName> {
        match self {
            Self::Workspace(workspace) => Some(workspace),
            Self::Database(_) => None,
        }
    }
}

impl From<&name::WorkspaceName> for LimitKey {
    fn from(workspace: &name::WorkspaceName) -> Self {
        Self::Workspace(workspace.clone())
    }
}

impl From<&name::DatabaseName> for LimitKey {
    fn from(database: &name::DatabaseName) -> Self {
        Self::Database(database.clone())
    }
}

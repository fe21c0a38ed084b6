//! The statements that a service's databases are known to accept.
//!
//! A message that only prepares such a statement is answered without borrowing
//! a connection. Clients that prepare on several connections from one thread
//! could otherwise wait for a connection that their own open transactions hold.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::PoisonError;
use std::sync::RwLock;

use bluebellferry_types::name;

use crate::backend;

/// After how many statements a service's set is begun anew.
const MAX_STATEMENTS_PER_SERVICE: usize = 20_000;

/// Statements that were prepared with success, by service.
#[derive(Debug, Default)]
pub struct PreparedRegistry {
    services: RwLock<HashMap<name::ServiceName, HashSet<backend::StatementId>>>,
}

impl PreparedRegistry {
    /// Remembers statements that a database has prepared.
    pub fn record(&self, service: &name::ServiceName, ids: &[backend::StatementId]) {
        if ids.is_empty() {
            return;
        }
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let known = services.entry(service.clone()).or_default();
        if known.len() + ids.len() > MAX_STATEMENTS_PER_SERVICE {
            known.clear();
        }
        known.extend(ids);
    }

    /// Returns whether a database of the service has prepared the statement.
    pub fn contains(&self, service: &name::ServiceName, id: backend::StatementId) -> bool {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services
            .get(service)
            .is_some_and(|known| known.contains(&id))
    }
}

//! Registry of the statements that databases of a service have prepared.
//!
//! A batch that only prepares such a statement is answered without borrowing a
//! database connection. Otherwise a client that prepares on several connections
//! from one thread could wait for a database connection that its own open
//! transactions occupy.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::PoisonError;
use std::sync::RwLock;

use bluebellferry_types::name;

use crate::backend;

/// The largest number of statements recorded for a service. If new statements would
/// exceed it, those recorded for the service before are removed.
const MAX_STATEMENTS_PER_SERVICE: usize = 20_000;

/// The statements that were prepared successfully, by service.
#[derive(Debug, Default)]
pub struct PreparedRegistry {
    services: RwLock<HashMap<name::ServiceName, HashSet<backend::StatementId>>>,
}

impl PreparedRegistry {
    /// Records statements that a database of the service has prepared.
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

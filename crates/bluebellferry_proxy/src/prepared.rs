//! The numbers of prepared statements, and a registry of the statements that databases
//! of a service have prepared.
//!
//! Distinct statements have distinct numbers, because the table compares texts and
//! parameter types in full and never uses a number twice. A batch that only prepares such a statement is answered without borrowing a
//! database connection. Otherwise a client that prepares on several connections
//! from one thread could wait for a database connection that its own open
//! transactions occupy.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use bluebellferry_types::name;

use crate::backend;

/// The largest number of statements recorded for a service. If new statements would
/// exceed it, those recorded for the service before are removed.
const MAX_STATEMENTS_PER_SERVICE: usize = 20_000;

/// The largest number of statements whose numbers are remembered.
const MAX_REMEMBERED_STATEMENTS: usize = 20_000;
/// The largest total size of the remembered statements, in bytes.
const MAX_REMEMBERED_BYTES: usize = 32 * 1024 * 1024;

/// The text of a statement and the types of its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StatementDefinition {
    /// The SQL text.
    pub sql: String,
    /// The OIDs of the parameter types that the caller gave.
    pub type_oids: Vec<u32>,
}

impl StatementDefinition {
    /// Returns the size of the text and the types in bytes.
    fn byte_count(&self) -> usize {
        self.sql.len() + self.type_oids.len() * size_of::<u32>()
    }
}

/// The numbers of statements. Equal statements share a number while the table
/// remembers them; one that was forgotten gets a new number.
#[derive(Debug, Default)]
pub struct StatementTable {
    state: Mutex<TableState>,
}

#[derive(Debug, Default)]
struct TableState {
    ids: HashMap<Arc<StatementDefinition>, backend::StatementId>,
    /// The remembered statements, the oldest first.
    remembered: VecDeque<Arc<StatementDefinition>>,
    remembered_bytes: usize,
    last_number: u64,
}

impl StatementTable {
    /// Returns the number of a statement: the remembered one, or one that no statement
    /// of this process has had.
    pub fn number_statement(&self, definition: &StatementDefinition) -> backend::StatementId {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(id) = state.ids.get(definition) {
            return *id;
        }
        state.last_number += 1;
        let id = backend::StatementId(state.last_number);
        state.remember(definition, id);
        id
    }
}

impl TableState {
    /// Remembers a statement in place of the oldest ones, unless it is too large.
    fn remember(&mut self, definition: &StatementDefinition, id: backend::StatementId) {
        let bytes = definition.byte_count();
        if bytes > MAX_REMEMBERED_BYTES / 16 {
            return;
        }
        while self.remembered.len() >= MAX_REMEMBERED_STATEMENTS
            || self.remembered_bytes + bytes > MAX_REMEMBERED_BYTES
        {
            let Some(oldest) = self.remembered.pop_front() else {
                break;
            };
            self.ids.remove(&oldest);
            self.remembered_bytes -= oldest.byte_count();
        }
        let definition = Arc::new(definition.clone());
        self.remembered_bytes += bytes;
        self.ids.insert(Arc::clone(&definition), id);
        self.remembered.push_back(definition);
    }
}

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

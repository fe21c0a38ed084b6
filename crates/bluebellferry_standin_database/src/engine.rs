//! The embedded SQLite database, and commits of transactions through the replicated log.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

use crate::group;

/// How long a statement waits for the lock of another writer.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a commit waits for the acknowledgement of a majority before its outcome is reported
/// as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// An SQLite database file in a temporary directory, removed on drop.
///
/// A file in write-ahead mode is used because its readers, like PostgreSQL's,
/// are not blocked by an open write transaction. Readers of SQLite's in-memory
/// databases are.
#[derive(Debug)]
pub struct SqlEngine {
    directory: PathBuf,
}

impl SqlEngine {
    /// Creates an empty database in a new temporary directory.
    ///
    /// # Errors
    /// Fails if the directory or the database cannot be created.
    pub fn create(name: &str) -> Result<Self, Box<dyn std::error::Error>> {
        let process_id = std::process::id();
        let directory = std::env::temp_dir().join(format!("bluebellferry-{name}-{process_id}"));
        // A killed process doesn't remove its directory, and its process ID may be reused.
        if directory.exists() {
            std::fs::remove_dir_all(&directory)?;
        }
        std::fs::create_dir_all(&directory)?;
        let engine = Self { directory };
        engine
            .open_connection()?
            .pragma_update(None, "journal_mode", "WAL")?;
        Ok(engine)
    }

    /// Opens a connection to the database file.
    ///
    /// # Errors
    /// Fails if the file cannot be opened or configured.
    pub fn open_connection(&self) -> rusqlite::Result<rusqlite::Connection> {
        let connection = rusqlite::Connection::open(self.directory.join("database.sqlite"))?;
        connection.busy_timeout(LOCK_TIMEOUT)?;
        connection.pragma_update(None, "synchronous", "OFF")?;
        connection.set_prepared_statement_cache_capacity(64);
        Ok(connection)
    }
}

impl Drop for SqlEngine {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.directory) {
            log::warn!("could not remove the temporary directory of the database: {error}");
        }
    }
}

/// Executes the statements of a log entry, unless the entry has been replayed in the meantime.
///
/// # Errors
/// Fails if a statement fails; the entry is then rolled back and stays unreplayed.
pub fn replay_entry(
    connection: &rusqlite::Connection,
    member: &group::GroupMember,
    offset: u64,
    entry: &group::LogEntry,
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    let result = execute_statements(connection, entry);
    if let Err(error) = result {
        connection.execute_batch("ROLLBACK")?;
        return Err(error);
    }
    let mut state = member.lock();
    if state.replayed_offset + 1 == offset {
        connection.execute_batch("COMMIT")?;
        state.replayed_offset = offset;
    } else {
        connection.execute_batch("ROLLBACK")?;
    }
    drop(state);
    member.notify();
    Ok(())
}

fn execute_statements(
    connection: &rusqlite::Connection,
    entry: &group::LogEntry,
) -> rusqlite::Result<()> {
    for logged_statement in &entry.statements {
        let mut statement = connection.prepare_cached(&logged_statement.sql)?;
        bind_parameters(&mut statement, &logged_statement.parameters)?;
        let mut rows = statement.raw_query();
        while rows.next()?.is_some() {}
    }
    Ok(())
}

/// Binds the parameters to the placeholders `$1`, `$2` and so on; a parameter without a
/// placeholder is ignored.
///
/// # Errors
/// Fails if a value cannot be bound.
pub fn bind_parameters(
    statement: &mut rusqlite::Statement<'_>,
    parameters: &[crate::value::SqlValue],
) -> rusqlite::Result<()> {
    for (index, parameter) in parameters.iter().enumerate() {
        if let Some(placeholder) = statement.parameter_index(&format!("${}", index + 1))? {
            statement.raw_bind_parameter(placeholder, parameter)?;
        }
    }
    Ok(())
}

/// The outcome of a commit through the replicated log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// A majority of the group has stored the transaction, at this log position.
    Committed(position::LogPosition),
    /// The database is not the primary of the transaction's term; nothing was written.
    NotPrimary,
    /// The database was replaced as primary, or timed out, before a majority acknowledged the
    /// transaction.
    Unknown,
}

/// Replicates the statements of the open SQLite transaction and commits it.
///
/// The connection must hold SQLite's write lock, so that transactions are committed
/// in the order of their log entries. The transaction is committed in SQLite only
/// once a majority has stored its entry. `start_term` is the database's term when
/// the transaction began.
///
/// # Errors
/// Fails if SQLite cannot commit or roll back.
pub fn replicate_and_commit(
    connection: &rusqlite::Connection,
    member: &group::GroupMember,
    start_term: u64,
    statements: Vec<group::LoggedStatement>,
) -> rusqlite::Result<CommitOutcome> {
    let mut state = member.lock();
    if !state.accepts_writes() || state.own_term != start_term {
        drop(state);
        connection.execute_batch("ROLLBACK")?;
        return Ok(CommitOutcome::NotPrimary);
    }
    let offset = state.append_entry(statements);
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    member.notify();
    loop {
        let is_still_primary = state.accepts_writes() && state.own_term == start_term;
        if !is_still_primary || Instant::now() >= deadline {
            drop(state);
            connection.execute_batch("ROLLBACK")?;
            return Ok(CommitOutcome::Unknown);
        }
        if state.committed_offset >= offset && state.replayed_offset + 1 == offset {
            // The lock on the state prevents the replay thread from executing the entry as well.
            connection.execute_batch("COMMIT")?;
            state.replayed_offset = offset;
            let position = state.position_at(offset);
            drop(state);
            member.notify();
            return Ok(CommitOutcome::Committed(position));
        }
        state = member.wait(state, Duration::from_millis(100));
    }
}

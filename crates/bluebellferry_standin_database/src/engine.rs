//! The embedded SQL engine and the commit of a transaction through the log.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

use crate::group;

/// How long a statement waits for another writer.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a commit waits for a majority before its outcome is given as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A private database file and the way to open connections to it.
///
/// SQLite's in-memory databases block readers while a writer is open; a file
/// in write-ahead mode does not, and PostgreSQL's readers do not block either.
#[derive(Debug)]
pub struct SqlEngine {
    folder: PathBuf,
}

impl SqlEngine {
    /// Creates an empty database in a new private folder.
    ///
    /// # Errors
    /// Fails when the folder or the database cannot be created.
    pub fn create(name: &str) -> Result<Self, Box<dyn std::error::Error>> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("bluebellferry-{name}-{process}"));
        // A killed process leaves its folder behind, and its number may come again.
        if folder.exists() {
            std::fs::remove_dir_all(&folder)?;
        }
        std::fs::create_dir_all(&folder)?;
        let engine = Self { folder };
        engine
            .connect()?
            .pragma_update(None, "journal_mode", "WAL")?;
        Ok(engine)
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when the file cannot be opened.
    pub fn connect(&self) -> rusqlite::Result<rusqlite::Connection> {
        let connection = rusqlite::Connection::open(self.folder.join("database.sqlite"))?;
        connection.busy_timeout(LOCK_TIMEOUT)?;
        connection.pragma_update(None, "synchronous", "OFF")?;
        connection.set_prepared_statement_cache_capacity(64);
        Ok(connection)
    }
}

impl Drop for SqlEngine {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            log::warn!("the private folder could not be removed: {error}");
        }
    }
}

/// Replays one entry, unless it has been applied meanwhile.
///
/// # Errors
/// Fails when a statement fails, which leaves the entry unapplied.
pub fn apply_entry(
    connection: &rusqlite::Connection,
    member: &group::GroupMember,
    offset: u64,
    entry: &group::LogEntry,
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    let applied = apply_statements(connection, entry);
    if let Err(error) = applied {
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

fn apply_statements(
    connection: &rusqlite::Connection,
    entry: &group::LogEntry,
) -> rusqlite::Result<()> {
    for logged in &entry.statements {
        let mut statement = connection.prepare_cached(&logged.sql)?;
        bind_parameters(&mut statement, &logged.parameters)?;
        let mut rows = statement.raw_query();
        while rows.next()?.is_some() {}
    }
    Ok(())
}

/// Binds parameters by the number in `$1`, `$2` and so on.
///
/// # Errors
/// Fails when a value cannot be bound.
pub fn bind_parameters(
    statement: &mut rusqlite::Statement<'_>,
    parameters: &[crate::value::SqlValue],
) -> rusqlite::Result<()> {
    for (index, parameter) in parameters.iter().enumerate() {
        if let Some(place) = statement.parameter_index(&format!("${}", index + 1))? {
            statement.raw_bind_parameter(place, parameter)?;
        }
    }
    Ok(())
}

/// The outcome of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// A majority holds the transaction at this position.
    Committed(position::LogPosition),
    /// The database is not the primary; nothing was written.
    NotPrimary,
    /// The primary was replaced or cut off before a majority answered.
    Unknown,
}

/// Commits the open SQLite transaction through the replicated log.
///
/// The caller holds SQLite's write lock, so entries are applied in the order of
/// the log. The transaction is committed locally only once a majority holds it.
///
/// # Errors
/// Fails when SQLite cannot commit or roll back.
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
        let still_primary = state.accepts_writes() && state.own_term == start_term;
        if !still_primary || Instant::now() >= deadline {
            drop(state);
            connection.execute_batch("ROLLBACK")?;
            return Ok(CommitOutcome::Unknown);
        }
        if state.committed_offset >= offset && state.replayed_offset + 1 == offset {
            // Committed under the lock, so that replay cannot apply it as well.
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

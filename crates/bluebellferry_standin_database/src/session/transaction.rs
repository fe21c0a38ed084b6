//! Transactions: begin, run, commit through the log, roll back.

use std::io;

use bluebellferry_wire::message;

use super::ClientSession;
use super::SqlFailure;
use crate::control;
use crate::engine;
use crate::group;
use crate::value;

/// An open transaction.
#[derive(Debug)]
pub(crate) struct OpenTransaction {
    start_term: u64,
    statements: Vec<group::LoggedStatement>,
    has_sqlite_transaction: bool,
    read_only: bool,
    failed: bool,
    implicit: bool,
    guard: group::TransactionGuard,
}

/// The rows of a statement.
#[derive(Debug, Default)]
pub(crate) struct BufferedRows {
    pub(crate) columns: Vec<ColumnDescription>,
    pub(crate) rows: Vec<Vec<value::SqlValue>>,
}

/// A column's name and PostgreSQL type number.
#[derive(Debug, Clone)]
pub(crate) struct ColumnDescription {
    pub(crate) name: String,
    pub(crate) type_oid: u32,
}

/// Receives the rows of a statement as they are found.
pub(crate) trait RowSink {
    fn start(&mut self, columns: &[ColumnDescription]) -> io::Result<()>;
    fn row(&mut self, columns: &[ColumnDescription], row: Vec<value::SqlValue>) -> io::Result<()>;
}

impl RowSink for BufferedRows {
    fn start(&mut self, columns: &[ColumnDescription]) -> io::Result<()> {
        self.columns = columns.to_vec();
        Ok(())
    }

    fn row(&mut self, _columns: &[ColumnDescription], row: Vec<value::SqlValue>) -> io::Result<()> {
        self.rows.push(row);
        Ok(())
    }
}

impl ClientSession<'_> {
    pub(super) fn transaction_state(&self) -> message::TransactionState {
        match &self.transaction {
            None => message::TransactionState::Idle,
            Some(open) if open.failed => message::TransactionState::Failed,
            Some(_) => message::TransactionState::Open,
        }
    }

    pub(super) fn is_transaction_failed(&self) -> bool {
        self.transaction.as_ref().is_some_and(|open| open.failed)
    }

    pub(super) fn is_in_transaction(&self) -> bool {
        self.transaction.is_some()
    }

    /// Opens a transaction; SQLite's own starts with the first statement.
    pub(super) fn open_transaction(&mut self, read_only: bool, implicit: bool) {
        let start_term = self.server.member.lock().own_term;
        self.transaction = Some(OpenTransaction {
            start_term,
            statements: Vec::new(),
            has_sqlite_transaction: false,
            read_only,
            failed: false,
            implicit,
            guard: group::TransactionGuard::new(&self.server.member),
        });
    }

    /// Makes an implicit transaction the client's own after `BEGIN`.
    pub(super) fn make_transaction_explicit(&mut self) {
        if let Some(open) = &mut self.transaction {
            open.implicit = false;
        }
    }

    pub(super) fn is_transaction_implicit(&self) -> bool {
        self.transaction.as_ref().is_some_and(|open| open.implicit)
    }

    /// Marks the transaction as failed, or ends it when it was implicit.
    pub(super) fn fail_transaction(&mut self) {
        if self.is_transaction_implicit() {
            self.roll_back();
        } else if let Some(open) = &mut self.transaction {
            open.failed = true;
        }
    }

    pub(super) fn roll_back(&mut self) {
        let open = self.transaction.take();
        if open.is_some_and(|open| open.has_sqlite_transaction)
            && let Err(error) = self.connection.execute_batch("ROLLBACK")
        {
            log::debug!("SQLite had no transaction to roll back: {error}");
        }
    }

    /// Commits; returns whether anything was committed rather than rolled back.
    pub(super) fn commit(&mut self) -> Result<bool, SqlFailure> {
        let Some(open) = self.transaction.take() else {
            return Ok(true);
        };
        if open.failed {
            self.transaction = Some(open);
            self.roll_back();
            return Ok(false);
        }
        if open.statements.is_empty() {
            if open.has_sqlite_transaction {
                self.connection.execute_batch("COMMIT")?;
            }
            return Ok(true);
        }
        let member = &self.server.member;
        let outcome = engine::replicate_and_commit(
            &self.connection,
            member,
            open.start_term,
            open.statements,
        )?;
        drop(open.guard);
        match outcome {
            engine::CommitOutcome::Committed(position) => {
                let name = "bluebellferry.position";
                message::put_parameter_status(&mut self.out, name, &position.to_string());
                Ok(true)
            }
            engine::CommitOutcome::NotPrimary => Err(not_primary_error()),
            engine::CommitOutcome::Unknown => Err(SqlFailure::new(
                "08007",
                "the primary was replaced before a majority confirmed the transaction",
            )),
        }
    }

    /// Runs one statement inside the open transaction.
    pub(super) fn run_statement(
        &mut self,
        sql: &str,
        parameters: &[value::SqlValue],
        sink: &mut dyn RowSink,
    ) -> Result<StatementCount, SqlFailure> {
        if let Some(call) = control::parse_control_call(sql) {
            return self.run_control_call(&call, sink);
        }
        self.begin_statement();
        let read_only = self.connection.prepare_cached(sql)?.readonly();
        if !read_only {
            self.check_writable()?;
        }
        self.begin_sqlite_transaction(read_only)?;
        let holds_lock = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.statements.is_empty());
        // A writer's next statement must not wait behind those that wait for it.
        let slot = (!holds_lock).then(|| self.server.slots.acquire());
        self.sleep_min_statement_time();
        let count = execute(&self.connection, sql, parameters, sink)?;
        drop(slot);
        if !read_only {
            self.record_write(sql, parameters);
        }
        Ok(count)
    }

    fn run_control_call(
        &self,
        call: &control::ControlCall,
        sink: &mut dyn RowSink,
    ) -> Result<StatementCount, SqlFailure> {
        let row = control::run_control_call(&self.server.member, call)
            .map_err(|reason| SqlFailure::new("55000", reason))?;
        let shape = |(name, value): &(&str, value::SqlValue)| ColumnDescription {
            name: (*name).to_owned(),
            type_oid: value::value_type_oid(value),
        };
        let columns: Vec<ColumnDescription> = row.iter().map(shape).collect();
        let values = row.into_iter().map(|(_, value)| value).collect();
        sink.start(&columns)
            .and_then(|()| sink.row(&columns, values))
            .map_err(connection_error)?;
        Ok(StatementCount {
            rows: 1,
            changes: 0,
        })
    }

    fn check_writable(&self) -> Result<(), SqlFailure> {
        let default = self.variables.get("default_transaction_read_only");
        let read_only = self.transaction.as_ref().is_some_and(|open| open.read_only)
            || default.is_some_and(|value| value == "on");
        let accepts = self.server.member.lock().accepts_writes();
        if read_only || !accepts {
            let text = "cannot execute a writing statement in a read-only transaction";
            return Err(SqlFailure::new("25006", text));
        }
        Ok(())
    }

    fn begin_sqlite_transaction(&mut self, read_only: bool) -> Result<(), SqlFailure> {
        let Some(open) = &mut self.transaction else {
            return Ok(());
        };
        if open.has_sqlite_transaction {
            return Ok(());
        }
        let begin = if read_only {
            "BEGIN"
        } else {
            "BEGIN IMMEDIATE"
        };
        self.connection.execute_batch(begin)?;
        open.has_sqlite_transaction = true;
        Ok(())
    }

    fn record_write(&mut self, sql: &str, parameters: &[value::SqlValue]) {
        if let Some(open) = &mut self.transaction {
            open.statements.push(group::LoggedStatement {
                sql: sql.to_owned(),
                parameters: parameters.to_vec(),
            });
        }
    }
}

/// How many rows a statement returned or changed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StatementCount {
    pub(crate) rows: u64,
    pub(crate) changes: u64,
}

fn not_primary_error() -> SqlFailure {
    SqlFailure::new(
        "25006",
        "the database is not the primary; nothing was written",
    )
}

pub(super) fn connection_error(error: io::Error) -> SqlFailure {
    SqlFailure::new("08006", error.to_string())
}

/// Returns the columns of a prepared statement; types without a declaration
/// are taken from `first_row`.
pub(super) fn describe_columns(
    statement: &rusqlite::Statement<'_>,
    first_row: Option<&[value::SqlValue]>,
) -> Vec<ColumnDescription> {
    let shape = |(index, column): (usize, rusqlite::Column<'_>)| {
        let declared = column.decl_type().map(value::declared_type_oid);
        let found = first_row
            .and_then(|row| row.get(index))
            .map(value::value_type_oid);
        ColumnDescription {
            name: column.name().to_owned(),
            type_oid: declared.or(found).unwrap_or(value::TEXT),
        }
    };
    statement
        .columns()
        .into_iter()
        .enumerate()
        .map(shape)
        .collect()
}

fn execute(
    connection: &rusqlite::Connection,
    sql: &str,
    parameters: &[value::SqlValue],
    sink: &mut dyn RowSink,
) -> Result<StatementCount, SqlFailure> {
    let mut statement = connection.prepare_cached(sql)?;
    engine::bind_parameters(&mut statement, parameters)?;
    let width = statement.column_count();
    let undeclared = describe_columns(&statement, None);
    let mut columns: Option<Vec<ColumnDescription>> = None;
    let mut count = 0;
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        let mut values = Vec::with_capacity(width);
        for index in 0..width {
            values.push(value::SqlValue::from(row.get_ref(index)?));
        }
        let shapes = columns.get_or_insert_with(|| describe_columns(row.as_ref(), Some(&values)));
        if count == 0 {
            sink.start(shapes).map_err(connection_error)?;
        }
        sink.row(shapes, values).map_err(connection_error)?;
        count += 1;
    }
    drop(rows);
    if count == 0 && width > 0 {
        sink.start(&undeclared).map_err(connection_error)?;
    }
    Ok(StatementCount {
        rows: count,
        changes: connection.changes(),
    })
}

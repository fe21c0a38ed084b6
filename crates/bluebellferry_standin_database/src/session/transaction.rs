//! Transactions: begin, execution of statements, commit through the replicated log, rollback.

use std::io;

use bluebellferry_wire::message;

use super::ClientSession;
use super::SqlFailure;
use crate::control;
use crate::engine;
use crate::group;
use crate::value;

/// An open transaction of a client session.
#[derive(Debug)]
pub(crate) struct OpenTransaction {
    /// The database's `own_term` when the transaction was opened.
    start_term: u64,
    /// The write statements executed so far, to be replicated on commit.
    logged_statements: Vec<group::LoggedStatement>,
    /// Whether the transaction has begun in SQLite.
    has_sqlite_transaction: bool,
    is_read_only: bool,
    is_failed: bool,
    is_implicit: bool,
    /// The session variables from before the transaction, which a rollback restores.
    variables_at_start: std::collections::BTreeMap<String, String>,
    /// Counts the transaction as open until it is dropped.
    count_guard: group::TransactionGuard,
}

/// Collects the rows of a statement in memory.
#[derive(Debug, Default)]
pub(crate) struct BufferedRows {
    pub(crate) columns: Vec<ColumnDescription>,
    pub(crate) rows: Vec<Vec<value::SqlValue>>,
}

/// A result column's name and PostgreSQL type OID.
#[derive(Debug, Clone)]
pub(crate) struct ColumnDescription {
    pub(crate) name: String,
    pub(crate) type_oid: u32,
}

/// Receives the columns and then the rows of a statement while it is executed.
pub(crate) trait RowSink {
    /// Receives the result columns, before the first row.
    fn start_rows(&mut self, columns: &[ColumnDescription]) -> io::Result<()>;
    /// Receives the next row.
    fn push_row(
        &mut self,
        columns: &[ColumnDescription],
        row: Vec<value::SqlValue>,
    ) -> io::Result<()>;
}

impl RowSink for BufferedRows {
    fn start_rows(&mut self, columns: &[ColumnDescription]) -> io::Result<()> {
        self.columns = columns.to_vec();
        Ok(())
    }

    fn push_row(
        &mut self,
        _columns: &[ColumnDescription],
        row: Vec<value::SqlValue>,
    ) -> io::Result<()> {
        self.rows.push(row);
        Ok(())
    }
}

impl ClientSession<'_> {
    pub(super) fn transaction_state(&self) -> message::TransactionStatus {
        match &self.transaction {
            None => message::TransactionStatus::Idle,
            Some(transaction) if transaction.is_failed => message::TransactionStatus::Failed,
            Some(_) => message::TransactionStatus::Open,
        }
    }

    pub(super) fn is_transaction_failed(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|transaction| transaction.is_failed)
    }

    pub(super) fn is_in_transaction(&self) -> bool {
        self.transaction.is_some()
    }

    /// Opens a transaction; SQLite's transaction begins with the first statement.
    pub(super) fn open_transaction(&mut self, is_read_only: bool, is_implicit: bool) {
        let start_term = self.server.member.lock().own_term;
        self.transaction = Some(OpenTransaction {
            start_term,
            logged_statements: Vec::new(),
            has_sqlite_transaction: false,
            is_read_only,
            is_failed: false,
            is_implicit,
            variables_at_start: self.variables.clone(),
            count_guard: group::TransactionGuard::new(&self.server.member),
        });
    }

    /// Turns an implicit transaction into an explicit one, after `BEGIN`. The client must end it.
    pub(super) fn make_transaction_explicit(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.is_implicit = false;
        }
    }

    pub(super) fn is_transaction_implicit(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|transaction| transaction.is_implicit)
    }

    /// Marks an explicit transaction as failed, or rolls an implicit one back.
    pub(super) fn fail_transaction(&mut self) {
        if self.is_transaction_implicit() {
            self.roll_back();
        } else if let Some(transaction) = &mut self.transaction {
            transaction.is_failed = true;
        }
    }

    pub(super) fn roll_back(&mut self) {
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        self.variables = transaction.variables_at_start;
        if transaction.has_sqlite_transaction
            && let Err(error) = self.connection.execute_batch("ROLLBACK")
        {
            log::debug!("SQLite had no transaction to roll back: {error}");
        }
    }

    /// Commits the open transaction, if there is one. Returns false if it had failed and was rolled
    /// back instead.
    pub(super) fn commit(&mut self) -> Result<bool, SqlFailure> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(true);
        };
        if transaction.is_failed {
            self.transaction = Some(transaction);
            self.roll_back();
            return Ok(false);
        }
        if transaction.logged_statements.is_empty() {
            if transaction.has_sqlite_transaction {
                self.connection.execute_batch("COMMIT")?;
            }
            return Ok(true);
        }
        let member = &self.server.member;
        let outcome = engine::replicate_and_commit(
            &self.connection,
            member,
            transaction.start_term,
            transaction.logged_statements,
        )?;
        drop(transaction.count_guard);
        match outcome {
            engine::CommitOutcome::Committed(position) => {
                let parameter_name = "bluebellferry.position";
                message::put_parameter_status(&mut self.out, parameter_name, &position.to_string());
                Ok(true)
            }
            engine::CommitOutcome::NotPrimary => Err(not_primary_error()),
            engine::CommitOutcome::Unknown => Err(SqlFailure::new(
                "08007",
                "the primary was replaced before a majority confirmed the transaction",
            )),
        }
    }

    /// Executes one statement in the open transaction and passes its rows to `row_sink`.
    pub(super) fn run_statement(
        &mut self,
        sql: &str,
        parameters: &[value::SqlValue],
        row_sink: &mut dyn RowSink,
    ) -> Result<RowCounts, SqlFailure> {
        if let Some(call) = control::parse_control_call(sql) {
            return self.run_control_call(&call, row_sink);
        }
        self.begin_statement();
        let is_read_only = self.connection.prepare_cached(sql)?.readonly();
        if !is_read_only {
            self.check_writable()?;
        }
        self.begin_sqlite_transaction(is_read_only)?;
        let has_write_lock = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| !transaction.logged_statements.is_empty());
        // A transaction that has written holds SQLite's write lock. Its next statement must not
        // wait for a permit, as statements that wait for the lock may have taken all permits.
        let permit = (!has_write_lock).then(|| self.server.statement_limiter.acquire());
        self.sleep_min_statement_time();
        let counts = execute_statement(&self.connection, sql, parameters, row_sink)?;
        drop(permit);
        if !is_read_only {
            self.record_write(sql, parameters);
        }
        Ok(counts)
    }

    fn run_control_call(
        &self,
        call: &control::ControlCall,
        row_sink: &mut dyn RowSink,
    ) -> Result<RowCounts, SqlFailure> {
        let row = control::run_control_call(&self.server.member, call)
            .map_err(|reason| SqlFailure::new("55000", reason))?;
        let describe = |(name, value): &(&str, value::SqlValue)| ColumnDescription {
            name: (*name).to_owned(),
            type_oid: value::value_type_oid(value),
        };
        let columns: Vec<ColumnDescription> = row.iter().map(describe).collect();
        let values = row.into_iter().map(|(_, value)| value).collect();
        row_sink
            .start_rows(&columns)
            .and_then(|()| row_sink.push_row(&columns, values))
            .map_err(connection_error)?;
        Ok(RowCounts {
            returned_rows: 1,
            changed_rows: 0,
        })
    }

    fn check_writable(&self) -> Result<(), SqlFailure> {
        let default_read_only = self.variables.get("default_transaction_read_only");
        let is_read_only = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.is_read_only)
            || default_read_only.is_some_and(|value| value == "on");
        let accepts_writes = self.server.member.lock().accepts_writes();
        if is_read_only || !accepts_writes {
            let text = "cannot execute a writing statement in a read-only transaction";
            return Err(SqlFailure::new("25006", text));
        }
        Ok(())
    }

    fn begin_sqlite_transaction(&mut self, is_read_only: bool) -> Result<(), SqlFailure> {
        let Some(transaction) = &mut self.transaction else {
            return Ok(());
        };
        if transaction.has_sqlite_transaction {
            return Ok(());
        }
        let begin_sql = if is_read_only {
            "BEGIN"
        } else {
            "BEGIN IMMEDIATE"
        };
        self.connection.execute_batch(begin_sql)?;
        transaction.has_sqlite_transaction = true;
        Ok(())
    }

    fn record_write(&mut self, sql: &str, parameters: &[value::SqlValue]) {
        if let Some(transaction) = &mut self.transaction {
            transaction.logged_statements.push(group::LoggedStatement {
                sql: sql.to_owned(),
                parameters: parameters.to_vec(),
            });
        }
    }
}

/// The numbers of rows that a statement returned and that it changed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RowCounts {
    pub(crate) returned_rows: u64,
    pub(crate) changed_rows: u64,
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

/// Returns the result columns of a prepared statement. A column without a declared type, such as
/// an expression, gets the type of its value in `first_row`, or `text`.
pub(super) fn describe_columns(
    statement: &rusqlite::Statement<'_>,
    first_row: Option<&[value::SqlValue]>,
) -> Vec<ColumnDescription> {
    let describe = |(index, column): (usize, rusqlite::Column<'_>)| {
        let declared_type = column.decl_type().map(value::declared_type_oid);
        let value_type = first_row
            .and_then(|row| row.get(index))
            .map(value::value_type_oid);
        ColumnDescription {
            name: column.name().to_owned(),
            type_oid: declared_type.or(value_type).unwrap_or(value::TEXT),
        }
    };
    statement
        .columns()
        .into_iter()
        .enumerate()
        .map(describe)
        .collect()
}

fn execute_statement(
    connection: &rusqlite::Connection,
    sql: &str,
    parameters: &[value::SqlValue],
    row_sink: &mut dyn RowSink,
) -> Result<RowCounts, SqlFailure> {
    let mut statement = connection.prepare_cached(sql)?;
    engine::bind_parameters(&mut statement, parameters)?;
    let column_count = statement.column_count();
    let columns_without_rows = describe_columns(&statement, None);
    let mut known_columns: Option<Vec<ColumnDescription>> = None;
    let mut row_count = 0;
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        let mut values = Vec::with_capacity(column_count);
        for index in 0..column_count {
            values.push(value::SqlValue::from(row.get_ref(index)?));
        }
        let columns =
            known_columns.get_or_insert_with(|| describe_columns(row.as_ref(), Some(&values)));
        if row_count == 0 {
            row_sink.start_rows(columns).map_err(connection_error)?;
        }
        row_sink
            .push_row(columns, values)
            .map_err(connection_error)?;
        row_count += 1;
    }
    drop(rows);
    if row_count == 0 && column_count > 0 {
        row_sink
            .start_rows(&columns_without_rows)
            .map_err(connection_error)?;
    }
    Ok(RowCounts {
        returned_rows: row_count,
        changed_rows: connection.changes(),
    })
}

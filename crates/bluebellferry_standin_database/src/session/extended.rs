//! The extended query protocol: prepared statements and portals.

use std::collections::HashMap;
use std::io;

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bluebellferry_wire::statement;
use pgwire::messages::data;
use pgwire::messages::extendedquery;

use super::ClientSession;
use super::SqlFailure;
use super::simple;
use super::transaction;
use crate::control;
use crate::engine;
use crate::value;

/// A statement that the client has prepared with a Parse message.
#[derive(Debug, Clone)]
struct PreparedStatement {
    sql: String,
    parameter_types: Vec<u32>,
}

/// A portal: a prepared statement with bound parameters, and the rows that an Execute message with
/// a row limit did not return.
#[derive(Debug)]
struct BoundPortal {
    prepared_statement: PreparedStatement,
    parameters: Vec<value::SqlValue>,
    result_formats: Vec<i16>,
    remaining: Option<RemainingRows>,
}

/// The rows of an executed portal that have not been sent, and the statement's command tag.
#[derive(Debug)]
struct RemainingRows {
    columns: Vec<transaction::ColumnDescription>,
    rows: std::collections::VecDeque<Vec<value::SqlValue>>,
    command_tag: String,
}

/// The prepared statements and portals of a session.
#[derive(Debug, Default)]
pub(crate) struct ExtendedQueryState {
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, BoundPortal>,
    /// Set after an error; messages are then ignored until the next Sync.
    is_skipping_to_sync: bool,
}

impl ExtendedQueryState {
    /// Drops all prepared statements; portals keep theirs.
    pub(super) fn drop_statements(&mut self) {
        self.statements.clear();
    }
}

impl ClientSession<'_> {
    pub(super) fn handle_extended_request(&mut self, request: &frame::WireFrame) -> io::Result<()> {
        if request.tag == frame::SYNC {
            return self.sync();
        }
        if self.extended.is_skipping_to_sync {
            return Ok(());
        }
        let result = match request.tag {
            frame::PARSE => self.parse(request),
            frame::BIND => self.bind(request),
            frame::DESCRIBE => self.describe(request),
            frame::EXECUTE => self.execute(request),
            frame::CLOSE => self.close(request),
            frame::FLUSH => self.flush_output().map_err(transaction::connection_error),
            frame::COPY_DATA | frame::COPY_DONE | frame::COPY_FAIL => Ok(()),
            tag => {
                let text = format!("unknown message type {:?}", frame::printable_tag(tag));
                Err(SqlFailure::new("08P01", text))
            }
        };
        if let Err(failure) = result {
            self.put_error(&failure);
            self.fail_transaction();
            self.extended.is_skipping_to_sync = true;
        }
        self.flush_if_large()
    }

    fn sync(&mut self) -> io::Result<()> {
        self.extended.is_skipping_to_sync = false;
        self.commit_implicit_transaction();
        if !self.is_in_transaction() {
            self.extended.portals.clear();
        }
        self.put_ready_for_query();
        self.flush_output()
    }

    fn parse(&mut self, request: &frame::WireFrame) -> Result<(), SqlFailure> {
        let parse: extendedquery::Parse = decode(request)?;
        let sql = statement::skip_whitespace_and_comments(&parse.query)
            .trim_end_matches([';', ' ', '\n']);
        let text = statement::StatementText { text: sql };
        let mut type_oids = parse.type_oids;
        if simple::classify(text) == simple::StatementClass::Sql
            && control::parse_control_call(sql).is_none()
            && !sql.is_empty()
        {
            let prepared_statement = self.connection.prepare_cached(sql)?;
            let parameter_count = prepared_statement.parameter_count();
            type_oids.resize(parameter_count.max(type_oids.len()), 0);
        }
        for type_oid in &mut type_oids {
            if *type_oid == 0 {
                *type_oid = value::TEXT;
            }
        }
        let prepared_statement = PreparedStatement {
            sql: sql.to_owned(),
            parameter_types: type_oids,
        };
        self.extended
            .statements
            .insert(parse.name.unwrap_or_default(), prepared_statement);
        message::put_empty_frame(&mut self.out, frame::PARSE_COMPLETE);
        Ok(())
    }

    fn find_statement(&self, name: Option<&str>) -> Result<&PreparedStatement, SqlFailure> {
        let name = name.unwrap_or("");
        let unknown_statement_error = || {
            SqlFailure::new(
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            )
        };
        self.extended
            .statements
            .get(name)
            .ok_or_else(unknown_statement_error)
    }

    fn bind(&mut self, request: &frame::WireFrame) -> Result<(), SqlFailure> {
        let bind: extendedquery::Bind = decode(request)?;
        let prepared_statement = self.find_statement(bind.statement_name.as_deref())?.clone();
        let mut parameters = Vec::with_capacity(bind.parameters.len());
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let is_binary = match bind.parameter_format_codes.as_slice() {
                [] => false,
                [all] => *all == 1,
                each => each.get(index) == Some(&1),
            };
            let type_oid = prepared_statement
                .parameter_types
                .get(index)
                .copied()
                .unwrap_or(value::TEXT);
            let parameter = match bytes {
                None => value::SqlValue::Null,
                Some(bytes) => value::parse_parameter(bytes, is_binary, type_oid)
                    .map_err(|reason| SqlFailure::new("22P02", reason))?,
            };
            parameters.push(parameter);
        }
        let result_formats = bind.result_column_format_codes;
        let portal = BoundPortal {
            prepared_statement,
            parameters,
            result_formats,
            remaining: None,
        };
        self.extended
            .portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        message::put_empty_frame(&mut self.out, frame::BIND_COMPLETE);
        Ok(())
    }

    fn describe(&mut self, request: &frame::WireFrame) -> Result<(), SqlFailure> {
        let describe: extendedquery::Describe = decode(request)?;
        if describe.target_type == b'S' {
            let prepared_statement = self.find_statement(describe.name.as_deref())?.clone();
            let parameter_description =
                data::ParameterDescription::new(prepared_statement.parameter_types);
            message::put_message(&mut self.out, &parameter_description);
            return self.put_column_description(&prepared_statement.sql, &[], &[]);
        }
        let name = describe.name.unwrap_or_default();
        let (sql, parameters, result_formats) = match self.extended.portals.get(&name) {
            Some(portal) => {
                let sql = portal.prepared_statement.sql.clone();
                (
                    sql,
                    portal.parameters.clone(),
                    portal.result_formats.clone(),
                )
            }
            None => return Err(unknown_portal_error(&name)),
        };
        self.put_column_description(&sql, &parameters, &result_formats)
    }

    /// Writes RowDescription for the result columns of a statement, or NoData if it has none.
    /// Changes no data.
    fn put_column_description(
        &mut self,
        sql: &str,
        parameters: &[value::SqlValue],
        result_formats: &[i16],
    ) -> Result<(), SqlFailure> {
        let columns = self.result_columns(sql, parameters)?;
        if columns.is_empty() {
            message::put_empty_frame(&mut self.out, frame::NO_DATA);
        } else {
            simple::put_row_description(&mut self.out, &columns, result_formats);
        }
        Ok(())
    }

    /// Returns the result columns of a statement; empty if it returns no rows.
    fn result_columns(
        &self,
        sql: &str,
        parameters: &[value::SqlValue],
    ) -> Result<Vec<transaction::ColumnDescription>, SqlFailure> {
        if let Some(call) = control::parse_control_call(sql) {
            return Ok(control_call_columns(&call));
        }
        let text = statement::StatementText { text: sql };
        if sql.is_empty() || simple::classify(text) != simple::StatementClass::Sql {
            return Ok(Vec::new());
        }
        let mut prepared_statement = self.connection.prepare_cached(sql)?;
        let has_undeclared_column = prepared_statement
            .columns()
            .iter()
            .any(|column| column.decl_type().is_none());
        let calls_pg_sleep = sql.to_ascii_lowercase().contains("pg_sleep");
        if !has_undeclared_column || !prepared_statement.readonly() || calls_pg_sleep {
            return Ok(transaction::describe_columns(&prepared_statement, None));
        }
        // SQLite has types for values but not for expressions, so the statement is executed up to
        // its first row, whose values determine the column types.
        engine::bind_parameters(&mut prepared_statement, parameters)?;
        let column_count = prepared_statement.column_count();
        let mut first_row = None;
        let mut rows = prepared_statement.raw_query();
        if let Some(row) = rows.next()? {
            let mut values = Vec::with_capacity(column_count);
            for index in 0..column_count {
                values.push(value::SqlValue::from(row.get_ref(index)?));
            }
            first_row = Some(values);
        }
        drop(rows);
        Ok(transaction::describe_columns(
            &prepared_statement,
            first_row.as_deref(),
        ))
    }

    fn execute(&mut self, request: &frame::WireFrame) -> Result<(), SqlFailure> {
        let execute: extendedquery::Execute = decode(request)?;
        let name = execute.name.unwrap_or_default();
        let portal = self
            .extended
            .portals
            .get(&name)
            .ok_or_else(|| unknown_portal_error(&name))?;
        if portal.remaining.is_some() {
            self.put_remaining_rows(&name, execute.max_rows);
            return Ok(());
        }
        let (sql, parameters) = (
            portal.prepared_statement.sql.clone(),
            portal.parameters.clone(),
        );
        let result_formats = portal.result_formats.clone();
        if sql.is_empty() {
            message::put_empty_frame(&mut self.out, frame::EMPTY_QUERY);
            return Ok(());
        }
        let text = statement::StatementText { text: &sql };
        let class = simple::classify(text);
        if self.run_session_statement(text, class)? {
            return Ok(());
        }
        if !self.is_in_transaction() {
            self.open_transaction(false, true);
        }
        match class {
            simple::StatementClass::CopyIn => return self.copy_in(&sql),
            simple::StatementClass::CopyOut => return self.copy_out(&sql),
            _ => {}
        }
        if execute.max_rows > 0 {
            return self.execute_with_row_limit(&name, &sql, &parameters, execute.max_rows);
        }
        let mut stream = self
            .stream
            .try_clone()
            .map_err(transaction::connection_error)?;
        let mut out = std::mem::take(&mut self.out);
        let mut row_sink = simple::ClientRowSink {
            stream: &mut stream,
            out: &mut out,
            has_row_description: false,
            result_formats: &result_formats,
        };
        let result = self.run_statement(&sql, &parameters, &mut row_sink);
        self.out = out;
        let command_tag = simple::command_tag(text, result?);
        message::put_command_complete(&mut self.out, &command_tag);
        Ok(())
    }

    /// Executes a portal for an Execute message with a row limit. Keeps the rows above the limit in
    /// the portal for the next Execute.
    fn execute_with_row_limit(
        &mut self,
        name: &str,
        sql: &str,
        parameters: &[value::SqlValue],
        max_rows: i32,
    ) -> Result<(), SqlFailure> {
        let mut buffered_rows = transaction::BufferedRows::default();
        let counts = self.run_statement(sql, parameters, &mut buffered_rows)?;
        let command_tag = simple::command_tag(statement::StatementText { text: sql }, counts);
        if let Some(portal) = self.extended.portals.get_mut(name) {
            let rows = buffered_rows.rows.into();
            portal.remaining = Some(RemainingRows {
                columns: buffered_rows.columns,
                rows,
                command_tag,
            });
        }
        self.put_remaining_rows(name, max_rows);
        Ok(())
    }

    /// Writes up to `max_rows` of the portal's remaining rows, or all if `max_rows` is 0, and then
    /// CommandComplete or PortalSuspended.
    fn put_remaining_rows(&mut self, name: &str, max_rows: i32) {
        let Some(portal) = self.extended.portals.get_mut(name) else {
            return;
        };
        let Some(remaining) = &mut portal.remaining else {
            return;
        };
        let mut sent_rows = 0;
        while max_rows <= 0 || sent_rows < max_rows {
            let Some(row) = remaining.rows.pop_front() else {
                break;
            };
            simple::put_row(
                &mut self.out,
                &remaining.columns,
                &row,
                &portal.result_formats,
            );
            sent_rows += 1;
        }
        if remaining.rows.is_empty() && (max_rows <= 0 || sent_rows < max_rows) {
            message::put_command_complete(&mut self.out, &remaining.command_tag);
        } else {
            message::put_empty_frame(&mut self.out, frame::PORTAL_SUSPENDED);
        }
    }

    fn close(&mut self, request: &frame::WireFrame) -> Result<(), SqlFailure> {
        let close: extendedquery::Close = decode(request)?;
        let name = close.name.unwrap_or_default();
        if close.target_type == b'S' {
            self.extended.statements.remove(&name);
        } else {
            self.extended.portals.remove(&name);
        }
        message::put_empty_frame(&mut self.out, frame::CLOSE_COMPLETE);
        Ok(())
    }
}

fn unknown_portal_error(name: &str) -> SqlFailure {
    SqlFailure::new("34000", format!("portal \"{name}\" does not exist"))
}

fn decode<M: pgwire::messages::Message>(request: &frame::WireFrame) -> Result<M, SqlFailure> {
    message::decode_message(request).map_err(|error| SqlFailure::new("08P01", error.to_string()))
}

/// Returns the result columns of a control call without executing it.
fn control_call_columns(call: &control::ControlCall) -> Vec<transaction::ColumnDescription> {
    let column = |name: &str, type_oid: u32| transaction::ColumnDescription {
        name: name.to_owned(),
        type_oid,
    };
    match call {
        control::ControlCall::ConfirmedPosition => vec![column("confirmed_position", value::TEXT)],
        control::ControlCall::Set(..) => vec![column("set", value::INT8)],
        _ => vec![
            column("role", value::TEXT),
            column("promised_term", value::INT8),
            column("own_term", value::INT8),
            column("log_position", value::TEXT),
            column("committed_position", value::TEXT),
            column("replayed_position", value::TEXT),
            column("accepts_writes", value::INT8),
            column("majority_age_ms", value::INT8),
            column("primary_contact_ms", value::INT8),
            column("open_transactions", value::INT8),
            column("leaving", value::INT8),
        ],
    }
}

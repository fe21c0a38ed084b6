//! `COPY ... FROM STDIN` and `COPY ... TO STDOUT`, in text format only.

use std::io;

use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use bytes::BytesMut;
use pgwire::messages::copy;

use super::ClientSession;
use super::SqlFailure;
use super::transaction;
use crate::value;

/// The representation of NULL in the text format.
const NULL_MARKER: &str = "\\N";

/// Returns the statement's text between `COPY` and the direction: a table with an optional column
/// list, or a query in parentheses.
fn copy_target(text: &str) -> Result<&str, SqlFailure> {
    let upper = text.to_ascii_uppercase();
    let end = upper
        .find(" FROM STDIN")
        .or_else(|| upper.find(" TO STDOUT"));
    let end = end.ok_or_else(|| SqlFailure::new("0A000", "only STDIN and STDOUT are known"))?;
    let target = text.get(4..end).unwrap_or("").trim();
    if target.is_empty() {
        return Err(SqlFailure::new("42601", "COPY needs a table or a query"));
    }
    Ok(target)
}

fn escape_text(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('\t', "\\t");
    escaped.replace('\n', "\\n").replace('\r', "\\r")
}

fn parse_field(field: &str) -> value::SqlValue {
    if field == NULL_MARKER {
        return value::SqlValue::Null;
    }
    let mut text = String::with_capacity(field.len());
    let mut characters = field.chars();
    while let Some(character) = characters.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        match characters.next() {
            Some('t') => text.push('\t'),
            Some('n') => text.push('\n'),
            Some('r') => text.push('\r'),
            Some(other) => text.push(other),
            None => text.push('\\'),
        }
    }
    value::SqlValue::Text(text)
}

/// Sends each row to the client as one CopyData message.
struct CopyRowSink<'s> {
    stream: &'s mut std::net::TcpStream,
    out: &'s mut BytesMut,
}

impl transaction::RowSink for CopyRowSink<'_> {
    fn start_rows(&mut self, columns: &[transaction::ColumnDescription]) -> io::Result<()> {
        let formats = vec![0; columns.len()];
        let response = copy::CopyOutResponse::new(0, columns.len() as i16, formats);
        message::put_message(self.out, &response);
        Ok(())
    }

    fn push_row(
        &mut self,
        columns: &[transaction::ColumnDescription],
        row: Vec<value::SqlValue>,
    ) -> io::Result<()> {
        let render = |(value, column): (&value::SqlValue, &transaction::ColumnDescription)| {
            let text = value::render_text(value, column.type_oid);
            text.map_or_else(|| NULL_MARKER.to_owned(), |text| escape_text(&text))
        };
        let fields: Vec<String> = row.iter().zip(columns).map(render).collect();
        let line = format!("{}\n", fields.join("\t"));
        message::put_message(self.out, &copy::CopyData::new(line.into_bytes().into()));
        if self.out.len() >= super::SEND_BUFFER_BYTES {
            io::Write::write_all(self.stream, self.out)?;
            self.out.clear();
        }
        Ok(())
    }
}

impl ClientSession<'_> {
    pub(super) fn copy_out(&mut self, text: &str) -> Result<(), SqlFailure> {
        let target = copy_target(text)?;
        let query = match target
            .strip_prefix('(')
            .and_then(|rest| rest.strip_suffix(')'))
        {
            Some(query) => query.to_owned(),
            None => format!("SELECT * FROM {target}"),
        };
        let mut stream = self
            .stream
            .try_clone()
            .map_err(transaction::connection_error)?;
        let mut out = std::mem::take(&mut self.out);
        let mut row_sink = CopyRowSink {
            stream: &mut stream,
            out: &mut out,
        };
        let result = self.run_statement(&query, &[], &mut row_sink);
        self.out = out;
        let counts = result?;
        message::put_empty_frame(&mut self.out, frame::COPY_DONE);
        message::put_command_complete(&mut self.out, &format!("COPY {}", counts.returned_rows));
        Ok(())
    }

    pub(super) fn copy_in(&mut self, text: &str) -> Result<(), SqlFailure> {
        let target = copy_target(text)?.to_owned();
        let response = copy::CopyInResponse::new(0, 0, Vec::new());
        message::put_message(&mut self.out, &response);
        self.flush_output().map_err(transaction::connection_error)?;
        let data = self.receive_copy_data()?;
        let text =
            String::from_utf8(data).map_err(|error| SqlFailure::new("22021", error.to_string()))?;
        let mut row_count = 0;
        for line in text.lines().filter(|line| *line != "\\.") {
            let fields: Vec<value::SqlValue> = line.split('\t').map(parse_field).collect();
            let placeholders: Vec<String> = (1..=fields.len()).map(|n| format!("${n}")).collect();
            let sql = format!("INSERT INTO {target} VALUES ({})", placeholders.join(","));
            let mut discarded_rows = transaction::BufferedRows::default();
            self.run_statement(&sql, &fields, &mut discarded_rows)?;
            row_count += 1;
        }
        if self.is_transaction_implicit() {
            self.commit()?;
        }
        message::put_command_complete(&mut self.out, &format!("COPY {row_count}"));
        Ok(())
    }

    fn receive_copy_data(&mut self) -> Result<Vec<u8>, SqlFailure> {
        let mut data = Vec::new();
        loop {
            let request = self
                .receive_request()
                .map_err(transaction::connection_error)?;
            let Some(request) = request else {
                return Err(SqlFailure::new("08006", "the client left during COPY"));
            };
            match request.tag {
                frame::COPY_DATA => data.extend_from_slice(request.body()),
                frame::COPY_DONE => return Ok(data),
                frame::COPY_FAIL => {
                    return Err(SqlFailure::new("57014", "COPY was cancelled by the client"));
                }
                frame::FLUSH | frame::SYNC => {}
                _ => return Err(SqlFailure::new("08P01", "unexpected message during COPY")),
            }
        }
    }
}

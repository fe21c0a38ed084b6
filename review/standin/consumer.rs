//! Consumers: sessions that speak the wire protocol.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// An answer to a statement.
#[derive(Debug, Clone)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The COMPLETE or ERROR line.
    pub outcome: String,
    /// The state letter of the READY line.
    pub state: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.outcome.starts_with("COMPLETE")
    }
}

pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Session {
    /// Opens a session; the error says why there is none.
    pub fn open(address: SocketAddr, host: &str, key: &str) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let stream =
            TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let timeout = Some(Duration::from_secs(2));
        stream.set_read_timeout(timeout).map_err(failed)?;
        let writer = stream.try_clone().map_err(failed)?;
        let mut session = Self {
            reader: BufReader::new(stream),
            writer,
        };
        session.send(&format!("STARTUP {host} {key}\r\n"))?;
        let line = session.line()?;
        if line.starts_with("READY") {
            Ok(session)
        } else {
            Err(line)
        }
    }

    /// Runs a statement; the error says why there is no answer.
    pub fn run(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {id} {text}\r\n"))?;
        let mut answer = Answer {
            rows: Vec::new(),
            outcome: String::new(),
            state: String::new(),
        };
        loop {
            let line = self.line()?;
            if let Some(row) = line.strip_prefix("DATAROW ") {
                answer.rows.push(row.to_owned());
            } else if let Some(rest) = line.strip_prefix("READY ") {
                let state = rest.split(' ').next();
                answer.state = state.unwrap_or_default().to_owned();
                return Ok(answer);
            } else {
                answer.outcome = line;
            }
        }
    }

    fn send(&mut self, text: &str) -> Result<(), String> {
        let sent = self.writer.write_all(text.as_bytes());
        sent.map_err(|error| error.to_string())
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("the connection was closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }
}

//! A consumer's session.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Session {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    next_id: u64,
    prefix: String,
}

/// The answer to one statement.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    /// The lines of the answer before READY, or what happened instead.
    pub lines: Vec<String>,
    pub ready: String,
}

impl Answer {
    pub fn is_success(&self) -> bool {
        self.lines
            .last()
            .is_some_and(|line| line.starts_with("COMPLETE"))
    }
}

impl Session {
    pub fn open(front: SocketAddr, host: &str, key: &str, prefix: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        writer.write_all(format!("STARTUP {host} {key}\r\n").as_bytes())?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if !line.starts_with("READY") {
            return Err(std::io::Error::other(format!(
                "not opened: {}",
                line.trim()
            )));
        }
        Ok(Self {
            writer,
            reader,
            next_id: 0,
            prefix: prefix.to_owned(),
        })
    }

    /// Sends a statement and returns its id.
    pub fn send(&mut self, text: &str) -> std::io::Result<String> {
        self.next_id += 1;
        let id = format!("{}{:04x}", self.prefix, self.next_id);
        let mut message = Vec::with_capacity(text.len() + 64);
        message.extend_from_slice(format!("QUERY {id} ").as_bytes());
        message.extend_from_slice(text.as_bytes());
        message.extend_from_slice(b"\r\n");
        self.writer.write_all(&message)?;
        Ok(id)
    }

    pub fn receive(&mut self, id: &str) -> std::io::Result<Answer> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(std::io::Error::other(
                    "the connection ended without a complete answer",
                ));
            }
            let line = line.trim_end().to_owned();
            if line.starts_with("READY") {
                return Ok(Answer {
                    id: id.to_owned(),
                    lines,
                    ready: line,
                });
            }
            lines.push(line);
        }
    }

    pub fn query(&mut self, text: &str) -> std::io::Result<Answer> {
        let id = self.send(text)?;
        self.receive(&id)
    }
}

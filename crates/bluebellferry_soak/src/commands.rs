//! The processes of the stand-ins, and the commands that the runner sends to them.
//!
//! A command and its answer are a line of JSON each.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_standin_platform::contents;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::store;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::SoakError;
use crate::fault;
use crate::layout;

/// The timeout of a stand-in for the runner's connection, and of the runner for
/// connecting and for an answer.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(20);
/// The service whose group the databases form.
pub const SERVICE: &str = "rental";
/// The maximum number of connections to a database.
const MAX_CONNECTIONS: u32 = 20;
/// The replication lag while no fault changes it.
pub const DEFAULT_LAG: Duration = Duration::from_millis(20);

/// A command to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StoreCommand {
    /// Writes an object with this kind, name and value.
    Put(String, String, Value),
    /// Removes the object with this kind and name.
    Remove(String, String),
    /// Starts or stops refusing all calls.
    Down(bool),
    /// Delays every call by this number of milliseconds before it is executed.
    Delay(u64),
    /// Starts or stops executing writes without answering them.
    LoseAnswers(bool),
    /// Starts or stops executing writes late and without answering them.
    WriteLate(bool),
    /// Discards the history.
    Forget,
    /// Rejects exactly these readers.
    TurnAway(BTreeSet<usize>),
}

/// A command to the databases. Members of the group are identified by their indices.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GroupCommand {
    /// Makes a member unresponsive or responsive again.
    Silence(usize, bool),
    /// Sets a member's replication lag in milliseconds.
    Lag(usize, u64),
    /// Stops or resumes replication to a member.
    Deafen(usize, bool),
    /// Crashes a member.
    Crash(usize),
    /// Restarts a member with its log, under another identity if one is given.
    Start(usize, Option<String>),
    /// Executes the next statement without answering it.
    DropAnswer,
    /// Starts or stops refusing setup steps.
    RefuseSetup(fault::SetupRefusal, bool),
    /// Answers with the state of each member, as an operator sees it.
    Reports,
    /// Answers with the history since the last such command.
    TakeHistory,
}

/// Runs the store until the runner closes its connection.
///
/// # Errors
/// Fails when an address is in use, or the connection or a command fails.
pub async fn run_store_standin(layout: layout::SiteLayout) -> Result<(), SoakError> {
    let store = Arc::new(store::StandinStore::default());
    for slot in 0..layout.slots {
        let view =
            move |kind: &str, name: &str, value| object_for_vm(layout, slot, kind, name, value);
        let listening = Arc::clone(&store).serve_reader(
            layout.store_address(slot),
            usize::from(slot),
            Box::new(view),
        );
        listening.await?;
    }
    serve_commands(layout.store_commands(), |command| {
        match command {
            StoreCommand::Put(kind, name, value) => store.put(&kind, &name, value),
            StoreCommand::Remove(kind, name) => store.remove(&kind, &name),
            StoreCommand::Down(is_down) => store.set_unavailable(is_down),
            StoreCommand::Delay(ms) => store.set_delay(Duration::from_millis(ms)),
            StoreCommand::LoseAnswers(loses) => store.set_loses_answers(loses),
            StoreCommand::WriteLate(is_late) => store.set_writes_late(is_late),
            StoreCommand::Forget => store.discard_history(),
            StoreCommand::TurnAway(readers) => store.reject_readers(readers),
        }
        json!({"calls": store.call_count()})
    })
    .await
}

/// Returns an object as the VM in `slot` reads it: the addresses of other VMs and of
/// databases are replaced by those of the VM's relays.
fn object_for_vm(
    layout: layout::SiteLayout,
    slot: u8,
    kind: &str,
    name: &str,
    mut value: Value,
) -> Value {
    if kind == contents::REGISTRATION_KIND {
        let database = value["Addr"]
            .as_str()
            .and_then(|text| layout.database_of(text));
        if let Some(database) = database {
            value["Addr"] = json!(layout.database_relay(slot, database).to_string());
        }
    } else if let Some(peer) = slot_from_name(name).filter(|_| value["address"].is_string())
        && peer != slot
    {
        value["address"] = json!(layout.peer_relay(slot, peer).to_string());
    }
    value
}

/// Returns the name of the VM in a slot.
pub fn vm_name(slot: u8) -> String {
    format!("vm-{slot}")
}

pub(crate) fn slot_from_name(name: &str) -> Option<u8> {
    name.strip_prefix("vm-")?.parse().ok()
}

/// Returns the initial identity of a database.
pub fn database_name(database: u8) -> String {
    format!("i-{database}")
}

/// Runs the databases and the promotion API until the runner closes its connection.
///
/// # Errors
/// Fails when an address is in use, or the connection or a command fails.
pub async fn run_databases_standin(layout: layout::SiteLayout) -> Result<(), SoakError> {
    let names: Vec<String> = (0..layout.databases).map(database_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let group = database::StandinGroup::new(SERVICE, &names, DEFAULT_LAG, MAX_CONNECTIONS);
    for database in 0..layout.databases {
        let address = layout.database_address(database);
        let listening = Arc::clone(&group).serve(usize::from(database), address);
        listening.await?;
    }
    Arc::clone(&group)
        .serve_promotion_api(layout.promotion_api())
        .await?;
    serve_commands(layout.group_commands(), |command| {
        match command {
            GroupCommand::Silence(member, is_on) => group.set_unresponsive(member, is_on),
            GroupCommand::Lag(member, ms) => group.set_lag(member, Duration::from_millis(ms)),
            GroupCommand::Deafen(member, is_on) => group.set_replication_blocked(member, is_on),
            GroupCommand::Crash(member) => group.crash(member),
            GroupCommand::Start(member, id) => group.restart_with_log(member, id.as_deref()),
            GroupCommand::DropAnswer => group.drop_next_answer(),
            GroupCommand::RefuseSetup(refusal, is_on) => {
                group.refuse_next_setup(database::SetupRefusal {
                    verb: refusal.verb.word(),
                    code: refusal.error.code(),
                    takes_effect: refusal.takes_effect,
                    fails_transaction: refusal.fails_transaction,
                    count: if is_on { u32::MAX } else { 0 },
                });
            }
            GroupCommand::Reports => return json!(group.reports()),
            GroupCommand::TakeHistory => return json!(group.take_history()),
        }
        Value::Null
    })
    .await
}

/// Accepts a single connection, and executes and answers its commands until it is
/// closed.
async fn serve_commands<T, F>(address: SocketAddr, mut execute: F) -> Result<(), SoakError>
where
    T: DeserializeOwned,
    F: FnMut(T) -> Value,
{
    let listener = TcpListener::bind(address).await?;
    let (stream, _) = with_timeout(listener.accept()).await?;
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).await? > 0 {
        let mut answer = execute(serde_json::from_str(&line)?).to_string();
        answer.push('\n');
        stream.get_mut().write_all(answer.as_bytes()).await?;
        line.clear();
    }
    Ok(())
}

async fn with_timeout<T>(future: impl Future<Output = std::io::Result<T>>) -> std::io::Result<T> {
    tokio::time::timeout(COMMAND_TIMEOUT, future).await?
}

/// A connection from the runner to a stand-in's process.
#[derive(Debug)]
pub struct CommandConnection {
    stream: BufReader<TcpStream>,
}

impl CommandConnection {
    /// Connects to a process, and retries while the process starts.
    ///
    /// # Errors
    /// Fails when the process does not listen within the timeout.
    pub async fn connect(address: SocketAddr) -> Result<Self, SoakError> {
        let started = tokio::time::Instant::now();
        loop {
            match TcpStream::connect(address).await {
                Ok(stream) => {
                    stream.set_nodelay(true)?;
                    let stream = BufReader::new(stream);
                    return Ok(Self { stream });
                }
                Err(error) if started.elapsed() > COMMAND_TIMEOUT => return Err(error.into()),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// Sends a command and returns its answer.
    ///
    /// # Errors
    /// Fails when the process has exited or does not answer within the timeout.
    pub async fn send(&mut self, command: &impl Serialize) -> Result<Value, SoakError> {
        let mut line = serde_json::to_string(command)?;
        line.push('\n');
        self.stream.get_mut().write_all(line.as_bytes()).await?;
        line.clear();
        let reading = with_timeout(self.stream.read_line(&mut line));
        if reading.await? == 0 {
            return Err(SoakError::StandinEnded);
        }
        Ok(serde_json::from_str(&line)?)
    }
}

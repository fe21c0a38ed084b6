//! The settings of one database.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bluebellferry_runtime::settings;
use serde::Deserialize;

/// The settings as they are written in JSON.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabaseSettingsWire {
    name: String,
    listen: String,
    replication_listen: String,
    peers: Vec<PeerWire>,
    #[serde(default)]
    primary: bool,
    account: String,
    password: String,
    #[serde(default = "default_connections")]
    connections: usize,
    #[serde(default = "default_slots")]
    slots: usize,
    #[serde(default)]
    connect_ms: u64,
    #[serde(default)]
    statement_us: u64,
    #[serde(default)]
    replication_delay_us: u64,
    #[serde(default)]
    lag_ms: u64,
    #[serde(default = "default_idle_ms")]
    idle_transaction_ms: u64,
    #[serde(default)]
    received_log: Option<PathBuf>,
    #[serde(default)]
    health_listen: Option<String>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct PeerWire {
    name: String,
    replication: String,
}

const fn default_connections() -> usize {
    20
}

const fn default_slots() -> usize {
    3
}

const fn default_idle_ms() -> u64 {
    5_000
}

/// Another database of the same group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The peer's name.
    pub name: String,
    /// Where the peer takes log entries.
    pub replication: SocketAddr,
}

/// The checked settings.
#[derive(Debug, Clone)]
pub struct DatabaseSettings {
    /// The database's name, unique in its group.
    pub name: String,
    /// Where SQL clients connect.
    pub listen: SocketAddr,
    /// Where the group's primary sends log entries.
    pub replication_listen: SocketAddr,
    /// The other databases of the group.
    pub peers: Vec<PeerAddress>,
    /// Whether the database starts as primary of term 1.
    pub primary: bool,
    /// The account that clients must use.
    pub account: String,
    /// The account's password.
    pub password: String,
    /// How many clients may be connected; status connections come on top.
    pub connections: usize,
    /// How many statements run at a time.
    pub slots: usize,
    /// How long a new connection takes.
    pub connect_delay: Duration,
    /// How long each statement holds its slot at least.
    pub min_statement_time: Duration,
    /// How long a message to a peer takes each way.
    pub replication_delay: Duration,
    /// How far replay stays behind the log.
    pub lag: Duration,
    /// How long a transaction may stay idle before its session is ended.
    pub idle_transaction_timeout: Duration,
    /// A file that receives every byte that clients send.
    pub received_log: Option<PathBuf>,
    /// Where `/metrics` and `/ready` are served.
    pub health_listen: Option<SocketAddr>,
}

impl TryFrom<DatabaseSettingsWire> for DatabaseSettings {
    type Error = settings::FieldError;

    fn try_from(wire: DatabaseSettingsWire) -> Result<Self, settings::FieldError> {
        if wire.name.is_empty() {
            return Err(settings::FieldError::new("name", "must not be empty"));
        }
        if wire.slots == 0 {
            return Err(settings::FieldError::new("slots", "must be at least 1"));
        }
        let mut peers = Vec::new();
        for (index, peer) in wire.peers.into_iter().enumerate() {
            let path = format!("peers[{index}].replication");
            let replication = settings::parse_address(&path, &peer.replication)?;
            peers.push(PeerAddress {
                name: peer.name,
                replication,
            });
        }
        let health_listen = wire.health_listen.as_deref();
        let health_listen = health_listen
            .map(|text| settings::parse_address("health_listen", text))
            .transpose()?;
        Ok(Self {
            name: wire.name,
            listen: settings::parse_address("listen", &wire.listen)?,
            replication_listen: settings::parse_address(
                "replication_listen",
                &wire.replication_listen,
            )?,
            peers,
            primary: wire.primary,
            account: wire.account,
            password: wire.password,
            connections: wire.connections,
            slots: wire.slots,
            connect_delay: Duration::from_millis(wire.connect_ms),
            min_statement_time: Duration::from_micros(wire.statement_us),
            replication_delay: Duration::from_micros(wire.replication_delay_us),
            lag: Duration::from_millis(wire.lag_ms),
            idle_transaction_timeout: Duration::from_millis(wire.idle_transaction_ms),
            received_log: wire.received_log,
            health_listen,
        })
    }
}

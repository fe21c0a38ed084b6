//! The settings of the stand-in database.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bluebellferry_runtime::settings;
use serde::Deserialize;

/// The settings as written in the JSON file, not yet validated.
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
    /// The peer's name, unique in the group.
    pub name: String,
    /// The address on which the peer receives log entries.
    pub replication_address: SocketAddr,
}

/// The validated settings of the database.
#[derive(Debug, Clone)]
pub struct DatabaseSettings {
    /// The database's name, unique in its group.
    pub name: String,
    /// The address on which the database accepts SQL clients.
    pub listen: SocketAddr,
    /// The address on which the database accepts replication connections from the primary.
    pub replication_listen: SocketAddr,
    /// The other databases of the group.
    pub peers: Vec<PeerAddress>,
    /// Whether the database starts as primary of term 1.
    pub is_initial_primary: bool,
    /// The user name that clients must give.
    pub account: String,
    /// The password that clients must give.
    pub password: String,
    /// The maximum number of connected clients; connections with the application name
    /// `bluebellferry-control` are not counted.
    pub max_connections: usize,
    /// The maximum number of statements that run at the same time.
    pub max_running_statements: usize,
    /// How long the database delays the authentication of a new connection.
    pub connect_delay: Duration,
    /// How long each statement sleeps before it is executed, as one of the running statements.
    pub min_statement_time: Duration,
    /// The delay of a replication message between two databases, in each direction.
    pub replication_delay: Duration,
    /// How long a replica waits before it replays an entry, counted from the entry's arrival.
    pub replay_lag: Duration,
    /// How long a session may be idle in a transaction before it is terminated.
    pub idle_transaction_timeout: Duration,
    /// The file to which all bytes received from clients are written, if set.
    pub received_log: Option<PathBuf>,
    /// The address on which `/metrics` and `/ready` are served, if set.
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
            let replication_address = settings::parse_address(&path, &peer.replication)?;
            peers.push(PeerAddress {
                name: peer.name,
                replication_address,
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
            is_initial_primary: wire.primary,
            account: wire.account,
            password: wire.password,
            max_connections: wire.connections,
            max_running_statements: wire.slots,
            connect_delay: Duration::from_millis(wire.connect_ms),
            min_statement_time: Duration::from_micros(wire.statement_us),
            replication_delay: Duration::from_micros(wire.replication_delay_us),
            replay_lag: Duration::from_millis(wire.lag_ms),
            idle_transaction_timeout: Duration::from_millis(wire.idle_transaction_ms),
            received_log: wire.received_log,
            health_listen,
        })
    }
}

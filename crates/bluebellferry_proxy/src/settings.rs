//! The settings file of a proxy process.

use std::net::SocketAddr;
use std::path::PathBuf;

use bluebellferry_limits::share;
use bluebellferry_runtime::settings;
use bluebellferry_types::name;
use serde::Deserialize;

/// The JSON settings file before its values are checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettingsWire {
    vm: String,
    environment: String,
    data_centre: String,
    ordinal: u32,
    listen: String,
    admin_listen: String,
    peer_listen: String,
    store: String,
    database_account: AccountWire,
    peer_secret: String,
    #[serde(default)]
    operators: Vec<OperatorWire>,
    #[serde(default = "default_traffic_threads")]
    traffic_threads: usize,
    #[serde(default = "default_max_callers")]
    max_callers: usize,
    #[serde(default)]
    tls: Option<TlsWire>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct AccountWire {
    user: String,
    password: String,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorWire {
    name: String,
    token: String,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct TlsWire {
    certificate: PathBuf,
    private_key: PathBuf,
}

const fn default_traffic_threads() -> usize {
    4
}

const fn default_max_callers() -> usize {
    10_000
}

/// The account with which the proxy logs in to the databases.
#[derive(Clone)]
pub struct DatabaseAccount {
    /// The PostgreSQL user name.
    pub user: String,
    /// The user's password, left out of the `Debug` output.
    pub password: String,
}

impl std::fmt::Debug for DatabaseAccount {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "DatabaseAccount({})", self.user)
    }
}

/// An operator who may call the administration API.
#[derive(Clone)]
pub struct OperatorAccount {
    /// The operator's name in the audit trail.
    pub name: String,
    /// The operator's bearer token, left out of the `Debug` output.
    pub token: String,
}

impl std::fmt::Debug for OperatorAccount {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "OperatorAccount({})", self.name)
    }
}

/// The files for TLS on callers' connections.
#[derive(Debug, Clone)]
pub struct TlsFiles {
    /// The path of the certificate chain, in PEM format.
    pub certificate: PathBuf,
    /// The path of the private key, in PEM format.
    pub private_key: PathBuf,
}

/// The checked settings of a proxy process.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// The VM's name.
    pub vm: String,
    /// The environment that the VM belongs to.
    pub environment: name::EnvironmentName,
    /// The VM's data centre and its ordinal there.
    pub place: share::VmPlace,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of metrics, readiness and the administration API.
    pub admin_listen: SocketAddr,
    /// The address for messages from other VMs, over UDP and TCP.
    pub peer_listen: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The account with which the proxy logs in to the databases.
    pub database_account: DatabaseAccount,
    /// The shared secret that authenticates messages between VMs.
    pub peer_secret: String,
    /// The operators who may call the administration API.
    pub operators: Vec<OperatorAccount>,
    /// The number of traffic threads.
    pub traffic_threads: usize,
    /// The maximum number of callers connected at a time.
    pub max_callers: usize,
    /// The files for TLS on callers' connections, or `None` without TLS.
    pub tls: Option<TlsFiles>,
}

/// The minimum length of the peer secret and of operators' tokens, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl TryFrom<ProxySettingsWire> for ProxySettings {
    type Error = settings::FieldError;

    fn try_from(wire: ProxySettingsWire) -> Result<Self, settings::FieldError> {
        let environment = name::EnvironmentName::try_from(wire.environment)
            .map_err(|error| settings::FieldError::new("environment", error))?;
        let data_centre = name::DataCentreName::try_from(wire.data_centre)
            .map_err(|error| settings::FieldError::new("data_centre", error))?;
        if wire.peer_secret.len() < MIN_SECRET_BYTES {
            let message = format!("must have at least {MIN_SECRET_BYTES} bytes");
            return Err(settings::FieldError::new("peer_secret", message));
        }
        if wire.traffic_threads == 0 {
            return Err(settings::FieldError::new(
                "traffic_threads",
                "must be at least 1",
            ));
        }
        let mut operators = Vec::new();
        for (index, operator) in wire.operators.into_iter().enumerate() {
            if operator.token.len() < MIN_SECRET_BYTES {
                let path = format!("operators[{index}].token");
                let message = format!("must have at least {MIN_SECRET_BYTES} bytes");
                return Err(settings::FieldError::new(path, message));
            }
            operators.push(OperatorAccount {
                name: operator.name,
                token: operator.token,
            });
        }
        Ok(Self {
            vm: wire.vm,
            environment,
            place: share::VmPlace {
                data_centre,
                ordinal: wire.ordinal,
            },
            listen: settings::parse_address("listen", &wire.listen)?,
            admin_listen: settings::parse_address("admin_listen", &wire.admin_listen)?,
            peer_listen: settings::parse_address("peer_listen", &wire.peer_listen)?,
            store: settings::parse_address("store", &wire.store)?,
            database_account: DatabaseAccount {
                user: wire.database_account.user,
                password: wire.database_account.password,
            },
            peer_secret: wire.peer_secret,
            operators,
            traffic_threads: wire.traffic_threads,
            max_callers: wire.max_callers,
            tls: wire.tls.map(|tls| TlsFiles {
                certificate: tls.certificate,
                private_key: tls.private_key,
            }),
        })
    }
}

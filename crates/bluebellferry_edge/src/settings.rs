//! The settings of one process.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bluebellferry_limits::pace;
use bluebellferry_runtime::settings;
use bluebellferry_types::name;
use serde::Deserialize;

/// The settings file as the platform writes it. Unknown fields are ignored, since the platform
/// may add fields.
#[derive(Debug, Deserialize)]
struct SettingsFile {
    vm: String,
    address: String,
    data_centre: String,
    region: String,
    #[serde(default)]
    data_centres: BTreeMap<String, String>,
    caller_address: String,
    readiness_address: String,
    #[serde(default)]
    control_address: Option<String>,
    peer_ports: Vec<u16>,
    max_descriptors: u64,
    store_address: String,
    duty_address: String,
    grace_s: f64,
    /// By when an evacuated data centre must receive nothing more; absent where data centres are
    /// not evacuated.
    #[serde(default)]
    evacuation_ms: Option<f64>,
    /// By when a draining database must receive nothing more; absent where that is not limited.
    #[serde(default)]
    drain_ms: Option<f64>,
    #[serde(default)]
    cold_tolerance: Option<ToleranceFile>,
}

/// How far a cold database's statements of one second may exceed its pace.
#[derive(Debug, Deserialize)]
struct ToleranceFile {
    factor: f64,
    statements: f64,
}

impl TryFrom<ToleranceFile> for pace::PaceTolerance {
    type Error = settings::FieldError;

    fn try_from(file: ToleranceFile) -> Result<Self, settings::FieldError> {
        if !(file.factor >= 1.0 && file.factor.is_finite()) {
            let path = "cold_tolerance.factor";
            return Err(settings::FieldError::new(path, "must be at least 1"));
        }
        if !(file.statements >= 0.0 && file.statements.is_finite()) {
            let path = "cold_tolerance.statements";
            return Err(settings::FieldError::new(path, "must be at least 0"));
        }
        Ok(Self {
            factor: file.factor,
            statements: file.statements,
        })
    }
}

/// The validated settings of the process.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// This VM's name.
    pub vm: String,
    /// This VM's IP address.
    pub address: IpAddr,
    /// This VM's data centre.
    pub data_centre: name::DataCentreName,
    /// The region of this VM's data centre.
    pub region: String,
    /// The region of each data centre.
    pub regions: BTreeMap<name::DataCentreName, String>,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address on which the platform checks readiness.
    pub readiness_address: SocketAddr,
    /// The address on which other VMs fetch replicated store objects.
    pub store_copies_address: SocketAddr,
    /// The UDP port for heartbeats, which is the same on every VM.
    pub peer_port: u16,
    /// The HTTP port for metrics.
    pub metrics_port: u16,
    /// The maximum number of connected callers.
    pub max_callers: usize,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The address of the platform's promotion API, which promotes a database to primary.
    pub promotion_api_address: SocketAddr,
    /// How long the platform waits between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Within what time an evacuated data centre must receive nothing more; `None` where data
    /// centres are not evacuated.
    pub evacuation_limit: Option<Duration>,
    /// Within what time a draining database must receive nothing more; `None` where that is not
    /// limited.
    pub drain_limit: Option<Duration>,
    /// How far the statements of one second at a cold database may exceed its pace.
    pub pace_tolerance: pace::PaceTolerance,
}

/// File descriptors reserved for connections to databases, other VMs and the platform; callers
/// get the rest.
const RESERVED_DESCRIPTORS: u64 = 800;

impl TryFrom<SettingsFile> for EdgeSettings {
    type Error = settings::FieldError;

    fn try_from(file: SettingsFile) -> Result<Self, settings::FieldError> {
        let parse_address = |path: &str, text: &str| settings::parse_address(path, text);
        let parse_data_centre = |path: &str, text: &str| {
            name::DataCentreName::try_from(text)
                .map_err(|error| settings::FieldError::new(path, error))
        };
        let ip: IpAddr = file
            .address
            .parse()
            .map_err(|error| settings::FieldError::new("address", error))?;
        let (Some(first_port), Some(last_port)) = (file.peer_ports.first(), file.peer_ports.last())
        else {
            let message = "a first and a last port are needed";
            return Err(settings::FieldError::new("peer_ports", message));
        };
        let mut regions = BTreeMap::new();
        for (name, region) in file.data_centres {
            regions.insert(parse_data_centre("data_centres", &name)?, region);
        }
        let store_copies_address = match &file.control_address {
            Some(text) => parse_address("control_address", text)?,
            None => SocketAddr::new(ip, first_port + 1),
        };
        if !(file.grace_s > 0.0 && file.grace_s.is_finite()) {
            return Err(settings::FieldError::new("grace_s", "must be above 0"));
        }
        let parse_limit = |path: &str, milliseconds: f64| {
            Duration::try_from_secs_f64(milliseconds / 1_000.0)
                .map_err(|error| settings::FieldError::new(path, error))
        };
        let evacuation_limit = file.evacuation_ms;
        let evacuation_limit = evacuation_limit.map(|limit| parse_limit("evacuation_ms", limit));
        let drain_limit = file.drain_ms.map(|limit| parse_limit("drain_ms", limit));
        let pace_tolerance = file.cold_tolerance.map(pace::PaceTolerance::try_from);
        Ok(Self {
            vm: file.vm,
            address: ip,
            data_centre: parse_data_centre("data_centre", &file.data_centre)?,
            region: file.region,
            regions,
            caller_address: parse_address("caller_address", &file.caller_address)?,
            readiness_address: parse_address("readiness_address", &file.readiness_address)?,
            store_copies_address,
            peer_port: *first_port,
            metrics_port: *last_port,
            max_callers: file
                .max_descriptors
                .saturating_sub(RESERVED_DESCRIPTORS)
                .max(64) as usize,
            store_address: parse_address("store_address", &file.store_address)?,
            promotion_api_address: parse_address("duty_address", &file.duty_address)?,
            grace: Duration::from_secs_f64(file.grace_s),
            evacuation_limit: evacuation_limit.transpose()?,
            drain_limit: drain_limit.transpose()?,
            pace_tolerance: pace_tolerance.transpose()?.unwrap_or_default(),
        })
    }
}

/// Loads and validates a settings file.
///
/// # Errors
/// Returns an error with the file, the field and the reason if the settings are invalid.
pub fn load(file: &Path) -> Result<EdgeSettings, settings::SettingsError> {
    settings::load_settings::<SettingsFile, EdgeSettings>(file)
}

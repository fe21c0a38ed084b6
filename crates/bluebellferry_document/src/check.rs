//! Checks that turn a written document into a usable one.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellferry_types::name;

use crate::model;
use crate::wire;

/// The format number that this version reads.
pub const SUPPORTED_FORMAT: u32 = 1;
/// The longest time that a read may wait for a replica, in milliseconds.
pub const MAX_READ_WAIT_MS: u64 = 5_000;
/// The largest accepted document, in bytes; the store holds values up to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The reason a document is refused, with the JSON path of the fault.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DocumentError {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {0} bytes; at most {MAX_DOCUMENT_BYTES} are accepted")]
    TooLarge(usize),
    /// The text is not JSON of the expected shape.
    #[error("{path}: {message}")]
    Malformed {
        /// The JSON path of the fault.
        path: String,
        /// What is wrong there, with line and column.
        message: String,
    },
    /// A value is out of range or refers to something that does not exist.
    #[error("{path}: {message}")]
    InvalidValue {
        /// The JSON path of the fault.
        path: String,
        /// What is wrong and what would be accepted.
        message: String,
    },
}

fn value_error(path: impl Into<String>, message: impl std::fmt::Display) -> DocumentError {
    DocumentError::InvalidValue {
        path: path.into(),
        message: message.to_string(),
    }
}

/// Parses and checks a document.
///
/// # Errors
/// Returns the first fault found, naming its JSON path.
pub fn parse_document(bytes: &[u8]) -> Result<model::EnvironmentDocument, DocumentError> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge(bytes.len()));
    }
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let document: wire::DocumentWire = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| DocumentError::Malformed {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        })?;
    deserializer
        .end()
        .map_err(|error| DocumentError::Malformed {
            path: ".".to_owned(),
            message: error.to_string(),
        })?;
    model::EnvironmentDocument::try_from(document)
}

impl TryFrom<wire::DocumentWire> for model::EnvironmentDocument {
    type Error = DocumentError;

    fn try_from(wire: wire::DocumentWire) -> Result<Self, DocumentError> {
        if wire.format != SUPPORTED_FORMAT {
            let message = format!("{} is not supported; write {SUPPORTED_FORMAT}", wire.format);
            return Err(value_error("format", message));
        }
        let data_centres = check_map("data_centres", wire.data_centres, check_data_centre)?;
        let services = check_map("services", wire.services, check_service)?;
        let workspaces = check_map("workspaces", wire.workspaces, |path, workspace| {
            check_workspace(path, workspace, &services)
        })?;
        Ok(Self {
            data_centres,
            services,
            workspaces,
        })
    }
}

fn check_map<K, W, P>(
    path: &str,
    wires: BTreeMap<String, W>,
    check: impl Fn(&str, W) -> Result<P, DocumentError>,
) -> Result<BTreeMap<K, P>, DocumentError>
where
    K: TryFrom<String, Error = name::NameError> + Ord,
{
    if wires.is_empty() {
        return Err(value_error(path, "at least one entry is needed"));
    }
    let mut plans = BTreeMap::new();
    for (text, wire) in wires {
        let entry_path = format!("{path}.{text}");
        let name = K::try_from(text).map_err(|error| value_error(&entry_path, error))?;
        plans.insert(name, check(&entry_path, wire)?);
    }
    Ok(plans)
}

fn check_data_centre(
    path: &str,
    wire: wire::DataCentreWire,
) -> Result<model::DataCentreSpec, DocumentError> {
    if wire.vms == 0 {
        return Err(value_error(format!("{path}.vms"), "must be at least 1"));
    }
    Ok(model::DataCentreSpec { vm_count: wire.vms })
}

fn check_service(path: &str, wire: wire::ServiceWire) -> Result<model::ServiceSpec, DocumentError> {
    if wire.connections == 0 {
        return Err(value_error(
            format!("{path}.connections"),
            "must be at least 1",
        ));
    }
    if wire.slots == 0 {
        return Err(value_error(format!("{path}.slots"), "must be at least 1"));
    }
    let mut reads = BTreeMap::new();
    for (text, read) in wire.reads {
        let read_path = format!("{path}.reads.{text}");
        let kind = name::ReadKind::try_from(text).map_err(|error| value_error(read_path, error))?;
        if read.wait_ms > MAX_READ_WAIT_MS {
            let message = format!("must be at most {MAX_READ_WAIT_MS}");
            return Err(value_error(format!("{path}.reads.{kind}.wait_ms"), message));
        }
        let plan = model::ReadKindSpec {
            max_age: Duration::from_millis(read.max_age_ms),
            max_wait: Duration::from_millis(read.wait_ms),
        };
        reads.insert(kind, plan);
    }
    Ok(model::ServiceSpec {
        max_connections: wire.connections,
        max_running_statements: wire.slots,
        reads,
    })
}

fn check_workspace(
    path: &str,
    wire: wire::WorkspaceWire,
    services: &BTreeMap<name::ServiceName, model::ServiceSpec>,
) -> Result<model::WorkspaceSpec, DocumentError> {
    check_amount(&format!("{path}.rate_per_second"), wire.rate_per_second)?;
    check_amount(&format!("{path}.burst"), wire.burst)?;
    if wire.weight == 0 {
        return Err(value_error(format!("{path}.weight"), "must be at least 1"));
    }
    let mut allowed = smallvec::SmallVec::new();
    for (index, text) in wire.services.into_iter().enumerate() {
        let service_path = format!("{path}.services[{index}]");
        let service =
            name::ServiceName::try_from(text).map_err(|error| value_error(&service_path, error))?;
        if !services.contains_key(&service) {
            let message = format!("the service '{service}' is not declared under services");
            return Err(value_error(service_path, message));
        }
        allowed.push(service);
    }
    Ok(model::WorkspaceSpec {
        services: allowed,
        rate_per_second: wire.rate_per_second,
        burst: wire.burst,
        weight: wire.weight,
        is_keyless: wire.open,
    })
}

fn check_amount(path: &str, amount: f64) -> Result<(), DocumentError> {
    if amount.is_finite() && amount >= 1.0 {
        return Ok(());
    }
    Err(value_error(
        path,
        format!("{amount} is not a number of at least 1"),
    ))
}

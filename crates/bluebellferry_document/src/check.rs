//! Parsing and validation of configuration documents.

use std::collections::BTreeMap;
use std::time::Duration;

use bluebellferry_types::name;

use crate::model;
use crate::wire;

/// The version of the document format that this release accepts.
pub const SUPPORTED_FORMAT: u32 = 1;
/// The largest accepted `wait_ms`, in milliseconds: the longest that a read may
/// wait for a replica.
pub const MAX_READ_WAIT_MS: u64 = 5_000;
/// The largest accepted document, in bytes, because the store holds values of up
/// to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The reason a document is rejected, with the JSON path of the invalid value.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DocumentError {
    /// The document is larger than [`MAX_DOCUMENT_BYTES`].
    #[error("the document has {0} bytes; at most {MAX_DOCUMENT_BYTES} are accepted")]
    TooLarge(usize),
    /// The text is not valid JSON, or a field is missing, unknown or of the
    /// wrong type.
    #[error("{path}: {message}")]
    Malformed {
        /// The JSON path of the invalid value.
        path: String,
        /// What is wrong at that path, with line and column.
        message: String,
    },
    /// A value is out of range or refers to something that does not exist.
    #[error("{path}: {message}")]
    InvalidValue {
        /// The JSON path of the invalid value.
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

/// Parses and validates a document.
///
/// # Errors
/// Fails on the first invalid value and returns its JSON path.
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

fn check_map<K, W, S>(
    path: &str,
    entries: BTreeMap<String, W>,
    check: impl Fn(&str, W) -> Result<S, DocumentError>,
) -> Result<BTreeMap<K, S>, DocumentError>
where
    K: TryFrom<String, Error = name::NameError> + Ord,
{
    if entries.is_empty() {
        return Err(value_error(path, "at least one entry is needed"));
    }
    let mut specs = BTreeMap::new();
    for (text, wire) in entries {
        let entry_path = format!("{path}.{text}");
        let name = K::try_from(text).map_err(|error| value_error(&entry_path, error))?;
        specs.insert(name, check(&entry_path, wire)?);
    }
    Ok(specs)
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
    let mut read_kinds = BTreeMap::new();
    for (text, read) in wire.reads {
        let read_path = format!("{path}.reads.{text}");
        let kind = name::ReadKind::try_from(text).map_err(|error| value_error(read_path, error))?;
        if read.wait_ms > MAX_READ_WAIT_MS {
            let message = format!("must be at most {MAX_READ_WAIT_MS}");
            return Err(value_error(format!("{path}.reads.{kind}.wait_ms"), message));
        }
        let spec = model::ReadKindSpec {
            max_age: Duration::from_millis(read.max_age_ms),
            max_wait: Duration::from_millis(read.wait_ms),
        };
        read_kinds.insert(kind, spec);
    }
    Ok(model::ServiceSpec {
        max_connections: wire.connections,
        max_running_statements: wire.slots,
        read_kinds,
    })
}

fn check_workspace(
    path: &str,
    wire: wire::WorkspaceWire,
    services: &BTreeMap<name::ServiceName, model::ServiceSpec>,
) -> Result<model::WorkspaceSpec, DocumentError> {
    check_at_least_one(&format!("{path}.rate_per_second"), wire.rate_per_second)?;
    check_at_least_one(&format!("{path}.burst"), wire.burst)?;
    if wire.weight == 0 {
        return Err(value_error(format!("{path}.weight"), "must be at least 1"));
    }
    let mut allowed_services = smallvec::SmallVec::new();
    for (index, text) in wire.services.into_iter().enumerate() {
        let service_path = format!("{path}.services[{index}]");
        let service =
            name::ServiceName::try_from(text).map_err(|error| value_error(&service_path, error))?;
        if !services.contains_key(&service) {
            let message = format!("the service '{service}' is not declared under services");
            return Err(value_error(service_path, message));
        }
        allowed_services.push(service);
    }
    Ok(model::WorkspaceSpec {
        services: allowed_services,
        rate_per_second: wire.rate_per_second,
        burst: wire.burst,
        weight: wire.weight,
        is_keyless: wire.open,
    })
}

fn check_at_least_one(path: &str, value: f64) -> Result<(), DocumentError> {
    if value.is_finite() && value >= 1.0 {
        return Ok(());
    }
    Err(value_error(
        path,
        format!("{value} is not a number of at least 1"),
    ))
}

//! The subcommands.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_document::check;
use bluebellferry_document::hash;
use bluebellferry_explain::document;
use bluebellferry_explain::failover;
use bluebellferry_explain::refusal;
use bluebellferry_explain::traffic;
use serde::Deserialize;

use crate::api;

/// How long to wait until every VM uses a new document.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(15);
/// The interval between two status requests while waiting for the VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The reason a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("{file}: {source}")]
    UnreadableFile {
        /// The path of the file, as given.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The document is invalid.
    #[error("{file}: {error}")]
    InvalidDocument {
        /// The path of the file, as given.
        file: String,
        /// The validation error with its JSON path.
        error: check::DocumentError,
    },
    /// The VM did not respond, or its response could not be decoded.
    #[error("the VM does not answer: {0}")]
    Unreachable(#[from] reqwest::Error),
    /// The VM refused the request.
    #[error("{} ({})", .0.message, .0.error)]
    Refused(api::ApiRefusal),
    /// The VM responded with an error status and a body that is not a refusal.
    #[error("the VM answered with status {status}: {text}")]
    UnexpectedStatus {
        /// The HTTP status code.
        status: u16,
        /// The body of the response.
        text: String,
    },
    /// The document is stored, but not every VM uses it yet.
    #[error("stored, but in force on {active} of {all} VMs only; lagging: {lagging}")]
    PartlyActive {
        /// The number of VMs that use the document.
        active: usize,
        /// The number of known live VMs.
        all: usize,
        /// The names of the VMs that do not use the document yet.
        lagging: String,
    },
    /// The environments do not allow the operation, or an argument was not
    /// understood; the text says which.
    #[error("{0}")]
    PreconditionFailed(String),
}

impl CtlError {
    /// Returns the stable exit code: 1 for an unreadable file, an invalid document
    /// or a failed precondition, 2 for a VM that does not respond, 3 for a refusal
    /// or an unexpected status, 4 for a version conflict with another operator's
    /// change, and 5 for a document that not every VM uses yet.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::UnreadableFile { .. }
            | Self::InvalidDocument { .. }
            | Self::PreconditionFailed(_) => 1,
            Self::Unreachable(_) => 2,
            Self::Refused(refused) if refused.error == "version_conflict" => 4,
            Self::Refused(_) | Self::UnexpectedStatus { .. } => 3,
            Self::PartlyActive { .. } => 5,
        }
    }
}

/// The stored document of an environment, as the API returns it.
#[derive(Debug, Clone, Deserialize)]
struct StoredDocument {
    environment: String,
    version: u64,
    hash: String,
    text: String,
}

#[derive(Debug, Clone, Deserialize)]
struct VmStatus {
    vm: String,
    document_version: u64,
    peers: Vec<PeerStatus>,
    services: Vec<ServiceStatus>,
}

#[derive(Debug, Clone, Deserialize)]
struct PeerStatus {
    vm: String,
    live: bool,
    document_version: u64,
}

#[derive(Debug, Clone, Deserialize)]
struct ServiceStatus {
    service: String,
    promotions: Vec<PromotionStatus>,
}

#[derive(Debug, Clone, Deserialize)]
struct PromotionStatus {
    primary: String,
    gap_ms: u64,
}

fn read_file(file: &Path) -> Result<String, CtlError> {
    let path = file.display().to_string();
    std::fs::read_to_string(file).map_err(|source| CtlError::UnreadableFile { file: path, source })
}

/// Validates a document file and returns its text.
///
/// # Errors
/// Fails if the file cannot be read or the document is invalid; the error gives
/// the file and the JSON path of the first invalid value.
pub fn check_file(file: &Path) -> Result<String, CtlError> {
    let text = read_file(file)?;
    check::parse_document(text.as_bytes()).map_err(|error| CtlError::InvalidDocument {
        file: file.display().to_string(),
        error,
    })?;
    Ok(text)
}

/// Explains a document file.
///
/// # Errors
/// Fails as [`check_file`] does.
pub fn explain_file(file: &Path) -> Result<String, CtlError> {
    let text = check_file(file)?;
    let parsed =
        check::parse_document(text.as_bytes()).map_err(|error| CtlError::InvalidDocument {
            file: file.display().to_string(),
            error,
        })?;
    Ok(document::explain_document(&parsed))
}

/// Stores a document file as the document of an environment and waits until
/// every live VM uses it.
///
/// # Errors
/// Fails if the document is invalid, if another operator's change came first, or
/// if not every VM uses the document within `ACTIVATION_TIMEOUT`.
pub async fn apply_file(client: &api::AdminClient, file: &Path) -> Result<String, CtlError> {
    let text = check_file(file)?;
    let current: StoredDocument = client.get("/v1/document").await?;
    put_document(client, &text, current.version).await
}

async fn put_document(
    client: &api::AdminClient,
    text: &str,
    expected_version: u64,
) -> Result<String, CtlError> {
    let hash = hash::DocumentHash::compute(text.as_bytes());
    let body = serde_json::json!({
        "expected_version": expected_version,
        "hash": hash.as_str(),
        "text": text,
    });
    let written: StoredDocument = client
        .send_json(reqwest::Method::PUT, "/v1/document", &body)
        .await?;
    let vm_count = wait_until_active(client, written.version).await?;
    Ok(format!(
        "{}: version {} (hash {}) is in force on all {vm_count} VMs.",
        written.environment,
        written.version,
        hash.short_hex()
    ))
}

/// Waits until every known live VM uses the given or a later version of the
/// document; returns the number of VMs.
async fn wait_until_active(client: &api::AdminClient, version: u64) -> Result<usize, CtlError> {
    let deadline = Instant::now() + ACTIVATION_TIMEOUT;
    loop {
        let status: VmStatus = client.get("/v1/status").await?;
        let own_version = (status.vm.clone(), status.document_version);
        let peers = status.peers.iter().filter(|peer| peer.live);
        let peer_versions = peers.map(|peer| (peer.vm.clone(), peer.document_version));
        let versions: Vec<(String, u64)> =
            std::iter::once(own_version).chain(peer_versions).collect();
        let outdated = versions.iter().filter(|(_, used)| *used < version);
        let lagging: Vec<&str> = outdated.map(|(vm, _)| vm.as_str()).collect();
        if lagging.is_empty() {
            return Ok(versions.len());
        }
        if Instant::now() >= deadline {
            return Err(CtlError::PartlyActive {
                active: versions.len() - lagging.len(),
                all: versions.len(),
                lagging: lagging.join(", "),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Applies the document of the trial environment, byte for byte, to the
/// production environment.
///
/// # Errors
/// Fails if the trial environment has no document, if not every VM of it uses
/// the document, if the document's bytes do not match its hash, or if both VMs
/// belong to the same environment. Also fails as [`apply_file`] does.
pub async fn promote_document(
    trial: &api::AdminClient,
    production: &api::AdminClient,
) -> Result<String, CtlError> {
    let trial_document: StoredDocument = trial.get("/v1/document").await?;
    if trial_document.version == 0 {
        return Err(CtlError::PreconditionFailed(
            "the trial environment has no document yet".to_owned(),
        ));
    }
    wait_until_active(trial, trial_document.version).await?;
    if hash::DocumentHash::compute(trial_document.text.as_bytes()).as_str() != trial_document.hash {
        let text = format!(
            "the document of {} does not match its hash",
            trial_document.environment
        );
        return Err(CtlError::PreconditionFailed(text));
    }
    let current: StoredDocument = production.get("/v1/document").await?;
    if current.environment == trial_document.environment {
        let text = format!("both VMs belong to the environment {}", current.environment);
        return Err(CtlError::PreconditionFailed(text));
    }
    if current.hash == trial_document.hash {
        return Ok(format!(
            "{} already runs this document.",
            current.environment
        ));
    }
    put_document(production, &trial_document.text, current.version).await
}

/// Compares the document of an environment with a file.
///
/// # Errors
/// Fails if the file or the environment's document cannot be read.
pub async fn diff_document(client: &api::AdminClient, file: &Path) -> Result<String, CtlError> {
    let text = read_file(file)?;
    let current: StoredDocument = client.get("/v1/document").await?;
    if current.text == text {
        return Ok("The file and the document in force are the same, byte for byte.".to_owned());
    }
    let difference = similar::TextDiff::from_lines(&current.text, &text);
    let header = (
        format!("{} version {}", current.environment, current.version),
        file.display().to_string(),
    );
    Ok(difference
        .unified_diff()
        .header(&header.0, &header.1)
        .to_string())
}

/// Explains a refusal from the DETAIL field of the error or from its reason code;
/// returns `None` if the text is neither.
pub fn explain_refusal(detail: &str) -> Option<String> {
    refusal::explain_detail(detail).or_else(|| refusal::explain_reason(detail))
}

/// Explains the latest failovers that a VM has observed since its start.
///
/// # Errors
/// Fails if the VM does not respond or refuses the request.
pub async fn explain_failovers(client: &api::AdminClient) -> Result<String, CtlError> {
    let status: VmStatus = client.get("/v1/status").await?;
    let mut texts = Vec::new();
    for service in &status.services {
        for promotion in &service.promotions {
            texts.push(failover::explain_failover(failover::FailoverSummary {
                service: &service.service,
                primary: &promotion.primary,
                outage: Duration::from_millis(promotion.gap_ms),
            }));
        }
    }
    if texts.is_empty() {
        return Ok("No main database has been replaced since this server started.".to_owned());
    }
    Ok(texts.join("\n\n"))
}

/// Explains the request counters of one VM.
///
/// # Errors
/// Fails if the VM does not respond or refuses the request.
pub async fn explain_traffic(client: &api::AdminClient) -> Result<String, CtlError> {
    let mut counters = traffic::TrafficCounters::default();
    counters.add_metrics(&client.get_text("/metrics").await?);
    Ok(traffic::explain_traffic(&counters))
}

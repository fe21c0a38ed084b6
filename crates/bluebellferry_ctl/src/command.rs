//! The verbs.

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

/// How long a change may take until it is in force everywhere.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(15);
/// How often the state is asked for meanwhile.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("{file}: {source}")]
    UnreadableFile {
        /// The file as given.
        file: String,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The document has a fault.
    #[error("{file}: {fault}")]
    InvalidDocument {
        /// The file as given.
        file: String,
        /// The fault with its JSON path.
        fault: check::DocumentError,
    },
    /// The VM did not answer.
    #[error("the VM does not answer: {0}")]
    Unreachable(#[from] reqwest::Error),
    /// The VM refused.
    #[error("{} ({})", .0.message, .0.error)]
    Refused(api::ApiRefusal),
    /// The VM answered with an unexpected status.
    #[error("the VM answered with status {status}: {text}")]
    UnexpectedStatus {
        /// The HTTP status.
        status: u16,
        /// The answer's text.
        text: String,
    },
    /// The change is stored but not yet in force everywhere.
    #[error("stored, but in force on {active} of {all} VMs only; lagging: {lagging}")]
    PartlyActive {
        /// The VMs that have it in force.
        active: usize,
        /// All VMs that are known.
        all: usize,
        /// The names of the others.
        lagging: String,
    },
    /// The two environments do not fit together.
    #[error("{0}")]
    PreconditionFailed(String),
}

impl CtlError {
    /// Returns the stable exit code: 1 for a file or document, 2 for a VM that
    /// does not answer, 3 for a refusal, 4 for a lost race, 5 for a change that
    /// is not in force everywhere.
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

/// The document as the API returns it.
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
    let shown = file.display().to_string();
    std::fs::read_to_string(file).map_err(|source| CtlError::UnreadableFile {
        file: shown,
        source,
    })
}

/// Checks a document file and returns its text.
///
/// # Errors
/// Names the file and the JSON path of the first fault.
pub fn check_file(file: &Path) -> Result<String, CtlError> {
    let text = read_file(file)?;
    check::parse_document(text.as_bytes()).map_err(|fault| CtlError::InvalidDocument {
        file: file.display().to_string(),
        fault,
    })?;
    Ok(text)
}

/// Explains a document file.
///
/// # Errors
/// Fails as [`check_file`] does.
pub fn explain_file(file: &Path) -> Result<String, CtlError> {
    let text = check_file(file)?;
    let checked =
        check::parse_document(text.as_bytes()).map_err(|fault| CtlError::InvalidDocument {
            file: file.display().to_string(),
            fault,
        })?;
    Ok(document::explain_document(&checked))
}

/// Puts a document file in force in an environment and waits until it is.
///
/// # Errors
/// Fails on faults of the document, lost races and VMs that lag.
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
    let vms = wait_until_active(client, written.version).await?;
    Ok(format!(
        "{}: version {} (hash {}) is in force on all {vms} VMs.",
        written.environment,
        written.version,
        hash.short_hex()
    ))
}

/// Waits until every known VM has a version in force; returns their number.
async fn wait_until_active(client: &api::AdminClient, version: u64) -> Result<usize, CtlError> {
    let deadline = Instant::now() + ACTIVATION_TIMEOUT;
    loop {
        let status: VmStatus = client.get("/v1/status").await?;
        let own = (status.vm.clone(), status.document_version);
        let peers = status.peers.iter().filter(|peer| peer.live);
        let peers = peers.map(|peer| (peer.vm.clone(), peer.document_version));
        let vms: Vec<(String, u64)> = std::iter::once(own).chain(peers).collect();
        let behind = vms.iter().filter(|(_, known)| *known < version);
        let lagging: Vec<&str> = behind.map(|(vm, _)| vm.as_str()).collect();
        if lagging.is_empty() {
            return Ok(vms.len());
        }
        if Instant::now() >= deadline {
            return Err(CtlError::PartlyActive {
                active: vms.len() - lagging.len(),
                all: vms.len(),
                lagging: lagging.join(", "),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Moves the document that is in force in one environment, byte for byte, to
/// another.
///
/// # Errors
/// Refuses when the trial's document is not in force everywhere or its bytes do
/// not fit its hash; fails as [`apply_file`] does.
pub async fn promote_document(
    trial: &api::AdminClient,
    production: &api::AdminClient,
) -> Result<String, CtlError> {
    let tried: StoredDocument = trial.get("/v1/document").await?;
    if tried.version == 0 {
        return Err(CtlError::PreconditionFailed(
            "nothing has been tried yet".to_owned(),
        ));
    }
    wait_until_active(trial, tried.version).await?;
    if hash::DocumentHash::compute(tried.text.as_bytes()).as_str() != tried.hash {
        let text = format!(
            "the document of {} does not fit its hash",
            tried.environment
        );
        return Err(CtlError::PreconditionFailed(text));
    }
    let current: StoredDocument = production.get("/v1/document").await?;
    if current.environment == tried.environment {
        let text = format!("both VMs belong to the environment {}", current.environment);
        return Err(CtlError::PreconditionFailed(text));
    }
    if current.hash == tried.hash {
        return Ok(format!(
            "{} already runs this document.",
            current.environment
        ));
    }
    put_document(production, &tried.text, current.version).await
}

/// Compares the documents of two environments, or of one with a file.
///
/// # Errors
/// Fails when a document cannot be read.
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

/// Explains why a request was refused, from the detail or reason given with it.
pub fn explain_refusal(detail: &str) -> Option<String> {
    refusal::explain_detail(detail).or_else(|| refusal::explain_reason(detail))
}

/// Explains the failovers that a VM has seen.
///
/// # Errors
/// Fails when the VM does not answer.
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

/// Explains the figures of one VM.
///
/// # Errors
/// Fails when the VM does not answer.
pub async fn explain_traffic(client: &api::AdminClient) -> Result<String, CtlError> {
    let mut counters = traffic::TrafficCounters::default();
    counters.add_metrics(&client.get_text("/metrics").await?);
    Ok(traffic::explain_traffic(&counters))
}

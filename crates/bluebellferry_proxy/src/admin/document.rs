//! Reading, checking and changing the configuration document.

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use bluebellferry_document::check;
use bluebellferry_document::hash;
use bluebellferry_store::client;
use serde::Deserialize;
use serde::Serialize;

use super::AdminState;
use super::ApiError;
use super::AuthenticatedOperator;

/// The document as it stands in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// The environment.
    pub environment: String,
    /// The version; 0 means that there is none.
    pub version: u64,
    /// The hash of the bytes.
    pub hash: String,
    /// The exact text.
    pub text: String,
    /// Who put it in force.
    pub operator: String,
}

/// A new document, and the version that it is to replace.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// The version that must still be current.
    pub expected_version: u64,
    /// The hash that the text must have.
    pub hash: String,
    /// The exact text.
    pub text: String,
}

async fn stored_document(state: &AdminState) -> Result<DocumentResponse, ApiError> {
    let object = state.store.get(&state.keys.document()).await?;
    let field = |name: &str| object.value[name].as_str().unwrap_or("").to_owned();
    Ok(DocumentResponse {
        environment: state.shared.settings.environment.to_string(),
        version: object.version,
        hash: field("hash"),
        text: field("text"),
        operator: field("operator"),
    })
}

pub(super) async fn read_document(
    State(state): State<AdminState>,
) -> Result<Json<DocumentResponse>, ApiError> {
    stored_document(&state).await.map(Json)
}

fn check_text(text: &str) -> Result<(), ApiError> {
    let checked = check::parse_document(text.as_bytes());
    let fault = |error| ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "document_invalid", error);
    checked.map(drop).map_err(fault)
}

pub(super) async fn check_document(text: String) -> Result<StatusCode, ApiError> {
    check_text(&text)?;
    Ok(StatusCode::NO_CONTENT)
}

/// Puts a document in force by a conditional write. A race is settled by the
/// store; the loser learns who won and with which document.
pub(super) async fn write_document(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
    Json(change): Json<DocumentChange>,
) -> Result<Json<DocumentResponse>, ApiError> {
    let hash = hash::DocumentHash::of(change.text.as_bytes());
    if hash.as_str() != change.hash {
        let message = format!("the text has the hash {hash}, not {}", change.hash);
        return Err(ApiError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "hash_differs",
            message,
        ));
    }
    check_text(&change.text)?;
    let value = serde_json::json!({
        "hash": hash.as_str(),
        "text": change.text,
        "operator": operator.0,
    });
    let written = state
        .store
        .put(&state.keys.document(), change.expected_version, value)
        .await?;
    match written {
        client::PutOutcome::Written { version } => {
            let subject = format!("document version {version}");
            let outcome = format!("hash {}", hash.short());
            state
                .record(&operator, "put document", &subject, &outcome)
                .await;
            stored_document(&state).await.map(Json)
        }
        client::PutOutcome::Conflict { current } => {
            let winner = current.value["operator"]
                .as_str()
                .unwrap_or("somebody")
                .to_owned();
            let message = format!(
                "{winner} has put version {} in force meanwhile; compare it with yours and try again",
                current.version
            );
            let mut fault = ApiError::new(StatusCode::CONFLICT, "version_conflict", message);
            fault.winner = Some(serde_json::json!({
                "operator": winner,
                "version": current.version,
                "hash": current.value["hash"],
            }));
            Err(fault)
        }
    }
}

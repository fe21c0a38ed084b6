//! The API calls that read, check and replace the configuration document.

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

/// The configuration document in the store, as the API returns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// The environment that the document configures.
    pub environment: String,
    /// The version of the store object; 0 means that there is no document.
    pub version: u64,
    /// The hash of the text, in hexadecimal.
    pub hash: String,
    /// The document's text, byte for byte.
    pub text: String,
    /// The name of the operator who wrote this version.
    pub operator: String,
}

/// A request to replace the configuration document.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// The version to replace. The request fails if the store has another one.
    pub expected_version: u64,
    /// The expected hash of the text, in hexadecimal.
    pub hash: String,
    /// The new document's text, byte for byte.
    pub text: String,
}

async fn read_stored_document(state: &AdminState) -> Result<DocumentResponse, ApiError> {
    let object = state.store.get(&state.store_keys.document_key()).await?;
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
    read_stored_document(&state).await.map(Json)
}

fn check_text(text: &str) -> Result<(), ApiError> {
    let result = check::parse_document(text.as_bytes());
    let to_error =
        |error| ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "document_invalid", error);
    result.map(drop).map_err(to_error)
}

pub(super) async fn check_document(text: String) -> Result<StatusCode, ApiError> {
    check_text(&text)?;
    Ok(StatusCode::NO_CONTENT)
}

/// Replaces the configuration document by a conditional write. Of two concurrent
/// writes the store accepts one; the response to the other names the operator,
/// version and hash of the accepted document.
pub(super) async fn write_document(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
    Json(change): Json<DocumentChange>,
) -> Result<Json<DocumentResponse>, ApiError> {
    let hash = hash::DocumentHash::compute(change.text.as_bytes());
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
        .put(
            &state.store_keys.document_key(),
            change.expected_version,
            value,
        )
        .await?;
    match written {
        client::PutOutcome::Written { version } => {
            let subject = format!("document version {version}");
            let outcome = format!("hash {}", hash.short_hex());
            state
                .record_action(&operator, "put document", &subject, &outcome)
                .await;
            read_stored_document(&state).await.map(Json)
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
            let mut error = ApiError::new(StatusCode::CONFLICT, "version_conflict", message);
            error.winner = Some(serde_json::json!({
                "operator": winner,
                "version": current.version,
                "hash": current.value["hash"],
            }));
            Err(error)
        }
    }
}

//! The API calls that list, issue and withdraw callers' API keys.

use std::collections::BTreeMap;
use std::time::Duration;

use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use bluebellferry_keys::digest;
use bluebellferry_store::client;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

use super::AdminState;
use super::ApiError;
use super::AuthenticatedOperator;
use crate::control;

/// The maximum number of attempts to write a workspace's API keys when other writes
/// conflict.
const MAX_WRITE_ATTEMPTS: usize = 10;
/// The maximum number of retries of writing a withdrawal to an unreachable store.
const MAX_WITHDRAWAL_RETRIES: u32 = 600;
/// The delay before each retry of writing a withdrawal.
const WITHDRAWAL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A request for a new API key.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeyRequest {
    /// The label under which the API key is listed.
    pub label: String,
}

/// A new API key. Only its digest is stored, so the key itself cannot be read again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The API key in clear text.
    pub key: String,
    /// The first digits of the key's digest, by which it is listed and withdrawn.
    pub id: String,
    /// The version of the store object with the workspace's API keys.
    pub version: u64,
}

/// The valid API keys of all workspaces.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KeyList {
    /// The API keys by the name of their workspace.
    pub workspaces: BTreeMap<String, Vec<ListedKey>>,
}

/// A listed API key, without its full digest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedKey {
    /// The first digits of the key's digest.
    pub id: String,
    /// The label that the operator gave the key.
    pub label: String,
}

fn check_workspace_name(workspace: &str) -> Result<(), ApiError> {
    let result = name::WorkspaceName::try_from(workspace);
    let to_error =
        |error| ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "workspace_invalid", error);
    result.map(drop).map_err(to_error)
}

pub(super) async fn list_keys(State(state): State<AdminState>) -> Result<Json<KeyList>, ApiError> {
    let prefix = state.store_keys.api_keys_key("");
    let listed = state.store.list(&prefix).await?;
    let mut list = KeyList::default();
    for object in listed.objects {
        let workspace = object
            .key
            .strip_prefix(&prefix)
            .unwrap_or(&object.key)
            .to_owned();
        let keys: control::WorkspaceKeysWire =
            serde_json::from_value(object.value).unwrap_or_default();
        let to_listed = |record: control::KeyRecordWire| ListedKey {
            id: record.digest.short_hex(),
            label: record.label,
        };
        list.workspaces
            .insert(workspace, keys.keys.into_iter().map(to_listed).collect());
    }
    Ok(Json(list))
}

/// Updates a workspace's API keys in the store and returns the new version. After a
/// conflict with another write, tries again, up to [`MAX_WRITE_ATTEMPTS`] times in all.
async fn update_keys(
    store: &client::StoreClient,
    store_key: &str,
    change: impl Fn(&mut control::WorkspaceKeysWire),
) -> Result<u64, ApiError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let object = store.get(store_key).await?;
        let mut keys: control::WorkspaceKeysWire =
            serde_json::from_value(object.value).unwrap_or_default();
        change(&mut keys);
        match store
            .put(store_key, object.version, serde_json::json!(keys))
            .await?
        {
            client::PutOutcome::Written { version } => return Ok(version),
            client::PutOutcome::Conflict { .. } => {}
        }
    }
    let message = "others keep changing this workspace's keys; try again";
    Err(ApiError::new(
        StatusCode::CONFLICT,
        "version_conflict",
        message,
    ))
}

pub(super) async fn issue_key(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
    Path(workspace): Path<String>,
    Json(request): Json<KeyRequest>,
) -> Result<Json<IssuedKey>, ApiError> {
    check_workspace_name(&workspace)?;
    let key = digest::generate_key();
    let digest = digest::KeyDigest::compute(&key);
    let record = control::KeyRecordWire {
        digest,
        label: request.label,
    };
    let store_key = state.store_keys.api_keys_key(&workspace);
    let version = update_keys(&state.store, &store_key, |keys| {
        if !keys.keys.iter().any(|known| known.digest == digest) {
            keys.keys.push(record.clone());
        }
    })
    .await?;
    state
        .record_action(&operator, "give key", &workspace, &digest.short_hex())
        .await;
    Ok(Json(IssuedKey {
        key,
        id: digest.short_hex(),
        version,
    }))
}

/// Withdraws an API key. The key becomes invalid on this VM immediately and on the VMs
/// that this one reaches shortly after, even if the store cannot be reached.
pub(super) async fn withdraw_key(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
    Path((workspace, key)): Path<(String, String)>,
) -> Result<Response, ApiError> {
    check_workspace_name(&workspace)?;
    let digest = find_digest(&state, &workspace, &key).await?;
    state
        .events
        .send(control::ControlEvent::WithdrawKey(digest))
        .ok();
    let store_key = state.store_keys.api_keys_key(&workspace);
    let removed = remove_key(&state.store, &store_key, digest).await;
    state
        .record_action(&operator, "withdraw key", &workspace, &digest.short_hex())
        .await;
    match removed {
        Ok(version) => Ok(Json(serde_json::json!({"version": version})).into_response()),
        Err(_) => {
            tokio::spawn(retry_removal(state, store_key, digest));
            let message = "withdrawn on every VM that can be reached; \
                           the platform's store does not answer and will be told later";
            Ok((
                StatusCode::ACCEPTED,
                Json(serde_json::json!({"message": message})),
            )
                .into_response())
        }
    }
}

async fn remove_key(
    store: &client::StoreClient,
    store_key: &str,
    digest: digest::KeyDigest,
) -> Result<u64, ApiError> {
    update_keys(store, store_key, |keys| {
        keys.keys.retain(|known| known.digest != digest);
    })
    .await
}

async fn retry_removal(state: AdminState, store_key: String, digest: digest::KeyDigest) {
    for _ in 0..MAX_WITHDRAWAL_RETRIES {
        tokio::time::sleep(WITHDRAWAL_RETRY_DELAY).await;
        if remove_key(&state.store, &store_key, digest).await.is_ok() {
            return;
        }
    }
    log::error!(key = digest.short_hex().as_str(); "writing a withdrawal to the store still failed after {MAX_WITHDRAWAL_RETRIES} retries; giving up");
}

/// Returns the digest that an operator named: either a full digest, or the first
/// digits of the digest of one of the workspace's API keys that this VM knows.
async fn find_digest(
    state: &AdminState,
    workspace: &str,
    key: &str,
) -> Result<digest::KeyDigest, ApiError> {
    if let Ok(digest) = digest::KeyDigest::try_from(key.to_owned()) {
        return Ok(digest);
    }
    let unknown_key = || {
        let message = format!("the workspace {workspace} has no key named '{key}'");
        ApiError::new(StatusCode::NOT_FOUND, "key_unknown", message)
    };
    let workspace_name = name::WorkspaceName::try_from(workspace).map_err(|_| unknown_key())?;
    let snapshot = state.shared.snapshot();
    let known = snapshot.keys.digests_of(&workspace_name);
    known
        .iter()
        .find(|digest| digest.short_hex() == key)
        .copied()
        .ok_or_else(unknown_key)
}

//! Giving and withdrawing callers' keys.

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

/// How often a lost race for a workspace's keys is run again.
const MAX_RACES: usize = 10;
/// How long writing a withdrawal to an unreachable store is tried again.
const WITHDRAWAL_RETRIES: u32 = 600;
/// The pause between those tries.
const WITHDRAWAL_PAUSE: Duration = Duration::from_secs(1);

/// What the operator calls a new key.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeyRequest {
    /// The label.
    pub label: String,
}

/// A new key. It is shown once and kept nowhere.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct IssuedKey {
    /// The key.
    pub key: String,
    /// The name under which it is listed.
    pub id: String,
    /// The version of the workspace's keys.
    pub version: u64,
}

/// The keys of all workspaces.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys by workspace.
    pub workspaces: BTreeMap<String, Vec<ListedKey>>,
}

/// One key, without its digest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedKey {
    /// The first digits of its digest.
    pub id: String,
    /// What the operator calls it.
    pub label: String,
}

fn check_workspace(workspace: &str) -> Result<(), ApiError> {
    let checked = name::WorkspaceName::try_from(workspace);
    let fault = |error| ApiError::new(StatusCode::UNPROCESSABLE_ENTITY, "workspace_invalid", error);
    checked.map(drop).map_err(fault)
}

pub(super) async fn list_keys(State(state): State<AdminState>) -> Result<Json<KeyList>, ApiError> {
    let prefix = state.keys.workspace_keys("");
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
        let listed = |record: control::KeyRecordWire| ListedKey {
            id: record.digest.short(),
            label: record.label,
        };
        list.workspaces
            .insert(workspace, keys.keys.into_iter().map(listed).collect());
    }
    Ok(Json(list))
}

/// Changes a workspace's keys, again and again until no other change comes in
/// between. Returns the new version.
async fn change_keys(
    store: &client::StoreClient,
    key: &str,
    change: impl Fn(&mut control::WorkspaceKeysWire),
) -> Result<u64, ApiError> {
    for _ in 0..MAX_RACES {
        let object = store.get(key).await?;
        let mut keys: control::WorkspaceKeysWire =
            serde_json::from_value(object.value).unwrap_or_default();
        change(&mut keys);
        match store
            .put(key, object.version, serde_json::json!(keys))
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
    check_workspace(&workspace)?;
    let key = digest::generate_key();
    let digest = digest::KeyDigest::of(&key);
    let record = control::KeyRecordWire {
        digest,
        label: request.label,
    };
    let object = state.keys.workspace_keys(&workspace);
    let version = change_keys(&state.store, &object, |keys| {
        if !keys.keys.iter().any(|known| known.digest == digest) {
            keys.keys.push(record.clone());
        }
    })
    .await?;
    state
        .record(&operator, "give key", &workspace, &digest.short())
        .await;
    Ok(Json(IssuedKey {
        key,
        id: digest.short(),
        version,
    }))
}

/// Withdraws a key. It stops working at this VM at once and at all others it
/// reaches within moments, whether the store answers or not.
pub(super) async fn withdraw_key(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
    Path((workspace, key)): Path<(String, String)>,
) -> Result<Response, ApiError> {
    check_workspace(&workspace)?;
    let found = find_digest(&state, &workspace, &key).await?;
    state
        .events
        .send(control::ControlEvent::WithdrawKey(found))
        .ok();
    let object = state.keys.workspace_keys(&workspace);
    let removed = remove_key(&state.store, &object, found).await;
    state
        .record(&operator, "withdraw key", &workspace, &found.short())
        .await;
    match removed {
        Ok(version) => Ok(Json(serde_json::json!({"version": version})).into_response()),
        Err(_) => {
            tokio::spawn(remove_later(state, object, found));
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
    object: &str,
    digest: digest::KeyDigest,
) -> Result<u64, ApiError> {
    change_keys(store, object, |keys| {
        keys.keys.retain(|known| known.digest != digest);
    })
    .await
}

async fn remove_later(state: AdminState, object: String, digest: digest::KeyDigest) {
    for _ in 0..WITHDRAWAL_RETRIES {
        tokio::time::sleep(WITHDRAWAL_PAUSE).await;
        if remove_key(&state.store, &object, digest).await.is_ok() {
            return;
        }
    }
    log::error!(key = digest.short().as_str(); "a withdrawal never reached the store");
}

/// Finds the digest that an operator names: a whole one, or the short name of
/// one that this VM knows for the workspace.
async fn find_digest(
    state: &AdminState,
    workspace: &str,
    key: &str,
) -> Result<digest::KeyDigest, ApiError> {
    if let Ok(digest) = digest::KeyDigest::try_from(key.to_owned()) {
        return Ok(digest);
    }
    let missing = || {
        let message = format!("the workspace {workspace} has no key named '{key}'");
        ApiError::new(StatusCode::NOT_FOUND, "key_unknown", message)
    };
    let checked = name::WorkspaceName::try_from(workspace).map_err(|_| missing())?;
    let snapshot = state.shared.snapshot();
    let known = snapshot.keys.digests(&checked);
    known
        .iter()
        .find(|digest| digest.short() == key)
        .copied()
        .ok_or_else(missing)
}

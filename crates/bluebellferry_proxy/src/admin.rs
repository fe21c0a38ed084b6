//! The administration API, metrics and readiness of one VM.
//!
//! Every call under `/v1` needs an operator's token. Every change is a
//! conditional write to the platform's store and leaves an entry in the audit
//! trail there.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header;
use axum::middleware;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bluebellferry_runtime::health;
use bluebellferry_store::client;
use serde::Serialize;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use crate::control;
use crate::settings;
use crate::shared;

mod audit;
mod document;
mod keys;

pub use audit::AuditEntry;
pub use document::DocumentChange;
pub use document::DocumentResponse;
pub use keys::IssuedKey;
pub use keys::KeyList;

/// The largest accepted body, in bytes: a document of 1 MB, escaped in JSON.
const MAX_BODY_BYTES: usize = 2_500_000;

/// What the handlers share.
#[derive(Clone)]
pub(crate) struct AdminState {
    shared: Arc<shared::ProxyShared>,
    events: control::ControlSender,
    store: Arc<client::StoreClient>,
    keys: control::StoreKeys,
}

/// The operator who makes a call.
#[derive(Debug, Clone)]
pub(crate) struct AuthenticatedOperator(String);

/// A refused call: what is wrong and, for a lost race, who won it.
#[derive(Debug, Serialize)]
pub(crate) struct ApiError {
    error: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<serde_json::Value>,
    #[serde(skip)]
    status: StatusCode,
}

impl ApiError {
    fn new(status: StatusCode, error: &'static str, message: impl std::fmt::Display) -> Self {
        Self {
            error,
            message: message.to_string(),
            winner: None,
            status,
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        (self.status, Json(self)).into_response()
    }
}

impl From<client::StoreError> for ApiError {
    fn from(error: client::StoreError) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "store_unreachable", error)
    }
}

/// Creates the router of `/metrics`, `/ready` and `/v1/...`.
pub fn admin_router(shared: &Arc<shared::ProxyShared>, events: control::ControlSender) -> Router {
    let ready = Arc::clone(shared);
    let check: health::ReadyCheck = Arc::new(move || ready.snapshot().not_ready_reason());
    let settings = &shared.settings;
    let writer = format!("{}-admin", shared.incarnation_id());
    let state = AdminState {
        shared: Arc::clone(shared),
        events,
        store: Arc::new(client::StoreClient::new(
            &settings.store.to_string(),
            &writer,
        )),
        keys: control::StoreKeys::new(&settings.environment),
    };
    let api = Router::new()
        .route("/v1/status", get(read_status))
        .route(
            "/v1/document",
            get(document::read_document).put(document::write_document),
        )
        .route("/v1/document/check", post(document::check_document))
        .route("/v1/history", get(audit::read_history))
        .route("/v1/keys", get(keys::list_keys))
        .route("/v1/keys/{workspace}", post(keys::issue_key))
        .route(
            "/v1/keys/{workspace}/{key}",
            axum::routing::delete(keys::withdraw_key),
        )
        .route("/v1/drain", post(drain))
        .layer(middleware::from_fn_with_state(
            state.clone(),
            check_operator,
        ))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state);
    health::health_router(shared.metrics.registry.clone(), check).merge(api)
}

/// Lets a call pass if it brings an operator's token.
async fn check_operator(
    State(state): State<AdminState>,
    mut request: Request,
    next: middleware::Next,
) -> Response {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let token = token.unwrap_or("").as_bytes();
    let matches =
        |operator: &&settings::OperatorAccount| operator.token.as_bytes().ct_eq(token).into();
    let operator = state.shared.settings.operators.iter().find(matches);
    let Some(operator) = operator else {
        let message = "send an operator's token as 'Authorization: Bearer ...'";
        return ApiError::new(StatusCode::UNAUTHORIZED, "unauthorised", message).into_response();
    };
    request
        .extensions_mut()
        .insert(AuthenticatedOperator(operator.name.clone()));
    next.run(request).await
}

async fn read_status(State(state): State<AdminState>) -> Result<Response, ApiError> {
    let (answer, status) = oneshot::channel();
    state
        .events
        .send(control::ControlEvent::Status(answer))
        .ok();
    let status = status.await.map_err(|_| control_gone())?;
    Ok(Json(status).into_response())
}

fn control_gone() -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "control_gone",
        "control is not running",
    )
}

async fn drain(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
) -> Result<Response, ApiError> {
    state
        .events
        .send(control::ControlEvent::Drain)
        .map_err(|_| control_gone())?;
    state
        .record(&operator, "drain", &state.shared.settings.vm, "begun")
        .await;
    Ok(StatusCode::ACCEPTED.into_response())
}

//! The HTTP endpoints for metrics, readiness and the administration API of one VM.
//!
//! Each call under `/v1` needs an operator's bearer token. A change of the document
//! or of API keys is a conditional write to the platform's store. Each change and
//! each drain adds an entry to the audit trail in the store.

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

/// The maximum size of a request body, in bytes: a document of 1 MB, escaped in JSON.
const MAX_BODY_BYTES: usize = 2_500_000;

/// The state that the request handlers share.
#[derive(Clone)]
pub(crate) struct AdminState {
    shared: Arc<shared::ProxyShared>,
    events: control::ControlSender,
    store: Arc<client::StoreClient>,
    store_keys: control::StoreKeys,
}

/// The name of the operator whose token authenticated a call.
#[derive(Debug, Clone)]
pub(crate) struct AuthenticatedOperator(String);

/// The JSON body and the status of a failed call. After a version conflict, `winner`
/// describes the version that was written first.
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
    let readiness_shared = Arc::clone(shared);
    let readiness_check: health::ReadinessCheck =
        Arc::new(move || readiness_shared.snapshot().not_ready_reason());
    let settings = &shared.settings;
    let writer = format!("{}-admin", shared.incarnation_id());
    let state = AdminState {
        shared: Arc::clone(shared),
        events,
        store: Arc::new(client::StoreClient::new(
            &settings.store.to_string(),
            &writer,
        )),
        store_keys: control::StoreKeys::new(&settings.environment),
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
        .route("/v1/drain", post(start_drain))
        .layer(middleware::from_fn_with_state(
            state.clone(),
            authenticate_operator,
        ))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state);
    health::health_router(shared.metrics.registry.clone(), readiness_check).merge(api)
}

/// Rejects calls without a valid operator token, and passes the operator's name to
/// the handlers.
async fn authenticate_operator(
    State(state): State<AdminState>,
    mut request: Request,
    next: middleware::Next,
) -> Response {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let token = token.unwrap_or("").as_bytes();
    let token_matches =
        |operator: &&settings::OperatorAccount| operator.token.as_bytes().ct_eq(token).into();
    let operator = state.shared.settings.operators.iter().find(token_matches);
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
    let (reply, status) = oneshot::channel();
    state.events.send(control::ControlEvent::Status(reply)).ok();
    let status = status.await.map_err(|_| control_unavailable())?;
    Ok(Json(status).into_response())
}

fn control_unavailable() -> ApiError {
    ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "control_gone",
        "control is not running",
    )
}

async fn start_drain(
    State(state): State<AdminState>,
    axum::Extension(operator): axum::Extension<AuthenticatedOperator>,
) -> Result<Response, ApiError> {
    state
        .events
        .send(control::ControlEvent::Drain)
        .map_err(|_| control_unavailable())?;
    state
        .record_action(&operator, "drain", &state.shared.settings.vm, "begun")
        .await;
    Ok(StatusCode::ACCEPTED.into_response())
}

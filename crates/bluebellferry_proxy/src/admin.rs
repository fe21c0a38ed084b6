//! The administration API, metrics and readiness of one VM.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use bluebellferry_runtime::health;
use tokio::sync::oneshot;

use crate::control;
use crate::shared;

/// What the handlers share.
#[derive(Clone)]
pub(crate) struct AdminState {
    events: control::ControlSender,
}

/// Creates the router of `/metrics`, `/ready` and `/v1/...`.
pub fn admin_router(shared: &Arc<shared::ProxyShared>, events: control::ControlSender) -> Router {
    let ready = Arc::clone(shared);
    let check: health::ReadyCheck = Arc::new(move || ready.snapshot().not_ready_reason());
    let api = Router::new()
        .route("/v1/status", get(read_status))
        .with_state(AdminState { events });
    health::health_router(shared.metrics.registry.clone(), check).merge(api)
}

async fn read_status(State(state): State<AdminState>) -> Response {
    let (answer, status) = oneshot::channel();
    state
        .events
        .send(control::ControlEvent::Status(answer))
        .ok();
    match status.await {
        Ok(status) => Json(status).into_response(),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "control is not running").into_response(),
    }
}

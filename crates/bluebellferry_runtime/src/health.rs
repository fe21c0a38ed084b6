//! The HTTP routes `/metrics` and `/ready`.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use prometheus::Encoder;

/// Says why a process is not ready, or `None` when it is.
pub type ReadinessCheck = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Creates the router with `/metrics` of the registry and `/ready`.
///
/// `/ready` answers 200 or 503 with the reason in words.
pub fn health_router(registry: prometheus::Registry, ready: ReadinessCheck) -> Router {
    Router::new()
        .route("/metrics", get(move || render_metrics(registry.clone())))
        .route("/ready", get(move || render_ready(ready.clone())))
}

async fn render_metrics(registry: prometheus::Registry) -> (StatusCode, Vec<u8>) {
    let mut text = Vec::new();
    match prometheus::TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => (StatusCode::OK, text),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            error.to_string().into_bytes(),
        ),
    }
}

async fn render_ready(ready: ReadinessCheck) -> (StatusCode, String) {
    ready().map_or_else(
        || (StatusCode::OK, "ready\n".to_owned()),
        |reason| {
            (
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not ready: {reason}\n"),
            )
        },
    )
}

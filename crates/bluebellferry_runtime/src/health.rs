//! HTTP routes for metrics (`/metrics`) and readiness (`/ready`).

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use prometheus::Encoder;

/// Returns the reason why the process is not ready, or `None` if it is ready.
pub type ReadinessCheck = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Creates a router that serves the metrics of `registry` at `/metrics` and the result of
/// `readiness` at `/ready`.
///
/// `/ready` answers with status 200, or with status 503 and the reason as text.
pub fn health_router(registry: prometheus::Registry, readiness: ReadinessCheck) -> Router {
    Router::new()
        .route("/metrics", get(move || render_metrics(registry.clone())))
        .route("/ready", get(move || render_readiness(readiness.clone())))
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

async fn render_readiness(readiness: ReadinessCheck) -> (StatusCode, String) {
    readiness().map_or_else(
        || (StatusCode::OK, "ready\n".to_owned()),
        |reason| {
            (
                StatusCode::SERVICE_UNAVAILABLE,
                format!("not ready: {reason}\n"),
            )
        },
    )
}

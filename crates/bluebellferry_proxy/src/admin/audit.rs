//! The audit trail: one object for each change, in the platform's store.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::extract::State;
use serde::Deserialize;
use serde::Serialize;

use super::AdminState;
use super::ApiError;
use super::AuthenticatedOperator;

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When, in milliseconds since 1970.
    pub unix_ms: u64,
    /// Who.
    pub operator: String,
    /// What was done.
    pub action: String,
    /// To what.
    pub subject: String,
    /// What came of it.
    pub outcome: String,
}

impl AdminState {
    /// Records a change. A store that does not answer is logged; the change
    /// itself stands, and its object names its operator too.
    pub(super) async fn record(
        &self,
        operator: &AuthenticatedOperator,
        action: &str,
        subject: &str,
        outcome: &str,
    ) {
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let entry = AuditEntry {
            unix_ms: time.as_millis() as u64,
            operator: operator.0.clone(),
            action: action.to_owned(),
            subject: subject.to_owned(),
            outcome: outcome.to_owned(),
        };
        log::info!(operator = entry.operator.as_str(), action = action, subject = subject; "{outcome}");
        let name = format!("{:020}-{}", time.as_micros(), self.shared.settings.vm);
        let value = serde_json::json!(entry);
        if let Err(error) = self.store.put(&self.keys.audit(&name), 0, value).await {
            log::error!("the audit trail could not be written: {error}");
        }
    }
}

pub(super) async fn read_history(
    State(state): State<AdminState>,
) -> Result<Json<Vec<AuditEntry>>, ApiError> {
    let listed = state.store.list(&state.keys.audit("")).await?;
    let parse = |value| serde_json::from_value(value).ok();
    Ok(Json(
        listed
            .objects
            .into_iter()
            .filter_map(|object| parse(object.value))
            .collect(),
    ))
}

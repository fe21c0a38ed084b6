//! The audit trail: one object in the platform's store for each operator action.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::extract::State;
use serde::Deserialize;
use serde::Serialize;

use super::AdminState;
use super::ApiError;
use super::AuthenticatedOperator;

/// An entry of the audit trail.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When the action was taken, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The name of the operator.
    pub operator: String,
    /// The action, such as `drain`.
    pub action: String,
    /// The VM, workspace or document version that the action applied to.
    pub subject: String,
    /// The result, such as the hash of the new document.
    pub outcome: String,
}

impl AdminState {
    /// Adds an entry to the audit trail. If the store cannot be written, the failure is
    /// only logged, since the change itself has taken effect. The operator of a new
    /// document can still be read from the document's store object.
    pub(super) async fn record_action(
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
        let entry_name = format!("{:020}-{}", time.as_micros(), self.shared.settings.vm);
        let value = serde_json::json!(entry);
        if let Err(error) = self
            .store
            .put(&self.store_keys.audit_key(&entry_name), 0, value)
            .await
        {
            log::error!("writing an entry of the audit trail failed: {error}");
        }
    }
}

pub(super) async fn read_history(
    State(state): State<AdminState>,
) -> Result<Json<Vec<AuditEntry>>, ApiError> {
    let listed = state.store.list(&state.store_keys.audit_key("")).await?;
    let parse = |value| serde_json::from_value(value).ok();
    Ok(Json(
        listed
            .objects
            .into_iter()
            .filter_map(|object| parse(object.value))
            .collect(),
    ))
}

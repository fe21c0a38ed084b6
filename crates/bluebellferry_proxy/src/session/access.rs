//! Decides who may log in, and whether a session may go on under newer keys and documents.
//!
//! The key and the workspace's service are separate questions: each has its own answer, so that a
//! refusal names what was taken away.

use std::sync::Arc;

use bluebellferry_keys::digest;
use bluebellferry_runtime::guard;
use bluebellferry_types::name;
use bluebellferry_types::refusal;
use tokio::sync::watch;

use crate::shared;
use crate::snapshot;

/// The shortest API key accepted, in bytes. Requests that contain the key are
/// rejected, and a shorter key could occur in ordinary statements by chance.
const MIN_KEY_BYTES: usize = 8;

/// The workspace, service and API key that a session was authenticated with.
#[derive(Debug, Clone)]
pub struct SessionIdentity {
    /// The workspace of the API key, or the keyless workspace given as user name.
    pub workspace: name::WorkspaceName,
    /// The service whose databases the session uses.
    pub service: name::ServiceName,
    /// The digest of the API key; `None` in a keyless workspace.
    pub digest: Option<digest::KeyDigest>,
    /// The API key itself, so that requests containing it can be rejected before they
    /// reach a database; empty in a keyless workspace.
    pub key: Vec<u8>,
}

/// Returns the workspace of a key, and the key's digest.
///
/// # Errors
/// Returns a refusal if the key is not valid.
pub fn find_workspace(
    snapshot: &snapshot::ControlSnapshot,
    key: &str,
) -> Result<(name::WorkspaceName, digest::KeyDigest), refusal::RequestRefusal> {
    let digest = digest::KeyDigest::compute(key);
    let owner = snapshot
        .keys
        .find_owner(&digest)
        .filter(|_| key.len() >= MIN_KEY_BYTES);
    let owner = owner
        .cloned()
        .ok_or_else(|| refuse(refusal::RefusalReason::KeyRefused, "the key is not valid"))?;
    Ok((owner, digest))
}

/// Returns the service of a workspace that has a database name.
///
/// # Errors
/// Returns a refusal if the workspace may not use a service of this name.
pub fn find_service(
    snapshot: &snapshot::ControlSnapshot,
    workspace: &name::WorkspaceName,
    database: &str,
) -> Result<name::ServiceName, refusal::RequestRefusal> {
    let spec = snapshot.workspace_spec(workspace);
    let mut services = spec.into_iter().flat_map(|spec| &spec.services);
    let service = services.find(|service| service.as_str() == database);
    service.cloned().ok_or_else(|| {
        let text = format!("the workspace {workspace} may not use the service '{database}'");
        refuse(refusal::RefusalReason::ServiceForbidden, &text)
    })
}

impl SessionIdentity {
    /// Checks that the session may go on: its key still names its workspace, or the workspace is
    /// still keyless, and the workspace may still use the service.
    ///
    /// # Errors
    /// Returns a refusal that names what was taken away, the key first.
    pub fn confirm(
        &self,
        snapshot: &snapshot::ControlSnapshot,
    ) -> Result<(), refusal::RequestRefusal> {
        let is_key_valid = match &self.digest {
            Some(digest) => snapshot.keys.is_valid(&self.workspace, digest),
            None => {
                let spec = snapshot.workspace_spec(&self.workspace);
                spec.is_some_and(|spec| spec.is_keyless)
            }
        };
        if !is_key_valid {
            let text = "the key of this session has been withdrawn";
            return Err(refuse(refusal::RefusalReason::KeyWithdrawn, text));
        }
        find_service(snapshot, &self.workspace, self.service.as_str()).map(drop)
    }
}

/// Watches whether a session may go on, while a request of it waits.
#[derive(Debug, Clone)]
pub struct AccessWatch {
    /// The state of the VM.
    pub shared: Arc<shared::ProxyShared>,
    /// What the session was authenticated with.
    pub identity: Arc<SessionIdentity>,
    /// Notified when the answer may have changed.
    pub wakeups: watch::Receiver<u64>,
}

impl AccessWatch {
    /// Checks that the session may go on.
    ///
    /// # Errors
    /// Returns the refusal of [`SessionIdentity::confirm`].
    pub fn confirm(&self) -> Result<(), refusal::RequestRefusal> {
        self.identity.confirm(&self.shared.snapshot())
    }

    /// Waits for `wait`, at most as long as the session may go on.
    ///
    /// # Errors
    /// Returns the refusal of [`SessionIdentity::confirm`] as soon as it is known. Then `wait` is
    /// dropped.
    pub async fn confirm_during<T>(
        &self,
        wait: impl Future<Output = T>,
    ) -> Result<T, refusal::RequestRefusal> {
        let confirm = || self.confirm();
        guard::wait_while_confirmed(|| self.wakeups.clone(), confirm, wait).await
    }
}

fn refuse(reason: refusal::RefusalReason, text: &str) -> refusal::RequestRefusal {
    refusal::RequestRefusal::not_run(reason, text)
}

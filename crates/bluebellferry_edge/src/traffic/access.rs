//! Decides for whom an operation runs, and whether it may go on under a newer configuration.
//!
//! The route of an operation is that of the version under which it began. The key belongs to the
//! newest version: each further statement asks again whether it still names the same workspace.

use std::sync::Arc;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::homes;
use bluebellferry_keys::digest;
use bluebellferry_runtime::guard;
use bluebellferry_types::name;
use bluebellferry_types::refusal;

use crate::shared;

/// The workspace name sent to databases for callers of public routes without a known key.
const PUBLIC_WORKSPACE: &str = "public";

/// The route and key with which a caller connected.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    /// The route: the database name in the caller's startup message.
    pub route: String,
    /// The digest of the caller's key.
    pub key: digest::KeyDigest,
}

/// The workspace for which an operation runs, and what it rests on.
#[derive(Debug, Clone)]
pub struct WorkspaceClaim {
    /// The route and key of the caller.
    pub identity: Arc<CallerIdentity>,
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// Whether the key names the workspace. Otherwise a public route admits callers without a
    /// known key.
    pub is_by_key: bool,
}

/// What a version of the configuration grants an operation that begins under it.
#[derive(Debug, Clone)]
pub struct AccessGrant {
    /// The route's policy.
    pub policy: configuration::RoutePolicy,
    /// The workspace for which the operation runs.
    pub claim: WorkspaceClaim,
    /// The regions that the operation must not leave.
    pub homes: homes::HomeRegions,
}

impl AccessGrant {
    /// Decides whether a caller may begin an operation, and for which workspace.
    ///
    /// # Errors
    /// Returns a refusal if the route or the key is unknown, or if there is no configuration yet.
    pub fn for_new_operation(
        configuration: &configuration::Configuration,
        identity: &Arc<CallerIdentity>,
    ) -> Result<Self, refusal::RequestRefusal> {
        use refusal::RefusalReason as Reason;
        let refuse = |reason, text: &str| Err(refusal::RequestRefusal::not_run(reason, text));
        if configuration.version == 0 {
            return refuse(Reason::NotReady, "this VM has no configuration yet");
        }
        let Some(policy) = configuration.find_route(&identity.route) else {
            return refuse(Reason::UnknownRoute, "no route has this database name");
        };
        let owner = configuration.find_workspace(&identity.key);
        let is_by_key = owner.is_some();
        let public = || name::WorkspaceName::try_from(PUBLIC_WORKSPACE).ok();
        let workspace = owner
            .cloned()
            .or_else(|| public().filter(|_| policy.is_public));
        let Some(workspace) = workspace else {
            return refuse(Reason::KeyRefused, "the key is not known");
        };
        let workspace_policy = configuration.workspaces.get(&workspace);
        let homes = workspace_policy.map_or_else(
            || policy.homes.clone(),
            |workspace_policy| policy.homes.intersect(&workspace_policy.homes),
        );
        Ok(Self {
            policy: policy.clone(),
            claim: WorkspaceClaim {
                identity: Arc::clone(identity),
                workspace,
                is_by_key,
            },
            homes,
        })
    }
}

impl WorkspaceClaim {
    /// Checks that the caller's key still names the workspace. The route is not looked at: an
    /// operation goes on although its route has changed or is gone.
    ///
    /// # Errors
    /// Returns a refusal if the key is not known any more, or names another workspace. It refuses the
    /// key only if that is unknown and the newest route needs one; otherwise it says that nothing of
    /// the operation is kept, and the caller may try again.
    pub fn confirm(
        &self,
        configuration: &configuration::Configuration,
    ) -> Result<(), refusal::RequestRefusal> {
        let owner = configuration.find_workspace(&self.identity.key);
        if !self.is_by_key || owner == Some(&self.workspace) {
            return Ok(());
        }
        let route = configuration.find_route(&self.identity.route);
        let needs_key = route.is_none_or(|route| !route.is_public);
        if owner.is_none() && needs_key {
            let reason = refusal::RefusalReason::KeyRefused;
            let text = "the key was withdrawn";
            return Err(refusal::RequestRefusal::not_run(reason, text));
        }
        let reason = refusal::RefusalReason::TransactionAborted;
        let text = "the key no longer names the workspace for which this began";
        Err(refusal::RequestRefusal::not_run(reason, text))
    }

    /// Waits for `wait`, at most as long as the claim holds.
    ///
    /// # Errors
    /// Returns the refusal of [`Self::confirm`] as soon as a snapshot comes that does not confirm the
    /// claim. Then `wait` is dropped.
    pub async fn confirm_during<T>(
        &self,
        shared: &shared::EdgeShared,
        wait: impl Future<Output = T>,
    ) -> Result<T, refusal::RequestRefusal> {
        let confirm = || self.confirm(&shared.snapshot().configuration);
        guard::wait_while_confirmed(|| shared.subscribe_to_snapshots(), confirm, wait).await
    }
}

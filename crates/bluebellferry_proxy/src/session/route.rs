//! Choice of the database for a request, and borrowing of a connection to it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_document::model;
use bluebellferry_routing::choice;
use bluebellferry_types::name;
use bluebellferry_types::refusal;

use super::CallerSession;
use super::plan;
use super::request;
use crate::metrics;
use crate::pool;
use crate::snapshot;

/// The kind of read that applies to read-only transactions without a hint, if the
/// configuration document declares it for the service.
const READ_ONLY_READ_KIND: &str = "read_only";
/// The interval at which a waiting request chooses a database again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time a request waits for a primary while no replacement is expected.
const MAX_UNEXPLAINED_PRIMARY_WAIT: Duration = Duration::from_millis(1_500);
/// The retry delay suggested to a caller while no database can serve the request, or
/// the databases of the service or the session's floor are not known.
const SUGGESTED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The role of the database chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChosenRoute {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

impl ChosenRoute {
    /// Returns the route under which the metrics count the request.
    pub(super) fn metrics_route(self) -> metrics::RequestRoute {
        match self {
            Self::Primary => metrics::RequestRoute::Primary,
            Self::Replica => metrics::RequestRoute::Replica,
        }
    }
}

impl CallerSession {
    /// Borrows a connection for a request of a session that holds none. Tries again
    /// until the deadline when a database cannot be reached.
    pub(super) async fn borrow_connection(
        &mut self,
        plan: &plan::RequestPlan,
        deadline: Instant,
        is_primary_only: bool,
    ) -> Result<(ChosenRoute, pool::PooledConnection), request::RequestFailure> {
        let read_spec = if is_primary_only {
            None
        } else {
            self.allowed_read_spec(plan)?
        };
        self.ensure_floor(plan, deadline).await?;
        loop {
            let (route, pool) = self.choose_database(read_spec, deadline).await?;
            let snapshot = self.shared.snapshot();
            let weight = snapshot
                .workspace_spec(&self.identity.workspace)
                .map_or(1, |spec| spec.weight);
            let workspace = &self.identity.workspace;
            let request = pool::PoolRequest {
                workspace,
                weight,
                deadline,
            };
            let refusal = match pool.acquire(request).await {
                Ok(mut connection) => {
                    if self.apply_settings(&mut connection, route).await.is_ok() {
                        return Ok((route, connection));
                    }
                    connection.discard();
                    let text = "the database closed a new connection";
                    refusal::RequestRefusal::not_run(refusal::RefusalReason::DatabaseLost, text)
                }
                Err(refusal) => refusal,
            };
            // No part of the request has been sent, so trying again is safe.
            let is_database_lost = refusal.reason == refusal::RefusalReason::DatabaseLost;
            if !is_database_lost || Instant::now() + RECHECK_INTERVAL >= deadline {
                return Err(refusal.into());
            }
            self.shared
                .metrics
                .count_retry(metrics::RetryReason::ConnectFailed);
            tokio::time::sleep(RECHECK_INTERVAL * 4).await;
        }
    }

    /// Returns the strictest limits of the request's kinds of read, or `None` if the
    /// request needs the primary.
    ///
    /// # Errors
    /// Refuses a kind of read that the service does not declare.
    fn allowed_read_spec(
        &self,
        plan: &plan::RequestPlan,
    ) -> Result<Option<model::ReadKindSpec>, refusal::RequestRefusal> {
        let snapshot = self.shared.snapshot();
        let Some(service) = snapshot.service_spec(&self.identity.service) else {
            return Ok(None);
        };
        let mut allowed: Option<model::ReadKindSpec> = None;
        for read_kind in &plan.read_kinds {
            let read_spec = match read_kind {
                Some(kind) => Some(
                    service
                        .read_kinds
                        .get(kind)
                        .ok_or_else(|| unknown_read_kind_refusal(service, kind))?,
                ),
                None if plan.begins_read_only => service.read_kinds.get(READ_ONLY_READ_KIND),
                None => None,
            };
            let Some(read_spec) = read_spec else {
                return Ok(None);
            };
            allowed = Some(allowed.map_or(*read_spec, |allowed| model::ReadKindSpec {
                max_age: allowed.max_age.min(read_spec.max_age),
                max_wait: allowed.max_wait.min(read_spec.max_wait),
            }));
        }
        Ok(allowed)
    }

    /// Ensures that the session has a floor. Requests to the primary need one too: if
    /// the primary was replaced and this VM does not know it yet, the floor's term is
    /// higher than that of the old primary.
    async fn ensure_floor(
        &mut self,
        plan: &plan::RequestPlan,
        deadline: Instant,
    ) -> Result<(), refusal::RequestRefusal> {
        self.floor = self.floor.max(plan.min_position);
        if self.floor.is_some() {
            return Ok(());
        }
        let prefetched = self.prefetched_floor.take();
        if let Some(prefetched) = prefetched {
            let floor = tokio::time::timeout_at(deadline.into(), prefetched).await;
            self.floor = floor.ok().and_then(Result::ok).flatten();
        }
        if self.floor.is_none() {
            let floor_probes = &self.shared.floor_probes;
            self.floor = floor_probes
                .fetch_floor(&self.shared, &self.identity.service, deadline)
                .await;
        }
        if self.floor.is_none() {
            let text = "the latest confirmed change could not be learnt; bring a position to read";
            let reason = refusal::RefusalReason::FloorUnknown;
            let refusal = refusal::RequestRefusal::not_run(reason, text);
            return Err(refusal.retry_after(SUGGESTED_RETRY_DELAY));
        }
        Ok(())
    }

    /// Waits until a database can serve the request. A read without a suitable
    /// replica goes to the primary.
    async fn choose_database(
        &self,
        read_spec: Option<model::ReadKindSpec>,
        deadline: Instant,
    ) -> Result<(ChosenRoute, Arc<pool::DatabasePool>), refusal::RequestRefusal> {
        let started = Instant::now();
        let floor = self.floor.unwrap_or_default();
        loop {
            let now = Instant::now();
            let snapshot = self.shared.snapshot();
            let service = snapshot.services.get(&self.identity.service);
            let service =
                service.ok_or_else(|| unknown_databases_refusal(&self.identity.service))?;
            if let Some(read_spec) = read_spec {
                match self.choose_replica(service, read_spec, now) {
                    choice::ReplicaChoice::Replica(index) => {
                        return Ok((ChosenRoute::Replica, Arc::clone(&service.pools[index])));
                    }
                    choice::ReplicaChoice::WaitFor(_)
                        if now - started < read_spec.max_wait && now < deadline =>
                    {
                        service.probe_trigger.notify_waiters();
                        tokio::time::sleep(RECHECK_INTERVAL).await;
                        continue;
                    }
                    _ => {}
                }
            }
            if let Some(index) = service.view.primary_for_new_requests(floor.term, now) {
                if read_spec.is_some() {
                    self.shared
                        .metrics
                        .count_fallback(self.identity.service.as_str());
                }
                return Ok((ChosenRoute::Primary, Arc::clone(&service.pools[index])));
            }
            let is_replacement_expected = service.is_replacement_expected;
            let is_wait_exhausted =
                !is_replacement_expected && now - started > MAX_UNEXPLAINED_PRIMARY_WAIT;
            if is_wait_exhausted || now + RECHECK_INTERVAL >= deadline {
                return Err(no_primary_refusal(
                    read_spec.is_some(),
                    is_replacement_expected,
                ));
            }
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    fn choose_replica(
        &self,
        service: &snapshot::ServiceSnapshot,
        read_spec: model::ReadKindSpec,
        now: Instant,
    ) -> choice::ReplicaChoice {
        let requirement = choice::ReplicaRequirement {
            floor: self.floor.unwrap_or_default(),
            max_age: read_spec.max_age,
            max_wait: read_spec.max_wait,
        };
        let local_data_centre = &self.shared.settings.place.data_centre;
        let in_flight = |index: usize| service.pools[index].request_count();
        choice::choose_replica(
            &service.view,
            requirement,
            local_data_centre,
            in_flight,
            now,
        )
    }
}

fn unknown_read_kind_refusal(
    service: &model::ServiceSpec,
    kind: &name::ReadKind,
) -> refusal::RequestRefusal {
    let declared: Vec<&str> = service
        .read_kinds
        .keys()
        .map(name::ReadKind::as_str)
        .collect();
    let text = format!(
        "the kind of read '{kind}' is not declared; known: {}",
        declared.join(", ")
    );
    refusal::RequestRefusal::not_run(refusal::RefusalReason::UnknownReadKind, text)
}

fn unknown_databases_refusal(service: &name::ServiceName) -> refusal::RequestRefusal {
    let text = format!("the databases of {service} are not known yet");
    let refusal = refusal::RequestRefusal::not_run(refusal::RefusalReason::NotReady, text);
    refusal.retry_after(SUGGESTED_RETRY_DELAY)
}

fn no_primary_refusal(is_read: bool, is_replacement_expected: bool) -> refusal::RequestRefusal {
    let reason = if is_read {
        refusal::RefusalReason::PositionUnreachable
    } else {
        refusal::RefusalReason::NoPrimary
    };
    let text = match (is_read, is_replacement_expected) {
        (true, _) => "no reachable database holds this session's changes within the allowed age",
        (false, true) => "the primary is being replaced",
        (false, false) => "no primary can be reached from this data centre",
    };
    refusal::RequestRefusal::not_run(reason, text).retry_after(SUGGESTED_RETRY_DELAY)
}

//! Choosing the database for a request and borrowing a connection to it.

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

/// The kind of read of read-only transactions that name none, if declared.
const READ_ONLY_KIND: &str = "read_only";
/// How often a waiting request looks at the databases anew.
const RECHECK: Duration = Duration::from_millis(5);
/// For how long a missing primary is waited for although no promotion is known
/// to be possible.
const UNEXPLAINED_GAP: Duration = Duration::from_millis(1_500);
/// When to come back while a primary is being replaced.
const PROMOTION_RETRY: Duration = Duration::from_millis(500);

/// The database that was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChosenRoute {
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

impl ChosenRoute {
    /// Returns the route under which the request is counted.
    pub(super) fn counted(self) -> metrics::RequestRoute {
        match self {
            Self::Primary => metrics::RequestRoute::Primary,
            Self::Replica => metrics::RequestRoute::Replica,
        }
    }
}

impl CallerSession {
    /// Borrows a connection for a request that holds none yet.
    pub(super) async fn borrow_connection(
        &mut self,
        plan: &plan::RequestPlan,
        deadline: Instant,
        primary_only: bool,
    ) -> Result<(ChosenRoute, pool::PooledConnection), request::RequestFailure> {
        let read = if primary_only {
            None
        } else {
            self.allowed_read(plan)?
        };
        self.ensure_floor(plan, deadline).await?;
        loop {
            let (route, pool) = self.choose_database(read, deadline).await?;
            let snapshot = self.shared.snapshot();
            let weight = snapshot
                .workspace(&self.identity.workspace)
                .map_or(1, |plan| plan.weight);
            let workspace = &self.identity.workspace;
            let asked = pool::PoolRequest {
                workspace,
                weight,
                deadline,
            };
            let refused = match pool.acquire(asked).await {
                Ok(mut connection) => {
                    if self.apply_carried(&mut connection, route).await.is_ok() {
                        return Ok((route, connection));
                    }
                    connection.discard();
                    let text = "the database closed a new connection";
                    refusal::RequestRefusal::not_run(refusal::RefusalReason::DatabaseLost, text)
                }
                Err(refused) => refused,
            };
            // Nothing has been sent, so trying again is safe until the deadline.
            let lost = refused.reason == refusal::RefusalReason::DatabaseLost;
            if !lost || Instant::now() + RECHECK >= deadline {
                return Err(refused.into());
            }
            self.shared
                .metrics
                .count_retry(metrics::RetryReason::ConnectFailed);
            tokio::time::sleep(RECHECK * 4).await;
        }
    }

    /// Returns what every statement of the request allows, or `None` if one of
    /// them needs the primary.
    fn allowed_read(
        &self,
        plan: &plan::RequestPlan,
    ) -> Result<Option<model::ReadPlan>, refusal::RequestRefusal> {
        let snapshot = self.shared.snapshot();
        let Some(service) = snapshot.service_plan(&self.identity.service) else {
            return Ok(None);
        };
        let mut allowed: Option<model::ReadPlan> = None;
        for read in &plan.reads {
            let found = match read {
                Some(kind) => Some(
                    service
                        .reads
                        .get(kind)
                        .ok_or_else(|| unknown_kind(service, kind))?,
                ),
                None if plan.begins_read_only => service.reads.get(READ_ONLY_KIND),
                None => None,
            };
            let Some(found) = found else {
                return Ok(None);
            };
            allowed = Some(allowed.map_or(*found, |allowed| model::ReadPlan {
                max_age: allowed.max_age.min(found.max_age),
                wait: allowed.wait.min(found.wait),
            }));
        }
        Ok(allowed)
    }

    /// Makes sure that the session knows what it must at least see. That holds
    /// for the primary too: this VM may not know yet that it was replaced.
    async fn ensure_floor(
        &mut self,
        plan: &plan::RequestPlan,
        deadline: Instant,
    ) -> Result<(), refusal::RequestRefusal> {
        self.floor = self.floor.max(plan.position);
        if self.floor.is_some() {
            return Ok(());
        }
        let early = self.early_floor.take();
        if let Some(early) = early {
            let asked = tokio::time::timeout_at(deadline.into(), early).await;
            self.floor = asked.ok().and_then(Result::ok).flatten();
        }
        if self.floor.is_none() {
            let floors = &self.shared.floors;
            self.floor = floors
                .ask(&self.shared, &self.identity.service, deadline)
                .await;
        }
        if self.floor.is_none() {
            let text = "the latest confirmed change could not be learnt; bring a position to read";
            let reason = refusal::RefusalReason::FloorUnknown;
            let refused = refusal::RequestRefusal::not_run(reason, text);
            return Err(refused.retry_after(PROMOTION_RETRY));
        }
        Ok(())
    }

    async fn choose_database(
        &self,
        read: Option<model::ReadPlan>,
        deadline: Instant,
    ) -> Result<(ChosenRoute, Arc<pool::DatabasePool>), refusal::RequestRefusal> {
        let started = Instant::now();
        let floor = self.floor.unwrap_or_default();
        loop {
            let now = Instant::now();
            let snapshot = self.shared.snapshot();
            let service = snapshot.services.get(&self.identity.service);
            let service = service.ok_or_else(|| unknown_databases(&self.identity.service))?;
            if let Some(read) = read {
                match self.choose_replica(service, read, now) {
                    choice::ReplicaChoice::Replica(index) => {
                        return Ok((ChosenRoute::Replica, Arc::clone(&service.pools[index])));
                    }
                    choice::ReplicaChoice::WaitFor(_)
                        if now - started < read.wait && now < deadline =>
                    {
                        service.probe_trigger.notify_waiters();
                        tokio::time::sleep(RECHECK).await;
                        continue;
                    }
                    _ => {}
                }
            }
            if let Some(index) = service.view.primary_for_new_work(floor.term, now) {
                if read.is_some() {
                    self.shared
                        .metrics
                        .count_fallback(self.identity.service.as_str());
                }
                return Ok((ChosenRoute::Primary, Arc::clone(&service.pools[index])));
            }
            let explained = service.is_replacement_expected;
            let hopeless = !explained && now - started > UNEXPLAINED_GAP;
            if hopeless || now + RECHECK >= deadline {
                return Err(no_primary(read.is_some(), explained));
            }
            tokio::time::sleep(RECHECK).await;
        }
    }

    fn choose_replica(
        &self,
        service: &snapshot::ServiceSnapshot,
        read: model::ReadPlan,
        now: Instant,
    ) -> choice::ReplicaChoice {
        let demand = choice::ReadDemand {
            floor: self.floor.unwrap_or_default(),
            max_age: read.max_age,
            max_wait: read.wait,
        };
        let local = &self.shared.settings.place.data_centre;
        let in_flight = |index: usize| service.pools[index].load();
        choice::choose_replica(&service.view, demand, local, in_flight, now)
    }
}

fn unknown_kind(service: &model::ServicePlan, kind: &name::ReadKind) -> refusal::RequestRefusal {
    let known: Vec<&str> = service.reads.keys().map(name::ReadKind::as_str).collect();
    let text = format!(
        "the kind of read '{kind}' is not declared; known: {}",
        known.join(", ")
    );
    refusal::RequestRefusal::not_run(refusal::RefusalReason::UnknownReadKind, text)
}

fn unknown_databases(service: &name::ServiceName) -> refusal::RequestRefusal {
    let text = format!("the databases of {service} are not known yet");
    let refused = refusal::RequestRefusal::not_run(refusal::RefusalReason::NotReady, text);
    refused.retry_after(PROMOTION_RETRY)
}

fn no_primary(is_read: bool, promotion: bool) -> refusal::RequestRefusal {
    let reason = if is_read {
        refusal::RefusalReason::PositionUnreachable
    } else {
        refusal::RefusalReason::NoPrimary
    };
    let text = match (is_read, promotion) {
        (true, _) => "no reachable database holds this session's changes within the allowed age",
        (false, true) => "the primary is being replaced",
        (false, false) => "no primary can be reached from this data centre",
    };
    refusal::RequestRefusal::not_run(reason, text).retry_after(PROMOTION_RETRY)
}

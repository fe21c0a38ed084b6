//! The services' databases: what probes find, and the promotions that follow.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::event;
use bluebellferry_promotion::promoter;
use bluebellferry_routing::choice;
use bluebellferry_store::client;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use super::ControlEvent;
use super::ControlState;
use super::objects;
use super::probe;
use super::status;
use crate::pool;
use crate::snapshot;

/// How long a fence may take, connecting included.
const FENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a promotion of one database may take.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The most finished promotions that are kept for `explain`.
const KEPT_REPORTS: usize = 20;

/// A service's claimed term as a store object's value.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct TermObjectWire {
    term: u64,
    claimant: String,
    primary: Option<String>,
}

/// One service's databases and promoter.
pub(super) struct ServiceControl {
    pub(super) databases: Vec<objects::GroupDatabase>,
    pub(super) group: u64,
    pub(super) view: choice::ServiceView,
    pub(super) pools: Vec<Arc<pool::DatabasePool>>,
    pub(super) probe_trigger: Arc<Notify>,
    pub(super) parameters: Arc<Vec<snapshot::ServerParameter>>,
    pub(super) promoter: promoter::ServicePromoter,
    pub(super) reports: Vec<status::PromotionReport>,
    primary_term: u64,
    gap_started: Option<Instant>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for ServiceControl {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl ControlState {
    /// Starts to look after a service's databases, or after a changed list.
    pub(super) fn replace_group(
        &mut self,
        service: &name::ServiceName,
        databases: Vec<objects::GroupDatabase>,
    ) {
        let known = self.services.get(service);
        if known.is_some_and(|known| known.databases == databases) {
            return;
        }
        let group = known.map_or(1, |known| known.group + 1);
        let account = &self.shared.settings.database_account;
        let open_pool = |database: &objects::GroupDatabase| {
            pool::DatabasePool::new(database.address, service.clone(), account.clone())
        };
        let claimant = self.shared.incarnation_id();
        let settings = promoter::PromoterSettings::new(&claimant, databases.len());
        let probe_trigger = Arc::new(Notify::new());
        let control = ServiceControl {
            group,
            view: choice::ServiceView {
                databases: databases.iter().map(unseen_database).collect(),
                ..choice::ServiceView::default()
            },
            pools: databases.iter().map(open_pool).collect(),
            parameters: Arc::default(),
            promoter: promoter::ServicePromoter::new(settings, Instant::now()),
            reports: Vec::new(),
            primary_term: 0,
            gap_started: None,
            tasks: self.start_probes(service, group, &databases, &probe_trigger),
            probe_trigger,
            databases,
        };
        self.services.insert(service.clone(), control);
    }

    fn start_probes(
        &self,
        service: &name::ServiceName,
        group: u64,
        databases: &[objects::GroupDatabase],
        probe_trigger: &Arc<Notify>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let start = |(member, database): (usize, &objects::GroupDatabase)| {
            let address = database.address;
            let target = probe::ProbeTarget {
                service: service.clone(),
                group,
                member,
                address,
            };
            let (shared, soon) = (Arc::clone(&self.shared), Arc::clone(probe_trigger));
            tokio::spawn(probe::probe_database(
                shared,
                target,
                soon,
                self.events.clone(),
            ))
        };
        databases.iter().enumerate().map(start).collect()
    }

    pub(super) fn take_probe(&mut self, report: probe::ProbeReport) {
        let now = Instant::now();
        let Some(control) = self.services.get_mut(&report.service) else {
            return;
        };
        if control.group != report.group {
            return;
        }
        self.dirty = true;
        if let Some(parameters) = report.parameters {
            control.parameters = Arc::new(parameters);
        }
        let event = match &report.found {
            Some(found) => {
                control.record_found(report.member, report.asked, found);
                let asked = report.asked;
                let status = found.status;
                event::PromotionEvent::ProbeAnswered {
                    member: report.member,
                    sent_at: asked,
                    status,
                }
            }
            None => event::PromotionEvent::ProbeFailed {
                member: report.member,
            },
        };
        control.follow_primary(now);
        self.take_promotion(&report.service, event);
    }

    pub(super) fn tick_promotions(&mut self, now: Instant) {
        let services: Vec<name::ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            let rank = self.promotion_rank(&service, now);
            self.take_promotion(&service, event::PromotionEvent::Tick { rank });
        }
    }

    /// The order in which VMs try to promote: a rendezvous hash of service and
    /// VM, so that each service has another first VM.
    fn promotion_rank(&self, service: &name::ServiceName, now: Instant) -> usize {
        self.roster.own_rank(now, |place| {
            let text = format!("{service}\0{}\0{}", place.data_centre, place.ordinal);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        })
    }

    pub(super) fn take_promotion(
        &mut self,
        service: &name::ServiceName,
        event: event::PromotionEvent,
    ) {
        let now = Instant::now();
        let Some(control) = self.services.get_mut(service) else {
            return;
        };
        let before = control.promoter.step();
        let actions = control.promoter.handle(now, event);
        let after = control.promoter.step();
        if before != after {
            let step = format!("{after:?}").to_lowercase();
            let term = control.promoter.term();
            self.shared
                .metrics
                .count_promotion_step(service.as_str(), &step);
            log::info!(service = service.as_str(), step = step.as_str(), term = term; "promotion");
            self.dirty = true;
        }
        for action in actions {
            self.run_action(service, action);
        }
    }

    fn run_action(&self, service: &name::ServiceName, action: event::PromotionAction) {
        match action {
            event::PromotionAction::Claim { term } => self.claim_term(service, term),
            event::PromotionAction::Fence { member, term } => {
                self.fence_member(service, member, term);
            }
            event::PromotionAction::Promote { member, term } => {
                self.promote_member(service, member, term);
            }
            event::PromotionAction::Publish { member, term } => {
                self.publish_primary(service, member, term);
            }
        }
    }

    fn claim_term(&self, service: &name::ServiceName, term: u64) {
        let (store, events, service) = (
            Arc::clone(&self.store),
            self.events.clone(),
            service.clone(),
        );
        let key = self.keys.term(service.as_str());
        let claimant = self.shared.incarnation_id();
        tokio::spawn(async move {
            let outcome = claim_in_store(&store, &key, term, claimant).await;
            let event = event::PromotionEvent::ClaimAnswered { term, outcome };
            events.send(ControlEvent::Promotion { service, event }).ok();
        });
    }

    fn fence_member(&self, service: &name::ServiceName, member: usize, term: u64) {
        let sql = format!(
            "SELECT * FROM bluebellferry_fence({term}, '{}')",
            self.shared.incarnation_id()
        );
        self.run_control_call(service, member, sql, FENCE_TIMEOUT, move |found| {
            let status = found.map(|found| found.status);
            event::PromotionEvent::FenceAnswered {
                member,
                term,
                status,
            }
        });
    }

    fn promote_member(&self, service: &name::ServiceName, member: usize, term: u64) {
        let sql = format!(
            "SELECT * FROM bluebellferry_promote({term}, '{}')",
            self.shared.incarnation_id()
        );
        self.run_control_call(service, member, sql, PROMOTE_TIMEOUT, move |found| {
            let promoted = found.is_some_and(|found| found.status.accepts_writes);
            event::PromotionEvent::PromoteAnswered { term, promoted }
        });
    }

    /// Runs a control call in a task of its own and reports what `report` makes
    /// of its answer, `None` if there was none in time.
    fn run_control_call(
        &self,
        service: &name::ServiceName,
        member: usize,
        sql: String,
        limit: Duration,
        report: impl FnOnce(Option<probe::ProbedDatabase>) -> event::PromotionEvent + Send + 'static,
    ) {
        let call = self.control_call(service, member, sql);
        let (events, service) = (self.events.clone(), service.clone());
        tokio::spawn(async move {
            let found = tokio::time::timeout(limit, call).await.ok().flatten();
            let event = report(found);
            events.send(ControlEvent::Promotion { service, event }).ok();
        });
    }

    fn control_call(
        &self,
        service: &name::ServiceName,
        member: usize,
        sql: String,
    ) -> impl Future<Output = Option<probe::ProbedDatabase>> + use<> {
        let shared = Arc::clone(&self.shared);
        let control = self.services.get(service);
        let address = control.map(|control| control.databases[member].address);
        let service = service.clone();
        async move {
            let mut connection = probe::connect_control(&shared, &service, address?)
                .await
                .ok()?;
            let row = connection.query(&sql).await;
            if let Err(error) = &row {
                log::info!(service = service.as_str(); "a control call failed: {error}");
            }
            probe::parse_status(&row.ok()?).ok()
        }
    }

    fn publish_primary(&self, service: &name::ServiceName, member: usize, term: u64) {
        let (store, events, service) = (
            Arc::clone(&self.store),
            self.events.clone(),
            service.clone(),
        );
        let key = self.keys.term(service.as_str());
        let claimant = self.shared.incarnation_id();
        let control = self.services.get(&service);
        let primary = control.map(|control| control.databases[member].name.to_string());
        tokio::spawn(async move {
            if let Err(error) = publish_in_store(&store, &key, term, claimant, primary).await {
                log::warn!("the new primary could not be written to the store: {error}");
            }
            let event = event::PromotionEvent::PublishAnswered { term };
            events.send(ControlEvent::Promotion { service, event }).ok();
        });
    }
}

async fn claim_in_store(
    store: &client::StoreClient,
    key: &str,
    term: u64,
    claimant: String,
) -> event::ClaimOutcome {
    let Ok(current) = store.get(key).await else {
        return event::ClaimOutcome::StoreUnavailable;
    };
    let known: Option<TermObjectWire> = serde_json::from_value(current.value).ok();
    if let Some(known) = known.filter(|known| known.term >= term) {
        return event::ClaimOutcome::Lost { term: known.term };
    }
    let claim = TermObjectWire {
        term,
        claimant,
        primary: None,
    };
    let Ok(value) = serde_json::to_value(&claim) else {
        return event::ClaimOutcome::StoreUnavailable;
    };
    match store.put(key, current.version, value).await {
        Ok(client::PutOutcome::Written { .. }) => event::ClaimOutcome::Won,
        Ok(client::PutOutcome::Conflict { current }) => {
            let known: Option<TermObjectWire> = serde_json::from_value(current.value).ok();
            event::ClaimOutcome::Lost {
                term: known.map_or(term, |known| known.term),
            }
        }
        Err(_) => event::ClaimOutcome::StoreUnavailable,
    }
}

async fn publish_in_store(
    store: &client::StoreClient,
    key: &str,
    term: u64,
    claimant: String,
    primary: Option<String>,
) -> Result<(), client::StoreError> {
    let current = store.get(key).await?;
    let known: Option<TermObjectWire> = serde_json::from_value(current.value).ok();
    if known.is_some_and(|known| known.term > term) {
        return Ok(());
    }
    let value = serde_json::json!(TermObjectWire {
        term,
        claimant,
        primary
    });
    store.put(key, current.version, value).await?;
    Ok(())
}

fn unseen_database(database: &objects::GroupDatabase) -> choice::DatabaseView {
    choice::DatabaseView {
        name: database.name.clone(),
        data_centre: database.data_centre.clone(),
        primary_term: None,
        replayed: bluebellferry_types::position::LogPosition::default(),
        last_answered: None,
        majority_contact_age: Duration::ZERO,
        is_draining: false,
    }
}

impl ServiceControl {
    fn record_found(&mut self, member: usize, asked: Instant, found: &probe::ProbedDatabase) {
        let is_primary = found.status.accepts_writes;
        let view = &mut self.view.databases[member];
        view.primary_term = is_primary.then_some(found.own_term);
        view.replayed = found.replayed;
        view.last_answered = Some(asked);
        view.majority_contact_age = found.majority_age.unwrap_or(Duration::ZERO);
        view.is_draining = found.leaving;
        if self.view.primary(Instant::now()) == Some(member) {
            self.view.history.record(asked, found.committed);
        }
    }

    /// Notes gaps without a primary and new primaries, for operators.
    fn follow_primary(&mut self, now: Instant) {
        let Some(index) = self.view.primary(now) else {
            if self.primary_term > 0 {
                self.gap_started.get_or_insert(now);
            }
            return;
        };
        let term = self.view.databases[index].primary_term.unwrap_or(0);
        if term > self.primary_term && self.primary_term > 0 {
            let gap = self
                .gap_started
                .map_or(Duration::ZERO, |started| now - started);
            let name = self.view.databases[index].name.clone();
            log::info!(database = name.as_str(), term = term; "a new primary is in use");
            self.reports
                .push(status::PromotionReport::new(name.as_str(), term, gap));
            if self.reports.len() > KEPT_REPORTS {
                self.reports.remove(0);
            }
        }
        self.primary_term = self.primary_term.max(term);
        self.gap_started = None;
    }
}

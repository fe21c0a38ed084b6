//! The state of each service's databases, and the promotions of new primaries.

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

/// The timeout of fencing one database, connecting included.
const FENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout of promoting one database, connecting included.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum number of promotion reports that are kept for each service.
const MAX_PROMOTION_REPORTS: usize = 20;

/// The store object of a service's claimed term.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct TermObjectWire {
    term: u64,
    claimant: String,
    primary: Option<String>,
}

/// The databases of one service and the state of its promotions.
pub(super) struct ServiceControl {
    pub(super) databases: Vec<objects::GroupDatabase>,
    pub(super) group_generation: u64,
    pub(super) view: choice::ServiceView,
    pub(super) pools: Vec<Arc<pool::DatabasePool>>,
    pub(super) probe_trigger: Arc<Notify>,
    pub(super) parameters: Arc<Vec<snapshot::ServerParameter>>,
    pub(super) promoter: promoter::ServicePromoter,
    pub(super) reports: Vec<status::PromotionReport>,
    /// The highest term of a primary that this VM has observed; 0 before the first.
    highest_primary_term: u64,
    /// Since when this VM has observed no primary, after there was one.
    primary_missing_since: Option<Instant>,
    probe_tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for ServiceControl {
    fn drop(&mut self) {
        for task in &self.probe_tasks {
            task.abort();
        }
    }
}

impl ControlState {
    /// Replaces the list of a service's databases. If it differs from the known list,
    /// the service's state, pools and probe tasks are created anew.
    pub(super) fn replace_group(
        &mut self,
        service: &name::ServiceName,
        databases: Vec<objects::GroupDatabase>,
    ) {
        let known = self.services.get(service);
        if known.is_some_and(|known| known.databases == databases) {
            return;
        }
        let group_generation = known.map_or(1, |known| known.group_generation + 1);
        let account = &self.shared.settings.database_account;
        let create_pool = |database: &objects::GroupDatabase| {
            pool::DatabasePool::new(database.address, service.clone(), account.clone())
        };
        let claimant = self.shared.incarnation_id();
        let settings = promoter::PromoterSettings::new(&claimant, databases.len());
        let probe_trigger = Arc::new(Notify::new());
        let control = ServiceControl {
            group_generation,
            view: choice::ServiceView {
                databases: databases.iter().map(unprobed_database_view).collect(),
                ..choice::ServiceView::default()
            },
            pools: databases.iter().map(create_pool).collect(),
            parameters: Arc::default(),
            promoter: promoter::ServicePromoter::new(settings, Instant::now()),
            reports: Vec::new(),
            highest_primary_term: 0,
            primary_missing_since: None,
            probe_tasks: self.start_probes(service, group_generation, &databases, &probe_trigger),
            probe_trigger,
            databases,
        };
        self.services.insert(service.clone(), control);
    }

    fn start_probes(
        &self,
        service: &name::ServiceName,
        group_generation: u64,
        databases: &[objects::GroupDatabase],
        probe_trigger: &Arc<Notify>,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let spawn_probe = |(database_index, database): (usize, &objects::GroupDatabase)| {
            let address = database.address;
            let target = probe::ProbeTarget {
                service: service.clone(),
                group_generation,
                database_index,
                address,
            };
            let (shared, probe_trigger) = (Arc::clone(&self.shared), Arc::clone(probe_trigger));
            tokio::spawn(probe::probe_database(
                shared,
                target,
                probe_trigger,
                self.events.clone(),
            ))
        };
        databases.iter().enumerate().map(spawn_probe).collect()
    }

    pub(super) fn handle_probe(&mut self, report: probe::ProbeReport) {
        let now = Instant::now();
        let Some(control) = self.services.get_mut(&report.service) else {
            return;
        };
        if control.group_generation != report.group_generation {
            return;
        }
        self.is_snapshot_outdated = true;
        if let Some(parameters) = report.parameters {
            control.parameters = Arc::new(parameters);
        }
        let event = match &report.probed {
            Some(probed) => {
                control.record_probe(report.database_index, report.sent_at, probed);
                let sent_at = report.sent_at;
                let status = probed.status;
                event::PromotionEvent::ProbeAnswered {
                    database_index: report.database_index,
                    sent_at,
                    status,
                }
            }
            None => event::PromotionEvent::ProbeFailed {
                database_index: report.database_index,
            },
        };
        control.record_primary_change(now);
        self.handle_promotion(&report.service, event);
    }

    pub(super) fn tick_promotions(&mut self, now: Instant) {
        let services: Vec<name::ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            let rank = self.promotion_rank(&service, now);
            self.handle_promotion(&service, event::PromotionEvent::Tick { rank });
        }
    }

    /// Returns this VM's rank among the live VMs for promotions of the service; the VM
    /// with rank 0 acts first. Ranks come from a rendezvous hash of service and VM, so
    /// that promotions of different services start on different VMs.
    fn promotion_rank(&self, service: &name::ServiceName, now: Instant) -> usize {
        self.roster.own_rank(now, |place| {
            let text = format!("{service}\0{}\0{}", place.data_centre, place.ordinal);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        })
    }

    pub(super) fn handle_promotion(
        &mut self,
        service: &name::ServiceName,
        event: event::PromotionEvent,
    ) {
        let now = Instant::now();
        let Some(control) = self.services.get_mut(service) else {
            return;
        };
        let previous_step = control.promoter.step();
        let actions = control.promoter.handle_event(now, event);
        let current_step = control.promoter.step();
        if previous_step != current_step {
            let step = format!("{current_step:?}").to_lowercase();
            let term = control.promoter.term();
            self.shared
                .metrics
                .count_promotion_step(service.as_str(), &step);
            log::info!(service = service.as_str(), step = step.as_str(), term = term; "promotion reached a new step");
            self.is_snapshot_outdated = true;
        }
        for action in actions {
            self.start_action(service, action);
        }
    }

    fn start_action(&self, service: &name::ServiceName, action: event::PromotionAction) {
        match action {
            event::PromotionAction::Claim { term } => self.claim_term(service, term),
            event::PromotionAction::Fence {
                database_index,
                term,
            } => {
                self.fence_database(service, database_index, term);
            }
            event::PromotionAction::Promote {
                database_index,
                term,
            } => {
                self.promote_database(service, database_index, term);
            }
            event::PromotionAction::Publish {
                database_index,
                term,
            } => {
                self.publish_primary(service, database_index, term);
            }
        }
    }

    fn claim_term(&self, service: &name::ServiceName, term: u64) {
        let (store, events, service) = (
            Arc::clone(&self.store),
            self.events.clone(),
            service.clone(),
        );
        let key = self.store_keys.term_key(service.as_str());
        let claimant = self.shared.incarnation_id();
        tokio::spawn(async move {
            let outcome = claim_in_store(&store, &key, term, claimant).await;
            let event = event::PromotionEvent::ClaimAnswered { term, outcome };
            events.send(ControlEvent::Promotion { service, event }).ok();
        });
    }

    fn fence_database(&self, service: &name::ServiceName, database_index: usize, term: u64) {
        let sql = format!(
            "SELECT * FROM bluebellferry_fence({term}, '{}')",
            self.shared.incarnation_id()
        );
        self.spawn_control_query(service, database_index, sql, FENCE_TIMEOUT, move |probed| {
            let status = probed.map(|probed| probed.status);
            event::PromotionEvent::FenceAnswered {
                database_index,
                term,
                status,
            }
        });
    }

    fn promote_database(&self, service: &name::ServiceName, database_index: usize, term: u64) {
        let sql = format!(
            "SELECT * FROM bluebellferry_promote({term}, '{}')",
            self.shared.incarnation_id()
        );
        self.spawn_control_query(
            service,
            database_index,
            sql,
            PROMOTE_TIMEOUT,
            move |probed| {
                let is_primary = probed.is_some_and(|probed| probed.status.accepts_writes);
                event::PromotionEvent::PromoteAnswered { term, is_primary }
            },
        );
    }

    /// Runs a query on a new control connection in a separate task, and sends the event
    /// that `to_event` makes of the result, which is `None` if the query failed or
    /// timed out.
    fn spawn_control_query(
        &self,
        service: &name::ServiceName,
        database_index: usize,
        sql: String,
        timeout: Duration,
        to_event: impl FnOnce(Option<probe::ProbedDatabase>) -> event::PromotionEvent + Send + 'static,
    ) {
        let query = self.run_control_query(service, database_index, sql);
        let (events, service) = (self.events.clone(), service.clone());
        tokio::spawn(async move {
            let probed = tokio::time::timeout(timeout, query).await.ok().flatten();
            let event = to_event(probed);
            events.send(ControlEvent::Promotion { service, event }).ok();
        });
    }

    fn run_control_query(
        &self,
        service: &name::ServiceName,
        database_index: usize,
        sql: String,
    ) -> impl Future<Output = Option<probe::ProbedDatabase>> + use<> {
        let shared = Arc::clone(&self.shared);
        let control = self.services.get(service);
        let address = control.map(|control| control.databases[database_index].address);
        let service = service.clone();
        async move {
            let mut connection = probe::open_control_connection(&shared, &service, address?)
                .await
                .ok()?;
            let row = connection.query(&sql).await;
            if let Err(error) = &row {
                log::info!(service = service.as_str(); "query on a control connection failed: {error}");
            }
            probe::parse_status(&row.ok()?).ok()
        }
    }

    fn publish_primary(&self, service: &name::ServiceName, database_index: usize, term: u64) {
        let (store, events, service) = (
            Arc::clone(&self.store),
            self.events.clone(),
            service.clone(),
        );
        let key = self.store_keys.term_key(service.as_str());
        let claimant = self.shared.incarnation_id();
        let control = self.services.get(&service);
        let primary = control.map(|control| control.databases[database_index].name.to_string());
        tokio::spawn(async move {
            if let Err(error) = publish_in_store(&store, &key, term, claimant, primary).await {
                log::warn!("writing the new primary to the platform's store failed: {error}");
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
    let recorded: Option<TermObjectWire> = serde_json::from_value(current.value).ok();
    if let Some(recorded) = recorded.filter(|recorded| recorded.term >= term) {
        return event::ClaimOutcome::Lost {
            term: recorded.term,
        };
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
            let recorded: Option<TermObjectWire> = serde_json::from_value(current.value).ok();
            event::ClaimOutcome::Lost {
                term: recorded.map_or(term, |recorded| recorded.term),
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
    let recorded: Option<TermObjectWire> = serde_json::from_value(current.value).ok();
    if recorded.is_some_and(|recorded| recorded.term > term) {
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

fn unprobed_database_view(database: &objects::GroupDatabase) -> choice::DatabaseView {
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
    fn record_probe(
        &mut self,
        database_index: usize,
        sent_at: Instant,
        probed: &probe::ProbedDatabase,
    ) {
        let is_primary = probed.status.accepts_writes;
        let view = &mut self.view.databases[database_index];
        view.primary_term = is_primary.then_some(probed.primary_term);
        view.replayed = probed.replayed_position;
        view.last_answered = Some(sent_at);
        view.majority_contact_age = probed.majority_contact_age.unwrap_or(Duration::ZERO);
        view.is_draining = probed.is_draining;
        if self.view.primary(Instant::now()) == Some(database_index) {
            self.view.history.record(sent_at, probed.committed_position);
        }
    }

    /// Records when the primary is lost and when a new one is in use, for the
    /// promotion reports in the VM's status.
    fn record_primary_change(&mut self, now: Instant) {
        let Some(index) = self.view.primary(now) else {
            if self.highest_primary_term > 0 {
                self.primary_missing_since.get_or_insert(now);
            }
            return;
        };
        let term = self.view.databases[index].primary_term.unwrap_or(0);
        if term > self.highest_primary_term && self.highest_primary_term > 0 {
            let outage = self
                .primary_missing_since
                .map_or(Duration::ZERO, |missing_since| now - missing_since);
            let name = self.view.databases[index].name.clone();
            log::info!(database = name.as_str(), term = term; "new primary in use");
            self.reports
                .push(status::PromotionReport::new(name.as_str(), term, outage));
            if self.reports.len() > MAX_PROMOTION_REPORTS {
                self.reports.remove(0);
            }
        }
        self.highest_primary_term = self.highest_primary_term.max(term);
        self.primary_missing_since = None;
    }
}

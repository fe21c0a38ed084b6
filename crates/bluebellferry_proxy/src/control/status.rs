//! The status of a VM that the administration API returns.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::ControlState;

/// The control state of a VM, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The VM's name.
    pub vm: String,
    /// The environment that the VM belongs to.
    pub environment: String,
    /// The version of the active configuration document, 0 if there is none.
    pub document_version: u64,
    /// The hash of the active configuration document, in hexadecimal.
    pub document_hash: Option<String>,
    /// Why the newest document was rejected, if it was.
    pub document_fault: Option<String>,
    /// Whether the VM's latest listing of the store's objects succeeded.
    pub store_reachable: bool,
    /// Whether the VM is draining and accepts no new work.
    pub draining: bool,
    /// The number of connected callers.
    pub callers: usize,
    /// The number of valid API keys.
    pub keys: usize,
    /// The other VMs that have sent heartbeats.
    pub peers: Vec<PeerStatus>,
    /// The services whose list of databases is known.
    pub services: Vec<ServiceStatus>,
    /// The available tokens of each workspace.
    pub shares: Vec<ShareStatus>,
}

/// The state of another VM according to its latest heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The VM's name.
    pub vm: String,
    /// Whether the VM has sent a heartbeat recently and is not draining.
    pub live: bool,
    /// Whether the VM is draining.
    pub leaving: bool,
    /// The version of the VM's active configuration document.
    pub document_version: u64,
}

/// The state of a service's databases, observed by this VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: String,
    /// The primary's name, if there is a primary.
    pub primary: Option<String>,
    /// The databases of the service.
    pub databases: Vec<DatabaseStatus>,
    /// The latest promotions that this VM has observed.
    pub promotions: Vec<PromotionReport>,
}

/// The state of a database, observed by this VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DatabaseStatus {
    /// The database's name.
    pub database: String,
    /// The database's data centre.
    pub data_centre: String,
    /// The position up to which the database has replayed the log.
    pub replayed: String,
    /// The maximum age of the database's data in milliseconds, if known.
    pub age_ms: Option<u64>,
    /// Whether the database has answered a recent probe.
    pub reachable: bool,
    /// Whether the database is draining and should get no new work.
    pub leaving: bool,
    /// The number of this VM's requests that run on the database or wait for a
    /// connection to it.
    pub load: usize,
}

/// A completed change of a service's primary.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PromotionReport {
    /// The new primary's name.
    pub primary: String,
    /// The term of the new primary.
    pub term: u64,
    /// How long this VM observed no primary, in milliseconds.
    pub gap_ms: u64,
    /// When this VM started to use the new primary, in milliseconds since 1970.
    pub unix_ms: u64,
}

impl PromotionReport {
    pub(super) fn new(primary: &str, term: u64, gap: Duration) -> Self {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            primary: primary.to_owned(),
            term,
            gap_ms: gap.as_millis() as u64,
            unix_ms: time.unwrap_or_default().as_millis() as u64,
        }
    }
}

/// The available tokens of a workspace on this VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The workspace's name.
    pub workspace: String,
    /// The number of tokens that can be spent now.
    pub available: f64,
}

impl ControlState {
    pub(super) fn build_status(&self) -> ControlStatus {
        let now = Instant::now();
        let active_document = self.active_document.as_ref();
        let settings = &self.shared.settings;
        ControlStatus {
            vm: settings.vm.clone(),
            environment: settings.environment.to_string(),
            document_version: active_document.map_or(0, |active_document| active_document.version),
            document_hash: active_document.map(|active_document| active_document.hash.to_string()),
            document_fault: self.document_error.clone(),
            store_reachable: self.is_store_reachable,
            draining: self.is_draining,
            callers: self.shared.caller_count(),
            keys: self.key_table.len(),
            peers: self.peer_statuses(now),
            services: self.service_statuses(now),
            shares: self.share_statuses(now),
        }
    }

    fn peer_statuses(&self, now: Instant) -> Vec<PeerStatus> {
        let live: Vec<_> = self
            .roster
            .live_peers(now)
            .map(|(place, _)| place.clone())
            .collect();
        let to_status =
            |(place, record): (&_, &bluebellferry_membership::roster::PeerRecord)| PeerStatus {
                vm: record.payload.vm.clone(),
                live: live.contains(place),
                leaving: record.payload.is_draining,
                document_version: record.payload.document_version,
            };
        self.roster.known_peers().map(to_status).collect()
    }

    fn service_statuses(&self, now: Instant) -> Vec<ServiceStatus> {
        let mut statuses = Vec::new();
        for (service, control) in &self.services {
            let view = &control.view;
            let primary = view
                .primary(now)
                .map(|index| view.databases[index].name.to_string());
            let databases = view
                .databases
                .iter()
                .zip(&control.pools)
                .map(|(database, pool)| {
                    let age = view.history.max_age_at(database.replayed, now);
                    DatabaseStatus {
                        database: database.name.to_string(),
                        data_centre: database.data_centre.to_string(),
                        replayed: database.replayed.to_string(),
                        age_ms: age.map(|age| age.as_millis() as u64),
                        reachable: database.is_reachable(now),
                        leaving: database.is_draining,
                        load: pool.request_count(),
                    }
                });
            statuses.push(ServiceStatus {
                service: service.to_string(),
                primary,
                databases: databases.collect(),
                promotions: control.reports.clone(),
            });
        }
        statuses
    }

    fn share_statuses(&self, now: Instant) -> Vec<ShareStatus> {
        let to_status = |(key, share): (
            bluebellferry_types::limit::LimitKey,
            std::sync::Arc<bluebellferry_shares::limiter::RateShare>,
        )| ShareStatus {
            workspace: key.as_str().to_owned(),
            available: share.available_tokens(now),
        };
        self.shared
            .rate_limiter
            .all_shares()
            .into_iter()
            .map(to_status)
            .collect()
    }
}

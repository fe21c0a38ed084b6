//! The verdicts on databases: assessed by the coordinator of a data centre from what its VMs see,
//! and used by all of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_membership::heartbeat;
use bluebellferry_routing::assessment;
use bluebellferry_types::name;

use crate::control::state;

/// How long verdicts are used without newer ones: a VM that no longer hears its coordinator goes
/// by its own experience.
const MAX_VERDICT_AGE: Duration = Duration::from_millis(1_500);

type VerdictMap = BTreeMap<name::DatabaseName, assessment::DatabaseVerdict>;

/// The verdicts that a VM uses.
#[derive(Debug, Clone, Default)]
pub(super) struct VerdictsInUse {
    verdicts: Arc<VerdictMap>,
    received_at: Option<Instant>,
}

impl VerdictsInUse {
    /// Returns the verdicts unless they are too old.
    pub(super) fn current(&self, now: Instant) -> Arc<VerdictMap> {
        let is_recent = self
            .received_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_VERDICT_AGE);
        if is_recent {
            Arc::clone(&self.verdicts)
        } else {
            Arc::default()
        }
    }
}

impl state::ControlState {
    /// Takes what this VM saw of databases. The coordinator of a data centre assesses them with
    /// it; for other VMs, returns what to send to the coordinator.
    pub fn assess_databases(&mut self, now: Instant) -> Vec<heartbeat::ObservedDatabase> {
        let observations = self.shared.take_observations();
        if self.topology.is_full_mesh() {
            return Vec::new();
        }
        if !self.topology.is_coordinator(now) {
            let observed = |(database, (service, observation))| heartbeat::ObservedDatabase {
                service,
                database,
                observation,
            };
            return observations.into_iter().map(observed).collect();
        }
        for (database, (service, observation)) in observations {
            self.assessor.add(&service, &database, observation, now);
        }
        let verdicts = self.assessor.update(now);
        self.apply_verdicts(verdicts, now, log::Level::Info);
        Vec::new()
    }

    /// Returns the verdicts that this VM announces as coordinator of its data centre.
    pub fn verdicts_for_centre(&self, now: Instant) -> Vec<assessment::DatabaseVerdict> {
        if self.topology.is_full_mesh() || !self.topology.is_coordinator(now) {
            return Vec::new();
        }
        self.verdicts.verdicts.values().cloned().collect()
    }

    /// Records the observations and verdicts in a heartbeat of a VM of this data centre.
    pub fn record_received_evidence(
        &mut self,
        heartbeat: &heartbeat::FleetHeartbeat,
        now: Instant,
    ) {
        if self.topology.is_full_mesh() || !self.is_in_group(&heartbeat.vm) {
            return;
        }
        if self.topology.is_coordinator(now) {
            for observed in &heartbeat.observations {
                let database = &observed.database;
                self.assessor
                    .add(&observed.service, database, observed.observation, now);
            }
        } else if heartbeat.is_coordinator {
            // The coordinator has logged them.
            self.apply_verdicts(heartbeat.verdicts.clone(), now, log::Level::Debug);
        }
    }

    fn apply_verdicts(
        &mut self,
        verdicts: Vec<assessment::DatabaseVerdict>,
        now: Instant,
        level: log::Level,
    ) {
        let by_database =
            |verdict: assessment::DatabaseVerdict| (verdict.database.clone(), verdict);
        let verdicts: VerdictMap = verdicts.into_iter().map(by_database).collect();
        self.log_verdicts(&verdicts, level);
        let status = &self.shared.fleet_status;
        let count = verdicts.len() as u64;
        status.assessed_databases.store(count, Ordering::Relaxed);
        if *self.verdicts.verdicts != verdicts {
            self.verdicts.verdicts = Arc::new(verdicts);
        }
        self.verdicts.received_at = Some(now);
    }

    /// Logs the databases that get a verdict or lose it.
    fn log_verdicts(&self, next: &VerdictMap, level: log::Level) {
        let known = &self.verdicts.verdicts;
        for (database, verdict) in next {
            if !known.contains_key(database) {
                log::log!(
                    level, database = database.as_str(), penalty_ms = verdict.penalty.as_millis() as u64,
                    share = verdict.share;
                    "a database is used less than others"
                );
            }
        }
        for database in known
            .keys()
            .filter(|database| !next.contains_key(*database))
        {
            log::log!(level, database = database.as_str(); "a database is used like any other again");
        }
    }

    /// Starts the paces of the databases that have started since the list in use.
    pub(super) fn start_paces(&mut self, next: &[database::DatabaseEntry], now: Instant) {
        let is_first_list = self.versions.databases == 0;
        let running: BTreeSet<_> = self.databases.iter().map(run_of).collect();
        for entry in next {
            if !is_first_list && !running.contains(&run_of(entry)) {
                self.assessor.start(&entry.service, &entry.id, now);
            }
        }
        let registered: BTreeSet<_> = next.iter().map(|entry| &entry.id).collect();
        self.assessor
            .retain(|database| registered.contains(database));
    }
}

/// Identifies a database from one start to the next.
const fn run_of(entry: &database::DatabaseEntry) -> (&name::DatabaseName, u64) {
    (&entry.id, entry.started_unix_ms)
}

//! The assessment of databases from what all VMs of a data centre see of them.
//!
//! The loads this answers: a database that is slow, fails part of its statements or goes down and
//! up, and one that has just started or recovered. In a large fleet each VM sends a database less
//! than a statement a second, too few to notice either by itself. Together they notice within
//! half a second.
//!
//! A slow or failing database gets a [`DatabaseVerdict::penalty`], which is added to its expected
//! latency. So it is used less as long as others are better, and never excluded where it is the
//! only one. One that has just started gets a [`DatabaseVerdict::share`] of the reads that it
//! would otherwise get. The share grows as its answers are as fast as those of its peers, so that
//! the pace follows from how the database answers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;

/// The time constant of the averages of recent answers.
const RECENT: Duration = Duration::from_millis(600);
/// The time constant of a database's usual latency.
const USUAL: Duration = Duration::from_secs(10);
/// The fewest recent answers that count as evidence.
const MIN_EVIDENCE: f64 = 4.0;
/// A database is slow if its recent latency exceeds its usual one by this factor.
const SLOW_FACTOR: f64 = 2.5;
/// The latency above the usual one that never counts as slow, in milliseconds.
const MIN_EXCESS_MS: f64 = 15.0;
/// The fraction of failed statements from which a database counts as failing.
const FAILING_FRACTION: f64 = 0.3;
/// What a failed read costs its caller, in milliseconds: the wait for an answer that does not
/// come, and a second attempt elsewhere.
const FAILURE_COST_MS: f64 = 250.0;
/// How long without evidence until a penalty has halved, so that the database is tried again.
const PENALTY_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Smaller penalties are dropped, in milliseconds.
const MIN_PENALTY_MS: f64 = 5.0;
/// The share of reads with which a database that has started or recovered begins.
const INITIAL_SHARE: f64 = 0.1;
/// The smallest share.
const MIN_SHARE: f64 = 0.05;
/// The interval at which shares change.
const SHARE_INTERVAL: Duration = Duration::from_millis(400);
/// The factor by which a share grows while answers are as fast as usual.
const SHARE_GROWTH: f64 = 1.6;
/// The factor by which a share grows without evidence, so that no database stays idle.
const SHARE_GROWTH_WITHOUT_EVIDENCE: f64 = 1.2;
/// The factor by which a share shrinks while answers are slow or fail.
const SHARE_REDUCTION: f64 = 0.6;

/// What VMs saw of a database in a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseObservation {
    /// The statements that were answered.
    pub answered: u32,
    /// The statements that failed, got no answer or found the database unreachable.
    pub failed: u32,
    /// The sum of the latencies of the answered statements, in milliseconds.
    pub latency_ms: u32,
}

impl DatabaseObservation {
    /// Adds an answer after a latency.
    pub fn add_answer(&mut self, latency: Duration) {
        let milliseconds = u32::try_from(latency.as_millis()).unwrap_or(u32::MAX);
        self.answered = self.answered.saturating_add(1);
        self.latency_ms = self.latency_ms.saturating_add(milliseconds);
    }

    /// Adds a failed statement.
    pub const fn add_failure(&mut self) {
        self.failed = self.failed.saturating_add(1);
    }
}

/// How a database is to be used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DatabaseVerdict {
    /// The database.
    pub database: name::DatabaseName,
    /// Added to the expected latency of the database.
    pub penalty: Duration,
    /// The fraction of the reads that it would otherwise get, from 0 to 1.
    pub share: f64,
}

/// The pace of a database that has started or recovered.
#[derive(Debug, Clone, Copy)]
struct RecoveryPace {
    share: f64,
    changed_at: Instant,
}

#[derive(Debug, Clone)]
struct AssessedDatabase {
    service: name::ServiceName,
    answered: f64,
    failed: f64,
    latency_ms: f64,
    usual_ms: Option<f64>,
    penalty_ms: f64,
    is_failing: bool,
    pace: Option<RecoveryPace>,
    updated_at: Instant,
}

impl AssessedDatabase {
    const fn new(service: name::ServiceName, now: Instant) -> Self {
        Self {
            service,
            answered: 0.0,
            failed: 0.0,
            latency_ms: 0.0,
            usual_ms: None,
            penalty_ms: 0.0,
            is_failing: false,
            pace: None,
            updated_at: now,
        }
    }

    fn add(&mut self, observation: DatabaseObservation) {
        self.answered += f64::from(observation.answered);
        self.failed += f64::from(observation.failed);
        self.latency_ms += f64::from(observation.latency_ms);
    }

    fn evidence(&self) -> f64 {
        self.answered + self.failed
    }

    fn recent_ms(&self) -> Option<f64> {
        (self.answered >= 1.0).then(|| self.latency_ms / self.answered)
    }

    /// Returns the usual latency: its own, or that of its peers until enough is known.
    fn reference_ms(&self, peers_ms: Option<f64>) -> Option<f64> {
        self.usual_ms.or(peers_ms)
    }

    /// Updates the penalty from the recent evidence.
    fn update_penalty(&mut self, peers_ms: Option<f64>, elapsed: f64) {
        if self.evidence() < MIN_EVIDENCE {
            self.penalty_ms *= 0.5_f64.powf(elapsed / PENALTY_HALF_LIFE.as_secs_f64());
            if self.penalty_ms < MIN_PENALTY_MS {
                self.penalty_ms = 0.0;
            }
            return;
        }
        let failed_fraction = self.failed / self.evidence();
        self.is_failing = failed_fraction >= FAILING_FRACTION;
        let failure_ms = if self.is_failing {
            failed_fraction * FAILURE_COST_MS
        } else {
            0.0
        };
        let excess_ms = match (self.recent_ms(), self.reference_ms(peers_ms)) {
            (Some(recent), Some(usual)) if self.is_slow(recent, usual) => recent - usual,
            (Some(recent), _) => {
                let weight = (elapsed / USUAL.as_secs_f64()).min(1.0);
                let usual = self.usual_ms.get_or_insert(recent);
                *usual += weight * (recent - *usual);
                0.0
            }
            (None, _) => 0.0,
        };
        self.penalty_ms = failure_ms + excess_ms;
    }

    fn is_slow(&self, recent: f64, usual: f64) -> bool {
        recent > usual * SLOW_FACTOR && recent > usual + MIN_EXCESS_MS
    }

    /// Updates the share of a database that has started or recovered.
    fn update_pace(&mut self, now: Instant) {
        let has_evidence = self.evidence() >= MIN_EVIDENCE;
        let is_bad = has_evidence && self.penalty_ms > 0.0;
        let Some(pace) = &mut self.pace else { return };
        if now.saturating_duration_since(pace.changed_at) < SHARE_INTERVAL {
            return;
        }
        pace.changed_at = now;
        let factor = match (has_evidence, is_bad) {
            (true, true) => SHARE_REDUCTION,
            (true, false) => SHARE_GROWTH,
            (false, _) => SHARE_GROWTH_WITHOUT_EVIDENCE,
        };
        pace.share = (pace.share * factor).max(MIN_SHARE);
        if pace.share >= 1.0 {
            self.pace = None;
        }
    }

    fn decay(&mut self, elapsed: f64) {
        let weight = (-elapsed / RECENT.as_secs_f64()).exp();
        self.answered *= weight;
        self.failed *= weight;
        self.latency_ms *= weight;
    }
}

/// Assesses databases from the observations of all VMs of a data centre.
#[derive(Debug, Default)]
pub struct DatabaseAssessor {
    databases: BTreeMap<name::DatabaseName, AssessedDatabase>,
}

impl DatabaseAssessor {
    /// Adds what a VM saw of a database.
    pub fn add(
        &mut self,
        service: &name::ServiceName,
        database: &name::DatabaseName,
        observation: DatabaseObservation,
        now: Instant,
    ) {
        self.assessed(service, database, now).add(observation);
    }

    /// Starts the pace of a database that has started, and forgets what was seen of it before.
    pub fn start(
        &mut self,
        service: &name::ServiceName,
        database: &name::DatabaseName,
        now: Instant,
    ) {
        let assessed = self.assessed(service, database, now);
        *assessed = AssessedDatabase::new(service.clone(), now);
        assessed.pace = Some(RecoveryPace {
            share: INITIAL_SHARE,
            changed_at: now,
        });
    }

    /// Forgets the databases for which `is_registered` returns false.
    pub fn retain(&mut self, is_registered: impl Fn(&name::DatabaseName) -> bool) {
        self.databases.retain(|database, _| is_registered(database));
    }

    /// Updates the assessments, and returns the verdicts on the databases that are not to be used
    /// like any other.
    pub fn update(&mut self, now: Instant) -> Vec<DatabaseVerdict> {
        let peers = self.usual_by_service();
        let mut verdicts = Vec::new();
        for (database, assessed) in &mut self.databases {
            let elapsed = now.saturating_duration_since(assessed.updated_at);
            let elapsed = elapsed.as_secs_f64();
            assessed.updated_at = now;
            let was_failing = assessed.is_failing;
            assessed.update_penalty(peers.get(&assessed.service).copied(), elapsed);
            let has_recovered = was_failing && assessed.penalty_ms <= 0.0;
            if has_recovered {
                assessed.is_failing = false;
                assessed.pace.get_or_insert(RecoveryPace {
                    share: INITIAL_SHARE,
                    changed_at: now,
                });
            }
            assessed.update_pace(now);
            assessed.decay(elapsed);
            let share = assessed.pace.map_or(1.0, |pace| pace.share);
            if assessed.penalty_ms >= MIN_PENALTY_MS || share < 1.0 {
                verdicts.push(DatabaseVerdict {
                    database: database.clone(),
                    penalty: Duration::from_secs_f64(assessed.penalty_ms / 1_000.0),
                    share,
                });
            }
        }
        verdicts
    }

    fn assessed(
        &mut self,
        service: &name::ServiceName,
        database: &name::DatabaseName,
        now: Instant,
    ) -> &mut AssessedDatabase {
        self.databases
            .entry(database.clone())
            .or_insert_with(|| AssessedDatabase::new(service.clone(), now))
    }

    /// Returns the mean usual latency of each service's databases.
    fn usual_by_service(&self) -> BTreeMap<name::ServiceName, f64> {
        let mut sums: BTreeMap<&name::ServiceName, (f64, f64)> = BTreeMap::new();
        for assessed in self.databases.values() {
            if let Some(usual) = assessed.usual_ms {
                let (sum, count) = sums.entry(&assessed.service).or_default();
                (*sum, *count) = (*sum + usual, *count + 1.0);
            }
        }
        let mean = |(service, (sum, count)): (&name::ServiceName, (f64, f64))| {
            (service.clone(), sum / count)
        };
        sums.into_iter().map(mean).collect()
    }
}

//! Suspicions that a leader is lost, from the outcomes of callers' statements. A suspected
//! leader is probed before it is replaced.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use tokio::sync::mpsc;

use crate::control;
use crate::shared;

/// How many consecutive failures make a leader suspected. One is enough, since a suspicion
/// only has the leader probed.
const MIN_FAILURES: u32 = 1;
/// How long a newly promoted database may answer that it does not lead yet, without being
/// suspected. Counted from the first recorded outcome of a statement sent to it.
const TAKEOVER_GRACE_PERIOD: Duration = Duration::from_millis(2_500);
/// How long a suspicion lasts after the latest failure.
const SUSPICION_DURATION: Duration = Duration::from_millis(2_500);

/// The outcomes of statements sent to one service's leader.
#[derive(Debug, Clone)]
struct LeaderHealth {
    database: name::DatabaseName,
    /// Failures since the last answer.
    failures: u32,
    /// Failed commits since the last acknowledged commit.
    commit_failures: u32,
    last_failed: Option<Instant>,
    last_answered: Option<Instant>,
    /// When the first outcome of a statement sent to it as the leader was recorded.
    first_used_at: Instant,
}

/// Tracks which leaders this VM suspects to be lost.
#[derive(Debug, Default)]
pub struct SuspicionTracker {
    leaders: BTreeMap<name::ServiceName, LeaderHealth>,
}

impl SuspicionTracker {
    /// Records the outcome of a statement that was sent to a leader. Outcomes of another
    /// database that led the service before are discarded.
    pub fn record(&mut self, evidence: &shared::LeaderEvidence, now: Instant) {
        let new_health = || LeaderHealth {
            database: evidence.database.clone(),
            failures: 0,
            commit_failures: 0,
            last_failed: None,
            last_answered: None,
            first_used_at: now,
        };
        let health = self
            .leaders
            .entry(evidence.service.clone())
            .or_insert_with(new_health);
        if health.database != evidence.database {
            *health = new_health();
        }
        match evidence.kind {
            shared::EvidenceKind::Answered => {
                health.failures = 0;
                health.last_answered = Some(now);
            }
            shared::EvidenceKind::Committed => {
                health.failures = 0;
                health.commit_failures = 0;
                health.last_answered = Some(now);
            }
            // A newly promoted database may take a while to lead, which is no failure.
            shared::EvidenceKind::NotLeading
                if now.saturating_duration_since(health.first_used_at) < TAKEOVER_GRACE_PERIOD => {}
            shared::EvidenceKind::Unresponsive | shared::EvidenceKind::NotLeading => {
                health.failures += 1;
                health.last_failed = Some(now);
            }
            shared::EvidenceKind::CommitUnanswered => {
                health.failures += 1;
                health.commit_failures += 1;
                health.last_failed = Some(now);
            }
        }
    }

    /// Returns the leaders that this VM suspects.
    pub fn own_suspicions(&self, now: Instant) -> Vec<heartbeat::LeaderSuspicion> {
        let is_suspected = |health: &LeaderHealth| {
            let is_recent = health
                .last_failed
                .is_some_and(|failed| now.saturating_duration_since(failed) < SUSPICION_DURATION);
            let failures = health.failures.max(health.commit_failures);
            is_recent && failures >= MIN_FAILURES
        };
        let suspected = self
            .leaders
            .iter()
            .filter(|(_, health)| is_suspected(health));
        let suspicion =
            |(service, health): (&name::ServiceName, &LeaderHealth)| heartbeat::LeaderSuspicion {
                service: service.clone(),
                database: health.database.clone(),
            };
        suspected.map(suspicion).collect()
    }

    /// Returns when a leader last answered a statement from this VM.
    pub fn last_answered(
        &self,
        service: &name::ServiceName,
        database: &name::DatabaseName,
    ) -> Option<Instant> {
        let health = self.leaders.get(service)?;
        health
            .last_answered
            .filter(|_| health.database == *database)
    }
}

/// Records the outcomes of statements until the process ends.
pub async fn collect_evidence(
    control: control::ControlCell,
    mut evidence: mpsc::Receiver<shared::LeaderEvidence>,
) {
    while let Some(observation) = evidence.recv().await {
        let now = clock::now();
        let mut control = control.borrow_mut();
        let suspicions_before = control.suspicions.own_suspicions(now);
        control.suspicions.record(&observation, now);
        let suspicions_after = control.suspicions.own_suspicions(now);
        if suspicions_before.len() < suspicions_after.len() {
            let database = observation.database.as_str();
            log::warn!(service = observation.service.as_str(), database = database; "suspecting that a leader is lost");
            control.heartbeat_trigger.notify_one();
        }
    }
}

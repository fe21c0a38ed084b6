//! Signs in callers' statements that a leader is lost.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use tokio::sync::mpsc;

use crate::control;
use crate::shared;

/// How many failures without an answer in between make a leader suspect. One is
/// enough, since a suspicion only has the leader asked.
const FAILURES_FOR_SUSPICION: u32 = 1;
/// How long a database may take to lead after it was named.
const TAKEOVER_TIME: Duration = Duration::from_millis(2_500);
/// How long a suspicion lasts without new failures.
const SUSPICION_KEPT: Duration = Duration::from_millis(2_500);

/// What is known of one leader.
#[derive(Debug, Clone)]
struct LeaderSigns {
    database: name::DatabaseName,
    failures: u32,
    commit_failures: u32,
    failed: Option<Instant>,
    answered: Option<Instant>,
    /// When the first statement was sent to it as the leader.
    first_used: Instant,
}

/// The signs of all leaders.
#[derive(Debug, Default)]
pub struct SuspicionBook {
    leaders: BTreeMap<name::ServiceName, LeaderSigns>,
}

impl SuspicionBook {
    /// Takes what a statement showed.
    pub fn record(&mut self, evidence: &shared::LeaderEvidence, now: Instant) {
        let fresh = || LeaderSigns {
            database: evidence.database.clone(),
            failures: 0,
            commit_failures: 0,
            failed: None,
            answered: None,
            first_used: now,
        };
        let signs = self
            .leaders
            .entry(evidence.service.clone())
            .or_insert_with(fresh);
        if signs.database != evidence.database {
            *signs = fresh();
        }
        match evidence.kind {
            shared::EvidenceKind::Answered => {
                signs.failures = 0;
                signs.answered = Some(now);
            }
            shared::EvidenceKind::Committed => {
                signs.failures = 0;
                signs.commit_failures = 0;
                signs.answered = Some(now);
            }
            // A database leads only a while after it was named.
            shared::EvidenceKind::NotLeading
                if now.saturating_duration_since(signs.first_used) < TAKEOVER_TIME => {}
            shared::EvidenceKind::Silent | shared::EvidenceKind::NotLeading => {
                signs.failures += 1;
                signs.failed = Some(now);
            }
            shared::EvidenceKind::CommitSilent => {
                signs.failures += 1;
                signs.commit_failures += 1;
                signs.failed = Some(now);
            }
        }
    }

    /// Returns the leaders that this VM cannot use.
    pub fn own_suspicions(&self, now: Instant) -> Vec<heartbeat::LeaderSuspicion> {
        let is_suspect = |signs: &LeaderSigns| {
            let is_recent = signs
                .failed
                .is_some_and(|failed| now.saturating_duration_since(failed) < SUSPICION_KEPT);
            let failures = signs.failures.max(signs.commit_failures);
            is_recent && failures >= FAILURES_FOR_SUSPICION
        };
        let suspects = self.leaders.iter().filter(|(_, signs)| is_suspect(signs));
        let suspicion =
            |(service, signs): (&name::ServiceName, &LeaderSigns)| heartbeat::LeaderSuspicion {
                service: service.clone(),
                database: signs.database.clone(),
            };
        suspects.map(suspicion).collect()
    }

    /// Returns when a leader last answered this VM.
    pub fn answered(
        &self,
        service: &name::ServiceName,
        database: &name::DatabaseName,
    ) -> Option<Instant> {
        let signs = self.leaders.get(service)?;
        signs.answered.filter(|_| signs.database == *database)
    }
}

/// Gathers what statements show until the process ends.
pub async fn gather(
    control: control::ControlCell,
    mut evidence: mpsc::Receiver<shared::LeaderEvidence>,
) {
    while let Some(sign) = evidence.recv().await {
        let now = clock::now();
        let mut control = control.borrow_mut();
        let before = control.suspicions.own_suspicions(now);
        control.suspicions.record(&sign, now);
        let after = control.suspicions.own_suspicions(now);
        if before.len() < after.len() {
            let database = sign.database.as_str();
            log::warn!(service = sign.service.as_str(), database = database; "a leader is suspected");
            control.heartbeat_trigger.notify_one();
        }
    }
}

//! The state machine that fails over one group's primary.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_chart::chart;
use bluebellferry_chart::machine;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::event;
use crate::observation;

/// How long the primary must count as lost, without interruption, before it is replaced.
const PRIMARY_LOSS_DELAY: Duration = Duration::from_millis(300);
/// How long ago a replica must have received the last message from its primary to count as
/// having lost contact with it.
const REPLICA_CONTACT_TIMEOUT: Duration = Duration::from_millis(250);
/// How much longer each VM waits before it claims a term than the VM one rank before it.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(700);
/// How long to wait for the store to answer a claim. After that the promotion goes on without
/// an answer.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// How long fencing a majority may take before the promotion is abandoned.
const FENCING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long to wait for the remaining databases once a majority is fenced.
const FENCING_GRACE_PERIOD: Duration = Duration::from_millis(20);
/// How long the chosen database may take to become primary before the promotion is
/// abandoned.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long writing the new primary to the store may take.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a draining primary keeps its role at least, so that every VM has learned
/// that it is draining and sends it no new work.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(400);
/// How long a draining primary keeps its role at most, even if transactions are still
/// open on it.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// How long to expect a new primary after the old one was last known to be lost or
/// draining.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay before the next claim after a promotion has ended, whatever its outcome.
const RETRY_DELAY: Duration = Duration::from_millis(600);

const PROMOTION_CHART: &str = include_str!("promotion.json");

/// The step that a promotion has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PromotionStep {
    /// No promotion is under way; the primary is monitored.
    Watching,
    /// Claiming a term in the store.
    Claiming,
    /// Fencing the databases with the claimed term.
    Fencing,
    /// Waiting for the chosen database to become primary.
    Promoting,
    /// Writing the new primary to the store.
    Publishing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ChartEvent {
    PrimaryLost,
    PrimarySeen,
    ClaimSettled,
    ClaimLost,
    MajorityFenced,
    Promoted,
    Published,
    Abandoned,
}

/// The fixed parameters of one group's promoter on one VM.
#[derive(Debug, Clone)]
pub struct PromoterSettings {
    /// Identifies this incarnation of the VM; databases promise terms to it.
    pub claimant: String,
    /// The number of databases in the group.
    pub database_count: usize,
}

impl PromoterSettings {
    /// Creates the settings for a group of `database_count` databases.
    pub fn new(claimant: &str, database_count: usize) -> Self {
        Self {
            claimant: claimant.to_owned(),
            database_count,
        }
    }
}

/// The actions to carry out after an event, in order.
pub type PromotionActions = SmallVec<[event::PromotionAction; 4]>;

/// Decides, on one VM, when the primary of one service's group is replaced and by which
/// database. Every VM has a promoter for each service.
#[derive(Debug)]
pub struct ServicePromoter {
    settings: PromoterSettings,
    machine: machine::ChartMachine<PromotionStep, ChartEvent>,
    /// The latest probe results, by the databases' indices in the group.
    databases: Vec<observation::GroupDatabaseRecord>,
    lost_since: Option<Instant>,
    draining_since: Option<Instant>,
    /// The last tick at which the primary was lost or draining.
    last_lost_or_draining: Option<Instant>,
    /// The highest term that a database or the store has reported.
    highest_term: u64,
    /// The term of the current promotion, or of the latest one.
    term: u64,
    step_started_at: Instant,
    next_claim_at: Instant,
    /// For each database: its status when it was fenced with `term`.
    fenced_statuses: Vec<Option<observation::GroupDatabaseStatus>>,
    majority_fenced_at: Option<Instant>,
    /// The database that is being promoted.
    chosen_database: usize,
    /// A database that is not promoted if the others are a majority without it: the old
    /// primary, or one that refused to become primary or did not answer in time.
    avoided_database: Option<usize>,
}

impl ServicePromoter {
    /// Creates a promoter in the step [`PromotionStep::Watching`].
    ///
    /// # Panics
    /// Panics if the built-in state chart is invalid, which the tests rule out.
    pub fn new(settings: PromoterSettings, now: Instant) -> Self {
        let chart = chart::StateChart::parse(PROMOTION_CHART).expect("the built-in chart is valid");
        let databases = vec![observation::GroupDatabaseRecord::default(); settings.database_count];
        let fenced_statuses = vec![None; settings.database_count];
        Self {
            settings,
            machine: machine::ChartMachine::new(chart),
            databases,
            lost_since: None,
            draining_since: None,
            last_lost_or_draining: None,
            highest_term: 0,
            term: 0,
            step_started_at: now,
            next_claim_at: now,
            fenced_statuses,
            majority_fenced_at: None,
            chosen_database: 0,
            avoided_database: None,
        }
    }

    /// Returns the current step.
    pub fn step(&self) -> PromotionStep {
        self.machine.current()
    }

    /// Returns the term of the current promotion, or of the latest one.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether the primary is being replaced or about to be, by this VM or another,
    /// or was replaced so recently that its successor may not have been probed yet.
    pub fn expects_replacement(&self, now: Instant) -> bool {
        let is_recent = |last: Instant| now.saturating_duration_since(last) < SUCCESSOR_TIMEOUT;
        self.last_lost_or_draining.is_some_and(is_recent)
    }

    fn majority_size(&self) -> usize {
        self.settings.database_count / 2 + 1
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle_event(&mut self, now: Instant, event: event::PromotionEvent) -> PromotionActions {
        match event {
            event::PromotionEvent::Tick { rank } => self.on_tick(now, rank),
            event::PromotionEvent::ProbeAnswered {
                database_index,
                sent_at,
                status,
            } => self.on_probe_answer(now, database_index, sent_at, status),
            event::PromotionEvent::ProbeFailed { database_index } => {
                self.databases[database_index].record_failure(now);
                self.update_loss(now);
                PromotionActions::new()
            }
            event::PromotionEvent::ClaimAnswered { term, outcome } => {
                self.on_claim_answer(now, term, outcome)
            }
            event::PromotionEvent::FenceAnswered {
                database_index,
                term,
                status,
            } => self.on_fence_answer(now, database_index, term, status),
            event::PromotionEvent::PromoteAnswered { term, is_primary } => {
                self.on_promote_answer(now, term, is_primary)
            }
            event::PromotionEvent::PublishAnswered { term } => {
                if term == self.term {
                    self.fire(now, ChartEvent::Published);
                }
                PromotionActions::new()
            }
        }
    }

    /// Passes an event to the state chart. Returns whether it changed the step.
    fn fire(&mut self, now: Instant, event: ChartEvent) -> bool {
        let has_changed = self.machine.fire(event);
        if has_changed {
            self.step_started_at = now;
            if self.step() == PromotionStep::Watching {
                self.next_claim_at = now + RETRY_DELAY;
            }
        }
        has_changed
    }

    fn on_probe_answer(
        &mut self,
        now: Instant,
        database_index: usize,
        sent_at: Instant,
        status: observation::GroupDatabaseStatus,
    ) -> PromotionActions {
        self.databases[database_index].record_answer(sent_at, status);
        self.highest_term = self.highest_term.max(status.promised_term);
        self.update_loss(now);
        self.update_draining(now);
        if self.lost_since.is_none() && self.draining_since.is_none() {
            self.fire(now, ChartEvent::PrimarySeen);
        }
        PromotionActions::new()
    }

    /// Updates since when the primary has been lost: no database that answers can
    /// acknowledge writes, and a majority reports having lost contact with the primary.
    /// A VM that merely cannot reach the primary itself finds the replicas still in
    /// contact with it, and does nothing.
    fn update_loss(&mut self, now: Instant) {
        let answering = || self.databases.iter().filter(|record| record.is_answering());
        let statuses = || answering().filter_map(|record| record.status);
        let has_primary = statuses().any(|status| status.is_working_primary());
        let lost_contact = |status: &observation::GroupDatabaseStatus| {
            status
                .primary_contact_age
                .is_none_or(|age| age >= REPLICA_CONTACT_TIMEOUT)
        };
        let lost_contact_count = statuses().filter(lost_contact).count();
        if has_primary || lost_contact_count < self.majority_size() {
            self.lost_since = None;
        } else {
            self.lost_since.get_or_insert(now);
        }
    }

    /// Updates since when the working primary has been draining.
    fn update_draining(&mut self, now: Instant) {
        match self.draining_primary() {
            Some(_) => {
                self.draining_since.get_or_insert(now);
            }
            None => self.draining_since = None,
        }
    }

    fn draining_primary(&self) -> Option<usize> {
        self.databases.iter().position(|record| {
            record
                .status
                .is_some_and(|status| status.is_working_primary() && status.is_draining)
        })
    }

    /// Returns since when the primary has been lost. If it is draining, and its transactions
    /// have ended or [`MAX_DRAIN_TIME`] has passed, returns an instant that makes its
    /// replacement due at once.
    fn replacement_due_since(&self, now: Instant) -> Option<Instant> {
        if self.lost_since.is_some() {
            return self.lost_since;
        }
        let draining_since = self.draining_since?;
        let status = self.databases[self.draining_primary()?].status?;
        let earliest = draining_since + MIN_DRAIN_TIME;
        let latest = draining_since + MAX_DRAIN_TIME;
        let due_at = if status.open_transactions == 0 {
            earliest
        } else {
            latest
        };
        // `claim_if_due` adds this delay to the instant, but a draining primary needs no
        // further delay.
        (due_at <= now).then_some(due_at - PRIMARY_LOSS_DELAY)
    }

    fn on_tick(&mut self, now: Instant, rank: usize) -> PromotionActions {
        if self.lost_since.is_some() || self.draining_since.is_some() {
            self.last_lost_or_draining = Some(now);
        }
        let step_age = now.saturating_duration_since(self.step_started_at);
        match self.step() {
            PromotionStep::Watching => self.claim_if_due(now, rank),
            PromotionStep::Claiming if step_age > CLAIM_TIMEOUT => {
                let term = self.term;
                self.on_claim_answer(now, term, event::ClaimOutcome::StoreUnavailable)
            }
            PromotionStep::Fencing => self.promote_if_fenced(now),
            PromotionStep::Promoting if step_age > PROMOTION_TIMEOUT => self.abandon_promotion(now),
            PromotionStep::Publishing if step_age > PUBLISH_TIMEOUT => self.abandon_promotion(now),
            _ => PromotionActions::new(),
        }
    }

    fn abandon_promotion(&mut self, now: Instant) -> PromotionActions {
        self.fire(now, ChartEvent::Abandoned);
        PromotionActions::new()
    }

    fn claim_if_due(&mut self, now: Instant, rank: usize) -> PromotionActions {
        let Some(lost_since) = self.replacement_due_since(now) else {
            return PromotionActions::new();
        };
        let claim_delay = PRIMARY_LOSS_DELAY + CLAIM_DELAY_PER_RANK * rank as u32;
        let is_due = now.saturating_duration_since(lost_since) >= claim_delay;
        if !is_due || now < self.next_claim_at {
            return PromotionActions::new();
        }
        self.fire(now, ChartEvent::PrimaryLost);
        self.avoid_old_primary();
        self.term = self.highest_term + 1;
        smallvec::smallvec![event::PromotionAction::Claim { term: self.term }]
    }

    fn on_claim_answer(
        &mut self,
        now: Instant,
        term: u64,
        outcome: event::ClaimOutcome,
    ) -> PromotionActions {
        if term != self.term || self.step() != PromotionStep::Claiming {
            return PromotionActions::new();
        }
        if let event::ClaimOutcome::Lost { term } = outcome {
            self.highest_term = self.highest_term.max(term);
            self.fire(now, ChartEvent::ClaimLost);
            return PromotionActions::new();
        }
        self.fire(now, ChartEvent::ClaimSettled);
        self.fenced_statuses.fill(None);
        self.majority_fenced_at = None;
        let fence = |database_index| event::PromotionAction::Fence {
            database_index,
            term,
        };
        (0..self.settings.database_count).map(fence).collect()
    }

    fn on_fence_answer(
        &mut self,
        now: Instant,
        database_index: usize,
        term: u64,
        status: Option<observation::GroupDatabaseStatus>,
    ) -> PromotionActions {
        if term != self.term || self.step() != PromotionStep::Fencing {
            return PromotionActions::new();
        }
        if let Some(status) = status {
            self.highest_term = self.highest_term.max(status.promised_term);
            self.fenced_statuses[database_index] = Some(status);
        }
        let count = self.fenced_statuses.iter().flatten().count();
        if count >= self.majority_size() {
            self.majority_fenced_at.get_or_insert(now);
        }
        if count == self.settings.database_count {
            return self.promote_longest_log(now);
        }
        PromotionActions::new()
    }

    fn promote_if_fenced(&mut self, now: Instant) -> PromotionActions {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if self
            .majority_fenced_at
            .is_some_and(|since| elapsed(since) >= FENCING_GRACE_PERIOD)
        {
            return self.promote_longest_log(now);
        }
        if elapsed(self.step_started_at) > FENCING_TIMEOUT {
            return self.abandon_promotion(now);
        }
        PromotionActions::new()
    }

    /// Excludes the old primary from the choice if it still accepts writes: a primary that
    /// reaches no majority would not reach one in a new term either, and a draining one is
    /// about to stop.
    fn avoid_old_primary(&mut self) {
        let accepts_writes = |record: &observation::GroupDatabaseRecord| {
            record.status.is_some_and(|status| status.accepts_writes)
        };
        let old_primary = self.databases.iter().position(accepts_writes);
        self.avoided_database = old_primary.or(self.avoided_database);
    }

    /// Promotes the fenced database whose log ends in the highest term and, among those, is
    /// longest.
    ///
    /// Every acknowledged write is in the logs of a majority, so any fenced majority includes
    /// a log with that write, and the chosen log has all such writes. This holds also without
    /// the avoided database, as long as the other fenced databases are a majority.
    fn promote_longest_log(&mut self, now: Instant) -> PromotionActions {
        let logs = self.fenced_statuses.iter().enumerate();
        let logs = logs.filter_map(|(database_index, status)| {
            Some((status.as_ref()?.log_position, database_index))
        });
        let mut logs: SmallVec<[_; 4]> = logs.collect();
        if logs.len() > self.majority_size() {
            logs.retain(|(_, database_index)| Some(*database_index) != self.avoided_database);
        }
        let Some((_, database_index)) = logs.into_iter().max() else {
            return self.abandon_promotion(now);
        };
        self.fire(now, ChartEvent::MajorityFenced);
        self.chosen_database = database_index;
        smallvec::smallvec![event::PromotionAction::Promote {
            database_index,
            term: self.term
        }]
    }

    fn on_promote_answer(&mut self, now: Instant, term: u64, is_primary: bool) -> PromotionActions {
        if term != self.term || self.step() != PromotionStep::Promoting {
            return PromotionActions::new();
        }
        if !is_primary {
            self.avoided_database = Some(self.chosen_database);
            return self.abandon_promotion(now);
        }
        self.highest_term = self.highest_term.max(term);
        self.avoided_database = None;
        self.fire(now, ChartEvent::Promoted);
        smallvec::smallvec![event::PromotionAction::Publish {
            database_index: self.chosen_database,
            term
        }]
    }
}

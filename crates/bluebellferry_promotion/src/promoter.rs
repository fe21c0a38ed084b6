//! The state machine that replaces one group's primary.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_chart::chart;
use bluebellferry_chart::machine;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::event;
use crate::observation;

/// How long the primary must fail its probes before it counts as lost.
const PRIMARY_SILENCE: Duration = Duration::from_millis(300);
/// How long replicas must be without contact to the primary to confirm it.
const REPLICA_SILENCE: Duration = Duration::from_millis(250);
/// By how much each further VM in the order waits longer than the one before.
const TAKEOVER_STEP: Duration = Duration::from_millis(700);
/// How long the store may take to settle a claim.
const CLAIM_LIMIT: Duration = Duration::from_millis(400);
/// How long fencing may take.
const FENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// How long further answers are waited for once a majority is fenced.
const FENCE_GRACE: Duration = Duration::from_millis(20);
/// How long the chosen database may take to become primary.
const PROMOTE_LIMIT: Duration = Duration::from_millis(2_500);
/// How long the outcome may take to be written to the store.
const PUBLISH_LIMIT: Duration = Duration::from_millis(2_000);
/// How long a leaving primary is left alone, so that every VM has noticed and
/// sends it nothing new.
const HANDOVER_NOTICE: Duration = Duration::from_millis(400);
/// After how long a leaving primary is replaced although transactions are open.
const HANDOVER_LIMIT: Duration = Duration::from_millis(2_500);
/// How long after a primary was last seen lost or leaving its successor is
/// waited for.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(3);
/// The pause after a failed or lost attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

const PROMOTION_CHART: &str = include_str!("promotion.json");

/// The step that a promotion has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PromotionStep {
    /// The primary is watched.
    Watching,
    /// A term is being claimed in the store.
    Claiming,
    /// The databases are being fenced with the term.
    Fencing,
    /// The chosen database is becoming primary.
    Promoting,
    /// The outcome is being written to the store.
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

/// What stays the same for one group on one VM.
#[derive(Debug, Clone)]
pub struct PromoterSettings {
    /// This VM's incarnation, to which databases promise terms.
    pub claimant: String,
    /// How many databases the group has.
    pub member_count: usize,
}

impl PromoterSettings {
    /// Creates the settings.
    pub fn new(claimant: &str, member_count: usize) -> Self {
        Self {
            claimant: claimant.to_owned(),
            member_count,
        }
    }
}

/// The actions that follow from an event.
pub type PromotionActions = SmallVec<[event::PromotionAction; 4]>;

/// The promoter of one group on one VM.
#[derive(Debug)]
pub struct ServicePromoter {
    settings: PromoterSettings,
    machine: machine::ChartMachine<PromotionStep, ChartEvent>,
    members: Vec<observation::MemberRecord>,
    lost_since: Option<Instant>,
    leaving_since: Option<Instant>,
    last_gone: Option<Instant>,
    highest_term: u64,
    term: u64,
    step_since: Instant,
    not_before: Instant,
    fenced: Vec<Option<observation::MemberStatus>>,
    majority_since: Option<Instant>,
    chosen: usize,
    avoided: Option<usize>,
}

impl ServicePromoter {
    /// Creates a promoter that watches.
    ///
    /// # Panics
    /// Panics when the built-in chart fails its checks, which tests rule out.
    pub fn new(settings: PromoterSettings, now: Instant) -> Self {
        let chart = chart::StateChart::parse(PROMOTION_CHART).expect("the built-in chart is valid");
        let members = vec![observation::MemberRecord::default(); settings.member_count];
        let fenced = vec![None; settings.member_count];
        Self {
            settings,
            machine: machine::ChartMachine::new(chart),
            members,
            lost_since: None,
            leaving_since: None,
            last_gone: None,
            highest_term: 0,
            term: 0,
            step_since: now,
            not_before: now,
            fenced,
            majority_since: None,
            chosen: 0,
            avoided: None,
        }
    }

    /// Returns the step that has been reached.
    pub fn step(&self) -> PromotionStep {
        self.machine.current()
    }

    /// Returns the term of the promotion that is under way.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether a primary is being replaced, by this VM or another, or
    /// was a moment ago and its successor may not have been seen yet.
    pub fn expects_replacement(&self, now: Instant) -> bool {
        let recent = |gone: Instant| now.saturating_duration_since(gone) < SUCCESSOR_WAIT;
        self.last_gone.is_some_and(recent)
    }

    fn majority(&self) -> usize {
        self.settings.member_count / 2 + 1
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: event::PromotionEvent) -> PromotionActions {
        match event {
            event::PromotionEvent::Tick { rank } => self.on_tick(now, rank),
            event::PromotionEvent::ProbeAnswered {
                member,
                sent_at,
                status,
            } => self.on_probe(now, member, sent_at, status),
            event::PromotionEvent::ProbeFailed { member } => {
                self.members[member].record_failure(now);
                self.update_loss(now);
                PromotionActions::new()
            }
            event::PromotionEvent::ClaimAnswered { term, outcome } => {
                self.on_claim(now, term, outcome)
            }
            event::PromotionEvent::FenceAnswered {
                member,
                term,
                status,
            } => self.on_fence(now, member, term, status),
            event::PromotionEvent::PromoteAnswered { term, promoted } => {
                self.on_promoted(now, term, promoted)
            }
            event::PromotionEvent::PublishAnswered { term } => {
                if term == self.term {
                    self.fire(now, ChartEvent::Published);
                }
                PromotionActions::new()
            }
        }
    }

    fn fire(&mut self, now: Instant, event: ChartEvent) -> bool {
        let moved = self.machine.fire(event);
        if moved {
            self.step_since = now;
            if self.step() == PromotionStep::Watching {
                self.not_before = now + RETRY_PAUSE;
            }
        }
        moved
    }

    fn on_probe(
        &mut self,
        now: Instant,
        member: usize,
        sent_at: Instant,
        status: observation::MemberStatus,
    ) -> PromotionActions {
        self.members[member].record_answer(sent_at, status);
        self.highest_term = self.highest_term.max(status.promised_term);
        self.update_loss(now);
        self.update_leaving(now);
        if self.lost_since.is_none() && self.leaving_since.is_none() {
            self.fire(now, ChartEvent::PrimarySeen);
        }
        PromotionActions::new()
    }

    /// The primary is lost once no answering database can acknowledge writes and a
    /// majority answers that it has not heard from a primary for a while.
    /// A VM that merely cannot reach the primary itself sees its replicas
    /// still in contact with it, and does nothing.
    fn update_loss(&mut self, now: Instant) {
        let answering = || self.members.iter().filter(|record| record.is_answering());
        let statuses = || answering().filter_map(|record| record.status);
        let has_primary = statuses().any(|status| status.is_working_primary());
        let silent = |status: &observation::MemberStatus| {
            status
                .primary_contact_age
                .is_none_or(|contact| contact >= REPLICA_SILENCE)
        };
        let confirmed = statuses().filter(silent).count();
        if has_primary || confirmed < self.majority() {
            self.lost_since = None;
        } else {
            self.lost_since.get_or_insert(now);
        }
    }

    /// Notes since when the working primary has been asking to leave.
    fn update_leaving(&mut self, now: Instant) {
        match self.leaving_primary() {
            Some(_) => {
                self.leaving_since.get_or_insert(now);
            }
            None => self.leaving_since = None,
        }
    }

    fn leaving_primary(&self) -> Option<usize> {
        self.members.iter().position(|record| {
            record
                .status
                .is_some_and(|status| status.is_working_primary() && status.is_draining)
        })
    }

    /// Returns since when the primary's replacement has been due: it is lost,
    /// or it is leaving and its transactions have ended or had their time.
    fn replacement_due_since(&self, now: Instant) -> Option<Instant> {
        if self.lost_since.is_some() {
            return self.lost_since;
        }
        let leaving_since = self.leaving_since?;
        let status = self.members[self.leaving_primary()?].status?;
        let noticed = leaving_since + HANDOVER_NOTICE;
        let limit = leaving_since + HANDOVER_LIMIT;
        let due = if status.open_transactions == 0 {
            noticed
        } else {
            limit
        };
        // The silence that a lost primary is given has no meaning here.
        (due <= now).then_some(due - PRIMARY_SILENCE)
    }

    fn on_tick(&mut self, now: Instant, rank: usize) -> PromotionActions {
        if self.lost_since.is_some() || self.leaving_since.is_some() {
            self.last_gone = Some(now);
        }
        let in_step = now.saturating_duration_since(self.step_since);
        match self.step() {
            PromotionStep::Watching => self.consider_claim(now, rank),
            PromotionStep::Claiming if in_step > CLAIM_LIMIT => {
                let term = self.term;
                self.on_claim(now, term, event::ClaimOutcome::StoreUnavailable)
            }
            PromotionStep::Fencing => self.consider_choice(now),
            PromotionStep::Promoting if in_step > PROMOTE_LIMIT => self.abandon(now),
            PromotionStep::Publishing if in_step > PUBLISH_LIMIT => self.abandon(now),
            _ => PromotionActions::new(),
        }
    }

    fn abandon(&mut self, now: Instant) -> PromotionActions {
        self.fire(now, ChartEvent::Abandoned);
        PromotionActions::new()
    }

    fn consider_claim(&mut self, now: Instant, rank: usize) -> PromotionActions {
        let Some(lost_since) = self.replacement_due_since(now) else {
            return PromotionActions::new();
        };
        let patience = PRIMARY_SILENCE + TAKEOVER_STEP * rank as u32;
        let due = now.saturating_duration_since(lost_since) >= patience;
        if !due || now < self.not_before {
            return PromotionActions::new();
        }
        self.fire(now, ChartEvent::PrimaryLost);
        self.avoid_stuck_primary();
        self.term = self.highest_term + 1;
        smallvec::smallvec![event::PromotionAction::Claim { term: self.term }]
    }

    fn on_claim(
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
        self.fenced.fill(None);
        self.majority_since = None;
        let fence = |member| event::PromotionAction::Fence { member, term };
        (0..self.settings.member_count).map(fence).collect()
    }

    fn on_fence(
        &mut self,
        now: Instant,
        member: usize,
        term: u64,
        status: Option<observation::MemberStatus>,
    ) -> PromotionActions {
        if term != self.term || self.step() != PromotionStep::Fencing {
            return PromotionActions::new();
        }
        if let Some(status) = status {
            self.highest_term = self.highest_term.max(status.promised_term);
            self.fenced[member] = Some(status);
        }
        let count = self.fenced.iter().flatten().count();
        if count >= self.majority() {
            self.majority_since.get_or_insert(now);
        }
        if count == self.settings.member_count {
            return self.choose(now);
        }
        PromotionActions::new()
    }

    fn consider_choice(&mut self, now: Instant) -> PromotionActions {
        let waited = |since: Instant| now.saturating_duration_since(since);
        if self
            .majority_since
            .is_some_and(|since| waited(since) >= FENCE_GRACE)
        {
            return self.choose(now);
        }
        if waited(self.step_since) > FENCE_LIMIT {
            return self.abandon(now);
        }
        PromotionActions::new()
    }

    /// A primary that still takes writes but reaches no majority would be no
    /// better in a new term.
    fn avoid_stuck_primary(&mut self) {
        let takes_writes = |record: &observation::MemberRecord| {
            record.status.is_some_and(|status| status.accepts_writes)
        };
        let stuck = self.members.iter().position(takes_writes);
        self.avoided = stuck.or(self.avoided);
    }

    /// Chooses the longest log among a fenced majority. Every acknowledged
    /// write is held by a majority, so any fenced majority has it, and the
    /// longest log of its highest term has them all. So one database can be
    /// left out wherever the others are a majority without it.
    fn choose(&mut self, now: Instant) -> PromotionActions {
        let logs = self.fenced.iter().enumerate();
        let logs =
            logs.filter_map(|(member, status)| Some((status.as_ref()?.log_position, member)));
        let mut logs: SmallVec<[_; 4]> = logs.collect();
        if logs.len() > self.majority() {
            logs.retain(|(_, member)| Some(*member) != self.avoided);
        }
        let Some((_, member)) = logs.into_iter().max() else {
            return self.abandon(now);
        };
        self.fire(now, ChartEvent::MajorityFenced);
        self.chosen = member;
        smallvec::smallvec![event::PromotionAction::Promote {
            member,
            term: self.term
        }]
    }

    fn on_promoted(&mut self, now: Instant, term: u64, promoted: bool) -> PromotionActions {
        if term != self.term || self.step() != PromotionStep::Promoting {
            return PromotionActions::new();
        }
        if !promoted {
            self.avoided = Some(self.chosen);
            return self.abandon(now);
        }
        self.highest_term = self.highest_term.max(term);
        self.avoided = None;
        self.fire(now, ChartEvent::Promoted);
        smallvec::smallvec![event::PromotionAction::Publish {
            member: self.chosen,
            term
        }]
    }
}

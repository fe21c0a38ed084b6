//! Look-ups that the checks share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Bound;

use bluebellferry_types::position;

use super::CallerStatement;
use super::DatabaseCommit;
use super::DatabasePromotion;
use super::DatabaseRun;
use super::FaultTarget;
use super::HistoryBounds;
use super::StatementAction;
use super::StatementHistory;
use super::VmSignal;

/// A history with look-ups by id, attempt and time.
pub(super) struct HistoryIndex<'a> {
    pub(super) history: &'a StatementHistory,
    pub(super) bounds: &'a HistoryBounds,
    statements: HashMap<&'a str, &'a CallerStatement>,
    runs: HashMap<&'a str, Vec<&'a DatabaseRun>>,
    /// The statements of each attempt, in the order of sending.
    attempts: BTreeMap<u64, Vec<&'a CallerStatement>>,
    /// By service and term.
    promotions: BTreeMap<(&'a str, u64), &'a DatabasePromotion>,
    stops: Vec<VmStop<'a>>,
}

/// An orderly stop of a VM until it is started again.
struct VmStop<'a> {
    vm: &'a str,
    from_us: u64,
    /// `u64::MAX` if it is not.
    to_us: u64,
}

impl<'a> HistoryIndex<'a> {
    pub(super) fn new(history: &'a StatementHistory, bounds: &'a HistoryBounds) -> Self {
        let mut attempts: BTreeMap<u64, Vec<&CallerStatement>> = BTreeMap::new();
        for statement in &history.statements {
            attempts
                .entry(statement.attempt)
                .or_default()
                .push(statement);
        }
        for statements in attempts.values_mut() {
            statements.sort_by_key(|statement| statement.sent_us);
        }
        let mut runs: HashMap<&str, Vec<&DatabaseRun>> = HashMap::new();
        for run in &history.runs {
            runs.entry(&run.request).or_default().push(run);
        }
        let stop = |signal: &'a VmSignal| {
            let starts = history.starts.iter().filter(|start| start.vm == signal.vm);
            let starts = starts.map(|start| start.started_us);
            VmStop {
                vm: &signal.vm,
                from_us: signal.sent_us,
                to_us: starts
                    .filter(|time| *time > signal.sent_us)
                    .min()
                    .unwrap_or(u64::MAX),
            }
        };
        let stops = history.signals.iter().filter(|signal| signal.is_stop);
        let statements = history.statements.iter();
        let promotions = history.promotions.iter();
        Self {
            history,
            bounds,
            statements: statements
                .map(|statement| (statement.request.as_str(), statement))
                .collect(),
            runs,
            attempts,
            promotions: promotions
                .map(|promotion| ((promotion.service.as_str(), promotion.term), promotion))
                .collect(),
            stops: stops.map(stop).collect(),
        }
    }

    /// Returns what the caller saw of a request.
    pub(super) fn statement(&self, request: &str) -> Option<&'a CallerStatement> {
        self.statements.get(request).copied()
    }

    /// Returns the runs of a request.
    pub(super) fn runs(&self, request: &str) -> &[&'a DatabaseRun] {
        self.runs.get(request).map_or(&[], Vec::as_slice)
    }

    /// Returns the attempts, each with its statements in the order of sending.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &[&'a CallerStatement]> {
        self.attempts.values().map(Vec::as_slice)
    }

    /// Returns when the first byte of a statement's attempt was sent.
    pub(super) fn attempt_sent_us(&self, statement: &CallerStatement) -> u64 {
        let first = self.attempts.get(&statement.attempt);
        let first = first.and_then(|statements| statements.first());
        first.map_or(statement.sent_us, |first| first.sent_us)
    }

    /// Returns whether a service's log that ends at `end` holds a position.
    pub(super) fn holds(
        &self,
        service: &str,
        end: position::LogPosition,
        position: position::LogPosition,
    ) -> bool {
        if position.term > end.term || position.offset > end.offset {
            return false;
        }
        let later = (
            Bound::Excluded((service, position.term)),
            Bound::Included((service, end.term)),
        );
        let mut promotions = self.promotions.range(later);
        promotions.all(|(_, promotion)| position.offset <= promotion.kept.offset)
    }

    /// Returns whether a promotion rolled a commit back.
    pub(super) fn is_rolled_back(&self, commit: &DatabaseCommit) -> bool {
        let service = commit.service.as_str();
        let later = (service, commit.position.term + 1)..=(service, u64::MAX);
        let mut promotions = self.promotions.range(later);
        promotions.any(|(_, promotion)| commit.position.offset > promotion.kept.offset)
    }

    /// Returns whether a fault harmed one of the targets within a span.
    fn is_harmed(&self, from_us: u64, to_us: u64, harms: impl Fn(&FaultTarget) -> bool) -> bool {
        let mut faults = self.history.faults.iter();
        faults.any(|fault| {
            fault.started_us <= to_us && fault.ended_us >= from_us && harms(&fault.target)
        })
    }

    /// Returns whether a VM or one of its links was harmed within a span.
    pub(super) fn is_vm_harmed(&self, vm: &str, from_us: u64, to_us: u64) -> bool {
        let is_vm = |target: &FaultTarget| matches!(target, FaultTarget::Vm(name) if name == vm);
        self.is_harmed(from_us, to_us, is_vm)
    }

    /// Returns whether a database or one of its links was harmed within a span.
    pub(super) fn is_database_harmed(&self, database: &str, from_us: u64, to_us: u64) -> bool {
        let is_database = |target: &FaultTarget| matches!(target, FaultTarget::Database(name) if name == database);
        self.is_harmed(from_us, to_us, is_database)
    }

    /// Returns whether a VM ran undisturbed from [`HistoryBounds::fault_grace_us`]
    /// before a span until its end.
    fn is_vm_calm(&self, vm: &str, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(self.bounds.fault_grace_us);
        let mut starts = self.history.starts.iter();
        let is_started = |time: u64| (from_us..=to_us).contains(&time);
        let mut stops = self.stops.iter();
        !self.is_vm_harmed(vm, from_us, to_us)
            && !starts.any(|start| start.vm == vm && is_started(start.started_us))
            && !stops.any(|stop| stop.vm == vm && stop.from_us <= to_us && stop.to_us >= from_us)
    }

    /// Returns whether a VM is held to bounds of time over a span.
    pub(super) fn is_in_touch(&self, vm: &str, from_us: u64, to_us: u64) -> bool {
        let is_store = |target: &FaultTarget| {
            matches!(target, FaultTarget::StoreAway | FaultTarget::StoreImpaired)
        };
        let calm_us = from_us.saturating_sub(self.bounds.fault_grace_us);
        self.is_vm_calm(vm, from_us, to_us) && !self.is_harmed(calm_us, to_us, is_store)
    }

    /// Returns whether a version that was confirmed at one moment must be in
    /// force on a VM at another.
    pub(super) fn must_apply(&self, vm: &str, confirmed_us: u64, at_us: u64) -> bool {
        let due_us = confirmed_us + self.bounds.configuration_apply_us;
        if at_us <= due_us {
            return false;
        }
        if self.is_in_touch(vm, at_us, at_us) {
            return true;
        }
        // A store that is impaired but answers stretches the bound only.
        let is_away = |target: &FaultTarget| matches!(target, FaultTarget::StoreAway);
        at_us > due_us + self.bounds.impaired_store_extra_us
            && self.is_vm_calm(vm, at_us, at_us)
            && !self.is_harmed(confirmed_us, at_us, is_away)
    }

    /// Returns whether a VM is gone for good.
    fn is_gone(&self, vm: &str, at_us: u64) -> bool {
        self.is_vm_harmed(vm, u64::MAX, at_us)
    }

    /// Returns from when on every VM has had to have a version in force that
    /// was confirmed at a moment.
    pub(super) fn binds_all_us(&self, confirmed_us: u64) -> Option<u64> {
        let starts = self.history.starts.iter();
        let vms: BTreeSet<&str> = starts.map(|start| start.vm.as_str()).collect();
        // Only where a disturbance has passed can the answer change.
        let ends = self.history.faults.iter().map(|fault| fault.ended_us);
        let ends = ends.chain(self.history.starts.iter().map(|start| start.started_us));
        let after = ends.map(|end_us| end_us.saturating_add(self.bounds.fault_grace_us));
        let due_us = confirmed_us + self.bounds.configuration_apply_us;
        let outer_us = due_us + self.bounds.impaired_store_extra_us;
        let candidates = after
            .chain([due_us, outer_us])
            .filter(|time| *time >= due_us);
        let mut candidates: Vec<u64> = candidates.map(|time| time.saturating_add(1)).collect();
        candidates.sort_unstable();
        candidates.into_iter().find(|time| {
            let mut vms = vms.iter();
            vms.all(|vm| self.must_apply(vm, confirmed_us, *time) || self.is_gone(vm, *time))
        })
    }

    /// Returns whether a statement is single or the first of its transaction.
    pub(super) fn is_first(&self, statement: &CallerStatement) -> bool {
        let attempt = self.attempts.get(&statement.attempt);
        let mut earlier = attempt.into_iter().flatten();
        !earlier.any(|other| {
            other.action != StatementAction::Begin && other.sent_us < statement.sent_us
        })
    }

    /// Returns the spans until `end_us` in which nothing is harmed or stopped.
    /// What is gone for good is no longer missed.
    pub(super) fn quiet_spans(&self, end_us: u64) -> Vec<(u64, u64)> {
        let faults = self.history.faults.iter();
        let faults = faults.map(|fault| (fault.started_us, fault.ended_us));
        let stops = self.stops.iter().map(|stop| (stop.from_us, stop.to_us));
        let starts = self.history.starts.iter();
        let starts = starts.map(|start| (start.started_us, start.started_us));
        let mut harmed: Vec<(u64, u64)> = faults.chain(stops).chain(starts).collect();
        harmed.sort_unstable();
        let mut spans = Vec::new();
        let mut quiet_us = 0;
        for (from_us, to_us) in harmed {
            if from_us > quiet_us {
                spans.push((quiet_us, from_us.min(end_us)));
            }
            let to_us = if to_us == u64::MAX { from_us } else { to_us };
            quiet_us = quiet_us.max(to_us);
        }
        spans.push((quiet_us, end_us));
        spans.retain(|(from_us, to_us)| from_us < to_us);
        spans
    }
}

//! Lookups in a history that several checks use.

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

/// A history with lookups by statement id, attempt and time.
pub(super) struct HistoryIndex<'a> {
    pub(super) history: &'a StatementHistory,
    pub(super) bounds: &'a HistoryBounds,
    statements: HashMap<&'a str, &'a CallerStatement>,
    runs: HashMap<&'a str, Vec<&'a DatabaseRun>>,
    /// The statements of each attempt, ordered by the time of sending.
    attempts: BTreeMap<u64, Vec<&'a CallerStatement>>,
    /// Promotions by service and the term that they begin.
    promotions: BTreeMap<(&'a str, u64), &'a DatabasePromotion>,
    stops: Vec<VmStop<'a>>,
}

/// An orderly stop of a VM, until the VM is started again.
struct VmStop<'a> {
    vm: &'a str,
    from_us: u64,
    /// When the VM was started again; `u64::MAX` if it was not.
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
                    .filter(|started_us| *started_us > signal.sent_us)
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

    /// Returns the statement with an id, as its caller observed it.
    pub(super) fn find_statement(&self, request: &str) -> Option<&'a CallerStatement> {
        self.statements.get(request).copied()
    }

    /// Returns all executions of the statement with an id.
    pub(super) fn runs_of(&self, request: &str) -> &[&'a DatabaseRun] {
        self.runs.get(request).map_or(&[], Vec::as_slice)
    }

    /// Returns each attempt's statements, ordered by the time of sending.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &[&'a CallerStatement]> {
        self.attempts.values().map(Vec::as_slice)
    }

    /// Returns when the first statement of a statement's attempt was sent.
    pub(super) fn attempt_start_us(&self, statement: &CallerStatement) -> u64 {
        let first = self.attempts.get(&statement.attempt);
        let first = first.and_then(|statements| statements.first());
        first.map_or(statement.sent_us, |first| first.sent_us)
    }

    /// Returns whether a log of a service that ends at `end` contains `position`.
    pub(super) fn log_contains(
        &self,
        service: &str,
        end: position::LogPosition,
        position: position::LogPosition,
    ) -> bool {
        if position.term > end.term || position.offset > end.offset {
            return false;
        }
        let later_terms = (
            Bound::Excluded((service, position.term)),
            Bound::Included((service, end.term)),
        );
        let mut promotions = self.promotions.range(later_terms);
        promotions.all(|(_, promotion)| position.offset <= promotion.kept.offset)
    }

    /// Returns whether a later promotion discarded a commit, because the promoted
    /// database's log lacked it.
    pub(super) fn is_discarded_by_promotion(&self, commit: &DatabaseCommit) -> bool {
        let service = commit.service.as_str();
        let later_terms = (service, commit.position.term + 1)..=(service, u64::MAX);
        let mut promotions = self.promotions.range(later_terms);
        promotions.any(|(_, promotion)| commit.position.offset > promotion.kept.offset)
    }

    /// Returns whether any fault of a target that `is_target` selects overlaps a
    /// span of time.
    fn has_fault(
        &self,
        from_us: u64,
        to_us: u64,
        is_target: impl Fn(&FaultTarget) -> bool,
    ) -> bool {
        let mut faults = self.history.faults.iter();
        faults.any(|fault| {
            fault.started_us <= to_us && fault.ended_us >= from_us && is_target(&fault.target)
        })
    }

    /// Returns whether a fault of a VM or its links overlaps a span of time.
    pub(super) fn has_vm_fault(&self, vm: &str, from_us: u64, to_us: u64) -> bool {
        let is_vm = |target: &FaultTarget| matches!(target, FaultTarget::Vm(name) if name == vm);
        self.has_fault(from_us, to_us, is_vm)
    }

    /// Returns whether a fault of a database or its links overlaps a span of time.
    pub(super) fn has_database_fault(&self, database: &str, from_us: u64, to_us: u64) -> bool {
        let is_database = |target: &FaultTarget| matches!(target, FaultTarget::Database(name) if name == database);
        self.has_fault(from_us, to_us, is_database)
    }

    /// Returns whether a VM had no fault, start or orderly stop within a span of
    /// time and [`HistoryBounds::fault_grace_us`] before it.
    fn is_vm_undisturbed(&self, vm: &str, from_us: u64, to_us: u64) -> bool {
        let from_us = from_us.saturating_sub(self.bounds.fault_grace_us);
        let mut starts = self.history.starts.iter();
        let is_within = |time_us: u64| (from_us..=to_us).contains(&time_us);
        let mut stops = self.stops.iter();
        !self.has_vm_fault(vm, from_us, to_us)
            && !starts.any(|start| start.vm == vm && is_within(start.started_us))
            && !stops.any(|stop| stop.vm == vm && stop.from_us <= to_us && stop.to_us >= from_us)
    }

    /// Returns whether a VM must meet deadlines in a span of time: within the span and
    /// [`HistoryBounds::fault_grace_us`] before it, the VM was undisturbed and the
    /// store had no fault.
    pub(super) fn must_meet_deadlines(&self, vm: &str, from_us: u64, to_us: u64) -> bool {
        let is_store = |target: &FaultTarget| {
            matches!(target, FaultTarget::StoreAway | FaultTarget::StoreImpaired)
        };
        let undisturbed_from_us = from_us.saturating_sub(self.bounds.fault_grace_us);
        self.is_vm_undisturbed(vm, from_us, to_us)
            && !self.has_fault(undisturbed_from_us, to_us, is_store)
    }

    /// Returns whether a VM must have applied, at `at_us`, a configuration version
    /// that was confirmed at `confirmed_us`.
    pub(super) fn must_have_applied(&self, vm: &str, confirmed_us: u64, at_us: u64) -> bool {
        let due_us = confirmed_us + self.bounds.configuration_apply_us;
        if at_us <= due_us {
            return false;
        }
        if self.must_meet_deadlines(vm, at_us, at_us) {
            return true;
        }
        // An impaired store that still answers extends the deadline by a fixed time; an
        // unavailable one suspends it.
        let is_unavailable = |target: &FaultTarget| matches!(target, FaultTarget::StoreAway);
        at_us > due_us + self.bounds.impaired_store_extra_us
            && self.is_vm_undisturbed(vm, at_us, at_us)
            && !self.has_fault(confirmed_us, at_us, is_unavailable)
    }

    /// Returns whether a VM has been lost permanently by `at_us`: a fault of the VM that
    /// began until then never ends.
    fn is_permanently_lost(&self, vm: &str, at_us: u64) -> bool {
        self.has_vm_fault(vm, u64::MAX, at_us)
    }

    /// Returns the earliest time at which every VM must have applied a configuration
    /// version that was confirmed at `confirmed_us`. Permanently lost VMs don't
    /// count.
    pub(super) fn applied_everywhere_us(&self, confirmed_us: u64) -> Option<u64> {
        let starts = self.history.starts.iter();
        let vms: BTreeSet<&str> = starts.map(|start| start.vm.as_str()).collect();
        // The condition can become true only when a deadline passes or when the grace
        // time after a fault or start ends, so only these times are tried.
        let ends = self.history.faults.iter().map(|fault| fault.ended_us);
        let ends = ends.chain(self.history.starts.iter().map(|start| start.started_us));
        let settled = ends.map(|end_us| end_us.saturating_add(self.bounds.fault_grace_us));
        let due_us = confirmed_us + self.bounds.configuration_apply_us;
        let extended_due_us = due_us + self.bounds.impaired_store_extra_us;
        let candidates = settled
            .chain([due_us, extended_due_us])
            .filter(|time_us| *time_us >= due_us);
        let mut candidates: Vec<u64> = candidates
            .map(|time_us| time_us.saturating_add(1))
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().find(|time_us| {
            let mut vms = vms.iter();
            vms.all(|vm| {
                self.must_have_applied(vm, confirmed_us, *time_us)
                    || self.is_permanently_lost(vm, *time_us)
            })
        })
    }

    /// Returns whether a statement is the first of its attempt, not counting BEGIN.
    pub(super) fn starts_attempt(&self, statement: &CallerStatement) -> bool {
        let attempt = self.attempts.get(&statement.attempt);
        let mut earlier = attempt.into_iter().flatten();
        !earlier.any(|other| {
            other.action != StatementAction::Begin && other.sent_us < statement.sent_us
        })
    }

    /// Returns the spans of time until `end_us` without any fault, orderly stop or
    /// start. A fault or stop that never ends counts only at its beginning, because
    /// what is lost permanently is no longer expected to serve.
    pub(super) fn undisturbed_spans(&self, end_us: u64) -> Vec<(u64, u64)> {
        let faults = self.history.faults.iter();
        let faults = faults.map(|fault| (fault.started_us, fault.ended_us));
        let stops = self.stops.iter().map(|stop| (stop.from_us, stop.to_us));
        let starts = self.history.starts.iter();
        let starts = starts.map(|start| (start.started_us, start.started_us));
        let mut disturbances: Vec<(u64, u64)> = faults.chain(stops).chain(starts).collect();
        disturbances.sort_unstable();
        let mut spans = Vec::new();
        let mut span_start_us = 0;
        for (from_us, to_us) in disturbances {
            if from_us > span_start_us {
                spans.push((span_start_us, from_us.min(end_us)));
            }
            let to_us = if to_us == u64::MAX { from_us } else { to_us };
            span_start_us = span_start_us.max(to_us);
        }
        spans.push((span_start_us, end_us));
        spans.retain(|(from_us, to_us)| from_us < to_us);
        spans
    }
}

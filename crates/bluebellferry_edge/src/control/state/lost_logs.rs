//! What a successor's log must reach because logs are gone, and which orders are outstanding.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_membership::heartbeat;
use bluebellferry_promotion::order;
use bluebellferry_promotion::roster;
use bluebellferry_routing::history;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use bluebellferry_types::position;

use crate::control::state;
use crate::shared;

/// How long after its start a VM waits for databases that are just registering again.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The maximum time between a write of the leadership table and its application by the VM that
/// replaces leaders: the timeout of a call to the store, and a read of it.
const MAX_TABLE_DELAY: Duration = Duration::from_secs(3);

impl state::ControlState {
    /// Returns a position that the log of the next leader of a service must reach: the end of the
    /// present leader's log when it was chosen, and what databases had that are gone.
    pub fn required_end(&self, service: &name::ServiceName) -> Option<position::LogPosition> {
        let leader = self.known_leader(service);
        let chosen = leader.and_then(|leader| leader.log_end_when_chosen);
        let entry = self.leadership_table.leaders.get(service);
        let recorded = entry.and_then(|entry| entry.required_end);
        let covered = self
            .rosters
            .get(service)
            .and_then(roster::DatabaseRoster::covered_end);
        let covered = covered.map(|covered| without_empty_term(covered, chosen));
        chosen.max(covered).max(recorded)
    }

    /// Returns the end of the last commit of a service that any VM acknowledged to a caller before
    /// it learned that the leader is being replaced. Returns `None` unless all VMs have reported
    /// theirs. `claimed_at` is when the replacement was entered into the leadership table, and
    /// `claim_revision` the revision of the table then.
    ///
    /// Only VMs that hear all others know it: in larger fleets the reports do not reach every VM.
    pub fn acknowledged_end(
        &self,
        service: &name::ServiceName,
        claimed_at: Instant,
        claim_revision: u64,
        now: Instant,
    ) -> Option<position::LogPosition> {
        if !self.is_leadership_table_acknowledged_by_all(claimed_at, now) {
            return None;
        }
        let mut end = self.own_acknowledged_end(service);
        let mut last_start = self.shared.started_at;
        for name in self.members.keys().filter(|name| *name != self.own_name()) {
            let record = self.peers.get(name).filter(|record| record.is_live(now))?;
            let (incarnation, report, received_at) = self.replacement_reports.get(name)?;
            if *incarnation != record.incarnation || report.table_revision < claim_revision {
                return None;
            }
            let mut services = report.services.iter();
            let reported = services.find(|reported| reported.service == *service)?;
            end = end.max(reported.acknowledged_end);
            let running = Duration::from_millis(report.running_ms);
            last_start = last_start.max(received_at.checked_sub(running)?);
        }
        // A VM that restarted has forgotten what it acknowledged before.
        if !self.has_known_leader_since(service, last_start) {
            let positions = self.shared.lock_positions();
            let before_start = positions.get(service)?.position_covering(last_start)?;
            end = end.max(Some(before_start));
        }
        let chosen = self.known_leader(service)?.log_end_when_chosen;
        let end = end.map(|end| without_empty_term(end, chosen));
        end.max(chosen)
    }

    /// Returns a position that covers what this VM acknowledged of the present leader of a service.
    fn own_acknowledged_end(&self, service: &name::ServiceName) -> Option<position::LogPosition> {
        let leader = self.known_leader(service)?;
        self.shared.acknowledged_end(service, &leader)
    }

    /// Records when this VM learned of leaders that a new leadership table names.
    pub(super) fn record_new_leaders(&mut self, table: &leadership::LeadershipTable, now: Instant) {
        for (service, entry) in &table.leaders {
            let known = self.leadership_table.leaders.get(service);
            let is_same = known.is_some_and(|known| {
                let (database, end) = (&known.database, known.log_end_when_chosen);
                (database, end) == (&entry.database, entry.log_end_when_chosen)
            });
            if !is_same {
                self.leaders_since.insert(service.clone(), now);
                if let Some(roster) = self.rosters.get_mut(service) {
                    roster.begin_reign();
                }
            }
        }
    }

    /// Returns whether the present leader of a service has reported a position of a later term than
    /// that in which its log ended when it was chosen.
    pub fn was_seen_leading(&self, service: &name::ServiceName) -> bool {
        let positions = self.shared.lock_positions();
        let history = positions.get(service);
        let sample = history.and_then(history::PositionHistory::latest_sample);
        let leader = self.known_leader(service);
        let chosen = leader.and_then(|leader| leader.log_end_when_chosen);
        let since = self.leaders_since.get(service);
        sample
            .zip(chosen)
            .zip(since)
            .is_some_and(|(((requested_at, position), chosen), since)| {
                requested_at >= *since && position.term > chosen.term
            })
    }

    /// Returns whether the present leader of a service was chosen after `start`: nothing that
    /// happened before concerns its reign.
    fn has_known_leader_since(&self, service: &name::ServiceName, start: Instant) -> bool {
        let since = self.leaders_since.get(service);
        since.is_some_and(|since| *since >= start + MAX_TABLE_DELAY)
    }

    /// Returns whether databases of a service may have left before this process learned which are
    /// registered, and no later position of the leader is known. Nothing is missed once the
    /// leadership table has a record of the databases.
    pub fn may_have_missed_departures(&self, service: &name::ServiceName) -> bool {
        if self.is_on_record(service) {
            return false;
        }
        let Some(known_since) = self.databases_known_since else {
            return true;
        };
        if self.has_known_leader_since(service, known_since) {
            return false;
        }
        let positions = self.shared.lock_positions();
        let history = positions.get(service);
        history.is_none_or(|history| history.position_covering(known_since).is_none())
    }

    /// Returns a position that the leader of a service reported after this process learned which
    /// databases are registered: it covers what databases had that left before. Returns `None` if
    /// the leadership table has a record of the databases, or the leader was chosen since.
    pub fn end_since_start(&self, service: &name::ServiceName) -> Option<position::LogPosition> {
        let known_since = self.databases_known_since?;
        if self.is_on_record(service) || self.has_known_leader_since(service, known_since) {
            return None;
        }
        let chosen = self.known_leader(service)?.log_end_when_chosen;
        let positions = self.shared.lock_positions();
        let end = positions.get(service)?.position_covering(known_since)?;
        Some(without_empty_term(end, chosen))
    }

    /// Returns whether this VM has known the databases for [`SETTLING_TIME`].
    pub fn has_settled(&self, now: Instant) -> bool {
        self.databases_known_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SETTLING_TIME)
    }

    /// Returns the end of the last commit of a service that a live VM has reported to have
    /// acknowledged; the inner value is `None` if none has acknowledged any. Returns `None` while
    /// reports are missing, or if no VM knew the databases before the leader fell silent, since all
    /// have restarted.
    pub fn reported_end(
        &self,
        service: &name::ServiceName,
        claim_revision: u64,
        now: Instant,
    ) -> Option<Option<position::LogPosition>> {
        let mut end = self.own_acknowledged_end(service);
        let mut has_witness = false;
        for (name, record) in self.live_peers(now) {
            let (incarnation, report, _) = self.replacement_reports.get(name)?;
            if *incarnation != record.incarnation || report.table_revision < claim_revision {
                return None;
            }
            let mut services = report.services.iter();
            let reported = services.find(|reported| reported.service == *service)?;
            has_witness |= !reported.may_have_missed_departures;
            end = end.max(reported.acknowledged_end);
        }
        has_witness.then_some(end)
    }

    /// Returns whether a live VM has reported that it saw the leader of a service leading.
    pub fn is_reported_leading(
        &self,
        service: &name::ServiceName,
        claim_revision: u64,
        now: Instant,
    ) -> bool {
        self.live_peers(now).any(|(name, record)| {
            let report = self.replacement_reports.get(name);
            report.is_some_and(|(incarnation, report, _)| {
                let is_current =
                    *incarnation == record.incarnation && report.table_revision >= claim_revision;
                let mut services = report.services.iter();
                is_current
                    && services
                        .any(|reported| reported.service == *service && reported.has_seen_leader)
            })
        })
    }

    /// Returns the end of the last commit of a service that this VM acknowledged, that another live
    /// VM has reported, or that the leadership table records.
    pub fn known_acknowledged_end(
        &self,
        service: &name::ServiceName,
        now: Instant,
    ) -> Option<position::LogPosition> {
        let reports = self.live_peers(now).filter_map(|(name, record)| {
            let (incarnation, report, _) = self.replacement_reports.get(name)?;
            (*incarnation == record.incarnation).then_some(report)
        });
        let services = reports.flat_map(|report| &report.services);
        let of_service = services.filter(|reported| reported.service == *service);
        let reported_ends = of_service.filter_map(|reported| reported.acknowledged_end);
        let entry = self.leadership_table.leaders.get(service);
        let recorded_end = entry.and_then(|entry| entry.acknowledged_end);
        let ends = reported_ends.chain(recorded_end);
        let ends = ends.chain(self.own_acknowledged_end(service));
        ends.filter(|end| *end != shared::UNBOUNDED_END).max()
    }

    /// Returns what this VM acknowledged of the services whose leader is being replaced, if there
    /// are any.
    pub fn replacement_report(&self, now: Instant) -> Option<heartbeat::ReplacementReport> {
        let leaders = self.leadership_table.leaders.iter();
        let replaced =
            leaders.filter(|(_, entry)| entry.phase == leadership::LeaderPhase::Replacing);
        let services: Vec<heartbeat::ReplacedServiceReport> = replaced
            .map(|(service, _)| heartbeat::ReplacedServiceReport {
                service: service.clone(),
                acknowledged_end: self.own_acknowledged_end(service),
                may_have_missed_departures: self.may_have_missed_departures(service),
                has_seen_leader: self.was_seen_leading(service),
            })
            .collect();
        let is_needed = !services.is_empty() && self.topology.is_full_mesh();
        let running = now.saturating_duration_since(self.shared.started_at);
        is_needed.then(|| heartbeat::ReplacementReport {
            vm: self.own_name().to_owned(),
            table_revision: self.leadership_table.revision,
            running_ms: running.as_millis() as u64,
            services,
        })
    }

    /// Records the replacement report of another VM, unless a later one has arrived.
    pub fn record_replacement_report(
        &mut self,
        incarnation: u64,
        report: heartbeat::ReplacementReport,
        now: Instant,
    ) {
        let previous = self.replacement_reports.get(&report.vm);
        let is_outdated = previous.is_some_and(|(previous_incarnation, previous, _)| {
            *previous_incarnation == incarnation && previous.running_ms > report.running_ms
        });
        if !is_outdated {
            let vm = report.vm.clone();
            self.replacement_reports
                .insert(vm, (incarnation, report, now));
        }
    }

    /// Adds to the leadership table in use what copies from other VMs lack. `stored` has the same
    /// revision and was read from the store.
    pub(super) fn complete_leadership_table(&mut self, stored: &leadership::LeadershipTable) {
        for (service, entry) in &mut self.leadership_table.leaders {
            if let Some(stored) = stored.leaders.get(service) {
                entry.required_end = entry.required_end.max(stored.required_end);
                entry.acknowledged_end = entry.acknowledged_end.max(stored.acknowledged_end);
                if entry.order.is_none() {
                    entry.order.clone_from(&stored.order);
                }
            }
        }
        self.leadership_table.rosters.clone_from(&stored.rosters);
        self.has_complete_table = true;
        self.observe_orders(clock::now());
        self.observe_rosters(clock::now());
    }

    /// Puts a copy of the leadership table from another VM into use, unless a newer one is in use.
    pub fn apply_table_copy(&mut self, copy: &leadership::LeadershipTable) {
        self.apply_table(copy, false);
    }

    /// Returns whether databases of a service are gone that may have had commits which are neither
    /// known nor covered by [`Self::required_end`].
    pub fn has_unknown_logs(&self, service: &name::ServiceName, now: Instant) -> bool {
        let roster = self.rosters.get(service);
        roster.is_some_and(|roster| roster.has_unknown_logs(now))
    }

    /// Starts to watch the orders that the leadership table has recorded since.
    pub(super) fn observe_orders(&mut self, now: Instant) {
        for (service, entry) in &self.leadership_table.leaders {
            let Some(recorded) = &entry.order else {
                continue;
            };
            let watch = self.order_watches.get(service);
            if watch.is_none_or(|watch| watch.order() != recorded) {
                let watch = order::OrderWatch::new(recorded.clone(), now);
                self.order_watches.insert(service.clone(), watch);
            }
        }
    }

    /// Records that a database was seen leading a service in a term after the latest order.
    pub fn record_ordered_leader(&mut self, service: &name::ServiceName, id: &name::DatabaseName) {
        if let Some(watch) = self.order_watches.get_mut(service) {
            watch.record_leader(id);
        }
    }

    /// Records that the latest order for a service has no effect.
    pub fn record_void_order(&mut self, service: &name::ServiceName) {
        if let Some(watch) = self.order_watches.get_mut(service) {
            watch.record_void();
        }
    }

    /// Returns the database that an earlier order may still promote.
    pub fn outstanding_order(
        &self,
        service: &name::ServiceName,
        now: Instant,
    ) -> Option<&name::DatabaseName> {
        self.order_watches.get(service)?.outstanding(now)
    }

    /// Returns the order to record before the platform is asked to promote a database.
    pub fn next_order(
        &self,
        service: &name::ServiceName,
        id: &name::DatabaseName,
        now: Instant,
    ) -> leadership::PromotionOrder {
        order::next_order(self.order_watches.get(service), id, now)
    }
}

/// Returns the end of the log before a term in which nothing was committed: a leader may report its
/// own term before its first commit, while replicas report the term of the last entry.
fn without_empty_term(
    position: position::LogPosition,
    chosen: Option<position::LogPosition>,
) -> position::LogPosition {
    match chosen {
        Some(chosen) if position.offset <= chosen.offset && position.term > chosen.term => chosen,
        _ => position,
    }
}

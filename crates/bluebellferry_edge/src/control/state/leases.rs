//! Acknowledgements of the leadership table and probes of leaders, from which the leases of
//! leaders follow.

use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_promotion::lease;
use bluebellferry_types::name;
use xxhash_rust::xxh3;

use crate::control::state;
use crate::shared;

impl state::ControlState {
    /// Returns what the VMs of this data centre have acknowledged, if this VM is their
    /// coordinator.
    pub fn own_centre_acknowledgement(
        &self,
        now: Instant,
    ) -> Option<heartbeat::CentreAcknowledgement> {
        let is_coordinator = !self.topology.is_full_mesh() && self.topology.is_coordinator(now);
        let centre = &self.shared.settings.data_centre;
        is_coordinator.then(|| self.centre_acknowledgement(centre, now))
    }

    /// Returns which revision of the leadership table the VMs of a data centre have
    /// acknowledged in their heartbeats to this VM.
    pub fn centre_acknowledgement(
        &self,
        centre: &name::DataCentreName,
        now: Instant,
    ) -> heartbeat::CentreAcknowledgement {
        let of_centre = |record: &state::MemberRecord| record.data_centre == *centre;
        let members = self.members.iter().filter(|(_, record)| of_centre(record));
        let names: Vec<&str> = members.map(|(name, _)| name.as_str()).collect();
        let acknowledged = |name: &&str| {
            if *name == self.own_name() {
                return if self.active_claims > 0 {
                    0
                } else {
                    self.leadership_table.revision
                };
            }
            let record = self.peers.get(*name).filter(|record| record.is_live(now));
            let record = record.filter(|record| !record.heartbeat.is_claiming);
            record.map_or(0, |record| record.heartbeat.table_revision)
        };
        heartbeat::CentreAcknowledgement {
            members: xxh3::xxh3_64(names.join("\0").as_bytes()),
            revision: names.iter().map(acknowledged).min().unwrap_or(0),
        }
    }

    /// Returns whether every VM has acknowledged this VM's revision of the leadership table,
    /// either itself or through its coordinator, which must list the same VMs.
    ///
    /// The list of VMs must have been requested after `claimed`, when the table was changed:
    /// a VM that registered later has read this revision of the table.
    pub fn is_leadership_table_acknowledged_by_all(&self, claimed: Instant, now: Instant) -> bool {
        let listed = self.lease.members_listed_at();
        if listed.is_none_or(|listed| listed < claimed) {
            return false;
        }
        let revision = self.leadership_table.revision;
        let has_acknowledged = |name: &String| {
            let record = self.peers.get(name).filter(|record| record.is_live(now));
            name == self.own_name()
                || record.is_some_and(|record| {
                    record.heartbeat.table_revision >= revision && !record.heartbeat.is_claiming
                })
        };
        let is_acknowledged_by_coordinator = |member: &state::MemberRecord| {
            let names_digest = self
                .centre_acknowledgement(&member.data_centre, now)
                .members;
            let peers = self.live_peers(now);
            let reported = peers.filter_map(|(name, record)| {
                let coordinator = self.members.get(name)?;
                (coordinator.data_centre == member.data_centre)
                    .then_some(record.heartbeat.centre_acknowledgement?)
            });
            let mut reported = reported;
            reported
                .any(|reported| reported.members == names_digest && reported.revision >= revision)
        };
        self.members
            .iter()
            .all(|(name, member)| has_acknowledged(name) || is_acknowledged_by_coordinator(member))
    }

    /// Records that a leader was probed at `requested_at` or later and was found leading, with
    /// at least one replica that was not fenced.
    pub fn record_leader_probe(
        &mut self,
        service: &name::ServiceName,
        leader: &name::DatabaseName,
        requested_at: Instant,
    ) {
        let previous = self.leader_probes.get(service);
        let is_older =
            previous.is_some_and(|(previous, at)| previous == leader && *at >= requested_at);
        if !is_older {
            self.leader_probes
                .insert(service.clone(), (leader.clone(), requested_at));
            self.publish_snapshot();
        }
    }

    /// Returns the leaders that were probed within the lease of a probe, for the heartbeat to
    /// another VM.
    pub fn leader_probes_for(
        &self,
        record: &state::PeerRecord,
        now: Instant,
    ) -> Vec<heartbeat::ProbedLeader> {
        let is_fresh = |requested: Instant| {
            now.saturating_duration_since(requested) < lease::PROBE_LEASE_DURATION
        };
        let probed_leader =
            |(service, (database, requested)): (&name::ServiceName, &(_, Instant))| {
                let sequence = record
                    .latest_sequence_before(*requested)
                    .filter(|_| is_fresh(*requested))?;
                Some(heartbeat::ProbedLeader {
                    service: service.clone(),
                    database: Clone::clone(database),
                    sequence,
                })
            };
        self.leader_probes
            .iter()
            .filter_map(probed_leader)
            .collect()
    }

    /// Returns whether this VM has learned the current leadership table since it started.
    /// Before that, it may rely on a leader that is being replaced, although its previous
    /// process had acknowledged the replacement.
    fn has_learned_leadership_table(&self) -> bool {
        let revision = self.leadership_table.revision;
        let mut peers = self.peers.values();
        self.lease.store_confirmed_at().is_some()
            || peers.any(|record| record.heartbeat.table_revision <= revision)
    }

    /// Returns until when a service's leader may be relied on, if it has a leader and was
    /// ever confirmed.
    pub fn service_leased_until(&self, service: &name::ServiceName) -> Option<Instant> {
        self.leased_until(service, &self.leader_of(service)?)
    }

    pub(super) fn leased_until(
        &self,
        service: &name::ServiceName,
        leader: &shared::LeaderView,
    ) -> Option<Instant> {
        let probed = self
            .leader_probes
            .get(service)
            .filter(|_| self.has_learned_leadership_table());
        let probed = probed.filter(|(database, _)| *database == leader.database);
        self.lease
            .valid_until()
            .max(probed.map(|(_, requested)| *requested + lease::PROBE_LEASE_DURATION))
    }
}

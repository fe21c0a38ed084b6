//! Acknowledgements of the leadership table and probes of leaders, from which the leases of
//! leaders follow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
        is_coordinator.then(|| self.group_acknowledgement(now))
    }

    /// Returns which revision of the leadership table the VMs of this data centre have
    /// acknowledged in their heartbeats to this VM.
    fn group_acknowledgement(&self, now: Instant) -> heartbeat::CentreAcknowledgement {
        let acknowledged = |name: &String| {
            if name == self.own_name() {
                return if self.active_claims > 0 {
                    0
                } else {
                    self.leadership_table.revision
                };
            }
            let record = self.peers.get(name).filter(|record| record.is_live(now));
            let record = record.filter(|record| !record.heartbeat.is_claiming);
            record.map_or(0, |record| record.heartbeat.table_revision)
        };
        let centre = &self.shared.settings.data_centre;
        heartbeat::CentreAcknowledgement {
            members: self.members_digest(centre),
            revision: self.group_members().map(acknowledged).min().unwrap_or(0),
        }
    }

    /// Returns a digest of the names of a data centre's VMs.
    fn members_digest(&self, centre: &name::DataCentreName) -> u64 {
        self.members_digests.get(centre).copied().unwrap_or(0)
    }

    /// Computes the digests of the names of all data centres' VMs.
    pub(super) fn update_members_digests(&mut self) {
        let mut names: BTreeMap<&name::DataCentreName, Vec<&str>> = BTreeMap::new();
        for (name, record) in &self.members {
            names.entry(&record.data_centre).or_default().push(name);
        }
        let digest = |(centre, names): (&name::DataCentreName, Vec<&str>)| {
            (centre.clone(), xxh3::xxh3_64(names.join("\0").as_bytes()))
        };
        self.members_digests = names.into_iter().map(digest).collect();
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
        let reported = self.live_peers(now).filter_map(|(name, record)| {
            let coordinator = self.members.get(name)?;
            Some((
                &coordinator.data_centre,
                record.heartbeat.centre_acknowledgement?,
            ))
        });
        let acknowledging_centres: BTreeSet<&name::DataCentreName> = reported
            .filter(|(centre, reported)| {
                reported.members == self.members_digest(centre) && reported.revision >= revision
            })
            .map(|(centre, _)| centre)
            .collect();
        self.members.iter().all(|(name, member)| {
            has_acknowledged(name) || acknowledging_centres.contains(&member.data_centre)
        })
    }

    /// Records that a leader was probed at `requested_at` or later and was found leading, with
    /// at least one replica that was not fenced, and publishes that.
    pub fn record_leader_probe(
        &mut self,
        service: &name::ServiceName,
        leader: &name::DatabaseName,
        requested_at: Instant,
    ) {
        self.add_leader_probe(service, leader, requested_at);
        self.publish_snapshot();
    }

    /// Records a probe as [`Self::record_leader_probe`] does, without publishing it: a heartbeat
    /// may report the leaders of all services.
    pub(in crate::control) fn add_leader_probe(
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

//! What VMs tell each other of the table of leaders and of leaders that were asked.

use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_promotion::lease;
use bluebellferry_types::name;
use xxhash_rust::xxh3;

use crate::control::state;
use crate::shared;

impl state::ControlState {
    /// Returns what the VMs of this data centre have seen, if this VM is their head.
    pub fn own_centre_acknowledgement(
        &self,
        now: Instant,
    ) -> Option<heartbeat::CentreAcknowledgement> {
        let is_telling = !self.topology.is_full_mesh() && self.topology.is_coordinator(now);
        let centre = &self.shared.settings.data_centre;
        is_telling.then(|| self.centre_acknowledgement(centre, now))
    }

    /// Returns what the VMs of a data centre have seen of the table, as this VM hears
    /// them all itself.
    pub fn centre_acknowledgement(
        &self,
        centre: &name::DataCentreName,
        now: Instant,
    ) -> heartbeat::CentreAcknowledgement {
        let of_centre = |record: &state::MemberRecord| record.data_centre == *centre;
        let members = self.members.iter().filter(|(_, record)| of_centre(record));
        let names: Vec<&str> = members.map(|(name, _)| name.as_str()).collect();
        let seen = |name: &&str| {
            if *name == self.own_name() {
                return if self.active_claims > 0 {
                    0
                } else {
                    self.table.revision
                };
            }
            let record = self.peers.get(*name).filter(|record| record.is_live(now));
            let record = record.filter(|record| !record.heartbeat.is_claiming);
            record.map_or(0, |record| record.heartbeat.table_revision)
        };
        heartbeat::CentreAcknowledgement {
            members: xxh3::xxh3_64(names.join("\0").as_bytes()),
            revision: names.iter().map(seen).min().unwrap_or(0),
        }
    }

    /// Returns whether every VM has seen the table as this one has it, by its own word
    /// or by that of its head, which must list the same VMs.
    ///
    /// All VMs are those that were listed after `claimed`, when the table was changed: one
    /// that registered since has read the table in that version.
    pub fn is_table_acknowledged_by_all(&self, claimed: Instant, now: Instant) -> bool {
        let listed = self.lease.members_listed();
        if listed.is_none_or(|listed| listed < claimed) {
            return false;
        }
        let revision = self.table.revision;
        let has_seen = |name: &String| {
            let record = self.peers.get(name).filter(|record| record.is_live(now));
            name == self.own_name()
                || record.is_some_and(|record| {
                    record.heartbeat.table_revision >= revision && !record.heartbeat.is_claiming
                })
        };
        let by_centre = |member: &state::MemberRecord| {
            let names = self
                .centre_acknowledgement(&member.data_centre, now)
                .members;
            let heads = self.live_peers(now);
            let told = heads.filter_map(|(name, record)| {
                let head = self.members.get(name)?;
                (head.data_centre == member.data_centre)
                    .then_some(record.heartbeat.centre_acknowledgement?)
            });
            let mut told = told;
            told.any(|seen| seen.members == names && seen.revision >= revision)
        };
        self.members
            .iter()
            .all(|(name, member)| has_seen(name) || by_centre(member))
    }

    /// Notes that a leader was asked not before `asked`, led, and had a replica that
    /// was not held back.
    pub fn record_leader_probe(
        &mut self,
        service: &name::ServiceName,
        leader: &name::DatabaseName,
        asked: Instant,
    ) {
        let known = self.probed.get(service);
        let is_older = known.is_some_and(|(known, at)| known == leader && *at >= asked);
        if !is_older {
            self.probed.insert(service.clone(), (leader.clone(), asked));
            self.publish();
        }
    }

    /// Returns the leaders that were asked a moment ago, for another VM.
    pub fn leader_probes_for(
        &self,
        record: &state::PeerRecord,
        now: Instant,
    ) -> Vec<heartbeat::ProbedLeader> {
        let is_fresh = |asked: Instant| now.saturating_duration_since(asked) < lease::PROBED_TERM;
        let tell = |(service, (database, asked)): (&name::ServiceName, &(_, Instant))| {
            let sequence = record.latest_before(*asked).filter(|_| is_fresh(*asked))?;
            Some(heartbeat::ProbedLeader {
                service: service.clone(),
                database: Clone::clone(database),
                sequence,
            })
        };
        self.probed.iter().filter_map(tell).collect()
    }

    /// Returns whether this VM has learned of the table since it started. Before that it
    /// may take a leader for one that is being replaced, although its predecessor had seen
    /// that.
    fn has_learned_table(&self) -> bool {
        let revision = self.table.revision;
        let mut peers = self.peers.values();
        self.lease.store_confirmed().is_some()
            || peers.any(|record| record.heartbeat.table_revision <= revision)
    }

    /// Returns until when a service's leader may be relied on.
    pub fn service_leased_until(&self, service: &name::ServiceName) -> Option<Instant> {
        self.leased_until(service, &self.leader_of(service)?)
    }

    pub(super) fn leased_until(
        &self,
        service: &name::ServiceName,
        leader: &shared::LeaderView,
    ) -> Option<Instant> {
        let probed = self
            .probed
            .get(service)
            .filter(|_| self.has_learned_table());
        let probed = probed.filter(|(database, _)| *database == leader.database);
        self.lease
            .valid_until()
            .max(probed.map(|(_, asked)| *asked + lease::PROBED_TERM))
    }
}

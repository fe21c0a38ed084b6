//! Where statements may run: the data centres in evacuation and the home regions of services.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_catalog::homes;
use bluebellferry_membership::heartbeat;
use bluebellferry_promotion::relocation;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

use crate::control::state;

impl state::ControlState {
    /// Returns whether the evacuations are known, or are none in this deployment.
    pub fn has_evacuations(&self) -> bool {
        self.versions.evacuations > 0 || self.shared.settings.evacuation_limit.is_none()
    }

    /// Puts the evacuated data centres into use that the store had at `revision`, unless newer
    /// ones are in use.
    pub fn apply_evacuations(
        &mut self,
        mut centres: BTreeSet<name::DataCentreName>,
        revision: u64,
        now: Instant,
    ) {
        if revision <= self.versions.evacuations {
            return;
        }
        let is_first = self.versions.evacuations == 0;
        let known: BTreeSet<_> = self.evacuations.keys().cloned().collect();
        if self.is_store_catching_up(now) {
            // The copy from which the store came back may be older than these evacuations.
            centres.extend(known.iter().cloned());
        }
        if centres == known && !is_first {
            return;
        }
        for centre in centres.difference(&known) {
            log::warn!(data_centre = centre.as_str(), revision = revision; "a data centre is being evacuated");
        }
        for centre in known.difference(&centres) {
            log::warn!(data_centre = centre.as_str(), revision = revision; "the evacuation of a data centre has ended");
        }
        let since = |centre: name::DataCentreName| {
            let known_since = self.evacuations.get(&centre).copied();
            (centre, known_since.unwrap_or(now))
        };
        self.evacuations = Arc::new(centres.into_iter().map(since).collect());
        self.versions.evacuations = revision;
        let status = &self.shared.fleet_status;
        let count = self.evacuations.len() as u64;
        status.evacuated_centres.store(count, Ordering::Relaxed);
        self.publish_snapshot();
        self.heartbeat_trigger.notify_one();
    }

    /// Puts the evacuations that another VM announces into use unless newer ones are in use.
    pub fn apply_announced_evacuations(&mut self, announced: &heartbeat::EvacuationList) {
        if self.shared.settings.evacuation_limit.is_some() {
            let centres = announced.data_centres.iter().cloned().collect();
            self.apply_evacuations(centres, announced.revision, clock::now());
        }
    }

    /// Returns the evacuations to announce to other VMs.
    pub fn evacuation_list(&self) -> heartbeat::EvacuationList {
        heartbeat::EvacuationList {
            revision: self.versions.evacuations,
            data_centres: self.evacuations.keys().cloned().collect(),
        }
    }

    /// Returns whether a data centre is being evacuated.
    pub fn is_evacuated(&self, data_centre: &name::DataCentreName) -> bool {
        self.evacuations.contains_key(data_centre)
    }

    /// Returns why a database should not lead a service, if there is a reason.
    pub fn misplacement_of(
        &self,
        entry: &database::DatabaseEntry,
    ) -> Option<relocation::Misplacement> {
        relocation::misplacement(
            self.is_evacuated(&entry.data_centre),
            &self.leader_homes(&entry.service),
            self.region_of(&entry.data_centre),
        )
    }

    /// Returns why a service's leader is to be moved to another database, if it is.
    pub fn relocation_of(
        &self,
        leader: &database::DatabaseEntry,
    ) -> Option<relocation::Misplacement> {
        let reason = self.misplacement_of(leader)?;
        let entries = self.databases_of(&leader.service);
        let mut candidates = entries
            .iter()
            .filter(|entry| entry.id != leader.id && !entry.is_draining);
        let has_candidate = candidates.any(|entry| self.misplacement_of(entry).is_none());
        has_candidate.then_some(reason)
    }

    /// Returns the regions that the homes of all routes to a service allow.
    fn leader_homes(&self, service: &name::ServiceName) -> homes::HomeRegions {
        let routes = self.configuration.decoded.routes.values();
        let of_service = routes.filter(|route| route.service == *service);
        of_service.fold(homes::HomeRegions::Anywhere, |common, route| {
            common.intersect(&route.homes)
        })
    }

    fn region_of(&self, data_centre: &name::DataCentreName) -> Option<&str> {
        let regions = &self.shared.settings.regions;
        regions.get(data_centre).map(String::as_str)
    }
}

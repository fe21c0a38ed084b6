//! Publishes the snapshot that traffic threads read, and divides the connections of
//! each database among the VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use bluebellferry_limits::share;
use bluebellferry_types::name;

use super::ControlState;
use crate::snapshot;

impl ControlState {
    /// Replaces the snapshot if the control state has changed. Wakes the sessions if
    /// API keys, the document or the draining state changed, since sessions may have to
    /// end.
    pub(super) fn publish_snapshot(&mut self) {
        if !std::mem::take(&mut self.is_snapshot_outdated) {
            return;
        }
        let services = self.services.iter().map(|(name, control)| {
            let service_snapshot = snapshot::ServiceSnapshot {
                view: control.view.clone(),
                pools: control.pools.clone(),
                is_replacement_expected: control.promoter.expects_replacement(Instant::now()),
                probe_trigger: Arc::clone(&control.probe_trigger),
                parameters: Arc::clone(&control.parameters),
            };
            (name.clone(), Arc::new(service_snapshot))
        });
        let services: BTreeMap<name::ServiceName, Arc<snapshot::ServiceSnapshot>> =
            services.collect();
        let previous = self.shared.snapshot();
        let keys = if self.is_wakeup_pending {
            Arc::new(self.key_table.clone())
        } else {
            Arc::clone(&previous.keys)
        };
        self.shared.replace_snapshot(snapshot::ControlSnapshot {
            active_document: self.active_document.clone(),
            keys,
            services,
            tokens_usable_from: self.tokens_usable_from,
            is_draining: self.is_draining,
        });
        if std::mem::take(&mut self.is_wakeup_pending) {
            self.shared.wake_sessions();
        }
    }

    /// Sets each pool's quota: this VM's share of the connections to the database
    /// that the document allows for all VMs.
    pub(super) fn update_connection_quotas(&self) {
        let Some(active_document) = &self.active_document else {
            return;
        };
        let vms = active_document.document.vm_count() as usize;
        for (service, control) in &self.services {
            let Some(spec) = active_document.document.services.get(service) else {
                continue;
            };
            for (database, pool) in control.databases.iter().zip(&control.pools) {
                let connections = spec.max_connections as usize;
                let base_quota = connections / vms;
                let database_id = format!("{service}/{}", database.name);
                let gets_extra_connection = connections % vms > self.quota_rank(&database_id);
                pool.set_quota(base_quota + usize::from(gets_extra_connection));
            }
        }
    }

    /// Returns this VM's rank among all VMs of the document, by rendezvous hash. The
    /// VMs with the lowest ranks get the connections that remain after an even
    /// division.
    fn quota_rank(&self, database_id: &str) -> usize {
        let score = |place: &share::VmPlace| {
            let text = format!("{database_id}\0{}\0{}", place.data_centre, place.ordinal);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        };
        let own_place = &self.shared.settings.place;
        let own_score = (score(own_place), own_place.clone());
        let Some(active_document) = &self.active_document else {
            return 0;
        };
        let data_centres = &active_document.document.data_centres;
        let places = data_centres.iter().flat_map(|(name, spec)| {
            (0..spec.vm_count).map(|ordinal| share::VmPlace {
                data_centre: name.clone(),
                ordinal,
            })
        });
        places
            .filter(|place| (score(place), place.clone()) < own_score)
            .count()
    }
}

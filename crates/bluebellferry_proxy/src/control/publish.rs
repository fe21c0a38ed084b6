//! The snapshot that traffic reads, and each VM's share of connections.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use bluebellferry_limits::share;
use bluebellferry_types::name;

use super::ControlState;
use crate::snapshot;

impl ControlState {
    /// Replaces the snapshot if anything has changed, and wakes sessions if a
    /// change concerns their right to go on.
    pub(super) fn publish(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let services = self.services.iter().map(|(name, control)| {
            let state = snapshot::ServiceSnapshot {
                view: control.view.clone(),
                pools: control.pools.clone(),
                is_replacement_expected: control.promoter.expects_replacement(Instant::now()),
                probe_trigger: Arc::clone(&control.probe_trigger),
                parameters: Arc::clone(&control.parameters),
            };
            (name.clone(), Arc::new(state))
        });
        let services: BTreeMap<name::ServiceName, Arc<snapshot::ServiceSnapshot>> =
            services.collect();
        let previous = self.shared.snapshot();
        let keys = if self.wake {
            Arc::new(self.key_table.clone())
        } else {
            Arc::clone(&previous.keys)
        };
        self.shared.publish(snapshot::ControlSnapshot {
            active_document: self.active_document.clone(),
            keys,
            services,
            tokens_usable_from: self.tokens_usable_from,
            is_draining: self.draining,
        });
        if std::mem::take(&mut self.wake) {
            self.shared.wake_sessions();
        }
    }

    /// Gives each pool its part of the connections that the document allows.
    pub(super) fn update_quotas(&self) {
        let Some(active_document) = &self.active_document else {
            return;
        };
        let vms = active_document.document.vm_count() as usize;
        for (service, control) in &self.services {
            let Some(plan) = active_document.document.services.get(service) else {
                continue;
            };
            for (database, pool) in control.databases.iter().zip(&control.pools) {
                let connections = plan.connections as usize;
                let whole = connections / vms;
                let subject = format!("{service}/{}", database.name);
                let extra = connections % vms > self.quota_rank(&subject);
                pool.set_quota(whole + usize::from(extra));
            }
        }
    }

    /// This VM's place among all VMs of the document, by rendezvous hash.
    fn quota_rank(&self, subject: &str) -> usize {
        let score = |place: &share::VmPlace| {
            let text = format!("{subject}\0{}\0{}", place.data_centre, place.ordinal);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        };
        let own_place = &self.shared.settings.place;
        let own = (score(own_place), own_place.clone());
        let Some(active_document) = &self.active_document else {
            return 0;
        };
        let centres = &active_document.document.data_centres;
        let places = centres.iter().flat_map(|(name, plan)| {
            (0..plan.vms).map(|ordinal| share::VmPlace {
                data_centre: name.clone(),
                ordinal,
            })
        });
        places
            .filter(|place| (score(place), place.clone()) < own)
            .count()
    }
}

//! Refusals and endings that follow from where databases are.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::pool;
use bluebellferry_types::refusal;

use crate::traffic::dispatch;
use crate::traffic::placement;

/// When a caller is told to come back after an evacuation or its home regions left no database:
/// operators end neither sooner than that.
const PLACE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long open transactions may go on at an evacuated database after this VM has learned of the
/// evacuation, as a fraction of the time limit. The rest of it may have passed by then.
const EVACUATION_GRACE_FRACTION: f64 = 0.2;

impl dispatch::Dispatcher {
    /// Returns where a statement may run.
    pub(super) fn place_rules<'a>(
        &'a self,
        request: &'a dispatch::PlacementRequest,
    ) -> placement::PlaceRules<'a> {
        placement::PlaceRules {
            regions: &self.shared.settings.regions,
            homes: &request.homes,
        }
    }

    /// Returns the refusal of a statement that no database may run because of its place.
    pub(super) fn refuse_conflict(
        &self,
        request: &dispatch::PlacementRequest,
    ) -> Option<refusal::RequestRefusal> {
        let snapshot = self.shared.snapshot();
        let conflict = self
            .place_rules(request)
            .find_conflict(&snapshot, &request.service)?;
        let (reason, message) = match conflict {
            placement::PlaceConflict::NoCommonHome => (
                refusal::RefusalReason::OutsideHomes,
                "the route and the workspace have no home region in common",
            ),
            placement::PlaceConflict::OutsideHomes => (
                refusal::RefusalReason::OutsideHomes,
                "no database of the service is in a home region",
            ),
            placement::PlaceConflict::AllEvacuated => (
                refusal::RefusalReason::Evacuated,
                "all data centres that could serve the request are being evacuated",
            ),
        };
        let refusal = dispatch::refuse_not_run(reason, message);
        Some(match conflict {
            // Only a new configuration resolves these.
            placement::PlaceConflict::NoCommonHome => refusal,
            _ => refusal.retry_after(PLACE_RETRY_DELAY),
        })
    }

    /// Returns whether no statement may reach a database any more, not even in an open
    /// transaction, since its data centre is being evacuated.
    pub fn is_past_evacuation(&self, database: pool::DatabaseIndex, now: Instant) -> bool {
        let entry = self.registry_entry(database);
        let snapshot = self.shared.snapshot();
        let learned_at = snapshot.evacuations.get(&entry.data_centre);
        let limit = self.shared.settings.evacuation_limit.unwrap_or_default();
        let grace = limit.mul_f64(EVACUATION_GRACE_FRACTION);
        learned_at.is_some_and(|learned_at| now.saturating_duration_since(*learned_at) >= grace)
    }
}

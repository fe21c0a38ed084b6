//! Whether a leader that works should move to another database because of where it is.
//!
//! The load this answers is what only a leader can serve: its writes and its fresh reads would
//! all be refused for as long as it stays in a data centre that is being evacuated, or outside
//! the home regions of its service.

use bluebellferry_catalog::homes;

/// Why a database should not lead where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misplacement {
    /// Its data centre is being evacuated.
    Evacuated,
    /// It is outside the home regions that all routes to the service allow.
    OutsideHomes,
}

/// Returns why a database should not lead, if there is a reason. `service_homes` are the regions
/// that all routes to the service allow: where they have no region in common, no database suits
/// better than another. `region` is that of the database, if known.
pub fn misplacement(
    is_evacuated: bool,
    service_homes: &homes::HomeRegions,
    region: Option<&str>,
) -> Option<Misplacement> {
    if is_evacuated {
        return Some(Misplacement::Evacuated);
    }
    let is_outside = !service_homes.is_empty() && !service_homes.allows(region);
    is_outside.then_some(Misplacement::OutsideHomes)
}

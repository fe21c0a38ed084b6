//! Databases that are no longer registered, and the commits that may have gone with them.
//!
//! The log of a database that has left is gone, and so may be the only copy, beside the leader's,
//! of commits that were acknowledged while another replica received nothing. A position that the
//! leader reports later covers all of these commits: whoever has it in its log lacks none of them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use bluebellferry_types::position;
use smallvec::SmallVec;

use crate::roster;

/// How long a promotion waits for a log that may come back, after the last sign of the database
/// that has it. Databases that crash are back sooner, or not at all.
pub const LOST_LOG_RETENTION: Duration = Duration::from_secs(30);

/// Why a database is no longer registered as it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureKind {
    /// It was draining and has left, or has restarted without its log under the same identity.
    LogLost,
    /// Its registration has expired, or it has restarted under another identity. It may still have
    /// its log.
    Expired,
}

/// A departed database, as long as no later position of the leader is known.
#[derive(Debug, Clone)]
struct UncoveredDeparture {
    id: name::DatabaseName,
    started_unix_ms: u64,
    kind: DepartureKind,
    noticed_at: Instant,
}

/// The databases of a service that have departed.
#[derive(Debug, Clone, Default)]
pub struct DepartureLedger {
    covered_end: Option<position::LogPosition>,
    uncovered: SmallVec<[UncoveredDeparture; 2]>,
    /// The departures that are covered, by the identity of the database and its start.
    settled: VecDeque<(name::DatabaseName, u64)>,
}

impl UncoveredDeparture {
    fn is_of(&self, id: &name::DatabaseName, started_unix_ms: u64) -> bool {
        (&self.id, self.started_unix_ms) == (id, started_unix_ms)
    }
}

impl DepartureLedger {
    /// Records that a database was found to have departed. `started_unix_ms` is its start, in
    /// milliseconds since the Unix epoch.
    pub fn record_departure(
        &mut self,
        id: &name::DatabaseName,
        started_unix_ms: u64,
        kind: DepartureKind,
        noticed_at: Instant,
    ) {
        self.settled
            .retain(|(settled, start)| (settled, *start) != (id, started_unix_ms));
        self.uncovered.push(UncoveredDeparture {
            id: id.clone(),
            started_unix_ms,
            kind,
            noticed_at,
        });
    }

    /// Records a departure that another VM has noticed, unless it is known here.
    pub fn observe_departure(
        &mut self,
        id: &name::DatabaseName,
        started_unix_ms: u64,
        kind: DepartureKind,
        now: Instant,
    ) {
        if !self.knows(id, started_unix_ms) {
            self.record_departure(id, started_unix_ms, kind, now);
        } else if kind == DepartureKind::LogLost {
            let mut uncovered = self.uncovered.iter_mut();
            let known = uncovered.find(|departure| departure.is_of(id, started_unix_ms));
            if let Some(known) = known {
                known.kind = kind;
            }
        }
    }

    /// Records that the log of a database which had departed before is lost now. The database may
    /// have received commits since its departure was noticed.
    pub fn record_lost_log(
        &mut self,
        id: &name::DatabaseName,
        started_unix_ms: u64,
        noticed_at: Instant,
    ) {
        if self.knows(id, started_unix_ms) {
            self.settle(id, started_unix_ms);
            self.record_departure(id, started_unix_ms, DepartureKind::LogLost, noticed_at);
        }
    }

    /// Returns whether a departure was recorded, and perhaps covered since.
    pub fn knows(&self, id: &name::DatabaseName, started_unix_ms: u64) -> bool {
        let mut settled = self.settled.iter();
        let mut uncovered = self.uncovered.iter();
        settled.any(|(settled, start)| (settled, *start) == (id, started_unix_ms))
            || uncovered.any(|departure| departure.is_of(id, started_unix_ms))
    }

    /// Records that a departure need not be covered any more.
    pub fn settle(&mut self, id: &name::DatabaseName, started_unix_ms: u64) {
        self.uncovered
            .retain(|departure| !departure.is_of(id, started_unix_ms));
    }

    /// Returns the departures that are not covered: the database, its start and the kind.
    pub fn uncovered(&self) -> impl Iterator<Item = (&name::DatabaseName, u64, DepartureKind)> {
        let uncovered = self.uncovered.iter();
        uncovered.map(|departure| (&departure.id, departure.started_unix_ms, departure.kind))
    }

    /// Records a position that another VM found to cover departures.
    pub fn raise_covered_end(&mut self, end: Option<position::LogPosition>) {
        self.covered_end = self.covered_end.max(end);
    }

    /// Forgets the position that covers the departures so far.
    pub const fn clear_covered_end(&mut self) {
        self.covered_end = None;
    }

    /// Records that a database is registered again. It has its log unless it has restarted.
    pub fn record_return(&mut self, id: &name::DatabaseName, started_unix_ms: u64) {
        self.uncovered.retain(|departure| {
            (&departure.id, departure.started_unix_ms) != (id, started_unix_ms)
        });
        self.record_replaced(id);
    }

    /// Records that a database is not waited for any more as one that may come back, since another
    /// one has taken its place without its log.
    pub fn record_replaced(&mut self, id: &name::DatabaseName) {
        let replaced = self
            .uncovered
            .iter_mut()
            .filter(|departure| departure.id == *id);
        for departure in replaced {
            departure.kind = DepartureKind::LogLost;
        }
    }

    /// Covers departures by later positions of the leader. `position_covering` returns the first
    /// position that the leader reported when it was asked at an instant or later.
    pub fn cover(&mut self, position_covering: impl Fn(Instant) -> Option<position::LogPosition>) {
        let (covered_end, settled) = (&mut self.covered_end, &mut self.settled);
        self.uncovered.retain(|departure| {
            let position = position_covering(departure.noticed_at);
            *covered_end = (*covered_end).max(position);
            if position.is_some() {
                let start = (departure.id.clone(), departure.started_unix_ms);
                roster::remember(settled, start);
            }
            position.is_none()
        });
    }

    /// Returns a position that covers all commits of the departed databases that are covered.
    pub const fn covered_end(&self) -> Option<position::LogPosition> {
        self.covered_end
    }

    /// Returns whether a log is lost that may have had commits beyond all that is known.
    pub fn has_unknown_logs(&self, now: Instant) -> bool {
        self.uncovered.iter().any(|departure| {
            let age = now.saturating_duration_since(departure.noticed_at);
            departure.kind == DepartureKind::LogLost && age < LOST_LOG_RETENTION
        })
    }
}

//! The log positions that the primary reported over time, which bound the age of replicas' data.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

/// The maximum number of samples. At ten samples per second they cover 40 seconds.
const MAX_SAMPLES: usize = 400;

/// The log positions that the primary reported, each with a local instant before the request
/// for it was sent.
#[derive(Debug, Clone, Default)]
pub struct PositionHistory {
    samples: VecDeque<(Instant, position::LogPosition)>,
}

impl PositionHistory {
    /// Records a position that the primary reported. `requested_at` is an instant before the
    /// request for it was sent. Ignores a sample whose position is lower, or whose instant is not
    /// later, than that of the last sample.
    pub fn record(&mut self, requested_at: Instant, position: position::LogPosition) {
        // Answers may arrive out of order; the samples stay sorted by instant and by position.
        let is_outdated =
            |(last_requested_at, last_position): &(Instant, position::LogPosition)| {
                *last_position > position || *last_requested_at >= requested_at
            };
        if self.samples.back().is_some_and(is_outdated) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((requested_at, position));
    }

    /// Returns an upper bound on the age of the data of a database that has replayed the log up
    /// to `replayed`, or `None` if that position precedes all samples.
    pub fn max_age_at(&self, replayed: position::LogPosition, now: Instant) -> Option<Duration> {
        let covered = self
            .samples
            .partition_point(|(_, position)| *position <= replayed);
        let (requested_at, _) = self.samples.get(covered.checked_sub(1)?)?;
        Some(now.saturating_duration_since(*requested_at))
    }

    /// Returns the lowest recorded position that covers every commit acknowledged before
    /// `cutoff`, or `None` if there is no sample from `cutoff` or later.
    pub fn position_covering(&self, cutoff: Instant) -> Option<position::LogPosition> {
        let first = self
            .samples
            .partition_point(|(requested_at, _)| *requested_at < cutoff);
        self.samples.get(first).map(|(_, position)| *position)
    }

    /// Returns the last recorded position, with the instant before the request for it was sent.
    pub fn latest_sample(&self) -> Option<(Instant, position::LogPosition)> {
        self.samples.back().copied()
    }

    /// Returns the instant of the first sample that shows the primary at `position` or beyond,
    /// or `None` if there is none.
    pub fn reached_at(&self, position: position::LogPosition) -> Option<Instant> {
        let preceding = self
            .samples
            .partition_point(|(_, reported)| *reported < position);
        self.samples
            .get(preceding)
            .map(|(requested_at, _)| *requested_at)
    }

    /// Returns the last recorded position.
    pub fn latest(&self) -> Option<position::LogPosition> {
        self.samples.back().map(|(_, position)| *position)
    }
}

//! What the primary reported and when, to bound the age of replicas.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::position;

/// The most samples kept; at ten a second they reach back over half a minute.
const MAX_SAMPLES: usize = 400;

/// The primary's positions with the local instants before they were asked for.
#[derive(Debug, Clone, Default)]
pub struct PositionHistory {
    samples: VecDeque<(Instant, position::LogPosition)>,
}

impl PositionHistory {
    /// Records that the primary's position was at least `position` at `asked`,
    /// an instant before the question was sent. Older positions are ignored.
    pub fn record(&mut self, asked: Instant, position: position::LogPosition) {
        // Answers may come out of order; samples stay sorted by both parts.
        let is_outdated = |(last_asked, last): &(Instant, position::LogPosition)| {
            *last > position || *last_asked >= asked
        };
        if self.samples.back().is_some_and(is_outdated) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((asked, position));
    }

    /// Returns the greatest age that data at `replayed` can have, or `None`
    /// when it is older than everything that was recorded.
    pub fn max_age_at(&self, replayed: position::LogPosition, now: Instant) -> Option<Duration> {
        let reached = self
            .samples
            .partition_point(|(_, position)| *position <= replayed);
        let (asked, _) = self.samples.get(reached.checked_sub(1)?)?;
        Some(now.saturating_duration_since(*asked))
    }

    /// Returns the lowest recorded position that covers everything which was
    /// acknowledged before `cutoff`, or `None` when the primary has not been
    /// asked since.
    pub fn position_covering(&self, cutoff: Instant) -> Option<position::LogPosition> {
        let first = self.samples.partition_point(|(asked, _)| *asked < cutoff);
        self.samples.get(first).map(|(_, position)| *position)
    }

    /// Returns the last sample.
    pub fn latest_sample(&self) -> Option<(Instant, position::LogPosition)> {
        self.samples.back().copied()
    }

    /// Returns the instant by which the primary is known to have reached `position`.
    pub fn reached_at(&self, position: position::LogPosition) -> Option<Instant> {
        let before = self
            .samples
            .partition_point(|(_, sample)| *sample < position);
        self.samples.get(before).map(|(asked, _)| *asked)
    }

    /// Returns the last recorded position.
    pub fn latest(&self) -> Option<position::LogPosition> {
        self.samples.back().map(|(_, position)| *position)
    }
}

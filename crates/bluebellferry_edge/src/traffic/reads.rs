//! Determines which databases have replayed enough of the log to serve a read.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_routing::history;
use bluebellferry_types::position;

/// What a database must have replayed to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Only the leader may serve the read, since no position is known to be sufficient.
    Leader,
    /// Any database that has replayed this position may serve the read.
    MinPosition(position::LogPosition),
}

/// The maximum time until a database commits or rolls back a write whose answer did not arrive,
/// counted from when the proxy stopped waiting and closed the write's connection.
const MAX_IN_DOUBT_COMMIT_DELAY: Duration = Duration::from_secs(1);

/// The position that a session must at least see: that of its last commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionFloor {
    /// The position of the last commit; `None` if the session has committed nothing.
    Known(Option<position::LogPosition>),
    /// The outcome of a write is unknown, so the session may have committed beyond `floor`.
    InDoubt {
        /// When the proxy stopped waiting for the write's answer.
        at: Instant,
        /// The position of the last acknowledged commit.
        floor: Option<position::LogPosition>,
    },
}

impl SessionFloor {
    /// Returns the position that a read at `arrived` must see because of the session's commits; the
    /// outer `None` means that only the leader is certain to contain them.
    ///
    /// A write in doubt counts until `MAX_IN_DOUBT_COMMIT_DELAY` and `max_age` have passed since
    /// `at`. Afterwards, its commit is older than `max_age`, so the read's staleness bound
    /// already requires the read to see it.
    fn covering_position(
        self,
        max_age: Duration,
        arrived: Instant,
    ) -> Option<Option<position::LogPosition>> {
        match self {
            Self::Known(floor) => Some(floor),
            Self::InDoubt { at, floor } => {
                (arrived >= at + MAX_IN_DOUBT_COMMIT_DELAY + max_age).then_some(floor)
            }
        }
    }
}

/// Returns what a database must have replayed to serve a read. `arrived` is when the first byte
/// of the read, or of its transaction, was received.
///
/// A leader's position covers every commit acknowledged before the position was requested. So
/// the first position requested after `arrived - max_age` covers every commit that the read's
/// staleness bound requires it to see.
pub fn read_requirement(
    guarantee: configuration::ReadGuarantee,
    session_floor: SessionFloor,
    history: Option<&history::PositionHistory>,
    arrived: Instant,
) -> ReadRequirement {
    use configuration::ReadGuarantee as Guarantee;
    let (max_age, floor) = match guarantee {
        Guarantee::Primary => return ReadRequirement::Leader,
        Guarantee::BoundedAge { max_age } => (max_age, None),
        Guarantee::ReadYourWrites { max_age } => {
            match session_floor.covering_position(max_age, arrived) {
                Some(floor) => (max_age, floor),
                None => return ReadRequirement::Leader,
            }
        }
    };
    let covering = arrived
        .checked_sub(max_age)
        .and_then(|cutoff| history?.position_covering(cutoff));
    match covering {
        Some(covering) => {
            ReadRequirement::MinPosition(floor.map_or(covering, |floor| floor.max(covering)))
        }
        None => ReadRequirement::Leader,
    }
}

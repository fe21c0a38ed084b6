//! Which databases may serve a read.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_routing::history;
use bluebellferry_types::position;

/// What a log must hold to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRequirement {
    /// Only the leader is known to hold everything.
    Leader,
    /// Any log that holds this position.
    MinPosition(position::LogPosition),
}

/// How long a database may take to commit a write that was given up: its connection is
/// closed at once.
const IN_DOUBT_COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// What is known of a session's last commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionFloor {
    /// Its position, if there was one.
    Known(Option<position::LogPosition>),
    /// A write was given up, and may have been committed.
    InDoubt {
        /// When it was given up.
        at: Instant,
        /// The position of the last commit that was answered.
        floor: Option<position::LogPosition>,
    },
}

impl SessionFloor {
    /// Returns the position that covers the session's commits; `None` if only the leader
    /// is known to hold them. Those that are older than `max_age` are covered anyway.
    fn covering(
        self,
        max_age: Duration,
        arrived: Instant,
    ) -> Option<Option<position::LogPosition>> {
        match self {
            Self::Known(floor) => Some(floor),
            Self::InDoubt { at, floor } => {
                (arrived >= at + IN_DOUBT_COMMIT_TIMEOUT + max_age).then_some(floor)
            }
        }
    }
}

/// Works out what a read must see. `arrived` is when its first byte, or its
/// transaction's, was received.
///
/// Everything that was acknowledged before a leader was asked for its position
/// is part of the log up to that position. So a sample that was asked for within
/// the bound covers all that the read must see.
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
        Guarantee::ReadYourWrites { max_age } => match session_floor.covering(max_age, arrived) {
            Some(floor) => (max_age, floor),
            None => return ReadRequirement::Leader,
        },
    };
    let bound = arrived
        .checked_sub(max_age)
        .and_then(|cutoff| history?.floor_since(cutoff));
    match bound {
        Some(bound) => ReadRequirement::MinPosition(floor.map_or(bound, |floor| floor.max(bound))),
        None => ReadRequirement::Leader,
    }
}

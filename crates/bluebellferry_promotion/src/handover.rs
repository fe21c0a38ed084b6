//! Decides when a departing leader may hand over to a replica.
//!
//! A leader sends its replicas nothing more once it has stepped down. If none of them has its whole
//! log then, commits that only it has are lost when it stops. So it goes on leading until a replica
//! has received its log, and leads again if it has stepped down and no replica can succeed it.

use std::time::Duration;

use bluebellferry_types::position;

/// How long after the order to step down a replica may take to receive the rest of the leader's log.
pub const LOG_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after the order to step down a departing leader may lead again, if no replica can succeed
/// it: the replicas have been asked again since [`LOG_TRANSFER_TIMEOUT`].
pub const LEAD_AGAIN_DELAY: Duration = Duration::from_secs(2);

/// A registered replica of a departing leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The end of its log.
    pub received: position::LogPosition,
    /// Whether it neither departs nor is in a place where it must not lead.
    pub is_staying: bool,
    /// Whether it departs later than the leader.
    pub outlasts_leader: bool,
}

/// Returns whether a departing leader may hand over to a replica: the replica has the log up to
/// `leader_end`, which the leader had reported before the replica reported its own.
///
/// `is_time_over` tells whether the leader must receive nothing more. A replica that departs later
/// than the leader is then better than none.
pub fn is_possible(
    leader_end: position::LogPosition,
    is_time_over: bool,
    replica: &ReplicaReport,
) -> bool {
    let suits = replica.is_staying || (is_time_over && replica.outlasts_leader);
    suits && replica.received >= leader_end
}

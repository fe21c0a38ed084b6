//! Time and rate limits that a history is checked against. Unless noted, they are
//! the limits that the platform sets for its sites with three data centres.

/// Time after a fault during which a VM needn't meet deadlines.
const FAULT_GRACE_MS: u64 = 4_000;
/// Maximum time until a confirmed configuration is in force on every VM.
const CONFIGURATION_APPLY_MS: u64 = 3_000;
/// Additional time for [`CONFIGURATION_APPLY_MS`] while the store is impaired.
const IMPAIRED_STORE_EXTRA_MS: u64 = 12_000;
/// Maximum time for which a VM may use both an old and a new configuration.
const VERSION_OVERLAP_MS: u64 = 250;
/// Maximum time until no VM sends new statements to a draining database.
const DRAIN_MS: u64 = 7_000;
/// Maximum time until no VM sends statements to an evacuated data centre.
const EVACUATION_MS: u64 = 5_000;
/// Time from the signal to stop until a VM has to have ended.
const SHUTDOWN_GRACE_MS: u64 = 6_000;
/// Maximum time for which a request may stay unread on a connection being closed.
const UNREAD_REQUEST_MS: u64 = 200;
/// Maximum time after a fault until callers are served again.
const RECOVERY_MS: u64 = 12_000;
/// Time after a fault in which a VM's delayed write may reach a replaced leader.
const LATE_WRITE_MS: u64 = 300;
/// Length of the time window in which a workspace's operations are counted.
const RATE_WINDOW_MS: u64 = 5_000;
/// Fraction by which a window may exceed the rate limit.
const RATE_TOLERANCE: f64 = 0.1;
/// Operations that a window may contain beyond rate limit and tolerance.
const RATE_EXTRA_OPERATIONS: f64 = 20.0;
/// Maximum time from a database's answer to its arrival at the caller. Not the
/// platform's limit, but 200 times the latency between regions.
const DELIVERY_MS: u64 = 2_000;

/// Limits that a history is checked against; times in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HistoryBounds {
    /// Time after a fault during which a VM needn't meet deadlines.
    pub fault_grace_us: u64,
    /// Maximum time until a confirmed configuration is in force on every VM.
    pub configuration_apply_us: u64,
    /// Time added to [`Self::configuration_apply_us`] while the store is impaired but
    /// still answers.
    pub impaired_store_extra_us: u64,
    /// Time for which a VM may still use an older version of the configuration after
    /// it has used a newer one.
    pub version_overlap_us: u64,
    /// Maximum time until no VM sends new statements to a draining database.
    pub drain_us: u64,
    /// Maximum time until no VM sends statements to an evacuated data centre.
    pub evacuation_us: u64,
    /// Time from the signal to stop until a VM has to have ended.
    pub shutdown_grace_us: u64,
    /// Maximum time for which a request may stay unread on a connection that a VM
    /// closes.
    ///
    /// A request that a database didn't run and that fails within this time counts as
    /// never accepted.
    pub unread_request_us: u64,
    /// Maximum time after a fault until callers are served again.
    pub recovery_us: u64,
    /// Time after a fault of a VM in which a write that the fault delayed may still
    /// reach a replaced leader.
    pub late_write_us: u64,
    /// Length of the time window in which a workspace's operations are counted.
    pub rate_window_us: u64,
    /// Fraction by which a window may exceed the rate limit.
    pub rate_tolerance: f64,
    /// Operations that a window may contain beyond the rate limit and
    /// [`Self::rate_tolerance`].
    pub rate_extra_operations: f64,
    /// Maximum time from a database's answer to its arrival at the caller.
    pub delivery_us: u64,
}

impl Default for HistoryBounds {
    fn default() -> Self {
        Self {
            fault_grace_us: FAULT_GRACE_MS * 1_000,
            configuration_apply_us: CONFIGURATION_APPLY_MS * 1_000,
            impaired_store_extra_us: IMPAIRED_STORE_EXTRA_MS * 1_000,
            version_overlap_us: VERSION_OVERLAP_MS * 1_000,
            drain_us: DRAIN_MS * 1_000,
            evacuation_us: EVACUATION_MS * 1_000,
            shutdown_grace_us: SHUTDOWN_GRACE_MS * 1_000,
            unread_request_us: UNREAD_REQUEST_MS * 1_000,
            recovery_us: RECOVERY_MS * 1_000,
            late_write_us: LATE_WRITE_MS * 1_000,
            rate_window_us: RATE_WINDOW_MS * 1_000,
            rate_tolerance: RATE_TOLERANCE,
            rate_extra_operations: RATE_EXTRA_OPERATIONS,
            delivery_us: DELIVERY_MS * 1_000,
        }
    }
}

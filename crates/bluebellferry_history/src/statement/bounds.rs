//! How long the platform allows things to take.

/// The platform's bounds of the sites with three data centres.
const CONTACT_MS: u64 = 4_000;
const APPLY_MS: u64 = 3_000;
const OUTER_MS: u64 = 12_000;
const DOWNGRADE_MS: u64 = 250;
const DRAIN_MS: u64 = 7_000;
const GRACE_MS: u64 = 6_000;
const LOSS_SLACK_MS: u64 = 200;
const RECOVERY_MS: u64 = 12_000;
const THAW_MS: u64 = 300;
const RATE_WINDOW_MS: u64 = 5_000;
const RATE_OVERRUN: f64 = 0.1;
const RATE_SLACK: f64 = 20.0;
/// An answer that a database gave reaches its caller within this: ours, two
/// hundred times the way between regions.
const DELIVERY_MS: u64 = 2_000;

/// Bounds that hold for a run; times in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HistoryBounds {
    /// How long after a fault a VM is not held to bounds of time.
    pub fault_grace_us: u64,
    /// When a confirmed configuration must be in force.
    pub configuration_apply_us: u64,
    /// What an impaired store that still answers may add to that.
    pub impaired_store_extra_us: u64,
    /// How long an older version may still show after a newer one did.
    pub version_overlap_us: u64,
    /// When a leaving database may get nothing more.
    pub drain_us: u64,
    /// What a VM has between the signal to stop and its end.
    pub shutdown_grace_us: u64,
    /// How long a VM may take to notice a request while it closes connections.
    pub unread_request_us: u64,
    /// When callers must be served again after a fault.
    pub recovery_us: u64,
    /// How long after a fault a VM's write may reach a deposed leader.
    pub late_write_us: u64,
    /// The window of rates.
    pub rate_window_us: u64,
    /// The part of a rate by which a window may exceed it.
    pub rate_tolerance: f64,
    /// How many operations a window may hold beyond that.
    pub rate_extra_operations: f64,
    /// How long an answer may be on its way from a database to its caller.
    pub delivery_us: u64,
}

impl Default for HistoryBounds {
    fn default() -> Self {
        Self {
            fault_grace_us: CONTACT_MS * 1_000,
            configuration_apply_us: APPLY_MS * 1_000,
            impaired_store_extra_us: OUTER_MS * 1_000,
            version_overlap_us: DOWNGRADE_MS * 1_000,
            drain_us: DRAIN_MS * 1_000,
            shutdown_grace_us: GRACE_MS * 1_000,
            unread_request_us: LOSS_SLACK_MS * 1_000,
            recovery_us: RECOVERY_MS * 1_000,
            late_write_us: THAW_MS * 1_000,
            rate_window_us: RATE_WINDOW_MS * 1_000,
            rate_tolerance: RATE_OVERRUN,
            rate_extra_operations: RATE_SLACK,
            delivery_us: DELIVERY_MS * 1_000,
        }
    }
}

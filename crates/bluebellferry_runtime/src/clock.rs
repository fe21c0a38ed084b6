//! A monotonic clock that includes the time for which the machine was suspended.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

struct ClockOrigin {
    instant: Instant,
    boot_time: Duration,
}

static CLOCK_ORIGIN: OnceLock<ClockOrigin> = OnceLock::new();

/// Returns the current instant of a monotonic clock that keeps running while the machine is
/// suspended.
///
/// [`Instant::now`] stops during a suspension, so a lease measured with it would be held for
/// longer than its duration. Instants of this clock must not be compared with those of
/// [`Instant::now`].
pub fn now() -> Instant {
    let boot_time = boot_time();
    let origin = CLOCK_ORIGIN.get_or_init(|| ClockOrigin {
        instant: Instant::now(),
        boot_time,
    });
    origin.instant + boot_time.saturating_sub(origin.boot_time)
}

/// Returns the time since the machine booted, including suspensions.
///
/// All processes on a machine read the same clock (`CLOCK_BOOTTIME`), so their values can be
/// compared.
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

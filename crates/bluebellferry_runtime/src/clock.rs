//! A clock that counts the time for which the machine was suspended.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

struct ClockOrigin {
    instant: Instant,
    boot_time: Duration,
}

static ORIGIN: OnceLock<ClockOrigin> = OnceLock::new();

/// Returns the present instant on a clock that goes on during a suspension.
///
/// [`Instant::now`] stops while a machine is suspended, so leases judged by it
/// would outlive their term. Values of both clocks must not be compared.
pub fn now() -> Instant {
    let boot_time = boot_time();
    let origin = ORIGIN.get_or_init(|| ClockOrigin {
        instant: Instant::now(),
        boot_time,
    });
    origin.instant + boot_time.saturating_sub(origin.boot_time)
}

/// Returns the time since the machine started, suspensions included.
///
/// All processes of a machine read the same clock, so their values compare.
pub fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

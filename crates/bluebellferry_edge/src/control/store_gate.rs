//! Limits the calls to the store while it does not answer.
//!
//! The load this answers is an outage of the store in a fleet of hundreds of VMs, where each task
//! of each VM would go on calling. After a few failures in a row, one call at a time probes whether
//! the store answers again, after pauses that grow; the other tasks of the VM wait for its outcome.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use rand::Rng;

use crate::control;
use crate::control::state;

/// The failures in a row after which calls are limited. Fewer may be lost answers of a store that
/// is available.
const MAX_FAILURES: u32 = 2;
/// The first pause between two probes.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause of a VM that reads the store for others.
const MAX_READER_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause of other VMs, which learn from a reader that the store is back.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);
/// How often a task checks whether another one's probe has ended.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Decides which calls are made while the store does not answer.
#[derive(Debug, Default)]
pub struct StoreGate {
    failures: u32,
    next_probe_at: Option<Instant>,
    is_probing: bool,
}

impl StoreGate {
    /// Returns whether a call may be made now. The caller reports its outcome to [`Self::record`].
    ///
    /// # Errors
    /// Returns after what time to ask again.
    pub fn enter(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(next_probe_at) = self.next_probe_at else {
            return Ok(());
        };
        if self.is_probing {
            return Err(PROBE_CHECK_INTERVAL);
        }
        match next_probe_at.checked_duration_since(now) {
            Some(wait) if !wait.is_zero() => Err(wait),
            _ => {
                self.is_probing = true;
                Ok(())
            }
        }
    }

    /// Records the outcome of a call. `is_reader` tells whether other VMs rely on this one's calls,
    /// and `jitter`, from 0 to 1, shortens the pause by up to a half.
    pub fn record(&mut self, is_answered: bool, is_reader: bool, jitter: f64, now: Instant) {
        self.is_probing = false;
        if is_answered {
            self.failures = 0;
            self.next_probe_at = None;
            return;
        }
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return;
        }
        let doublings = (self.failures - MAX_FAILURES).min(8);
        let max_pause = if is_reader {
            MAX_READER_PAUSE
        } else {
            MAX_PAUSE
        };
        let pause = (INITIAL_PAUSE * 2_u32.pow(doublings)).min(max_pause);
        self.next_probe_at = Some(now + pause.mul_f64(1.0 - jitter / 2.0));
    }
}

/// Waits until a call to the store may be made, whose outcome must then be passed to [`record`].
/// Returns false if the call is no longer needed.
pub async fn enter(
    control: &control::ControlCell,
    is_needed: impl Fn(&state::ControlState, Instant) -> bool,
) -> bool {
    loop {
        let now = clock::now();
        if !is_needed(&control.borrow(), now) {
            return false;
        }
        let entered = control.borrow_mut().store_gate.enter(now);
        match entered {
            Ok(()) => return true,
            Err(wait) => tokio::time::sleep(wait).await,
        }
    }
}

/// Records the outcome of a call to the store.
pub fn record<T>(control: &control::ControlCell, result: &Result<T, objects::StoreError>) {
    let is_answered = match result {
        Ok(_) => true,
        Err(error) => error.is_answer(),
    };
    let now = clock::now();
    let mut control = control.borrow_mut();
    let is_reader = control.reads_for_others(now);
    let jitter = rand::rng().random_range(0.0..1.0);
    control
        .store_gate
        .record(is_answered, is_reader, jitter, now);
}

//! Collects what callers see, on a clock that all processes share.

use std::sync::Mutex;
use std::sync::PoisonError;

use bluebellferry_runtime::clock;

use crate::statement;

/// Returns the microseconds since the machine started.
///
/// Times of several processes on one machine can be compared, and the clock
/// neither jumps nor stops while a process does.
pub fn now_us() -> u64 {
    u64::try_from(clock::boot_time().as_micros()).unwrap_or(u64::MAX)
}

/// Collects statements from many callers at once.
#[derive(Debug, Default)]
pub struct HistoryRecorder {
    statements: Mutex<Vec<statement::CallerStatement>>,
}

impl HistoryRecorder {
    /// Adds a statement that has ended.
    pub fn record(&self, statement: statement::CallerStatement) {
        let mut statements = self
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        statements.push(statement);
    }

    /// Returns what has been recorded since the last call.
    pub fn take(&self) -> Vec<statement::CallerStatement> {
        let mut statements = self
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *statements)
    }
}

//! Records callers' statements, with times from a clock that all processes share.

use std::sync::Mutex;
use std::sync::PoisonError;

use bluebellferry_runtime::clock;

use crate::statement;

/// Returns the microseconds since the machine started.
///
/// All processes on the machine read the same clock, so their times can be
/// compared. The clock is monotonic and keeps running while a process is suspended.
pub fn now_us() -> u64 {
    u64::try_from(clock::boot_time().as_micros()).unwrap_or(u64::MAX)
}

/// Collects the statements of concurrent callers.
#[derive(Debug, Default)]
pub struct HistoryRecorder {
    statements: Mutex<Vec<statement::CallerStatement>>,
}

impl HistoryRecorder {
    /// Adds a statement that was answered or that its caller gave up.
    pub fn record_statement(&self, statement: statement::CallerStatement) {
        let mut statements = self
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        statements.push(statement);
    }

    /// Removes and returns the statements that were recorded since the last call.
    pub fn take_statements(&self) -> Vec<statement::CallerStatement> {
        let mut statements = self
            .statements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *statements)
    }
}

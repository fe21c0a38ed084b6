//! PostgreSQL functions that clients call and SQLite doesn't have.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rusqlite::functions::FunctionFlags;

/// The interval at which `pg_sleep` checks for a cancel request.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Registers `pg_sleep` and `version` with an SQLite connection. `is_cancel_requested` interrupts
/// `pg_sleep`.
///
/// # Errors
/// Fails if SQLite rejects a function.
pub(crate) fn register_functions(
    connection: &rusqlite::Connection,
    is_cancel_requested: Arc<AtomicBool>,
) -> rusqlite::Result<()> {
    let encoding = FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("pg_sleep", 1, encoding, move |context| {
        sleep_unless_cancelled(&is_cancel_requested, context.get::<f64>(0)?)
    })?;
    connection.create_scalar_function("version", 0, encoding, |_| {
        Ok("PostgreSQL 15.0 (bluebellferry stand-in)".to_owned())
    })
}

fn sleep_unless_cancelled(
    is_cancel_requested: &AtomicBool,
    seconds: f64,
) -> rusqlite::Result<String> {
    let mut remaining_time = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    while !remaining_time.is_zero() {
        if is_cancel_requested.load(Ordering::SeqCst) {
            let interrupt_error = rusqlite::ffi::Error::new(rusqlite::ffi::SQLITE_INTERRUPT);
            return Err(rusqlite::Error::SqliteFailure(interrupt_error, None));
        }
        let sleep_time = remaining_time.min(CANCEL_CHECK_INTERVAL);
        thread::sleep(sleep_time);
        remaining_time -= sleep_time;
    }
    Ok(String::new())
}

//! PostgreSQL functions that clients expect and SQLite lacks.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rusqlite::functions::FunctionFlags;

/// How often a sleeping function looks for a cancel request.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Adds `pg_sleep`, `version` and `pg_backend_pid` to a connection.
///
/// # Errors
/// Fails when SQLite refuses a function.
pub(crate) fn register_functions(
    connection: &rusqlite::Connection,
    cancelled: Arc<AtomicBool>,
) -> rusqlite::Result<()> {
    let plain = FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("pg_sleep", 1, plain, move |context| {
        sleep_unless_cancelled(&cancelled, context.get::<f64>(0)?)
    })?;
    connection.create_scalar_function("version", 0, plain, |_| {
        Ok("PostgreSQL 15.0 (bluebellferry stand-in)".to_owned())
    })
}

fn sleep_unless_cancelled(cancelled: &AtomicBool, seconds: f64) -> rusqlite::Result<String> {
    let mut left = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    while !left.is_zero() {
        if cancelled.load(Ordering::SeqCst) {
            let code = rusqlite::ffi::Error::new(rusqlite::ffi::SQLITE_INTERRUPT);
            return Err(rusqlite::Error::SqliteFailure(code, None));
        }
        let step = left.min(CANCEL_CHECK_INTERVAL);
        thread::sleep(step);
        left -= step;
    }
    Ok(String::new())
}

//! The signals that ask a process to stop in an orderly way.

use tokio::signal::unix;

/// Waits until SIGTERM or SIGINT arrives.
///
/// # Errors
/// Returns the operating system's error when no handler can be installed.
pub async fn wait_for_shutdown_signal() -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

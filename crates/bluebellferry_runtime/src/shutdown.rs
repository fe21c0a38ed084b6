//! Signals that request a graceful shutdown of the process.

use tokio::signal::unix;

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Returns the error of the operating system if a signal handler cannot be installed.
pub async fn wait_for_shutdown_signal() -> std::io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

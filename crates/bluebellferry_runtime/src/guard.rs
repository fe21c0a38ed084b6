//! Waits that end early when what they rest on is gone.

use tokio::sync::watch;

/// Waits for `wait`, at most as long as `confirm` succeeds. `subscribe` returns a receiver of the
/// changes after which `confirm` is asked again; it is called only if `wait` is not over at once.
///
/// # Errors
/// Returns the error of `confirm` as soon as there is one. Then `wait` is dropped.
pub async fn wait_while_confirmed<T, E>(
    subscribe: impl FnOnce() -> watch::Receiver<u64>,
    confirm: impl Fn() -> Result<(), E>,
    wait: impl Future<Output = T>,
) -> Result<T, E> {
    let lost = async {
        let mut changes = subscribe();
        loop {
            changes.mark_unchanged();
            if let Err(error) = confirm() {
                return error;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        biased;
        output = wait => Ok(output),
        error = lost => Err(error),
    }
}

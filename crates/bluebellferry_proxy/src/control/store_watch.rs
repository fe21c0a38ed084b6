//! Reads and watches the environment's objects in the platform's store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_store::client;
use tokio::sync::watch;

use super::ControlEvent;
use super::ControlSender;

/// The maximum time that one watch call waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long changes are watched before all objects are listed again, in case the
/// watch has missed one. Limits how long a missed change goes unnoticed, with the time
/// that the last watch takes, to less than the 3 s in which withdrawn keys are refused.
const RELIST_INTERVAL: Duration = Duration::from_secs(2);
/// The delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The interval at which a VM that does not watch the store lists all objects.
const UNWATCHED_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Waits until this VM is one of those that watch the store, at most for
/// [`UNWATCHED_LIST_INTERVAL`].
async fn wait_until_watching(is_watching: &mut watch::Receiver<bool>) {
    let watch_start = async {
        is_watching
            .wait_for(|is_watching| *is_watching)
            .await
            .is_ok()
    };
    if tokio::time::timeout(UNWATCHED_LIST_INTERVAL, watch_start).await == Ok(false) {
        // The control task has ended. `watch_store` returns when it finds the event
        // channel closed.
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Lists all objects and then watches for changes, until the control task ends.
pub(super) async fn watch_store(
    store: Arc<client::StoreClient>,
    prefix: String,
    events: ControlSender,
    mut is_watching: watch::Receiver<bool>,
) {
    loop {
        wait_until_watching(&mut is_watching).await;
        let listed_at = Instant::now();
        match store.list(&prefix).await {
            Ok(list) => {
                events.send(ControlEvent::StoreReachable(true)).ok();
                events.send(ControlEvent::StoreObjects(list.objects)).ok();
                watch_changes(
                    &store,
                    &prefix,
                    &events,
                    list.revision,
                    listed_at,
                    &is_watching,
                )
                .await;
            }
            Err(error) => {
                log::debug!("listing the objects in the platform's store failed: {error}");
                events.send(ControlEvent::StoreReachable(false)).ok();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if events.is_closed() {
            return;
        }
    }
}

/// Watches for changes until all objects have to be listed again, a call fails or
/// this VM no longer watches the store.
async fn watch_changes(
    store: &client::StoreClient,
    prefix: &str,
    events: &ControlSender,
    mut revision: u64,
    listed_at: Instant,
    is_watching: &watch::Receiver<bool>,
) {
    while *is_watching.borrow() && listed_at.elapsed() < RELIST_INTERVAL && !events.is_closed() {
        match store.watch(prefix, revision, WATCH_TIMEOUT).await {
            Ok(changes) => {
                revision = changes.revision;
                if !changes.objects.is_empty() {
                    events
                        .send(ControlEvent::StoreObjects(changes.objects))
                        .ok();
                }
            }
            Err(_) => return,
        }
    }
}

//! The watch on the environment's objects in the platform's store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_store::client;
use tokio::sync::watch;

use super::ControlEvent;
use super::ControlSender;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// After how long everything is read anew, in case a watch misses changes.
const RELIST_AFTER: Duration = Duration::from_secs(4);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How often a VM that does not watch the store reads it all the same.
const UNWATCHED_LIST: Duration = Duration::from_secs(60);

/// Waits until this VM is one of those that watch, or a long time has passed.
async fn wait_for_turn(watching: &mut watch::Receiver<bool>) {
    let turn = async { watching.wait_for(|watching| *watching).await.is_ok() };
    if tokio::time::timeout(UNWATCHED_LIST, turn).await == Ok(false) {
        // Control has ended; the caller notices by its closed channel.
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads all objects, then watches for changes, for ever.
pub(super) async fn watch_store(
    store: Arc<client::StoreClient>,
    prefix: String,
    events: ControlSender,
    mut watching: watch::Receiver<bool>,
) {
    loop {
        wait_for_turn(&mut watching).await;
        let listed = Instant::now();
        match store.list(&prefix).await {
            Ok(list) => {
                events.send(ControlEvent::StoreReachable(true)).ok();
                events.send(ControlEvent::StoreObjects(list.objects)).ok();
                follow(&store, &prefix, &events, list.revision, listed, &watching).await;
            }
            Err(error) => {
                log::debug!("the store cannot be read: {error}");
                events.send(ControlEvent::StoreReachable(false)).ok();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if events.is_closed() {
            return;
        }
    }
}

/// Follows changes until it is time to read everything anew.
async fn follow(
    store: &client::StoreClient,
    prefix: &str,
    events: &ControlSender,
    mut revision: u64,
    listed: Instant,
    watching: &watch::Receiver<bool>,
) {
    while *watching.borrow() && listed.elapsed() < RELIST_AFTER && !events.is_closed() {
        match store.watch(prefix, revision, WATCH_WAIT).await {
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

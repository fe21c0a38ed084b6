//! The watch on the environment's objects in the platform's store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_store::client;

use super::ControlEvent;
use super::ControlSender;

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// After how long everything is read anew, in case a watch misses changes.
const RELIST_AFTER: Duration = Duration::from_secs(4);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Reads all objects, then watches for changes, for ever.
pub(super) async fn watch_store(
    store: Arc<client::StoreClient>,
    prefix: String,
    events: ControlSender,
) {
    loop {
        let listed = Instant::now();
        match store.list(&prefix).await {
            Ok(list) => {
                events.send(ControlEvent::StoreReachable(true)).ok();
                events.send(ControlEvent::Objects(list.objects)).ok();
                follow(&store, &prefix, &events, list.revision, listed).await;
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
) {
    while listed.elapsed() < RELIST_AFTER && !events.is_closed() {
        match store.watch(prefix, revision, WATCH_WAIT).await {
            Ok(changes) => {
                revision = changes.revision;
                if !changes.objects.is_empty() {
                    events.send(ControlEvent::Objects(changes.objects)).ok();
                }
            }
            Err(_) => return,
        }
    }
}

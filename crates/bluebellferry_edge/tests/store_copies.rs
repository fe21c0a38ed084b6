//! Fetching store copies from another VM that stops answering or is slow.

#[path = "fixtures/settings.rs"]
mod fixtures;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_edge::control;
use bluebellferry_edge::control::state;
use bluebellferry_edge::control::store_copies;
use bluebellferry_edge::shared;
use bluebellferry_membership::heartbeat;
use bluebellferry_types::name;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The time within which the platform requires a changed configuration to be in use.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

/// The versions of a VM that has a configuration of 1 MB.
fn offered_versions() -> heartbeat::StoreVersions {
    heartbeat::StoreVersions {
        configuration: 9,
        configuration_bytes: 1_000_000,
        ..heartbeat::StoreVersions::default()
    }
}

fn control_cell(holder: SocketAddr) -> control::ControlCell {
    let data_centre = name::DataCentreName::try_from("amman-a").expect("a valid name");
    let settings = fixtures::settings("vm-0", data_centre, holder);
    let (shared, _evidence) = shared::EdgeShared::new(settings, 1);
    Rc::new(RefCell::new(state::ControlState::new(shared)))
}

/// Fetches store copies from a VM that sends `parts` with a pause after each one and then, if
/// `closes` is set, closes the connection. Returns the version that was received and how long
/// that took.
async fn fetch_from(parts: Vec<String>, pause: Duration, closes: bool) -> (u64, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener binds");
    let holder = listener.local_addr().expect("the listener has an address");
    let serving = async move {
        let (mut stream, _) = listener.accept().await.expect("a VM connects");
        let mut request = [0; 1024];
        let size = stream.read(&mut request).await.expect("a request arrives");
        assert!(size > 0);
        for part in parts {
            let written = stream.write_all(part.as_bytes()).await;
            written.expect("the answer can be sent");
            tokio::time::sleep(pause).await;
        }
        if !closes {
            std::future::pending::<()>().await;
        }
    };
    let local = tokio::task::LocalSet::new();
    local.spawn_local(serving);
    let cell = control_cell(holder);
    let fetching = async {
        let started = Instant::now();
        store_copies::fetch(
            &mut cell.borrow_mut(),
            &cell,
            holder.ip(),
            offered_versions(),
        );
        while cell.borrow().is_fetching_store_copies {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        (cell.borrow().versions.configuration, started.elapsed())
    };
    local.run_until(fetching).await
}

// Guards against a VM that takes no copies from other VMs while it waits for one that has stopped
// answering.
#[tokio::test]
async fn a_transfer_without_progress_is_given_up_in_time_for_another_one() {
    for parts in [Vec::new(), vec!["{\"versions\":".to_owned()]] {
        let (version, elapsed) = fetch_from(parts, Duration::ZERO, false).await;
        assert_eq!(version, 0);
        assert!(elapsed < MAX_APPLY_TIME, "{elapsed:?}");
    }
}

#[tokio::test]
async fn a_slow_transfer_is_completed() {
    let configuration = json!({"Version": 9, "Routes": [], "Services": [], "Tenants": []});
    let answer = json!({"versions": offered_versions(), "configuration": configuration.to_string(),
        "databases": null, "members": null});
    let answer = answer.to_string();
    let (first, rest) = answer.split_at(answer.len() / 3);
    let (second, third) = rest.split_at(rest.len() / 2);
    let parts = [first, second, third].map(str::to_owned).to_vec();
    let pause = Duration::from_millis(900);
    let (version, elapsed) = fetch_from(parts, pause, true).await;
    assert_eq!(version, 9);
    assert!(elapsed >= pause * 3, "{elapsed:?}");
}

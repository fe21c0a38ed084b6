//! Probes for the floor of new sessions: the log position that a session must at
//! least see if its caller gave no position.
//!
//! The floor is the primary's committed position, confirmed by a majority, at an
//! instant after the session requested it. One probe answers all requests made
//! before it was sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::backend;
use crate::shared;

/// How long a probe may take, connecting included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The delay after a failed probe.
const RETRY_DELAY: Duration = Duration::from_millis(50);

type FloorSender = oneshot::Sender<Option<position::LogPosition>>;

/// The tasks that probe for floors, one per service.
#[derive(Debug, Default)]
pub struct FloorProbes {
    tasks: Mutex<HashMap<name::ServiceName, mpsc::UnboundedSender<FloorSender>>>,
}

impl FloorProbes {
    /// Returns the floor for a session that starts now, or `None` if no probe
    /// succeeds before the deadline.
    pub async fn fetch_floor(
        &self,
        shared: &Arc<shared::ProxyShared>,
        service: &name::ServiceName,
        deadline: Instant,
    ) -> Option<position::LogPosition> {
        loop {
            let (sender, receiver) = oneshot::channel();
            self.ensure_probe_task(shared, service).send(sender).ok()?;
            let answer = tokio::time::timeout_at(deadline.into(), receiver)
                .await
                .ok()?;
            if let Ok(Some(position)) = answer {
                return Some(position);
            }
            tokio::time::sleep(RETRY_DELAY).await;
            if Instant::now() >= deadline {
                return None;
            }
        }
    }

    /// Returns the channel to the service's probe task, and starts the task if it is
    /// not running.
    fn ensure_probe_task(
        &self,
        shared: &Arc<shared::ProxyShared>,
        service: &name::ServiceName,
    ) -> mpsc::UnboundedSender<FloorSender> {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let running = tasks.get(service).filter(|sender| !sender.is_closed());
        if let Some(sender) = running {
            return sender.clone();
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        tasks.insert(service.clone(), sender.clone());
        tokio::spawn(run_floor_probes(
            Arc::clone(shared),
            service.clone(),
            receiver,
        ));
        sender
    }
}

/// Answers requests for a service's floor. Each probe answers all requests that wait
/// when it is sent.
async fn run_floor_probes(
    shared: Arc<shared::ProxyShared>,
    service: name::ServiceName,
    mut requests: mpsc::UnboundedReceiver<FloorSender>,
) {
    let mut cached_connection: Option<(SocketAddr, backend::BackendConnection)> = None;
    let mut waiters = Vec::new();
    while requests.recv_many(&mut waiters, usize::MAX).await > 0 {
        let probe = tokio::time::timeout(
            PROBE_TIMEOUT,
            probe_floor(&shared, &service, &mut cached_connection),
        );
        let position = probe.await.unwrap_or(None);
        if position.is_none() {
            cached_connection = None;
        }
        for sender in waiters.drain(..) {
            sender.send(position).ok();
        }
    }
}

/// Returns the primary's committed position, or `None` if no primary is known or the
/// probe fails. Reuses the cached connection if it is open and leads to the primary.
async fn probe_floor(
    shared: &shared::ProxyShared,
    service: &name::ServiceName,
    cached_connection: &mut Option<(SocketAddr, backend::BackendConnection)>,
) -> Option<position::LogPosition> {
    let snapshot = shared.snapshot();
    let service_state = snapshot.services.get(service)?;
    let primary = service_state.view.primary(Instant::now())?;
    let address = service_state.pools[primary].address();
    let reusable = cached_connection
        .take()
        .filter(|(cached_address, connection)| {
            *cached_address == address && !connection.is_stale()
        });
    let mut connection = match reusable {
        Some((_, connection)) => connection,
        None => {
            let account = &shared.settings.database_account;
            let purpose = backend::ConnectionPurpose::Control;
            let name = service.as_str();
            backend::BackendConnection::connect(address, name, account, purpose)
                .await
                .ok()?
        }
    };
    let row = connection
        .query("SELECT * FROM bluebellferry_confirmed_position()")
        .await
        .ok()?;
    *cached_connection = Some((address, connection));
    row.parse_column("confirmed_position")
}

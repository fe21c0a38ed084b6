//! Probes of databases, each by a task of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_promotion::observation;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::sync::Notify;

use super::ControlEvent;
use super::ControlSender;
use crate::backend;
use crate::shared;
use crate::snapshot;

/// How often each database is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between probes that waiting requests ask for.
const SOONEST_PROBE: Duration = Duration::from_millis(10);
/// How long a probe may take, connecting included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// What a probe found.
#[derive(Debug, Clone)]
pub struct ProbedDatabase {
    /// What the promoter needs.
    pub status: observation::MemberStatus,
    /// The term in which the database is primary.
    pub own_term: u64,
    /// The committed end of its log.
    pub committed: position::LogPosition,
    /// What it has replayed.
    pub replayed: position::LogPosition,
    /// How long a primary has been without contact to a majority.
    pub majority_age: Option<Duration>,
    /// Whether the database asks for no new work.
    pub leaving: bool,
}

/// The outcome of one probe.
#[derive(Debug)]
pub struct ProbeReport {
    /// The service.
    pub service: name::ServiceName,
    /// The group's number, raised whenever its databases change.
    pub group: u64,
    /// The database's index in its group.
    pub member: usize,
    /// An instant from before the probe was sent.
    pub asked: Instant,
    /// What was found; `None` if the database did not answer.
    pub found: Option<ProbedDatabase>,
    /// The start-up parameters, on the first probe of a connection.
    pub parameters: Option<Vec<snapshot::ServerParameter>>,
}

/// Which database a task probes.
#[derive(Debug, Clone)]
pub(super) struct ProbeTarget {
    pub(super) service: name::ServiceName,
    pub(super) group: u64,
    pub(super) member: usize,
    pub(super) address: SocketAddr,
}

/// Probes one database until the control task is gone.
pub(super) async fn probe_database(
    shared: Arc<shared::ProxyShared>,
    target: ProbeTarget,
    soon: Arc<Notify>,
    events: ControlSender,
) {
    let mut open: Option<backend::BackendConnection> = None;
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = soon.notified() => {}
        }
        let fresh = open.is_none();
        let asked = Instant::now();
        let probe = probe_once(&shared, &target, &mut open);
        let found = tokio::time::timeout(PROBE_TIMEOUT, probe).await;
        let found = match found {
            Ok(Ok(found)) => Some(found),
            Ok(Err(error)) => {
                log::debug!("a probe of {} failed: {error}", target.address);
                None
            }
            Err(_) => None,
        };
        if found.is_none() {
            open = None;
        }
        let parameters = open.as_ref().filter(|_| fresh);
        let report = ProbeReport {
            service: target.service.clone(),
            group: target.group,
            member: target.member,
            asked,
            found,
            parameters: parameters.map(|connection| connection.parameters.clone()),
        };
        if events.send(ControlEvent::Probe(report)).is_err() {
            return;
        }
        tokio::time::sleep_until((asked + SOONEST_PROBE).into()).await;
    }
}

async fn probe_once(
    shared: &shared::ProxyShared,
    target: &ProbeTarget,
    open: &mut Option<backend::BackendConnection>,
) -> Result<ProbedDatabase, backend::BackendError> {
    // Taken out while in use: a probe that is cut off must not leave its
    // answer to be read by the next one.
    let mut connection = match open.take() {
        Some(connection) => connection,
        None => connect_control(shared, &target.service, target.address).await?,
    };
    let row = connection
        .query("SELECT * FROM bluebellferry_status()")
        .await?;
    *open = Some(connection);
    parse_status(&row)
}

/// Opens a connection for control, beside the callers' share.
pub(super) async fn connect_control(
    shared: &shared::ProxyShared,
    service: &name::ServiceName,
    address: SocketAddr,
) -> Result<backend::BackendConnection, backend::BackendError> {
    let account = &shared.settings.database_account;
    let purpose = backend::ConnectionPurpose::Control;
    backend::BackendConnection::connect(address, service.as_str(), account, purpose).await
}

/// Reads the row of a status, fence or promotion.
pub(super) fn parse_status(
    row: &backend::ControlRow,
) -> Result<ProbedDatabase, backend::BackendError> {
    let millis = |column: &str| row.parsed(column).map(Duration::from_millis);
    let parsed = || {
        Some(ProbedDatabase {
            status: observation::MemberStatus {
                accepts_writes: row.value("accepts_writes")? == "1",
                majority_contact_age: millis("majority_age_ms"),
                promised_term: row.parsed("promised_term")?,
                log_position: row.parsed("log_position")?,
                is_draining: row.value("leaving")? == "1",
                open_transactions: row.parsed("open_transactions")?,
                primary_contact_age: millis("primary_contact_ms"),
            },
            own_term: row.parsed("own_term")?,
            committed: row.parsed("committed_position")?,
            replayed: row.parsed("replayed_position")?,
            majority_age: millis("majority_age_ms"),
            leaving: row.value("leaving")? == "1",
        })
    };
    parsed().ok_or(backend::BackendError::Closed)
}

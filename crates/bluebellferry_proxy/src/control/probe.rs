//! Probes the state of the databases, with one task for each database.

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

/// The interval between probes of a database.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum interval between probes of a database, also when waiting requests
/// trigger them.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout of a probe, connecting included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of a database that answered a probe, a fence or a promotion.
#[derive(Debug, Clone)]
pub struct ProbedDatabase {
    /// The part of the state that decides about promotions.
    pub status: observation::GroupDatabaseStatus,
    /// The term in which the database is the primary, if it accepts writes.
    pub primary_term: u64,
    /// The position up to which the database's log is committed.
    pub committed_position: position::LogPosition,
    /// The position up to which the database has replayed the log.
    pub replayed_position: position::LogPosition,
    /// If the database is a primary, the time since it last had contact with a majority
    /// of its group.
    pub majority_contact_age: Option<Duration>,
    /// Whether the database is draining and should get no new work.
    pub is_draining: bool,
}

/// The result of one probe.
#[derive(Debug)]
pub struct ProbeReport {
    /// The service that the database belongs to.
    pub service: name::ServiceName,
    /// The generation of the service's list of databases, which grows with each
    /// change of the list. Reports of an earlier generation are ignored.
    pub group_generation: u64,
    /// The database's index in its group.
    pub database_index: usize,
    /// When the probe was sent, or shortly before.
    pub sent_at: Instant,
    /// The state of the database, or `None` if it did not answer.
    pub probed: Option<ProbedDatabase>,
    /// The parameters (`ParameterStatus`) that the database reported during login, if
    /// the probe opened a new connection.
    pub parameters: Option<Vec<snapshot::ServerParameter>>,
}

/// The database that a task probes.
#[derive(Debug, Clone)]
pub(super) struct ProbeTarget {
    pub(super) service: name::ServiceName,
    pub(super) group_generation: u64,
    pub(super) database_index: usize,
    pub(super) address: SocketAddr,
}

/// Probes one database until the control task has ended.
pub(super) async fn probe_database(
    shared: Arc<shared::ProxyShared>,
    target: ProbeTarget,
    probe_trigger: Arc<Notify>,
    events: ControlSender,
) {
    let mut cached_connection: Option<backend::BackendConnection> = None;
    let mut probe_interval = tokio::time::interval(PROBE_INTERVAL);
    probe_interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = probe_interval.tick() => {}
            () = probe_trigger.notified() => {}
        }
        let is_new_connection = cached_connection.is_none();
        let sent_at = Instant::now();
        let probe = probe_once(&shared, &target, &mut cached_connection);
        let probed = tokio::time::timeout(PROBE_TIMEOUT, probe).await;
        let probed = match probed {
            Ok(Ok(probed)) => Some(probed),
            Ok(Err(error)) => {
                log::debug!("probe of database {} failed: {error}", target.address);
                None
            }
            Err(_) => None,
        };
        if probed.is_none() {
            cached_connection = None;
        }
        let parameters = cached_connection.as_ref().filter(|_| is_new_connection);
        let report = ProbeReport {
            service: target.service.clone(),
            group_generation: target.group_generation,
            database_index: target.database_index,
            sent_at,
            probed,
            parameters: parameters.map(|connection| connection.parameters.clone()),
        };
        if events.send(ControlEvent::Probe(report)).is_err() {
            return;
        }
        tokio::time::sleep_until((sent_at + MIN_PROBE_INTERVAL).into()).await;
    }
}

async fn probe_once(
    shared: &shared::ProxyShared,
    target: &ProbeTarget,
    cached_connection: &mut Option<backend::BackendConnection>,
) -> Result<ProbedDatabase, backend::BackendError> {
    // The connection is not cached while the probe runs. If the probe times out, the
    // connection is dropped, so that the next probe cannot read the late answer of
    // this one.
    let mut connection = match cached_connection.take() {
        Some(connection) => connection,
        None => open_control_connection(shared, &target.service, target.address).await?,
    };
    let row = connection
        .query("SELECT * FROM bluebellferry_status()")
        .await?;
    *cached_connection = Some(connection);
    parse_status(&row)
}

/// Opens a connection for probes, fences and promotions. It does not count against
/// the quota of callers' connections.
pub(super) async fn open_control_connection(
    shared: &shared::ProxyShared,
    service: &name::ServiceName,
    address: SocketAddr,
) -> Result<backend::BackendConnection, backend::BackendError> {
    let account = &shared.settings.database_account;
    let purpose = backend::ConnectionPurpose::Control;
    backend::BackendConnection::connect(address, service.as_str(), account, purpose).await
}

/// Parses the row that a status, fence or promotion call returns.
pub(super) fn parse_status(
    row: &backend::QueryRow,
) -> Result<ProbedDatabase, backend::BackendError> {
    let millis = |column: &str| row.parse_column(column).map(Duration::from_millis);
    let parsed = || {
        Some(ProbedDatabase {
            status: observation::GroupDatabaseStatus {
                accepts_writes: row.column_value("accepts_writes")? == "1",
                majority_contact_age: millis("majority_age_ms"),
                promised_term: row.parse_column("promised_term")?,
                log_position: row.parse_column("log_position")?,
                is_draining: row.column_value("leaving")? == "1",
                open_transactions: row.parse_column("open_transactions")?,
                primary_contact_age: millis("primary_contact_ms"),
            },
            primary_term: row.parse_column("own_term")?,
            committed_position: row.parse_column("committed_position")?,
            replayed_position: row.parse_column("replayed_position")?,
            majority_contact_age: millis("majority_age_ms"),
            is_draining: row.column_value("leaving")? == "1",
        })
    };
    parsed().ok_or(backend::BackendError::Closed)
}

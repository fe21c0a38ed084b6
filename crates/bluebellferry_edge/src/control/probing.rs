//! Confirmation of leaders by probes of the databases, when neither the store nor the other
//! VMs confirm them.
//!
//! A VM that reaches neither the store nor all other VMs cannot know from them whether a
//! leader is being replaced. But before another database is promoted, either the leader
//! must have stepped down or every replica must have been fenced, and then
//! [`lease::PROBE_LEASE_DURATION`](bluebellferry_promotion::lease::PROBE_LEASE_DURATION)
//! must have passed. [`probe`] tells when probes rule that out. Since a restart ends a fence, the
//! probes of a database use one connection, which a restart would close.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_promotion::lease;
use bluebellferry_promotion::probe;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use tokio::task::JoinSet;

use crate::control;
use crate::control::orders;
use crate::control::state;

/// How often leaders are probed while nothing else confirms them.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// How often to check whether a leader is to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long before the end of the lease leaders are probed: the first probes, which open
/// connections, must be answered while the lease is still valid. The store is read earlier, since
/// one read of it costs less than probes of all databases.
const PROBE_LEAD_TIME: Duration = Duration::from_millis(300);
/// The timeout of a probe; a later answer would confirm hardly anything any more.
const PROBE_TIMEOUT: Duration =
    lease::PROBE_LEASE_DURATION.saturating_sub(Duration::from_millis(100));
/// How long the connections for probes stay open after the last probe, unless something else
/// confirms leaders again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a VM whose lease is not valid waits for the store before it probes leaders. After a
/// restart of the fleet, databases have few connections left.
const UNLEASED_DELAY: Duration = Duration::from_secs(1);

/// How long a VM waits after the end of a lease that the coordinator of its data centre
/// should have renewed, before it probes the leader itself.
const COORDINATOR_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// The leader of a service and its replicas.
struct LeaderGroup {
    service: name::ServiceName,
    leased_until: Option<Instant>,
    leader: catalog::DatabaseEntry,
    replicas: Vec<catalog::DatabaseEntry>,
}

/// The connections to the databases of a service and what their probes have shown.
#[derive(Debug)]
struct GroupProbes {
    leader: name::DatabaseName,
    started_at: Instant,
    series: probe::ProbeSeries,
    connections: BTreeMap<name::DatabaseName, ProbeConnection>,
    opened_connections: u64,
}

#[derive(Debug)]
struct ProbeConnection {
    number: u64,
    connection: orders::OrderConnection,
}

/// A finished round of probes of one service.
struct FinishedRound {
    service: name::ServiceName,
    probes: GroupProbes,
    round: probe::ProbeRound,
}

/// Probes leaders whenever nothing else confirms them, until the process ends.
pub async fn confirm_leaders(control: control::ControlCell) {
    let mut idle: BTreeMap<name::ServiceName, GroupProbes> = BTreeMap::new();
    let mut rounds: JoinSet<FinishedRound> = JoinSet::new();
    let mut services_in_round: Vec<name::ServiceName> = Vec::new();
    let mut unleased_since: BTreeMap<name::ServiceName, Instant> = BTreeMap::new();
    loop {
        tokio::select! {
            Some(finished) = rounds.join_next() => {
                // A round cannot panic; if it did, its service would be probed no more.
                let Ok(finished) = finished else { continue };
                services_in_round.retain(|service| *service != finished.service);
                let probes = record_round(&control, &finished.service, finished.probes, finished.round);
                idle.insert(finished.service, probes);
            }
            () = tokio::time::sleep(CHECK_INTERVAL) => {
                let now = clock::now();
                let (mut groups, workspace) = {
                    let control = control.borrow();
                    if is_confirmed_otherwise(&control, now) {
                        idle.clear();
                    }
                    (find_unconfirmed_groups(&control, now), control.any_workspace())
                };
                update_unleased(&mut unleased_since, &groups, now);
                groups.retain(|group| !services_in_round.contains(&group.service));
                for group in groups {
                    let Some(workspace) = workspace.clone() else { continue };
                    let is_recent = |probes: &GroupProbes| now < probes.started_at + PROBE_INTERVAL;
                    let probes = idle.get(&group.service);
                    let unleased = unleased_since.get(&group.service);
                    let awaits_store =
                        unleased.is_some_and(|since| now < *since + UNLEASED_DELAY);
                    if probes.is_some_and(is_recent) || (probes.is_none() && awaits_store) {
                        continue;
                    }
                    let probes = idle.remove(&group.service);
                    services_in_round.push(group.service.clone());
                    rounds.spawn_local(probe_group(group, workspace, probes));
                }
                idle.retain(|_, probes| now < probes.started_at + IDLE_TIMEOUT);
            }
        }
    }
}

/// Returns whether the store or other VMs confirm leaders for longer than a probe takes.
fn is_confirmed_otherwise(control: &state::ControlState, now: Instant) -> bool {
    let valid_until = control.lease.valid_until();
    valid_until.is_some_and(|until| until > now + PROBE_LEAD_TIME)
}

/// Updates since when the leaders of services have had no valid lease.
fn update_unleased(
    unleased_since: &mut BTreeMap<name::ServiceName, Instant>,
    unconfirmed: &[LeaderGroup],
    now: Instant,
) {
    let is_unleased = |group: &&LeaderGroup| group.leased_until.is_none_or(|until| until <= now);
    let unleased: Vec<&LeaderGroup> = unconfirmed.iter().filter(is_unleased).collect();
    unleased_since.retain(|service, _| unleased.iter().any(|group| group.service == *service));
    for group in unleased {
        unleased_since.entry(group.service.clone()).or_insert(now);
    }
}

/// Records the results of a round of probes, and the lease that follows from them.
fn record_round(
    control: &control::ControlCell,
    service: &name::ServiceName,
    mut probes: GroupProbes,
    mut round: probe::ProbeRound,
) -> GroupProbes {
    let now = clock::now();
    let mut control = control.borrow_mut();
    let leased_until = control.service_leased_until(service);
    let is_leader = control
        .leader_of(service)
        .is_some_and(|leader| leader.database == probes.leader && !leader.is_being_replaced);
    round.is_leased = is_leader && leased_until.is_some_and(|until| until > now);
    if probes.series.record(&round) {
        control.record_leader_probe(service, &probes.leader, round.started_at);
        if control.confirms_leaders_for_centre(round.started_at) {
            control.heartbeat_trigger.notify_one();
        }
    }
    probes
}

/// Returns the leaders, with their replicas, whose leases are about to end without another
/// confirmation.
fn find_unconfirmed_groups(control: &state::ControlState, now: Instant) -> Vec<LeaderGroup> {
    let services = control.configuration.decoded.services.keys();
    if is_confirmed_otherwise(control, now) {
        return Vec::new();
    }
    // The coordinator of the data centre probes leaders for its VMs. This VM does so itself
    // only if the coordinator's result does not arrive in time.
    let relies_on_coordinator = control.relies_on_coordinator(now);
    let is_confirmed = |service: &&name::ServiceName| {
        let leased_until = control.service_leased_until(service);
        relies_on_coordinator
            && leased_until
                .is_some_and(|leased_until| leased_until + COORDINATOR_GRACE_PERIOD > now)
    };
    let group = |service: &name::ServiceName| {
        let leader = control
            .leader_of(service)
            .filter(|leader| !leader.is_being_replaced)?;
        // Evacuated replicas receive nothing more, not even probes.
        let entries = control.databases_of(service).into_iter().filter(|entry| {
            entry.id == leader.database || !control.is_evacuated(&entry.data_centre)
        });
        let (leaders, replicas): (Vec<_>, Vec<_>) =
            entries.partition(|entry| entry.id == leader.database);
        Some(LeaderGroup {
            service: service.clone(),
            leased_until: control.service_leased_until(service),
            leader: leaders.into_iter().next()?,
            replicas,
        })
    };
    services
        .filter(|service| !is_confirmed(service))
        .filter_map(group)
        .collect()
}

/// Probes a leader and its replicas, or only one replica if that may be enough.
async fn probe_group(
    group: LeaderGroup,
    workspace: name::WorkspaceName,
    probes: Option<GroupProbes>,
) -> FinishedRound {
    let started_at = clock::now();
    let probes = probes.filter(|probes| probes.leader == group.leader.id);
    let mut probes = probes.unwrap_or_else(|| GroupProbes {
        leader: group.leader.id.clone(),
        started_at,
        series: probe::ProbeSeries::default(),
        connections: BTreeMap::new(),
        opened_connections: 0,
    });
    probes.started_at = started_at;
    let continuous = probes.series.continuous_replica().cloned();
    let has_connection = |id: &name::DatabaseName| probes.connections.contains_key(id);
    let continuous = continuous.filter(has_connection);
    let includes_all_replicas = continuous.is_none();
    let mut entries = group.replicas;
    entries.retain(|entry| continuous.as_ref().is_none_or(|id| *id == entry.id));
    entries.push(group.leader);
    let mut connections = std::mem::take(&mut probes.connections);
    let mut tasks = JoinSet::new();
    for entry in entries {
        let connection = connections.remove(&entry.id);
        probes.opened_connections += u64::from(connection.is_none());
        let number = probes.opened_connections;
        let workspace = workspace.clone();
        tasks.spawn_local(async move {
            let probing = probe_database(&entry, &workspace, connection, number);
            let probed = tokio::time::timeout(PROBE_TIMEOUT, probing).await;
            (entry.id, probed.unwrap_or((probe::ProbeResult::Lost, None)))
        });
    }
    let mut round = probe::ProbeRound {
        started_at,
        is_leased: false,
        leader: probe::ProbeResult::Lost,
        replicas: BTreeMap::new(),
        includes_all_replicas,
    };
    while let Some(finished) = tasks.join_next().await {
        let Ok((id, (result, connection))) = finished else {
            continue;
        };
        if let Some(connection) = connection {
            probes.connections.insert(id.clone(), connection);
        }
        if id == probes.leader {
            round.leader = result;
        } else {
            round.replicas.insert(id, result);
        }
    }
    FinishedRound {
        service: group.service,
        probes,
        round,
    }
}

/// Probes a database on an open connection, or on a new one with the given number. Returns the
/// connection if it can be used again.
async fn probe_database(
    entry: &catalog::DatabaseEntry,
    workspace: &name::WorkspaceName,
    connection: Option<ProbeConnection>,
    number: u64,
) -> (probe::ProbeResult, Option<ProbeConnection>) {
    let mut connection = match connection {
        Some(connection) => connection,
        None => match orders::OrderConnection::open(entry, workspace).await {
            Ok(connection) => ProbeConnection { number, connection },
            Err(error) => {
                log::info!(database = entry.id.as_str(), error:% = error; "a database cannot be probed");
                return (probe::ProbeResult::Lost, None);
            }
        },
    };
    let order = database::DatabaseOrder::Status;
    match connection.connection.send(order).await {
        Ok(status) => {
            let report = probe::ProbeReport {
                connection: connection.number,
                is_primary: status.is_primary,
                term: status.term,
                fenced_term: status.fenced_term,
            };
            (probe::ProbeResult::Reported(report), Some(connection))
        }
        Err(orders::OrderError::Refused(_)) => (probe::ProbeResult::Busy, Some(connection)),
        Err(error) => {
            log::info!(database = entry.id.as_str(), error:% = error; "a database did not answer a probe");
            (probe::ProbeResult::Lost, None)
        }
    }
}

//! Confirmation of leaders by probes of the databases, when neither the store nor the other
//! VMs confirm them.
//!
//! A VM that reaches neither the store nor all other VMs cannot know from them whether a
//! leader is being replaced. But before another database is promoted, either the leader
//! must have stepped down or every replica must have been fenced, and then
//! [`lease::PROBE_LEASE_DURATION`](bluebellferry_promotion::lease::PROBE_LEASE_DURATION)
//! must have passed. So a leader that still leads and has at least one replica that is not
//! fenced may be relied on for that time.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database as catalog;
use bluebellferry_platform::database;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use tokio::task::JoinSet;

use crate::control;
use crate::control::orders;
use crate::control::state;

/// How often leaders are probed while nothing else confirms them.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// How long before the end of the lease leaders are probed. The store is read earlier, since
/// one read of it costs less than probes of all databases.
const PROBE_LEAD_TIME: Duration = Duration::from_millis(150);

/// How long a VM waits after the end of a lease that the coordinator of its data centre
/// should have renewed, before it probes the leader itself.
const COORDINATOR_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// The leader of a service and its replicas.
struct LeaderGroup {
    service: name::ServiceName,
    leader: catalog::DatabaseEntry,
    replicas: Vec<catalog::DatabaseEntry>,
}

/// Probes leaders whenever nothing else confirms them, until the process ends.
pub async fn confirm_leaders(control: control::ControlCell) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let (groups, workspace) = {
            let control = control.borrow();
            (
                find_unconfirmed_groups(&control, clock::now()),
                control.any_workspace(),
            )
        };
        let Some(workspace) = workspace else { continue };
        let mut probes = JoinSet::new();
        for group in groups {
            let workspace = workspace.clone();
            probes.spawn_local(async move { (probe_group(&group, &workspace).await, group) });
        }
        while let Some(finished) = probes.join_next().await {
            if let Ok((Some(started_at), group)) = finished {
                let mut control = control.borrow_mut();
                control.record_leader_probe(&group.service, &group.leader.id, started_at);
                if control.confirms_leaders_for_centre(started_at) {
                    control.heartbeat_trigger.notify_one();
                }
            }
        }
    }
}

/// Returns the leaders, with their replicas, whose leases are about to end without another
/// confirmation.
fn find_unconfirmed_groups(control: &state::ControlState, now: Instant) -> Vec<LeaderGroup> {
    let services = control.configuration.decoded.services.keys();
    let is_due = |leased_until: Option<Instant>| {
        leased_until.is_none_or(|leased_until| leased_until <= now + PROBE_LEAD_TIME)
    };
    if !is_due(control.lease.valid_until()) {
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
            leader: leaders.into_iter().next()?,
            replicas,
        })
    };
    services
        .filter(|service| !is_confirmed(service))
        .filter_map(group)
        .collect()
}

/// Probes a leader and its replicas. If the leader leads and has a replica that is not
/// fenced, returns when the probe was started: the leader had not been replaced by then.
async fn probe_group(group: &LeaderGroup, workspace: &name::WorkspaceName) -> Option<Instant> {
    let started_at = clock::now();
    let order = database::DatabaseOrder::Status;
    let leader = orders::send_order(&group.leader, workspace, order)
        .await
        .ok()?;
    if !leader.is_primary {
        return None;
    }
    for replica in &group.replicas {
        let status = orders::send_order(replica, workspace, order).await;
        if status.is_ok_and(|status| is_unfenced_replica(status, leader)) {
            return Some(started_at);
        }
    }
    None
}

/// Returns whether a database is a replica that follows the leader and is not fenced.
fn is_unfenced_replica(
    replica: database::DatabaseStatus,
    leader: database::DatabaseStatus,
) -> bool {
    !replica.is_primary && replica.fenced_term == 0 && replica.term == leader.term
}

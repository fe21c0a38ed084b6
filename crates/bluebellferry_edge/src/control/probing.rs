//! Confirming leaders at the databases themselves.
//!
//! A VM that reaches neither the store nor all other VMs cannot know whether a
//! leader is being replaced. But before another database is named, either the
//! leader must have given up leading or every replica must have been held back,
//! and some time must have passed since. So a leader that leads, with a replica
//! that is not held back, may be relied on for that time.

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

/// How often leaders are asked while no other confirmation comes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Leaders are asked when the lease would end within this time. The store is
/// asked earlier, since that costs less.
const PROBE_BEFORE_END: Duration = Duration::from_millis(150);

/// How long after the end of a head's confirmation a VM asks a leader itself.
const HEAD_LATE_AFTER: Duration = Duration::from_millis(300);

/// A leader with its replicas.
struct LeaderGroup {
    service: name::ServiceName,
    leader: catalog::DatabaseEntry,
    replicas: Vec<catalog::DatabaseEntry>,
}

/// Asks leaders whenever nothing else confirms them.
pub async fn follow(control: control::ControlCell) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let (groups, workspace) = {
            let control = control.borrow();
            (find_groups(&control, clock::now()), control.any_workspace())
        };
        let Some(workspace) = workspace else { continue };
        let mut probes = JoinSet::new();
        for group in groups {
            let workspace = workspace.clone();
            probes.spawn_local(async move { (probe(&group, &workspace).await, group) });
        }
        while let Some(probed) = probes.join_next().await {
            if let Ok((Some(asked), group)) = probed {
                let mut control = control.borrow_mut();
                control.record_probed(&group.service, &group.leader.id, asked);
                if control.confirms_for_others(asked) {
                    control.news.notify_one();
                }
            }
        }
    }
}

/// Returns the leaders that nothing else confirms in time.
fn find_groups(control: &state::ControlState, now: Instant) -> Vec<LeaderGroup> {
    let services = control.configuration.decoded.services.keys();
    let is_due = |until: Option<Instant>| until.is_none_or(|until| until <= now + PROBE_BEFORE_END);
    if !is_due(control.lease.valid_until()) {
        return Vec::new();
    }
    // The head asks for its data centre, unless that does not reach this VM in time.
    let relies_on_head = control.relies_on_head(now);
    let is_confirmed = |service: &&name::ServiceName| {
        let until = control.service_leased_until(service);
        relies_on_head && until.is_some_and(|until| until + HEAD_LATE_AFTER > now)
    };
    let group = |service: &name::ServiceName| {
        let leader = control
            .leader_of(service)
            .filter(|leader| !leader.is_replacing)?;
        let entries = control.databases_of(service).into_iter();
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

/// Returns an instant at which the leader certainly had not been replaced.
async fn probe(group: &LeaderGroup, workspace: &name::WorkspaceName) -> Option<Instant> {
    let asked = clock::now();
    let order = database::DatabaseOrder::Status;
    let leader = orders::give_order(&group.leader, workspace, order)
        .await
        .ok()?;
    if !leader.is_primary {
        return None;
    }
    for replica in &group.replicas {
        let status = orders::give_order(replica, workspace, order).await;
        if status.is_ok_and(|status| follows_freely(status, leader)) {
            return Some(asked);
        }
    }
    None
}

fn follows_freely(replica: database::DatabaseStatus, leader: database::DatabaseStatus) -> bool {
    !replica.is_primary && replica.fenced_term == 0 && replica.term == leader.term
}

//! Composes heartbeats and sends them to other VMs.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::heartbeat;
use bluebellferry_membership::message;
use bluebellferry_membership::topology;
use bluebellferry_runtime::clock;
use tokio::time;

use crate::control;
use crate::control::allocation;
use crate::control::peers;
use crate::control::state;
use crate::shared;

/// The interval between the heartbeats of a VM in a full mesh, and between those of
/// coordinators. A lease is valid for longer than three intervals.
pub const FLEET_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The interval between heartbeats within a data centre that has a coordinator. It is
/// half as long because leases depend on the coordinator's confirmations, which are then
/// half as old when they arrive.
const OWN_CENTRE_INTERVAL: Duration = Duration::from_millis(200);
/// The delay of a round of heartbeats beyond which the process counts as suspended: longer
/// than a busy processor or a saturated link delays a round.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);
/// The minimum interval between two rounds of heartbeats, when changes trigger them.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum age of a position that is sent; older ones are of no use to other VMs.
const MAX_POSITION_AGE: Duration = Duration::from_millis(2_500);
/// The weight of a new measurement in the moving average of the operation rate.
const RATE_SMOOTHING: f64 = 0.3;

/// Measures the rate of the operations that callers start, as a moving average.
#[derive(Debug)]
struct OperationMeter {
    /// The number of operations at the last measurement.
    counted_operations: u64,
    measured_at: Instant,
    per_second: f64,
}

impl OperationMeter {
    fn measure(&mut self, total: u64, now: Instant) -> f64 {
        let elapsed = now
            .saturating_duration_since(self.measured_at)
            .as_secs_f64();
        if elapsed >= OWN_CENTRE_INTERVAL.as_secs_f64() {
            let measured_rate = total.saturating_sub(self.counted_operations) as f64 / elapsed;
            self.per_second += RATE_SMOOTHING * (measured_rate - self.per_second);
            self.counted_operations = total;
            self.measured_at = now;
        }
        self.per_second
    }
}

/// When the periodic work of the heartbeat task was last done.
#[derive(Debug)]
struct HeartbeatTimes {
    /// When heartbeats were last sent to other data centres.
    remote_sent: Instant,
    /// When limits were last allocated.
    allocated: Instant,
}

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(control: control::ControlCell, links: Rc<peers::PeerLinks>) {
    let trigger = Arc::clone(&control.borrow().heartbeat_trigger);
    let start = clock::now();
    let mut meter = OperationMeter {
        counted_operations: 0,
        measured_at: start,
        per_second: 0.0,
    };
    let mut tracker = allocation::DemandTracker::default();
    let mut times = HeartbeatTimes {
        remote_sent: start,
        allocated: start,
    };
    let mut was_triggered = true;
    let mut last_round = start;
    loop {
        let now = clock::now();
        log_suspension(last_round, now);
        last_round = now;
        let interval = {
            let mut control = control.borrow_mut();
            control.shared.rate_limiter.record_running(now);
            let total = control.shared.operation_count.load(Ordering::Relaxed);
            let demand = allocation::LocalDemand {
                operations_per_second: meter.measure(total, now),
                demands: tracker.measure(&control, now),
            };
            let allocation_interval = if control.has_owners() {
                allocation::OWNER_ALLOCATION_INTERVAL
            } else {
                allocation::ALLOCATION_INTERVAL
            };
            control.update_group_status(now);
            // The first allocation is not delayed.
            let is_allocation_due = control.awaits_first_allocation()
                || now.saturating_duration_since(times.allocated) >= allocation_interval;
            if is_allocation_due {
                times.allocated = now;
                allocation::update_allocations(&mut control, &demand, now);
            }
            links.apply_members(&control);
            control.local_demand = demand;
            send_round(&mut control, &links, &mut times, was_triggered, now);
            control.publish_snapshot();
            control.shared.update_hand_over(now);
            if control.topology.is_full_mesh() {
                FLEET_HEARTBEAT_INTERVAL
            } else {
                OWN_CENTRE_INTERVAL
            }
        };
        time::sleep(MIN_HEARTBEAT_INTERVAL).await;
        let remaining = interval.saturating_sub(MIN_HEARTBEAT_INTERVAL);
        was_triggered = time::timeout(remaining, trigger.notified()).await.is_ok();
    }
}

/// Logs that this process was suspended: the messages that it received meanwhile are older
/// than their arrival suggests.
fn log_suspension(last_round: Instant, now: Instant) {
    let elapsed = now.saturating_duration_since(last_round);
    if elapsed >= FLEET_HEARTBEAT_INTERVAL + SUSPENSION_THRESHOLD {
        log::warn!(
            elapsed_ms = elapsed.as_millis() as u64;
            "this process was suspended; heartbeats that waited meanwhile are older than they seem"
        );
    }
}

/// Sends a heartbeat to each target whose interval has passed.
fn send_round(
    control: &mut state::ControlState,
    links: &peers::PeerLinks,
    times: &mut HeartbeatTimes,
    was_triggered: bool,
    now: Instant,
) {
    let is_full_mesh = control.topology.is_full_mesh();
    // Changes within this VM's data centre must not multiply the traffic between regions.
    let remote_interval = if was_triggered {
        OWN_CENTRE_INTERVAL
    } else {
        FLEET_HEARTBEAT_INTERVAL
    };
    let since_remote = now.saturating_duration_since(times.remote_sent);
    let is_remote_due = is_full_mesh
        || control.take_centre_news()
        || since_remote + MIN_HEARTBEAT_INTERVAL >= remote_interval;
    if is_remote_due {
        times.remote_sent = now;
    }
    let common = common_heartbeat(control, now);
    let observations = control.assess_databases(now);
    let sequence = links.next_sequence();
    control.lease.record_sent_heartbeat(sequence, clock::now());
    let targets = control.topology.next_targets(now);
    let report = control.replacement_report(now);
    let report = report.map(|report| message::PeerMessage::ReplacementReport(Box::new(report)));
    for target in targets {
        if let Some(report) = &report {
            links.send(&target.vm, report);
        }
        if target.is_in_own_centre || is_remote_due {
            let mut heartbeat = heartbeat_for(control, &common, &target, now);
            if target.is_in_own_centre {
                heartbeat.observations.clone_from(&observations);
                heartbeat.verdicts = control.verdicts_for_centre(now);
            }
            send_to(control, links, &target.vm, sequence, heartbeat, now);
        }
    }
}

fn send_to(
    control: &mut state::ControlState,
    links: &peers::PeerLinks,
    vm: &str,
    sequence: u64,
    heartbeat: heartbeat::FleetHeartbeat,
    now: Instant,
) {
    if heartbeat.is_follower {
        control.record_following(vm, now);
    }
    let message = message::PeerMessage::Beat(Box::new(heartbeat));
    links.send_numbered(vm, sequence, &message);
}

/// Sends a heartbeat to a VM that waits for one, without waiting for the next round. Two processes
/// that meet thus know within two round trips that they hear each other.
pub fn send_reply(
    control: &mut state::ControlState,
    links: &peers::PeerLinks,
    vm: &str,
    now: Instant,
) {
    let Some(member) = control.members.get(vm) else {
        return;
    };
    let target = topology::HeartbeatTarget {
        vm: vm.to_owned(),
        expects_reply: false,
        is_in_own_centre: member.data_centre == control.shared.settings.data_centre,
    };
    let common = common_heartbeat(control, now);
    let heartbeat = heartbeat_for(control, &common, &target, now);
    let sequence = links.next_sequence();
    control.lease.record_sent_heartbeat(sequence, clock::now());
    send_to(control, links, vm, sequence, heartbeat, now);
}

/// Returns the contents that the heartbeats to all VMs have in common.
pub fn common_heartbeat(control: &state::ControlState, now: Instant) -> heartbeat::FleetHeartbeat {
    let demand = &control.local_demand;
    let is_coordinator = control.topology.is_coordinator(now);
    let is_full_mesh = control.topology.is_full_mesh();
    heartbeat::FleetHeartbeat {
        vm: control.own_name().to_owned(),
        is_draining: *control.shared.drain_phase.borrow() != shared::DrainPhase::Serving,
        is_store_reachable: control.is_store_reachable,
        is_coordinator,
        has_group_majority: control.has_group_majority(now),
        is_isolated: control.is_isolated,
        versions: control.versions,
        table_revision: control.leadership_table.revision,
        is_claiming: control.active_claims > 0,
        centre_acknowledgement: control.own_centre_acknowledgement(now),
        operations_per_second: demand.operations_per_second,
        // Outside a full mesh, the rates of workspaces are allocated to owners, so the demand by
        // workspace is not needed.
        demands: is_full_mesh.then(|| demand.demands.clone()),
        allocation_number: control.allocation_table.number,
        allocation_age_ms: elapsed_ms(control.allocations_announced(), now),
        centre_allocation_number: control.centre_allocation_table.number,
        centre_allocation_age_ms: elapsed_ms(control.centre_allocations_announced(), now),
        suspicions: control.known_suspicions(now),
        positions: position_samples(control, now),
        ..heartbeat::FleetHeartbeat::default()
    }
}

/// Returns the heartbeat for one target: the common contents and those for the target only.
pub fn heartbeat_for(
    control: &state::ControlState,
    common: &heartbeat::FleetHeartbeat,
    target: &topology::HeartbeatTarget,
    now: Instant,
) -> heartbeat::FleetHeartbeat {
    let peer = control.peers.get(&target.vm);
    // Heartbeats may still reach a VM from which none arrive, so a VM that is not live is
    // assumed to lack everything.
    let latest = peer
        .filter(|record| record.is_live(now))
        .map(|record| &record.heartbeat);
    let lacks = |known: fn(&heartbeat::FleetHeartbeat) -> u64, own: u64| {
        own > 0 && latest.is_none_or(|heartbeat| known(heartbeat) < own)
    };
    let lacks_table = lacks(
        |heartbeat| heartbeat.table_revision,
        control.leadership_table.revision,
    );
    let lacks_allocations = lacks(
        |heartbeat| heartbeat.allocation_number,
        control.allocation_table.number,
    ) && control.is_in_group(&target.vm)
        && (allocation::is_group_allocator(control, now)
            || (control.has_owners() && control.may_relay_allocations(now)));
    let lacks_centre_allocations = lacks(
        |heartbeat| heartbeat.centre_allocation_number,
        control.centre_allocation_table.number,
    ) && control.has_owners()
        && (common.is_coordinator
            || (control.is_in_group(&target.vm) && control.may_relay_allocations(now)));
    let lacks_evacuations = lacks(
        |heartbeat| heartbeat.versions.evacuations,
        control.versions.evacuations,
    );
    heartbeat::FleetHeartbeat {
        evacuations: lacks_evacuations.then(|| control.evacuation_list()),
        is_follower: control.follows(&target.vm, now),
        expects_reply: target.expects_reply,
        table: lacks_table.then(|| control.leadership_table.clone()),
        echo: peer.map(|record| echo_of(control, record, now)),
        probed: peer.map_or_else(Vec::new, |record| control.leader_probes_for(record, now)),
        allocation_table: lacks_allocations.then(|| control.allocation_table.clone()),
        centre_allocation_table: lacks_centre_allocations
            .then(|| control.centre_allocation_table.clone()),
        ..common.clone()
    }
}

fn echo_of(
    control: &state::ControlState,
    record: &state::PeerRecord,
    now: Instant,
) -> heartbeat::HeartbeatEcho {
    let confirmed = control.lease.store_confirmed_at();
    heartbeat::HeartbeatEcho {
        incarnation: record.incarnation,
        sequence: record.sequence,
        delay_ms: elapsed_ms(record.received_at, now),
        confirmed: confirmed.and_then(|confirmed| record.latest_sequence_before(confirmed)),
    }
}

fn elapsed_ms(since: Instant, now: Instant) -> u32 {
    let elapsed = now.saturating_duration_since(since);
    u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX)
}

fn position_samples(control: &state::ControlState, now: Instant) -> Vec<heartbeat::PositionSample> {
    let positions = control.shared.lock_positions();
    let sample = |(service, history): (&_, &bluebellferry_routing::history::PositionHistory)| {
        let (requested, position) = history.latest_sample()?;
        let age = now.saturating_duration_since(requested);
        (age <= MAX_POSITION_AGE).then(|| heartbeat::PositionSample {
            service: Clone::clone(service),
            position,
            age_ms: age.as_millis() as u32 + 1,
        })
    };
    positions.iter().filter_map(sample).collect()
}

//! Composing and sending heartbeats.

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
use crate::control::parts;
use crate::control::peers;
use crate::control::state;
use crate::shared;

/// How often each VM sends heartbeats. A lease outlives three.
pub const FLEET_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// How often VMs of one data centre send them where there is a head: its
/// confirmations reach leases half as old.
const OWN_CENTRE_INTERVAL: Duration = Duration::from_millis(200);
/// How late a round of heartbeats is when the VM counts as having stood still:
/// longer than a busy processor or a full link delays one.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);
/// The shortest time between two heartbeats, when there is news.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Positions older than this are of no use to other VMs.
const MAX_POSITION_AGE: Duration = Duration::from_millis(2_500);
/// How much of a new measurement enters the rate of operations.
const RATE_SMOOTHING: f64 = 0.3;

/// Measures the operations that callers start.
#[derive(Debug)]
struct OperationMeter {
    counted: u64,
    measured: Instant,
    per_second: f64,
}

impl OperationMeter {
    fn measure(&mut self, total: u64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.measured).as_secs_f64();
        if elapsed >= OWN_CENTRE_INTERVAL.as_secs_f64() {
            let seen = total.saturating_sub(self.counted) as f64 / elapsed;
            self.per_second += RATE_SMOOTHING * (seen - self.per_second);
            self.counted = total;
            self.measured = now;
        }
        self.per_second
    }
}

/// When each kind of heartbeat was last sent.
#[derive(Debug)]
struct HeartbeatTimes {
    far: Instant,
    weighed: Instant,
}

/// Sends heartbeats until the process ends.
pub async fn send(control: control::ControlCell, links: Rc<peers::PeerLinks>) {
    let news = Arc::clone(&control.borrow().heartbeat_trigger);
    let start = clock::now();
    let mut meter = OperationMeter {
        counted: 0,
        measured: start,
        per_second: 0.0,
    };
    let mut demands = parts::DemandBook::default();
    let mut times = HeartbeatTimes {
        far: start,
        weighed: start,
    };
    let mut has_news = true;
    let mut last_round = start;
    loop {
        let now = clock::now();
        log_standstill(last_round, now);
        last_round = now;
        let interval = {
            let mut control = control.borrow_mut();
            control.shared.shares.observe(now);
            let total = control.shared.operations.load(Ordering::Relaxed);
            let load = parts::OwnLoad {
                operations_per_second: meter.measure(total, now),
                demands: demands.measure(&control, now),
            };
            let setting_interval = if control.has_owners() {
                parts::OWNER_SETTING_INTERVAL
            } else {
                parts::SETTING_INTERVAL
            };
            if now.saturating_duration_since(times.weighed) >= setting_interval {
                times.weighed = now;
                parts::set(&mut control, &load, now);
            }
            control.update_group_status(now);
            links.apply_members(&control);
            send_round(&mut control, &links, load, &mut times, has_news, now);
            control.publish();
            if control.topology.is_full_mesh() {
                FLEET_HEARTBEAT_INTERVAL
            } else {
                OWN_CENTRE_INTERVAL
            }
        };
        time::sleep(MIN_INTERVAL).await;
        let rest = interval.saturating_sub(MIN_INTERVAL);
        has_news = time::timeout(rest, news.notified()).await.is_ok();
    }
}

/// Logs that this VM stood still: what it received meanwhile is older than it seems.
fn log_standstill(last_round: Instant, now: Instant) {
    let elapsed = now.saturating_duration_since(last_round);
    if elapsed >= FLEET_HEARTBEAT_INTERVAL + SUSPENSION_THRESHOLD {
        log::warn!(elapsed_ms = elapsed.as_millis() as u64; "this VM stood still");
    }
}

/// Sends one heartbeat to each VM that is due one.
fn send_round(
    control: &mut state::ControlState,
    links: &peers::PeerLinks,
    load: parts::OwnLoad,
    times: &mut HeartbeatTimes,
    has_news: bool,
    now: Instant,
) {
    let is_full = control.topology.is_full_mesh();
    // News of this VM's own data centre must not multiply the bytes between regions.
    let far_interval = if has_news {
        OWN_CENTRE_INTERVAL
    } else {
        FLEET_HEARTBEAT_INTERVAL
    };
    let since_far = now.saturating_duration_since(times.far);
    let is_far_due = is_full || since_far + MIN_INTERVAL >= far_interval;
    if is_far_due {
        times.far = now;
    }
    let common = common_heartbeat(control, load, now);
    let sequence = links.next_sequence();
    control.lease.record_sent(sequence, clock::now());
    let targets = control.topology.targets(now);
    for target in targets {
        if target.is_in_own_centre || is_far_due {
            let beat = heartbeat_for(control, &common, &target, now);
            let text = message::PeerMessage::Beat(Box::new(beat));
            links.send_numbered(&target.vm, sequence, &text);
        }
    }
}

/// Returns what all VMs are told alike.
pub fn common_heartbeat(
    control: &state::ControlState,
    load: parts::OwnLoad,
    now: Instant,
) -> heartbeat::FleetHeartbeat {
    let is_coordinator = control.topology.is_coordinator(now);
    let is_full = control.topology.is_full_mesh();
    heartbeat::FleetHeartbeat {
        vm: control.own_name().to_owned(),
        is_draining: *control.shared.drain.borrow() != shared::DrainPhase::Serving,
        is_store_reachable: control.is_store_reachable,
        is_coordinator,
        has_group_majority: control.has_group_majority(now),
        is_isolated: control.is_isolated,
        versions: control.versions,
        table_revision: control.table.revision,
        is_claiming: control.active_claims > 0,
        centre_acknowledgement: control.own_centre_acknowledgement(now),
        operations_per_second: load.operations_per_second,
        // Where there are heads, rates have owners and data centres equal parts, so
        // demand by workspace is not told.
        demands: is_full.then_some(load.demands),
        allocation_number: control.allocation_table.number,
        centre_allocation_number: control.centre_allocation_table.number,
        suspicions: control.known_suspicions(now),
        positions: position_samples(control, now),
        ..heartbeat::FleetHeartbeat::default()
    }
}

/// Adds what only this receiver is told.
pub fn heartbeat_for(
    control: &state::ControlState,
    common: &heartbeat::FleetHeartbeat,
    target: &topology::HeartbeatTarget,
    now: Instant,
) -> heartbeat::FleetHeartbeat {
    let peer = control.peers.get(&target.vm);
    // A VM that was not heard may still hear.
    let last = peer
        .filter(|record| record.is_live(now))
        .map(|record| &record.heartbeat);
    let lacks = |known: fn(&heartbeat::FleetHeartbeat) -> u64, own: u64| {
        own > 0 && last.is_none_or(|beat| known(beat) < own)
    };
    let lacks_table = lacks(|beat| beat.table_revision, control.table.revision);
    let lacks_weights = lacks(
        |beat| beat.allocation_number,
        control.allocation_table.number,
    ) && control.is_in_group(&target.vm)
        && (parts::is_group_setter(control, now)
            || (control.has_owners() && control.are_allocations_spread(now)));
    let lacks_centres = lacks(
        |beat| beat.centre_allocation_number,
        control.centre_allocation_table.number,
    ) && common.is_coordinator
        && !control.topology.is_full_mesh();
    heartbeat::FleetHeartbeat {
        expects_reply: target.expects_reply,
        table: lacks_table.then(|| control.table.clone()),
        echo: peer.map(|record| echo_of(control, record, now)),
        probed: peer.map_or_else(Vec::new, |record| control.leader_probes_for(record, now)),
        allocation_table: lacks_weights.then(|| control.allocation_table.clone()),
        centre_allocation_table: lacks_centres.then(|| control.centre_allocation_table.clone()),
        ..common.clone()
    }
}

fn echo_of(
    control: &state::ControlState,
    record: &state::PeerRecord,
    now: Instant,
) -> heartbeat::HeartbeatEcho {
    let held = now.saturating_duration_since(record.heard);
    let confirmed = control.lease.store_confirmed();
    heartbeat::HeartbeatEcho {
        incarnation: record.incarnation,
        sequence: record.sequence,
        delay_ms: held.as_millis() as u32,
        confirmed: confirmed.and_then(|confirmed| record.latest_before(confirmed)),
    }
}

fn position_samples(control: &state::ControlState, now: Instant) -> Vec<heartbeat::PositionSample> {
    let positions = control.shared.positions();
    let sample = |(service, history): (&_, &bluebellferry_routing::history::PositionHistory)| {
        let (asked, position) = history.latest_sample()?;
        let age = now.saturating_duration_since(asked);
        (age <= MAX_POSITION_AGE).then(|| heartbeat::PositionSample {
            service: Clone::clone(service),
            position,
            age_ms: age.as_millis() as u32 + 1,
        })
    };
    positions.iter().filter_map(sample).collect()
}

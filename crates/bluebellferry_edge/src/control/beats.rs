//! Composing and sending heartbeats.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::beat;
use bluebellferry_membership::circle;
use bluebellferry_membership::message;
use bluebellferry_runtime::clock;
use tokio::time;

use crate::control;
use crate::control::allocation;
use crate::control::peers;
use crate::control::state;
use crate::shared;

/// How often each VM sends heartbeats. A lease outlives three.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(400);
/// How often VMs of one data centre send them where there is a head: its
/// confirmations reach leases half as old.
const NEAR_INTERVAL: Duration = Duration::from_millis(200);
/// How late a round of heartbeats is when the VM counts as having stood still:
/// longer than a busy processor or a full link delays one.
const STILL_AFTER: Duration = Duration::from_millis(500);
/// The shortest time between two heartbeats, when there is news.
const LEAST_INTERVAL: Duration = Duration::from_millis(20);
/// Positions older than this are of no use to other VMs.
const POSITION_KEPT: Duration = Duration::from_millis(2_500);
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
        if elapsed >= NEAR_INTERVAL.as_secs_f64() {
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
struct BeatTimes {
    far: Instant,
    weighed: Instant,
}

/// Sends heartbeats until the process ends.
pub async fn send(control: control::ControlCell, links: Rc<peers::PeerLinks>) {
    let news = Arc::clone(&control.borrow().news);
    let start = clock::now();
    let mut meter = OperationMeter {
        counted: 0,
        measured: start,
        per_second: 0.0,
    };
    let mut demands = allocation::DemandTracker::default();
    let mut times = BeatTimes {
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
            control.shared.shares.record_running(now);
            let total = control.shared.operations.load(Ordering::Relaxed);
            let load = allocation::LocalDemand {
                operations_per_second: meter.measure(total, now),
                demands: demands.measure(&control, now),
            };
            let setting_interval = if control.has_owners() {
                allocation::OWNER_ALLOCATION_INTERVAL
            } else {
                allocation::ALLOCATION_INTERVAL
            };
            if now.saturating_duration_since(times.weighed) >= setting_interval {
                times.weighed = now;
                allocation::update_allocations(&mut control, &load, now);
            }
            control.note_circle(now);
            links.apply_members(&control);
            send_round(&mut control, &links, load, &mut times, has_news, now);
            control.publish();
            if control.circle.is_full_exchange() {
                BEAT_INTERVAL
            } else {
                NEAR_INTERVAL
            }
        };
        time::sleep(LEAST_INTERVAL).await;
        let rest = interval.saturating_sub(LEAST_INTERVAL);
        has_news = time::timeout(rest, news.notified()).await.is_ok();
    }
}

/// Logs that this VM stood still: what it received meanwhile is older than it seems.
fn log_standstill(last_round: Instant, now: Instant) {
    let elapsed = now.saturating_duration_since(last_round);
    if elapsed >= BEAT_INTERVAL + STILL_AFTER {
        log::warn!(elapsed_ms = elapsed.as_millis() as u64; "this VM stood still");
    }
}

/// Sends one heartbeat to each VM that is due one.
fn send_round(
    control: &mut state::ControlState,
    links: &peers::PeerLinks,
    load: allocation::LocalDemand,
    times: &mut BeatTimes,
    has_news: bool,
    now: Instant,
) {
    let is_full = control.circle.is_full_exchange();
    // News of this VM's own data centre must not multiply the bytes between regions.
    let far_interval = if has_news {
        NEAR_INTERVAL
    } else {
        BEAT_INTERVAL
    };
    let since_far = now.saturating_duration_since(times.far);
    let is_far_due = is_full || since_far + LEAST_INTERVAL >= far_interval;
    if is_far_due {
        times.far = now;
    }
    let common = common_part(control, load, now);
    let sequence = links.next_sequence();
    control.lease.record_sent(sequence, clock::now());
    let targets = control.circle.targets(now);
    for target in targets {
        if target.is_near || is_far_due {
            let beat = beat_for(control, &common, &target, now);
            let text = message::PeerMessage::Beat(Box::new(beat));
            links.send_numbered(&target.vm, sequence, &text);
        }
    }
}

/// Returns what all VMs are told alike.
pub fn common_part(
    control: &state::ControlState,
    load: allocation::LocalDemand,
    now: Instant,
) -> beat::FleetBeat {
    let is_head = control.circle.is_head(now);
    let is_full = control.circle.is_full_exchange();
    beat::FleetBeat {
        vm: control.own_name().to_owned(),
        is_leaving: *control.shared.drain.borrow() != shared::DrainPhase::Serving,
        has_store: control.has_store,
        is_head,
        is_answered_by_most: control.is_answered_by_most(now),
        is_isolated: control.is_isolated,
        versions: control.versions,
        table_revision: control.table.revision,
        is_claiming: control.claims > 0,
        centre_seen: control.own_centre_seen(now),
        operations_per_second: load.operations_per_second,
        // Where there are heads, rates have owners and data centres equal parts, so
        // demand by workspace is not told.
        demands: is_full.then_some(load.demands),
        parts_number: control.weights.number,
        centre_parts_number: control.centre_weights.number,
        suspicions: control.known_suspicions(now),
        positions: position_samples(control, now),
        ..beat::FleetBeat::default()
    }
}

/// Adds what only this receiver is told.
pub fn beat_for(
    control: &state::ControlState,
    common: &beat::FleetBeat,
    target: &circle::BeatTarget,
    now: Instant,
) -> beat::FleetBeat {
    let peer = control.peers.get(&target.vm);
    // A VM that was not heard may still hear.
    let last = peer
        .filter(|record| record.is_live(now))
        .map(|record| &record.beat);
    let lacks = |known: fn(&beat::FleetBeat) -> u64, own: u64| {
        own > 0 && last.is_none_or(|beat| known(beat) < own)
    };
    let lacks_table = lacks(|beat| beat.table_revision, control.table.revision);
    let lacks_weights = lacks(|beat| beat.parts_number, control.weights.number)
        && control.is_in_group(&target.vm)
        && (allocation::is_group_allocator(control, now)
            || (control.has_owners() && control.are_weights_settled(now)));
    let lacks_centres = lacks(
        |beat| beat.centre_parts_number,
        control.centre_weights.number,
    ) && common.is_head
        && !control.circle.is_full_exchange();
    beat::FleetBeat {
        asks_answer: target.is_chosen,
        table: lacks_table.then(|| control.table.clone()),
        echo: peer.map(|record| echo_of(control, record, now)),
        probed: peer.map_or_else(Vec::new, |record| control.probed_for(record, now)),
        weights: lacks_weights.then(|| control.weights.clone()),
        centre_weights: lacks_centres.then(|| control.centre_weights.clone()),
        ..common.clone()
    }
}

fn echo_of(
    control: &state::ControlState,
    record: &state::PeerRecord,
    now: Instant,
) -> beat::BeatEcho {
    let held = now.saturating_duration_since(record.heard);
    let confirmed = control.lease.store_confirmed();
    beat::BeatEcho {
        incarnation: record.incarnation,
        sequence: record.sequence,
        held_ms: held.as_millis() as u32,
        confirmed: confirmed.and_then(|confirmed| record.latest_before(confirmed)),
    }
}

fn position_samples(control: &state::ControlState, now: Instant) -> Vec<beat::PositionSample> {
    let positions = control.shared.positions();
    let sample = |(service, history): (&_, &bluebellferry_routing::history::PositionHistory)| {
        let (asked, position) = history.latest_sample()?;
        let age = now.saturating_duration_since(asked);
        (age <= POSITION_KEPT).then(|| beat::PositionSample {
            service: Clone::clone(service),
            position,
            age_ms: age.as_millis() as u32 + 1,
        })
    };
    positions.iter().filter_map(sample).collect()
}

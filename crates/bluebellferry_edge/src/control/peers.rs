//! Heartbeats between VMs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::beat;
use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use tokio::net::UdpSocket;

use crate::control;
use crate::control::copies;
use crate::control::parts;
use crate::control::state;
use crate::control::tokens;
use crate::shared;

/// How often each VM sends a heartbeat to every other. A lease outlives three.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest time between two heartbeats, when there is news.
const LEAST_INTERVAL: Duration = Duration::from_millis(20);
/// Positions older than this are of no use to other VMs.
const POSITION_KEPT: Duration = Duration::from_millis(2_500);
/// How much of a new measurement enters the rate of operations.
const RATE_SMOOTHING: f64 = 0.3;

/// The socket towards other VMs.
#[derive(Debug)]
pub struct PeerLinks {
    udp: UdpSocket,
    codec: envelope::EnvelopeCodec,
    incarnation: u64,
    port: u16,
    sequence: Cell<u64>,
    addresses: RefCell<BTreeMap<String, SocketAddr>>,
}

impl PeerLinks {
    /// Creates links over a bound socket.
    pub fn new(udp: UdpSocket, shared: &shared::EdgeShared) -> Self {
        let settings = &shared.settings;
        // VMs of one deployment share its store; the address tells deployments apart.
        let environment = settings.store_address.to_string();
        Self {
            udp,
            codec: envelope::EnvelopeCodec::new("edge", environment.as_bytes()),
            incarnation: shared.incarnation,
            port: settings.peer_port,
            sequence: Cell::new(0),
            addresses: RefCell::default(),
        }
    }

    /// Sends a message to a VM. A full socket loses it, like the network.
    pub fn send(&self, vm: &str, text: &message::PeerMessage) {
        let address = self.addresses.borrow().get(vm).copied();
        if let Some(address) = address {
            let bytes = self.seal(text);
            self.send_bytes(address, &bytes);
        }
    }

    fn seal(&self, text: &message::PeerMessage) -> Vec<u8> {
        self.sequence.set(self.sequence.get() + 1);
        self.codec.seal(self.incarnation, self.sequence.get(), text)
    }

    fn send_bytes(&self, address: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.udp.try_send_to(bytes, address) {
            log::debug!(error:% = error; "a datagram was not sent");
        }
    }

    /// Takes the addresses of the VMs that the store lists.
    fn apply_members(&self, control: &state::ControlState) {
        let own = control.own_name();
        let others = control.members.iter().filter(|(name, _)| *name != own);
        let address = |(name, record): (&String, &state::MemberRecord)| {
            (name.clone(), SocketAddr::new(record.address, self.port))
        };
        *self.addresses.borrow_mut() = others.map(address).collect();
    }
}

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
        if elapsed >= BEAT_INTERVAL.as_secs_f64() / 2.0 {
            let seen = total.saturating_sub(self.counted) as f64 / elapsed;
            self.per_second += RATE_SMOOTHING * (seen - self.per_second);
            self.counted = total;
            self.measured = now;
        }
        self.per_second
    }
}

/// Sends heartbeats until the process ends.
pub async fn send_beats(control: control::ControlCell, links: Rc<PeerLinks>) {
    let news = Arc::clone(&control.borrow().news);
    let mut meter = OperationMeter {
        counted: 0,
        measured: clock::now(),
        per_second: 0.0,
    };
    let mut demands = parts::DemandBook::default();
    let mut weighed = clock::now();
    loop {
        let now = clock::now();
        {
            let mut control = control.borrow_mut();
            control.shared.shares.observe(now);
            let total = control.shared.operations.load(Ordering::Relaxed);
            let per_second = meter.measure(total, now);
            let demands = demands.measure(&control, now);
            if now.saturating_duration_since(weighed) >= parts::SETTING_INTERVAL {
                weighed = now;
                parts::set(&mut control, per_second, &demands, now);
            }
            links.apply_members(&control);
            send_beat(&mut control, &links, per_second, demands, now);
            control.publish();
        }
        tokio::time::sleep(LEAST_INTERVAL).await;
        let rest = BEAT_INTERVAL.saturating_sub(LEAST_INTERVAL);
        tokio::time::timeout(rest, news.notified()).await.ok();
    }
}

fn send_beat(
    control: &mut state::ControlState,
    links: &PeerLinks,
    operations_per_second: f64,
    demands: Vec<beat::WorkspaceDemand>,
    now: Instant,
) {
    let beat = beat::FleetBeat {
        vm: control.own_name().to_owned(),
        is_leaving: *control.shared.drain.borrow() != shared::DrainPhase::Serving,
        has_store: control.has_store,
        configuration_version: control.configuration.decoded.version,
        table_revision: control.table.revision,
        table: table_to_send(control, now),
        is_claiming: control.claims > 0,
        echoes: echoes(control),
        operations_per_second,
        demands,
        parts_number: control.weights.number,
        weights: parts::to_send(control, now),
        suspicions: control.suspicions.own_suspicions(now),
        positions: position_samples(control, now),
    };
    let bytes = links.seal(&message::PeerMessage::Beat(Box::new(beat)));
    control
        .lease
        .record_sent(links.sequence.get(), clock::now());
    for address in links.addresses.borrow().values() {
        links.send_bytes(*address, &bytes);
    }
}

/// Returns what was received of other VMs. Only VMs that this one counts as
/// members are answered, since an answer is a promise to wait for them.
fn echoes(control: &state::ControlState) -> Vec<beat::BeatEcho> {
    let listed = control
        .peers
        .iter()
        .filter(|(name, _)| control.members.contains_key(*name));
    let echo = |(name, record): (&String, &state::PeerRecord)| beat::BeatEcho {
        vm: name.clone(),
        incarnation: record.incarnation,
        sequence: record.sequence,
    };
    listed.map(echo).collect()
}

/// Returns the table if a VM that was heard, or one that was not, lacks it.
fn table_to_send(
    control: &state::ControlState,
    now: Instant,
) -> Option<bluebellferry_catalog::leadership::LeadershipTable> {
    let own = control.table.revision;
    let lacks = control.is_lacked(now, |beat| beat.table_revision < own);
    (own > 0 && lacks).then(|| control.table.clone())
}

fn position_samples(control: &state::ControlState, now: Instant) -> Vec<beat::PositionSample> {
    let positions = control.shared.positions();
    let sample = |(service, history): (&_, &bluebellferry_routing::history::PositionHistory)| {
        let (asked, position) = history.latest_sample()?;
        let age = now.saturating_duration_since(asked);
        (age <= POSITION_KEPT).then(|| beat::PositionSample {
            service: Clone::clone(service),
            position,
            age_ms: age.as_millis() as u32,
        })
    };
    positions.iter().filter_map(sample).collect()
}

/// Receives messages from other VMs until the process ends.
pub async fn receive(control: control::ControlCell, links: Rc<PeerLinks>) {
    let mut buffer = vec![0; envelope::MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match links.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "a datagram cannot be received");
                tokio::time::sleep(LEAST_INTERVAL).await;
                continue;
            }
        };
        match links.codec.open(&buffer[..length]) {
            Ok(opened) => handle(&control, &links, from, opened),
            Err(error) => log::debug!(error:% = error; "a datagram is ignored"),
        }
    }
}

fn handle(
    control: &control::ControlCell,
    links: &PeerLinks,
    from: SocketAddr,
    opened: envelope::OpenedEnvelope,
) {
    let now = clock::now();
    match opened.message {
        message::PeerMessage::Beat(beat) => {
            let order = (opened.incarnation, opened.sequence);
            take_beat(control, from, order, *beat, now);
        }
        message::PeerMessage::TokenRequest {
            workspace,
            amount,
            number,
        } => {
            let sender = find_sender(links, from);
            tokens::lend(&control.borrow(), links, sender, workspace, amount, number);
        }
        message::PeerMessage::TokenTransfer { amount, number, .. } => {
            if let Some(sender) = find_sender(links, from) {
                let mut control = control.borrow_mut();
                let shared = Arc::clone(&control.shared);
                control
                    .lending
                    .accept(&shared.shares, sender, amount, number, now);
            }
        }
        _ => log::debug!("a message that is not used here is ignored"),
    }
}

fn find_sender(links: &PeerLinks, from: SocketAddr) -> Option<String> {
    let addresses = links.addresses.borrow();
    let found = addresses.iter().find(|(_, address)| **address == from);
    found.map(|(name, _)| name.clone())
}

fn take_beat(
    cell: &control::ControlCell,
    from: SocketAddr,
    (incarnation, sequence): (u64, u64),
    beat: beat::FleetBeat,
    now: Instant,
) {
    let mut control = cell.borrow_mut();
    let known = control.peers.get(&beat.vm);
    let is_outdated =
        known.is_some_and(|known| (known.incarnation, known.sequence) >= (incarnation, sequence));
    if is_outdated || beat.vm == control.own_name() {
        return;
    }
    if known.is_none_or(|known| known.incarnation != incarnation) {
        log::info!(vm = beat.vm.as_str(), incarnation = incarnation; "another VM is heard");
        // A VM that is new to this one may be new to the fleet.
        if !control.members.contains_key(&beat.vm) {
            control.list_members.notify_one();
        }
    }
    if let Some(table) = &beat.table {
        control.apply_table(table);
    }
    if let Some(weights) = &beat.weights {
        control.apply_weights(weights);
    }
    take_positions(&control, &beat, now);
    let own = control.own_name().to_owned();
    let own_incarnation = control.shared.incarnation;
    let echo = beat
        .echoes
        .iter()
        .find(|echo| echo.vm == own && echo.incarnation == own_incarnation);
    if let Some(echo) = echo {
        let vouch = lease::BeatVouch {
            incarnation,
            echoed: echo.sequence,
            revision: beat.table_revision,
            is_claiming: beat.is_claiming,
        };
        control.lease.record_vouch(&beat.vm, vouch);
    }
    if beat.configuration_version > control.configuration.decoded.version {
        copies::fetch(cell, from.ip());
    }
    let record = state::PeerRecord {
        incarnation,
        sequence,
        heard: now,
        beat,
    };
    control.peers.insert(record.beat.vm.clone(), record);
    control.publish();
}

/// Takes positions that another VM has seen. They were asked for before the
/// heartbeat was sent, so counting their age from now makes them younger than
/// they are by its time on the way; a margin makes up for that.
fn take_positions(control: &state::ControlState, beat: &beat::FleetBeat, now: Instant) {
    /// The longest time that a heartbeat is taken to be on its way.
    const TRAVEL_MARGIN: Duration = Duration::from_millis(500);
    for sample in &beat.positions {
        let age = Duration::from_millis(u64::from(sample.age_ms)) + TRAVEL_MARGIN;
        if let Some(asked) = now.checked_sub(age) {
            let service = &sample.service;
            control
                .shared
                .record_position(service, asked, sample.position);
        }
    }
}

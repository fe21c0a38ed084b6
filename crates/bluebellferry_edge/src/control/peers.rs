//! The UDP socket for messages between VMs, and the handling of received messages.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::envelope;
use bluebellferry_membership::heartbeat;
use bluebellferry_membership::message;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_types::store_revision;
use tokio::net::UdpSocket;

use crate::control;
use crate::control::heartbeats;
use crate::control::state;
use crate::control::store_copies;
use crate::control::tokens;
use crate::shared;

/// The delay before the next attempt after receiving failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The socket and the addresses for messages to other VMs.
#[derive(Debug)]
pub struct PeerLinks {
    udp: UdpSocket,
    codec: envelope::EnvelopeCodec,
    incarnation: u64,
    port: u16,
    sequence: Cell<u64>,
    addresses: RefCell<BTreeMap<String, SocketAddr>>,
    /// The VMs by address.
    vms: RefCell<BTreeMap<SocketAddr, String>>,
    /// The number of changes of the list of VMs to which the addresses belong.
    member_changes: Cell<u64>,
}

impl PeerLinks {
    /// Creates the links over a bound socket.
    pub fn new(udp: UdpSocket, shared: &shared::EdgeShared) -> Self {
        let settings = &shared.settings;
        // All VMs of a deployment use the same store, so the store's address identifies the
        // deployment.
        let environment = settings.store_address.to_string();
        Self {
            udp,
            codec: envelope::EnvelopeCodec::new("edge", environment.as_bytes()),
            incarnation: shared.incarnation,
            port: settings.peer_port,
            sequence: Cell::new(0),
            addresses: RefCell::default(),
            vms: RefCell::default(),
            member_changes: Cell::new(0),
        }
    }

    /// Sends a message to a VM. The message is lost if the socket's buffer is full, as it may
    /// be lost in the network.
    pub fn send(&self, vm: &str, message: &message::PeerMessage) {
        self.send_numbered(vm, self.next_sequence(), message);
    }

    /// Returns the sequence number for the next message.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Sends a message with a sequence number from [`Self::next_sequence`].
    pub fn send_numbered(&self, vm: &str, sequence: u64, message: &message::PeerMessage) {
        let Some(address) = self.addresses.borrow().get(vm).copied() else {
            return;
        };
        let bytes = self.codec.seal(self.incarnation, sequence, message);
        if let Err(error) = self.udp.try_send_to(&bytes, address) {
            log::debug!(error:% = error; "could not send a datagram");
        }
    }

    /// Replaces the addresses by those of the VMs that the store lists.
    pub fn apply_members(&self, control: &state::ControlState) {
        if self.member_changes.replace(control.member_changes) == control.member_changes {
            return;
        }
        let own_name = control.own_name();
        let others = control.members.iter().filter(|(name, _)| *name != own_name);
        let address = |(name, record): (&String, &state::MemberRecord)| {
            (name.clone(), SocketAddr::new(record.address, self.port))
        };
        let addresses: BTreeMap<String, SocketAddr> = others.map(address).collect();
        let by_address = addresses
            .iter()
            .map(|(name, address)| (*address, name.clone()));
        *self.vms.borrow_mut() = by_address.collect();
        *self.addresses.borrow_mut() = addresses;
    }
}

/// Receives messages from other VMs until the process ends.
pub async fn receive_messages(control: control::ControlCell, links: Rc<PeerLinks>) {
    let mut buffer = vec![0; envelope::MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match links.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "could not receive a datagram");
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match links.codec.open(&buffer[..length]) {
            Ok(opened) => handle_message(&control, &links, from, opened),
            Err(error) => log::debug!(error:% = error; "ignored an invalid datagram"),
        }
    }
}

fn handle_message(
    control: &control::ControlCell,
    links: &PeerLinks,
    from: SocketAddr,
    opened: envelope::OpenedEnvelope,
) {
    let now = clock::now();
    match opened.message {
        message::PeerMessage::Beat(heartbeat) => {
            let order = (opened.incarnation, opened.sequence);
            let vm = heartbeat.vm.clone();
            if handle_heartbeat(control, from, order, *heartbeat, now) {
                heartbeats::send_reply(&mut control.borrow_mut(), links, &vm, now);
            }
        }
        message::PeerMessage::TokenRequest {
            key,
            amount,
            number,
        } => {
            let sender = find_sender(links, from);
            tokens::lend_tokens(&control.borrow(), links, sender, key, amount, number);
        }
        message::PeerMessage::OwnerRequest {
            borrower,
            key,
            wanted,
            number,
            hops,
        } => {
            let request = tokens::OwnerTokenRequest {
                borrower,
                key,
                wanted,
                number,
                hops,
            };
            tokens::serve_owner_request(&control.borrow(), links, &request, now);
        }
        message::PeerMessage::TokenTransfer { amount, number, .. } => {
            if let Some(sender) = find_sender(links, from) {
                let mut control = control.borrow_mut();
                let shared = Arc::clone(&control.shared);
                control
                    .token_requests
                    .accept(&shared.rate_limiter, sender, amount, number, now);
            }
        }
        message::PeerMessage::TokenDenial {
            number,
            level,
            wait_ms,
        } => {
            let Some(sender) = find_sender(links, from) else {
                return;
            };
            let mut control = control.borrow_mut();
            let shared = Arc::clone(&control.shared);
            let wait = Duration::from_millis(u64::from(wait_ms));
            control.token_requests.record_denial(
                &shared.rate_limiter,
                sender,
                number,
                (level.into(), wait),
                now,
            );
        }
        message::PeerMessage::ReplacementReport(report) => {
            let mut control = control.borrow_mut();
            control.record_replacement_report(opened.incarnation, *report, now);
        }
        _ => log::debug!("ignored a message of a kind that this proxy does not use"),
    }
}

fn find_sender(links: &PeerLinks, from: SocketAddr) -> Option<String> {
    links.vms.borrow().get(&from).cloned()
}

/// Handles a heartbeat that was read from the socket at `now`. Returns whether the sender needs
/// a reply at once: it has not heard from this process yet, or this process not from it.
pub fn handle_heartbeat(
    cell: &control::ControlCell,
    from: SocketAddr,
    (incarnation, sequence): (u64, u64),
    heartbeat: heartbeat::FleetHeartbeat,
    now: Instant,
) -> bool {
    let mut control = cell.borrow_mut();
    let previous = control.peers.get(&heartbeat.vm);
    let is_outdated = previous.is_some_and(|previous| {
        (previous.incarnation, previous.sequence) >= (incarnation, sequence)
    });
    if is_outdated || heartbeat.vm == control.own_name() {
        return false;
    }
    let is_first = previous.is_none_or(|previous| previous.incarnation != incarnation);
    if is_first {
        log::info!(
            vm = heartbeat.vm.as_str(), incarnation = incarnation;
            "received the first heartbeat of another VM since it started or was unresponsive"
        );
        // The sender may be a new member of the fleet.
        if !control.members.contains_key(&heartbeat.vm) {
            control.member_list_trigger.notify_one();
        }
    }
    control.topology.record_heartbeat_from(
        &heartbeat.vm,
        heartbeat.expects_reply,
        heartbeat.is_draining,
        now,
    );
    control.observe_store_era(latest_era(&heartbeat), now);
    if let Some(table) = &heartbeat.table {
        control.apply_table_copy(table);
    }
    if let Some(evacuations) = &heartbeat.evacuations {
        control.apply_announced_evacuations(evacuations);
    }
    control.record_received_evidence(&heartbeat, now);
    apply_received_allocations(&mut control, &heartbeat);
    let answered_sent = process_echo(&mut control, incarnation, &heartbeat);
    let composed_after = answered_sent.map(|sent| sent + heartbeat.echo_delay());
    record_received_positions(&control, &heartbeat, composed_after);
    let has_newer = heartbeat.versions.configuration > control.versions.configuration;
    if has_newer && control.reads_configuration_from_store(heartbeat.versions) {
        control.configuration_read_trigger.notify_one();
    }
    if control.needs_store_copies(&heartbeat, now) {
        store_copies::fetch(&mut control, cell, from.ip(), heartbeat.versions);
    }
    let own_incarnation = control.shared.incarnation;
    let echo = heartbeat.echo.as_ref();
    let is_unanswered = echo.is_none_or(|echo| echo.incarnation != own_incarnation);
    control.record_peer_heartbeat((incarnation, sequence), heartbeat, answered_sent, now);
    if control.is_in_minority || control.is_isolated {
        control.update_group_status(now);
    }
    if is_first {
        control.publish_snapshot();
    } else {
        control.publish_snapshot_if_due(now);
    }
    is_first || is_unanswered
}

/// Returns the era of the latest store object that the sender of a heartbeat has read, if it reports
/// one.
fn latest_era(heartbeat: &heartbeat::FleetHeartbeat) -> Option<store_revision::StoreEra> {
    let versions = heartbeat.versions;
    let revisions = [
        heartbeat.table_revision,
        versions.members,
        versions.databases,
    ];
    let latest = revisions.into_iter().max();
    let era = latest.map(|latest| store_revision::StoreRevision::from_packed(latest).era());
    era.filter(|era| era.number() > 0)
}

fn apply_received_allocations(
    control: &mut state::ControlState,
    heartbeat: &heartbeat::FleetHeartbeat,
) {
    if let Some(table) = &heartbeat.allocation_table
        && control.is_in_group(&heartbeat.vm)
    {
        let age = Duration::from_millis(u64::from(heartbeat.allocation_age_ms));
        control.apply_allocations(table, age);
    }
    if let Some(table) = &heartbeat.centre_allocation_table {
        let age = Duration::from_millis(u64::from(heartbeat.centre_allocation_age_ms));
        control.apply_centre_allocations(table, age);
    }
}

/// Processes the confirmations and probed leaders in a heartbeat that answers one of this
/// VM's heartbeats. Returns when the answered heartbeat was sent.
fn process_echo(
    control: &mut state::ControlState,
    incarnation: u64,
    heartbeat: &heartbeat::FleetHeartbeat,
) -> Option<Instant> {
    let own_incarnation = control.shared.incarnation;
    let echo = heartbeat.echo.as_ref();
    let echo = echo.filter(|echo| echo.incarnation == own_incarnation)?;
    let confirmation = lease::LeaseConfirmation {
        incarnation,
        echoed_sequence: echo.sequence,
        revision: heartbeat.table_revision,
        is_claiming: heartbeat.is_claiming,
    };
    control
        .lease
        .record_confirmation(&heartbeat.vm, confirmation);
    if let Some(confirmed) = echo.confirmed {
        control
            .lease
            .record_relayed_confirmation(confirmed, heartbeat.table_revision);
    }
    for probed in &heartbeat.probed {
        if let Some(sent) = control.lease.heartbeat_sent_at(probed.sequence) {
            control.add_leader_probe(&probed.service, &probed.database, sent);
        }
    }
    control.lease.heartbeat_sent_at(echo.sequence)
}

/// Records the positions in a heartbeat that was composed at `composed_after` or later. If
/// that time is not known, the positions are ignored, since their age has no bound: the
/// heartbeat may have waited in the socket for as long as this process was suspended.
fn record_received_positions(
    control: &state::ControlState,
    heartbeat: &heartbeat::FleetHeartbeat,
    composed_after: Option<Instant>,
) {
    let Some(composed_after) = composed_after else {
        return;
    };
    for sample in &heartbeat.positions {
        let age = Duration::from_millis(u64::from(sample.age_ms));
        if let Some(requested) = composed_after.checked_sub(age) {
            let service = &sample.service;
            control
                .shared
                .record_position(service, requested, sample.position);
        }
    }
}

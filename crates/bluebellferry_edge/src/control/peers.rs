//! The socket towards other VMs, and what their messages change.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::beat;
use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;
use tokio::net::UdpSocket;

use crate::control;
use crate::control::state;
use crate::control::store_copies;
use crate::control::tokens;
use crate::shared;

/// The pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

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
        self.send_numbered(vm, self.next_sequence(), text);
    }

    /// Returns the number of the next message.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    /// Sends a message under a number that was drawn for it.
    pub fn send_numbered(&self, vm: &str, sequence: u64, text: &message::PeerMessage) {
        let Some(address) = self.addresses.borrow().get(vm).copied() else {
            return;
        };
        let bytes = self.codec.seal(self.incarnation, sequence, text);
        if let Err(error) = self.udp.try_send_to(&bytes, address) {
            log::debug!(error:% = error; "a datagram was not sent");
        }
    }

    /// Takes the addresses of the VMs that the store lists.
    pub fn apply_members(&self, control: &state::ControlState) {
        let own = control.own_name();
        let others = control.members.iter().filter(|(name, _)| *name != own);
        let address = |(name, record): (&String, &state::MemberRecord)| {
            (name.clone(), SocketAddr::new(record.address, self.port))
        };
        *self.addresses.borrow_mut() = others.map(address).collect();
    }
}

/// Receives messages from other VMs until the process ends.
pub async fn receive(control: control::ControlCell, links: Rc<PeerLinks>) {
    let mut buffer = vec![0; envelope::MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match links.udp.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "a datagram cannot be received");
                tokio::time::sleep(RECEIVE_PAUSE).await;
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
        message::PeerMessage::OwnerRequest {
            borrower,
            workspace,
            amount,
            number,
            hops,
        } => {
            let Ok(workspace) = name::WorkspaceName::try_from(workspace.as_str()) else {
                return log::debug!("a request for tokens of no workspace is ignored");
            };
            let request = tokens::OwnerTokenRequest {
                borrower,
                workspace,
                amount,
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

/// Takes a heartbeat that was read from the socket at `now`.
pub fn take_beat(
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
    control
        .circle
        .record_heard(&beat.vm, beat.asks_answer, beat.is_leaving, now);
    if let Some(table) = &beat.table {
        control.apply_table(table);
    }
    take_parts(&mut control, &beat);
    let answered = take_echo(&mut control, incarnation, &beat);
    let composed = answered.map(|sent| sent + beat.held());
    take_positions(&control, &beat, composed);
    let has_newer = beat.versions.configuration > control.versions.configuration;
    if has_newer && control.reads_configuration(beat.versions) {
        control.read_configuration.notify_one();
    }
    if control.lacks_copies(&beat, now) {
        store_copies::fetch(&mut control, cell, from.ip(), beat.versions);
    }
    control.record_peer((incarnation, sequence), beat, answered, now);
    control.publish();
}

fn take_parts(control: &mut state::ControlState, beat: &beat::FleetBeat) {
    if let Some(weights) = &beat.weights
        && control.is_in_group(&beat.vm)
    {
        control.apply_weights(weights);
    }
    if let Some(weights) = &beat.centre_weights {
        control.apply_centre_weights(weights);
    }
}

/// Takes what the sender has heard of this VM. Returns when the heartbeat that it
/// answers was sent.
fn take_echo(
    control: &mut state::ControlState,
    incarnation: u64,
    beat: &beat::FleetBeat,
) -> Option<Instant> {
    let own_incarnation = control.shared.incarnation;
    let echo = beat.echo.as_ref();
    let echo = echo.filter(|echo| echo.incarnation == own_incarnation)?;
    let vouch = lease::BeatVouch {
        incarnation,
        echoed: echo.sequence,
        revision: beat.table_revision,
        is_claiming: beat.is_claiming,
    };
    control.lease.record_vouch(&beat.vm, vouch);
    if let Some(confirmed) = echo.confirmed {
        control.lease.record_relayed(confirmed, beat.table_revision);
    }
    for probed in &beat.probed {
        if let Some(asked) = control.lease.sent_at(probed.sequence) {
            control.record_probed(&probed.service, &probed.database, asked);
        }
    }
    control.lease.sent_at(echo.sequence)
}

/// Takes positions that another VM has seen, in a heartbeat that was composed not before
/// `composed`. Where that is not known, their age has no bound: the heartbeat may have
/// waited in the socket for as long as this VM stood still.
fn take_positions(
    control: &state::ControlState,
    beat: &beat::FleetBeat,
    composed: Option<Instant>,
) {
    let Some(composed) = composed else {
        return;
    };
    for sample in &beat.positions {
        let age = Duration::from_millis(u64::from(sample.age_ms));
        if let Some(asked) = composed.checked_sub(age) {
            let service = &sample.service;
            control
                .shared
                .record_position(service, asked, sample.position);
        }
    }
}

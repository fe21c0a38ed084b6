//! Messages to and from other VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_keys::digest;
use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_membership::roster;
use bluebellferry_types::name;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use super::ControlEvent;
use super::ControlSender;
use super::ControlState;
use crate::shared;

mod stream;
mod tokens;

/// How many object versions a heartbeat carries at the most.
const RECENT_OBJECTS: usize = 64;
/// How many other VMs a heartbeat goes to at the most.
const HEARTBEAT_FANOUT: usize = 16;
/// The sockets for other VMs.
pub(super) struct PeerSockets {
    udp: Arc<UdpSocket>,
    tcp: TcpListener,
}

/// Binds both sockets to one address.
pub(super) async fn bind_peer_sockets(address: SocketAddr) -> std::io::Result<PeerSockets> {
    let udp = Arc::new(UdpSocket::bind(address).await?);
    let tcp = TcpListener::bind(address).await?;
    Ok(PeerSockets { udp, tcp })
}

/// A request for tokens that may still be answered.
#[derive(Debug, Clone)]
struct OpenAsk {
    workspace: name::WorkspaceName,
    asked_at: Instant,
    answered_by: Vec<SocketAddr>,
}

/// The links to other VMs.
pub(super) struct PeerLinks {
    udp: Arc<UdpSocket>,
    codec: envelope::EnvelopeCodec,
    shared: Arc<shared::ProxyShared>,
    incarnation: u64,
    sequence: u64,
    addresses: Vec<SocketAddr>,
    next_address: usize,
    heartbeat_due: Instant,
    ask_due: Instant,
    next_ask: u64,
    open_asks: BTreeMap<u64, OpenAsk>,
    recent: Vec<message::ObjectVersion>,
    fetching: BTreeMap<SocketAddr, Instant>,
}

impl PeerLinks {
    pub(super) fn start(
        sockets: PeerSockets,
        codec: envelope::EnvelopeCodec,
        shared: &Arc<shared::ProxyShared>,
        events: &ControlSender,
    ) -> Self {
        tokio::spawn(receive_datagrams(Arc::clone(&sockets.udp), events.clone()));
        let serving = stream::serve_streams(
            sockets.tcp,
            codec.clone(),
            shared.incarnation,
            events.clone(),
        );
        tokio::spawn(serving);
        let now = Instant::now();
        Self {
            udp: sockets.udp,
            codec,
            shared: Arc::clone(shared),
            incarnation: shared.incarnation,
            sequence: 0,
            addresses: Vec::new(),
            next_address: 0,
            heartbeat_due: now,
            ask_due: now,
            next_ask: 1,
            open_asks: BTreeMap::new(),
            recent: Vec::new(),
            fetching: BTreeMap::new(),
        }
    }

    /// Takes the platform's list of VMs as a hint whom to talk to.
    pub(super) fn replace_addresses(&mut self, mut addresses: Vec<SocketAddr>, own: SocketAddr) {
        addresses.retain(|address| *address != own);
        self.addresses = addresses;
    }

    fn send(&mut self, to: SocketAddr, message: &message::PeerMessage) {
        self.sequence += 1;
        let bytes = self.codec.seal(self.incarnation, self.sequence, message);
        self.shared.metrics.count_peer_sent(bytes.len());
        if let Err(error) = self.udp.try_send_to(&bytes, to) {
            log::debug!("a message to {to} was not sent: {error}");
        }
    }

    fn send_to_all(&mut self, message: &message::PeerMessage) {
        for address in self.addresses.clone() {
            self.send(address, message);
        }
    }

    /// Sends to the next few VMs in turn, so that the cost does not grow with
    /// the number of VMs.
    fn send_to_some(&mut self, message: &message::PeerMessage) {
        let count = self.addresses.len().min(HEARTBEAT_FANOUT);
        for _ in 0..count {
            self.next_address = (self.next_address + 1) % self.addresses.len();
            self.send(self.addresses[self.next_address], message);
        }
    }
}

async fn receive_datagrams(udp: Arc<UdpSocket>, events: ControlSender) {
    let mut buffer = vec![0; envelope::MAX_DATAGRAM_BYTES];
    loop {
        match udp.recv_from(&mut buffer).await {
            Ok((size, from)) => {
                let bytes = buffer[..size].to_vec();
                if events.send(ControlEvent::Datagram { from, bytes }).is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!("a datagram could not be received: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

impl ControlState {
    pub(super) fn tick_peers(&mut self, now: Instant) {
        if now >= self.peers.heartbeat_due {
            self.peers.heartbeat_due = now + roster::HEARTBEAT_INTERVAL;
            self.send_heartbeat();
            self.roster.forget_silent(now);
            self.spread_withdrawals();
        }
        if now >= self.peers.ask_due {
            self.ask_for_tokens(now);
        }
    }

    fn send_heartbeat(&mut self) {
        let news = message::HeartbeatNews {
            vm: self.shared.settings.vm.clone(),
            place: self.shared.settings.place.clone(),
            leaving: self.draining,
            document_version: self
                .in_force
                .as_ref()
                .map_or(0, |in_force| in_force.version),
            recent_objects: self.peers.recent.clone(),
        };
        self.peers
            .send_to_some(&message::PeerMessage::Heartbeat(news));
    }

    pub(super) fn say_goodbye(&mut self) {
        self.peers.send_to_all(&message::PeerMessage::Goodbye);
    }

    /// Tells other VMs of withdrawals that the store may not have.
    pub(super) fn spread_withdrawals(&mut self) {
        if self.withdrawn.is_empty() {
            return;
        }
        let digests = self
            .withdrawn
            .iter()
            .map(|digest| String::from(*digest))
            .collect();
        self.peers
            .send_to_some(&message::PeerMessage::KeysWithdrawn(digests));
    }

    pub(super) fn note_changed_object(&mut self, key: &str, version: u64) {
        self.peers.recent.retain(|known| known.key != key);
        self.peers.recent.push(message::ObjectVersion {
            key: key.to_owned(),
            version,
        });
        if self.peers.recent.len() > RECENT_OBJECTS {
            self.peers.recent.remove(0);
        }
    }

    pub(super) fn take_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.peers.codec.open(bytes) {
            Ok(opened) => opened,
            Err(error) => {
                self.shared.metrics.count_peer_message("refused");
                log::debug!("a datagram from {from} was refused: {error}");
                return;
            }
        };
        let now = Instant::now();
        match opened.message {
            message::PeerMessage::Heartbeat(news) => {
                self.shared.metrics.count_peer_message("heartbeat");
                let objects = news.recent_objects.clone();
                let effect =
                    self.roster
                        .record_heartbeat(now, opened.incarnation, opened.sequence, news);
                self.take_heartbeat_effect(from, effect, &objects, now);
            }
            message::PeerMessage::Goodbye => self.roster.record_goodbye(opened.incarnation),
            message::PeerMessage::TokenRequest {
                workspace,
                amount,
                number,
            } => {
                self.shared.metrics.count_peer_message("token_request");
                self.lend_tokens(from, workspace, amount, number, now);
            }
            message::PeerMessage::TokenTransfer { amount, number, .. } => {
                self.shared.metrics.count_peer_message("token_transfer");
                self.accept_tokens(from, amount, number, now);
            }
            message::PeerMessage::KeysWithdrawn(digests) => {
                for digest in digests {
                    if let Ok(digest) = digest::KeyDigest::try_from(digest) {
                        self.take_withdrawal(digest);
                    }
                }
            }
            message::PeerMessage::ObjectRequest { .. } | message::PeerMessage::ObjectCopies(_) => {
                self.shared.metrics.count_peer_message("refused");
            }
        }
    }

    fn take_heartbeat_effect(
        &mut self,
        from: SocketAddr,
        effect: roster::HeartbeatEffect,
        objects: &[message::ObjectVersion],
        now: Instant,
    ) {
        match effect {
            roster::HeartbeatEffect::ReplacesSelf => self.give_way(now),
            roster::HeartbeatEffect::Outdated => {}
            roster::HeartbeatEffect::Joined | roster::HeartbeatEffect::Refreshed => {
                self.fetch_newer(from, objects, now);
            }
        }
    }

    /// Stops taking work: a later start runs in this VM's place.
    fn give_way(&mut self, now: Instant) {
        if self.replaced {
            return;
        }
        log::error!("another process runs in this VM's place; this one gives way");
        self.replaced = true;
        self.shared.shares.shut(now);
        self.drain();
    }

    /// Fetches objects that another VM has in a newer version.
    fn fetch_newer(&mut self, from: SocketAddr, objects: &[message::ObjectVersion], now: Instant) {
        let newer = |object: &&message::ObjectVersion| {
            let known = self
                .objects
                .get(&object.key)
                .map_or(0, |known| known.version);
            object.version > known
        };
        let mut keys: Vec<String> = objects
            .iter()
            .filter(newer)
            .map(|object| object.key.clone())
            .collect();
        let recently = self
            .peers
            .fetching
            .get(&from)
            .is_some_and(|at| now - *at < stream::STREAM_TIMEOUT / 4);
        if keys.is_empty() || recently {
            return;
        }
        if self.objects.is_empty() {
            keys.clear();
        }
        self.peers.fetching.insert(from, now);
        let codec = self.peers.codec.clone();
        let (incarnation, events) = (self.shared.incarnation, self.events.clone());
        tokio::spawn(stream::fetch_objects(
            from,
            keys,
            codec,
            incarnation,
            events,
        ));
    }
}

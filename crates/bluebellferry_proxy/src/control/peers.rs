//! Messages to and from other VMs.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_keys::digest;
use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_membership::roster;
use bluebellferry_shares::lending;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use super::ControlEvent;
use super::ControlSender;
use super::ControlState;
use crate::shared;

mod stream;
mod tokens;

/// How many object versions a heartbeat carries at the most.
const RECENT_OBJECTS: usize = 16;
/// For how long heartbeats name a changed object.
const RECENT_FOR: Duration = Duration::from_secs(3);
/// How long another VM's objects must differ from this one's before all of them
/// are fetched.
const DIFFERENCE_LIMIT: Duration = Duration::from_secs(1);
/// How many VMs of a data centre watch the store; the rest learn from them.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// How many other VMs a heartbeat goes to at the most.
const HEARTBEAT_FANOUT: usize = 12;
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
    lending: lending::TokenRequestTracker<SocketAddr>,
    recent: VecDeque<(Instant, message::ObjectVersion)>,
    objects_digest: u64,
    fetching: BTreeMap<SocketAddr, Instant>,
    /// Other VMs whose objects differ, with their digest and since when.
    differing: BTreeMap<SocketAddr, (u64, Instant)>,
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
            lending: lending::TokenRequestTracker::default(),
            recent: VecDeque::new(),
            objects_digest: 0,
            fetching: BTreeMap::new(),
            differing: BTreeMap::new(),
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
        self.shared.metrics.count_peer_bytes(bytes.len());
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
            self.roster.forget_unresponsive(now);
            self.peers
                .recent
                .retain(|(changed, _)| now - *changed < RECENT_FOR);
            let watches = self.roster.own_rank_in_centre(now) < WATCHERS_PER_DATA_CENTRE;
            self.watches_store.send_replace(watches);
            self.spread_withdrawals();
        }
        if now >= self.peers.ask_due {
            self.ask_for_tokens(now);
        }
    }

    fn send_heartbeat(&mut self) {
        let news = message::HeartbeatPayload {
            vm: self.shared.settings.vm.clone(),
            place: self.shared.settings.place.clone(),
            is_draining: self.draining,
            document_version: self
                .active_document
                .as_ref()
                .map_or(0, |active_document| active_document.version),
            objects_digest: self.peers.objects_digest,
            recent_objects: self
                .peers
                .recent
                .iter()
                .map(|(_, object)| object.clone())
                .collect(),
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

    /// Has a changed object named by the next heartbeats, the first at once.
    pub(super) fn note_changed_object(&mut self, key: &str, before: u64, version: u64) {
        let now = Instant::now();
        self.peers.objects_digest ^= version_digest(key, before) ^ version_digest(key, version);
        self.peers.recent.retain(|(_, known)| known.key != key);
        let object = message::ObjectVersion {
            key: key.to_owned(),
            version,
        };
        self.peers.recent.push_back((now, object));
        if self.peers.recent.len() > RECENT_OBJECTS {
            self.peers.recent.pop_front();
        }
        self.peers.heartbeat_due = now;
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
                let digest = news.objects_digest;
                let effect =
                    self.roster
                        .record_heartbeat(now, opened.incarnation, opened.sequence, news);
                self.take_heartbeat_effect(from, effect, &objects, now);
                self.compare_objects(from, digest, now);
            }
            message::PeerMessage::Beat(_) => self.shared.metrics.count_peer_message("refused"),
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
            message::PeerMessage::ObjectRequest { .. }
            | message::PeerMessage::ObjectCopies(_)
            | message::PeerMessage::OwnerRequest { .. } => {
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
        self.shared.shares.close_all(now);
        self.drain();
    }

    /// Fetches everything from a VM whose objects go on differing, in case a
    /// change was missed on both ways.
    fn compare_objects(&mut self, from: SocketAddr, digest: u64, now: Instant) {
        if digest == self.peers.objects_digest {
            self.peers.differing.remove(&from);
            return;
        }
        let known = self.peers.differing.entry(from).or_insert((digest, now));
        if known.0 != digest {
            *known = (digest, now);
        }
        let persists = now - known.1 >= DIFFERENCE_LIMIT || self.objects.is_empty();
        if persists {
            self.start_fetch(from, Vec::new(), now);
        }
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
        let keys: Vec<String> = objects
            .iter()
            .filter(newer)
            .map(|object| object.key.clone())
            .collect();
        if !keys.is_empty() {
            self.start_fetch(from, keys, now);
        }
    }

    /// Fetches objects over TCP; no keys mean all. One fetch a VM at a time.
    fn start_fetch(&mut self, from: SocketAddr, keys: Vec<String>, now: Instant) {
        let last = self.peers.fetching.get(&from);
        if last.is_some_and(|at| now - *at < stream::STREAM_TIMEOUT / 4) {
            return;
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

/// The part of an object's version in the digest of all objects.
fn version_digest(key: &str, version: u64) -> u64 {
    if version == 0 {
        return 0;
    }
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), version)
}

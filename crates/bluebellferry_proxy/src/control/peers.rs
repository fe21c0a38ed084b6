//! Heartbeats, store copies, key withdrawals and token loans between VMs.

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

/// The maximum number of object versions in a heartbeat.
const MAX_RECENT_OBJECTS: usize = 16;
/// How long heartbeats contain the version of a changed object.
const RECENT_OBJECT_RETENTION: Duration = Duration::from_secs(3);
/// How long another VM's objects may differ from this VM's before all of them are
/// fetched.
const FULL_FETCH_DELAY: Duration = Duration::from_secs(1);
/// The number of VMs in a data centre that watch the store. The others learn of
/// changes from the heartbeats of these.
const STORE_WATCHERS_PER_DATA_CENTRE: usize = 2;
/// The maximum number of VMs that a heartbeat, a token request or a message with
/// key withdrawals is sent to.
const PEER_FANOUT: usize = 12;

/// The UDP and TCP sockets for messages between VMs.
pub(super) struct PeerSockets {
    udp: Arc<UdpSocket>,
    tcp: TcpListener,
}

/// Binds the UDP and the TCP socket to the same address.
pub(super) async fn bind_peer_sockets(address: SocketAddr) -> std::io::Result<PeerSockets> {
    let udp = Arc::new(UdpSocket::bind(address).await?);
    let tcp = TcpListener::bind(address).await?;
    Ok(PeerSockets { udp, tcp })
}

/// The sockets for other VMs and the state of the messages exchanged with them.
pub(super) struct PeerLinks {
    udp: Arc<UdpSocket>,
    codec: envelope::EnvelopeCodec,
    shared: Arc<shared::ProxyShared>,
    incarnation: u64,
    sequence: u64,
    addresses: Vec<SocketAddr>,
    next_address: usize,
    next_heartbeat_at: Instant,
    next_token_request_at: Instant,
    token_requests: lending::TokenRequestTracker<SocketAddr>,
    recent_changes: VecDeque<(Instant, message::ObjectVersion)>,
    objects_digest: u64,
    fetch_started_at: BTreeMap<SocketAddr, Instant>,
    /// The VMs whose store objects differ from this VM's, each with the digest of its
    /// objects and the time when that digest was first received.
    differing_peers: BTreeMap<SocketAddr, (u64, Instant)>,
}

impl PeerLinks {
    pub(super) fn start(
        sockets: PeerSockets,
        codec: envelope::EnvelopeCodec,
        shared: &Arc<shared::ProxyShared>,
        events: &ControlSender,
    ) -> Self {
        tokio::spawn(receive_datagrams(Arc::clone(&sockets.udp), events.clone()));
        let serving_task = stream::serve_streams(
            sockets.tcp,
            codec.clone(),
            shared.incarnation,
            events.clone(),
        );
        tokio::spawn(serving_task);
        let now = Instant::now();
        Self {
            udp: sockets.udp,
            codec,
            shared: Arc::clone(shared),
            incarnation: shared.incarnation,
            sequence: 0,
            addresses: Vec::new(),
            next_address: 0,
            next_heartbeat_at: now,
            next_token_request_at: now,
            token_requests: lending::TokenRequestTracker::default(),
            recent_changes: VecDeque::new(),
            objects_digest: 0,
            fetch_started_at: BTreeMap::new(),
            differing_peers: BTreeMap::new(),
        }
    }

    /// Replaces the addresses that messages are sent to by those of the platform's
    /// list of VMs, without this VM's own address. The list decides only where
    /// messages go, not which VMs count as live.
    pub(super) fn replace_addresses(
        &mut self,
        mut addresses: Vec<SocketAddr>,
        own_address: SocketAddr,
    ) {
        addresses.retain(|address| *address != own_address);
        self.addresses = addresses;
    }

    fn send(&mut self, to: SocketAddr, message: &message::PeerMessage) {
        self.sequence += 1;
        let bytes = self.codec.seal(self.incarnation, self.sequence, message);
        self.shared.metrics.count_peer_bytes(bytes.len());
        if let Err(error) = self.udp.try_send_to(&bytes, to) {
            log::debug!("sending a datagram to {to} failed: {error}");
        }
    }

    fn send_to_all(&mut self, message: &message::PeerMessage) {
        for address in self.addresses.clone() {
            self.send(address, message);
        }
    }

    /// Sends a message to the next [`PEER_FANOUT`] VMs in round-robin order, so that
    /// the cost does not grow with the number of VMs.
    fn send_to_next_peers(&mut self, message: &message::PeerMessage) {
        let count = self.addresses.len().min(PEER_FANOUT);
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
                log::debug!("receiving a datagram failed: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

impl ControlState {
    pub(super) fn tick_peers(&mut self, now: Instant) {
        if now >= self.peers.next_heartbeat_at {
            self.peers.next_heartbeat_at = now + roster::HEARTBEAT_INTERVAL;
            self.send_heartbeat();
            self.roster.forget_unresponsive(now);
            self.peers
                .recent_changes
                .retain(|(changed, _)| now - *changed < RECENT_OBJECT_RETENTION);
            let watches_store =
                self.roster.own_rank_in_centre(now) < STORE_WATCHERS_PER_DATA_CENTRE;
            self.watches_store.send_replace(watches_store);
            self.send_withdrawals();
        }
        if now >= self.peers.next_token_request_at {
            self.request_tokens(now);
        }
    }

    fn send_heartbeat(&mut self) {
        let payload = message::HeartbeatPayload {
            vm: self.shared.settings.vm.clone(),
            place: self.shared.settings.place.clone(),
            is_draining: self.is_draining,
            document_version: self
                .active_document
                .as_ref()
                .map_or(0, |active_document| active_document.version),
            objects_digest: self.peers.objects_digest,
            recent_objects: self
                .peers
                .recent_changes
                .iter()
                .map(|(_, object)| object.clone())
                .collect(),
        };
        self.peers
            .send_to_next_peers(&message::PeerMessage::Heartbeat(payload));
    }

    pub(super) fn send_goodbye(&mut self) {
        self.peers.send_to_all(&message::PeerMessage::Goodbye);
    }

    /// Sends all withdrawn keys to other VMs, since the store may not have them.
    pub(super) fn send_withdrawals(&mut self) {
        if self.withdrawn_keys.is_empty() {
            return;
        }
        let digests = self
            .withdrawn_keys
            .iter()
            .map(|digest| String::from(*digest))
            .collect();
        self.peers
            .send_to_next_peers(&message::PeerMessage::KeysWithdrawn(digests));
    }

    /// Adds a changed object to the next heartbeats and makes the first of them due
    /// now.
    pub(super) fn announce_changed_object(
        &mut self,
        key: &str,
        previous_version: u64,
        version: u64,
    ) {
        let now = Instant::now();
        self.peers.objects_digest ^=
            object_version_hash(key, previous_version) ^ object_version_hash(key, version);
        self.peers
            .recent_changes
            .retain(|(_, known)| known.key != key);
        let object = message::ObjectVersion {
            key: key.to_owned(),
            version,
        };
        self.peers.recent_changes.push_back((now, object));
        if self.peers.recent_changes.len() > MAX_RECENT_OBJECTS {
            self.peers.recent_changes.pop_front();
        }
        self.peers.next_heartbeat_at = now;
    }

    pub(super) fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let opened = match self.peers.codec.open(bytes) {
            Ok(opened) => opened,
            Err(error) => {
                self.shared.metrics.count_peer_message("refused");
                log::debug!("rejected a datagram from {from}: {error}");
                return;
            }
        };
        let now = Instant::now();
        match opened.message {
            message::PeerMessage::Heartbeat(payload) => {
                self.shared.metrics.count_peer_message("heartbeat");
                let objects = payload.recent_objects.clone();
                let digest = payload.objects_digest;
                let effect =
                    self.roster
                        .record_heartbeat(now, opened.incarnation, opened.sequence, payload);
                self.handle_heartbeat_effect(from, effect, &objects, now);
                self.fetch_if_different(from, digest, now);
            }
            message::PeerMessage::Beat(_)
            | message::PeerMessage::ReplacementReport(_)
            | message::PeerMessage::TokenDenial { .. } => {
                self.shared.metrics.count_peer_message("refused");
            }
            message::PeerMessage::Goodbye => self.roster.record_goodbye(opened.incarnation),
            message::PeerMessage::TokenRequest {
                key,
                amount,
                number,
            } => {
                self.shared.metrics.count_peer_message("token_request");
                self.lend_tokens(from, key, amount, number, now);
            }
            message::PeerMessage::TokenTransfer { amount, number, .. } => {
                self.shared.metrics.count_peer_message("token_transfer");
                self.accept_tokens(from, amount, number, now);
            }
            message::PeerMessage::KeysWithdrawn(digests) => {
                for digest in digests {
                    if let Ok(digest) = digest::KeyDigest::try_from(digest) {
                        self.record_withdrawal(digest);
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

    fn handle_heartbeat_effect(
        &mut self,
        from: SocketAddr,
        effect: roster::HeartbeatEffect,
        objects: &[message::ObjectVersion],
        now: Instant,
    ) {
        match effect {
            roster::HeartbeatEffect::ReplacesSelf => self.stop_superseded_process(now),
            roster::HeartbeatEffect::Outdated => {}
            roster::HeartbeatEffect::Joined | roster::HeartbeatEffect::Refreshed => {
                self.fetch_newer_objects(from, objects, now);
            }
        }
    }

    /// Closes the token buckets and drains, because a later process runs under this
    /// VM's data centre and ordinal.
    fn stop_superseded_process(&mut self, now: Instant) {
        if self.is_superseded {
            return;
        }
        log::error!(
            "a later process runs under this VM's data centre and ordinal; this process drains"
        );
        self.is_superseded = true;
        self.shared.rate_limiter.close_all(now);
        self.start_drain();
    }

    /// Fetches all objects from a VM whose objects have differed for
    /// [`FULL_FETCH_DELAY`], in case both the store watch and the heartbeats missed
    /// a change. A VM without any objects fetches them at once.
    fn fetch_if_different(&mut self, from: SocketAddr, digest: u64, now: Instant) {
        if digest == self.peers.objects_digest {
            self.peers.differing_peers.remove(&from);
            return;
        }
        let difference = self
            .peers
            .differing_peers
            .entry(from)
            .or_insert((digest, now));
        if difference.0 != digest {
            *difference = (digest, now);
        }
        let needs_full_fetch = now - difference.1 >= FULL_FETCH_DELAY || self.objects.is_empty();
        if needs_full_fetch {
            self.start_object_fetch(from, Vec::new(), now);
        }
    }

    /// Fetches the objects of which another VM has a newer version.
    fn fetch_newer_objects(
        &mut self,
        from: SocketAddr,
        objects: &[message::ObjectVersion],
        now: Instant,
    ) {
        let is_newer = |object: &&message::ObjectVersion| {
            let known_version = self
                .objects
                .get(&object.key)
                .map_or(0, |known| known.version);
            object.version > known_version
        };
        let keys: Vec<String> = objects
            .iter()
            .filter(is_newer)
            .map(|object| object.key.clone())
            .collect();
        if !keys.is_empty() {
            self.start_object_fetch(from, keys, now);
        }
    }

    /// Fetches objects from another VM over TCP, all of them if `keys` is empty. Does
    /// nothing if a fetch from that VM started less than a quarter of
    /// [`stream::STREAM_TIMEOUT`] ago.
    fn start_object_fetch(&mut self, from: SocketAddr, keys: Vec<String>, now: Instant) {
        let last_fetch = self.peers.fetch_started_at.get(&from);
        if last_fetch.is_some_and(|at| now - *at < stream::STREAM_TIMEOUT / 4) {
            return;
        }
        self.peers.fetch_started_at.insert(from, now);
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

/// Returns the hash of an object's key and version. The digest of all objects is
/// the XOR of these hashes; version 0 (no object) adds nothing to it.
fn object_version_hash(key: &str, version: u64) -> u64 {
    if version == 0 {
        return 0;
    }
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), version)
}

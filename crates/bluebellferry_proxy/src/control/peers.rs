//! Messages to and from other VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_keys::digest;
use bluebellferry_limits::bucket;
use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_membership::roster;
use bluebellferry_store::wire;
use bluebellferry_types::name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::ControlEvent;
use super::ControlSender;
use super::ControlState;
use crate::shared;

/// How many object versions a heartbeat carries at the most.
const RECENT_OBJECTS: usize = 64;
/// How many other VMs a heartbeat goes to at the most.
const HEARTBEAT_FANOUT: usize = 16;
/// The largest message over TCP, in bytes.
const MAX_STREAM_BYTES: usize = 64 * 1024 * 1024;
/// How long an exchange over TCP may take.
const STREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// How often tokens are asked for ahead of need.
const FORESIGHT_INTERVAL: Duration = Duration::from_millis(40);
/// By how much more than the need is asked for, so that rounding leaves no gap.
const ASK_SURPLUS: f64 = 1.05;
/// The smallest part of a token that is asked of one VM; smaller loans are not
/// given.
const SMALLEST_ASK: f64 = 2.0 * bucket::SMALLEST_LOAN;
/// How long the number of a token request is kept.
const ASK_KEPT: Duration = Duration::from_secs(1);

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
        let serving = serve_streams(
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

async fn serve_streams(
    listener: TcpListener,
    codec: envelope::EnvelopeCodec,
    incarnation: u64,
    events: ControlSender,
) {
    while !events.is_closed() {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (codec, events) = (codec.clone(), events.clone());
        tokio::spawn(async move {
            let served = serve_objects(stream, &codec, incarnation, &events);
            if let Ok(Err(error)) = tokio::time::timeout(STREAM_TIMEOUT, served).await {
                log::debug!("objects were not served: {error}");
            }
        });
    }
}

async fn serve_objects(
    mut stream: TcpStream,
    codec: &envelope::EnvelopeCodec,
    incarnation: u64,
    events: &ControlSender,
) -> std::io::Result<()> {
    let request = receive_stream_message(&mut stream, codec).await?;
    let message::PeerMessage::ObjectRequest { keys } = request else {
        return Err(std::io::Error::other("not a request for objects"));
    };
    let (answer, copies) = oneshot::channel();
    events
        .send(ControlEvent::CopyObjects { keys, answer })
        .map_err(std::io::Error::other)?;
    let copies = copies.await.map_err(std::io::Error::other)?;
    let copy = |object: wire::ObjectWire| message::ObjectCopy {
        key: object.key,
        version: object.version,
        value: object.value.to_string(),
    };
    let copies = message::PeerMessage::ObjectCopies(copies.into_iter().map(copy).collect());
    send_stream_message(&mut stream, codec, incarnation, &copies).await
}

async fn send_stream_message(
    stream: &mut TcpStream,
    codec: &envelope::EnvelopeCodec,
    incarnation: u64,
    message: &message::PeerMessage,
) -> std::io::Result<()> {
    let bytes = codec.seal(incarnation, 0, message);
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(&bytes).await
}

async fn receive_stream_message(
    stream: &mut TcpStream,
    codec: &envelope::EnvelopeCodec,
) -> std::io::Result<message::PeerMessage> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_STREAM_BYTES {
        return Err(std::io::Error::other("the message is too long"));
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    let opened = codec.open(&bytes).map_err(std::io::Error::other)?;
    Ok(opened.message)
}

async fn fetch_objects(
    from: SocketAddr,
    keys: Vec<String>,
    codec: envelope::EnvelopeCodec,
    incarnation: u64,
    events: ControlSender,
) {
    let fetch = async {
        let mut stream = TcpStream::connect(from).await?;
        let request = message::PeerMessage::ObjectRequest { keys };
        send_stream_message(&mut stream, &codec, incarnation, &request).await?;
        receive_stream_message(&mut stream, &codec).await
    };
    let answer = tokio::time::timeout(STREAM_TIMEOUT, fetch).await;
    let Ok(Ok(message::PeerMessage::ObjectCopies(copies))) = answer else {
        return;
    };
    let object = |copy: message::ObjectCopy| {
        Some(wire::ObjectWire {
            key: copy.key,
            version: copy.version,
            writer: String::new(),
            value: serde_json::from_str(&copy.value).ok()?,
        })
    };
    let objects = copies.into_iter().filter_map(object).collect();
    events.send(ControlEvent::Objects(objects)).ok();
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
            .is_some_and(|at| now - *at < STREAM_TIMEOUT / 4);
        if keys.is_empty() || recently {
            return;
        }
        if self.objects.is_empty() {
            keys.clear();
        }
        self.peers.fetching.insert(from, now);
        let codec = self.peers.codec.clone();
        let (incarnation, events) = (self.shared.incarnation, self.events.clone());
        tokio::spawn(fetch_objects(from, keys, codec, incarnation, events));
    }

    /// Asks other VMs for tokens where callers need more than there are.
    pub(super) fn ask_for_tokens(&mut self, now: Instant) {
        self.peers.ask_due = now + FORESIGHT_INTERVAL;
        self.peers
            .open_asks
            .retain(|_, ask| now - ask.asked_at < ASK_KEPT);
        let others = self.peers.addresses.len().min(HEARTBEAT_FANOUT);
        if self.replaced || others == 0 {
            return;
        }
        for (workspace, share) in self.shared.shares.all() {
            if let Some(missing) = share.begin_ask(now) {
                let amount = (missing * ASK_SURPLUS / others as f64).max(SMALLEST_ASK);
                self.ask_peers(workspace, amount, now);
            }
        }
    }

    fn ask_peers(&mut self, workspace: name::WorkspaceName, amount: f64, now: Instant) {
        let number = self.peers.next_ask;
        self.peers.next_ask += 1;
        let text = workspace.to_string();
        let ask = OpenAsk {
            workspace,
            asked_at: now,
            answered_by: Vec::new(),
        };
        self.peers.open_asks.insert(number, ask);
        let request = message::PeerMessage::TokenRequest {
            workspace: text,
            amount,
            number,
        };
        self.peers.send_to_some(&request);
    }

    fn lend_tokens(
        &mut self,
        to: SocketAddr,
        workspace: String,
        asked: f64,
        number: u64,
        now: Instant,
    ) {
        let checked = name::WorkspaceName::try_from(workspace.as_str()).ok();
        let share = checked.and_then(|name| self.shared.shares.find(&name));
        let Some(share) = share.filter(|_| !self.replaced) else {
            return;
        };
        let amount = share.lend(asked, now);
        if amount > 0.0 {
            let transfer = message::PeerMessage::TokenTransfer {
                workspace,
                amount,
                number,
            };
            self.peers.send(to, &transfer);
        }
    }

    /// Takes tokens, once for each giver and request: a doubled message must
    /// not double them.
    fn accept_tokens(&mut self, from: SocketAddr, amount: f64, number: u64, now: Instant) {
        let Some(ask) = self.peers.open_asks.get_mut(&number) else {
            return;
        };
        if ask.answered_by.contains(&from) {
            return;
        }
        ask.answered_by.push(from);
        if let Some(share) = self.shared.shares.find(&ask.workspace) {
            share.accept_loan(amount, ask.asked_at, now);
        }
    }
}

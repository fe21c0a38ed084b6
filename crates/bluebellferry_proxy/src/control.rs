//! The control thread: everything that is decided once a VM rather than once a
//! request.
//!
//! One task owns all control state and takes [`ControlEvent`]s in order; small
//! tasks around it do the I/O and report back. After each event the snapshot
//! for traffic is replaced if anything changed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_keys::digest;
use bluebellferry_membership::envelope;
use bluebellferry_membership::roster;
use bluebellferry_promotion::event;
use bluebellferry_store::client;
use bluebellferry_store::wire;
use bluebellferry_types::name;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::shared;
use crate::snapshot;

mod objects;
mod peers;
mod probe;
mod promotion;
mod publish;
mod status;
mod store_watch;

pub use objects::KeyRecordWire;
pub use objects::StoreKeys;
pub use objects::WorkspaceKeysWire;
pub use status::ControlStatus;
pub use status::PeerStatus;
pub use status::PromotionReport;

/// How often timers are looked at.
const TICK: Duration = Duration::from_millis(20);

/// A store object that reached this VM.
#[derive(Debug, Clone)]
pub struct ReplicatedObject {
    /// The version.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// What the control task is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// Objects as the store or another VM has them.
    StoreObjects(Vec<wire::ObjectWire>),
    /// Whether the store answers.
    StoreReachable(bool),
    /// A database answered a probe or failed to.
    Probe(probe::ProbeReport),
    /// A step of a promotion has an answer.
    Promotion {
        /// The service.
        service: name::ServiceName,
        /// The answer.
        event: event::PromotionEvent,
    },
    /// A datagram from another VM.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// An operator withdraws a key at this VM.
    WithdrawKey(digest::KeyDigest),
    /// The state is asked for.
    Status(oneshot::Sender<ControlStatus>),
    /// Another VM asks for objects.
    ReadStoreCopies {
        /// The keys; none means all.
        keys: Vec<String>,
        /// Takes the copies.
        answer: oneshot::Sender<Vec<wire::ObjectWire>>,
    },
    /// The VM is to stop taking work.
    Drain,
}

/// The way to the control task.
pub type ControlSender = mpsc::UnboundedSender<ControlEvent>;

/// All control state of a VM.
struct ControlState {
    shared: Arc<shared::ProxyShared>,
    events: ControlSender,
    store: Arc<client::StoreClient>,
    keys: StoreKeys,
    objects: BTreeMap<String, ReplicatedObject>,
    store_reachable: bool,
    /// Whether this VM is one of those that watch the store.
    watches_store: watch::Sender<bool>,
    active_document: Option<Arc<snapshot::ActiveDocument>>,
    tokens_usable_from: Option<Instant>,
    document_fault: Option<String>,
    key_table: bluebellferry_keys::table::KeyTable,
    withdrawn: std::collections::BTreeSet<digest::KeyDigest>,
    services: BTreeMap<name::ServiceName, promotion::ServiceControl>,
    roster: roster::VmRoster,
    peers: peers::PeerLinks,
    draining: bool,
    replaced: bool,
    dirty: bool,
    wake: bool,
}

/// Starts the control thread.
///
/// # Errors
/// Fails when the thread, its runtime or its sockets cannot be created.
pub fn start_control(
    shared: &Arc<shared::ProxyShared>,
) -> std::io::Result<(ControlSender, std::thread::JoinHandle<()>)> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let shared = Arc::clone(shared);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let sockets = runtime.block_on(peers::bind_peer_sockets(shared.settings.peer_listen))?;
    let events = sender.clone();
    let builder = std::thread::Builder::new().name("control".to_owned());
    let thread = builder.spawn(move || {
        runtime.block_on(run_control(shared, events, receiver, sockets));
    })?;
    Ok((sender, thread))
}

async fn run_control(
    shared: Arc<shared::ProxyShared>,
    events: ControlSender,
    mut receiver: mpsc::UnboundedReceiver<ControlEvent>,
    sockets: peers::PeerSockets,
) {
    let settings = &shared.settings;
    let writer = shared.incarnation_id();
    let store = Arc::new(client::StoreClient::new(
        &settings.store.to_string(),
        &writer,
    ));
    let keys = StoreKeys::new(&settings.environment);
    let (watches_store, watching) = watch::channel(true);
    let watched =
        store_watch::watch_store(Arc::clone(&store), keys.prefix(), events.clone(), watching);
    tokio::spawn(watched);
    let codec = envelope::EnvelopeCodec::new(
        settings.environment.as_str(),
        settings.peer_secret.as_bytes(),
    );
    let roster = roster::VmRoster::new(settings.place.clone(), shared.incarnation);
    let peers = peers::PeerLinks::start(sockets, codec, &shared, &events);
    let mut state = ControlState {
        events,
        store,
        keys,
        objects: BTreeMap::new(),
        store_reachable: false,
        watches_store,
        active_document: None,
        tokens_usable_from: None,
        document_fault: None,
        key_table: bluebellferry_keys::table::KeyTable::default(),
        withdrawn: std::collections::BTreeSet::new(),
        services: BTreeMap::new(),
        roster,
        peers,
        draining: false,
        replaced: false,
        dirty: true,
        wake: false,
        shared: Arc::clone(&shared),
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = receiver.recv() => match event {
                Some(event) => state.handle(event),
                None => return,
            },
            _ = ticks.tick() => state.tick(),
            () = shared.tokens_wanted.notified() => state.ask_for_tokens(Instant::now()),
        }
        while let Ok(event) = receiver.try_recv() {
            state.handle(event);
        }
        state.publish();
    }
}

impl ControlState {
    fn handle(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::StoreObjects(objects) => self.take_objects(objects),
            ControlEvent::StoreReachable(reachable) => self.note_store(reachable),
            ControlEvent::Probe(report) => self.take_probe(report),
            ControlEvent::Promotion { service, event } => self.take_promotion(&service, event),
            ControlEvent::Datagram { from, bytes } => self.take_datagram(from, &bytes),
            ControlEvent::WithdrawKey(digest) => {
                self.take_withdrawal(digest);
                self.spread_withdrawals();
            }
            ControlEvent::Status(answer) => {
                answer.send(self.status()).ok();
            }
            ControlEvent::ReadStoreCopies { keys, answer } => {
                answer.send(self.copy_objects(&keys)).ok();
            }
            ControlEvent::Drain => self.drain(),
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if !self.replaced {
            self.shared.shares.record_running(now);
        }
        self.tick_peers(now);
        self.tick_promotions(now);
    }

    fn note_store(&mut self, reachable: bool) {
        if self.store_reachable != reachable {
            log::info!(reachable = reachable; "the platform's store changed its reachability");
        }
        self.store_reachable = reachable;
    }

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        log::info!("the VM takes no new work from now on");
        self.draining = true;
        self.dirty = true;
        self.wake = true;
        self.say_goodbye();
    }
}

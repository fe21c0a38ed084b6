//! The control thread, which makes the decisions that concern the whole VM and
//! not a single request.
//!
//! One task owns the control state and handles [`ControlEvent`]s in order. Other
//! tasks do the I/O and report their results as events. After each batch of
//! events, the snapshot that traffic threads read is replaced if anything changed.

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

/// The interval at which the control task checks whether heartbeats, token requests
/// and promotion steps are due.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The newest version of a store object that this VM has received.
#[derive(Debug, Clone)]
pub struct ReplicatedObject {
    /// The object's version in the store.
    pub version: u64,
    /// The object's JSON value.
    pub value: serde_json::Value,
}

/// An event that the control task handles.
#[derive(Debug)]
pub enum ControlEvent {
    /// Store objects were read from the store or fetched from another VM.
    StoreObjects(Vec<wire::StoreObject>),
    /// Listing the store's objects succeeded (`true`) or failed (`false`).
    StoreReachable(bool),
    /// A probe of a database ended, with or without an answer.
    Probe(probe::ProbeReport),
    /// A step of a promotion ended.
    Promotion {
        /// The service whose primary is being replaced.
        service: name::ServiceName,
        /// The result of the step.
        event: event::PromotionEvent,
    },
    /// A datagram arrived on the socket that other VMs send messages to.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The datagram's bytes, not yet authenticated.
        bytes: Vec<u8>,
    },
    /// An operator withdraws an API key through this VM.
    WithdrawKey(digest::KeyDigest),
    /// A client of the administration API requests the VM's status.
    Status(oneshot::Sender<ControlStatus>),
    /// Another VM requests this VM's copies of store objects.
    ReadStoreCopies {
        /// The store keys of the objects; an empty list means all objects.
        keys: Vec<String>,
        /// Receives the objects.
        reply: oneshot::Sender<Vec<wire::StoreObject>>,
    },
    /// The VM starts to drain and accepts no new work.
    Drain,
}

/// Sends events to the control task.
pub type ControlSender = mpsc::UnboundedSender<ControlEvent>;

/// The control state of a VM, owned by the control task.
struct ControlState {
    shared: Arc<shared::ProxyShared>,
    events: ControlSender,
    store: Arc<client::StoreClient>,
    store_keys: StoreKeys,
    objects: BTreeMap<String, ReplicatedObject>,
    is_store_reachable: bool,
    /// Tells the watch task whether this VM is one of those in its data centre that
    /// watch the store.
    watches_store: watch::Sender<bool>,
    active_document: Option<Arc<snapshot::ActiveDocument>>,
    tokens_usable_from: Option<Instant>,
    document_error: Option<String>,
    key_table: bluebellferry_keys::table::KeyTable,
    withdrawn_keys: std::collections::BTreeSet<digest::KeyDigest>,
    services: BTreeMap<name::ServiceName, promotion::ServiceControl>,
    roster: roster::VmRoster,
    peers: peers::PeerLinks,
    is_draining: bool,
    /// Whether a later process runs under this VM's data centre and ordinal.
    is_superseded: bool,
    /// Whether the control state has changed since the snapshot was published.
    is_snapshot_outdated: bool,
    /// Whether sessions have to check again whether they may continue, because API
    /// keys, the document or the draining state changed.
    is_wakeup_pending: bool,
}

/// Starts the control thread.
///
/// # Errors
/// Fails if the thread, its runtime or its sockets cannot be created.
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
    let store_keys = StoreKeys::new(&settings.environment);
    let (watches_store, is_watching) = watch::channel(true);
    let store_watch_task = store_watch::watch_store(
        Arc::clone(&store),
        store_keys.watched_prefix(),
        events.clone(),
        is_watching,
    );
    tokio::spawn(store_watch_task);
    let codec = envelope::EnvelopeCodec::new(
        settings.environment.as_str(),
        settings.peer_secret.as_bytes(),
    );
    let roster = roster::VmRoster::new(settings.place.clone(), shared.incarnation);
    let peers = peers::PeerLinks::start(sockets, codec, &shared, &events);
    let mut state = ControlState {
        events,
        store,
        store_keys,
        objects: BTreeMap::new(),
        is_store_reachable: false,
        watches_store,
        active_document: None,
        tokens_usable_from: None,
        document_error: None,
        key_table: bluebellferry_keys::table::KeyTable::default(),
        withdrawn_keys: std::collections::BTreeSet::new(),
        services: BTreeMap::new(),
        roster,
        peers,
        is_draining: false,
        is_superseded: false,
        is_snapshot_outdated: true,
        is_wakeup_pending: false,
        shared: Arc::clone(&shared),
    };
    let mut tick_interval = tokio::time::interval(TICK_INTERVAL);
    tick_interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = receiver.recv() => match event {
                Some(event) => state.handle_event(event),
                None => return,
            },
            _ = tick_interval.tick() => state.tick(),
            () = shared.tokens_wanted.notified() => state.request_tokens(Instant::now()),
        }
        while let Ok(event) = receiver.try_recv() {
            state.handle_event(event);
        }
        state.publish_snapshot();
    }
}

impl ControlState {
    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::StoreObjects(objects) => self.apply_objects(objects),
            ControlEvent::StoreReachable(reachable) => self.record_store_reachability(reachable),
            ControlEvent::Probe(report) => self.handle_probe(report),
            ControlEvent::Promotion { service, event } => self.handle_promotion(&service, event),
            ControlEvent::Datagram { from, bytes } => self.handle_datagram(from, &bytes),
            ControlEvent::WithdrawKey(digest) => {
                self.record_withdrawal(digest);
                self.send_withdrawals();
            }
            ControlEvent::Status(reply) => {
                reply.send(self.build_status()).ok();
            }
            ControlEvent::ReadStoreCopies { keys, reply } => {
                reply.send(self.read_store_copies(&keys)).ok();
            }
            ControlEvent::Drain => self.start_drain(),
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if !self.is_superseded {
            self.shared.rate_limiter.record_running(now);
        }
        self.tick_peers(now);
        self.tick_promotions(now);
    }

    fn record_store_reachability(&mut self, is_reachable: bool) {
        if self.is_store_reachable != is_reachable {
            log::info!(reachable = is_reachable; "reachability of the platform's store changed");
        }
        self.is_store_reachable = is_reachable;
    }

    fn start_drain(&mut self) {
        if self.is_draining {
            return;
        }
        log::info!("draining: the VM accepts no new work");
        self.is_draining = true;
        self.is_snapshot_outdated = true;
        self.is_wakeup_pending = true;
        self.send_goodbye();
    }
}

//! What this VM believes.

pub mod databases;
mod heads;
mod leases;
mod shares;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_membership::beat;
use bluebellferry_membership::circle;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::control::suspicion;
use crate::shared;

/// How long ago another VM must have had an answer from a leader for callers to be
/// sent there: a heartbeat's interval and the time between two statements.
const SERVED_LATELY: Duration = Duration::from_millis(700);
/// How long a heartbeat is on its way when it counts as late: longer than links take.
const LATE_AFTER: Duration = Duration::from_millis(500);
/// How many arrivals of a VM's heartbeats are remembered: more than come while the
/// store or a leader is asked.
const REMEMBERED_ARRIVALS: usize = 8;

/// A VM as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its address.
    pub address: IpAddr,
    /// Its data centre.
    pub data_centre: name::DataCentreName,
}

/// What was last heard of another VM.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// Its incarnation.
    pub incarnation: u64,
    /// The number of its last heartbeat.
    pub sequence: u64,
    /// When that came.
    pub heard: Instant,
    /// What it said.
    pub beat: beat::FleetBeat,
    /// What its callers ask for, as it last told.
    pub demands: Vec<beat::WorkspaceDemand>,
    /// What the callers of its data centre ask for, as it last told.
    pub centre_demand: Option<beat::CentreDemand>,
    /// When this VM sent the latest heartbeat that the VM has answered.
    pub answered: Option<Instant>,
    /// How long its last heartbeat was on its way.
    pub transit: BeatTransit,
    /// When its last heartbeats came, with their numbers.
    arrivals: SmallVec<[(u64, Instant); REMEMBERED_ARRIVALS]>,
}

/// How long a heartbeat was on its way, and in the receiver's socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatTransit {
    /// Not known: it answers none of the receiver's heartbeats.
    Unknown,
    /// A moment.
    Prompt,
    /// Longer than links take.
    Late,
}

impl BeatTransit {
    /// Returns the transit of a heartbeat that was composed not before `composed`.
    pub fn of(composed: Option<Instant>, now: Instant) -> Self {
        match composed {
            None => Self::Unknown,
            Some(composed) if now.saturating_duration_since(composed) < LATE_AFTER => Self::Prompt,
            Some(_) => Self::Late,
        }
    }
}

impl PeerRecord {
    /// Returns whether the VM was heard a moment ago.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) < circle::SILENT_AFTER
    }

    /// Returns whether the VM has answered a heartbeat of a moment ago.
    pub fn is_answering(&self, now: Instant) -> bool {
        let is_recent = |sent: Instant| now.saturating_duration_since(sent) < circle::SILENT_AFTER;
        self.answered.is_some_and(is_recent)
    }

    /// Returns the number of the latest heartbeat that came before an instant.
    pub fn latest_before(&self, instant: Instant) -> Option<u64> {
        let mut arrivals = self.arrivals.iter().rev();
        let found = arrivals.find(|(_, arrived)| *arrived <= instant);
        found.map(|(sequence, _)| *sequence)
    }
}

/// The configuration in force with its text, for other VMs.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationRecord {
    /// The configuration.
    pub decoded: Arc<configuration::Configuration>,
    /// The value as it stands in the store.
    pub text: String,
}

/// The beliefs of the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// What traffic shares.
    pub shared: Arc<shared::EdgeShared>,
    /// The configuration in force.
    pub configuration: ConfigurationRecord,
    /// The registered databases.
    pub databases: Arc<Vec<database::DatabaseEntry>>,
    /// Who leads, as the fleet has agreed.
    pub table: leadership::LeadershipTable,
    /// How long the table may be relied on.
    pub lease: lease::LeaseKeeper,
    /// All VMs by name, this one included.
    pub members: BTreeMap<String, MemberRecord>,
    /// What was heard of other VMs.
    pub peers: BTreeMap<String, PeerRecord>,
    /// The parts of the VMs of this VM's group: of all, or of its data centre.
    pub weights: beat::WeightTable,
    /// The parts of the data centres, where each deals out its own.
    pub centre_weights: beat::WeightTable,
    /// Who exchanges heartbeats with whom.
    pub circle: circle::BeatCircle,
    /// The versions of what this VM has read from the store.
    pub versions: beat::CopyVersions,
    /// How many replacements this VM is entering into the table or carrying out.
    pub claims: u32,
    /// What statements showed about leaders.
    pub suspicions: suspicion::SuspicionBook,
    /// Tokens on their way.
    pub lending: lending::TokenRequestTracker<String>,
    /// Notified when other VMs should hear news at once.
    pub news: Arc<Notify>,
    /// Whether the store answered the last call.
    pub has_store: bool,
    /// Whether this VM may use its part of fleet-wide limits.
    pub has_joined: bool,
    /// From when on every list of VMs in use has this one.
    pub acts_from: Option<Instant>,
    /// Notified when the VMs should be listed at once.
    pub list_members: Arc<Notify>,
    /// Notified when the configuration should be read from the store.
    pub read_configuration: Arc<Notify>,
    /// When leaders were asked and found leading, at the latest.
    probed: BTreeMap<name::ServiceName, (name::DatabaseName, Instant)>,
    /// What this VM last told of what its data centre has seen.
    told_seen: Option<beat::CentreSeen>,
    /// Databases that vanished, and when.
    vanished: Vec<(database::DatabaseEntry, Instant)>,
    /// Databases whose place another one has taken, with their starts; entries that were
    /// written late may show them once more.
    superseded: VecDeque<(name::DatabaseName, u64)>,
    /// Whether copies of another VM are on their way.
    pub is_fetching: bool,
    /// Since when this VM knows the parts of its group.
    weights_since: Instant,
    /// Whether the head of this data centre may not have heard that its part has shrunk.
    pub is_isolated: bool,
    /// Since when this VM has dealt out the parts of its group.
    setter_since: Option<Instant>,
    /// Whether this VM may not have heard that its part has shrunk.
    pub is_orphaned: bool,
    published: shared::EdgeSnapshot,
}

impl ControlState {
    /// Creates a state that believes nothing.
    pub fn new(shared: Arc<shared::EdgeShared>) -> Self {
        let settings = &shared.settings;
        let circle = circle::BeatCircle::new(&settings.vm, settings.data_centre.clone());
        Self {
            shared,
            circle,
            configuration: ConfigurationRecord::default(),
            databases: Arc::default(),
            table: leadership::LeadershipTable::default(),
            lease: lease::LeaseKeeper::default(),
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            weights: beat::WeightTable::default(),
            centre_weights: beat::WeightTable::default(),
            versions: beat::CopyVersions::default(),
            claims: 0,
            suspicions: suspicion::SuspicionBook::default(),
            lending: lending::TokenRequestTracker::default(),
            has_store: false,
            has_joined: false,
            acts_from: None,
            list_members: Arc::new(Notify::new()),
            read_configuration: Arc::new(Notify::new()),
            news: Arc::new(Notify::new()),
            probed: BTreeMap::new(),
            told_seen: None,
            vanished: Vec::new(),
            superseded: VecDeque::new(),
            is_fetching: false,
            weights_since: clock::now(),
            is_isolated: false,
            setter_since: None,
            is_orphaned: false,
            published: shared::EdgeSnapshot::default(),
        }
    }

    /// Returns this VM's name.
    pub fn own_name(&self) -> &str {
        &self.shared.settings.vm
    }

    /// Takes a configuration unless a newer one is in force. `source` is where
    /// it came from.
    pub fn apply_configuration(
        &mut self,
        decoded: configuration::Configuration,
        text: String,
        source: &'static str,
    ) {
        if decoded.version <= self.configuration.decoded.version {
            return;
        }
        log::info!(
            version = decoded.version, before = self.configuration.decoded.version,
            source = source, routes = decoded.routes.len() as u64;
            "a configuration is in force"
        );
        self.log_rates(&decoded);
        let decoded = Arc::new(decoded);
        self.versions.configuration = decoded.version;
        self.versions.configuration_bytes = text.len() as u32;
        self.configuration = ConfigurationRecord { decoded, text };
        self.apply_shares();
        self.publish();
        self.news.notify_one();
    }

    fn log_rates(&self, next: &configuration::Configuration) {
        if self.configuration.decoded.version == 0 {
            return;
        }
        for (workspace, policy) in &next.workspaces {
            if self.configuration.decoded.workspaces.get(workspace) != Some(policy) {
                log::info!(
                    workspace = workspace.as_str(), rate_per_second = policy.rate_per_second,
                    burst = policy.burst, version = next.version;
                    "a workspace's rate has changed"
                );
            }
        }
    }

    /// Takes a leadership table unless a newer one is known.
    pub fn apply_table(&mut self, table: &leadership::LeadershipTable) {
        self.lease.record_revision(table.revision);
        if table.revision <= self.table.revision {
            return;
        }
        log::info!(
            revision = table.revision, holder = table.holder.as_str(), token = table.token;
            "a leadership table is in force"
        );
        for (service, entry) in &table.leaders {
            if self.table.leaders.get(service) != Some(entry) {
                let phase = format!("{:?}", entry.phase);
                log::info!(
                    service = service.as_str(), database = entry.database.as_str(),
                    phase = phase.as_str();
                    "a leader has changed"
                );
            }
        }
        self.table = table.clone();
        self.publish();
        self.news.notify_one();
    }

    /// Takes the VMs that the store listed at revision `as_of`, when it was `asked`.
    pub fn apply_members(
        &mut self,
        members: BTreeMap<String, MemberRecord>,
        as_of: u64,
        asked: Instant,
    ) {
        let own = self.own_name().to_owned();
        let others = members.keys().filter(|name| **name != own).cloned();
        self.lease.record_members(asked, others.collect());
        if self.members != members {
            log::info!(members = members.len() as u64; "the list of VMs has changed");
            let places = members.iter();
            let places = places.map(|(name, record)| (name.as_str(), &record.data_centre));
            self.circle.apply_members(places);
            self.members = members;
            self.versions.members = as_of;
            self.news.notify_one();
            self.apply_shares();
            self.publish();
        }
    }

    /// Takes a heartbeat of another VM.
    pub fn record_peer(
        &mut self,
        (incarnation, sequence): (u64, u64),
        beat: beat::FleetBeat,
        answered: Option<Instant>,
        now: Instant,
    ) {
        let composed = answered.map(|sent| sent + beat.held());
        let transit = BeatTransit::of(composed, now);
        self.log_transit(&beat, composed, transit, now);
        let known = self.peers.remove(&beat.vm);
        let known = known.filter(|known| known.incarnation == incarnation);
        let before = known.as_ref().and_then(|known| known.answered);
        let (demands, centre_demand, mut arrivals) = match known {
            Some(known) => (known.demands, known.centre_demand, known.arrivals),
            None => Default::default(),
        };
        if arrivals.len() == REMEMBERED_ARRIVALS {
            arrivals.remove(0);
        }
        arrivals.push((sequence, now));
        let record = PeerRecord {
            incarnation,
            sequence,
            heard: now,
            demands: beat.demands.clone().unwrap_or(demands),
            centre_demand: beat.centre_demand.clone().or(centre_demand),
            answered: before.max(answered),
            transit,
            arrivals,
            beat,
        };
        self.peers.insert(record.beat.vm.clone(), record);
        // Whoever replaces a leader waits for this.
        let seen = self.own_centre_seen(now);
        if seen != self.told_seen {
            self.told_seen = seen;
            self.news.notify_one();
        }
    }

    /// Logs when a VM's heartbeats begin to come late, or to come in time again.
    fn log_transit(
        &self,
        beat: &beat::FleetBeat,
        composed: Option<Instant>,
        transit: BeatTransit,
        now: Instant,
    ) {
        let before = self.peers.get(&beat.vm).map(|record| record.transit);
        if before == Some(transit) || (before.is_none() && transit == BeatTransit::Prompt) {
            return;
        }
        let transit = format!("{transit:?}");
        let at_most = composed.map_or(0, |composed| {
            now.saturating_duration_since(composed).as_millis() as u64
        });
        log::info!(
            vm = beat.vm.as_str(), transit = transit.as_str(), at_most_ms = at_most,
            positions = beat.positions.len() as u64;
            "the transit of a VM's heartbeats has changed"
        );
    }

    /// Returns the other VMs that were heard a moment ago.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&String, &PeerRecord)> {
        self.peers
            .iter()
            .filter(move |(name, record)| record.is_live(now) && self.members.contains_key(*name))
    }

    /// Returns a workspace under whose name databases are asked; they want one.
    pub fn any_workspace(&self) -> Option<name::WorkspaceName> {
        self.configuration.decoded.workspaces.keys().min().cloned()
    }

    /// Returns the services whose callers do better at another VM when this one
    /// cannot use the leader.
    fn served_elsewhere(&self, now: Instant) -> BTreeSet<name::ServiceName> {
        let services = self.configuration.decoded.services.keys();
        let is_alone = self.members.len() > 1 && self.live_peers(now).next().is_none();
        let is_isolated = is_alone && !self.has_store;
        let is_served = |service: &&name::ServiceName| {
            is_isolated || self.is_used_by_others(service, SERVED_LATELY, now)
        };
        services.filter(is_served).cloned().collect()
    }

    /// Returns whether another VM had an answer from a service's leader lately.
    pub fn is_used_by_others(
        &self,
        service: &name::ServiceName,
        lately: Duration,
        now: Instant,
    ) -> bool {
        let is_fresh = |record: &PeerRecord| {
            let since_beat = now.saturating_duration_since(record.heard);
            record.beat.positions.iter().any(|sample| {
                let age = Duration::from_millis(u64::from(sample.age_ms)) + since_beat;
                sample.service == *service && age < lately
            })
        };
        self.live_peers(now).any(|(_, record)| is_fresh(record))
    }

    /// Tells traffic what has changed.
    pub fn publish(&mut self) {
        let mut leaders = BTreeMap::new();
        let mut leases = BTreeMap::new();
        for service in self.configuration.decoded.services.keys() {
            if let Some(leader) = self.known_leader(service) {
                let until = self.leased_until(service, &leader);
                leases.extend(until.map(|until| (service.clone(), until)));
                leaders.insert(service.clone(), leader);
            }
        }
        let next = shared::EdgeSnapshot {
            configuration: Arc::clone(&self.configuration.decoded),
            databases: Arc::clone(&self.databases),
            leaders: Arc::new(leaders),
            leases,
            served_elsewhere: Arc::new(self.served_elsewhere(clock::now())),
            part: self.own_part(),
            loan_wait: if self.has_owners() {
                limiter::MAX_OWNER_LOAN_WAIT
            } else {
                limiter::MAX_LOAN_WAIT
            },
        };
        let now = clock::now();
        let before = &self.published;
        let held = |snapshot: &shared::EdgeSnapshot| {
            let leases = snapshot.leases.values();
            leases.filter(|until| **until > now).count()
        };
        let (held_next, held_before) = (held(&next), held(before));
        if held_next != held_before {
            log::info!(leaders = held_next as u64, before = held_before as u64; "confirmed leaders have changed");
        }
        let is_news = held_next > held_before
            || !Arc::ptr_eq(&next.configuration, &before.configuration)
            || !Arc::ptr_eq(&next.databases, &before.databases)
            || next.leaders != before.leaders
            || next.part != before.part;
        self.published = next.clone();
        self.shared.publish(next, is_news);
    }
}

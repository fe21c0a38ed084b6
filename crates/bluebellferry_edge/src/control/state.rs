//! What this VM believes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_limits::bucket;
use bluebellferry_membership::beat;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_shares::lending;
use bluebellferry_types::name;
use tokio::sync::Notify;

use crate::control::parts;
use crate::control::suspicion;
use crate::shared;

/// How long ago another VM must have had an answer from a leader for callers to be
/// sent there: a heartbeat's interval and the time between two statements.
const SERVED_LATELY: Duration = Duration::from_millis(700);
/// After how long without a heartbeat a VM counts as silent.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_300);

/// A VM as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its address.
    pub address: IpAddr,
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
    /// The parts of fleet-wide limits.
    pub weights: beat::WeightTable,
    /// How many replacements this VM is entering into the table or carrying out.
    pub claims: u32,
    /// What statements showed about leaders.
    pub suspicions: suspicion::SuspicionBook,
    /// Tokens on their way.
    pub lending: lending::TokenLending<String>,
    /// Notified when other VMs should hear news at once.
    pub news: Arc<Notify>,
    /// Whether the store answered the last call.
    pub has_store: bool,
    /// Whether this VM may use its part of fleet-wide limits.
    pub has_joined: bool,
    /// Notified when the VMs should be listed at once.
    pub list_members: Arc<Notify>,
    /// Until when leaders may be relied on because they were asked.
    probed: BTreeMap<name::ServiceName, (name::DatabaseName, Instant)>,
    published: shared::EdgeSnapshot,
}

impl ControlState {
    /// Creates a state that believes nothing.
    pub fn new(shared: Arc<shared::EdgeShared>) -> Self {
        Self {
            shared,
            configuration: ConfigurationRecord::default(),
            databases: Arc::default(),
            table: leadership::LeadershipTable::default(),
            lease: lease::LeaseKeeper::default(),
            members: BTreeMap::new(),
            peers: BTreeMap::new(),
            weights: beat::WeightTable::default(),
            claims: 0,
            suspicions: suspicion::SuspicionBook::default(),
            lending: lending::TokenLending::default(),
            has_store: false,
            has_joined: false,
            list_members: Arc::new(Notify::new()),
            news: Arc::new(Notify::new()),
            probed: BTreeMap::new(),
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

    /// Takes the registered databases.
    pub fn apply_databases(&mut self, databases: Vec<database::DatabaseEntry>) {
        if *self.databases != databases {
            self.log_databases(&databases);
            self.databases = Arc::new(databases);
            self.publish();
        }
    }

    fn log_databases(&self, databases: &[database::DatabaseEntry]) {
        for entry in databases {
            if !self.databases.contains(entry) {
                let role = format!("{:?}", entry.role);
                log::info!(
                    database = entry.id.as_str(), service = entry.service.as_str(),
                    data_centre = entry.data_centre.as_str(), leaving = entry.leaving,
                    role = role.as_str(), born = entry.born;
                    "a database is registered"
                );
            }
        }
        for entry in self.databases.iter() {
            if !databases.iter().any(|other| other.id == entry.id) {
                log::info!(database = entry.id.as_str(); "a database is no longer registered");
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

    /// Takes the VMs that the store lists.
    pub fn apply_members(&mut self, members: BTreeMap<String, MemberRecord>, asked: Instant) {
        let own = self.own_name().to_owned();
        let others = members.keys().filter(|name| **name != own).cloned();
        self.lease.record_members(asked, others.collect());
        if self.members != members {
            log::info!(members = members.len() as u64; "the list of VMs has changed");
            self.members = members;
            self.apply_shares();
            self.publish();
        }
    }

    /// Takes the parts of fleet-wide limits unless newer ones are known.
    pub fn apply_weights(&mut self, weights: &beat::WeightTable) {
        if weights.number > self.weights.number {
            self.weights = weights.clone();
            self.apply_shares();
            self.publish();
        }
    }

    /// Returns this VM's part of fleet-wide limits: as the holder of the duty
    /// set it if that covers all VMs, else an equal one.
    pub fn own_part(&self) -> shared::FleetPart {
        if !self.has_joined {
            return shared::FleetPart::default();
        }
        let own = self.own_name();
        let count = self.members.len().max(1) as f64;
        let weight_of = |name: &str| {
            let set = self.weights.weights.iter().find(|weight| weight.vm == name);
            set.map(|weight| weight.part)
        };
        let is_covered = self.is_covered_by_weights();
        let mut from = 0.0;
        for name in self.members.keys() {
            let part = weight_of(name)
                .filter(|_| is_covered)
                .unwrap_or(1.0 / count);
            if name == own {
                return shared::FleetPart {
                    from,
                    to: from + part,
                };
            }
            from += part;
        }
        shared::FleetPart::default()
    }

    /// Returns a VM's part of a workspace's rate.
    pub fn rate_part(&self, vm: &str, workspace: &name::WorkspaceName) -> f64 {
        let equal = 1.0 / self.members.len().max(1) as f64;
        if !self.is_covered_by_weights() {
            return equal;
        }
        let weights = &self.weights;
        let Some(index) = weights.weights.iter().position(|one| one.vm == vm) else {
            return equal;
        };
        let parts = weights
            .workspaces
            .iter()
            .find(|one| one.workspace == *workspace);
        let part = parts.and_then(|one| one.parts.get(index));
        part.map_or(weights.weights[index].part, |part| f64::from(*part))
    }

    /// Returns whether the parts that were dealt out are those of all VMs.
    fn is_covered_by_weights(&self) -> bool {
        let weights = &self.weights.weights;
        weights.len() == self.members.len()
            && weights.iter().all(|one| self.members.contains_key(&one.vm))
    }

    fn apply_shares(&self) {
        // Until all VMs are known, nothing may be spent; a bucket of no size
        // would also be slow to grow.
        if !self.has_joined {
            return;
        }
        let size =
            |(workspace, policy): (&name::WorkspaceName, &configuration::WorkspacePolicy)| {
                let part = self.rate_part(self.own_name(), workspace);
                let size = bucket::ShareSize {
                    rate_per_second: policy.rate_per_second * part,
                    burst: policy.burst * part,
                };
                (workspace.clone(), size)
            };
        let workspaces = &self.configuration.decoded.workspaces;
        let sizes = workspaces.iter().map(size).collect();
        self.shared.shares.apply_sizes(&sizes, parts::GROWTH_DELAY);
    }

    /// Lets this VM use its part of fleet-wide limits. The others must have
    /// made room for it first.
    pub fn join(&mut self, reason: &'static str) {
        if !self.has_joined {
            log::info!(reason = reason; "this VM uses its part of fleet-wide limits");
            self.has_joined = true;
            self.apply_shares();
            self.publish();
        }
    }

    /// Returns whether every other live VM counts this one as a member.
    pub fn is_known_to_all(&self, now: Instant) -> bool {
        let own = self.own_name();
        let knows = |record: &PeerRecord| record.beat.echoes.iter().any(|echo| echo.vm == own);
        self.live_peers(now).all(|(_, record)| knows(record))
    }

    /// Returns the leader of a service as this VM knows it.
    pub fn leader_of(&self, service: &name::ServiceName) -> Option<shared::LeaderView> {
        if let Some(entry) = self.table.leaders.get(service) {
            return Some(shared::LeaderView {
                database: entry.database.clone(),
                floor: entry.floor,
                is_replacing: entry.phase == leadership::LeaderPhase::Replacing,
            });
        }
        // Before the first replacement, the database that registers as primary leads.
        let mut primaries = self.databases.iter().filter(|entry| {
            entry.service == *service && entry.role == database::DatabaseRole::Primary
        });
        let first = primaries.next()?;
        let view = shared::LeaderView {
            database: first.id.clone(),
            floor: None,
            is_replacing: false,
        };
        primaries.next().is_none().then_some(view)
    }

    /// Returns whether a VM may lack something: one that was heard says so, or
    /// one was not heard.
    pub fn is_lacked(&self, now: Instant, lacks: impl Fn(&beat::FleetBeat) -> bool) -> bool {
        let is_silent = self.live_peers(now).count() + 1 < self.members.len();
        let mut live = self.live_peers(now);
        is_silent || live.any(|(_, record)| lacks(&record.beat))
    }

    /// Returns the registered databases of a service.
    pub fn databases_of(&self, service: &name::ServiceName) -> Vec<database::DatabaseEntry> {
        let of_service = |entry: &&database::DatabaseEntry| entry.service == *service;
        self.databases.iter().filter(of_service).cloned().collect()
    }

    /// Returns the other VMs that were heard a moment ago.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&String, &PeerRecord)> {
        let is_live =
            move |record: &PeerRecord| now.saturating_duration_since(record.heard) < SILENT_AFTER;
        self.peers
            .iter()
            .filter(move |(name, record)| is_live(record) && self.members.contains_key(*name))
    }

    /// Returns a workspace under whose name databases are asked; they want one.
    pub fn any_workspace(&self) -> Option<name::WorkspaceName> {
        self.configuration.decoded.workspaces.keys().min().cloned()
    }

    /// Notes until when a leader may be relied on because it was asked.
    pub fn record_probed(
        &mut self,
        service: &name::ServiceName,
        leader: &name::DatabaseName,
        until: Instant,
    ) {
        self.probed.insert(service.clone(), (leader.clone(), until));
        self.publish();
    }

    fn leased_until(
        &self,
        service: &name::ServiceName,
        leader: &shared::LeaderView,
    ) -> Option<Instant> {
        let probed = self.probed.get(service);
        let probed = probed.filter(|(database, _)| *database == leader.database);
        self.lease
            .valid_until()
            .max(probed.map(|(_, until)| *until))
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
            let known = self.published.leaders.get(service).cloned();
            // A leader whose registration lapsed stays the leader.
            if let Some(leader) = self.leader_of(service).or(known) {
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

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
use bluebellferry_membership::circle;
use bluebellferry_promotion::lease;
use bluebellferry_runtime::clock;
use bluebellferry_shares::ledger;
use bluebellferry_shares::lending;
use bluebellferry_types::name;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::sync::Notify;
use xxhash_rust::xxh3;

use crate::control::parts;
use crate::control::suspicion;
use crate::shared;

/// How long ago another VM must have had an answer from a leader for callers to be
/// sent there: a heartbeat's interval and the time between two statements.
const SERVED_LATELY: Duration = Duration::from_millis(700);
/// How many arrivals of a VM's heartbeats are remembered: more than come while the
/// store or a leader is asked.
const REMEMBERED_ARRIVALS: usize = 8;

/// The part of an equal one that a data centre must have of a workspace's rate to be
/// asked for tokens: less is what a lost one left behind.
const LEAST_OWNED: f64 = 0.5;

/// The number of the first table of parts that a fleet deals out when none of its VMs
/// knows an earlier one.
const FIRST_NUMBER: u64 = 1;
/// The largest configuration that VMs copy from each other while they have the store: a
/// head sends it to a dozen VMs within a second over a link of 10 Mbit/s.
const LARGEST_COPY_BYTES: u32 = 64 << 10;
/// After how long a VM that still lacks the parts of its group is told by others than
/// the one that set them: two heartbeats and a lost one.
const WEIGHTS_SPREAD: Duration = Duration::from_millis(1_000);

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
    /// When its last heartbeats came, with their numbers.
    arrivals: SmallVec<[(u64, Instant); REMEMBERED_ARRIVALS]>,
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
    pub lending: lending::TokenLending<String>,
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
            lending: lending::TokenLending::default(),
            has_store: false,
            has_joined: false,
            acts_from: None,
            list_members: Arc::new(Notify::new()),
            read_configuration: Arc::new(Notify::new()),
            news: Arc::new(Notify::new()),
            probed: BTreeMap::new(),
            told_seen: None,
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

    /// Takes the registered databases as the store had them at revision `as_of`.
    pub fn apply_databases(&mut self, databases: Vec<database::DatabaseEntry>, as_of: u64) {
        if *self.databases != databases || self.versions.databases == 0 {
            self.log_databases(&databases);
            self.databases = Arc::new(databases);
            self.versions.databases = as_of;
            self.publish();
            self.news.notify_one();
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

    /// Takes the parts of this VM's group unless newer ones are known.
    pub fn apply_weights(&mut self, weights: &beat::WeightTable) {
        if weights.number > self.weights.number {
            let is_first = self.weights.number == 0;
            self.weights = weights.clone();
            self.weights_since = clock::now();
            self.apply_dealt(is_first, weights.number);
            self.log_part("the VMs' parts have changed", weights.number);
            self.publish();
        }
    }

    fn log_part(&self, message: &str, number: u64) {
        let part = self.own_part().size();
        log::info!(number = number, own_part = part; "{message}");
    }

    /// Takes the parts of the data centres unless newer ones are known.
    pub fn apply_centre_weights(&mut self, weights: &beat::WeightTable) {
        if weights.number > self.centre_weights.number {
            let is_first = self.centre_weights.number == 0;
            self.centre_weights = weights.clone();
            self.apply_dealt(is_first, weights.number);
            self.log_part("the data centres' parts have changed", weights.number);
            self.publish();
        }
    }

    /// Returns whether the others of the group have had time to hear of its parts, so
    /// that one that has not must be told by whoever it hears.
    pub fn are_weights_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.weights_since) >= WEIGHTS_SPREAD
    }

    /// Notes who deals out the parts. A VM that does not hear most others, or nobody who
    /// does, takes at most an equal part, so that those who do may deal out the rest.
    pub fn note_circle(&mut self, now: Instant) {
        if parts::is_group_setter(self, now) {
            self.setter_since.get_or_insert(now);
        } else {
            self.setter_since = None;
        }
        let is_orphaned = self.has_owners() && !self.is_among_most(now);
        let is_isolated = !self.circle.is_full_exchange() && self.is_centre_isolated(now);
        if (is_orphaned, is_isolated) != (self.is_orphaned, self.is_isolated) {
            log::info!(
                orphaned = is_orphaned, isolated = is_isolated;
                "answers of most VMs or data centres were lost or regained"
            );
            self.is_orphaned = is_orphaned;
            self.is_isolated = is_isolated;
            self.apply_shares();
        }
    }

    /// Returns whether rates are owned by a few VMs, rather than by all.
    pub fn has_owners(&self) -> bool {
        !self.circle.is_full_exchange()
    }

    /// Returns whether most VMs of the group answer this one.
    pub fn is_answered_by_most(&self, now: Instant) -> bool {
        let answering = self
            .peers
            .iter()
            .filter(|(name, record)| record.is_answering(now) && self.is_in_group(name));
        (answering.count() + 1) * 2 > self.group().count()
    }

    /// Returns whether this VM belongs to those that hear most of the group.
    fn is_among_most(&self, now: Instant) -> bool {
        if self.circle.is_head(now) {
            return self.is_answered_by_most(now);
        }
        let leads = |record: &PeerRecord| record.beat.is_head && record.beat.is_answered_by_most;
        let mut peers = self.peers.iter();
        peers.any(|(name, record)| {
            leads(record) && record.is_answering(now) && self.is_in_group(name)
        })
    }

    /// Returns whether this data centre's part may have shrunk without it: only its head
    /// hears others.
    fn is_centre_isolated(&self, now: Instant) -> bool {
        if !self.circle.is_head(now) {
            let head = self.circle.own_head(now);
            let record = head.and_then(|head| self.peers.get(head));
            return record.is_some_and(|record| record.beat.is_isolated);
        }
        let answering = self
            .peers
            .iter()
            .filter(|(_, record)| record.beat.is_head && record.is_answering(now));
        let centre = |(name, _): (&String, &PeerRecord)| {
            let member = self.members.get(name)?;
            Some(member.data_centre.clone())
        };
        let mut heard: BTreeSet<name::DataCentreName> = answering.filter_map(centre).collect();
        heard.insert(self.shared.settings.data_centre.clone());
        heard.len() * 2 <= self.centres().len()
    }

    /// Returns for how long this VM, as the one that deals parts out, has not heard another.
    pub fn silence_of(&self, vm: &str, now: Instant) -> Duration {
        let heard = self.peers.get(vm).map(|record| record.heard);
        let since = heard.max(self.setter_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the VMs among which this VM's group deals limits out, in order.
    pub fn group(&self) -> impl Iterator<Item = &String> {
        let is_in_group = |record: &MemberRecord| self.circle.is_in_group(&record.data_centre);
        self.members
            .iter()
            .filter(move |(_, record)| is_in_group(record))
            .map(|(name, _)| name)
    }

    /// Returns whether a VM belongs to this VM's group.
    pub fn is_in_group(&self, vm: &str) -> bool {
        let member = self.members.get(vm);
        member.is_some_and(|member| self.circle.is_in_group(&member.data_centre))
    }

    /// Returns the data centres with how many VMs each has; just one group that
    /// holds everything where all VMs send to each other.
    pub fn centres(&self) -> BTreeMap<&str, usize> {
        let mut centres = BTreeMap::new();
        for member in self.members.values() {
            *centres.entry(member.data_centre.as_str()).or_default() += 1;
        }
        centres
    }

    /// Returns this VM's part of fleet-wide limits: as it was dealt out if that
    /// covers all VMs of the group, else an equal one.
    pub fn own_part(&self) -> shared::FleetPart {
        if !self.has_joined {
            return shared::FleetPart::default();
        }
        let centre = self.own_centre_part();
        let names: Vec<&String> = self.group().collect();
        let parts = parts::KnownParts::new(&self.weights, &names);
        let own = self.own_name();
        let mut from = 0.0;
        for (index, name) in names.iter().enumerate() {
            let part = parts.part(index);
            if *name == own {
                return shared::FleetPart {
                    from: centre.from + centre.size() * from,
                    to: centre.from + centre.size() * (from + part),
                };
            }
            from += part;
        }
        shared::FleetPart::default()
    }

    /// Returns the part of fleet-wide limits that this VM's group deals out.
    fn own_centre_part(&self) -> shared::FleetPart {
        let mut from = 0.0;
        if !self.circle.is_full_exchange() {
            let own = self.shared.settings.data_centre.as_str();
            for (name, part) in self.centre_parts(None) {
                if name == own {
                    return shared::FleetPart {
                        from,
                        to: from + part,
                    };
                }
                from += part;
            }
        }
        shared::FleetPart { from: 0.0, to: 1.0 }
    }

    /// Returns the parts of the data centres: of operations, or of a workspace's rate.
    pub fn centre_parts(&self, workspace: Option<&name::WorkspaceName>) -> Vec<(&str, f64)> {
        let centres = self.centres();
        let names: Vec<&str> = centres.keys().copied().collect();
        let parts = parts::KnownParts::new(&self.centre_weights, &names);
        let all = self.members.len().max(1) as f64;
        let mut dealt = Vec::new();
        for (index, (name, count)) in centres.iter().enumerate() {
            let part = match workspace {
                _ if !parts.is_known() => *count as f64 / all,
                Some(workspace) => parts.rate_part(index, workspace),
                None => parts.part(index),
            };
            dealt.push((*name, part));
        }
        dealt
    }

    /// Returns the part of a workspace's rate that this VM's group deals out.
    pub fn centre_rate_part(&self, workspace: &name::WorkspaceName) -> f64 {
        if self.circle.is_full_exchange() {
            return 1.0;
        }
        let own = self.shared.settings.data_centre.as_str();
        let parts = self.centre_parts(Some(workspace));
        let found = parts.iter().find(|(name, _)| *name == own);
        let dealt = found.map_or(0.0, |(_, part)| *part);
        let count = self.centres().get(own).copied().unwrap_or(1);
        let equal = count as f64 / self.members.len().max(1) as f64;
        if self.is_isolated {
            dealt.min(equal)
        } else {
            dealt
        }
    }

    /// Returns a VM's part of what its group has of a workspace's rate.
    pub fn rate_part(&self, vm: &str, workspace: &name::WorkspaceName) -> f64 {
        let names: Vec<&String> = self.group().collect();
        let parts = parts::KnownParts::new(&self.weights, &names);
        let index = names.iter().position(|name| *name == vm);
        index.map_or(0.0, |index| parts.rate_part(index, workspace))
    }

    /// Returns whether this VM's group owns enough of a workspace's rate to lend it.
    pub fn is_owned_here(&self, workspace: &name::WorkspaceName) -> bool {
        let equal = 1.0 / self.centres().len().max(1) as f64;
        self.centre_rate_part(workspace) >= equal * LEAST_OWNED
    }

    /// Returns the data centres that own enough of a workspace's rate to lend it.
    pub fn owning_centres(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let equal = 1.0 / self.centres().len().max(1) as f64;
        let parts = self.centre_parts(Some(workspace)).into_iter();
        let owning = parts.filter(|(_, part)| *part >= equal * LEAST_OWNED);
        owning.map(|(centre, _)| centre.to_owned()).collect()
    }

    /// Returns the head of another data centre that was heard a moment ago.
    pub fn head_of(&self, centre: &str, now: Instant) -> Option<String> {
        let is_there = |name: &String| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.data_centre.as_str() == centre)
        };
        let heads = self
            .live_peers(now)
            .filter(|(name, record)| record.beat.is_head && is_there(name));
        let first = heads.min_by(|(one, _), (other, _)| {
            let (one, other) = (circle::rank(one), circle::rank(other));
            one.cmp(&other)
        });
        first.map(|(name, _)| name.clone())
    }

    /// Returns the other VMs of the group that own parts of a workspace's rate which
    /// suffice for whole tokens.
    pub fn owners_of(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let owners = self.all_owners_of(workspace).into_iter();
        owners.filter(|name| name != self.own_name()).collect()
    }

    fn all_owners_of(&self, workspace: &name::WorkspaceName) -> Vec<String> {
        let names: Vec<&String> = self.group().collect();
        let parts = parts::KnownParts::new(&self.weights, &names);
        let equal = 1.0 / names.len().max(1) as f64;
        let owns = |(index, _): &(usize, &String)| parts.rate_part(*index, workspace) >= equal;
        let owners = names.iter().copied().enumerate().filter(owns);
        owners.map(|(_, name)| name.clone()).collect()
    }

    /// Returns whether this VM owns a part of a workspace's rate that it can lend.
    pub fn owns(&self, workspace: &name::WorkspaceName) -> bool {
        let owners = self.all_owners_of(workspace);
        self.is_owned_here(workspace) && owners.iter().any(|name| name == self.own_name())
    }

    /// Returns for how long this VM, as a head, has not heard one of a data centre.
    pub fn silence_of_centre(&self, centre: &str, now: Instant) -> Duration {
        let is_there = |name: &String| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.data_centre.as_str() == centre)
        };
        let heads = self.peers.iter().filter(|(name, _)| is_there(name));
        let heard = heads
            .filter(|(_, record)| record.beat.is_head)
            .map(|(_, record)| record.heard)
            .max();
        let since = heard.max(self.setter_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns this VM's part of a workspace's rate in the whole fleet.
    fn own_rate_part(&self, workspace: &name::WorkspaceName) -> f64 {
        let dealt = self.centre_rate_part(workspace) * self.rate_part(self.own_name(), workspace);
        let equal = 1.0 / self.members.len().max(1) as f64;
        if self.is_orphaned {
            dealt.min(equal)
        } else {
            dealt
        }
    }

    /// Applies parts that were dealt out. The first ones that a process hears of may be
    /// used at once: they were its own before, or whoever had them was started anew too
    /// or is among the few that have fallen back to equal parts.
    fn apply_dealt(&self, is_first: bool, number: u64) {
        if !is_first || !self.has_owners() {
            return self.apply_shares();
        }
        if number == FIRST_NUMBER && self.has_joined {
            self.shared.shares.restart(&self.own_sizes());
        }
        self.apply_shares_after(Duration::ZERO);
    }

    fn apply_shares(&self) {
        let delay = if self.has_owners() {
            parts::OWNER_GROWTH_DELAY
        } else {
            parts::GROWTH_DELAY
        };
        self.apply_shares_after(delay);
    }

    fn apply_shares_after(&self, delay: Duration) {
        // Until all VMs are known, nothing may be spent; a bucket of no size
        // would also be slow to grow.
        if !self.has_joined {
            return;
        }
        let sizes = self.own_sizes();
        let shares = &self.shared.shares;
        shares.apply_sizes(&sizes, delay);
        shares.set_owners(self.has_owners());
    }

    fn own_sizes(&self) -> BTreeMap<name::WorkspaceName, bucket::ShareSize> {
        let size =
            |(workspace, policy): (&name::WorkspaceName, &configuration::WorkspacePolicy)| {
                let part = self.own_rate_part(workspace);
                let size = bucket::ShareSize {
                    rate_per_second: policy.rate_per_second * part,
                    burst: policy.burst * part,
                };
                (workspace.clone(), size)
            };
        let workspaces = &self.configuration.decoded.workspaces;
        workspaces.iter().map(size).collect()
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
        self.live_peers(now)
            .all(|(_, record)| record.beat.echo.is_some())
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

    /// Takes a heartbeat of another VM.
    pub fn record_peer(
        &mut self,
        (incarnation, sequence): (u64, u64),
        beat: beat::FleetBeat,
        answered: Option<Instant>,
        now: Instant,
    ) {
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

    /// Returns what the VMs of this data centre have seen, if this VM is their head.
    pub fn own_centre_seen(&self, now: Instant) -> Option<beat::CentreSeen> {
        let is_telling = !self.circle.is_full_exchange() && self.circle.is_head(now);
        let centre = &self.shared.settings.data_centre;
        is_telling.then(|| self.centre_seen(centre, now))
    }

    /// Returns whether another VM has newer copies from the store that this VM is
    /// not about to read itself.
    pub fn lacks_copies(&self, beat: &beat::FleetBeat, now: Instant) -> bool {
        let (own, other) = (self.versions, beat.versions);
        let reads_itself = self.has_store && self.reads_for_centre(now);
        let lacks_configuration = other.configuration > own.configuration;
        (lacks_configuration && !self.reads_configuration(other))
            || (!reads_itself && (other.databases > own.databases || other.members > own.members))
    }

    /// Returns whether this VM reads a newer configuration from the store rather than
    /// from another VM, whose link a large one would fill.
    pub fn reads_configuration(&self, other: beat::CopyVersions) -> bool {
        self.has_store && other.configuration_bytes > LARGEST_COPY_BYTES
    }

    /// Returns whether this VM reads the lists in the store: for its data centre, or
    /// since the head cannot.
    pub fn reads_for_centre(&self, now: Instant) -> bool {
        self.table.holder == self.own_name()
            || self.circle.is_first_of_centre(now)
            || !self.has_reading_head(now)
    }

    /// Returns whether the head of this data centre is heard and has the store.
    fn has_reading_head(&self, now: Instant) -> bool {
        let head = self.circle.own_head(now);
        let record = head.and_then(|head| self.peers.get(head));
        record.is_some_and(|record| record.is_live(now) && record.beat.has_store)
    }

    /// Returns whether VMs of this data centre rely on this one to confirm the table.
    pub fn confirms_for_others(&self, now: Instant) -> bool {
        !self.circle.is_full_exchange() && self.circle.is_head(now)
    }

    /// Returns whether the head of this data centre reads from the store for this VM,
    /// which has had everything once.
    pub fn is_read_for(&self, now: Instant) -> bool {
        !self.circle.is_full_exchange()
            && !self.reads_for_centre(now)
            && self.versions.configuration > 0
            && self.versions.databases > 0
    }

    /// Returns whether another VM, which is heard, confirms leaders for this one.
    pub fn relies_on_head(&self, now: Instant) -> bool {
        let head = self.circle.own_head(now);
        let is_heard = head.is_some_and(|head| self.circle.is_heard(head, now));
        !self.circle.is_head(now) && is_heard
    }

    /// Returns whether every other VM knows of this one: those that are heard say so,
    /// or lists in which it is missing are no longer in use.
    pub fn is_known_everywhere(&self, now: Instant) -> bool {
        let is_listed = self.acts_from.is_some_and(|from| from <= now);
        self.is_known_to_all(now) && (self.circle.is_full_exchange() || is_listed)
    }

    /// Returns the leaders that this VM cannot use, with those that VMs of its data
    /// centre told it of where it is their head.
    pub fn known_suspicions(&self, now: Instant) -> Vec<beat::LeaderSuspicion> {
        let mut known = self.suspicions.own_suspicions(now);
        if !self.circle.is_full_exchange() && self.circle.is_head(now) {
            let near = self
                .live_peers(now)
                .filter(|(name, _)| self.is_in_group(name));
            let told = near.flat_map(|(_, record)| record.beat.suspicions.iter());
            for suspicion in told {
                if !known.contains(suspicion) {
                    known.push(suspicion.clone());
                }
            }
        }
        known
    }

    /// Returns the registered databases of a service.
    pub fn databases_of(&self, service: &name::ServiceName) -> Vec<database::DatabaseEntry> {
        let of_service = |entry: &&database::DatabaseEntry| entry.service == *service;
        self.databases.iter().filter(of_service).cloned().collect()
    }

    /// Returns the other VMs that were heard a moment ago.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&String, &PeerRecord)> {
        self.peers
            .iter()
            .filter(move |(name, record)| record.is_live(now) && self.members.contains_key(*name))
    }

    /// Returns whether this VM comes before all live ones of a kind.
    pub fn comes_first(&self, now: Instant, is_of_kind: impl Fn(&beat::FleetBeat) -> bool) -> bool {
        let own = circle::rank(self.own_name());
        let mut rivals = self
            .live_peers(now)
            .filter(|(_, record)| is_of_kind(&record.beat));
        rivals.all(|(name, _)| circle::rank(name) > own)
    }

    /// Returns what the VMs of a data centre have seen of the table, as this VM hears
    /// them all itself.
    pub fn centre_seen(&self, centre: &name::DataCentreName, now: Instant) -> beat::CentreSeen {
        let of_centre = |record: &MemberRecord| record.data_centre == *centre;
        let members = self.members.iter().filter(|(_, record)| of_centre(record));
        let names: Vec<&str> = members.map(|(name, _)| name.as_str()).collect();
        let seen = |name: &&str| {
            if *name == self.own_name() {
                return if self.claims > 0 {
                    0
                } else {
                    self.table.revision
                };
            }
            let record = self.peers.get(*name).filter(|record| record.is_live(now));
            let record = record.filter(|record| !record.beat.is_claiming);
            record.map_or(0, |record| record.beat.table_revision)
        };
        beat::CentreSeen {
            members: xxh3::xxh3_64(names.join("\0").as_bytes()),
            revision: names.iter().map(seen).min().unwrap_or(0),
        }
    }

    /// Returns whether every VM has seen the table as this one has it, by its own word
    /// or by that of its head, which must list the same VMs.
    pub fn have_all_seen_table(&self, now: Instant) -> bool {
        let revision = self.table.revision;
        let has_seen = |name: &String| {
            let record = self.peers.get(name).filter(|record| record.is_live(now));
            name == self.own_name()
                || record.is_some_and(|record| {
                    record.beat.table_revision >= revision && !record.beat.is_claiming
                })
        };
        let by_centre = |member: &MemberRecord| {
            let names = self.centre_seen(&member.data_centre, now).members;
            let heads = self.live_peers(now);
            let told = heads.filter_map(|(name, record)| {
                let head = self.members.get(name)?;
                (head.data_centre == member.data_centre).then_some(record.beat.centre_seen?)
            });
            let mut told = told;
            told.any(|seen| seen.members == names && seen.revision >= revision)
        };
        self.members
            .iter()
            .all(|(name, member)| has_seen(name) || by_centre(member))
    }

    /// Returns a workspace under whose name databases are asked; they want one.
    pub fn any_workspace(&self) -> Option<name::WorkspaceName> {
        self.configuration.decoded.workspaces.keys().min().cloned()
    }

    /// Notes that a leader was asked not before `asked`, led, and had a replica that
    /// was not held back.
    pub fn record_probed(
        &mut self,
        service: &name::ServiceName,
        leader: &name::DatabaseName,
        asked: Instant,
    ) {
        let known = self.probed.get(service);
        let is_older = known.is_some_and(|(known, at)| known == leader && *at >= asked);
        if !is_older {
            self.probed.insert(service.clone(), (leader.clone(), asked));
            self.publish();
        }
    }

    /// Returns the leaders that were asked a moment ago, for another VM.
    pub fn probed_for(&self, record: &PeerRecord, now: Instant) -> Vec<beat::ProbedLeader> {
        let is_fresh = |asked: Instant| now.saturating_duration_since(asked) < lease::PROBED_TERM;
        let tell = |(service, (database, asked)): (&name::ServiceName, &(_, Instant))| {
            let sequence = record.latest_before(*asked).filter(|_| is_fresh(*asked))?;
            Some(beat::ProbedLeader {
                service: service.clone(),
                database: Clone::clone(database),
                sequence,
            })
        };
        self.probed.iter().filter_map(tell).collect()
    }

    /// Returns until when a service's leader may be relied on.
    pub fn service_leased_until(&self, service: &name::ServiceName) -> Option<Instant> {
        self.leased_until(service, &self.leader_of(service)?)
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
            .max(probed.map(|(_, asked)| *asked + lease::PROBED_TERM))
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
            loan_wait: if self.has_owners() {
                ledger::OWNER_LOAN_WAIT
            } else {
                ledger::LOAN_WAIT
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

//! This VM's view of the fleet: configuration, databases, leaders, VMs and limits.

mod coordinators;
pub mod databases;
mod leases;
pub mod lost_logs;
pub mod places;
mod rate_owners;
pub mod rosters;
mod shares;
pub mod store_eras;
pub mod verdicts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_promotion::lease;
use bluebellferry_promotion::order;
use bluebellferry_promotion::roster;
use bluebellferry_routing::assessment;
use bluebellferry_runtime::clock;
use bluebellferry_shares::growth;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::limit;
use bluebellferry_types::name;
use bluebellferry_types::store_revision;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::control::allocation;
use crate::control::store_gate;
use crate::control::suspicion;
use crate::shared;

/// The maximum age of a leader's answer to another VM for callers of this VM to be told to try
/// another one: a heartbeat interval and the time between two statements.
const MAX_LEADER_ANSWER_AGE: Duration = Duration::from_millis(700);
/// The shortest interval between two snapshots because of heartbeats that bring no new tables:
/// they renew leases, which are valid many times as long.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// The transit time from which a heartbeat counts as late: longer than links delay
/// messages.
const MAX_PROMPT_TRANSIT: Duration = Duration::from_millis(500);
/// The number of heartbeats from a VM whose arrival is remembered: more than arrive while a
/// request to the store or to a leader is in progress.
const MAX_REMEMBERED_ARRIVALS: usize = 8;

/// A VM in the store's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The VM's address.
    pub address: IpAddr,
    /// The VM's data centre.
    pub data_centre: name::DataCentreName,
}

/// The latest information that was received from another VM.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// The VM's incarnation.
    pub incarnation: u64,
    /// The sequence number of the VM's latest heartbeat.
    pub sequence: u64,
    /// When the latest heartbeat arrived.
    pub received_at: Instant,
    /// The contents of the latest heartbeat.
    pub heartbeat: heartbeat::FleetHeartbeat,
    /// The demand of the VM's callers, from the latest heartbeat that contained it.
    pub demands: Vec<heartbeat::WorkspaceDemand>,
    /// The demand of the callers in the VM's data centre, from the latest heartbeat that
    /// contained it.
    pub centre_demand: Option<heartbeat::CentreDemand>,
    /// When this VM sent the latest one of its heartbeats that the other VM has answered.
    pub answered_sent: Option<Instant>,
    /// The transit time of the latest heartbeat.
    pub transit: HeartbeatTransit,
    /// The sequence numbers and arrival times of the latest heartbeats.
    arrivals: SmallVec<[(u64, Instant); MAX_REMEMBERED_ARRIVALS]>,
}

/// The time that a heartbeat spent in the network and in the receiver's socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatTransit {
    /// The time is not known, since the heartbeat answers none of the receiver's heartbeats.
    Unknown,
    /// The heartbeat arrived without a notable delay.
    Prompt,
    /// The heartbeat was delayed for longer than links delay messages.
    Late,
}

impl HeartbeatTransit {
    /// Returns the transit of a heartbeat that was composed at `composed_after` or later.
    pub fn classify(composed_after: Option<Instant>, now: Instant) -> Self {
        match composed_after {
            None => Self::Unknown,
            Some(composed_after)
                if now.saturating_duration_since(composed_after) < MAX_PROMPT_TRANSIT =>
            {
                Self::Prompt
            }
            Some(_) => Self::Late,
        }
    }
}

impl PeerRecord {
    /// Returns whether a heartbeat of the VM arrived within [`topology::HEARTBEAT_TIMEOUT`].
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < topology::HEARTBEAT_TIMEOUT
    }

    /// Returns whether the VM has answered a heartbeat that this VM sent within
    /// [`topology::HEARTBEAT_TIMEOUT`].
    pub fn is_answering(&self, now: Instant) -> bool {
        is_recent(self.answered_sent, now)
    }

    /// Returns the sequence number of the VM's latest heartbeat that arrived by an instant.
    pub fn latest_sequence_before(&self, instant: Instant) -> Option<u64> {
        let mut arrivals = self.arrivals.iter().rev();
        let found = arrivals.find(|(_, arrived)| *arrived <= instant);
        found.map(|(sequence, _)| *sequence)
    }
}

/// Returns whether a heartbeat was sent within [`topology::HEARTBEAT_TIMEOUT`].
fn is_recent(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_some_and(|sent| now.saturating_duration_since(sent) < topology::HEARTBEAT_TIMEOUT)
}

/// The configuration in use, with its text for other VMs.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationRecord {
    /// The configuration.
    pub decoded: Arc<configuration::Configuration>,
    /// The configuration's text as stored in the store.
    pub text: String,
}

/// The state of the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// The state that is shared with the traffic threads.
    pub shared: Arc<shared::EdgeShared>,
    /// The configuration in use.
    pub configuration: ConfigurationRecord,
    /// The registered databases.
    pub databases: Arc<Vec<database::DatabaseEntry>>,
    /// The data centres that are being evacuated, with the times when this VM learned of it.
    evacuations: Arc<BTreeMap<name::DataCentreName, Instant>>,
    /// The draining databases, with the times by which they must receive nothing more.
    drain_ends: Arc<BTreeMap<name::DatabaseName, Instant>>,
    /// Assesses databases from the observations of this data centre's VMs, if this VM is its
    /// coordinator.
    assessor: assessment::DatabaseAssessor,
    /// The verdicts on databases in use, and when they were received or computed.
    verdicts: verdicts::VerdictsInUse,
    /// The leadership table.
    pub leadership_table: leadership::LeadershipTable,
    /// The lease that limits how long the leadership table may be relied on.
    pub lease: lease::LeaseTracker,
    /// All VMs by name, this one included.
    pub members: BTreeMap<String, MemberRecord>,
    /// How often the list of VMs has changed.
    pub member_changes: u64,
    /// The VMs of this VM's group in the order of their names, this one included.
    group_names: Vec<String>,
    /// A digest of the names of each data centre's VMs.
    members_digests: BTreeMap<name::DataCentreName, u64>,
    /// The information received from other VMs, by name.
    pub peers: BTreeMap<String, PeerRecord>,
    /// The allocations to the VMs of this VM's group: the whole fleet, or this VM's data
    /// centre.
    pub allocation_table: heartbeat::AllocationTable,
    /// The allocations to the data centres, if the fleet is too large for a full mesh.
    pub centre_allocation_table: heartbeat::AllocationTable,
    /// This VM's allocation of fleet-wide limits once it has joined.
    own_allocation: shared::FleetAllocation,
    /// Who owns each fleet-wide rate; empty in a full mesh.
    rate_ownerships: BTreeMap<limit::LimitKey, rate_owners::RateOwnership>,
    /// The heartbeat topology.
    pub topology: topology::HeartbeatTopology,
    /// The versions of the objects that this VM has read from the store.
    pub versions: heartbeat::StoreVersions,
    /// The number of leader replacements that this VM is recording in the leadership table
    /// or carrying out.
    pub active_claims: u32,
    /// The signs of failed leaders, from callers' statements.
    pub suspicions: suspicion::SuspicionTracker,
    /// The requests for rate tokens that this VM has sent to other VMs.
    pub token_requests: lending::TokenRequestTracker<String>,
    /// Notified to send heartbeats without waiting for the interval, when other VMs should
    /// learn of a change at once.
    pub heartbeat_trigger: Arc<Notify>,
    /// The demand of this VM's own callers at the last round of heartbeats.
    pub local_demand: allocation::LocalDemand,
    /// Limits the calls to the store while it does not answer.
    pub store_gate: store_gate::StoreGate,
    /// The latest known era of the store.
    store_era: store_eras::EraInUse,
    /// Whether this VM's entry in the store may be lost.
    pub must_register: bool,
    /// Whether another VM has read the store for this VM's data centre.
    has_had_reader: bool,
    /// Since when no VM is known to read the store for this data centre any more.
    unread_since: Option<Instant>,
    /// Whether the store answered the last request for anything but the configuration.
    pub is_store_reachable: bool,
    /// Whether the store answered the last request for the configuration; true before the first.
    pub is_configuration_readable: bool,
    /// Whether this VM may use its allocation of fleet-wide limits.
    pub has_joined: bool,
    /// The time from which every list of VMs that is in use contains this VM.
    pub listed_everywhere_from: Option<Instant>,
    /// Notified to read the list of VMs from the store at once.
    pub member_list_trigger: Arc<Notify>,
    /// Notified to read the configuration from the store at once.
    pub configuration_read_trigger: Arc<Notify>,
    /// By service: the leader that was found leading by the latest successful probe, and when
    /// that probe was sent.
    leader_probes: BTreeMap<name::ServiceName, (name::DatabaseName, Instant)>,
    /// The acknowledgement of its data centre that this VM last announced as coordinator.
    sent_acknowledgement: Option<heartbeat::CentreAcknowledgement>,
    /// The databases that may have acknowledged commits, by service.
    rosters: BTreeMap<name::ServiceName, roster::DatabaseRoster>,
    /// Whether this process has taken note of the rosters in a complete leadership table.
    has_observed_rosters: bool,
    /// Whether the leadership table in use was read from the store: copies from other VMs lack the
    /// orders to promote a database and the rosters.
    pub has_complete_table: bool,
    /// When this VM learned of the present leader of each service from the leadership table.
    leaders_since: BTreeMap<name::ServiceName, Instant>,
    /// When this VM first learned which databases are registered; `None` before.
    databases_known_since: Option<Instant>,
    /// The latest replacement report of each other VM, with the incarnation of the VM and when the
    /// report arrived.
    replacement_reports: BTreeMap<String, (u64, heartbeat::ReplacementReport, Instant)>,
    /// The latest orders to promote a database, by service.
    order_watches: BTreeMap<name::ServiceName, order::OrderWatch>,
    /// Whether this VM is fetching store objects from another VM.
    pub is_fetching_store_copies: bool,
    /// When this VM received the allocations of its group.
    allocations_since: Instant,
    /// When the allocations of this VM's group were announced, at the latest.
    allocations_announced: Instant,
    /// When the allocations of the data centres were announced, at the latest.
    centre_allocations_announced: Instant,
    /// Whether allocations of the data centres were received since heartbeats were sent to other
    /// data centres.
    has_centre_news: bool,
    /// Whether this process has put shares of rates into use that have owners.
    has_started_shares: bool,
    /// When this VM may use the larger shares of the latest allocations of its group.
    growth_gate: growth::GrowthGate,
    /// Whether this data centre's coordinator is cut off from most data centres, so that it
    /// may not have learned that the data centre's allocation was reduced.
    pub is_isolated: bool,
    /// When this VM became the allocator of its group, if it is.
    allocator_since: Option<Instant>,
    /// Whether this VM is cut off from most of its group, so that it may not have learned that
    /// its allocation was reduced.
    pub is_in_minority: bool,
    /// The coordinator that this VM last followed, and when it last told that one so.
    followed: Option<(String, Instant)>,
    /// When this VM sent the latest heartbeat that a coordinator of its group with a majority has
    /// answered.
    majority_answered: Option<Instant>,
    /// When this VM sent the latest heartbeat that a coordinator of its data centre has answered
    /// while most data centres answered that coordinator.
    connection_answered: Option<Instant>,
    /// Since when this VM has been cut off from most of its group after it had been connected.
    pub(super) cut_off_since: Option<Instant>,
    /// Whether this VM has been connected to the majority of its group, and its data centre to
    /// most others, since it started.
    has_been_connected: bool,
    published_snapshot: shared::EdgeSnapshot,
    /// When a snapshot was last published because of a heartbeat.
    published_for_heartbeat: Option<Instant>,
}

impl ControlState {
    /// Creates a state without any information.
    pub fn new(shared: Arc<shared::EdgeShared>) -> Self {
        let settings = &shared.settings;
        let topology = topology::HeartbeatTopology::new(&settings.vm, settings.data_centre.clone());
        Self {
            shared,
            topology,
            configuration: ConfigurationRecord::default(),
            databases: Arc::default(),
            evacuations: Arc::default(),
            drain_ends: Arc::default(),
            assessor: assessment::DatabaseAssessor::default(),
            verdicts: verdicts::VerdictsInUse::default(),
            leadership_table: leadership::LeadershipTable::default(),
            lease: lease::LeaseTracker::default(),
            members: BTreeMap::new(),
            member_changes: 0,
            group_names: Vec::new(),
            members_digests: BTreeMap::new(),
            peers: BTreeMap::new(),
            allocation_table: heartbeat::AllocationTable::default(),
            centre_allocation_table: heartbeat::AllocationTable::default(),
            own_allocation: shared::FleetAllocation::default(),
            rate_ownerships: BTreeMap::new(),
            versions: heartbeat::StoreVersions::default(),
            active_claims: 0,
            suspicions: suspicion::SuspicionTracker::default(),
            token_requests: lending::TokenRequestTracker::default(),
            local_demand: allocation::LocalDemand::default(),
            store_gate: store_gate::StoreGate::default(),
            store_era: store_eras::EraInUse::default(),
            must_register: false,
            has_had_reader: false,
            unread_since: None,
            is_store_reachable: false,
            is_configuration_readable: true,
            has_joined: false,
            listed_everywhere_from: None,
            member_list_trigger: Arc::new(Notify::new()),
            configuration_read_trigger: Arc::new(Notify::new()),
            heartbeat_trigger: Arc::new(Notify::new()),
            leader_probes: BTreeMap::new(),
            sent_acknowledgement: None,
            rosters: BTreeMap::new(),
            has_observed_rosters: false,
            has_complete_table: false,
            leaders_since: BTreeMap::new(),
            databases_known_since: None,
            replacement_reports: BTreeMap::new(),
            order_watches: BTreeMap::new(),
            is_fetching_store_copies: false,
            allocations_since: clock::now(),
            allocations_announced: clock::now(),
            centre_allocations_announced: clock::now(),
            has_centre_news: false,
            has_started_shares: false,
            growth_gate: growth::GrowthGate::default(),
            is_isolated: false,
            allocator_since: None,
            is_in_minority: false,
            followed: None,
            majority_answered: None,
            connection_answered: None,
            cut_off_since: None,
            has_been_connected: false,
            published_snapshot: shared::EdgeSnapshot::default(),
            published_for_heartbeat: None,
        }
    }

    /// Returns this VM's name.
    pub fn own_name(&self) -> &str {
        &self.shared.settings.vm
    }

    /// Puts a configuration into use unless a newer one is in use. `source` names where the
    /// configuration came from.
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
            source = source, routes = decoded.routes.len() as u64,
            skipped_entries = decoded.skipped_entries as u64;
            "a new configuration is in use"
        );
        self.log_rates(&decoded);
        let decoded = Arc::new(decoded);
        self.versions.configuration = decoded.version;
        self.versions.configuration_bytes = text.len() as u32;
        self.configuration = ConfigurationRecord { decoded, text };
        self.apply_shares();
        self.publish_snapshot();
        self.heartbeat_trigger.notify_one();
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
                    "a workspace's rate limit has changed"
                );
            }
        }
    }

    /// Puts a leadership table into use unless a newer one is in use, or the table was written in
    /// an earlier era of the store.
    pub fn apply_leadership_table(&mut self, table: &leadership::LeadershipTable) {
        self.apply_table(table, true);
    }

    /// Puts a leadership table into use as [`Self::apply_leadership_table`] does. `is_complete` tells
    /// whether it was read from the store, not copied from another VM.
    fn apply_table(&mut self, table: &leadership::LeadershipTable, is_complete: bool) {
        if table.revision > 0 {
            let revision = store_revision::StoreRevision::from_packed(table.revision);
            self.observe_store_era(Some(revision.era()), clock::now());
        }
        if !table.is_of_era(self.store_era()) {
            return;
        }
        self.lease.record_revision(table.revision);
        if is_complete && table.revision == self.leadership_table.revision {
            self.complete_leadership_table(table);
        }
        if table.revision <= self.leadership_table.revision {
            return;
        }
        log::info!(
            revision = table.revision, holder = table.holder.as_str(), token = table.token;
            "a new leadership table is in use"
        );
        for (service, entry) in &table.leaders {
            if self.leadership_table.leaders.get(service) != Some(entry) {
                let phase = format!("{:?}", entry.phase);
                log::info!(
                    service = service.as_str(), database = entry.database.as_str(),
                    phase = phase.as_str();
                    "a service's entry in the leadership table has changed"
                );
            }
        }
        self.record_new_leaders(table, clock::now());
        self.leadership_table = table.clone();
        self.has_complete_table = is_complete;
        self.observe_orders(clock::now());
        self.observe_rosters(clock::now());
        self.publish_snapshot();
        self.heartbeat_trigger.notify_one();
    }

    /// Puts a list of VMs into use that the store had at `revision` and that was
    /// requested at `requested_at`.
    pub fn apply_members(
        &mut self,
        mut members: BTreeMap<String, MemberRecord>,
        revision: u64,
        requested_at: Instant,
    ) {
        let now = clock::now();
        if self.may_lack_members(now) {
            // The copy from which the store came back may be older than the entries of these VMs.
            let live = self.live_peers(now).map(|(name, _)| name.clone());
            let live: Vec<String> = live.collect();
            for name in live {
                if let Some(record) = self.members.get(&name) {
                    members.entry(name).or_insert_with(|| record.clone());
                }
            }
        }
        let own_name = self.own_name().to_owned();
        let others = members.keys().filter(|name| **name != own_name).cloned();
        self.lease.record_members(requested_at, others.collect());
        if self.members != members {
            log::info!(members = members.len() as u64; "the list of VMs has changed");
            let data_centres = members.iter();
            let data_centres =
                data_centres.map(|(name, record)| (name.as_str(), &record.data_centre));
            self.topology.apply_members(data_centres);
            self.members = members;
            self.member_changes += 1;
            self.update_members_digests();
            self.group_names = self
                .members
                .iter()
                .filter(|(_, record)| self.topology.is_in_group(&record.data_centre))
                .map(|(name, _)| name.clone())
                .collect();
            self.versions.members = revision;
            self.heartbeat_trigger.notify_one();
            self.apply_shares();
            self.publish_snapshot();
        }
    }

    /// Records a heartbeat of another VM. `answered_sent` tells when this VM sent the heartbeat
    /// that it answers.
    pub fn record_peer_heartbeat(
        &mut self,
        (incarnation, sequence): (u64, u64),
        heartbeat: heartbeat::FleetHeartbeat,
        answered_sent: Option<Instant>,
        now: Instant,
    ) {
        let composed_after = answered_sent.map(|sent| sent + heartbeat.echo_delay());
        let transit = HeartbeatTransit::classify(composed_after, now);
        self.log_transit(&heartbeat, composed_after, transit, now);
        let previous = self.peers.remove(&heartbeat.vm);
        let previous = previous.filter(|previous| previous.incarnation == incarnation);
        let previous_sent = previous
            .as_ref()
            .and_then(|previous| previous.answered_sent);
        let (demands, centre_demand, mut arrivals) = match previous {
            Some(previous) => (previous.demands, previous.centre_demand, previous.arrivals),
            None => Default::default(),
        };
        if arrivals.len() == MAX_REMEMBERED_ARRIVALS {
            arrivals.remove(0);
        }
        arrivals.push((sequence, now));
        let record = PeerRecord {
            incarnation,
            sequence,
            received_at: now,
            demands: heartbeat.demands.clone().unwrap_or(demands),
            centre_demand: heartbeat.centre_demand.clone().or(centre_demand),
            answered_sent: previous_sent.max(answered_sent),
            transit,
            arrivals,
            heartbeat,
        };
        self.record_majority_answer(&record.heartbeat, answered_sent);
        let vm = record.heartbeat.vm.clone();
        // Only VMs that rank before this one read the store for it. A coordinator must not look
        // through all VMs of its data centre at each heartbeat.
        let ranks_before = topology::rank(&vm) < topology::rank(self.own_name());
        self.peers.insert(vm, record);
        if ranks_before {
            self.update_unread_time(now);
        }
        self.grow_shares(now);
        // A VM that replaces a leader waits for this acknowledgement.
        let acknowledgement = self.own_centre_acknowledgement(now);
        if acknowledgement != self.sent_acknowledgement {
            self.sent_acknowledgement = acknowledgement;
            self.heartbeat_trigger.notify_one();
        }
    }

    /// Logs when a VM's heartbeats begin to arrive late or are prompt again.
    fn log_transit(
        &self,
        heartbeat: &heartbeat::FleetHeartbeat,
        composed_after: Option<Instant>,
        transit: HeartbeatTransit,
        now: Instant,
    ) {
        let previous = self.peers.get(&heartbeat.vm).map(|record| record.transit);
        if previous == Some(transit) || (previous.is_none() && transit == HeartbeatTransit::Prompt)
        {
            return;
        }
        let transit = format!("{transit:?}");
        let max_ms = composed_after.map_or(0, |composed_after| {
            now.saturating_duration_since(composed_after).as_millis() as u64
        });
        log::info!(
            vm = heartbeat.vm.as_str(), transit = transit.as_str(), at_most_ms = max_ms,
            positions = heartbeat.positions.len() as u64;
            "the transit time of a VM's heartbeats has changed"
        );
    }

    /// Returns the other VMs of the fleet that are live.
    pub fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&String, &PeerRecord)> {
        self.peers
            .iter()
            .filter(move |(name, record)| record.is_live(now) && self.members.contains_key(*name))
    }

    /// Returns a workspace to name in this VM's own requests to databases, which require one.
    pub fn any_workspace(&self) -> Option<name::WorkspaceName> {
        self.configuration.decoded.workspaces.keys().min().cloned()
    }

    /// Returns the services whose callers should try another VM if this one cannot use the
    /// leader.
    fn served_elsewhere(&self, now: Instant) -> BTreeSet<name::ServiceName> {
        let services = self.configuration.decoded.services.keys();
        let fresh_positions = self.live_peers(now).flat_map(|(_, record)| {
            let since_heartbeat = now.saturating_duration_since(record.received_at);
            let is_fresh = move |sample: &&heartbeat::PositionSample| {
                let age = Duration::from_millis(u64::from(sample.age_ms)) + since_heartbeat;
                age < MAX_LEADER_ANSWER_AGE
            };
            record.heartbeat.positions.iter().filter(is_fresh)
        });
        let used_by_others: BTreeSet<&name::ServiceName> =
            fresh_positions.map(|sample| &sample.service).collect();
        let has_no_peers = self.members.len() > 1 && self.live_peers(now).next().is_none();
        let is_cut_off = has_no_peers && !self.is_store_reachable;
        let is_served =
            |service: &&name::ServiceName| is_cut_off || used_by_others.contains(service);
        services.filter(is_served).cloned().collect()
    }

    /// Returns whether a service's leader answered another VM within `max_age`.
    pub fn is_used_by_others(
        &self,
        service: &name::ServiceName,
        max_age: Duration,
        now: Instant,
    ) -> bool {
        let is_fresh = |record: &PeerRecord| {
            let since_heartbeat = now.saturating_duration_since(record.received_at);
            record.heartbeat.positions.iter().any(|sample| {
                let age = Duration::from_millis(u64::from(sample.age_ms)) + since_heartbeat;
                sample.service == *service && age < max_age
            })
        };
        self.live_peers(now).any(|(_, record)| is_fresh(record))
    }

    /// Publishes a snapshot because of a heartbeat, unless the last such one was published within
    /// [`MIN_PUBLISH_INTERVAL`]. A coordinator receives heartbeats from all VMs of its data centre.
    pub fn publish_snapshot_if_due(&mut self, now: Instant) {
        let is_recent = |published_at: Instant| {
            now.saturating_duration_since(published_at) < MIN_PUBLISH_INTERVAL
        };
        if !self.published_for_heartbeat.is_some_and(is_recent) {
            self.published_for_heartbeat = Some(now);
            self.publish_snapshot();
        }
    }

    /// Publishes a snapshot of this state to the traffic threads.
    pub fn publish_snapshot(&mut self) {
        let primaries = self.sole_primaries();
        let mut leaders = BTreeMap::new();
        let mut leases = BTreeMap::new();
        for service in self.configuration.decoded.services.keys() {
            let registered = || primaries.get(service).cloned().flatten();
            let leader = self.leader_in_table(service).or_else(registered);
            let known = || self.published_snapshot.leaders.get(service).cloned();
            if let Some(leader) = leader.or_else(known) {
                let until = self.leased_until(service, &leader);
                leases.extend(until.map(|until| (service.clone(), until)));
                leaders.insert(service.clone(), leader);
            }
        }
        let next = shared::EdgeSnapshot {
            configuration: Arc::clone(&self.configuration.decoded),
            databases: Arc::clone(&self.databases),
            cut_off_since: self.cut_off_since,
            verdicts: self.verdicts.current(clock::now()),
            evacuations: Arc::clone(&self.evacuations),
            drain_ends: Arc::clone(&self.drain_ends),
            awaits_evacuations: !self.has_evacuations(),
            leaders: Arc::new(leaders),
            leases,
            served_elsewhere: Arc::new(self.served_elsewhere(clock::now())),
            allocation: self.own_allocation(),
            loan_timeout: if self.has_owners() {
                limiter::MAX_OWNER_LOAN_WAIT
            } else {
                limiter::MAX_LOAN_WAIT
            },
        };
        let now = clock::now();
        let previous = &self.published_snapshot;
        let count_leased = |snapshot: &shared::EdgeSnapshot| {
            let leases = snapshot.leases.values();
            leases.filter(|until| **until > now).count()
        };
        let (leased_next, leased_previous) = (count_leased(&next), count_leased(previous));
        if leased_next != leased_previous {
            log::info!(
                leaders = leased_next as u64, before = leased_previous as u64;
                "the number of leaders with a valid lease has changed"
            );
        }
        let has_relevant_change = leased_next > leased_previous
            || !Arc::ptr_eq(&next.configuration, &previous.configuration)
            || !Arc::ptr_eq(&next.databases, &previous.databases)
            || !Arc::ptr_eq(&next.evacuations, &previous.evacuations)
            || next.awaits_evacuations != previous.awaits_evacuations
            || next.leaders != previous.leaders
            || next.allocation != previous.allocation;
        self.published_snapshot = next.clone();
        self.shared.replace_snapshot(next, has_relevant_change);
    }
}

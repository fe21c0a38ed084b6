//! Decisions of VMs in a fleet of 195 VMs with 140 workspaces, tested without sockets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::homes;
use bluebellferry_edge::control::allocation;
use bluebellferry_edge::control::heartbeats;
use bluebellferry_edge::control::peers;
use bluebellferry_edge::control::state;
use bluebellferry_edge::control::tokens;
use bluebellferry_edge::shared;
use bluebellferry_membership::envelope;
use bluebellferry_membership::heartbeat;
use bluebellferry_membership::message;
use bluebellferry_membership::topology;
use bluebellferry_runtime::clock;
use bluebellferry_shares::limiter;
use bluebellferry_shares::ownership;
use bluebellferry_shares::ownership::numbering;
use bluebellferry_types::limit;
use bluebellferry_types::name;

#[path = "fixtures/settings.rs"]
mod fixtures;

const VMS: usize = 195;
const CENTRES: usize = 6;
const WORKSPACES: usize = 140;
/// The largest datagram that needs no fragments on most networks.
const MAX_UNFRAGMENTED_BYTES: usize = 1_472;

fn centre(index: usize) -> name::DataCentreName {
    let text = format!("dc-{}", index % CENTRES);
    name::DataCentreName::try_from(text.as_str()).expect("a valid name")
}

fn workspace(index: usize) -> name::WorkspaceName {
    name::WorkspaceName::try_from(format!("workspace-{index}").as_str()).expect("a valid name")
}

fn vm(index: usize) -> String {
    format!("edge-centre-{}-{index}", index % CENTRES)
}

fn members() -> BTreeMap<String, state::MemberRecord> {
    let record = |index: usize| state::MemberRecord {
        address: IpAddr::V4(Ipv4Addr::new(127, 0, 0, index as u8 + 1)),
        data_centre: centre(index),
    };
    (0..VMS).map(|index| (vm(index), record(index))).collect()
}

fn limit_key(index: usize) -> limit::LimitKey {
    limit::LimitKey::Workspace(workspace(index))
}

/// Returns a configuration in which most workspaces are small and a few are large.
fn configuration(workspaces: usize) -> configuration::Configuration {
    let policy = |index: usize| {
        let rate_per_second = if index.is_multiple_of(20) {
            120.0
        } else {
            10.0
        };
        configuration::WorkspacePolicy {
            rate_per_second,
            burst: rate_per_second,
            homes: homes::HomeRegions::Anywhere,
        }
    };
    configuration::Configuration {
        version: 1,
        workspaces: (0..workspaces)
            .map(|index| (workspace(index), policy(index)))
            .collect(),
        ..configuration::Configuration::default()
    }
}

fn control(index: usize, workspaces: usize, now: Instant) -> state::ControlState {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = fixtures::settings(&vm(index), centre(index), address);
    let (shared, _) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    control.apply_members(members(), 5, now);
    control.apply_configuration(configuration(workspaces), String::new(), "test");
    control.join_group("test");
    control
}

fn ranked_vms(centre_index: usize) -> Vec<usize> {
    let mut in_centre: Vec<usize> = (0..VMS)
        .filter(|index| index % CENTRES == centre_index)
        .collect();
    in_centre.sort_by_key(|index| topology::rank(&vm(*index)).0);
    in_centre
}

/// Returns the first coordinator, which allocates limits to the data centres.
fn first_coordinator() -> usize {
    let coordinators = (0..CENTRES).map(|centre| ranked_vms(centre)[0]);
    let first = coordinators.min_by_key(|index| topology::rank(&vm(*index)).0);
    first.expect("a coordinator")
}

fn receive(control: &mut state::ControlState, index: usize, is_coordinator: bool, now: Instant) {
    let heartbeat = heartbeat::FleetHeartbeat {
        vm: vm(index),
        is_coordinator,
        has_group_majority: is_coordinator,
        is_follower: true,
        ..heartbeat::FleetHeartbeat::default()
    };
    control
        .topology
        .record_heartbeat_from(&heartbeat.vm, true, false, now);
    control.record_peer_heartbeat((1, 1), heartbeat, Some(now), now);
}

const NO_DEMAND: allocation::LocalDemand = allocation::LocalDemand {
    operations_per_second: 0.0,
    demands: Vec::new(),
};

/// Returns the state of a coordinator that has heard from all VMs of its data centre and from all
/// other coordinators, and has allocated the limits.
fn coordinator_control(
    centre_index: usize,
    workspaces: usize,
    now: Instant,
) -> state::ControlState {
    let ranked = ranked_vms(centre_index);
    let mut control = control(ranked[0], workspaces, now);
    for index in &ranked[1..] {
        receive(&mut control, *index, false, now);
    }
    for other in (0..CENTRES).filter(|other| *other != centre_index) {
        receive(&mut control, ranked_vms(other)[0], true, now);
    }
    control.update_group_status(now);
    allocation::update_allocations(&mut control, &NO_DEMAND, now);
    control
}

/// Returns the tables of the data centres and of each group.
fn tables(
    workspaces: usize,
    now: Instant,
) -> (heartbeat::AllocationTable, Vec<heartbeat::AllocationTable>) {
    let first = coordinator_control(first_coordinator() % CENTRES, workspaces, now);
    let groups = (0..CENTRES).map(|centre| coordinator_control(centre, workspaces, now));
    (
        first.centre_allocation_table,
        groups.map(|control| control.allocation_table).collect(),
    )
}

// Guards against a fleet that refuses nearly everything because each VM has 1/195 of a rate, which
// never adds up to a token, and nobody lends: the owners of rates were left out where workspaces
// times VMs exceeded the size of a table.
#[test]
fn each_rate_has_a_few_owners_that_use_all_of_it() {
    let now = clock::now();
    let (centre_table, group_tables) = tables(WORKSPACES, now);
    let mut totals = vec![0.0; WORKSPACES];
    let mut owner_counts = vec![0; WORKSPACES];
    for index in 0..VMS {
        let coordinator = ranked_vms(index % CENTRES)[0];
        let mut control = if index == coordinator {
            coordinator_control(index % CENTRES, WORKSPACES, now)
        } else {
            control(index, WORKSPACES, now)
        };
        if index != coordinator {
            receive(&mut control, coordinator, true, now);
        }
        control.apply_centre_allocations(&centre_table, Duration::ZERO);
        control.apply_allocations(&group_tables[index % CENTRES], Duration::ZERO);
        control.update_group_status(now);
        for number in 0..WORKSPACES {
            totals[number] += control.own_rate_allocation(&limit_key(number));
            owner_counts[number] += usize::from(control.owns(&limit_key(number)));
        }
    }
    for (number, total) in totals.iter().enumerate() {
        assert!((total - 1.0).abs() < 1e-6, "workspace {number}: {total}");
        // A few VMs of a few data centres, or of all for a large workspace.
        let most = if number.is_multiple_of(20) { 18 } else { 9 };
        let count = owner_counts[number];
        assert!(
            (1..=most).contains(&count),
            "workspace {number}: {count} owners"
        );
    }
}

#[test]
fn a_vm_knows_whom_to_ask_for_each_rate() {
    let now = clock::now();
    let (centre_table, group_tables) = tables(WORKSPACES, now);
    let mut control = control(ranked_vms(0)[7], WORKSPACES, now);
    control.apply_centre_allocations(&centre_table, Duration::ZERO);
    control.apply_allocations(&group_tables[0], Duration::ZERO);
    for number in 0..WORKSPACES {
        let workspace = limit_key(number);
        let has_owner = control.owns(&workspace) || !control.owners_of(&workspace).is_empty();
        let owning_centres = control.owning_centres(&workspace);
        assert!(
            (1..=CENTRES).contains(&owning_centres.len()),
            "{workspace:?}"
        );
        let is_owned_here = owning_centres.contains(&centre(0).to_string());
        assert_eq!(control.is_owned_in_own_centre(&workspace), is_owned_here);
        assert!(has_owner || !is_owned_here, "{workspace:?}");
    }
}

// Guards against refusals while a coordinator's link is busy: each token request between data
// centres went through two coordinators.
#[test]
fn a_token_request_between_data_centres_goes_to_an_owner_at_once() {
    let now = clock::now();
    let (centre_table, group_tables) = tables(WORKSPACES, now);
    let with_tables = |index: usize| {
        let mut control = control(index, WORKSPACES, now);
        control.apply_centre_allocations(&centre_table, Duration::ZERO);
        control.apply_allocations(&group_tables[index % CENTRES], Duration::ZERO);
        control
    };
    let borrower = with_tables(ranked_vms(0)[7]);
    let mut owners: BTreeMap<String, state::ControlState> = BTreeMap::new();
    for number in 0..WORKSPACES {
        for turn in 0..6 {
            let request = tokens::OwnerTokenRequest {
                borrower: borrower.own_name().to_owned(),
                key: limit_key(number),
                wanted: limiter::WantedTokens::default(),
                number: turn,
                hops: 3,
            };
            let Some(owner) = tokens::probable_owner(&borrower, &request) else {
                assert!(borrower.is_owned_in_own_centre(&request.key));
                continue;
            };
            let index = (0..VMS)
                .find(|index| vm(*index) == owner)
                .expect("a listed VM");
            let owner = owners.entry(owner).or_insert_with(|| with_tables(index));
            assert!(owner.owns(&request.key), "{:?}", request.key);
        }
    }
    assert!(
        owners.len() > VMS / 4,
        "the requests are spread over VMs: {}",
        owners.len()
    );
}

// Guards against heartbeats of some 20 KB: the tables grew with workspaces times VMs.
#[test]
fn announced_allocations_do_not_grow_with_the_workspaces() {
    let now = clock::now();
    let size_with = |workspaces: usize| {
        let control = coordinator_control(0, workspaces, now);
        let heartbeat = heartbeat::FleetHeartbeat {
            allocation_table: Some(control.allocation_table),
            centre_allocation_table: Some(control.centre_allocation_table),
            ..heartbeat::FleetHeartbeat::default()
        };
        let message = message::PeerMessage::Beat(Box::new(heartbeat));
        let codec = envelope::EnvelopeCodec::new("edge", b"secret");
        codec.seal(1, 1, &message).len()
    };
    assert!(size_with(WORKSPACES) <= MAX_UNFRAGMENTED_BYTES);
    assert_eq!(size_with(WORKSPACES), size_with(1_000));
}

// Guards against calls to the store by all VMs of a data centre whose coordinator the store
// rejects, while it serves others.
#[test]
fn one_vm_reads_the_store_in_place_of_a_rejected_coordinator() {
    let ranked = ranked_vms(0);
    let versions = heartbeat::StoreVersions {
        configuration: 4,
        configuration_bytes: 900,
        databases: 4,
        members: 5,
        evacuations: 0,
    };
    let reads = |own: usize, rejected: usize, after: Duration| {
        let mut control = control(own, WORKSPACES, clock::now());
        let now = clock::now();
        control.versions = versions;
        // Each VM hears the first two by rank, and these hear all.
        let is_head = ranked[..2].contains(&own);
        let heard = if is_head { &ranked[..] } else { &ranked[..2] };
        for index in heard.iter().filter(|index| **index != own) {
            let position = ranked.iter().position(|other| other == index);
            let heartbeat = |is_store_reachable: bool| heartbeat::FleetHeartbeat {
                vm: vm(*index),
                is_coordinator: *index == ranked[0],
                is_store_reachable,
                versions,
                ..heartbeat::FleetHeartbeat::default()
            };
            control
                .topology
                .record_heartbeat_from(&vm(*index), true, false, now);
            // At first, the store rejects nobody.
            control.record_peer_heartbeat((1, 1), heartbeat(true), Some(now), now);
            let is_reachable = position >= Some(rejected);
            control.record_peer_heartbeat((1, 2), heartbeat(is_reachable), Some(now), now);
        }
        control.reads_store_lists(now + after)
    };
    let readers = |rejected: usize, after: Duration| -> Vec<usize> {
        let own = (0..ranked.len()).filter(|rank| reads(ranked[*rank], rejected, after));
        own.collect()
    };
    let later = Duration::from_millis(1_200);
    for after in [Duration::ZERO, later] {
        assert_eq!(readers(0, after), [0]);
        // The rejected coordinator goes on trying, and the next VM by rank replaces it.
        assert_eq!(readers(1, after), [0, 1]);
    }
    // Nobody is known to read for the others, which begin one after the other by rank.
    assert_eq!(readers(2, Duration::ZERO), [0, 1]);
    let begun = readers(2, later).len();
    assert!((10..25).contains(&begun), "{begun}");
}

// Guards against a data centre that registers after the first allocation and is allocated nothing.
#[test]
fn a_data_centre_that_registers_late_gets_its_part() {
    let start = clock::now();
    let first = first_coordinator();
    let late = (first + 1) % CENTRES;
    let mut early_members = members();
    early_members.retain(|_, record| record.data_centre != centre(late));
    let mut control = control(first, WORKSPACES, start);
    control.apply_members(early_members, 6, start);
    let others = || (0..CENTRES).filter(move |other| *other != first % CENTRES);
    for other in others().filter(|other| *other != late) {
        receive(&mut control, ranked_vms(other)[0], true, start);
    }
    control.update_group_status(start);
    allocation::update_allocations(&mut control, &NO_DEMAND, start);
    assert_eq!(control.centre_allocations(None).len(), CENTRES - 1);
    control.apply_members(members(), 7, start);
    let later = start + topology::HEARTBEAT_TIMEOUT * 2;
    for other in others() {
        receive_again(&mut control, ranked_vms(other)[0], later);
    }
    control.update_group_status(later);
    allocation::update_allocations(&mut control, &NO_DEMAND, later);
    let allocations = control.centre_allocations(None);
    let total: f64 = allocations.iter().map(|(_, fraction)| fraction).sum();
    assert!((total - 1.0).abs() < 1e-6, "{total}");
    let equal = 1.0 / CENTRES as f64;
    for (name, fraction) in allocations {
        assert!(fraction > equal / 2.0, "{name}: {fraction}");
    }
}

fn receive_again(control: &mut state::ControlState, index: usize, now: Instant) {
    let sequence = control
        .peers
        .get(&vm(index))
        .map_or(1, |record| record.sequence + 1);
    let heartbeat = heartbeat::FleetHeartbeat {
        vm: vm(index),
        is_coordinator: true,
        has_group_majority: true,
        allocation_number: control.allocation_table.number,
        centre_allocation_number: control.centre_allocation_table.number,
        ..heartbeat::FleetHeartbeat::default()
    };
    control
        .topology
        .record_heartbeat_from(&heartbeat.vm, true, false, now);
    control.record_peer_heartbeat((1, sequence), heartbeat, Some(now), now);
}

#[test]
fn a_coordinator_without_a_majority_announces_nothing() {
    let now = clock::now();
    let ranked = ranked_vms(0);
    let mut control = control(ranked[0], WORKSPACES, now);
    for index in &ranked[1..ranked.len() / 2 - 1] {
        receive(&mut control, *index, false, now);
    }
    control.update_group_status(now);
    allocation::update_allocations(&mut control, &NO_DEMAND, now);
    assert_eq!(control.allocation_table.number, 0);
    for index in &ranked[ranked.len() / 2 - 1..] {
        receive(&mut control, *index, false, now);
    }
    control.update_group_status(now);
    allocation::update_allocations(&mut control, &NO_DEMAND, now);
    assert!(numbering::is_first(control.allocation_table.number));
}

// Guards against a restarted coordinator whose table forgets what unresponsive VMs may still use.
#[test]
fn a_restarted_coordinator_first_adopts_the_table_that_other_vms_have() {
    let now = clock::now();
    let earlier = coordinator_control(0, WORKSPACES, now).allocation_table;
    let ranked = ranked_vms(0);
    let mut control = control(ranked[0], WORKSPACES, now);
    for index in &ranked[1..] {
        let heartbeat = heartbeat::FleetHeartbeat {
            vm: vm(*index),
            allocation_number: earlier.number,
            is_follower: true,
            ..heartbeat::FleetHeartbeat::default()
        };
        control
            .topology
            .record_heartbeat_from(&heartbeat.vm, true, false, now);
        control.record_peer_heartbeat((1, 1), heartbeat, Some(now), now);
    }
    control.update_group_status(now);
    allocation::update_allocations(&mut control, &NO_DEMAND, now);
    assert_eq!(control.allocation_table.number, 0);
    control.apply_allocations(&earlier, Duration::ZERO);
    allocation::update_allocations(&mut control, &NO_DEMAND, now);
    assert_eq!(control.allocation_table, earlier);
}

/// A VM that has regained the majority after it was cut off, and a rate that it owned before.
struct RegainedVm {
    control: state::ControlState,
    owned: limit::LimitKey,
}

impl RegainedVm {
    /// Returns the tokens of the owned rate that can be spent `after` a time.
    fn tokens_after(&self, after: Duration) -> f64 {
        run_for(&self.control, after);
        let share = self.control.shared.rate_limiter.find(self.owned.clone());
        let now = clock::now();
        share.expect("a known workspace").available_tokens(now)
    }
}

/// Waits as a process that is not suspended.
fn run_for(control: &state::ControlState, time: Duration) {
    let start = clock::now();
    while clock::now() < start + time {
        std::thread::sleep(Duration::from_millis(20));
        control.shared.rate_limiter.record_running(clock::now());
    }
}

/// Returns a VM that was cut off for long enough to notice, and then receives from its
/// coordinator what `announce` returns for the table in use and the VM's name.
fn regained_vm(
    announce: impl Fn(&heartbeat::AllocationTable, &str) -> Vec<heartbeat::AllocationTable>,
) -> RegainedVm {
    let start = clock::now();
    let (centre_table, group_tables) = tables(WORKSPACES, start);
    let coordinator = ranked_vms(0)[0];
    let own = ranked_vms(0)[7];
    let mut control = control(own, WORKSPACES, start);
    control.apply_centre_allocations(&centre_table, Duration::ZERO);
    control.apply_allocations(&group_tables[0], Duration::ZERO);
    receive(&mut control, coordinator, true, start);
    control.update_group_status(start);
    assert!(!control.is_in_minority);
    let owned = (0..WORKSPACES).map(limit_key);
    let owned = owned.max_by(|one, other| {
        let fraction_of = |workspace| control.own_rate_allocation(workspace);
        fraction_of(one).total_cmp(&fraction_of(other))
    });
    let owned = owned.expect("a workspace");
    assert!(control.owns(&owned));
    run_for(&control, topology::HEARTBEAT_TIMEOUT);
    let now = clock::now();
    control.update_group_status(now);
    assert!(control.is_in_minority);
    for table in announce(&group_tables[0], &vm(own)) {
        control.apply_allocations(&table, Duration::ZERO);
    }
    receive_again(&mut control, coordinator, now);
    control.update_group_status(now);
    assert!(!control.is_in_minority);
    RegainedVm { control, owned }
}

/// Returns the table after `table`, with another standing of one VM.
fn table_with_standing(
    table: &heartbeat::AllocationTable,
    vm: &str,
    standing: ownership::MemberStanding,
) -> heartbeat::AllocationTable {
    let mut next = table.clone();
    let allocator = numbering::ListAllocator {
        started_unix_ms: 0,
        tag: 0,
    };
    next.number = allocator.next_number(table.number);
    for allocation in &mut next.allocations {
        if allocation.vm == vm {
            allocation.standing = standing;
        }
    }
    next
}

// Guards against a VM that uses its allocation at once after it was cut off, while others still
// spend what they were given meanwhile.
#[test]
fn a_vm_that_regains_the_majority_waits_for_what_others_had_meanwhile() {
    let regained = regained_vm(|table, vm| {
        let excluded = ownership::MemberStanding::Excluded {
            since: 1,
            acknowledged: 1,
            until: 1,
            members: 33,
            has_fallen_back: true,
        };
        let without = table_with_standing(table, vm, excluded);
        let since = numbering::index_in_series(without.number) + 1;
        let counted = ownership::MemberStanding::Counted { since };
        let with = table_with_standing(&without, vm, counted);
        vec![without, with]
    });
    let waiting = regained.tokens_after(Duration::from_millis(400));
    assert!(waiting < 1.0, "{:?}: {waiting}", regained.owned);
    let in_force = allocation::OWNER_GROWTH_DELAY;
    let used = regained.tokens_after(in_force - Duration::from_millis(100));
    assert!(used >= 1.0, "{:?}: {used}", regained.owned);
}

// Guards against a second in which most callers are refused after most VMs restart at once: VMs
// whose allocations did not change waited until the others had reduced theirs.
#[test]
fn a_vm_that_regains_the_majority_uses_at_once_what_stayed_allocated_to_it() {
    let regained = regained_vm(|_, _| Vec::new());
    let used = regained.tokens_after(Duration::from_millis(400));
    assert!(used >= 1.0, "{:?}: {used}", regained.owned);
}

// Guards against a coordinator that vouches for the majority while a VM that answers it has later
// allocations, by which others use what the coordinator's table gives its VMs.
#[test]
fn a_coordinator_without_the_latest_allocations_has_no_majority() {
    let now = clock::now();
    let mut control = coordinator_control(0, WORKSPACES, now);
    assert!(control.has_group_majority(now));
    let own_number = control.allocation_table.number;
    for (number, has_majority) in [(own_number + 1, false), (own_number, true)] {
        let heartbeat = heartbeat::FleetHeartbeat {
            vm: vm(ranked_vms(0)[5]),
            allocation_number: number,
            is_follower: true,
            ..heartbeat::FleetHeartbeat::default()
        };
        control.record_peer_heartbeat((1, 2), heartbeat, Some(now), now);
        assert_eq!(control.has_group_majority(now), has_majority);
    }
}

// Guards against two coordinators on the sides of a cut that both announce a first table, since
// the VMs had sent heartbeats to both.
#[test]
fn vms_that_follow_another_coordinator_are_no_majority() {
    let now = clock::now();
    let ranked = ranked_vms(0);
    let mut control = control(ranked[1], WORKSPACES, now);
    for index in &ranked[2..] {
        let heartbeat = heartbeat::FleetHeartbeat {
            vm: vm(*index),
            ..heartbeat::FleetHeartbeat::default()
        };
        control.record_peer_heartbeat((1, 1), heartbeat, Some(now), now);
    }
    assert!(!control.has_group_majority(now));
    for index in &ranked[2..] {
        receive(&mut control, *index, false, now);
    }
    assert!(control.has_group_majority(now));
}

// Guards against VMs that shrink their shares for a second because a restarted coordinator has not
// heard from most VMs yet.
#[test]
fn a_restarted_coordinator_takes_the_majority_from_no_vm() {
    let start = clock::now();
    let coordinator = ranked_vms(0)[0];
    let mut control = control(ranked_vms(0)[7], WORKSPACES, start);
    receive(&mut control, coordinator, true, start);
    control.update_group_status(start);
    assert!(!control.is_in_minority && !control.is_isolated);
    let restarted = heartbeat::FleetHeartbeat {
        vm: vm(coordinator),
        is_coordinator: true,
        is_isolated: true,
        ..heartbeat::FleetHeartbeat::default()
    };
    let mut now = start;
    let step = Duration::from_millis(200);
    while now + step < start + topology::HEARTBEAT_TIMEOUT {
        now += step;
        control
            .topology
            .record_heartbeat_from(&restarted.vm, true, false, now);
        control.record_peer_heartbeat((2, 1), restarted.clone(), Some(now), now);
        control.update_group_status(now);
        assert!(!control.is_in_minority && !control.is_isolated);
    }
    control.update_group_status(start + topology::HEARTBEAT_TIMEOUT);
    assert!(control.is_in_minority && control.is_isolated);
}

// Guards against half a second after a start in which two VMs learn that they hear each other one
// heartbeat interval after the other.
#[test]
fn vms_that_meet_reply_to_each_other_at_once() {
    let now = clock::now();
    let (one, other) = (ranked_vms(0)[0], ranked_vms(0)[7]);
    let cell = |index: usize| Rc::new(RefCell::new(control(index, WORKSPACES, now)));
    let vms = [(one, cell(one)), (other, cell(other))];
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let compose = |sender: usize, to: usize| {
        let control = vms[sender].1.borrow();
        let common = heartbeats::common_heartbeat(&control, now);
        let target = topology::HeartbeatTarget {
            vm: vm(vms[to].0),
            expects_reply: true,
            is_in_own_centre: true,
        };
        heartbeats::heartbeat_for(&control, &common, &target, now)
    };
    // The first heartbeat, the reply to it and the reply to that one.
    let replies = [true, true, false];
    for (number, needs_reply) in replies.into_iter().enumerate() {
        let (sender, receiver) = (number % 2, (number + 1) % 2);
        let sequence = number as u64 + 1;
        let heartbeat = compose(sender, receiver);
        vms[sender]
            .1
            .borrow_mut()
            .lease
            .record_sent_heartbeat(sequence, now);
        let order = (1, sequence);
        let is_due = peers::handle_heartbeat(&vms[receiver].1, from, order, heartbeat, now);
        assert_eq!(is_due, needs_reply, "heartbeat {sequence}");
    }
    for (index, cell) in &vms {
        let control = cell.borrow();
        let mut peers = control.peers.values();
        assert!(peers.all(|record| record.is_answering(now)), "VM {index}");
    }
}

/// The heartbeats that each VM sends to its coordinator in a second.
const HEARTBEATS_PER_SECOND: u32 = 5;
/// The leaders that a heartbeat reports as probed.
const PROBED_LEADERS: usize = 100;
/// The most snapshots that a coordinator publishes in a second because of heartbeats, whatever the
/// numbers of VMs and services: one each 50 ms.
const MAX_SNAPSHOTS_PER_SECOND: u64 = 20;

// Guards against a coordinator that spends all its processor time on snapshots: each heartbeat
// published one for every probed leader, and each of them looked through all databases and VMs.
#[test]
fn snapshots_of_a_coordinator_do_not_grow_with_vms_and_services() {
    let start = clock::now();
    let ranked = ranked_vms(0);
    let cell = RefCell::new(control(ranked[0], WORKSPACES, start));
    let cell = Rc::new(cell);
    let shared = Arc::clone(&cell.borrow().shared);
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let probed = |index: usize| heartbeat::ProbedLeader {
        service: name::ServiceName::try_from(format!("s{index}").as_str()).expect("a valid name"),
        database: name::DatabaseName::try_from(format!("d{index}").as_str()).expect("a valid name"),
        sequence: 1,
    };
    let probed: Vec<_> = (0..PROBED_LEADERS).map(probed).collect();
    let incarnation = shared.incarnation;
    cell.borrow_mut().lease.record_sent_heartbeat(1, start);
    let published = || {
        shared
            .fleet_status
            .published_snapshots
            .load(Ordering::Relaxed)
    };
    let mut published_at_start = 0;
    for round in 0..=HEARTBEATS_PER_SECOND {
        if round == 1 {
            // Each VM's first heartbeat is published at once.
            published_at_start = published();
        }
        let vms = &ranked[1..];
        for (position, index) in vms.iter().enumerate() {
            let since_start = f64::from(round) + position as f64 / vms.len() as f64;
            let now =
                start + Duration::from_secs_f64(since_start / f64::from(HEARTBEATS_PER_SECOND));
            let heartbeat = heartbeat::FleetHeartbeat {
                vm: vm(*index),
                echo: Some(heartbeat::HeartbeatEcho {
                    incarnation,
                    sequence: 1,
                    delay_ms: 0,
                    confirmed: None,
                }),
                probed: probed.clone(),
                ..heartbeat::FleetHeartbeat::default()
            };
            peers::handle_heartbeat(&cell, from, (1, u64::from(round) + 1), heartbeat, now);
        }
    }
    let in_a_second = published() - published_at_start;
    assert!(
        in_a_second <= MAX_SNAPSHOTS_PER_SECOND,
        "{in_a_second} snapshots"
    );
}

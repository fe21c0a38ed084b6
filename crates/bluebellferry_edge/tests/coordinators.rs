//! Decisions of VMs in fleets whose data centres have coordinators, tested without sockets.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::homes;
use bluebellferry_edge::control::allocation;
use bluebellferry_edge::control::allocation::table;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_membership::heartbeat;
use bluebellferry_membership::topology;
use bluebellferry_runtime::clock;
use bluebellferry_shares::ownership;
use bluebellferry_shares::ownership::numbering;
use bluebellferry_types::name;

#[path = "fixtures/settings.rs"]
mod fixtures;

const CENTRES: usize = 3;
const VMS: usize = 24;

fn centre(index: usize) -> name::DataCentreName {
    name::DataCentreName::try_from(format!("dc-{}", index % CENTRES).as_str())
        .expect("a valid name")
}

fn workspace(text: &str) -> name::WorkspaceName {
    name::WorkspaceName::try_from(text).expect("a valid name")
}

fn vm(index: usize) -> String {
    format!("vm-{index}")
}

fn members() -> BTreeMap<String, state::MemberRecord> {
    let record = |index: usize| state::MemberRecord {
        address: IpAddr::V4(Ipv4Addr::new(127, 0, 0, index as u8 + 1)),
        data_centre: centre(index),
    };
    (0..VMS).map(|index| (vm(index), record(index))).collect()
}

fn control(index: usize, now: Instant) -> state::ControlState {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = fixtures::settings(&vm(index), centre(index), address);
    let (shared, _) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    control.apply_members(members(), 5, now);
    control.join_group("test");
    control
}

/// Returns the VMs of the first data centre in the order of their ranks, the coordinator
/// first.
fn ranked_vms() -> Vec<usize> {
    let mut in_centre: Vec<usize> = (0..VMS).filter(|index| index % CENTRES == 0).collect();
    in_centre.sort_by_key(|index| topology::rank(&vm(*index)).0);
    in_centre
}

fn receive(
    control: &mut state::ControlState,
    heartbeat: heartbeat::FleetHeartbeat,
    number: u64,
    now: Instant,
) {
    let expects_reply = heartbeat.expects_reply;
    control.topology.record_heartbeat_from(
        &heartbeat.vm,
        expects_reply,
        heartbeat.is_draining,
        now,
    );
    control.record_peer_heartbeat((1, number), heartbeat, Some(now), now);
}

fn coordinator_heartbeat(index: usize) -> heartbeat::FleetHeartbeat {
    heartbeat::FleetHeartbeat {
        vm: vm(index),
        is_coordinator: true,
        is_store_reachable: true,
        ..heartbeat::FleetHeartbeat::default()
    }
}

#[test]
fn a_vm_reads_the_store_itself_while_its_coordinator_cannot() {
    let now = clock::now();
    let ranked_vms = ranked_vms();
    let (coordinator, own) = (ranked_vms[0], ranked_vms[3]);
    let mut control = control(own, now);
    control.versions = heartbeat::StoreVersions {
        configuration: 4,
        configuration_bytes: 900,
        databases: 4,
        members: 5,
        evacuations: 0,
    };
    // Until a coordinator's heartbeat arrives, every VM reads the store.
    assert!(!control.is_store_read_by_coordinator(now));
    receive(&mut control, coordinator_heartbeat(coordinator), 1, now);
    assert!(control.is_store_read_by_coordinator(now));
    // The coordinator loses access to the store.
    let without_store = heartbeat::FleetHeartbeat {
        is_store_reachable: false,
        ..coordinator_heartbeat(coordinator)
    };
    receive(&mut control, without_store, 2, now);
    // The VMs that rank before this one try first. A third of the data centre does.
    assert!(control.is_store_read_by_coordinator(now));
    assert!(!control.is_store_read_by_coordinator(now + Duration::from_secs(1)));
    // The coordinator becomes unresponsive.
    receive(&mut control, coordinator_heartbeat(coordinator), 3, now);
    assert!(control.is_store_read_by_coordinator(now));
    assert!(!control.is_store_read_by_coordinator(now + topology::HEARTBEAT_TIMEOUT));
}

#[test]
fn a_new_coordinator_acts_only_when_every_list_in_use_contains_it() {
    let now = clock::now();
    let mut control = control(ranked_vms()[0], now);
    assert!(!control.is_listed_by_all_vms(now));
    control.listed_everywhere_from = Some(now + Duration::from_secs(15));
    assert!(!control.is_listed_by_all_vms(now));
    assert!(control.is_listed_by_all_vms(now + Duration::from_secs(15)));
}

#[test]
fn a_confirmation_is_relayed_for_heartbeats_that_arrived_before_it() {
    let now = clock::now();
    let mut control = control(ranked_vms()[0], now);
    let own = ranked_vms()[1];
    let step = Duration::from_millis(200);
    for number in 1..=10 {
        let heartbeat = heartbeat::FleetHeartbeat {
            vm: vm(own),
            ..heartbeat::FleetHeartbeat::default()
        };
        receive(&mut control, heartbeat, number, now + step * number as u32);
    }
    let record = &control.peers[&vm(own)];
    assert_eq!(record.latest_sequence_before(now + step * 7), Some(7));
    assert_eq!(
        record.latest_sequence_before(now + step * 7 - Duration::from_millis(1)),
        Some(6)
    );
    // The earliest arrivals are no longer remembered, so nothing is confirmed for them.
    assert_eq!(record.latest_sequence_before(now + step), None);
}

#[test]
fn allocations_in_use_never_add_up_to_more_than_was_allocated() {
    let table = heartbeat::AllocationTable {
        number: 3,
        allocations: ["a", "b"]
            .map(|vm| heartbeat::VmAllocation {
                vm: vm.to_owned(),
                fraction: 0.5,
                standing: ownership::MemberStanding::Counted { since: 1 },
            })
            .to_vec(),
        workspaces: vec![heartbeat::WorkspaceAllocations {
            workspace: workspace("w"),
            fractions: vec![0.9, 0.1],
        }],
    };
    let allocations = table::MemberAllocations::new(&table, &["a", "b"]);
    assert!((allocations.rate_allocation(0, &workspace("w")) - 0.9).abs() < 1e-6);
    assert!((allocations.rate_allocation(0, &workspace("other")) - 0.5).abs() < 1e-6);
    // One VM has joined, and one has left.
    let allocations = table::MemberAllocations::new(&table, &["b", "c"]);
    assert!((allocations.rate_allocation(0, &workspace("w")) - 0.1).abs() < 1e-6);
    assert!(allocations.rate_allocation(1, &workspace("w")) < 1e-6);
    // Before the first allocation, all VMs have equal ones.
    let empty = heartbeat::AllocationTable::default();
    let allocations = table::MemberAllocations::new(&empty, &["a", "b", "c"]);
    assert!((allocations.rate_allocation(0, &workspace("w")) - 1.0 / 3.0).abs() < 1e-6);
}

fn demand(per_second: f32) -> allocation::LocalDemand {
    let demands = ["s0", "large"].map(|name| heartbeat::WorkspaceDemand {
        workspace: workspace(name),
        per_second,
    });
    allocation::LocalDemand {
        operations_per_second: 2.0 * f64::from(per_second),
        demands: demands.to_vec(),
    }
}

const SMALL: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

fn configuration() -> configuration::Configuration {
    let policy = |rate: f64| configuration::WorkspacePolicy {
        rate_per_second: rate,
        burst: rate,
        homes: homes::HomeRegions::Anywhere,
    };
    let small = SMALL.map(|name| (workspace(name), policy(6.0)));
    let large = (workspace("large"), policy(300.0));
    configuration::Configuration {
        version: 1,
        workspaces: small.into_iter().chain([large]).collect(),
        ..configuration::Configuration::default()
    }
}

/// Returns the coordinator of each data centre, first the one that is the allocator of the data
/// centres.
fn coordinators() -> Vec<usize> {
    let of_centre = |number: usize| (0..VMS).filter(move |index| index % CENTRES == number);
    let first = |number| of_centre(number).min_by_key(|index| topology::rank(&vm(*index)).0);
    let mut coordinators: Vec<usize> = (0..CENTRES).filter_map(first).collect();
    coordinators.sort_by_key(|index| topology::rank(&vm(*index)).0);
    coordinators
}

/// Delivers a heartbeat of another coordinator, whose callers ask for `per_second` operations of
/// each workspace, to the first coordinator.
fn receive_demand(
    control: &mut state::ControlState,
    coordinator: usize,
    per_second: f32,
    now: Instant,
) {
    let demand = heartbeat::CentreDemand {
        operations_per_second: demand(per_second).operations_per_second,
        workspaces: demand(per_second).demands,
    };
    let heartbeat = heartbeat::FleetHeartbeat {
        centre_demand: Some(demand),
        ..coordinator_heartbeat(coordinator)
    };
    let number = control
        .peers
        .get(&vm(coordinator))
        .map_or(1, |record| record.sequence + 1);
    control
        .topology
        .record_heartbeat_from(&vm(coordinator), true, false, now);
    control.record_peer_heartbeat((1, number), heartbeat, Some(now), now);
}

fn rate_allocation_of(control: &state::ControlState, name: &str, coordinator: usize) -> f64 {
    let allocations = control.centre_allocations(Some(&(&workspace(name)).into()));
    let own = allocations
        .iter()
        .find(|(name, _)| *name == centre(coordinator).as_str());
    own.map_or(0.0, |(_, allocation)| *allocation)
}

/// Returns the state of the first coordinator after it has allocated all limits. Each data centre
/// asks for twice as much as the one before.
fn allocator_control(coordinators: &[usize], start: Instant) -> state::ControlState {
    let mut control = control(coordinators[0], start);
    control.apply_configuration(configuration(), String::new(), "test");
    receive_demand(&mut control, coordinators[1], 20.0, start);
    receive_demand(&mut control, coordinators[2], 40.0, start);
    control.update_group_status(start);
    allocation::update_allocations(&mut control, &demand(10.0), start);
    control
}

#[test]
fn a_small_workspace_is_owned_by_one_data_centre_and_a_large_one_by_all() {
    let coordinators = coordinators();
    let control = allocator_control(&coordinators, clock::now());
    for name in SMALL {
        let allocations = coordinators
            .iter()
            .map(|coordinator| rate_allocation_of(&control, name, *coordinator));
        assert_eq!(
            allocations.filter(|allocation| *allocation > 0.99).count(),
            1,
            "{name}"
        );
    }
    let large: Vec<f64> = coordinators
        .iter()
        .map(|coordinator| rate_allocation_of(&control, "large", *coordinator))
        .collect();
    assert!(large[0] < large[1] && large[1] < large[2], "{large:?}");
}

#[test]
fn only_a_majority_reallocates_the_rates_of_a_lost_data_centre() {
    let start = clock::now();
    let coordinators = coordinators();
    for is_in_majority in [true, false] {
        let mut control = allocator_control(&coordinators, start);
        let is_owned_by_lost =
            |name: &&&str| rate_allocation_of(&control, name, coordinators[2]) > 0.99;
        let owned: Vec<&str> = SMALL.iter().filter(is_owned_by_lost).copied().collect();
        assert!(!owned.is_empty(), "the lost data centre owns some rates");
        // At first, the lost data centre may not have noticed that it is cut off.
        let soon = start + Duration::from_secs(2);
        let late = start + Duration::from_secs(4);
        for now in [soon, late] {
            if is_in_majority {
                receive_demand(&mut control, coordinators[1], 20.0, now);
            }
            control.update_group_status(now);
            allocation::update_allocations(&mut control, &demand(10.0), now);
            let is_retained = now == soon || !is_in_majority;
            for name in &owned {
                let allocation = rate_allocation_of(&control, name, coordinators[2]);
                let equal = 1.0 / CENTRES as f64;
                assert_eq!(
                    allocation > 0.99,
                    is_retained,
                    "{name} {allocation} {is_in_majority}"
                );
                assert!(
                    is_retained || allocation <= equal + 1e-6,
                    "{name} {allocation}"
                );
            }
        }
    }
}

#[test]
fn a_vm_in_the_minority_uses_at_most_an_equal_allocation() {
    let now = clock::now();
    let ranked_vms = ranked_vms();
    let mut control = control(ranked_vms[2], now);
    let with_majority = heartbeat::FleetHeartbeat {
        has_group_majority: true,
        ..coordinator_heartbeat(ranked_vms[0])
    };
    receive(&mut control, with_majority, 1, now);
    control.update_group_status(now);
    assert!(!control.is_in_minority);
    // The coordinator loses its majority. This VM goes by its last answer that had one, so that a
    // coordinator that has just started does not count as cut off.
    let soon = now + topology::HEARTBEAT_TIMEOUT - Duration::from_millis(1);
    receive(&mut control, coordinator_heartbeat(ranked_vms[0]), 2, soon);
    control.update_group_status(soon);
    assert!(!control.is_in_minority);
    control.update_group_status(now + topology::HEARTBEAT_TIMEOUT);
    assert!(control.is_in_minority);
    // A coordinator needs answers from more than half of its data centre, itself included.
    let mut control = self::control(ranked_vms[0], now);
    for (number, index) in ranked_vms.iter().enumerate().skip(1) {
        control.update_group_status(now);
        let has_majority = number * 2 > ranked_vms.len();
        assert_eq!(control.is_in_minority, !has_majority, "{number}");
        let heartbeat = heartbeat::FleetHeartbeat {
            vm: vm(*index),
            is_follower: true,
            ..heartbeat::FleetHeartbeat::default()
        };
        receive(&mut control, heartbeat, 1, now);
    }
}

/// The tokens of a large workspace that a VM can spend.
#[derive(Debug, Clone, Copy)]
struct OwnTokens {
    available: f64,
    /// The tokens that this VM's share adds each second.
    per_second: f64,
}

/// Returns the number of the table at a position in a series.
fn table_number(position: u64) -> u64 {
    let allocator = numbering::ListAllocator {
        started_unix_ms: 0,
        tag: 0,
    };
    (0..position).fold(0, |number, _| allocator.next_number(number))
}

/// Returns the tokens that a VM can spend 100 ms after it has started and received allocation
/// tables at a position in a series, announced `age` ago, that allocate its data centre's whole rate to
/// it.
fn available_after_table(position: u64, age: Duration) -> OwnTokens {
    let number = table_number(position);
    let now = clock::now();
    let ranked_vms = ranked_vms();
    let mut control = control(ranked_vms[0], now);
    for index in &ranked_vms[1..] {
        let heartbeat = heartbeat::FleetHeartbeat {
            vm: vm(*index),
            is_follower: true,
            ..heartbeat::FleetHeartbeat::default()
        };
        receive(&mut control, heartbeat, 1, now);
    }
    for index in coordinators() {
        if index != ranked_vms[0] {
            receive(&mut control, coordinator_heartbeat(index), 1, now);
        }
    }
    control.update_group_status(now);
    assert!(!control.is_in_minority && !control.is_isolated);
    let large = configuration::WorkspacePolicy {
        rate_per_second: 3_000.0,
        burst: 3_000.0,
        homes: homes::HomeRegions::Anywhere,
    };
    let configuration = configuration::Configuration {
        version: 1,
        workspaces: [(workspace("large"), large)].into(),
        ..configuration::Configuration::default()
    };
    control.apply_configuration(configuration, String::new(), "test");
    let own = vm(ranked_vms[0]);
    let allocation = |name: &String| heartbeat::VmAllocation {
        vm: name.clone(),
        fraction: f64::from(u8::from(*name == own)),
        standing: if *name == own {
            ownership::MemberStanding::Counted { since: 1 }
        } else {
            ownership::MemberStanding::Pending
        },
    };
    let table = heartbeat::AllocationTable {
        number,
        allocations: control.group_members().map(allocation).collect(),
        workspaces: Vec::new(),
    };
    let centre_allocation = |index: usize| heartbeat::VmAllocation {
        vm: centre(index).to_string(),
        fraction: 1.0 / CENTRES as f64,
        standing: ownership::MemberStanding::Counted { since: 1 },
    };
    let centre_table = heartbeat::AllocationTable {
        number,
        allocations: (0..CENTRES).map(centre_allocation).collect(),
        workspaces: Vec::new(),
    };
    control.apply_centre_allocations(&centre_table, age);
    control.apply_allocations(&table, age);
    std::thread::sleep(Duration::from_millis(100));
    let share = control.shared.rate_limiter.find(&workspace("large"));
    let share = share.expect("a known workspace");
    OwnTokens {
        available: share.available_tokens(clock::now()),
        per_second: 3_000.0 * control.own_rate_allocation(&(&workspace("large")).into()),
    }
}

/// The tokens that an equal allocation starts with.
const INITIAL_TOKENS_OF_EQUAL_ALLOCATION: f64 = 62.0;
/// For how long the VM's share is certain to have added tokens.
const REFILLED: f64 = 0.09;

#[test]
fn a_process_that_restarts_uses_an_older_allocation_at_once() {
    let in_force = allocation::OWNER_GROWTH_DELAY;
    let tokens = available_after_table(7, in_force);
    let least = INITIAL_TOKENS_OF_EQUAL_ALLOCATION + tokens.per_second * REFILLED;
    assert!(tokens.available >= least, "{tokens:?}");
    // An owner has far more than an equal share.
    assert!(tokens.per_second >= 500.0, "{tokens:?}");
    // Nobody has spent the tokens that were added since the earlier process ended.
    let tokens = available_after_table(7, in_force + Duration::from_millis(500));
    let least = tokens.per_second * (0.5 + REFILLED);
    assert!(tokens.available >= least, "{tokens:?}");
    assert!(tokens.available <= tokens.per_second, "{tokens:?}");
}

// Guards against a VM whose first allocation others have not heard of yet.
#[test]
fn a_process_that_restarts_uses_a_new_allocation_after_the_delay() {
    let tokens = available_after_table(7, Duration::ZERO);
    // Until then, it has what it had before its first table.
    let most = INITIAL_TOKENS_OF_EQUAL_ALLOCATION * 1.5;
    assert!(tokens.available <= most, "{tokens:?}");
}

#[test]
fn a_restarted_fleet_starts_with_the_tokens_that_were_refilled_meanwhile() {
    // The refill of half a second.
    let tokens = available_after_table(1, Duration::ZERO);
    let least = tokens.per_second * (0.5 + REFILLED);
    assert!(tokens.available >= least, "{tokens:?}");
    assert!(tokens.available <= tokens.per_second, "{tokens:?}");
}

/// Returns a coordinator's heartbeat that offers a new configuration of this size.
fn heartbeat_offering(configuration_bytes: u32) -> heartbeat::FleetHeartbeat {
    heartbeat::FleetHeartbeat {
        versions: heartbeat::StoreVersions {
            configuration: 9,
            configuration_bytes,
            ..heartbeat::StoreVersions::default()
        },
        ..coordinator_heartbeat(ranked_vms()[0])
    }
}

#[test]
fn a_large_configuration_is_read_from_the_store_and_copied_only_without_it() {
    let now = clock::now();
    let mut control = control(ranked_vms()[3], now);
    control.is_store_reachable = true;
    control.is_configuration_readable = true;
    let (small, large) = (heartbeat_offering(10_000), heartbeat_offering(1_500_000));
    assert!(control.needs_store_copies(&small, now));
    assert!(!control.needs_store_copies(&large, now));
    assert!(control.reads_configuration_from_store(large.versions));
    control.is_store_reachable = false;
    assert!(control.needs_store_copies(&large, now));
    assert!(!control.reads_configuration_from_store(large.versions));
}

// Guards against a VM that refuses copies of a large configuration because the store answers its
// other calls, while its own reads of the configuration fail.
#[test]
fn a_large_configuration_is_copied_while_only_its_own_reads_fail() {
    let now = clock::now();
    let mut control = control(ranked_vms()[3], now);
    control.is_store_reachable = true;
    control.is_configuration_readable = false;
    let large = heartbeat_offering(1_000_000);
    assert!(control.needs_store_copies(&large, now));
    assert!(!control.reads_configuration_from_store(large.versions));
    control.is_configuration_readable = true;
    assert!(!control.needs_store_copies(&large, now));
    assert!(control.reads_configuration_from_store(large.versions));
}

fn database(id: &str, centre_index: usize, is_draining: bool) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        started_unix_ms: 1,
        service: name::ServiceName::try_from("rental").expect("a valid name"),
        address: ([127, 0, 0, 1], id.bytes().map(u16::from).sum()).into(),
        data_centre: centre(centre_index),
        max_running_statements: 3,
        is_draining,
        role: database::DatabaseRole::Replica,
        is_cold: false,
    }
}

// Guards against a service that stays without a leader for 30 s when its leader is lost for good
// while a replica restarts under another identity.
#[test]
fn a_replica_that_restarts_before_its_old_registration_expires_is_not_waited_for() {
    let now = clock::now();
    let mut control = control(0, now);
    let service = name::ServiceName::try_from("rental").expect("a valid name");
    let holders = |control: &state::ControlState| -> Vec<String> {
        let holders = control.possible_commit_holders(&service, now);
        holders.iter().map(|entry| entry.id.to_string()).collect()
    };
    let (r1, r2) = (database("r1", 1, false), database("r2", 2, false));
    control.apply_databases(vec![r1.clone(), r2.clone()], 1);
    let restarted = database::DatabaseEntry {
        started_unix_ms: r2.started_unix_ms + 1,
        address: r2.address,
        ..database("r3", 2, false)
    };
    control.apply_databases(vec![r1.clone(), r2, restarted.clone()], 2);
    assert_eq!(holders(&control), ["r1", "r3"]);
    control.apply_databases(vec![r1.clone(), restarted.clone()], 3);
    assert_eq!(holders(&control), ["r1", "r3"]);
    // A database that registers at another address while the old one is still listed does not
    // have the old one's log.
    let elsewhere = database("r4", 2, false);
    control.apply_databases(vec![r1.clone(), restarted, elsewhere.clone()], 4);
    control.apply_databases(vec![r1, elsewhere], 5);
    assert_eq!(holders(&control), ["r1", "r4", "r3"]);
}

#[test]
fn an_expired_replica_counts_until_a_new_one_registers_in_its_place() {
    let now = clock::now();
    let mut control = control(0, now);
    let service = name::ServiceName::try_from("rental").expect("a valid name");
    let expired = |control: &state::ControlState, at: Instant| -> Vec<String> {
        let expired = control.expired_databases_of(&service, at);
        expired.iter().map(|entry| entry.id.to_string()).collect()
    };
    let (x, r1, r2) = (
        database("x", 0, false),
        database("r1", 1, false),
        database("r2", 2, false),
    );
    control.apply_databases(vec![x.clone(), r1.clone(), r2], 1);
    // Replica r2 is lost in the crash that also took the leader, and its registration expires.
    control.apply_databases(vec![x.clone(), r1.clone()], 2);
    assert_eq!(expired(&control, now), ["r2"]);
    // A new replica in another data centre does not replace r2.
    control.apply_databases(vec![x.clone(), r1.clone(), database("n", 1, false)], 3);
    assert_eq!(expired(&control, now), ["r2"]);
    // Replica r2 returns under another identity.
    control.apply_databases(vec![x.clone(), r1.clone(), database("r3", 2, false)], 4);
    assert!(!expired(&control, now).contains(&"r2".to_owned()));
    // A replica that drained before its registration expired has handed its commits over, so
    // it is not waited for.
    control.apply_databases(vec![x.clone(), r1, database("r3", 2, true)], 5);
    control.apply_databases(vec![x], 6);
    assert!(!expired(&control, now).contains(&"r3".to_owned()));
    // After the retention time, no expired replica counts.
    assert!(expired(&control, now + Duration::from_secs(40)).is_empty());
}

#[test]
fn a_vm_that_restarted_with_its_clock_set_back_is_accepted_again() {
    let now = clock::now();
    let mut control = control(0, now);
    receive(&mut control, coordinator_heartbeat(1), 5, now);
    let order = |control: &state::ControlState| {
        let record = &control.peers[&vm(1)];
        (record.incarnation, record.sequence)
    };
    control.update_group_status(now + topology::HEARTBEAT_TIMEOUT * 2);
    assert_eq!(order(&control), (1, 5));
    // Heartbeats of any incarnation now count as newer.
    control.update_group_status(now + Duration::from_secs(6));
    assert_eq!(order(&control), (0, 0));
}

#[test]
fn a_replaced_replica_is_not_waited_for_when_a_delayed_write_lists_it_again() {
    let now = clock::now();
    let mut control = control(0, now);
    let service = name::ServiceName::try_from("rental").expect("a valid name");
    let (x, r1, r2) = (
        database("x", 0, false),
        database("r1", 1, false),
        database("r2", 2, false),
    );
    let next = database("r3", 2, false);
    let listings = [
        vec![x.clone(), r1.clone(), r2.clone()],
        // Replica r2 crashed and returns as r3.
        vec![x.clone(), r1.clone()],
        vec![x.clone(), r1.clone(), next.clone()],
        // A delayed write of r2's entry lists r2 again, until that entry expires as well.
        vec![x.clone(), r1.clone(), next.clone(), r2.clone()],
        vec![x.clone(), r1.clone(), next.clone()],
    ];
    for (number, listing) in listings.into_iter().enumerate() {
        control.apply_databases(listing, number as u64 + 1);
    }
    assert!(control.expired_databases_of(&service, now).is_empty());
    // A later start under the same identity counts like any other replica.
    let restarted = database::DatabaseEntry {
        started_unix_ms: 7,
        ..r2
    };
    control.apply_databases(vec![x.clone(), r1.clone(), next.clone(), restarted], 6);
    control.apply_databases(vec![x, r1, next], 7);
    assert_eq!(control.expired_databases_of(&service, now).len(), 1);
}

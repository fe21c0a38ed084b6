//! When a VM of a small fleet uses a larger share of a rate that other VMs had before.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::homes;
use bluebellferry_edge::control::allocation;
use bluebellferry_edge::control::allocation::table;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_membership::heartbeat;
use bluebellferry_runtime::clock;
use bluebellferry_shares::ownership;
use bluebellferry_shares::ownership::numbering;
use bluebellferry_types::name;

#[path = "fixtures/settings.rs"]
mod fixtures;

const VMS: [&str; 3] = ["vm-0", "vm-1", "vm-2"];
const RATE: f64 = 30.0;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

fn workspace() -> name::WorkspaceName {
    name::WorkspaceName::try_from("moving").expect("a valid name")
}

fn control(now: Instant) -> state::ControlState {
    let centre = name::DataCentreName::try_from("dc").expect("a valid name");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = fixtures::settings(VMS[0], centre.clone(), address);
    let (shared, _) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    let record = |index: usize| state::MemberRecord {
        address: IpAddr::V4(Ipv4Addr::new(127, 0, 0, index as u8 + 1)),
        data_centre: centre.clone(),
    };
    let members = VMS.iter().enumerate();
    let members = members.map(|(index, vm)| ((*vm).to_owned(), record(index)));
    control.apply_members(members.collect(), 1, now);
    let policy = configuration::WorkspacePolicy {
        rate_per_second: RATE,
        burst: RATE,
        homes: homes::HomeRegions::Anywhere,
    };
    let configuration = configuration::Configuration {
        version: 1,
        workspaces: [(workspace(), policy)].into_iter().collect(),
        ..configuration::Configuration::default()
    };
    control.apply_configuration(configuration, String::new(), "test");
    control.join_group("test");
    control
}

/// Returns the number of the table at a position in a series.
fn table_number(position: u64) -> u64 {
    let allocator = numbering::ListAllocator {
        started_unix_ms: 0,
        tag: 0,
    };
    (0..position).fold(0, |number, _| allocator.next_number(number))
}

/// Returns the table at a position in a series.
fn table(position: u64, members: &[(&str, f64)]) -> heartbeat::AllocationTable {
    let allocation = |(vm, fraction): &(&str, f64)| heartbeat::VmAllocation {
        vm: (*vm).to_owned(),
        fraction: *fraction,
        standing: ownership::MemberStanding::Pending,
    };
    heartbeat::AllocationTable {
        number: table_number(position),
        allocations: members.iter().map(allocation).collect(),
        workspaces: Vec::new(),
    }
}

/// The allocations before and after the last VM has lost its callers to the first one.
const BEFORE: [(&str, f64); 3] = [("vm-0", 0.25), ("vm-1", 0.25), ("vm-2", 0.5)];
const MOVED: [(&str, f64); 3] = [("vm-0", 0.75), ("vm-1", 0.25), ("vm-2", 0.0)];

fn receive(control: &mut state::ControlState, vm: &str, position: u64, now: Instant) {
    let heartbeat = heartbeat::FleetHeartbeat {
        vm: vm.to_owned(),
        allocation_number: table_number(position),
        ..heartbeat::FleetHeartbeat::default()
    };
    let sequence = control
        .peers
        .get(vm)
        .map_or(1, |record| record.sequence + 1);
    control.record_peer_heartbeat((1, sequence), heartbeat, Some(now), now);
}

/// Returns the most tokens that this VM holds within the fixed delay, in which the two other VMs
/// report the given tables.
fn most_tokens(control: &mut state::ControlState, reported: [u64; 2], start: Instant) -> f64 {
    let share = control.shared.rate_limiter.find(&workspace());
    let share = share.expect("the workspace is known");
    let mut most: f64 = 0.0;
    let mut now = start;
    while now + HEARTBEAT_INTERVAL < start + allocation::GROWTH_DELAY {
        now += HEARTBEAT_INTERVAL;
        for (vm, number) in VMS[1..].iter().zip(reported) {
            receive(control, vm, number, now);
        }
        control.shared.rate_limiter.record_running(now);
        most = most.max(share.available_tokens(now));
    }
    most
}

/// Returns a VM that uses a quarter of the rate, once its first table no longer delays later ones:
/// the table before the first is not known. Allocations are dated by the clock, so this waits.
fn settled_control() -> (state::ControlState, Instant) {
    let mut control = control(clock::now());
    control.apply_allocations(&table(1, &BEFORE), Duration::ZERO);
    std::thread::sleep(allocation::GROWTH_DELAY + HEARTBEAT_INTERVAL / 4);
    let now = clock::now();
    control.shared.rate_limiter.record_running(now);
    (control, now)
}

const QUARTER: f64 = RATE * 0.25 + 1e-6;

#[test]
fn a_larger_share_is_used_once_the_vm_that_had_it_has_acknowledged() {
    let (mut control, now) = settled_control();
    control.apply_allocations(&table(2, &MOVED), Duration::ZERO);
    // The allocation of the VM that has not answered did not change.
    let most = most_tokens(&mut control, [1, 2], now);
    assert!(most > QUARTER, "{most}");
}

#[test]
fn a_larger_share_waits_for_the_vm_that_had_it() {
    let (mut control, now) = settled_control();
    control.apply_allocations(&table(2, &MOVED), Duration::ZERO);
    let most = most_tokens(&mut control, [2, 1], now);
    assert!(most <= QUARTER, "{most}");
}

#[test]
fn a_larger_share_waits_for_a_later_table_that_another_vm_has() {
    let (mut control, now) = settled_control();
    control.apply_allocations(&table(2, &MOVED), Duration::ZERO);
    let most = most_tokens(&mut control, [2, 3], now);
    assert!(most <= QUARTER, "{most}");
}

#[test]
fn reductions_are_told_from_two_tables() {
    let reduced = |current: &heartbeat::AllocationTable, next: &heartbeat::AllocationTable| {
        let reduction = table::reduction_between(current, next);
        (reduction.reduced, reduction.has_departures)
    };
    let equal = table(4, &BEFORE);
    let only_reduced = (vec!["vm-2".to_owned()], false);
    assert_eq!(reduced(&equal, &table(5, &MOVED)), only_reduced);
    // A table in between may have given any member more.
    let all = VMS.map(str::to_owned).to_vec();
    assert_eq!(reduced(&equal, &table(6, &MOVED)), (all, false));
    let (_, has_departures) = reduced(&equal, &table(5, &MOVED[..2]));
    assert!(has_departures);
    let unknown = heartbeat::AllocationTable::default();
    let (_, has_departures) = reduced(&unknown, &table(1, &BEFORE));
    assert!(has_departures);
    // The rate of a single workspace has moved.
    let mut next = table(5, &BEFORE);
    next.workspaces = vec![heartbeat::WorkspaceAllocations {
        workspace: workspace(),
        fractions: vec![0.5, 0.1, 0.4],
    }];
    let moved = ["vm-1", "vm-2"].map(str::to_owned).to_vec();
    assert_eq!(reduced(&equal, &next), (moved, false));
}

// Guards against a small fleet that allocates its limits anew with each heartbeat, since it has no
// allocations of data centres.
#[test]
fn a_full_mesh_awaits_only_its_own_first_table() {
    let mut control = control(clock::now());
    assert!(control.awaits_first_allocation());
    control.apply_allocations(&table(1, &BEFORE), Duration::ZERO);
    assert!(!control.awaits_first_allocation());
}

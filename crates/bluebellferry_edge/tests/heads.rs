//! Decisions of VMs whose data centres have heads, without a socket.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_edge::control::allocation;
use bluebellferry_edge::control::allocation::table;
use bluebellferry_edge::control::owners;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_membership::beat;
use bluebellferry_membership::circle;
use bluebellferry_runtime::clock;
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
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = fixtures::settings(&vm(index), centre(index), any);
    let (shared, _) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    control.apply_members(members(), 5, now);
    control.join("test");
    control
}

/// Returns the VMs of the first data centre, its head first.
fn ranked() -> Vec<usize> {
    let mut of_centre: Vec<usize> = (0..VMS).filter(|index| index % CENTRES == 0).collect();
    of_centre.sort_by_key(|index| circle::rank(&vm(*index)).0);
    of_centre
}

fn hear(control: &mut state::ControlState, beat: beat::FleetBeat, number: u64, now: Instant) {
    let asks = beat.asks_answer;
    control
        .circle
        .record_heard(&beat.vm, asks, beat.is_leaving, now);
    control.record_peer((1, number), beat, Some(now), now);
}

fn head_beat(index: usize) -> beat::FleetBeat {
    beat::FleetBeat {
        vm: vm(index),
        is_head: true,
        has_store: true,
        ..beat::FleetBeat::default()
    }
}

#[test]
fn a_vm_reads_the_store_itself_while_its_head_cannot() {
    let now = clock::now();
    let ranked = ranked();
    let (head, own) = (ranked[0], ranked[3]);
    let mut control = control(own, now);
    control.versions = beat::CopyVersions {
        configuration: 4,
        configuration_bytes: 900,
        databases: 4,
        members: 5,
    };
    // Until a head is heard, everybody reads.
    assert!(!control.is_read_for(now));
    hear(&mut control, head_beat(head), 1, now);
    assert!(control.is_read_for(now));
    // The store turns the head away.
    let without = beat::FleetBeat {
        has_store: false,
        ..head_beat(head)
    };
    hear(&mut control, without, 2, now);
    assert!(!control.is_read_for(now));
    // The head falls silent.
    hear(&mut control, head_beat(head), 3, now);
    assert!(control.is_read_for(now));
    assert!(!control.is_read_for(now + circle::SILENT_AFTER));
}

#[test]
fn a_new_head_acts_only_when_no_list_without_it_is_in_use() {
    let now = clock::now();
    let mut control = control(ranked()[0], now);
    assert!(!control.is_known_everywhere(now));
    control.acts_from = Some(now + Duration::from_secs(15));
    assert!(!control.is_known_everywhere(now));
    assert!(control.is_known_everywhere(now + Duration::from_secs(15)));
}

#[test]
fn a_confirmation_is_passed_on_for_heartbeats_that_came_before_it() {
    let now = clock::now();
    let mut control = control(ranked()[0], now);
    let own = ranked()[1];
    let step = Duration::from_millis(200);
    for number in 1..=10 {
        let beat = beat::FleetBeat {
            vm: vm(own),
            ..beat::FleetBeat::default()
        };
        hear(&mut control, beat, number, now + step * number as u32);
    }
    let record = &control.peers[&vm(own)];
    assert_eq!(record.latest_before(now + step * 7), Some(7));
    assert_eq!(
        record.latest_before(now + step * 7 - Duration::from_millis(1)),
        Some(6)
    );
    // Arrivals that are forgotten confirm nothing.
    assert_eq!(record.latest_before(now + step), None);
}

fn candidate(name: &str, silence: Option<Duration>, before: f64) -> owners::OwnerCandidate<'_> {
    owners::OwnerCandidate {
        name,
        unresponsive_for: silence,
        previous: before,
        equal_allocation: 0.02,
    }
}

#[test]
fn a_rate_is_never_dealt_out_twice() {
    let just = Some(Duration::from_secs(2));
    let long = Some(Duration::from_secs(9));
    for silence in [None, just, long] {
        for before in [0.0, 0.01, 0.5, 1.0] {
            let candidates = [
                candidate("a", silence, before),
                candidate("b", None, 1.0 - before),
                candidate("c", None, 0.0),
            ];
            let parts = owners::allocate(&workspace("w"), 1, &candidates);
            let sum: f32 = parts.iter().sum();
            assert!(
                (0.999..=1.001).contains(&sum),
                "{silence:?} {before} {parts:?}"
            );
            // Until it has fallen back by itself, a silent one may use all it had.
            let kept = candidates[0].retained();
            assert!(silence.is_none() || f64::from(parts[0]) >= kept - 1e-6);
            if silence == just {
                assert!((kept - before).abs() < 1e-9);
            }
            if silence == long {
                assert!(kept <= 0.02);
            }
        }
    }
}

#[test]
fn an_owner_stays_while_others_come_and_go() {
    let owner_of = |names: &[&str]| {
        let candidates: Vec<_> = names
            .iter()
            .map(|name| candidate(name, None, 0.0))
            .collect();
        let parts = owners::allocate(&workspace("w"), 1, &candidates);
        let index = parts.iter().position(|part| *part > 0.5).expect("an owner");
        names[index].to_owned()
    };
    let owner = owner_of(&["a", "b", "c", "d", "e"]);
    let without: Vec<&str> = ["a", "b", "c", "d", "e"]
        .into_iter()
        .filter(|name| *name == owner || *name > "b")
        .collect();
    assert_eq!(owner_of(&without), owner);
}

#[test]
fn parts_that_are_used_never_add_up_to_more_than_was_dealt_out() {
    let table = beat::WeightTable {
        number: 3,
        weights: ["a", "b"]
            .map(|vm| beat::VmWeight {
                vm: vm.to_owned(),
                part: 0.5,
            })
            .to_vec(),
        workspaces: vec![beat::WorkspaceParts {
            workspace: workspace("w"),
            parts: vec![0.9, 0.1],
        }],
    };
    let known = table::MemberAllocations::new(&table, &["a", "b"]);
    assert!((known.rate_allocation(0, &workspace("w")) - 0.9).abs() < 1e-6);
    assert!((known.rate_allocation(0, &workspace("other")) - 0.5).abs() < 1e-6);
    // One has come, and one has gone.
    let known = table::MemberAllocations::new(&table, &["b", "c"]);
    assert!((known.rate_allocation(0, &workspace("w")) - 0.1).abs() < 1e-6);
    assert!(known.rate_allocation(1, &workspace("w")) < 1e-6);
    // Before anything is dealt out, all have equal parts.
    let nothing = beat::WeightTable::default();
    let known = table::MemberAllocations::new(&nothing, &["a", "b", "c"]);
    assert!((known.rate_allocation(0, &workspace("w")) - 1.0 / 3.0).abs() < 1e-6);
}

fn load(per_second: f32) -> allocation::LocalDemand {
    let demands = ["s0", "large"].map(|name| beat::WorkspaceDemand {
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
    };
    let small = SMALL.map(|name| (workspace(name), policy(6.0)));
    let large = (workspace("large"), policy(300.0));
    configuration::Configuration {
        version: 1,
        workspaces: small.into_iter().chain([large]).collect(),
        ..configuration::Configuration::default()
    }
}

/// Returns the head of each data centre, the one that deals out for all first.
fn heads() -> Vec<usize> {
    let of_centre = |number: usize| (0..VMS).filter(move |index| index % CENTRES == number);
    let first = |number| of_centre(number).min_by_key(|index| circle::rank(&vm(*index)).0);
    let mut heads: Vec<usize> = (0..CENTRES).filter_map(first).collect();
    heads.sort_by_key(|index| circle::rank(&vm(*index)).0);
    heads
}

/// Has the first head hear another one that asks for `per_second` of each workspace.
fn hear_head(control: &mut state::ControlState, head: usize, per_second: f32, now: Instant) {
    let demand = beat::CentreDemand {
        operations_per_second: f64::from(per_second),
        workspaces: load(per_second).demands,
    };
    let beat = beat::FleetBeat {
        centre_demand: Some(demand),
        ..head_beat(head)
    };
    let number = control
        .peers
        .get(&vm(head))
        .map_or(1, |record| record.sequence + 1);
    control.circle.record_heard(&vm(head), true, false, now);
    control.record_peer((1, number), beat, Some(now), now);
}

fn part_of(control: &state::ControlState, name: &str, head: usize) -> f64 {
    let parts = control.centre_parts(Some(&workspace(name)));
    let own = parts
        .iter()
        .find(|(name, _)| *name == centre(head).as_str());
    own.map_or(0.0, |(_, part)| *part)
}

/// Returns the first head after it has dealt out the parts of all. Each data centre asks
/// for twice as much as the one before.
fn dealing_head(heads: &[usize], start: Instant) -> state::ControlState {
    let mut control = control(heads[0], start);
    control.apply_configuration(configuration(), String::new(), "test");
    hear_head(&mut control, heads[1], 20.0, start);
    hear_head(&mut control, heads[2], 40.0, start);
    control.note_circle(start);
    allocation::update_allocations(&mut control, &load(10.0), start);
    control
}

#[test]
fn a_small_workspace_is_owned_by_one_data_centre_and_a_large_one_by_all() {
    let heads = heads();
    let control = dealing_head(&heads, clock::now());
    for name in SMALL {
        let parts = heads.iter().map(|head| part_of(&control, name, *head));
        assert_eq!(parts.filter(|part| *part > 0.99).count(), 1, "{name}");
    }
    let large: Vec<f64> = heads
        .iter()
        .map(|head| part_of(&control, "large", *head))
        .collect();
    assert!(large[0] < large[1] && large[1] < large[2], "{large:?}");
}

#[test]
fn what_a_lost_data_centre_owned_is_dealt_out_by_most_only() {
    let start = clock::now();
    let heads = heads();
    for is_among_most in [true, false] {
        let mut control = dealing_head(&heads, start);
        let lost = |name: &&&str| part_of(&control, name, heads[2]) > 0.99;
        let owned: Vec<&str> = SMALL.iter().filter(lost).copied().collect();
        assert!(!owned.is_empty(), "some are owned by the one that is lost");
        // At first it may not have noticed.
        let soon = start + Duration::from_secs(2);
        let late = start + Duration::from_secs(4);
        for now in [soon, late] {
            if is_among_most {
                hear_head(&mut control, heads[1], 20.0, now);
            }
            control.note_circle(now);
            allocation::update_allocations(&mut control, &load(10.0), now);
            let is_kept = now == soon || !is_among_most;
            for name in &owned {
                let part = part_of(&control, name, heads[2]);
                let equal = 1.0 / CENTRES as f64;
                assert_eq!(part > 0.99, is_kept, "{name} {part} {is_among_most}");
                assert!(is_kept || part <= equal + 1e-6, "{name} {part}");
            }
        }
    }
}

#[test]
fn a_vm_that_hears_only_a_few_uses_an_equal_part_at_most() {
    let now = clock::now();
    let ranked = ranked();
    let mut control = control(ranked[2], now);
    let leading = beat::FleetBeat {
        is_answered_by_most: true,
        ..head_beat(ranked[0])
    };
    hear(&mut control, leading, 1, now);
    control.note_circle(now);
    assert!(!control.is_orphaned);
    // The head itself no longer hears most.
    hear(&mut control, head_beat(ranked[0]), 2, now);
    control.note_circle(now);
    assert!(control.is_orphaned);
    // A head by its own word needs more than half of its data centre.
    let mut control = self::control(ranked[0], now);
    for (number, index) in ranked.iter().enumerate().skip(1) {
        control.note_circle(now);
        let hears_most = number * 2 > ranked.len();
        assert_eq!(control.is_orphaned, !hears_most, "{number}");
        let beat = beat::FleetBeat {
            vm: vm(*index),
            ..beat::FleetBeat::default()
        };
        hear(&mut control, beat, 1, now);
    }
}

/// Returns the tokens that a VM which owns all of its data centre's rate can spend, 100 ms
/// after it heard of that in the table with this number.
fn available_after_table(number: u64) -> f64 {
    let mut control = control(ranked()[0], clock::now());
    let large = configuration::WorkspacePolicy {
        rate_per_second: 3_000.0,
        burst: 3_000.0,
    };
    let configuration = configuration::Configuration {
        version: 1,
        workspaces: [(workspace("large"), large)].into(),
        ..configuration::Configuration::default()
    };
    control.apply_configuration(configuration, String::new(), "test");
    let own = vm(ranked()[0]);
    let weight = |name: &String| beat::VmWeight {
        vm: name.clone(),
        part: f64::from(u8::from(*name == own)),
    };
    let table = beat::WeightTable {
        number,
        weights: control.group().map(weight).collect(),
        workspaces: Vec::new(),
    };
    control.apply_weights(&table);
    std::thread::sleep(Duration::from_millis(100));
    let share = control.shared.shares.find(&workspace("large"));
    share.expect("a known workspace").available(clock::now())
}

/// What an equal part begins with, and what the owner's rate adds in 90 ms.
const OF_EQUAL_PART: f64 = 62.0;
const ADDED: f64 = 90.0;

#[test]
fn parts_that_a_process_hears_of_first_are_used_at_once() {
    let available = available_after_table(7);
    assert!(available >= OF_EQUAL_PART + ADDED, "{available}");
}

#[test]
fn a_fleet_that_was_started_anew_begins_with_what_came_back_meanwhile() {
    // Half a second of a third of the rate.
    let available = available_after_table(1);
    assert!(available >= 500.0 + ADDED, "{available}");
    assert!(available <= 1_000.0, "{available}");
}

#[test]
fn a_large_configuration_is_read_from_the_store_and_copied_only_without_it() {
    let now = clock::now();
    let mut control = control(ranked()[3], now);
    control.has_store = true;
    let offer = |bytes: u32| beat::FleetBeat {
        versions: beat::CopyVersions {
            configuration: 9,
            configuration_bytes: bytes,
            ..beat::CopyVersions::default()
        },
        ..head_beat(ranked()[0])
    };
    let (small, large) = (offer(10_000), offer(1_500_000));
    assert!(control.lacks_copies(&small, now));
    assert!(!control.lacks_copies(&large, now));
    assert!(control.reads_configuration(large.versions));
    control.has_store = false;
    assert!(control.lacks_copies(&large, now));
    assert!(!control.reads_configuration(large.versions));
}

fn database(id: &str, centre_index: usize, leaving: bool) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: name::DatabaseName::try_from(id).expect("a valid name"),
        born: 1,
        service: name::ServiceName::try_from("rental").expect("a valid name"),
        address: ([127, 0, 0, 1], id.bytes().map(u16::from).sum()).into(),
        data_centre: centre(centre_index),
        slots: 3,
        leaving,
        role: database::DatabaseRole::Replica,
    }
}

// Guards against a service without a leader for 30 s after its leader was lost for good
// while a replica restarted under another identity.
#[test]
fn a_replica_that_is_back_before_its_old_registration_lapses_is_not_missed() {
    let now = clock::now();
    let mut control = control(0, now);
    let service = name::ServiceName::try_from("rental").expect("a valid name");
    let holders = |control: &state::ControlState| -> Vec<String> {
        let holders = control.log_holders(&service, now);
        holders.iter().map(|entry| entry.id.to_string()).collect()
    };
    let (r1, r2) = (database("r1", 1, false), database("r2", 2, false));
    control.apply_databases(vec![r1.clone(), r2.clone()], 1);
    let reborn = database::DatabaseEntry {
        born: r2.born + 1,
        address: r2.address,
        ..database("r3", 2, false)
    };
    control.apply_databases(vec![r1.clone(), r2, reborn.clone()], 2);
    assert_eq!(holders(&control), ["r1", "r3"]);
    control.apply_databases(vec![r1.clone(), reborn.clone()], 3);
    assert_eq!(holders(&control), ["r1", "r3"]);
    // One that registers elsewhere while the other is still listed does not have its log.
    let elsewhere = database("r4", 2, false);
    control.apply_databases(vec![r1.clone(), reborn, elsewhere.clone()], 4);
    control.apply_databases(vec![r1, elsewhere], 5);
    assert_eq!(holders(&control), ["r1", "r4", "r3"]);
}

#[test]
fn a_replica_that_vanished_counts_until_one_takes_its_place() {
    let now = clock::now();
    let mut control = control(0, now);
    let service = name::ServiceName::try_from("rental").expect("a valid name");
    let vanished = |control: &state::ControlState, at: Instant| -> Vec<String> {
        let vanished = control.vanished_of(&service, at);
        vanished.iter().map(|entry| entry.id.to_string()).collect()
    };
    let (x, r1, r2) = (
        database("x", 0, false),
        database("r1", 1, false),
        database("r2", 2, false),
    );
    control.apply_databases(vec![x.clone(), r1.clone(), r2], 1);
    // Its registration lapses with the crash that also took the leader.
    control.apply_databases(vec![x.clone(), r1.clone()], 2);
    assert_eq!(vanished(&control, now), ["r2"]);
    // Another one comes elsewhere.
    control.apply_databases(vec![x.clone(), r1.clone(), database("n", 1, false)], 3);
    assert_eq!(vanished(&control, now), ["r2"]);
    // It is back under another identity.
    control.apply_databases(vec![x.clone(), r1.clone(), database("r3", 2, false)], 4);
    assert!(!vanished(&control, now).contains(&"r2".to_owned()));
    // One that leaves in an orderly way has handed over.
    control.apply_databases(vec![x.clone(), r1, database("r3", 2, true)], 5);
    control.apply_databases(vec![x], 6);
    assert!(!vanished(&control, now).contains(&"r3".to_owned()));
    // In the end it is taken as gone.
    assert!(vanished(&control, now + Duration::from_secs(40)).is_empty());
}

#[test]
fn a_vm_that_started_anew_with_its_clock_set_back_is_heard_again() {
    let now = clock::now();
    let mut control = control(0, now);
    hear(&mut control, head_beat(1), 5, now);
    let order = |control: &state::ControlState| {
        let record = &control.peers[&vm(1)];
        (record.incarnation, record.sequence)
    };
    control.note_circle(now + circle::SILENT_AFTER * 2);
    assert_eq!(order(&control), (1, 5));
    // Heartbeats of any incarnation are then newer.
    control.note_circle(now + Duration::from_secs(6));
    assert_eq!(order(&control), (0, 0));
}

#[test]
fn a_late_entry_of_a_replaced_replica_is_not_waited_for_again() {
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
        // It crashed and is back under another identity.
        vec![x.clone(), r1.clone()],
        vec![x.clone(), r1.clone(), next.clone()],
        // Its last entry, written late, appears once more and lapses.
        vec![x.clone(), r1.clone(), next.clone(), r2.clone()],
        vec![x.clone(), r1.clone(), next.clone()],
    ];
    for (number, listing) in listings.into_iter().enumerate() {
        control.apply_databases(listing, number as u64 + 1);
    }
    assert!(control.vanished_of(&service, now).is_empty());
    // A later start under the same identity counts as any other.
    let reborn = database::DatabaseEntry { born: 7, ..r2 };
    control.apply_databases(vec![x.clone(), r1.clone(), next.clone(), reborn], 6);
    control.apply_databases(vec![x, r1, next], 7);
    assert_eq!(control.vanished_of(&service, now).len(), 1);
}

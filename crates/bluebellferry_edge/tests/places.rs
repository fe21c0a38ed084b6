//! Homes and evacuations: where statements may run, and when a leader moves because of its place.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::homes;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_edge::traffic::placement;
use bluebellferry_membership::heartbeat;
use bluebellferry_promotion::relocation;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

#[path = "fixtures/settings.rs"]
mod fixtures;

const CENTRES: [(&str, &str); 3] = [
    ("amman-a", "amman"),
    ("aqaba-a", "aqaba"),
    ("irbid-a", "irbid"),
];

fn centre(text: &str) -> name::DataCentreName {
    name::DataCentreName::try_from(text).expect("a valid name")
}

fn centres(names: &[&str]) -> BTreeSet<name::DataCentreName> {
    names.iter().map(|name| centre(name)).collect()
}

fn service() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

fn within(regions: &[&str]) -> homes::HomeRegions {
    homes::HomeRegions::from_list(regions.iter().map(|region| (*region).to_owned()))
}

/// Returns one database in each data centre; the first leads.
fn databases() -> Vec<database::DatabaseEntry> {
    let entry = |(index, (data_centre, _)): (usize, &(&str, &str))| database::DatabaseEntry {
        id: name::DatabaseName::try_from(format!("i-{index}")).expect("a valid name"),
        started_unix_ms: 1,
        service: service(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: centre(data_centre),
        max_running_statements: 3,
        is_draining: false,
        role: if index == 0 {
            database::DatabaseRole::Primary
        } else {
            database::DatabaseRole::Replica
        },
        is_cold: false,
    };
    CENTRES.iter().enumerate().map(entry).collect()
}

fn regions() -> BTreeMap<name::DataCentreName, String> {
    let region = |(name, region): &(&str, &str)| (centre(name), (*region).to_owned());
    CENTRES.iter().map(region).collect()
}

fn route(homes: homes::HomeRegions) -> configuration::RoutePolicy {
    configuration::RoutePolicy {
        service: service(),
        guarantee: configuration::ReadGuarantee::Primary,
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(400),
        priority: 0,
        is_public: false,
        homes,
    }
}

/// Returns the control state of a VM in a deployment whose routes have these homes.
fn control(route_homes: &[homes::HomeRegions], evacuates: bool) -> state::ControlState {
    let mut settings = fixtures::settings("vm-0", centre("amman-a"), ([127, 0, 0, 1], 1).into());
    settings.regions = regions();
    settings.evacuation_limit = evacuates.then_some(Duration::from_secs(5));
    let (shared, _) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    let routes = route_homes.iter().enumerate();
    control.configuration.decoded = Arc::new(configuration::Configuration {
        version: 1,
        routes: routes
            .map(|(index, homes)| (format!("r{index}"), route(homes.clone())))
            .collect(),
        ..configuration::Configuration::default()
    });
    control.apply_databases(databases(), 6);
    control
}

#[test]
fn a_request_stays_in_the_homes_of_its_route_and_its_workspace() {
    let snapshot = shared::EdgeSnapshot {
        databases: Arc::new(databases()),
        ..shared::EdgeSnapshot::default()
    };
    let regions = regions();
    let allowed = |homes: &homes::HomeRegions| -> Vec<bool> {
        let rules = placement::PlaceRules {
            regions: &regions,
            homes,
        };
        let databases = snapshot.databases.iter();
        databases
            .map(|entry| rules.allow(&snapshot, entry))
            .collect()
    };
    let conflict = |homes: &homes::HomeRegions| {
        let rules = placement::PlaceRules {
            regions: &regions,
            homes,
        };
        rules.find_conflict(&snapshot, &service())
    };
    let (route, workspace) = (within(&["amman", "aqaba"]), within(&["aqaba", "irbid"]));
    assert_eq!(allowed(&homes::HomeRegions::Anywhere), [true, true, true]);
    assert_eq!(allowed(&route), [true, true, false]);
    // Where both have homes, both bind.
    assert_eq!(allowed(&route.intersect(&workspace)), [false, true, false]);
    assert_eq!(conflict(&route.intersect(&workspace)), None);
    let disjoint = within(&["amman"]).intersect(&within(&["irbid"]));
    assert_eq!(allowed(&disjoint), [false, false, false]);
    let no_common = Some(placement::PlaceConflict::NoCommonHome);
    assert_eq!(conflict(&disjoint), no_common);
    let outside = Some(placement::PlaceConflict::OutsideHomes);
    assert_eq!(conflict(&within(&["elsewhere"])), outside);
}

#[test]
fn nothing_is_placed_in_an_evacuated_data_centre_and_a_refusal_is_immediate_if_none_is_left() {
    let now = Instant::now();
    let regions = regions();
    let evacuated = |names: &[&str], homes: &homes::HomeRegions| {
        let evacuations = names.iter().map(|name| (centre(name), now)).collect();
        let snapshot = shared::EdgeSnapshot {
            databases: Arc::new(databases()),
            evacuations: Arc::new(evacuations),
            ..shared::EdgeSnapshot::default()
        };
        let rules = placement::PlaceRules {
            regions: &regions,
            homes,
        };
        let databases = snapshot.databases.iter();
        let allowed: Vec<bool> = databases
            .map(|entry| rules.allow(&snapshot, entry))
            .collect();
        (allowed, rules.find_conflict(&snapshot, &service()))
    };
    let anywhere = homes::HomeRegions::Anywhere;
    let all_evacuated = Some(placement::PlaceConflict::AllEvacuated);
    assert_eq!(
        evacuated(&["amman-a", "irbid-a"], &anywhere),
        (vec![false, true, false], None)
    );
    assert_eq!(
        evacuated(&["amman-a", "aqaba-a", "irbid-a"], &anywhere),
        (vec![false, false, false], all_evacuated)
    );
    assert_eq!(
        evacuated(&["aqaba-a"], &within(&["aqaba"])),
        (vec![false, false, false], all_evacuated)
    );
}

#[test]
fn an_older_list_of_evacuations_never_replaces_a_newer_one() {
    let now = clock::now();
    let mut control = control(&[homes::HomeRegions::Anywhere], true);
    assert!(!control.has_evacuations());
    control.apply_evacuations(centres(&["amman-a"]), 10, now);
    assert!(control.has_evacuations() && control.is_evacuated(&centre("amman-a")));
    // A copy from another VM, and a listing that was read before the order was taken back.
    control.apply_announced_evacuations(&heartbeat::EvacuationList {
        revision: 14,
        data_centres: Vec::new(),
    });
    control.apply_evacuations(centres(&["amman-a"]), 12, now);
    assert!(!control.is_evacuated(&centre("amman-a")));
    control.apply_evacuations(centres(&["amman-a", "irbid-a"]), 20, now);
    let announced = control.evacuation_list();
    assert_eq!((announced.revision, announced.data_centres.len()), (20, 2));
}

#[test]
fn a_leader_leaves_an_evacuated_data_centre_if_another_database_can_lead() {
    let now = clock::now();
    let mut control = control(&[homes::HomeRegions::Anywhere], true);
    let leader = &databases()[0];
    assert_eq!(control.relocation_of(leader), None);
    let evacuated = Some(relocation::Misplacement::Evacuated);
    control.apply_evacuations(centres(&["amman-a", "irbid-a"]), 10, now);
    assert_eq!(control.relocation_of(leader), evacuated);
    control.apply_evacuations(centres(&["amman-a", "aqaba-a", "irbid-a"]), 11, now);
    assert_eq!(control.relocation_of(leader), None);
    // The order is taken back.
    control.apply_evacuations(centres(&[]), 12, now);
    assert_eq!(control.misplacement_of(leader), None);
}

#[test]
fn a_leader_moves_into_the_homes_of_its_service() {
    let outside = Some(relocation::Misplacement::OutsideHomes);
    let leader = &databases()[0];
    let homes_of = |regions: &[&[&str]]| -> Vec<homes::HomeRegions> {
        regions.iter().map(|regions| within(regions)).collect()
    };
    let relocation = |regions: &[&[&str]]| control(&homes_of(regions), false).relocation_of(leader);
    assert_eq!(relocation(&[&["aqaba", "irbid"]]), outside);
    assert_eq!(relocation(&[&["amman"], &[]]), None);
    // Both routes allow only irbid.
    assert_eq!(relocation(&[&["irbid", "amman"], &["irbid"]]), outside);
    // The routes have no region in common, so no database suits both.
    assert_eq!(relocation(&[&["irbid"], &["aqaba"]]), None);
    // No database is in the homes.
    assert_eq!(relocation(&[&["elsewhere"]]), None);
}

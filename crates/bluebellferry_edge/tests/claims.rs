//! When a VM may enter the replacement of a leader into the table.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::database;
use bluebellferry_catalog::leadership;
use bluebellferry_edge::control;
use bluebellferry_edge::control::members;
use bluebellferry_edge::control::peers;
use bluebellferry_edge::control::replacement;
use bluebellferry_edge::control::state;
use bluebellferry_edge::shared;
use bluebellferry_membership::beat;
use bluebellferry_runtime::clock;
use bluebellferry_standin_platform::store;
use bluebellferry_types::name;
use bluebellferry_types::position;
use tokio::net::TcpListener;

#[path = "fixtures/settings.rs"]
mod fixtures;

fn service() -> name::ServiceName {
    name::ServiceName::try_from("rental").expect("a valid name")
}

fn data_centre() -> name::DataCentreName {
    name::DataCentreName::try_from("here").expect("a valid name")
}

fn id(text: &str) -> name::DatabaseName {
    name::DatabaseName::try_from(text).expect("a valid name")
}

fn entry(text: &str, address: SocketAddr, role: database::DatabaseRole) -> database::DatabaseEntry {
    database::DatabaseEntry {
        id: id(text),
        born: 1,
        service: service(),
        address,
        data_centre: data_centre(),
        slots: 3,
        leaving: false,
        role,
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns the beliefs of a VM of a fleet that knows these databases.
fn control(
    vm: &str,
    members: &[&str],
    store: SocketAddr,
    databases: Vec<database::DatabaseEntry>,
) -> state::ControlState {
    let any = any_address();
    let mut settings = fixtures::settings(vm, data_centre(), any);
    settings.store_address = store;
    let (shared, _) = shared::EdgeShared::new(settings, 1);
    let mut control = state::ControlState::new(shared);
    let record = state::MemberRecord {
        address: any.ip(),
        data_centre: data_centre(),
    };
    let records = members
        .iter()
        .map(|name| ((*name).to_owned(), record.clone()));
    control.apply_members(records.collect(), 5, clock::now());
    let policy = configuration::ServicePolicy {
        max_connections: 12,
        synchronous: true,
    };
    let workspace = name::WorkspaceName::try_from("families").expect("a valid name");
    let limits = configuration::WorkspacePolicy {
        rate_per_second: 100.0,
        burst: 100.0,
    };
    control.configuration.decoded = Arc::new(configuration::Configuration {
        version: 1,
        services: [(service(), policy)].into(),
        workspaces: [(workspace, limits)].into(),
        ..configuration::Configuration::default()
    });
    control.has_store = true;
    control.apply_databases(databases, 6);
    control
}

/// Serves a database that accepts connections and never answers.
async fn serve_in_silence() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    tokio::task::spawn_local(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            streams.push(stream);
        }
    });
    address
}

/// The holder of the duty woke up, and two VMs replaced the same leader: the second one
/// had asked it before the first one named a successor, and entered it once more.
#[tokio::test(flavor = "current_thread")]
async fn a_leader_that_was_replaced_while_it_was_asked_is_not_claimed() {
    let tasks = tokio::task::LocalSet::new();
    tasks
        .run_until(async {
            let port = 21_000 + (std::process::id() % 10_000) as u16;
            let address = SocketAddr::from(([127, 201, 0, 1], port));
            let store = Arc::new(store::StandinStore::default());
            let serving = Arc::clone(&store).serve(address).await;
            serving.expect("the store listens");
            let silent = serve_in_silence().await;
            let databases = vec![
                entry("i-a", silent, database::DatabaseRole::Primary),
                entry("i-b", silent, database::DatabaseRole::Replica),
            ];
            let control = Rc::new(RefCell::new(control("vm-0", &["vm-0"], address, databases)));
            let evidence = shared::LeaderEvidence {
                service: service(),
                database: id("i-a"),
                kind: shared::EvidenceKind::Silent,
            };
            control
                .borrow_mut()
                .suspicions
                .record(&evidence, clock::now());
            let watching = control::ControlCell::clone(&control);
            tokio::task::spawn_local(replacement::watch(watching));
            // The leader is being asked; another VM has been faster.
            tokio::time::sleep(Duration::from_millis(250)).await;
            let successor = leadership::LeaderEntry {
                database: id("i-b"),
                phase: leadership::LeaderPhase::Steady,
                floor: Some(position::LogPosition::new(1, 230)),
            };
            let table = leadership::LeadershipTable::default();
            let mut table = table.with_entry("vm-1", 77, &service(), successor.clone());
            let value = serde_json::to_value(&table).expect("the table can be coded");
            store.put(
                members::LEADER_TABLE_KIND,
                members::LEADER_TABLE_NAME,
                value,
            );
            table.revision = store.revision();
            control.borrow_mut().apply_table(&table);
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            let known = control.borrow().table.leaders.get(&service()).cloned();
            assert_eq!(known, Some(successor));
        })
        .await;
}

fn databases() -> Vec<database::DatabaseEntry> {
    vec![
        entry("i-a", any_address(), database::DatabaseRole::Primary),
        entry("i-b", any_address(), database::DatabaseRole::Replica),
    ]
}

/// Has `vm-0` enter the replacement of `i-a`, and `vm-1` say that it has seen that.
fn claim_seen_by_all(claimer: &control::ControlCell) {
    let replacing = leadership::LeaderEntry {
        database: id("i-a"),
        phase: leadership::LeaderPhase::Replacing,
        floor: None,
    };
    let table = leadership::LeadershipTable::default();
    let mut table = table.with_entry("vm-0", 7, &service(), replacing);
    table.revision = 9;
    claimer.borrow_mut().apply_table(&table);
    let beat = beat::FleetBeat {
        vm: "vm-1".to_owned(),
        table_revision: 9,
        ..beat::FleetBeat::default()
    };
    peers::take_beat(claimer, any_address(), (7, 1), beat, clock::now());
}

fn trusts_leader(control: &state::ControlState) -> bool {
    let snapshot = control.shared.snapshot();
    let trusted = snapshot.trusted_leader(&service(), clock::now());
    trusted.is_some()
}

// Guards against reads at a leader that was replaced, by a VM that had registered after the
// claimer listed all VMs and had read the table just before the claim.
#[test]
fn a_claimer_goes_on_only_once_it_has_listed_the_vms_again() {
    let members = ["vm-0", "vm-1"];
    let claimer = control("vm-0", &members, any_address(), databases());
    let claimer = Rc::new(RefCell::new(claimer));
    let all = ["vm-0", "vm-1", "vm-2"];
    let mut newcomer = control("vm-2", &all, any_address(), databases());
    newcomer.lease.record_store(clock::now(), 0);
    newcomer.publish();
    assert!(trusts_leader(&newcomer));
    let claimed = clock::now();
    claim_seen_by_all(&claimer);
    let has_seen_all = |claimer: &control::ControlCell| {
        let claimer = claimer.borrow();
        claimer.have_all_seen_table(claimed, clock::now())
    };
    assert!(!has_seen_all(&claimer));
    // The list still has these two only.
    let records = claimer.borrow().members.clone();
    claimer.borrow_mut().apply_members(records, 6, clock::now());
    assert!(has_seen_all(&claimer));
}

// Guards against reads at a leader that was replaced, by a VM that had seen the claim,
// started anew without the store and asked the leader itself.
#[test]
fn a_vm_that_has_started_trusts_no_leader_before_it_has_heard_of_the_table() {
    let members = ["vm-0", "vm-1"];
    let mut anew = control("vm-1", &members, any_address(), databases());
    anew.record_probed(&service(), &id("i-a"), clock::now());
    anew.publish();
    assert!(!trusts_leader(&anew));
    let anew = Rc::new(RefCell::new(anew));
    let beat = beat::FleetBeat {
        vm: "vm-0".to_owned(),
        ..beat::FleetBeat::default()
    };
    peers::take_beat(&anew, any_address(), (7, 1), beat, clock::now());
    assert!(trusts_leader(&anew.borrow()));
}

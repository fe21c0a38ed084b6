//! More VMs than a database takes connections.
//!
//! Pattern: 74 VMs before a leader that takes 54 connections, of which a third is kept in
//! reserve. Each VM has few statements, so that most connections would be kept unused.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::pool;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const VMS: usize = 74;
const LIMIT: usize = 54;
const OWNED: usize = 36;
const STEP: Duration = Duration::from_millis(10);
/// How long a transaction holds its connection.
const HOLDING: Duration = Duration::from_millis(250);
/// How long a statement waits before its caller gives it up.
const PATIENCE: Duration = Duration::from_millis(500);
/// Statements a second at the leader.
const ARRIVALS: f64 = 31.0;

struct Vm {
    budget: pool::ConnectionPool<usize>,
    running: Vec<Instant>,
    waiting: Vec<Instant>,
}

/// Returns the part of statements that got a connection in time. `keep` is how long a
/// connection that is not a VM's own is kept unused.
fn served(keep: Duration) -> f64 {
    let workspace = name::WorkspaceName::try_from("a").expect("a valid name");
    let mut random = rand::rngs::StdRng::seed_from_u64(11);
    let start = Instant::now();
    let vm = |index: usize| {
        let mut budget = pool::ConnectionPool::default();
        let own = usize::from(index < OWNED);
        budget.set_connection_limit(0, own, 1 - own);
        Vm {
            budget,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    };
    let mut vms: Vec<Vm> = (0..VMS).map(vm).collect();
    let (mut arrived, mut given_up) = (0_u32, 0_u32);
    for step in 0..6_000_u32 {
        let now = start + STEP * step;
        for vm in &mut vms {
            while vm.running.first().is_some_and(|until| *until <= now) {
                vm.running.remove(0);
                vm.budget.release(0, workspace.clone(), 0, now);
            }
            drop(vm.budget.drain_borrowed(0, keep, now));
            if random.random_bool(ARRIVALS * STEP.as_secs_f64() / VMS as f64) {
                arrived += 1;
                vm.waiting.push(now);
            }
            let before = vm.waiting.len();
            vm.waiting.retain(|since| now - *since < PATIENCE);
            given_up += (before - vm.waiting.len()) as u32;
        }
        let mut held: usize = vms.iter().map(|vm| vm.budget.connection_count(0)).sum();
        for vm in &mut vms {
            if vm.waiting.is_empty() {
                continue;
            }
            if vm.budget.reuse_idle(&workspace, 0).is_none() {
                if vm.budget.begin_open(&workspace, 0, now).is_none() {
                    continue;
                }
                if held >= LIMIT {
                    vm.budget.fail_open(0, &workspace);
                    vm.budget.record_limit_refusal(0, now);
                    continue;
                }
                held += 1;
                vm.budget.finish_open(0, workspace.clone(), 0, now);
                vm.budget.reuse_idle(&workspace, 0);
            }
            vm.waiting.remove(0);
            vm.running.push(now + HOLDING);
        }
    }
    1.0 - f64::from(given_up) / f64::from(arrived)
}

#[test]
fn vms_without_a_connection_of_their_own_find_room() {
    let kept = served(Duration::from_secs(45));
    let given_back = served(Duration::from_millis(150));
    println!("kept {kept:.3}, given back {given_back:.3}");
    assert!(given_back >= 0.99, "{given_back}");
    assert!(given_back > kept, "{given_back} {kept}");
}

//! A database that accepts fewer connections than there are VMs.
//!
//! 74 VMs share a leader with a limit of 54 connections, of which a third are not allocated
//! to any VM. Each VM sends few statements: if VMs kept borrowed connections open, most of them
//! would be idle while other VMs could not connect.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_pool::pool;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;

const VMS: usize = 74;
const CONNECTION_LIMIT: usize = 54;
const ALLOCATED_CONNECTIONS: usize = 36;
const TIME_STEP: Duration = Duration::from_millis(10);
/// How long a transaction occupies its connection.
const TRANSACTION_DURATION: Duration = Duration::from_millis(250);
/// How long a statement waits for a connection before its caller gives up.
const WAIT_LIMIT: Duration = Duration::from_millis(500);
/// Statements per second from all VMs.
const ARRIVAL_RATE: f64 = 31.0;

struct Vm {
    pool: pool::ConnectionPool<usize>,
    /// When each running transaction ends.
    running: Vec<Instant>,
    /// When each waiting statement arrived.
    waiting: Vec<Instant>,
}

/// Returns the fraction of statements that got a connection within [`WAIT_LIMIT`].
/// `idle_timeout` is how long a VM keeps an idle borrowed connection.
fn served_fraction(idle_timeout: Duration) -> f64 {
    let workspace = name::WorkspaceName::try_from("a").expect("a valid name");
    let mut random = rand::rngs::StdRng::seed_from_u64(11);
    let start = Instant::now();
    let vm = |index: usize| {
        let mut pool = pool::ConnectionPool::default();
        let allocated = usize::from(index < ALLOCATED_CONNECTIONS);
        pool.set_connection_limit(0, allocated, 1 - allocated);
        Vm {
            pool,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    };
    let mut vms: Vec<Vm> = (0..VMS).map(vm).collect();
    let (mut arrived, mut timed_out) = (0_u32, 0_u32);
    for step in 0..6_000_u32 {
        let now = start + TIME_STEP * step;
        for vm in &mut vms {
            while vm.running.first().is_some_and(|until| *until <= now) {
                vm.running.remove(0);
                vm.pool.release(0, workspace.clone(), 0, now);
            }
            drop(vm.pool.drain_borrowed(0, idle_timeout, now));
            if random.random_bool(ARRIVAL_RATE * TIME_STEP.as_secs_f64() / VMS as f64) {
                arrived += 1;
                vm.waiting.push(now);
            }
            let before = vm.waiting.len();
            vm.waiting
                .retain(|arrived_at| now - *arrived_at < WAIT_LIMIT);
            timed_out += (before - vm.waiting.len()) as u32;
        }
        let mut open_connections: usize = vms.iter().map(|vm| vm.pool.connection_count(0)).sum();
        for vm in &mut vms {
            if vm.waiting.is_empty() {
                continue;
            }
            if vm.pool.reuse_idle(&workspace, 0).is_none() {
                if vm.pool.begin_open(&workspace, 0, now).is_none() {
                    continue;
                }
                if open_connections >= CONNECTION_LIMIT {
                    vm.pool.fail_open(0, &workspace);
                    vm.pool.record_limit_refusal(0, now);
                    continue;
                }
                open_connections += 1;
                vm.pool.finish_open(0, workspace.clone(), 0, now);
                vm.pool.reuse_idle(&workspace, 0);
            }
            vm.waiting.remove(0);
            vm.running.push(now + TRANSACTION_DURATION);
        }
    }
    1.0 - f64::from(timed_out) / f64::from(arrived)
}

#[test]
fn vms_without_an_allocated_connection_can_connect() {
    let with_long_timeout = served_fraction(Duration::from_secs(45));
    let with_short_timeout = served_fraction(Duration::from_millis(150));
    println!("long idle timeout {with_long_timeout:.3}, short {with_short_timeout:.3}");
    assert!(with_short_timeout >= 0.99, "{with_short_timeout}");
    assert!(
        with_short_timeout > with_long_timeout,
        "{with_short_timeout} {with_long_timeout}"
    );
}

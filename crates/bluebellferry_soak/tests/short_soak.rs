//! A short soak with a fixed seed, and the schedules that are kept as regression tests.
//!
//! Both run real processes. The VM program is expected in the folder of the soak's
//! program: cargo builds both when it tests the whole workspace. With `-p
//! bluebellferry_soak` alone, build `bluebellferry_edge` first.

use std::path::Path;

use bluebellferry_soak::report;
use bluebellferry_soak::runner;
use bluebellferry_soak::schedule;
use bluebellferry_soak::site;
use tokio::sync::Semaphore;

/// The environment variable that overrides the seed.
const SEED_VARIABLE: &str = "BLUEBELLFERRY_SOAK_SEED";
const DEFAULT_SEED: u64 = 1;
const LENGTH_MS: u64 = 35_000;
const CALLERS: usize = 12;
/// The folder of the schedules that have failed before.
const REGRESSIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/regressions");
/// Limits the schedules that are replayed at the same time.
static REPLAY_PERMITS: Semaphore = Semaphore::const_new(2);
/// The minimum number of statements; a run with fewer tests too little.
const MIN_STATEMENTS: usize = 500;

fn run_settings(name: &str) -> runner::RunSettings {
    let soak = Path::new(env!("CARGO_BIN_EXE_bluebellferry-soak"));
    let programs = site::SitePrograms {
        vm: soak.with_file_name("bluebellferry-edge"),
        soak: soak.to_owned(),
    };
    assert!(programs.vm.exists(), "build bluebellferry_edge first");
    runner::RunSettings {
        programs,
        folder: soak.with_file_name(format!("soak-test-{name}")),
        callers: CALLERS,
        shows_progress: false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_finds_no_violation() {
    let seed = std::env::var(SEED_VARIABLE).ok();
    let seed = seed.map_or(DEFAULT_SEED, |text| {
        text.parse().expect("the seed is a number")
    });
    println!("{SEED_VARIABLE}={seed}");
    let size = schedule::SiteSize {
        vms: 3,
        spares: 2,
        databases: 3,
    };
    let schedule = schedule::FaultSchedule::draw(seed, size, LENGTH_MS);
    let settings = run_settings(&format!("seed-{seed}"));
    let outcome = runner::run_schedule(&schedule, &settings).await;
    let outcome = outcome.expect("the schedule runs");
    let page = report::render(&outcome);
    assert!(outcome.violations.is_empty(), "seed {seed}\n{page}");
    assert!(outcome.statements >= MIN_STATEMENTS, "seed {seed}\n{page}");
}

/// Replays a schedule of the folder `regressions`.
async fn replay_regression(name: &str) {
    let file = Path::new(REGRESSIONS).join(name).with_extension("json");
    let text = std::fs::read_to_string(&file).expect("the schedule can be read");
    let schedule: schedule::FaultSchedule =
        serde_json::from_str(&text).expect("the file contains a schedule");
    let settings = run_settings(name);
    let _permit = REPLAY_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed");
    let outcome = runner::run_schedule(&schedule, &settings).await;
    let outcome = outcome.expect("the schedule runs");
    let page = report::render(&outcome);
    assert!(outcome.violations.is_empty(), "{page}");
}

#[test]
fn every_kept_schedule_has_a_test() {
    let source = include_str!("short_soak.rs");
    let mut schedules = 0;
    for entry in std::fs::read_dir(REGRESSIONS).expect("the folder can be listed") {
        let file = entry.expect("the entry can be read").path();
        if file.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let name = file
            .file_stem()
            .expect("the file has a name")
            .to_string_lossy();
        let call = format!("replay_regression(\"{name}\")");
        assert!(source.contains(&call), "no test replays {name}");
        schedules += 1;
    }
    assert!(schedules > 0, "the folder contains no schedule");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_vm_beside_lagging_replicas() {
    replay_regression("frozen-vm-beside-lagging-replicas").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orderly_stops() {
    replay_regression("orderly-stops").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn primary_back_after_successor_stepped_down() {
    replay_regression("primary-back-after-successor-stepped-down").await;
}

// Guards against VMs that use an outdated configuration because the answers to their watches were
// lost on connections that stayed open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_to_the_store() {
    replay_regression("silent-connections-to-the-store").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vm_asked_twice_to_stop() {
    replay_regression("vm-asked-twice-to-stop").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vm_that_stood_still_beside_lagging_replica() {
    replay_regression("vm-that-stood-still-beside-lagging-replica").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_keys() {
    replay_regression("withdrawn-keys").await;
}

// Guards against databases that refuse all connections since they keep those that were closed while
// a statement on them had no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_connection_after_a_silent_database() {
    replay_regression("no-connection-after-a-silent-database").await;
}

// Guards against a service without a leader for good, since a leader that had stepped down was gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_gone_after_it_stepped_down() {
    replay_regression("leader-gone-after-it-stepped-down").await;
}

// Guards against statements that ran with other values, or under names that were not prepared, since
// a database had refused to set up their connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_setup_steps() {
    replay_regression("refused-setup-steps").await;
}

// Guards against names of prepared statements that are made of callers' templates.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn templates_with_blanks() {
    replay_regression("templates-with-blanks").await;
}

// Guards against transactions that go on after their key was withdrawn or passed on, together with a
// change of their route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_under_open_transactions() {
    replay_regression("keys-under-open-transactions").await;
}

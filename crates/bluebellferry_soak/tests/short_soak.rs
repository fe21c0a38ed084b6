//! A short seeded soak with real processes.
//!
//! The VMs' program is the one beside the soak's: cargo builds both where it tests the
//! whole workspace. With `-p bluebellferry_soak` alone, build `bluebellferry_edge` first.

use std::path::Path;

use bluebellferry_soak::report;
use bluebellferry_soak::runner;
use bluebellferry_soak::schedule;
use bluebellferry_soak::site;
use tokio::sync::Semaphore;

/// The variable that names another seed.
const SEED_VARIABLE: &str = "BLUEBELLFERRY_SOAK_SEED";
const DEFAULT_SEED: u64 = 1;
const LENGTH_MS: u64 = 35_000;
const CALLERS: usize = 12;
/// The schedules that failed once.
const REGRESSIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/regressions");
/// At most two kept schedules are played at once.
static REPLAY_PERMITS: Semaphore = Semaphore::const_new(2);
/// Fewer statements would show little.
const MIN_STATEMENTS: usize = 500;

fn settings(name: &str) -> runner::RunSettings {
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
async fn a_short_soak_breaks_no_promise() {
    let seed = std::env::var(SEED_VARIABLE).ok();
    let seed = seed.map_or(DEFAULT_SEED, |text| {
        text.parse().expect("a seed is a number")
    });
    println!("{SEED_VARIABLE}={seed}");
    let size = schedule::SiteSize {
        vms: 3,
        spares: 2,
        databases: 3,
    };
    let schedule = schedule::FaultSchedule::draw(seed, size, LENGTH_MS);
    let settings = settings(&format!("seed-{seed}"));
    let outcome = runner::run_schedule(&schedule, &settings).await;
    let outcome = outcome.expect("it is played");
    let page = report::render(&outcome);
    assert!(outcome.violations.is_empty(), "seed {seed}\n{page}");
    assert!(outcome.statements >= MIN_STATEMENTS, "seed {seed}\n{page}");
}

/// Plays a schedule of the folder `regressions`.
async fn replay_regression(name: &str) {
    let file = Path::new(REGRESSIONS).join(name).with_extension("json");
    let text = std::fs::read_to_string(&file).expect("a schedule can be read");
    let schedule: schedule::FaultSchedule = serde_json::from_str(&text).expect("it is a schedule");
    let settings = settings(name);
    let _permit = REPLAY_PERMITS.acquire().await.expect("it is never closed");
    let outcome = runner::run_schedule(&schedule, &settings).await;
    let outcome = outcome.expect("it is played");
    let page = report::render(&outcome);
    assert!(outcome.violations.is_empty(), "{page}");
}

#[test]
fn every_kept_schedule_has_a_test() {
    let source = include_str!("short_soak.rs");
    let mut schedules = 0;
    for entry in std::fs::read_dir(REGRESSIONS).expect("schedules are kept") {
        let file = entry.expect("a schedule can be listed").path();
        if file.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let name = file.file_stem().expect("it has a name").to_string_lossy();
        let call = format!("replay_regression(\"{name}\")");
        assert!(source.contains(&call), "no test plays {name}");
        schedules += 1;
    }
    assert!(schedules > 0, "no schedule is kept");
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

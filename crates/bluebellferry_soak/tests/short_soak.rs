//! A short seeded soak with real processes.
//!
//! The VMs' program is the one beside the soak's: cargo builds both where it tests the
//! whole workspace. With `-p bluebellferry_soak` alone, build `bluebellferry_edge` first.

use std::path::Path;
use std::sync::Arc;

use bluebellferry_soak::play;
use bluebellferry_soak::report;
use bluebellferry_soak::schedule;
use bluebellferry_soak::site;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The variable that names another seed.
const SEED_VARIABLE: &str = "BLUEBELLFERRY_SOAK_SEED";
const USUAL_SEED: u64 = 1;
const LENGTH_MS: u64 = 35_000;
const CALLERS: usize = 12;
/// How many kept schedules are played at once.
const AT_ONCE: usize = 2;
/// Fewer statements would show little.
const LEAST_STATEMENTS: usize = 500;

fn settings(name: &str) -> play::PlaySettings {
    let soak = Path::new(env!("CARGO_BIN_EXE_bluebellferry-soak"));
    let programs = site::SitePrograms {
        vm: soak.with_file_name("bluebellferry-edge"),
        soak: soak.to_owned(),
    };
    assert!(programs.vm.exists(), "build bluebellferry_edge first");
    play::PlaySettings {
        programs,
        folder: soak.with_file_name(format!("soak-test-{name}")),
        callers: CALLERS,
        shows_progress: false,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_soak_breaks_no_promise() {
    let seed = std::env::var(SEED_VARIABLE).ok();
    let seed = seed.map_or(USUAL_SEED, |text| text.parse().expect("a seed is a number"));
    println!("{SEED_VARIABLE}={seed}");
    let size = schedule::SiteSize {
        vms: 3,
        spares: 2,
        databases: 3,
    };
    let schedule = schedule::FaultSchedule::draw(seed, size, LENGTH_MS);
    let settings = settings(&format!("seed-{seed}"));
    let outcome = play::play(&schedule, &settings).await;
    let outcome = outcome.expect("it is played");
    let page = report::render(&outcome);
    assert!(outcome.violations.is_empty(), "seed {seed}\n{page}");
    assert!(
        outcome.statements >= LEAST_STATEMENTS,
        "seed {seed}\n{page}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn schedules_that_once_failed_break_no_promise() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("regressions");
    let places = Arc::new(Semaphore::new(AT_ONCE));
    let mut plays = JoinSet::new();
    for entry in std::fs::read_dir(folder).expect("schedules are kept") {
        let file = entry.expect("a schedule can be listed").path();
        if file.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let text = std::fs::read_to_string(&file).expect("a schedule can be read");
        let schedule: schedule::FaultSchedule =
            serde_json::from_str(&text).expect("it is a schedule");
        let name = file.file_stem().expect("it has a name").to_string_lossy();
        let (settings, places) = (settings(&name), Arc::clone(&places));
        plays.spawn(async move {
            let _place = places.acquire().await.expect("it is never closed");
            let outcome = play::play(&schedule, &settings).await;
            outcome.expect("it is played")
        });
    }
    for outcome in plays.join_all().await {
        let page = report::render(&outcome);
        assert!(outcome.violations.is_empty(), "{page}");
    }
}

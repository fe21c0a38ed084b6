//! Tests of schedules that are drawn from seeds.

use std::collections::BTreeSet;
use std::path::Path;

use bluebellferry_soak::fault;
use bluebellferry_soak::schedule;

const SIZE: schedule::SiteSize = schedule::SiteSize {
    vms: 3,
    spares: 2,
    databases: 3,
};

#[test]
fn a_seed_gives_the_same_schedule_each_time() {
    for seed in 0..50 {
        let first = schedule::FaultSchedule::draw(seed, SIZE, 20_000);
        let second = schedule::FaultSchedule::draw(seed, SIZE, 20_000);
        assert_eq!(first, second);
    }
    let first = schedule::FaultSchedule::draw(1, SIZE, 20_000);
    assert_ne!(
        first.faults,
        schedule::FaultSchedule::draw(2, SIZE, 20_000).faults
    );
}

#[test]
fn fifty_seeds_draw_every_kind_of_fault() {
    let schedules = (0..50).map(|seed| schedule::FaultSchedule::draw(seed, SIZE, 20_000));
    let faults = schedules.flat_map(|schedule| schedule.faults);
    let drawn: BTreeSet<&str> = faults.map(|fault| fault.kind.name()).collect();
    let all = fault::FaultKind::KINDS.map(|(name, _)| name);
    assert_eq!(drawn, BTreeSet::from(all));
}

#[test]
fn faults_overlap_and_end_before_the_recovery_time() {
    let mut overlapping = 0;
    for seed in 0..50 {
        let schedule = schedule::FaultSchedule::draw(seed, SIZE, 20_000);
        let fault_end_ms = schedule.length_ms - schedule::recovery_ms(schedule.length_ms);
        let end_ms = |fault: &fault::ScheduledFault| fault.at_ms + fault.lasts_ms;
        assert!(
            schedule
                .faults
                .iter()
                .all(|fault| end_ms(fault) <= fault_end_ms)
        );
        let pairs = schedule.faults.windows(2);
        overlapping += pairs
            .filter(|pair| end_ms(&pair[0]) > pair[1].at_ms)
            .count();
    }
    assert!(overlapping > 50, "{overlapping}");
}

#[test]
fn a_schedule_can_be_read_from_its_json() {
    let schedule = schedule::FaultSchedule::draw(3, SIZE, 20_000);
    let text = serde_json::to_string(&schedule).expect("a schedule can be encoded");
    let read: schedule::FaultSchedule =
        serde_json::from_str(&text).expect("the text can be decoded");
    assert_eq!(read, schedule);
}

#[test]
fn refusals_of_setup_steps_follow_one_another_and_keep_the_protocol() {
    let mut drawn = BTreeSet::new();
    for seed in 0..50 {
        let schedule = schedule::FaultSchedule::draw(seed, SIZE, 20_000);
        let mut last_end_ms = 0;
        for scheduled in &schedule.faults {
            let fault::FaultKind::RefuseSetup(refusal) = scheduled.kind else {
                continue;
            };
            assert!(scheduled.at_ms > last_end_ms, "{schedule:?}");
            last_end_ms = scheduled.at_ms + scheduled.lasts_ms;
            // BUSY says that the step did not run.
            assert!(refusal.error != fault::SetupError::Busy || !refusal.takes_effect);
            let (verb, code) = (refusal.verb.word(), refusal.error.code());
            drawn.insert((verb, code, refusal.takes_effect));
        }
    }
    let (verbs, effects) = (["PREPARE", "RESET", "SET"], 5);
    assert_eq!(drawn.len(), verbs.len() * effects, "{drawn:?}");
}

#[test]
fn changes_of_access_come_in_every_combination_and_several_at_once() {
    let mut states = BTreeSet::new();
    let mut counts = BTreeSet::new();
    let mut longest_ms = 0;
    for seed in 0..50 {
        let schedule = schedule::FaultSchedule::draw(seed, SIZE, 20_000);
        for scheduled in &schedule.faults {
            let fault::FaultKind::ChangeAccess(versions) = &scheduled.kind else {
                continue;
            };
            counts.insert(versions.len());
            longest_ms = longest_ms.max(scheduled.lasts_ms);
            let name = |state: &fault::AccessState| format!("{state:?}");
            states.extend(versions.iter().map(name));
        }
    }
    let (owners, routes) = (3, 4);
    assert_eq!(states.len(), owners * routes, "{states:?}");
    assert_eq!(counts, BTreeSet::from([1, 2, 3]));
    // Long enough for a version that is not applied in time to show.
    assert!(longest_ms > 4_000, "{longest_ms}");
}

#[test]
fn kept_schedules_can_be_read() {
    let mut schedules = 0;
    for folder in ["regressions", "open"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
        for entry in std::fs::read_dir(folder).expect("the folder can be listed") {
            let file = entry.expect("the entry can be read").path();
            if file
                .extension()
                .is_some_and(|extension| extension == "json")
            {
                let text = std::fs::read_to_string(&file).expect("the schedule can be read");
                let read = serde_json::from_str::<schedule::FaultSchedule>(&text);
                assert!(read.is_ok(), "{}: {read:?}", file.display());
                schedules += 1;
            }
        }
    }
    assert!(schedules > 0, "the folders contain no schedule");
}

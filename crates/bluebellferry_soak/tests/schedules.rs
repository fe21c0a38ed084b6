//! Tests of schedules that are drawn from seeds.

use std::collections::BTreeSet;

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

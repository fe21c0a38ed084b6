//! Calls to a store that does not answer, counted without sockets.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_edge::control::store_gate;

/// The tasks of a VM that read the store.
const TASKS: usize = 4;
/// How often a task tries again after a failure if nothing else limits it.
const TASK_BACKOFF: Duration = Duration::from_millis(500);
/// The time after which a call to an unavailable store fails.
const CALL_TIME: Duration = Duration::from_millis(4);
const STEP: Duration = Duration::from_millis(1);

/// The calls of one VM to a store that is unavailable from the start until `outage`, and when each
/// task was first answered afterwards.
struct SimulatedOutage {
    calls: usize,
    answered: Vec<Duration>,
}

fn play(outage: Duration, is_reader: bool) -> SimulatedOutage {
    let start = Instant::now();
    let mut gate = store_gate::StoreGate::default();
    let mut next_try = [Duration::ZERO; TASKS];
    let mut in_flight: [Option<Duration>; TASKS] = [None; TASKS];
    let mut played = SimulatedOutage {
        calls: 0,
        answered: Vec::new(),
    };
    let mut now = Duration::ZERO;
    while played.answered.len() < TASKS {
        for task in 0..TASKS {
            if let Some(ends) = in_flight[task] {
                if ends <= now {
                    in_flight[task] = None;
                    let is_answered = now >= outage;
                    gate.record(is_answered, is_reader, 0.0, start + now);
                    next_try[task] = if is_answered {
                        played.answered.push(now);
                        Duration::MAX
                    } else {
                        now + TASK_BACKOFF
                    };
                }
            } else if next_try[task] <= now {
                match gate.enter(start + now) {
                    Ok(()) => {
                        played.calls += 1;
                        in_flight[task] = Some(now + CALL_TIME);
                    }
                    Err(wait) => next_try[task] = now + wait,
                }
            }
        }
        now += STEP;
    }
    played
}

// Guards against thousands of calls to a store that is down: each of 195 VMs tried with four tasks.
#[test]
fn an_outage_costs_a_vm_a_few_calls() {
    let outage = Duration::from_secs(5);
    let played = play(outage, false);
    // The first attempt of each task, three pauses that grow, the longest ones, and the return.
    assert!(played.calls <= TASKS + 3 + 3 + TASKS, "{}", played.calls);
}

// Guards against VMs that learn late of a store that is back because they call it less.
#[test]
fn a_reader_notices_within_its_longest_pause_that_the_store_is_back() {
    for outage_ms in (1_000..6_000).step_by(130) {
        let outage = Duration::from_millis(outage_ms);
        let played = play(outage, true);
        let first = played.answered[0] - outage;
        assert!(first <= Duration::from_millis(560), "{outage:?}: {first:?}");
        // The other tasks follow at once.
        let last = played.answered[TASKS - 1] - played.answered[0];
        assert!(last <= TASK_BACKOFF, "{outage:?}: {last:?}");
    }
}

// Guards against a VM that stops reading because single answers of the store are lost.
#[test]
fn a_lost_answer_limits_no_other_call() {
    let now = Instant::now();
    let mut gate = store_gate::StoreGate::default();
    for _ in 0..10 {
        gate.record(false, false, 0.0, now);
        assert_eq!(gate.enter(now), Ok(()));
        gate.record(true, false, 0.0, now);
        assert_eq!(gate.enter(now), Ok(()));
    }
}

#[test]
fn one_call_at_a_time_probes_a_store_that_is_down() {
    let now = Instant::now();
    let mut gate = store_gate::StoreGate::default();
    gate.record(false, false, 0.0, now);
    gate.record(false, false, 0.0, now);
    let wait = gate.enter(now).expect_err("the store is down");
    let later = now + wait;
    assert_eq!(gate.enter(later), Ok(()));
    assert!(gate.enter(later).is_err(), "a probe is under way");
    gate.record(true, false, 0.0, later);
    assert_eq!(gate.enter(later), Ok(()));
    assert_eq!(gate.enter(later), Ok(()));
}

//! Buckets that lend to each other, under seeded faults: whatever is lost,
//! late, doubled or paused, no window admits more than rate and burst.
//!
//! The number of seeds is 200, or what `BLUEBELLFERRY_SEEDS` says.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_history::checker;
use bluebellferry_history::event;
use bluebellferry_limits::bucket;
use bluebellferry_limits::share;
use bluebellferry_types::name;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const VMS: usize = 5;
const STEP: Duration = Duration::from_millis(2);
const DURATION: Duration = Duration::from_secs(12);

struct Loan {
    to: usize,
    amount: f64,
    asked_at: Instant,
    due: Instant,
}

fn seeds() -> u64 {
    let wanted = std::env::var("BLUEBELLFERRY_SEEDS").ok();
    wanted.and_then(|seeds| seeds.parse().ok()).unwrap_or(200)
}

/// Runs one schedule and returns the admissions, rate and burst.
fn run_schedule(seed: u64) -> (Vec<event::CallerEvent>, f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let rate: f64 = random.random_range(5.0..2_000.0);
    let burst: f64 = random.random_range(1.0..2_000.0);
    let size = bucket::ShareSize {
        rate_per_second: rate / VMS as f64,
        burst: burst / VMS as f64,
    };
    let start = Instant::now();
    let mut buckets: Vec<_> = (0..VMS)
        .map(|_| bucket::ShareBucket::full(size, start))
        .collect();
    let mut paused_until = [start; VMS];
    let mut loans: Vec<Loan> = Vec::new();
    let mut events = Vec::new();
    let mut now = start;
    let favourite = random.random_range(0..VMS);
    while now < start + DURATION {
        for vm in 0..VMS {
            if paused_until[vm] > now {
                continue;
            }
            if random.random_bool(0.000_5) {
                paused_until[vm] = now + Duration::from_millis(random.random_range(50..4_000));
                continue;
            }
            if random.random_bool(0.001) {
                // Replaced by a new process in the same place, which starts empty.
                buckets[vm] = bucket::ShareBucket::empty(size, now);
            }
            buckets[vm].record_running(now);
            let wanted = if vm == favourite { 6 } else { 1 };
            for _ in 0..wanted {
                if buckets[vm].try_take(now) == bucket::TakeOutcome::Granted {
                    let at_us = (now - start).as_micros() as u64;
                    events.push(event::CallerEvent::Admitted {
                        workspace: 1,
                        at_us,
                    });
                }
            }
            if random.random_bool(0.2) {
                let to = random.random_range(0..VMS);
                let asked_at = now - Duration::from_millis(random.random_range(0..60));
                let amount = buckets[vm].lend(random.random_range(0.0..20.0), 0.0, now);
                if to != vm && amount > 0.0 && random.random_bool(0.8) {
                    let due = now + Duration::from_millis(random.random_range(0..400));
                    loans.push(Loan {
                        to,
                        amount,
                        asked_at,
                        due,
                    });
                }
            }
        }
        let due: Vec<Loan> = loans.extract_if(.., |loan| loan.due <= now).collect();
        for loan in due {
            if paused_until[loan.to] <= now {
                buckets[loan.to].accept_loan(loan.amount, loan.asked_at, now);
            }
        }
        now += STEP;
    }
    (events, rate, burst)
}

#[test]
fn no_window_admits_more_than_rate_and_burst() {
    for seed in 0..seeds() {
        let (events, rate, burst) = run_schedule(seed);
        // Below a token for each VM, tokens may be lent to and fro unspent.
        assert!(!events.is_empty() || burst < VMS as f64, "seed {seed}");
        let violation = checker::check_rate(&events, 1, rate, burst);
        assert_eq!(violation, None, "seed {seed}, rate {rate}, burst {burst}");
    }
}

#[test]
fn a_paused_holder_starts_from_nothing() {
    let size = bucket::ShareSize {
        rate_per_second: 100.0,
        burst: 50.0,
    };
    let start = Instant::now();
    let mut paused = bucket::ShareBucket::full(size, start);
    paused.accept_loan(30.0, start, start);
    let woken = start + Duration::from_secs(10);
    assert_eq!(paused.available(woken), 0.0);
    let soon = woken + bucket::SUSPENSION_RECOVERY_DELAY / 2;
    paused.record_running(soon);
    assert_eq!(paused.available(soon), 0.0);
    let later = woken + bucket::SUSPENSION_RECOVERY_DELAY + Duration::from_millis(100);
    paused.record_running(later);
    assert!(paused.available(later) > 0.0);
}

#[test]
fn a_late_loan_is_not_spent() {
    let size = bucket::ShareSize {
        rate_per_second: 1.0,
        burst: 1.0,
    };
    let start = Instant::now();
    let mut holder = bucket::ShareBucket::empty(size, start);
    let late = start + bucket::LOAN_VALIDITY;
    holder.accept_loan(5.0, start, late);
    assert!(holder.available(late) < 1.0);
}

#[test]
fn owned_parts_add_up_to_the_whole() {
    let total = bucket::ShareSize {
        rate_per_second: 700.0,
        burst: 70.0,
    };
    for vms in [1_u32, 3, 20, 300] {
        let names = ["amman", "aqaba", "irbid"];
        let centres: Vec<(name::DataCentreName, u32)> = names
            .iter()
            .filter_map(|text| Some((name::DataCentreName::try_from(*text).ok()?, vms)))
            .collect();
        let workspace = name::WorkspaceName::try_from("families").expect("a valid name");
        let mut sum = 0.0;
        let mut owners = 0;
        for (data_centre, count) in &centres {
            for ordinal in 0..*count {
                let place = share::VmPlace {
                    data_centre: data_centre.clone(),
                    ordinal,
                };
                let part = share::owned_share(&workspace, total, &place, &centres);
                sum += part.rate_per_second;
                owners += u32::from(part.burst > 0.0);
            }
        }
        assert!((sum - 700.0).abs() < 1e-6, "{vms} VMs own {sum}");
        assert!(owners <= 12, "{owners} owners");
    }
}

#[test]
fn a_replacement_leaves_room_for_what_was_lent_before_it() {
    let size = bucket::ShareSize {
        rate_per_second: 1_000.0,
        burst: 10.0,
    };
    let start = Instant::now();
    let mut giver = bucket::ShareBucket::full(size, start);
    let mut borrower = bucket::ShareBucket::empty(size, start);
    let amount = giver.lend(10.0, 0.0, start);
    borrower.accept_loan(amount, start, start);
    let mut replacement = bucket::ShareBucket::empty(size, start);
    let now = start + bucket::LOAN_VALIDITY / 2;
    let together = borrower.borrowed(now) + replacement.available(now);
    assert!(together <= 10.0, "{together} tokens of 10");
}

#[test]
fn a_vm_that_owns_nothing_lives_on_loans() {
    let nothing = bucket::ShareSize {
        rate_per_second: 0.0,
        burst: 0.0,
    };
    let start = Instant::now();
    let mut borrower = bucket::ShareBucket::empty(nothing, start);
    let answer = borrower.try_take(start);
    let refill_delay = bucket::MAX_REFILL_DELAY;
    assert_eq!(answer, bucket::TakeOutcome::Empty { refill_delay });
    borrower.accept_loan(1.0, start, start);
    assert_eq!(borrower.try_take(start), bucket::TakeOutcome::Granted);
}

//! Buckets that lend to each other under seeded faults: although loans are lost or late
//! and VMs are suspended or replaced, no period admits more than rate and burst.
//!
//! Runs 200 seeds, or the number in the environment variable `BLUEBELLFERRY_SEEDS`.

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
    requested_at: Instant,
    due_at: Instant,
}

fn seeds() -> u64 {
    let wanted = std::env::var("BLUEBELLFERRY_SEEDS").ok();
    wanted.and_then(|seeds| seeds.parse().ok()).unwrap_or(200)
}

/// Runs one random schedule and returns the admissions, rate and burst.
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
        .map(|_| bucket::ShareBucket::new_full(size, start))
        .collect();
    let mut suspended_until = [start; VMS];
    let mut loans: Vec<Loan> = Vec::new();
    let mut admissions = Vec::new();
    let mut now = start;
    let busiest_vm = random.random_range(0..VMS);
    while now < start + DURATION {
        for vm in 0..VMS {
            if suspended_until[vm] > now {
                continue;
            }
            if random.random_bool(0.000_5) {
                suspended_until[vm] = now + Duration::from_millis(random.random_range(50..4_000));
                continue;
            }
            if random.random_bool(0.001) {
                // The VM is replaced by a new process, whose bucket starts empty.
                buckets[vm] = bucket::ShareBucket::new_empty(size, now);
            }
            buckets[vm].record_running(now);
            let operations = if vm == busiest_vm { 6 } else { 1 };
            for _ in 0..operations {
                if buckets[vm].try_take(now) == bucket::TakeOutcome::Granted {
                    let at_us = (now - start).as_micros() as u64;
                    admissions.push(event::CallerEvent::Admitted {
                        workspace: 1,
                        at_us,
                    });
                }
            }
            if random.random_bool(0.2) {
                let to = random.random_range(0..VMS);
                let requested_at = now - Duration::from_millis(random.random_range(0..60));
                let amount = buckets[vm].lend(random.random_range(0.0..20.0), 0.0, now);
                if to != vm && amount > 0.0 && random.random_bool(0.8) {
                    let due_at = now + Duration::from_millis(random.random_range(0..400));
                    loans.push(Loan {
                        to,
                        amount,
                        requested_at,
                        due_at,
                    });
                }
            }
        }
        let due_loans: Vec<Loan> = loans.extract_if(.., |loan| loan.due_at <= now).collect();
        for loan in due_loans {
            if suspended_until[loan.to] <= now {
                buckets[loan.to].accept_loan(loan.amount, loan.requested_at, now);
            }
        }
        now += STEP;
    }
    (admissions, rate, burst)
}

#[test]
fn no_period_admits_more_than_rate_and_burst() {
    for seed in 0..seeds() {
        let (admissions, rate, burst) = run_schedule(seed);
        // With less than a token for each VM, fractions may be lent back and forth unspent.
        assert!(!admissions.is_empty() || burst < VMS as f64, "seed {seed}");
        let violation = checker::check_rate(&admissions, 1, rate, burst);
        assert_eq!(violation, None, "seed {seed}, rate {rate}, burst {burst}");
    }
}

#[test]
fn a_suspended_vm_resumes_with_an_empty_bucket() {
    let size = bucket::ShareSize {
        rate_per_second: 100.0,
        burst: 50.0,
    };
    let start = Instant::now();
    let mut suspended = bucket::ShareBucket::new_full(size, start);
    suspended.accept_loan(30.0, start, start);
    let resumed_at = start + Duration::from_secs(10);
    assert_eq!(suspended.available_tokens(resumed_at), 0.0);
    let during_recovery = resumed_at + bucket::SUSPENSION_RECOVERY_DELAY / 2;
    suspended.record_running(during_recovery);
    assert_eq!(suspended.available_tokens(during_recovery), 0.0);
    let after_recovery =
        resumed_at + bucket::SUSPENSION_RECOVERY_DELAY + Duration::from_millis(100);
    suspended.record_running(after_recovery);
    assert!(suspended.available_tokens(after_recovery) > 0.0);
}

#[test]
fn an_expired_loan_is_not_spent() {
    let size = bucket::ShareSize {
        rate_per_second: 1.0,
        burst: 1.0,
    };
    let start = Instant::now();
    let mut borrower = bucket::ShareBucket::new_empty(size, start);
    let expired_at = start + bucket::LOAN_VALIDITY;
    borrower.accept_loan(5.0, start, expired_at);
    assert!(borrower.available_tokens(expired_at) < 1.0);
}

#[test]
fn owned_shares_add_up_to_the_whole_rate() {
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
                let owned = share::owned_share(&workspace, total, &place, &centres);
                sum += owned.rate_per_second;
                owners += u32::from(owned.burst > 0.0);
            }
        }
        assert!((sum - 700.0).abs() < 1e-6, "{vms} VMs own {sum}");
        assert!(owners <= 12, "{owners} owners");
    }
}

#[test]
fn a_replacement_process_leaves_room_for_loans_of_its_predecessor() {
    let size = bucket::ShareSize {
        rate_per_second: 1_000.0,
        burst: 10.0,
    };
    let start = Instant::now();
    let mut lender = bucket::ShareBucket::new_full(size, start);
    let mut borrower = bucket::ShareBucket::new_empty(size, start);
    let amount = lender.lend(10.0, 0.0, start);
    borrower.accept_loan(amount, start, start);
    let mut replacement = bucket::ShareBucket::new_empty(size, start);
    let now = start + bucket::LOAN_VALIDITY / 2;
    let total = borrower.borrowed_tokens(now) + replacement.available_tokens(now);
    assert!(total <= 10.0, "{total} tokens of 10");
}

#[test]
fn a_vm_without_a_share_spends_borrowed_tokens() {
    let no_share = bucket::ShareSize {
        rate_per_second: 0.0,
        burst: 0.0,
    };
    let start = Instant::now();
    let mut borrower = bucket::ShareBucket::new_empty(no_share, start);
    let answer = borrower.try_take(start);
    let refill_delay = bucket::MAX_REFILL_DELAY;
    assert_eq!(answer, bucket::TakeOutcome::Empty { refill_delay });
    borrower.accept_loan(1.0, start, start);
    assert_eq!(borrower.try_take(start), bucket::TakeOutcome::Granted);
}

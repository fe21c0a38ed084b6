//! A VM's bucket keeps growing on time although its size is changed again and again.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;

fn size(rate: f64) -> bucket::ShareSize {
    bucket::ShareSize {
        rate_per_second: rate,
        burst: rate,
    }
}

#[test]
fn repeated_resizes_do_not_postpone_growth() {
    let start = Instant::now();
    let mut share_bucket = bucket::ShareBucket::new_empty(size(1.0), start);
    let second = Duration::from_secs(1);
    for step in 0..20 {
        let now = start + second * step;
        share_bucket.record_running(now);
        share_bucket.resize(size(50.0 + f64::from(step % 2)), now);
    }
    let mut now = start + second * 20;
    share_bucket.record_running(now);
    while share_bucket.try_take(now) == bucket::TakeOutcome::Granted {}
    now += second / 2;
    share_bucket.record_running(now);
    assert!(share_bucket.available_tokens(now) > 20.0);
}

#[test]
fn pending_growth_is_limited_by_a_later_smaller_size() {
    let start = Instant::now();
    let mut share_bucket = bucket::ShareBucket::new_empty(size(10.0), start);
    share_bucket.resize(size(50.0), start);
    share_bucket.resize(size(5.0), start + Duration::from_secs(1));
    let mut now = start;
    for _ in 0..100 {
        now += Duration::from_millis(200);
        share_bucket.record_running(now);
        assert!(share_bucket.available_tokens(now) <= 10.0);
    }
    assert!(share_bucket.available_tokens(now) <= 5.0);
}

#[test]
fn a_share_that_may_only_shrink_drops_growth_that_waits() {
    let start = Instant::now();
    let mut bucket = bucket::ShareBucket::new_full(size(10.0), start);
    let second = Duration::from_secs(1);
    bucket.resize_after(size(100.0), second, start);
    bucket.shrink(size(4.0), start + second / 2);
    let later = start + second * 3;
    for step in 1..30 {
        bucket.record_running(start + second * step / 10);
    }
    assert!(bucket.available_tokens(later) <= 4.0);
    bucket.resize_after(size(10.0), Duration::ZERO, later);
    bucket.record_running(later + second / 2);
    assert!(bucket.available_tokens(later + second / 2) > 4.0);
}

// Guards against a VM that regains its share and waits for an earlier change of its size that was
// to take effect later.
#[test]
fn a_size_that_takes_effect_sooner_replaces_those_that_wait() {
    let start = Instant::now();
    let mut bucket = bucket::ShareBucket::new_empty(size(1.0), start);
    bucket.resize_after(size(5.0), Duration::from_millis(900), start);
    bucket.resize_after(size(20.0), Duration::ZERO, start);
    for after_ms in [10, 950] {
        bucket.record_running(start + Duration::from_millis(after_ms));
        assert!((bucket.rate_per_second() - 20.0).abs() < 1e-9);
    }
}

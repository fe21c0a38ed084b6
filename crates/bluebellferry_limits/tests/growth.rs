//! Growth of a VM's part while its size keeps changing.

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
fn a_stream_of_resizes_does_not_put_growth_off_for_ever() {
    let start = Instant::now();
    let mut share = bucket::ShareBucket::empty(size(1.0), start);
    let second = Duration::from_secs(1);
    for step in 0..20 {
        let now = start + second * step;
        share.record_running(now);
        share.resize(size(50.0 + f64::from(step % 2)), now);
    }
    let mut now = start + second * 20;
    share.record_running(now);
    while share.try_take(now) == bucket::TakeOutcome::Granted {}
    now += second / 2;
    share.record_running(now);
    assert!(share.available(now) > 20.0);
}

#[test]
fn growth_never_exceeds_a_later_smaller_size() {
    let start = Instant::now();
    let mut share = bucket::ShareBucket::empty(size(10.0), start);
    share.resize(size(50.0), start);
    share.resize(size(5.0), start + Duration::from_secs(1));
    let mut now = start;
    for _ in 0..100 {
        now += Duration::from_millis(200);
        share.record_running(now);
        assert!(share.available(now) <= 10.0);
    }
    assert!(share.available(now) <= 5.0);
}

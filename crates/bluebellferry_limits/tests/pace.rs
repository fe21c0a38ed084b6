//! The pace of cold backend servers, and when it applies.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::pace;

#[test]
fn a_pace_never_exceeds_what_is_tolerated_in_a_second_and_admits_whole_statements() {
    for per_second in [0.5, 1.0, 3.0, 20.0, 400.0] {
        for factor in [1.0, 1.5, 3.0] {
            for statements in [0.0, 1.0, 5.0] {
                let tolerance = pace::PaceTolerance { factor, statements };
                let size = tolerance.pace_of(per_second);
                let tolerated = per_second * factor + statements;
                let context = format!("{per_second} {factor} {statements}: {size:?}");
                assert!(
                    size.rate_per_second + size.burst <= tolerated + 1e-9,
                    "{context}"
                );
                assert!(size.burst >= 1.0 || tolerated < 1.0, "{context}");
                assert!(size.rate_per_second <= per_second, "{context}");
            }
        }
    }
}

#[test]
fn a_server_is_paced_until_its_registration_must_be_known() {
    let start = Instant::now();
    let mut contact = pace::ContactRecord::default();
    // A VM that has no connection does not know whether the server has just started.
    assert!(contact.is_paced(false, start));
    contact.record_opened(start);
    let known = start + pace::REGISTRATION_DELAY;
    assert!(contact.is_paced(false, known - Duration::from_millis(1)));
    assert!(!contact.is_paced(false, known));
    // A further connection does not start the wait again, an interruption does.
    contact.record_opened(known);
    assert!(!contact.is_paced(false, known));
    contact.record_interrupted();
    contact.record_opened(known);
    assert!(contact.is_paced(false, known + Duration::from_millis(1)));
    // What the server itself registers is decisive.
    assert!(contact.is_paced(true, known + pace::REGISTRATION_DELAY * 2));
}

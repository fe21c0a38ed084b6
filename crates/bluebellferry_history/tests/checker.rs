//! The checker reports each violation of constructed histories, and none for a
//! history without one.

use bluebellferry_history::checker;
use bluebellferry_history::event;

fn write(session: u64, row: u64, outcome: event::WriteOutcome) -> event::CallerEvent {
    event::CallerEvent::Write {
        session,
        row,
        started_us: 10 * row,
        ended_us: 10 * row + 5,
        outcome,
    }
}

fn read(session: u64, row: u64, started_us: u64, found: bool) -> event::CallerEvent {
    event::CallerEvent::Read {
        session,
        row,
        started_us,
        found,
    }
}

#[test]
fn history_without_violations_passes() {
    let events = [
        write(1, 1, event::WriteOutcome::Acknowledged),
        write(1, 2, event::WriteOutcome::NotRun),
        write(2, 3, event::WriteOutcome::Unknown),
        read(1, 1, 100, true),
        // One read was sent before the acknowledgement, the other by another caller.
        read(1, 1, 12, false),
        read(2, 1, 100, false),
    ];
    assert_eq!(checker::check_history(&events, &[1]), []);
    assert_eq!(checker::check_history(&events, &[1, 3]), []);
}

#[test]
fn missing_acknowledged_write_is_reported() {
    let events = [write(1, 1, event::WriteOutcome::Acknowledged)];
    let violations = checker::check_history(&events, &[]);
    assert_eq!(
        violations,
        [checker::HistoryViolation::LostWrite { row: 1 }]
    );
}

#[test]
fn duplicate_row_is_reported() {
    let events = [write(1, 1, event::WriteOutcome::Acknowledged)];
    let violations = checker::check_history(&events, &[1, 1]);
    assert_eq!(
        violations,
        [checker::HistoryViolation::DoubledWrite { row: 1 }]
    );
}

#[test]
fn row_of_refused_write_is_reported() {
    let events = [write(1, 1, event::WriteOutcome::NotRun)];
    let violations = checker::check_history(&events, &[1]);
    assert_eq!(
        violations,
        [checker::HistoryViolation::UntrueRefusal { row: 1 }]
    );
}

#[test]
fn read_missing_own_write_is_reported() {
    let events = [
        write(1, 1, event::WriteOutcome::Acknowledged),
        read(1, 1, 15, false),
    ];
    let violations = checker::check_history(&events, &[1]);
    assert_eq!(
        violations,
        [checker::HistoryViolation::StaleRead { session: 1, row: 1 }]
    );
}

#[test]
fn half_visible_transaction_is_reported() {
    let events = [event::CallerEvent::PairRead {
        row: 4,
        first: true,
        second: false,
    }];
    let violations = checker::check_history(&events, &[]);
    assert_eq!(
        violations,
        [checker::HistoryViolation::MixedTransaction { row: 4 }]
    );
}

#[test]
fn api_key_in_received_bytes_is_reported() {
    let received = [b"SELECT 1".to_vec(), b"SELECT 'secret-key'".to_vec()];
    let violations = checker::check_key_leaks(&received, b"secret-key");
    assert_eq!(
        violations,
        [checker::HistoryViolation::KeyLeak { database: 1 }]
    );
}

#[test]
fn rate_overshoot_in_any_interval_is_reported() {
    let admitted = |at_us| event::CallerEvent::Admitted {
        workspace: 1,
        at_us,
    };
    // 10 requests per second with a burst of 5. The idle time before the first
    // request must not raise the burst.
    let mut events: Vec<_> = (0..5).map(|_| admitted(5_000_000)).collect();
    events.extend((1..=20).map(|step| admitted(5_000_000 + step * 100_000)));
    assert_eq!(checker::check_rate(&events, 1, 10.0, 5.0), None);
    events.push(admitted(6_000_000));
    let violations = checker::check_rate(&events, 1, 10.0, 5.0);
    assert_eq!(
        violations,
        Some(checker::HistoryViolation::RateOvershoot {
            workspace: 1,
            excess: 1
        })
    );
}

//! Every planted violation is caught, and a clean history passes.

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
fn a_clean_history_passes() {
    let events = [
        write(1, 1, event::WriteOutcome::Acknowledged),
        write(1, 2, event::WriteOutcome::NotRun),
        write(2, 3, event::WriteOutcome::Unknown),
        read(1, 1, 100, true),
        // Sent before the write was acknowledged, and another caller's.
        read(1, 1, 12, false),
        read(2, 1, 100, false),
    ];
    assert_eq!(checker::check_history(&events, &[1]), []);
    assert_eq!(checker::check_history(&events, &[1, 3]), []);
}

#[test]
fn a_lost_write_is_caught() {
    let events = [write(1, 1, event::WriteOutcome::Acknowledged)];
    let found = checker::check_history(&events, &[]);
    assert_eq!(found, [checker::HistoryViolation::LostWrite { row: 1 }]);
}

#[test]
fn a_doubled_write_is_caught() {
    let events = [write(1, 1, event::WriteOutcome::Acknowledged)];
    let found = checker::check_history(&events, &[1, 1]);
    assert_eq!(found, [checker::HistoryViolation::DoubledWrite { row: 1 }]);
}

#[test]
fn an_untrue_refusal_is_caught() {
    let events = [write(1, 1, event::WriteOutcome::NotRun)];
    let found = checker::check_history(&events, &[1]);
    assert_eq!(found, [checker::HistoryViolation::UntrueRefusal { row: 1 }]);
}

#[test]
fn a_stale_read_is_caught() {
    let events = [
        write(1, 1, event::WriteOutcome::Acknowledged),
        read(1, 1, 15, false),
    ];
    let found = checker::check_history(&events, &[1]);
    assert_eq!(
        found,
        [checker::HistoryViolation::StaleRead { session: 1, row: 1 }]
    );
}

#[test]
fn a_mixed_transaction_is_caught() {
    let events = [event::CallerEvent::PairRead {
        row: 4,
        first: true,
        second: false,
    }];
    let found = checker::check_history(&events, &[]);
    assert_eq!(
        found,
        [checker::HistoryViolation::MixedTransaction { row: 4 }]
    );
}

#[test]
fn a_key_in_a_log_is_caught() {
    let received = [b"SELECT 1".to_vec(), b"SELECT 'secret-key'".to_vec()];
    let found = checker::check_key_leaks(&received, b"secret-key");
    assert_eq!(found, [checker::HistoryViolation::KeyLeak { database: 1 }]);
}

#[test]
fn an_overshoot_is_caught_in_any_window() {
    let admitted = |at_us| event::CallerEvent::Admitted {
        workspace: 1,
        at_us,
    };
    // Ten a second with a burst of five, and a quiet start that saves nothing.
    let mut events: Vec<_> = (0..5).map(|_| admitted(5_000_000)).collect();
    events.extend((1..=20).map(|step| admitted(5_000_000 + step * 100_000)));
    assert_eq!(checker::check_rate(&events, 1, 10.0, 5.0), None);
    events.push(admitted(6_000_000));
    let found = checker::check_rate(&events, 1, 10.0, 5.0);
    assert_eq!(
        found,
        Some(checker::HistoryViolation::RateOvershoot {
            workspace: 1,
            excess: 1
        })
    );
}

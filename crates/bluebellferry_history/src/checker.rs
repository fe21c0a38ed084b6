//! The checks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::event;

/// Something that must not happen, and did.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum HistoryViolation {
    /// An acknowledged write is missing.
    LostWrite {
        /// The row's number.
        row: u64,
    },
    /// A write is there more than once.
    DoubledWrite {
        /// The row's number.
        row: u64,
    },
    /// A write that was refused as not run is there.
    UntrueRefusal {
        /// The row's number.
        row: u64,
    },
    /// A caller did not find what it had written before.
    StaleRead {
        /// The caller.
        session: u64,
        /// The row's number.
        row: u64,
    },
    /// One half of a transaction was seen without the other.
    MixedTransaction {
        /// The row's number.
        row: u64,
    },
    /// A key was found among the bytes that a database received.
    KeyLeak {
        /// The database's index.
        database: usize,
    },
    /// More was admitted than rate and burst allow.
    RateOvershoot {
        /// The workspace's number.
        workspace: u64,
        /// How many requests too many.
        excess: u64,
    },
}

/// Checks writes, reads and transactions against the rows that are there in
/// the end; `rows` lists each row's number as often as it is there.
pub fn check_history(events: &[event::CallerEvent], rows: &[u64]) -> Vec<HistoryViolation> {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for row in rows {
        *counts.entry(*row).or_default() += 1;
    }
    let mut violations = BTreeSet::new();
    let doubled = counts.iter().filter(|(_, count)| **count > 1);
    violations.extend(doubled.map(|(row, _)| HistoryViolation::DoubledWrite { row: *row }));
    for seen in events {
        match *seen {
            event::CallerEvent::Write { row, outcome, .. } => {
                let present = counts.contains_key(&row);
                match outcome {
                    event::WriteOutcome::Acknowledged if !present => {
                        violations.insert(HistoryViolation::LostWrite { row });
                    }
                    event::WriteOutcome::NotRun if present => {
                        violations.insert(HistoryViolation::UntrueRefusal { row });
                    }
                    _ => {}
                }
            }
            event::CallerEvent::PairRead { row, first, second } if first != second => {
                violations.insert(HistoryViolation::MixedTransaction { row });
            }
            _ => {}
        }
    }
    violations.extend(stale_reads(events));
    violations.into_iter().collect()
}

/// Finds reads that began after the same caller's write had been acknowledged
/// and did not see it.
fn stale_reads(events: &[event::CallerEvent]) -> Vec<HistoryViolation> {
    let mut written: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    for seen in events {
        if let event::CallerEvent::Write {
            session,
            row,
            ended_us,
            outcome,
            ..
        } = *seen
            && outcome == event::WriteOutcome::Acknowledged
        {
            written.insert((session, row), ended_us);
        }
    }
    let stale = |seen: &event::CallerEvent| match *seen {
        event::CallerEvent::Read {
            session,
            row,
            started_us,
            found,
        } => {
            let acknowledged = written.get(&(session, row))?;
            let missed = !found && started_us >= *acknowledged;
            missed.then_some(HistoryViolation::StaleRead { session, row })
        }
        _ => None,
    };
    events.iter().filter_map(stale).collect()
}

/// Checks that no window of time admitted more than rate × time + burst.
pub fn check_rate(
    events: &[event::CallerEvent],
    workspace: u64,
    rate_per_second: f64,
    burst: f64,
) -> Option<HistoryViolation> {
    let admitted = |seen: &event::CallerEvent| match *seen {
        event::CallerEvent::Admitted {
            workspace: other,
            at_us,
        } if other == workspace => Some(at_us),
        _ => None,
    };
    let mut times: Vec<u64> = events.iter().filter_map(admitted).collect();
    times.sort_unstable();
    // The level of a bucket that leaks at the rate must never exceed the burst.
    let (mut level, mut last, mut worst) = (0.0_f64, 0, 0.0_f64);
    for time in times {
        let leaked = (time - last) as f64 / 1e6 * rate_per_second;
        level = (level - leaked).max(0.0) + 1.0;
        last = time;
        worst = worst.max(level - burst);
    }
    // One part in a million covers the rounding of times to microseconds.
    let excess = (worst - 1e-3).ceil();
    (excess >= 1.0).then_some(HistoryViolation::RateOvershoot {
        workspace,
        excess: excess as u64,
    })
}

/// Looks for a key among the bytes that each database received.
pub fn check_key_leaks(received: &[Vec<u8>], key: &[u8]) -> Vec<HistoryViolation> {
    let holds = |bytes: &Vec<u8>| bytes.windows(key.len()).any(|window| window == key);
    let leaks = received
        .iter()
        .enumerate()
        .filter(|(_, bytes)| holds(bytes));
    leaks
        .map(|(database, _)| HistoryViolation::KeyLeak { database })
        .collect()
}

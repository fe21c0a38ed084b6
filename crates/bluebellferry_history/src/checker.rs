//! Checks of callers' events against the rows that databases store and the bytes that they
//! received.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::event;

/// A consistency violation that a check found.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum HistoryViolation {
    /// The row of an acknowledged write is missing.
    LostWrite {
        /// The row's number.
        row: u64,
    },
    /// A row was inserted more than once.
    DoubledWrite {
        /// The row's number.
        row: u64,
    },
    /// The row of a write exists although the caller was told that the write did
    /// not run.
    UntrueRefusal {
        /// The row's number.
        row: u64,
    },
    /// A caller's read did not return a row although the row's write had been
    /// acknowledged to that caller before.
    StaleRead {
        /// The caller's number.
        session: u64,
        /// The row's number.
        row: u64,
    },
    /// A read returned only one of the two rows that a transaction had written.
    MixedTransaction {
        /// The row's number.
        row: u64,
    },
    /// A database received a caller's API key.
    KeyLeak {
        /// The index of the database.
        database: usize,
    },
    /// More of a workspace's requests were admitted than its rate and burst allow.
    RateOvershoot {
        /// The workspace's number.
        workspace: u64,
        /// How many requests were admitted above the limit.
        excess: u64,
    },
}

/// Checks callers' writes, reads and transactions against the rows at the end
/// of the test.
///
/// `rows` lists the row numbers found in the table, with duplicates.
pub fn check_history(events: &[event::CallerEvent], rows: &[u64]) -> Vec<HistoryViolation> {
    let mut row_counts: BTreeMap<u64, usize> = BTreeMap::new();
    for row in rows {
        *row_counts.entry(*row).or_default() += 1;
    }
    let mut violations = BTreeSet::new();
    let doubled = row_counts.iter().filter(|(_, count)| **count > 1);
    violations.extend(doubled.map(|(row, _)| HistoryViolation::DoubledWrite { row: *row }));
    for event in events {
        match *event {
            event::CallerEvent::Write { row, outcome, .. } => {
                let is_present = row_counts.contains_key(&row);
                match outcome {
                    event::WriteOutcome::Acknowledged if !is_present => {
                        violations.insert(HistoryViolation::LostWrite { row });
                    }
                    event::WriteOutcome::NotRun if is_present => {
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
    violations.extend(find_stale_reads(events));
    violations.into_iter().collect()
}

/// Finds reads that started after the same caller's write was acknowledged and
/// did not return its row.
fn find_stale_reads(events: &[event::CallerEvent]) -> Vec<HistoryViolation> {
    let mut acknowledged: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    for event in events {
        if let event::CallerEvent::Write {
            session,
            row,
            ended_us,
            outcome,
            ..
        } = *event
            && outcome == event::WriteOutcome::Acknowledged
        {
            acknowledged.insert((session, row), ended_us);
        }
    }
    let stale_read = |event: &event::CallerEvent| match *event {
        event::CallerEvent::Read {
            session,
            row,
            started_us,
            found,
        } => {
            let acknowledged_us = acknowledged.get(&(session, row))?;
            let is_stale = !found && started_us >= *acknowledged_us;
            is_stale.then_some(HistoryViolation::StaleRead { session, row })
        }
        _ => None,
    };
    events.iter().filter_map(stale_read).collect()
}

/// Checks that every time interval admitted at most `rate_per_second` times its
/// length plus `burst` requests of a workspace.
pub fn check_rate(
    events: &[event::CallerEvent],
    workspace: u64,
    rate_per_second: f64,
    burst: f64,
) -> Option<HistoryViolation> {
    let admitted_us = |event: &event::CallerEvent| match *event {
        event::CallerEvent::Admitted {
            workspace: other,
            at_us,
        } if other == workspace => Some(at_us),
        _ => None,
    };
    let mut times_us: Vec<u64> = events.iter().filter_map(admitted_us).collect();
    times_us.sort_unstable();
    // Leaky bucket: its level, which drains at the rate, may not exceed the burst.
    let (mut level, mut last_us, mut max_excess) = (0.0_f64, 0, 0.0_f64);
    for time_us in times_us {
        let leaked = (time_us - last_us) as f64 / 1e6 * rate_per_second;
        level = (level - leaked).max(0.0) + 1.0;
        last_us = time_us;
        max_excess = max_excess.max(level - burst);
    }
    // A tolerance of 0.001 requests covers the rounding of times to microseconds.
    let excess = (max_excess - 1e-3).ceil();
    (excess >= 1.0).then_some(HistoryViolation::RateOvershoot {
        workspace,
        excess: excess as u64,
    })
}

/// Finds the databases that received a key; `received` holds the bytes that each
/// database received, by its index.
pub fn check_key_leaks(received: &[Vec<u8>], key: &[u8]) -> Vec<HistoryViolation> {
    let contains_key = |bytes: &Vec<u8>| bytes.windows(key.len()).any(|window| window == key);
    let leaks = received
        .iter()
        .enumerate()
        .filter(|(_, bytes)| contains_key(bytes));
    leaks
        .map(|(database, _)| HistoryViolation::KeyLeak { database })
        .collect()
}

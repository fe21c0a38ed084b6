//! What callers ask for, and when they ask again.

use std::ops::Range;
use std::time::Duration;

use bluebellferry_history::statement::StatementAction as Action;
use bluebellferry_history::statement::StatementOutcome as Outcome;
use rand::Rng;
use rand::rngs::StdRng;

use super::session;

/// How many items there are; few, so that callers meet.
const ITEMS: Range<u32> = 0..20;
/// The parts of operations that change the session, and that are transactions.
const SETUPS: f64 = 0.06;
const TRANSACTIONS: f64 = 0.25;
/// The part of transactions that only read.
const READING: f64 = 0.3;
/// The part of accesses that write.
const WRITES: f64 = 0.35;
/// The part of accesses by prepared statement, once there is one.
const PREPARED: f64 = 0.4;
/// The parts of transactions that are rolled back and left open.
const ROLLBACKS: f64 = 0.15;
const ABANDONED: f64 = 0.05;
/// How many accesses a transaction has.
const ACCESSES: Range<usize> = 1..6;
/// Between the statements of a transaction, in milliseconds; less than what ends
/// an idle one.
const PAUSES_MS: Range<u64> = 0..120;
const LONG_PAUSES_MS: Range<u64> = 500..1_500;
/// The part of pauses that are long.
const LONG_PAUSES: f64 = 0.05;
/// Before an operation is tried again, in milliseconds.
const RETRY_MS: Range<u64> = 30..150;
/// How often an operation is tried again; the sites' callers do so twice.
const RETRIES: u32 = 2;
/// The prepared statements and what they stand for.
const SHAPES: [(&str, &str); 2] = [("s1", "READ q2c"), ("s2", "WRITE q7")];

/// How a transaction ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionEnd {
    Commit,
    Rollback,
    /// The caller leaves without a word.
    Abandon,
}

/// What an operation does.
#[derive(Debug, Clone)]
enum OperationKind {
    Setup(String),
    /// A read or a write.
    Single(bool),
    Transaction {
        only_reads: bool,
        /// Which accesses write.
        accesses: Vec<bool>,
        end: TransactionEnd,
    },
}

/// An operation that may be tried again.
#[derive(Debug, Clone)]
pub(super) struct CallerOperation {
    kind: OperationKind,
    retries: u32,
}

impl CallerOperation {
    /// Draws an operation.
    pub(super) fn draw(random: &mut StdRng, is_short: bool) -> Self {
        let kind = if !is_short && random.random_bool(SETUPS) {
            let (name, shape) = SHAPES[random.random_range(0..SHAPES.len())];
            OperationKind::Setup(match random.random_range(0..6) {
                0..2 => format!("SET zone z{}", random.random_range(0..3)),
                2 => format!("DEALLOC {name}"),
                _ => format!("PREPARE {name} {shape}"),
            })
        } else if random.random_bool(TRANSACTIONS) {
            let only_reads = random.random_bool(READING);
            let count = random.random_range(ACCESSES);
            let mut writes = |_| !only_reads && random.random_bool(WRITES);
            let accesses = (0..count).map(&mut writes).collect();
            let end = match random.random::<f64>() {
                drawn if drawn < ABANDONED => TransactionEnd::Abandon,
                drawn if drawn < ABANDONED + ROLLBACKS => TransactionEnd::Rollback,
                _ => TransactionEnd::Commit,
            };
            OperationKind::Transaction {
                only_reads,
                accesses,
                end,
            }
        } else {
            OperationKind::Single(random.random_bool(WRITES))
        };
        Self { kind, retries: 0 }
    }

    /// Runs the operation once; returns it if it may be tried again, on another
    /// session if this one has ended.
    pub(super) async fn run(
        self,
        open: &mut session::CallerSession,
        random: &mut StdRng,
    ) -> Option<Self> {
        let (failure, is_decisive) = match &self.kind {
            OperationKind::Setup(text) => {
                // A name is prepared or dropped once.
                let mut words = text.split(' ');
                let (verb, name) = (words.next(), words.next().unwrap_or_default());
                let has_name = open.shape(name).is_some();
                if verb == Some("SET") || (verb == Some("DEALLOC")) == has_name {
                    let attempt = open.attempt(false);
                    open.run(attempt, Action::Setup, text).await;
                }
                return None;
            }
            OperationKind::Single(writes) => {
                let attempt = open.attempt(false);
                (access(open, random, attempt, *writes).await, *writes)
            }
            OperationKind::Transaction {
                only_reads,
                accesses,
                end,
            } => transaction(open, random, *only_reads, accesses, *end).await,
        };
        let failure = failure?;
        let only_reads = match &self.kind {
            OperationKind::Single(writes) => !writes,
            OperationKind::Transaction { accesses, .. } => !accesses.contains(&true),
            OperationKind::Setup(_) => false,
        };
        let may_retry = match failure.outcome {
            Outcome::NothingKept => true,
            Outcome::InDoubt if failure.has_failed && only_reads => true,
            Outcome::InDoubt | Outcome::Broken => !is_decisive,
            _ => false,
        };
        if !may_retry || self.retries >= RETRIES {
            return None;
        }
        pause(random, RETRY_MS).await;
        Some(Self {
            retries: self.retries + 1,
            ..self
        })
    }
}

async fn pause(random: &mut StdRng, range_ms: Range<u64>) {
    let pause = Duration::from_millis(random.random_range(range_ms));
    tokio::time::sleep(pause).await;
}

/// Reads or writes an item; returns the failure, if it is one.
async fn access(
    open: &mut session::CallerSession,
    random: &mut StdRng,
    attempt: session::OperationAttempt,
    writes: bool,
) -> Option<session::StatementEnd> {
    let (action, verb) = if writes {
        (Action::Write, "WRITE")
    } else {
        (Action::Read, "READ")
    };
    let (name, _) = SHAPES[usize::from(writes)];
    let is_prepared = open.shape(name).is_some() && random.random_bool(PREPARED);
    let item = random.random_range(ITEMS);
    // Each write has data of its own.
    let data = format!(" d{}x{}", attempt.number, random.random::<u32>());
    let data = if writes { data.as_str() } else { "" };
    let text = if is_prepared {
        format!("EXECUTE {name} item{item}{data}")
    } else {
        format!("{verb} item{item}{data}")
    };
    let end = open.run(attempt, action, &text).await;
    (!end.outcome.is_success()).then_some(end)
}

/// Runs a transaction; returns the failure, if there was one, and whether it
/// came after the caller had asked to commit.
async fn transaction(
    open: &mut session::CallerSession,
    random: &mut StdRng,
    only_reads: bool,
    accesses: &[bool],
    end: TransactionEnd,
) -> (Option<session::StatementEnd>, bool) {
    let attempt = open.attempt(true);
    let begin = if only_reads { "BEGIN READ" } else { "BEGIN" };
    let mut last = open.run(attempt, Action::Begin, begin).await;
    for writes in accesses {
        if !last.outcome.is_success() {
            break;
        }
        let is_long = random.random_bool(LONG_PAUSES);
        let range_ms = if is_long { LONG_PAUSES_MS } else { PAUSES_MS };
        pause(random, range_ms).await;
        if let Some(failure) = access(open, random, attempt, *writes).await {
            last = failure;
        }
    }
    if last.outcome.is_success() {
        let (action, text) = match end {
            TransactionEnd::Commit => (Action::Commit, "COMMIT"),
            TransactionEnd::Rollback => (Action::Rollback, "ROLLBACK"),
            TransactionEnd::Abandon => {
                open.abandon();
                return (None, false);
            }
        };
        let end = open.run(attempt, action, text).await;
        if !end.is_idle {
            open.abandon();
        }
        let is_commit = action == Action::Commit;
        return ((!end.outcome.is_success()).then_some(end), is_commit);
    }
    // A transaction that failed is ended, or its caller leaves.
    if !last.is_idle && last.outcome != Outcome::Broken {
        let end = if random.random_bool(0.5) {
            open.run(attempt, Action::Rollback, "ROLLBACK")
                .await
                .is_idle
        } else {
            false
        };
        if !end {
            open.abandon();
        }
    }
    (Some(last), false)
}

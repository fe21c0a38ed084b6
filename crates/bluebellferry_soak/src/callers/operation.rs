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
const SETUP_PROBABILITY: f64 = 0.06;
const TRANSACTION_PROBABILITY: f64 = 0.25;
/// The part of transactions that only read.
const READ_ONLY_PROBABILITY: f64 = 0.3;
/// The part of accesses that write.
const WRITE_PROBABILITY: f64 = 0.35;
/// The part of accesses by prepared statement, once there is one.
const PREPARED_PROBABILITY: f64 = 0.4;
/// The parts of transactions that are rolled back and left session.
const ROLLBACK_PROBABILITY: f64 = 0.15;
const ABANDON_PROBABILITY: f64 = 0.05;
/// How many accesses a run_transaction has.
const ACCESSES_PER_TRANSACTION: Range<usize> = 1..6;
/// Between the statements of a run_transaction, in milliseconds; less than what ends
/// an idle one.
const SHORT_THINK_TIME_MS: Range<u64> = 0..120;
const LONG_THINK_TIME_MS: Range<u64> = 500..1_500;
/// The part of pauses that are long.
const LONG_THINK_TIME_PROBABILITY: f64 = 0.05;
/// Before an operation is tried again, in milliseconds.
const RETRY_DELAY_MS: Range<u64> = 30..150;
/// How often an operation is tried again; the sites' callers do so twice.
const MAX_RETRIES: u32 = 2;
/// The prepared statements and what they stand for.
const PREPARED_STATEMENTS: [(&str, &str); 2] = [("s1", "READ q2c"), ("s2", "WRITE q7")];

/// How a run_transaction ends.
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
        is_read_only: bool,
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
        let kind = if !is_short && random.random_bool(SETUP_PROBABILITY) {
            let (name, shape) =
                PREPARED_STATEMENTS[random.random_range(0..PREPARED_STATEMENTS.len())];
            OperationKind::Setup(match random.random_range(0..6) {
                0..2 => format!("SET zone z{}", random.random_range(0..3)),
                2 => format!("DEALLOC {name}"),
                _ => format!("PREPARE {name} {shape}"),
            })
        } else if random.random_bool(TRANSACTION_PROBABILITY) {
            let is_read_only = random.random_bool(READ_ONLY_PROBABILITY);
            let count = random.random_range(ACCESSES_PER_TRANSACTION);
            let mut is_write = |_| !is_read_only && random.random_bool(WRITE_PROBABILITY);
            let accesses = (0..count).map(&mut is_write).collect();
            let end = match random.random::<f64>() {
                drawn if drawn < ABANDON_PROBABILITY => TransactionEnd::Abandon,
                drawn if drawn < ABANDON_PROBABILITY + ROLLBACK_PROBABILITY => {
                    TransactionEnd::Rollback
                }
                _ => TransactionEnd::Commit,
            };
            OperationKind::Transaction {
                is_read_only,
                accesses,
                end,
            }
        } else {
            OperationKind::Single(random.random_bool(WRITE_PROBABILITY))
        };
        Self { kind, retries: 0 }
    }

    /// Runs the operation once; returns it if it may be tried again, on another
    /// session if this one has ended.
    pub(super) async fn run(
        self,
        session: &mut session::CallerSession,
        random: &mut StdRng,
    ) -> Option<Self> {
        let (failure, may_have_committed) = match &self.kind {
            OperationKind::Setup(text) => {
                // A name is prepared or dropped once.
                let mut words = text.split(' ');
                let (verb, name) = (words.next(), words.next().unwrap_or_default());
                let is_prepared_name = session.prepared_statement(name).is_some();
                if verb == Some("SET") || (verb == Some("DEALLOC")) == is_prepared_name {
                    let attempt = session.new_attempt(false);
                    session.run(attempt, Action::Setup, text).await;
                }
                return None;
            }
            OperationKind::Single(is_write) => {
                let attempt = session.new_attempt(false);
                (
                    run_access(session, random, attempt, *is_write).await,
                    *is_write,
                )
            }
            OperationKind::Transaction {
                is_read_only,
                accesses,
                end,
            } => run_transaction(session, random, *is_read_only, accesses, *end).await,
        };
        let failure = failure?;
        let is_read_only = match &self.kind {
            OperationKind::Single(is_write) => !is_write,
            OperationKind::Transaction { accesses, .. } => !accesses.contains(&true),
            OperationKind::Setup(_) => false,
        };
        let may_retry = match failure.outcome {
            Outcome::NothingKept => true,
            Outcome::InDoubt if failure.is_database_error && is_read_only => true,
            Outcome::InDoubt | Outcome::Broken => !may_have_committed,
            _ => false,
        };
        if !may_retry || self.retries >= MAX_RETRIES {
            return None;
        }
        sleep_random(random, RETRY_DELAY_MS).await;
        Some(Self {
            retries: self.retries + 1,
            ..self
        })
    }
}

async fn sleep_random(random: &mut StdRng, range_ms: Range<u64>) {
    let sleep_random = Duration::from_millis(random.random_range(range_ms));
    tokio::time::sleep(sleep_random).await;
}

/// Reads or is_write an item; returns the failure, if it is one.
async fn run_access(
    session: &mut session::CallerSession,
    random: &mut StdRng,
    attempt: session::OperationAttempt,
    is_write: bool,
) -> Option<session::StatementResult> {
    let (action, verb) = if is_write {
        (Action::Write, "WRITE")
    } else {
        (Action::Read, "READ")
    };
    let (name, _) = PREPARED_STATEMENTS[usize::from(is_write)];
    let is_prepared =
        session.prepared_statement(name).is_some() && random.random_bool(PREPARED_PROBABILITY);
    let item = random.random_range(ITEMS);
    // Each write has data of its own.
    let data = format!(" d{}x{}", attempt.number, random.random::<u32>());
    let data = if is_write { data.as_str() } else { "" };
    let text = if is_prepared {
        format!("EXECUTE {name} item{item}{data}")
    } else {
        format!("{verb} item{item}{data}")
    };
    let end = session.run(attempt, action, &text).await;
    (!end.outcome.is_success()).then_some(end)
}

/// Runs a run_transaction; returns the failure, if there was one, and whether it
/// came after the caller had asked to commit.
async fn run_transaction(
    session: &mut session::CallerSession,
    random: &mut StdRng,
    is_read_only: bool,
    accesses: &[bool],
    end: TransactionEnd,
) -> (Option<session::StatementResult>, bool) {
    let attempt = session.new_attempt(true);
    let begin = if is_read_only { "BEGIN READ" } else { "BEGIN" };
    let mut last = session.run(attempt, Action::Begin, begin).await;
    for is_write in accesses {
        if !last.outcome.is_success() {
            break;
        }
        let is_long = random.random_bool(LONG_THINK_TIME_PROBABILITY);
        let range_ms = if is_long {
            LONG_THINK_TIME_MS
        } else {
            SHORT_THINK_TIME_MS
        };
        sleep_random(random, range_ms).await;
        if let Some(failure) = run_access(session, random, attempt, *is_write).await {
            last = failure;
        }
    }
    if last.outcome.is_success() {
        let (action, text) = match end {
            TransactionEnd::Commit => (Action::Commit, "COMMIT"),
            TransactionEnd::Rollback => (Action::Rollback, "ROLLBACK"),
            TransactionEnd::Abandon => {
                session.abandon();
                return (None, false);
            }
        };
        let end = session.run(attempt, action, text).await;
        if !end.is_idle {
            session.abandon();
        }
        let is_commit = action == Action::Commit;
        return ((!end.outcome.is_success()).then_some(end), is_commit);
    }
    // A run_transaction that failed is ended, or its caller leaves.
    if !last.is_idle && last.outcome != Outcome::Broken {
        let end = if random.random_bool(0.5) {
            session
                .run(attempt, Action::Rollback, "ROLLBACK")
                .await
                .is_idle
        } else {
            false
        };
        if !end {
            session.abandon();
        }
    }
    (Some(last), false)
}

//! The operations of callers, and their retries.

use std::ops::Range;
use std::time::Duration;

use bluebellferry_history::statement::StatementAction as Action;
use bluebellferry_history::statement::StatementOutcome as Outcome;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use super::session;

/// The numbers of the items; few, so that callers access the same ones.
const ITEMS: Range<u32> = 0..20;
/// The probability that an operation of a long session changes session state.
const SETUP_PROBABILITY: f64 = 0.12;
/// The probability that an operation that does not change session state is a
/// transaction.
const TRANSACTION_PROBABILITY: f64 = 0.25;
/// The probability that a transaction is read-only.
const READ_ONLY_PROBABILITY: f64 = 0.3;
/// The probability that an access writes.
const WRITE_PROBABILITY: f64 = 0.35;
/// The probability that an access uses the prepared statement for it, if there is one.
const PREPARED_PROBABILITY: f64 = 0.4;
/// The probability that a transaction is rolled back.
const ROLLBACK_PROBABILITY: f64 = 0.15;
/// The probability that a transaction is left open by its caller.
const ABANDON_PROBABILITY: f64 = 0.05;
/// The probability that a failed transaction is ended with ROLLBACK.
const ROLLBACK_AFTER_FAILURE_PROBABILITY: f64 = 0.25;
/// The probability that a failed transaction is ended with ROLLBACK or COMMIT.
const END_AFTER_FAILURE_PROBABILITY: f64 = 0.5;
/// The number of accesses in a long transaction, within the platform's limit.
const LONG_TRANSACTION_ACCESSES: Range<usize> = 3..10;
/// The probability of a long think time before an access of a long transaction.
const LONG_TRANSACTION_THINK_PROBABILITY: f64 = 0.5;
/// The number of accesses in a transaction.
const ACCESSES_PER_TRANSACTION: Range<usize> = 1..6;
/// The usual think time between the statements of a transaction, in milliseconds;
/// shorter than the idle timeout of transactions.
const SHORT_THINK_TIME_MS: Range<u64> = 0..120;
/// The long think time between the statements of a transaction, in milliseconds.
const LONG_THINK_TIME_MS: Range<u64> = 500..1_500;
/// The probability of a long think time.
const LONG_THINK_TIME_PROBABILITY: f64 = 0.05;
/// The delay before an operation is retried, in milliseconds.
const RETRY_DELAY_MS: Range<u64> = 30..150;
/// The maximum number of retries of an operation, as for the platform's own callers.
const MAX_RETRIES: u32 = 2;
/// The names of prepared statements; some look like names that a proxy might give.
const PREPARED_NAMES: [&str; 6] = ["s1", "s2", "r.q7", "p1", "READ", "-"];
/// The templates of prepared statements; many begin alike, contain blanks or look like
/// other statements.
const TEMPLATES: [&str; 10] = [
    "q2c",
    "q7",
    "q7 ",
    " q7",
    "q7 READ q7",
    "q7  READ q7",
    "q7 READ other",
    "q7 WRITE x",
    "READ q7",
    "EXECUTE r.q7",
];
/// The names of settings.
const SETTING_NAMES: [&str; 2] = ["zone", "SET"];
/// The values of settings.
const SETTING_VALUES: [&str; 8] = [
    "z0",
    "z1",
    "z1 ",
    " z1",
    "z1 z2",
    "z1  z2",
    "",
    "z0 SET zone z1",
];
/// What may follow an item that is read or the data of a write; most are followed by
/// nothing.
const SUFFIXES: [&str; 4] = [" ", " two words", "  two blanks", " READ q7"];
/// The probability that one of them follows.
const SUFFIX_PROBABILITY: f64 = 0.15;

/// The end of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransactionEnd {
    Commit,
    Rollback,
    /// The caller closes its connection without ending the transaction.
    Abandon,
}

/// The content of an operation.
#[derive(Debug, Clone)]
enum OperationKind {
    /// A statement that changes session state.
    Setup(session::SessionSetup),
    /// A single access; `true` for a write.
    Single(bool),
    /// A transaction of several accesses.
    Transaction {
        is_read_only: bool,
        /// For each access, whether it writes.
        accesses: Vec<bool>,
        end: TransactionEnd,
        /// The probability of a long think time before an access.
        long_think_probability: f64,
    },
}

/// An operation with the number of its retries.
#[derive(Debug, Clone)]
pub(super) struct CallerOperation {
    kind: OperationKind,
    retries: u32,
}

impl CallerOperation {
    /// Draws an operation; those of short sessions do not change session state.
    pub(super) fn draw(random: &mut StdRng, is_short_session: bool) -> Self {
        let kind = if !is_short_session && random.random_bool(SETUP_PROBABILITY) {
            OperationKind::Setup(draw_setup(random))
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
                long_think_probability: LONG_THINK_TIME_PROBABILITY,
            }
        } else {
            OperationKind::Single(random.random_bool(WRITE_PROBABILITY))
        };
        Self { kind, retries: 0 }
    }

    /// Draws a transaction that stays open for some seconds, so that the configuration
    /// changes meanwhile.
    pub(super) fn draw_long_transaction(random: &mut StdRng) -> Self {
        let count = random.random_range(LONG_TRANSACTION_ACCESSES);
        let accesses = (0..count).map(|_| random.random_bool(WRITE_PROBABILITY));
        let kind = OperationKind::Transaction {
            is_read_only: false,
            accesses: accesses.collect(),
            end: if random.random_bool(ROLLBACK_PROBABILITY) {
                TransactionEnd::Rollback
            } else {
                TransactionEnd::Commit
            },
            long_think_probability: LONG_TRANSACTION_THINK_PROBABILITY,
        };
        Self { kind, retries: 0 }
    }

    /// Runs the operation once. Returns the operation for a retry if that is safe; the
    /// retry uses another session if this one has ended.
    pub(super) async fn run(
        self,
        session: &mut session::CallerSession,
        random: &mut StdRng,
    ) -> Option<Self> {
        let (failure, may_have_committed) = match &self.kind {
            OperationKind::Setup(setup) => {
                // Prepares a name only if it is not prepared, and deallocates it only
                // if it is.
                let prepared = session.prepared_statements();
                let is_possible = match setup {
                    session::SessionSetup::Set { .. } => true,
                    session::SessionSetup::Prepare { name, .. } => !prepared.contains_key(name),
                    session::SessionSetup::Deallocate(name) => prepared.contains_key(name),
                };
                if is_possible {
                    session.set_up(*setup).await;
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
                long_think_probability,
            } => {
                let pauses = *long_think_probability;
                run_transaction(session, random, *is_read_only, accesses, *end, pauses).await
            }
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
    let delay = Duration::from_millis(random.random_range(range_ms));
    tokio::time::sleep(delay).await;
}

fn draw_setup(random: &mut StdRng) -> session::SessionSetup {
    let name = draw_text(random, &PREPARED_NAMES);
    match random.random_range(0..6) {
        0..2 => session::SessionSetup::Set {
            name: draw_text(random, &SETTING_NAMES),
            value: draw_text(random, &SETTING_VALUES),
        },
        2 => session::SessionSetup::Deallocate(name),
        _ => session::SessionSetup::Prepare {
            name,
            shape: session::PreparedShape {
                is_write: random.random_bool(WRITE_PROBABILITY),
                template: draw_text(random, &TEMPLATES),
            },
        },
    }
}

fn draw_text(random: &mut StdRng, texts: &[&'static str]) -> &'static str {
    texts[random.random_range(0..texts.len())]
}

/// Returns the fields of a read or write of a random item. The last field, the item or
/// the data, may contain blanks.
fn draw_fields(random: &mut StdRng, attempt: session::OperationAttempt, is_write: bool) -> String {
    let item = random.random_range(ITEMS);
    let suffix = if random.random_bool(SUFFIX_PROBABILITY) {
        draw_text(random, &SUFFIXES)
    } else {
        ""
    };
    if is_write {
        // The data of each write are unique, so that reads identify the write.
        let (number, unique) = (attempt.number, random.random::<u32>());
        format!("item{item} d{number}x{unique}{suffix}")
    } else {
        format!("item{item}{suffix}")
    }
}

/// Reads or writes a random item; returns the result if it is a failure.
async fn run_access(
    session: &mut session::CallerSession,
    random: &mut StdRng,
    attempt: session::OperationAttempt,
    is_write: bool,
) -> Option<session::StatementResult> {
    let prepared = session.prepared_statements().iter();
    let prepared = prepared.filter(|(_, shape)| shape.is_write == is_write);
    let prepared = prepared.map(|(name, shape)| (*name, *shape));
    let chosen = prepared
        .choose(random)
        .filter(|_| random.random_bool(PREPARED_PROBABILITY));
    let fields = draw_fields(random, attempt, is_write);
    let result = if let Some((name, shape)) = chosen {
        session.run_prepared(attempt, name, shape, &fields).await
    } else {
        let (action, verb) = if is_write {
            (Action::Write, "WRITE")
        } else {
            (Action::Read, "READ")
        };
        session
            .run(attempt, action, &format!("{verb} {fields}"))
            .await
    };
    (!result.outcome.is_success()).then_some(result)
}

/// Runs a transaction. Returns the result of the statement that failed, if one did, and
/// whether that was the COMMIT.
async fn run_transaction(
    session: &mut session::CallerSession,
    random: &mut StdRng,
    is_read_only: bool,
    accesses: &[bool],
    end: TransactionEnd,
    long_think_probability: f64,
) -> (Option<session::StatementResult>, bool) {
    let attempt = session.new_attempt(true);
    let begin_text = if is_read_only { "BEGIN READ" } else { "BEGIN" };
    let mut last_result = session.run(attempt, Action::Begin, begin_text).await;
    for is_write in accesses {
        if !last_result.outcome.is_success() {
            break;
        }
        let is_long = random.random_bool(long_think_probability);
        let range_ms = if is_long {
            LONG_THINK_TIME_MS
        } else {
            SHORT_THINK_TIME_MS
        };
        sleep_random(random, range_ms).await;
        if let Some(failure) = run_access(session, random, attempt, *is_write).await {
            last_result = failure;
        }
    }
    if last_result.outcome.is_success() {
        let (action, text) = match end {
            TransactionEnd::Commit => (Action::Commit, "COMMIT"),
            TransactionEnd::Rollback => (Action::Rollback, "ROLLBACK"),
            TransactionEnd::Abandon => {
                session.mark_closed();
                return (None, false);
            }
        };
        let result = session.run(attempt, action, text).await;
        if !result.is_idle {
            session.mark_closed();
        }
        let is_commit = action == Action::Commit;
        return ((!result.outcome.is_success()).then_some(result), is_commit);
    }
    // Half of the failed transactions are ended; the others are abandoned.
    if !last_result.is_idle && last_result.outcome != Outcome::Broken {
        let is_ended = match random.random() {
            0.0..ROLLBACK_AFTER_FAILURE_PROBABILITY => {
                let result = session.run(attempt, Action::Rollback, "ROLLBACK").await;
                result.is_idle
            }
            ROLLBACK_AFTER_FAILURE_PROBABILITY..END_AFTER_FAILURE_PROBABILITY => {
                let result = session.run(attempt, Action::Commit, "COMMIT").await;
                result.is_idle
            }
            _ => false,
        };
        if !is_ended {
            session.mark_closed();
        }
    }
    (Some(last_result), false)
}

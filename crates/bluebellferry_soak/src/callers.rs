//! Callers that draw their sessions and operations from a seed. A session ends after its
//! operations, or earlier if the other side closes the connection, a change of session
//! state fails or the caller abandons a transaction.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_standin_platform::contents;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use tokio::task::JoinSet;

mod operation;
mod session;

/// The probability that a caller's sessions run a single operation each.
const SHORT_SESSION_PROBABILITY: f64 = 0.25;
/// The number of operations in a long session.
const LONG_SESSION_OPERATIONS: Range<u32> = 50..400;
/// The think time between operations of a session, in milliseconds.
const THINK_TIME_MS: Range<u64> = 20..120;
/// The probability that an operation follows the previous one without think time, so
/// that it may read from replicas that have not replayed a write of the previous one.
const NO_THINK_TIME_PROBABILITY: f64 = 0.3;
/// The delay before a caller reconnects whose session could not be opened, in
/// milliseconds.
const RECONNECT_DELAY_MS: Range<u64> = 50..200;
/// Of this many callers, one uses rotating keys, which faults withdraw.
const CALLERS_PER_ROTATING_KEY: usize = 4;

/// A route that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRoute {
    /// The route's name.
    pub name: &'static str,
    /// Which commits the route's reads must include.
    pub kind: statement::RouteKind,
    /// The timeout of a statement.
    pub timeout: Duration,
}

/// The routes of [`contents::configuration`].
pub const ROUTES: [CallerRoute; 3] = {
    let bound_us = contents::MAX_STALENESS_MS * 1_000;
    let timeout = Duration::from_millis(contents::STATEMENT_TIMEOUT_MS);
    let counter = CallerRoute {
        name: "counter",
        kind: statement::RouteKind::Primary,
        timeout,
    };
    let browse = CallerRoute {
        name: "browse",
        kind: statement::RouteKind::BoundedAge { bound_us },
        timeout,
    };
    let booking = CallerRoute {
        name: "booking",
        kind: statement::RouteKind::ReadYourWrites { bound_us },
        timeout,
    };
    [counter, browse, booking]
};

/// The route of the callers with the roaming key.
pub const ROAMING_ROUTE: CallerRoute = CallerRoute {
    name: "pier",
    ..ROUTES[0]
};

/// The settings of all callers.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// The addresses to which callers connect, one for each initial VM slot.
    pub addresses: Vec<SocketAddr>,
    /// The routes that callers use.
    pub routes: Vec<CallerRoute>,
    /// An API key that is never withdrawn.
    pub permanent_key: String,
    /// Returns the rotating key with a number; each is withdrawn when the next one is
    /// published.
    pub rotating_key: fn(u64) -> String,
    /// The API key that is withdrawn and passed on; its callers use [`ROAMING_ROUTE`].
    pub roaming_key: String,
    /// The seed from which all callers draw.
    pub seed: u64,
    /// The number of callers with other keys than the roaming one.
    pub count: usize,
    /// The number of callers with the roaming key.
    pub roaming_count: usize,
}

/// A counter for the numbers of sessions, attempts and statements, which are unique in
/// a run.
#[derive(Debug, Default)]
pub(crate) struct SharedCounter(AtomicU64);

impl SharedCounter {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// The state of one caller.
struct CallerTask {
    settings: Arc<CallerSettings>,
    recorder: Arc<recorder::HistoryRecorder>,
    counter: Arc<SharedCounter>,
    random: StdRng,
    stop: watch::Receiver<bool>,
    /// The number of the caller's rotating key; `None` for callers with the permanent
    /// key.
    rotating_key: Option<u64>,
    /// Whether the caller has the roaming key.
    is_roaming: bool,
}

/// Runs callers until `stop` becomes true; each then finishes its current operation.
pub async fn run_callers(
    settings: CallerSettings,
    recorder: Arc<recorder::HistoryRecorder>,
    stop: watch::Receiver<bool>,
) {
    let settings = Arc::new(settings);
    let counter = Arc::new(SharedCounter::default());
    let mut callers = JoinSet::new();
    for number in 0..settings.count + settings.roaming_count {
        let is_roaming = number >= settings.count;
        let task = CallerTask {
            settings: Arc::clone(&settings),
            recorder: Arc::clone(&recorder),
            counter: Arc::clone(&counter),
            random: StdRng::seed_from_u64(settings.seed.wrapping_mul(1_000_003) + number as u64),
            stop: stop.clone(),
            rotating_key: (number % CALLERS_PER_ROTATING_KEY == 0 && !is_roaming).then_some(0),
            is_roaming,
        };
        callers.spawn(task.run());
    }
    callers.join_all().await;
}

impl CallerTask {
    async fn run(mut self) {
        let is_short_session = self.random.random_bool(SHORT_SESSION_PROBABILITY);
        let mut pending_retry = None;
        while !*self.stop.borrow() {
            let Some(mut session) = self.connect().await else {
                self.sleep_random(RECONNECT_DELAY_MS).await;
                continue;
            };
            let count = if is_short_session {
                1
            } else {
                self.random.random_range(LONG_SESSION_OPERATIONS)
            };
            for _ in 0..count {
                if *self.stop.borrow() || !session.check_usable().await {
                    break;
                }
                let operation = match pending_retry.take() {
                    Some(retry) => retry,
                    None if self.is_roaming => {
                        operation::CallerOperation::draw_long_transaction(&mut self.random)
                    }
                    None => operation::CallerOperation::draw(&mut self.random, is_short_session),
                };
                pending_retry = operation.run(&mut session, &mut self.random).await;
                if !self.random.random_bool(NO_THINK_TIME_PROBABILITY) {
                    self.sleep_random(THINK_TIME_MS).await;
                }
            }
            session.close().await;
        }
    }

    /// Opens a session at a random VM on a random route. A caller whose rotating key is
    /// refused tries the next key, and keeps its own if the VM refuses that one as
    /// well, because the VM may not know the next key yet.
    async fn connect(&mut self) -> Option<session::CallerSession> {
        let slot = self.random.random_range(0..self.settings.addresses.len());
        let route = self.random.random_range(0..self.settings.routes.len());
        let route = if self.is_roaming {
            ROAMING_ROUTE
        } else {
            self.settings.routes[route]
        };
        let key_count = if self.rotating_key.is_some() { 2 } else { 1 };
        for key_offset in 0..key_count {
            let key = match self.rotating_key {
                Some(number) => (self.settings.rotating_key)(number + key_offset),
                None if self.is_roaming => self.settings.roaming_key.clone(),
                None => self.settings.permanent_key.clone(),
            };
            let parameters = session::SessionParameters {
                address: self.settings.addresses[slot],
                vm: format!("vm-{slot}"),
                route,
                key,
            };
            let recorder = Arc::clone(&self.recorder);
            let counter = Arc::clone(&self.counter);
            match session::CallerSession::open(parameters, recorder, counter).await {
                Ok(session) => {
                    self.rotating_key = self.rotating_key.map(|number| number + key_offset);
                    return Some(session);
                }
                Err(statement::StatementOutcome::KeyRefused) => {}
                Err(_) => return None,
            }
        }
        None
    }

    async fn sleep_random(&mut self, range_ms: Range<u64>) {
        let delay = Duration::from_millis(self.random.random_range(range_ms));
        tokio::time::sleep(delay).await;
    }
}

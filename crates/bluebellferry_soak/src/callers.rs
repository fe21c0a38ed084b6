//! Callers of all kinds, who use connections until the other side ends them.

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

/// The part of callers whose sessions serve a single operation.
const SHORT_SESSION_PROBABILITY: f64 = 0.25;
/// How many operations a long session runs before its caller leaves.
const LONG_SESSION_OPERATIONS: Range<u32> = 50..400;
/// Between operations of a session, in milliseconds.
const THINK_TIME_MS: Range<u64> = 20..120;
/// The part of operations that follow at once on the one before: replicas have
/// not applied its write by then.
const NO_THINK_TIME_PROBABILITY: f64 = 0.3;
/// Before a caller whose session could not be opened tries again.
const RECONNECT_DELAY_MS: Range<u64> = 50..200;
/// Every so many callers one uses keys that are withdrawn now and then.
const CALLERS_PER_ROTATING_KEY: usize = 4;

/// A route that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerRoute {
    /// The name.
    pub name: &'static str,
    /// What its reads must see.
    pub kind: statement::RouteKind,
    /// How long a statement may take.
    pub timeout: Duration,
}

/// The routes of [`contents::configuration`].
pub const ROUTES: [CallerRoute; 3] = {
    let bound_us = contents::MAX_READ_AGE_MS * 1_000;
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

/// What callers do.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Where they connect: one address for each slot of a VM.
    pub addresses: Vec<SocketAddr>,
    /// The routes that they use.
    pub routes: Vec<CallerRoute>,
    /// A key that is never withdrawn.
    pub permanent_key: String,
    /// Returns the keys that are used one after the other: each is withdrawn
    /// when the next comes.
    pub rotating_key: fn(u64) -> String,
    /// The seed.
    pub seed: u64,
    /// How many there are.
    pub count: usize,
}

/// Numbers that all callers of a run share.
#[derive(Debug, Default)]
pub(crate) struct SharedCounter(AtomicU64);

impl SharedCounter {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// A caller's means.
struct CallerTask {
    settings: Arc<CallerSettings>,
    recorder: Arc<recorder::HistoryRecorder>,
    counter: Arc<SharedCounter>,
    random: StdRng,
    stop: watch::Receiver<bool>,
    /// The number of its spare key; none for callers with the steady key.
    rotating_key: Option<u64>,
}

/// Runs callers until they are to stop; each then ends the operation that it is at.
pub async fn run_callers(
    settings: CallerSettings,
    recorder: Arc<recorder::HistoryRecorder>,
    stop: watch::Receiver<bool>,
) {
    let settings = Arc::new(settings);
    let counter = Arc::new(SharedCounter::default());
    let mut callers = JoinSet::new();
    for number in 0..settings.count {
        let task = CallerTask {
            settings: Arc::clone(&settings),
            recorder: Arc::clone(&recorder),
            counter: Arc::clone(&counter),
            random: StdRng::seed_from_u64(settings.seed.wrapping_mul(1_000_003) + number as u64),
            stop: stop.clone(),
            rotating_key: (number % CALLERS_PER_ROTATING_KEY == 0).then_some(0),
        };
        callers.spawn(task.run());
    }
    callers.join_all().await;
}

impl CallerTask {
    async fn run(mut self) {
        let is_short = self.random.random_bool(SHORT_SESSION_PROBABILITY);
        let mut pending_retry = None;
        while !*self.stop.borrow() {
            let Some(mut session) = self.connect().await else {
                self.sleep_random(RECONNECT_DELAY_MS).await;
                continue;
            };
            let count = if is_short {
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
                    None => operation::CallerOperation::draw(&mut self.random, is_short),
                };
                pending_retry = operation.run(&mut session, &mut self.random).await;
                if !self.random.random_bool(NO_THINK_TIME_PROBABILITY) {
                    self.sleep_random(THINK_TIME_MS).await;
                }
            }
            session.close().await;
        }
    }

    /// Opens a session at any VM. A caller whose key is refused goes on to the
    /// next one, and returns to its own if that is not known yet.
    async fn connect(&mut self) -> Option<session::CallerSession> {
        let slot = self.random.random_range(0..self.settings.addresses.len());
        let route = self.random.random_range(0..self.settings.routes.len());
        let key_count = if self.rotating_key.is_some() { 2 } else { 1 };
        for generation_offset in 0..key_count {
            let key = match self.rotating_key {
                Some(number) => (self.settings.rotating_key)(number + generation_offset),
                None => self.settings.permanent_key.clone(),
            };
            let parameters = session::SessionParameters {
                address: self.settings.addresses[slot],
                vm: format!("vm-{slot}"),
                route: self.settings.routes[route],
                key,
            };
            let recorder = Arc::clone(&self.recorder);
            let counter = Arc::clone(&self.counter);
            match session::CallerSession::open(parameters, recorder, counter).await {
                Ok(session) => {
                    self.rotating_key = self.rotating_key.map(|number| number + generation_offset);
                    return Some(session);
                }
                Err(statement::StatementOutcome::KeyRefused) => {}
                Err(_) => return None,
            }
        }
        None
    }

    async fn sleep_random(&mut self, range_ms: Range<u64>) {
        let sleep_random = Duration::from_millis(self.random.random_range(range_ms));
        tokio::time::sleep(sleep_random).await;
    }
}

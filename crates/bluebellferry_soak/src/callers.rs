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
const SHORT_SESSIONS: f64 = 0.25;
/// How many operations a long session runs before its caller leaves.
const LONG_SESSION: Range<u32> = 50..400;
/// Between operations of a session, in milliseconds.
const THINKING_MS: Range<u64> = 20..120;
/// The part of operations that follow at once on the one before: replicas have
/// not applied its write by then.
const HURRIED: f64 = 0.3;
/// Before a caller whose session could not be opened tries again.
const RECONNECT_MS: Range<u64> = 50..200;
/// Every so many callers one uses keys that are withdrawn now and then.
const SPARE_KEY_CALLERS: usize = 4;

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
pub struct CallerPlan {
    /// Where they connect: one address for each place of a VM.
    pub addresses: Vec<SocketAddr>,
    /// The routes that they use.
    pub routes: Vec<CallerRoute>,
    /// A key that is never withdrawn.
    pub steady_key: String,
    /// Returns the keys that are used one after the other: each is withdrawn
    /// when the next comes.
    pub spare_key: fn(u64) -> String,
    /// The seed.
    pub seed: u64,
    /// How many there are.
    pub count: usize,
}

/// Numbers that all callers of a run share.
#[derive(Debug, Default)]
pub(crate) struct SharedNumbers(AtomicU64);

impl SharedNumbers {
    fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// A caller's means.
struct CallerSeat {
    plan: Arc<CallerPlan>,
    recorder: Arc<recorder::HistoryRecorder>,
    numbers: Arc<SharedNumbers>,
    random: StdRng,
    stop: watch::Receiver<bool>,
    /// The number of its spare key; none for callers with the steady key.
    spare_key: Option<u64>,
}

/// Runs callers until they are to stop; each then ends the operation that it is at.
pub async fn run_callers(
    plan: CallerPlan,
    recorder: Arc<recorder::HistoryRecorder>,
    stop: watch::Receiver<bool>,
) {
    let plan = Arc::new(plan);
    let numbers = Arc::new(SharedNumbers::default());
    let mut callers = JoinSet::new();
    for number in 0..plan.count {
        let seat = CallerSeat {
            plan: Arc::clone(&plan),
            recorder: Arc::clone(&recorder),
            numbers: Arc::clone(&numbers),
            random: StdRng::seed_from_u64(plan.seed.wrapping_mul(1_000_003) + number as u64),
            stop: stop.clone(),
            spare_key: (number % SPARE_KEY_CALLERS == 0).then_some(0),
        };
        callers.spawn(seat.run());
    }
    callers.join_all().await;
}

impl CallerSeat {
    async fn run(mut self) {
        let is_short = self.random.random_bool(SHORT_SESSIONS);
        let mut pending = None;
        while !*self.stop.borrow() {
            let Some(mut open) = self.connect().await else {
                self.pause(RECONNECT_MS).await;
                continue;
            };
            let count = if is_short {
                1
            } else {
                self.random.random_range(LONG_SESSION)
            };
            for _ in 0..count {
                if *self.stop.borrow() || !open.is_usable().await {
                    break;
                }
                let operation = match pending.take() {
                    Some(retry) => retry,
                    None => operation::CallerOperation::draw(&mut self.random, is_short),
                };
                pending = operation.run(&mut open, &mut self.random).await;
                if !self.random.random_bool(HURRIED) {
                    self.pause(THINKING_MS).await;
                }
            }
            open.leave().await;
        }
    }

    /// Opens a session at any VM. A caller whose key is refused goes on to the
    /// next one, and returns to its own if that is not known yet.
    async fn connect(&mut self) -> Option<session::CallerSession> {
        let place = self.random.random_range(0..self.plan.addresses.len());
        let route = self.random.random_range(0..self.plan.routes.len());
        let steps = if self.spare_key.is_some() { 2 } else { 1 };
        for step in 0..steps {
            let key = match self.spare_key {
                Some(number) => (self.plan.spare_key)(number + step),
                None => self.plan.steady_key.clone(),
            };
            let opening = session::SessionOpening {
                address: self.plan.addresses[place],
                vm: format!("vm-{place}"),
                route: self.plan.routes[route],
                key,
            };
            let recorder = Arc::clone(&self.recorder);
            let numbers = Arc::clone(&self.numbers);
            match session::CallerSession::open(opening, recorder, numbers).await {
                Ok(open) => {
                    self.spare_key = self.spare_key.map(|number| number + step);
                    return Some(open);
                }
                Err(statement::StatementOutcome::KeyRefused) => {}
                Err(_) => return None,
            }
        }
        None
    }

    async fn pause(&mut self, range_ms: Range<u64>) {
        let pause = Duration::from_millis(self.random.random_range(range_ms));
        tokio::time::sleep(pause).await;
    }
}

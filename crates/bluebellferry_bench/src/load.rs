//! The load: sessions that send requests when they are due.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::outcome;

/// The pause before a session connects again after its end.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// What all sessions of a run share.
#[derive(Debug)]
pub struct LoadContext {
    /// When the load starts.
    pub start: Instant,
    /// When the last request is due.
    pub end: Instant,
    /// The next identity for a written row.
    pub next_row: AtomicU64,
}

/// One session's part of the load.
#[derive(Debug, Clone)]
pub struct SessionPlan {
    /// The callers' settings, one for each proxy that the session may use.
    pub proxies: Vec<tokio_postgres::Config>,
    /// The index of the first proxy used.
    pub first_proxy: usize,
    /// The workspace's index in the scenario.
    pub workspace: usize,
    /// Requests a second.
    pub requests_per_second: f64,
    /// The share of writes.
    pub write_share: f64,
    /// The kind of reads.
    pub read_kind: String,
    /// The seed of the session's choices.
    pub seed: u64,
}

/// Runs one session until the end of the load.
pub async fn run_session(plan: SessionPlan, context: Arc<LoadContext>) -> outcome::SessionOutcome {
    let mut session = LoadSession {
        random: SmallRng::seed_from_u64(plan.seed),
        proxy: plan.first_proxy,
        client: None,
        last_written: None,
        outcome: outcome::SessionOutcome::new(plan.workspace),
        plan,
        context,
    };
    session.run().await;
    session.outcome
}

struct LoadSession {
    plan: SessionPlan,
    context: Arc<LoadContext>,
    random: SmallRng,
    proxy: usize,
    client: Option<tokio_postgres::Client>,
    last_written: Option<u64>,
    outcome: outcome::SessionOutcome,
}

impl LoadSession {
    async fn run(&mut self) {
        let mut due = self.context.start + self.next_pause();
        while due < self.context.end {
            tokio::time::sleep_until(due.into()).await;
            self.send_request(due).await;
            due += self.next_pause();
        }
    }

    /// Draws the time to the next request, so that arrivals are Poisson.
    fn next_pause(&mut self) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.plan.requests_per_second)
    }

    async fn send_request(&mut self, due: Instant) {
        let write = self.random.random_bool(self.plan.write_share);
        let kind = if write {
            outcome::RequestKind::Write
        } else {
            outcome::RequestKind::Read
        };
        if self
            .client
            .as_ref()
            .is_none_or(tokio_postgres::Client::is_closed)
        {
            self.reconnect().await;
        }
        let Some(client) = &self.client else {
            self.outcome.record_unreachable(kind);
            return;
        };
        let answered = match kind {
            outcome::RequestKind::Write => {
                let row = self.context.next_row.fetch_add(1, Ordering::Relaxed);
                let sql = format!("INSERT INTO booking VALUES ({row}, 'skis')");
                let answered = client.simple_query(&sql).await;
                if answered.is_ok() {
                    self.last_written = Some(row);
                    self.outcome.acknowledged.push(row);
                }
                answered
            }
            outcome::RequestKind::Read => {
                let row = self.last_written.unwrap_or(0);
                let sql = format!("SELECT count(*) FROM booking WHERE id = {row}");
                client.simple_query(&sql).await
            }
        };
        let finished = Instant::now();
        let latency = finished.saturating_duration_since(due);
        match answered {
            Ok(messages) => {
                if kind == outcome::RequestKind::Read && first_value(&messages) != Some("1") {
                    self.outcome.stale_reads += 1;
                }
                let since = finished.saturating_duration_since(self.context.start);
                self.outcome.record_success(kind, latency, since);
            }
            Err(error) => self.outcome.record_failure(kind, &error),
        }
    }

    /// Connects again, in turn to the next proxy, as a balancer would.
    async fn reconnect(&mut self) {
        let config = &self.plan.proxies[self.proxy % self.plan.proxies.len()];
        self.proxy += 1;
        let connected = fleet::connect_with(config).await;
        let Ok(client) = connected else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            return;
        };
        let read = format!("SET bluebellferry.read = '{}'", self.plan.read_kind);
        if client.simple_query(&read).await.is_ok() {
            self.client = Some(client);
        }
    }
}

fn first_value(messages: &[tokio_postgres::SimpleQueryMessage]) -> Option<&str> {
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    })
}

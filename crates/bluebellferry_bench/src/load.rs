//! The open-loop load generator: sessions that send requests at scheduled times.

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

/// The delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// The number of statements with which a session that prepares reads.
const PREPARED_READS: i64 = 4;
/// What a read adds to its result for each prepared statement before its own; more than a
/// result, so that it tells which statement ran.
const RESULT_OFFSET: i64 = 10;

/// The state that all sessions of a run share.
#[derive(Debug)]
pub struct LoadContext {
    /// The start of the load.
    pub start: Instant,
    /// The end of the load; no request is scheduled at or after this instant.
    pub end: Instant,
    /// The id of the next row to be written.
    pub next_row: AtomicU64,
}

/// The load of one session.
#[derive(Debug, Clone)]
pub struct SessionPlan {
    /// The connection settings, one for each proxy that the session may use.
    pub proxy_configs: Vec<tokio_postgres::Config>,
    /// The number of the first proxy used, modulo the length of `proxy_configs`.
    pub first_proxy: usize,
    /// The index of the workspace in the scenario.
    pub workspace: usize,
    /// The average number of requests per second.
    pub requests_per_second: f64,
    /// The share of writes among the requests, from 0 to 1.
    pub write_share: f64,
    /// The kind of read that the session sets in `bluebellferry.read`.
    pub read_kind: String,
    /// Whether the session prepares its statements.
    pub prepares: bool,
    /// The seed of the session's random choices.
    pub seed: u64,
}

/// Runs one session until the end of the load and returns its results.
pub async fn run_session(plan: SessionPlan, context: Arc<LoadContext>) -> outcome::SessionOutcome {
    let mut session = LoadSession {
        random: SmallRng::seed_from_u64(plan.seed),
        next_proxy: plan.first_proxy,
        client: None,
        prepared: None,
        last_written: None,
        outcome: outcome::SessionOutcome::new(plan.workspace),
        plan,
        context,
    };
    session.run().await;
    session.outcome
}

/// The prepared statements of a session. The texts of its reads differ only at their ends.
struct PreparedStatements {
    write: tokio_postgres::Statement,
    reads: Vec<tokio_postgres::Statement>,
}

impl PreparedStatements {
    async fn prepare(client: &tokio_postgres::Client) -> Result<Self, tokio_postgres::Error> {
        let write = client
            .prepare("INSERT INTO booking VALUES ($1, 'skis')")
            .await?;
        let mut reads = Vec::new();
        for number in 0..PREPARED_READS {
            let offset = number * RESULT_OFFSET;
            let sql = format!("SELECT count(*) + {offset} FROM booking WHERE id = $1");
            reads.push(client.prepare(&sql).await?);
        }
        Ok(Self { write, reads })
    }
}

struct LoadSession {
    plan: SessionPlan,
    context: Arc<LoadContext>,
    random: SmallRng,
    next_proxy: usize,
    client: Option<tokio_postgres::Client>,
    prepared: Option<PreparedStatements>,
    last_written: Option<u64>,
    outcome: outcome::SessionOutcome,
}

impl LoadSession {
    async fn run(&mut self) {
        let mut scheduled = self.context.start + self.draw_interval();
        while scheduled < self.context.end {
            tokio::time::sleep_until(scheduled.into()).await;
            self.send_request(scheduled).await;
            scheduled += self.draw_interval();
        }
    }

    /// Draws the time to the next request from an exponential distribution, so
    /// that requests arrive as a Poisson process.
    fn draw_interval(&mut self) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.plan.requests_per_second)
    }

    async fn send_request(&mut self, scheduled: Instant) {
        let is_write = self.random.random_bool(self.plan.write_share);
        let kind = if is_write {
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
        let result = match kind {
            outcome::RequestKind::Write => {
                let row = self.context.next_row.fetch_add(1, Ordering::Relaxed);
                let result = write_row(client, self.prepared.as_ref(), row).await;
                if result.is_ok() {
                    self.last_written = Some(row);
                    self.outcome.acknowledged.push(row);
                }
                result.map(|()| true)
            }
            outcome::RequestKind::Read => {
                let row = self.last_written.unwrap_or(0);
                let read = if self.prepared.is_some() {
                    self.random.random_range(0..PREPARED_READS)
                } else {
                    0
                };
                let result = read_row(client, self.prepared.as_ref(), row, read).await;
                result.map(|value| {
                    let count = value - read * RESULT_OFFSET;
                    let is_foreign =
                        self.prepared.is_some() && !(0..RESULT_OFFSET).contains(&count);
                    self.outcome.foreign_results += u64::from(is_foreign);
                    is_foreign || count == 1
                })
            }
        };
        let finished_at = Instant::now();
        let latency = finished_at.saturating_duration_since(scheduled);
        match result {
            Ok(is_fresh) => {
                self.outcome.stale_reads += u64::from(!is_fresh);
                let elapsed = finished_at.saturating_duration_since(self.context.start);
                self.outcome.record_success(kind, latency, elapsed);
            }
            Err(error) => self.outcome.record_failure(kind, &error),
        }
    }

    /// Connects to the next proxy in round-robin order, as a load balancer would.
    async fn reconnect(&mut self) {
        let config = &self.plan.proxy_configs[self.next_proxy % self.plan.proxy_configs.len()];
        self.next_proxy += 1;
        let connected = fleet::connect_with(config).await;
        let Ok(client) = connected else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            return;
        };
        let set_read_kind = format!("SET bluebellferry.read = '{}'", self.plan.read_kind);
        if client.simple_query(&set_read_kind).await.is_err() {
            return;
        }
        self.prepared = None;
        if self.plan.prepares {
            let set_name = format!("SET application_name = 'load {}'", self.plan.seed);
            let Ok(_) = client.simple_query(&set_name).await else {
                return;
            };
            let Ok(prepared) = PreparedStatements::prepare(&client).await else {
                return;
            };
            self.prepared = Some(prepared);
        }
        self.client = Some(client);
    }
}

async fn write_row(
    client: &tokio_postgres::Client,
    prepared: Option<&PreparedStatements>,
    row: u64,
) -> Result<(), tokio_postgres::Error> {
    if let Some(prepared) = prepared {
        client
            .execute(&prepared.write, &[&row.to_string()])
            .await
            .map(drop)
    } else {
        let sql = format!("INSERT INTO booking VALUES ({row}, 'skis')");
        client.simple_query(&sql).await.map(drop)
    }
}

/// Returns the number of rows with an id, plus the offset of the prepared statement `read`
/// if there are prepared statements. A missing number counts as none.
async fn read_row(
    client: &tokio_postgres::Client,
    prepared: Option<&PreparedStatements>,
    row: u64,
    read: i64,
) -> Result<i64, tokio_postgres::Error> {
    if let Some(prepared) = prepared {
        let statement = &prepared.reads[read as usize];
        let answer = client.query_one(statement, &[&row.to_string()]).await?;
        answer.try_get(0)
    } else {
        let sql = format!("SELECT count(*) FROM booking WHERE id = {row}");
        let messages = client.simple_query(&sql).await?;
        let value = first_value(&messages).and_then(|value| value.parse().ok());
        Ok(value.unwrap_or_default())
    }
}

/// Returns the first column of the first row.
fn first_value(messages: &[tokio_postgres::SimpleQueryMessage]) -> Option<&str> {
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    })
}

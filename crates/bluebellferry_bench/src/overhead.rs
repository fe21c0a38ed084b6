//! What the proxy adds to a statement, and what a caller costs.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use bluebellferry_routing::choice;
use bluebellferry_routing::history;
use bluebellferry_types::name;
use bluebellferry_types::position;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::BenchError;

/// How many statements make one block of a pair.
const BLOCK: usize = 500;
/// How many pairs of blocks are run.
const PAIRS: usize = 10;
/// How long the throughput is measured.
const THROUGHPUT_TIME: Duration = Duration::from_secs(5);
/// How many sessions the throughput is measured with.
const THROUGHPUT_SESSIONS: usize = 32;
/// How many idle callers are connected.
const IDLE_CALLERS: usize = 1_000;
/// How many routing decisions are timed.
const DECISIONS: u32 = 1_000_000;

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadResult {
    /// Median of a statement sent directly, in microseconds.
    pub direct_p50_us: u64,
    /// Median of the same statement through the proxy, in microseconds.
    pub proxied_p50_us: u64,
    /// What the proxy adds at the median, in microseconds.
    pub added_p50_us: i64,
    /// Statements a second through the proxy.
    pub statements_per_second: f64,
    /// Statements for each second of the proxy's processor time.
    pub statements_per_core_second: f64,
    /// The time of one routing decision, in nanoseconds.
    pub routing_decision_ns: f64,
    /// Memory that a thousand idle callers add, in kilobytes.
    pub thousand_idle_callers_kb: u64,
}

/// Measures all of it in one environment.
///
/// # Errors
/// Fails when the environment cannot be started or used.
pub async fn measure_overhead() -> Result<OverheadResult, BenchError> {
    let mut plan = plan::FleetPlan::small();
    plan.databases.connections = 64;
    plan.databases.slots = 64;
    plan.data_centres[1].vms = 0;
    let fleet = fleet::Fleet::start(plan, &process::Launcher::CurrentExecutable).await?;
    let (direct, proxied) = measure_latency(&fleet).await?;
    let (per_second, per_core) = measure_throughput(&fleet).await?;
    let idle = measure_idle_callers(&fleet).await?;
    let (direct_p50, proxied_p50) = (
        direct.value_at_quantile(0.5),
        proxied.value_at_quantile(0.5),
    );
    Ok(OverheadResult {
        direct_p50_us: direct_p50,
        proxied_p50_us: proxied_p50,
        added_p50_us: proxied_p50 as i64 - direct_p50 as i64,
        statements_per_second: per_second,
        statements_per_core_second: per_core,
        routing_decision_ns: time_decision(),
        thousand_idle_callers_kb: idle / 1024,
    })
}

/// Alternates blocks of direct and proxied statements.
async fn measure_latency(
    fleet: &fleet::Fleet,
) -> Result<(Histogram<u64>, Histogram<u64>), BenchError> {
    let primary = fleet.find_primary(0, 0).await?;
    let direct_client = fleet.connect_database(primary).await?;
    let proxied_client = fleet.connect(0, "families", "rental-core").await?;
    let (mut direct, mut proxied) = (Histogram::new(3)?, Histogram::new(3)?);
    for _ in 0..PAIRS {
        time_block(&direct_client, &mut direct).await?;
        time_block(&proxied_client, &mut proxied).await?;
    }
    Ok((direct, proxied))
}

async fn time_block(
    client: &tokio_postgres::Client,
    latencies: &mut Histogram<u64>,
) -> Result<(), BenchError> {
    for _ in 0..BLOCK {
        let started = Instant::now();
        client.simple_query("SELECT 1").await?;
        latencies.record((started.elapsed().as_micros() as u64).max(1))?;
    }
    Ok(())
}

async fn measure_throughput(fleet: &fleet::Fleet) -> Result<(f64, f64), BenchError> {
    let process = &fleet.proxies[0].process;
    let mut clients = Vec::new();
    for _ in 0..THROUGHPUT_SESSIONS {
        clients.push(fleet.connect(0, "families", "rental-core").await?);
    }
    let before = process.cpu_time().ok_or("no processor time")?;
    let started = Instant::now();
    let end = started + THROUGHPUT_TIME;
    let runs = clients
        .into_iter()
        .map(|client| tokio::spawn(run_until(client, end)));
    let mut statements = 0_u64;
    for run in runs.collect::<Vec<_>>() {
        statements += run.await??;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let used = process.cpu_time().ok_or("no processor time")? - before;
    Ok((
        statements as f64 / elapsed,
        statements as f64 / used.as_secs_f64(),
    ))
}

async fn run_until(client: tokio_postgres::Client, end: Instant) -> Result<u64, BenchError> {
    let mut count = 0;
    while Instant::now() < end {
        client.simple_query("SELECT 1").await?;
        count += 1;
    }
    Ok(count)
}

async fn measure_idle_callers(fleet: &fleet::Fleet) -> Result<u64, BenchError> {
    let process = &fleet.proxies[0].process;
    let before = process.resident_bytes().ok_or("no memory figure")?;
    let mut callers = Vec::new();
    for _ in 0..IDLE_CALLERS {
        callers.push(fleet.connect(0, "families", "rental-core").await?);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let after = process.resident_bytes().ok_or("no memory figure")?;
    Ok(after.saturating_sub(before))
}

/// Times the choice among three databases with a full history.
fn time_decision() -> f64 {
    let start = Instant::now();
    let mut history = history::PositionHistory::default();
    for step in 0..400_u64 {
        history.record(
            start + Duration::from_millis(step),
            position::LogPosition::new(1, step),
        );
    }
    let now = start + Duration::from_millis(450);
    let centre = name::DataCentreName::try_from("amman").expect("a valid name");
    let database = |primary_term: Option<u64>, offset: u64| choice::DatabaseView {
        name: name::DatabaseName::try_from("db").expect("a valid name"),
        data_centre: centre.clone(),
        primary_term,
        replayed: position::LogPosition::new(1, offset),
        last_answered: Some(now),
        majority_contact_age: Duration::ZERO,
        is_draining: false,
    };
    let service = choice::ServiceView {
        databases: [
            database(Some(1), 399),
            database(None, 390),
            database(None, 200),
        ]
        .into_iter()
        .collect(),
        history,
    };
    let demand = choice::ReadDemand {
        floor: position::LogPosition::new(1, 150),
        max_age: Duration::from_secs(5),
        max_wait: Duration::ZERO,
    };
    let started = Instant::now();
    for _ in 0..DECISIONS {
        let chosen = choice::choose_replica(
            std::hint::black_box(&service),
            std::hint::black_box(demand),
            &centre,
            |_| 0,
            now,
        );
        std::hint::black_box(chosen);
    }
    started.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

//! Measures the latency that the proxy adds to a statement, its throughput and the
//! memory of an idle caller.

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

/// The number of statements in a block.
const STATEMENTS_PER_BLOCK: usize = 500;
/// The number of pairs of a block of direct and a block of proxied statements.
const BLOCK_PAIRS: usize = 10;
/// The duration of the throughput measurement.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(5);
/// The number of concurrent sessions in the throughput measurement.
const THROUGHPUT_SESSIONS: usize = 32;
/// The number of idle callers whose memory is measured.
const IDLE_CALLERS: usize = 1_000;
/// The number of routing decisions that are timed.
const ROUTING_DECISIONS: u32 = 1_000_000;

/// The results of the overhead experiment.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadResult {
    /// The median latency of a statement sent directly to the database, in microseconds.
    pub direct_p50_us: u64,
    /// The median latency of the same statement through the proxy, in microseconds.
    pub proxied_p50_us: u64,
    /// The difference of the two medians in microseconds.
    pub added_p50_us: i64,
    /// The number of statements per second through the proxy.
    pub statements_per_second: f64,
    /// The number of statements per second of the proxy's CPU time.
    pub statements_per_core_second: f64,
    /// The average time of one routing decision in nanoseconds.
    pub routing_decision_ns: f64,
    /// The resident memory that a thousand idle callers add to the proxy, in kilobytes.
    pub thousand_idle_callers_kb: u64,
}

/// Runs all measurements in one environment with one proxy.
///
/// # Errors
/// Fails when the environment cannot be started or used.
pub async fn measure_overhead() -> Result<OverheadResult, BenchError> {
    let mut plan = plan::FleetPlan::small();
    plan.databases.max_connections = 64;
    plan.databases.max_running_statements = 64;
    plan.data_centres[1].vm_count = 0;
    let fleet = fleet::Fleet::start(plan, &process::Launcher::CurrentExecutable).await?;
    let (direct, proxied) = measure_latency(&fleet).await?;
    let (per_second, per_cpu_second) = measure_throughput(&fleet).await?;
    let idle_callers_bytes = measure_idle_callers(&fleet).await?;
    let (direct_p50, proxied_p50) = (
        direct.value_at_quantile(0.5),
        proxied.value_at_quantile(0.5),
    );
    Ok(OverheadResult {
        direct_p50_us: direct_p50,
        proxied_p50_us: proxied_p50,
        added_p50_us: proxied_p50 as i64 - direct_p50 as i64,
        statements_per_second: per_second,
        statements_per_core_second: per_cpu_second,
        routing_decision_ns: measure_routing_decision(),
        thousand_idle_callers_kb: idle_callers_bytes / 1024,
    })
}

/// Measures the latencies, in microseconds, of direct and of proxied statements,
/// in alternating blocks.
async fn measure_latency(
    fleet: &fleet::Fleet,
) -> Result<(Histogram<u64>, Histogram<u64>), BenchError> {
    let primary = fleet.find_primary(0, 0).await?;
    let direct_client = fleet.connect_database(primary).await?;
    let proxied_client = fleet.connect(0, "families", "rental-core").await?;
    let (mut direct, mut proxied) = (Histogram::new(3)?, Histogram::new(3)?);
    for _ in 0..BLOCK_PAIRS {
        time_block(&direct_client, &mut direct).await?;
        time_block(&proxied_client, &mut proxied).await?;
    }
    Ok((direct, proxied))
}

async fn time_block(
    client: &tokio_postgres::Client,
    latencies: &mut Histogram<u64>,
) -> Result<(), BenchError> {
    for _ in 0..STATEMENTS_PER_BLOCK {
        let started = Instant::now();
        client.simple_query("SELECT 1").await?;
        latencies.record((started.elapsed().as_micros() as u64).max(1))?;
    }
    Ok(())
}

/// Returns the statements per second and per second of the proxy's CPU time.
async fn measure_throughput(fleet: &fleet::Fleet) -> Result<(f64, f64), BenchError> {
    let process = &fleet.proxies[0].process;
    let mut clients = Vec::new();
    for _ in 0..THROUGHPUT_SESSIONS {
        clients.push(fleet.connect(0, "families", "rental-core").await?);
    }
    let cpu_time_before = process
        .cpu_time()
        .ok_or("the proxy's CPU time is not available")?;
    let started = Instant::now();
    let end = started + THROUGHPUT_DURATION;
    let tasks = clients
        .into_iter()
        .map(|client| tokio::spawn(run_statements_until(client, end)));
    let mut statements = 0_u64;
    for task in tasks.collect::<Vec<_>>() {
        statements += task.await??;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_time_used = process
        .cpu_time()
        .ok_or("the proxy's CPU time is not available")?
        - cpu_time_before;
    Ok((
        statements as f64 / elapsed,
        statements as f64 / cpu_time_used.as_secs_f64(),
    ))
}

async fn run_statements_until(
    client: tokio_postgres::Client,
    end: Instant,
) -> Result<u64, BenchError> {
    let mut count = 0;
    while Instant::now() < end {
        client.simple_query("SELECT 1").await?;
        count += 1;
    }
    Ok(count)
}

/// Returns the bytes of resident memory that idle callers add to the proxy.
async fn measure_idle_callers(fleet: &fleet::Fleet) -> Result<u64, BenchError> {
    let process = &fleet.proxies[0].process;
    let bytes_before = process
        .resident_bytes()
        .ok_or("the proxy's resident memory is not available")?;
    let mut callers = Vec::new();
    for _ in 0..IDLE_CALLERS {
        callers.push(fleet.connect(0, "families", "rental-core").await?);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let bytes_after = process
        .resident_bytes()
        .ok_or("the proxy's resident memory is not available")?;
    Ok(bytes_after.saturating_sub(bytes_before))
}

/// Returns the average time, in nanoseconds, of choosing among three databases
/// with a full position history.
fn measure_routing_decision() -> f64 {
    let start = Instant::now();
    let mut history = history::PositionHistory::default();
    for step in 0..400_u64 {
        history.record(
            start + Duration::from_millis(step),
            position::LogPosition::new(1, step),
        );
    }
    let now = start + Duration::from_millis(450);
    let data_centre = name::DataCentreName::try_from("amman").expect("a valid name");
    let new_database = |primary_term: Option<u64>, offset: u64| choice::DatabaseView {
        name: name::DatabaseName::try_from("db").expect("a valid name"),
        data_centre: data_centre.clone(),
        primary_term,
        replayed: position::LogPosition::new(1, offset),
        last_answered: Some(now),
        majority_contact_age: Duration::ZERO,
        is_draining: false,
    };
    let service = choice::ServiceView {
        databases: [
            new_database(Some(1), 399),
            new_database(None, 390),
            new_database(None, 200),
        ]
        .into_iter()
        .collect(),
        history,
    };
    let requirement = choice::ReplicaRequirement {
        floor: position::LogPosition::new(1, 150),
        max_age: Duration::from_secs(5),
        max_wait: Duration::ZERO,
    };
    let started = Instant::now();
    for _ in 0..ROUTING_DECISIONS {
        let chosen = choice::choose_replica(
            std::hint::black_box(&service),
            std::hint::black_box(requirement),
            &data_centre,
            |_| 0,
            now,
        );
        std::hint::black_box(chosen);
    }
    started.elapsed().as_nanos() as f64 / f64::from(ROUTING_DECISIONS)
}

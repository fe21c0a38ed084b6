//! Runs a scenario: starts the environment, generates load, injects faults and
//! collects the results.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::process;

use crate::BenchError;
use crate::load;
use crate::outcome;
use crate::scenario;

/// The delay before the load starts, in which the tasks of all sessions are started.
const START_DELAY: Duration = Duration::from_millis(200);
/// The time for replicas to catch up and token buckets to fill before the load.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// The interval at which progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a scenario and returns its result.
///
/// # Errors
/// Fails when the environment cannot be started, a fault cannot be injected, or
/// the rows cannot be read after the load.
pub async fn run_scenario(scenario: &scenario::Scenario) -> Result<outcome::RunResult, BenchError> {
    eprintln!("{}: starting the environment", scenario.name);
    let launcher = process::Launcher::CurrentExecutable;
    let mut fleet = fleet::Fleet::start(scenario.fleet.clone(), &launcher).await?;
    create_tables(&fleet).await?;
    let reads_before = count_replica_reads(&fleet).await;
    let start = Instant::now() + START_DELAY;
    let context = Arc::new(load::LoadContext {
        start,
        end: start + scenario.duration,
        next_row: AtomicU64::new(1),
    });
    let mut sessions = Vec::new();
    for plan in plan_sessions(scenario, &fleet) {
        sessions.push(tokio::spawn(load::run_session(plan, Arc::clone(&context))));
    }
    let progress = tokio::spawn(print_progress(
        scenario.name.clone(),
        start,
        scenario.duration,
    ));
    inject_faults(&mut fleet, scenario, start).await?;
    let mut outcomes = Vec::new();
    for session in sessions {
        outcomes.push(session.await?);
    }
    progress.abort();
    let reads_after = count_replica_reads(&fleet).await;
    let lost = count_lost(&fleet, &outcomes).await?;
    let workspaces: Vec<(String, f64, f64)> = scenario
        .load
        .iter()
        .map(|load| {
            (
                load.workspace.clone(),
                load.rate_per_second,
                load.requests_per_second,
            )
        })
        .collect();
    let (on_replicas, fallbacks) = (
        reads_after.0 - reads_before.0,
        reads_after.1 - reads_before.1,
    );
    Ok(outcome::RunResult {
        scenario: scenario.name.clone(),
        seed: scenario.seed,
        seconds: scenario.duration.as_secs_f64(),
        replica_read_share: on_replicas / (on_replicas + fallbacks).max(1.0),
        write_gap_ms: outcome::longest_write_gap(&outcomes).as_millis() as u64,
        acknowledged: outcomes
            .iter()
            .map(|outcome| outcome.acknowledged.len() as u64)
            .sum(),
        lost,
        stale_reads: outcomes.iter().map(|outcome| outcome.stale_reads).sum(),
        foreign_results: outcomes.iter().map(|outcome| outcome.foreign_results).sum(),
        workspaces: outcome::summarize_workspaces(&outcomes, &workspaces),
        writes_per_tenth: outcome::count_writes_per_tenth(&outcomes, scenario.duration),
    })
}

/// Creates each service's table with a row that sessions read until they have
/// written one themselves, then waits for [`WARM_UP_TIME`].
async fn create_tables(fleet: &fleet::Fleet) -> Result<(), BenchError> {
    let workspace = &fleet.plan.workspaces[0].name;
    for service in &fleet.plan.services {
        let client = fleet.connect(0, workspace, &service.name).await?;
        client
            .batch_execute("CREATE TABLE booking (id BIGINT PRIMARY KEY, gear TEXT)")
            .await?;
        client
            .batch_execute("INSERT INTO booking VALUES (0, 'first')")
            .await?;
    }
    tokio::time::sleep(WARM_UP_TIME).await;
    Ok(())
}

/// Plans the sessions of all workspaces, spread over the services and, unless the
/// load names one, over the proxies.
fn plan_sessions(scenario: &scenario::Scenario, fleet: &fleet::Fleet) -> Vec<load::SessionPlan> {
    let mut plans = Vec::new();
    for (workspace, load) in scenario.load.iter().enumerate() {
        for session in 0..load.sessions {
            let session_number = plans.len();
            let service = &fleet.plan.services[session % fleet.plan.services.len()].name;
            let proxies: Vec<usize> = match load.only_proxy {
                Some(proxy) => vec![proxy],
                None => (0..fleet.proxies.len()).collect(),
            };
            let config = |proxy: &usize| fleet.caller_config(*proxy, &load.workspace, service);
            plans.push(load::SessionPlan {
                proxy_configs: proxies.iter().map(config).collect(),
                first_proxy: session_number,
                workspace,
                requests_per_second: load.requests_per_second / load.sessions as f64,
                write_share: load.write_share,
                read_kind: load.read_kind.clone(),
                prepares: (session as f64) < load.prepared_share * load.sessions as f64,
                seed: scenario
                    .seed
                    .wrapping_mul(1_000_003)
                    .wrapping_add(session_number as u64),
            });
        }
    }
    plans
}

async fn print_progress(name: String, start: Instant, duration: Duration) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let elapsed_s = start.elapsed().as_secs().min(duration.as_secs());
        eprintln!("{name}: {elapsed_s} of {} s", duration.as_secs());
    }
}

async fn inject_faults(
    fleet: &mut fleet::Fleet,
    scenario: &scenario::Scenario,
    start: Instant,
) -> Result<(), BenchError> {
    for fault in &scenario.faults {
        tokio::time::sleep_until((start + fault.at).into()).await;
        eprintln!("{}: {:?} {}", scenario.name, fault.kind, fault.index);
        inject_fault(fleet, *fault).await?;
    }
    Ok(())
}

async fn inject_fault(
    fleet: &mut fleet::Fleet,
    fault: scenario::PlannedFault,
) -> Result<(), BenchError> {
    match fault.kind {
        scenario::FaultKind::KillPrimary => {
            let primary = fleet.find_primary(0, fault.index).await?;
            fleet.databases[primary].process.kill().await?;
        }
        scenario::FaultKind::FreezePrimary => {
            let primary = fleet.find_primary(0, fault.index).await?;
            fleet.databases[primary].process.suspend()?;
        }
        scenario::FaultKind::KillProxy => fleet.proxies[fault.index].process.kill().await?,
        scenario::FaultKind::StoreOut => {
            fleet
                .set_store_faults(serde_json::json!({"outage": true}))
                .await?;
        }
        scenario::FaultKind::StoreBack => fleet.set_store_faults(serde_json::json!({})).await?,
        scenario::FaultKind::CutCentre => fleet.set_data_centre_cut(fault.index, true, true),
        scenario::FaultKind::MendCentre => fleet.set_data_centre_cut(fault.index, false, true),
    }
    Ok(())
}

/// Returns the numbers of reads, over all proxies, that replicas served and that
/// fell back to the primary.
async fn count_replica_reads(fleet: &fleet::Fleet) -> (f64, f64) {
    let (mut on_replicas, mut fallbacks) = (0.0, 0.0);
    for proxy in 0..fleet.proxies.len() {
        let name = "bluebellferry_requests_total";
        on_replicas += fleet
            .sum_counter(proxy, name, "route=\"replica\"")
            .await
            .unwrap_or(0.0);
        let name = "bluebellferry_replica_fallbacks_total";
        fallbacks += fleet.sum_counter(proxy, name, "").await.unwrap_or(0.0);
    }
    (on_replicas, fallbacks)
}

/// Counts the acknowledged rows that no service's primary holds.
async fn count_lost(
    fleet: &fleet::Fleet,
    outcomes: &[outcome::SessionOutcome],
) -> Result<u64, BenchError> {
    let mut stored_rows = std::collections::HashSet::new();
    for service in 0..fleet.plan.services.len() {
        let mut primary = None;
        for proxy in 0..fleet.proxies.len() {
            primary = primary.or(fleet.find_primary(proxy, service).await.ok());
        }
        let primary =
            primary.ok_or("no proxy reports a primary for one of the services after the load")?;
        let client = fleet.connect_database(primary).await?;
        for message in client.simple_query("SELECT id FROM booking").await? {
            if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
                stored_rows.extend(row.get(0).and_then(|id| id.parse::<u64>().ok()));
            }
        }
    }
    let acknowledged = outcomes.iter().flat_map(|outcome| &outcome.acknowledged);
    Ok(acknowledged
        .filter(|row| !stored_rows.contains(row))
        .count() as u64)
}

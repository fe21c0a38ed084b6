//! Measures how the CPU time, memory and traffic of an idle VM grow with the numbers
//! of VMs, services and workspaces.

use std::time::Duration;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use serde::Serialize;

use crate::BenchError;

/// The duration of the measurement at each size.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

/// The measurements of one idle VM in an environment of one size.
#[derive(Debug, Clone, Serialize)]
pub struct ScalingPoint {
    /// The number of VMs.
    pub vms: u32,
    /// The number of databases that every VM probes.
    pub databases: usize,
    /// The number of workspaces.
    pub workspaces: usize,
    /// The CPU time of the VM's proxy, in percent of one core.
    pub core_percent: f64,
    /// The resident memory of the VM's proxy in kilobytes.
    pub memory_kb: u64,
    /// The number of bytes per second that the VM sends to other VMs.
    pub peer_bytes_per_second: f64,
    /// The number of calls per second that all VMs together make to the store.
    pub store_calls_per_second: f64,
}

/// Starts an environment of one size and measures its first VM.
///
/// # Errors
/// Fails when the environment cannot be started.
pub async fn measure_size(
    vms: u32,
    services: usize,
    workspaces: usize,
) -> Result<ScalingPoint, BenchError> {
    let mut plan = plan::FleetPlan::small();
    plan.data_centres[0].vm_count = vms.div_ceil(2);
    plan.data_centres[1].vm_count = vms / 2;
    let service = |number: usize| plan::ServicePlan {
        name: format!("service-{number}"),
        database_count: 3,
    };
    plan.services = (0..services).map(service).collect();
    let names = (0..workspaces).map(|number| format!("workspace-{number}"));
    plan.workspaces = names
        .map(|name| plan::WorkspacePlan::unlimited(&name))
        .collect();
    let fleet = fleet::Fleet::start(plan, &process::Launcher::CurrentExecutable).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let process = &fleet.proxies[0].process;
    let sent_bytes_metric = "bluebellferry_peer_sent_bytes_total";
    let cpu_time_before = process
        .cpu_time()
        .ok_or("the proxy's CPU time is not available")?;
    let sent_before = fleet.sum_counter(0, sent_bytes_metric, "").await?;
    let calls_before = count_store_calls(&fleet).await?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let cpu_time_used = process
        .cpu_time()
        .ok_or("the proxy's CPU time is not available")?
        - cpu_time_before;
    let sent_bytes = fleet.sum_counter(0, sent_bytes_metric, "").await? - sent_before;
    let calls_made = count_store_calls(&fleet).await? - calls_before;
    Ok(ScalingPoint {
        vms,
        databases: services * 3,
        workspaces,
        core_percent: cpu_time_used.as_secs_f64() / seconds * 100.0,
        memory_kb: process.resident_bytes().unwrap_or(0) / 1024,
        peer_bytes_per_second: sent_bytes / seconds,
        store_calls_per_second: calls_made as f64 / seconds,
    })
}

/// Returns the number of reads, writes and watches that the store has served.
async fn count_store_calls(fleet: &fleet::Fleet) -> Result<u64, BenchError> {
    let calls = fleet.fetch_store_calls().await?;
    let count = |name: &str| calls[name].as_u64().unwrap_or(0);
    Ok(count("reads") + count("writes") + count("watches"))
}

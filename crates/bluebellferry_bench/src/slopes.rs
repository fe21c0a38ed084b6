//! What control costs a VM, at several numbers of VMs and services.

use std::time::Duration;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use serde::Serialize;

use crate::BenchError;

/// How long each size is observed.
const OBSERVED: Duration = Duration::from_secs(6);

/// One size's figures for one idle VM.
#[derive(Debug, Clone, Serialize)]
pub struct SlopePoint {
    /// The number of VMs.
    pub vms: u32,
    /// The number of databases probed.
    pub databases: usize,
    /// The number of workspaces.
    pub workspaces: usize,
    /// Processor time as a share of one core, in percent.
    pub core_percent: f64,
    /// Memory in kilobytes.
    pub memory_kb: u64,
    /// Bytes sent to other VMs a second.
    pub peer_bytes_per_second: f64,
    /// Calls to the store a second, by all VMs together.
    pub store_calls_per_second: f64,
}

/// Observes one size.
///
/// # Errors
/// Fails when the environment cannot be started.
pub async fn observe_size(
    vms: u32,
    services: usize,
    workspaces: usize,
) -> Result<SlopePoint, BenchError> {
    let mut plan = plan::FleetPlan::small();
    plan.data_centres[0].vms = vms.div_ceil(2);
    plan.data_centres[1].vms = vms / 2;
    let service = |number: usize| plan::ServicePlan {
        name: format!("service-{number}"),
        databases: 3,
    };
    plan.services = (0..services).map(service).collect();
    let names = (0..workspaces).map(|number| format!("workspace-{number}"));
    plan.workspaces = names
        .map(|name| plan::WorkspacePlan::unlimited(&name))
        .collect();
    let fleet = fleet::Fleet::start(plan, &process::Launcher::CurrentExecutable).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let process = &fleet.proxies[0].process;
    let bytes_name = "bluebellferry_peer_sent_bytes_total";
    let time = process.cpu_time().ok_or("no processor time")?;
    let bytes = fleet.sum_counter(0, bytes_name, "").await?;
    let calls = store_calls(&fleet).await?;
    tokio::time::sleep(OBSERVED).await;
    let seconds = OBSERVED.as_secs_f64();
    let used = process.cpu_time().ok_or("no processor time")? - time;
    let sent = fleet.sum_counter(0, bytes_name, "").await? - bytes;
    let called = store_calls(&fleet).await? - calls;
    Ok(SlopePoint {
        vms,
        databases: services * 3,
        workspaces,
        core_percent: used.as_secs_f64() / seconds * 100.0,
        memory_kb: process.resident_bytes().unwrap_or(0) / 1024,
        peer_bytes_per_second: sent / seconds,
        store_calls_per_second: called as f64 / seconds,
    })
}

async fn store_calls(fleet: &fleet::Fleet) -> Result<u64, BenchError> {
    let calls = fleet.fetch_store_calls().await?;
    let count = |name: &str| calls[name].as_u64().unwrap_or(0);
    Ok(count("reads") + count("writes") + count("watches"))
}

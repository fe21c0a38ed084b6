//! The command-line tool that runs load tests and experiments.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bluebellferry_bench::BenchError;
use bluebellferry_bench::limits;
use bluebellferry_bench::overhead;
use bluebellferry_bench::report;
use bluebellferry_bench::run;
use bluebellferry_bench::scaling;
use bluebellferry_bench::scenario;
use bluebellferry_fleet::roles;
use bluebellferry_runtime::logging;
use bluebellferry_runtime::settings;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs load tests and experiments against environments on this machine.
        cmd bluebellferry-bench {
            /// Runs a scenario and writes a report.
            cmd run {
                /// The scenario file, in JSON.
                required scenario: PathBuf
                /// The folder for the report (default: .bench-out).
                optional --out out: PathBuf
                /// The number of runs (default: 1); the seed grows by one with each.
                optional --times times: u32
            }
            /// Measures the latency that the proxy adds, its throughput and the memory of idle callers.
            cmd overhead {}
            /// Simulates and compares ways to enforce a rate limit over several VMs.
            cmd limits {}
            /// Measures CPU time, memory and traffic of an idle VM in environments of several sizes.
            cmd slopes {}
        }
    }
}

fn main() -> ExitCode {
    if let Some(code) = roles::run_role() {
        return code;
    }
    let flags = flags::BluebellferryBench::from_env_or_exit();
    logging::start_logging("bluebellferry-bench", log::LevelFilter::Warn);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the async runtime could not be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(dispatch(flags.subcommand)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(command: flags::BluebellferryBenchCmd) -> Result<(), BenchError> {
    match command {
        flags::BluebellferryBenchCmd::Run(run) => {
            let out = run.out.unwrap_or_else(|| PathBuf::from(".bench-out"));
            run_scenario(&run.scenario, &out, run.times.unwrap_or(1)).await
        }
        flags::BluebellferryBenchCmd::Overhead(_) => {
            let result = overhead::measure_overhead().await?;
            println!("{:#}", serde_json::to_value(result)?);
            Ok(())
        }
        flags::BluebellferryBenchCmd::Limits(_) => {
            compare_limits();
            Ok(())
        }
        flags::BluebellferryBenchCmd::Slopes(_) => measure_scaling().await,
    }
}

async fn run_scenario(file: &Path, out: &Path, times: u32) -> Result<(), BenchError> {
    let mut scenario: scenario::Scenario =
        settings::load_settings::<scenario::ScenarioWire, _>(file)?;
    let name = scenario.name.clone();
    for number in 0..times {
        if times > 1 {
            scenario.name = format!("{name}-{number}");
        }
        let result = run::run_scenario(&scenario).await?;
        report::print_result(&result);
        report::write_report(out, &result)?;
        scenario.seed += 1;
    }
    Ok(())
}

fn compare_limits() {
    let parameters = limits::LimitParameters {
        vms: 7,
        rate_per_second: 700.0,
        burst: 700.0,
        load: 0.8,
        seed: 1,
    };
    println!("7 VMs, rate 700/s, burst 700, 30 s, load 80 % (overload: 300 %)");
    println!(
        "{:<14} {:<18} {:>8} {:>10} {:>10}",
        "case", "policy", "sent", "overshoot", "refused %"
    );
    let cases = [
        limits::LimitCase::Even,
        limits::LimitCase::Skewed,
        limits::LimitCase::Roaming,
        limits::LimitCase::VmLost,
        limits::LimitCase::FirstVmLost,
        limits::LimitCase::Cut,
        limits::LimitCase::Overload,
    ];
    let policies = [
        limits::LimitPolicy::LendingShares,
        limits::LimitPolicy::StaticSplit,
        limits::LimitPolicy::CentralCounter,
        limits::LimitPolicy::LimitPerVm,
    ];
    for case in cases {
        for policy in policies {
            let outcome = limits::simulate(policy, case, parameters);
            println!(
                "{:<14} {:<18} {:>8} {:>10} {:>10.2}",
                format!("{case:?}"),
                format!("{policy:?}"),
                outcome.sent,
                outcome.overshoot,
                outcome.refused_percent
            );
        }
    }
}

async fn measure_scaling() -> Result<(), BenchError> {
    let sizes = [
        (2, 1, 8),
        (4, 1, 8),
        (8, 1, 8),
        (16, 1, 8),
        (4, 4, 8),
        (4, 8, 8),
        (4, 1, 200),
        (4, 1, 800),
    ];
    for (vms, services, workspaces) in sizes {
        let point = scaling::measure_size(vms, services, workspaces).await?;
        println!("{}", serde_json::to_string(&point)?);
    }
    Ok(())
}

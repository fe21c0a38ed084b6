//! The command line of the soak.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bluebellferry_runtime::logging;
use bluebellferry_soak::SoakError;
use bluebellferry_soak::commands;
use bluebellferry_soak::fault;
use bluebellferry_soak::report;
use bluebellferry_soak::runner;
use bluebellferry_soak::schedule;
use bluebellferry_soak::site;
use tokio::signal;

/// The default folder for logs, histories and reports.
const DEFAULT_OUTPUT_FOLDER: &str = "target/soak";
/// The command that runs a schedule from a file again.
const REPLAY_COMMAND: &str = "cargo run --release -p bluebellferry_soak -- replay";
/// The file name of the VM program, in the folder of this program.
const VM_PROGRAM: &str = "bluebellferry-edge";
const DEFAULT_VMS: u8 = 3;
const DEFAULT_SPARES: u8 = 2;
/// The maximum number of VMs at the start; with the slots for replacements, a site has at
/// most 16.
///
/// In larger fleets a VM uses membership lists that another VM has read from the store.
/// The stand-in store puts addresses of the reader's own relays into such lists, so the
/// lists are wrong for other VMs.
const MAX_VMS: u8 = 14;
const DEFAULT_DATABASES: u8 = 3;
const DEFAULT_CALLERS: usize = 24;
const DEFAULT_SECONDS: u64 = 20;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags generates these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs the real programs on this machine, injects faults and checks what
        /// callers and databases record.
        cmd bluebellferry-soak {
            /// Draws schedules of faults from seeds and runs them.
            cmd run {
                /// The seed (random).
                optional --seed seed: u64
                /// A range of seeds, FROM..TO; TO itself is not included.
                optional --seeds seeds: String
                /// How long callers run, in minutes.
                optional --minutes minutes: u64
                /// How long callers run, in seconds (20).
                optional --seconds seconds: u64
                /// The number of VMs (3; at most 14).
                optional --vms vms: u8
                /// The number of callers (24).
                optional --callers callers: usize
                /// The VM program (bluebellferry-edge in the folder of this program).
                optional --program program: PathBuf
                /// The folder for logs and reports (target/soak).
                optional --out out: PathBuf
                /// Removes faults from a failing schedule as long as it still fails.
                optional --shrink
                /// Prints no progress, only a line for each seed and its violations.
                optional --quiet
            }
            /// Runs schedules from files, such as those in crates/bluebellferry_soak/regressions.
            cmd replay {
                /// The schedules.
                repeated files: PathBuf
                /// The VM program (bluebellferry-edge in the folder of this program).
                optional --program program: PathBuf
            }
            /// Lists the kinds of faults.
            cmd list-faults {}
            /// Runs a stand-in; started by the soak itself.
            cmd play {
                required role: String
                required layout: String
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::BluebellferrySoak::from_env_or_exit();
    logging::start_logging("bluebellferry-soak", log::LevelFilter::Warn);
    let run = || -> Result<bool, Box<dyn std::error::Error>> {
        tokio::runtime::Runtime::new()?.block_on(async {
            let mut terminate = signal::unix::signal(signal::unix::SignalKind::terminate())?;
            // Dropping the future also drops its site, which kills all processes.
            tokio::select! {
                passed = dispatch(flags.subcommand) => passed,
                _ = signal::ctrl_c() => Err("interrupted by SIGINT".into()),
                _ = terminate.recv() => Err("terminated by SIGTERM".into()),
            }
        })
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the subcommand, and returns whether its checks found no violation.
async fn dispatch(
    command: flags::BluebellferrySoakCmd,
) -> Result<bool, Box<dyn std::error::Error>> {
    match command {
        flags::BluebellferrySoakCmd::Run(run) => run_seeds(&run).await,
        flags::BluebellferrySoakCmd::Replay(replay) => {
            let mut has_passed = true;
            for file in &replay.files {
                let schedule = serde_json::from_str(&std::fs::read_to_string(file)?)?;
                let name = file.file_stem().unwrap_or_default();
                let out = Path::new(DEFAULT_OUTPUT_FOLDER).join("replay").join(name);
                let settings = run_settings(replay.program.clone(), out, DEFAULT_CALLERS, true)?;
                let outcome = runner::run_schedule(&schedule, &settings).await?;
                print!("{}", report::render(&outcome));
                has_passed &= outcome.violations.is_empty();
            }
            Ok(has_passed)
        }
        flags::BluebellferrySoakCmd::ListFaults(_) => {
            for (name, about) in fault::FaultKind::KINDS {
                println!("{name:<20} {about}");
            }
            Ok(true)
        }
        flags::BluebellferrySoakCmd::Play(play) => {
            let layout = serde_json::from_str(&play.layout)?;
            match play.role.as_str() {
                "store" => commands::run_store_standin(layout).await?,
                "databases" => commands::run_databases_standin(layout).await?,
                other => return Err(format!("unknown stand-in '{other}'").into()),
            }
            Ok(true)
        }
    }
}

fn run_settings(
    program: Option<PathBuf>,
    folder: PathBuf,
    callers: usize,
    shows_progress: bool,
) -> Result<runner::RunSettings, SoakError> {
    let soak = std::env::current_exe()?;
    let programs = site::SitePrograms {
        vm: program.unwrap_or_else(|| soak.with_file_name(VM_PROGRAM)),
        soak,
    };
    Ok(runner::RunSettings {
        programs,
        folder,
        callers,
        shows_progress,
    })
}

fn parse_seeds(run: &flags::Run) -> Result<std::ops::Range<u64>, Box<dyn std::error::Error>> {
    if let Some(text) = &run.seeds {
        let (from, to) = text
            .split_once("..")
            .ok_or("--seeds must have the form FROM..TO")?;
        return Ok(from.parse()?..to.parse()?);
    }
    let seed = run.seed.unwrap_or_else(rand::random);
    Ok(seed..seed + 1)
}

async fn run_seeds(run: &flags::Run) -> Result<bool, Box<dyn std::error::Error>> {
    if run.vms.is_some_and(|vms| !(1..=MAX_VMS).contains(&vms)) {
        return Err(format!("--vms must be 1 to {MAX_VMS}").into());
    }
    let size = schedule::SiteSize {
        vms: run.vms.unwrap_or(DEFAULT_VMS),
        spares: DEFAULT_SPARES,
        databases: DEFAULT_DATABASES,
    };
    let seconds = run.minutes.map(|minutes| minutes * 60).or(run.seconds);
    let length_ms = seconds.unwrap_or(DEFAULT_SECONDS) * 1_000;
    let out = run
        .out
        .clone()
        .unwrap_or_else(|| PathBuf::from(DEFAULT_OUTPUT_FOLDER));
    let callers = run.callers.unwrap_or(DEFAULT_CALLERS);
    let mut fault_counts: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut runs, mut statements, mut failing_seeds) = (0, 0, Vec::new());
    for seed in parse_seeds(run)? {
        let schedule = schedule::FaultSchedule::draw(seed, size, length_ms);
        let folder = out.join(format!("seed-{seed}"));
        let settings = run_settings(run.program.clone(), folder, callers, !run.quiet)?;
        let outcome = runner::run_schedule(&schedule, &settings).await?;
        runs += 1;
        statements += outcome.statements;
        for (kind, count) in outcome.fault_counts() {
            *fault_counts.entry(kind).or_default() += count;
        }
        println!(
            "seed {seed}: {} faults, {} statements, {} commits, {} promotions, {} violations",
            schedule.faults.len(),
            outcome.statements,
            outcome.commits,
            outcome.promotions,
            outcome.violations.len()
        );
        if outcome.violations.is_empty() {
            continue;
        }
        failing_seeds.push(seed);
        for violation in &outcome.violations {
            println!("  violated: {violation}");
        }
        let folder = settings.folder.display();
        println!("  results in {folder}; to replay: {REPLAY_COMMAND} {folder}/schedule.json");
        if run.shrink {
            let (smallest, trials) = runner::shrink_schedule(&schedule, &settings).await?;
            let file = settings.folder.join("smallest.json");
            std::fs::write(&file, serde_json::to_string_pretty(&smallest)?)?;
            println!(
                "  {} faults are left after {trials} trials",
                smallest.faults.len()
            );
        }
    }
    println!(
        "{runs} seeds, {statements} statements, failing {failing_seeds:?}, faults {fault_counts:?}"
    );
    Ok(failing_seeds.is_empty())
}

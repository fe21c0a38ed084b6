//! The command that plays the soak.

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

/// Where logs, histories and reports go.
const OUT: &str = "target/soak";
/// The command that plays a schedule again.
const REPLAY: &str = "cargo run --release -p bluebellferry_soak -- replay";
/// The program of a VM, beside this one.
const VM_PROGRAM: &str = "bluebellferry-edge";
const DEFAULT_VMS: u8 = 3;
const DEFAULT_SPARES: u8 = 2;
/// With those that replace others sixteen. Beyond, VMs use lists that others have read,
/// in which VMs stand at addresses of the others' relays.
const MAX_VMS: u8 = 14;
const DEFAULT_DATABASES: u8 = 3;
const DEFAULT_CALLERS: usize = 24;
const DEFAULT_SECONDS: u64 = 20;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Plays faults against the real programs on this machine and checks what
        /// callers and databases see.
        cmd bluebellferry-soak {
            /// Draws schedules by seed and plays them.
            cmd run {
                /// The seed.
                optional --seed seed: u64
                /// Seeds from the first up to, not including, the last: FROM..TO.
                optional --seeds seeds: String
                /// How long callers run, in minutes.
                optional --minutes minutes: u64
                /// How long callers run, in seconds (20).
                optional --seconds seconds: u64
                /// How many VMs there are (3; 14 at most).
                optional --vms vms: u8
                /// How many callers there are (24).
                optional --callers callers: usize
                /// The program of a VM (bluebellferry-edge beside this one).
                optional --program program: PathBuf
                /// The folder for logs and reports (target/soak).
                optional --out out: PathBuf
                /// Drops faults from a schedule that fails as long as it still does.
                optional --shrink
                /// Prints one line a seed only.
                optional --quiet
            }
            /// Plays schedules from files, such as those of crates/bluebellferry_soak/regressions.
            cmd replay {
                /// The schedules.
                repeated files: PathBuf
                /// The program of a VM (bluebellferry-edge beside this one).
                optional --program program: PathBuf
            }
            /// Lists the kinds of faults.
            cmd list-faults {}
            /// Plays a stand-in; for the soak itself.
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
            // A site that is dropped ends its processes.
            tokio::select! {
                passed = dispatch(flags.subcommand) => passed,
                _ = signal::ctrl_c() => Err("interrupted".into()),
                _ = terminate.recv() => Err("asked to stop".into()),
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

/// Returns whether no promise was broken.
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
                let out = Path::new(OUT).join("replay").join(name);
                let settings = settings(replay.program.clone(), out, DEFAULT_CALLERS, true)?;
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
                other => return Err(format!("'{other}' is no stand-in").into()),
            }
            Ok(true)
        }
    }
}

fn settings(
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

fn seeds(run: &flags::Run) -> Result<std::ops::Range<u64>, Box<dyn std::error::Error>> {
    if let Some(text) = &run.seeds {
        let (from, to) = text.split_once("..").ok_or("--seeds wants FROM..TO")?;
        return Ok(from.parse()?..to.parse()?);
    }
    let seed = run.seed.unwrap_or_else(rand::random);
    Ok(seed..seed + 1)
}

async fn run_seeds(run: &flags::Run) -> Result<bool, Box<dyn std::error::Error>> {
    if run.vms.is_some_and(|vms| !(1..=MAX_VMS).contains(&vms)) {
        return Err(format!("--vms wants 1 to {MAX_VMS}").into());
    }
    let size = schedule::SiteSize {
        vms: run.vms.unwrap_or(DEFAULT_VMS),
        spares: DEFAULT_SPARES,
        databases: DEFAULT_DATABASES,
    };
    let seconds = run.minutes.map(|minutes| minutes * 60).or(run.seconds);
    let length_ms = seconds.unwrap_or(DEFAULT_SECONDS) * 1_000;
    let out = run.out.clone().unwrap_or_else(|| PathBuf::from(OUT));
    let callers = run.callers.unwrap_or(DEFAULT_CALLERS);
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut played, mut statements, mut failing) = (0, 0, Vec::new());
    for seed in seeds(run)? {
        let schedule = schedule::FaultSchedule::draw(seed, size, length_ms);
        let folder = out.join(format!("seed-{seed}"));
        let settings = settings(run.program.clone(), folder, callers, !run.quiet)?;
        let outcome = runner::run_schedule(&schedule, &settings).await?;
        played += 1;
        statements += outcome.statements;
        for (kind, count) in outcome.kinds() {
            *kinds.entry(kind).or_default() += count;
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
        failing.push(seed);
        for violation in &outcome.violations {
            println!("  violated: {violation}");
        }
        let folder = settings.folder.display();
        println!("  kept in {folder}; once more: {REPLAY} {folder}/schedule.json");
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
    println!("{played} seeds, {statements} statements, failing {failing:?}, faults {kinds:?}");
    Ok(failing.is_empty())
}

//! Runs a schedule against a site, and checks the history meanwhile.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_history::statement::StatementViolation;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::SoakError;
use crate::callers;
use crate::report;
use crate::schedule;
use crate::site;

/// For this many callers, another one uses the roaming key.
const CALLERS_PER_ROAMING_KEY: usize = 4;
/// The interval between checks for due faults and exited processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between checks of the history during a run.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The timeout for callers to end their last statements; longer than any timeout of a
/// statement.
const CALLERS_STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum number of runs for shrinking a schedule.
const MAX_TRIALS: usize = 24;

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The programs that the site runs.
    pub programs: site::SitePrograms,
    /// The folder for logs, history and report.
    pub folder: PathBuf,
    /// The number of callers.
    pub callers: usize,
    /// Whether progress is printed to standard error.
    pub shows_progress: bool,
}

/// Collects the history of a run and checks it.
#[derive(Debug)]
struct HistoryChecker {
    history: statement::StatementHistory,
    recorder: Arc<recorder::HistoryRecorder>,
}

impl HistoryChecker {
    /// Adds what was recorded since the last call.
    ///
    /// Statements are taken from callers before executions are taken from databases, so
    /// that the executions of all ended statements are included.
    async fn collect_history(&mut self, site: &mut site::RunningSite) -> Result<(), SoakError> {
        let mut statements = self.recorder.take_statements();
        for statement in &mut statements {
            if let Some(slot) = site::slot_of(&statement.vm) {
                statement.vm = site.vm_serving_at(slot, statement.sent_us);
            }
        }
        self.history.statements.append(&mut statements);
        let database_history = site.take_history().await?;
        let database_history: statement::StatementHistory =
            serde_json::from_value(database_history)?;
        self.history.runs.extend(database_history.runs);
        self.history
            .unknown_executions
            .extend(database_history.unknown_executions);
        self.history.commits.extend(database_history.commits);
        self.history.promotions.extend(database_history.promotions);
        self.history
            .promotion_api_calls
            .extend(database_history.promotion_api_calls);
        let recorded = &site.recorded;
        self.history
            .configurations
            .clone_from(&recorded.configurations);
        self.history.faults.clone_from(&recorded.faults);
        self.history.signals.clone_from(&recorded.signals);
        self.history.starts.clone_from(&recorded.starts);
        self.history
            .draining_databases
            .clone_from(&recorded.draining_databases);
        self.history
            .evacuated_databases
            .clone_from(&recorded.evacuated_databases);
        Ok(())
    }

    async fn check_history(&self) -> Vec<StatementViolation> {
        let history = self.history.clone();
        let check_task = tokio::task::spawn_blocking(move || {
            statement::check_statements(&history, &statement::HistoryBounds::default())
        });
        check_task.await.expect("the checks do not panic")
    }
}

/// Runs a schedule, and writes logs, history and report into the folder of the settings.
///
/// # Errors
/// Fails when the site cannot be started or a stand-in is lost.
pub async fn run_schedule(
    schedule: &schedule::FaultSchedule,
    settings: &RunSettings,
) -> Result<report::SoakOutcome, SoakError> {
    let folder = &settings.folder;
    let mut site =
        site::RunningSite::start(settings.programs.clone(), schedule.size, folder).await?;
    let recorder = Arc::new(recorder::HistoryRecorder::default());
    let (stop, stopped) = watch::channel(false);
    let caller_settings = callers::CallerSettings {
        addresses: site.caller_addresses(),
        routes: callers::ROUTES.to_vec(),
        permanent_key: site::PERMANENT_KEY.to_owned(),
        rotating_key: site::rotating_key,
        roaming_key: site::ROAMING_KEY.to_owned(),
        seed: schedule.seed,
        count: settings.callers,
        roaming_count: settings.callers.div_ceil(CALLERS_PER_ROAMING_KEY),
    };
    let start_us = recorder::now_us();
    let callers_task = tokio::spawn(callers::run_callers(
        caller_settings,
        Arc::clone(&recorder),
        stopped,
    ));
    let mut checker = HistoryChecker {
        history: statement::StatementHistory::default(),
        recorder,
    };
    let early_violations = run_faults(schedule, settings, &mut site, &mut checker).await?;
    stop.send_replace(true);
    if tokio::time::timeout(CALLERS_STOP_TIMEOUT, callers_task)
        .await
        .is_err()
    {
        log::warn!("callers did not stop in time");
    }
    // Databases may still be writing answers for which no caller waits any more.
    tokio::time::sleep(CHECK_INTERVAL / 4).await;
    checker.collect_history(&mut site).await?;
    let violations = checker.check_history().await;
    let name = |violation: &StatementViolation| format!("{violation:?}");
    let mut violation_names: Vec<String> = violations.iter().map(name).collect();
    let retracted = early_violations
        .iter()
        .map(name)
        .filter(|name| !violation_names.contains(name));
    let retracted = retracted.collect();
    violation_names.append(&mut site.unexpected_exits);
    site.close().await;
    let history = &checker.history;
    let outcome = report::SoakOutcome {
        schedule: schedule.clone(),
        statements: history.statements.len(),
        runs: history.runs.len(),
        commits: history.commits.len(),
        promotions: history.promotions.len(),
        seconds: report::count_outcomes_per_second(&history.statements, start_us),
        violations: violation_names,
        retracted,
    };
    report::write(folder, &outcome, history)?;
    Ok(outcome)
}

/// Injects the faults and checks the history meanwhile. Returns the violations of the
/// first check that found any, or none at the end of the schedule.
async fn run_faults(
    schedule: &schedule::FaultSchedule,
    settings: &RunSettings,
    site: &mut site::RunningSite,
    checker: &mut HistoryChecker,
) -> Result<Vec<StatementViolation>, SoakError> {
    let started = Instant::now();
    let mut next_fault = 0;
    let mut active: Vec<usize> = Vec::new();
    let mut last_check = Instant::now();
    loop {
        let now_ms = started.elapsed().as_millis() as u64;
        let faults = &schedule.faults;
        let is_over = |index: &usize| faults[*index].at_ms + faults[*index].lasts_ms <= now_ms;
        for index in active
            .extract_if(.., |index| is_over(index))
            .collect::<Vec<_>>()
        {
            site.end_fault(index).await?;
        }
        while next_fault < faults.len() && faults[next_fault].at_ms <= now_ms {
            let fault = &faults[next_fault];
            if settings.shows_progress {
                eprintln!(
                    "{:>7} ms  {:?} for {} ms",
                    now_ms, fault.kind, fault.lasts_ms
                );
            }
            site.begin_fault(next_fault, fault).await?;
            active.push(next_fault);
            next_fault += 1;
        }
        site.monitor_processes()?;
        let mut violations = Vec::new();
        if last_check.elapsed() >= CHECK_INTERVAL {
            last_check = Instant::now();
            checker.collect_history(site).await?;
            violations = checker.check_history().await;
            // Callers record a statement only when it ends, so the execution of a running
            // statement seems to be unrequested.
            violations
                .retain(|violation| !matches!(violation, StatementViolation::UnaskedRun { .. }));
            if settings.shows_progress {
                let statements = checker.history.statements.len();
                eprintln!("{now_ms:>7} ms  {statements} statements, {violations:?}");
            }
        }
        if !violations.is_empty() || now_ms >= schedule.length_ms {
            for index in active {
                site.end_fault(index).await?;
            }
            return Ok(violations);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Removes faults from a failing schedule as long as it still fails. Returns the
/// smallest failing schedule that was found and the number of trial runs.
///
/// # Errors
/// Fails like [`run_schedule`].
pub async fn shrink_schedule(
    schedule: &schedule::FaultSchedule,
    settings: &RunSettings,
) -> Result<(schedule::FaultSchedule, usize), SoakError> {
    let mut smallest = schedule.clone();
    let mut trials = 0;
    let mut chunk_size = smallest.faults.len().div_ceil(2);
    while chunk_size > 0 && trials < MAX_TRIALS {
        let mut from = 0;
        while from < smallest.faults.len() && trials < MAX_TRIALS {
            let mut trial = smallest.clone();
            let to = (from + chunk_size).min(trial.faults.len());
            trial.faults.drain(from..to);
            trials += 1;
            let settings = RunSettings {
                folder: settings.folder.join(format!("trial-{trials}")),
                ..settings.clone()
            };
            let outcome = run_schedule(&trial, &settings).await?;
            eprintln!(
                "trial {trials}: {} faults, {} violations",
                trial.faults.len(),
                outcome.violations.len()
            );
            if outcome.violations.is_empty() {
                from = to;
            } else {
                smallest = trial;
            }
        }
        chunk_size = if chunk_size == 1 {
            0
        } else {
            chunk_size.div_ceil(2)
        };
    }
    Ok((smallest, trials))
}

//! Playing a schedule against a site, with checks while it runs.

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

/// How often due faults and ended processes are looked for.
const STEP: Duration = Duration::from_millis(20);
/// How often the history is checked while it runs.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long callers may take to end their last statements: more than any time-out.
const CALLERS_END: Duration = Duration::from_secs(15);
/// How many trials a schedule is shrunk by at most.
const MOST_TRIALS: usize = 24;

/// How a schedule is played.
#[derive(Debug, Clone)]
pub struct PlaySettings {
    /// The programs.
    pub programs: site::SitePrograms,
    /// Where logs, history and report go.
    pub folder: PathBuf,
    /// How many callers there are.
    pub callers: usize,
    /// Whether progress goes to standard error.
    pub shows_progress: bool,
}

/// Collects the history of a run and checks it.
#[derive(Debug)]
struct HistoryCheck {
    history: statement::StatementHistory,
    recorder: Arc<recorder::HistoryRecorder>,
}

impl HistoryCheck {
    /// Takes what was seen since the last time. What callers saw comes first, so
    /// that the runs of all ended statements are there.
    async fn collect(&mut self, site: &mut site::RunningSite) -> Result<(), SoakError> {
        let mut statements = self.recorder.take();
        for statement in &mut statements {
            if let Some(place) = site::place_of(&statement.vm) {
                statement.vm = site.vm_at(place, statement.sent_us);
            }
        }
        self.history.statements.append(&mut statements);
        let seen = site.take_history().await?;
        let seen: statement::StatementHistory = serde_json::from_value(seen)?;
        self.history.runs.extend(seen.runs);
        self.history.commits.extend(seen.commits);
        self.history.promotions.extend(seen.promotions);
        self.history.duty_calls.extend(seen.duty_calls);
        let done = &site.done;
        self.history.configurations.clone_from(&done.configurations);
        self.history.faults.clone_from(&done.faults);
        self.history.signals.clone_from(&done.signals);
        self.history.starts.clone_from(&done.starts);
        self.history.leaving.clone_from(&done.leaving);
        Ok(())
    }

    async fn check(&self) -> Vec<StatementViolation> {
        let history = self.history.clone();
        let checking = tokio::task::spawn_blocking(move || {
            statement::check_statements(&history, &statement::HistoryBounds::default())
        });
        checking.await.expect("the checks do not panic")
    }
}

/// Plays a schedule; the folder holds what is left of it afterwards.
///
/// # Errors
/// Fails when the site cannot be started or a stand-in is lost.
pub async fn play(
    schedule: &schedule::FaultSchedule,
    settings: &PlaySettings,
) -> Result<report::PlayOutcome, SoakError> {
    let folder = &settings.folder;
    let mut site =
        site::RunningSite::start(settings.programs.clone(), schedule.size, folder).await?;
    let recorder = Arc::new(recorder::HistoryRecorder::default());
    let (stop, stopped) = watch::channel(false);
    let plan = callers::CallerPlan {
        addresses: site.caller_addresses(),
        routes: callers::ROUTES.to_vec(),
        steady_key: site::STEADY_KEY.to_owned(),
        spare_key: site::spare_key,
        seed: schedule.seed,
        count: settings.callers,
    };
    let start_us = recorder::now_us();
    let calling = tokio::spawn(callers::run_callers(plan, Arc::clone(&recorder), stopped));
    let mut check = HistoryCheck {
        history: statement::StatementHistory::default(),
        recorder,
    };
    let early = run_faults(schedule, settings, &mut site, &mut check).await?;
    stop.send_replace(true);
    if tokio::time::timeout(CALLERS_END, calling).await.is_err() {
        log::warn!("callers do not end in time");
    }
    // Answers that nobody waits for any more are still written by databases.
    tokio::time::sleep(CHECK_INTERVAL / 4).await;
    check.collect(&mut site).await?;
    let violations = check.check().await;
    let name = |violation: &StatementViolation| format!("{violation:?}");
    let mut names: Vec<String> = violations.iter().map(name).collect();
    let retracted = early.iter().map(name).filter(|name| !names.contains(name));
    let retracted = retracted.collect();
    names.append(&mut site.ended);
    site.close().await;
    let history = &check.history;
    let outcome = report::PlayOutcome {
        schedule: schedule.clone(),
        statements: history.statements.len(),
        runs: history.runs.len(),
        commits: history.commits.len(),
        promotions: history.promotions.len(),
        seconds: report::count_seconds(&history.statements, start_us),
        violations: names,
        retracted,
    };
    report::write(folder, &outcome, history)?;
    Ok(outcome)
}

/// Injects the faults and checks meanwhile; returns early when a check fails.
async fn run_faults(
    schedule: &schedule::FaultSchedule,
    settings: &PlaySettings,
    site: &mut site::RunningSite,
    check: &mut HistoryCheck,
) -> Result<Vec<StatementViolation>, SoakError> {
    let started = Instant::now();
    let mut begun = 0;
    let mut running: Vec<usize> = Vec::new();
    let mut checked = Instant::now();
    loop {
        let now_ms = started.elapsed().as_millis() as u64;
        let faults = &schedule.faults;
        let is_over = |index: &usize| faults[*index].at_ms + faults[*index].lasts_ms <= now_ms;
        for index in running
            .extract_if(.., |index| is_over(index))
            .collect::<Vec<_>>()
        {
            site.end(index).await?;
        }
        while begun < faults.len() && faults[begun].at_ms <= now_ms {
            let fault = &faults[begun];
            if settings.shows_progress {
                eprintln!(
                    "{:>7} ms  {:?} for {} ms",
                    now_ms, fault.kind, fault.lasts_ms
                );
            }
            site.begin(begun, fault).await?;
            running.push(begun);
            begun += 1;
        }
        site.look_after_processes()?;
        let mut violations = Vec::new();
        if checked.elapsed() >= CHECK_INTERVAL {
            checked = Instant::now();
            check.collect(site).await?;
            violations = check.check().await;
            // The callers of statements that still run have not recorded them.
            violations.retain(|one| !matches!(one, StatementViolation::UnaskedRun { .. }));
            if settings.shows_progress {
                let statements = check.history.statements.len();
                eprintln!("{now_ms:>7} ms  {statements} statements, {violations:?}");
            }
        }
        if !violations.is_empty() || now_ms >= schedule.length_ms {
            for index in running {
                site.end(index).await?;
            }
            return Ok(violations);
        }
        tokio::time::sleep(STEP).await;
    }
}

/// Drops faults from a failing schedule as long as it still fails; returns the
/// smallest that was found and the trials it took.
///
/// # Errors
/// Fails like [`play`].
pub async fn shrink(
    schedule: &schedule::FaultSchedule,
    settings: &PlaySettings,
) -> Result<(schedule::FaultSchedule, usize), SoakError> {
    let mut smallest = schedule.clone();
    let mut trials = 0;
    let mut size = smallest.faults.len().div_ceil(2);
    while size > 0 && trials < MOST_TRIALS {
        let mut from = 0;
        while from < smallest.faults.len() && trials < MOST_TRIALS {
            let mut trial = smallest.clone();
            let until = (from + size).min(trial.faults.len());
            trial.faults.drain(from..until);
            trials += 1;
            let settings = PlaySettings {
                folder: settings.folder.join(format!("trial-{trials}")),
                ..settings.clone()
            };
            let outcome = play(&trial, &settings).await?;
            eprintln!(
                "trial {trials}: {} faults, {} violations",
                trial.faults.len(),
                outcome.violations.len()
            );
            if outcome.violations.is_empty() {
                from = until;
            } else {
                smallest = trial;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    Ok((smallest, trials))
}

//! The files that a run writes: its outcome as JSON and as a Markdown page, its
//! schedule and its history.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use bluebellferry_history::statement;
use bluebellferry_history::statement::StatementOutcome;
use serde::Serialize;

use crate::SoakError;
use crate::schedule;

/// The outcomes of the statements that ended within one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct SecondOutcomes {
    /// Statements that succeeded.
    pub served: u32,
    /// Statements that were refused.
    pub refused: u32,
    /// Statements that may have taken effect, and those whose connection was lost.
    pub failed: u32,
}

/// The outcome of a run.
#[derive(Debug, Clone, Serialize)]
pub struct SoakOutcome {
    /// The schedule of the run.
    pub schedule: schedule::FaultSchedule,
    /// The number of statements that were answered or that their callers gave up.
    pub statements: usize,
    /// The number of statement executions by databases.
    pub runs: usize,
    /// The number of commits by databases.
    pub commits: usize,
    /// The number of promotions that took effect.
    pub promotions: usize,
    /// The outcomes of statements by the second in which the statements ended.
    pub seconds: Vec<SecondOutcomes>,
    /// The guarantees that the final check found violated, and VMs that exited
    /// unexpectedly or did not stop in time.
    pub violations: Vec<String>,
    /// Violations that a check during the run reported but the final check did not.
    pub retracted: Vec<String>,
}

impl SoakOutcome {
    /// Returns the number of scheduled faults of each kind.
    pub fn fault_counts(&self) -> BTreeMap<&'static str, usize> {
        let mut fault_counts = BTreeMap::new();
        for fault in &self.schedule.faults {
            *fault_counts.entry(fault.kind.name()).or_default() += 1;
        }
        fault_counts
    }
}

/// Counts the outcomes of statements in each second after `start_us`.
pub fn count_outcomes_per_second(
    statements: &[statement::CallerStatement],
    start_us: u64,
) -> Vec<SecondOutcomes> {
    let mut seconds: Vec<SecondOutcomes> = Vec::new();
    for statement in statements {
        let second = (statement.ended_us.saturating_sub(start_us) / 1_000_000) as usize;
        if second >= seconds.len() {
            seconds.resize(second + 1, SecondOutcomes::default());
        }
        let count = &mut seconds[second];
        match statement.outcome {
            StatementOutcome::Answered { .. } => count.served += 1,
            StatementOutcome::NothingKept
            | StatementOutcome::UnknownRoute
            | StatementOutcome::KeyRefused => count.refused += 1,
            StatementOutcome::InDoubt | StatementOutcome::Broken => count.failed += 1,
        }
    }
    seconds
}

/// Writes the outcome, the schedule and the history into a folder.
///
/// # Errors
/// Fails when a file cannot be written.
pub fn write(
    folder: &Path,
    outcome: &SoakOutcome,
    history: &statement::StatementHistory,
) -> Result<(), SoakError> {
    let schedule = serde_json::to_string_pretty(&outcome.schedule)?;
    std::fs::write(folder.join("schedule.json"), schedule)?;
    std::fs::write(
        folder.join("report.json"),
        serde_json::to_string_pretty(outcome)?,
    )?;
    std::fs::write(folder.join("report.md"), render(outcome))?;
    std::fs::write(folder.join("history.json"), serde_json::to_string(history)?)?;
    Ok(())
}

/// Returns the Markdown page: the violations, and a table of statement outcomes and
/// active faults by second.
pub fn render(outcome: &SoakOutcome) -> String {
    let schedule = &outcome.schedule;
    let mut page = format!(
        "# Seed {}\n\n{} VMs, {} databases, {} s, {} faults; {} statements, {} runs, {} commits, \
         {} promotions.\n\n",
        schedule.seed,
        schedule.size.vms,
        schedule.size.databases,
        schedule.length_ms / 1_000,
        schedule.faults.len(),
        outcome.statements,
        outcome.runs,
        outcome.commits,
        outcome.promotions,
    );
    for violation in &outcome.violations {
        writeln!(page, "- **violated**: {violation}").expect("writing to a string succeeds");
    }
    for violation in &outcome.retracted {
        writeln!(page, "- reported during the run only: {violation}")
            .expect("writing to a string succeeds");
    }
    page.push_str("\n| second | served | refused | failed | faults |\n|---|---|---|---|---|\n");
    for (second, count) in outcome.seconds.iter().enumerate() {
        let second_start_ms = second as u64 * 1_000;
        let active_faults = schedule.faults.iter().filter(|fault| {
            fault.at_ms < second_start_ms + 1_000 && fault.at_ms + fault.lasts_ms >= second_start_ms
        });
        let faults: Vec<String> = active_faults
            .map(|fault| {
                let mark = if fault.at_ms >= second_start_ms {
                    "+"
                } else {
                    ""
                };
                format!("{mark}{:?}", fault.kind)
            })
            .collect();
        let SecondOutcomes {
            served,
            refused,
            failed,
        } = count;
        let faults = faults.join("; ");
        writeln!(
            page,
            "| {second} | {served} | {refused} | {failed} | {faults} |"
        )
        .expect("writing to a string succeeds");
    }
    page
}

//! What is left of a played seed: a JSON file and a page to read.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use bluebellferry_history::statement;
use bluebellferry_history::statement::StatementOutcome;
use serde::Serialize;

use crate::SoakError;
use crate::schedule;

/// What callers saw in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct SecondCount {
    /// Statements that succeeded.
    pub served: u32,
    /// Statements that were refused.
    pub refused: u32,
    /// Statements in doubt, and those whose connection ended.
    pub failed: u32,
}

/// What came out of a played schedule.
#[derive(Debug, Clone, Serialize)]
pub struct RunOutcome {
    /// What was played.
    pub schedule: schedule::FaultSchedule,
    /// How many statements callers ended.
    pub statements: usize,
    /// How many statements databases ran.
    pub runs: usize,
    /// How many commits they made.
    pub commits: usize,
    /// How many databases took the lead.
    pub promotions: usize,
    /// What callers saw, by the second in which a statement ended.
    pub seconds: Vec<SecondCount>,
    /// The promises that were broken.
    pub violations: Vec<String>,
    /// Violations that a check during the run named, and the last one did not.
    pub retracted: Vec<String>,
}

impl RunOutcome {
    /// Returns how many faults of each kind were scheduled.
    pub fn kinds(&self) -> BTreeMap<&'static str, usize> {
        let mut kinds = BTreeMap::new();
        for fault in &self.schedule.faults {
            *kinds.entry(fault.kind.name()).or_default() += 1;
        }
        kinds
    }
}

/// Counts what callers saw in each second after `start_us`.
pub fn count_seconds(statements: &[statement::CallerStatement], start_us: u64) -> Vec<SecondCount> {
    let mut seconds: Vec<SecondCount> = Vec::new();
    for statement in statements {
        let second = (statement.ended_us.saturating_sub(start_us) / 1_000_000) as usize;
        if second >= seconds.len() {
            seconds.resize(second + 1, SecondCount::default());
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
/// Fails when the files cannot be written.
pub fn write(
    folder: &Path,
    outcome: &RunOutcome,
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

/// Returns the page: the violations, and what callers saw beside the faults.
pub fn render(outcome: &RunOutcome) -> String {
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
        writeln!(page, "- **violated**: {violation}").expect("a string takes all text");
    }
    for violation in &outcome.retracted {
        writeln!(page, "- named during the run only: {violation}")
            .expect("a string takes all text");
    }
    page.push_str("\n| second | served | refused | failed | faults |\n|---|---|---|---|---|\n");
    for (second, count) in outcome.seconds.iter().enumerate() {
        let from_ms = second as u64 * 1_000;
        let in_force = schedule.faults.iter().filter(|fault| {
            fault.at_ms < from_ms + 1_000 && fault.at_ms + fault.lasts_ms >= from_ms
        });
        let faults: Vec<String> = in_force
            .map(|fault| {
                let mark = if fault.at_ms >= from_ms { "+" } else { "" };
                format!("{mark}{:?}", fault.kind)
            })
            .collect();
        let SecondCount {
            served,
            refused,
            failed,
        } = count;
        let faults = faults.join("; ");
        writeln!(
            page,
            "| {second} | {served} | {refused} | {failed} | {faults} |"
        )
        .expect("a string takes all text");
    }
    page
}

//! The subcommand that reviews a configuration for the users' platform.

use std::path::Path;

use bluebellferry_catalog::configuration;
use bluebellferry_catalog::review;
use bluebellferry_platform::configuration as platform;

use crate::command;

/// Reviews a configuration file, and compares it with the one in force if that is given.
///
/// # Errors
/// Returns an error if a file cannot be read or is no configuration.
pub fn review_file(
    file: &Path,
    in_force: Option<&Path>,
) -> Result<Vec<review::ReviewFinding>, command::CtlError> {
    let (next, mut findings) = read_configuration(file)?;
    findings.extend(review::review(&next));
    if let Some(in_force) = in_force {
        let (in_force, _) = read_configuration(in_force)?;
        findings.extend(review::compare(&in_force, &next));
    }
    findings.sort();
    Ok(findings)
}

/// Returns whether a configuration with these findings should not be sent.
pub fn has_errors(findings: &[review::ReviewFinding]) -> bool {
    let mut findings = findings.iter();
    findings.any(|finding| finding.kind == review::FindingKind::Error)
}

/// Returns the findings as text, one a line, or as JSON.
///
/// # Errors
/// Never fails for text.
pub fn render(findings: &[review::ReviewFinding], as_json: bool) -> serde_json::Result<String> {
    if as_json {
        return serde_json::to_string_pretty(findings);
    }
    if findings.is_empty() {
        return Ok("nothing found".to_owned());
    }
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    Ok(lines.join("\n"))
}

type ReadConfiguration = (configuration::Configuration, Vec<review::ReviewFinding>);

fn read_configuration(file: &Path) -> Result<ReadConfiguration, command::CtlError> {
    let name = file.display().to_string();
    let text =
        std::fs::read_to_string(file).map_err(|source| command::CtlError::UnreadableFile {
            file: name.clone(),
            source,
        })?;
    let invalid = |error: String| command::CtlError::PreconditionFailed(format!("{name}: {error}"));
    // The error of the parser names line and column.
    let value = serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))?;
    platform::decode_with_problems(&value).map_err(|error| invalid(error.to_string()))
}

//! Reports of a run: JSON and SVG files, and a summary on standard output.

use std::path::Path;

use plotters::prelude::*;

use crate::BenchError;
use crate::outcome;

/// The width and height of the chart in pixels.
const CHART_SIZE: (u32, u32) = (900, 360);

/// Writes `<scenario>.json` and `<scenario>.svg` into a folder.
///
/// # Errors
/// Fails when a file cannot be written.
pub fn write_report(folder: &Path, result: &outcome::RunResult) -> Result<(), BenchError> {
    std::fs::create_dir_all(folder)?;
    let json = folder.join(format!("{}.json", result.scenario));
    std::fs::write(&json, format!("{:#}\n", serde_json::to_value(result)?))?;
    let chart_file = folder.join(format!("{}.svg", result.scenario));
    draw_write_chart(&chart_file, result)?;
    Ok(())
}

/// Draws the number of acknowledged writes over time.
fn draw_write_chart(file: &Path, result: &outcome::RunResult) -> Result<(), BenchError> {
    let area = SVGBackend::new(file, CHART_SIZE).into_drawing_area();
    let chart_error = |error: &dyn std::fmt::Display| -> BenchError { error.to_string().into() };
    area.fill(&WHITE).map_err(|error| chart_error(&error))?;
    let max_writes = result.writes_per_tenth.iter().copied().max().unwrap_or(1);
    let title = format!("{}: acknowledged writes in each 100 ms", result.scenario);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..result.seconds, 0..max_writes + 1)
        .map_err(|error| chart_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("writes")
        .draw()
        .map_err(|error| chart_error(&error))?;
    let points = result.writes_per_tenth.iter().enumerate();
    let points = points.map(|(index, count)| (index as f64 / 10.0, *count));
    chart
        .draw_series(LineSeries::new(points, &BLUE))
        .map_err(|error| chart_error(&error))?;
    area.present().map_err(|error| chart_error(&error))
}

/// Prints a summary of a result to standard output.
pub fn print_result(result: &outcome::RunResult) {
    println!(
        "{} (seed {}, {} s)",
        result.scenario, result.seed, result.seconds
    );
    println!(
        "  reads served by replicas   {:.2} %",
        result.replica_read_share * 100.0
    );
    println!("  longest gap in writes      {} ms", result.write_gap_ms);
    println!(
        "  acknowledged writes        {}, lost {}, stale own reads {}, foreign results {}",
        result.acknowledged, result.lost, result.stale_reads, result.foreign_results
    );
    for workspace in &result.workspaces {
        println!(
            "  {:<14} answered {:>6}  read p50/p99 {}/{} us  write p50/p99 {}/{} us  wrongful {}  refused {:?}  unreachable {}",
            workspace.workspace,
            workspace.answered,
            workspace.read_p50_us,
            workspace.read_p99_us,
            workspace.write_p50_us,
            workspace.write_p99_us,
            workspace.wrongful_refusals,
            workspace.refusals,
            workspace.unreachable,
        );
    }
}

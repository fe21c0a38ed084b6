//! Every day that the fault matrix names exists and plays what the matrix says.

use std::collections::BTreeMap;
use std::path::Path;

/// One entry of a day: what happens, and in which variants.
#[derive(Debug)]
struct DayEntry {
    kind: String,
    variants: Vec<String>,
}

/// Returns the text between quotes after a field's name.
fn quoted<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!("{field} = \""))?;
    rest.split('"').next()
}

/// Reads the entries of a day, one a line.
fn read_entries(text: &str) -> Vec<DayEntry> {
    let mut entries = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some(kind) = quoted(line, "kind") else {
            continue;
        };
        let how = quoted(line, "how").unwrap_or_default();
        let mut variants: Vec<String> = how.split(' ').map(str::to_owned).collect();
        if line.contains("on = \"core\"") {
            variants.push("core".to_owned());
        }
        if line.contains("count = ") {
            variants.push("count".to_owned());
        }
        if how.is_empty() {
            variants.push("plain".to_owned());
        }
        let is_closing = line.starts_with("closing");
        if is_closing {
            variants.push(kind.to_owned());
        }
        entries.push(DayEntry {
            kind: if is_closing { "closing" } else { kind }.to_owned(),
            variants,
        });
    }
    entries
}

fn read_days() -> std::io::Result<BTreeMap<String, Vec<DayEntry>>> {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let mut days = BTreeMap::new();
    for (folder, prefix) in [("days", ""), ("grown-days", "grown-days/")] {
        for file in std::fs::read_dir(deploy.join(folder))? {
            let path = file?.path();
            let stem = path.file_stem().unwrap_or_default().to_string_lossy();
            let entries = read_entries(&std::fs::read_to_string(&path)?);
            days.insert(format!("{prefix}{stem}"), entries);
        }
    }
    Ok(days)
}

/// Returns the rows of the tables below a heading of the matrix, cell by cell.
fn read_rows(heading: &str) -> std::io::Result<Vec<Vec<String>>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let matrix = std::fs::read_to_string(root.join("docs/FAULT-MATRIX.md"))?;
    let section = matrix.split(&format!("\n{heading}\n")).nth(1);
    let lines = section.unwrap_or_default().lines();
    let lines = lines.take_while(|line| !line.starts_with('#'));
    let rows = lines.filter(|line| line.starts_with("| "));
    let cells = |row: &str| {
        let cells = row.trim_matches('|').split(" | ");
        cells.map(|cell| cell.trim().to_owned()).collect()
    };
    Ok(rows.skip(1).map(cells).collect())
}

#[test]
fn every_kind_and_variant_is_played_by_the_day_that_the_matrix_names() -> std::io::Result<()> {
    let days = read_days()?;
    let rows = read_rows("### Days by kind and variant")?;
    assert!(rows.len() > 30, "only {} kinds are named", rows.len());
    for row in rows {
        let kind = &row[0];
        for named in row[1].split("; ") {
            let Some((day, variants)) = named.split_once(" (") else {
                panic!("no variants in '{named}'");
            };
            let Some(entries) = days.get(day) else {
                panic!("there is no day '{day}'");
            };
            for variant in variants.trim_end_matches(')').split(", ") {
                let plays = |entry: &DayEntry| {
                    entry.kind == *kind && entry.variants.iter().any(|one| one == variant)
                };
                assert!(
                    entries.iter().any(plays),
                    "'{day}' does not play {kind} {variant}"
                );
            }
        }
    }
    Ok(())
}

#[test]
fn every_day_that_the_matrix_names_exists() -> std::io::Result<()> {
    let days = read_days()?;
    let by_rule = read_rows("### Rules by kind")?;
    let by_rule = by_rule.iter().map(|row| row[3].as_str());
    let by_moment = read_rows("### Days by moment")?;
    let by_moment = by_moment.iter().flat_map(|row| &row[1..]);
    let cells = by_rule.chain(by_moment.map(String::as_str));
    let named: Vec<&str> = cells.flat_map(|cell| cell.split(", ")).collect();
    assert!(named.len() > 100, "only {} days are named", named.len());
    for name in named {
        let name = name.trim_matches(['(', ')']);
        assert!(
            name == "unproved" || days.contains_key(name),
            "the matrix names '{name}', which does not exist"
        );
    }
    Ok(())
}

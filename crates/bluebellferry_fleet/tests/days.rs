//! Checks the fault schedules ("days") that `docs/FAULT-MATRIX.md` names: each exists
//! in `deploy/days` or `deploy/grown-days` and contains the faults that the matrix
//! lists for it.

use std::collections::BTreeMap;
use std::path::Path;

/// One entry of a day: the kind of event and its variants.
#[derive(Debug)]
struct DayEntry {
    kind: String,
    variants: Vec<String>,
}

/// Returns the quoted value of a field on a line.
fn quoted_value<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let (_, rest) = line.split_once(&format!("{field} = \""))?;
    rest.split('"').next()
}

/// Parses the entries of a day, one per line.
fn parse_entries(text: &str) -> Vec<DayEntry> {
    let mut entries = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some(kind) = quoted_value(line, "kind") else {
            continue;
        };
        let variant_list = quoted_value(line, "how").unwrap_or_default();
        let mut variants: Vec<String> = variant_list.split(' ').map(str::to_owned).collect();
        if line.contains("on = \"core\"") {
            variants.push("core".to_owned());
        }
        if line.contains("count = ") {
            variants.push("count".to_owned());
        }
        if variant_list.is_empty() {
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

/// Reads all days, by name; those of `grown-days` have that prefix.
fn read_days() -> std::io::Result<BTreeMap<String, Vec<DayEntry>>> {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let mut days = BTreeMap::new();
    for (folder, prefix) in [("days", ""), ("grown-days", "grown-days/")] {
        for file in std::fs::read_dir(deploy.join(folder))? {
            let path = file?.path();
            let stem = path.file_stem().unwrap_or_default().to_string_lossy();
            let entries = parse_entries(&std::fs::read_to_string(&path)?);
            days.insert(format!("{prefix}{stem}"), entries);
        }
    }
    Ok(days)
}

/// Returns the cells of the table rows below a heading of the matrix, without
/// the first row, which holds the column names.
fn read_rows(heading: &str) -> std::io::Result<Vec<Vec<String>>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let matrix = std::fs::read_to_string(root.join("docs/FAULT-MATRIX.md"))?;
    let section = matrix.split(&format!("\n{heading}\n")).nth(1);
    let lines = section.unwrap_or_default().lines();
    let lines = lines.take_while(|line| !line.starts_with('#'));
    let rows = lines.filter(|line| line.starts_with("| "));
    let split_row = |row: &str| {
        let cells = row.trim_matches('|').split(" | ");
        cells.map(|cell| cell.trim().to_owned()).collect()
    };
    Ok(rows.skip(1).map(split_row).collect())
}

#[test]
fn every_day_contains_the_kinds_and_variants_that_the_matrix_lists_for_it() -> std::io::Result<()> {
    let days = read_days()?;
    let rows = read_rows("### Days by kind and variant")?;
    assert!(
        rows.len() > 30,
        "the matrix lists only {} kinds",
        rows.len()
    );
    for row in rows {
        let kind = &row[0];
        for reference in row[1].split("; ") {
            let Some((day, variants)) = reference.split_once(" (") else {
                panic!("no variants in '{reference}'");
            };
            let Some(entries) = days.get(day) else {
                panic!("there is no day '{day}'");
            };
            for variant in variants.trim_end_matches(')').split(", ") {
                let matches = |entry: &DayEntry| {
                    entry.kind == *kind && entry.variants.iter().any(|other| other == variant)
                };
                assert!(
                    entries.iter().any(matches),
                    "day '{day}' has no entry of kind {kind} with variant {variant}"
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
    assert!(
        named.len() > 100,
        "the matrix names only {} days",
        named.len()
    );
    for name in named {
        let name = name.trim_matches(['(', ')']);
        assert!(
            name == "unproved" || days.contains_key(name),
            "the matrix names the day '{name}', which does not exist"
        );
    }
    Ok(())
}

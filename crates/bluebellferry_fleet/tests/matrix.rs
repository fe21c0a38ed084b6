//! Checks that every test named in `docs/FAULT-MATRIX.md` exists.

use std::collections::BTreeSet;
use std::path::Path;

/// Collects the names of all functions in the Rust files below a folder.
fn collect_functions(folder: &Path, names: &mut BTreeSet<String>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_functions(&path, names)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = std::fs::read_to_string(&path)?;
            let functions = text.split("fn ").skip(1);
            names.extend(functions.filter_map(|rest| Some(rest.split('(').next()?.to_owned())));
        }
    }
    Ok(())
}

#[test]
fn every_test_that_the_matrix_names_exists() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut names = BTreeSet::new();
    let mut packages = vec![root.join("platform")];
    for entry in std::fs::read_dir(root.join("crates"))? {
        packages.push(entry?.path());
    }
    for package in packages {
        let tests = package.join("tests");
        if tests.is_dir() {
            collect_functions(&tests, &mut names)?;
        }
    }
    let matrix = std::fs::read_to_string(root.join("docs/FAULT-MATRIX.md"))?;
    let rows = matrix.lines().filter(|line| line.starts_with("| "));
    let named: Vec<&str> = rows
        .flat_map(|row| row.split('`').skip(1).step_by(2))
        .collect();
    assert!(
        named.len() > 30,
        "the matrix names only {} tests",
        named.len()
    );
    for name in named {
        assert!(
            names.contains(name),
            "the matrix names the test '{name}', which does not exist"
        );
    }
    Ok(())
}

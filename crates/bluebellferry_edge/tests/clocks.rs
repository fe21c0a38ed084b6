//! No decision depends on the system clock (the time of day), which may jump.

use std::path::Path;
use std::path::PathBuf;

/// The folders with code that makes decisions, relative to the workspace's root.
const DECISION_FOLDERS: [&str; 12] = [
    "crates/bluebellferry_catalog/src",
    "crates/bluebellferry_edge/src",
    "crates/bluebellferry_fairness/src",
    "crates/bluebellferry_keys/src",
    "crates/bluebellferry_limits/src",
    "crates/bluebellferry_membership/src",
    "crates/bluebellferry_pool/src",
    "crates/bluebellferry_promotion/src",
    "crates/bluebellferry_routing/src",
    "crates/bluebellferry_session/src",
    "crates/bluebellferry_shares/src",
    "platform/src",
];
/// Text that occurs in code that reads the system clock.
const CLOCK_READS: [&str; 4] = ["SystemTime::now", "UNIX_EPOCH", "Realtime", "chrono::"];
/// The only file that may read the system clock, and how often: at its start, a process
/// derives its incarnation from the time of day. That a lower incarnation after the clock was
/// set back is accepted is tested by
/// `a_vm_that_restarted_with_its_clock_set_back_is_accepted_again`.
const ALLOWED: (&str, usize) = ("crates/bluebellferry_edge/src/server.rs", 3);

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_sources(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

#[test]
fn no_decision_reads_the_system_clock() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    for folder in DECISION_FOLDERS {
        let mut files = Vec::new();
        collect_sources(&root.join(folder), &mut files)?;
        assert!(!files.is_empty(), "{folder}");
        for file in files {
            let text = std::fs::read_to_string(&file)?;
            let count: usize = CLOCK_READS
                .iter()
                .map(|word| text.matches(word).count())
                .sum();
            if count > 0 {
                let name = file.strip_prefix(&root).unwrap_or(&file);
                found.push((name.display().to_string(), count));
            }
        }
    }
    let (file, count) = ALLOWED;
    assert_eq!(found, [(file.to_owned(), count)]);
    Ok(())
}

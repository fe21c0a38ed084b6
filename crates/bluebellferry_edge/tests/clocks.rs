//! No decision reads the time of day, which may jump.

use std::path::Path;
use std::path::PathBuf;

/// What holds the decisions of a VM, from the workspace's root.
const DECIDING: [&str; 12] = [
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
/// What reads the time of day.
const READERS: [&str; 4] = ["SystemTime::now", "UNIX_EPOCH", "Realtime", "chrono::"];
/// A start draws its incarnation from it; `a_vm_that_started_anew_with_its_clock_set_back_
/// is_heard_again` shows that its order is not relied on.
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
fn no_decision_reads_the_time_of_day() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    for folder in DECIDING {
        let mut files = Vec::new();
        collect_sources(&root.join(folder), &mut files)?;
        assert!(!files.is_empty(), "{folder}");
        for file in files {
            let text = std::fs::read_to_string(&file)?;
            let count: usize = READERS.iter().map(|word| text.matches(word).count()).sum();
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

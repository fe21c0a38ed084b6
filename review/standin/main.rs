//! Stand-ins for the review: the platform's store, a group of databases and consumers, in one
//! process that starts the project's program as separate processes. Only the standard library.
//!
//! Usage: `review-standin SCENARIO RECORD`, from the root of the repository. The variable
//! `TROUBLE` set to 0 leaves the disruption out. Exits with 0 if the rule held, 1 if it was
//! broken, and 2 if the case could not run.

mod cluster;
mod consumer;
mod database;
mod json;
mod partition;
mod record;
mod scenario;
mod store;
mod vms;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match name.as_str() {
        "unreadable-entry" => scenario::unreadable_entry(&record, trouble),
        "commit-after-error" => scenario::commit_after_error(&record, trouble),
        "stale-writer" => scenario::stale_writer(&record, trouble),
        "older-store" => scenario::older_store(&record, trouble),
        other => Err(format!("no scenario {other}")),
    };
    match result {
        Ok(true) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("result: could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

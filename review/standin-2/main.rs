//! Stand-ins for the second review: the platform's store and duty API, a service of three
//! databases, and consumers. They run as threads of one process, which starts the project's
//! program as separate processes, plays one case and judges it.
//!
//! Usage: standin-2 CASE RECORD_FILE, with TROUBLE=0 for a run without the disruption.
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod consumer;
mod database;
mod json;
mod platform;
mod proxies;
mod record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(file)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin-2 CASE RECORD_FILE");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(file) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {file}: {error}");
            std::process::exit(2);
        }
    };
    let verdict = match cases::play(case, is_troubled, &record) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            record.note(&format!("the case could not run: {error}"));
            2
        }
    };
    record.note(&format!("exit status {verdict}"));
    println!("{case}: exit status {verdict}");
    std::process::exit(verdict);
}

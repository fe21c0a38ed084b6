//! Running of the stand-in store, a stand-in database or the proxy by the
//! executable of the bench or the playground, so that these need no other
//! executables.

use std::path::Path;
use std::process::ExitCode;

use bluebellferry_runtime::logging;

/// The first argument of an executable that is started to run another program;
/// the program's name and its settings file follow.
pub const ROLE_FLAG: &str = "--play-role";

/// Runs the program that the command line names after [`ROLE_FLAG`].
///
/// Returns `None` if the command line doesn't start with that flag and two more
/// arguments. An executable calls this first in `main` and exits with the
/// returned code.
pub fn run_role() -> Option<ExitCode> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next()? != ROLE_FLAG {
        return None;
    }
    let (role, settings) = (arguments.next()?, arguments.next()?);
    let file = Path::new(&settings);
    let level = log::LevelFilter::Info;
    let result = match role.as_str() {
        "standin-store" => {
            logging::start_logging("standin-store", level);
            bluebellferry_standin_store::server::run_store(file)
        }
        "standin-database" => {
            logging::start_logging("standin-database", level);
            bluebellferry_standin_database::server::run_database(file)
        }
        "bluebellferry-proxy" => {
            logging::start_logging("bluebellferry-proxy", level);
            bluebellferry_proxy::server::run_from_settings_file(file)
        }
        other => Err(format!("unknown program '{other}' after {ROLE_FLAG}").into()),
    };
    match result {
        Ok(()) => Some(ExitCode::SUCCESS),
        Err(error) => {
            log::error!("{error}");
            Some(ExitCode::FAILURE)
        }
    }
}

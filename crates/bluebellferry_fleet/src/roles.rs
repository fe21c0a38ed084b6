//! One program in several roles, so that the bench and the playground need no
//! other binaries beside their own.

use std::path::Path;
use std::process::ExitCode;

use bluebellferry_runtime::logging;

/// The first argument of a program that is to play a role.
pub const ROLE_FLAG: &str = "--play-role";

/// Plays the role that the program's arguments name, if they name one.
///
/// A program calls this before anything else and ends with the returned code.
pub fn run_role() -> Option<ExitCode> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next()? != ROLE_FLAG {
        return None;
    }
    let (role, settings) = (arguments.next()?, arguments.next()?);
    let file = Path::new(&settings);
    let level = log::LevelFilter::Info;
    let ended = match role.as_str() {
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
            bluebellferry_proxy::server::run_file(file)
        }
        other => Err(format!("'{other}' is not a role").into()),
    };
    match ended {
        Ok(()) => Some(ExitCode::SUCCESS),
        Err(error) => {
            log::error!("{error}");
            Some(ExitCode::FAILURE)
        }
    }
}

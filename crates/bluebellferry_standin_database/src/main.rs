//! The command-line program that runs the stand-in for one database.

use std::process::ExitCode;

use bluebellferry_runtime::logging;
use bluebellferry_standin_database::server;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a small stand-in for one database of a replicated group.
        cmd standin-database {
            /// The JSON settings file.
            required settings: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::StandinDatabase::from_env_or_exit();
    logging::start_logging("standin-database", log::LevelFilter::Info);
    match server::run_database(&flags.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

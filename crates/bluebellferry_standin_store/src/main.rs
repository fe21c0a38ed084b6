//! The command-line program that runs the stand-in for the platform's object store.

use std::process::ExitCode;

use bluebellferry_runtime::logging;
use bluebellferry_standin_store::server;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a small stand-in for the platform's object store.
        cmd standin-store {
            /// The JSON settings file.
            required settings: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::StandinStore::from_env_or_exit();
    logging::start_logging("standin-store", log::LevelFilter::Info);
    match server::run_store(&flags.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

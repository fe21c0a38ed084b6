//! The command that runs the proxy on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use bluebellferry_edge::server;
use bluebellferry_edge::settings;
use bluebellferry_runtime::logging;

/// The variable that names the settings file where no argument does.
const SETTINGS_VARIABLE: &str = "BLUEBELLFERRY_BOOT";

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs bluebellferry on the users' platform.
        cmd bluebellferry-edge {
            /// The JSON settings file; the variable BLUEBELLFERRY_BOOT names it otherwise.
            optional --settings file: PathBuf
            /// Checks the settings and ends.
            optional --check
            /// Logs more, for looking into faults.
            optional -v, --verbose
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::BluebellferryEdge::from_env_or_exit();
    let level = if flags.verbose {
        log::LevelFilter::Debug
    } else {
        log::LevelFilter::Info
    };
    logging::start_bounded_logging("bluebellferry-edge", level);
    let from_variable = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(file) = flags.settings.or_else(from_variable) else {
        log::error!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
        return ExitCode::FAILURE;
    };
    let run = || -> Result<(), Box<dyn std::error::Error>> {
        let settings = settings::load(&file)?;
        if flags.check {
            return Ok(());
        }
        Ok(server::run(settings, file)?)
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            logging::flush_bounded_logging();
            ExitCode::FAILURE
        }
    }
}

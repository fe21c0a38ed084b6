//! The command that runs the proxy on the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use bluebellferry_edge::server;
use bluebellferry_edge::settings;
use bluebellferry_runtime::logging;

/// The environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "BLUEBELLFERRY_BOOT";

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs bluebellferry on the users' platform.
        cmd bluebellferry-edge {
            /// The JSON settings file; by default the value of BLUEBELLFERRY_BOOT.
            optional --settings file: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Logs at debug level.
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

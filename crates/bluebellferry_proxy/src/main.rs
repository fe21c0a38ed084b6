//! The `bluebellferry-proxy` command.

use std::path::Path;
use std::process::ExitCode;

use bluebellferry_proxy::server;
use bluebellferry_runtime::logging;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs the bluebellferry proxy.
        cmd bluebellferry-proxy {
            /// The path of the JSON settings file.
            required settings: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Logs at debug level instead of info level.
            optional -v, --verbose
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::BluebellferryProxy::from_env_or_exit();
    let level = if flags.verbose {
        log::LevelFilter::Debug
    } else {
        log::LevelFilter::Info
    };
    logging::start_logging("bluebellferry-proxy", level);
    match run(&flags.settings, flags.check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(file: &Path, check: bool) -> Result<(), Box<dyn std::error::Error>> {
    if check {
        server::load_settings(file)?;
        return Ok(());
    }
    server::run_from_settings_file(file)
}

//! The command-line tool that runs the demonstration.

use std::process::ExitCode;

use bluebellferry_fleet::roles;
use bluebellferry_playground::tour;
use bluebellferry_runtime::logging;
use bluebellferry_runtime::shutdown;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "xflags writes these items")]

    xflags::xflags! {
        /// Demonstrates bluebellferry on this machine: a booking, a read of it
        /// through another proxy, and a failover after the primary is killed.
        cmd bluebellferry-playground {
            /// Keeps the environment running afterwards, for use with psql.
            optional --stay
        }
    }
}

fn main() -> ExitCode {
    if let Some(code) = roles::run_role() {
        return code;
    }
    let flags = flags::BluebellferryPlayground::from_env_or_exit();
    logging::start_logging("bluebellferry-playground", log::LevelFilter::Warn);
    match run(flags.stay) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("The tour stopped: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(stay: bool) -> Result<(), tour::TourError> {
    let mut fleet = tour::start_environment().await?;
    tour::run_tour(&mut fleet).await?;
    if stay {
        tour::print_next_steps(&fleet);
        println!("\nPress Ctrl-C to stop the environment.");
        shutdown::wait_for_shutdown_signal().await?;
    }
    Ok(())
}

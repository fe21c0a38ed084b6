//! The command that runs the stand-in of one database.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use bluebellferry_runtime::health;
use bluebellferry_runtime::logging;
use bluebellferry_runtime::settings as settings_file;
use bluebellferry_runtime::shutdown;
use bluebellferry_standin_database::server;
use bluebellferry_standin_database::settings;

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

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = flags::StandinDatabase::from_env_or_exit();
    logging::start_logging("standin-database", log::LevelFilter::Info);
    match run(&flags.settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let settings: settings::DatabaseSettings =
        settings_file::load_settings::<settings::DatabaseSettingsWire, _>(file)?;
    let server = server::DatabaseServer::create(settings)?;
    server::start_database(&server)?;
    serve_health(&server).await?;
    shutdown::stop_requested().await?;
    server.member.lock().leaving = true;
    let stopping = Arc::clone(&server);
    tokio::task::spawn_blocking(move || server::wait_for_sessions(&stopping)).await?;
    Ok(())
}

async fn serve_health(
    server: &Arc<server::DatabaseServer>,
) -> Result<(), Box<dyn std::error::Error>> {
    let Some(address) = server.settings.health_listen else {
        return Ok(());
    };
    let registry = prometheus::Registry::new();
    registry.register(Box::new(server.statements.clone()))?;
    let router = health::health_router(registry, Arc::new(|| None));
    let listener = tokio::net::TcpListener::bind(address).await?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

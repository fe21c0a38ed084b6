//! The process: listeners, threads, and an orderly stop.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bluebellferry_runtime::settings as settings_file;
use bluebellferry_runtime::shutdown;
use tokio::net::TcpListener;

use crate::admin;
use crate::control;
use crate::session::startup;
use crate::settings;
use crate::shared;

/// How long an orderly stop waits for running transactions.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// How long the VM goes on accepting after it has announced its stop, so that
/// the balancer has time to notice.
const ANNOUNCE_TIME: Duration = Duration::from_millis(200);

/// The reason a proxy cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// A socket or thread could not be had.
    #[error("{what}: {source}")]
    Io {
        /// What was attempted.
        what: &'static str,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// A counter could not be registered.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
    /// The TLS files cannot be used.
    #[error("tls: {0}")]
    Tls(String),
}

fn io_error(what: &'static str) -> impl FnOnce(std::io::Error) -> ServerError {
    move |source| ServerError::Io { what, source }
}

/// Draws this start's incarnation: later starts have higher ones.
fn draw_incarnation() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    time.as_micros() as u64
}

/// Loads a settings file and runs a proxy until it is asked to stop.
///
/// # Errors
/// Fails as [`run_proxy`] does, and when the settings cannot be used.
pub fn run_file(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    run_proxy(load_settings(file)?)?;
    Ok(())
}

/// Loads a settings file.
///
/// # Errors
/// Returns the file and the JSON path of the fault.
pub fn load_settings(file: &Path) -> Result<settings::ProxySettings, settings_file::SettingsError> {
    settings_file::load_settings::<settings::ProxySettingsWire, _>(file)
}

/// Runs a proxy until it is asked to stop.
///
/// # Errors
/// Fails when an address cannot be listened on or the TLS files are unusable.
pub fn run_proxy(settings: settings::ProxySettings) -> Result<(), ServerError> {
    let threads = settings.traffic_threads;
    let shared = shared::ProxyShared::new(settings, draw_incarnation())?;
    let (events, _control) = control::start_control(&shared).map_err(io_error("control"))?;
    let traffic = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(io_error("traffic threads"))?;
    traffic.block_on(serve(&shared, &events))
}

async fn serve(
    shared: &Arc<shared::ProxyShared>,
    events: &control::ControlSender,
) -> Result<(), ServerError> {
    let settings = &shared.settings;
    let tls = load_tls(settings)?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(io_error("listen"))?;
    let admin = TcpListener::bind(settings.admin_listen)
        .await
        .map_err(io_error("admin_listen"))?;
    let router = admin::admin_router(shared, events.clone());
    tokio::spawn(async move { axum::serve(admin, router).await });
    log::info!("the proxy listens on {}", settings.listen);
    let accepting = tokio::spawn(accept_callers(Arc::clone(shared), listener, tls));
    shutdown::wait_for_shutdown_signal()
        .await
        .map_err(io_error("signals"))?;
    drain(shared, events).await;
    accepting.abort();
    Ok(())
}

/// Announces the stop, then waits until the last transaction has ended.
async fn drain(shared: &Arc<shared::ProxyShared>, events: &control::ControlSender) {
    events.send(control::ControlEvent::Drain).ok();
    tokio::time::sleep(ANNOUNCE_TIME).await;
    let step = Duration::from_millis(20);
    let mut waited = Duration::ZERO;
    while shared.caller_count() > 0 && waited < DRAIN_LIMIT {
        tokio::time::sleep(step).await;
        waited += step;
    }
    let left = shared.caller_count();
    log::info!(callers_left = left; "the proxy stops");
}

async fn accept_callers(
    shared: Arc<shared::ProxyShared>,
    listener: TcpListener,
    tls: Option<tokio_rustls::TlsAcceptor>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (shared, tls) = (Arc::clone(&shared), tls.clone());
                let guard = shared.count_caller();
                tokio::spawn(async move {
                    startup::serve_caller(shared, stream, tls).await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!("a caller could not be accepted: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn load_tls(
    settings: &settings::ProxySettings,
) -> Result<Option<tokio_rustls::TlsAcceptor>, ServerError> {
    let Some(files) = &settings.tls else {
        return Ok(None);
    };
    let config = crate::tls::load_config(files).map_err(ServerError::Tls)?;
    Ok(Some(tokio_rustls::TlsAcceptor::from(config)))
}

//! Runs the proxy process: starts its threads and listeners, and drains its callers
//! before exit.

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

/// How long a drain waits for callers to finish their transactions and disconnect.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// The time between reporting the VM as not ready and the first check whether
/// all callers have disconnected. Connections are still accepted meanwhile, because
/// the load balancer needs time to notice the readiness change.
const DRAIN_NOTICE_DELAY: Duration = Duration::from_millis(200);

/// The reason why the proxy could not start or run.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// A socket, thread or signal handler could not be created.
    #[error("{resource}: {source}")]
    Io {
        /// The resource that could not be created; for a socket, the name of the
        /// setting with its address.
        resource: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A metric could not be registered.
    #[error(transparent)]
    Metrics(#[from] prometheus::Error),
    /// The certificate or the private key could not be loaded.
    #[error("tls: {0}")]
    Tls(String),
}

fn io_error(resource: &'static str) -> impl FnOnce(std::io::Error) -> ServerError {
    move |source| ServerError::Io { resource, source }
}

/// Returns the incarnation of this process: microseconds since 1970, so that a
/// later start of the same VM has a higher one.
fn generate_incarnation() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    time.as_micros() as u64
}

/// Loads a settings file and runs the proxy until a stop signal arrives.
///
/// # Errors
/// Fails if the settings are invalid, and as [`run_proxy`] does.
pub fn run_from_settings_file(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    run_proxy(load_settings(file)?)?;
    Ok(())
}

/// Loads and checks a settings file.
///
/// # Errors
/// Returns an error that names the file and the JSON path of the invalid field.
pub fn load_settings(file: &Path) -> Result<settings::ProxySettings, settings_file::SettingsError> {
    settings_file::load_settings::<settings::ProxySettingsWire, _>(file)
}

/// Runs the proxy until a stop signal arrives, then drains its callers.
///
/// # Errors
/// Fails if a thread, a listening socket, a signal handler or a metric cannot be
/// created, or if the TLS files cannot be loaded.
pub fn run_proxy(settings: settings::ProxySettings) -> Result<(), ServerError> {
    let threads = settings.traffic_threads;
    let shared = shared::ProxyShared::new(settings, generate_incarnation())?;
    let (events, _control_thread) =
        control::start_control(&shared).map_err(io_error("control thread"))?;
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
    let admin_listener = TcpListener::bind(settings.admin_listen)
        .await
        .map_err(io_error("admin_listen"))?;
    let router = admin::admin_router(shared, events.clone());
    tokio::spawn(async move { axum::serve(admin_listener, router).await });
    log::info!("listening for callers on {}", settings.listen);
    let accept_task = tokio::spawn(accept_callers(Arc::clone(shared), listener, tls));
    shutdown::wait_for_shutdown_signal()
        .await
        .map_err(io_error("signal handlers"))?;
    drain_callers(shared, events).await;
    accept_task.abort();
    Ok(())
}

/// Reports the VM as not ready, then waits until all callers have disconnected or
/// [`DRAIN_TIMEOUT`] has passed.
async fn drain_callers(shared: &Arc<shared::ProxyShared>, events: &control::ControlSender) {
    events.send(control::ControlEvent::Drain).ok();
    tokio::time::sleep(DRAIN_NOTICE_DELAY).await;
    let poll_interval = Duration::from_millis(20);
    let mut waited = Duration::ZERO;
    while shared.caller_count() > 0 && waited < DRAIN_TIMEOUT {
        tokio::time::sleep(poll_interval).await;
        waited += poll_interval;
    }
    let callers_left = shared.caller_count();
    log::info!(callers_left = callers_left; "drain ended, exiting");
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
                log::warn!("accepting a caller's connection failed: {error}");
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

//! The process: sockets, threads, readiness and graceful shutdown.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::http::StatusCode;
use axum::routing::get;
use bluebellferry_runtime::clock;
use bluebellferry_runtime::health;
use bluebellferry_runtime::logging;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix;

use crate::control;
use crate::settings;
use crate::shared;
use crate::traffic;
use crate::traffic::metrics;

/// The fraction of the grace period after which idle sessions are closed. By then the platform
/// has noticed that this VM is not ready and sends no new callers.
const CLOSE_IDLE_FRACTION: f64 = 0.38;
/// The fraction of the grace period after which sessions with open transactions are closed.
const CLOSE_ALL_FRACTION: f64 = 0.55;
/// The fraction of the grace period after which the process exits.
const EXIT_FRACTION: f64 = 0.85;

/// How often the drain checks whether all callers have disconnected.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An error that prevents the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket, a signal handler or a thread cannot be created.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// A metric cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs the proxy until SIGTERM. `file` is the settings file, which is read again on SIGHUP
/// and at regular intervals.
///
/// # Errors
/// Returns an error if a socket cannot be opened, a thread cannot be started or a metric cannot
/// be registered.
pub fn run(settings: settings::EdgeSettings, file: PathBuf) -> Result<(), StartError> {
    let incarnation = new_incarnation();
    log::info!(
        vm = settings.vm.as_str(), data_centre = settings.data_centre.as_str(),
        incarnation = incarnation, callers = settings.caller_address.to_string().as_str();
        "starting"
    );
    let registry = prometheus::Registry::new();
    let traffic_metrics = metrics::TrafficMetrics::new(&registry)?;
    let (shared, evidence) = shared::EdgeShared::new(settings, incarnation);
    let control_shared = Arc::clone(&shared);
    let control_thread = std::thread::Builder::new().name("control".to_owned());
    control_thread.spawn(move || {
        if let Err(error) = run_control(control_shared, evidence, registry, file) {
            log::error!(error:% = error; "control thread failed");
        }
    })?;
    run_traffic(shared, traffic_metrics)
}

/// Returns a number that is higher at each later start: the wall-clock time in milliseconds,
/// with random low bits. The wall clock may jump back, in which case the random bits at least
/// tell two starts apart.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.unwrap_or_default().as_millis() as u64;
    (milliseconds << shared::INCARNATION_RANDOM_BITS) | u64::from(rand::random::<u8>())
}

/// Creates a runtime that runs on the current thread.
fn new_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn run_traffic(
    shared: Arc<shared::EdgeShared>,
    metrics: metrics::TrafficMetrics,
) -> Result<(), StartError> {
    let runtime = new_runtime()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let listener = TcpListener::bind(shared.settings.caller_address).await?;
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let context = Rc::new(traffic::TrafficContext::new(shared, metrics));
        tokio::task::spawn_local(traffic::serve(listener, Rc::clone(&context)));
        terminate.recv().await;
        run_shutdown_phases(&context).await;
        Ok(())
    })
}

/// Runs through the shutdown phases. The phases after `NotReady` end early once all callers have
/// disconnected.
async fn run_shutdown_phases(context: &traffic::TrafficContext) {
    let shared = &context.shared;
    let grace = shared.settings.grace;
    log::info!(grace_ms = grace.as_millis() as u64; "SIGTERM received; draining");
    let phases = [
        (shared::DrainPhase::NotReady, CLOSE_IDLE_FRACTION),
        (
            shared::DrainPhase::ClosingIdle,
            CLOSE_ALL_FRACTION - CLOSE_IDLE_FRACTION,
        ),
        (
            shared::DrainPhase::ClosingAll,
            EXIT_FRACTION - CLOSE_ALL_FRACTION,
        ),
    ];
    for (phase, fraction) in phases {
        shared.drain_phase.send_replace(phase);
        let phase_end = clock::now() + grace.mul_f64(fraction);
        while clock::now() < phase_end {
            if phase != shared::DrainPhase::NotReady && context.connected_callers.get() == 0 {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
    log::info!("exiting");
    logging::flush_bounded_logging();
}

fn run_control(
    shared: Arc<shared::EdgeShared>,
    evidence: tokio::sync::mpsc::Receiver<shared::LeaderEvidence>,
    registry: prometheus::Registry,
    file: PathBuf,
) -> Result<(), StartError> {
    let runtime = new_runtime()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let settings = &shared.settings;
        let sockets = control::PeerSockets {
            udp: UdpSocket::bind((settings.address, settings.peer_port)).await?,
            store_copies: TcpListener::bind(settings.store_copies_address).await?,
        };
        let readiness = TcpListener::bind(settings.readiness_address).await?;
        let metrics = TcpListener::bind((settings.address, settings.metrics_port)).await?;
        let configuration_metrics =
            control::metrics::ConfigurationMetrics::new(&registry, &shared)?;
        control::metrics::FleetMetrics::register(&registry, &shared)?;
        tokio::task::spawn_local(serve_http(readiness, readiness_router(&shared)));
        let ready_check = readiness_check(&shared);
        let router = health::health_router(registry, ready_check);
        tokio::task::spawn_local(serve_http(metrics, router));
        tokio::task::spawn_local(watch_settings(file, settings.clone()));
        control::run(
            Arc::clone(&shared),
            evidence,
            sockets,
            configuration_metrics,
        )
        .await;
        Ok(())
    })
}

async fn serve_http(listener: TcpListener, router: axum::Router) {
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "HTTP server failed");
    }
}

fn readiness_check(shared: &Arc<shared::EdgeShared>) -> health::ReadinessCheck {
    let shared = Arc::clone(shared);
    Arc::new(move || not_ready_reason(&shared).map(str::to_owned))
}

fn not_ready_reason(shared: &shared::EdgeShared) -> Option<&'static str> {
    let snapshot = shared.snapshot();
    if *shared.drain_phase.borrow() != shared::DrainPhase::Serving {
        Some("the process is stopping")
    } else if snapshot.configuration.version == 0 {
        Some("no configuration is in force")
    } else if snapshot.awaits_evacuations {
        Some("it is not known which data centres are being evacuated")
    } else if snapshot.databases.is_empty() {
        Some("no database is known")
    } else if snapshot.hands_over_callers(clock::now()) {
        Some("the process is cut off from the other VMs")
    } else if snapshot.allocation.fraction() <= 0.0 {
        Some("no part of the fleet-wide limits is known")
    } else {
        None
    }
}

fn readiness_router(shared: &Arc<shared::EdgeShared>) -> axum::Router {
    let shared = Arc::clone(shared);
    let handler = move || {
        let reason = not_ready_reason(&shared);
        async move {
            match reason {
                None => (StatusCode::OK, "ready"),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
            }
        }
    };
    axum::Router::new().fallback(get(handler))
}

/// How often the settings file is read again, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Logs changes of the settings file. The process can't change its addresses and names while
/// it runs, so a change takes effect at the next start.
async fn watch_settings(file: PathBuf, mut current: settings::EdgeSettings) {
    let mut hangup = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error:% = error; "cannot install the SIGHUP handler");
            return;
        }
    };
    loop {
        let signalled = tokio::time::timeout(SETTINGS_POLL_INTERVAL, hangup.recv()).await;
        let is_signalled = signalled.is_ok();
        match settings::load(&file) {
            Ok(settings) if settings != current => {
                log::info!(signalled = is_signalled; "settings file has changed; the change takes effect at the next start");
                current = settings;
            }
            Ok(_) if is_signalled => log::info!("settings file was read again and has not changed"),
            Ok(_) => {}
            Err(error) => log::warn!(error:% = error; "cannot read the settings file again"),
        }
    }
}

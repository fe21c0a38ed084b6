//! The process: sockets, threads, readiness and the orderly stop.

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

/// The part of the grace time after which idle sessions are ended: by then the
/// platform has noticed that this VM is not ready and sends no new callers.
const CLOSE_IDLE_PART: f64 = 0.38;
/// The part of the grace time after which open transactions are ended.
const END_PART: f64 = 0.55;
/// The part of the grace time after which the process ends.
const EXIT_PART: f64 = 0.85;

/// How often it is looked whether all callers have left.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// The reason the process cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket or thread cannot be had.
    #[error("the process cannot start: {0}")]
    Io(#[from] std::io::Error),
    /// A counter cannot be registered.
    #[error("the counters cannot be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs the proxy until it is asked to stop. `file` is the settings file, read
/// again on SIGHUP.
///
/// # Errors
/// Fails when a socket cannot be opened.
pub fn run(settings: settings::EdgeSettings, file: PathBuf) -> Result<(), StartError> {
    let incarnation = new_incarnation();
    log::info!(
        vm = settings.vm.as_str(), data_centre = settings.data_centre.as_str(),
        incarnation = incarnation, callers = settings.caller_address.to_string().as_str();
        "the process starts"
    );
    let registry = prometheus::Registry::new();
    let traffic_metrics = metrics::TrafficMetrics::new(&registry)?;
    let (shared, evidence) = shared::EdgeShared::new(settings, incarnation);
    let control_shared = Arc::clone(&shared);
    let control_thread = std::thread::Builder::new().name("control".to_owned());
    control_thread.spawn(move || {
        if let Err(error) = run_control(control_shared, evidence, registry, file) {
            log::error!(error:% = error; "the control thread ended");
        }
    })?;
    run_traffic(shared, traffic_metrics)
}

/// Draws a number that is higher at a later start. The time of day may jump, so
/// a random part only keeps two starts apart.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.unwrap_or_default().as_millis() as u64;
    (milliseconds << 8) | u64::from(rand::random::<u8>())
}

/// Returns the runtime of one thread.
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
        drain(&context).await;
        Ok(())
    })
}

/// Takes the process through its phases on the way to its end.
async fn drain(context: &traffic::TrafficContext) {
    let shared = &context.shared;
    let grace = shared.settings.grace;
    log::info!(grace_ms = grace.as_millis() as u64; "the process is asked to stop");
    let phases = [
        (shared::DrainPhase::Leaving, CLOSE_IDLE_PART),
        (shared::DrainPhase::ClosingIdle, END_PART - CLOSE_IDLE_PART),
        (shared::DrainPhase::Ending, EXIT_PART - END_PART),
    ];
    for (phase, part) in phases {
        shared.drain.send_replace(phase);
        let until = clock::now() + grace.mul_f64(part);
        while clock::now() < until {
            if phase != shared::DrainPhase::Leaving && context.callers.get() == 0 {
                break;
            }
            tokio::time::sleep(DRAIN_STEP).await;
        }
    }
    log::info!("the process stops");
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
            copies: TcpListener::bind(settings.copies_address).await?,
        };
        let readiness = TcpListener::bind(settings.readiness_address).await?;
        let metrics = TcpListener::bind((settings.address, settings.metrics_port)).await?;
        tokio::task::spawn_local(serve_http(readiness, readiness_router(&shared)));
        let ready = readiness_check(&shared);
        let router = health::health_router(registry, ready);
        tokio::task::spawn_local(serve_http(metrics, router));
        tokio::task::spawn_local(follow_settings(file, settings.clone()));
        control::run(Arc::clone(&shared), evidence, sockets).await;
        Ok(())
    })
}

async fn serve_http(listener: TcpListener, router: axum::Router) {
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "an HTTP listener ended");
    }
}

fn readiness_check(shared: &Arc<shared::EdgeShared>) -> health::ReadinessCheck {
    let shared = Arc::clone(shared);
    Arc::new(move || not_ready_reason(&shared).map(str::to_owned))
}

fn not_ready_reason(shared: &shared::EdgeShared) -> Option<&'static str> {
    let snapshot = shared.snapshot();
    if *shared.drain.borrow() != shared::DrainPhase::Serving {
        Some("the process is stopping")
    } else if snapshot.configuration.version == 0 {
        Some("no configuration is in force")
    } else if snapshot.databases.is_empty() {
        Some("no database is known")
    } else if snapshot.part.size() <= 0.0 {
        Some("no part of the fleet-wide limits is known")
    } else {
        None
    }
}

fn readiness_router(shared: &Arc<shared::EdgeShared>) -> axum::Router {
    let shared = Arc::clone(shared);
    let answer = move || {
        let reason = not_ready_reason(&shared);
        async move {
            match reason {
                None => (StatusCode::OK, "ready"),
                Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
            }
        }
    };
    axum::Router::new().fallback(get(answer))
}

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Notes changes of the settings file. Addresses and names hold for the life of
/// the process, so a change is logged and takes effect at the next start.
async fn follow_settings(file: PathBuf, mut known: settings::EdgeSettings) {
    let mut hangup = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!(error:% = error; "SIGHUP cannot be received");
            return;
        }
    };
    loop {
        let signalled = tokio::time::timeout(SETTINGS_INTERVAL, hangup.recv()).await;
        let is_signalled = signalled.is_ok();
        match settings::load(&file) {
            Ok(settings) if settings != known => {
                log::info!(signalled = is_signalled; "the settings have changed");
                known = settings;
            }
            Ok(_) if is_signalled => log::info!("the settings were read again and are the same"),
            Ok(_) => {}
            Err(error) => log::warn!(error:% = error; "the settings cannot be read again"),
        }
    }
}

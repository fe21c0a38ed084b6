//! The database server: listeners, client sessions, statement limits and cancel requests.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bluebellferry_runtime::health;
use bluebellferry_runtime::settings as settings_file;
use bluebellferry_runtime::shutdown;

use crate::engine;
use crate::group;
use crate::replication;
use crate::session;
use crate::settings;

/// How long a shutdown waits for the client sessions to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits the number of statements that run at the same time.
#[derive(Debug)]
pub struct StatementLimiter {
    available_permits: Mutex<usize>,
    permit_released: Condvar,
}

impl StatementLimiter {
    fn new(max_running_statements: usize) -> Self {
        Self {
            available_permits: Mutex::new(max_running_statements),
            permit_released: Condvar::new(),
        }
    }

    /// Waits until another statement may run; the permit counts as one until it is dropped.
    pub fn acquire(&self) -> StatementPermit<'_> {
        let mut available_permits = self
            .available_permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while *available_permits == 0 {
            available_permits = self
                .permit_released
                .wait(available_permits)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *available_permits -= 1;
        StatementPermit { limiter: self }
    }
}

/// The permission to run one statement, returned to the limiter on drop.
#[derive(Debug)]
pub struct StatementPermit<'a> {
    limiter: &'a StatementLimiter,
}

impl Drop for StatementPermit<'_> {
    fn drop(&mut self) {
        *self
            .limiter
            .available_permits
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += 1;
        self.limiter.permit_released.notify_one();
    }
}

/// The handles with which a cancel request interrupts a session's statement.
pub struct CancelTarget {
    /// The secret key that the cancel request must contain.
    pub secret: i32,
    /// Interrupts the statement that SQLite is executing.
    pub interrupt: rusqlite::InterruptHandle,
    /// Set by a cancel request; interrupts `pg_sleep`, which SQLite cannot interrupt.
    pub is_cancel_requested: Arc<AtomicBool>,
}

/// The state of a database that its client sessions share.
pub struct DatabaseServer {
    /// The database's settings.
    pub settings: settings::DatabaseSettings,
    /// The database's replication state.
    pub member: Arc<group::GroupMember>,
    /// The embedded SQLite database.
    pub engine: engine::SqlEngine,
    /// Limits the number of statements that run at the same time.
    pub statement_limiter: StatementLimiter,
    /// The number of connected clients, without those whose application name is
    /// `bluebellferry-control`.
    pub connected_clients: AtomicUsize,
    /// The number of statements executed so far.
    pub statement_counter: prometheus::IntCounter,
    cancel_targets: Mutex<HashMap<i32, CancelTarget>>,
    next_process_id: AtomicI32,
    received_log: Option<Mutex<File>>,
    open_sessions: AtomicUsize,
}

impl DatabaseServer {
    /// Creates a server with an empty database. Call [`start_database`] to start it.
    ///
    /// # Errors
    /// Fails if the database or the file of received bytes cannot be created.
    pub fn create(
        settings: settings::DatabaseSettings,
    ) -> Result<Arc<Self>, Box<dyn std::error::Error>> {
        let peer_names: Vec<String> = settings
            .peers
            .iter()
            .map(|peer| peer.name.clone())
            .collect();
        let member = group::GroupMember::new(
            &peer_names,
            settings.is_initial_primary,
            settings.replay_lag,
        );
        let received_log = settings
            .received_log
            .as_ref()
            .map(File::create)
            .transpose()?;
        let statement_counter =
            prometheus::IntCounter::new("standin_statements", "Statements run.")?;
        Ok(Arc::new(Self {
            member: Arc::new(member),
            engine: engine::SqlEngine::create(&settings.name)?,
            statement_limiter: StatementLimiter::new(settings.max_running_statements),
            connected_clients: AtomicUsize::new(0),
            statement_counter,
            cancel_targets: Mutex::default(),
            next_process_id: AtomicI32::new(1),
            received_log: received_log.map(Mutex::new),
            open_sessions: AtomicUsize::new(0),
            settings,
        }))
    }

    /// Appends bytes received from a client to the `received_log` file, if one is set, so that
    /// tests can check that no API key reaches a database.
    pub fn record_received_bytes(&self, bytes: &[u8]) {
        if let Some(file) = &self.received_log {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            if let Err(error) = file.write_all(bytes) {
                log::error!("could not write to the received_log file: {error}");
            }
        }
    }

    /// Registers a session for cancel requests and returns the process ID that identifies it.
    pub fn register_cancel_target(&self, target: CancelTarget) -> i32 {
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        self.lock_cancel_targets().insert(process_id, target);
        process_id
    }

    /// Removes a session that has ended from the targets of cancel requests.
    pub fn remove_cancel_target(&self, process_id: i32) {
        self.lock_cancel_targets().remove(&process_id);
    }

    /// Interrupts the statement of the session with this process ID if the secret key matches.
    pub fn cancel_statement(&self, process_id: i32, secret: i32) {
        if let Some(target) = self.lock_cancel_targets().get(&process_id)
            && target.secret == secret
        {
            target.is_cancel_requested.store(true, Ordering::SeqCst);
            target.interrupt.interrupt();
        }
    }

    fn lock_cancel_targets(&self) -> std::sync::MutexGuard<'_, HashMap<i32, CancelTarget>> {
        self.cancel_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the threads that replicate the log and accept clients.
///
/// # Errors
/// Fails if the database cannot listen on one of its addresses.
pub fn start_database(server: &Arc<DatabaseServer>) -> std::io::Result<()> {
    replication::start_replication(&server.settings, &server.member, &server.engine)?;
    let listener = TcpListener::bind(server.settings.listen)?;
    log::info!(
        "database {} listens on {}",
        server.settings.name,
        server.settings.listen
    );
    let server = Arc::clone(server);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn_session(&server, stream);
        }
    });
    Ok(())
}

fn spawn_session(server: &Arc<DatabaseServer>, stream: TcpStream) {
    let server = Arc::clone(server);
    let spawn_result = thread::Builder::new()
        .stack_size(512 * 1024)
        .spawn(move || {
            server.open_sessions.fetch_add(1, Ordering::SeqCst);
            if let Err(error) = session::serve_session(&server, stream) {
                log::debug!("client session ended with an error: {error}");
            }
            server.open_sessions.fetch_sub(1, Ordering::SeqCst);
        });
    if let Err(error) = spawn_result {
        log::error!("could not start a thread for a client session: {error}");
    }
}

/// Waits until all client sessions have ended, at most for `SHUTDOWN_TIMEOUT`.
pub fn wait_for_sessions(server: &DatabaseServer) {
    let poll_interval = Duration::from_millis(20);
    let mut elapsed = Duration::ZERO;
    while server.open_sessions.load(Ordering::SeqCst) > 0 && elapsed < SHUTDOWN_TIMEOUT {
        thread::sleep(poll_interval);
        elapsed += poll_interval;
    }
}

/// Loads a settings file and runs the database until the process receives a shutdown signal.
///
/// # Errors
/// Fails if the settings are invalid or the database cannot listen on one of its addresses.
pub fn run_database(file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let settings: settings::DatabaseSettings =
        settings_file::load_settings::<settings::DatabaseSettingsWire, _>(file)?;
    let server = DatabaseServer::create(settings)?;
    start_database(&server)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        serve_health(&server).await?;
        shutdown::wait_for_shutdown_signal().await?;
        Ok::<(), Box<dyn std::error::Error>>(())
    })?;
    server.member.lock().is_draining = true;
    wait_for_sessions(&server);
    Ok(())
}

async fn serve_health(server: &DatabaseServer) -> Result<(), Box<dyn std::error::Error>> {
    let Some(address) = server.settings.health_listen else {
        return Ok(());
    };
    let registry = prometheus::Registry::new();
    registry.register(Box::new(server.statement_counter.clone()))?;
    let router = health::health_router(registry, Arc::new(|| None));
    let listener = tokio::net::TcpListener::bind(address).await?;
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

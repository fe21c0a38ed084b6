//! The process around the sessions: listeners, limits, cancel requests.

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

/// How long a stop waits for sessions to end by themselves.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// The statements that may run at the same time.
#[derive(Debug)]
pub struct StatementLimiter {
    free: Mutex<usize>,
    released: Condvar,
}

impl StatementLimiter {
    fn new(slots: usize) -> Self {
        Self {
            free: Mutex::new(slots),
            released: Condvar::new(),
        }
    }

    /// Waits for a free slot.
    pub fn acquire(&self) -> StatementPermit<'_> {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        while *free == 0 {
            free = self
                .released
                .wait(free)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
        StatementPermit { pool: self }
    }
}

/// A slot in use.
#[derive(Debug)]
pub struct StatementPermit<'a> {
    pool: &'a StatementLimiter,
}

impl Drop for StatementPermit<'_> {
    fn drop(&mut self) {
        *self
            .pool
            .free
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += 1;
        self.pool.released.notify_one();
    }
}

/// What a cancel request needs to reach a session.
pub struct CancelTarget {
    /// The secret that the request must bring.
    pub secret: i32,
    /// Interrupts the running SQL statement.
    pub interrupt: rusqlite::InterruptHandle,
    /// Interrupts a sleeping function.
    pub cancelled: Arc<AtomicBool>,
}

/// What all sessions of a database share.
pub struct DatabaseServer {
    /// The settings.
    pub settings: settings::DatabaseSettings,
    /// The part in the group.
    pub member: Arc<group::GroupMember>,
    /// The SQL engine.
    pub engine: engine::SqlEngine,
    /// The statement slots.
    pub slots: StatementLimiter,
    /// The number of connected clients, control connections left out.
    pub connected: AtomicUsize,
    /// The statements run so far.
    pub statements: prometheus::IntCounter,
    cancel_targets: Mutex<HashMap<i32, CancelTarget>>,
    next_process_id: AtomicI32,
    received: Option<Mutex<File>>,
    sessions: AtomicUsize,
}

impl DatabaseServer {
    /// Creates the server with an empty database.
    ///
    /// # Errors
    /// Fails when a file cannot be created.
    pub fn create(
        settings: settings::DatabaseSettings,
    ) -> Result<Arc<Self>, Box<dyn std::error::Error>> {
        let names: Vec<String> = settings
            .peers
            .iter()
            .map(|peer| peer.name.clone())
            .collect();
        let member = group::GroupMember::new(&names, settings.primary, settings.lag);
        let received = settings
            .received_log
            .as_ref()
            .map(File::create)
            .transpose()?;
        let statements = prometheus::IntCounter::new("standin_statements", "Statements run.")?;
        Ok(Arc::new(Self {
            member: Arc::new(member),
            engine: engine::SqlEngine::create(&settings.name)?,
            slots: StatementLimiter::new(settings.slots),
            connected: AtomicUsize::new(0),
            statements,
            cancel_targets: Mutex::default(),
            next_process_id: AtomicI32::new(1),
            received: received.map(Mutex::new),
            sessions: AtomicUsize::new(0),
            settings,
        }))
    }

    /// Keeps received bytes for the history checker.
    pub fn record_received(&self, bytes: &[u8]) {
        if let Some(file) = &self.received {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            if let Err(error) = file.write_all(bytes) {
                log::error!("received bytes could not be recorded: {error}");
            }
        }
    }

    /// Registers a session for cancel requests and returns its process number.
    pub fn register_cancel_target(&self, target: CancelTarget) -> i32 {
        let process = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        self.lock_cancel_targets().insert(process, target);
        process
    }

    /// Forgets a session that has ended.
    pub fn remove_cancel_target(&self, process: i32) {
        self.lock_cancel_targets().remove(&process);
    }

    /// Interrupts the session that a cancel request names.
    pub fn cancel(&self, process: i32, secret: i32) {
        if let Some(target) = self.lock_cancel_targets().get(&process)
            && target.secret == secret
        {
            target.cancelled.store(true, Ordering::SeqCst);
            target.interrupt.interrupt();
        }
    }

    fn lock_cancel_targets(&self) -> std::sync::MutexGuard<'_, HashMap<i32, CancelTarget>> {
        self.cancel_targets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts all threads of a database.
///
/// # Errors
/// Fails when an address cannot be listened on.
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
    let spawned = thread::Builder::new()
        .stack_size(512 * 1024)
        .spawn(move || {
            server.sessions.fetch_add(1, Ordering::SeqCst);
            if let Err(error) = session::serve_session(&server, stream) {
                log::debug!("a session ended: {error}");
            }
            server.sessions.fetch_sub(1, Ordering::SeqCst);
        });
    if let Err(error) = spawned {
        log::error!("no thread for a session: {error}");
    }
}

/// Waits until all sessions have ended or a bounded time has passed.
pub fn wait_for_sessions(server: &DatabaseServer) {
    let step = Duration::from_millis(20);
    let mut waited = Duration::ZERO;
    while server.sessions.load(Ordering::SeqCst) > 0 && waited < SHUTDOWN_TIMEOUT {
        thread::sleep(step);
        waited += step;
    }
}

/// Loads a settings file and runs the database until it is asked to stop.
///
/// # Errors
/// Fails when the settings cannot be used or an address cannot be listened on.
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
    server.member.lock().draining = true;
    wait_for_sessions(&server);
    Ok(())
}

async fn serve_health(server: &DatabaseServer) -> Result<(), Box<dyn std::error::Error>> {
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

//! The HTTP interface and its switchable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use bluebellferry_runtime::health;
use bluebellferry_runtime::settings;
use prometheus::IntCounterVec;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::objects;

/// The longest time that a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(30);
/// How long an answer that a fault withholds keeps its caller waiting.
const WITHHELD: Duration = Duration::from_secs(60);

/// The settings as they are written in JSON.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettingsWire {
    listen: String,
}

/// The checked settings.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
}

impl TryFrom<StoreSettingsWire> for StoreSettings {
    type Error = settings::FieldError;

    fn try_from(wire: StoreSettingsWire) -> Result<Self, settings::FieldError> {
        let listen = settings::parse_address("listen", &wire.listen)?;
        Ok(Self { listen })
    }
}

/// The faults that a test turns on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call is answered with 503.
    pub outage: bool,
    /// Every call is delayed by this many milliseconds.
    pub delay_ms: u64,
    /// This many of the next writes take effect without an answer.
    pub lose_write_answers: u32,
    /// Watches never report a change.
    pub stall_watches: bool,
}

/// The calls served so far.
#[derive(Debug, Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
}

/// The kinds of call that are counted.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    Read,
    Write,
    Watch,
}

impl CallKind {
    const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

#[derive(Debug)]
struct ServerState {
    table: Mutex<objects::ObjectTable>,
    faults: Mutex<StoreFaults>,
    calls: IntCounterVec,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Debug, Serialize)]
struct ListAnswer {
    revision: u64,
    objects: Vec<objects::StoredObject>,
}

type SharedState = Arc<ServerState>;

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServerState {
    fn count_call(&self, kind: CallKind) {
        self.calls.with_label_values(&[kind.label()]).inc();
    }
}

/// Creates the store's router with an empty table, `/metrics` and `/ready`.
///
/// # Errors
/// Fails when the counter cannot be registered.
pub fn store_router() -> Result<Router, prometheus::Error> {
    let options = prometheus::Opts::new("standin_store_calls_total", "Calls by kind.");
    let calls = IntCounterVec::new(options, &["kind"])?;
    let registry = prometheus::Registry::new();
    registry.register(Box::new(calls.clone()))?;
    let health = health::health_router(registry, Arc::new(|| None));
    let state = Arc::new(ServerState {
        table: Mutex::default(),
        faults: Mutex::default(),
        calls,
        changed: watch::channel(0).0,
    });
    let objects = Router::new()
        .route("/objects", get(list_objects))
        .route("/objects/{*key}", get(read_object).put(write_object))
        .route("/watch", get(watch_objects))
        .route("/faults", get(read_faults).put(write_faults))
        .route("/calls", get(read_calls))
        .with_state(state);
    Ok(health.merge(objects))
}

/// Applies outage and delay; returns the answer that replaces the real one.
async fn apply_faults(state: &SharedState) -> Option<Response> {
    let faults = lock(&state.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    let outage = lock(&state.faults).outage;
    outage.then(|| (StatusCode::SERVICE_UNAVAILABLE, "outage").into_response())
}

async fn list_objects(
    State(state): State<SharedState>,
    Query(query): Query<ListQuery>,
) -> Response {
    state.count_call(CallKind::Read);
    if let Some(fault) = apply_faults(&state).await {
        return fault;
    }
    Json(list_since(&state, &query.prefix, 0)).into_response()
}

fn list_since(state: &SharedState, prefix: &str, revision: u64) -> ListAnswer {
    let table = lock(&state.table);
    ListAnswer {
        revision: table.revision(),
        objects: table.changed_since(prefix, revision),
    }
}

async fn read_object(State(state): State<SharedState>, Path(key): Path<String>) -> Response {
    state.count_call(CallKind::Read);
    if let Some(fault) = apply_faults(&state).await {
        return fault;
    }
    let object = lock(&state.table).get(&key);
    Json(object).into_response()
}

async fn write_object(
    State(state): State<SharedState>,
    Path(key): Path<String>,
    Json(write): Json<objects::WriteRequest>,
) -> Response {
    state.count_call(CallKind::Write);
    if let Some(fault) = apply_faults(&state).await {
        return fault;
    }
    if write.value.to_string().len() > objects::MAX_VALUE_BYTES {
        return (StatusCode::PAYLOAD_TOO_LARGE, "the value is too large").into_response();
    }
    let written = {
        let mut table = lock(&state.table);
        let written = table.put(&key, write);
        state.changed.send_replace(table.revision());
        written
    };
    let lost = {
        let mut faults = lock(&state.faults);
        let lost = faults.lose_write_answers > 0;
        faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
        lost
    };
    if lost {
        tokio::time::sleep(WITHHELD).await;
    }
    match written {
        Ok(object) => Json(object).into_response(),
        Err(current) => (StatusCode::CONFLICT, Json(current)).into_response(),
    }
}

async fn watch_objects(
    State(state): State<SharedState>,
    Query(query): Query<WatchQuery>,
) -> Response {
    state.count_call(CallKind::Watch);
    if let Some(fault) = apply_faults(&state).await {
        return fault;
    }
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH);
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = state.changed.subscribe();
    loop {
        let answer = list_since(&state, &query.prefix, query.after);
        let stalled = lock(&state.faults).stall_watches;
        if !answer.objects.is_empty() && !stalled {
            return Json(answer).into_response();
        }
        if tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err()
        {
            let revision = if stalled {
                query.after
            } else {
                answer.revision
            };
            return Json(ListAnswer {
                revision,
                objects: Vec::new(),
            })
            .into_response();
        }
    }
}

async fn read_faults(State(state): State<SharedState>) -> Json<StoreFaults> {
    Json(lock(&state.faults).clone())
}

async fn write_faults(State(state): State<SharedState>, Json(faults): Json<StoreFaults>) {
    log::info!("faults are now {faults:?}");
    *lock(&state.faults) = faults;
}

async fn read_calls(State(state): State<SharedState>) -> Json<CallCounts> {
    let count = |kind: CallKind| state.calls.with_label_values(&[kind.label()]).get();
    Json(CallCounts {
        reads: count(CallKind::Read),
        writes: count(CallKind::Write),
        watches: count(CallKind::Watch),
    })
}

/// Serves the store until a stop is requested.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub async fn serve_store(settings: &StoreSettings) -> std::io::Result<()> {
    let router = store_router().map_err(std::io::Error::other)?;
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    log::info!("the store listens on {}", settings.listen);
    let stop = async {
        if let Err(error) = bluebellferry_runtime::shutdown::wait_for_shutdown_signal().await {
            log::error!("no signal handler: {error}");
        }
    };
    // Waiting watches would hold a graceful shutdown for up to half a minute.
    tokio::select! {
        served = axum::serve(listener, router).into_future() => served,
        () = stop => Ok(()),
    }
}

/// Loads a settings file and runs the store until it is asked to stop.
///
/// # Errors
/// Fails when the settings cannot be used or the address cannot be listened on.
pub fn run_store(file: &std::path::Path) -> Result<(), Box<dyn std::error::Error>> {
    let settings: StoreSettings = settings::load_settings::<StoreSettingsWire, _>(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve_store(&settings))?;
    Ok(())
}

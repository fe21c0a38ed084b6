//! The store's HTTP interface, and the faults that tests inject into it.

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

/// The maximum time that a watch request waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long a client waits for the response to a write that `lose_write_answers` applies to.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(60);

/// The store's settings as written in the JSON file, not yet validated.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettingsWire {
    listen: String,
}

/// The store's validated settings.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// The address on which the HTTP interface listens.
    pub listen: SocketAddr,
}

impl TryFrom<StoreSettingsWire> for StoreSettings {
    type Error = settings::FieldError;

    fn try_from(wire: StoreSettingsWire) -> Result<Self, settings::FieldError> {
        let listen = settings::parse_address("listen", &wire.listen)?;
        Ok(Self { listen })
    }
}

/// The faults to inject, set by `PUT /faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every request for objects is answered with status 503.
    pub outage: bool,
    /// The delay of every request for objects, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes are executed as usual but answered only after `LOST_RESPONSE_DELAY`.
    pub lose_write_answers: u32,
    /// Whether watches wait until their timeout and report no change.
    pub stall_watches: bool,
    /// Whether watches get no answer, while their connections stay open.
    pub lose_watch_answers: bool,
}

/// The numbers of requests for objects since the start, as `GET /calls` returns them.
#[derive(Debug, Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
}

/// The kinds of requests that are counted separately.
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
    objects: Mutex<objects::ObjectTable>,
    faults: Mutex<StoreFaults>,
    call_counter: IntCounterVec,
    revision_sender: watch::Sender<u64>,
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
struct ListResponse {
    revision: u64,
    objects: Vec<objects::StoredObject>,
}

type SharedServerState = Arc<ServerState>;

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServerState {
    fn count_call(&self, kind: CallKind) {
        self.call_counter.with_label_values(&[kind.label()]).inc();
    }
}

/// Creates the router of an empty store, including `/metrics` and `/ready`.
///
/// # Errors
/// Fails if the request counter cannot be registered with the metrics registry.
pub fn store_router() -> Result<Router, prometheus::Error> {
    let counter_options = prometheus::Opts::new("standin_store_calls_total", "Calls by kind.");
    let call_counter = IntCounterVec::new(counter_options, &["kind"])?;
    let registry = prometheus::Registry::new();
    registry.register(Box::new(call_counter.clone()))?;
    let health_router = health::health_router(registry, Arc::new(|| None));
    let state = Arc::new(ServerState {
        objects: Mutex::default(),
        faults: Mutex::default(),
        call_counter,
        revision_sender: watch::channel(0).0,
    });
    let object_router = Router::new()
        .route("/objects", get(list_objects))
        .route("/objects/{*key}", get(read_object).put(write_object))
        .route("/watch", get(watch_objects))
        .route("/faults", get(read_faults).put(write_faults))
        .route("/calls", get(read_call_counts))
        .with_state(state);
    Ok(health_router.merge(object_router))
}

/// Applies the injected delay, and returns the 503 response if an outage is injected.
async fn apply_faults(state: &SharedServerState) -> Option<Response> {
    let faults = lock(&state.faults).clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    let outage = lock(&state.faults).outage;
    outage.then(|| (StatusCode::SERVICE_UNAVAILABLE, "outage").into_response())
}

async fn list_objects(
    State(state): State<SharedServerState>,
    Query(query): Query<ListQuery>,
) -> Response {
    state.count_call(CallKind::Read);
    if let Some(fault_response) = apply_faults(&state).await {
        return fault_response;
    }
    Json(list_changes(&state, &query.prefix, 0)).into_response()
}

fn list_changes(state: &SharedServerState, prefix: &str, revision: u64) -> ListResponse {
    let objects = lock(&state.objects);
    ListResponse {
        revision: objects.revision(),
        objects: objects.changed_since(prefix, revision),
    }
}

async fn read_object(State(state): State<SharedServerState>, Path(key): Path<String>) -> Response {
    state.count_call(CallKind::Read);
    if let Some(fault_response) = apply_faults(&state).await {
        return fault_response;
    }
    let object = lock(&state.objects).get(&key);
    Json(object).into_response()
}

async fn write_object(
    State(state): State<SharedServerState>,
    Path(key): Path<String>,
    Json(write): Json<objects::WriteRequest>,
) -> Response {
    state.count_call(CallKind::Write);
    if let Some(fault_response) = apply_faults(&state).await {
        return fault_response;
    }
    if write.value.to_string().len() > objects::MAX_VALUE_BYTES {
        return (StatusCode::PAYLOAD_TOO_LARGE, "the value is too large").into_response();
    }
    let put_result = {
        let mut objects = lock(&state.objects);
        let put_result = objects.put(&key, write);
        state.revision_sender.send_replace(objects.revision());
        put_result
    };
    let is_response_lost = {
        let mut faults = lock(&state.faults);
        let is_response_lost = faults.lose_write_answers > 0;
        faults.lose_write_answers = faults.lose_write_answers.saturating_sub(1);
        is_response_lost
    };
    if is_response_lost {
        tokio::time::sleep(LOST_RESPONSE_DELAY).await;
    }
    match put_result {
        Ok(object) => Json(object).into_response(),
        Err(current) => (StatusCode::CONFLICT, Json(current)).into_response(),
    }
}

async fn watch_objects(
    State(state): State<SharedServerState>,
    Query(query): Query<WatchQuery>,
) -> Response {
    state.count_call(CallKind::Watch);
    if let Some(fault_response) = apply_faults(&state).await {
        return fault_response;
    }
    if lock(&state.faults).lose_watch_answers {
        return std::future::pending().await;
    }
    let timeout = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let deadline = tokio::time::Instant::now() + timeout;
    let mut revision_receiver = state.revision_sender.subscribe();
    loop {
        let response = list_changes(&state, &query.prefix, query.after);
        let is_stalled = lock(&state.faults).stall_watches;
        if !response.objects.is_empty() && !is_stalled {
            return Json(response).into_response();
        }
        if tokio::time::timeout_at(deadline, revision_receiver.changed())
            .await
            .is_err()
        {
            let revision = if is_stalled {
                query.after
            } else {
                response.revision
            };
            return Json(ListResponse {
                revision,
                objects: Vec::new(),
            })
            .into_response();
        }
    }
}

async fn read_faults(State(state): State<SharedServerState>) -> Json<StoreFaults> {
    Json(lock(&state.faults).clone())
}

async fn write_faults(State(state): State<SharedServerState>, Json(faults): Json<StoreFaults>) {
    log::info!("injected faults set to {faults:?}");
    *lock(&state.faults) = faults;
}

async fn read_call_counts(State(state): State<SharedServerState>) -> Json<CallCounts> {
    let call_count = |kind: CallKind| state.call_counter.with_label_values(&[kind.label()]).get();
    Json(CallCounts {
        reads: call_count(CallKind::Read),
        writes: call_count(CallKind::Write),
        watches: call_count(CallKind::Watch),
    })
}

/// Serves the store until the process receives a shutdown signal.
///
/// # Errors
/// Fails if the store cannot listen on the address.
pub async fn serve_store(settings: &StoreSettings) -> std::io::Result<()> {
    let router = store_router().map_err(std::io::Error::other)?;
    let listener = tokio::net::TcpListener::bind(settings.listen).await?;
    log::info!("the store listens on {}", settings.listen);
    let shutdown = async {
        if let Err(error) = bluebellferry_runtime::shutdown::wait_for_shutdown_signal().await {
            log::error!("could not install the shutdown signal handler; stopping: {error}");
        }
    };
    // A graceful shutdown would wait for open watches, up to 30 seconds (`MAX_WATCH_WAIT`).
    tokio::select! {
        result = axum::serve(listener, router).into_future() => result,
        () = shutdown => Ok(()),
    }
}

/// Loads a settings file and runs the store until the process receives a shutdown signal.
///
/// # Errors
/// Fails if the settings are invalid or the store cannot listen on the address.
pub fn run_store(file: &std::path::Path) -> Result<(), Box<dyn std::error::Error>> {
    let settings: StoreSettings = settings::load_settings::<StoreSettingsWire, _>(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve_store(&settings))?;
    Ok(())
}

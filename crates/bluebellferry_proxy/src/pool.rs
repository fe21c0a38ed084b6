//! Connection pool of one database. Waiting workspaces are served in weighted fair
//! order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_fairness::concurrency;
use bluebellferry_fairness::queue;
use bluebellferry_types::name;
use bluebellferry_types::refusal;
use bluebellferry_wire::message;
use tokio::sync::oneshot;

use crate::backend;
use crate::settings;

/// The largest number of requests that may wait for one database.
const QUEUE_CAPACITY: usize = 1_024;
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of prepared statements above which a connection is closed rather than
/// returned to the pool.
const MAX_PREPARED_STATEMENTS: usize = 2_000;

/// The connection pool of one database.
#[derive(Debug)]
pub struct DatabasePool {
    address: SocketAddr,
    service: name::ServiceName,
    account: settings::DatabaseAccount,
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    idle: Vec<backend::BackendConnection>,
    /// The number of permits in use.
    in_use: usize,
    /// The number of permits whose connections are pinned.
    pinned: usize,
    /// The number of connections that this VM may open.
    quota: usize,
    /// The limit of concurrent requests, which adapts to the latency of the database.
    concurrency_limit: concurrency::ConcurrencyLimit,
    queue: queue::FairQueue<oneshot::Sender<PoolPermit>>,
}

impl PoolState {
    /// Returns whether another permit may be granted. Pinned connections don't count
    /// towards the concurrency limit, only towards the quota.
    fn has_capacity(&self) -> bool {
        self.in_use
            < self
                .quota
                .min(self.concurrency_limit.current() + self.pinned)
    }
}

/// The permission to use one connection of the pool.
#[derive(Debug)]
pub struct PoolPermit {
    pool: Arc<DatabasePool>,
    acquired_at: Instant,
    /// Whether the permit no longer counts as in use, so that dropping it releases
    /// nothing.
    is_released: bool,
}

impl Drop for PoolPermit {
    fn drop(&mut self) {
        if !self.is_released {
            self.pool.release_permit();
        }
    }
}

/// A connection that is in use, together with its permit.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection to the database.
    pub connection: backend::BackendConnection,
    permit: PoolPermit,
    is_pinned: bool,
}

impl PooledConnection {
    /// Returns the connection to the pool and releases the permit. A connection that
    /// is pinned, has too many prepared statements, may keep other changes or has a
    /// transaction that has not ended is closed instead.
    pub fn return_to_pool(self) {
        let Self {
            connection,
            permit,
            is_pinned,
        } = self;
        let pool = Arc::clone(&permit.pool);
        let has_too_many_statements =
            connection.prepared_statements.len() > MAX_PREPARED_STATEMENTS;
        let has_ended_transaction = connection.transaction == message::TransactionStatus::Idle;
        let mut state = pool.lock();
        let is_saturated = state.in_use >= state.concurrency_limit.current();
        state
            .concurrency_limit
            .record(permit.acquired_at.elapsed(), is_saturated);
        if is_pinned {
            state.pinned -= 1;
        } else if has_ended_transaction
            && !has_too_many_statements
            && !connection.has_lasting_changes
            && state.idle.len() < state.quota
        {
            state.idle.push(connection);
        }
        drop(state);
        drop(permit);
    }

    /// Closes the connection, because its state is unknown, and releases the permit.
    pub fn discard(self) {
        if self.is_pinned {
            self.permit.pool.lock().pinned -= 1;
        }
    }

    /// Reserves the connection for the rest of the session. At most half of the quota
    /// may be pinned. Returns whether the connection is pinned.
    pub fn pin(&mut self) -> bool {
        if self.is_pinned {
            return true;
        }
        let mut state = self.permit.pool.lock();
        if state.pinned + 1 > state.quota / 2 {
            return false;
        }
        state.pinned += 1;
        self.is_pinned = true;
        true
    }

    /// Returns whether the connection is reserved for its session.
    pub fn is_pinned(&self) -> bool {
        self.is_pinned
    }
}

/// A request for a connection.
#[derive(Debug, Clone, Copy)]
pub struct PoolRequest<'a> {
    /// The workspace that the connection is for.
    pub workspace: &'a name::WorkspaceName,
    /// The weight of the workspace in the fair queue.
    pub weight: u32,
    /// When the request is abandoned.
    pub deadline: Instant,
}

impl DatabasePool {
    /// Creates a pool without connections.
    pub fn new(
        address: SocketAddr,
        service: name::ServiceName,
        account: settings::DatabaseAccount,
    ) -> Arc<Self> {
        let state = PoolState {
            idle: Vec::new(),
            in_use: 0,
            pinned: 0,
            quota: 1,
            concurrency_limit: concurrency::ConcurrencyLimit::new(1, 1),
            queue: queue::FairQueue::new(QUEUE_CAPACITY),
        };
        Arc::new(Self {
            address,
            service,
            account,
            state: Mutex::new(state),
        })
    }

    /// Returns the database's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how many connections this VM may open, and closes idle connections beyond
    /// that number.
    pub fn set_quota(self: &Arc<Self>, quota: usize) {
        let mut state = self.lock();
        if state.quota == quota {
            return;
        }
        state.quota = quota;
        state.concurrency_limit =
            concurrency::ConcurrencyLimit::new(quota.div_ceil(2).min(2), quota.max(1));
        let max_idle = quota.saturating_sub(state.in_use);
        state.idle.truncate(max_idle);
        drop(state);
        self.grant_permits();
    }

    /// Returns the number of requests in flight or waiting.
    pub fn request_count(&self) -> usize {
        let state = self.lock();
        state.in_use + state.queue.len()
    }

    /// Closes idle connections, for a database that is draining or lost.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    /// Returns a connection, idle or new, after waiting in the fair queue.
    ///
    /// # Errors
    /// Refuses when the queue is full, the deadline passes or the database
    /// cannot be reached.
    pub async fn acquire(
        self: &Arc<Self>,
        request: PoolRequest<'_>,
    ) -> Result<PooledConnection, refusal::RequestRefusal> {
        let mut permit = self.acquire_permit(request).await?;
        permit.acquired_at = Instant::now();
        let reused = self.pop_idle();
        let connection = match reused {
            Some(connection) => connection,
            None => self.open_connection(request.deadline).await?,
        };
        Ok(PooledConnection {
            connection,
            permit,
            is_pinned: false,
        })
    }

    fn pop_idle(&self) -> Option<backend::BackendConnection> {
        let mut state = self.lock();
        loop {
            let connection = state.idle.pop()?;
            if !connection.is_stale() {
                return Some(connection);
            }
        }
    }

    async fn acquire_permit(
        self: &Arc<Self>,
        request: PoolRequest<'_>,
    ) -> Result<PoolPermit, refusal::RequestRefusal> {
        let receiver = {
            let mut state = self.lock();
            if state.quota == 0 {
                let text = "this VM holds no share of the database's connections";
                let reason = refusal::RefusalReason::QueueFull;
                return Err(refusal::RequestRefusal::not_run(reason, text));
            }
            if state.has_capacity() && state.queue.is_empty() {
                state.in_use += 1;
                return Ok(self.new_permit());
            }
            let (sender, receiver) = oneshot::channel();
            let pushed = state.queue.push(request.workspace, request.weight, sender);
            if pushed.is_err() {
                return Err(self.queue_refusal(refusal::RefusalReason::QueueFull, &state));
            }
            receiver
        };
        match tokio::time::timeout_at(request.deadline.into(), receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => {
                let state = self.lock();
                Err(self.queue_refusal(refusal::RefusalReason::QueueTimeout, &state))
            }
        }
    }

    /// Returns a refusal that suggests to retry when the requests that wait now are
    /// expected to have been served.
    fn queue_refusal(
        &self,
        reason: refusal::RefusalReason,
        state: &PoolState,
    ) -> refusal::RequestRefusal {
        let waiting = state.queue.len() as u32;
        let slots = state.concurrency_limit.current().max(1) as u32;
        let service = &self.service;
        let text = format!("no connection to {service} came free; {waiting} requests wait");
        let retry_after = Duration::from_millis(5) * waiting.div_ceil(slots).max(10);
        refusal::RequestRefusal::not_run(reason, text).retry_after(retry_after)
    }

    async fn open_connection(
        &self,
        deadline: Instant,
    ) -> Result<backend::BackendConnection, refusal::RequestRefusal> {
        let connect_deadline = (Instant::now() + CONNECT_TIMEOUT).min(deadline);
        let connect = backend::BackendConnection::connect(
            self.address,
            self.service.as_str(),
            &self.account,
            backend::ConnectionPurpose::Traffic,
        );
        let reason = match tokio::time::timeout_at(connect_deadline.into(), connect).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the database did not answer in time".to_owned(),
        };
        let text = format!("no connection to {}: {reason}", self.service);
        let refusal = refusal::RequestRefusal::not_run(refusal::RefusalReason::DatabaseLost, text);
        Err(refusal.retry_after(Duration::from_millis(500)))
    }

    fn new_permit(self: &Arc<Self>) -> PoolPermit {
        PoolPermit {
            pool: Arc::clone(self),
            acquired_at: Instant::now(),
            is_released: false,
        }
    }

    fn release_permit(self: &Arc<Self>) {
        self.lock().in_use -= 1;
        self.grant_permits();
    }

    /// Grants free permits to waiting requests in the order of the fair queue.
    fn grant_permits(self: &Arc<Self>) {
        loop {
            let waiter = {
                let mut state = self.lock();
                if !state.has_capacity() {
                    return;
                }
                let Some(waiter) = state.queue.pop() else {
                    return;
                };
                state.in_use += 1;
                waiter
            };
            let permit = self.new_permit();
            if let Err(mut unused_permit) = waiter.send(permit) {
                // The waiter has abandoned its request. Dropping the permit would call
                // this function recursively, so the permit is released here.
                unused_permit.is_released = true;
                self.lock().in_use -= 1;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Cancel requests: the registry of the sessions that a cancel request can identify,
//! and the forwarding to the database that runs a session's request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::cancel as cancel_message;
use pgwire::messages::startup;
use tokio::io::AsyncWriteExt;

/// How long connecting to a database and sending a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The database session that a cancel request is sent to.
#[derive(Debug, Clone)]
pub struct DatabaseCancelTarget {
    /// The database's address.
    pub address: SocketAddr,
    /// The process ID of the database session.
    pub process_id: i32,
    /// The secret key of the database session.
    pub secret: startup::SecretKey,
}

impl DatabaseCancelTarget {
    /// Sends a cancel request to the database. Failures are only logged.
    pub async fn send_cancel_request(&self) {
        let mut bytes = BytesMut::new();
        let request = cancel_message::CancelRequest::new(self.process_id, self.secret.clone());
        bluebellferry_wire::message::put_message(&mut bytes, &request);
        let send = async {
            let mut stream = tokio::net::TcpStream::connect(self.address).await?;
            stream.write_all(&bytes).await?;
            stream.shutdown().await
        };
        match tokio::time::timeout(CANCEL_TIMEOUT, send).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("sending a cancel request failed: {error}"),
            Err(_) => log::debug!("sending a cancel request timed out"),
        }
    }
}

/// A session whose running request can be cancelled.
#[derive(Debug)]
pub struct CancelEntry {
    secret: i32,
    /// The database session that runs the current request, if one runs.
    cancel_target: Mutex<Option<DatabaseCancelTarget>>,
}

impl CancelEntry {
    /// Records the database session that runs the current request; `None` when no
    /// request runs.
    pub fn set_cancel_target(&self, target: Option<DatabaseCancelTarget>) {
        *self
            .cancel_target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }
}

/// All sessions by the process ID that their callers got in BackendKeyData.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    entries: Mutex<HashMap<i32, Arc<CancelEntry>>>,
    next_process_id: AtomicI32,
}

impl CancelRegistry {
    /// Registers a session and returns its new process ID and its entry.
    pub fn register(&self, secret: i32) -> (i32, Arc<CancelEntry>) {
        let process_id = self
            .next_process_id
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(1);
        let entry = Arc::new(CancelEntry {
            secret,
            cancel_target: Mutex::new(None),
        });
        self.lock().insert(process_id, Arc::clone(&entry));
        (process_id, entry)
    }

    /// Removes a session.
    pub fn unregister(&self, process_id: i32) {
        self.lock().remove(&process_id);
    }

    /// Returns the database session that runs the request of the session with this
    /// process ID, if a request runs and the secret matches.
    pub fn find_cancel_target(&self, process_id: i32, secret: i32) -> Option<DatabaseCancelTarget> {
        let entry = self.lock().get(&process_id).cloned()?;
        if entry.secret != secret {
            return None;
        }
        entry
            .cancel_target
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<i32, Arc<CancelEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

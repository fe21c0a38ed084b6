//! Cancel requests: which session they name, and where its request runs.

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

/// How long sending a cancel request to a database may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// What identifies a running request to its database.
#[derive(Debug, Clone)]
pub struct DatabaseCancelTarget {
    /// The database's address.
    pub address: SocketAddr,
    /// The process_id number of the database's session.
    pub process_id: i32,
    /// The secret of the database's session.
    pub secret: startup::SecretKey,
}

impl DatabaseCancelTarget {
    /// Asks the database to cancel. Failures are logged and have no effect.
    pub async fn send(&self) {
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
            Ok(Err(error)) => log::debug!("cancel request not sent: {error}"),
            Err(_) => log::debug!("cancel request not sent in time"),
        }
    }
}

/// A session that can be cancelled.
#[derive(Debug)]
pub struct CancelEntry {
    secret: i32,
    running: Mutex<Option<DatabaseCancelTarget>>,
}

impl CancelEntry {
    /// Notes where the session's request runs now.
    pub fn set_running_request(&self, running: Option<DatabaseCancelTarget>) {
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = running;
    }
}

/// All sessions by their process_id number towards callers.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    entries: Mutex<HashMap<i32, Arc<CancelEntry>>>,
    next_process_id: AtomicI32,
}

impl CancelRegistry {
    /// Registers a session; returns its process_id number and entry.
    pub fn register(&self, secret: i32) -> (i32, Arc<CancelEntry>) {
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        let entry = Arc::new(CancelEntry {
            secret,
            running: Mutex::new(None),
        });
        self.lock().insert(process_id, Arc::clone(&entry));
        (process_id, entry)
    }

    /// Forgets a session.
    pub fn unregister(&self, process_id: i32) {
        self.lock().remove(&process_id);
    }

    /// Returns where the named session's request runs, if the secret fits.
    pub fn find_running_request(&self, process_id: i32, secret: i32) -> Option<DatabaseCancelTarget> {
        let entry = self.lock().get(&process_id).cloned()?;
        if entry.secret != secret {
            return None;
        }
        entry
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<i32, Arc<CancelEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

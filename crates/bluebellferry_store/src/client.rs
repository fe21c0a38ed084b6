//! The HTTP client of the object store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::wire;

/// The timeout of one request to the store, except for watches.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than its own wait time a watch request may take before it
/// times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The reason a request to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store could not be reached, did not respond in time, or its response
    /// could not be decoded.
    #[error("the store did not answer: {0}")]
    Unreachable(#[from] reqwest::Error),
    /// The store responded with an unexpected HTTP status.
    #[error("the store answered with status {0}")]
    UnexpectedStatus(u16),
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum PutOutcome {
    /// The write took effect, possibly although its first response was lost.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// The object did not have the expected version, because another write came
    /// first.
    Conflict {
        /// The current object.
        current: wire::StoreObject,
    },
}

/// A client of the object store.
#[derive(Debug)]
pub struct StoreClient {
    base_url: String,
    writer: String,
    next_write_number: AtomicU64,
    http: reqwest::Client,
}

impl StoreClient {
    /// Creates a client; `address` is `host:port`. `writer` prefixes the ids of
    /// this client's writes. No other client of the same store may use it, not even
    /// one in an earlier run of the same program.
    pub fn new(address: &str, writer: &str) -> Self {
        Self {
            base_url: format!("http://{address}"),
            writer: writer.to_owned(),
            next_write_number: AtomicU64::new(1),
            http: reqwest::Client::new(),
        }
    }

    /// Reads an object; version 0 means that the object does not exist.
    ///
    /// # Errors
    /// Fails if the store does not respond or responds with an error.
    pub async fn get(&self, key: &str) -> Result<wire::StoreObject, StoreError> {
        let request = self
            .http
            .get(format!("{}/objects/{key}", self.base_url))
            .timeout(REQUEST_TIMEOUT);
        read_json(request.send().await?).await
    }

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// Fails if the store does not respond or responds with an error.
    pub async fn list(&self, prefix: &str) -> Result<wire::ObjectList, StoreError> {
        let request = self
            .http
            .get(format!("{}/objects", self.base_url))
            .query(&[("prefix", prefix)])
            .timeout(REQUEST_TIMEOUT);
        read_json(request.send().await?).await
    }

    /// Waits up to `wait` for changes after `revision` to objects whose keys start
    /// with `prefix`, and returns the changed objects.
    ///
    /// # Errors
    /// Fails if the store does not respond or responds with an error.
    pub async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<wire::ObjectList, StoreError> {
        let wait_ms = wait.as_millis().to_string();
        let after = revision.to_string();
        let request = self
            .http
            .get(format!("{}/watch", self.base_url))
            .query(&[("prefix", prefix), ("after", &after), ("wait_ms", &wait_ms)])
            .timeout(wait + WATCH_TIMEOUT_MARGIN);
        read_json(request.send().await?).await
    }

    /// Writes an object if its version is still `expected_version`.
    ///
    /// If the response is lost, the method reads the object back. An object that
    /// carries this write's id shows that the write took effect; an object that
    /// still has the expected version makes the method send the write once more.
    ///
    /// # Errors
    /// Fails if the store responds with an error status. Also fails if the response
    /// is lost and then the read or the second write fails too; in this case the
    /// write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        expected_version: u64,
        value: serde_json::Value,
    ) -> Result<PutOutcome, StoreError> {
        let number = self.next_write_number.fetch_add(1, Ordering::Relaxed);
        let write_id = format!("{}/{number}", self.writer);
        let body = wire::PutRequest {
            expected_version,
            writer: write_id.clone(),
            value,
        };
        match self.send_put(key, &body).await {
            Ok(outcome) => Ok(resolve_conflict(outcome, &write_id)),
            Err(StoreError::UnexpectedStatus(status)) => Err(StoreError::UnexpectedStatus(status)),
            Err(StoreError::Unreachable(error)) => {
                let current = self
                    .get(key)
                    .await
                    .map_err(|_| StoreError::Unreachable(error))?;
                if current.version == expected_version {
                    let outcome = self.send_put(key, &body).await?;
                    return Ok(resolve_conflict(outcome, &write_id));
                }
                Ok(resolve_conflict(
                    PutOutcome::Conflict { current },
                    &write_id,
                ))
            }
        }
    }

    async fn send_put(&self, key: &str, body: &wire::PutRequest) -> Result<PutOutcome, StoreError> {
        let url = format!("{}/objects/{key}", self.base_url);
        let response = self
            .http
            .put(url)
            .json(body)
            .timeout(REQUEST_TIMEOUT)
            .send()
            .await?;
        let is_conflict = response.status() == reqwest::StatusCode::CONFLICT;
        if is_conflict {
            return Ok(PutOutcome::Conflict {
                current: response.json().await?,
            });
        }
        let object: wire::StoreObject = read_json(response).await?;
        Ok(PutOutcome::Written {
            version: object.version,
        })
    }
}

/// Turns a conflict into a success if the current object carries this write's
/// id, so that the conflict is with an earlier attempt of the same write.
fn resolve_conflict(outcome: PutOutcome, write_id: &str) -> PutOutcome {
    match outcome {
        PutOutcome::Conflict { current } if current.writer == write_id => PutOutcome::Written {
            version: current.version,
        },
        outcome => outcome,
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(
    response: reqwest::Response,
) -> Result<T, StoreError> {
    if !response.status().is_success() {
        return Err(StoreError::UnexpectedStatus(response.status().as_u16()));
    }
    Ok(response.json().await?)
}

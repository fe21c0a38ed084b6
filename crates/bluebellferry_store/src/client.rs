//! The store's client.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::wire;

/// How long one call may take before it counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than its own waiting time a watch may take.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// The reason a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store could not be reached or did not answer in time.
    #[error("the store did not answer: {0}")]
    Unreachable(#[from] reqwest::Error),
    /// The store answered with an unexpected status.
    #[error("the store answered with status {0}")]
    UnexpectedStatus(u16),
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum PutOutcome {
    /// The write took effect, possibly although its answer was lost.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// Another write came first.
    Conflict {
        /// The object as it is now.
        current: wire::StoreObject,
    },
}

/// A client of the store.
#[derive(Debug)]
pub struct StoreClient {
    base: String,
    writer: String,
    next_write: AtomicU64,
    http: reqwest::Client,
}

impl StoreClient {
    /// Creates a client; `address` is `host:port`, `writer` marks this
    /// process's writes and must be unique to its incarnation.
    pub fn new(address: &str, writer: &str) -> Self {
        Self {
            base: format!("http://{address}"),
            writer: writer.to_owned(),
            next_write: AtomicU64::new(1),
            http: reqwest::Client::new(),
        }
    }

    /// Reads an object; version 0 means that it does not exist.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn get(&self, key: &str) -> Result<wire::StoreObject, StoreError> {
        let request = self
            .http
            .get(format!("{}/objects/{key}", self.base))
            .timeout(CALL_TIMEOUT);
        read_json(request.send().await?).await
    }

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn list(&self, prefix: &str) -> Result<wire::ObjectList, StoreError> {
        let request = self
            .http
            .get(format!("{}/objects", self.base))
            .query(&[("prefix", prefix)])
            .timeout(CALL_TIMEOUT);
        read_json(request.send().await?).await
    }

    /// Waits up to `wait` for changes after `revision`; returns those found.
    ///
    /// # Errors
    /// Fails when the store does not answer.
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
            .get(format!("{}/watch", self.base))
            .query(&[("prefix", prefix), ("after", &after), ("wait_ms", &wait_ms)])
            .timeout(wait + WATCH_MARGIN);
        read_json(request.send().await?).await
    }

    /// Writes an object if its version is still `expected_version`.
    ///
    /// A lost answer is settled by reading the object back and looking for
    /// this write's own mark.
    ///
    /// # Errors
    /// Fails when neither the write nor the reading back was answered; the
    /// write may then have taken effect.
    pub async fn put(
        &self,
        key: &str,
        expected_version: u64,
        value: serde_json::Value,
    ) -> Result<PutOutcome, StoreError> {
        let number = self.next_write.fetch_add(1, Ordering::Relaxed);
        let mark = format!("{}/{number}", self.writer);
        let body = wire::PutRequest {
            expected_version,
            writer: mark.clone(),
            value,
        };
        match self.send_put(key, &body).await {
            Ok(outcome) => Ok(settle_conflict(outcome, &mark)),
            Err(StoreError::UnexpectedStatus(status)) => Err(StoreError::UnexpectedStatus(status)),
            Err(StoreError::Unreachable(lost)) => {
                let current = self
                    .get(key)
                    .await
                    .map_err(|_| StoreError::Unreachable(lost))?;
                if current.version == expected_version {
                    let outcome = self.send_put(key, &body).await?;
                    return Ok(settle_conflict(outcome, &mark));
                }
                Ok(settle_conflict(PutOutcome::Conflict { current }, &mark))
            }
        }
    }

    async fn send_put(&self, key: &str, body: &wire::PutRequest) -> Result<PutOutcome, StoreError> {
        let url = format!("{}/objects/{key}", self.base);
        let response = self
            .http
            .put(url)
            .json(body)
            .timeout(CALL_TIMEOUT)
            .send()
            .await?;
        let conflict = response.status() == reqwest::StatusCode::CONFLICT;
        if conflict {
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

/// Recognises a conflict with this write's own earlier effect.
fn settle_conflict(outcome: PutOutcome, mark: &str) -> PutOutcome {
    match outcome {
        PutOutcome::Conflict { current } if current.writer == mark => PutOutcome::Written {
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

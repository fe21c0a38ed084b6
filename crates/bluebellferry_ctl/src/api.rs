//! The client of a VM's administration API.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::command::CtlError;

/// The timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one VM's administration API.
#[derive(Debug, Clone)]
pub struct AdminClient {
    base_url: String,
    token: String,
    http: reqwest::Client,
}

/// The body of the response to a request that the API refused.
#[derive(Debug, Clone, Deserialize)]
pub struct ApiRefusal {
    /// The stable error code, such as `version_conflict`.
    pub error: String,
    /// The reason in plain text.
    pub message: String,
    /// For a version conflict, the change that took effect instead.
    pub winner: Option<serde_json::Value>,
}

impl AdminClient {
    /// Creates a client; `address` is `host:port`, `token` the operator's token.
    pub fn new(address: &str, token: &str) -> Self {
        let base_url = format!("http://{address}");
        Self {
            base_url,
            token: token.to_owned(),
            http: reqwest::Client::new(),
        }
    }

    fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("{}{path}", self.base_url);
        self.http
            .request(method, url)
            .bearer_auth(&self.token)
            .timeout(REQUEST_TIMEOUT)
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// Fails if the VM does not respond, refuses the request or responds with an
    /// error status.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let response = self.send(self.request(reqwest::Method::GET, path)).await?;
        Ok(response.json().await?)
    }

    /// Sends a GET request and returns the response as text.
    ///
    /// # Errors
    /// Fails if the VM does not respond, refuses the request or responds with an
    /// error status.
    pub async fn get_text(&self, path: &str) -> Result<String, CtlError> {
        Ok(self
            .send(self.request(reqwest::Method::GET, path))
            .await?
            .text()
            .await?)
    }

    /// Sends a request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// Fails if the VM does not respond, refuses the request or responds with an
    /// error status.
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        method: reqwest::Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<T, CtlError> {
        let response = self.send(self.request(method, path).json(body)).await?;
        Ok(response.json().await?)
    }

    /// Sends a request without a body and returns the response as text.
    ///
    /// # Errors
    /// Fails if the VM does not respond, refuses the request or responds with an
    /// error status.
    pub async fn send_empty(
        &self,
        method: reqwest::Method,
        path: &str,
    ) -> Result<String, CtlError> {
        Ok(self.send(self.request(method, path)).await?.text().await?)
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> Result<reqwest::Response, CtlError> {
        let response = request.send().await?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let text = response.text().await?;
        match serde_json::from_str(&text) {
            Ok(refused) => Err(CtlError::Refused(refused)),
            Err(_) => Err(CtlError::UnexpectedStatus { status, text }),
        }
    }
}

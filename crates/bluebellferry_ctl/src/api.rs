//! A client of the administration API.

use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::command::CtlError;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// One VM's administration API.
#[derive(Debug, Clone)]
pub struct AdminClient {
    base: String,
    token: String,
    http: reqwest::Client,
}

/// A call that the API refused.
#[derive(Debug, Clone, Deserialize)]
pub struct ApiRefusal {
    /// The stable code.
    pub error: String,
    /// What is wrong.
    pub message: String,
    /// Who won a race, if one was lost.
    pub winner: Option<serde_json::Value>,
}

impl AdminClient {
    /// Creates a client; `address` is `host:port`.
    pub fn new(address: &str, token: &str) -> Self {
        let base = format!("http://{address}");
        Self {
            base,
            token: token.to_owned(),
            http: reqwest::Client::new(),
        }
    }

    fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("{}{path}", self.base);
        self.http
            .request(method, url)
            .bearer_auth(&self.token)
            .timeout(CALL_TIMEOUT)
    }

    /// Reads a JSON resource.
    ///
    /// # Errors
    /// Fails when the VM does not answer or refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let response = self.send(self.request(reqwest::Method::GET, path)).await?;
        Ok(response.json().await?)
    }

    /// Reads a page as text.
    ///
    /// # Errors
    /// Fails when the VM does not answer or refuses.
    pub async fn get_text(&self, path: &str) -> Result<String, CtlError> {
        Ok(self
            .send(self.request(reqwest::Method::GET, path))
            .await?
            .text()
            .await?)
    }

    /// Sends a JSON body and reads a JSON answer.
    ///
    /// # Errors
    /// Fails when the VM does not answer or refuses.
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        method: reqwest::Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<T, CtlError> {
        let response = self.send(self.request(method, path).json(body)).await?;
        Ok(response.json().await?)
    }

    /// Sends a call without a body; returns the answer's text.
    ///
    /// # Errors
    /// Fails when the VM does not answer or refuses.
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
